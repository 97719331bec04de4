/**
 * Runs a steward. Invariant: only one opening of the data folder is in use at a time, and its listeners close
 * before the components that they call.
 */
import { existsSync } from 'node:fs';
import { readdir, rename, rm, writeFile } from 'node:fs/promises';
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
  hasGroup,
  openControl,
  type ControlNode,
  type ControlProblem,
  type StateMachine,
  type Timings,
} from '../control/index.js';
import { createPublisher, type Publisher } from '../feed/index.js';
import type { Duration } from '../model/index.js';
import type { Settings } from '../settings/index.js';
import {
  createSteward,
  createUsageReporter,
  DEFAULT_EXPOSURE_BUDGET,
  type Steward,
  type UsageReporter,
} from '../steward/index.js';
import { createLogger, type Metrics } from '../telemetry/index.js';
import { DEFAULT_LEASE_MS, DEFAULT_WINDOW_MS, type SendReport } from '../usage/index.js';
import type { Mesh } from '../wire/index.js';
import type { Listeners, PlatformAdapter, RunningRole } from './adapter.js';
import { findFounders, findGroup, type StartMembers } from './founders.js';
import { readFoundingSeeds, recordFoundingSeeds } from './foundingfile.js';
import { watchGroup } from './groupwatch.js';
import { createReferrer } from './referrer.js';
import { Reopening, type Opening, type ReopeningCause } from './reopening.js';
import type { CurrentSeeds } from './seeds.js';
import { measureTolerance, reportLostVoters, watchTolerance } from './tolerance.js';

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
/** Milliseconds between attempts to write to a data folder that can't be written. */
const OPEN_RETRY_INTERVAL: Duration = 500;
/** Bytes written to find out whether a disk takes writes again; more than a batch of commands takes. */
const TRIAL_BYTES = 64 * 1024;
const TRIAL_FILE = 'trial.tmp';
/** The file without which a data folder counts as that of a new member. */
const IDENTITY_FILE = 'identity.json';
/** The identity of a replaced member whose data is being deleted. */
const REPLACED_FILE = 'replaced.json';

const catalogMachine: StateMachine<Catalog> = {
  initial: emptyCatalog,
  apply: (state, command) => {
    const { state: next, outcome } = applyCommand(state, command as CatalogCommand);
    return { state: next, result: outcome };
  },
  encode: encodeCatalog,
  decode: decodeCatalog,
};

/**
 * Returns the members with which a member that belongs to no group starts. One that a group has replaced never founds
 * another one.
 */
async function findStartMembers(
  { settings, mesh, seeds }: StewardContext,
  wasReplaced: boolean,
): Promise<StartMembers> {
  const known = { members: seeds.list, isFounder: false };
  if (await hasGroup(settings.data_folder)) return known;
  const isListed = seeds.list.includes(mesh.address) && !wasReplaced;
  const recorded = wasReplaced ? undefined : readFoundingSeeds(settings.data_folder);
  const isFirstStart = isListed && settings.first_start === true;
  if (isFirstStart && recorded === undefined)
    await recordFoundingSeeds(settings.data_folder, seeds.list);
  const foundingSeeds = recorded ?? (isFirstStart ? seeds.list : undefined);
  if (foundingSeeds !== undefined)
    return { members: await findFounders(mesh, foundingSeeds), isFounder: true };
  const isNew = !existsSync(join(settings.data_folder, IDENTITY_FILE));
  if (!isListed && !isNew) return known;
  const found = await findGroup(mesh, () => seeds.list);
  return wasReplaced ? { ...found, isFounder: false } : found;
}

async function openNode(
  context: StewardContext,
  { members, isFounder }: StartMembers,
  onProblem: (kind: ControlProblem['kind']) => void,
): Promise<ControlNode<Catalog>> {
  const { settings, mesh } = context;
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
        onProblem(kind);
      },
      onSnapshot: ({ reason, index, logBytes, stateBytes }) => {
        log.info('snapshot taken', { reason, index, logBytes, stateBytes });
      },
    });
  } catch (error) {
    log.warn('cannot open the data folder: free space on the disk or repair it', {
      reason: String(error),
    });
    await sleep(OPEN_RETRY_INTERVAL);
    return openNode(context, { members, isFounder }, onProblem);
  }
}

