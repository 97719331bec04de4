/**
 * Simulates a group of stewards that runs the real consensus core and the real plan of members, while one VM
 * after another is lost and replaced, beside pauses and one-way cuts. A run is determined by its seed.
 */
import assert from 'node:assert/strict';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { createConsensus, decideConsensus } from '../../src/control/consensus.js';
import type { ControlStatus } from '../../src/control/index.js';
import { getLastIndex } from '../../src/control/log.js';
import { listVoters, toAddress } from '../../src/control/steps.js';
import type {
  ConsensusEffect,
  ConsensusInput,
  ConsensusState,
  ControlMessage,
  MemberId,
  Timings,
} from '../../src/control/types.js';
import { planMembershipChange } from '../../src/steward/index.js';
import { Disk } from './disk.js';

/** Times in milliseconds. The timings are those of the stewards. */
const TIMINGS: Timings = {
  ...{ heartbeat: 120, largeGroupHeartbeat: 120 },
  ...{ electionMin: 600, electionMax: 1200, firstElectionMax: 400 },
};
const STEP = 5;
const TICK = 50;
const PAUSE_LIMIT = 600;
const HELLO_INTERVAL = 500;
const PLAN_INTERVAL = 200;
const LATENCY = 8;
const SYNC_TIME = 12;
/** From the start of a replacement to the next loss. */
const CATCH_UP = 4000;
/** From the start of a replacement to the end of the last pause or cut, and to the start of the last one. */
const TROUBLE_END = 1500;
/** Time in which a command is committed once the group is calm. */
const COMMIT_LIMIT = 500;
const MIN_DELAY = 100;
const MAX_DELAY = 8000;
const LOSSES = 12;

/** How a VM is lost. A VM that is wiped or restarted comes back at its address. */
export type LossKind = 'killed' | 'planned' | 'wiped' | 'restarted';
const LOSS_KINDS: readonly LossKind[] = ['killed', 'planned', 'wiped', 'restarted'];

interface Vm {
  readonly id: MemberId;
  readonly disk: Disk;
  consensus: ConsensusState | undefined;
  pausedUntil: number;
  lastInputAt: number;
  nextTick: number;
  nextHello: number;
  nextPlan: number;
  /** Identities that asked this member to join, by address. */
  readonly waiting: Map<string, MemberId>;
}

interface Packet {
  readonly from: MemberId;
  readonly to: MemberId;
  readonly message: ControlMessage;
  readonly dueAt: number;
}

/** One run: a series of losses, with a check after each. */
export class ReplacementRun {
  readonly counts = new Map<string, number>();
  readonly #random: RandomGenerator;
  readonly #cuts = new Map<string, number>();
  #vms: readonly Vm[] = [];
  #packets: readonly Packet[] = [];
  #later: readonly { readonly at: number; readonly run: () => void }[] = [];
  #now = 0;
  #created = 0;
  #applied = new Set<number>();
  #proposed = 0;

