/**
 * Runs a gateway or a steward as a process. Invariant: a steward's listeners close before the components that
 * they call, a gateway's readiness and directory listeners only after it stopped; a process that receives
 * SIGTERM or SIGINT logs this before it exits.
 */
import { existsSync, rmSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import {
  applyCommand,
  decodeCatalog,
  emptyCatalog,
  encodeCatalog,
  type Catalog,
  type CatalogCommand,
} from '../catalog/index.js';
import {
  openControl,
  toAddress,
  type ControlNode,
  type StateMachine,
  type Timings,
} from '../control/index.js';
import {
  createPublisher,
  FEED_CHANNEL,
  type FeedMessage,
  type GroupStatus,
} from '../feed/index.js';
import { openGateway, type Gateway, type HeaderDialect } from '../gateway/index.js';
import { parseAddress, type Address, type Duration } from '../model/index.js';
import type { Settings } from '../settings/index.js';
import { createSteward, type Steward } from '../steward/index.js';
import {
  applyLogLevel,
  createMetricsServer,
  createLogger,
  createMetrics,
  standardOutput,
  type Metrics,
} from '../telemetry/index.js';
import { createMesh, type Mesh } from '../wire/index.js';

const log = createLogger('daemon');

/**
 * Consensus timings of the stewards, in milliseconds. A lost leader is replaced within about a second, because
 * orders have to be acknowledged within a few seconds.
 */
const STEWARD_TIMINGS: Timings = {
  heartbeat: 120,
  largeGroupHeartbeat: 120,
  electionMin: 600,
  electionMax: 1200,
  firstElectionMax: 400,
};
/** Interval in milliseconds at which a steward asks the seeds for the members of its group. */
const DISCOVERY_INTERVAL: Duration = 200;
/** Milliseconds after which a steward exits when a write to its disk failed, so that it is restarted. */
const DISK_FAILURE_EXIT_DELAY: Duration = 1000;
/** Milliseconds between attempts to open a data folder that can't be written. */
const OPEN_RETRY_INTERVAL: Duration = 500;

/** Listeners that serve the protocol of the platform on which chivewalk runs. */
export interface Listeners {
  close(): void;
}

/** Adapts gateways and stewards to the platform on which chivewalk runs. */
export interface PlatformAdapter {
  readonly dialect: HeaderDialect;
  readonly openGatewayListeners: (gateway: Gateway, settings: Settings) => Promise<Listeners>;
  readonly openStewardListeners: (steward: Steward, settings: Settings) => Promise<Listeners>;
}

interface RunningRole {
  stop(): Promise<void>;
}

const catalogMachine: StateMachine<Catalog> = {
  initial: emptyCatalog,
  apply: (state, command) => {
    const { state: next, outcome } = applyCommand(state, command as CatalogCommand);
    return { state: next, result: outcome };
  },
  encode: encodeCatalog,
  decode: decodeCatalog,
};

function listSeeds(seeds: readonly Address[], port: number): readonly Address[] {
  return seeds.map((seed) => `${parseAddress(seed).host}:${port}`);
}

/** Asks the seeds for the members of the group until one of them answers. */
async function findMembers(mesh: Mesh, seeds: readonly Address[]): Promise<readonly Address[]> {
  let found: readonly Address[] = [];
  mesh.handle(FEED_CHANNEL, (_, message) => {
    const answer = message as FeedMessage;
    if (answer.kind === 'found' && answer.members.length > 0) found = answer.members;
  });
  while (found.length === 0) {
    seeds
      .filter((seed) => seed !== mesh.address)
      .forEach((seed) => {
        mesh.send(seed, FEED_CHANNEL, { kind: 'find' } satisfies FeedMessage);
      });
    await sleep(DISCOVERY_INTERVAL);
  }
  return found;
}

async function openNode(
  settings: NonNullable<Settings['steward']>,
  mesh: Mesh,
): Promise<ControlNode<Catalog>> {
  const seeds = listSeeds(settings.seeds, settings.steward_port);
  const isFounder = settings.first_start === true && seeds.includes(mesh.address);
  const hasStoredIdentity = existsSync(join(settings.data_folder, 'identity.json'));
  const members = isFounder || hasStoredIdentity ? seeds : await findMembers(mesh, seeds);
  try {
    return await openControl<Catalog>({
      address: mesh.address,
      members: [...new Set([...members, mesh.address])],
      join: !isFounder,
      dataFolder: settings.data_folder,
      mesh,
      machine: catalogMachine,
      timings: STEWARD_TIMINGS,
      onProblem: ({ kind, message }) => {
        log.warn(message, { kind });
        if (kind === 'writeFailed') setTimeout(() => process.exit(1), DISK_FAILURE_EXIT_DELAY);
      },
    });
  } catch (error) {
    log.warn('cannot open the data folder: free space on the disk or repair it', {
      reason: String(error),
    });
    await sleep(OPEN_RETRY_INTERVAL);
    return openNode(settings, mesh);
  }
}

async function startSteward(
  settings: Settings,
  mesh: Mesh,
  metrics: Metrics,
  adapter: PlatformAdapter,
): Promise<RunningRole> {
  const stewardSettings = settings.steward;
  if (stewardSettings === undefined) throw new Error('settings have no section [steward]: add it');
  const now = (): number => performance.now();
  const node = await openNode(stewardSettings, mesh);
  const seeds = listSeeds(stewardSettings.seeds, stewardSettings.steward_port);
  const group = watchGroup(node, mesh, seeds, stewardSettings.data_folder);
  const steward = createSteward({
    control: node,
    findLeader: group.findLeader,
    announceInterval: stewardSettings.announce_interval_ms ?? 0,
    now,
    wallNow: Date.now,
  });
  const publisher = createPublisher({
    mesh,
    control: node,
    now,
    listCold: () => steward.listCold(),
    onGroupFound: group.handleGroupStatus,
    onEvidence: (rows) => {
      steward.addEvidence(rows);
    },
  });
  const listeners = await adapter.openStewardListeners(steward, settings);
  const gauges: readonly (readonly [string, string, () => number])[] = [
    [
      'chivewalk_steward_leader',
      '1 while this steward leads.',
      () => Number(node.status.role === 'leader'),
    ],
    ['chivewalk_steward_term', 'Current term.', () => node.status.term],
    ['chivewalk_steward_commit_index', 'Newest committed entry.', () => node.status.commitIndex],
    ['chivewalk_steward_members', 'Members of the group.', () => node.status.members.length],
    [
      'chivewalk_steward_voters',
      'Members that vote.',
      () => node.status.members.filter(({ voter }) => voter).length,
    ],
    ['chivewalk_steward_gateways', 'Gateways that are alive.', () => publisher.entries.length],
    [
      'chivewalk_steward_routes_version',
      'Version of the routes.',
      () => node.applied.table?.version ?? 0,
    ],
  ];
  gauges.forEach(([name, help, read]) => {
    metrics.watchGauge(name, help, read);
  });
  watchRole(node);
  return {
    stop: async () => {
      listeners.close();
      steward.close();
      await node.close();
      publisher.close();
    },
  };
}

/** Result of {@link watchGroup}. */
interface GroupWatch {
  readonly handleGroupStatus: (status: GroupStatus) => void;
  /** Returns the leader that another process reported within {@link REPORTED_LEADER_TTL}. */
  readonly findLeader: () => Address | undefined;
}

/**
 * Queries the seeds and the known members about the group while this steward knows no leader. A member that
 * was replaced while it was unreachable deletes its data and rejoins; it only accepts this from a group that has
 * a leader without it. A steward that was never admitted waits to be admitted, and redirects calls to the
 * leader in the meantime.
 */
function watchGroup(
  node: ControlNode<Catalog>,
  mesh: Mesh,
  seeds: readonly Address[],
  folder: string,
): GroupWatch {
  let leaderLastSeenAt = performance.now();
  let reported: { readonly leader: Address | undefined; readonly receivedAt: number } | undefined;
  const isForming = (): boolean => node.status.role === 'newborn';
  const hasNoLeader = (): boolean => performance.now() - leaderLastSeenAt > LEADERLESS_TIMEOUT;
  setInterval(() => {
    if (node.status.leader !== undefined) leaderLastSeenAt = performance.now();
    if (!hasNoLeader() && !isForming()) return;
    const known = node.status.members.map(({ id }) => toAddress(id));
    [...new Set([...seeds, ...known])]
      .filter((address) => address !== mesh.address)
      .forEach((address) => {
        mesh.send(address, FEED_CHANNEL, { kind: 'find' } satisfies FeedMessage);
      });
  }, GROUP_QUERY_INTERVAL).unref();
  return {
    findLeader: () =>
      reported !== undefined && performance.now() - reported.receivedAt < REPORTED_LEADER_TTL
        ? reported.leader
        : undefined,
    handleGroupStatus: ({ members, healthy, leader }) => {
      if (!healthy) return;
      reported = { leader, receivedAt: performance.now() };
      const known = node.status.members.map(({ id }) => toAddress(id));
      const isWaitingForAdmission = isForming() && members.some((member) => known.includes(member));
      if (isWaitingForAdmission || !hasNoLeader() || members.includes(mesh.address)) return;
      log.warn('the group replaced this member: deleting its data folder to rejoin', {
        members,
      });
      standardOutput.flush();
      rmSync(folder, { recursive: true, force: true });
      setTimeout(() => process.exit(1), EXIT_DELAY);
    },
  };
}

/** Milliseconds without a leader after which a member asks whether it still belongs to the group. */
const LEADERLESS_TIMEOUT: Duration = 5000;
/** Interval in milliseconds of the queries about the group. */
const GROUP_QUERY_INTERVAL: Duration = 500;
/** Milliseconds for which a leader reported by another process is used; a few query intervals. */
const REPORTED_LEADER_TTL: Duration = 2000;

/** Logs changes of this member's role, term, leader and group. */
function watchRole(node: ControlNode<Catalog>): void {
  let lastDescription = '';
  setInterval(() => {
    const { role, term, leader, commitIndex, members } = node.status;
    const description = `${role} ${term} ${leader ?? ''} ${members.map(({ id, voter }) => `${id}${voter ? '' : '?'}`).join()}`;
    if (description === lastDescription) return;
    lastDescription = description;
    const ids = members.map(({ id }) => id);
    log.info('control role changed', {
      role,
      term,
      leader: leader ?? '',
      commitIndex,
      members: ids,
    });
  }, ROLE_WATCH_INTERVAL).unref();
}

/** Interval in milliseconds at which the role of the member is checked for changes. */
const ROLE_WATCH_INTERVAL: Duration = 250;

async function startGateway(
  settings: Settings,
  mesh: Mesh,
  metrics: Metrics,
  adapter: PlatformAdapter,
): Promise<RunningRole> {
  const gatewaySettings = settings.gateway;
  if (gatewaySettings === undefined) throw new Error('settings have no section [gateway]: add it');
  const gateway = await openGateway({
    id: settings.process.id,
    zone: settings.process.zone,
    capacity: gatewaySettings.capacity ?? 0,
    callerListen: gatewaySettings.caller_listen,
    mesh,
    seeds: listSeeds(gatewaySettings.seeds, gatewaySettings.steward_port),
    dialect: adapter.dialect,
    retryBounds: {
      ratio: gatewaySettings.retry_ratio ?? 0,
      slack: gatewaySettings.retry_slack ?? 0,
    },
    coldBounds: {
      factor: gatewaySettings.cold_factor ?? 1,
      slack: gatewaySettings.cold_slack ?? 0,
    },
    probeInterval: gatewaySettings.probe_interval_ms ?? 0,
    probeRate: gatewaySettings.probe_rate ?? 0,
    stopTime: gatewaySettings.stop_time_ms,
    recordCall: (service, outcome, latency) => {
      metrics.recordCall({ service, outcome, latency });
    },
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
      () => Object.keys(gateway.view.catalog.instances).length,
    ],
    ['chivewalk_gateway_peers', 'Gateways that are alive.', () => gateway.view.entries.length],
    [
      'chivewalk_gateway_upstream_connections_total',
      'Connections to upstreams opened.',
      () => gateway.openedConnections,
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
    stop: async () => {
      await gateway.stop();
      listeners.close();
    },
  };
}

function waitForStopSignal(): Promise<string> {
  return new Promise((resolve) => {
    (['SIGTERM', 'SIGINT'] as const).forEach((signal) => {
      process.once(signal, () => {
        resolve(signal);
      });
    });
  });
}

/**
 * Runs the process that the settings describe until it receives SIGTERM or SIGINT. On SIGHUP, `reload` reads
 * the settings again and the log level is applied.
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
  const stopped = waitForStopSignal();
  const mesh = await createMesh({
    address: settings.peer.listen,
    secret: settings.site.secret,
    onProblem: (peer, problem) => {
      log.info('peer connection failed', { peer, reason: problem });
    },
  });
  const metrics = createMetrics({ process: id, zone });
  const listen = settings.platform?.listen;
  const exposition = listen === undefined ? undefined : await createMetricsServer(listen, metrics);
  const start = roles.includes('steward') ? startSteward : startGateway;
  process.on('SIGHUP', () => {
    const next = reload();
    if (next !== undefined) applyLogLevel(next.telemetry?.log_level ?? 'info');
    log.info('settings reloaded', { outcome: next === undefined ? 'refused' : 'log level taken' });
  });
  const running = await Promise.race([start(settings, mesh, metrics, adapter), stopped]);
  log.info('process started', { id, zone, roles });
  const signal = await stopped;
  log.info('process stopping', { signal });
  if (typeof running !== 'string') await running.stop();
  exposition?.close();
  await mesh.close();
  log.info('process stopped');
  standardOutput.flush();
  // Connections that idle callers or peers keep open must not keep the process running.
  setTimeout(() => process.exit(0), EXIT_DELAY).unref();
}

/** Milliseconds before the process exits, so that the last log lines are written. */
const EXIT_DELAY: Duration = 100;
