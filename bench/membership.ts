/**
 * Measures the cost of membership for one entry: bytes, messages and CPU time per second, by the number of upstreams and
 * entries. All entries run in this process and communicate over real loopback connections.
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import { findFreePorts } from '../features/support/ports.js';
import { createMembership, type Membership } from '../src/membership/index.js';
import type { Upstream } from '../src/model/index.js';
import { createMesh, type Mesh } from '../src/wire/index.js';

/** Milliseconds between two announcements of an upstream. */
const ANNOUNCE_INTERVAL_MS = 2000;
/** Milliseconds in which the entries find each other and the pending gossip updates are sent. */
const SETTLE_MS = 7000;
/** Milliseconds of one measurement window. */
const WINDOW_MS = 4000;
const WINDOWS = 3;
/** Upstreams that restart at once when the cost of a change is measured. */
const RESTARTS = 53;

const sizes: readonly { readonly entries: number; readonly upstreams: number }[] = [
  { entries: 22, upstreams: 36 },
  { entries: 22, upstreams: 150 },
  { entries: 22, upstreams: 530 },
  { entries: 6, upstreams: 530 },
  { entries: 60, upstreams: 530 },
];

interface Fleet {
  readonly meshes: readonly Mesh[];
  readonly memberships: readonly Membership[];
}

interface Rates {
  /** Bytes that one entry sends and receives per second. */
  readonly bytes: number;
  /** Messages that one entry sends and receives per second. */
  readonly messages: number;
  /** CPU time of one entry, in percent of a core. */
  readonly cpu: number;
}

function wait(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

function buildUpstream(index: number, incarnation: number): Upstream {
  return {
    ...{ id: `upstream-${index}`, service: `service-${index % 92}`, version: '1.4.2' },
    ...{ zone: `zone-${index % 8}`, labels: { team: 'seam-records', tier: 'gold' } },
    ...{ address: `10.20.${index >> 8}.${index & 255}:8080`, slots: 6, maxConnections: 250 },
    ...{ incarnation, leaving: false, age: 0 },
  };
}

async function startFleet(entries: number): Promise<Fleet> {
  const ports = await findFreePorts(entries);
  const addresses = ports.map((port) => `127.0.0.1:${port}`);
  const meshes = await Promise.all(
    addresses.map((address) => createMesh({ address, secret: 'the secret of the bench' })),
  );
  const memberships = meshes.map((mesh, at) =>
    createMembership({
      ...{ mesh, seeds: addresses.slice(0, 3), now: () => performance.now() },
      ...{ random: Math.random },
      self: {
        ...{ id: `entry-${at}`, zone: `zone-${at % 8}`, incarnation: 1 },
        ...{ peerAddress: mesh.address, callerAddress: mesh.address },
      },
    }),
  );
  return { meshes, memberships };
}

function sumTraffic(meshes: readonly Mesh[]): {
  readonly bytes: number;
  readonly messages: number;
} {
  return meshes.reduce(
    (sum, { traffic }) => ({
      bytes: sum.bytes + traffic.bytesSent + traffic.bytesReceived,
      messages: sum.messages + traffic.messagesSent + traffic.messagesReceived,
    }),
    { bytes: 0, messages: 0 },
  );
}

async function measureWindow({ meshes }: Fleet): Promise<Rates> {
  const before = sumTraffic(meshes);
  const cpu = process.cpuUsage();
  const started = performance.now();
  await wait(WINDOW_MS);
  const seconds = (performance.now() - started) / 1000;
  const used = process.cpuUsage(cpu);
  const after = sumTraffic(meshes);
  const entrySeconds = seconds * meshes.length;
  return {
    bytes: (after.bytes - before.bytes) / entrySeconds,
    messages: (after.messages - before.messages) / entrySeconds,
    cpu: ((used.user + used.system) / 1e6 / entrySeconds) * 100,
  };
}

function computeMedian(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? NaN;
}

async function measureSize(entries: number, upstreams: number): Promise<Record<string, number>> {
  const fleet = await startFleet(entries);
  const incarnations = Array.from({ length: upstreams }, () => 1);
  const announce = (index: number): void => {
    fleet.memberships[index % entries]?.announce(buildUpstream(index, incarnations[index] ?? 1));
  };
  await wait(1000);
  incarnations.forEach((_, index) => {
    announce(index);
  });
  const slices = 20;
  let slice = 0;
  const renewals = setInterval(() => {
    slice = (slice + 1) % slices;
    incarnations.forEach((_, index) => {
      if (index % slices === slice) announce(index);
    });
  }, ANNOUNCE_INTERVAL_MS / slices);
  await wait(SETTLE_MS);
  const windows: Rates[] = [];
  while (windows.length < WINDOWS) windows.push(await measureWindow(fleet));
  const idleBytes = computeMedian(windows.map(({ bytes }) => bytes));
  incarnations.fill(2, 0, RESTARTS);
  const changed = await measureWindow(fleet);
  const listed = computeMedian(fleet.memberships.map((membership) => membership.upstreams.length));
  clearInterval(renewals);
  await Promise.all(fleet.memberships.map((membership) => membership.close()));
  await Promise.all(fleet.meshes.map((mesh) => mesh.close()));
  const cpus = windows.map(({ cpu }) => cpu);
  const restarts = Math.min(RESTARTS, upstreams);
  return {
    ...{ entries, upstreams, listed, bytesPerSecond: Math.round(idleBytes) },
    messagesPerSecond: toRounded(computeMedian(windows.map(({ messages }) => messages))),
    ...{ cpuPercent: toRounded(computeMedian(cpus)), cpuLeast: toRounded(Math.min(...cpus)) },
    cpuMost: toRounded(Math.max(...cpus)),
    bytesPerRestart: Math.round(((changed.bytes - idleBytes) * (WINDOW_MS / 1000)) / restarts),
  };
}

function toRounded(value: number): number {
  return Number(value.toFixed(2));
}

/** Measures each size, prints a table and writes `bench/out/membership.json`. */
export async function run(): Promise<void> {
  const rows: Record<string, number>[] = [];
  for (const { entries, upstreams } of sizes) rows.push(await measureSize(entries, upstreams));
  console.table(rows);
  mkdirSync('bench/out', { recursive: true });
  const about = { node: process.version, windowMs: WINDOW_MS, windows: WINDOWS };
  writeFileSync('bench/out/membership.json', JSON.stringify({ about, rows }, null, 2));
}
