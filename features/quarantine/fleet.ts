/**
 * A simulated fleet of gateways and upstreams on a virtual clock, with the real decisions on requests that crash
 * upstreams. Datagrams take time and get lost, upstreams come back, and callers send lost requests again.
 */
import {
  computeRelease,
  decideQuarantine,
  emptyQuarantineState,
  listEvidence,
  type Evidence,
  type QuarantineState,
} from '../../src/quarantine/index.js';
import { createDraw, type Draw } from './draw.js';

/** What happens in a run. Times are in milliseconds, rates in requests a second. */
export interface FleetOptions {
  readonly seed: number;
  readonly gateways: number;
  readonly upstreams: number;
  readonly duration: number;
  /** Requests that crash each upstream that runs them: each one's rate. */
  readonly killers: readonly number[];
  /** Whether all killers are sent at the same moments, to the same gateway and upstream. */
  readonly areKillersTogether?: boolean;
  /** Rate of requests that crash nothing and are sent once, but for the retries of their callers. */
  readonly otherRate: number;
  /** Callers that each repeat one request that crashes nothing, four times a second. */
  readonly pollers: number;
  /** Number of upstreams that crash by themselves, and the time between two of them. */
  readonly herd?: { readonly count: number; readonly gap: number };
  /** Upstreams that crash by themselves over and over, as often as they come back. */
  readonly flapping?: number;
  /** Time between two kills of a gateway, which is back after 300 ms and asks another one. */
  readonly restartGap?: number;
  /** Share of the datagrams that are lost. */
  readonly loss: number;
}

/** What a run showed. */
export interface FleetResult {
  /** Upstreams that each killer ended. */
  readonly ended: readonly number[];
  /** Sendings of each killer that reached an upstream later than 3 s after its third crash. */
  readonly late: readonly number[];
  /** Requests that crash nothing but were refused. */
  readonly refused: number;
  /** Fingerprints of requests that crash nothing but were quarantined at some gateway. */
  readonly condemned: readonly string[];
  readonly sent: number;
}

const RESTART_TIME = 2500;
const GATEWAY_RESTART_TIME = 300;
const KILLING_TIME = 80;
const OTHER_WORK = 240;
const CHECK_TIME = 3;
const CONTACT = 3000;
const MAX_ATTEMPTS = 2;
/** Sendings of one request by its caller. */
const CALLER_SENDINGS = 2;
const POLL_GAP = 250;
const SYNC_GAP = 1000;
/** Share of the upstreams that go on with a request whose connection closes. */
const STUBBORN_SHARE = 0.1;

interface Attempt {
  readonly fingerprint: string;
  readonly gateway: Gateway;
  readonly onEnd: (outcome: 'answered' | 'lost') => void;
  isOver: boolean;
  isCancelled: boolean;
}

interface SimulatedUpstream {
  readonly index: number;
  incarnation: number;
  isUp: boolean;
  readonly attempts: Set<Attempt>;
}

interface Gateway {
  readonly index: number;
  state: QuarantineState;
  isUp: boolean;
  readonly attempts: Set<Attempt>;
}

interface Event {
  readonly at: number;
  readonly run: () => void;
}

class Fleet {
  readonly #options: FleetOptions;
  readonly #draw: Draw;
  readonly #gateways: readonly Gateway[];
  readonly #upstreams: readonly SimulatedUpstream[];
  readonly #events: Event[] = [];
  readonly #ended = new Map<string, number[]>();
  readonly #late = new Map<string, number>();
  readonly #condemned = new Set<string>();
  #refused = 0;
  #sent = 0;
  #now = 0;