  constructor(seed: number) {
    this.#random = xoroshiro128plus(seed);
    const size = 3 + this.#pickNumber(0, 2);
    this.#vms = Array.from({ length: size }, () => this.#createVm());
    const founders = this.#vms.map(({ id }) => id);
    this.#vms.forEach((vm) => {
      this.#start(vm);
      this.#handle(vm, { kind: 'founded', founders });
    });
  }

  #pickNumber(min: number, max: number): number {
    return uniformInt(this.#random, min, max);
  }

  #pick<T>(items: readonly T[]): T {
    const found = items[this.#pickNumber(0, items.length - 1)];
    assert.ok(found !== undefined);
    return found;
  }

  #count(event: string): void {
    this.counts.set(event, (this.counts.get(event) ?? 0) + 1);
  }

  #createVm(address?: string): Vm {
    this.#created += 1;
    return {
      id: `${address ?? `10.0.0.${this.#created}:7400`}#${String(this.#created).padStart(8, '0')}`,
      ...{ disk: new Disk(), consensus: undefined, waiting: new Map() },
      ...{ pausedUntil: 0, lastInputAt: 0, nextTick: 0, nextHello: 0, nextPlan: 0 },
    };
  }

  #start(vm: Vm): void {
    vm.lastInputAt = this.#now;
    vm.consensus = createConsensus({
      ...{ self: vm.id, timings: TIMINGS, now: this.#now, random: this.#pickNumber(0, 999) / 1000 },
      ...{ nonce: String(this.#now), ...vm.disk.load() },
    });
  }

  /** Runs the series. Throws if the group doesn't recover from a loss. */
  run(): void {
    this.#advanceBy(CATCH_UP);
    for (let loss = 1; loss <= LOSSES; loss += 1) {
      const what = this.#loseVm();
      this.#check(`loss ${loss} (${what})`);
    }
  }

  /** Loses a VM and runs until the replacement had its time to catch up. Returns what happened. */
  #loseVm(): string {
    const leader = this.#findLeader();
    const voters = listVoters(leader.consensus.membership);
    const others = this.#vms.filter((vm) => vm !== leader && voters.includes(vm.id));
    const vm = this.#pickNumber(0, 1) === 0 ? leader : this.#pick(others);
    const kind = this.#pick(LOSS_KINDS);
    const delay = this.#pickNumber(0, 1) === 0 ? this.#pickNumber(MIN_DELAY, 1500) : 0;
    const wait = delay === 0 ? this.#pickNumber(MIN_DELAY, MAX_DELAY) : delay;
    const what = `${kind}, ${vm === leader ? 'leader' : 'follower'}, ${wait} ms`;
    this.#count(kind);
    if (kind === 'planned') {
      this.#startVm(this.#createVm());
      this.#makeTrouble(wait);
      this.#advanceBy(wait);
      this.#handle(vm, { kind: 'transferRequested' });
      this.#advanceBy(300);
      this.#stop(vm);
    } else {
      this.#stop(vm);
      this.#makeTrouble(wait);
      this.#advanceBy(wait);
      const address = kind === 'wiped' ? toAddress(vm.id) : undefined;
      this.#startVm(kind === 'restarted' ? vm : this.#createVm(address));
    }
    this.#makeTrouble(TROUBLE_END);
    this.#advanceBy(CATCH_UP);
    return what;
  }

  #startVm(vm: Vm): void {
    this.#vms = [...this.#vms, vm];
    this.#start(vm);
  }

  #stop(vm: Vm): void {
    this.#vms = this.#vms.filter((other) => other !== vm);
    vm.consensus = undefined;
    vm.disk.crash(this.#pickNumber(0, 2), this.#pickNumber(0, 1) === 0, false);
    vm.waiting.clear();
  }

  /** Pauses a VM or cuts one direction between two for a part of the next milliseconds, or does nothing. */
  #makeTrouble(within: number): void {
    const from = this.#pickNumber(0, within);
    const until = this.#now + this.#pickNumber(from, within);
    const kind = this.#pick(['pause', 'cut', 'none', 'none']);
    if (kind === 'none') return;
    this.#count(kind);
    this.#later = [
      ...this.#later,
      {
        at: this.#now + from,
        run: () => {
          const vm = this.#pick(this.#vms);
          const other = this.#pick(this.#vms);
          if (kind === 'pause') vm.pausedUntil = until;
          else this.#cuts.set(`${vm.id}>${other.id}`, until);
        },
      },
    ];
  }

  #advanceBy(duration: number): void {
    const end = this.#now + duration;
    while (this.#now < end) this.#advance();
  }

  #advance(): void {
    this.#now += STEP;
    const started = this.#later.filter(({ at }) => at <= this.#now);
    this.#later = this.#later.filter(({ at }) => at > this.#now);
    started.forEach(({ run }) => {
      run();
    });
    this.#deliver();
    this.#vms.forEach((vm) => {
      this.#stepVm(vm);
    });
  }

  #deliver(): void {
    const due = this.#packets.filter(({ dueAt }) => dueAt <= this.#now);
    this.#packets = this.#packets.filter(({ dueAt }) => dueAt > this.#now);
    due.forEach((packet) => {
      const to = this.#vms.find(({ id }) => id === packet.to);
      if (to === undefined) return;
      if (to.pausedUntil > this.#now)
        this.#packets = [...this.#packets, { ...packet, dueAt: to.pausedUntil }];
      else this.#handle(to, { kind: 'messageArrived', from: packet.from, message: packet.message });
    });
  }

  #isCut(from: MemberId, to: MemberId): boolean {
    return (this.#cuts.get(`${from}>${to}`) ?? 0) > this.#now;
  }

  #stepVm(vm: Vm): void {
    if (vm.pausedUntil > this.#now) return;
    const write = vm.disk.sync(this.#now);
    if (write !== undefined) this.#handle(vm, { kind: 'synced', write });
    if (vm.nextTick <= this.#now) {
      vm.nextTick = this.#now + TICK;
      this.#handle(vm, { kind: 'ticked' });
    }
    if (vm.nextHello <= this.#now) this.#sayHello(vm);
    if (vm.nextPlan <= this.#now) this.#plan(vm);
  }

  /** A VM without a group asks all members to admit it. */
  #sayHello(vm: Vm): void {
    vm.nextHello = this.#now + HELLO_INTERVAL;
    if (vm.consensus?.membership.members.length !== 0) return;
    this.#vms
      .filter(({ id, pausedUntil }) => !this.#isCut(vm.id, id) && pausedUntil <= this.#now)
      .forEach((other) => {
        other.waiting.set(toAddress(vm.id), vm.id);
        this.#handle(other, { kind: 'joinRequested', id: vm.id });
      });
  }

  #plan(vm: Vm): void {
    vm.nextPlan = this.#now + PLAN_INTERVAL;
    const { consensus, waiting } = vm;
    if (consensus?.role.kind !== 'leader') return;
    const change = planMembershipChange(this.#toStatus(consensus), [...waiting.keys()]);
    if (change === undefined) return;
    this.#count(change.kind);
    const id = waiting.get(change.address) ?? '';
    waiting.delete(change.address);
    this.#handle(vm, {
      ...{ kind: 'membershipProposed', proposal: 0 },
      change:
        change.kind === 'add' ? { kind: 'admit', id } : { kind: 'remove', address: change.address },
    });
  }

  #toStatus(state: ConsensusState): ControlStatus {
    const { role, term, commitIndex, log, membership, membershipIndex: membersIndex } = state;
    const progress = role.kind === 'leader' ? [...role.progress] : [];
    return {
      ...{ role: 'leader', term, leader: undefined, commitIndex, lastIndex: getLastIndex(log) },
      ...{ logBytes: 0, members: membership.members, healthy: true, isVoter: true },
      ...{ membersIndex, age: 0 },
      silences: progress.map(([id, { lastContactAt }]) => [
        toAddress(id),
        this.#now - lastContactAt,
      ]),
      currentVoters: undefined,
      problem: undefined,
    };
  }

  #handle(vm: Vm, input: ConsensusInput): void {
    const isAwake = this.#now - vm.lastInputAt <= PAUSE_LIMIT;
    vm.lastInputAt = this.#now;
    if (!isAwake) this.#decide(vm, { kind: 'woke' });
    this.#decide(vm, input);
  }

  #decide(vm: Vm, input: ConsensusInput): void {
    if (vm.consensus === undefined) return;
    const random = this.#pickNumber(0, 999) / 1000;
    const before = vm.consensus;
    const { state, effects } = decideConsensus(before, { ...input, now: this.#now, random });
    vm.consensus = state;
    if (before.role.kind !== 'leader' && state.role.kind === 'leader') this.#count('election');
    effects.forEach((effect) => {
      this.#perform(vm, effect);
    });
  }

  #perform(vm: Vm, effect: ConsensusEffect): void {
    if (effect.kind === 'send' && !this.#isCut(vm.id, effect.to)) {
      const dueAt = this.#now + this.#pickNumber(1, LATENCY);
      this.#packets = [...this.#packets, { ...effect, from: vm.id, dueAt }];
    }
    if (effect.kind === 'writeVote' || effect.kind === 'writeEntries')
      vm.disk.add(effect, this.#now + this.#pickNumber(0, SYNC_TIME));
    if (effect.kind !== 'apply') return;
    effect.entries.forEach((entry) => {
      if (entry.kind === 'command') this.#applied.add(entry.command[0] ?? 0);
    });
  }

  #findLeader(): Vm & { readonly consensus: ConsensusState } {
    const [leader] = this.#vms
      .filter(
        (vm): vm is Vm & { consensus: ConsensusState } => vm.consensus?.role.kind === 'leader',
      )
      .sort((one, other) => other.consensus.term - one.consensus.term);
    assert.ok(leader !== undefined, `no leader at ${this.#now} ms: ${this.#describe()}`);
    return leader;
  }

  /** Checks that a leader commits a command, and that the voters that live survive one more loss. */
  #check(what: string): void {
    const leader = this.#findLeader();
    this.#proposed += 1;
    const command = new Uint8Array([this.#proposed]);
    this.#handle(leader, { kind: 'proposed', proposal: this.#proposed, command });
    this.#advanceBy(COMMIT_LIMIT);
    assert.ok(this.#applied.has(this.#proposed), `${what}: no commit: ${this.#describe()}`);
    const voters = listVoters(leader.consensus.membership);
    const living = voters.filter((voter) => this.#vms.some(({ id }) => id === voter));
    const survives = (living.length - 1) * 2 > voters.length;
    assert.ok(survives, `${what}: one more loss is too much: ${this.#describe()}`);
  }

  #describe(): string {
    const states = this.#vms.map(({ id, consensus }) => {
      const members = consensus?.membership.members ?? [];
      const list = members.map((member) => `${member.id}${member.voter ? '' : '?'}`).join(' ');
      return `${id} ${consensus?.role.kind ?? ''} ${consensus?.term ?? 0}: ${list}`;
    });
    return states.join('; ');
  }
}
