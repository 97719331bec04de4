/**
 * Events and effects of the routing decisions. Invariant: every call that arrives and isn't cancelled gets
 * exactly one of the effects `deliver`, `refuse` and `fail`, and `refuse` only if no upstream ran the call.
 */
import type {
  Address,
  Config,
  Criticality,
  Duration,
  EntryId,
  Instant,
  LoadReport,
  Upstream,
  ZoneId,
} from '../model/index.js';

/** A call as far as the routing decisions need it. */
export interface Call {
  readonly id: number;
  readonly service: string;
  /** The first path segment after the service; version moves compare versions per route. */
  readonly route: string;
  readonly idempotent: boolean;
  readonly criticality: Criticality;
  readonly deadline: Instant;
  /** Digest of the method, the target and the start of the body; equal for equal requests. */
  readonly fingerprint: string;
  /** Number of entries that the call passed before this one, from the header `x-chivewalk-hops`. */
  readonly depth: number;
  /** False if the body can't be sent a second time; absent means that it can. */
  readonly replayable?: boolean;
}

/** Why an attempt ended without a response. */
export type AttemptFailure =
  /** No connection was made, so the request certainly has not run. */
  | 'unreachable'
  /** The connection was lost after the first byte was written, so the request may have run. */
  | 'lost'
  /** The deadline passed before the response head arrived. */
  | 'timedOut';

/** Inputs of {@link decideRouting}. */
export type RoutingEvent =
  | {
      readonly kind: 'configured';
      readonly config: Config;
      readonly self: EntryId;
      readonly zone: ZoneId;
      readonly now: Instant;
    }
  | { readonly kind: 'discovered'; readonly upstreams: readonly Upstream[]; readonly now: Instant }
  | {
      readonly kind: 'arrived';
      readonly call: Call;
      readonly now: Instant;
      readonly random: number;
    }
  | {
      readonly kind: 'headArrived';
      readonly callId: number;
      readonly status: number;
      readonly notRun: boolean;
      readonly report: LoadReport | undefined;
      readonly now: Instant;
      readonly random: number;
    }
  | {
      readonly kind: 'failed';
      readonly callId: number;
      readonly failure: AttemptFailure;
      readonly now: Instant;
      readonly random: number;
    }
  | {
      readonly kind: 'finished';
      readonly callId: number;
      readonly complete: boolean;
      readonly now: Instant;
      readonly random: number;
    }
  | {
      readonly kind: 'cancelled';
      readonly callId: number;
      readonly now: Instant;
      readonly random: number;
    }
  | {
      readonly kind: 'probed';
      readonly upstreamId: string;
      readonly healthy: boolean;
      readonly report: LoadReport | undefined;
      readonly now: Instant;
    }
  | {
      readonly kind: 'condemned';
      readonly fingerprints: readonly string[];
      readonly until: Instant;
      readonly now: Instant;
    }
  /** Fingerprints that the fleet suspects; a call with one of them that succeeds yields `cleared`. */
  | {
      readonly kind: 'suspected';
      readonly fingerprints: readonly string[];
      readonly now: Instant;
    }
  /** Another entry found that a recently started upstream is warm, or that a warm one is cold. */
  | {
      readonly kind: 'warmupNoticeReceived';
      readonly upstreamId: string;
      readonly incarnation: number;
      readonly cold: boolean;
      readonly now: Instant;
    }
  /**
   * The lease that confirms the configuration was obtained or lost. While `held` is false, calls are
   * refused as `stale` and no probes are sent.
   */
  | { readonly kind: 'leaseChanged'; readonly held: boolean; readonly now: Instant }
  | { readonly kind: 'ticked'; readonly now: Instant; readonly random: number };

/** Why a call was refused without being run. */
export type RefusalReason =
  | 'noUpstream'
  | 'overloaded'
  | 'deadlineTooShort'
  | 'fingerprintCondemned'
  | 'retriesSpent'
  | 'stale';

/**
 * Side effects that the shell (the I/O layer) performs. A `send` that follows `headArrived` discards that
 * response and sends the request again. `deliver` forwards the response to the caller; a `finished` or
 * `cancelled` event must follow. A `cancelled` call gets no further effects; the shell cancels its attempt
 * on the upstream.
 */
export type RoutingEffect =
  | {
      readonly kind: 'send';
      readonly callId: number;
      readonly upstreamId: string;
      readonly address: Address;
      readonly attempt: number;
    }
  | { readonly kind: 'deliver'; readonly callId: number }
  | {
      readonly kind: 'refuse';
      readonly callId: number;
      readonly reason: RefusalReason;
      readonly retryAfter: Duration;
    }
  /** Ends a call that may have run; the caller is told that the outcome is unknown. */
  | { readonly kind: 'fail'; readonly callId: number; readonly failure: AttemptFailure }
  | { readonly kind: 'probe'; readonly upstreamId: string; readonly address: Address }
  /** An upstream may have crashed while it ran a request with this fingerprint. */
  | {
      readonly kind: 'suspect';
      readonly fingerprint: string;
      readonly upstreamId: string;
      readonly incarnation: number;
    }
  /** A call with a suspected fingerprint succeeded; sent to the fleet like `suspect`. */
  | { readonly kind: 'cleared'; readonly fingerprint: string }
  /** This entry found an upstream warm or cold; the other entries receive it as `warmupNoticeReceived`. */
  | {
      readonly kind: 'warmth';
      readonly upstreamId: string;
      readonly incarnation: number;
      readonly cold: boolean;
    }
  /** Result of one attempt, as evidence for version moves. */
  | {
      readonly kind: 'evidence';
      readonly service: string;
      readonly version: string;
      readonly route: string;
      readonly failed: boolean;
      readonly latency: Duration;
    };
