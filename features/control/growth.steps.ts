import { After, Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { mkdtemp, readdir, rm, stat } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import {
  applyCommand,
  decodeCatalog,
  emptyCatalog,
  encodeCatalog,
  type Catalog,
  type CatalogCommand,
  type Route,
} from '../../src/catalog/index.js';
import { findCompactionReason, findPruneIndex } from '../../src/control/compaction.js';
import { decideConsensus } from '../../src/control/consensus.js';
import { openControl, type ControlNode, type StateMachine } from '../../src/control/index.js';
import { appendEntries, emptyLog, getLastIndex, pruneLog } from '../../src/control/log.js';
import type { ConsensusEffect, ConsensusState } from '../../src/control/types.js';
import type { LogEntry, Snapshot } from '../../src/generated/control.js';
import { createMesh, type Mesh } from '../../src/wire/index.js';
import { findFreePorts } from '../support/ports.js';
import { waitFor } from './group.js';

/** Step timeout in milliseconds, long enough for a loaded CPU. */
const SLOW = { timeout: 300_000 };
const KB = 1024;
const MB = 1024 * 1024;
/** Milliseconds within which a change must be committed, long enough for a loaded CPU. */
const COMMIT_LIMIT = 30_000;

interface GrowthWorld {
  folder: string;
  address: string;
  node: ControlNode<Catalog>;
  mesh: Mesh;
  version: number;
  /** Largest number of bytes seen of the log and of the folder. */
  logBytes: number;
  folderBytes: number;
  isComplete: boolean;
  state: ConsensusState;
  effects: readonly ConsensusEffect[];
  now: number;
}

const machine: StateMachine<Catalog> = {
  initial: emptyCatalog,
  apply: (state, command) => {
    const { state: next, outcome } = applyCommand(state, command as CatalogCommand);
    return { state: next, result: outcome };
  },
  encode: encodeCatalog,
  decode: decodeCatalog,
};

function createRoute(at: number, timeout: number): Route {
  return {
    ...{ name: `route-${at}`, host: 'site.example', prefix: `/area-${at}/records/`, kind: 'safe' },
    ...{ timeout, targetLatency: 200, maxAttempts: 2, rank: 2 },
    parts: [{ service: 'records', weight: 1 }],
    source: { name: `route-${at}`, path_prefix: `/area-${at}/records/`, timeout: `${timeout}ms` },
  };
}

function createChange(version: number, routes: number): CatalogCommand {
  return {
    ...{ kind: 'replaceRoutes', base: version - 1, digest: `d${version}` },
    table: {
      version,
      routes: Array.from({ length: routes }, (_, at) => createRoute(at, 600 + version)),
      services: [
        {
          ...{ name: 'records', healthPath: '/health', maxConnections: 200, coldTime: 0 },
          ...{ coldRate: 1, source: { name: 'records' } },
        },
      ],
      limits: { headBytes: 1, bodyBytes: 1, headTimeout: 1, idleTimeout: 1, source: {} },
      extra: {},
    },
  };
}

async function startMember(world: GrowthWorld): Promise<void> {
  const { address, folder } = world;
  world.mesh = await createMesh({ address, secret: 'the secret of the site' });
  world.node = await openControl({
    ...{ address, members: [address], join: false, dataFolder: join(folder, 'data') },
    ...{ mesh: world.mesh, machine },
  });
  await waitFor('the member leads', () => world.node.status.role === 'leader');
}

async function stopMember(world: Partial<GrowthWorld>): Promise<void> {
  await world.node?.close();
  await world.mesh?.close();
}

async function measureFolder(folder: string): Promise<number> {
  const names = await readdir(folder);
  const sizes = await Promise.all(
    names.map(async (name) => (await stat(join(folder, name)).catch(() => undefined))?.size ?? 0),
  );
  return sizes.reduce((sum, size) => sum + size, 0);
}

async function applyChanges(world: GrowthWorld, count: number, routes: number): Promise<void> {
  const last = world.version + count;
  while (world.version < last) {
    const outcome = await world.node.propose(createChange(world.version + 1, routes), COMMIT_LIMIT);
    assert.equal(outcome.kind, 'committed');
    world.version += 1;
    world.logBytes = Math.max(world.logBytes, world.node.status.logBytes);
    const folderBytes = await measureFolder(join(world.folder, 'data'));
    world.folderBytes = Math.max(world.folderBytes, folderBytes);
  }
}

Given('a control member whose state is a configuration', SLOW, async function (this: GrowthWorld) {
  this.folder = await mkdtemp(join(tmpdir(), 'chivewalk-growth-'));
  const [port] = await findFreePorts(1);
  this.address = `127.0.0.1:${port ?? 0}`;
  this.version = 0;
  this.logBytes = 0;
  this.folderBytes = 0;
  await startMember(this);
});

When(
  '{int} configurations of {int} routes are committed',
  SLOW,
  async function (this: GrowthWorld, count: number, routes: number) {
    await applyChanges(this, count, routes);
  },
);

When(
  'the control member is restarted, and {int} configurations of {int} routes are committed',
  SLOW,
  async function (this: GrowthWorld, count: number, routes: number) {
    await stopMember(this);
    await startMember(this);
    await applyChanges(this, count, routes);
  },
);

Then(
  'its log never took more than {int} MB, and its folder never more than {int} MB',
  function (this: GrowthWorld, log: number, folder: number) {
    const megabytes = Math.round(this.folderBytes / MB);
    assert.ok(this.folderBytes <= folder * MB, `the folder took ${megabytes} MB`);
    assert.ok(this.logBytes <= log * MB, `the log took ${this.logBytes} bytes`);
    assert.ok(this.logBytes > 0, 'the bytes of the log are counted');
  },
);

Then(
  'after another restart it has configuration {int}',
  SLOW,
  async function (this: GrowthWorld, version: number) {
    await stopMember(this);
    await startMember(this);
    await waitFor('the log is applied', () => this.node.applied.table?.version === version);
  },
);

When(
  'commands of random size up to {int} KB are applied {int} times, with snapshots of up to {int} KB, with seed {int}',
  SLOW,
  function (this: GrowthWorld, size: number, count: number, state: number, seed: number) {
    const random = xoroshiro128plus(seed);
    let log = emptyLog;
    let snapshot: Snapshot | undefined;
    this.logBytes = 0;
    this.isComplete = true;
    Array.from({ length: count }, (_, at) => at + 1).forEach((index) => {
      const command = { length: uniformInt(random, 0, size * KB) } as Uint8Array;
      log = appendEntries(log, [{ kind: 'command', index, term: 1, command }]);
      this.logBytes = Math.max(this.logBytes, log.bytes);
      if (findCompactionReason(log, index, snapshot) === undefined) return;
      const data = { length: uniformInt(random, 0, state * KB) } as Uint8Array;
      snapshot = { index, term: 1, membership: { members: [], retired: [] }, data };
      log = pruneLog(log, findPruneIndex(log, index));
      this.isComplete &&= log.baseIndex <= index && getLastIndex(log) === index;
    });
  },
);

Then(
  'the log never took more than {int} MB, and never fewer than the entries since the last snapshot',
  function (this: GrowthWorld, limit: number) {
    assert.ok(this.logBytes <= limit * MB, `it took ${this.logBytes} bytes`);
    assert.ok(this.isComplete);
  },
);

When(
  '{int} commands of 1 MB are proposed to the control core while no other member answers',
  function (this: GrowthWorld, count: number) {
    Array.from({ length: count }).forEach(() => {
      const event = { kind: 'proposed', proposal: 1, command: new Uint8Array(MB) } as const;
      const step = decideConsensus(this.state, { ...event, now: this.now, random: 0 });
      this.state = step.state;
      this.effects = step.effects;
    });
  },
);

Then(
  'the log of the control core takes at most {int} MB',
  function (this: GrowthWorld, limit: number) {
    const entries: readonly LogEntry[] = this.state.log.entries;
    const sizes = entries.map((entry) => (entry.kind === 'command' ? entry.command.length : 0));
    const bytes = sizes.reduce((sum, size) => sum + size, 0);
    assert.ok(bytes <= limit * MB, `it takes ${bytes} bytes`);
  },
);

After(async function (this: Partial<GrowthWorld>) {
  if (this.folder === undefined || this.address === undefined) return;
  await stopMember(this);
  await rm(this.folder, { recursive: true, force: true });
});
