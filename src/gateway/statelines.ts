/**
 * Describes the catalog that a gateway decides by, for its log lines. Invariant: every line about a decision by the
 * catalog tells the same four fields, so that it shows from whom the catalog came and how old it was.
 */
import type { CatalogCommand } from '../catalog/index.js';
import type { Follower } from '../feed/index.js';
import type { Address, Duration } from '../model/index.js';

/** The catalog of a gateway, as its log lines tell it. */
export interface StateFields {
  /** Log index of the last command in force. */
  readonly index: number;
  /** Version of the routes; 0 before the first ones. */
  readonly version: number;
  /** Whole milliseconds since the state was certainly current; -1 before the first state. */
  readonly stateAgeMs: Duration;
  /** The control member that the gateway follows; empty if it knows none. */
  readonly member: Address;
}

/**
 * Returns the fields of the catalog that the follower holds at this instant.
 *
 * @example
 * describeState(follower) // { index: 42, version: 25, stateAgeMs: 118, member: '10.1.0.30:7001' }
 */
export function describeState({
  view,
  age,
  followed,
}: Pick<Follower, 'view' | 'age' | 'followed'>): StateFields {
  const version = view.catalog.table?.version ?? 0;
  const stateAgeMs = Number.isFinite(age) ? Math.round(age) : -1;
  return { index: view.index, version, stateAgeMs, member: followed };
}

/** Returns the distinct kinds of the commands, separated by spaces. */
export function describeCommands(commands: readonly CatalogCommand[]): string {
  return [...new Set(commands.map(({ kind }) => kind))].join(' ');
}
