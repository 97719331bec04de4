import { After, Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { addReport } from '../../src/gateway/registry.js';
import type { AttemptOutcome } from '../../src/gateway/types.js';
import { WaitingGateway } from './gateway.js';

interface FailureWorld {
  waitingGateway: WaitingGateway | undefined;
}

function getGateway({ waitingGateway }: FailureWorld): WaitingGateway {
  assert.ok(waitingGateway);
  return waitingGateway;
}

const answered: AttemptOutcome = {
  kind: 'answered',
  answer: { status: 200, reason: '', headers: [], body: Buffer.alloc(0), isUnframed: false },
};

After(function (this: FailureWorld) {
  this.waitingGateway?.close();
  this.waitingGateway = undefined;
});

Given(
  'a waiting gateway whose two upstreams have one slot each, both taken by {string} and {string}',
  function (this: FailureWorld, first: string, second: string) {
    const gateway = new WaitingGateway();
    this.waitingGateway = gateway;
    gateway.start(first);
    gateway.start(second);
    const taken = [first, second].map((id) => gateway.getRequest(id).sentTo.join(' '));
    assert.deepEqual(taken, ['a', 'b']);
  },
);

Given('the waiting gateway gets the request {string}', function (this: FailureWorld, id: string) {
  getGateway(this).start(id);
});

Given(
  'the waiting gateway gets the requests {string}',
  function (this: FailureWorld, text: string) {
    text.split(' ').forEach((item) => {
      const [id = '', rank] = item.split(':');
      getGateway(this).start(id, Number(rank));
    });
  },
);

Given(
  'the slot of upstream {string} is free by its next load report',
  function (this: FailureWorld, id: string) {
    const gateway = getGateway(this);
    const record = gateway.registry.getRecord(id);
    assert.ok(record);
    record.inFlight = 0;
    addReport(record, { running: 0, waiting: 0, slots: 1, pace: 1 }, gateway.now);
  },
);

Given(
  /^the waiting gateway has (\d+) retr(?:y|ies) left$/,
  function (this: FailureWorld, retries: string) {
    getGateway(this).retries = Number(retries);
  },
);

When('the attempt of {string} ends at its upstream', function (this: FailureWorld, id: string) {
  getGateway(this).getRequest(id).end(answered);
});

When('both upstreams reject {string}', function (this: FailureWorld, id: string) {
  const request = getGateway(this).getRequest(id);
  request.end({ kind: 'notRun', isMisdirected: false });
  getGateway(this).advance(1);
});

When('{int} ms pass at the waiting gateway', function (this: FailureWorld, time: number) {
  getGateway(this).advance(time);
});

When('both upstreams become unreachable', function (this: FailureWorld) {
  getGateway(this).registry.records.forEach((record) => {
    record.unreachableUntil = Infinity;
  });
});

When(
  'the caller of {string} leaves the waiting gateway',
  function (this: FailureWorld, id: string) {
    getGateway(this).getRequest(id).run.cancel();
  },
);

When('the waiting gateway stops', function (this: FailureWorld) {
  getGateway(this).queues.close();
});

When(
  'the zone {string} is evacuated at the waiting gateway',
  function (this: FailureWorld, zone: string) {
    getGateway(this).evacuate([zone]);
  },
);

When('the key of its caller is revoked at the waiting gateway', function (this: FailureWorld) {
  getGateway(this).isAllowed = false;
});

When('requests are quarantined at the waiting gateway', function (this: FailureWorld) {
  getGateway(this).isQuarantined = true;
});

Then(
  'the waiting request {string} was sent to {string}',
  function (this: FailureWorld, id: string, upstream: string) {
    const { sentTo } = getGateway(this).getRequest(id);
    assert.equal(sentTo.join(' '), upstream);
  },
);

Then('the waiting request {string} was sent again', function (this: FailureWorld, id: string) {
  assert.equal(getGateway(this).getRequest(id).sentTo.length, 2);
});

Then('the waiting request {string} has no answer', function (this: FailureWorld, id: string) {
  assert.equal(getGateway(this).getRequest(id).answer, undefined);
});

Then(
  /^(\d+) requests? waits? at the waiting gateway$/,
  function (this: FailureWorld, count: string) {
    assert.equal(getGateway(this).queues.counts.waiting, Number(count));
  },
);

function checkRefusal(world: FailureWorld, id: string, cause: string): void {
  const { answer } = getGateway(world).getRequest(id);
  assert.equal(answer?.kind === 'refused' ? answer.cause : answer?.kind, cause);
}

Then(
  'the waiting request {string} is refused as {string}, and was not sent',
  function (this: FailureWorld, id: string, cause: string) {
    checkRefusal(this, id, cause);
    assert.deepEqual(getGateway(this).getRequest(id).sentTo, []);
  },
);

Then(
  'the waiting request {string} is refused as {string}',
  function (this: FailureWorld, id: string, cause: string) {
    checkRefusal(this, id, cause);
  },
);

Then(
  'the waiting request {string} was refused within {int} ms, and told to return within a third of its time',
  function (this: FailureWorld, id: string, time: number) {
    const { answer, answeredAt } = getGateway(this).getRequest(id);
    assert.ok(answeredAt <= time, `refused after ${answeredAt} ms`);
    assert.equal(answer?.kind, 'refused');
    assert.ok(answer.retryAfter > 0 && answer.retryAfter <= (4000 - answeredAt) / 3);
  },
);
