/**
 * A seeded simulation of usage reports in virtual time: gateways, three members of a group, and a platform. The log of
 * the group is one state here; which member may change it, and when it learns of what, is what the faults disturb.
 * Invariant: all randomness comes from the seed, so that a run repeats.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import {
  applyUsage,
  emptyUsage,
  getLastBatch,
  UsageCounter,
  type ReportOutcome,
  type UsageDelivery,
  type UsageReport,
  type UsageState,
} from '../../src/usage/index.js';
import {
  createReporting,
  decideReporting,
  type ReportingEffect,
  type ReportingEvent,
  type ReportingState,
} from '../../src/usage/reporting.js';

const STEP = 50;
export const WINDOW_MS = 5000;
const LEASE_MS = 3000;
/** The time of day at the start, at the start of a window. */
export const WALL_START = 1_000_000_000;
/** Milliseconds by which the requests begin after the start, and end before the end, of a window. */
const EDGE_TIME = 1000;
/** Milliseconds by which a gateway's clock may be ahead or behind. */
export const MAX_GATEWAY_SKEW = 300;
/** Longest milliseconds without power. */
export const MAX_OFF_TIME = 4000;
const MEMBERS = 3;
const GATEWAYS = 8;
/** Largest number of requests that a gateway sends in a step; half as many on average. */
const MAX_STEP_REQUESTS = 3;
/** Requests a second of all gateways, on average. */
export const REQUEST_RATE = (GATEWAYS * MAX_STEP_REQUESTS * 1000) / STEP / 2;
const ACCOUNTS = ['ana', 'bo', 'cem', 'dai'] as const;
const POLL_INTERVAL = 250;
const TICK_INTERVAL = 100;
const CALL_TIMEOUT = 1000;
/** Milliseconds after which a gateway follows another member. */
const FOLLOW_TIMEOUT = 750;
/** Milliseconds after which a member without contact no longer takes itself for the leader. */
const LEADER_TIMEOUT = 1500;

/** Which faults a run has. */
export type Weather = 'calm' | 'holders' | 'flapping' | 'platform' | 'power' | 'all';

/** A call that the platform carried out. */
export interface CarriedCall {
  readonly report: UsageReport;
  readonly sentAt: number;
  readonly at: number;
  readonly isAccepted: boolean;
  /** Whether the sender was connected as it sent the call. */
  readonly isConnected: boolean;
}

/** Requests by window and account. */
export type Counts = ReadonlyMap<number, ReadonlyMap<string, number>>;

/** What a run leaves for the checks. */
export interface SimulationOutcome {
  readonly calls: readonly CarriedCall[];
  /** Calls that departed, with the 409 answers that their sender had read by then. */
  readonly reused: number;
  /** Requests that upstreams began, by window and account, by the true time. */
  readonly truth: Counts;
  /** The same by the gateways' clocks. */
  readonly clockTruth: Counts;
  /** When all VMs lost power. */
  readonly powerLosses: readonly number[];
  readonly usage: UsageState;
  readonly commits: number;
}

interface Member {
  readonly id: string;
  state: ReportingState;
  /** Milliseconds by which its clock is ahead. */
  skew: number;
  isUp: boolean;
  isFrozen: boolean;
  isPartitioned: boolean;
  lostContactAt: number;
  /** The term in which it takes itself for the leader. */
  term: number | undefined;
  applied: UsageState;
  /** Events that wait while it is frozen. */
  queue: (() => void)[];
  start: number;
  readonly refused: Set<number>;
}

interface Gateway {
  counter: UsageCounter;
  source: string;
  followed: number;
  answeredAt: number;
  start: number;
  skew: number;
}

function countRequest(
  truth: Map<number, Map<string, number>>,
  wall: number,
  account: string,
): void {
  const window = Math.floor(wall / WINDOW_MS);
  const counts = truth.get(window) ?? new Map<string, number>();
  counts.set(account, (counts.get(account) ?? 0) + 1);
  truth.set(window, counts);
}

/** One run. */
export class UsageSimulation {
  now = 0;
  readonly #random: ReturnType<typeof xoroshiro128plus>;
  readonly #weather: Weather;
  readonly #members: readonly Member[];
  readonly #gateways: readonly Gateway[];
  #scheduled: { readonly at: number; readonly run: () => void }[] = [];
  #usage: UsageState = emptyUsage;
  #leader: number | undefined;
  #term = 0;
  #electionAt = 300;
  #highestToken = 0;
  #platform: 'up' | 'slow' | 'down' | 'late' | 'busy' = 'up';
  #nextFaultAt = 8000;
  #commits = 0;
  #reused = 0;
  #isPowerOff = false;
  readonly #calls: CarriedCall[] = [];
  readonly #truth = new Map<number, Map<string, number>>();
  readonly #clockTruth = new Map<number, Map<string, number>>();
  readonly #powerLosses: number[] = [];

