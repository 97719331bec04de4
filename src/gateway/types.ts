/**
 * Types shared by the modules of the gateway. Invariant: instants are milliseconds of the monotonic
 * clock of this process, unless a field says otherwise.
 */
import type { Instance, Route, Service } from '../catalog/index.js';
import type { Duration, Instant } from '../model/index.js';
import type { LossState } from '../placement/index.js';

/** Load that an upstream reports. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Slowdown factor of the VM at present; 1 is normal. */
  readonly pace: number;
}

/** Names of the header fields that callers, the gateway and upstreams use, in lower case. */
export interface HeaderDialect {
  /** Identifies one attempt of a caller; upstreams echo it. */
  readonly requestId: string;
  /** Milliseconds for which the caller waits. */
  readonly deadline: string;
  /** The instance that a request is intended for. */
  readonly expectInstance: string;
  /** Set on a response if the upstream did not run the request. */
  readonly notRun: string;
  readonly load: string;
  /** Milliseconds for which the upstream stays cold. */
  readonly coldFor: string;
  /** Requests per second that the upstream takes from all gateways together. */
  readonly limit: string;
  /** Set on every response of an upstream that is leaving. */
  readonly leaving: string;
  /** Holds the key of the caller's client account; never sent to an upstream where accounts are configured. */
  readonly authorization: string;
  /** Names the client account to the upstream; what a caller sends is dropped where accounts are configured. */
  readonly tenant: string;
  readonly parseLoad: (text: string) => LoadReport | undefined;
}

/** Outcome of an attempt at one upstream. */
export type AttemptOutcome =
  | { readonly kind: 'answered'; readonly answer: UpstreamAnswer }
  /**
   * The upstream reported that it did not run the request; `isMisdirected` if another instance
   * answered.
   */
  | { readonly kind: 'notRun'; readonly isMisdirected: boolean }
  /** The connection could not be established, so nothing was sent. */
  | { readonly kind: 'unreachable'; readonly reason: string }
  /** The connection closed or the response was unusable; the request may have run. */
  | {
      readonly kind: 'lost';
      readonly reason: string;
      /** Whether the connection was closed or reset at the other end, as by an upstream that crashes. */
      readonly isDisconnected: boolean;
    };

/** A complete response of an upstream. */
export interface UpstreamAnswer {
  readonly status: number;
  readonly reason: string;
  readonly headers: readonly (readonly [string, string])[];
  readonly body: Buffer;
  /**
   * Whether the end of the body was marked only by an orderly end of the connection. The upstream may have ended right
   * after it, so that it proves nothing about the upstream.
   */
  readonly isUnframed: boolean;
}

/** Why the gateway refused a request. */
export type RefusalCause =
  /** No replicated state has arrived from the control members yet. */
  | 'notReady'
  /** The state is too old to choose an upstream by. */
  | 'stale'
  /** No upstream of the service may be used. */
  | 'noUpstream'
  /** No upstream could answer within the remaining time. */
  | 'overloaded'
  /** Every upstream that was tried rejected the request. */
  | 'turnedAway'
  /** None of the upstreams that were tried was reachable. */
  | 'unreachable'
  /** The gateway ends before the request could be answered. */
  | 'stopping'
  /** Requests like this one crashed several upstreams. */
  | 'quarantined';

/** Why a request that may have run ended without a response from an upstream. */
export type FailureCause = 'lost' | 'timedOut';

/** The final answer to a request. */
export type FinalAnswer =
  | { readonly kind: 'upstream'; readonly answer: UpstreamAnswer }
  /** The request was not run and will not be run. */
  | { readonly kind: 'refused'; readonly cause: RefusalCause; readonly retryAfter: Duration }
  | { readonly kind: 'failed'; readonly cause: FailureCause };

/** State that the gateway keeps of one upstream. */
export interface UpstreamRecord {
  /** Hash of the instance's id, which identifies the instance in load gossip. */
  readonly key: number;
  readonly instance: Instance;
  readonly service: Service | undefined;
  /** Number of requests of this gateway in progress at the upstream. */
  inFlight: number;
  report: LoadReport;
  /** When the report was made, by the clock of this process; -Infinity before the first report. */
  reportedAt: Instant;
  /** When this gateway last received a report directly from the upstream. */
  ownReportAt: Instant;
  /** Requests sent from here minus requests ended here since the report. */
  inFlightChange: number;
  /** When this gateway last sent a request to the upstream. */
  lastSentAt: Instant;
  coldUntil: Instant;
  /**
   * Whether {@link coldUntil} comes from the past: the gateway learned of it while it caught up, so
   * that the slow start may be over. The first load report that says so ends it.
   */
  isColdOutdated: boolean;
  /**
   * Requests per second that the upstream takes from all gateways together; undefined while it names
   * no limit.
   */
  limit: number | undefined;
  /** When an answer to any gateway last named the limit, or none after one; -Infinity before. */
  limitNamedAt: Instant;
  /**
   * When this gateway may send its next request to the upstream, while that is cold or has a limit.
   */
  nextSlotAt: Instant;
  /** Consecutive attempts without an answer. */
  misses: number;
  /** No request is sent to the upstream before this instant. */
  blockedUntil: Instant;
  /** The upstream has asked this gateway for no request and no probe before this instant. */
  retryAfter: Instant;
  /** Whether the upstream said in a response that it is leaving; this never ends for the same start of it. */
  isLeaving: boolean;
  /**
   * End of the time in which other upstreams are preferred, as this one did not answer an on-demand
   * probe.
   */
  unresponsiveUntil: Instant;
  /** End of the time in which the upstream counts as unreachable, as determined by its prober. */
  unreachableUntil: Instant;
  /** Decayed counts of good and bad answers received by any gateway. */
  good: number;
  bad: number;
  countedAt: Instant;
  /** Decayed count of requests that the upstream rejected although it had free slots, from any gateway. */
  rejected: number;
  /** What this gateway learned of losses at full upstreams; all records of a service share it. */
  readonly losses: { state: LossState };
  /** Good and bad answers received here that have not been sent to other gateways yet. */
  unsentGood: number;
  unsentBad: number;
  unsentRejected: number;
  lastProbeAt: Instant;
  isProbing: boolean;
}

/** A request in progress. */
export interface GatewayRequest {
  readonly id: string;
  readonly method: string;
  readonly target: string;
  /** The header fields for the upstream, before those of each attempt are added. */
  readonly headers: readonly (readonly [string, string])[];
  /** The header fields that the caller sent, by which a request that waits is checked again. They may hold a key. */
  readonly callerHeaders: readonly (readonly [string, string])[];
  /** Name of the client account; undefined without accounts, and for an unknown caller of a public route. */
  readonly account: string | undefined;
  /** Priority of the request: the account's if it has one, otherwise the route's; 0 is the most urgent. */
  readonly rank: number;
  readonly body: Buffer;
  readonly hasBody: boolean;
  readonly route: Route;
  /** The service that the split of the route assigned the request to. */
  readonly service: string;
  /** The version that the request goes to; undefined means any version. */
  readonly version: string | undefined;
  /**
   * The version that its retries and hedges go to. During a move this is the old one, so that a fault of the new
   * version costs the caller one attempt only.
   */
  readonly retryVersion: string | undefined;
  /** Address from which its caller connected; undefined if it is not known. */
  readonly peer?: string | undefined;
  readonly arrivedAt: Instant;
  /** When the final answer is due. */
  readonly deadline: Instant;
}
