import { Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { pack } from 'msgpackr';
import type { LoadGossip } from '../../src/gateway/gossip.js';
import { addOutcome, addReport, UpstreamRegistry } from '../../src/gateway/registry.js';
import type { AttemptOutcome, UpstreamRecord } from '../../src/gateway/types.js';
import {
  addLoss,
  computeLossLimit,
  computeRejectingShare,
  isRejecting,
  isSlotCertain,
  NO_LOSSES,
  type LossState,
  type ServiceRates,
} from '../../src/placement/index.js';
import { createCatalog } from '../gateway/catalog.js';
import { openLoadGossip } from '../gateway/loadgossip.js';
import { runReplay, type ReplayResult, type ReplayScenario, type ReplayVariant } from './replay.js';

interface PlacementWorld {
  rates: ServiceRates;
  record: UpstreamRecord;
  records: readonly UpstreamRecord[];
  gossips: readonly LoadGossip[];
  scenario: ReplayScenario;
  losses: LossState;
  pairs: readonly { readonly before: ReplayResult; readonly after: ReplayResult }[];
}

const NOW = 1000;

/** The decision without the placement: what it learns is forgotten before each choice. */
const without: ReplayVariant = {
  prepare: (records) => {
    records.forEach((record) => {
      Object.assign(record, { rejected: 0, unsentRejected: 0 });
      record.losses.state = NO_LOSSES;
    });
  },
  extendContext: (context) => context,
};

const withPlacement: ReplayVariant = {
  prepare: () => undefined,
  extendContext: (context, isUnsafe) => ({ ...context, isRepeatable: !isUnsafe }),
};

Given(
  /^a placement where (\d+|unknown) requests arrive a second, and upstreams run (\d+) without and (\d+) with rejections$/,
  function (this: PlacementWorld, requests: string, accepting: string, rejecting: string) {
    this.rates = {
      requests: requests === 'unknown' ? undefined : Number(requests),
      accepting: Number(accepting),
      rejecting: Number(rejecting),
    };
  },
);

Then(
  'the placement sends the share {float} to those that reject',
  function (this: PlacementWorld, share: number) {
    assert.ok(Math.abs(computeRejectingShare(this.rates) - share) < 0.005);
  },
);

function createRecord(): { readonly registry: UpstreamRegistry; readonly record: UpstreamRecord } {
  const registry = new UpstreamRegistry();
  registry.update(createCatalog(['u1']));
  const [record] = registry.records;
  assert.ok(record);
  return { registry, record };
}

Given(
  'a placement record with {int} requests in its 6 slots',
  function (this: PlacementWorld, running: number) {
    this.record = createRecord().record;
    addReport(this.record, { running, waiting: 0, slots: 6, pace: 1 }, NOW);
  },
);

function toOutcome(word: string): AttemptOutcome {
  switch (word) {
    case 'rejected':
    case 'misdirected':
      return { kind: 'notRun', isMisdirected: word === 'misdirected' };
    default: {
      const answer = { status: 200, reason: '', headers: [], body: Buffer.alloc(0) };
      return { kind: 'answered', answer: { ...answer, isUnframed: false } };
    }
  }
}

When('20 of its 40 requests end with {string}', function (this: PlacementWorld, outcome: string) {
  Array.from({ length: 20 }).forEach(() => {
    addOutcome(this.record, toOutcome('answered'), NOW);
    addOutcome(this.record, toOutcome(outcome), NOW);
  });
});

Then(
  /^the placement rates it as (rejecting|accepting), and as (rejecting|accepting) (\d+) ms later$/,
  function (this: PlacementWorld, before: string, later: string, time: string) {
    assert.equal(isRejecting(this.record, NOW), before === 'rejecting');
    assert.equal(isRejecting(this.record, NOW + Number(time)), later === 'rejecting');
  },
);

Given('two placement gateways that gossip on loopback', function (this: PlacementWorld) {
  const port = 20_000 + Math.floor(Math.random() * 20_000);
  const addresses = [port, port + 1].map((one) => `127.0.0.1:${one}`);
  const members = addresses.map((listen) => {
    const { registry, record } = createRecord();
    const now = (): number => performance.now();
    const share = { self: 'a', gateways: ['a'], bounds: { factor: 1.5, slack: 8 } };
    const peers = addresses.filter((address) => address !== listen);
    const gossip = openLoadGossip({
      ...{ listen, now, isProber: () => false, getFarInterval: () => 0 },
      listRecords: () => registry.records,
      getRecord: (key) => registry.getByKey(key),
      getPlan: () => ({ kind: 'direct', peers, farPeers: [] }),
      onReport: (report) => {
        registry.applyReport(report, now(), share);
      },
      onProblem: (message) => {
        assert.fail(message);
      },
    });
    return { record, gossip };
  });
  this.records = members.map(({ record }) => record);
  this.gossips = members.map(({ gossip }) => gossip);
});

When(
  'one of them counts {int} rejections of an upstream',
  function (this: PlacementWorld, count: number) {
    const [record] = this.records;
    assert.ok(record);
    Array.from({ length: count }).forEach(() => {
      addOutcome(record, toOutcome('rejected'), performance.now());
    });
  },
);

Then(
  'within {int} ms the other one counts {int} rejections of it',
  async function (this: PlacementWorld, time: number, count: number) {
    const record = this.records[1];
    assert.ok(record);
    try {
      const until = performance.now() + time;
      while (record.rejected <= count - 1 && performance.now() < until) await sleep(10);
      assert.ok(record.rejected > count - 1, `${record.rejected} rejections`);
    } finally {
      this.gossips.forEach((gossip) => {
        gossip.close();
      });
    }
  },
);

Then('a placement row grows by at most {int} bytes', function (most: number) {
  const row = [4_000_000_000, 2, 0, 100, 90, 1, 1];
  const grown = [...row, 0, 0, 0, 0, 127];
  assert.ok(pack(grown).length - pack(row).length <= most);
});

Given(
  /^a placement replay of (\d+) upstreams with (\d+) slots at load ([\d.]+), of which (\d+) reject a share of ([\d.]+) for (\d+) ms$/,
  function (
    this: PlacementWorld,
    upstreams: string,
    slots: string,
    load: string,
    rejecting: string,
    share: string,
    time: string,
  ) {
    this.scenario = {
      ...{ seed: 1, duration: 12_000, gateways: 12, upstreams: Number(upstreams) },
      ...{ slots: Number(slots), queue: 8, load: Number(load) },
      ...{ isReset: true, work: 120, target: 600, deadline: 2000 },
      shed: {
        ...{ from: 2000, until: 2000 + Number(time) },
        ...{ upstreams: Number(rejecting), share: Number(share) },
      },
    };
  },
);

When(
  'it runs with and without the placement on the seeds {int} to {int}',
  { timeout: 60_000 },
  function (this: PlacementWorld, first: number, last: number) {
    this.pairs = Array.from({ length: last - first + 1 }, (_, index) => {
      const scenario = { ...this.scenario, seed: first + index };
      return { before: runReplay(scenario, without), after: runReplay(scenario, withPlacement) };
    });
  },
);

/** Returns the sum of a figure over all seeds, without and with the placement. */
function sumPairs(
  { pairs }: PlacementWorld,
  read: (result: ReplayResult) => number,
): readonly [before: number, after: number] {
  const sum = (results: readonly ReplayResult[]): number =>
    results.reduce((total, result) => total + read(result), 0);
  return [sum(pairs.map(({ before }) => before)), sum(pairs.map(({ after }) => after))];
}

function countRequests(world: PlacementWorld): number {
  return sumPairs(world, ({ safe, unsafe }) => safe.requests + unsafe.requests)[1];
}

Then(
  'the placement serves at least {int} more requests of 1000 in target',
  function (this: PlacementWorld, more: number) {
    const read = ({ safe, unsafe }: ReplayResult): number => safe.inTarget + unsafe.inTarget;
    const [before, after] = sumPairs(this, read);
    const gain = (1000 * (after - before)) / countRequests(this);
    assert.ok(gain >= more, `${gain.toFixed(1)} more of 1000`);
  },
);

Then(
  'the placement has at most {float} as many rejected attempts',
  function (this: PlacementWorld, most: number) {
    const [before, after] = sumPairs(this, ({ rejectedAttempts }) => rejectedAttempts);
    assert.ok(after <= before * most, `${after} after, ${before} before`);
  },
);

Then(
  'the placement fails at most {int} more requests of 1000',
  function (this: PlacementWorld, most: number) {
    const [before, after] = sumPairs(this, ({ safe, unsafe }) => safe.failed + unsafe.failed);
    const loss = (1000 * (after - before)) / countRequests(this);
    assert.ok(loss <= most, `${loss.toFixed(1)} more of 1000`);
  },
);

Given(/^placement losses at upstreams "([^"]*)"$/, function (this: PlacementWorld, text: string) {
  this.losses = text.split(', ').reduce((state, item) => {
    const [upstream = 0, waiting = 0, at = 0] = item.split(' ').map(Number);
    return addLoss(state, { upstream, waiting, at });
  }, NO_LOSSES);
});

