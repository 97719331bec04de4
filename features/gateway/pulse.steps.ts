import { After, Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import type { EntryRecord } from '../../src/feed/index.js';
import { addCounts, addReport, UpstreamRegistry } from '../../src/gateway/registry.js';
import { createLoadGossip, type LoadGossip } from '../../src/gateway/gossip.js';
import { planGossip, type GossipPlan } from '../../src/gateway/relays.js';
import type { UpstreamRecord } from '../../src/gateway/types.js';
import { createCatalog } from './catalog.js';

interface Member {
  readonly entry: EntryRecord;
  readonly record: UpstreamRecord;
  readonly pulse: LoadGossip;
  isSilent: boolean;
}

interface PulseWorld {
  entries: readonly EntryRecord[];
  members: readonly Member[];
}

const ZONES = 4;
const STRONG = 1;
const WEAK = 0.3;

function createEntries(count: number, port: number): readonly EntryRecord[] {
  return Array.from({ length: count }, (_, at) => {
    const zone = at % ZONES;
    return {
      id: `gateway-${String(at).padStart(3, '0')}`,
      zone: `zone-${zone}`,
      // The strong ones are not the first by name.
      capacity: at >= count - 2 * ZONES ? STRONG : WEAK,
      callerAddress: `127.9.${zone}.${at + 1}:80`,
      peerAddress: `127.9.${zone}.${at + 1}:${port}`,
      ready: true,
    };
  });
}

function planAll(entries: readonly EntryRecord[]): readonly GossipPlan[] {
  return entries.map(({ peerAddress, zone }) => planGossip(peerAddress, zone, entries));
}

Given(
  'a fleet of {int} gateways in 4 zones, of which 2 a zone are strong',
  function (this: PulseWorld, count: number) {
    this.entries = createEntries(count, 7215);
  },
);

Then('the gateways tell each other {string}', function (this: PulseWorld, way: string) {
  assert.deepEqual([...new Set(planAll(this.entries).map(({ kind }) => kind))], [way]);
});

Then(
  'each relay serves at most {int} gateways, and the strong ones relay first',
  function (this: PulseWorld, most: number) {
    const plans = planAll(this.entries);
    const relays = this.entries.filter((_, at) => {
      const plan = plans[at];
      return plan?.kind === 'relayed' && plan.isRelay;
    });
    const served = plans.flatMap((plan) =>
      plan.kind === 'relayed' && !plan.isRelay ? plan.zoneRelays.slice(0, 1) : [],
    );
    const counts = relays.map(
      ({ peerAddress }) => served.filter((address) => address === peerAddress).length,
    );
    assert.ok(Math.max(0, ...counts) <= most, `a relay serves ${Math.max(...counts)}`);
    const strong = relays.filter(({ capacity }) => capacity === STRONG);
    assert.ok(strong.length === Math.min(relays.length, 2 * ZONES));
  },
);

Given(
  '{int} gateways on loopback tell each other the load',
  async function (this: PulseWorld, count) {
    const entries = createEntries(Number(count), 20_000 + Math.floor(Math.random() * 20_000));
    this.members = entries.map((entry) => {
      const book = new UpstreamRegistry();
      book.update(createCatalog(['u1']));
      const [record] = book.records;
      assert.ok(record);
      const now = (): number => performance.now();
      const plan = planGossip(entry.peerAddress, entry.zone, entries);
      const pulse = createLoadGossip({
        listen: entry.peerAddress,
        now,
        listRecords: () => book.records,
        getRecord: (key) => book.getByKey(key),
        isProber: () => false,
        getPlan: () => plan,
        onReport: ({ reportedAt, good, bad, running, waiting, pace }) => {
          addReport(record, { running, waiting, pace, slots: 6 }, reportedAt);
          addCounts(record, good, bad, now());
        },
        onProblem: (message) => {
          assert.fail(message);
        },
      });
      return { entry, record, pulse, isSilent: false };
    });
    // Relays serve those that they heard from.
    await sleep(300);
  },
);

function isRelay({ entry }: Member, members: readonly Member[]): boolean {
  const entries = members.map((member) => member.entry);
  const plan = planGossip(entry.peerAddress, entry.zone, entries);
  return plan.kind === 'relayed' && plan.isRelay;
}

When(
  'one gateway that is no relay sees an upstream with {int} requests and a bad answer',
  function (this: PulseWorld, running: number) {
    const { members } = this;
    const now = performance.now();
    const seer = members.find((member) => !member.isSilent && !isRelay(member, members));
    assert.ok(seer);
    addReport(seer.record, { running, waiting: 0, slots: 6, pace: 1 }, now);
    addCounts(seer.record, 0, 1, now);
    seer.record.ownReportAt = now;
    seer.record.unsentBad = 1;
  },
);

When('a relay falls silent, and {int} ms pass', async function (this: PulseWorld, time: number) {
  const relay = this.members.find((member) => isRelay(member, this.members));
  assert.ok(relay);
  relay.isSilent = true;
  relay.pulse.close();
  await sleep(time);
});

Then(
  'within {int} ms every gateway believes that it has {int} requests',
  async function (this: PulseWorld, limit: number, running: number) {
    const until = performance.now() + limit;
    const listOthers = (): readonly Member[] =>
      this.members.filter((member) => !member.isSilent && member.record.report.running !== running);
    while (listOthers().length > 0 && performance.now() < until) await sleep(10);
    assert.deepEqual(
      listOthers().map(({ entry }) => entry.id),
      [],
    );
  },
);

Then('no gateway counted the bad answer more than twice', async function (this: PulseWorld) {
  await sleep(300);
  this.members.forEach(({ record }) => {
    assert.ok(record.bad <= 2, `counted ${record.bad} times`);
  });
});

After(function (this: Partial<PulseWorld>) {
  this.members
    ?.filter(({ isSilent }) => !isSilent)
    .forEach(({ pulse }) => {
      pulse.close();
    });
});
