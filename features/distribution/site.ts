/**
 * Simulates a site of pure cores under a random schedule: entries and three control members that share one
 * committed log. Messages are lost, delayed, duplicated and reordered; processes freeze, restart without
 * state, are replaced while frozen, and have clocks that differ in rate.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import {
  createClientState,
  decideClient,
  isClientFresh,
  type ClientEvent,
  type ClientState,
} from '../../src/distribution/client.js';
import type { DistributionMessage } from '../../src/distribution/codec.js';
import { decodeMessage, encodeMessage } from '../../src/distribution/codec.js';
import { decideServer } from '../../src/distribution/server.js';
import {
  createServerState,
  type ServerEffect,
  type ServerEvent,
  type ServerState,
} from '../../src/distribution/state.js';
import {
  applyCommand,
  buildConfig,
  initialIntent,
  type Command,
  type IntentState,
} from '../../src/intent/index.js';

const MEMBERS = ['10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1'];
const ENTRIES = 4;
const STEP_MS = 10;

interface SimulatedProcess {
  readonly rate: number;
  readonly offset: number;
  frozenUntil: number;
  /** Time until which the process is partitioned from all others. */
  partitionedUntil: number;
  inbox: (() => void)[];
}

interface Entry extends SimulatedProcess {
  readonly id: string;
  readonly address: string;
  state: ClientState;
  dead: boolean;
  /** The revision that it must not fall below. */
  minRevision: number;
}

interface Member extends SimulatedProcess {
  readonly address: string;
  /** The latest term in which it was leader. */
  term: number;
  state: ServerState;
}

interface Delivery {
  readonly dueAt: number;
  readonly deliver: () => void;
}

/** Counts of the events of a run, to detect a run in which a kind of fault never occurred. */
export interface SiteCounts {
  steps: number;
  restarts: number;
  freezes: number;
  cuts: number;
  elections: number;
  confirmed: number;
  staleMoments: number;
  freshMoments: number;
}

function pick<Item>(items: readonly Item[], index: number): Item {
  const item = items[index];
  if (item === undefined) throw new Error(`no item at ${index}`);
  return item;
}

export class Site {
  readonly counts: SiteCounts = {
    steps: 0,
    restarts: 0,
    freezes: 0,
    cuts: 0,
    elections: 0,
    confirmed: 0,
    staleMoments: 0,
    freshMoments: 0,
  };
  readonly #random;
  #time = 0;
  #deliveries: Delivery[] = [];
  #intent: IntentState = initialIntent;
  #index = 0;
  #leader = 0;
  #term = 0;
  #commands = 0;
  readonly #members: Member[];
  #entries: Entry[] = [];
  #incarnation = 0;
  /** The highest revision that any process of an id has applied, by id. */
  readonly #highestRevisions = new Map<string, number>();

