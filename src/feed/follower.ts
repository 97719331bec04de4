/**
 * Follows a control member on behalf of an entry and keeps a copy of the catalog. Invariant: commands are applied
 * in log order, each once; after a gap no command is applied until the whole state arrives. The commands of one
 * update become visible together, so that an entry that catches up never acts on a state from between them. The
 * first state comes from a member that knows a leader: another one may have restarted with an outdated state.
 */
import { applyCommand, emptyCatalog, type Catalog, type CatalogCommand } from '../catalog/index.js';
import {
  createSteadyClock,
  parseAddress,
  type Address,
  type Duration,
  type Instant,
} from '../model/index.js';
import type { EvidenceRow } from '../rollout/index.js';
import type { UsageDelivery, UsageReceipt } from '../usage/index.js';
import type { Mesh } from '../wire/index.js';
import {
  computeAge,
  createAge,
  isBehindOthers,
  isUnanswered,
  recordAnswer,
  type AgeState,
} from './age.js';
import { decodeCommands, decodeState, type IndexedCommands } from './codec.js';
import { FleetCopy } from './fleet.js';
import { decodeMessage } from './messages.js';
import {
  createSources,
  decideSources,
  type SourcesEffect,
  type SourcesEvent,
  type SourcesState,
} from './sources.js';
import { FEED_CHANNEL, type EntryRecord, type FeedMessage, type GroupStatus } from './types.js';

/** Interval of polls to the followed control member, in milliseconds. */
const POLL_INTERVAL: Duration = 250;
/** Bounds of the interval of polls while the entry has no state yet, in milliseconds. */
const MIN_STARTUP_INTERVAL: Duration = 100;
const MAX_STARTUP_INTERVAL: Duration = 500;
/** Share of the time without a state after which the entry polls again, so that all entries together ask less and less. */
const STARTUP_BACKOFF = 0.5;
/**
 * Age in milliseconds from which a state is old: this process then asks others for the members, and follows no member
 * whose state is as old. Twice the time between the answers that renew the state.
 */
const OLD_AGE: Duration = 1000;
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

/** Counts that go to the leader with the polls. */
export interface FollowerUsage {
  /** Returns what is due to be sent. */
  collect(): UsageDelivery | undefined;
  handleReceipt(receipt: UsageReceipt): void;
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
  /** The usage counts, where usage is reported. */
  readonly usage?: FollowerUsage | undefined;
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
  /** Whether another process is known to have a fresh state while this one is stale. */
  readonly isBehind: boolean;
  /** Whether other followers are known, and neither they nor control members have answered of late. */
  readonly isAlone: boolean;
  /** The control member that is followed; empty if none is known. */
  readonly followed: Address;
  /** Polls the followed member immediately, for example before stopping. */
  pollNow(): void;
  /** Replaces the seeds, for example after the settings were read again. */
  setSeeds(seeds: readonly Address[]): void;
  close(): void;
}

type NewsMessage = Extract<FeedMessage, { kind: 'news' }>;

/** Returns the milliseconds until the next poll of an entry that has had no state for a time. */
function computeStartupInterval(waited: Duration): Duration {
  return Math.min(MAX_STARTUP_INTERVAL, Math.max(MIN_STARTUP_INTERVAL, waited * STARTUP_BACKOFF));
}

class FeedFollower implements Follower {
  readonly #options: FollowerOptions;
  readonly #startedAt: Instant;
  readonly #steadyNow: () => Instant;
  #timer: NodeJS.Timeout | undefined;
  #view: FeedView = { catalog: emptyCatalog, index: 0, entries: [] };
  readonly #fleet = new FleetCopy();
  #sources: SourcesState;
  #age: AgeState;

  constructor(options: FollowerOptions) {
    this.#options = options;
    this.#startedAt = options.now();
    this.#steadyNow = createSteadyClock(options.now, options.wallNow ?? Date.now);
    this.#age = createAge(Math.floor(this.#steadyNow()));
    this.#sources = createSources(options.describeSelf().id, options.seeds, options.now());
    options.mesh.handle(FEED_CHANNEL, (from, message) => {
      this.#receive(from, decodeMessage(message));
    });
    this.#poll();
    this.#schedulePoll();
  }

  get view(): FeedView {
    return this.#view;
  }

