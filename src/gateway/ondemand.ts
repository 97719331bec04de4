/**
 * Decides whether the load of an upstream is probed right before a request is sent to it.
 * Invariant: the decision depends only on the arguments, and no probe is made for a service whose
 * VMs all run at normal pace.
 *
 * On-demand probes are for upstreams on VMs that are shared with other workloads. Some of these VMs
 * run several times slower for about half a second at a time, and a request that starts at the slow
 * pace keeps it until it ends.
 */
import type { Duration } from '../model/index.js';

/**
 * Half-life in milliseconds of the pace in a load report. The pace of a VM changes about every 500
 * ms.
 */
export const PACE_HALF_LIFE: Duration = 250;
/**
 * Cost of a probe in milliseconds: a round trip within the region and the processing on both sides.
 */
const PROBE_COST: Duration = 3;

/** Returns the weight of a load report of the given age, from 1 (new) down to 0. */
export function computeFreshness(age: Duration): number {
  return 0.5 ** (age / PACE_HALF_LIFE);
}

/**
 * Returns whether a probe costs less than the time that is expected to be lost if the VM has become
 * slow since its last report. `excessPace` is the average amount by which the pace of the service's
 * VMs exceeds the normal pace of 1.
 *
 * @example
 * isProbeWorthwhile(60, 1.5, 100) // true: 60 ms of work, VMs 2.5 times slower on average, a report that is 100 ms old
 */
export function isProbeWorthwhile(work: Duration, excessPace: number, age: Duration): boolean {
  return work * excessPace * (1 - computeFreshness(age)) > PROBE_COST;
}
