import { After, Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { headerDialect } from '../../platform/headers.js';
import type { LoadGossip } from '../../src/gateway/gossip.js';
import { parseLimit, recordTurningAway } from '../../src/gateway/notices.js';
import {
  addLimit,
  claimSlot,
  isRateShared,
  isTurningAway,
  markCold,
  renewSlot,
  UpstreamRegistry,
  type FleetShare,
} from '../../src/gateway/registry.js';
import type { UpstreamRecord } from '../../src/gateway/types.js';
import { computeRank, hashText } from '../../src/routing/index.js';
import { findFreePorts } from '../support/ports.js';
import { createCatalog } from './catalog.js';
import { openLoadGossip } from './loadgossip.js';

interface Sender {
  readonly id: string;
  readonly gateways: readonly string[];
  record: UpstreamRecord;
  /** When the gateway was told the limit. */
  knownSince: number;
}

interface LimitWorld {
  limit: number;
  senders: readonly Sender[];
  sentAt: readonly number[];
  records: readonly UpstreamRecord[];
  limitGossips: readonly LoadGossip[] | undefined;
}

interface SharedListWorld {
  sharedList: readonly string[];
  gatewaysRead: number;
}

const DURATION = 24_000;
const TICK = 10;
const WINDOW = 4000;
/** Milliseconds after which a gateway that knows the limit has to keep to it. */
const GRACE = 500;
const RESTART_INTERVAL = 3000;
const RESTARTED_SHARE = 4;
/** Milliseconds after its restart until a gateway knows the limit again, from load gossip. */
const GOSSIP_TIME = 300;
const BOUNDS = { factor: 1.5, slack: 5 };

function createRecord(): UpstreamRecord {
  const registry = new UpstreamRegistry();
  registry.update(createCatalog(['u1']));
  const [record] = registry.records;
  assert.ok(record);
  return record;
}

function getShare({ id, gateways }: Sender): FleetShare {
  return { self: id, gateways, bounds: BOUNDS };
}

Given(
  '{int} gateways that send to an upstream with a limit of {float} requests a second whenever they may',
  function (this: LimitWorld, count: number, limit: number) {
    const ids = Array.from({ length: count }, (_, index) => `gateway-${index}`);
    this.limit = limit;
    this.senders = ids.map((id) => ({
      ...{ id, gateways: ids, record: createRecord(), knownSince: 0 },
    }));
  },
);

function replaceSome(world: LimitWorld, now: number): void {
  const round = now / RESTART_INTERVAL;
  world.senders
    .filter((_, index) => index % RESTARTED_SHARE === round % RESTARTED_SHARE)
    .forEach((sender) => {
      sender.record = createRecord();
      sender.knownSince = now + GOSSIP_TIME;
    });
}

/** Lets the sender send if it may; its answer names the limit again. Returns whether the request counts. */
function sendOne(sender: Sender, limit: number, now: number): boolean {
  const { record } = sender;
  if (now < sender.knownSince) return false;
  const share = getShare(sender);
  if (record.limit === undefined) addLimit(record, limit, now, now, share);
  if (!isRateShared(record, now) || record.nextSlotAt > now) return false;
  claimSlot(record, now, share);
  addLimit(record, limit, now, now, share);
  return now >= sender.knownSince + GRACE;
}

function runSenders(world: LimitWorld, restarts: boolean): void {
  const ticks = Array.from({ length: DURATION / TICK }, (_, index) => index * TICK);
  world.sentAt = ticks.flatMap((now) => {
    if (restarts && now > 0 && now % RESTART_INTERVAL === 0) replaceSome(world, now);
    return world.senders.filter((sender) => sendOne(sender, world.limit, now)).map(() => now);
  });
}

When('nothing else happens', function (this: LimitWorld) {
  runSenders(this, false);
});

When('a quarter of them restarts every 3000 ms', function (this: LimitWorld) {
  runSenders(this, true);
});

When('every second one knows only half of them', function (this: LimitWorld) {
  this.senders = this.senders.map((sender, index) =>
    index % 2 === 0
      ? sender
      : { ...sender, gateways: sender.gateways.filter((_, other) => other % 2 === 1) },
  );
  runSenders(this, false);
});

Then(
  'in no 4 s after the first 500 ms the upstream gets more than its limit allows',
  function (this: LimitWorld) {
    const allowed = (this.limit * 1.5 * WINDOW) / 1000 + 5;
    const counts = this.sentAt.map(
      (from) => this.sentAt.filter((at) => at >= from && at < from + WINDOW).length,
    );
    const most = Math.max(0, ...counts);
    assert.ok(most <= allowed, `${most} requests in 4 s, ${allowed} allowed`);
  },
);

Then('it gets at least {float} of its limit', function (this: LimitWorld, least: number) {
  const rate = this.sentAt.length / ((DURATION - GRACE) / 1000);
  assert.ok(rate >= this.limit * least, `${rate.toFixed(2)} requests a second`);
});

Given(
  'the gateway of {int} that ranks last for an upstream with a limit of {float} requests a second',
  function (this: LimitWorld, count: number, limit: number) {
    const ids = Array.from({ length: count }, (_, index) => `gateway-${index}`);
    const hashes = ids.map(hashText);
    const last = ids.find((_, index) => computeRank('u1', index, hashes) === count - 1) ?? '';
    const sender: Sender = { id: last, gateways: ids, record: createRecord(), knownSince: 0 };
    this.senders = [sender];
    addLimit(sender.record, limit, 0, 0, getShare(sender));
  },
);

When('all other gateways leave', function (this: LimitWorld) {
  this.senders = this.senders.map((sender) => ({ ...sender, gateways: [sender.id] }));
  this.senders.forEach((sender) => {
    renewSlot(sender.record, 0, getShare(sender));
  });
});

Then(
  /^it (may|may not) send to the upstream within (\d+) ms$/,
  function (this: LimitWorld, may: string, time: string) {
    const slots = this.senders.map(({ record }) => record.nextSlotAt <= Number(time));
    assert.deepEqual(slots, [may === 'may']);
  },
);

Given(
  'two gateways that exchange load gossip about an upstream',
  async function (this: LimitWorld) {
    const ports = await findFreePorts(2);
    const addresses = ports.map((port) => `127.0.0.1:${port}`);
    this.records = addresses.map(() => createRecord());
    this.limitGossips = addresses.map((listen, index) => {
      const record = this.records[index];
      assert.ok(record);
      const peers = addresses.filter((address) => address !== listen);
      return openLoadGossip({
        ...{ listen, now: () => performance.now(), listRecords: () => [record] },
        ...{ getRecord: () => record, isProber: () => false, getFarInterval: () => 0 },
        getPlan: () => ({ kind: 'direct', peers, farPeers: [] }),
        onReport: ({ limit }) => {
          if (limit === undefined) return;
          const share = { self: listen, gateways: addresses, bounds: BOUNDS };
          addLimit(record, limit.rate, limit.namedAt, performance.now(), share);
        },
        onProblem: (message) => {
          assert.fail(message);
        },
      });
    });
  },
);

function announceToFirst(world: LimitWorld, limit: number | undefined): void {
  const [first] = world.records;
  assert.ok(first);
  const now = performance.now();
  addLimit(first, limit, now, now, { self: 'g', gateways: ['g'], bounds: BOUNDS });
  first.ownReportAt = now;
}

async function waitForLimit(world: LimitWorld, limit: number | undefined, time: number) {
  const until = performance.now() + time;
  while (world.records[1]?.limit !== limit && performance.now() < until) await sleep(10);
  assert.equal(world.records[1]?.limit, limit);
}

When(
  'the first one is told a limit of {float} requests a second',
  function (this: LimitWorld, limit: number) {
    announceToFirst(this, limit);
  },
);

When('the first one is told no limit any more', function (this: LimitWorld) {
  announceToFirst(this, undefined);
});

Then(
  'the second one knows the limit {float} within {int} ms',
  async function (this: LimitWorld, limit: number, time: number) {
    await waitForLimit(this, limit, time);
  },
);

Then(
  'the second one knows no limit within {int} ms',
  async function (this: LimitWorld, time: number) {
    await waitForLimit(this, undefined, time);
  },
);

Then('the limit {string} is read as {string}', function (text: string, limit: string) {
  assert.equal(String(parseLimit(text) ?? 'none'), limit);
});

When(
  'an upstream answers {int} with the header {string} at {int} ms',
  function (this: LimitWorld, status: number, header: string, now: number) {
    const record = createRecord();
    const [name = '', value = ''] = header.split(': ');
    recordTurningAway(record, { status, headers: [[name, value]] }, headerDialect, now);
    this.records = [record];
  },
);

Then(
  /^it takes requests again from (\d+|never) (?:ms )?on$/,
  function (this: LimitWorld, from: string) {
    const [record] = this.records;
    assert.ok(record);
    const times = [1000, 3499, 3500, 1e9];
    const taking = times.find((now) => !isTurningAway(record, now));
    assert.equal(String(taking ?? 'never'), from);
  },
);

After(function (this: Partial<LimitWorld>) {
  this.limitGossips?.forEach((gossip) => {
    gossip.close();
  });
});

Given(
  'a list of {int} gateways that counts what is read of it',
  function (this: SharedListWorld, count: number) {
    this.gatewaysRead = 0;
    const ids = Array.from({ length: count }, (_, index) => `gateway-${index}`);
    this.sharedList = new Proxy(ids, {
      get: (target, key, receiver): unknown => {
        if (typeof key === 'string' && /^\d+$/.test(key)) this.gatewaysRead += 1;
        return Reflect.get(target, key, receiver);
      },
    });
  },
);

When('{int} upstreams become cold', function (this: SharedListWorld, count: number) {
  const registry = new UpstreamRegistry();
  registry.update(createCatalog(Array.from({ length: count }, (_, index) => `u${index}`)));
  const share: FleetShare = {
    self: 'gateway-0',
    gateways: this.sharedList,
    bounds: { factor: 1.5, slack: 10 },
  };
  registry.records.forEach((record) => {
    markCold(record, 3000, 0, share);
  });
  assert.ok(registry.records.some(({ nextSlotAt }) => Number.isFinite(nextSlotAt)));
});

Then(
  'at most {int} gateways were read of the list',
  function (this: SharedListWorld, bound: number) {
    assert.ok(this.gatewaysRead <= bound, `${this.gatewaysRead} gateways were read`);
  },
);
