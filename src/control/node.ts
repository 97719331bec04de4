/**
 * Connects the consensus core to the mesh, the data folder and the clock. Invariant: effects are performed in
 * the order in which the core emits them, and a violated invariant stops the member.
 */
import { randomBytes } from 'node:crypto';
import { checkInvariant, createSteadyClock, type Address, type Duration } from '../model/index.js';
import type {
  ControlMessage,
  Envelope,
  FoundingMessage,
  LogEntry,
  MemberId,
} from '../generated/control.js';
import { computeAge } from './age.js';
import { findCompactionReason } from './compaction.js';
import { createConsensus, decideConsensus, isKnownKind } from './consensus.js';
import type {
  AppliedListener,
  ChangeOutcome,
  ControlNode,
  ControlOptions,
  ControlProblem,
  ControlStatus,
  MemberChange,
  ProposeOutcome,
  ReadOutcome,
} from './control.js';
import { decodeCommand, encodeCommand } from './formats.js';
import {
  decideFounding,
  type FoundingEffect,
  type FoundingEvent,
  type FoundingState,
} from './founding.js';
import { getLastIndex } from './log.js';
import { PendingCalls } from './pending.js';
import { Storage, type StoredState } from './storage.js';
import { hasCommittedInTerm, isCompactable, toAddress } from './steps.js';
import { countCurrentVoters } from './tolerance.js';
import {
  defaultTimings,
  type ConsensusEffect,
  type ConsensusInput,
  type ConsensusState,
  type LeaderRole,
  type RefusalReason,
} from './types.js';
import { StorageWriter } from './writer.js';

/** The mesh channel of the control members. */
const CHANNEL = 'control';
/** Interval of the timer check in milliseconds. */
const TICK_INTERVAL = 50;
/** Milliseconds between two inputs beyond which the process counts as having been paused. */
const PAUSE_THRESHOLD = 600;
/** Milliseconds that a stopping leader waits for another member to take over. */
const HANDOVER_LIMIT = 2000;
/** Deadline of a membership change in milliseconds. */
const CHANGE_LIMIT = 5000;

const UNFOUNDED_REMEDY =
  'this member belongs to no group yet: start every listed member, or set join = true if the group exists';
const FAILED_REMEDY = 'the disk of this member failed: repair it and restart the process';
const CLOSED_REMEDY = 'this member is stopping: ask another one';

const refusalRemedies: Readonly<Record<Exclude<RefusalReason, 'notLeader'>, string>> = {
  changePending: 'another change of members is under way: try again in a moment',
  overloaded: 'too many bytes of changes wait to be committed: try again in a moment',
  notMember: 'no such member: check the address',
  alreadyMember: 'this member already belongs to the group: nothing is to be done',
  tooMany: 'the group has as many members as it may have: remove one first',
  fewAnswer: 'too few of the members that would remain answer: bring them back first',
  lastVoter: 'the last voting member cannot be removed: add another one first',
};

type CallOutcome =
  | Exclude<ProposeOutcome, { kind: 'unavailable' }>
  | { readonly kind: 'refused'; readonly remedy: string };

class Node<S> implements ControlNode<S> {
  readonly #options: ControlOptions<S>;
  readonly #clock: () => number;
  readonly #steadyClock: () => number;
  readonly #random: () => number;
  readonly #writer: StorageWriter;
  readonly #stored: StoredState;
  readonly #proposals = new PendingCalls<CallOutcome>();
  readonly #accepted = new Map<number, { readonly term: number; readonly proposal: number }>();
  readonly #reads = new PendingCalls<'current' | 'notLeader' | 'late'>();
  readonly #joinRequests = new Map<Address, MemberId>();
  readonly #listeners: AppliedListener<S>[] = [];
  readonly #joinRequestListeners: ((address: Address) => void)[] = [];
  readonly #self: MemberId;
  #founding: FoundingState;
  #consensus: ConsensusState | undefined;
  #inputs: ConsensusInput[] = [];
  #draining = false;
  #lastInputAt: number;
  #timer: NodeJS.Timeout | undefined;
  #applied: S;
  #appliedIndex = 0;
  #problem: string | undefined;
  #halted = false;
  #closed = false;

