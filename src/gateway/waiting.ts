/**
 * Requests that wait for a state by which they can be decided: the first routes after the start, or a newer state after
 * a pause. Invariant: each goes on exactly once unless it is cancelled, at the latest when its time is over.
 */
import type { Duration } from '../model/index.js';
import type { ServedRequest } from './caller.js';

/** Share of the caller's time that a request may wait, so that the caller can still go elsewhere. */
const MAX_DEADLINE_SHARE = 1 / 2;
/** Maximum number of waiting requests, which bounds their memory and the burst that follows. */
const MAX_WAITING = 256;

/** What bounds a wait besides its cause. */
export interface WaitBounds {
  /** Milliseconds until the caller's deadline; 0 or less if it named none. */
  readonly timeLeft: Duration;
  /** Number of requests that wait already. */
  readonly waiting: number;
}

/**
 * Returns the milliseconds for which a request waits if its cause allows `time`; 0 if it doesn't wait.
 *
 * @example
 * computeWait(1200, { timeLeft: 1000, waiting: 3 }) // 500
 */
export function computeWait(time: Duration, { timeLeft, waiting }: WaitBounds): Duration {
  if (waiting >= MAX_WAITING) return 0;
  return Math.max(0, timeLeft > 0 ? Math.min(time, timeLeft * MAX_DEADLINE_SHARE) : time);
}

/** The waiting requests of a gateway. */
export class WaitingRequests {
  readonly #starts = new Set<() => void>();

  get size(): number {
    return this.#starts.size;
  }

  /** Lets a request wait for `time` milliseconds; `goOn` is called with whether it was started before they were over. */
  add(time: Duration, goOn: (isInTime: boolean) => ServedRequest | undefined): ServedRequest {
    let served: ServedRequest | undefined;
    const end = (): void => {
      clearTimeout(timer);
      this.#starts.delete(start);
    };
    const start = (): void => {
      end();
      served = goOn(true);
    };
    const timer = setTimeout(() => {
      end();
      served = goOn(false);
    }, time);
    this.#starts.add(start);
    return {
      cancel: () => {
        end();
        served?.cancel();
      },
    };
  }

  /** Lets all waiting requests go on. */
  startAll(): void {
    [...this.#starts].forEach((start) => {
      start();
    });
  }
}
