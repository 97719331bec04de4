/**
 * Measures the cost of the consensus group: restart time, disk and memory after many changes, commit latency, traffic and
 * CPU time by group size, and the time from the loss of the leader to the next commit. All members run in one process and
 * communicate over loopback.
 */
import { mkdtemp, mkdir, readdir, rm, stat, writeFile } from 'node:fs/promises';
import { cpus, tmpdir } from 'node:os';
import { join } from 'node:path';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { openControl, type ControlNode, type StateMachine } from '../src/control/index.js';
import { createMesh, type Mesh } from '../src/wire/index.js';

const RUNS = 3;
const CHANGE_COUNTS = [1_000, 10_000, 100_000];
/** Additional changes, so that a restart replays a log that is close to its next snapshot. */
const LOG_TAIL_CHANGES = 800;
const GROUP_SIZES = [1, 3, 5, 7];
/** Milliseconds of one measurement without changes. */
const IDLE_WINDOW_MS = 4_000;
const LATENCY_SAMPLES = 200;
const LEADER_LOSSES = 5;
/** Proposals that are in flight at once while a data folder is filled. */
const PROPOSAL_BATCH = 200;
const CHANGES_PER_DAY = 540;
const SECONDS_PER_DAY = 86_400;
/** Bytes of the IPv4 and TCP headers of a message, including TCP timestamps. */
const HEADER_BYTES = 52;
const FIRST_PORT = 21_400;
/** Number of keys in the replicated state; changes replace their values, so its size stays the same. */
const STATE_KEYS = 1_000;

interface Change {
  readonly key: number;
  readonly value: string;
}
type State = ReadonlyMap<number, string>;

/** Creates a state machine whose state has a fixed number of keys, comparable to the intent of one site. */
function createMachine(): StateMachine<State> {
  const values = new Map<number, string>();
  return {
    initial: values,
    apply: (state, command) => {
      const { key, value } = command as Change;
      (state as Map<number, string>).set(key, value);
      return { state, result: key };
    },
    encode: (state) => Buffer.from(JSON.stringify([...state])),
    decode: (bytes) => new Map(JSON.parse(Buffer.from(bytes).toString()) as [number, string][]),
  };
}

function createChange(at: number): Change {
  return { key: at % STATE_KEYS, value: `change ${at} `.padEnd(120, '.') };
}

interface Group {
  readonly folder: string;
  readonly nodes: ControlNode<State>[];
  readonly meshes: Mesh[];
}

let nextPort = FIRST_PORT;

async function openGroup(size: number): Promise<Group> {
  const folder = await mkdtemp(join(tmpdir(), 'chivewalk-bench-'));
  const members = Array.from({ length: size }, (_, at) => `127.0.0.1:${nextPort + at}`);
  nextPort += size;
  const meshes = await Promise.all(
    members.map((address) => createMesh({ address, secret: 'the secret of the bench' })),
  );
  const nodes = await Promise.all(
    members.map((address, at) => {
      const mesh = meshes[at];
      if (mesh === undefined) throw new Error('no mesh');
      const dataFolder = join(folder, String(at));
      const machine = createMachine();
      return openControl({ address, members, join: false, dataFolder, mesh, machine });
    }),
  );
  return { folder, nodes, meshes };
}

async function closeGroup({ folder, nodes, meshes }: Group): Promise<void> {
  await Promise.all(nodes.map((node) => node.close()));
  await Promise.all(meshes.map((mesh) => mesh.close()));
  await rm(folder, { recursive: true });
}