  constructor(options: FleetOptions) {
    this.#options = options;
    this.#draw = createDraw(options.seed);
    this.#gateways = Array.from({ length: options.gateways }, (_, index) => ({
      ...{ index, state: emptyQuarantineState, isUp: true, attempts: new Set<Attempt>() },
    }));
    this.#upstreams = Array.from({ length: options.upstreams }, (_, index) => ({
      ...{ index, incarnation: 1, isUp: true, attempts: new Set<Attempt>() },
    }));
  }

  run(): FleetResult {
    const { duration, killers, areKillersTogether, otherRate, pollers } = this.#options;
    const { herd, flapping, restartGap } = this.#options;
    const names = killers.map((_, index) => `killer-${index}`);
    if (areKillersTogether === true)
      this.#repeat(1000 / (killers[0] ?? 1), () => {
        this.#sendTogether(names);
      });
    else
      names.forEach((name, index) => {
        this.#repeat(1000 / (killers[index] ?? 1), () => {
          this.#call(name, 1);
        });
      });
    this.#repeat(1000 / otherRate, (index) => {
      this.#call(`other-${index}`, CALLER_SENDINGS);
    });
    Array.from({ length: pollers }, (_, index) => index).forEach((index) => {
      this.#repeat(POLL_GAP, () => {
        this.#call(`poller-${index}`, 1);
      });
    });
    if (herd !== undefined)
      Array.from({ length: herd.count }, (_, index) => index).forEach((index) => {
        this.#schedule(duration / 4 + index * herd.gap, () => {
          this.#crash(this.#upstreams[index % this.#upstreams.length]);
        });
      });
    this.#upstreams.slice(0, flapping ?? 0).forEach((upstream) => {
      this.#repeat(RESTART_TIME + 700, () => {
        this.#crash(upstream);
      });
    });
    if (restartGap !== undefined)
      this.#repeat(restartGap, (index) => {
        this.#restartGateway(this.#gateways[index % this.#gateways.length]);
      });
    this.#gateways.forEach((gateway) => {
      this.#repeat(SYNC_GAP, () => {
        this.#sync(gateway);
      });
    });
    while ((this.#events.at(-1)?.at ?? Infinity) <= duration) this.#step(duration);
    return {
      ended: names.map((name) => this.#ended.get(name)?.length ?? 0),
      late: names.map((name) => this.#late.get(name) ?? 0),
      refused: this.#refused,
      condemned: [...this.#condemned],
      sent: this.#sent,
    };
  }

  #step(duration: number): void {
    const next = this.#events.pop();
    if (next === undefined || next.at > duration) return;
    this.#now = next.at;
    next.run();
  }

  /** Keeps the events sorted, the next one last. */
  #schedule(delay: number, run: () => void): void {
    const at = this.#now + delay;
    let low = 0;
    let high = this.#events.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this.#events[middle]?.at ?? 0) > at) low = middle + 1;
      else high = middle;
    }
    this.#events.splice(low, 0, { at, run });
  }

  #repeat(gap: number, run: (index: number) => void, index = 0): void {
    this.#schedule(index === 0 ? this.#draw() * gap : gap, () => {
      run(index);
      this.#repeat(gap, run, index + 1);
    });
  }

  #pick<T>(items: readonly T[]): T | undefined {
    return items[Math.floor(this.#draw() * items.length)];
  }

  #isRefused({ index, state, attempts }: Gateway, fingerprint: string): boolean {
    const verdict = state.verdicts.get(fingerprint);
    if (verdict === undefined) return false;
    if (computeRelease(verdict, fingerprint, `gateway-${index}`) > this.#now) return true;
    return [...attempts].some((other) => other.fingerprint === fingerprint);
  }

  /** Sends a request as a caller does: again, at any gateway, after it was lost. */
  #call(fingerprint: string, sendings: number): void {
    const gateway = this.#pick(this.#gateways.filter(({ isUp }) => isUp));
    if (gateway === undefined) return;
    this.#sent += 1;
    this.#send(gateway, fingerprint, MAX_ATTEMPTS, [], () => {
      if (sendings > 1) this.#call(fingerprint, sendings - 1);
    });
  }

  #sendTogether(names: readonly string[]): void {
    const gateway = this.#pick(this.#gateways.filter(({ isUp }) => isUp));
    const upstream = this.#pick(this.#upstreams.filter(({ isUp }) => isUp));
    if (gateway === undefined || upstream === undefined) return;
    names.forEach((name) => {
      if (!this.#isRefused(gateway, name)) this.#start(gateway, name, upstream, () => undefined);
    });
  }

  #send(
    gateway: Gateway,
    fingerprint: string,
    attemptsLeft: number,
    tried: readonly SimulatedUpstream[],
    onLost: () => void,
  ): void {
    if (this.#isRefused(gateway, fingerprint)) {
      if (!fingerprint.startsWith('killer')) this.#refused += 1;
      return;
    }
    const upstream = this.#pick(
      this.#upstreams.filter((other) => other.isUp && !tried.includes(other)),
    );
    if (upstream === undefined) return;
    this.#start(gateway, fingerprint, upstream, (outcome) => {
      if (outcome === 'answered') return;
      if (attemptsLeft <= 1) {
        onLost();
        return;
      }
      const { suspicions, verdicts } = gateway.state;
      const isSuspected =
        verdicts.has(fingerprint) || suspicions.some((known) => known.fingerprint === fingerprint);
      this.#schedule(isSuspected ? CHECK_TIME : 0, () => {
        this.#send(gateway, fingerprint, attemptsLeft - 1, [...tried, upstream], onLost);
      });
    });
  }

  #start(
    gateway: Gateway,
    fingerprint: string,
    upstream: SimulatedUpstream,
    onEnd: Attempt['onEnd'],
  ): void {
    const attempt: Attempt = { fingerprint, gateway, onEnd, isOver: false, isCancelled: false };
    const { incarnation } = upstream;
    const isKiller = fingerprint.startsWith('killer');
    if (isKiller) this.#countSending(fingerprint);
    upstream.attempts.add(attempt);
    gateway.attempts.add(attempt);
    const isStubborn = this.#draw() < STUBBORN_SHARE;
    const work = isKiller ? KILLING_TIME : OTHER_WORK;
    this.#schedule(work * (0.5 + this.#draw()), () => {
      if (upstream.incarnation !== incarnation || !upstream.isUp) return;
      if (isKiller && (!attempt.isOver || (attempt.isCancelled && isStubborn))) {
        this.#ended.set(fingerprint, [...(this.#ended.get(fingerprint) ?? []), this.#now]);
        this.#crash(upstream);
      } else if (!attempt.isOver) {
        this.#end(attempt, upstream);
        this.#findEvidence(gateway, [{ kind: 'success', fingerprint, at: this.#now }]);
        attempt.onEnd('answered');
      }
    });
  }

  #countSending(fingerprint: string): void {
    const third = this.#ended.get(fingerprint)?.[2] ?? Infinity;
    if (this.#now > third + CONTACT)
      this.#late.set(fingerprint, (this.#late.get(fingerprint) ?? 0) + 1);
  }

  #end(attempt: Attempt, upstream: SimulatedUpstream): void {
    attempt.isOver = true;
    upstream.attempts.delete(attempt);
    attempt.gateway.attempts.delete(attempt);
  }

  #crash(upstream: SimulatedUpstream | undefined): void {
    if (!upstream?.isUp) return;
    const { index, incarnation } = upstream;
    upstream.isUp = false;
    const lost = [...upstream.attempts].filter(({ isOver }) => !isOver);
    lost.forEach((attempt) => {
      this.#end(attempt, upstream);
    });
    upstream.attempts.clear();
    const at = this.#now;
    new Set(lost.map(({ gateway }) => gateway)).forEach((gateway) => {
      const evidence = lost
        .filter((attempt) => attempt.gateway === gateway)
        .map(({ fingerprint }): Evidence => ({
          ...{ kind: 'crash', fingerprint, upstreamId: `u${index}`, incarnation, at },
        }));
      this.#schedule(CHECK_TIME, () => {
        this.#findEvidence(gateway, evidence);
      });
    });
    lost.forEach((attempt) => {
      attempt.onEnd('lost');
    });
    this.#schedule(RESTART_TIME, () => {
      upstream.incarnation += 1;
      upstream.isUp = true;
    });
  }

  #findEvidence(gateway: Gateway, evidence: readonly Evidence[]): void {
    if (gateway.isUp) this.#apply(gateway, evidence, 'found');
  }

  #apply(gateway: Gateway, evidence: readonly Evidence[], kind: 'found' | 'received'): void {
    const { state, effects } = decideQuarantine(gateway.state, { kind, evidence, now: this.#now });
    gateway.state = state;
    effects.forEach((effect) => {
      if (effect.kind === 'quarantine') this.#cancelAttempts(gateway, effect.fingerprint);
      if (effect.kind === 'share' && effect.origin === 'own')
        this.#gateways
          .filter((other) => other !== gateway && this.#draw() >= this.#options.loss)
          .forEach((other) => {
            this.#deliver(other, effect.evidence);
          });
    });
  }

  #deliver(gateway: Gateway, evidence: readonly Evidence[]): void {
    this.#schedule(1 + 4 * this.#draw(), () => {
      if (gateway.isUp) this.#apply(gateway, evidence, 'received');
    });
  }

  #cancelAttempts(gateway: Gateway, fingerprint: string): void {
    if (!fingerprint.startsWith('killer')) this.#condemned.add(fingerprint);
    [...gateway.attempts]
      .filter((attempt) => attempt.fingerprint === fingerprint)
      .forEach((attempt) => {
        attempt.isOver = true;
        attempt.isCancelled = true;
        gateway.attempts.delete(attempt);
      });
  }

  #sync(gateway: Gateway): void {
    const peer = this.#pick(this.#gateways.filter((other) => other !== gateway && other.isUp));
    if (peer === undefined || !gateway.isUp) return;
    if (this.#draw() >= this.#options.loss) this.#deliver(gateway, listEvidence(peer.state));
  }

  #restartGateway(gateway: Gateway | undefined): void {
    if (!gateway?.isUp) return;
    gateway.isUp = false;
    gateway.state = emptyQuarantineState;
    [...gateway.attempts].forEach((attempt) => {
      attempt.isOver = true;
      attempt.isCancelled = true;
    });
    gateway.attempts.clear();
    this.#schedule(GATEWAY_RESTART_TIME, () => {
      // The gateway serves once one of three others has answered.
      const peers = this.#gateways.filter((other) => other !== gateway && other.isUp);
      const answering = peers.filter(() => this.#draw() >= this.#options.loss).slice(0, 3);
      gateway.isUp = true;
      answering.forEach((peer) => {
        this.#apply(gateway, listEvidence(peer.state), 'received');
      });
    });
  }
}

/** Runs a fleet to its end. */
export function runFleet(options: FleetOptions): FleetResult {
  return new Fleet(options).run();
}
