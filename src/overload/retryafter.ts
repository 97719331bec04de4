/**
 * Computes when a refused caller is told to come back. Invariant: the time is at most a third of what the caller has
 * left, and no two callers refused at the same instant get the same time but by chance.
 */
import type { Duration } from '../model/index.js';

/** Share of the caller's remaining time; a later return is of no use to it. */
const MAX_TIME_SHARE = 1 / 3;
/** Shortest time, in which an upstream's queue gets shorter and a load report arrives. */
const MIN_RETRY_AFTER: Duration = 40;
/** Factor by which each rank below the most urgent one comes back later. */
const RANK_FACTOR = 0.5;
/** Ranks beyond which callers don't come back later still. */
const MAX_RANKS = 3;
/** Width of the jitter as a share of the time. */
const JITTER_SHARE = 0.6;

/** Inputs of {@link computeRetryAfter}. */
export interface RefusedCaller {
  /** Milliseconds after which there is expected to be room. */
  readonly wait: Duration;
  /** Milliseconds until the caller's deadline. */
  readonly timeLeft: Duration;
  /** Ranks below the most urgent one. */
  readonly rank: number;
  /** From 0 (inclusive) to 1 (exclusive). */
  readonly random: number;
}

/**
 * Returns the milliseconds after which the caller is told to come back. More urgent callers come back first.
 *
 * @example
 * computeRetryAfter({ wait: 100, timeLeft: 900, rank: 0, random: 0.5 }) // 100
 */
export function computeRetryAfter({ wait, timeLeft, rank, random }: RefusedCaller): Duration {
  const factor = 1 + Math.min(MAX_RANKS, Math.max(0, rank)) * RANK_FACTOR;
  const longest = Math.max(0, timeLeft) * MAX_TIME_SHARE;
  // The whole range of the jitter fits below the longest time; cutting it off there would send many back at once.
  const middle = Math.min(
    Math.max(MIN_RETRY_AFTER, wait) * factor,
    longest / (1 + JITTER_SHARE / 2),
  );
  return middle * (1 + (random - 0.5) * JITTER_SHARE);
}
