/**
 * Decides whether a request that arrives before the first route table waits for it. Invariant: the
 * decision depends only on the arguments, and no request waits longer than {@link MAX_WAIT}.
 *
 * After all processes of a site restarted together, gateways accept callers about a second before
 * the control members have a leader again. A caller that is refused in this time comes back after a
 * guessed delay, often once only; a caller that waits is served as soon as the routes are known.
 */
import type { Duration, Instant } from '../model/index.js';
import { computeWait } from './waiting.js';

/**
 * Milliseconds after the start of the process for which requests wait; longer than the control
 * members take to elect a leader. A gateway without routes after that is partitioned.
 */
const STARTUP_TIME: Duration = 3000;
/** Maximum milliseconds that a request waits; the slowest election and the first poll after it. */
const MAX_WAIT: Duration = 1200;

/** Inputs of {@link decideStartupWait}. */
export interface StartupState {
  readonly startedAt: Instant;
  readonly now: Instant;
  /** Number of requests that wait already. */
  readonly waiting: number;
}

/** Whether a request waits for the first route table, and for how long. */
export type StartupDecision =
  { readonly kind: 'wait'; readonly time: Duration } | { readonly kind: 'refuse' };

/**
 * Returns whether a request with `timeLeft` milliseconds until its deadline waits.
 *
 * @example
 * decideStartupWait({ startedAt: 0, now: 400, waiting: 3 }, 6000) // { kind: 'wait', time: 1200 }
 */
export function decideStartupWait(
  { startedAt, now, waiting }: StartupState,
  timeLeft: Duration,
): StartupDecision {
  const time = computeWait(Math.min(MAX_WAIT, startedAt + STARTUP_TIME - now), {
    ...{ timeLeft, waiting },
  });
  return time > 0 ? { kind: 'wait', time } : { kind: 'refuse' };
}
