/**
 * Replays a load on several gateways that know the upstreams by stale reports, with the gateway's own requests' runs,
 * choice and queues, on simulated time. Invariant: equal scenarios give equal results for each decision, except that the
 * random numbers of the queues are seeded by the scenario as well.
 */
import { mock } from 'node:test';
import { emptyCatalog, type Catalog, type Route } from '../src/catalog/index.js';
import { BufferBudget } from '../src/gateway/buffers.js';
import { RetryBudget } from '../src/gateway/budget.js';
import { chooseUpstream, computePace, hasFreeSlot } from '../src/gateway/choose.js';
import { RequestQueues, type WaitCounts } from '../src/gateway/queues.js';
import { addOutcome, addReport, UpstreamRegistry } from '../src/gateway/registry.js';
import { RequestRun, type RunHost } from '../src/gateway/run.js';
import type {
  AttemptOutcome,
  FinalAnswer,
  GatewayRequest,
  LoadReport,
  UpstreamRecord,
} from '../src/gateway/types.js';
import { AverageWork } from '../src/gateway/work.js';
import { DEFAULT_MAX_EXTRA_WORK, HedgeTracker } from '../src/hedging/index.js';
import { createRandom } from './queueing.js';

/** A kind of request. */
export interface LoadKind {
  readonly name: string;
  readonly rank: number;
  readonly isSafe: boolean;
  /** Share of all requests. */
  readonly share: number;
  readonly work: number;
  readonly targetLatency: number;
  readonly deadline: number;
}

/** A phase of the load. */
export interface LoadPhase {
  readonly duration: number;
  /** Arrivals as a multiple of the capacity. */
  readonly load: number;
  /** Share of the requests that upstreams reject although they have room. */
  readonly rejected: number;
  /** Share of the upstreams that do so. */
  readonly rejecting: number;
}

/** A load and the deployment that it meets. */
export interface ReplayScenario {
  readonly gateways: number;
  readonly upstreams: number;
  readonly slots: number;
  /** Requests that wait in an upstream; it rejects further ones as not run. */
  readonly queued: number;
  /** Milliseconds between two load reports of an upstream to a gateway, and their age on arrival. */
  readonly reportInterval: number;
  readonly reportDelay: number;
  readonly kinds: readonly LoadKind[];
  /** Accounts by weight; a request belongs to one of them at random. */
  readonly accounts?: readonly { readonly name: string; readonly weight: number }[];
  readonly phases: readonly LoadPhase[];
  /** Whether callers return once after Retry-After; an impatient one returns at once. */
  readonly isReturning: boolean;
  readonly impatientAccount?: string;
  readonly seed: number;
}

/** What became of a caller's request, including its return. */
export interface ReplayedCall {
  readonly kind: string;
  readonly account: string | undefined;
  readonly arrivedAt: number;
  readonly end: 'inTarget' | 'late' | 'refused' | 'failed';
  readonly latency: number;
  /** Longest time for which a refused attempt of the caller was held, as a share of the time it had. */
  readonly heldShare: number;
}

/** Result of a replay. */
export interface ReplayResult {
  readonly calls: readonly ReplayedCall[];
  readonly waits: readonly WaitCounts[];
  /** Arrivals at upstreams beyond the first of each request. */
  readonly repeated: number;
  readonly requests: number;
}

/** Time in milliseconds after the last phase in which requests end. */
const TAIL_MS = 6000;
/** Milliseconds from a gateway to an upstream. */
const NETWORK_DELAY_MS = 1;
const DEADLINE_SHARE = 0.8;
const DEADLINE_SHARE_STEP = 0.15;
const RETRY_BOUNDS = { ratio: 0.2, slack: 192 };
const SERVICE = 'records';

class SimulatedUpstream {
  running = 0;
  readonly waiting: (() => void)[] = [];

  constructor(
    readonly index: number,
    readonly slots: number,
  ) {}

  getReport(): LoadReport {
    return { running: this.running, waiting: this.waiting.length, slots: this.slots, pace: 1 };
  }

  start(time: number, onEnd: () => void): void {
    this.running += 1;
    setTimeout(() => {
      this.running -= 1;
      this.waiting.shift()?.();
      onEnd();
    }, time);
  }
}

