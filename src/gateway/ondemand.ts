/**
 * Decides whether an upstream is asked for its load right before a request goes to it. Invariant: the decision
 * depends on the arguments alone, and nothing is asked where all VMs keep their usual pace.
 *
 * It answers the load of upstreams whose VMs are shared with others: a part of them is several times slower for
 * half a second at a time, and a request that begins at the slow pace keeps it to its end.
 */
import type { Duration } from '../model/index.js';

/** Milliseconds after which half of what a report of the pace tells is out of date; VMs change in about 500. */
export const PACE_HALF_LIFE: Duration = 250;
/** Milliseconds that asking takes: a round trip within the region, and the work for it on both sides. */
const PROBE_COST: Duration = 3;

/** Returns what of a report of this age still holds, from 1 down to 0. */
export function computeFreshness(age: Duration): number {
  return 0.5 ** (age / PACE_HALF_LIFE);
}

/**
 * Tells whether asking costs less than the work that is expected to be lost on a VM that has become slow since
 * the report. `excess` is by how much the pace of the service's VMs exceeds the usual on average.
 *
 * @example
 * isLookWorthwhile(60, 1.5, 100) // true: 60 ms of work, VMs 2.5 times slower on average, a report of 100 ms ago
 */
export function isProbeWorthwhile(work: Duration, excessPace: number, age: Duration): boolean {
  return work * excessPace * (1 - computeFreshness(age)) > PROBE_COST;
}
