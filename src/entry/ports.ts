/**
 * What the call path needs from other packages. Invariant: nothing here blocks; a port either answers
 * from memory or returns a promise.
 */
import type { ClaimResult, ClaimSettlement } from '../claims/index.js';
import type {
  Address,
  Config,
  Criticality,
  Duration,
  Instant,
  Upstream,
  ZoneId,
} from '../model/index.js';
import type { RoutingEffect, RoutingEvent } from '../routing/types.js';

export type { ClaimResult, ClaimSettlement } from '../claims/index.js';

/** Holder of the routing state. */
export interface RoutingPort {
  /** Hands an event to the decisions and returns what is to be done. */
  readonly decide: (event: RoutingEvent) => readonly RoutingEffect[];
}

/** A header field's name and value by turns, as on the wire. */
export type HeaderList = readonly string[];

/** A whole answer that is kept to be replayed. */
export type StoredResponse = Omit<Extract<ClaimResult, { readonly kind: 'settled' }>, 'kind'>;

/** Grants each idempotency key at most once in the fleet. */
export interface ClaimPort {
  readonly claim: (key: string, digest: string, deadline: Instant) => Promise<ClaimResult>;
  /** Records the end of a granted claim. */
  readonly settle: (key: string, token: string, settlement: ClaimSettlement) => void;
}

/** The agreed configuration as this entry knows it. */
export interface ConfigPort {
  readonly config: Config;
  /** Tells whether the configuration is known to be current enough to take new work. */
  readonly isFresh: (now: Instant) => boolean;
  readonly onChange: (listener: (config: Config) => void) => void;
}

/** Where callers can reach one entry. */
export interface CallerAddress {
  readonly address: Address;
  readonly zone: ZoneId;
}

/** The entries and upstreams that this entry knows. */
export interface MembersPort {
  /** Entries that are alive and not stopping, this one included. */
  readonly entries: () => readonly CallerAddress[];
  readonly upstreams: () => readonly Upstream[];
  /** Registers a listener for a change of {@link upstreams} or of {@link entries}. */
  readonly onChange: (listener: () => void) => void;
}

/** How a call ended. */
export type CallOutcome =
  /** The caller got the whole answer of an upstream. */
  | 'answered'
  /** The caller got the kept answer of an earlier request. */
  | 'replayed'
  /** The answer was cut, and the caller's connection with it. */
  | 'cut'
  /** It was refused and certainly not run. */
  | 'refused'
  /** It may have run; the caller was told so. */
  | 'unknown'
  /** The caller went away first. */
  | 'cancelled';

/** One finished call for metrics, logs and traces. */
export interface FinishedCall {
  readonly service: string;
  readonly route: string;
  readonly method: string;
  readonly criticality: Criticality;
  /** Status that the caller saw; 0 when it saw none. */
  readonly status: number;
  readonly outcome: CallOutcome;
  /** Why it was refused or failed; empty otherwise. */
  readonly reason: string;
  readonly latency: Duration;
  /** The upstream of the last attempt; empty if there was none. */
  readonly upstreamId: string;
  readonly attempts: number;
}

/** What a span knows when it starts. */
export interface SpanStart {
  readonly service: string;
  readonly route: string;
  readonly method: string;
  /** W3C trace context of the caller. */
  readonly traceparent: string | undefined;
}

/** The span of one call at this entry. */
export interface CallSpan {
  /** Trace context for the upstream. */
  readonly traceparent: string;
  readonly end: (call: FinishedCall) => void;
}

/** Extension points of telemetry; each one that is absent costs nothing. */
export interface CallHooks {
  readonly onCallFinished?: (call: FinishedCall) => void;
  readonly startSpan?: (start: SpanStart) => CallSpan | undefined;
  /** Told of a broken invariant; the call that met it was answered as of unknown outcome. */
  readonly onDefect?: (error: Error) => void;
}

/** Effects of the routing decisions that other packages carry out. */
export type RoutingSignal = Extract<
  RoutingEffect,
  { readonly kind: 'suspect' | 'cleared' | 'warmth' | 'evidence' }
>;