/** Waits until the disk takes and syncs a write. */
async function waitForDisk(folder: string): Promise<void> {
  const file = join(folder, TRIAL_FILE);
  try {
    await writeFile(file, Buffer.alloc(TRIAL_BYTES), { flush: true });
    await rm(file);
  } catch {
    await rm(file, { force: true }).catch(() => undefined);
    await sleep(OPEN_RETRY_INTERVAL);
    await waitForDisk(folder);
  }
}

/**
 * Deletes the data of a member that its group replaced. The identity is set aside first: it must never be used
 * without its vote and log, and a start that finds it set aside deletes the rest.
 */
async function dropReplacedData(folder: string): Promise<void> {
  const setAside = join(folder, REPLACED_FILE);
  if (existsSync(join(folder, IDENTITY_FILE))) await rename(join(folder, IDENTITY_FILE), setAside);
  const names = await readdir(folder);
  const others = names.filter((name) => name !== REPLACED_FILE);
  await Promise.all(others.map((name) => rm(join(folder, name), { recursive: true, force: true })));
  await rm(setAside, { force: true });
}

/** What a steward needs besides its disk. */
interface StewardContext {
  readonly settings: NonNullable<Settings['steward']>;
  readonly moves: Settings['moves'];
  readonly maxClockSkew: Duration | undefined;
  readonly usage: Settings['usage'];
  /** Id of the process. */
  readonly id: string;
  readonly sendUsageReport: SendReport;
  readonly mesh: Mesh;
  readonly seeds: CurrentSeeds;
}

/** The components of a steward that use one opening of its data folder. */
interface OpenSteward extends Opening {
  readonly node: ControlNode<Catalog>;
  readonly publisher: Publisher;
  /** Undefined where settings ask for no usage reports. */
  readonly reporter: UsageReporter | undefined;
}

function startReporter(
  { usage, id, sendUsageReport }: StewardContext,
  node: ControlNode<Catalog>,
): UsageReporter | undefined {
  if (usage === undefined) return undefined;
  return createUsageReporter({
    ...{ control: node, self: id, address: usage.address, send: sendUsageReport },
    windowMs: usage.window_ms ?? DEFAULT_WINDOW_MS,
    leaseMs: usage.lease_ms ?? DEFAULT_LEASE_MS,
    now: () => performance.now(),
    wallNow: Date.now,
  });
}

/** Opens the data folder and starts the components that use it. */
async function openComponents(
  context: StewardContext,
  openListeners: (steward: Steward) => Promise<Listeners>,
  onEnded: (cause: ReopeningCause) => void,
  wasReplaced: boolean,
): Promise<OpenSteward> {
  const { settings, mesh } = context;
  const now = (): number => performance.now();
  const folder = settings.data_folder;
  const isDropping = existsSync(join(folder, REPLACED_FILE));
  if (isDropping) await dropReplacedData(folder);
  const members = await findStartMembers(context, wasReplaced || isDropping);
  let isUnadmitted = false;
  const node = await openNode(context, members, (kind) => {
    if (kind === 'writeFailed') onEnded('diskFailed');
    if (kind !== 'strangeFolder') return;
    isUnadmitted = true;
    // The others founded the group with an earlier identity of this member, which asks to be admitted with a new one.
    if (members.isFounder && settings.first_start !== true) onEnded('replaced');
  });
  const group = watchGroup({
    ...{ node, mesh, seeds: context.seeds },
    listGateways: () => publisher.entries.map(({ peerAddress }) => peerAddress),
    onReplaced: () => {
      onEnded('replaced');
    },
  });
  const steward = createSteward({
    control: node,
    findLeader: group.findLeader,
    announceInterval: settings.announce_interval_ms ?? 0,
    maxClockSkew: context.maxClockSkew,
    exposureBudget: {
      share: context.moves?.exposure_share ?? DEFAULT_EXPOSURE_BUDGET.share,
      slack: context.moves?.exposure_slack ?? DEFAULT_EXPOSURE_BUDGET.slack,
    },
    now,
    wallNow: Date.now,
  });
  const reporter = startReporter(context, node);
  const publisher = createPublisher({
    mesh,
    control: node,
    now,
    listCold: () => steward.listCold(),
    isFounding: () => members.isFounder && !isUnadmitted && node.status.role === 'newborn',
    onGroupFound: group.handleGroupStatus,
    onEvidence: (rows) => {
      steward.addEvidence(rows);
    },
    onUsage: (delivery) => {
      reporter?.addDelivery(delivery);
    },
  });
  const roleTimer = watchRole(node);
  reportLostVoters(node, log);
  const stopWatchingTolerance = watchTolerance(() => node.status, settings.tolerated_losses, log);
  const closeBehindListeners = async (): Promise<void> => {
    group.close();
    clearInterval(roleTimer);
    stopWatchingTolerance();
    steward.close();
    reporter?.close();
    await node.close().finally(() => {
      publisher.sendLastWord();
      publisher.close();
    });
    await sleep(LAST_WORD_TIME);
  };
  try {
    const listeners = await openListeners(steward);
    const close = async (): Promise<void> => {
      listeners.close();
      await closeBehindListeners();
    };
    return { node, publisher, reporter, close };
  } catch (error) {
    await closeBehindListeners();
    throw error;
  }
}

