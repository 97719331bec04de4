/**
 * Connects the runs of a gateway with the queues of waiting requests. Invariant: the capacity that the queues assume is
 * this gateway's share of the usable slots, so that the shares of all gateways add up to them.
 */
import type { Duration, Instant } from '../model/index.js';
import {
  computeRetryAfter,
  ServiceQueues,
  type Capacity,
  type Waiter,
  type WaitingListener,
  type WaitingTicket,
  type WaitRefusal,
} from '../overload/index.js';
import { createLogger } from '../telemetry/index.js';
import { computeOccupancy, type UpstreamRegistry } from './registry.js';
import type { RunQueues } from './run.js';
import type { AttemptOutcome, GatewayRequest, UpstreamRecord } from './types.js';
import type { AverageWork } from './work.js';

const log = createLogger('gateway');

const MS_PER_SECOND = 1000;
/** Share of the slots up to which free ones count as none; reports are up to some hundred milliseconds old. */
const FULL_SHARE = 0.1;
/**
 * Share of the slots that must be free for a request without an upstream to say nothing of the capacity: it has too little
 * time left. In a burst, reports that are out of date still show some free slots.
 */
const CALM_SHARE = 1 / 3;
/** Multiple of the work that an upstream without a free slot may take while capacity is short. */
const MAX_QUEUED_RATIO = 3;

/** Options of {@link RequestQueues}. */
export interface QueueOptions {
  readonly now: () => Instant;
  readonly registry: UpstreamRegistry;
  readonly work: AverageWork;
  readonly countGateways: () => number;
  /** Returns the rank of the service's most urgent routes. */
  readonly getTopRank: (service: string) => number | undefined;
}

/** Counts of requests that found no room. */
export interface WaitCounts {
  /** Requests that wait. */
  readonly waiting: number;
  /** Requests that were sent after a wait. */
  readonly served: number;
  /** Milliseconds that these waited. */
  readonly waitedTime: Duration;
  /** Requests that were refused, by cause. */
  readonly refused: Readonly<Record<WaitRefusal, number>>;
  /** Requests whose callers disconnected, or that ended otherwise, while they waited. */
  readonly left: number;
}

/** Returns the number of the upstreams' slots, and of those that are free by the reports at hand. */
function countSlots(records: readonly UpstreamRecord[]): {
  readonly slots: number;
  readonly free: number;
} {
  return {
    slots: records.reduce((sum, { instance }) => sum + instance.slots, 0),
    free: records.reduce(
      (sum, record) => sum + Math.max(0, record.instance.slots - computeOccupancy(record)),
      0,
    ),
  };
}

/**
 * Returns this gateway's share of the capacity of the upstreams.
 *
 * @example
 * computeCapacity(records, { work: 100, pace: 1, gateways: 4, now }) // slotRate: 5 for 2 slots
 */
export function computeCapacity(
  records: readonly UpstreamRecord[],
  {
    work,
    pace,
    gateways,
    now,
  }: {
    readonly work: Duration;
    readonly pace: number;
    readonly gateways: number;
    readonly now: Instant;
  },
): Capacity {
  const usable = records.filter(
    ({ blockedUntil, unreachableUntil, retryAfter, isLeaving }) =>
      !isLeaving && Math.max(blockedUntil, unreachableUntil, retryAfter) <= now,
  );
  const { slots, free } = countSlots(usable);
  const time = Math.max(1, work * pace);
  return {
    slotRate: (slots * MS_PER_SECOND) / time / gateways,
    freeShare: free / gateways,
    isFull: free <= slots * CALM_SHARE,
  };
}