function buildCatalog({ upstreams, slots }: ReplayScenario, routes: readonly Route[]): Catalog {
  const service = {
    ...{ name: SERVICE, healthPath: '/', maxConnections: 1000, coldTime: 0, coldRate: 0 },
    source: undefined,
  };
  const instances = Array.from({ length: upstreams }, (_, index) => ({
    ...{ id: `u${index}`, address: `u${index}:1`, zone: 'a', service: SERVICE, version: 'v1' },
    ...{ slots, bornAt: 0, draining: false },
  }));
  return {
    ...emptyCatalog,
    table: { routes, services: [service] } as unknown as NonNullable<Catalog['table']>,
    instances: new Map(instances.map((instance) => [instance.id, instance])),
  };
}

function buildRoute({ name, rank, isSafe, targetLatency, deadline }: LoadKind): Route {
  return {
    ...{ name, host: 'h', prefix: '/', kind: isSafe ? 'safe' : 'unsafe', timeout: deadline },
    ...{ targetLatency, maxAttempts: 2, rank, parts: [{ service: SERVICE, weight: 1 }] },
    source: undefined,
  };
}

function pickByWeight<T>(items: readonly T[], getWeight: (item: T) => number, random: number): T {
  const total = items.reduce((sum, item) => sum + getWeight(item), 0);
  let left = random * total;
  const found = items.find((item) => {
    left -= getWeight(item);
    return left < 0;
  });
  const picked = found ?? items.at(-1);
  if (picked === undefined) throw new Error('give at least one item to pick from');
  return picked;
}

const nothingRun: FinalAnswer = { kind: 'refused', cause: 'overloaded', retryAfter: 0 };

/** Runs a scenario; `isWaiting` tells whether the gateways have queues. */
class Replay {
  readonly #scenario: ReplayScenario;
  readonly #random: () => number;
  readonly #works: () => number;
  readonly #upstreams: readonly SimulatedUpstream[];
  readonly #routes: ReadonlyMap<string, Route>;
  readonly #gateways: readonly RunHost[];
  readonly #queues: RequestQueues[] = [];
  readonly #calls: ReplayedCall[] = [];
  #now = 0;
  #phase: LoadPhase | undefined;
  #nextId = 0;
  #requests = 0;
  #sent = 0;
  #firstSent = new Set<string>();