const reopenedLines: Readonly<Record<ReopeningCause, string>> = {
  diskFailed: 'the disk takes writes again: the data folder was opened anew',
  replaced: 'the data folder is empty: asking the group to admit this member anew',
};

/**
 * Creates the steward of this process. A member whose write failed never writes again, as the write may be
 * torn; once the disk takes writes, the data folder is read anew as after a restart. Until then the process
 * answers that it can't serve orders and names the leader. A member that its group replaced begins anew, with
 * an empty folder.
 */
function createReopening(
  context: StewardContext,
  openListeners: (steward: Steward) => Promise<Listeners>,
): Reopening<OpenSteward> {
  // The group exists then, so that a founder joins it too.
  let wasReplaced = false;
  return new Reopening<OpenSteward>({
    open: (onEnded) => openComponents(context, openListeners, onEnded, wasReplaced),
    empty: () => {
      wasReplaced = true;
      return dropReplacedData(context.settings.data_folder);
    },
    waitForDisk: () => waitForDisk(context.settings.data_folder),
    waitToRetry: () => sleep(OPEN_RETRY_INTERVAL),
    onReopened: (cause) => {
      log.info(reopenedLines[cause]);
    },
    onProblem: (error) => {
      log.warn('cannot close the data folder, or open it again: trying again', {
        reason: String(error),
      });
    },
  });
}

async function startReferrer(
  seeds: CurrentSeeds,
  mesh: Mesh,
  openListeners: (steward: Steward) => Promise<Listeners>,
): Promise<RunningRole> {
  const referrer = createReferrer({
    ...{ mesh, getSeeds: () => seeds.list, now: () => performance.now() },
  });
  const listeners = await openListeners(referrer);
  log.info('this VM has no disk: naming the leader to callers');
  return {
    get isLost() {
      return referrer.isLost;
    },
    stop: () => {
      listeners.close();
      referrer.close();
      return Promise.resolve();
    },
  };
}

type Gauge = readonly [name: string, help: string, read: () => number];

function listUsageGauges(
  getCurrent: () => OpenSteward | undefined,
  { window_ms: windowMs = DEFAULT_WINDOW_MS }: NonNullable<Settings['usage']>,
): readonly Gauge[] {
  const getUsage = (): Catalog['usage'] => getCurrent()?.node.applied.usage;
  return [
    [
      'chivewalk_usage_windows_reported_total',
      'Usage windows that the platform accepted.',
      () => getUsage()?.reported ?? 0,
    ],
    [
      'chivewalk_usage_windows_expired_total',
      'Usage windows that were dropped without a report.',
      () => getUsage()?.expired ?? 0,
    ],
    [
      'chivewalk_usage_reports_fenced_total',
      'Usage reports of this steward that the platform refused for a higher token.',
      () => getCurrent()?.reporter?.fenced ?? 0,
    ],
    [
      'chivewalk_usage_late_requests_total',
      'Requests that were not counted because their window was sealed.',
      () => getUsage()?.late ?? 0,
    ],
    [
      'chivewalk_usage_oldest_unreported_ms',
      'Milliseconds since the end of the oldest usage window that is not reported; 0 without one.',
      () => {
        const oldest = getUsage()?.windows[0]?.window;
        return oldest === undefined ? 0 : Math.max(0, Date.now() - (oldest + 1) * windowMs);
      },
    ],
  ];
}

