/**
 * Measures the overhead of the entry with an open-loop load and separate processes. Direct calls to the upstream, a minimal
 * proxy on node:http and the entry are compared in the same run. Then measures the CPU time per call, the highest sustained
 * rate, and the memory growth while a body of 100 MB passes through.
 */
import { execFile, type ChildProcess } from 'node:child_process';
import { get } from 'node:http';
import { loadavg } from 'node:os';
import { fileURLToPath } from 'node:url';
import { Client } from 'undici';
import { BODY_BYTES, readUsage, startRole } from './proxies.js';
import { defaultLoad, type LoadOptions, type LoadResult } from './stand/load.js';
import { computeSpread, formatSpread, writeReport, type Spread } from './stand/report.js';
import { findFreeAddresses } from './stand/site.js';

const RUNS = 3;
const RATE = 1000;
const SECONDS = 8;
const WARM_MS = 3000;
const HIGH_RATES = [2000, 3000, 4000, 5000, 6000, 8000] as const;
const HIGH_SECONDS = 4;
const HIGH_WARM_MS = 1500;
const INTERLEAVED_CALLS = 4000;
const INTERLEAVED_WARM_CALLS = 1500;
/** A rate is sustained if at least this share of the calls succeeds and the p99 is at most the limit below. */
const SUSTAINED_OK_SHARE = 0.999;
const SUSTAINED_P99_MS = 10;
/** Target for the latency that the entry adds at p99, in milliseconds. */
const TARGET_ADDED_MS = 0.34;
const MIB = 1024 * 1024;

function runLoadProcess(options: Partial<LoadOptions>): Promise<LoadResult> {
  const program = fileURLToPath(new URL('./stand/load.js', import.meta.url));
  const given = JSON.stringify({ ...defaultLoad, ...options });
  return new Promise((resolve, reject) => {
    execFile(process.execPath, [program, given], { maxBuffer: 64 * MIB }, (error, output) => {
      if (error === null) resolve(JSON.parse(output) as LoadResult);
      else reject(new Error(error.message));
    });
  });
}

interface Processes {
  readonly upstream: { readonly address: string; readonly child: ChildProcess };
  readonly plain: { readonly address: string; readonly child: ChildProcess };
  readonly entry: { readonly address: string; readonly child: ChildProcess };
}

async function startProcesses(): Promise<Processes> {
  const [one = '', two = '', three = ''] = await findFreeAddresses(3);
  const upstream = { address: one, child: await startRole('upstream', one, one) };
  const plain = { address: two, child: await startRole('plain', two, one) };
  const entry = { address: three, child: await startRole('entry', three, one) };
  return { upstream, plain, entry };
}

interface PairReport {
  readonly direct: LoadResult;
  readonly through: LoadResult;
  /** CPU time of the proxy per call, in microseconds. */
  readonly cpuPerCall: number;
}

/** Runs the same load against the proxy and directly against the upstream, at the same time. */
async function runPair(
  processes: Processes,
  proxy: 'plain' | 'entry',
  seed: number,
): Promise<PairReport> {
  const { address, child } = processes[proxy];
  const before = await readUsage(child);
  const shared = { rate: RATE, seconds: SECONDS, warmMs: WARM_MS };
  const [direct, through] = await Promise.all([
    runLoadProcess({ ...shared, seed, targets: [`http://${processes.upstream.address}/r`] }),
    runLoadProcess({ ...shared, seed: seed + 500, targets: [`http://${address}/seam/r`] }),
  ]);
  const after = await readUsage(child);
  return { direct, through, cpuPerCall: (after.cpu - before.cpu) / (RATE * SECONDS) };
}

/** Latency percentiles, in milliseconds, of calls that are sent one at a time. */
interface LatencyPercentiles {
  readonly p10: number;
  readonly p50: number;
  readonly p99: number;
}

function computePercentiles(times: readonly number[]): LatencyPercentiles {
  const sorted = [...times].sort((one, two) => one - two);
  const read = (share: number): number => sorted[Math.floor(share * sorted.length)] ?? NaN;
  return { p10: read(0.1), p50: read(0.5), p99: read(0.99) };
}