  constructor(seed: number) {
    this.#random = xoroshiro128plus(seed);
    this.#members = MEMBERS.map((address) => ({
      address,
      term: 0,
      ...this.#buildClock(),
      state: createServerState(address, 0),
    }));
    this.#installLeader(0);
    for (let at = 0; at < ENTRIES; at += 1) this.#startEntry(`e${at}`, `10.0.1.${at}:1`);
  }

  get revision(): number {
    return this.#intent.revision;
  }

  get inForce(): number {
    return this.#intent.inForce;
  }

  /** Returns the ids whose newest process may not take new work. */
  listStale(): readonly string[] {
    return this.#entries
      .filter((entry) => entry === this.#entries.findLast(({ id }) => id === entry.id))
      .filter((entry) => !entry.dead && !isClientFresh(entry.state, this.#readClock(entry)))
      .map(({ id }) => id);
  }

  /** Runs the site, with faults during the first `faultDuration` milliseconds. */
  run(milliseconds: number, faultDuration: number): void {
    const end = this.#time + milliseconds;
    const faultsEnd = this.#time + faultDuration;
    while (this.#time < end) {
      this.#time += STEP_MS;
      this.counts.steps += 1;
      if (this.#time < faultsEnd) this.#injectFaults();
      const due = this.#deliveries.filter(({ dueAt }) => dueAt <= this.#time);
      this.#deliveries = this.#deliveries.filter(({ dueAt }) => dueAt > this.#time);
      due.forEach(({ deliver }) => {
        deliver();
      });
      [...this.#members, ...this.#entries].forEach((process) => {
        this.#runProcess(process);
      });
      this.#checkInvariants();
    }
  }

  #draw(below: number): number {
    return uniformInt(this.#random, 0, below - 1);
  }

  #buildClock(): SimulatedProcess {
    const rate = 1 + (this.#draw(9) - 4) / 1000;
    const offset = this.#draw(1_000_000);
    return { rate, offset, frozenUntil: 0, partitionedUntil: 0, inbox: [] };
  }

  #readClock(process: SimulatedProcess): number {
    return this.#time * process.rate + process.offset;
  }

  #startEntry(id: string, address: string): void {
    this.#incarnation += 1;
    const clock = this.#buildClock();
    const self = { id, zone: 'z', callerAddress: address, incarnation: this.#incarnation };
    const now = this.#readClock(clock);
    const state = createClientState(self, MEMBERS, now);
    const minRevision = this.#highestRevisions.get(id) ?? 0;
    this.#entries.push({ id, address, ...clock, state, dead: false, minRevision });
  }

  /** Injects the random faults and commands of one step. */
  #injectFaults(): void {
    if (this.#draw(400) === 0) {
      const entry = this.#pickEntry();
      this.counts.freezes += 1;
      entry.frozenUntil = this.#time + 500 + this.#draw(9000);
    }
    if (this.#draw(500) === 0) {
      const entry = this.#pickEntry();
      this.counts.restarts += 1;
      // In one of three cases the old process is only frozen, and resumes after its replacement started.
      if (this.#draw(3) === 0) entry.frozenUntil = this.#time + 6000 + this.#draw(9000);
      else entry.dead = true;
      const hasNewAddress = !entry.dead;
      const address = hasNewAddress ? `10.0.${2 + this.#incarnation}.1:1` : entry.address;
      this.#startEntry(entry.id, address);
    }
    if (this.#draw(400) === 0) {
      this.counts.cuts += 1;
      this.#pickProcess().partitionedUntil = this.#time + 500 + this.#draw(15_000);
    }
    if (this.#draw(800) === 0) {
      const member = this.#pickMember();
      member.frozenUntil = this.#time + 500 + this.#draw(9000);
    }
    const leader = this.#getLeader();
    if ((this.#isUnavailable(leader) && this.#draw(100) === 0) || this.#draw(1500) === 0)
      this.#elect();
    if (this.#draw(60) === 0) this.#commitZoneCommand();
  }

  #isUnavailable(process: SimulatedProcess): boolean {
    return process.partitionedUntil > this.#time || process.frozenUntil > this.#time;
  }

  #pickEntry(): Entry {
    const living = this.#entries.filter(({ dead }) => !dead);
    return pick(living, this.#draw(living.length));
  }

  #pickMember(): Member {
    return pick(this.#members, this.#draw(3));
  }

  #getLeader(): Member {
    return pick(this.#members, this.#leader);
  }

  #pickProcess(): SimulatedProcess {
    return this.#draw(2) === 0 ? this.#pickEntry() : this.#pickMember();
  }

  #elect(): void {
    const next = (this.#leader + 1 + this.#draw(2)) % 3;
    if (this.#isUnavailable(pick(this.#members, next))) return;
    this.counts.elections += 1;
    this.#leader = next;
    this.#installLeader(next);
  }

  /** Notifies the new leader at once, and the other members only when a message reaches them. */
  #installLeader(leader: number): void {
    this.#term += 1;
    this.#members.forEach((member, index) => {
      if (index === leader) {
        member.term = this.#term;
        this.#applyLog(member);
        this.#stepMember(member, { kind: 'led', now: this.#readClock(member) });
        return;
      }
      this.#send(member, member, 300 + this.#draw(3000), () => {
        if (this.#leader !== leader) return;
        const now = this.#readClock(member);
        this.#stepMember(member, { kind: 'followed', leader: MEMBERS[leader], now });
      });
    });
  }

  #commitZoneCommand(): void {
    this.#commands += 1;
    const zone = `z${this.#draw(3)}`;
    const kind = this.#draw(2) === 0 ? 'zoneOut' : 'zoneIn';
    const id = `operator-${this.#commands}`;
    this.#commit({ kind, zone, id, operator: 'amina', issuedAt: this.#commands });
  }

  /** Commits on the actual leader; returns false if it is unavailable or the command is not accepted. */
  #commit(command: Command): boolean {
    const leader = this.#getLeader();
    if (this.#isUnavailable(leader)) return false;
    this.#index += 1;
    const { state, outcome } = applyCommand(this.#intent, command, this.#index);
    this.#intent = state;
    if (command.kind === 'confirmInForce' && outcome.kind === 'accepted') {
      this.counts.confirmed += 1;
    }
    this.#applyLog(leader);
    this.#members.forEach((member) => {
      if (member !== leader) {
        this.#send(leader, member, this.#draw(100), () => {
          this.#applyLog(member);
        });
      }
    });
    return outcome.kind === 'accepted';
  }

  #applyLog(member: Member): void {
    const view = {
      config: buildConfig(this.#intent),
      inForce: this.#intent.inForce,
      epochRevision: this.#intent.epochRevision,
    };
    this.#stepMember(member, { kind: 'applied', view, now: this.#readClock(member) });
  }

  /** Schedules a delivery, which is lost if one of two different processes is partitioned when it is due. */
  #send(from: SimulatedProcess, to: SimulatedProcess, delay: number, deliver: () => void): void {
    const dueAt = this.#time + delay;
    const deliverIfConnected = (): void => {
      if (from !== to && (from.partitionedUntil > this.#time || to.partitionedUntil > this.#time))
        return;
      to.inbox.push(deliver);
    };
    this.#deliveries.push({ dueAt, deliver: deliverIfConnected });
  }

  #sendMessage(from: SimulatedProcess, to: SimulatedProcess, deliver: () => void): void {
    if (this.#draw(20) === 0) return;
    const delay = this.#draw(30) === 0 ? this.#draw(5000) : 1 + this.#draw(20);
    this.#send(from, to, delay, deliver);
    if (this.#draw(30) === 0) this.#send(from, to, delay + this.#draw(3000), deliver);
  }

  #runProcess(process: SimulatedProcess): void {
    if (process.frozenUntil > this.#time) return;
    process.inbox.splice(0).forEach((deliver) => {
      deliver();
    });
    const now = this.#readClock(process);
    const entry = this.#entries.find((other) => other === process);
    if (entry !== undefined) this.#stepEntry(entry, { kind: 'ticked', now });
    const member = this.#members.find((other) => other === process);
    if (member !== undefined) this.#stepMember(member, { kind: 'ticked', now });
  }

  #stepEntry(entry: Entry, event: ClientEvent): void {
    if (entry.dead) return;
    const { state, effects } = decideClient(entry.state, event);
    entry.state = state;
    effects.forEach((effect) => {
      if (effect.kind === 'configChanged') {
        this.#checkMonotonic(entry, effect.config.revision);
        return;
      }
      const member = pick(this.#members, MEMBERS.indexOf(effect.to));
      const message = decodeMessage(encodeMessage(effect.message));
      if (message?.kind !== 'poll' && message?.kind !== 'join')
        throw new Error(`entry ${entry.id} sent a message that is not a request`);
      this.#sendMessage(entry, member, () => {
        const now = this.#readClock(member);
        this.#stepMember(member, { kind: 'asked', from: entry.address, request: message, now });
      });
    });
  }

  /**
   * Checks that a process never applies a lower revision than it, or any process of its id before its
   * start, has applied.
   */
  #checkMonotonic(entry: Entry, revision: number): void {
    if (revision < entry.minRevision) {
      throw new Error(`${entry.id} went from revision ${entry.minRevision} back to ${revision}`);
    }
    entry.minRevision = revision;
    this.#highestRevisions.set(
      entry.id,
      Math.max(this.#highestRevisions.get(entry.id) ?? 0, revision),
    );
  }

  #stepMember(member: Member, event: ServerEvent): void {
    const { state, effects } = decideServer(member.state, event);
    member.state = state;
    effects.forEach((effect) => {
      this.#perform(member, effect);
    });
  }

  #perform(member: Member, effect: ServerEffect): void {
    switch (effect.kind) {
      case 'send':
        this.#sendToEntry(member, effect.to, effect.message);
        break;
      case 'confirmLeadership': {
        // The majority responds before the result arrives, possibly much earlier.
        const delay = 1 + this.#draw(40);
        const { term } = member;
        this.#deliveries.push({
          dueAt: this.#time + delay,
          deliver: () => {
            const led = this.#term === term && member.partitionedUntil <= this.#time;
            this.#send(member, member, this.#draw(20), () => {
              const now = this.#readClock(member);
              this.#stepMember(member, { kind: 'roundEnded', round: effect.round, led, now });
            });
          },
        });
        break;
      }
      case 'propose': {
        const id = `${member.address}-${this.#time}-${effect.proposal}`;
        const { term } = member;
        const command = { ...effect.body, id, operator: 'chivewalk', issuedAt: 1 } as Command;
        this.#send(member, member, 1 + this.#draw(30), () => {
          const accepted = this.#term === term && this.#commit(command);
          const { proposal } = effect;
          const now = this.#readClock(member);
          this.#stepMember(member, { kind: 'proposalEnded', proposal, accepted, now });
        });
        break;
      }
      case 'evidence':
        break;
    }
  }

  #sendToEntry(member: Member, to: string, message: DistributionMessage): void {
    const entry = this.#entries.findLast(({ address }) => address === to);
    if (entry === undefined) return;
    const copy = decodeMessage(encodeMessage(message));
    if (copy === undefined) throw new Error(`a message of kind ${message.kind} was not decoded`);
    this.#sendMessage(member, entry, () => {
      const now = this.#readClock(entry);
      this.#stepEntry(entry, { kind: 'received', from: member.address, message: copy, now });
    });
  }

  /** Checks that each entry that may take new work applies at least the revision in force everywhere. */
  #checkInvariants(): void {
    this.#entries = this.#entries.filter(({ dead }) => !dead);
    this.#entries.forEach((entry) => {
      if (entry.frozenUntil > this.#time) return;
      if (!isClientFresh(entry.state, this.#readClock(entry))) {
        this.counts.staleMoments += 1;
        return;
      }
      this.counts.freshMoments += 1;
      const revision = entry.state.config?.revision ?? 0;
      if (revision < this.#intent.inForce) {
        throw new Error(
          `${entry.id} acts on revision ${revision} while ${this.#intent.inForce} is in force`,
        );
      }
    });
  }
}
