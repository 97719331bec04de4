import { Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import type { Route } from '../../src/catalog/index.js';
import { computeColdInterval, RetryBudget } from '../../src/gateway/budget.js';
import { chooseUpstream } from '../../src/gateway/choose.js';
import {
  addAttemptEnd,
  createRetryState,
  decideRetry,
  type RetryDecision,
  type RetryState,
} from '../../src/gateway/retry.js';
import { buildRouteIndex, matchRoute, WeightedSplitter } from '../../src/gateway/router.js';
import type { AttemptOutcome, UpstreamRecord } from '../../src/gateway/types.js';

interface DecisionWorld {
  connected: ReadonlySet<string>;
  records: readonly UpstreamRecord[];
  chosen: string;
  state: RetryState;
  decision: RetryDecision | undefined;
  broken: readonly string[];
  repeats: number;
  budgets: readonly RetryBudget[];
  sentAt: readonly number[];
  dealt: ReadonlyMap<string, number>;
  weights: readonly number[];
  routes: readonly Route[];
}

const NOW = 100_000;
const TARGET = 200;

function buildRecord(text: string): UpstreamRecord {
  const [id = '', zone = '', running = '', pace = '', how = ''] = text.trim().split(' ');
  const instance = {
    id,
    service: 'records',
    address: `${id}:1`,
    zone,
    version: 'v1',
    slots: 6,
    bornAt: 0,
    draining: false,
  };
  return {
    key: 0,
    instance,
    service: undefined,
    inFlight: 0,
    report: { running: Number(running), waiting: 0, slots: 6, pace: Number(pace) },
    reportedAt: NOW,
    ownReportAt: NOW,
    inFlightChange: 0,
    coldUntil: how.startsWith('cold') ? NOW + 1000 : -Infinity,
    nextColdSlotAt: how === 'cold-turn' ? NOW : NOW + 500,
    misses: 0,
    unresponsiveUntil: how === 'silent' ? NOW + 100 : -Infinity,
    unreachableUntil: how === 'out-of-reach' ? NOW + 100 : -Infinity,
    blockedUntil: how === 'blocked' ? NOW + 100 : -Infinity,
    good: 6,
    bad: how === 'failing' ? 6 : 0,
    countedAt: NOW,
    unsentGood: 0,
    unsentBad: 0,
    lastProbeAt: NOW,
    isProbing: false,
  };
}

Given('gateway upstreams {string}', function (this: DecisionWorld, text: string) {
  this.records = text.split(',').map(buildRecord);
  this.connected = new Set(
    text
      .split(',')
      .filter((item) => item.endsWith(' connected'))
      .map((item) => item.trim().split(' ')[0] ?? ''),
  );
});

When(
  /^a (request|download) with (\d+) ms of work and (\d+) ms left is placed from zone "(\w+)"$/,
  function (this: DecisionWorld, what: string, work: string, left: string, zone: string) {
    const chosen = Array.from({ length: 50 }, (_, at) => {
      const random = at / 50;
      const context = {
        ...{ now: NOW, work: Number(work), timeLeft: Number(left), targetTime: TARGET, random },
        ...{ zone, isLarge: what === 'download', deadlineShare: 0.8, justProbed: [] },
        hasConnection: ({ instance }: UpstreamRecord) => this.connected.has(instance.id),
      };
      const choice = chooseUpstream(this.records, context);
      return choice.kind === 'chosen' ? choice.record.instance.id : choice.kind;
    });
    this.chosen = [...new Set(chosen)].sort().join(' ');
  },
);

Then('the gateway chooses among {string}', function (this: DecisionWorld, wanted: string) {
  assert.equal(this.chosen, wanted);
});

function toOutcome(word: string): AttemptOutcome {
  switch (word) {
    case 'lost':
      return { kind: 'lost', reason: 'reset' };
    case 'notRun':
      return { kind: 'notRun', isMisdirected: false };
    case 'unreachable':
      return { kind: 'unreachable', reason: 'refused' };
    default: {
      const answer = {
        status: Number(word),
        reason: '',
        headers: [],
        body: Buffer.alloc(0),
        isUnframed: false,
      };
      return { kind: 'answered', answer };
    }
  }
}

function applyEnds(state: RetryState, words: readonly string[], others: number): DecisionWorld {
  return words.reduce(
    (world, word) => {
      const sent = { ...world.state, pending: others + 1 };
      const outcome = toOutcome(word);
      const next = addAttemptEnd(sent, outcome);
      return { ...world, state: next, decision: decideRetry(next, outcome) };
    },
    { state, decision: undefined } as unknown as DecisionWorld,
  );
}

Given(
  'a gateway request of kind {string} with at most {int} attempts',
  function (this: DecisionWorld, kind: string, attempts: number) {
    this.state = createRetryState(kind !== 'unsafe', attempts);
  },
);

When('its attempts end with {string}', function (this: DecisionWorld, ends: string) {
  this.decision = applyEnds(this.state, ends.split(' '), 0).decision;
});

When(
  'its attempts end with {string} while another is under way',
  function (this: DecisionWorld, ends: string) {
    this.decision = applyEnds(this.state, ends.split(' '), 1).decision;
  },
);

function describeDecision(decision: RetryDecision | undefined): string {
  switch (decision?.kind) {
    case undefined:
      return 'nothing';
    case 'wait':
      return 'wait';
    case 'repeat':
      return `repeat, ${decision.isCharged ? 'charged' : 'free'}`;
    case 'answer': {
      const { answer } = decision;
      return answer.kind === 'upstream'
        ? `answer ${answer.answer.status}`
        : `${answer.kind} ${answer.cause}`;
    }
  }
}

Then('the gateway decides {string}', function (this: DecisionWorld, wanted: string) {
  assert.equal(describeDecision(this.decision), wanted);
});

const words = ['lost', 'notRun', 'unreachable', '500', '200'] as const;

function findBrokenPromise(): string | undefined {
  const isIdempotent = Math.random() < 0.5;
  const length = 1 + Math.floor(Math.random() * 6);
  const ends = Array.from({ length }, () => words[Math.floor(Math.random() * words.length)] ?? '');
  const played = ends.reduce<{
    readonly state: RetryState;
    readonly broken?: string;
    readonly over: boolean;
  }>(
    (run, word, at) => {
      if (run.over) return run;
      const outcome = toOutcome(word);
      const state = addAttemptEnd({ ...run.state, pending: 1 }, outcome);
      const decision = decideRetry(state, outcome);
      const hasRun = ends.slice(0, at + 1).some((end) => !['notRun', 'unreachable'].includes(end));
      const isRefused = decision.kind === 'answer' && decision.answer.kind === 'refused';
      const isRepeated = decision.kind === 'repeat' && !isIdempotent;
      const story = `${isIdempotent ? 'safe' : 'unsafe'} ${ends.slice(0, at + 1).join(' ')}`;
      if (hasRun && (isRefused || isRepeated)) return { state, broken: story, over: true };
      return { state, over: decision.kind !== 'repeat' };
    },
    { state: createRetryState(isIdempotent, 2), over: false },
  );
  return played.broken;
}

Given('{int} random gateway requests', function (this: DecisionWorld, count: number) {
  this.broken = Array.from({ length: count }, findBrokenPromise).filter(
    (story) => story !== undefined,
  );
});

Then(
  'none is refused after an attempt that may have run, and unsafe ones are sent again only before',
  function (this: DecisionWorld) {
    assert.deepEqual(this.broken, []);
  },
);

Given(
  '{int} gateways that repeat whenever they may, at ratio {float} and slack {int}',
  function (this: DecisionWorld, gateways: number, ratio: number, slack: number) {
    this.budgets = Array.from({ length: gateways }, () => new RetryBudget({ ratio, slack }));
  },
);

function drainBudget(budget: RetryBudget): number {
  return budget.takeRetry() ? 1 + drainBudget(budget) : 0;
}

When('each serves {int} requests', function (this: DecisionWorld, requests: number) {
  const { budgets } = this;
  this.repeats = budgets
    .flatMap((budget) =>
      Array.from({ length: Math.max(1, requests) }, () => {
        if (requests > 0) budget.addRequest(budgets.length);
        return drainBudget(budget);
      }),
    )
    .reduce((sum, repeats) => sum + repeats, 0);
});

Then('all together repeat at most {int} times', function (this: DecisionWorld, bound: number) {
  assert.ok(this.repeats <= bound, `${this.repeats} repeats`);
});

Given(
  '{int} gateways that use every turn at an upstream that bears {int} requests a second',
  function (this: DecisionWorld, gateways: number, rate: number) {
    const ids = Array.from({ length: gateways }, (_, at) => `gateway-${at}`);
    this.sentAt = ids
      .flatMap((id) => {
        const pause = computeColdInterval('up-1', id, ids, rate, { factor: 1.5, slack: 5 });
        if (pause === undefined) return [];
        // All gateways take their first turns together, which is the worst case.
        return Array.from({ length: Math.floor(20_000 / pause) + 1 }, (_, at) => at * pause);
      })
      .sort((one, two) => one - two);
  },
);

Then(
  'no second of {int} ms holds more than {int} requests',
  function (this: DecisionWorld, _: number, bound: number) {
    const counts = this.sentAt.map(
      (from) => this.sentAt.filter((at) => at >= from && at < from + 1000).length,
    );
    assert.ok(Math.max(...counts) <= bound, `${Math.max(...counts)} requests in a second`);
    assert.ok(counts.length > 20, 'the upstream gets work while it is cold');
  },
);

Given('a split {string}', function (this: DecisionWorld, weights: string) {
  this.weights = weights.split(' ').map(Number);
});

When('{int} requests are dealt', function (this: DecisionWorld, requests: number) {
  const dealer = new WeightedSplitter();
  const parts = this.weights.map((weight, at) => ({ service: String(at), weight }));
  const dealt = new Map<string, number>();
  Array.from({ length: requests }).forEach(() => {
    const service = dealer.pickPart(parts)?.service ?? '';
    dealt.set(service, (dealt.get(service) ?? 0) + 1);
  });
  this.dealt = dealt;
});

Then(
  'each part of the split is within {int} request of its share',
  function (this: DecisionWorld, slack: number) {
    const total = this.weights.reduce((sum, weight) => sum + weight, 0);
    const requests = [...this.dealt.values()].reduce((sum, count) => sum + count, 0);
    this.weights.forEach((weight, at) => {
      const share = (requests * weight) / total;
      const found = this.dealt.get(String(at)) ?? 0;
      assert.ok(Math.abs(found - share) <= slack + 0.01, `part ${at}: ${found} of ${share}`);
    });
  },
);

Given('the gateway routes {string}', function (this: DecisionWorld, text: string) {
  this.routes = text.split(',').map((item) => {
    const [host = '', prefix = ''] = item.trim().split(' ');
    return { name: item.trim(), host, prefix } as Route;
  });
});

Then(
  'the gateway route of {string} and {string} is {string}',
  function (this: DecisionWorld, host: string, target: string, wanted: string) {
    const table = { routes: this.routes } as Parameters<typeof buildRouteIndex>[0];
    assert.equal(matchRoute(buildRouteIndex(table), host, target)?.name ?? '', wanted);
  },
);
