/**
 * Pending calls, each identified by a number. Invariant: each call is resolved exactly once, at its deadline
 * at the latest.
 */
import type { Duration } from '../model/index.js';

interface Waiter<T> {
  readonly resolve: (outcome: T) => void;
  readonly timer: NodeJS.Timeout;
}

/** The unresolved calls by number. */
export class PendingCalls<T> {
  readonly #waiters = new Map<number, Waiter<T>>();
  #next = 1;

  /**
   * Registers a call and runs `start` with its number. Resolves with the outcome passed to {@link settle}, or
   * with that of `getTimeoutOutcome` at the deadline.
   */
  wait(deadline: Duration, getTimeoutOutcome: () => T, start: (id: number) => void): Promise<T> {
    const id = this.#next;
    this.#next += 1;
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        this.settle(id, getTimeoutOutcome());
      }, deadline);
      this.#waiters.set(id, { resolve, timer });
      start(id);
    });
  }

  /** Resolves a call, if it is still pending. */
  settle(id: number, outcome: T): void {
    const waiter = this.#waiters.get(id);
    if (waiter === undefined) return;
    this.#waiters.delete(id);
    clearTimeout(waiter.timer);
    waiter.resolve(outcome);
  }

  /** Resolves every pending call with the same outcome. */
  settleAll(outcome: T): void {
    [...this.#waiters.keys()].forEach((id) => {
      this.settle(id, outcome);
    });
  }
}
