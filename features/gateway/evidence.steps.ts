import { BufferBudget } from '../../src/gateway/buffers.js';
import { Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { judgeAttempt } from '../../src/gateway/evidence.js';
import { RequestRun } from '../../src/gateway/run.js';
import { noQuarantine } from './runhost.js';
import type { AttemptOutcome, GatewayRequest, UpstreamRecord } from '../../src/gateway/types.js';

interface EvidenceWorld {
  versions: (string | undefined)[];
  ends: ((outcome: AttemptOutcome) => void)[];
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
      ...{ version, retryVersion, arrivedAt: 0, deadline: 60_000, service: 'records' },
      route: { kind: 'safe', maxAttempts: 2 },
    } as unknown as GatewayRequest;
    const record = { instance: { id: 'u1' } } as unknown as UpstreamRecord;
    const run = new RequestRun(
      {
        now: () => 0,
        buffers: new BufferBudget(1_000_000),
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
