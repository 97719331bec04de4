/** A network of membership cores in virtual time, with delays, doubles, cuts, freezes and kills. */
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

interface Parcel {
  readonly at: Instant;
  readonly from: Address;
  readonly to: Address;
  readonly message: MembershipMessage;
}

interface Process {
  state: MembershipState;
  frozenUntil: Instant;
  readonly condemned: Map<string, Instant>;
}

/** Milliseconds of virtual time between two steps. */
const STEP = 5;

export class Network {
  readonly processes = new Map<Address, Process>();
  /** Pairs `from>to` on which nothing is delivered. */
  readonly cuts = new Set<string>();
  readonly intervals = defaultIntervals;
  /** Called after each step of virtual time. */
  check: () => void = () => undefined;
  now: Instant = 0;
  doubleShare = 0;
  maxDelay = 4;
  #parcels: Parcel[] = [];
  #random;

  constructor(seed: number) {
    this.#random = xoroshiro128plus(seed);
  }

  draw(): number {
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
      condemned: new Map(),
    });
    this.apply(peerAddress, { kind: 'started', now: this.now, random: this.draw() });
    return peerAddress;
  }

  apply(address: Address, event: MembershipEvent): void {
    const process = this.processes.get(address);
    if (process === undefined) return;
    const { state, effects } = decideMembership(process.state, event);
    process.state = state;
    effects.forEach((effect) => {
      this.#carryOut(address, process, effect);
    });
  }

  announce(index: number, upstream: Upstream): void {
    this.apply(toAddress(index), { kind: 'announced', upstream, now: this.now });
  }

  stateOf(index: number): MembershipState {
    const process = this.processes.get(toAddress(index));
    if (process === undefined) throw new Error(`entry ${index} does not run`);
    return process.state;
  }

  /** Advances virtual time. */
  run(milliseconds: number, each: () => void = () => undefined): void {
    const end = this.now + milliseconds;
    while (this.now < end) {
      this.now += STEP;
      this.#deliverDue();
      [...this.processes].forEach(([address, process], at) => {
        const due = (this.now + at * STEP * 7) % this.intervals.tick < STEP;
        if (due && process.frozenUntil <= this.now)
          this.apply(address, { kind: 'ticked', now: this.now, random: this.draw() });
      });
      each();
      this.check();
    }
  }

  #deliverDue(): void {
    const due = this.#parcels.filter(({ at }) => at <= this.now);
    this.#parcels = this.#parcels.filter(({ at }) => at > this.now);
    due.forEach((parcel) => {
      const frozenUntil = this.processes.get(parcel.to)?.frozenUntil ?? 0;
      if (frozenUntil > this.now) {
        this.#parcels.push({ ...parcel, at: frozenUntil });
        return;
      }
      const { from, message } = parcel;
      this.apply(parcel.to, {
        ...{ kind: 'received', from, message, now: this.now, random: this.draw() },
      });
    });
  }

  #carryOut(from: Address, process: Process, effect: MembershipEffect): void {
    if (effect.kind === 'send' && !this.cuts.has(`${from}>${effect.to}`)) {
      const copies = this.draw() < this.doubleShare ? 2 : 1;
      Array.from({ length: copies }).forEach(() => {
        const at = this.now + 1 + this.draw() * this.maxDelay;
        this.#parcels.push({ at, from, to: effect.to, message: effect.message });
      });
    }
    if (effect.kind === 'condemned')
      effect.fingerprints.forEach((fingerprint) => {
        process.condemned.set(fingerprint, effect.until);
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
