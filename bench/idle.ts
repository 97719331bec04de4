/**
 * Measures the idle cost of each role: CPU time, memory and bytes per second of separate processes that serve no calls,
 * for several numbers of entries and announced upstreams.
 * Settings by environment: `SIZES`, a comma-separated list of `ENTRIESxUPSTREAMS`.
 */
import { startAnnouncer } from './stand/announcer.js';
import { writeReport } from './stand/report.js';
import { startSite, type Site, type SiteProcess } from './stand/site.js';

const ZONES = ['a-1', 'a-2', 'a-3', 'a-4', 'b-1', 'b-2', 'b-3', 'b-4'] as const;
const SETTLE_MS = 8000;
const MEASURE_MS = 15_000;
/** The token that `startSite` configures. */
const UPSTREAM_TOKEN = 'upstream token for loopback';

interface Sample {
  readonly cpuSeconds: number;
  readonly residentBytes: number;
  readonly sentBytes: number;
  readonly receivedBytes: number;
  readonly upstreams: number;
  readonly leader: boolean;
}

async function readSample(process: SiteProcess): Promise<Sample> {
  const text = await (await fetch(`http://${process.addresses.platform ?? ''}/metrics`)).text();
  const read = (name: string): number =>
    Number(new RegExp(`^${name}(?:\\{[^}]*\\})? (\\S+)$`, 'm').exec(text)?.[1] ?? 0);
  return {
    cpuSeconds: read('process_cpu_seconds_total'),
    residentBytes: read('process_resident_memory_bytes'),
    sentBytes: read('chivewalk_peer_sent_bytes'),
    receivedBytes: read('chivewalk_peer_received_bytes'),
    upstreams: read('chivewalk_upstreams'),
    leader: read('chivewalk_control_leader') === 1,
  };
}

interface Row {
  readonly entries: number;
  readonly upstreams: number;
  readonly role: string;
  readonly processes: number;
  readonly cpuPercent: number;
  readonly residentMb: number;
  readonly sentKbPerSecond: number;
  readonly receivedKbPerSecond: number;
  readonly known: number;
}

function computeMean(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0) / values.length;
}

async function measureSite(
  site: Site,
  entries: number,
  upstreams: number,
): Promise<readonly Row[]> {
  await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
  const daemons = site.processes.filter((one) => one.role !== 'upstream');
  const before = await Promise.all(daemons.map(readSample));
  const startedAt = performance.now();
  await new Promise((resolve) => setTimeout(resolve, MEASURE_MS));
  const after = await Promise.all(daemons.map(readSample));
  const seconds = (performance.now() - startedAt) / 1000;
  const rows = daemons.map((process, at) => {
    const first = before[at];
    const last = after[at];
    if (first === undefined || last === undefined) throw new Error('no sample');
    return {
      role:
        process.role === 'entry' ? 'entry' : last.leader ? 'control leader' : 'control follower',
      cpuPercent: ((last.cpuSeconds - first.cpuSeconds) / seconds) * 100,
      residentMb: last.residentBytes / 1024 / 1024,
      sent: (last.sentBytes - first.sentBytes) / 1024 / seconds,
      received: (last.receivedBytes - first.receivedBytes) / 1024 / seconds,
      known: last.upstreams,
    };
  });
  return [...new Set(rows.map((row) => row.role))].map((role) => {
    const same = rows.filter((row) => row.role === role);
    return {
      entries,
      upstreams,
      role,
      processes: same.length,
      cpuPercent: Math.max(...same.map((row) => row.cpuPercent)),
      residentMb: Math.max(...same.map((row) => row.residentMb)),
      sentKbPerSecond: computeMean(same.map((row) => row.sent)),
      receivedKbPerSecond: computeMean(same.map((row) => row.received)),
      known: Math.min(...same.map((row) => row.known)),
    };
  });
}

async function measureSize(entries: number, upstreams: number): Promise<readonly Row[]> {
  const entryZones = Array.from({ length: entries }, (_, at) => ZONES[at % ZONES.length] ?? '');
  const site = await startSite({ controls: 3, entryZones, upstreams: [] });
  const listeners = site.processes.flatMap((one) => one.addresses.upstream ?? []);
  const services = Math.max(1, Math.round((upstreams * 92) / 530));
  const stop = startAnnouncer({
    upstreams,
    services,
    zones: ZONES,
    entries: listeners,
    token: UPSTREAM_TOKEN,
  });
  try {
    return await measureSite(site, entries, upstreams);
  } finally {
    await stop();
    await site.stop();
  }
}

/** Measures each size once, prints one row per role and writes `bench/out/idle.json`. */
export async function run(): Promise<void> {
  const sizes = (process.env.SIZES ?? '6x36,22x150,22x530,40x530')
    .split(',')
    .map((size) => size.split('x').map(Number));
  const rows: Row[] = [];
  for (const [entries = 0, upstreams = 0] of sizes)
    rows.push(...(await measureSize(entries, upstreams)));
  console.table(
    rows.map((row) => ({
      ...row,
      cpuPercent: row.cpuPercent.toFixed(2),
      residentMb: row.residentMb.toFixed(0),
      sentKbPerSecond: row.sentKbPerSecond.toFixed(2),
      receivedKbPerSecond: row.receivedKbPerSecond.toFixed(2),
    })),
  );
  writeReport('idle', rows);
}
