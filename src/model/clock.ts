/**
 * A clock for ages that must not look shorter than they are. Invariant: it never goes back, and between two readings it
 * advances by at least the monotonic clock's difference, and by what the time of day gained on that clock, up to
 * {@link TOLERANCE}. A suspended VM's monotonic clock stands still, while its time of day is right after it wakes.
 */
import type { Instant } from './index.js';

/** Milliseconds by which the time of day may leave the monotonic clock before this counts as a jump. */
const TOLERANCE = 100;

/** State of a steady clock: its reading is the monotonic clock's plus `shift`. */
export interface SteadyClock {
  readonly shift: number;
  /** By how much the time of day was ahead of the monotonic clock at the last jump. */
  readonly lead: number;
}

/** Returns a steady clock that begins with the time of day, so that readings of an earlier process are older. */
export function createSteadyClockState(monotonic: Instant, wall: Instant): SteadyClock {
  return { shift: wall - monotonic, lead: wall - monotonic };
}

/** Adds a forward jump of the time of day to the clock; a backward jump changes only what later ones start from. */
export function advanceSteadyClock(
  clock: SteadyClock,
  monotonic: Instant,
  wall: Instant,
): SteadyClock {
  const lead = wall - monotonic;
  const jump = lead - clock.lead;
  if (Math.abs(jump) <= TOLERANCE) return clock;
  return { shift: clock.shift + Math.max(0, jump), lead };
}

/**
 * Returns a clock in milliseconds that also runs on while the VM is suspended. Its readings are comparable only within
 * this process.
 *
 * @example
 * const steadyNow = createSteadyClock(() => performance.now(), Date.now);
 * const sentAt = steadyNow();
 */
export function createSteadyClock(monotonic: () => Instant, wall: () => Instant): () => Instant {
  let clock = createSteadyClockState(monotonic(), wall());
  return () => {
    const now = monotonic();
    clock = advanceSteadyClock(clock, now, wall());
    return now + clock.shift;
  };
}
