/**
 * Replays a load on several gateways that choose upstreams by stale reports, in simulated time. Invariant: the same
 * scenario gives the same result. Gateways use the real decisions (choice, retries, retry budget, registry); upstreams,
 * the exchange of reports and callers are modelled. There are no probes on demand, and hedges only if
 * the variant has some.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { emptyCatalog, type Instance, type RouteTable } from '../../src/catalog/index.js';
import { RetryBudget } from '../../src/gateway/budget.js';
import { chooseUpstream, hasFreeSlot, type ChoiceContext } from '../../src/gateway/choose.js';
import type { ReceivedReport } from '../../src/gateway/gossip.js';
import type { HedgeDecision, HedgeEvent } from '../../src/hedging/index.js';
import { RequestRates } from '../../src/gateway/probing.js';
import { addOutcome, addReport, UpstreamRegistry } from '../../src/gateway/registry.js';
import {
  addAttemptEnd,
  createRetryState,
  decideRetry,
  hasAttemptLeft,
  isHedgeable,
  type RetryState,
} from '../../src/gateway/retry.js';
import type { AttemptOutcome, UpstreamRecord } from '../../src/gateway/types.js';

const SERVICE = 'records';
/** Milliseconds between two rounds of load reports, and until a report arrives. */
const GOSSIP_INTERVAL = 100;
const GOSSIP_DELAY = 30;
/** Milliseconds between two probes of an upstream. */
const PROBE_INTERVAL = 300;
const LINK_DELAY = 1;
const ANSWER = { reason: '', headers: [], body: Buffer.alloc(0), isUnframed: false };

export interface Interval {
  readonly from: number;
  readonly until: number;
}

export interface ReplayScenario {
  readonly seed: number;
  readonly duration: number;
  readonly gateways: number;
  readonly upstreams: number;
  readonly slots: number;
  readonly queue: number;
  /** Whether a full upstream resets the connection; otherwise it says that it did not run the request. */
  readonly isReset: boolean;
  /** Work of a request, its target latency and its deadline in milliseconds. */
  readonly work: number;
  readonly target: number;
  readonly deadline: number;
  /** Requests per second, as a share of what all slots can run. */
  readonly load: number;
  readonly burst?: Interval & { readonly factor: number };
  /** The first `upstreams` reject a share of their requests although they have free slots. */
  readonly shed?: Interval & { readonly upstreams: number; readonly share: number };
  readonly noise?: { readonly share: number; readonly factor: number; readonly interval: number };
  /** Number of gateways that send and receive no load reports. */
  readonly isolated?: number;
  /** Zones by their share of the upstreams; gateways are spread evenly. */
  readonly zones?: readonly number[];
}

export interface KindResult {
  requests: number;
  inTarget: number;
  late: number;
  refused: number;
  failed: number;
  readonly latencies: number[];
}

export interface ReplayResult {
  readonly safe: KindResult;
  readonly unsafe: KindResult;
  rejectedAttempts: number;
  lostAttempts: number;
}

/** Adapts the decisions of the gateways, as for the baseline. */
export interface ReplayVariant {
  /** Called before each choice. */
  readonly prepare: (records: readonly UpstreamRecord[]) => void;
  readonly extendContext: (context: ChoiceContext, isUnsafe: boolean) => ChoiceContext;
  /** Creates the hedges of a gateway; none by default. */
  readonly createHedging?: () => HedgePolicy;
}

/** Decides on the hedges of one gateway. */
export interface HedgePolicy {
  readonly decide: (event: HedgeEvent) => HedgeDecision;
}

interface Job {
  readonly work: number;
  readonly onEnd: (outcome: AttemptOutcome) => void;
  isOver: boolean;
  /** Frees the slot that the job has, after it was cancelled. */
  free?: () => void;
}

interface Upstream {
  readonly index: number;
  running: number;
  queue: Job[];
  pace: number;
}

interface Gateway {
  readonly registry: UpstreamRegistry;
  readonly budget: RetryBudget;
  readonly rates: RequestRates;
  readonly hedging: HedgePolicy | undefined;
  lastSentAt: number;
}

/** Events in order of time, as a binary heap. */
class EventQueue {
  readonly #heap: { readonly at: number; readonly order: number; readonly run: () => void }[] = [];
  #order = 0;
  now = 0;

