/**
 * Time limits of the lease protocol. Invariant: the holder's end of a lease lies before the end that
 * its granter waits for, as long as two clocks differ in rate by less than `CLOCK_DRIFT`.
 */
import type { Duration, Instant } from '../model/index.js';

/** How long an entry may act on its configuration, from the moment it sent the poll that was granted. */
export const LEASE: Duration = 4000;
/** Highest difference in rate of two monotonic clocks, as a share. */
export const CLOCK_DRIFT = 0.01;
/** Added to the granter's wait for the grain of timers. */
const TIMER_SLACK: Duration = 50;
/** Shortest time between two polls of one entry. */
const MIN_POLL_INTERVAL: Duration = 1000;
/** Time between polls for each entry of the roster, which bounds the leader's traffic. */
const POLL_INTERVAL_PER_ENTRY: Duration = 25;
/** Longest time between two polls of one entry, so that a lease survives two lost ones. */
const MAX_POLL_INTERVAL: Duration = 1900;
/** Time after which a poll counts as unanswered and another control member is asked. */
export const RESPONSE_TIMEOUT: Duration = 600;
/** Time between polls while an entry has no lease. */
export const URGENT_POLL_INTERVAL: Duration = 300;
/** Time between two rounds in which the leader confirms its leadership for the polls that wait. */
export const ROUND_INTERVAL: Duration = 200;
/** How long an entry whose lease has lapsed stays in the roster. */
export const EVICTION_DELAY: Duration = 6000;
/** How long a proposal may take before the next one is made. */
export const PROPOSAL_DEADLINE: Duration = 3000;

/** Returns the time between polls of one entry among this many. */
export function getPollInterval(entries: number): Duration {
  const interval = Math.max(MIN_POLL_INTERVAL, entries * POLL_INTERVAL_PER_ENTRY);
  return Math.min(interval, MAX_POLL_INTERVAL);
}

/**
 * Tells whether a lease has certainly lapsed whose poll arrived at `arrivedAt` on this clock.
 *
 * @example
 * isCertainlyLapsed(0, 4000) // false: the holder's clock may be slow
 */
export function isCertainlyExpired(arrivedAt: Instant, now: Instant): boolean {
  return now > arrivedAt + LEASE * (1 + CLOCK_DRIFT) + TIMER_SLACK;
}

/** Pause after a proposal that did not take effect. */
export const PROPOSAL_PAUSE: Duration = 250;
