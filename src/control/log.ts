/**
 * The replicated log as an immutable value. Invariant: the entries follow `baseIndex` without a gap, and
 * their terms never decrease.
 */
import { checkInvariant } from '../model/index.js';
import type { LogEntry, Snapshot } from '../generated/control.js';

/** Log entries after a base position; the entry at the base itself may be compacted away. */
export interface Log {
  readonly baseIndex: number;
  readonly baseTerm: number;
  readonly entries: readonly LogEntry[];
  /** Bytes that the entries take, approximately. */
  readonly bytes: number;
}

/** Bytes that an entry takes in memory besides its command, approximately. */
const ENTRY_OVERHEAD = 128;

/** Maximum number of entries in one message. */
const MAX_BATCH_ENTRIES = 512;
/** Maximum bytes of entries in one message, unless its first entry alone is larger. */
const MAX_BATCH_BYTES = 256 * 1024;

/** Returns the bytes that an entry takes, approximately. */
export function measureEntry(entry: LogEntry): number {
  return ENTRY_OVERHEAD + (entry.kind === 'command' ? entry.command.length : 0);
}

/** Returns the bytes that entries take, approximately. */
export function measureEntries(entries: readonly LogEntry[]): number {
  return entries.reduce((sum, entry) => sum + measureEntry(entry), 0);
}

/** Creates a log that continues the position of the base. */
export function createLog(
  baseIndex: number,
  baseTerm: number,
  entries: readonly LogEntry[] = [],
): Log {
  return { baseIndex, baseTerm, entries, bytes: measureEntries(entries) };
}

/** A log without entries. */
export const emptyLog: Log = createLog(0, 0);

/** Returns the index of the last entry, or of the base. */
export function getLastIndex(log: Log): number {
  return log.baseIndex + log.entries.length;
}

/** Returns the term of the last entry, or of the base. */
export function getLastTerm(log: Log): number {
  return log.entries.at(-1)?.term ?? log.baseTerm;
}

/** Returns the term at the index, or undefined if the log does not hold it. */
export function getTermAt(log: Log, index: number): number | undefined {
  if (index === log.baseIndex) return log.baseTerm;
  if (index < log.baseIndex) return undefined;
  return log.entries[index - log.baseIndex - 1]?.term;
}

/** Returns the entries from `first` to `last`, inclusive. */
export function getEntries(log: Log, first: number, last: number): readonly LogEntry[] {
  const start = Math.max(0, first - log.baseIndex - 1);
  return log.entries.slice(start, Math.max(start, last - log.baseIndex));
}

/** Returns the entries from `first` on that fit in one message. */
export function getBatch(log: Log, first: number): readonly LogEntry[] {
  const candidates = getEntries(log, first, first + MAX_BATCH_ENTRIES - 1);
  let bytes = 0;
  const cut = candidates.findIndex((entry, index) => {
    bytes += measureEntry(entry);
    return index > 0 && bytes > MAX_BATCH_BYTES;
  });
  return cut === -1 ? candidates : candidates.slice(0, cut);
}

/**
 * Appends the entries, replacing every existing entry from the index of the first one on.
 *
 * @example
 * appendEntries(log, [{ kind: 'noop', index: getLastIndex(log) + 1, term: 2 }]);
 */
export function appendEntries(log: Log, entries: readonly LogEntry[]): Log {
  const first = entries[0];
  if (first === undefined) return log;
  const kept = first.index - log.baseIndex - 1;
  checkInvariant(
    kept >= 0 && kept <= log.entries.length,
    `entry ${first.index} does not follow the log that ends at ${getLastIndex(log)}`,
  );
  const prefix = dropEntriesAfter(log, first.index - 1);
  return {
    ...prefix,
    entries: [...prefix.entries, ...entries],
    bytes: prefix.bytes + measureEntries(entries),
  };
}

/** Drops the entries after the index. */
export function dropEntriesAfter(log: Log, index: number): Log {
  if (index >= getLastIndex(log)) return log;
  return createLog(log.baseIndex, log.baseTerm, log.entries.slice(0, index - log.baseIndex));
}

/** Drops the entries up to and including the index, which becomes the base. */
export function pruneLog(log: Log, index: number): Log {
  const term = getTermAt(log, index);
  if (index <= log.baseIndex || term === undefined) return log;
  return createLog(index, term, log.entries.slice(index - log.baseIndex));
}

/** Returns the first index of the consecutive entries that have the same term as the entry at `index`. */
export function findTermStart(log: Log, index: number): number {
  const term = getTermAt(log, index);
  const position = log.entries
    .slice(0, Math.max(0, index - log.baseIndex))
    .findLastIndex((entry) => entry.term !== term);
  return log.baseIndex + position + 2;
}

/** Returns an empty log whose base is the snapshot. */
export function toLogBase(snapshot: Snapshot | undefined): Log {
  if (snapshot === undefined) return emptyLog;
  return createLog(snapshot.index, snapshot.term);
}

/**
 * Rebases the log on the snapshot. Drops entries that don't continue the snapshot, and reports a gap if the
 * log begins after it.
 */
export function joinLog(
  log: Log,
  snapshot: Snapshot | undefined,
): { readonly log: Log; readonly gap: boolean } {
  const base = toLogBase(snapshot);
  if (log.baseIndex > base.baseIndex) return { log, gap: true };
  const position = base.baseIndex - log.baseIndex;
  const term = position === 0 ? log.baseTerm : log.entries[position - 1]?.term;
  const entries = term === base.baseTerm ? log.entries.slice(position) : [];
  return { log: createLog(base.baseIndex, base.baseTerm, entries), gap: false };
}
