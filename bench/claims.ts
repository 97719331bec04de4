/**
 * Measures the cost of claims: latency and CPU time over real loopback connections between six entries in this process,
 * memory per claim, and the time that a restarted entry needs to fetch the claims from the others.
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { findFreePorts } from '../features/support/ports.js';
import { createClaims, type ClaimService } from '../src/claims/index.js';
import { emptyTable, replaceClaims } from '../src/claims/table.js';
import type { Roster, RosterMember } from '../src/model/index.js';
import { createMesh, type Mesh } from '../src/wire/index.js';

const ENTRIES = 6;
const RUNS = 3;
/** Claims per second over all entries. */
const RATES = [100, 500, 1000] as const;
/** Duration of one run, in milliseconds. */
const LOAD_DURATION_MS = 3000;
const TABLE_SIZES = [20_000, 60_000, 200_000] as const;
const TRANSFER_SIZES = [3000, 10_000, 30_000] as const;
/** Milliseconds until the deadline of a claim. */
const CLAIM_TIMEOUT_MS = 10_000;

interface Site {
  readonly meshes: readonly Mesh[];
  readonly services: ClaimService[];
  readonly commitRoster: (incarnations: readonly number[]) => void;
  readonly start: (index: number, incarnation: number) => ClaimService;
}

function getNow(): number {
  return performance.now();
}

async function openSite(): Promise<Site> {
  const ports = await findFreePorts(ENTRIES);
  const meshes = await Promise.all(
    ports.map((port) =>
      createMesh({ address: `127.0.0.1:${port}`, secret: 'the secret of the bench' }),
    ),
  );
  let roster: Roster = { epoch: 0, members: [] };
  const listeners: (() => void)[] = [];
  const commitRoster = (incarnations: readonly number[]): void => {
    const members = meshes.map(({ address }, at): RosterMember => {
      const addresses = { peerAddress: address, callerAddress: address };
      const incarnation = incarnations[at] ?? 1;
      return { id: `entry-${at}`, zone: `z${at % 3}`, ...addresses, incarnation, phase: 'active' };
    });
    roster = { epoch: roster.epoch + 1, members };
    listeners.forEach((listener) => {
      listener();
    });
  };
  const start = (index: number, incarnation: number): ClaimService => {
    const mesh = meshes[index];
    if (mesh === undefined) throw new Error(`no entry ${index}`);
    const self = { id: `entry-${index}`, incarnation, peerAddress: mesh.address };
    const source = {
      get roster() {
        return roster;
      },
      isFresh: () => true,
      onChange: (listener: () => void) => listeners.push(listener),
    };
    return createClaims({ mesh, self, source, now: getNow, random: Math.random });
  };
  const services = meshes.map((_, at) => start(at, 1));
  commitRoster([]);
  return { meshes, services, commitRoster, start };
}

async function closeSite({ meshes, services }: Site): Promise<void> {
  services.forEach((service) => {
    service.close();
  });
  await Promise.all(meshes.map((mesh) => mesh.close()));
}

function pickQuantile(sorted: readonly number[], share: number): number {
  return toRounded(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? NaN);
}

function toRounded(value: number): number {
  return Number(value.toFixed(3));
}

function computeMedian(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? NaN;
}

/** Submits claims at a steady rate; latency counts from the time at which a claim was due. */
async function measureRate(site: Site, rate: number, name: string): Promise<readonly number[]> {
  const latencies: number[] = [];
  const started = getNow();
  const cpu = process.cpuUsage();
  const count = (rate * LOAD_DURATION_MS) / 1000;
  const claims: Promise<void>[] = [];
  let next = 0;
  while (next < count) {
    const due = started + (next * 1000) / rate;
    if (due > getNow()) {
      await new Promise((resolve) => setTimeout(resolve, 0));
      continue;
    }
    const service = site.services[next % ENTRIES];
    const claim = service
      ?.claim(`${name}-${next}`, 'digest', due + CLAIM_TIMEOUT_MS)
      .then((result) => {
        latencies.push(getNow() - due);
        if (result.kind === 'granted') service.settle(result.token, { kind: 'unknown' });
      });
    if (claim !== undefined) claims.push(claim);
    next += 1;
  }
  await Promise.all(claims);
  const used = process.cpuUsage(cpu);
  latencies.sort((a, b) => a - b);
  return [
    ...[pickQuantile(latencies, 0.5), pickQuantile(latencies, 0.99)],
    Math.round((used.user + used.system) / count),
  ];
}

