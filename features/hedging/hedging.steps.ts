import { Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { BufferBudget } from '../../src/gateway/buffers.js';
import { RequestRun } from '../../src/gateway/run.js';
import type { AttemptOutcome, GatewayRequest, UpstreamRecord } from '../../src/gateway/types.js';
import {
  createHedgeState,
  decideHedge,
  HedgeTracker,
  type HedgeState,
} from '../../src/hedging/index.js';
import { noQuarantine } from '../gateway/runhost.js';

interface HedgingWorld {
  state: HedgeState;
  now: number;
  firstWork: number;
  extraWork: number;
  hedges: number;
  book: HedgeTracker;
  run: RequestRun;
  ends: ((outcome: AttemptOutcome) => void)[];
  cancelled: number;
}

/** Milliseconds that the attempts of a request are expected to take. */
const EXPECTED = 20;

Given('hedging with at most {float} of extra work', function (this: HedgingWorld, extra: number) {
  this.state = createHedgeState(extra);
  this.now = 0;
});

Given(
  /^(\d+) hedging answers of 100 expected ms that took ([\d ]+) ms in turn$/,
  function (this: HedgingWorld, count: string, text: string) {
    const times = text.split(' ').map(Number);
    Array.from({ length: Number(count) }).forEach((_, index) => {
      const elapsed = times[index % times.length] ?? 0;
      const attempt = { now: this.now, route: 'safe', elapsed, expected: 100 };
      this.state = decideHedge(this.state, { kind: 'ended', ...attempt, isAnswered: true }).state;
    });
  },
);

function getDelay(state: HedgeState, route: string): number {
  const { decision } = decideHedge(state, { kind: 'sent', route, expected: 100 });
  assert.ok(decision.kind === 'wait');
  return Math.round(decision.delay);
}

Then(
  'the hedging delay of 100 expected ms is {int} to {int} ms',
  function (this: HedgingWorld, least: number, most: number) {
    const delay = getDelay(this.state, 'safe');
    assert.ok(delay >= least && delay <= most, `${delay} ms`);
  },
);

Then(
  'the hedging delay of a {string} of 100 expected ms is {int} ms',
  function (this: HedgingWorld, route: string, delay: number) {
    assert.equal(getDelay(this.state, route), delay);
  },
);

Given('hedging attempts that lost after {int} ms', function (this: HedgingWorld, elapsed: number) {
  this.state = decideHedge(this.state, { kind: 'lost', now: this.now, elapsed }).state;
});

Given('hedging without room {int} ms ago', function (this: HedgingWorld, ago: number) {
  this.state = decideHedge(this.state, { kind: 'short', now: this.now - ago }).state;
});

Then(
  /^a hedge of 100 expected ms to an upstream with (a|no) free slot is "(send|none)"$/,
  function (this: HedgingWorld, slot: string, decision: string) {
    const due = { now: this.now, expected: 100, hasRoom: slot === 'a' };
    assert.equal(decideHedge(this.state, { kind: 'due', ...due }).decision.kind, decision);
  },
);

Then('hedging schedules no hedge', function (this: HedgingWorld) {
  const sent = { kind: 'sent', route: 'safe', expected: 100 } as const;
  assert.equal(decideHedge(this.state, sent).decision.kind, 'none');
});

When(
  '{int} hedging requests of 100 ms run, of which each tenth takes 700 ms',
  function (this: HedgingWorld, count: number) {
    Object.assign(this, { firstWork: 0, extraWork: 0, hedges: 0 });
    Array.from({ length: count }).forEach((_, index) => {
      this.now += 10;
      const time = index % 10 === 0 ? 700 : 100;
      const delay = getDelay(this.state, 'safe');
      const due = { now: this.now, expected: 100, hasRoom: true };
      const isHedged =
        time > delay && decideHedge(this.state, { kind: 'due', ...due }).decision.kind === 'send';
      const elapsed = isHedged ? delay + 100 : time;
      const attempt = { now: this.now, route: 'safe', elapsed, expected: 100 };
      const ended = { kind: 'ended', ...attempt, isAnswered: !isHedged } as const;
      this.state = decideHedge(this.state, ended).state;
      this.firstWork += elapsed;
      if (!isHedged) return;
      this.hedges += 1;
      this.extraWork += elapsed;
      this.state = decideHedge(this.state, { kind: 'lost', now: this.now, elapsed }).state;
    });
  },
);

Then(
  'the hedging extra work is at most {float} of the work of the first attempts, and some hedges were sent',
  function (this: HedgingWorld, share: number) {
    // The last hedge may exceed the limit by the time up to which it was sent.
    assert.ok(this.extraWork <= this.firstWork * share * 1.05, String(this.extraWork));
    assert.ok(this.hedges > 100, String(this.hedges));
  },
);

Given(
  'a hedging gateway request of kind {string}, with extra work of {float}',
  function (this: HedgingWorld, kind: string, extra: number) {
    this.book = new HedgeTracker(extra);
    const ended = { kind: 'ended', now: 0, route: 'other', expected: 1, isAnswered: true } as const;
    this.book.decide('records', { ...ended, elapsed: 100_000 });
    this.ends = [];
    this.cancelled = 0;
    const request = {
      ...{ version: undefined, retryVersion: undefined, service: 'records', arrivedAt: 0 },
      ...{ deadline: performance.now() + 5000, route: { kind, maxAttempts: 2 } },
    } as unknown as GatewayRequest;
    this.run = new RequestRun(
      {
        ...noQuarantine,
        now: () => performance.now(),
        buffers: new BufferBudget(1_000_000),
        hedging: this.book,
        hasRoomForHedge: () => true,
        choose: (_request, tried) => {
          const record = { instance: { id: `u${tried.length}` } } as unknown as UpstreamRecord;
          return { kind: 'chosen', record, expected: EXPECTED, slowdown: 1 };
        },
        isProbeDue: () => false,
        probeOnDemand: () => undefined,
        send: (_request, _record, onEnd) => {
          this.ends.push(onEnd);
          return {
            cancel: () => {
              this.cancelled += 1;
            },
          };
        },
        takeRetry: () => true,
        recordAttempt: () => undefined,
        recordDecision: () => undefined,
      },
      request,
      () => undefined,
    );
  },
);

When(
  'its first hedging attempt takes {int} times as long as expected',
  async function (this: HedgingWorld, times: number) {
    await sleep(EXPECTED * times);
  },
);

Then('{int} hedging attempts were sent', function (this: HedgingWorld, count: number) {
  assert.equal(this.ends.length, count);
});

When('the last hedging attempt is answered', function (this: HedgingWorld) {
  const answer = { status: 200, reason: '', headers: [], body: Buffer.alloc(0), isUnframed: false };
  this.ends.at(-1)?.({ kind: 'answered', answer });
});

Then(
  '{int} hedging attempts were cancelled, {int} hedges won, and their time is extra work',
  function (this: HedgingWorld, cancelled: number, won: number) {
    assert.ok(this.run.isOver);
    assert.equal(this.cancelled, cancelled);
    const { counts } = this.book;
    assert.equal(counts.won, won);
    assert.equal(counts.sent, won);
    assert.ok(won === 0 ? counts.extraWork === 0 : counts.extraWork >= EXPECTED);
  },
);
