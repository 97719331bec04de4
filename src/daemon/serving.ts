/**
 * Runs a gateway or a steward as a process. Invariant: a steward's listeners close before the components that
 * they call, a gateway's readiness and directory listeners only after it stopped; a process that receives
 * SIGTERM or SIGINT logs this before it exits.
 */
import { randomBytes } from 'node:crypto';
import { DEFAULT_FRESH_FOR } from '../feed/index.js';
import { openGateway } from '../gateway/index.js';
import type { Duration } from '../model/index.js';
import type { Settings } from '../settings/index.js';
import {
  applyLogLevel,
  createMetricsServer,
  createLogger,
  createMetrics,
  standardOutput,
  type Metrics,
} from '../telemetry/index.js';
import { DEFAULT_WINDOW_MS, UsageCounter } from '../usage/index.js';
import { createMesh, type Mesh } from '../wire/index.js';
import type { PlatformAdapter, RunningRole } from './adapter.js';
import { applyClientLimits } from './clientlimits.js';
import { CurrentSeeds } from './seeds.js';
import { startSteward } from './steward.js';
import { waitForStopSignal } from './stopsignal.js';

const log = createLogger('daemon');

const BYTES_PER_MEGABIT = 125_000;

/** Returns the counter of this start, whose name no other start has, where settings ask for usage reports. */
function createUsageCounter({ usage, process: { id } }: Settings): UsageCounter | undefined {
  if (usage === undefined) return undefined;
  return new UsageCounter({
    source: `${id}/${randomBytes(4).toString('hex')}`,
    windowMs: usage.window_ms ?? DEFAULT_WINDOW_MS,
    now: () => performance.now(),
    wallNow: Date.now,
  });
}

