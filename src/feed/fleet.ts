/**
 * The entries that are alive, as the control members hear of them. Invariant: an entry that no member has
 * heard for {@link ENTRY_TIMEOUT} is in no list.
 */
import type { Duration, Instant } from '../model/index.js';
import type { EntryRecord } from './types.js';

/** Milliseconds without a word after which an entry counts as gone; eight of its calls. */
export const ENTRY_TIMEOUT: Duration = 2000;

interface ReceivedEntry {
  readonly entry: EntryRecord;
  readonly receivedAt: Instant;
}

/** What one control member knows of the entries. */
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

/** Takes what an entry said of itself at some instant, unless something later is known. */
export function addEntry(table: FleetTable, entry: EntryRecord, receivedAt: Instant): FleetTable {
  const known = table.get(entry.id);
  if (known !== undefined && known.receivedAt >= receivedAt) return table;
  // An unchanged record keeps its identity, by which a change of the list is told.
  const kept = known !== undefined && isSameEntry(known.entry, entry) ? known.entry : entry;
  return new Map(table).set(entry.id, { entry: kept, receivedAt });
}

/** Drops the entries that fell silent. */
export function pruneEntries(table: FleetTable, now: Instant): FleetTable {
  const hasExpired = [...table.values()].some(({ receivedAt }) => now - receivedAt > ENTRY_TIMEOUT);
  return hasExpired
    ? new Map([...table].filter(([, { receivedAt }]) => now - receivedAt <= ENTRY_TIMEOUT))
    : table;
}

/** Returns the entries in the order of their ids. */
export function listEntries(table: FleetTable): readonly EntryRecord[] {
  return [...table.values()]
    .map(({ entry }) => entry)
    .sort((one, two) => (one.id < two.id ? -1 : 1));
}
