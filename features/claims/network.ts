/**
 * Simulates entries that run the claim protocol in virtual time, with a committed roster, message delays,
 * loss and duplicates, blocked links, frozen processes and restarts.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Address, Duration, Instant } from '../../src/model/index.js';
import type { ClaimsMessage, View, ViewMember } from '../../src/generated/claims.js';
import { createClaimsState, decideClaims } from '../../src/claims/decide.js';
import type {
  ClaimResult,
  ClaimsEffect,
  ClaimSettlement,
  ClaimsEvent,
  ClaimsState,
  ClaimTimes,
} from '../../src/claims/types.js';

/** Time limits of the protocol, shortened so that claims expire within a run. */
export const shortTimes: ClaimTimes = {
  ...{
    lifetime: 20_000,
    validity: 500,
    retryInterval: 20,
    conflictTimeout: 80,
    maxWait: 800,
    staleAfter: 1000,
  },
};

/** Virtual time of one simulation step, in milliseconds. */
const STEP: Duration = 2;
/** Interval of the ticks of each process, in milliseconds. */
const TICK_INTERVAL: Duration = 20;
/** Interval at which the control group sends the roster to each process, in milliseconds. */
const ROSTER_INTERVAL: Duration = 200;

interface QueuedMessage {
  readonly deliverAt: Instant;
  readonly from: Address;
  readonly to: Address;
  readonly message: ClaimsMessage;
}

export interface Process {
  state: ClaimsState;
  incarnation: number;
  frozenUntil: Instant;
  rosterReceivedAt: Instant;
  /** Whether the control group cannot send the roster to this process. */
  isControlUnreachable: boolean;
}

export interface Outcome {
  readonly key: string;
  readonly holder: number;
  readonly result: ClaimResult;
  readonly resolvedAt: Instant;
}

export class ClaimNetwork {
  readonly processes = new Map<Address, Process>();
  /** Links that drop every message: `from>to`, or `from>to report` for one kind of message. */
  readonly blockedLinks = new Set<string>();
  readonly outcomes: Outcome[] = [];
  now: Instant = 0;
  duplicateShare = 0;
  lossShare = 0;
  maxDelay: Duration = 3;
  view: View = { epoch: 0, members: [] };
  /** Called with the outcome of each claim. */
  onOutcome: (outcome: Outcome) => void = () => undefined;
  #queue: QueuedMessage[] = [];
  #requests = 0;
  readonly #pending = new Map<string, string>();
  #random;

  constructor(seed: number) {
    this.#random = xoroshiro128plus(seed);
  }

  nextRandom(): number {
    return (this.#random.next() >>> 0) / 2 ** 32;
  }

  pickIndex(count: number): number {
    return Math.floor(this.nextRandom() * count);
  }

  /** Starts a process without state; it gets the roster later. */
  start(index: number, incarnation = 1): void {
    const peerAddress = toAddress(index);
    const self = { id: `entry-${index}`, incarnation, peerAddress };
    this.processes.set(peerAddress, {
      ...{ state: createClaimsState(self, shortTimes, 1), incarnation },
      ...{ frozenUntil: 0, rosterReceivedAt: this.now, isControlUnreachable: false },
    });
  }

  /** Commits a roster of the given entries, each with its current incarnation, in a new epoch. */
  commitRoster(indexes: readonly number[]): void {
    const members = indexes.map((index): ViewMember => {
      const peerAddress = toAddress(index);
      const incarnation = this.processes.get(peerAddress)?.incarnation ?? 1;
      const zone = `zone-${index % 3}`;
      return { id: `entry-${index}`, zone, peerAddress, incarnation, active: true };
    });
    this.view = { epoch: this.view.epoch + 1, members };
  }

  claim(holder: number, key: string, digest = 'digest', runFor = 300): void {
    this.#requests += 1;
    const request = this.#requests;
    const { now } = this;
    const token = `${this.pickIndex(1e6)}-${request}`;
    this.#pending.set(`${toAddress(holder)}#${request}`, key);
    const event = { request, key, digest, token, deadline: now + runFor, now };
    this.apply(toAddress(holder), { kind: 'requested', ...event });
  }

  settle(holder: number, token: string, settlement: ClaimSettlement): void {
    this.apply(toAddress(holder), { kind: 'ended', token, settlement, now: this.now });
  }

  process(index: number): Process {
    const process = this.processes.get(toAddress(index));
    if (process === undefined) throw new Error(`entry ${index} does not run`);
    return process;
  }

  /** Advances virtual time, delivers due messages and runs the periodic events. */
  run(milliseconds: Duration): void {
    const end = this.now + milliseconds;
    while (this.now < end) {
      this.now += STEP;
      this.#deliverDue();
      [...this.processes].forEach(([address, process], index) => {
        if (process.frozenUntil > this.now) return;
        const phase = this.now + index * STEP;
        if (phase % ROSTER_INTERVAL < STEP && !process.isControlUnreachable) {
          process.rosterReceivedAt = this.now;
          this.apply(address, { kind: 'viewChanged', view: this.view, now: this.now });
        }
        if (phase % TICK_INTERVAL < STEP) this.apply(address, { kind: 'ticked', now: this.now });
      });
    }
  }

  apply(address: Address, event: ClaimsEvent): void {
    const process = this.processes.get(address);
    if (process === undefined) return;
    const { state, effects } = decideClaims(process.state, event);
    process.state = state;
    effects.forEach((effect) => {
      this.#performEffect(address, effect);
    });
  }

  #deliverDue(): void {
    const due = this.#queue.filter(({ deliverAt }) => deliverAt <= this.now);
    this.#queue = this.#queue.filter(({ deliverAt }) => deliverAt > this.now);
    due.forEach((queued) => {
      const process = this.processes.get(queued.to);
      if (process === undefined) return;
      if (process.frozenUntil > this.now) {
        this.#queue.push({ ...queued, deliverAt: process.frozenUntil });
        return;
      }
      const fresh = this.now - process.rosterReceivedAt <= shortTimes.staleAfter;
      const { from, message } = queued;
      this.apply(queued.to, { kind: 'received', from, message, fresh, now: this.now });
    });
  }

  #performEffect(from: Address, effect: ClaimsEffect): void {
    if (effect.kind === 'resolve') {
      const key = this.#pending.get(`${from}#${effect.request}`) ?? '';
      const holder = Number(from.split('.')[3]?.split(':')[0]);
      const outcome = { key, holder, result: effect.result, resolvedAt: this.now };
      this.outcomes.push(outcome);
      this.onOutcome(outcome);
      return;
    }
    const link = `${from}>${effect.to}`;
    const blocked =
      this.blockedLinks.has(link) || this.blockedLinks.has(`${link} ${effect.message.kind}`);
    if (blocked || this.nextRandom() < this.lossShare) return;
    const copies = this.nextRandom() < this.duplicateShare ? 2 : 1;
    Array.from({ length: copies }).forEach(() => {
      const deliverAt = this.now + 1 + this.nextRandom() * this.maxDelay;
      this.#queue.push({ deliverAt, from, to: effect.to, message: effect.message });
    });
  }
}

export function toAddress(index: number): Address {
  return `10.0.0.${index}:7400`;
}
