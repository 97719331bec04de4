/**
 * The control member's side of the feed. Invariant: a follower is sent each command after its index once
 * and in order, or the whole state.
 */
import { createHash } from 'node:crypto';
import { type Catalog, type CatalogCommand } from '../catalog/index.js';
import { toAddress, type ControlNode } from '../control/index.js';
import type { Address, Duration, Instant } from '../model/index.js';
import { mergeEvidence, type EvidenceRow } from '../rollout/index.js';
import type { Mesh } from '../wire/index.js';
import { encodeCommands, encodeState, type Bulk, type IndexedCommands } from './codec.js';
import { addEntry, listEntries, pruneEntries, type FleetTable } from './fleet.js';
import { FEED_CHANNEL, type EntryRecord, type FeedMessage, type GroupNews } from './types.js';

/** Commands that are kept for followers that lag. */
const KEPT_COMMANDS = 512;
/** Milliseconds between two words to the other control members. */
const SHARE_INTERVAL: Duration = 400;
/** Milliseconds since its last call for which a follower is sent news unasked. */
const FOLLOWER_TIME: Duration = 1500;

/** What {@link createPublisher} needs. */
export interface PublisherOptions {
  readonly mesh: Mesh;
  readonly control: ControlNode<Catalog>;
  readonly now: () => Instant;
  /** Milliseconds that each cold instance stays cold, as far as this member knows. */
  readonly listCold: () => Readonly<Record<string, Duration>>;
  /** Called with the group as another process knows it. */
  readonly onFound: (news: GroupNews) => void;
  /** Called on the leader with evidence of any entry. */
  readonly onEvidence: (rows: readonly EvidenceRow[]) => void;
}

/** A control member's side of the feed. */
export interface Publisher {
  readonly entries: readonly EntryRecord[];
  close(): void;
}

interface Follower {
  readonly index: number;
  readonly fleetRevision: string;
  readonly at: Instant;
}

/** The entries and what names their list in calls. */
interface FleetDescription {
  readonly entries: readonly EntryRecord[];
  readonly revision: string;
}

/** What was encoded last, and of what. */
interface Encoded {
  readonly key: string;
  readonly bulk: Bulk;
}

class FeedPublisher implements Publisher {
  readonly #options: PublisherOptions;
  readonly #timer: NodeJS.Timeout;
  readonly #followers = new Map<Address, Follower>();
  #commands: readonly (readonly [number, CatalogCommand])[] = [];
  /** The index after which {@link #commands} is complete. */
  #complete: number;
  #fleet: FleetTable = new Map();
  #own: FleetTable = new Map();
  #evidence: readonly EvidenceRow[] = [];
  #encoded: Encoded = { key: '', bulk: [false, new Uint8Array()] };
  #encodedState: Encoded = { key: '', bulk: [false, new Uint8Array()] };
  #described: FleetDescription = { entries: [], revision: '' };

