/**
 * Decides whether a request may wait. Invariant: a request that waits is expected to be sent before it is given up, and
 * is given up before half of its time is over, so that its caller can still go elsewhere.
 */
import type { Duration, Instant } from '../model/index.js';
import type { Waiter } from './types.js';

/** Factor on the work that covers the usual spread of the upstreams' paces. */
const SERVICE_MARGIN = 1.3;
/** Share of the target latency for which a request waits that can't be on time any more. */
const LATE_SHARE = 1 / 4;
/** Share of the time until the deadline for which a request waits at most. */
const MAX_DEADLINE_SHARE = 1 / 2;
/** Share of the time until a request is given up that its expected wait may take. */
const WAIT_SHARE = 0.2;
/** The same share for requests that are late in any case, which are to be served with high certainty. */
const LATE_WAIT_SHARE = 1 / 4;
/** Half-life in milliseconds of an observed end in the rate at which slots come free. */
const RATE_HALF_LIFE: Duration = 1000;
/** Share of the rate that the fleet's slots allow on average which counts while this gateway sees fewer ends. */
const ASSUMED_RATE_SHARE = 0.5;

/** Rate at which attempts of this gateway end, with recent ends weighted most. */
export interface EndRate {
  readonly count: number;
  readonly countedAt: Instant;
}

export const emptyRate: EndRate = { count: 0, countedAt: 0 };

function computeCount({ count, countedAt }: EndRate, now: Instant): number {
  return count * 0.5 ** (Math.max(0, now - countedAt) / RATE_HALF_LIFE);
}

/** Returns the rate with one more end. */
export function addEnd(rate: EndRate, now: Instant): EndRate {
  return { count: computeCount(rate, now) + 1, countedAt: now };
}

/**
 * Returns the slots a millisecond that come free for this gateway: its own ends, or what the fleet's slots allow if it
 * sees fewer. `slotRate` is in slots a second.
 */
export function computeFreeRate(rate: EndRate, slotRate: number, now: Instant): number {
  const observed = (computeCount(rate, now) * Math.LN2) / RATE_HALF_LIFE;
  return Math.max(observed, (slotRate / 1000) * ASSUMED_RATE_SHARE);
}

/**
 * Returns the expected wait of a request with `ahead` others before it.
 *
 * @example
 * computeExpectedWait(3, 0.02) // 200
 */
export function computeExpectedWait(ahead: number, freeRate: number): Duration {
  return freeRate > 0 ? (ahead + 1) / freeRate : Infinity;
}

/** Returns the last instant at which a request can be sent and be answered within its target latency. */
export function computeLatestStart({ targetAt, work }: Waiter): Instant {
  return targetAt - work * SERVICE_MARGIN;
}

/** Returns when a request that waits from `now` on is refused if it has not been sent. */
export function computeGiveUp(waiter: Waiter, now: Instant): Instant {
  const { arrivedAt, targetAt, deadline, work } = waiter;
  const latest = computeLatestStart(waiter);
  return Math.min(
    latest > now ? latest : now + (targetAt - arrivedAt) * LATE_SHARE,
    arrivedAt + (deadline - arrivedAt) * MAX_DEADLINE_SHARE,
    deadline - 2 * work * SERVICE_MARGIN,
  );
}

/**
 * Returns whether a request that is expected to wait for `wait` milliseconds may wait.
 *
 * @example
 * isWaitAllowed(waiter, 30, now) // true if the waiter has some 100 ms to spare
 */
export function isWaitAllowed(waiter: Waiter, wait: Duration, now: Instant): boolean {
  const share = computeLatestStart(waiter) > now ? WAIT_SHARE : LATE_WAIT_SHARE;
  return wait <= (computeGiveUp(waiter, now) - now) * share;
}
