/**
 * Publishes the catalog of a control member to the entries that follow it. Invariant: a follower is sent each
 * command after its index once and in order, or the whole state. Usage commands are left out: their indexes are skipped.
 */
import { type Catalog, type CatalogCommand } from '../catalog/index.js';
import { toAddress, type ControlNode } from '../control/index.js';
import type { Address, Duration, Instant } from '../model/index.js';
import { mergeEvidence, type EvidenceRow } from '../rollout/index.js';
import {
  getLastBatch,
  isUsageCommand,
  type UsageDelivery,
  type UsageReceipt,
} from '../usage/index.js';
import type { Mesh } from '../wire/index.js';
import { encodeCommands, encodeState, type Payload, type IndexedCommands } from './codec.js';
import { FleetCopy, FleetHistory, FleetTable } from './fleet.js';
import { addCommand, createKeptCommands, listCommandsAfter, type KeptCommands } from './kept.js';
import { decodeMessage } from './messages.js';
import { FEED_CHANNEL, type EntryRecord, type FeedMessage, type GroupStatus } from './types.js';

/** Interval in milliseconds at which followers and evidence are sent to other control members. */
const SHARE_INTERVAL: Duration = 400;
/** Milliseconds since its last poll from which a follower is listed as silent; longer than between two polls. */
const SILENCE_THRESHOLD: Duration = 300;
/** Milliseconds after its last poll during which a follower is sent updates without polling. */
const FOLLOWER_TIMEOUT: Duration = 1500;

/** Options of {@link createPublisher}. */
export interface PublisherOptions {
  readonly mesh: Mesh;
  readonly control: ControlNode<Catalog>;
  readonly now: () => Instant;
  /** Returns the milliseconds for which each cold instance stays cold, as known to this member. */
  readonly listCold: () => Readonly<Record<string, Duration>>;
  /** Whether this member founds the group and has none yet; never by default. */
  readonly isFounding?: () => boolean;
  /** Called with the group's status as reported by another control member. */
  readonly onGroupFound: (status: GroupStatus) => void;
  /** Called on the leader with evidence from any entry. */
  readonly onEvidence: (rows: readonly EvidenceRow[]) => void;
  /** Called on the leader with usage counts of any entry; they are dropped by default. */
  readonly onUsage?: (delivery: UsageDelivery) => void;
}

/** The feed of a control member. */
export interface Publisher {
  readonly entries: readonly EntryRecord[];
  /** Encoded bytes of the commands kept for followers that lag. */
  readonly keptBytes: number;
  /** Tells the followers that this member stops, so that they follow another one without waiting. */
  sendLastWord(): void;
  close(): void;
}

interface FollowerState {
  readonly index: number;
  readonly fleetRevision: string;
  readonly lastCallAt: Instant;
  /** When the follower sent its last poll, on its own clock. */
  readonly sentAt: Instant | undefined;
  /** The last receipt that was sent for the usage counts of the follower; undefined before its first delivery. */
  readonly receipt: UsageReceipt | undefined;
}

/** The last encoded payload; `key` identifies its content. */
interface EncodedPayload {
  readonly key: string;
  readonly payload: Payload;
}

class FeedPublisher implements Publisher {
  readonly #options: PublisherOptions;
  readonly #timer: NodeJS.Timeout;
  readonly #followers = new Map<Address, FollowerState>();
  #pendingUpdates: NodeJS.Immediate | undefined;
  /** Recent commands for followers that lag; those that lag further get the whole state. */
  #commands: KeptCommands;
  /** Index of the last command, or that of the snapshot or restart before the first one. */
  #catalogIndex: number;
  readonly #fleet = new FleetTable();
  readonly #ownFollowers = new FleetTable();
  readonly #fleetHistory = new FleetHistory();
  readonly #ownHistory = new FleetHistory();
  /** The revision of the own followers that each other member was last sent. */
  readonly #sharedRevisions = new Map<Address, string>();
  /** The followers of the other members. */
  readonly #sharedFollowers = new Map<Address, FleetCopy>();
  #evidence: readonly EvidenceRow[] = [];
  /** Whether the group had a leader since this member started. Before, it has nothing that followers lack. */
  #hasJoined = false;
  #encodedCommands: EncodedPayload = { key: '', payload: [false, new Uint8Array()] };
  #encodedState: EncodedPayload = { key: '', payload: [false, new Uint8Array()] };

