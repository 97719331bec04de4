/**
 * Decides whether a call for a service without known upstreams waits for one. Invariant: the decision depends only on
 * the arguments, and no call waits longer than {@link MAX_WAIT}.
 *
 * Upstreams renew their announcements every two seconds, and other entries pass them on. Until that time has passed, an
 * entry that has just started doesn't know whether a service has no upstreams.
 */
import type { Duration, Instant } from '../model/index.js';

/** Milliseconds after its start in which an entry gets the announcements of all upstreams. */
const STARTUP_TIME: Duration = 3000;
/** Maximum milliseconds that a call waits: one renewal, and the time in which it spreads. */
const MAX_WAIT: Duration = 2500;
/** Share of the call's time that it may wait, so that the rest is left for the upstream or another entry. */
const MAX_DEADLINE_SHARE = 1 / 2;
/** Maximum number of waiting calls, which bounds their memory and the burst that follows. */
const MAX_WAITING = 256;

/** Inputs of {@link decideFirstWait}. */
export interface FirstWaitState {
  readonly startedAt: Instant;
  readonly now: Instant;
  /** Whether any upstream is known, of whatever service. */
  readonly knowsUpstreams: boolean;
  /** Number of calls that wait already. */
  readonly waiting: number;
}

/** Whether a call waits for the first upstream of its service, and for how long. */
export type FirstWait =
  { readonly kind: 'wait'; readonly time: Duration } | { readonly kind: 'proceed' };

/**
 * Returns whether a call with `timeLeft` milliseconds until its deadline waits for an upstream of its service.
 *
 * @example
 * decideFirstWait({ startedAt: 0, now: 400, knowsUpstreams: true, waiting: 3 }, 1000) // { kind: 'wait', time: 500 }
 */
export function decideFirstWait(
  { startedAt, now, knowsUpstreams, waiting }: FirstWaitState,
  timeLeft: Duration,
): FirstWait {
  const startupLeft = knowsUpstreams ? startedAt + STARTUP_TIME - now : MAX_WAIT;
  const time = Math.min(MAX_WAIT, startupLeft, timeLeft * MAX_DEADLINE_SHARE);
  return time > 0 && waiting < MAX_WAITING ? { kind: 'wait', time } : { kind: 'proceed' };
}
