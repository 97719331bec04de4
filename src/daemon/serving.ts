/**
 * Runs a gateway or a steward as a process. Invariant: listeners close before what they speak to, and the
 * process has logged its stop before it ends.
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
import { createPublisher, FEED_CHANNEL, type FeedMessage, type GroupNews } from '../feed/index.js';
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
 * Timings of the agreement among stewards: a lost leader is replaced within about a second, as orders are
 * acknowledged within few seconds.
 */
const STEWARD_TIMINGS: Timings = {
  heartbeat: 120,
  largeGroupHeartbeat: 120,
  electionMin: 600,
  electionMax: 1200,
  firstElectionMax: 400,
};
/** Milliseconds between two questions of a steward that looks for its group. */
const FIND_INTERVAL: Duration = 200;
/** Milliseconds after which a steward whose disk failed ends, to be started anew. */
const FAILED_DISK_DELAY: Duration = 1000;
/** Milliseconds between two tries to open a data folder that can't be written. */
const OPEN_RETRY: Duration = 500;

/** Listeners that speak the language of the place where chivewalk runs. */
export interface Listeners {
  close(): void;
}

/** What the place where chivewalk runs adds. */
export interface ServingAdapter {
  readonly dialect: HeaderDialect;
  readonly openGatewayListeners: (gateway: Gateway, settings: Settings) => Promise<Listeners>;
  readonly openStewardListeners: (steward: Steward, settings: Settings) => Promise<Listeners>;
}

interface Running {
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

/** Asks the seeds for the members of the group until one answers. */
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
    await sleep(FIND_INTERVAL);
  }
  return found;
}

async function openNode(
  settings: NonNullable<Settings['steward']>,
  mesh: Mesh,
): Promise<ControlNode<Catalog>> {
  const seeds = listSeeds(settings.seeds, settings.steward_port);
  const isFounder = settings.first_start === true && seeds.includes(mesh.address);
  const isKnown = existsSync(join(settings.data_folder, 'identity.json'));
  const members = isFounder || isKnown ? seeds : await findMembers(mesh, seeds);
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
        if (kind === 'writeFailed') setTimeout(() => process.exit(1), FAILED_DISK_DELAY);
      },
    });
  } catch (error) {
    log.warn('the data folder cannot be opened: free or repair the disk', {
      reason: String(error),
    });
    await sleep(OPEN_RETRY);
    return openNode(settings, mesh);
  }
}

