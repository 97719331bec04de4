/**
 * Measures the time of one routing event and the size of the routing state for three site sizes: the two of today and the
 * one expected in two years. Settings by environment: `RUNS`, `CALLS` (calls per run).
 */
import { mkdir, writeFile } from 'node:fs/promises';
import type { Config, Upstream } from '../src/model/index.js';
import { emptyConfig } from '../src/model/index.js';
import {
  createRoutingState,
  decideRouting,
  type Call,
  type RoutingEvent,
  type RoutingState,
} from '../src/routing/index.js';
import { createRandom } from './queueing.js';

const RUNS = Number(process.env.RUNS ?? 3);
const CALLS = Number(process.env.CALLS ?? 50_000);
const SEED = 1;
/** Calls that are in flight in the entry at any time. */
const CALLS_IN_FLIGHT = 60;
const EVENTS_PER_CALL = 3;
const NANOSECONDS_PER_MICROSECOND = 1000;

interface Size {
  readonly upstreams: number;
  readonly services: number;
  readonly entries: number;
}

const sizes: readonly Size[] = [
  { upstreams: 36, services: 3, entries: 18 },
  { upstreams: 150, services: 26, entries: 22 },
  { upstreams: 530, services: 92, entries: 40 },
];

interface Result extends Size {
  /** Microseconds per event, one value per run. */
  readonly event: readonly number[];
  /** Microseconds to process the announcements of all upstreams, one value per run. */
  readonly discovery: readonly number[];
  /** Microseconds of one tick, one value per run. */
  readonly tick: readonly number[];
  /** Size of the routing state as JSON. */
  readonly stateBytes: number;
}

function buildState(size: Size): RoutingState {
  const members = Array.from({ length: size.entries }, (_, at) => ({
    id: `entry-${at}`,
    zone: `zone-${at % 8}`,
    peerAddress: `10.0.0.${at}:1`,
    callerAddress: `10.0.0.${at}:2`,
    incarnation: 1,
    phase: 'active' as const,
  }));
  const config: Config = { ...emptyConfig, revision: 1, roster: { epoch: 1, members } };
  const event: RoutingEvent = {
    kind: 'configured',
    config,
    self: 'entry-0',
    zone: 'zone-0',
    now: 0,
  };
  return decideRouting(createRoutingState(), event).state;
}

function buildUpstreams(size: Size): readonly Upstream[] {
  return Array.from({ length: size.upstreams }, (_, at) => ({
    id: `upstream-${at}`,
    service: `service-${at % size.services}`,
    version: '1',
    zone: `zone-${Math.floor(at / size.services) % 8}`,
    labels: {},
    address: `10.0.1.${at % 250}:${7000 + at}`,
    slots: 6,
    maxConnections: 250,
    incarnation: 1,
    leaving: false,
    age: 3_600_000,
  }));
}

function buildCall(id: number, service: number, now: number): Call {
  return {
    id,
    service: `service-${service}`,
    route: 'route',
    idempotent: true,
    criticality: 'interactive',
    deadline: now + 1000,
    fingerprint: 'fingerprint',
    depth: 0,
  };
}

function measureMicroseconds(work: () => void): number {
  const start = process.hrtime.bigint();
  work();
  return Number(process.hrtime.bigint() - start) / NANOSECONDS_PER_MICROSECOND;
}

/** Runs complete calls of three events each, with {@link CALLS_IN_FLIGHT} of them in flight at any time. */
function runCalls(start: RoutingState, size: Size, seed: number): RoutingState {
  const random = createRandom(seed);
  const report = { inFlight: 3, queued: 0, cold: false };
  let state = start;
  for (let id = 0; id < CALLS + CALLS_IN_FLIGHT; id += 1) {
    const now = id * 0.5;
    if (id < CALLS) {
      const call = buildCall(id, Math.floor(random() * size.services), now);
      state = decideRouting(state, { kind: 'arrived', call, now, random: random() }).state;
    }
    const callId = id - CALLS_IN_FLIGHT;
    if (callId < 0) continue;
    const event = { callId, now, random: random() };
    const head = { status: 200, notRun: false, report };
    state = decideRouting(state, { kind: 'headArrived', ...head, ...event }).state;
    state = decideRouting(state, { kind: 'finished', complete: true, ...event }).state;
  }
  return state;
}

function measureSize(size: Size): Result {
  const upstreams = buildUpstreams(size);
  const empty = buildState(size);
  const discovered: RoutingEvent = { kind: 'discovered', upstreams, now: 0 };
  runCalls(decideRouting(empty, discovered).state, size, SEED);
  const runs = Array.from({ length: RUNS }, (_, run) => {
    let state = empty;
    const discovery = measureMicroseconds(() => {
      state = decideRouting(empty, discovered).state;
    });
    const calls = measureMicroseconds(() => {
      state = runCalls(state, size, SEED + run);
    });
    const now = CALLS * 0.5 + 1;
    const tick = measureMicroseconds(() => {
      state = decideRouting(state, { kind: 'ticked', now, random: 0.5 }).state;
    });
    const stateBytes = JSON.stringify(state.services).length;
    return { discovery, event: calls / (CALLS * EVENTS_PER_CALL), tick, stateBytes };
  });
  return {
    ...size,
    event: runs.map(({ event }) => event),
    discovery: runs.map(({ discovery }) => discovery),
    tick: runs.map(({ tick }) => tick),
    stateBytes: runs[0]?.stateBytes ?? 0,
  };
}

function formatRange(values: readonly number[]): string {
  const sorted = [...values].sort((left, right) => left - right);
  const median = sorted[Math.floor(sorted.length / 2)] ?? 0;
  const least = sorted[0] ?? 0;
  const most = sorted.at(-1) ?? 0;
  return `${median.toFixed(2)} (${least.toFixed(2)}-${most.toFixed(2)})`;
}

/**
 * Runs the benchmark, prints the results and writes `bench/out/decide.json`.
 *
 * @example
 * await run(); // npm run bench -- decide
 */
export async function run(): Promise<void> {
  console.log(
    `${RUNS} runs of ${CALLS} calls, Node ${process.version}; microseconds, median (range)`,
  );
  const results = sizes.map(measureSize);
  results.forEach((result) => {
    const { upstreams, services, entries, event, discovery, tick, stateBytes } = result;
    console.log(
      `${upstreams} upstreams, ${services} services, ${entries} entries:`,
      `event ${formatRange(event)}, all announcements ${formatRange(discovery)},`,
      `tick ${formatRange(tick)}, state ${stateBytes} bytes as JSON`,
    );
  });
  await mkdir('bench/out', { recursive: true });
  const content = { node: process.version, runs: RUNS, calls: CALLS, seed: SEED, results };
  await writeFile('bench/out/decide.json', JSON.stringify(content, undefined, 2));
}
