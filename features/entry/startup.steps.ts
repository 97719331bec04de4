import { Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { setTimeout as delay } from 'node:timers/promises';
import { decideFirstWait } from '../../src/entry/startup.js';
import { getCallerAddresses, getSite, sendCall as sendSiteCall } from '../site/path.steps.js';
import type { SiteWorld } from '../site/path.steps.js';
import { createUpstream } from './fakes.js';
import {
  sendCall,
  startEntry,
  startUpstream,
  type EntryWorld,
  type ObservedResponse,
} from './world.js';

interface StartupWorld extends EntryWorld {
  answers: readonly (readonly [answer: ObservedResponse, elapsed: number])[];
}

/** Sends calls at once; returns their answers with the milliseconds that each took. */
function sendCalls(port: number, count: number, service: string, deadline: number) {
  const headers = { 'x-chivewalk-deadline-ms': String(deadline) };
  return Promise.all(
    Array.from({ length: count }, async (_, index) => {
      const sentAt = performance.now();
      const answer = await sendCall({ port, path: `/${service}/records/${index}`, headers });
      return [answer, performance.now() - sentAt] as const;
    }),
  );
}

async function announceService(world: EntryWorld, service: string): Promise<void> {
  const address = await startUpstream((_, response) => response.end(`served by ${service}`));
  const upstream = createUpstream(service, `${service}-1`, address);
  world.harness.members.set([], [upstream]);
}

Given('an entry that has just started and knows no upstream', async function (this: StartupWorld) {
  this.harness = await startEntry();
});

Given(
  'an entry that has just started and knows an upstream of {string}',
  async function (this: StartupWorld, service: string) {
    this.harness = await startEntry();
    await announceService(this, service);
  },
);

When(
  'callers send {int} calls for {string}, and an upstream of {string} announces itself {int} ms later',
  async function (this: StartupWorld, count: number, service: string, _: string, wait: number) {
    const answers = sendCalls(this.harness.port, count, service, 5000);
    await delay(wait);
    await announceService(this, service);
    this.answers = await answers;
  },
);

Then('each of these calls is answered by the upstream', function (this: StartupWorld) {
  assert.deepEqual(
    this.answers.map(([{ status, body }]) => `${status} ${body}`),
    this.answers.map(() => '200 served by seam'),
  );
});

When(
  'callers send {int} calls for {string} with a deadline of {int} ms, and no upstream of it announces itself',
  async function (this: StartupWorld, count: number, service: string, deadline: number) {
    this.answers = await sendCalls(this.harness.port, count, service, deadline);
  },
);

Then(
  'each of these calls is refused as not run after {int} to {int} ms',
  function (this: StartupWorld, from: number, to: number) {
    this.answers.forEach(([{ status, body }, elapsed]) => {
      assert.equal(status, 503);
      assert.match(body, /noUpstream/);
      assert.ok(elapsed >= from && elapsed <= to, `${Math.round(elapsed)} ms`);
    });
  },
);

Then(
  'a first wait {int} ms after the start with {int} upstreams, {int} waiting calls and {int} ms left is {string}',
  (now: number, upstreams: number, waiting: number, left: number, expected: string) => {
    const state = { startedAt: 0, now, waiting, knowsUpstreams: upstreams > 0 };
    const decision = decideFirstWait(state, left);
    const shown = decision.kind === 'wait' ? `wait ${decision.time} ms` : decision.kind;
    assert.equal(shown, expected);
  },
);

/** Sends calls until one connects; returns its status. */
async function sendFirstCall(address: string, service: string): Promise<number> {
  const answer = await sendSiteCall(address, service, 1).catch(() => undefined);
  if (answer !== undefined) return answer.status;
  await delay(10);
  return sendFirstCall(address, service);
}

Then(
  '{int} times after the entry is killed and started again, the first call that connects for {string} is served',
  { timeout: 120_000 },
  async function (this: SiteWorld, times: number, service: string) {
    const site = getSite(this);
    const [address = ''] = getCallerAddresses(site);
    const statuses = await Array.from({ length: times }).reduce<Promise<readonly number[]>>(
      async (before) => {
        const found = await before;
        await site.end('entry-1', 'SIGKILL');
        const restarted = site.restart('entry-1');
        const status = await sendFirstCall(address, service);
        await restarted;
        return [...found, status];
      },
      Promise.resolve([]),
    );
    assert.deepEqual(
      statuses,
      statuses.map(() => 200),
    );
  },
);
