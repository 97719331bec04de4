/**
 * Collects garbage while large messages pass. Load pattern: many large bodies in a row, whose released buffers the
 * engine frees only after several times the memory of a small VM. Invariant: while large messages are held, and once
 * after, released buffers are collected before they exceed a bound; otherwise nothing is measured or collected.
 */
import type { Duration } from '../model/index.js';
import type { BufferBudget } from './buffers.js';

/** Interval in milliseconds at which the memory is checked while large messages are held. */
const CHECK_INTERVAL: Duration = 20;
/** Held bytes from which the memory is checked. */
const BUSY_BYTES = 4 * 1024 * 1024;
/** Bytes of released buffers beyond which garbage is collected. */
const MAX_RELEASED_BYTES = 24 * 1024 * 1024;

/** Returns whether so many buffers were released that they have to be collected. */
export function isCollectionDue(externalBytes: number, heldBytes: number): boolean {
  return externalBytes - heldBytes > MAX_RELEASED_BYTES;
}

/** Handle of a running collector. */
export interface Collector {
  close(): void;
}

/**
 * Starts checking the memory. Without `node --expose-gc`, nothing is collected.
 *
 * @example
 * const collector = createCollector(budget);
 * collector.close();
 */
export function createCollector(budget: BufferBudget): Collector {
  const collect = globalThis.gc;
  if (collect === undefined) return { close: () => undefined };
  let wasBusy = false;
  const timer = setInterval(() => {
    const isBusy = budget.total >= BUSY_BYTES;
    const isChecked = isBusy || wasBusy;
    wasBusy = isBusy;
    if (!isChecked) return;
    if (isCollectionDue(process.memoryUsage().external, budget.total)) collect();
  }, CHECK_INTERVAL).unref();
  return {
    close: () => {
      clearInterval(timer);
    },
  };
}