async function startGateway(
  settings: Settings,
  mesh: Mesh,
  metrics: Metrics,
  adapter: PlatformAdapter,
  seeds: CurrentSeeds,
): Promise<RunningRole> {
  const gatewaySettings = settings.gateway;
  if (gatewaySettings === undefined) throw new Error('settings have no section [gateway]: add it');
  const gateway = await openGateway({
    id: settings.process.id,
    zone: settings.process.zone,
    capacity: gatewaySettings.capacity ?? 0,
    linkRate:
      settings.process.link_mbps === undefined
        ? undefined
        : settings.process.link_mbps * BYTES_PER_MEGABIT,
    memory: settings.process.memory_mb ?? 0,
    callerListen: gatewaySettings.caller_listen,
    mesh,
    seeds: seeds.list,
    dialect: adapter.dialect,
    retryBounds: {
      ratio: gatewaySettings.retry_ratio ?? 0,
      slack: gatewaySettings.retry_slack ?? 0,
    },
    maxExtraWork: settings.hedging?.max_extra_work,
    coldBounds: {
      factor: gatewaySettings.cold_factor ?? 1,
      slack: gatewaySettings.cold_slack ?? 0,
    },
    probeInterval: gatewaySettings.probe_interval_ms ?? 0,
    probeRate: gatewaySettings.probe_rate ?? 0,
    stopTime: gatewaySettings.stop_time_ms,
    maxStateAge: gatewaySettings.max_state_age_ms ?? DEFAULT_FRESH_FOR,
    usage: createUsageCounter(settings),
    recordCall: (service, outcome, latency) => {
      metrics.recordCall({ service, outcome, latency });
    },
  });
  seeds.onChange((changed) => {
    gateway.setSeeds(changed);
  });
  const listeners = await adapter.openGatewayListeners(gateway, settings);
  const gauges: readonly (readonly [string, string, () => number])[] = [
    [
      'chivewalk_gateway_catalog_index',
      'Newest command that is in force here.',
      () => gateway.view.index,
    ],
    [
      'chivewalk_gateway_routes_version',
      'Version of the routes.',
      () => gateway.view.catalog.table?.version ?? 0,
    ],
    [
      'chivewalk_gateway_upstreams',
      'Upstreams that are known.',
      () => gateway.view.catalog.instances.size,
    ],
    [
      'chivewalk_gateway_state_age_ms',
      'Milliseconds since the state was certainly current.',
      () => Math.round(gateway.stateAge),
    ],
    [
      'chivewalk_gateway_rejecting_upstreams',
      'Upstreams that reject requests although they have free slots.',
      () => gateway.rejectingUpstreams,
    ],
    ['chivewalk_gateway_hedges_total', 'Hedges sent.', () => gateway.hedging.counts.sent],
    [
      'chivewalk_gateway_hedges_won_total',
      'Hedges that were answered first.',
      () => gateway.hedging.counts.won,
    ],
    [
      'chivewalk_gateway_hedge_extra_work_ms',
      'Milliseconds of attempts that were cancelled because another one was answered first.',
      () => Math.round(gateway.hedging.counts.extraWork),
    ],
    ['chivewalk_gateway_peers', 'Gateways that are alive.', () => gateway.view.entries.length],
    [
      'chivewalk_gateway_upstream_connections_total',
      'Connections to upstreams opened.',
      () => gateway.connections.opened,
    ],
    [
      'chivewalk_gateway_stray_responses_total',
      'Responses of upstreams that do not name the request that was sent last.',
      () => gateway.connections.strayResponses,
    ],
    [
      'chivewalk_gateway_reset_responses_total',
      'Responses cut by a reset that was reported as an end.',
      () => gateway.connections.resetResponses,
    ],
    ['chivewalk_gateway_held_bytes', 'Bytes of the messages held.', () => gateway.buffers.total],
    [
      'chivewalk_gateway_held_bytes_limit',
      'Limit of the bytes of the messages held.',
      () => gateway.buffers.limit,
    ],
    [
      'chivewalk_gateway_waiting_answers',
      'Answers that are not read until there is room for them.',
      () => gateway.buffers.waiting,
    ],
    [
      'chivewalk_gateway_refused_for_memory_total',
      'Requests refused because there was no room for them.',
      () => gateway.buffers.refused,
    ],
    [
      'chivewalk_gateway_waiting_requests',
      'Requests that wait for capacity.',
      () => gateway.waits.waiting,
    ],
    [
      'chivewalk_gateway_waited_requests_total',
      'Requests sent after they waited for capacity.',
      () => gateway.waits.served,
    ],
    [
      'chivewalk_gateway_waited_ms_total',
      'Milliseconds for which these requests waited.',
      () => Math.round(gateway.waits.waitedTime),
    ],
    [
      'chivewalk_gateway_left_waiting_total',
      'Requests whose wait ended otherwise, as by callers that disconnected.',
      () => gateway.waits.left,
    ],
    [
      'chivewalk_gateway_refused_no_time_total',
      'Requests refused because no capacity was expected in time.',
      () => gateway.waits.refused.noTime,
    ],
    [
      'chivewalk_gateway_refused_displaced_total',
      'Requests refused because others took their place in the queue.',
      () => gateway.waits.refused.displaced,
    ],
    [
      'chivewalk_gateway_refused_reserved_total',
      'Requests refused because capacity is reserved for more urgent ones.',
      () => gateway.waits.refused.reserved,
    ],
    [
      'chivewalk_gateway_refused_stopping_total',
      'Requests that found no room in a stop.',
      () => gateway.waits.refused.stopping,
    ],
    [
      'chivewalk_gateway_refused_for_age_total',
      'Requests refused because the state was too old.',
      () => gateway.refusals.forAge,
    ],
    [
      'chivewalk_gateway_refused_for_key_total',
      'Requests refused because their key is missing, malformed or not known.',
      () => gateway.refusals.forKey,
    ],
    [
      'chivewalk_gateway_caller_connections',
      "Callers' connections that are open.",
      () => gateway.callers.size,
    ],
    [
      'chivewalk_gateway_running_requests',
      'Requests that are being served.',
      () => gateway.callers.running,
    ],
    [
      'chivewalk_gateway_requests_cut_off_total',
      'Requests and answers cut off by the end of a stop.',
      () => gateway.callers.cutOff,
    ],
    [
      'chivewalk_gateway_upstream_crashes_total',
      'Upstreams that crashed while requests of this gateway were in flight there.',
      () => gateway.quarantine.crashes,
    ],
    [
      'chivewalk_gateway_quarantined',
      'Requests that are refused because they crashed upstreams, counted by fingerprint.',
      () => gateway.quarantine.size,
    ],
    [
      'chivewalk_log_lines_dropped',
      'Log lines dropped and not yet told of.',
      () => standardOutput.dropped,
    ],
  ];
  gauges.forEach(([name, help, read]) => {
    metrics.watchGauge(name, help, read);
  });
  return {
    get isLost() {
      return gateway.isLost;
    },
    stop: async (signalledAt) => {
      await gateway.stop(signalledAt);
      listeners.close();
    },
  };
}

