/**
 * Callers that wait for an answer. Invariant: each of them gets exactly one answer, at its deadline at the
 * latest.
 */
import type { Duration } from '../model/index.js';

interface Waiter<T> {
  readonly resolve: (outcome: T) => void;
  readonly timer: NodeJS.Timeout;
}

/** Waiting callers by number. */
export class PendingCalls<T> {
  readonly #waiters = new Map<number, Waiter<T>>();
  #next = 1;

  /** Registers a caller, runs `start` with its number, and resolves with its answer. */
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

  /** Answers a caller, if it still waits. */
  settle(id: number, outcome: T): void {
    const waiter = this.#waiters.get(id);
    if (waiter === undefined) return;
    this.#waiters.delete(id);
    clearTimeout(waiter.timer);
    waiter.resolve(outcome);
  }

  /** Answers every caller. */
  settleAll(outcome: T): void {
    [...this.#waiters.keys()].forEach((id) => {
      this.settle(id, outcome);
    });
  }
}