  add(delay: number, run: () => void): void {
    const heap = this.#heap;
    heap.push({ at: this.now + delay, order: this.#order, run });
    this.#order += 1;
    let child = heap.length - 1;
    while (child > 0) {
      const parent = (child - 1) >> 1;
      if (!this.#isBefore(child, parent)) return;
      this.#swap(child, parent);
      child = parent;
    }
  }

  runNext(): boolean {
    const heap = this.#heap;
    const [first] = heap;
    const last = heap.pop();
    if (first === undefined || last === undefined) return false;
    if (heap.length > 0) {
      heap[0] = last;
      let parent = 0;
      for (;;) {
        const left = parent * 2 + 1;
        if (left >= heap.length) break;
        const child = left + 1 < heap.length && this.#isBefore(left + 1, left) ? left + 1 : left;
        if (!this.#isBefore(child, parent)) break;
        this.#swap(child, parent);
        parent = child;
      }
    }
    this.now = first.at;
    first.run();
    return true;
  }

  #isBefore(one: number, other: number): boolean {
    const [left, right] = [this.#heap[one], this.#heap[other]];
    if (left === undefined || right === undefined) return false;
    return left.at < right.at || (left.at === right.at && left.order < right.order);
  }

  #swap(one: number, other: number): void {
    const [left, right] = [this.#heap[one], this.#heap[other]];
    if (left === undefined || right === undefined) return;
    this.#heap[one] = right;
    this.#heap[other] = left;
  }
}

const table: RouteTable = {
  ...{ version: 1, routes: [], extra: {} },
  services: [
    {
      name: SERVICE,
      healthPath: '/',
      maxConnections: 9,
      coldTime: 0,
      coldRate: 1,
      source: undefined,
    },
  ],
  limits: { headBytes: 1, bodyBytes: 1, headTimeout: 1, idleTimeout: 1, source: undefined },
};

function pickZone(position: number, shares: readonly number[]): string {
  let sum = 0;
  const index = shares.findIndex((share) => {
    sum += share;
    return position < sum;
  });
  return `zone-${index < 0 ? 0 : index}`;
}

/** Runs the scenario and returns what became of the requests. */
export function runReplay(scenario: ReplayScenario, variant: ReplayVariant): ReplayResult {
  const { slots, work, target, deadline, duration, shed, noise, burst } = scenario;
  const buildDraw = (seed: number): (() => number) => {
    const generator = xoroshiro128plus(seed);
    return () => (generator.next() >>> 0) / 2 ** 32;
  };
  // Arrivals have a generator of their own, so that all variants get the same ones.
  const draw = buildDraw(scenario.seed);
  const drawArrival = buildDraw(scenario.seed + 1000);
  const events = new EventQueue();
  const zones = scenario.zones ?? [1];
  const instances = Array.from({ length: scenario.upstreams }, (_, at): Instance => {
    const zone = pickZone((at + 0.5) / scenario.upstreams, zones);
    const place = { id: `u${at}`, address: `10.0.0.${at}:80`, zone };
    return { ...place, service: SERVICE, version: 'v1', slots, bornAt: 0, draining: false };
  });
  const catalog = {
    ...emptyCatalog,
    table,
    instances: new Map(instances.map((instance) => [instance.id, instance])),
  };
  const upstreams = instances.map((_, index): Upstream => ({
    index,
    running: 0,
    queue: [],
    pace: 1,
  }));
  const gateways = Array.from({ length: scenario.gateways }, (): Gateway => {
    const registry = new UpstreamRegistry();
    registry.update(catalog);
    const budget = new RetryBudget({ ratio: 0.2, slack: 192 });
    const hedging = variant.createHedging?.();
    return { registry, budget, rates: new RequestRates(), hedging, lastSentAt: -Infinity };
  });
  const createResult = (): KindResult => ({
    ...{ requests: 0, inTarget: 0, late: 0, refused: 0, failed: 0 },
    latencies: [],
  });
  const result: ReplayResult = {
    ...{ safe: createResult(), unsafe: createResult() },
    ...{ rejectedAttempts: 0, lostAttempts: 0 },
  };

  const report = (upstream: Upstream, record: UpstreamRecord): void => {
    const { running, queue, pace } = upstream;
    addReport(record, { running, waiting: queue.length, slots, pace }, events.now);
    record.ownReportAt = events.now;
  };
  const startNext = (upstream: Upstream): void => {
    while (upstream.running < slots) {
      const job = upstream.queue.shift();
      if (job === undefined) return;
      upstream.running += 1;
      job.free = () => {
        upstream.running -= 1;
        startNext(upstream);
      };
      events.add(job.work * upstream.pace, () => {
        if (job.isOver) return;
        upstream.running -= 1;
        startNext(upstream);
        job.onEnd({ kind: 'answered', answer: { ...ANSWER, status: 200 } });
      });
    }
  };
  const arrive = (upstream: Upstream, job: Job): void => {
    const isShedding =
      shed !== undefined &&
      upstream.index < shed.upstreams &&
      events.now >= shed.from &&
      events.now < shed.until;
    if (isShedding && draw() < shed.share) {
      job.onEnd({ kind: 'notRun', isMisdirected: false });
      return;
    }
    if (upstream.running >= slots && upstream.queue.length >= scenario.queue) {
      job.onEnd(
        scenario.isReset
          ? { kind: 'lost', reason: 'reset', isDisconnected: true }
          : { kind: 'notRun', isMisdirected: false },
      );
      return;
    }
    upstream.queue.push(job);
    startNext(upstream);
  };

  const serve = (gateway: Gateway, isUnsafe: boolean, requestWork: number): void => {
    const counts = isUnsafe ? result.unsafe : result.safe;
    const arrivedAt = events.now;
    let state: RetryState = createRetryState(!isUnsafe, 2);
    let tried: readonly UpstreamRecord[] = [];
    let isOver = false;
    const running = new Map<Job, { record: UpstreamRecord; sentAt: number; isHedge: boolean }>();
    let lastHedgeTimer = 0;
    const cancelRunning = (hasWinner: boolean): void => {
      running.forEach(({ record, sentAt, isHedge }, job) => {
        job.isOver = true;
        record.inFlight -= 1;
        record.inFlightChange -= 1;
        const upstream = upstreams[Number(record.instance.id.slice(1))];
        if (job.free === undefined && upstream !== undefined)
          upstream.queue = upstream.queue.filter((other) => other !== job);
        job.free?.();
        const elapsed = events.now - sentAt;
        if (hasWinner) gateway.hedging?.decide({ kind: 'lost', now: events.now, elapsed });
        if (!isHedge) recordFirst(sentAt, false);
      });
      running.clear();
    };
    const recordFirst = (sentAt: number, isAnswered: boolean): void => {
      const ended = {
        now: events.now,
        route: 'safe',
        elapsed: events.now - sentAt,
        expected: work,
      };
      gateway.hedging?.decide({ kind: 'ended', ...ended, isAnswered });
    };
    const finish = (kind: 'answered' | 'refused' | 'failed'): void => {
      if (isOver) return;
      isOver = true;
      cancelRunning(kind === 'answered');
      if (kind === 'refused') gateway.hedging?.decide({ kind: 'short', now: events.now });
      counts.requests += 1;
      const latency = events.now - arrivedAt;
      if (kind === 'refused') counts.refused += 1;
      else if (kind === 'failed') counts.failed += 1;
      else if (latency <= target) counts.inTarget += 1;
      else counts.late += 1;
      if (kind === 'answered') counts.latencies.push(latency);
    };
    const attempt = (isCharged: boolean, isHedge = false): boolean => {
      const all = gateway.registry.listUsable(SERVICE, undefined);
      variant.prepare(all);
      const context: ChoiceContext = {
        ...{ now: events.now, work, zone: 'zone-0', isLarge: false, justProbed: [] },
        timeLeft: arrivedAt + deadline - events.now,
        targetTime: arrivedAt + target - events.now,
        getFleetRate: () => {
          const rate = gateway.rates.getRate(SERVICE, events.now);
          return rate === undefined ? undefined : rate * scenario.gateways;
        },
        ...{ hasConnection: () => true, canProbe: false, deadlineShare: 0.8, random: draw() },
      };
      const choice = chooseUpstream(
        all.filter((record) => !tried.includes(record)),
        variant.extendContext(context, isUnsafe),
      );
      if (choice.kind !== 'chosen') return false;
      const due = { now: events.now, expected: choice.expected };
      const hasRoom = hasFreeSlot(choice.record);
      if (isHedge) {
        const event = { kind: 'due', ...due, hasRoom } as const;
        if (gateway.hedging?.decide(event).kind !== 'send') return false;
      }
      if (isCharged && !gateway.budget.takeRetry()) return false;
      const { record } = choice;
      const upstream = upstreams[Number(record.instance.id.slice(1))];
      if (upstream === undefined) return false;
      tried = [...tried, record];
      state = { ...state, pending: state.pending + 1 };
      record.inFlight += 1;
      record.inFlightChange += 1;
      const sentAt = events.now;
      const end = (outcome: AttemptOutcome): void => {
        running.delete(job);
        if (outcome.kind !== 'lost') report(upstream, record);
        record.inFlight -= 1;
        record.inFlightChange -= 1;
        addOutcome(record, outcome, events.now);
        if (outcome.kind === 'notRun') result.rejectedAttempts += 1;
        if (outcome.kind === 'lost') result.lostAttempts += 1;
        if (!isHedge) recordFirst(sentAt, outcome.kind === 'answered');
        if (isOver) return;
        state = addAttemptEnd(state, outcome);
        const decision = decideRetry(state, outcome);
        if (decision.kind === 'answer') {
          finish(decision.answer.kind === 'upstream' ? 'answered' : decision.answer.kind);
        }
        if (decision.kind === 'repeat') {
          const isSent = hasAttemptLeft(state) && attempt(decision.isCharged);
          if (!isSent && state.pending === 0) finish(state.mayHaveRun > 0 ? 'failed' : 'refused');
        }
      };
      const job: Job = {
        work: requestWork,
        isOver: false,
        onEnd: (outcome) => {
          events.add(LINK_DELAY, () => {
            if (job.isOver) return;
            job.isOver = true;
            end(outcome);
          });
        },
      };
      running.set(job, { record, sentAt, isHedge });
      events.add(LINK_DELAY, () => {
        if (!job.isOver) arrive(upstream, job);
      });
      const sent = { kind: 'sent', route: 'safe', expected: choice.expected } as const;
      const hedge = isHedgeable(state) ? gateway.hedging?.decide(sent) : undefined;
      if (hedge?.kind === 'wait') {
        lastHedgeTimer += 1;
        const timer = lastHedgeTimer;
        events.add(hedge.delay, () => {
          if (!isOver && timer === lastHedgeTimer && isHedgeable(state)) attempt(true, true);
        });
      }
      return true;
    };
    gateway.budget.addRequest(scenario.gateways);
    gateway.rates.addRequest(SERVICE, events.now);
    events.add(deadline, () => {
      if (isOver) return;
      finish('failed');
    });
    if (!attempt(false)) finish('refused');
  };

  const scheduleArrival = (): void => {
    const isBurst = burst !== undefined && events.now >= burst.from && events.now < burst.until;
    const rate =
      ((scenario.load * scenario.upstreams * slots) / work) * (isBurst ? burst.factor : 1);
    events.add(-Math.log(1 - drawArrival()) / rate, () => {
      if (events.now >= duration) return;
      const gateway = gateways[Math.floor(drawArrival() * gateways.length)];
      const isUnsafe = drawArrival() < 0.3;
      const requestWork = work * (0.5 + drawArrival());
      if (gateway !== undefined) serve(gateway, isUnsafe, requestWork);
      scheduleArrival();
    });
  };
  const isIsolated = (gateway: Gateway): boolean =>
    gateways.indexOf(gateway) < (scenario.isolated ?? 0);
  const gossip = (gateway: Gateway): void => {
    const now = events.now;
    const rows = gateway.registry.records
      .filter(
        (record) =>
          record.ownReportAt > gateway.lastSentAt ||
          record.unsentGood + record.unsentBad + record.unsentRejected > 0,
      )
      .map((record): ReceivedReport => {
        const { running, waiting, pace } = record.report;
        const [good, bad, rejected] = [record.unsentGood, record.unsentBad, record.unsentRejected];
        Object.assign(record, { unsentGood: 0, unsentBad: 0, unsentRejected: 0 });
        const counts = { good, bad, rejected };
        const { key, reportedAt } = record;
        const load = { key, running, waiting, pace, reportedAt };
        return { ...load, ...counts, coldFor: 0, unreachableFor: 0, limit: undefined };
      });
    gateway.lastSentAt = now;
    events.add(GOSSIP_DELAY, () => {
      if (isIsolated(gateway)) return;
      const share = { self: 'gw', gateways: ['gw'], bounds: { factor: 1.5, slack: 8 } };
      gateways.forEach((other) => {
        if (other === gateway || isIsolated(other)) return;
        rows.forEach((row) => {
          other.registry.applyReport(row, events.now, share);
        });
      });
    });
    if (now < duration) {
      events.add(GOSSIP_INTERVAL, () => {
        gossip(gateway);
      });
    }
  };
  const probe = (upstream: Upstream): void => {
    const gateway = gateways[upstream.index % gateways.length];
    const record = gateway?.registry.getRecord(`u${upstream.index}`);
    if (record !== undefined) report(upstream, record);
    if (events.now < duration) {
      events.add(PROBE_INTERVAL, () => {
        probe(upstream);
      });
    }
  };
  const changePaces = (): void => {
    if (noise === undefined) return;
    upstreams.forEach((upstream) => {
      upstream.pace = draw() < noise.share ? noise.factor : 1;
    });
    if (events.now < duration) events.add(noise.interval, changePaces);
  };
  changePaces();
  gateways.forEach((gateway, at) => {
    events.add((GOSSIP_INTERVAL * at) / gateways.length, () => {
      gossip(gateway);
    });
  });
  upstreams.forEach((upstream) => {
    events.add(draw() * PROBE_INTERVAL, () => {
      probe(upstream);
    });
  });
  scheduleArrival();
  while (events.runNext());
  return result;
}