async function measureLatency(): Promise<readonly Record<string, number>[]> {
  const site = await openSite();
  await measureRate(site, 500, 'warm-up');
  const rows: Record<string, number>[] = [];
  for (const rate of RATES) {
    const runs: (readonly number[])[] = [];
    while (runs.length < RUNS) runs.push(await measureRate(site, rate, `${rate}/${runs.length}`));
    const read = (at: number): number[] => runs.map((values) => values[at] ?? NaN);
    rows.push({
      ...{ claimsPerSecond: rate, p50Ms: computeMedian(read(0)), p99Ms: computeMedian(read(1)) },
      ...{ p99Least: Math.min(...read(1)), p99Most: Math.max(...read(1)) },
      cpuMicrosecondsPerClaim: computeMedian(read(2)),
    });
  }
  await closeSite(site);
  return rows;
}

function measureMemory(size: number): Record<string, number> {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  collect();
  const before = process.memoryUsage().heapUsed;
  const started = getNow();
  const table = Array.from({ length: size }, (_, at) => at).reduce((next, at) => {
    const name = Buffer.from(`key-${at}`.padEnd(16, '.')).toString('base64url');
    const claim = { token: `${name}-t`, digest: `${name}-d`, status: 'claimed' } as const;
    return replaceClaims(next, name, [{ ...claim, recordedAt: started, runFor: 1000 }]);
  }, emptyTable);
  const elapsed = getNow() - started;
  collect();
  const bytes = process.memoryUsage().heapUsed - before;
  const bytesPerClaim = Math.round(bytes / table.size);
  return {
    claims: table.size,
    bytesPerClaim,
    updateMicroseconds: toRounded((elapsed * 1000) / size),
  };
}

/** Fills the claim table, restarts one entry with an empty table and waits until it is ready to decide claims. */
async function measureTransfer(size: number): Promise<Record<string, number>> {
  const site = await openSite();
  const batch = 500;
  let next = 0;
  while (next < size) {
    const from = next;
    await Promise.all(
      Array.from({ length: Math.min(batch, size - from) }, async (_, at) => {
        await site.services[at % ENTRIES]?.claim(
          `key-${from + at}`,
          'digest',
          getNow() + CLAIM_TIMEOUT_MS,
        );
      }),
    );
    next += batch;
  }
  site.services[1]?.close();
  const before = site.meshes[1]?.traffic.bytesReceived ?? 0;
  const restarted = site.start(1, 2);
  site.services[1] = restarted;
  const started = getNow();
  site.commitRoster([1, 2]);
  while (!restarted.isReady) await new Promise((resolve) => setTimeout(resolve, 1));
  const readyAfterMs = Math.round(getNow() - started);
  const bytes = (site.meshes[1]?.traffic.bytesReceived ?? 0) - before;
  const fetched = restarted.size;
  await closeSite(site);
  return { claims: size, fetched, readyAfterMs, bytesPerFetched: Math.round(bytes / fetched) };
}

/** Runs the measurements, prints their tables and writes `bench/out/claims.json`. */
export async function run(): Promise<void> {
  const latency = await measureLatency();
  console.table(latency);
  const memory = TABLE_SIZES.map(measureMemory);
  console.table(memory);
  const transfer: Record<string, number>[] = [];
  for (const size of TRANSFER_SIZES) transfer.push(await measureTransfer(size));
  console.table(transfer);
  mkdirSync('bench/out', { recursive: true });
  const about = { node: process.version, entries: ENTRIES, runs: RUNS };
  const report = JSON.stringify({ about, latency, memory, transfer }, null, 2);
  writeFileSync('bench/out/claims.json', report);
}
