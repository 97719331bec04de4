/**
 * Randomized simulation of a fleet: several entries share a few upstreams, and a seeded generator orders
 * calls, faults and configuration changes. It checks the fleet-wide invariants of the routing decisions from
 * the events and effects alone.
 */
import assert from 'node:assert/strict';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Config, LoadReport, RosterMember, Upstream } from '../../src/model/index.js';
import {
  createRoutingState,
  decideRouting,
  defaultOptions,
  type Call,
  type RoutingEffect,
  type RoutingEvent,
  type RoutingState,
} from '../../src/routing/index.js';
import { buildCall, buildConfig, buildMember, buildUpstream } from './builders.js';

interface Entry {
  readonly id: string;
  state: RoutingState;
  config: Config;
  /** Whether it receives new configurations. */
  connected: boolean;
}

interface Attempt {
  readonly callId: number;
  readonly upstreamId: string;
  readonly incarnation: number;
  phase: 'sent' | 'delivered';
}

interface CallRecord {
  readonly call: Call;
  readonly entry: Entry;
  runs: number;
  endings: number;
  cancelled: boolean;
}

const ZONES = ['a', 'b', 'c'];
const ENTRIES = 5;
const options = { ...defaultOptions, probeShare: 0.05, coldSlotTime: 2000 };
/**
 * Time after which the simulation ends a request, in milliseconds. It is short enough that requests of
 * successive slow-start slots don't overlap.
 */
const MAX_RUN_TIME = 1000;

/** A simulated fleet whose run depends on its seed alone. */
export class RandomFleet {
  readonly #random: () => number;
  readonly #entries: Entry[];
  readonly #calls = new Map<number, CallRecord>();
  readonly #attempts = new Map<number, Attempt & { sentAt: number }>();
  readonly #probes = new Map<string, number>();
  readonly #coldUntil = new Map<string, number>();
  /** Totals of the run; the sends beyond the number of calls are retries. */
  readonly counts = { calls: 0, sends: 0, refused: 0, delivered: 0, failed: 0, probes: 0, cold: 0 };
  #upstreams: Upstream[];
  #config: Config;
  #now = 0;
  #lastCall = 0;
  #members: readonly RosterMember[];

