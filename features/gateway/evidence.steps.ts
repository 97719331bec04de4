import { BufferBudget } from '../../src/gateway/buffers.js';
import { Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { judgeAttempt, OverdueWatch } from '../../src/gateway/evidence.js';
import { RequestRun } from '../../src/gateway/run.js';
import { resolveVersion } from '../../src/gateway/shares.js';
import { createHedging, noQuarantine } from './runhost.js';
import type { AttemptOutcome, GatewayRequest, UpstreamRecord } from '../../src/gateway/types.js';

interface EvidenceWorld {
  versions: (string | undefined)[];
  ends: ((outcome: AttemptOutcome) => void)[];
  overdue: OverdueWatch<object, string>;
  overdueTime: number;
  overdueReports: string[];
  endedAsOverdue: string[];
}

function buildOutcome(end: string): AttemptOutcome | undefined {
  const status = Number(end);
  switch (end) {
    case 'cancelled':
      return undefined;
    case 'lost':
      return { kind: 'lost', reason: 'test', isDisconnected: true };
    case 'unreachable':
      return { kind: 'unreachable', reason: 'test' };
    case 'notRun':
      return { kind: 'notRun', isMisdirected: false };
    default:
      return {
        kind: 'answered',
        answer: { status, reason: '', headers: [], body: Buffer.alloc(0), isUnframed: false },
      };
  }
}

Then(
  'an attempt of {int} ms, of which {int} were expected, that ends {string} with {int} ms left counts as {string}',
  function (elapsed: number, expected: number, end: string, timeLeft: number, finding: string) {
    const found = judgeAttempt({ outcome: buildOutcome(end), elapsed, expected, timeLeft });
    assert.equal(found ?? 'nothing', finding);
  },
);

Given(
  'a request to version {string} of a service whose traffic moves there from {string}',
  function (this: EvidenceWorld, version: string, retryVersion: string) {
    this.versions = [];
    this.ends = [];
    const request = {
      ...{
        version,
        retryVersion,
        account: undefined,
        arrivedAt: 0,
        deadline: 60_000,
        service: 'records',
      },
      route: { kind: 'safe', maxAttempts: 2 },
    } as unknown as GatewayRequest;
    const record = { instance: { id: 'u1' } } as unknown as UpstreamRecord;
    const run = new RequestRun(
      {
        now: () => 0,
        buffers: new BufferBudget(1_000_000),
        ...createHedging(),
        choose: (asked) => {
          this.versions.push(asked.version);
          return { kind: 'chosen', record, expected: 30_000, slowdown: 1 };
        },
        isProbeDue: () => false,
        probeOnDemand: () => undefined,
        send: (_, __, onEnd) => {
          this.ends.push(onEnd);
          return { cancel: () => undefined };
        },
        ...noQuarantine,
        takeRetry: () => true,
        recordAttempt: () => undefined,
        recordDecision: () => undefined,
      },
      request,
      () => undefined,
    );
    assert.ok(run);
  },
);

When('its first attempt is answered with {int}', function (this: EvidenceWorld, status: number) {
  const outcome = buildOutcome(String(status));
  assert.ok(outcome);
  this.ends[0]?.(outcome);
  const last = buildOutcome('200');
  assert.ok(last);
  this.ends[1]?.(last);
});

Then(
  'the versions that it was sent to are {string}',
  function (this: EvidenceWorld, versions: string) {
    assert.equal(this.versions.join(' '), versions);
  },
);

Then(
  /^an attempt of a request of version "(\w+)" goes to version "(\w+)" once the stable version is "(\w+)" and the next one "(\w+)"$/,
  (given: string, wanted: string, stable: string, next: string) => {
    const share = { stable, next: next === 'none' ? undefined : next, share: 0.3 };
    assert.equal(resolveVersion(given, share), wanted);
  },
);

Given(
  'a watch on attempts that take longer than {int} ms',
  function (this: EvidenceWorld, time: number) {
    this.overdue = new OverdueWatch();
    this.overdueTime = time;
    this.overdueReports = [];
    this.endedAsOverdue = [];
  },
);

When(
  'attempts of {int} ms, {int} ms and {int} ms run',
  function (this: EvidenceWorld, first: number, second: number, third: number) {
    const request = {};
    [first, second, third].forEach((time) => {
      const upstream = `u-${time}`;
      this.overdue.start(request, upstream, this.overdueTime, () => {
        this.overdueReports.push(upstream);
      });
      setTimeout(() => {
        if (this.overdue.end(request, upstream)) this.endedAsOverdue.push(upstream);
      }, time);
    });
  },
);

Then(
  'after {int} ms {int} of them are reported, and after {int} ms as many',
  async function (this: EvidenceWorld, early: number, count: number, late: number) {
    await sleep(early);
    assert.equal(this.overdueReports.length, count);
    await sleep(late - early);
    assert.equal(this.overdueReports.length, count);
    assert.deepEqual(this.endedAsOverdue, this.overdueReports);
  },
);