  constructor(options: PublisherOptions) {
    this.#options = options;
    this.#catalogIndex = options.control.appliedIndex;
    this.#commands = createKeptCommands(this.#catalogIndex);
    options.control.onApplied((_, index, command, bytes) => {
      this.#recordCommand(index, command as CatalogCommand | undefined, bytes);
    });
    options.mesh.handle(FEED_CHANNEL, (from, message) => {
      this.#receive(from, decodeMessage(message));
    });
    this.#timer = setInterval(() => {
      this.#noticeLeader();
      this.#shareWithMembers();
    }, SHARE_INTERVAL);
  }

  get entries(): readonly EntryRecord[] {
    this.#fleet.prune(this.#options.now());
    return this.#fleet.entries;
  }

  get keptBytes(): number {
    return this.#commands.bytes;
  }

  close(): void {
    clearInterval(this.#timer);
    if (this.#pendingUpdates !== undefined) clearImmediate(this.#pendingUpdates);
  }

  #recordCommand(index: number, command: CatalogCommand | undefined, bytes: number): void {
    this.#noticeLeader();
    // Followers need neither the contents nor the index; receipts go with the answers to their polls.
    if (command !== undefined && isUsageCommand(command)) return;
    this.#catalogIndex = index;
    this.#commands =
      command === undefined
        ? createKeptCommands(index)
        : addCommand(this.#commands, index, command, bytes);
    this.#scheduleUpdates();
  }

  /** Answers the polls that came before the group had a leader, as soon as it has one. */
  #noticeLeader(): void {
    if (this.#hasJoined || !this.#options.control.status.healthy) return;
    this.#hasJoined = true;
    this.#scheduleUpdates();
  }

  /** Sends updates after the current batch of commands, so that each follower is sent the batch in one message. */
  #scheduleUpdates(): void {
    this.#pendingUpdates ??= setImmediate(() => {
      this.#pendingUpdates = undefined;
      this.#sendUpdates();
    });
  }

  sendLastWord(): void {
    this.#sendUpdates(true);
  }

  #sendUpdates(isLast = false): void {
    const since = this.#options.now() - FOLLOWER_TIMEOUT;
    [...this.#followers].forEach(([address, follower]) => {
      if (follower.lastCallAt < since) this.#followers.delete(address);
      else this.#sendUpdate(address, follower, isLast);
    });
  }

  #receive(from: Address, message: FeedMessage): void {
    const now = this.#options.now();
    switch (message.kind) {
      case 'follow': {
        this.#fleet.add(message.entry, now);
        this.#ownFollowers.add(message.entry, now);
        this.#handleEvidence(message.evidence);
        const { index, fleetRevision } = message;
        const { sentAt, usage } = message;
        if (usage !== undefined) this.#handleUsage(usage);
        const receipt =
          usage === undefined
            ? this.#followers.get(from)?.receipt
            : { source: usage.source, last: 0 };
        const follower = { index, fleetRevision, lastCallAt: now, sentAt, receipt };
        this.#noticeLeader();
        if (this.#hasJoined) this.#sendUpdate(from, follower);
        else this.#sendStatus(from, follower);
        return;
      }
      case 'followers':
        this.#receiveFollowers(from, message);
        return;
      case 'findFollowers':
        this.#sharedRevisions.delete(from);
        return;
      case 'evidence':
        this.#handleEvidence(message.rows);
        return;
      case 'usage':
        this.#handleUsage(message.delivery);
        return;
      case 'find': {
        const { leader } = this.#options.control.status;
        this.#options.mesh.send(from, FEED_CHANNEL, {
          ...{ kind: 'found', hasDisk: true, leader, index: this.#catalogIndex },
          isFounding: this.#options.isFounding?.() ?? false,
          ...this.#describeGroup(message.sentAt),
        } satisfies FeedMessage);
        return;
      }
      case 'found':
        this.#options.onGroupFound(message);
        return;
      case 'news':
        return;
    }
  }

  /**
   * Answers a poll before the group had a leader: without a list of entries, which changes with every process that starts
   * and would be sent to each of them each time.
   */
  #sendStatus(to: Address, follower: FollowerState): void {
    this.#followers.set(to, follower);
    this.#options.mesh.send(to, FEED_CHANNEL, {
      ...{ kind: 'news', base: undefined, after: follower.index, commands: undefined, cold: {} },
      ...{ fleet: undefined, ...this.#describeGroup(follower.sentAt) },
    } satisfies FeedMessage);
  }

  #describeGroup(
    echo: Instant | undefined,
  ): Pick<GroupStatus, 'members' | 'membersIndex' | 'healthy' | 'age' | 'echo'> {
    const { healthy, membersIndex, age } = this.#options.control.status;
    return {
      ...{ members: this.#listMembers(), membersIndex, healthy, echo },
      age: Number.isFinite(age) ? Math.ceil(age) : undefined,
    };
  }

  #listMembers(): readonly Address[] {
    return this.#options.control.status.members.map(({ id }) => toAddress(id));
  }

  #handleEvidence(rows: readonly EvidenceRow[]): void {
    if (rows.length === 0) return;
    const { role, leader } = this.#options.control.status;
    if (role === 'leader') this.#options.onEvidence(rows);
    else if (leader === undefined) this.#evidence = mergeEvidence(this.#evidence, rows);
    else this.#sendEvidence(leader, rows);
  }

  /** Without a leader the counts are dropped: the entry sends them again until they are committed. */
  #handleUsage(delivery: UsageDelivery): void {
    const { role, leader } = this.#options.control.status;
    if (role === 'leader') this.#options.onUsage?.(delivery);
    else if (leader !== undefined)
      this.#options.mesh.send(leader, FEED_CHANNEL, {
        ...{ kind: 'usage', delivery },
      } satisfies FeedMessage);
  }

  /** Returns which of a follower's usage counts are committed, unless it was told. */
  #createReceipt({ receipt }: FollowerState): UsageReceipt | undefined {
    if (receipt === undefined) return undefined;
    const last = getLastBatch(this.#options.control.applied.usage, receipt.source);
    return last > receipt.last ? { source: receipt.source, last } : undefined;
  }

  /** Sends evidence at once: until the leader has it, a bad version keeps its share. */
  #sendEvidence(leader: Address, rows: readonly EvidenceRow[]): void {
    this.#options.mesh.send(leader, FEED_CHANNEL, { kind: 'evidence', rows } satisfies FeedMessage);
  }

  #sendUpdate(to: Address, follower: FollowerState, isLast = false): void {
    const { control, mesh, listCold, now } = this.#options;
    this.#fleet.prune(now());
    this.#fleetHistory.setEntries(this.#fleet.entries);
    const commands = listCommandsAfter(this.#commands, follower.index);
    const isBehind = commands === undefined;
    const last = commands?.at(-1)?.[0];
    const usage = this.#createReceipt(follower);
    mesh.send(to, FEED_CHANNEL, {
      kind: 'news',
      base: isBehind ? { index: control.appliedIndex, state: this.#encodeState() } : undefined,
      after: follower.index,
      commands:
        commands === undefined || last === undefined
          ? undefined
          : this.#encodeCommands(commands, last),
      cold: isBehind ? listCold() : {},
      fleet: this.#fleetHistory.createUpdate(follower.fleetRevision),
      ...this.#describeGroup(follower.sentAt),
      ...(isLast && { healthy: false }),
      ...(usage !== undefined && { usage }),
    } satisfies FeedMessage);
    const index = Math.max(follower.index, isBehind ? control.appliedIndex : (last ?? 0));
    const { revision } = this.#fleetHistory;
    const receipt = usage ?? follower.receipt;
    this.#followers.set(to, { ...follower, index, fleetRevision: revision, receipt });
  }

  /** Encodes commands, reusing the last result because most followers are sent the same commands. */
  #encodeCommands(commands: IndexedCommands, last: number): Payload {
    const key = `${commands[0]?.[0] ?? last} ${last}`;
    if (this.#encodedCommands.key !== key)
      this.#encodedCommands = { key, payload: encodeCommands(commands) };
    return this.#encodedCommands.payload;
  }

  #encodeState(): Payload {
    const { applied, appliedIndex } = this.#options.control;
    const key = `state ${appliedIndex}`;
    if (this.#encodedState.key !== key) {
      this.#encodedState = { key, payload: encodeState(applied) };
    }
    return this.#encodedState.payload;
  }

  /** Refreshes the followers of another member, except for those that it calls silent. */
  #receiveFollowers(
    from: Address,
    { revision, update, silent }: Extract<FeedMessage, { kind: 'followers' }>,
  ): void {
    const copy = this.#sharedFollowers.get(from) ?? new FleetCopy();
    this.#sharedFollowers.set(from, copy);
    if (update !== undefined) copy.apply(update);
    if (copy.revision !== revision) {
      this.#options.mesh.send(from, FEED_CHANNEL, { kind: 'findFollowers' } satisfies FeedMessage);
      return;
    }
    const now = this.#options.now();
    const ages = new Map(silent);
    copy.entries.forEach((entry) => {
      this.#fleet.add(entry, now - (ages.get(entry.id) ?? 0));
    });
  }

  /** Sends this member's followers to the other members, and to the leader what was collected without one. */
  #shareWithMembers(): void {
    const { control, mesh, now } = this.#options;
    this.#ownFollowers.prune(now());
    this.#ownHistory.setEntries(this.#ownFollowers.entries);
    const { revision } = this.#ownHistory;
    const silent = this.#ownFollowers.listSilent(SILENCE_THRESHOLD, now());
    this.#listMembers()
      .filter((member) => member !== mesh.address)
      .forEach((member) => {
        const update = this.#ownHistory.createUpdate(this.#sharedRevisions.get(member) ?? '');
        this.#sharedRevisions.set(member, revision);
        mesh.send(member, FEED_CHANNEL, {
          ...{ kind: 'followers', revision, update, silent },
        } satisfies FeedMessage);
      });
    const { leader } = control.status;
    if (this.#evidence.length === 0 || leader === undefined) return;
    this.#sendEvidence(leader, this.#evidence);
    this.#evidence = [];
  }
}

/** Starts publishing the catalog of a control member. */
export function createPublisher(options: PublisherOptions): Publisher {
  return new FeedPublisher(options);
}
