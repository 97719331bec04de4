/**
 * Follows a control member on behalf of an entry and keeps a copy of the catalog. Invariant: commands are applied
 * in log order, each once; after a gap no command is applied until the whole state arrives. The commands of one
 * update become visible together, so that an entry that catches up never acts on a state from between them. The
 * first state comes from a member that knows a leader: another one may have restarted with an outdated state.
 */
import { applyCommand, emptyCatalog, type Catalog, type CatalogCommand } from '../catalog/index.js';
import { parseAddress, type Address, type Duration, type Instant } from '../model/index.js';
import { hashText } from '../routing/index.js';
import type { EvidenceRow } from '../rollout/index.js';
import type { Mesh } from '../wire/index.js';
import { decodeCommands, decodeState, type IndexedCommands } from './codec.js';
import { FleetCopy } from './fleet.js';
import { decodeMessage } from './messages.js';
import { FEED_CHANNEL, type EntryRecord, type FeedMessage } from './types.js';

/** Interval of polls to the followed control member, in milliseconds. */
const POLL_INTERVAL: Duration = 250;
/** Interval of polls while the entry has no state yet and can serve nobody, in milliseconds. */
const STARTUP_POLL_INTERVAL: Duration = 100;
/** Milliseconds after the start for which {@link STARTUP_POLL_INTERVAL} applies; an election takes less. */
const STARTUP_TIME: Duration = 5000;
/** Milliseconds without an answer after which the entry follows another control member. */
const ANSWER_TIMEOUT: Duration = 700;

/**
 * Milliseconds without an answer after which another member is polled besides, so that one that has to be connected
 * to anew is reachable when the entry begins to follow it.
 */
const SECOND_POLL_TIMEOUT: Duration = 350;

/** Milliseconds for which a member that was given up isn't preferred for being in the entry's zone. */
const GIVEN_UP_TIME: Duration = 5000;

/** Age in milliseconds from which a state is stale by default. */
export const DEFAULT_FRESH_FOR: Duration = 2000;

/** Cause of a change of the entry's view. */
export type FeedChange =
  | { readonly kind: 'replaced' }
  /** All commands of one update, in log order. */
  | { readonly kind: 'commands'; readonly commands: readonly CatalogCommand[] }
  | { readonly kind: 'fleet' };

/** An entry's copy of the catalog, with the live entries. */
export interface FeedView {
  readonly catalog: Catalog;
  /** Log index of the last command in {@link catalog}; 0 before the first state. */
  readonly index: number;
  readonly entries: readonly EntryRecord[];
}

/** Options of {@link createFollower}. */
export interface FollowerOptions {
  readonly mesh: Mesh;
  /** Addresses of possible control members; further members are learned from their answers. */
  readonly seeds: readonly Address[];
  readonly now: () => Instant;
  readonly describeSelf: () => EntryRecord;
  /** Returns the evidence since the last call. */
  readonly collectEvidence: () => readonly EvidenceRow[];
  readonly onChange: (view: FeedView, change: FeedChange) => void;
  /** Called with the milliseconds for which instances stay cold. */
  readonly onCold: (cold: Readonly<Record<string, Duration>>) => void;
  readonly onDependency: (state: 'lost' | 'regained', member: Address) => void;
  /** Age in milliseconds from which the state is stale; {@link DEFAULT_FRESH_FOR} by default. */
  readonly freshFor?: Duration;
  /** The time of day in milliseconds, which runs on while the VM is suspended; `Date.now` by default. */
  readonly wallNow?: () => Instant;
}

/** An entry's side of the feed. */
export interface Follower {
  readonly view: FeedView;
  /** Milliseconds since an instant at which the applied state was certainly current; Infinity before the first one. */
  readonly age: Duration;
  /** Whether another process is known to have a newer state, or a fresh one while this one is stale. */
  readonly isBehind: boolean;
  /** The control member that is followed. */
  readonly followed: Address;
  /** Polls the followed member immediately, for example before stopping. */
  pollNow(): void;
  /** Replaces the seeds, for example after the settings were read again. */
  setSeeds(seeds: readonly Address[]): void;
  close(): void;
}

