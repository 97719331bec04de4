/** Requests that crash the upstreams that run them, sent to the real programs beside other requests. */
import { Given, Then, When, type World } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { safeRoute, serveTwoServices, unsafeRoute } from './services.js';
import { Site, waitUntil, type HttpResponse, type Upstream } from './site.js';

interface CrashingWorld extends World {
  site: Site;
  restartTimer: NodeJS.Timeout | undefined;
  /** Answers to requests that crash no upstream; undefined where the connection was lost. */
  innocentAnswers: (HttpResponse | undefined)[];
}

const FIRST_EXTRA_NUMBER = 11;
const CRASHING_PATH = '/records/crash/17';

function pickGateway({ site }: CrashingWorld): string {
  const [ip = ''] = site.shuffleIps();
  return ip;
}

/** Calls `send` at the rate until the time is over, and waits for all calls. */
async function sendAtRate(
  rate: number,
  milliseconds: number,
  send: (index: number) => Promise<void>,
): Promise<void> {
  const startedAt = performance.now();
  const sent: Promise<void>[] = [];
  while (performance.now() < startedAt + milliseconds) {
    sent.push(send(sent.length));
    await sleep(Math.max(0, startedAt + (sent.length * 1000) / rate - performance.now()));
  }
  await Promise.all(sent);
}

async function sendCrashing(world: CrashingWorld): Promise<void> {
  await world.site.call(pickGateway(world), CRASHING_PATH).catch(() => undefined);
}

async function sendInnocent(world: CrashingWorld, path: string): Promise<void> {
  const answer = await world.site.call(pickGateway(world), path).catch(() => undefined);
  world.innocentAnswers.push(answer);
}

function listCrashed({ site }: CrashingWorld): readonly Upstream[] {
  return site.upstreams
    .filter(({ crashedAt }) => crashedAt !== undefined)
    .sort((one, two) => (one.crashedAt ?? 0) - (two.crashedAt ?? 0));
}

/** Starts each crashed upstream again after the time. */
function scheduleRestarts(world: CrashingWorld, milliseconds: number): void {
  const restarted = new Set<Upstream>();
  world.restartTimer = setInterval(() => {
    listCrashed(world)
      .filter((upstream) => !restarted.has(upstream))
      .filter(({ crashedAt = 0 }) => performance.now() - crashedAt >= milliseconds)
      .forEach((upstream) => {
        restarted.add(upstream);
        void world.site.restartUpstream(upstream);
      });
  }, 50);
}

Given(
  "the platform's site serves two services, {string} with {int} upstreams that come back {int} ms after a crash",
  { timeout: 60_000 },
  async function (this: CrashingWorld, service: string, count: number, restartTime: number) {
    this.innocentAnswers = [];
    this.site = await Site.start();
    const { site } = this;
    await serveTwoServices(site, [safeRoute, unsafeRoute]);
    const extra = Array.from({ length: count - site.zones.length }, (_, index) => index);
    await Promise.all(
      extra.map((index) =>
        site.addUpstream(
          service,
          index % site.zones.length,
          FIRST_EXTRA_NUMBER + Math.floor(index / site.zones.length),
        ),
      ),
    );
    await waitUntil('all upstreams are acknowledged', () =>
      site.upstreams.every(({ acknowledgedHeartbeats }) => acknowledgedHeartbeats > 0),
    );
    site.upstreams
      .filter((upstream) => upstream.service === service)
      .forEach((upstream) => {
        upstream.behaviour = 'fragile';
      });
    scheduleRestarts(this, restartTime);
  },
);

When(
  'a request that crashes upstreams is sent {int} times a second for {int} s, beside {int} others a second',
  { timeout: 60_000 },
  async function (this: CrashingWorld, rate: number, seconds: number, otherRate: number) {
    const time = seconds * 1000;
    await Promise.all([
      sendAtRate(rate, time, () => sendCrashing(this)),
      sendAtRate(otherRate, time, (index) => sendInnocent(this, `/records/${index}`)),
    ]);
  },
);

When(
  'a request that crashes upstreams is sent {int} times a second for {int} s, and a gateway is killed and started again each {int} ms',
  { timeout: 60_000 },
  async function (this: CrashingWorld, rate: number, seconds: number, interval: number) {
    const time = seconds * 1000;
    const restartGateways = async (): Promise<void> => {
      const names = this.site.ips.map((_, index) => `gateway-${index + 1}`);
      const rounds = Math.floor(time / interval) - 1;
      await Array.from({ length: rounds }, (_, round) => round).reduce(async (previous, round) => {
        await previous;
        await sleep(interval);
        const name = names[round % names.length] ?? '';
        await this.site.endProcess(name, 'SIGKILL');
        await this.site.restartProcess(name, false);
      }, Promise.resolve());
    };
    await Promise.all([sendAtRate(rate, time, () => sendCrashing(this)), restartGateways()]);
  },
);

When(
  '{int} upstreams crash by themselves {int} ms apart, beside {int} requests a second of which {int} callers repeat one each',
  { timeout: 60_000 },
  async function (
    this: CrashingWorld,
    count: number,
    interval: number,
    rate: number,
    repeated: number,
  ) {
    const crashed = this.site.upstreams
      .filter(({ behaviour }) => behaviour === 'fragile')
      .slice(0, count);
    const crashAll = crashed.reduce(async (previous, upstream) => {
      await previous;
      await sleep(interval);
      upstream.crash();
    }, Promise.resolve());
    const time = (count + 2) * interval + 3000;
    await Promise.all([
      crashAll,
      sendAtRate(rate, time, (index) => sendInnocent(this, `/records/${index % (repeated + 1)}`)),
    ]);
  },
);

Then(
  'it crashed at least {int} and at most {int} upstreams, and at most {int} of its sendings reached one later than {int} ms after the third',
  function (this: CrashingWorld, least: number, most: number, mostLate: number, contact: number) {
    clearInterval(this.restartTimer);
    const crashed = listCrashed(this).filter(({ crashedBy }) => crashedBy === CRASHING_PATH);
    const thirdCrashedAt = crashed[2]?.crashedAt ?? Infinity;
    const sendings = this.site.upstreams.flatMap(({ receivedRequests }) =>
      receivedRequests.filter(({ target }) => target === CRASHING_PATH),
    );
    const late = sendings.filter(({ receivedAt }) => receivedAt > thirdCrashedAt + contact);
    const text = `${crashed.length} upstreams crashed, ${sendings.length} sendings, ${late.length} of them late`;
    this.log(text);
    assert.ok(crashed.length >= least && crashed.length <= most, text);
    assert.ok(late.length <= mostLate, text);
  },
);

Then(
  'at most {int} in {int} of the others was not served',
  function (this: CrashingWorld, most: number, of: number) {
    clearInterval(this.restartTimer);
    const failed = this.innocentAnswers.filter((answer) => answer?.status !== 200);
    const statuses = failed.map((answer) => answer?.status ?? 0).sort();
    const text = `${failed.length} of ${this.innocentAnswers.length} not served: ${statuses.join(' ')}`;
    this.log(text);
    assert.ok(failed.length * of <= this.innocentAnswers.length * most, text);
  },
);

Then('no request was refused as one that crashes upstreams', function (this: CrashingWorld) {
  const refused = this.innocentAnswers.filter((answer) => answer?.body.includes('quarantined'));
  assert.equal(refused.length, 0);
});
