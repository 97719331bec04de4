/**
 * Measures the waiting decisions with 10, 1,000 and 10,000 waiting requests, and replays a burst and a load of
 * rejections with the queues and with immediate refusals. Settings by environment: `RUNS`.
 */
import { mkdir, writeFile } from 'node:fs/promises';
import {
  countWaitingRequests,
  decideWaiting,
  emptyWaiting,
  type Waiter,
  type WaitingState,
} from '../src/overload/index.js';
import {
  burst,
  largeBurst,
  rejections,
  runReplay,
  sumCalls,
  type ReplayScenario,
} from './overloadreplay.js';
import { createRandom } from './queueing.js';

const RUNS = Number(process.env.RUNS ?? 3);
const SIZES = [10, 1000, 10_000];
const CYCLES = 5000;
const NANOSECONDS_PER_MICROSECOND = 1000;
/** A capacity at which all requests are expected to be served in time. */
const CAPACITY = { slotRate: 1e9, freeShare: 1, isFull: true };

function buildWaiter(id: number, random: () => number): Waiter {
  return {
    id,
    account: `account-${Math.floor(random() * 80)}`,
    rank: Math.floor(random() * 3),
    arrivedAt: 0,
    targetAt: 1e6,
    deadline: 4e6,
    work: 100,
    caller: `account-${id % 80}`,
  };
}

function addWaiter(state: WaitingState, id: number, random: () => number): WaitingState {
  const waiter = buildWaiter(id, random);
  const event = { kind: 'noRoom', waiter, capacity: CAPACITY, now: 0, random: random() } as const;
  return decideWaiting(state, event).state;
}

/** Returns the microseconds of one cycle: a request begins to wait, another has its turn. */
function measureCycle(size: number, seed: number): number {
  const random = createRandom(seed);
  let state = emptyWaiting;
  for (let id = 1; id < size; id += 1) state = addWaiter(state, id, random);
  const waiting = countWaitingRequests(state);
  if (waiting !== size - 1)
    throw new Error(`only ${waiting} of ${size - 1} wait; raise the capacity of the benchmark`);
  const start = process.hrtime.bigint();
  for (let cycle = 0; cycle < CYCLES; cycle += 1) {
    state = addWaiter(state, size + cycle, random);
    state = decideWaiting(state, { kind: 'ended', now: 0 }).state;
  }
  return Number(process.hrtime.bigint() - start) / NANOSECONDS_PER_MICROSECOND / CYCLES;
}

function compareDecisions(name: string, scenario: ReplayScenario): readonly object[] {
  return (['refusals', 'queues'] as const).flatMap((decision) => {
    const { calls, repeated, requests } = runReplay(scenario, decision);
    const kinds = ['all', ...scenario.kinds.map((kind) => kind.name)];
    return kinds.map((kind) => {
      const own = calls.filter((call) => kind === 'all' || call.kind === kind);
      const summary = sumCalls(own);
      const { inTarget, late, refused, failed, p99 } = summary;
      console.log(
        `${name} ${decision.padEnd(8)} ${kind.padEnd(8)} in target ${inTarget.toFixed(3)}`,
        `late ${late.toFixed(3)} refused ${refused.toFixed(3)} failed ${failed.toFixed(3)}`,
        `p99 ${p99.toFixed(0)} ms, repeated ${(repeated / requests).toFixed(3)}`,
      );
      return { name, decision, kind, ...summary };
    });
  });
}

/**
 * Runs the benchmark, prints the results and writes `bench/out/overload.json`.
 *
 * @example
 * await run(); // npm run bench -- overload
 */
export async function run(): Promise<void> {
  console.log(
    `${RUNS} runs, Node ${process.version}; microseconds for one to wait and one to be tried`,
  );
  const cycles = SIZES.map((size) => {
    const values = Array.from({ length: RUNS }, (_, index) => measureCycle(size, index + 1));
    console.log(`${size} waiting: ${values.map((value) => value.toFixed(1)).join(', ')}`);
    return { size, values };
  });
  const replays = [
    ...compareDecisions('burst', burst),
    ...compareDecisions('large burst', largeBurst),
    ...compareDecisions('rejections', rejections),
  ];
  await mkdir('bench/out', { recursive: true });
  const content = { node: process.version, runs: RUNS, cycles, replays };
  await writeFile('bench/out/overload.json', JSON.stringify(content, undefined, 2));
}
