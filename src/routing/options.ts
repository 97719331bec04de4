/**
 * Options of the routing decisions. Invariant: the comment of every number states its unit, and the
 * defaults are a complete, working configuration.
 */
import type { Duration } from '../model/index.js';

/** Options of the routing decisions; docs/ROUTING.md has the figures behind the defaults. */
export interface RoutingOptions {
  /** Share of an upstream's time that the probes of the whole fleet may use. */
  readonly probeShare: number;
  /** Time that one probe takes of an upstream, in milliseconds. */
  readonly probeCost: Duration;
  /** Time without a passive signal after which an upstream is probed, in milliseconds. */
  readonly probeIdleTime: Duration;
  /** Number of randomly sampled upstreams that are compared for one call. */
  readonly choices: number;
  /** Age at which a load report's weight has decayed to 1/e, as a multiple of the service's latency. */
  readonly reportAge: number;
  /** Weight of a fresh load report against the service's average load by other entries, from 0 to 1. */
  readonly reportWeight: number;
  /**
   * Time after which the difference between a measured latency and the service's average has decayed to 1/e,
   * in milliseconds.
   */
  readonly latencyAge: Duration;
  /** Weight of one response in the moving average of an upstream's latency, from 0 to 1. */
  readonly latencyWeight: number;
  /** Multiple of the service's latency at which an upstream counts as slow. */
  readonly slowFactor: number;
  /** Milliseconds added to the expected latency of upstreams in other availability zones. */
  readonly zonePenalty: Duration;
  /** Limit of the requests that an upstream holds, running or queued, as a multiple of its slots. */
  readonly overcommit: number;
  /** Share of an upstream's capacity, and of the queue, that batch calls may use. */
  readonly batchShare: number;
  /** Limit of the calls that this entry queues for one service. */
  readonly queueLimit: number;
  /** Share of the upstreams of a service that may be ejected at once. */
  readonly ejectionShare: number;
  /** Consecutive failures that eject an upstream. */
  readonly ejectionFailures: number;
  /** Duration of the first ejection in milliseconds; each further ejection doubles it. */
  readonly ejectionTime: Duration;
  /** Limit of the duration of an ejection, in milliseconds. */
  readonly ejectionTimeLimit: Duration;
  /**
   * Time for which an upstream gets no requests after it rejected one, in milliseconds; each further
   * rejection doubles it.
   */
  readonly pauseTime: Duration;
  /** Limit of the duration of such a pause, in milliseconds. */
  readonly pauseTimeLimit: Duration;
  /** Requests that the whole fleet may have in flight on a cold upstream. */
  readonly coldConcurrency: number;
  /** Requests a second that the whole fleet may start on a cold upstream. */
  readonly coldRate: number;
  /** Time for which one entry holds the rotating slow-start slot, in milliseconds. */
  readonly coldSlotTime: Duration;
  /** Uptime from which an upstream that is seen for the first time counts as warm, in milliseconds. */
  readonly warmAge: Duration;
  /**
   * Time for which an upstream may report itself cold while it responds at normal latency, in milliseconds;
   * afterwards the report is ignored.
   */
  readonly coldTimeLimit: Duration;
  /** Consecutive responses at normal latency after which a cold upstream counts as warm. */
  readonly warmAnswers: number;
  /** Time in which the traffic to an upstream that became warm rises to its full share, in milliseconds. */
  readonly rampTime: Duration;
  /**
   * Share of the time until its deadline for which a call may be queued. A call may always wait for the
   * service's average latency, if its deadline permits.
   */
  readonly queueShare: number;
  /** Retries per call at depth 0, as a share; at depth d it is divided by d + 1. */
  readonly retryShare: number;
  /** Retries at depth 0 that a service may accumulate (the size of its retry token bucket). */
  readonly retryBurst: number;
  /** Limit of the attempts of one call. */
  readonly attempts: number;
  /** Limit of the upstreams of a service that one entry uses, on average over the entries. */
  readonly subsetSize: number;
}

/** The defaults of {@link RoutingOptions}. */
export const defaultOptions: RoutingOptions = {
  probeShare: 0.01,
  probeCost: 6,
  probeIdleTime: 1000,
  choices: 16,
  reportAge: 0.3,
  reportWeight: 0.1,
  latencyAge: 500,
  latencyWeight: 0.3,
  slowFactor: 2,
  zonePenalty: 1,
  overcommit: 1.5,
  batchShare: 2 / 3,
  queueLimit: 200,
  ejectionShare: 0.5,
  ejectionFailures: 5,
  ejectionTime: 1000,
  ejectionTimeLimit: 30_000,
  pauseTime: 20,
  pauseTimeLimit: 1000,
  coldConcurrency: 2,
  coldRate: 20,
  coldSlotTime: 2000,
  warmAge: 60_000,
  coldTimeLimit: 120_000,
  warmAnswers: 3,
  rampTime: 2000,
  queueShare: 0.02,
  retryShare: 0.1,
  retryBurst: 20,
  attempts: 3,
  subsetSize: 16,
};
