/**
 * Interfaces through which the call path uses other packages. Invariant: no method blocks; it either
 * returns data from memory or a promise.
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

/** Holds the routing state. */
export interface RoutingPort {
  /** Passes an event to the routing decisions and returns the effects to perform. */
  readonly decide: (event: RoutingEvent) => readonly RoutingEffect[];
}

/** Names and values of header fields, alternating, in the order and case of the wire. */
export type HeaderList = readonly string[];

/** A complete response that is stored for replay. */
export type StoredResponse = Omit<Extract<ClaimResult, { readonly kind: 'settled' }>, 'kind'>;

/** Grants a claim on each idempotency key at most once across all entries. */
export interface ClaimPort {
  readonly claim: (key: string, digest: string, deadline: Instant) => Promise<ClaimResult>;
  /** Records the outcome of a granted claim. */
  readonly settle: (key: string, token: string, settlement: ClaimSettlement) => void;
}

/** The replicated configuration, as this entry last received it. */
export interface ConfigPort {
  readonly config: Config;
  /** Returns whether the configuration is recent enough to accept new calls. */
  readonly isFresh: (now: Instant) => boolean;
  readonly onChange: (listener: (config: Config) => void) => void;
}

/** The address and zone of an entry for callers. */
export interface CallerAddress {
  readonly address: Address;
  readonly zone: ZoneId;
}

/** The entries and upstreams that are known to this entry. */
export interface MembersPort {
  /** Entries that are alive and not stopping, including this one. */
  readonly entries: () => readonly CallerAddress[];
  readonly upstreams: () => readonly Upstream[];
  /** Registers a listener for changes of {@link upstreams} or {@link entries}. */
  readonly onChange: (listener: () => void) => void;
}

/** How a call ended. */
export type CallOutcome =
  /** The caller received the complete response of an upstream. */
  | 'answered'
  /** The caller received the stored response to an earlier request. */
  | 'replayed'
  /** The response was truncated and the caller's connection closed. */
  | 'cut'
  /** The call was refused; no upstream ran it. */
  | 'refused'
  /** The request may have run, and the response said so. */
  | 'unknown'
  /** The caller disconnected before the call ended. */
  | 'cancelled';

/** Summary of a finished call for metrics, logs and traces. */
export interface FinishedCall {
  readonly service: string;
  readonly route: string;
  readonly method: string;
  readonly criticality: Criticality;
  /** Status code of the response; 0 if none was sent. */
  readonly status: number;
  readonly outcome: CallOutcome;
  /** Reason of a refusal or failure; empty otherwise. */
  readonly reason: string;
  readonly latency: Duration;
  /** The upstream of the last attempt; empty if there was none. */
  readonly upstreamId: string;
  readonly attempts: number;
}

/** Attributes of a span that are known at its start. */
export interface SpanStart {
  readonly service: string;
  readonly route: string;
  readonly method: string;
  /** The caller's W3C trace context. */
  readonly traceparent: string | undefined;
}

/** The trace span of one call at this entry. */
export interface CallSpan {
  /** W3C trace context that is sent to the upstream. */
  readonly traceparent: string;
  readonly end: (call: FinishedCall) => void;
}

/** Telemetry hooks; an absent hook costs nothing. */
export interface CallHooks {
  readonly onCallFinished?: (call: FinishedCall) => void;
  readonly startSpan?: (start: SpanStart) => CallSpan | undefined;
  /** Called on an internal error in one call, before the call is ended with an unknown outcome. */
  readonly onDefect?: (error: Error) => void;
}

/** Routing effects that other packages perform. */
export type RoutingSignal = Extract<
  RoutingEffect,
  { readonly kind: 'suspect' | 'cleared' | 'warmth' | 'evidence' }
>;