Then(
  /^the placement lets (\d+|any number of) requests? wait in an upstream at (\d+) ms$/,
  function (this: PlacementWorld, count: string, at: string) {
    const wanted = count === 'any number of' ? Infinity : Number(count);
    assert.equal(computeLossLimit(this.losses, Number(at)), wanted);
  },
);

Then(
  /^a placement of an upload with (\d+) requests in 2 slots, a report (\d+) ms old and (\d+) requests a second is (certain|uncertain)$/,
  function (occupancy: string, age: string, rate: string, wanted: string) {
    const knowledge = { occupancy: Number(occupancy), age: Number(age), rate: Number(rate) };
    const isCertain = isSlotCertain({ ...knowledge, slots: 2, time: 120, limit: 0 });
    assert.equal(isCertain, wanted === 'certain');
  },
);

Given(
  /^a placement replay of (\d+) upstreams with 2 slots and a queue of 8 that reset connections, in a burst of ([\d.]+)$/,
  function (this: PlacementWorld, upstreams: string, factor: string) {
    this.scenario = {
      ...{ seed: 1, duration: 12_000, gateways: 12, upstreams: Number(upstreams), slots: 2 },
      ...{ queue: 8, load: 0.7, isReset: true, work: 120, target: 600, deadline: 2000 },
      burst: { from: 3000, until: 9000, factor: Number(factor) },
    };
  },
);

Given(
  '{int} of its 12 placement gateways send and receive no load reports',
  function (this: PlacementWorld, isolated: number) {
    this.scenario = { ...this.scenario, isolated };
  },
);

Given(
  'each of its upstreams is {int} times slower with probability {float}, anew every {int} ms, at load {float}',
  function (this: PlacementWorld, factor: number, share: number, interval: number, load: number) {
    this.scenario = { ...this.scenario, load, noise: { factor, share, interval } };
  },
);

Then(
  'the placement has at most {float} as many failed requests that must not run twice',
  function (this: PlacementWorld, most: number) {
    const [before, after] = sumPairs(this, ({ unsafe }) => unsafe.failed);
    assert.ok(after <= before * most, `${after} after, ${before} before`);
  },
);

Then(
  'the placement serves at most {int} fewer of 1000 requests that must not run twice in target',
  function (this: PlacementWorld, most: number) {
    const [before, after] = sumPairs(this, ({ unsafe }) => unsafe.inTarget);
    const [requests] = sumPairs(this, ({ unsafe }) => unsafe.requests);
    const loss = (1000 * (before - after)) / requests;
    assert.ok(loss <= most, `${loss.toFixed(1)} fewer of 1000`);
  },
);