  constructor(seed: number, weather: Weather) {
    this.#random = xoroshiro128plus(seed);
    this.#weather = weather;
    this.#members = Array.from({ length: MEMBERS }, (_, at) => ({
      ...{ id: `st-${at}`, state: this.#createState(at), skew: this.#draw(-400, 400) },
      ...{ isUp: true, isFrozen: false, isPartitioned: false, lostContactAt: 0 },
      ...{ term: undefined, applied: emptyUsage, queue: [], start: 0, refused: new Set<number>() },
    }));
    this.#gateways = Array.from({ length: GATEWAYS }, (_, at) => this.#createGateway(at, 0));
  }

  run(duration: number): SimulationOutcome {
    while (this.now < duration) {
      this.now += STEP;
      const due = this.#scheduled.filter(({ at }) => at <= this.now);
      this.#scheduled = this.#scheduled.filter(({ at }) => at > this.now);
      due
        .sort((one, two) => one.at - two.at)
        .forEach(({ run }) => {
          run();
        });
      // The last seconds are calm, so that what is due can be reported.
      if (this.now < duration - 30_000) this.#startFaults();
      this.#elect();
      // Requests begin and end in the middle of a window, where no skew of clocks matters.
      this.#runGateways(this.now > EDGE_TIME && this.now < duration - 20_000 - EDGE_TIME);
      if (this.now % TICK_INTERVAL === 0) this.#tickMembers();
    }
    return {
      ...{ calls: this.#calls, reused: this.#reused, truth: this.#truth, usage: this.#usage },
      ...{ powerLosses: this.#powerLosses, commits: this.#commits, clockTruth: this.#clockTruth },
    };
  }

  #draw(from: number, to: number): number {
    return uniformInt(this.#random, from, to);
  }

  #schedule(delay: number, run: () => void): void {
    this.#scheduled.push({ at: this.now + delay, run });
  }

  #createState(at: number): ReportingState {
    return createReporting({
      ...{ self: `st-${at}`, windowMs: WINDOW_MS, leaseMs: LEASE_MS, canReport: true },
    });
  }

  #createGateway(at: number, start: number): Gateway {
    const source = `gw-${at}/${start}`;
    const skew = this.#draw(-MAX_GATEWAY_SKEW, MAX_GATEWAY_SKEW);
    const counter = new UsageCounter({
      ...{ source, windowMs: WINDOW_MS, now: () => this.now },
      wallNow: () => WALL_START + this.now + (this.#gateways[at]?.skew ?? 0),
    });
    return { counter, source, followed: at % MEMBERS, answeredAt: this.now, start, skew };
  }

  #isConnected({ isUp, isFrozen, isPartitioned }: Member): boolean {
    return isUp && !isFrozen && !isPartitioned;
  }

  // Faults.

  #startFaults(): void {
    if (this.#weather === 'calm' || this.now < this.#nextFaultAt) return;
    const isFlapping = this.#weather === 'flapping';
    this.#nextFaultAt = this.now + (isFlapping ? this.#draw(200, 1500) : this.#draw(2000, 12_000));
    const kinds = {
      holders: ['holder', 'clock'],
      flapping: ['holder'],
      platform: ['platform'],
      power: ['power', 'holder', 'platform'],
      all: ['holder', 'holder', 'clock', 'platform', 'platform', 'power'],
    }[this.#weather];
    switch (kinds[this.#draw(0, kinds.length - 1)]) {
      case 'holder':
        this.#disturbMember();
        return;
      case 'clock': {
        const member = this.#members[this.#draw(0, MEMBERS - 1)];
        if (member !== undefined) member.skew = this.#draw(-2000, 2000);
        return;
      }
      case 'platform': {
        const modes = ['slow', 'down', 'late', 'busy'] as const;
        this.#platform = modes[this.#draw(0, modes.length - 1)] ?? 'up';
        this.#schedule(this.#draw(500, 8000), () => {
          this.#platform = 'up';
        });
        return;
      }
      case 'power':
        this.#losePower();
        return;
      case undefined:
        return;
    }
  }

  /** Kills, freezes or partitions a member, the leader more often than others, and ends that some seconds later. */
  #disturbMember(): void {
    const at = this.#draw(0, 1) === 0 ? this.#leader : this.#draw(0, MEMBERS - 1);
    const member = this.#members[at ?? 0];
    const others = this.#members.filter((other) => other !== member);
    // Two members of three have to be connected for a leader.
    if (member === undefined || !others.every((other) => this.#isConnected(other))) return;
    member.lostContactAt = this.now;
    const duration = this.#draw(300, this.#weather === 'flapping' ? 1500 : 9000);
    switch (this.#draw(0, 2)) {
      case 0:
        this.#killMember(member);
        this.#schedule(duration, () => {
          member.isUp = !this.#isPowerOff;
        });
        return;
      case 1:
        member.isFrozen = true;
        this.#schedule(duration, () => {
          member.isFrozen = false;
          const { queue } = member;
          member.queue = [];
          queue.forEach((run) => {
            run();
          });
        });
        return;
      default:
        member.isPartitioned = true;
        this.#schedule(duration, () => {
          member.isPartitioned = false;
        });
    }
  }

  #killMember(member: Member): void {
    member.isUp = false;
    member.term = undefined;
    member.start += 1;
    member.queue = [];
    if (this.#leader === this.#members.indexOf(member)) this.#leader = undefined;
    member.state = this.#createState(this.#members.indexOf(member));
  }

  /** Loses what is in memory; the group's state is on the disks. */
  #losePower(): void {
    if (this.#isPowerOff) return;
    this.#isPowerOff = true;
    this.#powerLosses.push(this.now);
    this.#members.forEach((member) => {
      this.#killMember(member);
    });
    this.#schedule(this.#draw(500, MAX_OFF_TIME), () => {
      this.#isPowerOff = false;
      this.#members.forEach((member) => {
        member.isUp = true;
      });
      this.#gateways.forEach((gateway, at) => {
        Object.assign(gateway, this.#createGateway(at, gateway.start + 1));
      });
    });
  }

  // The group.

  #elect(): void {
    const leader = this.#leader === undefined ? undefined : this.#members[this.#leader];
    if (leader !== undefined && this.#isConnected(leader)) {
      this.#electionAt = this.now + this.#draw(600, 1200);
      return;
    }
    const voters = this.#members.filter((member) => this.#isConnected(member));
    if (this.now < this.#electionAt || voters.length < 2) return;
    const elected = voters[this.#draw(0, voters.length - 1)];
    if (elected === undefined) return;
    this.#leader = this.#members.indexOf(elected);
    this.#term += 1;
    elected.term = this.#term;
    elected.applied = this.#usage;
  }

  #isLeading(member: Member, term: number | undefined): boolean {
    const isLeader = this.#leader !== undefined && this.#members[this.#leader] === member;
    return isLeader && this.#term === term && this.#isConnected(member);
  }

  #tickMembers(): void {
    this.#members.forEach((member) => {
      if (!member.isUp || member.isFrozen) return;
      if (!member.isPartitioned) {
        member.applied = this.#usage;
        if (member.term !== this.#term) member.term = undefined;
      } else if (this.now - member.lostContactAt > LEADER_TIMEOUT) member.term = undefined;
      this.#decide(member, {
        ...{ kind: 'ticked', now: this.now, term: member.term, usage: member.applied },
        wallNow: WALL_START + this.now + member.skew,
      });
    });
  }

  #decide(member: Member, event: ReportingEvent): void {
    const { state, effects } = decideReporting(member.state, event);
    member.state = state;
    effects.forEach((effect) => {
      this.#runEffect(member, effect);
    });
  }

  /** Delivers a result to the process start that asked for it; one that is frozen reads it once it resumes. */
  #answer(member: Member, delay: number, start: number, run: () => void): void {
    this.#schedule(delay, () => {
      if (member.start !== start || !member.isUp) return;
      if (member.isFrozen) member.queue.push(run);
      else run();
    });
  }

  #runEffect(member: Member, effect: ReportingEffect): void {
    const { term, start } = member;
    const { id } = effect;
    switch (effect.kind) {
      case 'commit':
        this.#schedule(this.#draw(5, 60), () => {
          const isLeading = this.#isLeading(member, term);
          if (isLeading) {
            this.#usage = applyUsage(this.#usage, effect.command) ?? this.#usage;
            this.#commits += 1;
          }
          const isUnknown = this.#draw(0, 19) === 0;
          this.#answer(member, isLeading && !isUnknown ? 20 : 900, start, () => {
            if (!member.isPartitioned) member.applied = this.#usage;
            this.#decide(member, {
              ...{ kind: 'committed', now: this.now, id, usage: member.applied },
              isApplied: isLeading && !isUnknown,
            });
          });
        });
        return;
      case 'confirm':
        this.#schedule(this.#draw(5, 60), () => {
          const isCurrent = this.#isLeading(member, term);
          const usage = isCurrent ? this.#usage : undefined;
          this.#answer(member, isCurrent ? this.#draw(5, 60) : 900, start, () => {
            this.#decide(member, { kind: 'confirmed', now: this.now, id, isCurrent, usage });
          });
        });
        return;
      case 'send':
        this.#send(member, start, id, effect.report);
        return;
    }
  }

  // The platform.

  #send(member: Member, start: number, id: number, report: UsageReport): void {
    const sentAt = this.now;
    const isConnected = this.#isConnected(member);
    if (member.refused.has(report.token)) this.#reused += 1;
    let isAnswered = false;
    const answer = (delay: number, outcome: ReportOutcome): void => {
      this.#answer(member, delay, start, () => {
        if (isAnswered) return;
        isAnswered = true;
        if (outcome === 'fenced') member.refused.add(report.token);
        this.#decide(member, { kind: 'answered', now: this.now, id, outcome });
      });
    };
    answer(CALL_TIMEOUT, 'failed');
    if (this.#platform === 'down') return;
    if (this.#platform === 'busy') {
      answer(20, 'failed');
      return;
    }
    const delays = { up: [5, 100], slow: [300, 3000], late: [2000, 9000] } as const;
    const [from, to] = delays[this.#platform];
    const isLate = this.#platform === 'late';
    this.#schedule(this.#draw(from, to), () => {
      const outcome = this.#carryOut(report, sentAt, isConnected);
      if (!isLate && !member.isPartitioned) answer(20, outcome);
    });
  }

  #carryOut(report: UsageReport, sentAt: number, isConnected: boolean): ReportOutcome {
    const isAccepted = report.token >= this.#highestToken;
    this.#highestToken = Math.max(this.#highestToken, report.token);
    this.#calls.push({ report, sentAt, isConnected, at: this.now, isAccepted });
    return isAccepted ? 'accepted' : 'fenced';
  }

  // Gateways.

  #runGateways(isLoaded: boolean): void {
    if (this.#isPowerOff) return;
    this.#gateways.forEach((gateway, at) => {
      if (isLoaded) this.#sendRequests(gateway);
      if ((this.now + at * STEP) % POLL_INTERVAL === 0) this.#poll(gateway);
    });
  }

  #sendRequests(gateway: Gateway): void {
    const { start } = gateway;
    Array.from({ length: this.#draw(0, MAX_STEP_REQUESTS) }).forEach(() => {
      const account = ACCOUNTS[this.#draw(0, ACCOUNTS.length - 1)] ?? 'ana';
      const isSlow = this.#draw(0, 49) === 0;
      const duration = isSlow ? this.#draw(1000, 4000) : this.#draw(20, 400);
      countRequest(this.#truth, WALL_START + this.now, account);
      countRequest(this.#clockTruth, WALL_START + this.now + gateway.skew, account);
      const sentAt = this.now;
      this.#schedule(duration, () => {
        if (gateway.start === start && !this.#isPowerOff)
          gateway.counter.countAttempt(account, this.now - sentAt, { kind: 'answered' });
      });
    });
  }

  #poll(gateway: Gateway): void {
    if (this.now - gateway.answeredAt > FOLLOW_TIMEOUT) {
      gateway.followed = (gateway.followed + 1) % MEMBERS;
      gateway.answeredAt = this.now;
    }
    const delivery = gateway.counter.collect();
    if (this.#draw(0, 49) === 0) return;
    const { start } = gateway;
    this.#schedule(this.#draw(5, 60), () => {
      const member = this.#members[gateway.followed];
      if (member === undefined || !this.#isConnected(member) || this.#isPowerOff) return;
      if (delivery !== undefined) this.#forward(member, delivery);
      this.#schedule(this.#draw(5, 60), () => {
        if (gateway.start !== start) return;
        gateway.answeredAt = this.now;
        const { source } = gateway;
        gateway.counter.handleReceipt({ source, last: getLastBatch(member.applied, source) });
      });
    });
  }

  /** Passes a delivery on to the leader, from which it may come twice. */
  #forward(member: Member, delivery: UsageDelivery): void {
    const repeats = this.#draw(0, 19) === 0 ? 2 : 1;
    Array.from({ length: repeats }).forEach(() => {
      this.#schedule(this.#draw(0, 60), () => {
        const leader = this.#leader === undefined ? undefined : this.#members[this.#leader];
        if (leader === undefined || !this.#isConnected(leader) || !this.#isConnected(member))
          return;
        this.#decide(leader, {
          ...{ kind: 'delivered', now: this.now, delivery, usage: leader.applied },
        });
      });
    });
  }
}
