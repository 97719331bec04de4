/**
 * Events and effects of the routing decisions. Invariant: every call that arrived ends with exactly one
 * of the effects `deliver`, `refuse` and `fail`, and `refuse` is only used when no upstream ran the call.
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

/** One call as the decisions see it. */
export interface Call {
  readonly id: number;
  readonly service: string;
  /** The first path segment after the service; version moves compare versions per route. */
  readonly route: string;
  readonly idempotent: boolean;
  readonly criticality: Criticality;
  readonly deadline: Instant;
  /** Digest of method, target and body head; equal for equal requests. */
  readonly fingerprint: string;
  /** How many entries the call passed before this one; see the header `x-chivewalk-hops`. */
  readonly depth: number;
  /** False if the body can't be sent a second time; absent means that it can. */
  readonly replayable?: boolean;
}

/** Why an attempt ended without an answer. */
export type AttemptFailure =
  /** No connection was made, so the request was certainly not run. */
  | 'unreachable'
  /** The connection was lost after the first byte was written, so the request may have run. */
  | 'lost'
  /** The deadline passed before the answer's head arrived. */
  | 'timedOut';

/** What the routing decisions are told. */
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
  /** Fingerprints that the fleet suspects; a call with one of them that ends well yields `cleared`. */
  | {
      readonly kind: 'suspected';
      readonly fingerprints: readonly string[];
      readonly now: Instant;
    }
  /** Another entry found a just started upstream warm, or a warm one cold. */
  | {
      readonly kind: 'warmthHeard';
      readonly upstreamId: string;
      readonly incarnation: number;
      readonly cold: boolean;
      readonly now: Instant;
    }
  /** Without a confirmed configuration (`held` is false) calls are refused as `stale`, and probes rest. */
  | { readonly kind: 'leaseChanged'; readonly held: boolean; readonly now: Instant }
  | { readonly kind: 'ticked'; readonly now: Instant; readonly random: number };

/** Why a call was refused without having run. */
export type RefusalReason =
  | 'noUpstream'
  | 'overloaded'
  | 'deadlineTooShort'
  | 'fingerprintCondemned'
  | 'retriesSpent'
  | 'stale';

/**
 * What the shell must do. `send` in reply to `headArrived` means: drop that answer and send the request
 * again. `deliver` means: pass the answer on; a `finished` or `cancelled` event must follow. A call that
 * is `cancelled` yields no further effect: the shell cancels its attempt upstream.
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
  /** The call may have run; its outcome is unknown to the caller. */
  | { readonly kind: 'fail'; readonly callId: number; readonly failure: AttemptFailure }
  | { readonly kind: 'probe'; readonly upstreamId: string; readonly address: Address }
  /** An upstream seems to have crashed while it ran a request with this fingerprint. */
  | {
      readonly kind: 'suspect';
      readonly fingerprint: string;
      readonly upstreamId: string;
      readonly incarnation: number;
    }
  /** A call with a suspected fingerprint ended well; told to the fleet like `suspect`. */
  | { readonly kind: 'cleared'; readonly fingerprint: string }
  /** This entry found an upstream warm or cold; told to the other entries as `warmthHeard`. */
  | {
      readonly kind: 'warmth';
      readonly upstreamId: string;
      readonly incarnation: number;
      readonly cold: boolean;
    }
  /** One finished attempt as evidence for version moves. */
  | {
      readonly kind: 'evidence';
      readonly service: string;
      readonly version: string;
      readonly route: string;
      readonly failed: boolean;
      readonly latency: Duration;
    };
