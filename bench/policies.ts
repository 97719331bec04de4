/**
 * Compares load-balancing policies in the queueing model; see docs/ROUTING.md. Settings by environment: `RUNS`, `CALLS`
 * (calls per run), `ONLY` (name of the only scenario to run), `OPTIONS` (routing options as JSON).
 */
import { mkdir, writeFile } from 'node:fs/promises';
import type { RoutingOptions } from '../src/routing/index.js';
import { buildChivewalk, contenders, type PolicyBuilder } from './contenders.js';
import { runModel, type Scenario } from './queueing.js';

const RUNS = Number(process.env.RUNS ?? 3);
const CALLS = Number(process.env.CALLS ?? 60_000);
const FIRST_SEED = 1000;
const PERCENTILES = [50, 99, 99.9] as const;
/** Milliseconds after which a noisy neighbour moves on to other upstreams. */
const NOISE_PERIOD_MS = 250;

const base: Omit<Scenario, 'name' | 'load'> = {
  entries: 18,
  upstreams: 14,
  slots: 6,
  zones: 3,
  calls: CALLS,
  work: 10,
  shape: 'exponential',
  reportLag: 5,
};

function isMiddleThird(phase: number): boolean {
  return phase > 1 / 3 && phase < 2 / 3;
}

/** Slows every fifth upstream to a third of its speed; the affected upstreams change each period. */
function computeNoise(upstream: number, _phase: number, now: number): number {
  const turn = Math.floor(now / NOISE_PERIOD_MS);
  return (upstream + turn) % 5 === 0 ? 3 : 1;
}

function buildScenarios(): readonly Scenario[] {
  const loads = [0.5, 0.7, 0.85, 0.95];
  return [
    ...loads.map((load) => ({ ...base, name: 'steady', load })),
    { ...base, name: 'steady, lognormal work', load: 0.85, shape: 'lognormal' as const },
    { ...base, name: 'steady, old reports', load: 0.85, reportLag: 50 },
    { ...base, name: 'steady, short work', load: 0.85, work: 1 },
    { ...base, name: 'overload', load: 1.2 },
    {
      ...base,
      name: 'sudden slowdown',
      load: 0.7,
      slowdown: (upstream, phase) => (upstream === 0 && isMiddleThird(phase) ? 5 : 1),
    },
    { ...base, name: 'noisy neighbour', load: 0.6, slowdown: computeNoise },
    {
      ...base,
      name: 'fail fast',
      load: 0.7,
      broken: (upstream, phase) => upstream === 0 && isMiddleThird(phase),
    },
  ];
}

interface Row {
  readonly scenario: string;
  readonly load: number;
  readonly policy: string;
  /** Median over the runs of each percentile, in milliseconds. */
  readonly percentiles: readonly number[];
  /** Minimum and maximum over the runs of the 99th percentile, in milliseconds. */
  readonly spread: readonly [number, number];
  readonly errors: number;
  readonly refused: number;
}

function findPercentile(sorted: Float64Array, percentile: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor((sorted.length * percentile) / 100))] ?? 0;
}

function findMedian(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

function measurePolicy(scenario: Scenario, policy: string, build: PolicyBuilder): Row {
  const outcomes = Array.from({ length: RUNS }, (_, run) => {
    const seed = FIRST_SEED + run;
    return runModel(scenario, build(scenario, seed), seed);
  });
  const tails = outcomes.map(({ latencies }) => findPercentile(latencies, 99));
  return {
    scenario: scenario.name,
    load: scenario.load,
    policy,
    percentiles: PERCENTILES.map((percentile) =>
      findMedian(outcomes.map(({ latencies }) => findPercentile(latencies, percentile))),
    ),
    spread: [Math.min(...tails), Math.max(...tails)],
    errors: findMedian(outcomes.map(({ errors }) => errors)),
    refused: findMedian(outcomes.map(({ refused }) => refused)),
  };
}

function printRow(row: Row, bound: number): void {
  const cells = [
    `${row.scenario} ${Math.round(row.load * 100)}%`.padEnd(28),
    row.policy.padEnd(16),
    ...row.percentiles.map((value) => value.toFixed(1).padStart(8)),
    `${row.spread[0].toFixed(1)}-${row.spread[1].toFixed(1)}`.padStart(14),
    ((row.percentiles[1] ?? 0) / bound).toFixed(2).padStart(7),
    (row.errors * 100).toFixed(2).padStart(8),
    (row.refused * 100).toFixed(2).padStart(8),
  ];
  console.log(cells.join(' '));
}

/**
 * Runs the benchmark, prints the table and writes `bench/out/policies.json`.
 *
 * @example
 * await run(); // RUNS=5 ONLY='fail fast' npm run bench -- policies
 */
export async function run(): Promise<void> {
  const scenarios = buildScenarios().filter(
    ({ name }) => process.env.ONLY === undefined || process.env.ONLY === name,
  );
  const options = JSON.parse(process.env.OPTIONS ?? '{}') as Partial<RoutingOptions>;
  const policies = Object.entries({ ...contenders, chivewalk: buildChivewalk(options) });
  console.log(`${RUNS} runs of ${CALLS} calls, seeds from ${FIRST_SEED}, Node ${process.version}`);
  console.log(
    'scenario and load            policy                p50      p99    p99.9     p99 spread  /bound  errors%  refused%',
  );
  const rows = scenarios.flatMap((scenario) => {
    const measured = policies.map(([name, build]) => measurePolicy(scenario, name, build));
    const bound = measured.at(-1)?.percentiles[1] ?? 1;
    measured.forEach((row) => {
      printRow(row, bound);
    });
    return measured;
  });
  await mkdir('bench/out', { recursive: true });
  const result = { node: process.version, runs: RUNS, calls: CALLS, seed: FIRST_SEED, rows };
  await writeFile('bench/out/policies.json', JSON.stringify(result, undefined, 2));
}
