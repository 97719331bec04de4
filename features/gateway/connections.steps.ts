import { Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { chooseUpstream } from '../../src/gateway/choose.js';
import { isProbeWorthwhile } from '../../src/gateway/ondemand.js';
import { addReport, UpstreamRegistry } from '../../src/gateway/registry.js';
import type { UpstreamRecord } from '../../src/gateway/types.js';
import { isUpkeepDue } from '../../src/gateway/upkeep.js';
import { createCatalog } from './catalog.js';

const NOW = 100_000;
/** Milliseconds for which an idle connection can be reused. */
const KEEP_ALIVE = 7000;
const EPOCH = 500;
const SLOW_PACE = 4;
const SLOW_SHARE = 0.25;
const EXCESS_PACE = SLOW_SHARE * (SLOW_PACE - 1);
const TICK = 50;
const MAX_PROBES = 3;

interface UpkeepWorld {
  record: UpstreamRecord;
  idleTime: number;
}

Given(
  'an upstream that was last sent a request {int} ms ago and is {string}',
  function (this: UpkeepWorld, sentAgo: number, state: string) {
    const registry = new UpstreamRegistry();
    registry.update(createCatalog(['u1']));
    const [record] = registry.records;
    assert.ok(record);
    const instance = { ...record.instance, draining: state === 'draining' };
    this.record = Object.assign(record, {
      instance,
      lastSentAt: NOW - sentAgo,
      isProbing: state === 'probing',
      coldUntil: state === 'cold' ? NOW + 1000 : -Infinity,
      unreachableUntil: state === 'unreachable' ? NOW + 1000 : -Infinity,
    });
  },
);

When('an idle connection to it expires in {int} ms', function (this: UpkeepWorld, left: number) {
  this.idleTime = left;
});

Then(/^a probe keeps the connection open: (yes|no)$/, function (this: UpkeepWorld, wanted: string) {
  assert.equal(isUpkeepDue(this.record, this.idleTime, NOW), wanted === 'yes');
});

/** An upstream, whose pace is redrawn every half second. */
interface SimulatedUpstream {
  readonly paces: readonly number[];
  readonly endsAt: number[];
}

/** A gateway's view of the upstreams, and the instants until which its idle connections last. */
interface SimulatedGateway {
  readonly registry: UpstreamRegistry;
  readonly idleUntil: Map<string, number>;
}

interface ReplayWorld {
  gateways: readonly SimulatedGateway[];
  upstreams: ReadonlyMap<string, SimulatedUpstream>;
  draw: () => number;
  sent: number;
  opened: number;
  slow: number;
  busiest: number;
}

Given(
  '{int} gateways and {int} upstreams on VMs of which a quarter is 4 times slower for half a second at a time',
  function (this: ReplayWorld, gateways: number, upstreams: number) {
    const random = xoroshiro128plus(20261204);
    this.draw = () => (random.next() >>> 0) / 2 ** 32;
    const ids = Array.from({ length: upstreams }, (_, index) => `u${index}`);
    this.upstreams = new Map(
      ids.map((id) => [
        id,
        {
          paces: Array.from({ length: 200 }, () => (this.draw() < SLOW_SHARE ? SLOW_PACE : 1)),
          endsAt: [],
        },
      ]),
    );
    this.gateways = Array.from({ length: gateways }, () => {
      const registry = new UpstreamRegistry();
      registry.update(createCatalog(ids));
      return { registry, idleUntil: new Map() };
    });
    Object.assign(this, { sent: 0, opened: 0, slow: 0, busiest: 0 });
  },
);

function findUpstream({ upstreams }: ReplayWorld, { instance }: UpstreamRecord): SimulatedUpstream {
  const upstream = upstreams.get(instance.id);
  assert.ok(upstream);
  return upstream;
}

function report(world: ReplayWorld, record: UpstreamRecord, now: number, reportedAt: number): void {
  const { paces, endsAt } = findUpstream(world, record);
  const running = endsAt.filter((at) => at > now).length;
  const pace = paces[Math.floor(reportedAt / EPOCH)] ?? 1;
  addReport(record, { running, waiting: 0, slots: 6, pace }, reportedAt);
}

/** Uses a connection of the gateway until an instant and counts it if it is new. */
function openConnection(
  world: ReplayWorld,
  gateway: SimulatedGateway,
  id: string,
  now: number,
  until: number,
): void {
  const idleUntil = gateway.idleUntil.get(id) ?? 0;
  const isFree = idleUntil > now && idleUntil <= now + KEEP_ALIVE;
  if (!isFree && now > 10_000) world.opened += 1;
  gateway.idleUntil.set(id, until + KEEP_ALIVE);
}

function runRequest(
  world: ReplayWorld,
  gateway: SimulatedGateway,
  now: number,
  work: number,
): void {
  const hasConnection = ({ instance }: UpstreamRecord): boolean => {
    const idleUntil = gateway.idleUntil.get(instance.id) ?? 0;
    return idleUntil > now && idleUntil <= now + KEEP_ALIVE;
  };
  const probed: UpstreamRecord[] = [];
  const choose = (): UpstreamRecord => {
    const choice = chooseUpstream(gateway.registry.records, {
      ...{ now, work, timeLeft: 6000, targetTime: 1500, zone: 'a', isLarge: false },
      ...{ justProbed: probed, canProbe: true, hasConnection, deadlineShare: 0.8 },
      random: world.draw(),
    });
    assert.ok(choice.kind === 'chosen');
    const isDue = isProbeWorthwhile(work, EXCESS_PACE, now - choice.record.reportedAt);
    if (probed.length >= MAX_PROBES || probed.includes(choice.record) || !isDue)
      return choice.record;
    openConnection(world, gateway, choice.record.instance.id, now, now);
    report(world, choice.record, now, now);
    probed.push(choice.record);
    return choose();
  };
  const record = choose();
  const upstream = findUpstream(world, record);
  const pace = upstream.paces[Math.floor(now / EPOCH)] ?? 1;
  const endsAt = now + work * pace;
  openConnection(world, gateway, record.instance.id, now, endsAt);
  upstream.endsAt.push(endsAt);
  record.lastSentAt = now;
  if (now <= 10_000) return;
  world.sent += 1;
  if (pace > 1) world.slow += 1;
  world.busiest = Math.max(world.busiest, upstream.endsAt.filter((at) => at > now).length);
}

function runUpkeep(
  world: ReplayWorld,
  { registry, idleUntil }: SimulatedGateway,
  now: number,
): void {
  registry.records.forEach((record) => {
    const left = (idleUntil.get(record.instance.id) ?? 0) - now;
    if (left <= 0 || left > KEEP_ALIVE || !isUpkeepDue(record, left, now)) return;
    report(world, record, now, now);
    idleUntil.set(record.instance.id, now + KEEP_ALIVE);
  });
}

When(
  'each gateway has a request of {int} ms every {int} ms on average, for {int} seconds',
  function (this: ReplayWorld, work: number, gap: number, seconds: number) {
    const ticks = Array.from({ length: (seconds * 1000) / TICK }, (_, index) => index * TICK);
    ticks.forEach((now) => {
      this.gateways.forEach((gateway, index) => {
        // Reports of other gateways arrive 200 ms old, spread over the ticks.
        gateway.registry.records
          .filter((_, at) => (now / TICK + at + index) % 6 === 0)
          .forEach((record) => {
            report(this, record, now, now - 200);
          });
        if (now % 500 === 0) runUpkeep(this, gateway, now);
        if (this.draw() < TICK / gap) runRequest(this, gateway, now, work);
      });
    });
  },
);

Then(
  'at most {int} in 100 of the requests of the last 50 seconds needed a new connection',
  function (this: ReplayWorld, most: number) {
    const share = (this.opened / this.sent) * 100;
    assert.ok(this.sent > 500 && share <= most, `${share.toFixed(1)} in 100 of ${this.sent}`);
  },
);

Then(
  'at most {int} in 100 of the requests began on a slow VM',
  function (this: ReplayWorld, most: number) {
    const share = (this.slow / this.sent) * 100;
    assert.ok(share <= most, `${share.toFixed(1)} in 100`);
  },
);

Then(
  'no upstream ran more than {int} requests at once',
  function (this: ReplayWorld, most: number) {
    assert.ok(this.busiest <= most, `${this.busiest}`);
  },
);
