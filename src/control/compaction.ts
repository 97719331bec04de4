/**
 * Decides when a member saves a snapshot, how much of the log it keeps beside it, and when the log takes no more
 * proposals. Invariant: the bytes of the log are bounded whatever the size of its commands, so that replaying it
 * after a restart takes no more memory than applying it did.
 */
import type { LogEntry, Snapshot } from '../generated/control.js';
import { getEntries, getLastIndex, measureEntries, measureEntry, type Log } from './log.js';

/** Default number of applied entries after which a snapshot is saved. */
const MAX_ENTRIES = 1000;
/** Multiple of the size of the last snapshot at which the applied entries after it outweigh it. */
const SNAPSHOT_FACTOR = 4;
/** Bytes of applied entries below which no snapshot is saved, so that a small state is not written too often. */
const MIN_COMPACTED_BYTES = 4 * 1024 * 1024;
/** Bytes of applied entries above which a snapshot is always saved; small beside a disk of 64 MB. */
const MAX_COMPACTED_BYTES = 16 * 1024 * 1024;
/** Entries kept before the snapshot, so that members that lag slightly need no snapshot transfer. */
const TRAILING_ENTRIES = 256;
/** Maximum bytes of the entries kept before the snapshot. */
const TRAILING_BYTES = 1024 * 1024;
/** Maximum bytes of entries that wait to be committed; a leader that commits in time has far fewer. */
const MAX_UNCOMMITTED_BYTES = 16 * 1024 * 1024;

/** Why a snapshot is saved: the number of entries since the last one, or their bytes. */
export type CompactionReason = 'entries' | 'bytes';

/**
 * Returns why a snapshot is due after the entry at `index` was applied, or undefined if none is.
 *
 * @example
 * findCompactionReason(log, 1000, undefined) // 'entries'
 */
export function findCompactionReason(
  log: Log,
  index: number,
  snapshot: Snapshot | undefined,
  maxEntries = MAX_ENTRIES,
): CompactionReason | undefined {
  const covered = snapshot?.index ?? 0;
  if (index - covered >= maxEntries) return 'entries';
  const limit = (snapshot?.data.length ?? 0) * SNAPSHOT_FACTOR;
  const bounded = Math.min(Math.max(limit, MIN_COMPACTED_BYTES), MAX_COMPACTED_BYTES);
  if (log.bytes < bounded) return undefined;
  return measureEntries(getEntries(log, covered + 1, index)) >= bounded ? 'bytes' : undefined;
}

/** Returns the index up to which the log is dropped once a snapshot covers it up to `index`. */
export function findPruneIndex(log: Log, index: number): number {
  const trailing = getEntries(log, index - TRAILING_ENTRIES + 1, index);
  let bytes = 0;
  const last = trailing.findLast((entry: LogEntry) => {
    bytes += measureEntry(entry);
    return bytes > TRAILING_BYTES;
  });
  return last?.index ?? index - TRAILING_ENTRIES;
}

/** Returns whether the entries after the commit index leave room for a command of this size. */
export function hasRoomFor(log: Log, commitIndex: number, commandBytes: number): boolean {
  if (log.bytes + commandBytes <= MAX_UNCOMMITTED_BYTES) return true;
  const waiting = getEntries(log, commitIndex + 1, getLastIndex(log));
  return waiting.length === 0 || measureEntries(waiting) + commandBytes <= MAX_UNCOMMITTED_BYTES;
}
