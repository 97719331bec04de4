import { After, Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { BufferBudget } from '../../src/gateway/buffers.js';
import { UpstreamRegistry } from '../../src/gateway/registry.js';
import { RequestRun } from '../../src/gateway/run.js';
import type { FinalAnswer } from '../../src/gateway/types.js';
import { createCatalog } from './catalog.js';
import {
  createRoutedCatalog,
  openFollowingGateway,
  type FollowingGateway,
  type GatewayAnswer,
} from './following.js';
import { createHedging, noQuarantine } from './runhost.js';

interface StalenessWorld {
  stale: FollowingGateway | undefined;
  handle: (id: string) => 'run' | 'turnAway';
  stalenessAnswers: readonly Promise<GatewayAnswer>[];
  isStateOutdated: boolean;
  endProbe: () => void;
  sendings: number;
  runAnswers: readonly FinalAnswer[];
}

/** Milliseconds in which a gateway that runs sees that its state ages: the check, and two looks. */
const CHECK = 500;
/** Age in milliseconds from which a gateway checks, before the bound of 2000. */
const AGING = 1700;
/** Growth of the age between two looks in these tests; less than that of a process that stood still. */
const GROWTH = 400;
/** Milliseconds after which an answer counts as given after a wait. */
const NO_WAIT = 300;
/** Milliseconds in which the requests have arrived in the gateway. */
const ARRIVAL = 100;

function getStale(world: StalenessWorld): FollowingGateway {
  assert.ok(world.stale);
  return world.stale;
}

function checkRefusal({ status, headers, body }: GatewayAnswer): void {
  assert.equal(status, 503, body);
  assert.match(body, /not run: the configuration here is out of date/);
  assert.equal(headers['retry-after'], '0.300');
}

Given(
  'a following gateway with a known route, whose state counts as current for 2000 ms',
  async function (this: StalenessWorld) {
    this.handle = () => 'run';
    this.stale = await openFollowingGateway((id) => this.handle(id));
    const { follower, upstreamPorts, gateway } = this.stale;
    const address = { callerAddress: '127.0.0.1:80', peerAddress: '127.0.0.1:7215' };
    follower.replaceFleet([{ id: 'gw-1', zone: 'a', capacity: 1, ready: true, ...address }]);
    follower.replaceCatalog(createRoutedCatalog(upstreamPorts));
    await sleep(ARRIVAL);
    assert.ok(gateway.isReady());
  },
);

/** Lets the age grow as it does while the process runs: the gateway looks at it again and again. */
async function advanceAge({ gateway, follower }: FollowingGateway, wanted: number): Promise<void> {
  while (follower.age < wanted) {
    follower.age = Math.min(wanted, follower.age + GROWTH);
    gateway.isReady();
    if (follower.age > AGING && follower.age - GROWTH <= AGING) await sleep(CHECK);
  }
}

When(
  /^the following gateway's state grows to (\d+) ms, with (nobody|somebody) ahead$/,
  async function (this: StalenessWorld, age: string, ahead: string) {
    const following = getStale(this);
    await advanceAge(following, Number(age));
    following.follower.isBehind = ahead === 'somebody';
  },
);

When("the following gateway's state is confirmed", function (this: StalenessWorld) {
  const { follower } = getStale(this);
  follower.age = 100;
  follower.isBehind = false;
});

async function checkKnown(world: StalenessWorld, unknownStatus: number): Promise<void> {
  const { send } = getStale(world);
  const known = await send('/known/a');
  const unknown = await send('/unknown/a');
  assert.equal(known.status, 200, known.body);
  assert.equal(unknown.status, unknownStatus, unknown.body);
  assert.ok(known.elapsed < NO_WAIT && unknown.elapsed < NO_WAIT, 'no request waits');
  if (unknownStatus === 503) checkRefusal(unknown);
}

Then(
  'the following gateway answers 200 on the known path and 503 as not run on an unknown one, without a wait',
  async function (this: StalenessWorld) {
    await checkKnown(this, 503);
  },
);

Then(
  'the following gateway answers 200 on the known path and 404 on an unknown one',
  async function (this: StalenessWorld) {
    await checkKnown(this, 404);
  },
);

Then(
  'the following gateway answers 503 as not run on the known path, without a wait',
  async function (this: StalenessWorld) {
    const answer = await getStale(this).send('/known/a');
    checkRefusal(answer);
    assert.ok(answer.elapsed < NO_WAIT, `${answer.elapsed} ms`);
  },
);

Then('the following gateway is ready, and its directory answers', function (this: StalenessWorld) {
  const { gateway } = getStale(this);
  assert.equal(gateway.isReady(), true);
  assert.deepEqual(gateway.listAddresses('a'), ['127.0.0.1:80']);
});

Then(
  'the following gateway is not ready, and its directory is empty',
  function (this: StalenessWorld) {
    const { gateway } = getStale(this);
    assert.equal(gateway.isReady(), false);
    assert.deepEqual(gateway.listAddresses('a'), []);
  },
);

Then(
  'the following gateway logged that its state became stale once and that it is fresh again once',
  function (this: StalenessWorld) {
    const messages = getStale(this).lines.map(({ message }) => message);
    const count = (wanted: string): number => messages.filter((text) => text === wanted).length;
    assert.equal(count('the state became stale'), 1);
    assert.equal(count('the state is fresh again'), 1);
  },
);

Then('the upstream of the following gateway ran nothing', function (this: StalenessWorld) {
  assert.deepEqual(getStale(this).sent, []);
});

Then(
  'the following gateway counted {int} refusal(s) for age',
  function (this: StalenessWorld, count: number) {
    assert.equal(getStale(this).gateway.refusals.forAge, count);
  },
);

/** Lets the age jump, as after a pause: the gateway has not looked at it in between. */
function finishPause({ follower }: FollowingGateway, pause: number): void {
  follower.age = pause;
}

When(
  /^the following gateway wakes from a pause of (\d+) ms, with somebody ahead: (yes|no)$/,
  function (this: StalenessWorld, pause: string, ahead: string) {
    const following = getStale(this);
    finishPause(following, Number(pause));
    following.follower.isBehind = ahead === 'yes';
  },
);

When(
  'the following gateway wakes from a pause of {int} ms, and requests for the known path and for one that was added since wait in its sockets',
  async function (this: StalenessWorld, pause: number) {
    const following = getStale(this);
    finishPause(following, pause);
    this.stalenessAnswers = ['/known/a', '/added/a'].map((path) => following.send(path));
    await sleep(ARRIVAL);
  },
);

When(
  'the newer state, which drops the known path, reaches the following gateway {int} ms later',
  async function (this: StalenessWorld, delay: number) {
    const { follower, upstreamPorts } = getStale(this);
    await sleep(delay);
    follower.replaceCatalog(createRoutedCatalog(upstreamPorts, 2, '/added/'));
    follower.age = 50;
  },
);

Then(
  'the following gateway answers 404 on the dropped path and 200 on the added one',
  async function (this: StalenessWorld) {
    const answers = await Promise.all(this.stalenessAnswers);
    assert.deepEqual(
      answers.map(({ status }) => status),
      [404, 200],
    );
  },
);

When(
  'a request for the known path with a deadline of {int} ms is sent to it',
  function (this: StalenessWorld, deadline: number) {
    const { send } = getStale(this);
    this.stalenessAnswers = [send('/known/a', { 'test-deadline': String(deadline) })];
  },
);

Then(
  'the following gateway answered it with {int} after {int} to {int} ms',
  async function (this: StalenessWorld, wanted: number, from: number, to: number) {
    const [answer] = await Promise.all(this.stalenessAnswers);
    assert.ok(answer);
    assert.equal(answer.status, wanted, answer.body);
    if (wanted === 503) checkRefusal(answer);
    assert.ok(answer.elapsed >= from && answer.elapsed <= to, `${answer.elapsed} ms`);
  },
);

When(
  'the following gateway wakes from a pause of {int} ms, and {int} requests for the known path are sent to it',
  function (this: StalenessWorld, pause: number, count: number) {
    const following = getStale(this);
    finishPause(following, pause);
    this.stalenessAnswers = Array.from({ length: count }, () => following.send('/known/a'));
  },
);

Then(
  'the following gateway answered {int} of them with 200 and {int} with 503',
  async function (this: StalenessWorld, served: number, refused: number) {
    const answers = await Promise.all(this.stalenessAnswers);
    const refusals = answers.filter(({ status }) => status === 503);
    refusals.forEach(checkRefusal);
    assert.equal(answers.filter(({ status }) => status === 200).length, served);
    assert.equal(refusals.length, refused);
  },
);

When(
  'the upstream of the following gateway turns a request away while the state becomes outdated',
  function (this: StalenessWorld) {
    const { follower, send } = getStale(this);
    this.handle = () => {
      follower.age = 3000;
      follower.isBehind = true;
      return 'turnAway';
    };
    this.stalenessAnswers = [send('/known/a', { 'test-request': 'r1' })];
  },
);

Then(
  'the following gateway answers that request with 503 as not run',
  async function (this: StalenessWorld) {
    const [answer] = await Promise.all(this.stalenessAnswers);
    assert.equal(answer?.status, 503);
    assert.match(answer.body, /not run/);
  },
);

Then('the upstream of the following gateway was tried once', function (this: StalenessWorld) {
  assert.deepEqual(getStale(this).sent, ['r1']);
});

Given(
  'a request that waits for the probe of the upstream chosen for it',
  function (this: StalenessWorld) {
    const registry = new UpstreamRegistry();
    registry.update(createCatalog(['u1', 'u2']));
    const [route] = createRoutedCatalog([]).table?.routes ?? [];
    assert.ok(route);
    Object.assign(this, { isStateOutdated: false, sendings: 0, runAnswers: [] });
    new RequestRun(
      {
        ...noQuarantine,
        now: () => 0,
        buffers: new BufferBudget(1_000_000),
        ...createHedging(),
        choose: (_request, tried) => {
          const [record] = registry.records.filter((one) => !tried.includes(one));
          assert.ok(record);
          if (this.isStateOutdated) return { kind: 'stale' };
          return { kind: 'chosen', record, expected: 0, slowdown: 1 };
        },
        isProbeDue: () => true,
        probeOnDemand: (_record, onEnd) => {
          this.endProbe = () => {
            onEnd(true);
          };
        },
        send: () => {
          this.sendings += 1;
          return { cancel: () => undefined };
        },
        takeRetry: () => true,
        recordAttempt: () => undefined,
        recordDecision: () => undefined,
      },
      {
        ...{ id: 'r1', method: 'GET', target: '/known/a', headers: [], body: Buffer.alloc(0) },
        ...{ callerHeaders: [], account: undefined, rank: route.rank },
        ...{ hasBody: false, route, service: 'records', version: undefined },
        ...{ retryVersion: undefined, arrivedAt: 0, deadline: 5000, account: undefined, rank: 0 },
      },
      (answer) => {
        this.runAnswers = [...this.runAnswers, answer];
      },
    );
  },
);

When('the state becomes outdated before the probe ends', function (this: StalenessWorld) {
  this.isStateOutdated = true;
  this.endProbe();
});

Then(
  'the waiting request is refused as not run with the cause {string}, and nothing was sent',
  function (this: StalenessWorld, cause: string) {
    assert.equal(this.sendings, 0);
    assert.deepEqual(
      this.runAnswers.map((answer) => [answer.kind, 'cause' in answer ? answer.cause : '']),
      [['refused', cause]],
    );
  },
);

After(async function (this: Partial<StalenessWorld>) {
  await this.stale?.close();
});