  private constructor(seed: number) {
    const generator = xoroshiro128plus(seed);
    this.#random = () => uniformFloat64(generator);
    this.#config = buildConfig(ENTRIES);
    this.#members = this.#config.roster.members;
    const ids = ZONES.flatMap((zone) => [1, 2, 3].map((at) => `${zone}${at}`));
    this.#upstreams = ids.map((id, index) =>
      buildUpstream(id, { version: index % 3 === 0 ? '2' : '1', maxConnections: 13 }),
    );
    this.#entries = this.#members.map(({ id }) => this.#createEntry(id));
  }

  static create(seed: number): RandomFleet {
    return new RandomFleet(seed);
  }

  /** Runs random steps, ends all open calls and checks the final invariants. */
  run(steps: number): void {
    for (let step = 0; step < steps; step += 1) this.#runRandomStep();
    this.#drainAll();
    this.#calls.forEach(({ call, endings, cancelled }) => {
      const wanted = cancelled ? [0, 1] : [1];
      assert.ok(wanted.includes(endings), `call ${call.id} got ${endings} final effects`);
    });
    const retries = this.counts.sends - this.counts.calls;
    const allowed = options.retryShare * this.counts.calls + ENTRIES * options.retryBurst;
    assert.ok(retries <= allowed, `${retries} retries for ${this.counts.calls} calls`);
  }

  #pick<Value>(values: readonly Value[]): Value {
    const value = values[Math.floor(this.#random() * values.length)];
    assert.ok(value !== undefined);
    return value;
  }

  #runRandomStep(): void {
    this.#now += this.#random() * 4;
    this.#endOverdueRuns();
    const roll = this.#random();
    if (roll < 0.4) this.#arrive();
    else if (roll < 0.85) this.#endRandomAttempt();
    else if (roll < 0.93) this.#tick(this.#pick(this.#entries));
    else if (roll < 0.95) this.#cancel();
    else if (roll < 0.97) this.#syncEntry(this.#pick(this.#entries));
    else if (roll < 0.985) this.#changeConfig();
    else if (roll < 0.988) this.#restart();
    else if (roll < 0.99) this.#changeRoster();
    else if (roll < 0.994) this.#changeConnection();
    else this.#quarantineFingerprint();
  }

  #createEntry(id: string): Entry {
    const entry = { id, state: createRoutingState(options), config: this.#config, connected: true };
    this.#syncEntry(entry);
    const upstreams = this.#upstreams;
    this.#decide(entry, { kind: 'discovered', upstreams, now: this.#now });
    return entry;
  }

  #decide(entry: Entry, event: RoutingEvent): readonly RoutingEffect[] {
    const before = entry.state;
    const { state, effects } = decideRouting(before, event);
    entry.state = state;
    effects.forEach((effect) => {
      this.#perform(entry, effect);
    });
    return effects;
  }

  #perform(entry: Entry, effect: RoutingEffect): void {
    if (effect.kind === 'send') this.#send(entry, effect.callId, effect.upstreamId);
    if (effect.kind === 'probe') this.#probe(entry, effect.upstreamId);
    if (effect.kind === 'warmth') {
      const { upstreamId, incarnation, cold } = effect;
      const notice = {
        kind: 'warmupNoticeReceived',
        upstreamId,
        incarnation,
        cold,
        now: this.#now,
      } as const;
      this.#entries
        .filter((other) => other !== entry)
        .forEach((other) => this.#decide(other, notice));
    }
    if (effect.kind !== 'deliver' && effect.kind !== 'refuse' && effect.kind !== 'fail') return;
    const record = this.#getCall(effect.callId);
    assert.ok(!record.cancelled, `cancelled call ${effect.callId} got the effect ${effect.kind}`);
    record.endings += 1;
    const totals = { deliver: 'delivered', refuse: 'refused', fail: 'failed' } as const;
    this.counts[totals[effect.kind]] += 1;
    if (effect.kind !== 'refuse') return;
    assert.equal(record.runs, 0, `call ${effect.callId} was refused as not run, but it ran`);
  }

  #getCall(id: number): CallRecord {
    const record = this.#calls.get(id);
    assert.ok(record !== undefined, `call ${id} does not exist`);
    return record;
  }

  #getUpstream(id: string): Upstream {
    const upstream = this.#upstreams.find((known) => known.id === id);
    assert.ok(upstream !== undefined, `upstream ${id} does not exist`);
    return upstream;
  }

  #isCold(id: string): boolean {
    return (this.#coldUntil.get(id) ?? 0) > this.#now;
  }

  #send(entry: Entry, callId: number, upstreamId: string): void {
    const upstream = this.#getUpstream(upstreamId);
    const { zonesOut, leaving } = entry.config;
    const isZoneOut = zonesOut.includes(upstream.zone);
    const isLeaving = leaving.some(({ match }) => match.id === upstreamId);
    assert.ok(
      !isZoneOut && !isLeaving,
      `request for upstream ${upstreamId}, which is leaving or in a zone that is out`,
    );
    this.counts.sends += 1;
    this.#attempts.set(callId, {
      callId,
      upstreamId,
      incarnation: upstream.incarnation,
      phase: 'sent',
      sentAt: this.#now,
    });
    if (!this.#isCold(upstreamId)) return;
    this.counts.cold += 1;
    const running = this.#countRunning(upstreamId);
    assert.ok(
      running <= options.coldConcurrency,
      `${running} requests in flight on cold upstream ${upstreamId}`,
    );
  }

  #countRunning(upstreamId: string): number {
    const attempts = [...this.#attempts.values()];
    return attempts.filter((attempt) => attempt.upstreamId === upstreamId).length;
  }

  #probe(entry: Entry, upstreamId: string): void {
    const probes = (this.#probes.get(upstreamId) ?? 0) + 1;
    this.counts.probes += 1;
    this.#probes.set(upstreamId, probes);
    const allowed = (this.#now * options.probeShare) / options.probeCost;
    assert.ok(probes <= allowed + 1, `${probes} probes of ${upstreamId} in ${this.#now} ms`);
    const report = this.#buildReport(upstreamId);
    const healthy = this.#random() < 0.95;
    this.#decide(entry, { kind: 'probed', upstreamId, healthy, report, now: this.#now });
  }

  #buildReport(upstreamId: string): LoadReport {
    return { inFlight: this.#countRunning(upstreamId), queued: 0, cold: this.#isCold(upstreamId) };
  }

  #arrive(): void {
    this.#lastCall += 1;
    const entry = this.#pick(this.#entries);
    const call = buildCall(this.#lastCall, {
      idempotent: this.#random() < 0.5,
      criticality: this.#random() < 0.3 ? 'batch' : 'interactive',
      deadline: this.#now + 20 + this.#random() * 500,
      fingerprint: `fingerprint-${Math.floor(this.#random() * 50)}`,
    });
    this.counts.calls += 1;
    const record = { call, entry, runs: 0, endings: 0, cancelled: false };
    this.#calls.set(call.id, record);
    this.#decide(entry, { kind: 'arrived', call, now: this.#now, random: this.#random() });
  }

  /** Ends a random attempt with a random result. */
  #endRandomAttempt(): void {
    const attempts = [...this.#attempts.values()];
    if (attempts.length > 0) this.#endAttempt(this.#pick(attempts), this.#random());
  }

  #endOverdueRuns(): void {
    const old = this.#now - MAX_RUN_TIME;
    [...this.#attempts.values()]
      .filter(({ sentAt }) => sentAt < old)
      .forEach((attempt) => {
        this.#endAttempt(attempt, attempt.phase === 'sent' ? 0.99 : 0);
      });
  }

  #endAttempt(attempt: Attempt, roll: number): void {
    const { callId, upstreamId } = attempt;
    const { entry, call } = this.#getCall(callId);
    const report = this.#buildReport(upstreamId);
    const event = { callId, now: this.#now, random: this.#random() };
    if (attempt.phase === 'delivered') {
      this.#attempts.delete(callId);
      this.#decide(entry, { kind: 'finished', complete: roll < 0.95, ...event });
      return;
    }
    if (roll < 0.8) {
      this.#countRun(call);
      attempt.phase = 'delivered';
      const status = roll < 0.7 ? 200 : 503;
      this.#decide(entry, { kind: 'headArrived', status, notRun: false, report, ...event });
      return;
    }
    this.#attempts.delete(callId);
    if (roll < 0.88) {
      const refusal = { status: 503, notRun: true, report };
      this.#decide(entry, { kind: 'headArrived', ...refusal, ...event });
      return;
    }
    const failure = roll < 0.94 ? 'unreachable' : roll < 0.97 ? 'lost' : 'timedOut';
    if (failure !== 'unreachable') this.#countRun(call);
    this.#decide(entry, { kind: 'failed', failure, ...event });
  }

  #countRun(call: Call): void {
    const record = this.#getCall(call.id);
    record.runs += 1;
    assert.ok(call.idempotent || record.runs <= 1, `call ${call.id} ran ${record.runs} times`);
  }

  #cancel(): void {
    const open = [...this.#calls.values()].filter(
      ({ endings, cancelled, call }) =>
        !cancelled && (endings === 0 || this.#attempts.has(call.id)),
    );
    if (open.length === 0) return;
    const record = this.#pick(open);
    record.cancelled = true;
    const callId = record.call.id;
    this.#attempts.delete(callId);
    const random = this.#random();
    this.#decide(record.entry, { kind: 'cancelled', callId, now: this.#now, random });
  }

  #tick(entry: Entry): void {
    this.#decide(entry, { kind: 'ticked', now: this.#now, random: this.#random() });
  }

  #syncEntry(entry: Entry): void {
    if (!entry.connected) return;
    entry.config = this.#config;
    const { id: self } = entry;
    this.#decide(entry, {
      kind: 'configured',
      config: this.#config,
      self,
      zone: 'a',
      now: this.#now,
    });
  }

  #publish(fields: Partial<Config>): void {
    this.#config = { ...this.#config, ...fields, revision: this.#config.revision + 1 };
  }

  #changeConfig(): void {
    const roll = this.#random();
    const zonesOut = roll < 0.3 ? [this.#pick(ZONES)] : roll < 0.35 ? ZONES : [];
    const leaving = roll > 0.8 ? [{ match: { id: this.#pick(this.#upstreams).id } }] : [];
    const share = this.#random();
    const weights = roll > 0.5 ? [{ service: 'seams', version: '2', share }] : [];
    this.#publish({ zonesOut, leaving, weights });
  }

  /** Restarts a random upstream: it is cold again, and its requests in flight are lost. */
  #restart(): void {
    const { id, incarnation } = this.#pick(this.#upstreams);
    const fresh = buildUpstream(id, {
      ...this.#getUpstream(id),
      incarnation: incarnation + 1,
      age: 0,
    });
    this.#upstreams = this.#upstreams.map((known) => (known.id === id ? fresh : known));
    this.#coldUntil.set(id, this.#now + 500 + this.#random() * 2000);
    const upstreams = this.#upstreams;
    this.#entries.forEach((entry) =>
      this.#decide(entry, { kind: 'discovered', upstreams, now: this.#now }),
    );
    const lost = [...this.#attempts.values()].filter(({ upstreamId }) => upstreamId === id);
    lost.forEach(({ callId }) => this.#attempts.delete(callId));
    lost.forEach(({ callId, phase }) => {
      const { entry, call } = this.#getCall(callId);
      const event = { callId, now: this.#now, random: this.#random() };
      if (phase === 'sent') this.#countRun(call);
      this.#decide(
        entry,
        phase === 'sent'
          ? { kind: 'failed', failure: 'lost', ...event }
          : { kind: 'finished', complete: false, ...event },
      );
    });
  }

  /** Adds an entry, `joining` until all connected entries know it and active afterwards. */
  #changeRoster(): void {
    const joining = this.#members.some(({ phase }) => phase === 'joining');
    const informed = this.#entries.every(
      ({ config, connected }) => !connected || config === this.#config,
    );
    if (joining && !informed) return;
    if (!joining && this.#members.length >= 2 * ENTRIES) return;
    const id = `entry-${this.#members.length}`;
    const active = this.#members.map((member) => ({ ...member, phase: 'active' as const }));
    this.#members = joining ? active : [...active, { ...buildMember(id), phase: 'joining' }];
    const { epoch } = this.#config.roster;
    this.#publish({ roster: { epoch: epoch + 1, members: this.#members } });
    if (!joining) this.#entries.push(this.#createEntry(id));
  }

  /** Partitions an entry, which loses its lease, or reconnects it. */
  #changeConnection(): void {
    const entry = this.#pick(this.#entries);
    entry.connected = !entry.connected;
    this.#decide(entry, { kind: 'leaseChanged', held: entry.connected, now: this.#now });
    this.#syncEntry(entry);
  }

  #quarantineFingerprint(): void {
    const entry = this.#pick(this.#entries);
    const fingerprints = [`fingerprint-${Math.floor(this.#random() * 50)}`];
    const until = this.#now + 300;
    this.#decide(entry, { kind: 'condemned', fingerprints, until, now: this.#now });
  }

  /** Advances the time until all requests and queued calls have ended. */
  #drainAll(): void {
    for (let round = 0; round < 50; round += 1) {
      this.#now += 100;
      [...this.#attempts.values()].forEach((attempt) => {
        this.#endAttempt(attempt, 0);
      });
      this.#entries.forEach((entry) => {
        this.#tick(entry);
      });
    }
  }
}