function waitFor(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

async function waitForLeader(nodes: readonly ControlNode<State>[]): Promise<ControlNode<State>> {
  for (;;) {
    const leader = nodes.find(({ status }) => status.role === 'leader' && status.commitIndex > 1);
    if (leader !== undefined) return leader;
    await waitFor(2);
  }
}

async function computeDiskBytes(folder: string): Promise<number> {
  const names = await readdir(folder);
  const sizes = await Promise.all(names.map(async (name) => (await stat(join(folder, name))).size));
  return sizes.reduce((sum, size) => sum + size, 0);
}

function computeMedian(values: readonly number[]): number {
  return [...values].sort((one, other) => one - other)[Math.floor(values.length / 2)] ?? 0;
}

function formatRange(values: readonly number[], digits = 1): string {
  const [low, high] = [Math.min(...values), Math.max(...values)];
  return `${computeMedian(values).toFixed(digits)} (${low.toFixed(digits)}-${high.toFixed(digits)})`;
}

async function writeChanges(node: ControlNode<State>, changes: number): Promise<void> {
  for (let at = 0; at < changes; at += PROPOSAL_BATCH) {
    const batch = Array.from({ length: PROPOSAL_BATCH }, (_, offset) => createChange(at + offset));
    const outcomes = await Promise.all(batch.map((change) => node.propose(change, 10_000)));
    if (outcomes.some(({ kind }) => kind !== 'committed'))
      throw new Error('a proposed change was not committed');
  }
}

/** Returns the heap and external memory in use after a garbage collection, in bytes. */
function measureMemoryBytes(): number {
  setFlagsFromString('--expose-gc');
  (runInNewContext('gc') as () => void)();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

async function measureRestart(changes: number): Promise<Record<string, unknown>> {
  const group = await openGroup(1);
  const [node] = group.nodes;
  const [mesh] = group.meshes;
  if (node === undefined || mesh === undefined) throw new Error('no member');
  await waitForLeader(group.nodes);
  const fillStartedAt = performance.now();
  await writeChanges(node, changes + LOG_TAIL_CHANGES);
  const perSecond = (changes + LOG_TAIL_CHANGES) / ((performance.now() - fillStartedAt) / 1000);
  await node.close();
  const dataFolder = join(group.folder, '0');
  const diskBytes = await computeDiskBytes(dataFolder);
  const times: number[] = [];
  const heaps: number[] = [];
  for (let run = 0; run < RUNS; run += 1) {
    const before = measureMemoryBytes();
    const start = performance.now();
    const address = mesh.address;
    const options = { address, members: [address], join: false, dataFolder, mesh };
    const reopened = await openControl({ ...options, machine: createMachine() });
    await waitForLeader([reopened]);
    times.push(performance.now() - start);
    heaps.push((measureMemoryBytes() - before) / 1e6);
    await reopened.close();
  }
  await mesh.close();
  await rm(group.folder, { recursive: true });
  return {
    changes,
    'changes/s while filling': Math.round(perSecond),
    'restart to leading, ms': formatRange(times),
    'disk, MB': (diskBytes / 1e6).toFixed(2),
    'memory held, MB': formatRange(heaps, 2),
  };
}

async function measureLatency(): Promise<Record<string, unknown>> {
  const group = await openGroup(3);
  const leader = await waitForLeader(group.nodes);
  const p50: number[] = [];
  const p99: number[] = [];
  for (let run = 0; run < RUNS; run += 1) {
    const samples: number[] = [];
    for (let at = 0; at < LATENCY_SAMPLES; at += 1) {
      const start = performance.now();
      await leader.propose(createChange(at), 10_000);
      samples.push(performance.now() - start);
    }
    samples.sort((one, other) => one - other);
    p50.push(samples[Math.floor(samples.length * 0.5)] ?? 0);
    p99.push(samples[Math.floor(samples.length * 0.99)] ?? 0);
  }
  await closeGroup(group);
  return {
    members: 3,
    'commit p50, ms': formatRange(p50, 2),
    'commit p99, ms': formatRange(p99, 2),
  };
}

interface Traffic {
  readonly messages: number;
  readonly bytes: number;
}

function readTraffic({ traffic }: Mesh): Traffic {
  return {
    messages: traffic.messagesSent + traffic.messagesReceived,
    bytes: traffic.bytesSent + traffic.bytesReceived,
  };
}

async function measureTraffic(size: number): Promise<Record<string, unknown>> {
  const group = await openGroup(size);
  const leader = await waitForLeader(group.nodes);
  const mesh = group.meshes[group.nodes.indexOf(leader)];
  if (mesh === undefined) throw new Error('no mesh');
  await waitFor(1000);
  const messages: number[] = [];
  const bytes: number[] = [];
  const cores: number[] = [];
  for (let run = 0; run < RUNS; run += 1) {
    const before = readTraffic(mesh);
    const cpu = process.cpuUsage();
    await waitFor(IDLE_WINDOW_MS);
    const used = process.cpuUsage(cpu);
    const after = readTraffic(mesh);
    const seconds = IDLE_WINDOW_MS / 1000;
    messages.push((after.messages - before.messages) / seconds);
    bytes.push((after.bytes - before.bytes) / seconds);
    cores.push((used.user + used.system) / 1e4 / seconds / size);
  }
  const perChange = await measureChangeBytes(leader, mesh, computeMedian(bytes));
  await closeGroup(group);
  const idle = computeMedian(bytes) + computeMedian(messages) * HEADER_BYTES;
  const daily = (perChange * CHANGES_PER_DAY) / SECONDS_PER_DAY;
  return {
    members: size,
    'leader messages/s, both ways': formatRange(messages),
    'leader bytes/s, both ways': formatRange(bytes, 0),
    'with headers, KB/s': (idle / 1000).toFixed(2),
    'bytes a change': Math.round(perChange),
    'at 540 changes a day, KB/s': ((idle + daily) / 1000).toFixed(2),
    'core a member, %': formatRange(cores, 2),
  };
}

async function measureChangeBytes(
  leader: ControlNode<State>,
  mesh: Mesh,
  idleRate: number,
): Promise<number> {
  const changes = 100;
  const start = performance.now();
  const before = readTraffic(mesh);
  for (let at = 0; at < changes; at += 1) await leader.propose(createChange(at), 10_000);
  const after = readTraffic(mesh);
  const seconds = (performance.now() - start) / 1000;
  const headers = (after.messages - before.messages) * HEADER_BYTES;
  return Math.max(0, (after.bytes - before.bytes + headers - idleRate * seconds) / changes);
}

/** Closes the connections of the leader and measures the time until another member has committed a change. */
async function measureLeaderLoss(): Promise<Record<string, unknown>> {
  const times: number[] = [];
  for (let loss = 0; loss < LEADER_LOSSES; loss += 1) {
    const group = await openGroup(3);
    const leader = await waitForLeader(group.nodes);
    await waitFor(500);
    const start = performance.now();
    await group.meshes[group.nodes.indexOf(leader)]?.close();
    const remaining = group.nodes.filter((node) => node !== leader);
    const next = await waitForLeader(remaining);
    await next.propose(createChange(loss), 10_000);
    times.push(performance.now() - start);
    await Promise.all(remaining.map((node) => node.close()));
    await leader.close();
    await Promise.all(group.meshes.map((mesh) => mesh.close()));
    await rm(group.folder, { recursive: true });
  }
  return {
    members: 3,
    losses: LEADER_LOSSES,
    'lost leader to next commit, ms': formatRange(times, 0),
  };
}

/** Runs every measurement, prints a table for each and writes `bench/out/control.json`. */
export async function run(): Promise<void> {
  const restart: Record<string, unknown>[] = [];
  for (const changes of CHANGE_COUNTS) restart.push(await measureRestart(changes));
  console.table(restart);
  const latency = [await measureLatency()];
  console.table(latency);
  const traffic: Record<string, unknown>[] = [];
  for (const size of GROUP_SIZES) traffic.push(await measureTraffic(size));
  console.table(traffic);
  const leaderLoss = [await measureLeaderLoss()];
  console.table(leaderLoss);
  const machine = {
    cpu: cpus()[0]?.model,
    cores: cpus().length,
    node: process.version,
    runs: RUNS,
  };
  await mkdir('bench/out', { recursive: true });
  const report = { machine, restart, latency, traffic, leaderLoss };
  await writeFile('bench/out/control.json', `${JSON.stringify(report, null, 2)}\n`);
}
