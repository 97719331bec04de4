/**
 * Simulates a network of entries that run the membership protocol in virtual time, with message delays,
 * duplicates, cut links, frozen processes and killed ones.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Address, Instant, Upstream } from '../../src/model/index.js';
import type { MembershipMessage } from '../../src/generated/membership.js';
import { createMembershipState, decideMembership } from '../../src/membership/decide.js';
import {
  defaultIntervals,
  type MembershipEffect,
  type MembershipEvent,
  type MembershipState,
} from '../../src/membership/types.js';

/** A message in flight. */
interface PendingMessage {
  readonly deliverAt: Instant;
  readonly from: Address;
  readonly to: Address;
  readonly message: MembershipMessage;
}

/** A simulated entry process. */
interface Process {
  state: MembershipState;
  frozenUntil: Instant;
  /** When the quarantine of each fingerprint ends, as this process was notified. */
  readonly quarantined: Map<string, Instant>;
}

/** Milliseconds of virtual time per simulation step. */
const STEP = 5;

export class Network {
  readonly processes = new Map<Address, Process>();
  /** Links `from>to` on which all messages are lost. */
  readonly cuts = new Set<string>();
  readonly intervals = defaultIntervals;
  /** Called after each simulation step. */
  check: () => void = () => undefined;
  now: Instant = 0;
  /** Share of messages that are delivered twice, from 0 to 1. */
  duplicateShare = 0;
  /** Upper limit of the random delivery delay in milliseconds. */
  maxDelay = 4;
  #pending: PendingMessage[] = [];
  #random;

  constructor(seed: number) {
    this.#random = xoroshiro128plus(seed);
  }

  drawRandom(): number {
    return (this.#random.next() >>> 0) / 2 ** 32;
  }

  start(index: number, zone: string, incarnation = 1): Address {
    const peerAddress = toAddress(index);
    const callerAddress = `10.1.0.${index}:80`;
    const self = { id: `entry-${index}`, zone, peerAddress, callerAddress, incarnation };
    const seeds = [toAddress(0), toAddress(1), toAddress(2)];
    this.processes.set(peerAddress, {
      state: createMembershipState(self, seeds, this.intervals, this.now),
      frozenUntil: 0,
      quarantined: new Map(),
    });
    this.apply(peerAddress, { kind: 'started', now: this.now, random: this.drawRandom() });
    return peerAddress;
  }

  apply(address: Address, event: MembershipEvent): void {
    const process = this.processes.get(address);
    if (process === undefined) return;
    const { state, effects } = decideMembership(process.state, event);
    process.state = state;
    effects.forEach((effect) => {
      this.#performEffect(address, process, effect);
    });
  }

  announce(index: number, upstream: Upstream): void {
    this.apply(toAddress(index), { kind: 'announced', upstream, now: this.now });
  }

  getState(index: number): MembershipState {
    const process = this.processes.get(toAddress(index));
    if (process === undefined) throw new Error(`entry ${index} is not running`);
    return process.state;
  }

  /** Advances virtual time step by step; `each` is called after each step, before {@link check}. */
  run(milliseconds: number, each: () => void = () => undefined): void {
    const end = this.now + milliseconds;
    while (this.now < end) {
      this.now += STEP;
      this.#deliverDue();
      [...this.processes].forEach(([address, process], index) => {
        const due = (this.now + index * STEP * 7) % this.intervals.tick < STEP;
        if (due && process.frozenUntil <= this.now)
          this.apply(address, { kind: 'ticked', now: this.now, random: this.drawRandom() });
      });
      each();
      this.check();
    }
  }

  #deliverDue(): void {
    const due = this.#pending.filter(({ deliverAt }) => deliverAt <= this.now);
    this.#pending = this.#pending.filter(({ deliverAt }) => deliverAt > this.now);
    due.forEach((pending) => {
      const frozenUntil = this.processes.get(pending.to)?.frozenUntil ?? 0;
      if (frozenUntil > this.now) {
        this.#pending.push({ ...pending, deliverAt: frozenUntil });
        return;
      }
      const { from, message } = pending;
      this.apply(pending.to, {
        ...{ kind: 'received', from, message, now: this.now, random: this.drawRandom() },
      });
    });
  }

  #performEffect(from: Address, process: Process, effect: MembershipEffect): void {
    if (effect.kind === 'send' && !this.cuts.has(`${from}>${effect.to}`)) {
      const copies = this.drawRandom() < this.duplicateShare ? 2 : 1;
      Array.from({ length: copies }).forEach(() => {
        const deliverAt = this.now + 1 + this.drawRandom() * this.maxDelay;
        this.#pending.push({ deliverAt, from, to: effect.to, message: effect.message });
      });
    }
    if (effect.kind === 'condemned')
      effect.fingerprints.forEach((fingerprint) => {
        process.quarantined.set(fingerprint, effect.until);
      });
  }
}

export function toAddress(index: number): Address {
  return `10.0.0.${index}:7400`;
}

export function createUpstream(id: string, incarnation = 1): Upstream {
  return {
    ...{ id, service: 'seam-records', version: '1', zone: 'cyberjaya', labels: {} },
    ...{ address: `10.2.0.1:${id.length}`, slots: 6, maxConnections: 250 },
    ...{ incarnation, leaving: false, age: 0 },
  };
}