  constructor(options: ControlOptions<S>, storage: Storage, stored: StoredState) {
    this.#options = options;
    this.#stored = stored;
    this.#clock = options.clock ?? ((): number => performance.now());
    this.#steadyClock = createSteadyClock(this.#clock, options.clock ?? Date.now);
    this.#random = options.random ?? Math.random;
    this.#applied = options.machine.initial;
    this.#lastInputAt = this.#clock();
    this.#self = stored.identity.id;
    this.#writer = new StorageWriter(storage, {
      onSynced: (write) => {
        this.#dispatch({ kind: 'synced', write });
      },
      onFailed: (error) => {
        this.#report({ kind: 'writeFailed', message: `${String(error)}; ${FAILED_REMEDY}` });
        this.#dispatch({ kind: 'storageFailed' });
      },
    });
    this.#founding = this.#createFounding();
  }

  #createFounding(): FoundingState {
    const { id: self, group, founders } = this.#stored.identity;
    if (group !== undefined) return { kind: 'settled', self, group, founders: founders ?? [] };
    return {
      kind: 'forming',
      self,
      members: this.#options.members,
      join: this.#options.join,
      knownIds: new Map(),
      helloDue: this.#clock(),
      unadmitted: false,
    };
  }

  /** Starts the timers, and the consensus if the member already belongs to a group. */
  async start(): Promise<void> {
    const { damage, tornBytes } = this.#stored;
    if (damage !== undefined) this.#report({ kind: 'damaged', message: damage.message });
    if (tornBytes > 0) {
      const message = `${tornBytes} bytes of a torn write were cut from the end of the log`;
      this.#report({ kind: 'torn', message });
    }
    if (this.#founding.kind === 'settled') this.#startConsensus(this.#founding.founders);
    this.#options.mesh.handle(CHANNEL, (from, message) => {
      this.#receive(from, message as Envelope);
    });
    await this.#handleFoundingEvent({
      kind: 'ticked',
      now: this.#clock(),
      newGroup: createGroupId(),
    });
    this.#timer = setInterval(() => {
      this.#tick();
    }, TICK_INTERVAL);
  }

  #startConsensus(founders: readonly MemberId[]): void {
    const { vote, log, snapshot } = this.#stored;
    this.#consensus = createConsensus({
      self: this.#self,
      timings: this.#options.timings ?? defaultTimings,
      now: this.#clock(),
      steadyNow: this.#steadyClock(),
      random: this.#random(),
      vote,
      log,
      snapshot,
      nonce: randomBytes(4).toString('hex'),
    });
    if (snapshot !== undefined) {
      this.#applied = this.#options.machine.decode(snapshot.data);
      this.#appliedIndex = snapshot.index;
    }
    const isFresh = vote.term === 0 && !vote.repairing && getLastIndex(log) === 0;
    if (isFresh && founders.includes(this.#self)) this.#dispatch({ kind: 'founded', founders });
  }

  #tick(): void {
    if (this.#founding.kind === 'forming') {
      void this.#handleFoundingEvent({
        kind: 'ticked',
        now: this.#clock(),
        newGroup: createGroupId(),
      });
      return;
    }
    this.#dispatch({ kind: 'ticked' });
  }

  #receive(from: Address, envelope: Envelope): void {
    if (this.#closed) return;
    const sender: MemberId = `${from}#${envelope.from}`;
    const message = envelope.message as ControlMessage | FoundingMessage;
    if (message.kind === 'hello' || message.kind === 'founded') {
      void this.#handleFoundingEvent({ kind: 'messageArrived', from: sender, message });
      return;
    }
    if (envelope.to !== toIncarnation(this.#self) || envelope.group === undefined) return;
    if (!isKnownKind(message.kind)) return;
    if (this.#founding.kind === 'forming') {
      void this.#handleFoundingEvent({ kind: 'addressed', group: envelope.group });
      return;
    }
    if (envelope.group !== this.#founding.group) return;
    this.#dispatch({ kind: 'messageArrived', from: sender, message });
  }

  async #handleFoundingEvent(event: FoundingEvent): Promise<void> {
    const { state, effects } = decideFounding(this.#founding, event);
    const settles = effects.find((effect) => effect.kind === 'settle');
    if (settles === undefined) {
      this.#founding = state;
      effects.forEach((effect) => {
        this.#performFoundingEffect(effect);
      });
      return;
    }
    await this.#joinGroup(state, settles);
  }

  /** Joins the group once the identity file that records it is durable. */
  async #joinGroup(
    state: FoundingState,
    { group, founders }: Extract<FoundingEffect, { kind: 'settle' }>,
  ): Promise<void> {
    if (this.#isJoiningGroup) return;
    this.#isJoiningGroup = true;
    try {
      await this.#writer.saveIdentity({ id: this.#self, group, founders });
    } catch (error) {
      this.#report({ kind: 'writeFailed', message: `${String(error)}; ${FAILED_REMEDY}` });
      return;
    }
    this.#founding = state;
    this.#problem = undefined;
    if (!this.#closed) this.#startConsensus(founders);
  }

  #isJoiningGroup = false;

  #performFoundingEffect(effect: FoundingEffect): void {
    switch (effect.kind) {
      case 'send':
        this.#options.mesh.send(effect.to, CHANNEL, {
          from: toIncarnation(this.#self),
          message: effect.message,
        } satisfies Envelope);
        return;
      case 'reportJoinRequest':
        this.#joinRequests.set(toAddress(effect.id), effect.id);
        this.#joinRequestListeners.forEach((listener) => {
          listener(toAddress(effect.id));
        });
        this.#dispatch({ kind: 'joinRequested', id: effect.id });
        return;
      case 'reportUnadmitted':
        this.#report({
          kind: 'strangeFolder',
          message: `${this.#options.dataFolder} is empty but the group exists: if the disk was lost or replaced, start with join = true`,
        });
        return;
      case 'settle':
        return;
    }
  }

  #report(problem: ControlProblem): void {
    if (isLasting(problem)) this.#problem = problem.message;
    this.#options.onProblem?.(problem);
  }

  #dispatch(input: ConsensusInput): void {
    if (this.#consensus === undefined || this.#halted || this.#closed) return;
    const now = this.#clock();
    const paused = now - this.#lastInputAt > PAUSE_THRESHOLD;
    this.#lastInputAt = now;
    if (paused) this.#inputs.push({ kind: 'woke' });
    this.#inputs.push(input);
    this.#drainInputs();
  }

  #drainInputs(): void {
    if (this.#draining) return;
    this.#draining = true;
    try {
      let input = this.#inputs.shift();
      while (input !== undefined) {
        this.#decide(input);
        input = this.#inputs.shift();
      }
    } catch (error) {
      this.#halt(error);
    } finally {
      this.#draining = false;
    }
  }

  #decide(input: ConsensusInput): void {
    if (this.#consensus === undefined) return;
    const now = this.#clock();
    const event = { ...input, now, random: this.#random(), steadyNow: this.#steadyClock() };
    const { state, effects } = decideConsensus(this.#consensus, event);
    this.#consensus = state;
    effects.forEach((effect) => {
      this.#performEffect(effect);
    });
  }

  #halt(error: unknown): void {
    this.#halted = true;
    const message = `${String(error)}; this is a defect: keep the data folder, restart the process and report it`;
    this.#report({ kind: 'halted', message });
    this.#proposals.settleAll({ kind: 'unknown' });
    this.#reads.settleAll('late');
  }

  #performEffect(effect: ConsensusEffect): void {
    switch (effect.kind) {
      case 'send':
        this.#send(effect.to, effect.message);
        return;
      case 'writeVote':
      case 'writeEntries':
      case 'writeSnapshot':
        this.#writer.add(effect);
        return;
      case 'apply':
        this.#apply(effect.entries);
        return;
      case 'restore':
        this.#restore(effect.snapshot.data, effect.snapshot.index);
        return;
      case 'accepted':
        this.#accepted.set(effect.index, { term: effect.term, proposal: effect.proposal });
        return;
      case 'refused':
        this.#proposals.settle(effect.proposal, this.#describeRefusal(effect.reason));
        return;
      case 'readConfirmed':
        checkInvariant(
          this.#appliedIndex >= effect.index,
          `read confirmed at entry ${effect.index}, which is not applied yet`,
        );
        this.#reads.settle(effect.read, 'current');
        return;
      case 'readRefused':
        this.#reads.settle(effect.read, 'notLeader');
        return;
      case 'repaired':
        this.#problem = undefined;
        this.#report({ kind: 'repaired', message: 'the log is complete again; voting resumes' });
        return;
      case 'electedByHalf':
        this.#report({
          kind: 'electedByHalf',
          message: `voters lost their disks (${effect.lost.map(toAddress).join(', ')}): half of the voters elected this leader, and the successors of the lost ones join`,
        });
        return;
    }
  }

  #send(to: MemberId, message: ControlMessage): void {
    if (this.#founding.kind !== 'settled') return;
    this.#options.mesh.send(toAddress(to), CHANNEL, {
      from: toIncarnation(this.#self),
      to: toIncarnation(to),
      group: this.#founding.group,
      message,
    } satisfies Envelope);
  }

  #describeRefusal(reason: RefusalReason): CallOutcome {
    if (reason === 'notLeader') return { kind: 'notLeader', leader: this.status.leader };
    return { kind: 'refused', remedy: refusalRemedies[reason] };
  }

  #apply(entries: readonly LogEntry[]): void {
    entries.forEach((entry) => {
      checkInvariant(
        entry.index === this.#appliedIndex + 1,
        `entry ${entry.index} applied directly after entry ${this.#appliedIndex}`,
      );
      this.#appliedIndex = entry.index;
      const result = entry.kind === 'command' ? this.#applyCommand(entry) : undefined;
      this.#settleProposal(entry, result);
    });
    this.#compact();
  }

  /** Saves a snapshot if the log has grown beyond its bounds since the last one. */
  #compact(): void {
    if (this.#consensus === undefined) return;
    const { log, snapshot } = this.#consensus;
    const index = this.#appliedIndex;
    const reason = findCompactionReason(log, index, snapshot, this.#options.compactAfter);
    if (reason === undefined || !isCompactable(this.#consensus, index)) return;
    const data = this.#options.machine.encode(this.#applied);
    this.#inputs.push({ kind: 'compacted', index, data });
    this.#options.onSnapshot?.({
      ...{ reason, index, logBytes: log.bytes, stateBytes: data.length },
    });
  }

  #applyCommand(entry: Extract<LogEntry, { kind: 'command' }>): unknown {
    const command = decodeCommand(entry.command);
    const { state, result } = this.#options.machine.apply(this.#applied, command, entry.index);
    this.#applied = state;
    this.#notify(command, entry.command.length);
    return result;
  }

  #notify(command?: unknown, bytes = 0): void {
    this.#listeners.forEach((listener) => {
      listener(this.#applied, this.#appliedIndex, command, bytes);
    });
  }

  #settleProposal(entry: LogEntry, result: unknown): void {
    const accepted = this.#accepted.get(entry.index);
    if (accepted === undefined) return;
    this.#accepted.delete(entry.index);
    const outcome: CallOutcome =
      accepted.term === entry.term
        ? { kind: 'committed', index: entry.index, result }
        : { kind: 'notLeader', leader: this.status.leader };
    this.#proposals.settle(accepted.proposal, outcome);
  }

  #restore(data: Uint8Array, index: number): void {
    this.#applied = this.#options.machine.decode(data);
    this.#appliedIndex = index;
    [...this.#accepted].forEach(([accepted, { proposal }]) => {
      if (accepted > index) return;
      this.#accepted.delete(accepted);
      this.#proposals.settle(proposal, { kind: 'unknown' });
    });
    this.#notify();
  }

  #findRemedy(): string | undefined {
    if (this.#closed) return CLOSED_REMEDY;
    if (this.#halted) return this.#problem;
    if (this.#consensus === undefined) return this.#problem ?? UNFOUNDED_REMEDY;
    return this.#consensus.failed ? FAILED_REMEDY : undefined;
  }

  async propose(command: unknown, deadlineMs: Duration): Promise<ProposeOutcome> {
    const remedy = this.#findRemedy();
    if (remedy !== undefined) return { kind: 'unavailable', remedy };
    const bytes = encodeCommand(command);
    const outcome = await this.#proposals.wait(
      deadlineMs,
      () => ({ kind: 'unknown' }),
      (proposal) => {
        this.#dispatch({ kind: 'proposed', proposal, command: bytes });
      },
    );
    return outcome.kind === 'refused' ? { kind: 'unavailable', remedy: outcome.remedy } : outcome;
  }

  async #confirm(deadlineMs: Duration): Promise<'current' | 'notLeader' | 'late'> {
    return this.#reads.wait(
      deadlineMs,
      () => 'late',
      (read) => {
        this.#dispatch({ kind: 'readRequested', read });
      },
    );
  }

  async readCurrent(deadlineMs: Duration): Promise<ReadOutcome<S>> {
    const remedy = this.#findRemedy();
    if (remedy !== undefined) return { kind: 'unavailable', remedy };
    const outcome = await this.#confirm(deadlineMs);
    switch (outcome) {
      case 'current':
        return { kind: 'current', state: this.#applied, index: this.#appliedIndex };
      case 'notLeader':
        return { kind: 'notLeader', leader: this.status.leader };
      case 'late':
        return { kind: 'unavailable', remedy: 'no majority answered in time: check the members' };
    }
  }

  async confirmLeadership(): Promise<boolean> {
    if (this.#findRemedy() !== undefined) return false;
    const start = this.#clock();
    const limit = (this.#options.timings ?? defaultTimings).electionMin;
    const outcome = await this.#confirm(limit);
    return outcome === 'current' && this.#clock() - start <= limit;
  }

  addKnownMembers(members: readonly Address[]): void {
    void this.#handleFoundingEvent({ kind: 'membersFound', members });
  }

  async changeMembers(change: MemberChange): Promise<ChangeOutcome> {
    const remedy = this.#findRemedy();
    if (remedy !== undefined) return { kind: 'unavailable', remedy };
    const id = this.#joinRequests.get(change.address);
    if (change.kind === 'add' && id === undefined) {
      const joinRemedy = `start chivewalkd at ${change.address} with join = true first`;
      return this.status.role === 'leader'
        ? { kind: 'refused', remedy: joinRemedy }
        : { kind: 'notLeader', leader: this.status.leader };
    }
    const outcome = await this.#proposals.wait(
      CHANGE_LIMIT,
      () => ({ kind: 'unknown' }),
      (proposal) => {
        this.#dispatch({
          kind: 'membershipProposed',
          proposal,
          change:
            change.kind === 'add' && id !== undefined
              ? { kind: 'admit', id }
              : { kind: 'remove', address: change.address },
        });
      },
    );
    return outcome.kind === 'committed' ? { kind: 'committed', index: outcome.index } : outcome;
  }

  get status(): ControlStatus {
    const consensus = this.#consensus;
    if (consensus === undefined) {
      const asked = this.#founding.kind === 'forming' ? this.#founding.members : [];
      const members = asked.map((id) => ({ id, voter: true }));
      return { ...emptyStatus, members, problem: this.#problem ?? UNFOUNDED_REMEDY };
    }
    const { role, term, commitIndex, membership, membershipIndex, repair, failed } = consensus;
    const followed = role.kind === 'follower' ? role.leader : undefined;
    const leader = role.kind === 'leader' ? consensus.self : followed;
    const kind = role.kind === 'preCandidate' ? 'candidate' : role.kind;
    return {
      role: failed || this.#halted ? 'failed' : kind,
      term,
      leader: leader === undefined ? undefined : toAddress(leader),
      commitIndex,
      lastIndex: getLastIndex(consensus.log),
      logBytes: consensus.log.bytes,
      members: membership.members,
      membersIndex: membershipIndex,
      age: computeAge(consensus, this.#steadyClock()),
      silences: role.kind === 'leader' ? this.#listSilences(role) : [],
      currentVoters: countCurrentVoters(consensus),
      healthy:
        leader !== undefined &&
        hasCommittedInTerm(consensus) &&
        repair === undefined &&
        !failed &&
        !this.#halted &&
        !this.#closed,
      isVoter:
        membershipIndex <= commitIndex &&
        membership.members.some(({ id, voter }) => id === this.#self && voter),
      problem: this.#problem,
    };
  }

  #listSilences(role: LeaderRole): ControlStatus['silences'] {
    const now = this.#clock();
    return [...role.progress].map(
      ([id, { lastContactAt }]) => [toAddress(id), now - lastContactAt] as const,
    );
  }

  get applied(): S {
    return this.#applied;
  }

  get appliedIndex(): number {
    return this.#appliedIndex;
  }

  onJoinRequest(listener: (address: Address) => void): void {
    this.#joinRequestListeners.push(listener);
  }

  onApplied(listener: AppliedListener<S>): void {
    this.#listeners.push(listener);
  }

  async close(): Promise<void> {
    if (this.#closed) return;
    await this.#handOver();
    this.#closed = true;
    clearInterval(this.#timer);
    this.#proposals.settleAll({ kind: 'unknown' });
    this.#reads.settleAll('late');
    await this.#writer.close();
  }

  async #handOver(): Promise<void> {
    if (this.#consensus?.role.kind !== 'leader' || this.#halted) return;
    this.#dispatch({ kind: 'transferRequested' });
    const until = this.#clock() + HANDOVER_LIMIT;
    while (this.#isHandingOver() && this.#clock() < until) {
      await new Promise((resolve) => setTimeout(resolve, TICK_INTERVAL));
    }
  }

  #isHandingOver(): boolean {
    const role = this.#consensus?.role;
    return role?.kind === 'leader' && role.transfer !== undefined;
  }
}

/** Returns whether the problem remains until the member is repaired or joins a group. */
function isLasting({ kind }: ControlProblem): boolean {
  switch (kind) {
    case 'damaged':
    case 'writeFailed':
    case 'strangeFolder':
    case 'halted':
      return true;
    case 'torn':
    case 'repaired':
    case 'electedByHalf':
      return false;
  }
}

const emptyStatus = {
  role: 'newborn',
  term: 0,
  leader: undefined,
  commitIndex: 0,
  lastIndex: 0,
  logBytes: 0,
  membersIndex: 0,
  age: Infinity,
  silences: [],
  currentVoters: undefined,
  healthy: false,
  isVoter: false,
} as const;

function createGroupId(): string {
  return randomBytes(4).toString('hex');
}

function toIncarnation(id: MemberId): string {
  return id.slice(id.lastIndexOf('#') + 1);
}

/**
 * Opens the data folder and starts the member.
 *
 * @example
 * const node = await openControl({ address, members: [address], join: false, dataFolder, mesh, machine });
 * const outcome = await node.propose({ kind: 'takeZoneOut', zone: 'cyberjaya' }, 5000);
 */
export async function openControl<S>(options: ControlOptions<S>): Promise<ControlNode<S>> {
  const { storage, stored } = await Storage.open({
    folder: options.dataFolder,
    address: options.address,
    repairable: options.members.length > 1,
    ...(options.files === undefined ? {} : { files: options.files }),
  });
  const node = new Node(options, storage, stored);
  await node.start();
  return node;
}
