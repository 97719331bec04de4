/**
 * Decides which connections of clients are closed when a process has too many. Load pattern: crowds of clients that
 * connect and send slowly, in part or nothing, beside ordinary clients. Invariant: the decision depends only on the
 * arguments, and a connection whose request is being served is chosen only if there is no other.
 */
import type { Instant } from '../model/index.js';

/** What is known of a connection when the process has too many. */
export interface ConnectionState {
  /** Whether a complete request of it is being served. */
  readonly isServing: boolean;
  /** Whether one of its requests was answered. */
  readonly hasCompleted: boolean;
  /** When the latest bytes arrived, or when it was opened. */
  readonly activeAt: Instant;
}

function computeRank({ isServing, hasCompleted }: ConnectionState): number {
  if (isServing) return 2;
  return hasCompleted ? 1 : 0;
}

/**
 * Returns the indices of the `count` connections to close: first those that completed no request, then those between
 * two requests, and among equal ones those that were silent longest.
 *
 * @example
 * chooseVictims([{ isServing: true, hasCompleted: false, activeAt: 1 }, { isServing: false, hasCompleted: true, activeAt: 5 }], 1) // [1]
 */
export function chooseVictims(
  connections: readonly ConnectionState[],
  count: number,
): readonly number[] {
  return connections
    .map((state, index) => ({ index, rank: computeRank(state), activeAt: state.activeAt }))
    .sort((one, two) => one.rank - two.rank || one.activeAt - two.activeAt)
    .slice(0, count)
    .map(({ index }) => index);
}
