/**
 * Settings of the routing decisions. Invariant: every number has a unit in its comment, and the
 * defaults alone make a working state.
 */
import type { Duration } from '../model/index.js';

/** Settings of the routing decisions; see docs/ROUTING.md for the figures behind the defaults. */
export interface RoutingOptions {
  /** Share of an upstream's time that the probes of the whole fleet may take. */
  readonly probeShare: number;
  /** Milliseconds of an upstream's time that one probe takes. */
  readonly probeCost: Duration;
  /** Milliseconds without a passive signal after which an upstream is probed. */
  readonly probeIdleTime: Duration;
  /** Upstreams that are compared for one call. */
  readonly choices: number;
  /** Age at which a load report counts for 1/e, as a multiple of the service's latency. */
  readonly reportAge: number;
  /** Weight of a fresh load report beside the entry's own requests in flight. */
  readonly reportWeight: number;
  /** Milliseconds after which a measured latency counts for 1/e of its difference to the average. */
  readonly latencyAge: Duration;
  /** Weight of one answer in the moving average of an upstream's latency. */
  readonly latencyWeight: number;
  /** Multiple of the service's latency from which an upstream counts as slow. */
  readonly slowFactor: number;
  /** Milliseconds added to the expected latency of an upstream in another availability zone. */
  readonly zonePenalty: Duration;
  /** Requests in an upstream, running and waiting, as a multiple of its slots. */
  readonly overcommit: number;
  /** Share of the room of an upstream, and of the queue, that batch calls may take. */
  readonly batchShare: number;
  /** Calls that may wait in this entry for one service. */
  readonly queueLimit: number;
  /** Share of the upstreams of a service that may be ejected at once. */
  readonly ejectionShare: number;
  /** Consecutive failures that eject an upstream. */
  readonly ejectionFailures: number;
  /** Milliseconds of the first ejection; each further one doubles it. */
  readonly ejectionTime: Duration;
  /** Milliseconds that no ejection exceeds. */
  readonly ejectionTimeLimit: Duration;
  /** Milliseconds without work for an upstream that refused some; each further refusal doubles it. */
  readonly pauseTime: Duration;
  /** Milliseconds that no such pause exceeds. */
  readonly pauseTimeLimit: Duration;
  /** Requests that the whole fleet may have in flight on a cold upstream. */
  readonly coldConcurrency: number;
  /** Requests a second that the whole fleet may start on a cold upstream. */
  readonly coldRate: number;
  /** Milliseconds that one entry holds the rotating part of the cold allowance. */
  readonly coldSlotTime: Duration;
  /** Milliseconds since its start after which an upstream seen for the first time counts as warm. */
  readonly warmAge: Duration;
  /** Milliseconds for which an upstream that answers at normal latency is believed to be cold. */
  readonly coldTimeLimit: Duration;
  /** Consecutive answers at normal latency that make a cold upstream warm. */
  readonly warmAnswers: number;
  /** Milliseconds in which traffic to an upstream that became warm rises to its full share. */
  readonly rampTime: Duration;
  /** Share of the time to its deadline that a call may wait in this entry, or once the usual latency. */
  readonly queueShare: number;
  /** Retries for each call at depth 0, as a share; the share of depth d is this divided by d + 1. */
  readonly retryShare: number;
  /** Retries at depth 0 that may be saved up for a service. */
  readonly retryBurst: number;
  /** Attempts that one call may take. */
  readonly attempts: number;
  /** Upstreams of a service that one entry uses at most, on average. */
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