type NewsMessage = Extract<FeedMessage, { kind: 'news' }>;

class FeedFollower implements Follower {
  readonly #options: FollowerOptions;
  readonly #startedAt: Instant;
  #seeds: readonly Address[];
  #timer: NodeJS.Timeout | undefined;
  #view: FeedView = { catalog: emptyCatalog, index: 0, entries: [] };
  readonly #fleet = new FleetCopy();
  #members: readonly Address[];
  #followed: Address;
  #followedSince: Instant;
  #lastHealthyAnswerAt: Instant;
  #isLost = true;
  /** Hosts of the live entries in this entry's zone, on which members of that zone run too. */
  #zoneHosts: ReadonlySet<string> = new Set();
  readonly #givenUpAt = new Map<Address, Instant>();

  constructor(options: FollowerOptions) {
    this.#options = options;
    this.#seeds = options.seeds;
    this.#members = options.seeds;
    this.#followedSince = options.now();
    this.#lastHealthyAnswerAt = options.now();
    this.#followed = this.#rankMembers()[0] ?? '';
    options.mesh.handle(FEED_CHANNEL, (from, message) => {
      this.#receive(from, decodeMessage(message));
    });
    this.#startedAt = options.now();
    this.pollNow();
    this.#schedulePoll();
  }

  get view(): FeedView {
    return this.#view;
  }

  get age(): Duration {
    return this.#view.index === 0 ? Infinity : this.#options.now() - this.#lastHealthyAnswerAt;
  }

  get isBehind(): boolean {
    return false;
  }

  get followed(): Address {
    return this.#followed;
  }

  setSeeds(seeds: readonly Address[]): void {
    this.#seeds = seeds;
  }

