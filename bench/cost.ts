/**
 * What the entry adds to a call: open loop, separate processes, direct calls in the same run as the base.
 * Rows: a direct call, a bare proxy on node:http as the other way weighed, and the entry. Then processor
 * time a call, the highest rate held, and the memory that a body of 100 MB takes.
 */
import { fork, execFile, type ChildProcess } from 'node:child_process';
import { Agent, createServer, get, request as sendRequest } from 'node:http';
import { fileURLToPath } from 'node:url';
import { emptyConfig, type Upstream } from '../src/model/index.js';
import { createEntry, createRouter } from '../src/entry/index.js';
import { defaultLoad, type LoadOptions, type LoadReport } from './stand/load.js';
import { computeSpread, formatSpread, writeReport, type Spread } from './stand/report.js';
import { findFreeAddresses } from './stand/site.js';

const RUNS = 3;
const RATE = 1000;
const SECONDS = 8;
const WARM_MS = 3000;
const HIGH_RATES = [2000, 3000, 4000, 5000, 6000, 8000] as const;
const HIGH_SECONDS = 4;
const HIGH_WARM_MS = 1500;
/** A rate counts as held if this share of the calls succeeds with a p99 under the limit. */
const HELD_SHARE = 0.999;
const HELD_P99_MS = 10;
const TARGET_ADDED_MS = 0.34;
const BODY_BYTES = 100 * 1024 * 1024;
const CHUNK_BYTES = 64 * 1024;
const SMALL_BODY = Buffer.alloc(200, 'a');
const MIB = 1024 * 1024;

type Role = 'upstream' | 'plain' | 'entry';

interface Usage {
  /** Processor time so far in microseconds. */
  readonly cpu: number;
  /** Resident memory in bytes. */
  readonly rss: number;
}

function startUpstream(address: string): void {
  const [host = '', port = ''] = address.split(':');
  const chunk = Buffer.alloc(CHUNK_BYTES, 'b');
  const server = createServer((request, response) => {
    if (request.url !== '/big') {
      response.writeHead(200, ['content-length', String(SMALL_BODY.length)]);
      response.end(SMALL_BODY);
      return;
    }
    response.writeHead(200, ['content-length', String(BODY_BYTES)]);
    let left = BODY_BYTES;
    const writeMore = (): void => {
      while (left > 0) {
        left -= CHUNK_BYTES;
        if (!response.write(chunk)) {
          response.once('drain', writeMore);
          return;
        }
      }
      response.end();
    };
    writeMore();
  });
  server.keepAliveTimeout = 60_000;
  server.listen(Number(port), host, () => process.send?.('ready'));
}

function startPlainProxy(address: string, upstream: string): void {
  const [host = '', port = ''] = address.split(':');
  const [upstreamHost, upstreamPort] = upstream.split(':');
  const agent = new Agent({ keepAlive: true, maxSockets: 250 });
  createServer((request, response) => {
    const path = (request.url ?? '').replace('/seam', '');
    const { method = 'GET', headers } = request;
    const target = { host: upstreamHost, port: upstreamPort, method, path, headers, agent };
    const outgoing = sendRequest(target, (answer) => {
      response.writeHead(answer.statusCode ?? 0, answer.rawHeaders);
      answer.pipe(response);
    });
    request.pipe(outgoing);
  }).listen(Number(port), host, () => process.send?.('ready'));
}

async function startEntry(address: string, upstreamAddress: string): Promise<void> {
  const upstream: Upstream = {
    id: 'seam-1',
    service: 'seam',
    version: '1',
    zone: 'klang',
    labels: {},
    address: upstreamAddress,
    slots: 250,
    maxConnections: 250,
    incarnation: 1,
    leaving: false,
    age: 3_600_000,
  };
  await createEntry({
    id: 'entry-1',
    zone: 'klang',
    callerListen: address,
    addressTtlMs: 1000,
    routing: createRouter(),
    claims: {
      claim: () => Promise.resolve({ kind: 'unavailable', reason: 'not in this bench' }),
      settle: () => undefined,
    },
    config: { config: emptyConfig, isFresh: () => true, onChange: () => undefined },
    members: {
      entries: () => [{ address, zone: 'klang' }],
      upstreams: () => [upstream],
      onChange: () => undefined,
    },
    hooks: {},
  });
  process.send?.('ready');
}

