/**
 * The entry's side of the feed. Invariant: commands are applied in the order of the log, each once; after
 * a gap nothing is applied until the whole state came.
 */
import { applyCommand, emptyCatalog, type Catalog, type CatalogCommand } from '../catalog/index.js';
import type { Address, Duration, Instant } from '../model/index.js';
import { hashText } from '../routing/index.js';
import type { EvidenceRow } from '../rollout/index.js';
import type { Mesh } from '../wire/index.js';
import { decodeCommands, decodeState } from './codec.js';
import { FEED_CHANNEL, type EntryRecord, type FeedMessage } from './types.js';

/** Milliseconds between two calls to the control member that is followed. */
const POLL_INTERVAL: Duration = 250;
/** Milliseconds without an answer after which another control member is followed. */
const ANSWER_TIMEOUT: Duration = 700;

/** Why the entry's view changed. */
export type FeedChange =
  | { readonly kind: 'replaced' }
  | { readonly kind: 'command'; readonly command: CatalogCommand }
  | { readonly kind: 'fleet' };

/** What an entry knows. */
export interface FeedView {
  readonly catalog: Catalog;
  /** Index of the last command in {@link catalog}; 0 before the first state. */
  readonly index: number;
  readonly entries: readonly EntryRecord[];
}

/** What {@link createFollower} needs. */
export interface FollowerOptions {
  readonly mesh: Mesh;
  /** Control members that may exist; others are learned from those. */
  readonly seeds: readonly Address[];
  readonly now: () => Instant;
  readonly describeSelf: () => EntryRecord;
  /** Returns the evidence since the last call. */
  readonly collectEvidence: () => readonly EvidenceRow[];
  readonly onChange: (view: FeedView, change: FeedChange) => void;
  /** Called with the milliseconds that instances stay cold. */
  readonly onCold: (cold: Readonly<Record<string, Duration>>) => void;
  readonly onDependency: (state: 'lost' | 'regained', member: Address) => void;
}

/** An entry's side of the feed. */
export interface Follower {
  readonly view: FeedView;
  /** Milliseconds since a healthy control member last answered. */
  readonly age: Duration;
  /** Calls the member that is followed at once, such as before stopping. */
  pollNow(): void;
  close(): void;
}

class FeedFollower implements Follower {
  readonly #options: FollowerOptions;
  readonly #timer: NodeJS.Timeout;
  #view: FeedView = { catalog: emptyCatalog, index: 0, entries: [] };
  #fleetRevision = '';
  #members: readonly Address[];
  #followed: Address;
  #followedSince: Instant;
  #lastHealthyAnswerAt: Instant;
  #isLost = true;

  constructor(options: FollowerOptions) {
    this.#options = options;
    this.#members = options.seeds;
    this.#followedSince = options.now();
    this.#lastHealthyAnswerAt = options.now();
    this.#followed = this.#rankMembers()[0] ?? '';
    options.mesh.handle(FEED_CHANNEL, (from, message) => {
      this.#receive(from, message as FeedMessage);
    });
    this.#timer = setInterval(() => {
      this.#poll();
    }, POLL_INTERVAL);
    this.pollNow();
  }

  get view(): FeedView {
    return this.#view;
  }

  get age(): Duration {
    return this.#options.now() - this.#lastHealthyAnswerAt;
  }

  pollNow(): void {
    if (this.#followed === '') return;
    this.#options.mesh.send(this.#followed, FEED_CHANNEL, {
      kind: 'follow',
      entry: this.#options.describeSelf(),
      index: this.#view.index,
      fleetRevision: this.#fleetRevision,
      evidence: this.#options.collectEvidence(),
    } satisfies FeedMessage);
  }

  close(): void {
    clearInterval(this.#timer);
  }

  /** Each entry prefers the members in an order of its own, so that they share the entries. */
  #rankMembers(): readonly Address[] {
    const own = this.#options.describeSelf().id;
    const all = [...new Set([...this.#members, ...this.#options.seeds])];
    return all
      .map((member) => [hashText(`${own} ${member}`), member] as const)
      .sort(([one], [two]) => one - two)
      .map(([, member]) => member);
  }

  #poll(): void {
    const now = this.#options.now();
    if (now - Math.max(this.#lastHealthyAnswerAt, this.#followedSince) > ANSWER_TIMEOUT)
      this.#followNextMember();
    this.pollNow();
  }

  #followNextMember(): void {
    if (!this.#isLost) {
      this.#isLost = true;
      this.#options.onDependency('lost', this.#followed);
    }
    const ranked = this.#rankMembers();
    this.#followed = ranked[(ranked.indexOf(this.#followed) + 1) % ranked.length] ?? '';
    this.#followedSince = this.#options.now();
  }

  #receive(from: Address, message: FeedMessage): void {
    if (message.kind !== 'news') return;
    this.#applyUpdate(message);
    if (from !== this.#followed) return;
    if (!message.healthy) {
      // A member without a leader may lag behind for as long as it is cut off.
      if (this.#options.now() - this.#followedSince > ANSWER_TIMEOUT) this.#followNextMember();
      return;
    }
    this.#lastHealthyAnswerAt = this.#options.now();
    this.#updateMembers(message.members);
    if (!this.#isLost) return;
    this.#isLost = false;
    this.#options.onDependency('regained', from);
  }

  /** Follows the preferred member once it is known, so that not all entries stay with the seeds. */
  #updateMembers(members: readonly Address[]): void {
    if (members.join() === this.#members.join()) return;
    this.#members = members;
    const preferred = this.#rankMembers().find((member) => members.includes(member));
    if (preferred === undefined || preferred === this.#followed) return;
    this.#followed = preferred;
    this.#followedSince = this.#options.now();
    this.pollNow();
  }

  #applyUpdate(update: Extract<FeedMessage, { kind: 'news' }>): void {
    const { base, after, commands, cold, fleet } = update;
    const { onChange, onCold } = this.#options;
    if (base !== undefined && base.index > this.#view.index) {
      this.#view = { ...this.#view, catalog: decodeState(base.state), index: base.index };
      onChange(this.#view, { kind: 'replaced' });
      onCold(cold);
    }
    const hasGap = after > this.#view.index;
    const listed = commands === undefined || hasGap ? [] : decodeCommands(commands);
    listed.forEach(([index, command]) => {
      if (index <= this.#view.index) return;
      this.#view = {
        ...this.#view,
        catalog: applyCommand(this.#view.catalog, command).state,
        index,
      };
      onChange(this.#view, { kind: 'command', command });
    });
    if (fleet === undefined || fleet.revision === this.#fleetRevision) return;
    this.#fleetRevision = fleet.revision;
    this.#view = { ...this.#view, entries: fleet.entries };
    onChange(this.#view, { kind: 'fleet' });
  }
}

/** Starts an entry's side of the feed. */
export function createFollower(options: FollowerOptions): Follower {
  return new FeedFollower(options);
}