  get age(): Duration {
    return computeAge(this.#age, this.#steadyNow());
  }

  get isBehind(): boolean {
    const freshFor = this.#options.freshFor ?? DEFAULT_FRESH_FOR;
    return isBehindOthers(this.#age, this.#steadyNow(), freshFor);
  }

  get isAlone(): boolean {
    const hasOthers = this.#view.entries.some(({ id }) => id !== this.#sources.self);
    return hasOthers && isUnanswered(this.#age, this.#steadyNow());
  }

  get followed(): Address {
    return this.#sources.followed;
  }

  setSeeds(seeds: readonly Address[]): void {
    this.#decide({ kind: 'seedsRead', now: this.#options.now(), seeds });
  }

  pollNow(): void {
    if (this.followed !== '') this.#sendPoll(this.followed, true);
  }

  #sendPoll(member: Address, isFollowed: boolean): void {
    const usage = isFollowed ? this.#options.usage?.collect() : undefined;
    this.#options.mesh.send(member, FEED_CHANNEL, {
      kind: 'follow',
      entry: this.#options.describeSelf(),
      index: this.#view.index,
      fleetRevision: this.#fleet.revision,
      evidence: isFollowed ? this.#options.collectEvidence() : [],
      sentAt: Math.floor(this.#steadyNow()),
      ...(usage !== undefined && { usage }),
    } satisfies FeedMessage);
  }

  close(): void {
    clearTimeout(this.#timer);
  }

  #schedulePoll(): void {
    const isStarting = this.#view.index === 0;
    this.#timer = setTimeout(
      () => {
        this.#poll();
        this.#schedulePoll();
      },
      isStarting ? computeStartupInterval(this.#options.now() - this.#startedAt) : POLL_INTERVAL,
    );
  }

  #poll(): void {
    const { peerAddress } = this.#options.describeSelf();
    this.#decide({
      ...{ kind: 'polled', now: this.#options.now(), isOld: this.age > OLD_AGE },
      followers: this.#view.entries
        .map((entry) => entry.peerAddress)
        .filter((address) => address !== peerAddress),
      random: Math.random,
    });
  }

  #decide(event: SourcesEvent): void {
    const { state, effects } = decideSources(this.#sources, event);
    this.#sources = state;
    effects.forEach((effect) => {
      this.#performEffect(effect);
    });
  }

  #performEffect(effect: SourcesEffect): void {
    switch (effect.kind) {
      case 'poll':
        this.#sendPoll(effect.member, effect.isFollowed);
        return;
      case 'find': {
        const sentAt = Math.floor(this.#steadyNow());
        const find: FeedMessage = { kind: 'find', sentAt };
        this.#options.mesh.send(effect.address, FEED_CHANNEL, find);
        return;
      }
      case 'report':
        this.#options.onDependency(effect.state, effect.member);
        return;
    }
  }

  #receive(from: Address, message: FeedMessage): void {
    switch (message.kind) {
      case 'news': {
        const isComplete = this.#applyUpdate(message);
        if (message.usage !== undefined) this.#options.usage?.handleReceipt(message.usage);
        // After a gap the sender has commands that this process lacks.
        const index = isComplete ? this.#view.index : Math.max(message.after, this.#view.index + 1);
        this.#recordAnswer(from, { ...message, index }, true);
        return;
      }
      case 'found':
        this.#recordAnswer(from, { ...message, index: message.index ?? 0 }, message.hasDisk);
        return;
      case 'find':
        this.#sendStatus(from, message.sentAt);
        return;
      case 'follow':
      case 'followers':
      case 'findFollowers':
      case 'evidence':
      case 'usage':
        return;
    }
  }

  #recordAnswer(
    from: Address,
    answer: Pick<GroupStatus, 'members' | 'membersIndex' | 'healthy' | 'age' | 'echo'> & {
      readonly index: number;
    },
    isMember: boolean,
  ): void {
    const { echo, age, index, members, membersIndex = 0, healthy } = answer;
    const now = this.#steadyNow();
    this.#age = recordAnswer(this.#age, { from, now, echo, age, index }, this.#view.index);
    const isGood = healthy && age !== undefined && age <= OLD_AGE;
    this.#decide({
      ...{ kind: 'answered', now: this.#options.now() },
      answer: { from, isMember, isGood, members, membersIndex },
    });
  }

  /** Tells another process what this one knows of the group; not healthy, as it isn't a member. */
  #sendStatus(to: Address, echo: Instant | undefined): void {
    const { members, membersIndex } = this.#sources;
    const age = this.age;
    this.#options.mesh.send(to, FEED_CHANNEL, {
      ...{ kind: 'found', hasDisk: false, healthy: false, leader: undefined, members, echo },
      membersIndex: Math.max(0, membersIndex),
      index: this.#view.index,
      age: Number.isFinite(age) ? Math.ceil(age) : undefined,
    } satisfies FeedMessage);
  }

  /** Switches to a member of the own zone once one is known. */
  #updateZoneHosts(entries: readonly EntryRecord[]): void {
    const { zone } = this.#options.describeSelf();
    const near = entries.filter((entry) => entry.zone === zone);
    const hosts = new Set(near.map(({ peerAddress }) => parseAddress(peerAddress).host));
    this.#decide({ kind: 'zoneLearned', now: this.#options.now(), hosts });
  }

  /** Applies an update, and returns whether the catalog then holds everything that its sender had. */
  #applyUpdate(update: NewsMessage): boolean {
    const { healthy, fleet } = update;
    const isComplete = (healthy || this.#view.index > 0) && this.#applyCatalogUpdate(update);
    // After a difference from another list, which crossed an update on its way, the next poll asks again.
    if (fleet !== undefined && this.#fleet.apply(fleet)) this.#applyFleet();
    return isComplete;
  }

  #applyFleet(): void {
    const { entries } = this.#fleet;
    this.#view = { ...this.#view, entries };
    this.#updateZoneHosts(entries);
    this.#options.onChange(this.#view, { kind: 'fleet' });
  }

  #applyCatalogUpdate({ base, after, commands, cold }: NewsMessage): boolean {
    const { onChange, onCold } = this.#options;
    if (base !== undefined && base.index > this.#view.index) {
      this.#view = { ...this.#view, catalog: decodeState(base.state), index: base.index };
      onChange(this.#view, { kind: 'replaced' });
      onCold(cold);
    }
    const hasGap = after > this.#view.index;
    if (commands !== undefined && !hasGap) this.#applyCommands(decodeCommands(commands));
    return !hasGap;
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
