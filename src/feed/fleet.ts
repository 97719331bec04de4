/**
 * Tracks the live entries, as known to a control member. Invariant: an entry from which no member has
 * received a poll for {@link ENTRY_TIMEOUT} is in no list, and a list keeps its identity until it changes.
 */
import { createHash } from 'node:crypto';
import type { Duration, Instant } from '../model/index.js';
import { encodeFleetUpdate } from './codec.js';
import { resolveFleetUpdate } from './messages.js';
import type { EntryRecord, FleetUpdate } from './types.js';

/** An update that is not compressed. */
type PlainFleetUpdate = Exclude<FleetUpdate, { kind: 'packed' }>;

/** Milliseconds without a poll after which an entry expires; eight of its polls. */
export const ENTRY_TIMEOUT: Duration = 2000;
/**
 * Number of earlier lists kept, from which followers are sent differences; others are sent the whole list.
 * When all entries of a large site restart, about a hundred of them change between two polls.
 */
const MAX_KEPT_LISTS = 256;

interface ReceivedEntry {
  readonly entry: EntryRecord;
  receivedAt: Instant;
}

function isSameEntry(one: EntryRecord, two: EntryRecord): boolean {
  return (
    one.callerAddress === two.callerAddress &&
    one.peerAddress === two.peerAddress &&
    one.zone === two.zone &&
    one.capacity === two.capacity &&
    one.ready === two.ready
  );
}

function compareIds(one: EntryRecord, two: EntryRecord): number {
  return one.id < two.id ? -1 : 1;
}

/** The entries known to one control member. */
export class FleetTable {
  readonly #received = new Map<string, ReceivedEntry>();
  #entries: readonly EntryRecord[] | undefined;

  /** The entries sorted by id. */
  get entries(): readonly EntryRecord[] {
    this.#entries ??= [...this.#received.values()].map(({ entry }) => entry).sort(compareIds);
    return this.#entries;
  }

  /** Adds the record of an entry that was received at an instant, unless a record as recent is known. */
  add(entry: EntryRecord, receivedAt: Instant): void {
    const known = this.#received.get(entry.id);
    if (known !== undefined && known.receivedAt >= receivedAt) return;
    if (known !== undefined && isSameEntry(known.entry, entry)) {
      known.receivedAt = receivedAt;
      return;
    }
    this.#received.set(entry.id, { entry, receivedAt });
    this.#entries = undefined;
  }

  /** Removes the expired entries. */
  prune(now: Instant): void {
    const expired = [...this.#received.values()].filter(
      ({ receivedAt }) => now - receivedAt > ENTRY_TIMEOUT,
    );
    expired.forEach(({ entry }) => this.#received.delete(entry.id));
    if (expired.length > 0) this.#entries = undefined;
  }

  /** Returns the ids of the entries that were received over `age` milliseconds ago, with their ages. */
  listSilent(age: Duration, now: Instant): readonly (readonly [id: string, age: Duration])[] {
    return [...this.#received]
      .filter(([, { receivedAt }]) => now - receivedAt > age)
      .map(([id, { receivedAt }]) => [id, now - receivedAt] as const);
  }
}

/**
 * Applies an update to a list of entries with the given revision. Returns undefined if the update is a
 * difference from another list.
 */
function applyFleetUpdate(
  entries: readonly EntryRecord[],
  revision: string,
  update: PlainFleetUpdate,
): readonly EntryRecord[] | undefined {
  switch (update.kind) {
    case 'whole':
      return update.entries;
    case 'difference': {
      if (update.base !== revision) return undefined;
      const replaced = new Set([...update.removed, ...update.changed.map(({ id }) => id)]);
      return [...entries.filter(({ id }) => !replaced.has(id)), ...update.changed].sort(compareIds);
    }
  }
}

function computeDifference(
  base: readonly EntryRecord[],
  entries: readonly EntryRecord[],
): Pick<Extract<FleetUpdate, { kind: 'difference' }>, 'changed' | 'removed'> {
  const known = new Map(base.map((entry) => [entry.id, entry]));
  const ids = new Set(entries.map(({ id }) => id));
  return {
    changed: entries.filter((entry) => known.get(entry.id) !== entry),
    removed: base.filter(({ id }) => !ids.has(id)).map(({ id }) => id),
  };
}

/** Compresses a large update: the list of a large site would fill a small VM's link for a fifth of a second. */
function encodeIfLarge(plain: PlainFleetUpdate): FleetUpdate {
  const update = encodeFleetUpdate(plain);
  return update === undefined ? plain : { kind: 'packed', revision: plain.revision, update };
}

/** A list of entries that is kept up to date by updates from another process. */
export class FleetCopy {
  #entries: readonly EntryRecord[] = [];
  #revision = '';

  get entries(): readonly EntryRecord[] {
    return this.#entries;
  }

  get revision(): string {
    return this.#revision;
  }

  /** Applies an update and returns whether the list changed. A difference from another list is ignored. */
  apply(update: FleetUpdate): boolean {
    if (update.revision === this.#revision) return false;
    const entries = applyFleetUpdate(this.#entries, this.#revision, resolveFleetUpdate(update));
    if (entries === undefined) return false;
    this.#entries = entries;
    this.#revision = update.revision;
    return true;
  }
}

/** The current list of entries of a control member, and updates to it from earlier lists. */
export class FleetHistory {
  /** The latest lists by revision, oldest first. */
  readonly #lists = new Map<string, readonly EntryRecord[]>();
  /** Updates to the current list by the revision that they are for; most followers need the same one. */
  readonly #updates = new Map<string, FleetUpdate>();
  #entries: readonly EntryRecord[] = [];
  #revision = '';

  /** A digest of the current list, which is the same at all control members. */
  get revision(): string {
    return this.#revision;
  }

  /** Sets the current list. A list object that is known already costs nothing. */
  setEntries(entries: readonly EntryRecord[]): void {
    if (entries === this.#entries && this.#revision !== '') return;
    this.#entries = entries;
    this.#revision = createHash('sha256').update(JSON.stringify(entries)).digest('base64');
    this.#updates.clear();
    this.#lists.delete(this.#revision);
    this.#lists.set(this.#revision, entries);
    const [oldest] = this.#lists.keys();
    if (this.#lists.size > MAX_KEPT_LISTS && oldest !== undefined) this.#lists.delete(oldest);
  }

  /** Returns the update for a follower that has the list with this revision, if it needs one. */
  createUpdate(revision: string): FleetUpdate | undefined {
    if (revision === this.#revision) return undefined;
    const base = this.#lists.get(revision);
    const key = base === undefined ? '' : revision;
    const known = this.#updates.get(key);
    if (known !== undefined) return known;
    const plain: PlainFleetUpdate =
      base === undefined
        ? { kind: 'whole', revision: this.#revision, entries: this.#entries }
        : {
            ...{ kind: 'difference', base: revision, revision: this.#revision },
            ...computeDifference(base, this.#entries),
          };
    const update = encodeIfLarge(plain);
    this.#updates.set(key, update);
    return update;
  }
}
