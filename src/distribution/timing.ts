/**
 * Time limits of the lease protocol, in milliseconds. Invariant: a lease ends for its holder before it ends
 * for the member that granted it, as long as their clock rates differ by less than `CLOCK_DRIFT`.
 */
import type { Duration, Instant } from '../model/index.js';

/** Duration of a lease, from the time at which the entry sent the granted poll. */
export const LEASE: Duration = 4000;
/** Maximum difference in rate between two monotonic clocks, as a share. */
export const CLOCK_DRIFT = 0.01;
/** Margin for timer resolution, added to the granting member's wait. */
const TIMER_SLACK: Duration = 50;
/** Minimum interval between polls of one entry. */
const MIN_POLL_INTERVAL: Duration = 1000;
/** Poll interval per entry of the roster; scaling with the roster bounds the leader's traffic. */
const POLL_INTERVAL_PER_ENTRY: Duration = 25;
/** Maximum interval between polls of one entry; a lease survives the loss of two polls. */
const MAX_POLL_INTERVAL: Duration = 1900;
/** Time after which a poll counts as unanswered and another control member is polled. */
export const RESPONSE_TIMEOUT: Duration = 600;
/** Interval between polls while an entry has no lease. */
export const URGENT_POLL_INTERVAL: Duration = 300;
/** Minimum interval between rounds, in which the leader confirms its leadership for waiting polls. */
export const ROUND_INTERVAL: Duration = 200;
/** Time that an unreachable entry stays in the roster after its lease expired. */
export const EVICTION_DELAY: Duration = 6000;
/** Time limit for a proposal, after which the next one may be made. */
export const PROPOSAL_DEADLINE: Duration = 3000;

/** Returns the poll interval of one entry for a roster of this size. */
export function getPollInterval(entries: number): Duration {
  const interval = Math.max(MIN_POLL_INTERVAL, entries * POLL_INTERVAL_PER_ENTRY);
  return Math.min(interval, MAX_POLL_INTERVAL);
}

/**
 * Returns whether a lease has certainly expired whose poll arrived at `arrivedAt` on this clock.
 *
 * @example
 * isCertainlyExpired(0, 4000) // false: the holder's clock may be slow
 */
export function isCertainlyExpired(arrivedAt: Instant, now: Instant): boolean {
  return now > arrivedAt + LEASE * (1 + CLOCK_DRIFT) + TIMER_SLACK;
}

/** Delay before the next proposal after one that did not take effect. */
export const PROPOSAL_PAUSE: Duration = 250;