/**
 * Sends calls one at a time, alternating between the upstream and the two proxies, so that noise from other processes
 * affects all of them alike.
 */
async function measureInterleaved(
  processes: Processes,
): Promise<Readonly<Record<string, LatencyPercentiles>>> {
  const targets = [
    { name: 'direct', path: '/r', address: processes.upstream.address },
    { name: 'plain', path: '/seam/r', address: processes.plain.address },
    { name: 'entry', path: '/seam/r', address: processes.entry.address },
  ].map((way) => ({ ...way, client: new Client(`http://${way.address}`), times: [] as number[] }));
  for (let at = 0; at < INTERLEAVED_WARM_CALLS + INTERLEAVED_CALLS; at += 1) {
    for (const { client, path, times } of targets) {
      const startedAt = performance.now();
      const answer = await client.request({ method: 'GET', path });
      await answer.body.text();
      if (at >= INTERLEAVED_WARM_CALLS) times.push(performance.now() - startedAt);
    }
  }
  await Promise.all(targets.map(({ client }) => client.close()));
  return Object.fromEntries(targets.map(({ name, times }) => [name, computePercentiles(times)]));
}

interface HighRate {
  readonly rate: number;
  readonly okShare: number;
  readonly p99: number;
  readonly cpuPerCall: number;
}

/** Loads the entry from two load processes, each at half the rate. */
async function runHighRate(processes: Processes, rate: number, seed: number): Promise<HighRate> {
  const { address, child } = processes.entry;
  const targets = [`http://${address}/seam/r`];
  const shared = { rate: rate / 2, seconds: HIGH_SECONDS, warmMs: HIGH_WARM_MS, targets };
  const before = await readUsage(child);
  const reports = await Promise.all([
    runLoadProcess({ ...shared, seed }),
    runLoadProcess({ ...shared, seed: seed + 1 }),
  ]);
  const after = await readUsage(child);
  const calls = reports.reduce((sum, report) => sum + report.calls, 0);
  const ok = reports.reduce((sum, report) => sum + report.ok, 0);
  const p99 = Math.max(...reports.map((report) => report.p99));
  return {
    rate,
    okShare: ok / calls,
    p99,
    cpuPerCall: (after.cpu - before.cpu) / (rate * HIGH_SECONDS),
  };
}

async function findHighestRate(processes: Processes, seed: number): Promise<readonly HighRate[]> {
  const rows: HighRate[] = [];
  for (const rate of HIGH_RATES) {
    const row = await runHighRate(processes, rate, seed);
    rows.push(row);
    if (row.okShare < SUSTAINED_OK_SHARE || row.p99 > SUSTAINED_P99_MS) return rows;
  }
  return rows;
}

function isSustained(row: HighRate): boolean {
  return row.okShare >= SUSTAINED_OK_SHARE && row.p99 <= SUSTAINED_P99_MS;
}