async function startSteward(
  settings: Settings,
  mesh: Mesh,
  metrics: Metrics,
  adapter: ServingAdapter,
): Promise<Running> {
  const own = settings.steward;
  if (own === undefined) throw new Error('settings have no section [steward]: add it');
  const now = (): number => performance.now();
  const node = await openNode(own, mesh);
  const seeds = listSeeds(own.seeds, own.steward_port);
  const group = watchGroup(node, mesh, seeds, own.data_folder);
  const steward = createSteward({
    control: node,
    findLeader: group.findLeader,
    announceInterval: own.announce_interval_ms ?? 0,
    now,
    wallNow: Date.now,
  });
  const publisher = createPublisher({
    mesh,
    control: node,
    now,
    listCold: () => steward.listCold(),
    onFound: group.takeNews,
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

/** What {@link watchGroup} returns. */
interface GroupWatch {
  readonly takeNews: (news: GroupNews) => void;
  /** Returns the leader that another process told of lately. */
  readonly findLeader: () => Address | undefined;
}

/**
 * Asks others about the group while this steward knows no leader. A member that was replaced while it was away
 * joins anew; only a group that has a leader without it may say so. A steward that was never admitted waits for
 * a place, and sends callers to the leader meanwhile.
 */
function watchGroup(
  node: ControlNode<Catalog>,
  mesh: Mesh,
  seeds: readonly Address[],
  folder: string,
): GroupWatch {
  let leaderSeenAt = performance.now();
  let told: { readonly leader: Address | undefined; readonly at: number } | undefined;
  const isNewborn = (): boolean => node.status.role === 'newborn';
  const hasNoLeader = (): boolean => performance.now() - leaderSeenAt > EXCLUSION_SILENCE;
  setInterval(() => {
    if (node.status.leader !== undefined) leaderSeenAt = performance.now();
    if (!hasNoLeader() && !isNewborn()) return;
    const known = node.status.members.map(({ id }) => toAddress(id));
    [...new Set([...seeds, ...known])]
      .filter((address) => address !== mesh.address)
      .forEach((address) => {
        mesh.send(address, FEED_CHANNEL, { kind: 'find' } satisfies FeedMessage);
      });
  }, GROUP_INTERVAL).unref();
  return {
    findLeader: () =>
      told !== undefined && performance.now() - told.at < TOLD_TIME ? told.leader : undefined,
    takeNews: ({ members, healthy, leader }) => {
      if (!healthy) return;
      told = { leader, at: performance.now() };
      const known = node.status.members.map(({ id }) => toAddress(id));
      const isWaiting = isNewborn() && members.some((member) => known.includes(member));
      if (isWaiting || !hasNoLeader() || members.includes(mesh.address)) return;
      log.warn('the group replaced this member: it empties its folder and joins anew', {
        members,
      });
      standardOutput.flush();
      rmSync(folder, { recursive: true, force: true });
      setTimeout(() => process.exit(1), EXIT_DELAY);
    },
  };
}

/** Milliseconds without a leader after which a member asks whether it still belongs to the group. */
const EXCLUSION_SILENCE: Duration = 5000;
/** Milliseconds between two questions about the group. */
const GROUP_INTERVAL: Duration = 500;
/** Milliseconds for which the leader that another process told of is believed; a few questions. */
const TOLD_TIME: Duration = 2000;

/** Logs changes of what the member is. */
function watchRole(node: ControlNode<Catalog>): void {
  let known = '';
  setInterval(() => {
    const { role, term, leader, commitIndex, members } = node.status;
    const text = `${role} ${term} ${leader ?? ''} ${members.map(({ id, voter }) => `${id}${voter ? '' : '?'}`).join()}`;
    if (text === known) return;
    known = text;
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

/** Milliseconds between two looks at the role of a member. */
const ROLE_WATCH_INTERVAL: Duration = 250;

async function startGateway(
  settings: Settings,
  mesh: Mesh,
  metrics: Metrics,
  adapter: ServingAdapter,
): Promise<Running> {
  const own = settings.gateway;
  if (own === undefined) throw new Error('settings have no section [gateway]: add it');
  const gateway = await openGateway({
    id: settings.process.id,
    zone: settings.process.zone,
    capacity: own.capacity ?? 0,
    callerListen: own.caller_listen,
    mesh,
    seeds: listSeeds(own.seeds, own.steward_port),
    dialect: adapter.dialect,
    retryBounds: { ratio: own.retry_ratio ?? 0, slack: own.retry_slack ?? 0 },
    coldBounds: { factor: own.cold_factor ?? 1, slack: own.cold_slack ?? 0 },
    probeInterval: own.probe_interval_ms ?? 0,
    probeRate: own.probe_rate ?? 0,
    stopTime: own.stop_time_ms,
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

function waitForStop(): Promise<string> {
  return new Promise((resolve) => {
    (['SIGTERM', 'SIGINT'] as const).forEach((signal) => {
      process.once(signal, () => {
        resolve(signal);
      });
    });
  });
}

/**
 * Runs the process that the settings describe until it is told to stop. `reload` reads the settings anew.
 *
 * @example
 * await runServing(settings, adapter, () => loadSettings(file));
 */
export async function runServing(
  settings: Settings,
  adapter: ServingAdapter,
  reload: () => Settings | undefined,
): Promise<void> {
  const { id, zone, roles } = settings.process;
  applyLogLevel(settings.telemetry?.log_level ?? 'info');
  if (settings.telemetry?.log_lines_per_s !== undefined) {
    standardOutput.setRate(settings.telemetry.log_lines_per_s);
  }
  const stopped = waitForStop();
  const mesh = await createMesh({
    address: settings.peer.listen,
    secret: settings.site.secret,
    onProblem: (peer, problem) => {
      log.info('connection to another process was lost', { peer, reason: problem });
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
  log.info('process runs', { id, zone, roles });
  const signal = await stopped;
  log.info('process stops', { signal });
  if (typeof running !== 'string') await running.stop();
  exposition?.close();
  await mesh.close();
  log.info('process stopped');
  standardOutput.flush();
  // What idle callers or peers hold open must not keep the process.
  setTimeout(() => process.exit(0), EXIT_DELAY).unref();
}

/** Milliseconds for the last lines of the log. */
const EXIT_DELAY: Duration = 100;
