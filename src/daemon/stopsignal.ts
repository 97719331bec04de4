/**
 * Waits for the signal to stop. Invariant: the signal was sent no earlier than the instant that is returned with it,
 * however late this process handles it.
 */
import type { Duration, Instant } from '../model/index.js';

/** Interval in milliseconds of the timer that shows up to when no signal had come. */
const TURN_INTERVAL: Duration = 100;

/** A signal to stop. */
export interface StopSignal {
  readonly signal: NodeJS.Signals;
  /** An instant before which it was not sent. */
  readonly notBefore: Instant;
}

/**
 * Resolves at the first SIGTERM or SIGINT. The handlers stay, as a second signal would otherwise end the process and cut
 * off what it still serves.
 *
 * @example
 * const { notBefore } = await waitForStopSignal(() => performance.now());
 */
export function waitForStopSignal(now: () => Instant): Promise<StopSignal> {
  // Signals are read between two turns of the timer: what was sent before a turn has been handled by the next one.
  let turns: readonly [earlier: Instant, latest: Instant] = [now(), now()];
  const timer = setInterval(() => {
    turns = [turns[1], now()];
  }, TURN_INTERVAL).unref();
  return new Promise((resolve) => {
    (['SIGTERM', 'SIGINT'] as const).forEach((signal) => {
      process.on(signal, () => {
        clearInterval(timer);
        resolve({ signal, notBefore: turns[0] });
      });
    });
  });
}