  constructor(scenario: ReplayScenario, isWaiting: boolean) {
    this.#scenario = scenario;
    this.#random = createRandom(scenario.seed);
    this.#works = createRandom(scenario.seed + 1);
    this.#upstreams = Array.from(
      { length: scenario.upstreams },
      (_, index) => new SimulatedUpstream(index, scenario.slots),
    );
    this.#routes = new Map(scenario.kinds.map((kind) => [kind.name, buildRoute(kind)]));
    this.#gateways = Array.from({ length: scenario.gateways }, () =>
      this.#createGateway(isWaiting),
    );
  }

  #createGateway(isWaiting: boolean): RunHost {
    const { kinds, gateways, reportInterval, reportDelay } = this.#scenario;
    const registry = new UpstreamRegistry();
    registry.update(buildCatalog(this.#scenario, [...this.#routes.values()]));
    const work = new AverageWork();
    kinds.forEach((kind) => {
      const route = this.#routes.get(kind.name);
      if (route === undefined) return;
      Array.from({ length: 500 }).forEach(() => {
        work.get(SERVICE, route).addSample(kind.work);
      });
    });
    const topRank = Math.min(...kinds.map(({ rank }) => rank));
    const now = (): number => this.#now;
    const queues = new RequestQueues({
      ...{ now, registry, work, countGateways: () => gateways, getTopRank: () => topRank },
    });
    this.#queues.push(queues);
    const budget = new RetryBudget(RETRY_BOUNDS);
    registry.records.forEach((record, index) => {
      const upstream = this.#upstreams[index];
      if (upstream === undefined) return;
      const report = (): void => {
        const { running, waiting, slots, pace } = upstream.getReport();
        const madeAt = this.#now;
        setTimeout(() => {
          addReport(record, { running, waiting, slots, pace }, madeAt);
        }, this.#random() * reportDelay);
        setTimeout(report, reportInterval);
      };
      setTimeout(report, this.#random() * reportInterval);
    });
    return {
      now,
      ...(isWaiting ? { queues } : {}),
      buffers: new BufferBudget(1e9),
      choose: (request, tried) =>
        chooseUpstream(
          registry.listUsable(SERVICE, undefined).filter((record) => !tried.includes(record)),
          {
            ...{ now: this.#now, work: work.get(SERVICE, request.route).value, zone: 'a' },
            ...{ timeLeft: request.deadline - this.#now, isLarge: false, justProbed: [] },
            targetTime: isWaiting
              ? queues.computeTargetTime(request)
              : request.arrivedAt + request.route.targetLatency - this.#now,
            ...{ canProbe: false, hasConnection: () => true, random: this.#random() },
            deadlineShare: Math.max(
              0.3,
              DEADLINE_SHARE - (request.rank - topRank) * DEADLINE_SHARE_STEP,
            ),
          },
        ),
      hedging: new HedgeTracker(DEFAULT_MAX_EXTRA_WORK),
      hasRoomForHedge: (record) => !isWaiting || (hasFreeSlot(record) && !queues.isShort(SERVICE)),
      isProbeDue: () => false,
      probeOnDemand: () => undefined,
      send: (request, record, onEnd) => this.#send(request, record, onEnd),
      isAllowed: () => true,
      getQuarantineTime: () => 0,
      isSuspected: () => false,
      waitForCrashCheck: (_request, _record, onEnd) => {
        onEnd();
      },
      takeRetry: () => budget.takeRetry(),
      recordAttempt: (request, { record, sentAt, slowdown }, outcome) => {
        record.inFlight -= 1;
        record.inFlightChange -= 1;
        if (outcome !== undefined) addOutcome(record, outcome, this.#now);
        if (outcome?.kind === 'answered') {
          work.get(SERVICE, request.route).addSample((this.#now - sentAt) / slowdown);
          registry.addPace(SERVICE, computePace(record, this.#now));
        }
        queues.recordEnd(request, outcome);
      },
      recordDecision: (_request, decision) => {
        if (decision === 'arrived') budget.addRequest(gateways);
      },
    };
  }

  #send(
    request: GatewayRequest,
    record: UpstreamRecord,
    onEnd: (outcome: AttemptOutcome) => void,
  ): { readonly cancel: () => void } {
    record.inFlight += 1;
    record.inFlightChange += 1;
    this.#sent += 1;
    this.#firstSent.add(request.id);
    let isCancelled = false;
    const upstream = this.#upstreams[Number(record.instance.id.slice(1))];
    const end = (outcome: AttemptOutcome): void => {
      const report = upstream?.getReport();
      const madeAt = this.#now;
      setTimeout(() => {
        if (report !== undefined) addReport(record, report, madeAt);
        if (!isCancelled) onEnd(outcome);
      }, NETWORK_DELAY_MS);
    };
    setTimeout(() => {
      if (upstream !== undefined) this.#arriveAtUpstream(upstream, request, end);
    }, NETWORK_DELAY_MS);
    return {
      cancel: () => {
        isCancelled = true;
      },
    };
  }

  #arriveAtUpstream(
    upstream: SimulatedUpstream,
    request: GatewayRequest,
    end: (outcome: AttemptOutcome) => void,
  ): void {
    const { slots, queued, upstreams, kinds } = this.#scenario;
    const { rejected = 0, rejecting = 0 } = this.#phase ?? {};
    const isRejecting = upstream.index < upstreams * rejecting && this.#works() < rejected;
    if (isRejecting || upstream.waiting.length >= queued) {
      end({ kind: 'notRun', isMisdirected: false });
      return;
    }
    const work = kinds.find(({ name }) => name === request.route.name)?.work ?? 0;
    const time = work * (0.7 + 0.6 * this.#works());
    const answer = { status: 200, reason: '', headers: [], body: Buffer.alloc(0) };
    const start = (): void => {
      upstream.start(time, () => {
        end({ kind: 'answered', answer: { ...answer, isUnframed: false } });
      });
    };
    if (upstream.running < slots) start();
    else upstream.waiting.push(start);
  }

  #call(
    kind: LoadKind,
    account: string | undefined,
    caller: { readonly arrivedAt: number; readonly isReturn: boolean; readonly heldShare: number },
  ): void {
    const route = this.#routes.get(kind.name);
    const gateway = this.#gateways[Math.floor(this.#random() * this.#gateways.length)];
    if (route === undefined || gateway === undefined) return;
    const { arrivedAt } = caller;
    this.#nextId += 1;
    this.#requests += 1;
    const sentAt = this.#now;
    const request: GatewayRequest = {
      ...{ id: String(this.#nextId), method: 'GET', target: '/', headers: [], callerHeaders: [] },
      ...{ body: Buffer.alloc(0), hasBody: false, route, service: SERVICE, version: undefined },
      ...{ retryVersion: undefined, account, rank: kind.rank, peer: undefined },
      ...{ arrivedAt: sentAt, deadline: arrivedAt + kind.deadline },
    };
    gateway.recordDecision(request, 'arrived', undefined, '');
    new RequestRun(gateway, request, (answer) => {
      const heldShare =
        answer.kind === 'refused'
          ? Math.max(caller.heldShare, (this.#now - sentAt) / (request.deadline - sentAt))
          : caller.heldShare;
      this.#finish(kind, account, { ...caller, heldShare }, answer);
    });
  }

  #finish(
    kind: LoadKind,
    account: string | undefined,
    caller: { readonly arrivedAt: number; readonly isReturn: boolean; readonly heldShare: number },
    answer: FinalAnswer = nothingRun,
  ): void {
    const { isReturning, impatientAccount } = this.#scenario;
    if (answer.kind === 'refused' && isReturning && !caller.isReturn) {
      const isImpatient = account !== undefined && account === impatientAccount;
      setTimeout(
        () => {
          this.#call(kind, account, { ...caller, isReturn: true });
        },
        isImpatient ? 0 : Math.max(1, answer.retryAfter),
      );
      return;
    }
    const latency = this.#now - caller.arrivedAt;
    const ends = { refused: 'refused', failed: 'failed' } as const;
    const end =
      answer.kind === 'upstream'
        ? latency <= kind.targetLatency
          ? 'inTarget'
          : 'late'
        : ends[answer.kind];
    const { arrivedAt, heldShare } = caller;
    this.#calls.push({ kind: kind.name, account, arrivedAt, end, latency, heldShare });
  }

  #scheduleArrivals(): void {
    const { kinds, phases, upstreams, slots, accounts } = this.#scenario;
    const meanWork = kinds.reduce((sum, { share, work }) => sum + share * work, 0);
    const capacity = (upstreams * slots) / meanWork;
    const draw = createRandom(this.#scenario.seed + 2);
    let phaseStart = 0;
    phases.forEach((phase) => {
      const start = phaseStart;
      phaseStart += phase.duration;
      setTimeout(() => {
        this.#phase = phase;
      }, start);
      const rate = capacity * phase.load;
      for (let at = start; at < phaseStart; at += -Math.log(1 - draw()) / rate) {
        const kind = pickByWeight(kinds, ({ share }) => share, draw());
        const chosen = accounts && pickByWeight(accounts, ({ weight }) => weight, draw());
        setTimeout(() => {
          this.#call(kind, chosen?.name, { arrivedAt: this.#now, isReturn: false, heldShare: 0 });
        }, at);
      }
    });
  }

  run(): ReplayResult {
    this.#scheduleArrivals();
    const end = this.#scenario.phases.reduce((sum, { duration }) => sum + duration, 0) + TAIL_MS;
    while (this.#now < end) {
      this.#now += 1;
      mock.timers.tick(1);
    }
    return {
      calls: this.#calls,
      waits: this.#queues.map(({ counts }) => counts),
      repeated: this.#sent - this.#firstSent.size,
      requests: this.#requests,
    };
  }
}

/**
 * Runs a scenario with the queues or, as before them, with immediate refusals.
 *
 * @example
 * runReplay(scenario, 'queues').calls.filter(({ end }) => end === 'refused').length
 */
export function runReplay(scenario: ReplayScenario, decision: 'queues' | 'refusals'): ReplayResult {
  mock.timers.enable({ apis: ['setTimeout'] });
  const { random } = Math;
  Math.random = createRandom(scenario.seed + 3);
  try {
    return new Replay(scenario, decision === 'queues').run();
  } finally {
    Math.random = random;
    mock.timers.reset();
  }
}

/** Shares of the calls by their end. */
export interface ReplaySummary {
  readonly calls: number;
  readonly inTarget: number;
  readonly late: number;
  readonly refused: number;
  readonly failed: number;
  readonly p99: number;
}

/** Returns the shares of the calls by their end, and the 99th percentile of the served ones' latency. */
export function sumCalls(calls: readonly ReplayedCall[]): ReplaySummary {
  const count = (end: ReplayedCall['end']): number =>
    calls.filter((call) => call.end === end).length / Math.max(1, calls.length);
  const latencies = calls
    .filter(({ end }) => end === 'inTarget' || end === 'late')
    .map(({ latency }) => latency)
    .sort((left, right) => left - right);
  return {
    calls: calls.length,
    inTarget: count('inTarget'),
    late: count('late'),
    refused: count('refused'),
    failed: count('failed'),
    p99: latencies[Math.floor(latencies.length * 0.99)] ?? 0,
  };
}

const KINDS: readonly LoadKind[] = [
  {
    ...{ name: 'urgent', rank: 0, isSafe: true, share: 0.4 },
    ...{ work: 60, targetLatency: 250, deadline: 1000 },
  },
  {
    ...{ name: 'order', rank: 1, isSafe: false, share: 0.3 },
    ...{ work: 120, targetLatency: 600, deadline: 2500 },
  },
  {
    ...{ name: 'report', rank: 2, isSafe: true, share: 0.3 },
    ...{ work: 200, targetLatency: 1200, deadline: 4000 },
  },
];

const DEPLOYMENT = {
  ...{ gateways: 20, upstreams: 40, slots: 2, queued: 4, reportInterval: 200, reportDelay: 200 },
  ...{ kinds: KINDS, isReturning: true, seed: 1 },
};
const calm = { load: 0.6, rejected: 0, rejecting: 0 };

/** A burst of 1.7 times the capacity for 3.5 s. */
export const burst: ReplayScenario = {
  ...DEPLOYMENT,
  phases: [
    { ...calm, duration: 2000 },
    { ...calm, duration: 3500, load: 1.7 },
    { ...calm, duration: 2000 },
  ],
};

/** A burst on a large deployment, of whose requests each gateway sees about a dozen a second. */
export const largeBurst: ReplayScenario = {
  ...DEPLOYMENT,
  ...{ gateways: 150, upstreams: 116 },
  kinds: [
    {
      ...{ name: 'urgent', rank: 0, isSafe: true, share: 0.4 },
      ...{ work: 54, targetLatency: 209, deadline: 1000 },
    },
    {
      ...{ name: 'order', rank: 1, isSafe: false, share: 0.3 },
      ...{ work: 150, targetLatency: 700, deadline: 2500 },
    },
    {
      ...{ name: 'report', rank: 2, isSafe: true, share: 0.3 },
      ...{ work: 340, targetLatency: 2192, deadline: 5000 },
    },
  ],
  phases: [
    { ...calm, duration: 1000 },
    { ...calm, duration: 3500, load: 1.7 },
    { ...calm, duration: 500 },
  ],
};

/** 76 of 94 upstreams reject 55 % of the requests for 8.5 s. */
export const rejections: ReplayScenario = {
  ...DEPLOYMENT,
  phases: [
    { ...calm, duration: 2000 },
    { ...calm, duration: 8500, rejected: 0.55, rejecting: 0.81 },
    { ...calm, duration: 2000 },
  ],
};

/** A load at which there is room for all requests. */
export const noShortage: ReplayScenario = {
  ...DEPLOYMENT,
  phases: [{ ...calm, duration: 5000, load: 0.4 }],
};

/** Twelve accounts of which one asks for as much as half of the others, in a long shortage. */
export const unequalAccounts: ReplayScenario = {
  ...DEPLOYMENT,
  accounts: Array.from({ length: 12 }, (_, index) => ({
    name: `account-${index}`,
    weight: index === 0 ? 6 : 1,
  })),
  phases: [
    { ...calm, duration: 1000 },
    { ...calm, duration: 8000, load: 1.7 },
  ],
};

/** Returns the served share of each account, as a multiple of the served share of all. */
export function listServedShares(calls: readonly ReplayedCall[]): ReadonlyMap<string, number> {
  const isServed = ({ end }: ReplayedCall): boolean => end === 'inTarget' || end === 'late';
  const total = calls.filter(isServed).length / calls.length;
  const names = [...new Set(calls.map(({ account }) => account ?? ''))].sort();
  return new Map(
    names.map((name) => {
      const own = calls.filter(({ account = '' }) => account === name);
      return [name, own.filter(isServed).length / own.length / total];
    }),
  );
}
