/**
 * Stores and merges records of entries. Invariant: the incarnation of an entry never decreases, and within
 * an incarnation only a record with a higher counter, which the entry itself issues, refutes a suspicion.
 */
import { checkInvariant, type EntryId, type Instant } from '../model/index.js';
import type { EntryRecord } from '../generated/membership.js';
import { hashText } from './random.js';
import type { EntryState, KnownEntry, MembershipState, SelfDescription } from './types.js';

/** Order of statuses with equal incarnation and counter; the higher rank replaces the lower. */
const statusRanks = { alive: 0, suspect: 1, dead: 2, left: 3 } as const;

/** Formats the version of an entry's record as `incarnation.counter.statusRank`. */
export function formatEntryStamp(record: EntryRecord): string {
  return `${record.incarnation}.${record.counter}.${statusRanks[record.status]}`;
}

/** Creates the first record that an entry issues about itself. */
export function createSelfRecord(self: SelfDescription): EntryRecord {
  const { id, zone, peerAddress, callerAddress, incarnation } = self;
  return {
    ...{ id, zone, peerAddress, callerAddress, incarnation },
    ...{ counter: 1, status: 'alive', stopping: false },
  };
}

/** Creates the state of an entry from a newer record; `known` is the state that it replaces. */
export function createEntryState(
  record: EntryRecord,
  known: EntryState | undefined,
  now: Instant,
): EntryState {
  const sameProcess = known?.record.incarnation === record.incarnation;
  const sameStatus = sameProcess && known.record.status === record.status;
  return {
    record,
    statusSince: sameStatus ? known.statusSince : now,
    incarnationSince: sameProcess ? known.incarnationSince : now,
    hash: hashText(`e:${record.id}=${formatEntryStamp(record)}`),
  };
}

/** Returns whether `record` replaces `known`. */
export function isNewerEntry(record: EntryRecord, known: EntryRecord): boolean {
  if (record.incarnation !== known.incarnation) return record.incarnation > known.incarnation;
  if (record.counter !== known.counter) return record.counter > known.counter;
  return statusRanks[record.status] > statusRanks[known.status];
}

/** Returns whether an entry counts as running; a suspect one does until it is marked dead. */
export function isAlive(entry: EntryState): boolean {
  return entry.record.status === 'alive' || entry.record.status === 'suspect';
}

/** Returns this entry's own state. */
export function getSelf(state: MembershipState): EntryState {
  const self = state.entries.get(state.self);
  checkInvariant(self !== undefined, `entry ${state.self} has no record of itself`);
  return self;
}

/** Returns the other entries that count as running. */
export function listPeers(state: MembershipState): readonly EntryState[] {
  return [...state.entries.values()].filter(
    (entry) => entry.record.id !== state.self && isAlive(entry),
  );
}

/** Finds the entry with a peer address; a running one takes precedence over a dead one. */
export function findByAddress(state: MembershipState, address: string): EntryState | undefined {
  const found = [...state.entries.values()].filter((e) => e.record.peerAddress === address);
  return found.find(isAlive) ?? found[0];
}

/** Stores a newer record and queues it for gossip. */
export function replaceEntry(
  state: MembershipState,
  record: EntryRecord,
  now: Instant,
): MembershipState {
  const known = state.entries.get(record.id);
  checkInvariant(
    known === undefined || isNewerEntry(record, known.record),
    `record of entry ${record.id} went back from ${known === undefined ? '' : formatEntryStamp(known.record)} to ${formatEntryStamp(record)}`,
  );
  const entries = new Map(state.entries).set(record.id, createEntryState(record, known, now));
  const pendingUpdates = new Map(state.pendingUpdates).set(
    `e:${record.id}`,
    computeRetransmitLimit(entries.size),
  );
  return {
    ...state,
    entries,
    pendingUpdates,
    schedule: { ...state.schedule, changedAt: now },
  };
}

/** Returns how many times a gossip update is sent so that it reaches all entries with high probability. */
export function computeRetransmitLimit(entries: number): number {
  return 2 * Math.ceil(Math.log2(entries + 1));
}

/** Merges a record from a peer; a suspicion about this entry itself is refuted by a newer record. */
export function mergeEntry(
  state: MembershipState,
  record: EntryRecord,
  now: Instant,
): MembershipState {
  const known = state.entries.get(record.id);
  if (record.id === state.self) return applyRefutation(state, record, now);
  if (known === undefined) {
    return record.status === 'alive' || record.status === 'suspect'
      ? replaceEntry(state, record, now)
      : state;
  }
  return isNewerEntry(record, known.record) ? replaceEntry(state, record, now) : state;
}

function applyRefutation(
  state: MembershipState,
  record: EntryRecord,
  now: Instant,
): MembershipState {
  const own = getSelf(state).record;
  const isSuspected = record.incarnation === own.incarnation && isNewerEntry(record, own);
  if (!isSuspected || own.status === 'left') return state;
  return replaceEntry(state, { ...own, counter: record.counter + 1 }, now);
}

/** Marks another entry suspect or dead, as found by this entry's own failure detector. */
export function markEntry(
  state: MembershipState,
  id: EntryId,
  status: 'suspect' | 'dead',
  now: Instant,
): MembershipState {
  const known = state.entries.get(id);
  if (known === undefined || statusRanks[known.record.status] >= statusRanks[status]) return state;
  return replaceEntry(state, { ...known.record, status }, now);
}

/** Converts the state of an entry to the public {@link KnownEntry}. */
export function toKnownEntry({ record }: EntryState): KnownEntry {
  const { id, zone, peerAddress, callerAddress, incarnation, stopping, status } = record;
  const alive = status === 'alive' || status === 'suspect';
  return { id, zone, peerAddress, callerAddress, incarnation, stopping, alive };
}