  constructor(options: PublisherOptions) {
    this.#options = options;
    this.#complete = options.control.appliedIndex;
    options.control.onApplied((_, index, command) => {
      this.#take(index, command as CatalogCommand | undefined);
    });
    options.mesh.handle(FEED_CHANNEL, (from, message) => {
      this.#receive(from, message as FeedMessage);
    });
    this.#timer = setInterval(() => {
      this.#share();
    }, SHARE_INTERVAL);
  }

  get entries(): readonly EntryRecord[] {
    return listEntries(this.#fleet);
  }

  close(): void {
    clearInterval(this.#timer);
  }

  #take(index: number, command: CatalogCommand | undefined): void {
    if (command === undefined) {
      this.#commands = [];
      this.#complete = index;
    } else {
      const all = [...this.#commands, [index, command] as const];
      this.#commands = all.slice(-KEPT_COMMANDS);
      this.#complete = all.length > KEPT_COMMANDS ? (all[0]?.[0] ?? index) : this.#complete;
    }
    const since = this.#options.now() - FOLLOWER_TIME;
    [...this.#followers].forEach(([address, follower]) => {
      if (follower.at < since) this.#followers.delete(address);
      else this.#sendNews(address, follower);
    });
  }

  #receive(from: Address, message: FeedMessage): void {
    const now = this.#options.now();
    switch (message.kind) {
      case 'follow': {
        this.#fleet = addEntry(this.#fleet, message.entry, now);
        this.#own = addEntry(this.#own, message.entry, now);
        this.#takeEvidence(message.evidence);
        const { index, fleetRevision } = message;
        this.#sendNews(from, { index, fleetRevision, at: now });
        return;
      }
      case 'followers':
        this.#fleet = message.entries.reduce(
          (table, [entry, age]) => addEntry(table, entry, now - age),
          this.#fleet,
        );
        return;
      case 'evidence':
        this.#takeEvidence(message.rows);
        return;
      case 'find': {
        const { healthy, leader } = this.#options.control.status;
        const members = this.#listMembers();
        const found: FeedMessage = { kind: 'found', members, healthy, leader };
        this.#options.mesh.send(from, FEED_CHANNEL, found);
        return;
      }
      case 'found':
        this.#options.onFound(message);
        return;
      case 'news':
        return;
    }
  }

  #listMembers(): readonly Address[] {
    return this.#options.control.status.members.map(({ id }) => toAddress(id));
  }

  #takeEvidence(rows: readonly EvidenceRow[]): void {
    if (rows.length === 0) return;
    if (this.#options.control.status.role === 'leader') this.#options.onEvidence(rows);
    else this.#evidence = mergeEvidence(this.#evidence, rows);
  }

  #sendNews(to: Address, follower: Follower): void {
    const { control, mesh, listCold, now } = this.#options;
    this.#fleet = pruneEntries(this.#fleet, now());
    const { entries, revision } = this.#describeFleet();
    const isBehind = follower.index < this.#complete;
    const commands = isBehind ? [] : this.#commands.filter(([index]) => index > follower.index);
    const last = commands.at(-1)?.[0];
    mesh.send(to, FEED_CHANNEL, {
      kind: 'news',
      healthy: control.status.healthy,
      base: isBehind ? { index: control.appliedIndex, state: this.#encodeState() } : undefined,
      after: follower.index,
      commands: last === undefined ? undefined : this.#encodeCommands(commands, last),
      cold: isBehind ? listCold() : {},
      fleet: revision === follower.fleetRevision ? undefined : { revision, entries },
      members: this.#listMembers(),
    } satisfies FeedMessage);
    const index = Math.max(follower.index, isBehind ? control.appliedIndex : (last ?? 0));
    this.#followers.set(to, { ...follower, index, fleetRevision: revision });
  }

  /** Most followers are sent the same commands, so these are encoded once. */
  #encodeCommands(commands: IndexedCommands, last: number): Bulk {
    const key = `${commands[0]?.[0] ?? last} ${last}`;
    if (this.#encoded.key !== key) this.#encoded = { key, bulk: encodeCommands(commands) };
    return this.#encoded.bulk;
  }

  #encodeState(): Bulk {
    const { applied, appliedIndex } = this.#options.control;
    const key = `state ${appliedIndex}`;
    if (this.#encodedState.key !== key) {
      this.#encodedState = { key, bulk: encodeState(applied) };
    }
    return this.#encodedState.bulk;
  }

  /** Returns the entries with a digest of their list, which is made anew only after a change. */
  #describeFleet(): FleetDescription {
    const entries = listEntries(this.#fleet);
    const known = this.#described.entries;
    if (entries.length === known.length && entries.every((entry, at) => entry === known[at])) {
      return this.#described;
    }
    const revision = createHash('sha256').update(JSON.stringify(entries)).digest('base64');
    this.#described = { entries, revision };
    return this.#described;
  }

  /** Tells the other members of the entries here, and the leader of the evidence. */
  #share(): void {
    const { control, mesh, now } = this.#options;
    this.#own = pruneEntries(this.#own, now());
    const entries = [...this.#own.values()].map(({ entry, at }) => [entry, now() - at] as const);
    if (entries.length > 0) {
      this.#listMembers()
        .filter((member) => member !== mesh.address)
        .forEach((member) => {
          mesh.send(member, FEED_CHANNEL, { kind: 'followers', entries } satisfies FeedMessage);
        });
    }
    const { leader } = control.status;
    if (this.#evidence.length === 0 || leader === undefined) return;
    mesh.send(leader, FEED_CHANNEL, {
      kind: 'evidence',
      rows: this.#evidence,
    } satisfies FeedMessage);
    this.#evidence = [];
  }
}

/** Starts a control member's side of the feed. */
export function createPublisher(options: PublisherOptions): Publisher {
  return new FeedPublisher(options);
}
