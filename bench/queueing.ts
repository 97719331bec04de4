/**
 * A discrete-event simulation of one service: upstreams with a few slots and a queue each, entries that choose
 * independently, network delays, and load reports that lag. It runs policies without I/O, to find the causes of
 * differences; figures of the whole program come from the benchmarks with real processes.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { LoadReport } from '../src/model/index.js';

/** A load-balancing policy. All times are simulated milliseconds. */
export interface Policy {
  /** Handles a call that arrived at an entry. */
  handleCall(callId: number, entry: number, now: number, send: Send, refuse: Refuse): void;
  /** Handles the answer of an upstream and decides whether it is delivered. */
  handleAnswer(answer: Answer, now: number, send: Send, refuse: Refuse): AnswerDecision;
  /** Runs periodic work; it is called for each entry every {@link TICK_INTERVAL_MS}. */
  handleTick?(entry: number, now: number, send: Send, refuse: Refuse): void;
  /**
   * Whether the model serves all calls from one queue that knows every slot. The methods of such a policy are never
   * called.
   */
  readonly usesCentralQueue?: boolean;
}

/** Sends a call to an upstream. */
export type Send = (callId: number, upstream: number) => void;
/** Refuses a call. */
export type Refuse = (callId: number) => void;
/** `retry` means that the policy has sent the call again. */
export type AnswerDecision = 'deliver' | 'retry';

/** The answer of an upstream to a call, as its entry receives it. */
export interface Answer {
  readonly callId: number;
  readonly entry: number;
  readonly upstream: number;
  readonly failed: boolean;
  readonly report: LoadReport;
}

/** Parameters of one simulation. */
export interface Scenario {
  readonly name: string;
  readonly entries: number;
  readonly upstreams: number;
  readonly slots: number;
  readonly zones: number;
  /** Mean share of all slots that the calls occupy while no upstream is slow or broken. */
  readonly load: number;
  readonly calls: number;
  /** Mean service time of a call, in milliseconds. */
  readonly work: number;
  readonly shape: 'exponential' | 'lognormal';
  /** Milliseconds between two updates of the load report of an upstream. */
  readonly reportLag: number;
  /** Factor on the service time at the upstream; `phase` goes from 0 to 1 over the run. */
  readonly slowdown?: (upstream: number, phase: number, now: number) => number;
  /** Whether the upstream answers every call with an error immediately. */
  readonly broken?: (upstream: number, phase: number) => boolean;
}

/** Result of one simulation. */
export interface Outcome {
  /** Latencies of the calls that succeeded, in milliseconds, sorted. */
  readonly latencies: Float64Array;
  /** Share of the calls that ended with an error. */
  readonly errors: number;
  /** Share of the calls that were refused. */
  readonly refused: number;
  /** Share of all attempts that went to the first upstream. */
  readonly firstShare: number;
}

/** One-way network delays, in milliseconds. */
const SAME_ZONE_DELAY_MS = 0.1;
const CROSS_ZONE_DELAY_MS = 0.5;
/** Interval of the periodic work of a policy, in milliseconds. */
const TICK_INTERVAL_MS = 5;
const LOGNORMAL_SIGMA = 1;
/** The central queue uses an upstream with at least this slowdown only when more calls wait than there are upstreams. */
const SLOW_FACTOR = 1.5;

interface ScheduledEvent {
  readonly at: number;
  readonly run: () => void;
}

/** A binary heap of scheduled events, ordered by time. */
class EventQueue {
  readonly #items: ScheduledEvent[] = [];

  add(at: number, run: () => void): void {
    const items = this.#items;
    let place = items.push({ at, run }) - 1;
    while (place > 0) {
      const parent = (place - 1) >> 1;
      if ((items[parent]?.at ?? 0) <= at) break;
      this.#swap(place, parent);
      place = parent;
    }
  }

  #swap(one: number, other: number): void {
    const items = this.#items;
    const [first, second] = [items[one], items[other]];
    if (first === undefined || second === undefined) return;
    items[one] = second;
    items[other] = first;
  }

  remove(): ScheduledEvent | undefined {
    const items = this.#items;
    const first = items[0];
    const last = items.pop();
    if (last === undefined || items.length === 0) return first;
    items[0] = last;
    let place = 0;
    for (;;) {
      const left = place * 2 + 1;
      const right = left + 1;
      let least = place;
      if ((items[left]?.at ?? Infinity) < (items[least]?.at ?? 0)) least = left;
      if ((items[right]?.at ?? Infinity) < (items[least]?.at ?? 0)) least = right;
      if (least === place) return first;
      this.#swap(place, least);
      place = least;
    }
  }
}

interface UpstreamState {
  running: number;
  readonly waiting: (() => void)[];
  report: LoadReport;
}

/** Returns a function that draws uniformly from [0, 1); equal seeds give equal sequences. */
export function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

function generateWork(scenario: Scenario, random: () => number): number {
  if (scenario.shape === 'exponential') return -scenario.work * Math.log(1 - random());
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  return scenario.work * Math.exp(LOGNORMAL_SIGMA * normal - LOGNORMAL_SIGMA ** 2 / 2);
}

