/**
 * The values that the parts of the gateway share. Invariant: times are monotonic milliseconds of this
 * process, unless a field says otherwise.
 */
import type { Instance, Route, Service } from '../catalog/index.js';
import type { Duration, Instant } from '../model/index.js';

/** What an upstream says of its load. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes there at present, as a multiple of the usual. */
  readonly pace: number;
}

/** The header fields that callers, the gateway and upstreams understand; names are in lower case. */
export interface HeaderDialect {
  /** Names one attempt of a caller; upstreams repeat it. */
  readonly requestId: string;
  /** Milliseconds that the caller waits. */
  readonly deadline: string;
  /** The instance that a request is meant for. */
  readonly expectInstance: string;
  /** On a response that did not run the request. */
  readonly notRun: string;
  readonly load: string;
  /** Milliseconds that the upstream stays cold. */
  readonly coldFor: string;
  readonly parseLoad: (text: string) => LoadReport | undefined;
}

/** How an attempt at one upstream ended. */
export type AttemptOutcome =
  | { readonly kind: 'answered'; readonly answer: UpstreamAnswer }
  /** The upstream said that it did not run the request; `isMisdirected` if it is another instance. */
  | { readonly kind: 'notRun'; readonly isMisdirected: boolean }
  /** No connection was made, so nothing was sent. */
  | { readonly kind: 'unreachable'; readonly reason: string }
  /** The connection ended or the answer was unusable; the request may have run. */
  | { readonly kind: 'lost'; readonly reason: string };

/** A whole response of an upstream. */
export interface UpstreamAnswer {
  readonly status: number;
  readonly reason: string;
  readonly headers: readonly (readonly [string, string])[];
  readonly body: Buffer;
  /** Whether only the end of the connection showed the end of the body; a crash looks the same. */
  readonly isUnframed: boolean;
}

/** Why the gateway answers for itself. */
export type RefusalCause =
  /** No state has come from the control members yet. */
  | 'notReady'
  /** No upstream of the service may be used. */
  | 'noUpstream'
  /** No upstream could answer within the time that is left. */
  | 'overloaded'
  /** Every upstream that was tried turned the request away. */
  | 'turnedAway'
  /** No upstream that was tried could be reached. */
  | 'unreachable';

/** Why a request that may have run ended without an upstream's answer. */
export type FailureCause = 'lost' | 'timedOut';

/** The final answer to a request. */
export type FinalAnswer =
  | { readonly kind: 'upstream'; readonly answer: UpstreamAnswer }
  /** The request was not run and will not be. */
  | { readonly kind: 'refused'; readonly cause: RefusalCause; readonly retryAfter: Duration }
  | { readonly kind: 'failed'; readonly cause: FailureCause };

/** What the gateway keeps of one upstream. */
export interface UpstreamRecord {
  /** Hash of the instance's id, which names it among gateways. */
  readonly key: number;
  readonly instance: Instance;
  readonly service: Service | undefined;
  /** Requests of this gateway in the upstream. */
  inFlight: number;
  report: LoadReport;
  /** When the report was made, by the clock of this process; -Infinity before the first. */
  reportedAt: Instant;
  /** When this gateway itself last got a report. */
  ownReportAt: Instant;
  /** Requests sent less requests ended here since the report. */
  inFlightChange: number;
  coldUntil: Instant;
  /** When this gateway may send the next request while the upstream is cold. */
  nextColdSlotAt: Instant;
  /** Consecutive attempts that got no answer. */
  misses: number;
  /** No request is sent before this instant. */
  blockedUntil: Instant;
  /** Until when others go first, as it left a look unanswered. */
  unresponsiveUntil: Instant;
  /** Until when the gateway that probes it found it out of reach. */
  unreachableUntil: Instant;
  /** Decayed counts of good and bad answers that any gateway got. */
  good: number;
  bad: number;
  countedAt: Instant;
  /** Good and bad answers here that the other gateways have not been told of. */
  unsentGood: number;
  unsentBad: number;
  lastProbeAt: Instant;
  isProbing: boolean;
}

/** A request on its way. */
export interface GatewayRequest {
  readonly id: string;
  readonly method: string;
  readonly target: string;
  readonly headers: readonly (readonly [string, string])[];
  readonly body: Buffer;
  readonly hasBody: boolean;
  readonly route: Route;
  /** The service that the split of the route gave it to. */
  readonly service: string;
  /** The version that the request goes to; undefined stands for any. */
  readonly version: string | undefined;
  readonly arrivedAt: Instant;
  /** When it must have its final answer. */
  readonly deadline: Instant;
}
