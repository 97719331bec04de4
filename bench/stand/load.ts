/**
 * An open-loop load generator.
 * Invariant: arrival times are generated from the seed before the run, and each latency counts from the intended send
 * time, so a slow answer neither delays later calls nor hides their latency (no coordinated omission).
 *
 * `node dist/bench/stand/load.js '{"targets":["http://127.0.0.1:8080/seam-records/r"], "rate":1000, "seconds":10}'`
 */
import { build, type Histogram } from 'hdr-histogram-js';
import { fileURLToPath } from 'node:url';
import { Pool } from 'undici';
import { createRandom } from './random.js';

/** Options of one load run. */
export interface LoadOptions {
  /** URLs of the form `http://ip:port/path`; calls go to them in rotation. */
  readonly targets: readonly string[];
  /** Mean calls per second; arrivals form a Poisson process. */
  readonly rate: number;
  readonly seconds: number;
  readonly method: 'GET' | 'POST';
  readonly headers: Readonly<Record<string, string>>;
  /** Maximum number of connections to each target. */
  readonly connections: number;
  readonly seed: number;
  /** Milliseconds at the start of the run that are excluded from the totals and latencies. */
  readonly warmMs: number;
}

/** Result of a load run; latencies are in milliseconds. */
export interface LoadResult {
  readonly calls: number;
  readonly ok: number;
  /** Failed calls whose answer said that the request was not executed. */
  readonly notRun: number;
  readonly failed: number;
  readonly p50: number;
  readonly p99: number;
  readonly p999: number;
  readonly max: number;
  /** Results of each second, by intended send time. */
  readonly seconds: readonly SecondResult[];
  /** Number of answers by `STATUS FIRST_WORD_OF_BODY`, or by error name and code. */
  readonly answers: Readonly<Record<string, number>>;
}

/** Results of the calls that were due in one second of a run. */
export interface SecondResult {
  readonly second: number;
  readonly ok: number;
  readonly failed: number;
  readonly p99: number;
}

/** Default load options. */
export const defaultLoad: LoadOptions = {
  targets: [],
  rate: 100,
  seconds: 5,
  method: 'GET',
  headers: {},
  connections: 128,
  seed: 1,
  warmMs: 0,
};

const US_PER_MS = 1000;
const MAX_LATENCY_US = 120_000_000;

function createHistogram(): Histogram {
  return build({ highestTrackableValue: MAX_LATENCY_US, numberOfSignificantValueDigits: 3 });
}

function readMs(histogram: Histogram, percentile: number): number {
  return histogram.getValueAtPercentile(percentile) / US_PER_MS;
}

/** Generates the arrival times of a Poisson process, in milliseconds from the start. */
export function generateArrivals(rate: number, seconds: number, seed: number): readonly number[] {
  const random = createRandom(seed);
  const arrivals: number[] = [];
  let at = 0;
  while (at < seconds * 1000) {
    const uniform = 1 - random();
    at += (-Math.log(uniform) * 1000) / rate;
    arrivals.push(at);
  }
  return arrivals;
}

/** Runs the load and returns its result after the last call has been answered. */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
  const arrivals = generateArrivals(options.rate, options.seconds, options.seed);
  const urls = options.targets.map((target) => new URL(target));
  const pools = urls.map(
    (url) => new Pool(url.origin, { connections: options.connections, pipelining: 1 }),
  );
  const histogram = createHistogram();
  const perSecond = new Map<
    number,
    { readonly histogram: Histogram; ok: number; failed: number }
  >();
  const answers: Record<string, number> = {};
  const totals = { ok: 0, notRun: 0, failed: 0 };
  const startedAt = performance.now();

  const recordAnswer = (
    intended: number,
    kind: 'ok' | 'notRun' | 'failed',
    label: string,
  ): void => {
    answers[label] = (answers[label] ?? 0) + 1;
    const second = Math.floor(intended / 1000);
    const row = perSecond.get(second) ?? { histogram: createHistogram(), ok: 0, failed: 0 };
    perSecond.set(second, row);
    const us = Math.max(1, Math.round((performance.now() - startedAt - intended) * US_PER_MS));
    if (kind === 'ok') row.ok += 1;
    else row.failed += 1;
    if (intended < options.warmMs) return;
    totals[kind] += 1;
    if (kind !== 'ok') return;
    histogram.recordValue(Math.min(us, MAX_LATENCY_US));
    row.histogram.recordValue(Math.min(us, MAX_LATENCY_US));
  };

  const sendCall = async (callIndex: number): Promise<void> => {
    const targetIndex = callIndex % pools.length;
    const intended = arrivals[callIndex] ?? 0;
    try {
      const answer = await pools[targetIndex]?.request({
        path: urls[targetIndex]?.pathname ?? '/',
        method: options.method,
        headers: options.headers,
      });
      const text = (await answer?.body.text()) ?? '';
      const status = answer?.statusCode ?? 0;
      const notRun = answer?.headers['x-chivewalk-not-run'] === '1';
      const kind = status < 400 ? 'ok' : notRun ? 'notRun' : 'failed';
      recordAnswer(intended, kind, `${status} ${text.split(' ')[0] ?? ''}`.slice(0, 40).trim());
    } catch (error) {
      recordAnswer(
        intended,
        'failed',
        error instanceof Error
          ? `${error.name} ${String((error as NodeJS.ErrnoException).code)}`
          : 'error',
      );
    }
  };

  const pendingCalls: Promise<void>[] = [];
  await new Promise<void>((resolve) => {
    let next = 0;
    const sendDue = (): void => {
      const now = performance.now() - startedAt;
      while (next < arrivals.length && (arrivals[next] ?? 0) <= now) {
        pendingCalls.push(sendCall(next));
        next += 1;
      }
      if (next >= arrivals.length) {
        resolve();
        return;
      }
      const gap = (arrivals[next] ?? 0) - now;
      if (gap > 2) setTimeout(sendDue, gap - 1);
      else setImmediate(sendDue);
    };
    sendDue();
  });
  await Promise.all(pendingCalls);
  await Promise.all(pools.map((pool) => pool.close()));
  return {
    calls: totals.ok + totals.notRun + totals.failed,
    ...totals,
    p50: readMs(histogram, 50),
    p99: readMs(histogram, 99),
    p999: readMs(histogram, 99.9),
    max: histogram.maxValue / US_PER_MS,
    seconds: [...perSecond.entries()]
      .sort(([one], [two]) => one - two)
      .map(([second, row]) => ({
        second,
        ok: row.ok,
        failed: row.failed,
        p99: readMs(row.histogram, 99),
      })),
    answers,
  };
}

if (process.argv[1] === fileURLToPath(import.meta.url)) {
  const overrides = JSON.parse(process.argv[2] ?? '{}') as Partial<LoadOptions>;
  console.log(JSON.stringify(await runLoad({ ...defaultLoad, ...overrides })));
}
