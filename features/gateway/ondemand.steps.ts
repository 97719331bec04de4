import { After, Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { createHedging, noQuarantine } from './runhost.js';
import type { Route } from '../../src/catalog/index.js';
import { addReport, UpstreamRegistry } from '../../src/gateway/registry.js';
import { TokenBucket } from '../../src/gateway/budget.js';
import { chooseUpstream } from '../../src/gateway/choose.js';
import { isProbeWorthwhile } from '../../src/gateway/ondemand.js';
import { BufferBudget } from '../../src/gateway/buffers.js';
import { ConnectionPool } from '../../src/gateway/pool.js';
import { computeProbeInterval, RequestRates } from '../../src/gateway/probing.js';
import { createProber, type Prober } from '../../src/gateway/prober.js';
import { RequestRun, type RunHost } from '../../src/gateway/run.js';
import type {
  AttemptOutcome,
  FinalAnswer,
  GatewayRequest,
  UpstreamRecord,
} from '../../src/gateway/types.js';
import { headerDialect } from '../../platform/headers.js';
import { createCatalog, createInstance } from './catalog.js';

interface OnDemandWorld {
  prober: Prober | undefined;
  upstreamRecords: readonly UpstreamRecord[];
  rateLimits: readonly TokenBucket[];
  refillPerSecond: number;
  upstreams: number;
  probesPerSecond: number;
  work: number;
  excess: number;
  vms: readonly SharedVm[];
  areProbesOn: boolean;
  slowShare: number;
  runs: readonly RandomRun[];
}

const SEED = 20261204;
const EPOCH = 500;
const SLOW_PACE = 7;
const SLOW_SHARE = 0.25;
const BASE_PROBE_INTERVAL = 150;

function createDraw(seed: number): () => number {
  const random = xoroshiro128plus(seed);
  return () => (random.next() >>> 0) / 2 ** 32;
}

/** A VM whose pace is redrawn every half second, at a random phase. */
class SharedVm {
  readonly #paces: readonly number[];
  readonly #phase: number;

  constructor(
    readonly record: UpstreamRecord,
    draw: () => number,
  ) {
    this.#phase = draw() * EPOCH;
    this.#paces = Array.from({ length: 100 }, () => (draw() < SLOW_SHARE ? SLOW_PACE : 1));
  }

  getPace(at: number): number {
    return this.#paces[Math.floor((at + this.#phase) / EPOCH)] ?? 1;
  }

  report(reportedAt: number): void {
    const report = { running: 1, waiting: 0, slots: 6, pace: this.getPace(reportedAt) };
    addReport(this.record, report, reportedAt);
  }
}

const route: Route = {
  ...{ name: 'r', host: 'h', prefix: '/', kind: 'safe', timeout: 5000, targetLatency: 600 },
  ...{ maxAttempts: 2, rank: 0, parts: [{ service: 'records', weight: 1 }], source: undefined },
};

function createRequest(kind: Route['kind'], arrivedAt: number): GatewayRequest {
  return {
    ...{ id: '1', method: 'GET', target: '/', headers: [], body: Buffer.alloc(0), hasBody: false },
    ...{ callerHeaders: [], account: undefined, rank: route.rank },
    ...{ route: { ...route, kind }, service: 'records', version: undefined },
    ...{ retryVersion: undefined, account: undefined, rank: route.rank },
    ...{ arrivedAt, deadline: arrivedAt + 5000 },
  };
}

Given(
  '{int} ms of work on VMs whose pace exceeds the normal one by {float} on average',
  function (this: OnDemandWorld, work: number, excess: number) {
    Object.assign(this, { work, excess });
  },
);

Then(
  /^a probe is worthwhile when the load report is (\w+) ms old: (yes|no)$/,
  function (this: OnDemandWorld, age: string, wanted: string) {
    assert.equal(isProbeWorthwhile(this.work, this.excess, Number(age)), wanted === 'yes');
  },
);

Given(
  /^30 upstreams on such VMs, whose load reports are 20 to 220 ms old, with on-demand probes (on|off)$/,
  function (this: OnDemandWorld, probes: string) {
    const draw = createDraw(SEED);
    const registry = new UpstreamRegistry();
    registry.update(createCatalog(Array.from({ length: 30 }, (_, index) => `u${index}`)));
    this.vms = registry.records.map((record) => new SharedVm(record, draw));
    this.areProbesOn = probes === 'on';
  },
);

/** What differs between the replays of one gateway. */
interface ReplayOptions {
  readonly vms: readonly SharedVm[];
  readonly now: number;
  readonly work: number;
  readonly timeLeft: number;
  readonly targetTime: number;
  /** Whether the request probes upstreams on demand. */
  readonly isProbing: boolean;
  /** Whether connections to all upstreams are open, or to none. */
  readonly isConnected: boolean;
  readonly draw: () => number;
  readonly onProbe: () => void;
}

/** Runs one request at a gateway and returns the pace of the VM on which it began. */
function runReplayedRequest(options: ReplayOptions): number {
  const { vms, now, work, timeLeft, targetTime, isProbing, isConnected, draw, onProbe } = options;
  const excess = SLOW_SHARE * (SLOW_PACE - 1);
  const find = (record: UpstreamRecord): SharedVm => {
    const vm = vms.find((one) => one.record === record);
    assert.ok(vm);
    return vm;
  };
  let chosenPace = 0;
  const host: RunHost = {
    now: () => now,
    buffers: new BufferBudget(1_000_000),
    ...createHedging(),
    choose: (_request, tried, justProbed) =>
      chooseUpstream(
        vms.map(({ record }) => record).filter((record) => !tried.includes(record)),
        {
          ...{ now, work, timeLeft, targetTime, zone: 'a', isLarge: false, deadlineShare: 0.8 },
          ...{
            random: draw(),
            justProbed,
            canProbe: !isConnected,
            hasConnection: () => isConnected,
          },
        },
      ),
    isProbeDue: (_request, { reportedAt }) =>
      isProbing && isProbeWorthwhile(work, excess, now - reportedAt),
    probeOnDemand: (record, onEnd) => {
      onProbe();
      record.reportedAt = -Infinity;
      find(record).report(now);
      onEnd(true);
    },
    send: (_request, record) => {
      chosenPace = find(record).getPace(now);
      return { cancel: () => undefined };
    },
    ...noQuarantine,
    takeRetry: () => false,
    recordAttempt: () => undefined,
    recordDecision: () => undefined,
  };
  new RequestRun(host, createRequest('safe', now), () => undefined).cancel();
  return chosenPace;
}

When(
  '{int} requests with {int} ms of work are sent, one every {int} ms',
  function (this: OnDemandWorld, count: number, work: number, gap: number) {
    const draw = createDraw(SEED + 1);
    const paces = Array.from({ length: count }, (_, index) => {
      const now = 1000 + index * gap;
      this.vms.forEach((vm) => {
        if (now - vm.record.reportedAt > 200) vm.report(now - 20);
      });
      return runReplayedRequest({
        ...{ vms: this.vms, now, work, timeLeft: 5000, targetTime: 600, draw },
        ...{ isProbing: this.areProbesOn, isConnected: true, onProbe: () => undefined },
      });
    });
    this.slowShare = paces.filter((pace) => pace > 1).length / count;
  },
);

Then(
  /^the share that began on a slow VM is (above|below) (\d+) in 100$/,
  function (this: OnDemandWorld, side: string, bound: string) {
    const limit = Number(bound) / 100;
    const isWithin = side === 'above' ? this.slowShare > limit : this.slowShare < limit;
    assert.ok(isWithin, `${this.slowShare} of the requests began on a slow VM`);
  },
);

interface RareRequestsWorld extends OnDemandWorld {
  interval: number;
  probesPerRequest: number;
}

/** Milliseconds that load gossip takes to reach a gateway of a large fleet, at most. */
const GOSSIP_DELAY = 300;

Given(
  '{int} upstreams on such VMs, each of which gets {float} requests a second from all gateways',
  function (this: RareRequestsWorld, upstreams: number, rate: number) {
    const draw = createDraw(SEED);
    const registry = new UpstreamRegistry();
    registry.update(createCatalog(Array.from({ length: upstreams }, (_, index) => `u${index}`)));
    this.vms = registry.records.map((record) => new SharedVm(record, draw));
    this.refillPerSecond = rate;
  },
);

When(
  /^their load is probed at the interval for (that rate|busy upstreams), and 3000 requests with 660 ms of work are sent$/,
  function (this: RareRequestsWorld, interval: string) {
    const rate = interval === 'that rate' ? this.refillPerSecond : undefined;
    this.interval = computeProbeInterval(BASE_PROBE_INTERVAL, rate);
    const draw = createDraw(SEED + 1);
    let onDemand = 0;
    const paces = Array.from({ length: 3000 }, (_, index) => {
      const now = 2000 + index * 15;
      this.vms.forEach((vm) => {
        const age = draw() * (this.interval + GOSSIP_DELAY);
        // The report that this gateway has of the upstream, as old as the interval and the gossip make it.
        vm.record.reportedAt = -Infinity;
        vm.report(now - age);
      });
      return runReplayedRequest({
        ...{ vms: this.vms, now, work: 660, timeLeft: 6000, targetTime: 1500, draw },
        ...{ isProbing: true, isConnected: false },
        onProbe: () => {
          onDemand += 1;
        },
      });
    });
    this.slowShare = paces.filter((pace) => pace > 1).length / paces.length;
    const periodic = 1000 / this.interval / this.refillPerSecond;
    this.probesPerRequest = periodic + onDemand / paces.length;
  },
);

Then(
  /^the probes for each request are (at most|more than) (\d+)$/,
  function (this: RareRequestsWorld, side: string, bound: string) {
    const isWithin =
      side === 'at most'
        ? this.probesPerRequest <= Number(bound)
        : this.probesPerRequest > Number(bound);
    assert.ok(isWithin, `${this.probesPerRequest} probes for each request`);
  },
);

Then(
  'the probe interval for {float} requests a second is {int} ms',
  function (rate: number, interval: number) {
    assert.equal(Math.round(computeProbeInterval(BASE_PROBE_INTERVAL, rate)), interval);
  },
);

When(
  'a gateway gets {int} requests of a service, one every {int} ms',
  function (this: RareRequestsWorld, count: number, gap: number) {
    const rates = new RequestRates();
    const early: (number | undefined)[] = [];
    Array.from({ length: count }, (_, index) => index * gap).forEach((now) => {
      rates.addRequest('records', now);
      if (now < 2000) early.push(rates.getRate('records', now));
    });
    assert.deepEqual([...new Set(early)], [undefined]);
    this.probesPerSecond = rates.getRate('records', (count - 1) * gap) ?? 0;
  },
);

Then(
  'it reports {float} requests a second within {int} in 100, and none in the first 2 seconds',
  function (this: RareRequestsWorld, rate: number, tolerance: number) {
    const deviation = Math.abs(this.probesPerSecond - rate) / rate;
    assert.ok(deviation <= tolerance / 100, `${this.probesPerSecond} requests a second`);
  },
);

interface RandomRun {
  readonly kind: Route['kind'];
  readonly sent: number;
  /** Number of attempts whose outcome shows that the request did not run. */
  readonly notRun: number;
  readonly answers: readonly FinalAnswer[];
  /** Whether an attempt was sent after one that may have run; this must not happen to unsafe requests. */
  readonly mayHaveRunTwice: boolean;
}

function createOutcome(draw: () => number): AttemptOutcome {
  const kinds: readonly AttemptOutcome[] = [
    { kind: 'lost', reason: 'reset', isDisconnected: true },
    { kind: 'notRun', isMisdirected: false },
    { kind: 'unreachable', reason: 'refused' },
    {
      kind: 'answered',
      answer: {
        ...{ status: draw() < 0.5 ? 500 : 200, reason: '', headers: [] },
        ...{ body: Buffer.alloc(0), isUnframed: false },
      },
    },
  ];
  return (
    kinds[Math.floor(draw() * kinds.length)] ?? {
      kind: 'lost',
      reason: 'reset',
      isDisconnected: true,
    }
  );
}

/** Runs a request and ends its on-demand probes and attempts one at a time, in random order. */
function runRandom(draw: () => number, records: readonly UpstreamRecord[]): RandomRun {
  const kind = draw() < 0.5 ? 'unsafe' : 'safe';
  let isQuarantined = false;
  const pendingCallbacks: (() => void)[] = [];
  const answers: FinalAnswer[] = [];
  let sent = 0;
  let notRun = 0;
  let mayHaveRunTwice = false;
  const host: RunHost = {
    now: () => 0,
    buffers: new BufferBudget(1_000_000),
    ...createHedging(),
    choose: (_, tried) => {
      const [record] = records.filter((one) => !tried.includes(one));
      return record === undefined || draw() < 0.1
        ? { kind: 'noUpstream' }
        : { kind: 'chosen', record, expected: 0, slowdown: 1 };
    },
    isProbeDue: () => draw() < 0.6,
    probeOnDemand: (_, onEnd) => {
      pendingCallbacks.push(() => {
        onEnd(draw() < 0.7);
      });
    },
    send: (_request, _record, onEnd) => {
      if (sent > notRun) mayHaveRunTwice = true;
      sent += 1;
      pendingCallbacks.push(() => {
        const outcome = createOutcome(draw);
        if (outcome.kind === 'notRun' || outcome.kind === 'unreachable') notRun += 1;
        onEnd(outcome);
      });
      return { cancel: () => undefined };
    },
    isAllowed: () => true,
    getQuarantineTime: () => (isQuarantined ? 1000 : 0),
    isSuspected: () => draw() < 0.3,
    waitForCrashCheck: (_request, _record, onEnd) => {
      if (draw() < 0.5) onEnd();
      else pendingCallbacks.push(onEnd);
    },
    takeRetry: () => draw() < 0.8,
    recordAttempt: () => undefined,
    recordDecision: () => undefined,
  };
  const run = new RequestRun(host, createRequest(kind, 0), (answer) => {
    answers.push(answer);
  });
  while (pendingCallbacks.length > 0 && answers.length === 0) {
    // A hedge may be sent between any two events.
    if (draw() < 0.3) run.sendHedge();
    if (draw() < 0.05) {
      isQuarantined = true;
      run.handleQuarantine();
    }
    const at = Math.floor(draw() * pendingCallbacks.length);
    pendingCallbacks.splice(at, 1)[0]?.();
  }
  run.cancel();
  return { kind, sent, notRun, answers, mayHaveRunTwice };
}

Given(
  '{int} random requests whose probes and attempts end in any order',
  function (this: OnDemandWorld, count: number) {
    const draw = createDraw(SEED + 2);
    const registry = new UpstreamRegistry();
    registry.update(createCatalog(Array.from({ length: 9 }, (_, index) => `u${index}`)));
    this.runs = Array.from({ length: count }, () => runRandom(draw, registry.records));
  },
);

Then(
  "unsafe requests were retried only if they can't have run, and the others ran at most 2 times",
  function (this: OnDemandWorld) {
    assert.ok(this.runs.some(({ kind, sent }) => kind === 'safe' && sent > 1));
    this.runs.forEach(({ kind, sent, notRun, mayHaveRunTwice }) => {
      if (kind === 'unsafe') assert.ok(!mayHaveRunTwice);
      else assert.ok(sent - notRun <= 2, `${sent} sent, ${notRun} of them not run`);
    });
  },
);

Then('each request got one answer', function (this: OnDemandWorld) {
  this.runs.forEach(({ answers }) => {
    assert.equal(answers.length, 1);
  });
});

Given(
  '{int} gateways that probe {int} upstreams on demand whenever they may, at {int} probes per second each',
  function (this: OnDemandWorld, gateways: number, upstreams: number, rate: number) {
    this.rateLimits = Array.from({ length: gateways }, () => new TokenBucket());
    this.upstreams = upstreams;
    // On-demand probes may use half of the probe rate.
    this.refillPerSecond = (upstreams * rate * 0.5) / gateways;
  },
);

When('{int} seconds pass', function (this: OnDemandWorld, seconds: number) {
  const times = Array.from({ length: seconds * 200 }, (_, index) => index * 5);
  this.probesPerSecond = this.rateLimits.reduce((sum, rateLimit) => {
    const own = times.filter((now) => {
      rateLimit.refill(this.refillPerSecond, now);
      const isAllowed = rateLimit.hasToken();
      if (isAllowed) rateLimit.takeToken();
      return isAllowed;
    });
    return sum + own.length / seconds;
  }, 0);
});

Then(
  'they made at least {int} and at most {int} on-demand probes per second and upstream',
  function (this: OnDemandWorld, least: number, most: number) {
    const each = this.probesPerSecond / this.upstreams;
    assert.ok(each >= least && each <= most, `${each} on-demand probes per second and upstream`);
  },
);

Given(
  "a gateway that doesn't probe any of the upstreams periodically",
  function (this: OnDemandWorld) {
    const registry = new UpstreamRegistry();
    const catalog = createCatalog(['u1', 'u2', 'u3']);
    const other = { ...createInstance('u3'), service: 'orders' };
    registry.update({ ...catalog, instances: new Map(catalog.instances).set('u3', other) });
    this.upstreamRecords = registry.records;
    const pool = new ConnectionPool(headerDialect, new BufferBudget(1_000_000));
    pool.close();
    this.prober = createProber({
      ...{ pool, dialect: headerDialect, rate: 60, self: 'nobody' },
      getInterval: () => 60_000,
      now: () => performance.now(),
      listGateways: () => ['another'],
      listProbers: () => ['another'],
      listRecords: () => registry.records,
      onLoad: () => undefined,
      onHead: () => undefined,
      onCold: () => undefined,
      onWarm: () => undefined,
      onEnd: () => undefined,
    });
  },
);

Then(
  'it may probe an upstream on demand if another gateway reported its load',
  function (this: OnDemandWorld) {
    const [reported] = this.upstreamRecords;
    assert.ok(reported);
    addReport(reported, { running: 1, waiting: 0, slots: 6, pace: 1 }, performance.now() - 100);
    assert.equal(this.prober?.canProbeOnDemand(reported), true);
  },
);

Then(
  'it may also probe the other upstreams of the same service, whose load nobody reported yet',
  function (this: OnDemandWorld) {
    const unreported = this.upstreamRecords[1];
    assert.ok(unreported);
    assert.equal(this.prober?.canProbeOnDemand(unreported), true);
  },
);

Then(
  'it may not probe an upstream on demand if no gateway reported the load of any upstream of its service',
  function (this: OnDemandWorld) {
    const unreported = this.upstreamRecords[2];
    assert.ok(unreported);
    assert.equal(this.prober?.canProbeOnDemand(unreported), false);
  },
);

interface ZoneProber {
  readonly zone: string;
  readonly prober: Prober;
}

interface ZoneProberWorld extends OnDemandWorld {
  zoneProbers: readonly ZoneProber[];
}

Given(
  '{int} gateways and {int} upstreams in each of the zones {string}, and {int} upstreams in zone {string}',
  function (
    this: ZoneProberWorld,
    gateways: number,
    upstreams: number,
    zones: string,
    others: number,
    otherZone: string,
  ) {
    const gatewaysByZone = new Map(
      zones
        .split(' ')
        .map((zone) => [
          zone,
          Array.from({ length: gateways }, (_, index) => `gateway-${zone}-${index}`),
        ]),
    );
    const instances = [
      ...[...gatewaysByZone.keys()].flatMap((zone) =>
        Array.from({ length: upstreams }, (_, index) => createInstance(`${zone}-${index}`, zone)),
      ),
      ...Array.from({ length: others }, (_, index) =>
        createInstance(`${otherZone}-${index}`, otherZone),
      ),
    ];
    const registry = new UpstreamRegistry();
    registry.update({
      ...createCatalog([]),
      instances: new Map(instances.map((instance) => [instance.id, instance])),
    });
    this.upstreamRecords = registry.records;
    const all = [...gatewaysByZone.values()].flat();
    const pool = new ConnectionPool(headerDialect, new BufferBudget(1_000_000));
    pool.close();
    this.zoneProbers = [...gatewaysByZone].flatMap(([zone, ids]) =>
      ids.map((self) => ({
        zone,
        prober: createProber({
          ...{ pool, dialect: headerDialect, rate: 60, self },
          getInterval: () => 60_000,
          now: () => 0,
          listGateways: () => all,
          listProbers: (name) => gatewaysByZone.get(name) ?? all,
          listRecords: () => registry.records,
          onLoad: () => undefined,
          onHead: () => undefined,
          onCold: () => undefined,
          onWarm: () => undefined,
          onEnd: () => undefined,
        }),
      })),
    );
  },
);

When('the gateways look for due probes', async function (this: ZoneProberWorld) {
  await new Promise((resolve) => setTimeout(resolve, 150));
});

Then(
  'each upstream is probed by exactly one gateway, which is in its zone if the zone has any',
  function (this: ZoneProberWorld) {
    this.upstreamRecords.forEach((record) => {
      const probers = this.zoneProbers.filter(({ prober }) => prober.isProber(record));
      assert.equal(probers.length, 1, record.instance.id);
      const { zone } = record.instance;
      const hasGateways = this.zoneProbers.some((one) => one.zone === zone);
      if (hasGateways) assert.equal(probers[0]?.zone, zone);
    });
  },
);

After(function (this: Partial<ZoneProberWorld>) {
  this.zoneProbers?.forEach(({ prober }) => {
    prober.close();
  });
});

After(function (this: Partial<OnDemandWorld>) {
  this.prober?.close();
});
