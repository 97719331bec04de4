/**
 * Tracks the live entries, as known to a control member. Invariant: an entry from which no member has
 * received a poll for {@link ENTRY_TIMEOUT} is in no list.
 */
import type { Duration, Instant } from '../model/index.js';
import type { EntryRecord } from './types.js';

/** Milliseconds without a poll after which an entry expires; eight of its polls. */
export const ENTRY_TIMEOUT: Duration = 2000;

interface ReceivedEntry {
  readonly entry: EntryRecord;
  readonly receivedAt: Instant;
}

/** The entries known to one control member, by id. */
export type FleetTable = ReadonlyMap<string, ReceivedEntry>;

function isSameEntry(one: EntryRecord, two: EntryRecord): boolean {
  return (
    one.callerAddress === two.callerAddress &&
    one.peerAddress === two.peerAddress &&
    one.zone === two.zone &&
    one.capacity === two.capacity &&
    one.ready === two.ready
  );
}

/** Adds the record of an entry that was received at an instant, unless a record as recent is known. */
export function addEntry(table: FleetTable, entry: EntryRecord, receivedAt: Instant): FleetTable {
  const known = table.get(entry.id);
  if (known !== undefined && known.receivedAt >= receivedAt) return table;
  // An unchanged record keeps its object identity, by which the publisher detects changes of the list.
  const kept = known !== undefined && isSameEntry(known.entry, entry) ? known.entry : entry;
  return new Map(table).set(entry.id, { entry: kept, receivedAt });
}

/** Removes the expired entries. */
export function pruneEntries(table: FleetTable, now: Instant): FleetTable {
  const hasExpired = [...table.values()].some(({ receivedAt }) => now - receivedAt > ENTRY_TIMEOUT);
  return hasExpired
    ? new Map([...table].filter(([, { receivedAt }]) => now - receivedAt <= ENTRY_TIMEOUT))
    : table;
}

/** Returns the entries sorted by id. */
export function listEntries(table: FleetTable): readonly EntryRecord[] {
  return [...table.values()]
    .map(({ entry }) => entry)
    .sort((one, two) => (one.id < two.id ? -1 : 1));
}
