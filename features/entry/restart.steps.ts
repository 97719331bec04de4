import { Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { Agent } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Upstream } from '../../src/model/index.js';
import { ContractCaller } from './caller.js';
import { createUpstream } from './fakes.js';
import {
  sendCall,
  startEntry,
  startUpstream,
  type EntryHarness,
  type EntryWorld,
  type ObservedResponse,
} from './world.js';

interface RestartWorld extends EntryWorld {
  fleet: Map<number, EntryHarness>;
  upstream: Upstream;
  callers: ContractCaller[];
  draw: () => number;
  /** Number of calls that each entry finished after its restart. */
  servedAfterRestart: number[];
  stopping: EntryHarness;
  stopPromise: Promise<void>;
  /** A request that is still running while the entry stops. */
  longRequest: Promise<ObservedResponse>;
}

const SEED = Number(process.env.SEED ?? 5);
const CALLERS = 6;
const TTL_MS = 100;
const LISTING_LAG_MS = 60;
const SETTLE_MS = 250;
/** Milliseconds; longer than a stopping entry keeps its listener open. */
const LONG_REQUEST_MS = 1500;

function announceFleet(world: RestartWorld, excluded: EntryHarness | undefined): void {
  const listed = [...world.fleet.values()].filter((harness) => harness !== excluded);
  const entries = listed.map(({ entry }) => ({ address: entry.address, zone: 'klang' }));
  world.fleet.forEach((harness) => {
    harness.members.set(entries, [world.upstream]);
  });
}

function startFleetEntry(port?: number): Promise<EntryHarness> {
  return startEntry({
    addressTtlMs: TTL_MS,
    listingLagMs: LISTING_LAG_MS,
    ...(port === undefined ? {} : { callerListen: `127.0.0.1:${port}` }),
  });
}

Given('three entries and callers that follow the contract', async function (this: RestartWorld) {
  const generator = xoroshiro128plus(SEED);
  this.draw = () => uniformFloat64(generator);
  const address = await startUpstream((request, response) => {
    request.resume();
    request.on('error', () => undefined);
    const wait = request.url === '/long' ? LONG_REQUEST_MS : this.draw() * 30;
    request.on('end', () => setTimeout(() => response.end(`answer to ${request.url ?? ''}`), wait));
  });
  this.upstream = createUpstream('seam', 'seam-1', address);
  const members = [await startFleetEntry(), await startFleetEntry(), await startFleetEntry()];
  this.fleet = new Map(members.map((harness) => [harness.port, harness]));
  announceFleet(this, undefined);
  const ports = [...this.fleet.keys()];
  this.callers = Array.from({ length: CALLERS }, () => new ContractCaller(ports, this.draw));
});

async function replaceEntry(world: RestartWorld, port: number): Promise<void> {
  const before = world.fleet.get(port);
  assert.ok(before !== undefined);
  const stopped = before.entry.stop();
  await delay(LISTING_LAG_MS * world.draw());
  announceFleet(world, before);
  await stopped;
  assert.equal(before.entry.inFlight, 0);
  const after = await startFleetEntry(port);
  world.fleet.set(port, after);
  announceFleet(world, undefined);
  await delay(SETTLE_MS);
  world.servedAfterRestart.push(after.finished.length);
}

When(
  'every entry is restarted, one after another',
  { timeout: 30_000 },
  async function (this: RestartWorld) {
    let running = true;
    this.servedAfterRestart = [];
    const loops = this.callers.map(async (caller, callerIndex) => {
      let count = 0;
      while (running) {
        await caller.sendRequest(`caller-${callerIndex}-${count}`);
        count += 1;
        if (this.draw() < 0.1) await delay(this.draw() * TTL_MS);
      }
    });
    await [...this.fleet.keys()].reduce(async (done, port) => {
      await done;
      await replaceEntry(this, port);
    }, Promise.resolve());
    running = false;
    await Promise.all(loops);
    this.callers.forEach((caller) => {
      caller.close();
    });
  },
);

Then('no request of the callers was interrupted or refused', function (this: RestartWorld) {
  assert.deepEqual(
    this.callers.flatMap(({ faults }) => faults),
    [],
  );
  assert.ok(this.callers.every(({ responseCount }) => responseCount > 10));
});

Then('every entry served requests after its restart', function (this: RestartWorld) {
  assert.equal(this.servedAfterRestart.length, this.fleet.size);
  assert.ok(this.servedAfterRestart.every((count) => count > 0));
});

When('one entry begins to stop', async function (this: RestartWorld) {
  const [first] = this.fleet.values();
  assert.ok(first !== undefined);
  this.stopping = first;
  this.longRequest = sendCall({ port: first.port, path: '/seam/long' });
  await delay(SETTLE_MS);
  this.stopPromise = first.entry.stop();
});

Then(
  'it delists itself at once, keeps serving, closes its connections and finishes running requests',
  async function (this: RestartWorld) {
    const { port, entry } = this.stopping;
    const listed = await sendCall({ port, path: '/.well-known/chivewalk/addresses' });
    assert.equal(listed.body.includes(entry.address), false);
    const agent = new Agent({ keepAlive: true });
    const served = await sendCall({ port, path: '/seam/a', agent });
    assert.equal(served.status, 200);
    assert.equal(served.headers.connection, 'close');
    const long = await this.longRequest;
    assert.equal(long.body, 'answer to /long');
    assert.equal(long.complete, true);
    await this.stopPromise;
    await assert.rejects(sendCall({ port, path: '/seam/a' }));
  },
);
