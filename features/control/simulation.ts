/**
 * Simulates a group of members that run the real consensus core under random faults: crashes, lost and
 * damaged disks, network partitions (also one-way), freezes, lost, duplicated and reordered messages,
 * concurrent proposals and membership changes. A run is determined by its seed.
 */
import assert from 'node:assert/strict';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { createConsensus, decideConsensus } from '../../src/control/consensus.js';
import { getLastIndex, getTermAt } from '../../src/control/log.js';
import { toAddress } from '../../src/control/steps.js';
import {
  defaultTimings,
  type ConsensusEffect,
  type ConsensusInput,
  type ConsensusState,
  type ControlMessage,
  type LogEntry,
  type MemberId,
} from '../../src/control/types.js';
import type { Member as Voter } from '../../src/generated/control.js';
import { Disk } from './disk.js';
import { History } from './history.js';

/** Simulated time of one step. */
const STEP_MS = 5;
const TICK_MS = 50;
/** Time between two inputs of a member after which it handles a `woke` event first. */
const PAUSE_LIMIT_MS = 600;
const COMPACT_AFTER_ENTRIES = 12;
/** Time without faults in which the group has to converge at the end of a run. */
const SETTLE_MS = 30_000;
/** Time within which a group accepts commands again after the last full disk has room. */
const RECOVERY_MS = 5000;
/** Interval at which a member with a full disk checks whether it has room again. */
const REOPEN_INTERVAL_MS = 500;
const FOUNDERS = 3;
const PROPOSAL_STEPS = 12;

/** Options of {@link Simulation}. */
export interface SimulationOptions {
  readonly seed: number;
  readonly steps: number;
  /** Whether a crash also loses writes that the disk reported as synced. */
  readonly loseSyncedWrites: boolean;
  /** The number of members that found the group, out of at least five; 3 by default. */
  readonly founders?: number;
  /** Whether half of the disks of a group of even size may be lost at a time, as long as one of their VMs is replaced. */
  readonly losesHalf?: boolean;
  /** Mean number of simulation steps from one proposal to the next. */
  readonly proposalSteps?: number;
}

/** A disk that is full for a time, in milliseconds. The next one is full after the gap. */
export interface FullDisk {
  readonly member: number;
  readonly duration: number;
  readonly gap: number;
}

interface Packet {
  readonly from: MemberId;
  readonly to: MemberId;
  readonly message: ControlMessage;
  readonly dueAt: number;
}

interface Proposal {
  readonly id: number;
  readonly index: number;
  readonly term: number;
}

interface Member {
  id: MemberId;
  disk: Disk;
  consensus: ConsensusState | undefined;
  joining: boolean;
  frozenUntil: number;
  /** Milliseconds by which its clock is behind, because it stopped while the VM was frozen. */
  clockLag: number;
  downUntil: number;
  /** When the member, whose write was refused, reads its disk again. */
  reopenAt: number | undefined;
  lastInputAt: number;
  nextTick: number;
  applied: readonly number[];
  appliedIndex: number;
  proposals: Proposal[];
  reads: Map<number, number>;
}

/** One run of the simulation. */
export class Simulation {
  readonly counts = new Map<string, number>();
  readonly history = new History();
  readonly #random: RandomGenerator;
  readonly #options: SimulationOptions;
  readonly #members: Member[];
  readonly #partitions = new Map<string, number>();
  readonly #committed = new Map<number, LogEntry>();
  readonly #leaders = new Map<number, MemberId>();
  #packets: readonly Packet[] = [];
  #now = 0;
  #nextCommand = 1;
  #nextRead = 1;
  #nextIncarnation = 1;
  #faults = true;
  #isProposing = true;
  #unanswered: readonly number[] = [];