function applySeeds(seeds: CurrentSeeds, settings: Settings): void {
  if (seeds.apply(settings)) log.info('seeds read again', { seeds: seeds.list });
}

/**
 * Runs the process that the settings describe until it receives SIGTERM or SIGINT. On SIGHUP, `reload` reads
 * the settings again, and the log level and the seeds are applied; the seeds also every 2 s while the process is lost.
 *
 * @example
 * await runServing(settings, adapter, () => loadSettings(file));
 */
export async function runServing(
  settings: Settings,
  adapter: PlatformAdapter,
  reload: () => Settings | undefined,
): Promise<void> {
  const { id, zone, roles } = settings.process;
  applyLogLevel(settings.telemetry?.log_level ?? 'info');
  if (settings.telemetry?.log_lines_per_s !== undefined) {
    standardOutput.setRate(settings.telemetry.log_lines_per_s);
  }
  const stopped = waitForStopSignal(() => performance.now());
  const metrics = createMetrics({ process: id, zone });
  applyClientLimits(settings, metrics);
  const mesh = await createMesh({
    address: settings.peer.listen,
    secret: settings.site.secret,
    onProblem: (peer, problem) => {
      log.info('peer connection failed', { peer, reason: problem });
    },
  });
  const listen = settings.platform?.listen;
  const exposition = listen === undefined ? undefined : await createMetricsServer(listen, metrics);
  const start = roles.includes('steward') ? startSteward : startGateway;
  const seeds = new CurrentSeeds(settings);
  process.on('SIGHUP', () => {
    const next = reload();
    if (next !== undefined) {
      applyLogLevel(next.telemetry?.log_level ?? 'info');
      applySeeds(seeds, next);
    }
    log.info('settings reloaded', { outcome: next === undefined ? 'refused' : 'log level taken' });
  });
  let role: RunningRole | undefined;
  const rereading = setInterval(() => {
    const next = role === undefined || role.isLost ? reload() : undefined;
    if (next !== undefined) applySeeds(seeds, next);
  }, REREAD_INTERVAL).unref();
  const running = await Promise.race([start(settings, mesh, metrics, adapter, seeds), stopped]);
  if ('stop' in running) role = running;
  log.info('process started', { id, zone, roles });
  const { signal, notBefore } = await stopped;
  clearInterval(rereading);
  log.info('process stopping', { signal });
  await role?.stop(notBefore);
  exposition?.close();
  await mesh.close();
  log.info('process stopped');
  standardOutput.flush();
  // Connections that idle callers or peers keep open must not keep the process running.
  setTimeout(() => process.exit(0), EXIT_DELAY).unref();
}

/** Interval in milliseconds at which a process that knows no leader reads its settings again. */
const REREAD_INTERVAL: Duration = 2000;
/** Milliseconds before the process exits, so that the last log lines are written. */
const EXIT_DELAY: Duration = 100;
