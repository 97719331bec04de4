/**
 * Remembers which refused callers come back sooner than told. Invariant: the table holds a bounded number of callers and
 * forgets each within {@link FORGET_TIME} to twice that.
 */
import type { Duration, Instant } from '../model/index.js';
import { addItem, countItems, findItem, hashName, removeItem, type Tree } from './tree.js';

/** Callers in each of the two halves of the table; some 100 bytes each. */
const MAX_CALLERS = 2048;
/** Milliseconds after which a caller may be forgotten; requests have 1 to 5 s. */
const FORGET_TIME: Duration = 5000;
/**
 * Share of the told time, and milliseconds, within which a return is early. Other requests of the same account or
 * address may come within the rest of it by chance.
 */
const EARLY_SHARE = 0.5;
const MAX_EARLY_TIME: Duration = 100;
/** Requests that are charged at most to a caller for early returns. */
const MAX_EARLY = 8;

interface RefusedCaller {
  readonly id: number;
  readonly name: string;
  /** When a return stops being early, by the last refusal. */
  readonly notBefore: Instant;
  readonly early: number;
}

/** The callers refused lately, in two halves of which the older one is dropped. */
export interface RepeatTable {
  readonly recent: Tree<RefusedCaller>;
  readonly older: Tree<RefusedCaller>;
  readonly turnedAt: Instant;
}

export const emptyTable: RepeatTable = { recent: undefined, older: undefined, turnedAt: -Infinity };

function compareNames(left: RefusedCaller, right: RefusedCaller): number {
  return left.name === right.name ? 0 : left.name < right.name ? -1 : 1;
}

function getCaller({ recent, older }: RepeatTable, name: string): RefusedCaller {
  const unknown = { id: 0, name, notBefore: -Infinity, early: 0 };
  return (
    findItem(recent, unknown, compareNames) ??
    findItem(older, unknown, compareNames) ?? { ...unknown, id: hashName(name) }
  );
}

function advanceTable(table: RepeatTable, now: Instant): RepeatTable {
  const { recent, turnedAt } = table;
  const age = now - turnedAt;
  if (age < FORGET_TIME && countItems(recent) < MAX_CALLERS) return table;
  return { recent: undefined, older: age < 2 * FORGET_TIME ? recent : undefined, turnedAt: now };
}

function replaceCaller(table: RepeatTable, caller: RefusedCaller, now: Instant): RepeatTable {
  const turned = advanceTable(table, now);
  const others = removeItem(turned.recent, caller, compareNames);
  return { ...turned, recent: addItem(others, caller, compareNames) };
}

/**
 * Records that a caller was told to come back after `retryAfter` milliseconds.
 *
 * @example
 * recordRefusal(emptyTable, 'account sese880', 120, now)
 */
export function recordRefusal(
  table: RepeatTable,
  name: string,
  retryAfter: Duration,
  now: Instant,
): RepeatTable {
  const known = getCaller(table, name);
  const notBefore = now + Math.min(MAX_EARLY_TIME, retryAfter * EARLY_SHARE);
  return replaceCaller(table, { ...known, notBefore }, now);
}

/** Returns the table after a request of the caller, and how many early returns are charged to the caller. */
export function recordReturn(
  table: RepeatTable,
  name: string,
  now: Instant,
): { readonly table: RepeatTable; readonly early: number } {
  const known = getCaller(table, name);
  if (known.notBefore === -Infinity) return { table, early: 0 };
  const isEarly = now < known.notBefore;
  const early = Math.min(MAX_EARLY, Math.max(0, known.early + (isEarly ? 1 : -1)));
  return { table: replaceCaller(table, { ...known, early }, now), early };
}
