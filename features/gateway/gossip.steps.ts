import { After, Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { createSocket, type Socket } from 'node:dgram';
import { setTimeout as sleep } from 'node:timers/promises';
import { Packr } from 'msgpackr';
import type { EntryRecord } from '../../src/feed/index.js';
import { addCounts, addReport, UpstreamRegistry } from '../../src/gateway/registry.js';
import { FarReports, type DueReports } from '../../src/gateway/farreports.js';
import type { LoadGossip } from '../../src/gateway/gossip.js';
import { planGossip, type GossipPlan } from '../../src/gateway/relays.js';
import type { UpstreamRecord } from '../../src/gateway/types.js';
import { createCatalog } from './catalog.js';
import { openLoadGossip } from './loadgossip.js';

interface GossipMember {
  readonly entry: EntryRecord;
  readonly record: UpstreamRecord;
  readonly gossip: LoadGossip;
  /** Number of different reports that the gateway received. */
  received: number;
  isStopped: boolean;
}

interface GossipWorld {
  entries: readonly EntryRecord[];
  members: readonly GossipMember[];
  observer: GossipMember;
}

const ZONES = 4;
const HIGH_CAPACITY = 1;
const LOW_CAPACITY = 0.3;

function createEntries(count: number, port: number): readonly EntryRecord[] {
  return Array.from({ length: count }, (_, index) => {
    const zone = index % ZONES;
    return {
      id: `gateway-${String(index).padStart(3, '0')}`,
      zone: `zone-${zone}`,
      // High-capacity gateways don't sort first by id, so choosing relays by id would fail the test.
      capacity: index >= count - 2 * ZONES ? HIGH_CAPACITY : LOW_CAPACITY,
      callerAddress: `127.9.${zone}.${index + 1}:80`,
      peerAddress: `127.9.${zone}.${index + 1}:${port}`,
      ready: true,
    };
  });
}

function planAll(entries: readonly EntryRecord[]): readonly GossipPlan[] {
  return entries.map(({ peerAddress, zone }) => planGossip(peerAddress, zone, entries));
}

Given(
  'a fleet of {int} gateways in 4 zones, with 2 of high capacity per zone',
  function (this: GossipWorld, count: number) {
    this.entries = createEntries(count, 7215);
  },
);

Then('the path of load reports is {string}', function (this: GossipWorld, path: string) {
  assert.deepEqual([...new Set(planAll(this.entries).map(({ kind }) => kind))], [path]);
});

Then(
  'each relay serves at most {int} gateways, and those with high capacity are relays first',
  function (this: GossipWorld, most: number) {
    const plans = planAll(this.entries);
    const relays = this.entries.filter((_, index) => {
      const plan = plans[index];
      return plan?.kind === 'relayed' && plan.isRelay;
    });
    const served = plans.flatMap((plan) =>
      plan.kind === 'relayed' && !plan.isRelay ? plan.zoneRelays.slice(0, 1) : [],
    );
    const counts = relays.map(
      ({ peerAddress }) => served.filter((address) => address === peerAddress).length,
    );
    assert.ok(Math.max(0, ...counts) <= most, `a relay serves ${Math.max(...counts)}`);
    const highCapacityRelays = relays.filter(({ capacity }) => capacity === HIGH_CAPACITY);
    assert.ok(highCapacityRelays.length === Math.min(relays.length, 2 * ZONES));
  },
);

Given('{int} gateways on loopback gossip load reports', async function (this: GossipWorld, count) {
  const entries = createEntries(Number(count), 20_000 + Math.floor(Math.random() * 20_000));
  this.members = entries.map((entry) => {
    const registry = new UpstreamRegistry();
    registry.update(createCatalog(['u1']));
    const [record] = registry.records;
    assert.ok(record);
    const now = (): number => performance.now();
    const plan = planGossip(entry.peerAddress, entry.zone, entries);
    const gossip = openLoadGossip({
      listen: entry.peerAddress,
      now,
      listRecords: () => registry.records,
      getRecord: (key) => registry.getByKey(key),
      isProber: () => false,
      getPlan: () => plan,
      getFarInterval: () => 0,
      onReport: ({ reportedAt, good, bad, running, waiting, pace }) => {
        // The age of a report is rounded to milliseconds, so the same report may look slightly newer.
        if (reportedAt > record.reportedAt + 5) member.received += 1;
        addReport(record, { running, waiting, pace, slots: 6 }, reportedAt);
        addCounts(record, good, bad, now());
      },
      onProblem: (message) => {
        assert.fail(message);
      },
    });
    const member: GossipMember = { entry, record, gossip, received: 0, isStopped: false };
    return member;
  });
  // A relay serves only gateways from which it has received a message.
  await sleep(300);
});

function isRelay({ entry }: GossipMember, members: readonly GossipMember[]): boolean {
  const entries = members.map((member) => member.entry);
  const plan = planGossip(entry.peerAddress, entry.zone, entries);
  return plan.kind === 'relayed' && plan.isRelay;
}

When(
  'a gateway that is not a relay observes an upstream with {int} requests and a bad answer',
  function (this: GossipWorld, running: number) {
    const { members } = this;
    const now = performance.now();
    const observer = members.find((member) => !member.isStopped && !isRelay(member, members));
    assert.ok(observer);
    addReport(observer.record, { running, waiting: 0, slots: 6, pace: 1 }, now);
    addCounts(observer.record, 0, 1, now);
    observer.record.ownReportAt = now;
    observer.record.unsentBad = 1;
  },
);

When(
  'a gateway that is not a relay observes an upstream every {int} ms for {int} ms',
  async function (this: GossipWorld, interval: number, time: number) {
    const { members } = this;
    const observer = members.find((member) => !isRelay(member, members));
    assert.ok(observer);
    this.observer = observer;
    const until = performance.now() + time;
    while (performance.now() < until) {
      const now = performance.now();
      addReport(observer.record, { running: 1, waiting: 0, slots: 6, pace: 1 }, now);
      observer.record.ownReportAt = now;
      await sleep(interval);
    }
  },
);

function listReceived({ members, observer }: GossipWorld, isNear: boolean): readonly number[] {
  return members
    .filter((member) => member !== observer)
    .filter(({ entry }) => (entry.zone === observer.entry.zone) === isNear)
    .map(({ received }) => received);
}

Then(
  'the gateways of its zone receive at least {int} reports each',
  function (this: GossipWorld, least: number) {
    const counts = listReceived(this, true);
    assert.ok(Math.min(...counts) >= least, counts.join(' '));
  },
);

Then(
  'those of other zones receive at least {int} and at most {int} reports each',
  function (this: GossipWorld, least: number, most: number) {
    const counts = listReceived(this, false);
    assert.ok(Math.min(...counts) >= least && Math.max(...counts) <= most, counts.join(' '));
  },
);

When('a relay stops, and {int} ms pass', async function (this: GossipWorld, time: number) {
  const relay = this.members.find((member) => isRelay(member, this.members));
  assert.ok(relay);
  relay.isStopped = true;
  relay.gossip.close();
  await sleep(time);
});

Then(
  "within {int} ms every gateway's load report shows {int} requests",
  async function (this: GossipWorld, limit: number, running: number) {
    const until = performance.now() + limit;
    const listOutdated = (): readonly GossipMember[] =>
      this.members.filter(
        (member) => !member.isStopped && member.record.report.running !== running,
      );
    while (listOutdated().length > 0 && performance.now() < until) await sleep(10);
    assert.deepEqual(
      listOutdated().map(({ entry }) => entry.id),
      [],
    );
  },
);

Then('no gateway counted the bad answer more than twice', async function (this: GossipWorld) {
  await sleep(300);
  this.members.forEach(({ record }) => {
    assert.ok(record.bad <= 2, `counted ${record.bad} times`);
  });
});

interface FarWorld extends GossipWorld {
  farReports: FarReports;
  farRecords: readonly UpstreamRecord[];
  rounds: readonly DueReports[];
  counted: number;
  now: number;
}

Given(
  'the reports of {int} upstreams for other zones, which are sent every {int} ms',
  function (this: FarWorld, count: number, interval: number) {
    const registry = new UpstreamRegistry();
    registry.update(createCatalog(Array.from({ length: count }, (_, index) => `u${index}`)));
    this.farRecords = registry.records;
    this.farReports = new FarReports({
      getRecord: (key) => registry.getByKey(key),
      getInterval: () => interval,
    });
    this.now = 0;
    this.counted = 0;
    this.rounds = [];
  },
);

function runRound(world: FarWorld): DueReports {
  world.now += 300;
  const due = world.farReports.takeDue(world.now);
  if (due.all.size > 0) world.rounds = [...world.rounds, due];
  return due;
}

When(
  'each upstream is observed every {int} ms for {int} ms, in rounds of 300 ms',
  function (this: FarWorld, interval: number, time: number) {
    const perRound = 300 / interval;
    Array.from({ length: time / 300 }).forEach(() => {
      const own = new Map(this.farRecords.map(({ key }) => [key, [perRound, 0] as const]));
      this.farReports.add(own, new Map());
      this.counted += perRound * own.size;
      runRound(this);
    });
  },
);

Then(
  'other zones are sent at most {int} rounds of reports, with all answers that were counted',
  function (this: FarWorld, most: number) {
    assert.ok(this.rounds.length <= most, `${this.rounds.length} rounds`);
    this.now += 1300;
    runRound(this);
    const sent = this.rounds.flatMap(({ all }) => [...all.values()].map(([good]) => good));
    assert.equal(
      sent.reduce((sum, good) => sum + good, 0),
      this.counted,
    );
  },
);

When('an upstream becomes cold between two rounds', function (this: FarWorld) {
  const own = new Map(this.farRecords.map(({ key }) => [key, [1, 0] as const]));
  this.farReports.add(own, new Map());
  Object.assign(this.farRecords[0] ?? {}, { coldUntil: this.now + 5000 });
});

Then('the next round tells other zones of that upstream alone', function (this: FarWorld) {
  assert.deepEqual([...runRound(this).all.keys()], [this.farRecords[0]?.key]);
  assert.equal(runRound(this).all.size, 0);
});

After(function (this: Partial<GossipWorld>) {
  this.members
    ?.filter(({ isStopped }) => !isStopped)
    .forEach(({ gossip }) => {
      gossip.close();
    });
});

interface DatagramWorld {
  registry: UpstreamRegistry;
  gossip: LoadGossip;
  sender: Socket;
  listen: string;
  problems: string[];
  before: string;
}

const packr = new Packr({ useRecords: false });

async function sendDatagram({ sender, listen }: DatagramWorld, bytes: Buffer): Promise<void> {
  const [host = '', port] = listen.split(':');
  await new Promise((resolve) => {
    sender.send(bytes, Number(port), host, resolve);
  });
  await sleep(50);
}

function getOnlyRecord({ registry }: DatagramWorld): UpstreamRecord {
  const [record] = registry.records;
  assert.ok(record);
  return record;
}

function describeRecord(world: DatagramWorld): string {
  const { report, reportedAt, unreachableUntil, coldUntil, good, bad } = getOnlyRecord(world);
  return JSON.stringify({ report, reportedAt, unreachableUntil, coldUntil, good, bad });
}

Given(
  'a gateway that knows an upstream with {int} requests, from load gossip',
  async function (this: DatagramWorld, running: number) {
    this.registry = new UpstreamRegistry();
    this.registry.update(createCatalog(['u1']));
    this.listen = `127.9.9.9:${20_000 + Math.floor(Math.random() * 20_000)}`;
    this.problems = [];
    this.sender = createSocket('udp4');
    this.gossip = openLoadGossip({
      listen: this.listen,
      now: () => performance.now(),
      listRecords: () => this.registry.records,
      getRecord: (key) => this.registry.getByKey(key),
      isProber: () => false,
      getPlan: () => ({ kind: 'direct', peers: [], farPeers: [] }),
      getFarInterval: () => 0,
      onReport: ({ key, reportedAt, running: reported, waiting, pace, good, bad }) => {
        const record = this.registry.getByKey(key);
        if (record === undefined) return;
        addReport(record, { running: reported, waiting, pace, slots: 6 }, reportedAt);
        addCounts(record, good, bad, performance.now());
      },
      onProblem: (message) => this.problems.push(message),
    });
    const { key } = getOnlyRecord(this);
    await sendDatagram(this, packr.pack(['gateway', [[key, running, 0, 100, 100]]]));
    assert.equal(getOnlyRecord(this).report.running, running);
  },
);

When(/^a datagram with (.*) is sent to it$/, async function (this: DatagramWorld, fault: string) {
  const { key } = getOnlyRecord(this);
  const datagrams: Readonly<Record<string, Buffer>> = {
    'a row of text': packr.pack(['gateway', ['row']]),
    'a missing pace': packr.pack(['gateway', [[key, 3, 0]]]),
    'a pace of no number': packr.pack(['gateway', [[key, 3, 0, 'x', 0]]]),
    'a report from later': packr.pack(['gateway', [[key, 3, 0, 100, -1e9]]]),
    'endless requests': packr.pack(['gateway', [[key, Infinity, 0, 100, 0]]]),
    'an unknown source': packr.pack(['unknown', [[key, 3, 0, 100, 0]]]),
    'no rows': packr.pack(['gateway']),
    'bytes of no encoding': Buffer.from([0xc1, 0xff]),
  };
  const bytes = datagrams[fault];
  assert.ok(bytes);
  this.before = describeRecord(this);
  await sendDatagram(this, bytes);
});

Then(
  "it reports a problem, and the upstream's record is unchanged",
  function (this: DatagramWorld) {
    assert.equal(this.problems.length, 1, this.problems.join('; '));
    assert.equal(describeRecord(this), this.before);
  },
);

When(
  'a load report of {int} requests is sent to it',
  async function (this: DatagramWorld, running: number) {
    const { key } = getOnlyRecord(this);
    await sendDatagram(this, packr.pack(['gateway', [[key, running, 0, 100, 0]]]));
  },
);

Then("the upstream's record shows {int} requests", function (this: DatagramWorld, running: number) {
  this.gossip.close();
  this.sender.close();
  assert.equal(getOnlyRecord(this).report.running, running);
});
