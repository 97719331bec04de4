import { After, Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Route } from '../../src/catalog/index.js';
import { addReport, UpstreamRegistry } from '../../src/gateway/registry.js';
import { TokenBucket } from '../../src/gateway/budget.js';
import { chooseUpstream } from '../../src/gateway/choose.js';
import { isProbeWorthwhile } from '../../src/gateway/ondemand.js';
import { ConnectionPool } from '../../src/gateway/pool.js';
import { createProber, type Prober } from '../../src/gateway/prober.js';
import { RequestRun, type RunHost } from '../../src/gateway/run.js';
import type {
  AttemptOutcome,
  FinalAnswer,
  GatewayRequest,
  UpstreamRecord,
} from '../../src/gateway/types.js';
import { headerDialect } from '../../platform/headers.js';
import { createCatalog } from './catalog.js';

interface LooksWorld {
  prober: Prober | undefined;
  probed: readonly UpstreamRecord[];
  allowances: readonly TokenBucket[];
  perSecond: number;
  upstreams: number;
  made: number;
  work: number;
  excess: number;
  vms: readonly SharedVm[];
  looks: boolean;
  slowShare: number;
  runs: readonly RandomRun[];
}

const SEED = 20261204;
const EPOCH = 500;
const SLOW_PACE = 7;
const SLOW_SHARE = 0.25;

function createDraw(seed: number): () => number {
  const random = xoroshiro128plus(seed);
  return () => (random.next() >>> 0) / 2 ** 32;
}

/** A VM whose pace is drawn anew each half second, at a phase of its own. */
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

  report(madeAt: number): void {
    const report = { running: 1, waiting: 0, slots: 6, pace: this.getPace(madeAt) };
    addReport(this.record, report, madeAt);
  }
}

const route: Route = {
  ...{ name: 'r', host: 'h', prefix: '/', kind: 'safe', timeout: 5000, targetLatency: 600 },
  ...{ maxAttempts: 2, rank: 0, parts: [{ service: 'records', weight: 1 }], source: undefined },
};

function createRequest(kind: Route['kind'], arrivedAt: number): GatewayRequest {
  return {
    ...{ id: '1', method: 'GET', target: '/', headers: [], body: Buffer.alloc(0), hasBody: false },
    ...{ route: { ...route, kind }, service: 'records', version: undefined },
    ...{ arrivedAt, deadline: arrivedAt + 5000 },
  };
}

Given(
  '{int} ms of work on VMs whose pace exceeds the usual by {float} on average',
  function (this: LooksWorld, work: number, excess: number) {
    Object.assign(this, { work, excess });
  },
);

Then(
  /^a look at a report of (\w+) ms ago is worthwhile: (yes|no)$/,
  function (this: LooksWorld, age: string, wanted: string) {
    assert.equal(isProbeWorthwhile(this.work, this.excess, Number(age)), wanted === 'yes');
  },
);

Given(
  /^30 upstreams on such VMs, whose reports are 20 to 220 ms old, and looks are (on|off)$/,
  function (this: LooksWorld, looks: string) {
    const draw = createDraw(SEED);
    const book = new UpstreamRegistry();
    book.update(createCatalog(Array.from({ length: 30 }, (_, at) => `u${at}`)));
    this.vms = book.records.map((record) => new SharedVm(record, draw));
    this.looks = looks === 'on';
  },
);

When(
  '{int} requests with {int} ms of work are placed, one each {int} ms',
  function (this: LooksWorld, count: number, work: number, gap: number) {
    const draw = createDraw(SEED + 1);
    const find = (record: UpstreamRecord): SharedVm => {
      const vm = this.vms.find((one) => one.record === record);
      assert.ok(vm);
      return vm;
    };
    const excess = SLOW_SHARE * (SLOW_PACE - 1);
    const paces = Array.from({ length: count }, (_, at) => {
      const now = 1000 + at * gap;
      this.vms.forEach((vm) => {
        if (now - vm.record.reportedAt > 200) vm.report(now - 20);
      });
      let begun = 0;
      const host: RunHost = {
        now: () => now,
        choose: (_request, tried, looked) =>
          chooseUpstream(
            this.vms.map(({ record }) => record).filter((record) => !tried.includes(record)),
            {
              ...{
                now,
                work,
                timeLeft: 5000,
                targetTime: 600,
                zone: 'a',
                isLarge: false,
                deadlineShare: 0.8,
              },
              ...{ random: draw(), justProbed: looked, hasConnection: () => true },
            },
          ),
        isLookDue: (_request, { reportedAt }) =>
          this.looks && isProbeWorthwhile(work, excess, now - reportedAt),
        look: (record, onEnd) => {
          find(record).report(now);
          onEnd(true);
        },
        send: (_request, record) => {
          begun = find(record).getPace(now);
          return { cancel: () => undefined };
        },
        takeRepeat: () => false,
        recordAttempt: () => undefined,
        recordDecision: () => undefined,
      };
      new RequestRun(host, createRequest('safe', now), () => undefined).cancel();
      return begun;
    });
    this.slowShare = paces.filter((pace) => pace > 1).length / count;
  },
);

Then(
  /^the share that began on a slow VM is (above|below) (\d+) in 100$/,
  function (this: LooksWorld, side: string, bound: string) {
    const limit = Number(bound) / 100;
    const isWithin = side === 'above' ? this.slowShare > limit : this.slowShare < limit;
    assert.ok(isWithin, `${this.slowShare} of the requests began on a slow VM`);
  },
);

interface RandomRun {
  readonly kind: Route['kind'];
  readonly sent: number;
  /** Attempts that ended in a way which shows that the request did not run. */
  readonly notRun: number;
  readonly answers: readonly FinalAnswer[];
  /** Whether an attempt was begun while an earlier one may have run, which unsafe requests must not. */
  readonly isDoubled: boolean;
}