/** Starts a steward, which restarts its member by itself after a failure of the disk. */
export async function startSteward(
  settings: Settings,
  mesh: Mesh,
  metrics: Metrics,
  adapter: PlatformAdapter,
  seeds: CurrentSeeds,
): Promise<RunningRole> {
  const stewardSettings = settings.steward;
  if (stewardSettings === undefined) throw new Error('settings have no section [steward]: add it');
  if (stewardSettings.data_folder === '')
    return startReferrer(seeds, mesh, (steward) => adapter.openStewardListeners(steward, settings));
  const running = createReopening(
    {
      ...{ settings: stewardSettings, moves: settings.moves, mesh, seeds },
      maxClockSkew: settings.clocks?.max_skew_ms,
      ...{ usage: settings.usage, id: settings.process.id },
      sendUsageReport: adapter.sendUsageReport,
    },
    (steward) => adapter.openStewardListeners(steward, settings),
  );
  await running.start();
  const gauges: readonly (readonly [string, string, () => number])[] = [
    [
      'chivewalk_steward_leader',
      '1 while this steward leads.',
      () => Number(running.current?.node.status.role === 'leader'),
    ],
    ['chivewalk_steward_term', 'Current term.', () => running.current?.node.status.term ?? 0],
    [
      'chivewalk_steward_commit_index',
      'Newest committed entry.',
      () => running.current?.node.status.commitIndex ?? 0,
    ],
    [
      'chivewalk_steward_state_age_ms',
      'Milliseconds since the state was certainly current.',
      () => Math.round(running.current?.node.status.age ?? Infinity),
    ],
    [
      'chivewalk_steward_members',
      'Members of the group.',
      () => running.current?.node.status.members.length ?? 0,
    ],
    [
      'chivewalk_steward_voters',
      'Members that vote.',
      () => running.current?.node.status.members.filter(({ voter }) => voter).length ?? 0,
    ],
    [
      'chivewalk_steward_bearable_losses',
      'At the leader: voters that the group can lose at once; -1 elsewhere.',
      () => {
        const status = running.current?.node.status;
        return status === undefined ? -1 : (measureTolerance(status, 0)?.bearable ?? -1);
      },
    ],
    [
      'chivewalk_steward_tolerated_losses',
      'VMs with a disk that the group is to bear losing at once, by the settings.',
      () => stewardSettings.tolerated_losses ?? 0,
    ],
    [
      'chivewalk_steward_gateways',
      'Gateways that are alive.',
      () => running.current?.publisher.entries.length ?? 0,
    ],
    [
      'chivewalk_steward_log_bytes',
      'Bytes of the log in memory.',
      () => running.current?.node.status.logBytes ?? 0,
    ],
    [
      'chivewalk_steward_kept_bytes',
      'Encoded bytes of the commands kept for gateways that lag.',
      () => running.current?.publisher.keptBytes ?? 0,
    ],
    [
      'chivewalk_steward_routes_version',
      'Version of the routes.',
      () => running.current?.node.applied.table?.version ?? 0,
    ],
    ...(settings.usage === undefined ? [] : listUsageGauges(() => running.current, settings.usage)),
  ];
  gauges.forEach(([name, help, read]) => {
    metrics.watchGauge(name, help, read);
  });
  return {
    get isLost() {
      return running.current?.node.status.leader === undefined;
    },
    stop: () => running.stop(),
  };
}

/** Milliseconds for which a stopping steward's mesh stays open, so that its last messages are sent. */
const LAST_WORD_TIME: Duration = 50;

/** Logs changes of this member's role, term, leader and group. */
function watchRole(node: ControlNode<Catalog>): NodeJS.Timeout {
  let lastDescription = '';
  return setInterval(() => {
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