  pollNow(): void {
    if (this.#followed !== '') this.#sendPoll(this.#followed, this.#options.collectEvidence());
  }

  #sendPoll(member: Address, evidence: readonly EvidenceRow[]): void {
    this.#options.mesh.send(member, FEED_CHANNEL, {
      kind: 'follow',
      entry: this.#options.describeSelf(),
      index: this.#view.index,
      fleetRevision: this.#fleet.revision,
      evidence,
    } satisfies FeedMessage);
  }

  close(): void {
    clearTimeout(this.#timer);
  }

  /**
   * Ranks the members: first those of the own zone, as polls between zones are expensive, each part in an
   * order that depends on this entry's id, which spreads entries over the members.
   */
  #rankMembers(): Address[] {
    const own = this.#options.describeSelf().id;
    const all = [...new Set([...this.#members, ...this.#seeds])];
    const ranked = all
      .map((member) => [hashText(`${own} ${member}`), member] as const)
      .sort(([one], [two]) => one - two)
      .map(([, member]) => member);
    return [true, false].flatMap((isNear) =>
      ranked.filter((member) => this.#isNear(member) === isNear),
    );
  }

  #isNear(member: Address): boolean {
    const isGivenUp = this.#options.now() - this.#getGivenUpAt(member) <= GIVEN_UP_TIME;
    return !isGivenUp && this.#zoneHosts.has(parseAddress(member).host);
  }

  #getGivenUpAt(member: Address): Instant {
    return this.#givenUpAt.get(member) ?? -Number.MAX_VALUE;
  }

  #schedulePoll(): void {
    const isStarting =
      this.#view.index === 0 && this.#options.now() - this.#startedAt < STARTUP_TIME;
    this.#timer = setTimeout(
      () => {
        this.#poll();
        this.#schedulePoll();
      },
      isStarting ? STARTUP_POLL_INTERVAL : POLL_INTERVAL,
    );
  }

  #poll(): void {
    const silence = this.#options.now() - Math.max(this.#lastHealthyAnswerAt, this.#followedSince);
    if (silence > ANSWER_TIMEOUT) this.#followNextMember();
    this.pollNow();
    if (silence <= SECOND_POLL_TIMEOUT) return;
    const next = this.#findNextMember();
    if (next !== undefined) this.#sendPoll(next, []);
  }

  /** Returns the member that was given up the longest ago, or never, so that every member is tried in turn. */
  #findNextMember(): Address | undefined {
    const others = this.#rankMembers().filter((member) => member !== this.#followed);
    return others.sort((one, two) => this.#getGivenUpAt(one) - this.#getGivenUpAt(two))[0];
  }

  #followNextMember(): void {
    if (!this.#isLost) {
      this.#isLost = true;
      this.#options.onDependency('lost', this.#followed);
    }
    this.#givenUpAt.set(this.#followed, this.#options.now());
    this.#followed = this.#findNextMember() ?? this.#followed;
    this.#followedSince = this.#options.now();
  }

  #receive(from: Address, message: FeedMessage): void {
    if (message.kind !== 'news') return;
    this.#applyUpdate(message);
    if (from !== this.#followed) return;
    if (!message.healthy) {
      // A member without a leader may lag behind for as long as it is partitioned.
      if (this.#options.now() - this.#followedSince > ANSWER_TIMEOUT) this.#followNextMember();
      return;
    }
    this.#lastHealthyAnswerAt = this.#options.now();
    this.#updateMembers(message.members);
    if (!this.#isLost) return;
    this.#isLost = false;
    this.#options.onDependency('regained', from);
  }

  /** Switches to the preferred member once it is known, so that not all entries keep following the seeds. */
  #updateMembers(members: readonly Address[]): void {
    if (members.join() === this.#members.join()) return;
    this.#members = members;
    this.#followPreferred();
  }

  #followPreferred(): void {
    const preferred = this.#rankMembers().find((member) => this.#members.includes(member));
    if (preferred === undefined || preferred === this.#followed) return;
    this.#followed = preferred;
    this.#followedSince = this.#options.now();
    this.pollNow();
  }

  /** Switches to a member of the own zone once one is known. */
  #updateZoneHosts(entries: readonly EntryRecord[]): void {
    const { zone } = this.#options.describeSelf();
    this.#zoneHosts = new Set(
      entries
        .filter((entry) => entry.zone === zone)
        .map(({ peerAddress }) => parseAddress(peerAddress).host),
    );
    const isNearKnown = this.#members.some((member) => this.#isNear(member));
    if (isNearKnown && !this.#isNear(this.#followed)) this.#followPreferred();
  }

  #applyUpdate(update: NewsMessage): void {
    const { healthy, fleet } = update;
    if (healthy || this.#view.index > 0) this.#applyCatalogUpdate(update);
    // After a difference from another list, which crossed an update on its way, the next poll asks again.
    if (fleet === undefined || !this.#fleet.apply(fleet)) return;
    const { entries } = this.#fleet;
    this.#view = { ...this.#view, entries };
    this.#updateZoneHosts(entries);
    this.#options.onChange(this.#view, { kind: 'fleet' });
  }

  #applyCatalogUpdate({ base, after, commands, cold }: NewsMessage): void {
    const { onChange, onCold } = this.#options;
    if (base !== undefined && base.index > this.#view.index) {
      this.#view = { ...this.#view, catalog: decodeState(base.state), index: base.index };
      onChange(this.#view, { kind: 'replaced' });
      onCold(cold);
    }
    const hasGap = after > this.#view.index;
    if (commands !== undefined && !hasGap) this.#applyCommands(decodeCommands(commands));
  }

  #applyCommands(received: IndexedCommands): void {
    const newer = received.filter(([index]) => index > this.#view.index);
    const index = newer.at(-1)?.[0];
    if (index === undefined) return;
    const commands = newer.map(([, command]) => command);
    const catalog = commands.reduce(
      (state, command) => applyCommand(state, command).state,
      this.#view.catalog,
    );
    this.#view = { ...this.#view, catalog, index };
    this.#options.onChange(this.#view, { kind: 'commands', commands });
  }
}

/** Starts following the control members. */
export function createFollower(options: FollowerOptions): Follower {
  return new FeedFollower(options);
}
