import { After, Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { mkdtemp, rm } from 'node:fs/promises';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { text } from 'node:stream/consumers';
import { setTimeout as sleep } from 'node:timers/promises';
import { headerDialect } from '../../platform/headers.js';
import { sendUsageReport } from '../../platform/usage.js';
import type { PlatformAdapter, RunningRole } from '../../src/daemon/adapter.js';
import { CurrentSeeds } from '../../src/daemon/seeds.js';
import { startSteward } from '../../src/daemon/steward.js';
import { createFollower, type Follower } from '../../src/feed/index.js';
import type { Settings } from '../../src/settings/index.js';
import { createMetrics, type Metrics } from '../../src/telemetry/index.js';
import { UsageCounter } from '../../src/usage/index.js';
import { createMesh, type Mesh } from '../../src/wire/index.js';
import { findFreePorts } from '../support/ports.js';

const SECRET = '0123456789abcdef';
const WINDOW_MS = 2000;
const CHECK_INTERVAL = 50;

interface Report {
  readonly window: number;
  readonly counts: Readonly<Record<string, number>>;
}

interface PathWorld {
  usageFolder: string;
  usageStandIn: Server;
  usageReports: Report[];
  usageSettings: Settings;
  usageMeshes: readonly Mesh[];
  usageMetrics: Metrics;
  usageSteward: RunningRole | undefined;
  usageFollower: Follower;
  usageCounter: UsageCounter;
  usageReceived: number;
  usageSent: number;
}

const adapter: PlatformAdapter = {
  dialect: headerDialect,
  openGatewayListeners: () => Promise.resolve({ close: () => undefined }),
  openStewardListeners: () => Promise.resolve({ close: () => undefined }),
  sendUsageReport,
};

async function waitUntil(isDone: () => boolean, time: number): Promise<void> {
  const end = performance.now() + time;
  while (!isDone() && performance.now() < end) await sleep(CHECK_INTERVAL);
}

async function startUsageSteward(world: PathWorld): Promise<void> {
  const { usageSettings: settings, usageMeshes } = world;
  const [mesh] = usageMeshes;
  assert.ok(mesh);
  world.usageMetrics = createMetrics({ process: 'st-1', zone: 'a' });
  const seeds = new CurrentSeeds(settings);
  world.usageSteward = await startSteward(settings, mesh, world.usageMetrics, adapter, seeds);
}

Given(
  'a usage steward with its disk, and a usage follower',
  { timeout: 20_000 },
  async function (this: PathWorld) {
    this.usageFolder = await mkdtemp(join(tmpdir(), 'chivewalk-usage-'));
    this.usageReports = [];
    this.usageReceived = 0;
    this.usageSent = 0;
    this.usageStandIn = createServer((request, response) => {
      void text(request).then((body) => {
        this.usageReports.push(JSON.parse(body) as Report);
        response.end();
      });
    });
    await new Promise<void>((resolve) => {
      this.usageStandIn.listen(0, '127.0.0.1', resolve);
    });
    const { port } = this.usageStandIn.address() as AddressInfo;
    const [one = 0, two = 0, order = 0] = await findFreePorts(3);
    const peers = [one, two].map((peer) => `127.0.0.1:${peer}`);
    const [steward = '', follower = ''] = peers;
    this.usageSettings = {
      site: { name: 's', secret: SECRET },
      process: { id: 'st-1', zone: 'a', roles: ['steward'] },
      peer: { listen: steward },
      steward: {
        ...{ order_listen: `127.0.0.1:${order}`, seeds: [`127.0.0.1:${order}`] },
        ...{ steward_port: one, data_folder: this.usageFolder, first_start: true },
      },
      usage: { window_ms: WINDOW_MS, lease_ms: 500, address: `127.0.0.1:${port}` },
    };
    this.usageMeshes = await Promise.all(
      peers.map((address) => createMesh({ address, secret: SECRET, onProblem: () => undefined })),
    );
    await startUsageSteward(this);
    const [, mesh] = this.usageMeshes;
    assert.ok(mesh);
    const now = (): number => performance.now();
    this.usageCounter = new UsageCounter({
      ...{ source: 'gw-1/5f0e', windowMs: WINDOW_MS, now, wallNow: Date.now },
    });
    this.usageFollower = createFollower({
      ...{ mesh, seeds: [steward], now, collectEvidence: () => [] },
      describeSelf: () => ({
        ...{ id: 'gw-1', zone: 'a', callerAddress: '127.0.0.1:80', peerAddress: follower },
        ...{ capacity: 1, ready: true },
      }),
      usage: {
        collect: () => this.usageCounter.collect(),
        handleReceipt: (receipt) => {
          this.usageReceived = receipt.last;
          this.usageCounter.handleReceipt(receipt);
        },
      },
      onChange: () => undefined,
      onCold: () => undefined,
      onDependency: () => undefined,
    });
  },
);

function countRequests(world: PathWorld, account: string, count: number): void {
  world.usageSent += count;
  Array.from({ length: count }).forEach(() => {
    world.usageCounter.countAttempt(account, 0, { kind: 'answered' });
  });
}

When(
  'the usage follower counts {int} requests of {string} in a window',
  function (this: PathWorld, count: number, account: string) {
    countRequests(this, account, count);
  },
);

When(
  'the usage follower counts {int} requests of {string} in the same window, if it lasts',
  function (this: PathWorld, count: number, account: string) {
    countRequests(this, account, count);
  },
);

When(
  'the usage steward has committed them and restarts',
  { timeout: 30_000 },
  async function (this: PathWorld) {
    await waitUntil(() => this.usageReceived > 0, 10_000);
    assert.equal(this.usageReceived, 1);
    await this.usageSteward?.stop(performance.now());
    await startUsageSteward(this);
  },
);

function sumReports(reports: readonly Report[]): number {
  return reports
    .flatMap(({ counts }) => Object.values(counts))
    .reduce((sum, count) => sum + count, 0);
}

Then(
  'the usage stand-in got all {int} requests within {int} s, each window once',
  { timeout: 60_000 },
  async function (this: PathWorld, count: number, seconds: number) {
    await waitUntil(() => sumReports(this.usageReports) >= count, seconds * 1000);
    assert.equal(sumReports(this.usageReports), this.usageSent, JSON.stringify(this.usageReports));
    assert.equal(this.usageSent, count);
    const windows = this.usageReports.map(({ window }) => window);
    assert.equal(new Set(windows).size, windows.length);
  },
);

Then('the metrics of the usage steward tell no late requests', async function (this: PathWorld) {
  const exposition = await this.usageMetrics.renderText();
  assert.match(exposition, /chivewalk_usage_late_requests_total\{[^}]*\} 0/);
});

After({ timeout: 20_000 }, async function (this: Partial<PathWorld>) {
  if (this.usageFolder === undefined) return;
  this.usageFollower?.close();
  await this.usageSteward?.stop(performance.now());
  await Promise.all((this.usageMeshes ?? []).map((mesh) => mesh.close()));
  this.usageStandIn?.closeAllConnections();
  this.usageStandIn?.close();
  await rm(this.usageFolder, { recursive: true, force: true });
});
