/**
 * Rates upstreams by the requests that they reject, and divides requests between those that reject and those that don't.
 * Invariant: without rejections nothing changes, and the upstreams that reject get no more than their part of the slots.
 *
 * Load pattern: most upstreams of a service reject about half of their requests for several seconds although they have
 * free slots. A rejection costs the retry budget, so that upstreams that don't reject are to be used first. All gateways
 * learn of the rejections at the same time, by reports that are older than a request takes. A mere order of preference
 * fills the few others beyond their queues, which is worse than a rejection: a request that is reset may have run.
 */
import type { Duration, Instant } from '../model/index.js';

/** Half-life in milliseconds of the weight of a counted answer or rejection. */
export const COUNT_HALF_LIFE: Duration = 2000;
/** Number of accepted requests added to the counts, so that a single rejection has little effect. */
const ASSUMED_ACCEPTED = 4;
/** Share of rejected requests from which an upstream counts as rejecting. */
const MIN_REJECTION_SHARE = 0.1;
/** Decayed number of rejections below which they have no effect. */
const MIN_REJECTED = 0.5;

/** Decayed counts of the answers and rejections of an upstream, over all gateways. */
export interface RejectionCounts {
  readonly good: number;
  readonly bad: number;
  readonly rejected: number;
  /** When the counts were last decayed. */
  readonly countedAt: Instant;
}

/**
 * Returns the share of requests that the upstream rejects, moving to 0 as the counts age.
 *
 * @example
 * computeRejectionShare({ good: 9, bad: 0, rejected: 11, countedAt: 0 }, 0) // 0.46
 */
export function computeRejectionShare(counts: RejectionCounts, now: Instant): number {
  const { good, bad, rejected, countedAt } = counts;
  if (rejected < MIN_REJECTED) return 0;
  const weight = 0.5 ** ((now - countedAt) / COUNT_HALF_LIFE);
  return (rejected * weight) / ((good + bad + rejected) * weight + ASSUMED_ACCEPTED);
}

/** Returns whether the upstream rejects requests although it has free slots. */
export function isRejecting(counts: RejectionCounts, now: Instant): boolean {
  return computeRejectionShare(counts, now) > MIN_REJECTION_SHARE;
}

/** Returns whether an upstream that rejects a request does so because it is full, by its report. */
export function isFullByReport(
  { running, waiting }: { readonly running: number; readonly waiting: number },
  slots: number,
): boolean {
  return running + waiting >= slots;
}

/** Requests per second of all gateways to a service, and those that its upstreams can run. */
export interface ServiceRates {
  /** Undefined while it is not known; then it counts as more than the upstreams can run. */
  readonly requests: number | undefined;
  /** What the upstreams with a free slot that don't reject can run. */
  readonly accepting: number;
  /** What the upstreams that reject could run if they didn't. */
  readonly rejecting: number;
}

/**
 * Returns the share of the requests that goes to the upstreams that reject: what the others can't run, and at most in
 * proportion to the slots. Each gateway divides its own requests, so that the gateways together send the others no more
 * than these can run, even while their reports are out of date.
 *
 * @example
 * computeRejectingShare({ requests: 1, accepting: 0.4, rejecting: 1.6 }) // 0.6
 */
export function computeRejectingShare({ requests, accepting, rejecting }: ServiceRates): number {
  const all = accepting + rejecting;
  if (all <= 0) return 0;
  const excess = requests === undefined ? 1 : 1 - accepting / Math.max(requests, accepting);
  return Math.min(excess, rejecting / all);
}
