/**
 * Measures service while an availability zone leaves and returns, with separate processes, an open-loop load and one
 * result per second. Scenarios: an operator takes the zone out and brings it back in; the upstreams of the zone are killed
 * and restart cold.
 * Settings by environment: `LOADS` (shares of the capacity, comma-separated), `RUNS`, `FAULTS` (`operator`, `crash`).
 */
import { computeSpread, formatSpread, writeReport } from './stand/report.js';
import { defaultLoad, runLoad, type LoadResult } from './stand/load.js';
import { runCli, startSite, type Site } from './stand/site.js';
import type { TestUpstreamOptions } from './stand/upstream.js';

const ZONES = ['shah-alam', 'putrajaya', 'cyberjaya', 'port-klang'] as const;
const LEAVING_ZONE = 'shah-alam';
const UPSTREAMS_PER_ZONE = 2;
const SLOTS = 6;
const MEDIAN_MS = 20;
const SIGMA = 0.5;
/** Mean of the log-normal service time with this median and sigma. */
const MEAN_MS = MEDIAN_MS * Math.exp((SIGMA * SIGMA) / 2);
const LOAD_SECONDS = 24;
const ZONE_OUT_AT_MS = 6000;
const ZONE_RETURNS_AT_MS = 14_000;
/** Milliseconds for which a started upstream is cold. */
const COLD_MS = 4000;
/** Shares of the load that run for two seconds each before the measurement, to warm the site up. */
const WARM_UP_SHARES = [0.1, 0.3, 0.6, 1] as const;
const RUNS = 3;

type Fault = 'operator' | 'crash';

function buildUpstream(zone: string, at: number): Partial<TestUpstreamOptions> {
  const seed = ZONES.indexOf(zone as (typeof ZONES)[number]) * 100 + at + 1;
  return {
    id: `seam-${zone}-${at}`,
    service: 'seam-records',
    zone,
    slots: SLOTS,
    medianMs: MEDIAN_MS,
    sigma: SIGMA,
    coldMs: COLD_MS,
    coldSlots: 2,
    seed,
  };
}

async function runZoneCommand(site: Site, direction: 'out' | 'in'): Promise<void> {
  const words = ['zone', direction, LEAVING_ZONE, '--wait', 'in-force', '--deadline', '10'];
  await runCli(site.cliArguments, words);
}

async function applyFault(site: Site, fault: Fault, phase: 'leave' | 'return'): Promise<void> {
  switch (fault) {
    case 'operator':
      await runZoneCommand(site, phase === 'leave' ? 'out' : 'in');
      return;
    case 'crash': {
      const ids = site.processes
        .filter((one) => one.zone === LEAVING_ZONE && one.role === 'upstream')
        .map((one) => one.id);
      await Promise.all(
        ids.map((id) => (phase === 'leave' ? site.end(id, 'SIGKILL') : site.restart(id))),
      );
    }
  }
}

function schedule(afterMs: number, run: () => Promise<void>): Promise<void> {
  return new Promise((resolve, reject) => {
    setTimeout(() => {
      run().then(resolve, reject);
    }, afterMs);
  });
}

async function measureFault(fault: Fault, load: number, seed: number): Promise<LoadResult> {
  const upstreams = ZONES.flatMap((zone) =>
    Array.from({ length: UPSTREAMS_PER_ZONE }, (_, at) => buildUpstream(zone, at)),
  );
  const site = await startSite({ controls: 3, entryZones: [...ZONES], upstreams });
  try {
    await new Promise((resolve) => setTimeout(resolve, COLD_MS + 3000));
    const capacity = (upstreams.length * SLOTS * 1000) / MEAN_MS;
    const targets = site.processes.flatMap((one) =>
      one.role === 'entry' ? [`http://${one.addresses.caller ?? ''}/seam-records/records`] : [],
    );
    for (const share of WARM_UP_SHARES) {
      await runLoad({ ...defaultLoad, targets, rate: capacity * load * share, seconds: 2, seed });
    }
    const running = runLoad({
      ...defaultLoad,
      targets,
      rate: capacity * load,
      seconds: LOAD_SECONDS,
      seed,
    });
    const faults = [
      schedule(ZONE_OUT_AT_MS, () => applyFault(site, fault, 'leave')),
      schedule(ZONE_RETURNS_AT_MS, () => applyFault(site, fault, 'return')),
    ];
    const [report] = await Promise.all([running, ...faults]);
    return report;
  } finally {
    await site.stop();
  }
}

/**
 * Runs each scenario, by default three times at 50% and at 65% of the capacity of all zones, and writes
 * `bench/out/zone.json`.
 */
export async function run(): Promise<void> {
  const loads = (process.env.LOADS ?? '0.5,0.65').split(',').map(Number);
  const runs = Number(process.env.RUNS ?? RUNS);
  const faults = (process.env.FAULTS ?? 'operator,crash').split(',') as Fault[];
  const figures: object[] = [];
  for (const fault of faults) {
    for (const load of loads) {
      const reports: LoadResult[] = [];
      for (let at = 1; at <= runs; at += 1) reports.push(await measureFault(fault, load, at));
      const row = {
        fault,
        load,
        runs,
        failedShare: computeSpread(reports.map((one) => one.failed / one.calls)),
        notRunShare: computeSpread(reports.map((one) => one.notRun / one.calls)),
        p50: computeSpread(reports.map((one) => one.p50)),
        p99: computeSpread(reports.map((one) => one.p99)),
        p999: computeSpread(reports.map((one) => one.p999)),
        seconds: reports[0]?.seconds,
        answers: reports.map((one) =>
          Object.entries(one.answers).filter(([word]) => !word.startsWith('200')),
        ),
      };
      figures.push(row);
      console.log(
        `${fault} at ${load}: failed ${formatSpread(row.failedShare, 5)} not run ${formatSpread(row.notRunShare, 5)} p50 ${formatSpread(row.p50)} p99 ${formatSpread(row.p99)} p99.9 ${formatSpread(row.p999)} ms`,
      );
      console.log(
        row.answers
          .map((one) => one.map(([word, count]) => `${count} x ${word}`).join(', '))
          .join(' | '),
      );
      console.log(
        (row.seconds ?? [])
          .map((one) => `${one.second}s ${one.ok}/${one.failed}/${one.p99.toFixed(0)}`)
          .join('  '),
      );
    }
  }
  writeReport('zone', figures);
}