  constructor(options: SimulationOptions) {
    this.#options = options;
    this.#random = xoroshiro128plus(options.seed);
    const founderCount = options.founders ?? FOUNDERS;
    this.#members = Array.from({ length: 5 }, (_, index) => this.#createMember(index));
    const founders = this.#members.slice(0, founderCount);
    founders.forEach((member) => {
      this.#start(member);
      this.#handle(member, { kind: 'founded', founders: founders.map(({ id }) => id) });
    });
    this.#members.slice(founderCount).forEach((member) => {
      member.joining = true;
      this.#start(member);
    });
  }

  #randomInt(limit: number): number {
    return uniformInt(this.#random, 0, limit - 1);
  }

  /** Returns true with a probability of 1 / `count`. */
  #oneIn(count: number): boolean {
    return this.#randomInt(count) === 0;
  }

  #count(event: string): void {
    this.counts.set(event, (this.counts.get(event) ?? 0) + 1);
  }

  #createId(index: number): MemberId {
    const incarnation = String(this.#nextIncarnation).padStart(8, '0');
    this.#nextIncarnation += 1;
    return `10.0.0.${index}:7400#${incarnation}`;
  }

  #createMember(index: number): Member {
    return {
      id: this.#createId(index),
      disk: new Disk(),
      consensus: undefined,
      joining: false,
      frozenUntil: 0,
      clockLag: 0,
      downUntil: 0,
      reopenAt: undefined,
      lastInputAt: 0,
      nextTick: 0,
      applied: [],
      appliedIndex: 0,
      proposals: [],
      reads: new Map(),
    };
  }

  #start(member: Member): void {
    const stored = member.disk.load();
    member.consensus = createConsensus({
      self: member.id,
      timings: defaultTimings,
      now: this.#now - member.clockLag,
      random: this.#randomInt(1000) / 1000,
      nonce: String(this.#now),
      ...stored,
    });
    member.reopenAt = undefined;
    member.lastInputAt = this.#now - member.clockLag;
    member.proposals = [];
    member.reads.clear();
    member.applied = stored.snapshot === undefined ? [] : decodeList(stored.snapshot.data);
    member.appliedIndex = stored.snapshot?.index ?? 0;
  }

  /**
   * Runs a group in which one disk after another is full, and no other faults. Checks that the group accepts
   * commands from `RECOVERY_MS` after the last disk has room again, and that all of its members vote.
   */
  runFullDisks(disks: readonly FullDisk[]): void {
    this.#faults = false;
    this.#advanceBy(RECOVERY_MS);
    disks.forEach(({ member, duration, gap }) => {
      this.#fillDisk(this.#getMember(member), duration);
      this.#advanceBy(duration + gap);
    });
    this.#advanceBy(RECOVERY_MS);
    const before = this.counts.get('command accepted') ?? 0;
    this.#advanceBy(RECOVERY_MS);
    const accepted = (this.counts.get('command accepted') ?? 0) - before;
    assert.ok(accepted > 0, `nothing was accepted after the last full disk: ${this.#describe()}`);
    this.#members.forEach(({ id, consensus, joining }) => {
      const isVoting =
        consensus !== undefined && !consensus.failed && consensus.repair === undefined;
      assert.ok(joining || isVoting, `${id} does not vote: ${this.#describe()}`);
    });
    this.#isProposing = false;
    this.#advanceBy(RECOVERY_MS);
    this.#checkSettled();
    const [longest = 0, ...others] = this.#members
      .filter(({ joining }) => !joining)
      .map(({ applied }) => applied.length);
    assert.ok(
      others.every((length) => length === longest),
      `a member did not catch up: ${this.#describe()}`,
    );
  }

  #advanceBy(duration: number): void {
    const end = this.#now + duration;
    while (this.#now < end) this.#advance();
  }

  #getMember(index: number): Member {
    const found = this.#members[index];
    assert.ok(found !== undefined);
    return found;
  }

  /** Runs all steps, then ends all faults and checks that the group converges. */
  run(): void {
    for (let step = 0; step < this.#options.steps; step += 1) this.#advance();
    this.#faults = false;
    this.#partitions.clear();
    this.#members.forEach((member) => {
      if (member.frozenUntil > this.#now) member.frozenUntil = this.#now;
      member.downUntil = Math.min(member.downUntil, this.#now);
      member.disk.fullUntil = Math.min(member.disk.fullUntil, this.#now);
    });
    this.#advanceBy(SETTLE_MS);
    this.#checkSettled();
  }

  #advance(): void {
    this.#now += STEP_MS;
    this.#deliver();
    this.#members.forEach((member) => {
      this.#stepMember(member);
    });
    if (this.#isProposing && this.#oneIn(this.#options.proposalSteps ?? PROPOSAL_STEPS))
      this.#propose();
    if (this.#oneIn(25)) this.#read();
    if (this.#oneIn(50)) this.#requestJoin();
    if (this.#faults) this.#injectFaults();
  }

  #isRunning(member: Member): boolean {
    return member.consensus !== undefined && member.frozenUntil <= this.#now;
  }

  #stepMember(member: Member): void {
    if (member.consensus === undefined) {
      if (member.downUntil <= this.#now) this.#reopen(member);
      return;
    }
    if (!this.#isRunning(member)) return;
    if (member.reopenAt !== undefined) {
      if (member.reopenAt <= this.#now) this.#reopen(member);
      return;
    }
    if (member.disk.isRefusing(this.#now)) {
      this.#count('write refused');
      member.disk.crash(this.#randomInt(3), this.#oneIn(2), false);
      member.reopenAt = this.#now + this.#randomInt(REOPEN_INTERVAL_MS);
      this.#handle(member, { kind: 'storageFailed' });
      return;
    }
    const write = member.disk.sync(this.#now);
    if (write !== undefined) this.#handle(member, { kind: 'synced', write });
    if (member.nextTick > this.#now) return;
    member.nextTick = this.#now + TICK_MS;
    this.#handle(member, { kind: 'ticked' });
  }

  /** Reads the disk again once it has room. */
  #reopen(member: Member): void {
    if (this.#now < member.disk.fullUntil) {
      member.reopenAt = this.#now + REOPEN_INTERVAL_MS;
      return;
    }
    this.#start(member);
  }

  #deliver(): void {
    const due = this.#packets.filter((packet) => packet.dueAt <= this.#now);
    this.#packets = this.#packets.filter((packet) => packet.dueAt > this.#now);
    due.forEach((packet) => {
      const to = this.#members.find((member) => member.id === packet.to);
      if (to?.consensus === undefined) return;
      if (!this.#isRunning(to)) {
        this.#packets = [...this.#packets, { ...packet, dueAt: to.frozenUntil }];
        return;
      }
      this.#handle(to, { kind: 'messageArrived', from: packet.from, message: packet.message });
    });
  }

  #send(from: MemberId, to: MemberId, message: ControlMessage): void {
    const partitionedUntil = this.#partitions.get(`${toAddress(from)}>${toAddress(to)}`) ?? 0;
    if (partitionedUntil > this.#now || (this.#faults && this.#oneIn(50))) return;
    const delay = this.#faults && this.#oneIn(40) ? this.#randomInt(3000) : 0;
    const dueAt = this.#now + this.#randomInt(20) + delay;
    this.#packets = [...this.#packets, { from, to, message, dueAt }];
    if (this.#faults && this.#oneIn(30)) {
      const duplicateDueAt = dueAt + this.#randomInt(1000);
      this.#packets = [...this.#packets, { from, to, message, dueAt: duplicateDueAt }];
    }
  }

  #handle(member: Member, input: ConsensusInput): void {
    const now = this.#now - member.clockLag;
    const paused = now - member.lastInputAt > PAUSE_LIMIT_MS;
    member.lastInputAt = now;
    if (paused) {
      this.#count('wake');
      this.#decide(member, { kind: 'woke' });
    }
    this.#decide(member, input);
    const uncompacted = member.appliedIndex - (member.consensus?.snapshot?.index ?? 0);
    if (uncompacted < COMPACT_AFTER_ENTRIES) return;
    const data = Buffer.from(JSON.stringify(member.applied));
    this.#decide(member, { kind: 'compacted', index: member.appliedIndex, data });
  }

  #decide(member: Member, input: ConsensusInput): void {
    if (member.consensus === undefined) return;
    const now = this.#now - member.clockLag;
    const event = { ...input, now, random: this.#randomInt(1000) / 1000 };
    const before = member.consensus;
    const { state, effects } = decideConsensus(before, event);
    member.consensus = state;
    if (before.role.kind !== 'leader' && state.role.kind === 'leader') this.#checkLeader(state);
    if (state.membership.members.some(({ id }) => id === member.id)) member.joining = false;
    effects.forEach((effect) => {
      this.#performEffect(member, effect);
    });
  }

  #performEffect(member: Member, effect: ConsensusEffect): void {
    switch (effect.kind) {
      case 'send':
        this.#send(member.id, effect.to, effect.message);
        return;
      case 'writeVote':
      case 'writeEntries':
      case 'writeSnapshot':
        member.disk.add(effect, this.#now + this.#randomInt(this.#oneIn(20) ? 300 : 10));
        return;
      case 'apply':
        effect.entries.forEach((entry) => {
          this.#apply(member, entry);
        });
        return;
      case 'restore':
        this.#count('snapshot installed');
        member.applied = decodeList(effect.snapshot.data);
        member.appliedIndex = effect.snapshot.index;
        return;
      case 'accepted':
        this.#recordAccepted(member, effect.proposal, effect.index, effect.term);
        return;
      case 'readConfirmed':
        this.history.finishRead(member.reads.get(effect.read) ?? 0, member.applied);
        this.#count('read');
        return;
      case 'repaired':
        this.#count('repaired');
        return;
      case 'electedByHalf':
        this.#count('elected by half');
        return;
      case 'refused':
      case 'readRefused':
        return;
    }
  }

  #recordAccepted(member: Member, proposal: number, index: number, term: number): void {
    if (proposal > 0) member.proposals.push({ id: proposal, index, term });
  }

  /** Applies an entry. Checks state machine safety: all members apply the same entry at an index. */
  #apply(member: Member, entry: LogEntry): void {
    const known = this.#committed.get(entry.index);
    if (known === undefined) this.#committed.set(entry.index, entry);
    else assert.deepEqual(entry, known, `entry ${entry.index} differs at ${member.id}`);
    assert.equal(entry.index, member.appliedIndex + 1);
    member.appliedIndex = entry.index;
    if (entry.kind !== 'command') return;
    const id = Buffer.from(entry.command).readUInt32BE();
    const found = member.applied.indexOf(id);
    const position = found === -1 ? member.applied.length : found;
    if (found === -1) member.applied = [...member.applied, id];
    const ownProposal = member.proposals.find(
      ({ index, term }) => index === entry.index && term === entry.term,
    );
    if (ownProposal === undefined) return;
    this.history.finishAppend(ownProposal.id, position);
    this.#unanswered = this.#unanswered.filter((unanswered) => unanswered !== ownProposal.id);
    this.#count('command accepted');
  }

  /** Checks that a term has one leader, and that this leader has every committed entry. */
  #checkLeader(state: ConsensusState): void {
    this.#count('election won');
    const other = this.#leaders.get(state.term);
    assert.ok(other === undefined, `two leaders in term ${state.term}`);
    this.#leaders.set(state.term, state.self);
    this.#committed.forEach((entry, index) => {
      if (index < state.log.baseIndex) return;
      assert.equal(
        getTermAt(state.log, index),
        entry.term,
        `leader ${state.self} of term ${state.term} lacks committed entry ${index}`,
      );
    });
  }

  #findLeaders(): readonly Member[] {
    return this.#members.filter(
      (member) => this.#isRunning(member) && member.consensus?.role.kind === 'leader',
    );
  }

  /** Proposes a new command, or retries one that got no answer. */
  #propose(): void {
    const resend = this.#unanswered.length > 0 && this.#oneIn(3);
    const id = resend
      ? (this.#unanswered[this.#randomInt(this.#unanswered.length)] ?? 0)
      : this.#nextCommand;
    if (!resend) {
      this.#nextCommand += 1;
      this.#unanswered = [...this.#unanswered, id].slice(-20);
    }
    const leaders = this.#findLeaders();
    const targets = leaders.length > 0 ? leaders : this.#members;
    const target = targets[this.#randomInt(targets.length)];
    if (target === undefined || !this.#isRunning(target)) return;
    this.history.startAppend(id);
    const command = Buffer.alloc(4);
    command.writeUInt32BE(id);
    this.#handle(target, { kind: 'proposed', proposal: id, command });
  }

  #read(): void {
    const leaders = this.#findLeaders();
    const target = leaders[this.#randomInt(Math.max(1, leaders.length))];
    if (target === undefined) return;
    const read = this.#nextRead;
    this.#nextRead += 1;
    target.reads.set(read, this.history.startRead());
    this.#handle(target, { kind: 'readRequested', read });
  }

  /** Members with a new identity ask all others to admit them. The group has three to five members. */
  #requestJoin(): void {
    const joining = this.#members.filter((member) => member.joining && this.#isRunning(member));
    const asked = this.#members.filter((member) => !member.joining && this.#isRunning(member));
    asked.forEach((member) => {
      joining.forEach(({ id }) => {
        this.#handle(member, { kind: 'joinRequested', id });
        if (member.consensus?.role.kind !== 'leader' || !this.#oneIn(10) || !this.#faults) return;
        const change = { kind: 'admit', id } as const;
        this.#handle(member, { kind: 'membershipProposed', proposal: 0, change });
      });
    });
  }

  #injectFaults(): void {
    if (this.#oneIn(400)) this.#crash();
    if (this.#oneIn(800)) this.#fillDisk(this.#pickMember(), this.#randomInt(6000));
    if (this.#oneIn(600)) this.#freeze();
    if (this.#oneIn(300)) this.#partition();
    if (this.#oneIn(1500)) this.#loseDisk();
    if (this.#options.losesHalf === true && this.#oneIn(2000)) this.#losePower();
    if (this.#oneIn(1500)) this.#damageDisk();
    if (this.#oneIn(800)) this.#transfer();
    if (this.#oneIn(2500)) this.#removeMember();
  }

  #pickMember(): Member {
    return this.#getMember(this.#randomInt(this.#members.length));
  }

  #stop(member: Member): void {
    member.consensus = undefined;
    member.downUntil = this.#now + this.#randomInt(5000);
    member.disk.crash(this.#randomInt(3), this.#oneIn(2), this.#options.loseSyncedWrites);
  }

  #fillDisk(member: Member, duration: number): void {
    this.#count('disk full');
    member.disk.fullUntil = this.#now + duration;
  }

  #crash(): void {
    const member = this.#pickMember();
    if (member.consensus === undefined) return;
    this.#count('crash');
    this.#stop(member);
  }

  /** All members crash at once, and some of them lose their disks. */
  #losePower(): void {
    this.#count('power lost');
    this.#members
      .filter(({ consensus }) => consensus !== undefined)
      .forEach((member) => {
        this.#stop(member);
      });
    this.#members.forEach((member) => {
      if (this.#oneIn(2)) this.#loseDisk(member);
    });
  }

  #freeze(): void {
    this.#count('freeze');
    const member = this.#pickMember();
    if (member.frozenUntil > this.#now) return;
    const duration = this.#randomInt(6000);
    member.frozenUntil = this.#now + duration;
    if (this.#oneIn(2)) member.clockLag += duration;
  }

  /** Partitions one member from some of the others, in one or both directions. */
  #partition(): void {
    this.#count('partition');
    const address = toAddress(this.#pickMember().id);
    const until = this.#now + this.#randomInt(8000);
    const direction = this.#randomInt(3);
    this.#members
      .map(({ id }) => toAddress(id))
      .forEach((other) => {
        if (this.#oneIn(4)) return;
        if (direction !== 0) this.#partitions.set(`${address}>${other}`, until);
        if (direction !== 1) this.#partitions.set(`${other}>${address}`, until);
      });
  }

  /** Returns the identities whose disks hold everything that the member acknowledged. */
  #findIntact(excluded?: Member): ReadonlySet<MemberId> {
    const intact = this.#members
      .filter((member) => member !== excluded)
      .filter(({ disk, consensus }) => !disk.vote.repairing && consensus?.repair === undefined);
    return new Set(intact.map(({ id }) => id));
  }

  /**
   * Returns whether one more disk can be lost: in the membership that each member knows, a majority of the
   * voters and of all members must still have intact disks.
   */
  #toleratesLossOf(lost: Member, damage: 'wiped' | 'damaged'): boolean {
    const intact = this.#findIntact(lost);
    return this.#members.every((member) => {
      const state = member.consensus ?? this.#loadMembership(member);
      const { membership, previousMembership, isSettled } = state;
      const voters = membership.members.filter(({ voter }) => voter);
      if (this.#options.losesHalf === true) {
        const former = previousMembership?.members.filter(({ voter }) => voter) ?? [];
        const wiped = damage === 'wiped' ? lost : undefined;
        const hasQuorum = isSettled
          ? this.#hasIntactQuorum(voters, intact, wiped)
          : hasIntactMajority(voters, intact);
        // The leader may give a vote to a learner that it doesn't know to have lost its disk.
        const promoted = membership.members.filter(({ id, voter }) => !voter && id === lost.id);
        return (
          hasQuorum &&
          (promoted.length === 0 || hasIntactMajority([...voters, ...promoted], intact)) &&
          this.#hasIntactQuorum(former, intact, wiped)
        );
      }
      return hasIntactMajority(voters, intact) && hasIntactMajority(membership.members, intact);
    });
  }

  /** Returns whether the voters with an intact disk decide, where one that is no longer a living identity doesn't count. */
  #hasIntactQuorum(
    voters: readonly Voter[],
    intact: ReadonlySet<MemberId>,
    wiped: Member | undefined,
  ): boolean {
    const living = this.#members.filter((member) => member !== wiped).map(({ id }) => id);
    const isOneLost = voters.some(({ id }) => !living.includes(id));
    const intactCount = voters.filter(({ id }) => intact.has(id)).length;
    return voters.length === 0 || intactCount * 2 > voters.length - (isOneLost ? 1 : 0);
  }

  #loadMembership(member: Member): ConsensusState {
    const stored = member.disk.load();
    const start = { timings: defaultTimings, now: 0, random: 0, nonce: '', self: member.id };
    return createConsensus({ ...start, ...stored });
  }

  #loseDisk(member = this.#pickMember()): void {
    if (member.joining || !this.#toleratesLossOf(member, 'wiped')) return;
    this.#count('disk lost');
    this.#stop(member);
    member.disk = new Disk();
    member.id = this.#createId(this.#members.indexOf(member));
    member.joining = true;
  }

  #damageDisk(): void {
    const member = this.#pickMember();
    if (member.joining || !this.#toleratesLossOf(member, 'damaged')) return;
    this.#count('disk damaged');
    this.#stop(member);
    member.disk.damage(this.#randomInt(member.disk.log.entries.length + 1));
  }

  #transfer(): void {
    this.#findLeaders().forEach((leader) => {
      this.#count('transfer');
      this.#handle(leader, { kind: 'transferRequested' });
    });
  }

  #removeMember(): void {
    const leader = this.#findLeaders()[0];
    const removed = this.#pickMember();
    const voters = leader?.consensus?.membership.members.filter(({ voter }) => voter).length ?? 0;
    if (leader === undefined || voters <= FOUNDERS) return;
    const rest = leader.consensus?.membership.members.filter(({ id }) => id !== removed.id) ?? [];
    if (!hasIntactMajority(rest, this.#findIntact())) return;
    this.#count('member removed');
    const change = { kind: 'remove', address: toAddress(removed.id) } as const;
    this.#handle(leader, { kind: 'membershipProposed', proposal: 0, change });
  }

  #describe(): string {
    const members = this.#members.map(({ id, joining, consensus }) => {
      const { role, term, log, membership, repair, failed } = consensus ?? {};
      return {
        id,
        joining,
        role,
        term,
        last: log && getLastIndex(log),
        membership,
        repair,
        failed,
      };
    });
    return JSON.stringify(members, null, 1);
  }

  #checkSettled(): void {
    const leader = this.#findLeaders()[0];
    assert.ok(
      leader?.consensus !== undefined,
      `no leader after all faults ended: ${this.#describe()}`,
    );
    const { membership, commitIndex } = leader.consensus;
    const lastIndex = getLastIndex(leader.consensus.log);
    assert.ok(
      lastIndex - commitIndex < 20,
      `the commit index is ${commitIndex} but the last index is ${lastIndex}`,
    );
    this.history.check(leader.applied);
    this.#members
      .filter(({ id }) => membership.members.some((member) => member.id === id && member.voter))
      .forEach((member) => {
        assert.ok(
          leader.applied.length - member.applied.length < 60,
          `${member.id} applied ${member.applied.length} of ${leader.applied.length}`,
        );
        assert.deepEqual(member.applied, leader.applied.slice(0, member.applied.length));
      });
  }
}

function hasIntactMajority(members: readonly Voter[], intact: ReadonlySet<MemberId>): boolean {
  const intactCount = members.filter(({ id }) => intact.has(id)).length;
  return members.length === 0 || intactCount * 2 > members.length;
}

function decodeList(bytes: Uint8Array): readonly number[] {
  return JSON.parse(Buffer.from(bytes).toString()) as readonly number[];
}