/** Simulates one scenario with one policy. */
export function runModel(scenario: Scenario, policy: Policy, seed: number): Outcome {
  const random = createRandom(seed);
  const eventQueue = new EventQueue();
  const upstreamStates: UpstreamState[] = Array.from({ length: scenario.upstreams }, () => ({
    running: 0,
    waiting: [],
    report: { inFlight: 0, queued: 0, cold: false },
  }));
  const rate = (scenario.upstreams * scenario.slots * scenario.load) / scenario.work;
  const end = scenario.calls / rate;
  const arrivedAt = new Float64Array(scenario.calls);
  const entryByCall = new Uint16Array(scenario.calls);
  const workTimes = Float64Array.from({ length: scenario.calls }, () =>
    generateWork(scenario, random),
  );
  const latencies: number[] = [];
  const centralQueue: number[] = [];
  const totals = { errors: 0, refused: 0, sends: 0, first: 0 };
  let now = 0;

  const computeDelay = (entry: number, upstream: number): number =>
    policy.usesCentralQueue === true || entry % scenario.zones === upstream % scenario.zones
      ? SAME_ZONE_DELAY_MS
      : CROSS_ZONE_DELAY_MS;

  const computeSlowdown = (upstream: number): number =>
    scenario.slowdown?.(upstream, now / end, now) ?? 1;

  const isBroken = (upstream: number): boolean => scenario.broken?.(upstream, now / end) ?? false;

  const getUpstreamState = (upstream: number): UpstreamState => {
    const state = upstreamStates[upstream];
    if (state === undefined) throw new Error(`the model has no upstream ${upstream}`);
    return state;
  };

  const recordResult = (callId: number, failed: boolean): void => {
    if (failed) totals.errors += 1;
    else latencies.push(now - (arrivedAt[callId] ?? 0));
  };

  const sendAnswer = (callId: number, upstream: number, failed: boolean): void => {
    const entry = entryByCall[callId] ?? 0;
    const state = getUpstreamState(upstream);
    const { report } = state;
    eventQueue.add(now + computeDelay(entry, upstream), () => {
      if (policy.usesCentralQueue === true) {
        recordResult(callId, failed);
        return;
      }
      const decision = policy.handleAnswer(
        { callId, entry, upstream, failed, report },
        now,
        send,
        refuse,
      );
      if (decision === 'deliver') recordResult(callId, failed);
    });
  };

  const startWork = (callId: number, upstream: number): void => {
    const state = getUpstreamState(upstream);
    state.running += 1;
    eventQueue.add(now + (workTimes[callId] ?? 0) * computeSlowdown(upstream), () => {
      sendAnswer(callId, upstream, false);
      state.running -= 1;
      const next = state.waiting.shift();
      if (next !== undefined) next();
      else if (policy.usesCentralQueue === true) startFromCentralQueue();
    });
  };

  const startFromCentralQueue = (): void => {
    const free = upstreamStates
      .map(({ running }, at) => ({ running, at, slowdown: computeSlowdown(at) }))
      .filter(({ running, at }) => running < scenario.slots && !isBroken(at))
      .filter(({ slowdown }) => slowdown < SLOW_FACTOR || centralQueue.length > scenario.upstreams)
      .sort((left, right) => left.slowdown - right.slowdown || left.running - right.running)[0];
    if (free === undefined) return;
    const callId = centralQueue.shift();
    if (callId !== undefined) startWork(callId, free.at);
  };

  const send: Send = (callId, upstream) => {
    totals.sends += 1;
    if (upstream === 0) totals.first += 1;
    eventQueue.add(now + computeDelay(entryByCall[callId] ?? 0, upstream), () => {
      const state = getUpstreamState(upstream);
      if (isBroken(upstream)) sendAnswer(callId, upstream, true);
      else if (state.running < scenario.slots) startWork(callId, upstream);
      else
        state.waiting.push(() => {
          startWork(callId, upstream);
        });
    });
  };

  const refuse: Refuse = () => {
    totals.refused += 1;
  };

  const refreshReports = (): void => {
    upstreamStates.forEach((state) => {
      state.report = { inFlight: state.running, queued: state.waiting.length, cold: false };
    });
    if (now < end) eventQueue.add(now + scenario.reportLag, refreshReports);
  };

  const tick = (): void => {
    for (let entry = 0; entry < scenario.entries; entry += 1) {
      policy.handleTick?.(entry, now, send, refuse);
    }
    if (now < end * 1.2) eventQueue.add(now + TICK_INTERVAL_MS, tick);
  };

  let arrival = 0;
  const handleArrival = (): void => {
    const callId = arrival;
    arrival += 1;
    arrivedAt[callId] = now;
    const entry = Math.floor(random() * scenario.entries);
    entryByCall[callId] = entry;
    if (policy.usesCentralQueue === true) {
      centralQueue.push(callId);
      eventQueue.add(now + SAME_ZONE_DELAY_MS, startFromCentralQueue);
    } else {
      policy.handleCall(callId, entry, now, send, refuse);
    }
    if (arrival < scenario.calls)
      eventQueue.add(now - Math.log(1 - random()) / rate, handleArrival);
  };

  eventQueue.add(0, refreshReports);
  eventQueue.add(0, handleArrival);
  if (policy.handleTick !== undefined) eventQueue.add(0, tick);
  for (let item = eventQueue.remove(); item !== undefined; item = eventQueue.remove()) {
    now = item.at;
    item.run();
  }
  return {
    latencies: Float64Array.from(latencies).sort(),
    errors: totals.errors / scenario.calls,
    refused: totals.refused / scenario.calls,
    firstShare: totals.sends === 0 ? 0 : totals.first / totals.sends,
  };
}
