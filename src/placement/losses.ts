/**
 * Learns how many requests may wait in an upstream before it resets connections. Invariant: the limit falls only after
 * losses at two upstreams of the service that were full by their reports, never below no waiting request, and rises again
 * with time; without such losses there is none.
 *
 * Load pattern: upstreams that reset the connection when their slots and a short queue are full. A request that was reset
 * may have run, so that it is lost if it is not idempotent. A crash of one upstream looks alike, but concerns one only.
 * The limit is in reported requests, which are out of date: it so allows for the reports' age and the other gateways.
 */
import type { Duration, Instant } from '../model/index.js';

/** Milliseconds within which losses at two upstreams confirm each other. */
const CONFIRMATION_TIME: Duration = 10_000;
/** Milliseconds after which one more request may wait. */
const RECOVERY_TIME: Duration = 3000;
/** Milliseconds after the last loss from which the service no longer counts as one that resets connections. */
const MEMORY_TIME: Duration = 60_000;

/**
 * Multiple of the time of a request up to which the age of a report counts: later arrivals are balanced by answers. A
 * gateway without load reports would send no request that must not run twice otherwise.
 */
const MAX_COUNTED_TIMES = 2;
/** Requests per slot that an upstream with a short queue holds besides those that run. */
const QUEUED_PER_SLOT = 2;

/** What a gateway learned of the losses at the upstreams of one service. */
export interface LossState {
  /** The last loss at a full upstream. */
  readonly last: { readonly upstream: number; readonly at: Instant } | undefined;
  /** Requests that might wait in an upstream at {@link limitedAt}; undefined without a confirmed loss. */
  readonly limit: number | undefined;
  readonly limitedAt: Instant;
}

/** A request that was lost as the upstream closed the connection. */
export interface Loss {
  /** Key of the upstream. */
  readonly upstream: number;
  /** Requests that waited in the upstream, by its last report and the requests sent since; negative with a free slot. */
  readonly waiting: number;
  readonly at: Instant;
}

export const NO_LOSSES: LossState = { last: undefined, limit: undefined, limitedAt: -Infinity };

/**
 * Returns the state after a loss.
 *
 * @example
 * addLoss(addLoss(NO_LOSSES, { upstream: 1, waiting: 5, at: 0 }), { upstream: 2, waiting: 4, at: 9 }).limit // 4
 */
export function addLoss(state: LossState, { upstream, waiting, at }: Loss): LossState {
  if (waiting < 0) return state;
  const last = { upstream, at };
  const isConfirmed =
    isResetting(state, at) ||
    (state.last !== undefined &&
      state.last.upstream !== upstream &&
      at - state.last.at <= CONFIRMATION_TIME);
  if (!isConfirmed) return { ...state, last };
  return { last, limit: Math.min(waiting, computeLossLimit(state, at)), limitedAt: at };
}

/** Returns the number of requests that may wait in an upstream, Infinity if there is no limit. */
export function computeLossLimit({ limit, limitedAt }: LossState, now: Instant): number {
  if (limit === undefined || now - limitedAt > MEMORY_TIME) return Infinity;
  return limit + Math.floor((now - limitedAt) / RECOVERY_TIME);
}

/** Returns whether upstreams of the service reset connections when they are full. */
export function isResetting({ limit, limitedAt }: LossState, now: Instant): boolean {
  return limit !== undefined && now - limitedAt <= MEMORY_TIME;
}

/** What is known of an upstream that a request may be sent to. */
export interface SlotKnowledge {
  readonly slots: number;
  /** Requests that run or wait in the upstream by its report. */
  readonly occupancy: number;
  /** Milliseconds since the report. */
  readonly age: Duration;
  /** Requests per second of all gateways to one upstream; undefined means as many as it can run. */
  readonly rate: number | undefined;
  /** Milliseconds that a request takes on the upstream. */
  readonly time: Duration;
  /** Requests that may wait before the upstream loses some. */
  readonly limit: number;
}

/**
 * Returns whether a request that must not be lost may be sent: the requests that other gateways have probably sent since
 * the report fit in what the upstream holds. A rule that asks for a free slot refuses a third of these requests in a
 * burst of 1.7 and leaves the slots to requests that may run twice; this one loses about as few.
 *
 * @example
 * isSlotCertain({ slots: 2, occupancy: 4, age: 20, rate: 10, time: 120, limit: 0 }) // true
 */
export function isSlotCertain(knowledge: SlotKnowledge): boolean {
  const { slots, occupancy, age, rate, time, limit } = knowledge;
  const counted = Math.min(age, time * MAX_COUNTED_TIMES);
  const unseen = (counted / 1000) * (rate ?? (1000 * slots) / time);
  return occupancy + unseen < slots * (1 + QUEUED_PER_SLOT) + limit;
}

/**
 * Returns whether the other gateways have probably used the free slots of a service since their reports: a choice among
 * the few upstreams with a free slot would then send the requests of all gateways to them.
 *
 * @example
 * isCrowded({ free: 10, age: 100, rate: 200 }) // true: 20 requests for 10 slots
 */
export function isCrowded({ free, age, rate }: Crowd): boolean {
  return (rate * age) / 1000 > free;
}

/** Free slots of a service by reports, their mean age, and the requests per second of all gateways. */
export interface Crowd {
  readonly free: number;
  readonly age: Duration;
  readonly rate: number;
}