async function runRole(role: Role, address: string, upstream: string): Promise<void> {
  process.on('message', () => {
    const { user, system } = process.cpuUsage();
    const usage: Usage = { cpu: user + system, rss: process.memoryUsage.rss() };
    process.send?.(usage);
  });
  process.once('disconnect', () => process.exit(0));
  switch (role) {
    case 'upstream':
      startUpstream(address);
      break;
    case 'plain':
      startPlainProxy(address, upstream);
      break;
    case 'entry':
      await startEntry(address, upstream);
      break;
  }
}

function waitForMessage(child: ChildProcess): Promise<unknown> {
  return new Promise((resolve) => child.once('message', resolve));
}

async function startRole(role: Role, address: string, upstream: string): Promise<ChildProcess> {
  const child = fork(fileURLToPath(import.meta.url), [role, address, upstream]);
  await waitForMessage(child);
  return child;
}

async function readUsage(child: ChildProcess): Promise<Usage> {
  child.send('usage');
  return (await waitForMessage(child)) as Usage;
}

function runLoadProcess(options: Partial<LoadOptions>): Promise<LoadReport> {
  const program = fileURLToPath(new URL('./stand/load.js', import.meta.url));
  const given = JSON.stringify({ ...defaultLoad, ...options });
  return new Promise((resolve, reject) => {
    execFile(process.execPath, [program, given], { maxBuffer: 64 * MIB }, (error, output) => {
      if (error === null) resolve(JSON.parse(output) as LoadReport);
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
  readonly direct: LoadReport;
  readonly through: LoadReport;
  /** Microseconds of the proxy's processor time a call. */
  readonly cpuPerCall: number;
}

/** Loads the proxy and, at the same time and rate, the upstream directly. */
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

interface HighRate {
  readonly rate: number;
  readonly okShare: number;
  readonly p99: number;
  readonly cpuPerCall: number;
}

/** Loads the entry at a high rate from two load processes. */
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
    if (row.okShare < HELD_SHARE || row.p99 > HELD_P99_MS) return rows;
  }
  return rows;
}

function isHeld(row: HighRate): boolean {
  return row.okShare >= HELD_SHARE && row.p99 <= HELD_P99_MS;
}

/** Reads the large body through the entry at a limited pace and returns the growth of its memory. */
async function measureBigBody(processes: Processes): Promise<number> {
  const { address, child } = processes.entry;
  const before = await readUsage(child);
  let highest = before.rss;
  let watching = true;
  const watch = async (): Promise<void> => {
    while (watching) {
      highest = Math.max(highest, (await readUsage(child)).rss);
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
  };
  const watched = watch();
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
  watching = false;
  await watched;
  if (size !== BODY_BYTES) throw new Error(`the large body had ${size} bytes`);
  return (highest - before.rss) / MIB;
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

/** Runs the bench and writes `bench/out/cost.json`. */
export async function run(): Promise<void> {
  const processes = await startProcesses();
  try {
    const plain: PairReport[] = [];
    const entry: PairReport[] = [];
    const rates: HighRate[][] = [];
    const growth: number[] = [];
    for (let at = 1; at <= RUNS; at += 1) {
      plain.push(await runPair(processes, 'plain', at));
      entry.push(await runPair(processes, 'entry', at));
    }
    for (let at = 1; at <= RUNS; at += 1) {
      rates.push([...(await findHighestRate(processes, at))]);
      growth.push(await measureBigBody(processes));
    }
    const held = rates.map((rows) => Math.max(0, ...rows.filter(isHeld).map(({ rate }) => rate)));
    const summaries = { plain: buildSummary(plain), entry: buildSummary(entry) };
    printSummary('node:http proxy', summaries.plain);
    printSummary('entry', summaries.entry);
    console.log(`target: at most ${TARGET_ADDED_MS} ms added at p99 with ${RATE} calls a second`);
    console.log(`highest rate held, calls a second: ${formatSpread(computeSpread(held), 0)}`);
    console.table(rates.flat());
    console.log(`memory grown by a body of 100 MB, MiB: ${formatSpread(computeSpread(growth), 1)}`);
    const target = { addedP99: TARGET_ADDED_MS, rate: RATE };
    writeReport('cost', { target, runs: RUNS, summaries, held, rates, growthMib: growth });
  } finally {
    Object.values(processes).forEach(({ child }: { readonly child: ChildProcess }) => {
      child.kill('SIGTERM');
    });
  }
}

const [, program = '', role = '', address = '', upstream = ''] = process.argv;
if (program === fileURLToPath(import.meta.url)) await runRole(role as Role, address, upstream);