function createOutcome(draw: () => number): AttemptOutcome {
  const kinds: readonly AttemptOutcome[] = [
    { kind: 'lost', reason: 'reset' },
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
  return kinds[Math.floor(draw() * kinds.length)] ?? { kind: 'lost', reason: 'reset' };
}

/** Runs a request whose looks and attempts are ended one at a time, in any order. */
function runRandom(draw: () => number, records: readonly UpstreamRecord[]): RandomRun {
  const kind = draw() < 0.5 ? 'unsafe' : 'safe';
  const waiting: (() => void)[] = [];
  const answers: FinalAnswer[] = [];
  let sent = 0;
  let notRun = 0;
  let isDoubled = false;
  const host: RunHost = {
    now: () => 0,
    choose: (_, tried) => {
      const [record] = records.filter((one) => !tried.includes(one));
      return record === undefined || draw() < 0.1
        ? { kind: 'noUpstream' }
        : { kind: 'chosen', record, expected: 0, slowdown: 1 };
    },
    isLookDue: () => draw() < 0.6,
    look: (_, onEnd) => {
      waiting.push(() => {
        onEnd(draw() < 0.7);
      });
    },
    send: (_request, _record, onEnd) => {
      if (sent > notRun) isDoubled = true;
      sent += 1;
      waiting.push(() => {
        const outcome = createOutcome(draw);
        if (outcome.kind === 'notRun' || outcome.kind === 'unreachable') notRun += 1;
        onEnd(outcome);
      });
      return { cancel: () => undefined };
    },
    takeRepeat: () => draw() < 0.8,
    recordAttempt: () => undefined,
    recordDecision: () => undefined,
  };
  const run = new RequestRun(host, createRequest(kind, 0), (answer) => {
    answers.push(answer);
  });
  while (waiting.length > 0 && answers.length === 0) {
    // A hedge may fall due between any two events.
    if (draw() < 0.3) run.sendHedge();
    const at = Math.floor(draw() * waiting.length);
    waiting.splice(at, 1)[0]?.();
  }
  run.cancel();
  return { kind, sent, notRun, answers, isDoubled };
}

Given(
  '{int} random requests whose looks and attempts end in any order',
  function (this: LooksWorld, count: number) {
    const draw = createDraw(SEED + 2);
    const book = new UpstreamRegistry();
    book.update(createCatalog(Array.from({ length: 9 }, (_, at) => `u${at}`)));
    this.runs = Array.from({ length: count }, () => runRandom(draw, book.records));
  },
);

Then(
  "unsafe ones were sent again only if they can't have run, and the others ran at most 2 times",
  function (this: LooksWorld) {
    assert.ok(this.runs.some(({ kind, sent }) => kind === 'safe' && sent > 1));
    this.runs.forEach(({ kind, sent, notRun, isDoubled }) => {
      if (kind === 'unsafe') assert.ok(!isDoubled);
      else assert.ok(sent - notRun <= 2, `${sent} sent, ${notRun} of them not run`);
    });
  },
);

Then('each got one answer', function (this: LooksWorld) {
  this.runs.forEach(({ answers }) => {
    assert.equal(answers.length, 1);
  });
});

Given(
  '{int} gateways that look at {int} upstreams whenever they may, at {int} probes a second each',
  function (this: LooksWorld, gateways: number, upstreams: number, rate: number) {
    this.allowances = Array.from({ length: gateways }, () => new TokenBucket());
    this.upstreams = upstreams;
    // Looks may use half of the probes.
    this.perSecond = (upstreams * rate * 0.5) / gateways;
  },
);

When('{int} seconds pass', function (this: LooksWorld, seconds: number) {
  const times = Array.from({ length: seconds * 200 }, (_, at) => at * 5);
  this.made = this.allowances.reduce((sum, allowance) => {
    const own = times.filter((now) => {
      allowance.refill(this.perSecond, now);
      const may = allowance.hasToken();
      if (may) allowance.takeToken();
      return may;
    });
    return sum + own.length / seconds;
  }, 0);
});

Then(
  'they made at least {int} and at most {int} looks a second and upstream',
  function (this: LooksWorld, least: number, most: number) {
    const each = this.made / this.upstreams;
    assert.ok(each >= least && each <= most, `${each} looks a second`);
  },
);

Given('a gateway that probes none of the upstreams itself', function (this: LooksWorld) {
  const book = new UpstreamRegistry();
  book.update(createCatalog(['u1', 'u2']));
  this.probed = book.records;
  const pool = new ConnectionPool(headerDialect);
  pool.close();
  this.prober = createProber({
    ...{ pool, dialect: headerDialect, interval: 60_000, rate: 60, self: 'nobody' },
    now: () => performance.now(),
    listGateways: () => ['another'],
    listRecords: () => book.records,
    onLoad: () => undefined,
    onCold: () => undefined,
    onEnd: () => undefined,
  });
});

Then('it may look at an upstream whose load another gateway told of', function (this: LooksWorld) {
  const [told] = this.probed;
  assert.ok(told);
  addReport(told, { running: 1, waiting: 0, slots: 6, pace: 1 }, performance.now() - 100);
  assert.equal(this.prober?.canProbeOnDemand(told), true);
});

Then('it may not look at an upstream whose load nobody told of', function (this: LooksWorld) {
  const untold = this.probed[1];
  assert.ok(untold);
  assert.equal(this.prober?.canProbeOnDemand(untold), false);
});

After(function (this: Partial<LooksWorld>) {
  this.prober?.close();
});