/** Reads the large body slowly through the entry and returns the growth of its resident memory in MiB. */
async function measureBigBody(processes: Processes): Promise<number> {
  const { address, child } = processes.entry;
  const before = await readUsage(child);
  let peakRss = before.rss;
  let sampling = true;
  const sampleMemory = async (): Promise<void> => {
    while (sampling) {
      peakRss = Math.max(peakRss, (await readUsage(child)).rss);
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
  };
  const sampler = sampleMemory();
  const size = await new Promise<number>((resolve, reject) => {
    get(`http://${address}/seam/big`, (answer) => {
      let received = 0;
      let pausedAt = 0;
      answer.on('data', (chunk: Buffer) => {
        received += chunk.length;
        if (received - pausedAt < MIB) return;
        pausedAt = received;
        answer.pause();
        setTimeout(() => answer.resume(), 10);
      });
      answer.on('end', () => {
        resolve(received);
      });
      answer.on('error', reject);
    }).on('error', reject);
  });
  sampling = false;
  await sampler;
  if (size !== BODY_BYTES)
    throw new Error(`the large body had ${size} bytes instead of ${BODY_BYTES}`);
  return (peakRss - before.rss) / MIB;
}

interface PairSummary {
  readonly directP99: Spread;
  readonly throughP50: Spread;
  readonly throughP99: Spread;
  readonly addedP50: Spread;
  readonly addedP99: Spread;
  readonly cpuPerCall: Spread;
  readonly failed: number;
}

function buildSummary(pairs: readonly PairReport[]): PairSummary {
  const spread = (pick: (pair: PairReport) => number): Spread => computeSpread(pairs.map(pick));
  return {
    directP99: spread(({ direct }) => direct.p99),
    throughP50: spread(({ through }) => through.p50),
    throughP99: spread(({ through }) => through.p99),
    addedP50: spread(({ direct, through }) => through.p50 - direct.p50),
    addedP99: spread(({ direct, through }) => through.p99 - direct.p99),
    cpuPerCall: spread(({ cpuPerCall }) => cpuPerCall),
    failed: pairs.reduce((sum, { through }) => sum + through.failed + through.notRun, 0),
  };
}

function printSummary(name: string, summary: PairSummary): void {
  console.table({
    [name]: {
      'direct p99 ms': formatSpread(summary.directP99, 3),
      'p50 ms': formatSpread(summary.throughP50, 3),
      'p99 ms': formatSpread(summary.throughP99, 3),
      'added p50 ms': formatSpread(summary.addedP50, 3),
      'added p99 ms': formatSpread(summary.addedP99, 3),
      'CPU us a call': formatSpread(summary.cpuPerCall, 0),
      failed: summary.failed,
    },
  });
}

function formatLoadAverage(load: readonly number[]): string {
  return (load[0] ?? 0).toFixed(1);
}

/** Runs the benchmark, prints the results and writes `bench/out/cost.json`. */
export async function run(): Promise<void> {
  const processes = await startProcesses();
  try {
    const plain: PairReport[] = [];
    const entry: PairReport[] = [];
    const alternate: Readonly<Record<string, LatencyPercentiles>>[] = [];
    const rates: HighRate[][] = [];
    const loadBefore = loadavg();
    const growth: number[] = [];
    for (let at = 1; at <= RUNS; at += 1) {
      alternate.push(await measureInterleaved(processes));
      plain.push(await runPair(processes, 'plain', at));
      entry.push(await runPair(processes, 'entry', at));
    }
    for (let at = 1; at <= RUNS; at += 1) {
      rates.push([...(await findHighestRate(processes, at))]);
      growth.push(await measureBigBody(processes));
    }
    const held = rates.map((rows) =>
      Math.max(0, ...rows.filter(isSustained).map(({ rate }) => rate)),
    );
    const summaries = { plain: buildSummary(plain), entry: buildSummary(entry) };
    console.log(
      `load of the machine before and after: ${formatLoadAverage(loadBefore)}, ${formatLoadAverage(loadavg())}`,
    );
    console.log('one call at a time, by turns, ms:');
    alternate.forEach((row) => {
      console.table(row);
    });
    printSummary('node:http proxy', summaries.plain);
    printSummary('entry', summaries.entry);
    console.log(`target: at most ${TARGET_ADDED_MS} ms added at p99 with ${RATE} calls a second`);
    console.log(`highest rate held, calls a second: ${formatSpread(computeSpread(held), 0)}`);
    console.table(rates.flat());
    console.log(`memory grown by a body of 100 MB, MiB: ${formatSpread(computeSpread(growth), 1)}`);
    const target = { addedP99: TARGET_ADDED_MS, rate: RATE };
    const load = { before: loadBefore, after: loadavg() };
    const figures = { target, runs: RUNS, load, alternate, summaries, held, rates };
    writeReport('cost', { ...figures, growthMib: growth });
  } finally {
    Object.values(processes).forEach(({ child }: { readonly child: ChildProcess }) => {
      child.kill('SIGTERM');
    });
  }
}