/** The queues of a gateway. */
export class RequestQueues implements RunQueues {
  readonly #options: QueueOptions;
  readonly #queues: ServiceQueues;
  #nextId = 1;
  #served = 0;
  #waitedTime: Duration = 0;
  #left = 0;
  readonly #refused: Record<WaitRefusal, number> = {
    noTime: 0,
    displaced: 0,
    reserved: 0,
    stopping: 0,
  };

  constructor(options: QueueOptions) {
    this.#options = options;
    this.#queues = new ServiceQueues({
      now: options.now,
      random: Math.random,
      getCapacity: (service) => this.#getCapacity(service),
      recordShortage: (service) => {
        log.info('capacity is short', {
          service,
          ...countSlots(options.registry.listUsable(service, undefined)),
        });
      },
      recordWait: (_service, waited, end) => {
        this.#recordWait(waited, end);
      },
    });
  }

  get counts(): WaitCounts {
    return {
      waiting: this.#queues.size,
      served: this.#served,
      waitedTime: this.#waitedTime,
      refused: this.#refused,
      left: this.#left,
    };
  }

  #recordWait(waited: Duration, end: 'sent' | 'left' | WaitRefusal): void {
    if (end === 'sent') {
      this.#served += 1;
      this.#waitedTime += waited;
    } else if (end === 'left') this.#left += 1;
    else this.#refused[end] += 1;
  }

  #getCapacity(service: string): Capacity {
    const { registry, work, countGateways, now } = this.#options;
    return computeCapacity(registry.listUsable(service, undefined), {
      work: work.getMean(service),
      pace: 1 + registry.getExcessPace(service),
      gateways: Math.max(1, countGateways()),
      now: now(),
    });
  }

  /** Whether hardly any slot of the service is free, so that a rejection is due to the load. */
  #isFull(service: string): boolean {
    const { slots, free } = countSlots(this.#options.registry.listUsable(service, undefined));
    return free <= slots * FULL_SHARE;
  }

  #describeWaiter(request: GatewayRequest, id: number): Waiter {
    const { account, rank, arrivedAt, deadline, route, service, peer } = request;
    return {
      id,
      account,
      rank,
      arrivedAt,
      targetAt: arrivedAt + route.targetLatency,
      deadline,
      work: this.#options.work.get(service, route).value,
      caller: account ?? `${peer ?? ''} ${route.name}`,
    };
  }

  /** Whether requests wait for the service, or it was short of capacity a moment ago. */
  isShort(service: string): boolean {
    return this.#queues.isShort(service);
  }

  isHeldBack(request: GatewayRequest): boolean {
    return this.#queues.isHeldBack(request.service, this.#describeWaiter(request, 0));
  }

  /**
   * Returns the time within which an upstream that has no free slot may be expected to answer. While capacity is short,
   * requests wait here rather than in the upstreams, where more urgent ones can't pass them.
   */
  computeTargetTime({ service, route, arrivedAt }: GatewayRequest): Duration {
    const { now, work } = this.#options;
    const targetTime = arrivedAt + route.targetLatency - now();
    return this.isShort(service)
      ? Math.min(targetTime, work.get(service, route).value * MAX_QUEUED_RATIO)
      : targetTime;
  }

  join(request: GatewayRequest, listener: WaitingListener): WaitingTicket {
    const waiter = this.#describeWaiter(request, this.#nextId);
    this.#nextId += 1;
    return this.#queues.join(request.service, waiter, listener);
  }

  recordSent(request: GatewayRequest): void {
    this.#queues.recordSent(request.service, this.#describeWaiter(request, 0));
  }

  recordRefused(request: GatewayRequest): void {
    this.#queues.recordRefused(request.service, this.#describeWaiter(request, 0));
  }

  /** Records that an attempt ended, which frees a slot if it had taken one. */
  recordEnd({ service }: GatewayRequest, outcome: AttemptOutcome | undefined): void {
    if (outcome?.kind === 'unreachable') return;
    if (outcome?.kind !== 'notRun') this.#queues.recordEnd(service);
    else if (this.#isFull(service)) this.#queues.recordRejected(service);
  }

  computeRetryAfter({ deadline, rank, service }: GatewayRequest, wait: Duration): Duration {
    const { now, getTopRank } = this.#options;
    return computeRetryAfter({
      wait,
      timeLeft: deadline - now(),
      rank: rank - (getTopRank(service) ?? rank),
      random: Math.random(),
    });
  }

  /** Refuses all requests that wait, and those that would. */
  close(): void {
    this.#queues.close();
  }
}
