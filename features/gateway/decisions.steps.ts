import { Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import type { Route } from '../../src/catalog/index.js';
import { computeColdRate, computeSharedInterval, RetryBudget } from '../../src/gateway/budget.js';
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
import { NO_LOSSES } from '../../src/placement/index.js';

interface DecisionWorld {
  connected: ReadonlySet<string>;
  probed: ReadonlySet<string>;
  records: readonly UpstreamRecord[];
  chosen: string;
  state: RetryState;
  decision: RetryDecision | undefined;
  violations: readonly string[];
  retries: number;
  budgets: readonly RetryBudget[];
  sentAt: readonly number[];
  assigned: ReadonlyMap<string, number>;
  weights: readonly number[];
  routes: readonly Route[];
}

const NOW = 100_000;
const TARGET = 200;

function buildRecord(text: string): UpstreamRecord {
  const [id = '', zone = '', running = '', pace = '', state = ''] = text.trim().split(' ');
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
    coldUntil: state.startsWith('cold') ? NOW + 1000 : -Infinity,
    isColdOutdated: false,
    retryAfter: -Infinity,
    isLeaving: false,
    limit: undefined,
    limitNamedAt: -Infinity,
    nextSlotAt: state === 'cold-turn' ? NOW : NOW + 500,
    misses: 0,
    unresponsiveUntil: state === 'silent' ? NOW + 100 : -Infinity,
    lastSentAt: NOW,
    unreachableUntil: state === 'out-of-reach' ? NOW + 100 : -Infinity,
    blockedUntil: state === 'blocked' ? NOW + 100 : -Infinity,
    good: 6,
    bad: state === 'failing' ? 6 : 0,
    countedAt: NOW,
    rejected: state === 'rejecting' ? 11 : 0,
    losses: { state: NO_LOSSES },
    unsentGood: 0,
    unsentBad: 0,
    unsentRejected: 0,
    lastProbeAt: NOW,
    isProbing: false,
  };
}

Given('gateway upstreams {string}', function (this: DecisionWorld, text: string) {
  this.records = text.split(',').map(buildRecord);
  const listIds = (word: string): ReadonlySet<string> =>
    new Set(
      text
        .split(',')
        .filter((item) => item.endsWith(` ${word}`))
        .map((item) => item.trim().split(' ')[0] ?? ''),
    );
  this.connected = listIds('connected');
  this.probed = listIds('probed');
});

When(
  /^an upstream is chosen for a (request|download) with (\d+) ms of work and (\d+) ms left in zone "(\w+)"$/,
  function (this: DecisionWorld, kind: string, work: string, timeLeft: string, zone: string) {
    const chosen = Array.from({ length: 50 }, (_, index) => {
      const random = index / 50;
      const context = {
        ...{ now: NOW, work: Number(work), timeLeft: Number(timeLeft), targetTime: TARGET, random },
        ...{
          zone,
          isLarge: kind === 'download',
          deadlineShare: 0.8,
          justProbed: this.records.filter(({ instance }) => this.probed.has(instance.id)),
          canProbe: false,
        },
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
      return { kind: 'lost', reason: 'reset', isDisconnected: true };
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
  'its attempts end with {string} while another is pending',
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

function findViolation(): string | undefined {
  const isIdempotent = Math.random() < 0.5;
  const length = 1 + Math.floor(Math.random() * 6);
  const ends = Array.from({ length }, () => words[Math.floor(Math.random() * words.length)] ?? '');
  const result = ends.reduce<{
    readonly state: RetryState;
    readonly violation?: string;
    readonly over: boolean;
  }>(
    (run, word, at) => {
      if (run.over) return run;
      const outcome = toOutcome(word);
      const state = addAttemptEnd({ ...run.state, pending: 1 }, outcome);
      const decision = decideRetry(state, outcome);
      const hasRun = ends.slice(0, at + 1).some((end) => !['notRun', 'unreachable'].includes(end));
      const isRefused = decision.kind === 'answer' && decision.answer.kind === 'refused';
      const isRetried = decision.kind === 'repeat' && !isIdempotent;
      const description = `${isIdempotent ? 'safe' : 'unsafe'} ${ends.slice(0, at + 1).join(' ')}`;
      if (hasRun && (isRefused || isRetried)) return { state, violation: description, over: true };
      return { state, over: decision.kind !== 'repeat' };
    },
    { state: createRetryState(isIdempotent, 2), over: false },
  );
  return result.violation;
}

Given('{int} random gateway requests', function (this: DecisionWorld, count: number) {
  this.violations = Array.from({ length: count }, findViolation).filter(
    (story) => story !== undefined,
  );
});

Then(
  'none is refused after an attempt that may have run, and unsafe ones are retried only before one',
  function (this: DecisionWorld) {
    assert.deepEqual(this.violations, []);
  },
);

Given(
  '{int} gateways that retry whenever they may, at ratio {float} and slack {int}',
  function (this: DecisionWorld, gateways: number, ratio: number, slack: number) {
    this.budgets = Array.from({ length: gateways }, () => new RetryBudget({ ratio, slack }));
  },
);

function drainBudget(budget: RetryBudget): number {
  return budget.takeRetry() ? 1 + drainBudget(budget) : 0;
}

When('each serves {int} requests', function (this: DecisionWorld, requests: number) {
  const { budgets } = this;
  this.retries = budgets
    .flatMap((budget) =>
      Array.from({ length: Math.max(1, requests) }, () => {
        if (requests > 0) budget.addRequest(budgets.length);
        return drainBudget(budget);
      }),
    )
    .reduce((sum, retries) => sum + retries, 0);
});

Then('all together retry at most {int} times', function (this: DecisionWorld, bound: number) {
  assert.ok(this.retries <= bound, `${this.retries} retries`);
});

Given(
  '{int} gateways that use every slow-start slot of an upstream with a cold rate of {int} requests per second',
  function (this: DecisionWorld, gateways: number, rate: number) {
    const ids = Array.from({ length: gateways }, (_, index) => `gateway-${index}`);
    this.sentAt = ids
      .flatMap((id) => {
        const shared = computeColdRate(rate, { factor: 1.5, slack: 5 });
        const pause = computeSharedInterval('up-1', id, ids, shared);
        if (pause === undefined) return [];
        // Worst case: all gateways use their first slow-start slots at the same time.
        return Array.from({ length: Math.floor(20_000 / pause) + 1 }, (_, index) => index * pause);
      })
      .sort((one, two) => one - two);
  },
);

Then(
  'no one-second window within {int} ms holds more than {int} requests',
  function (this: DecisionWorld, _: number, bound: number) {
    const counts = this.sentAt.map(
      (from) => this.sentAt.filter((at) => at >= from && at < from + 1000).length,
    );
    assert.ok(Math.max(...counts) <= bound, `${Math.max(...counts)} requests in a second`);
    assert.ok(counts.length > 20, 'a cold upstream must still receive requests');
  },
);

Given('a split {string}', function (this: DecisionWorld, weights: string) {
  this.weights = weights.split(' ').map(Number);
});

When('{int} requests are assigned', function (this: DecisionWorld, requests: number) {
  const splitter = new WeightedSplitter();
  const parts = this.weights.map((weight, index) => ({ service: String(index), weight }));
  const assigned = new Map<string, number>();
  Array.from({ length: requests }).forEach(() => {
    const service = splitter.pickPart(parts)?.service ?? '';
    assigned.set(service, (assigned.get(service) ?? 0) + 1);
  });
  this.assigned = assigned;
});

Then(
  'each part of the split is within {int} request of its share',
  function (this: DecisionWorld, slack: number) {
    const total = this.weights.reduce((sum, weight) => sum + weight, 0);
    const requests = [...this.assigned.values()].reduce((sum, count) => sum + count, 0);
    this.weights.forEach((weight, index) => {
      const share = (requests * weight) / total;
      const found = this.assigned.get(String(index)) ?? 0;
      assert.ok(Math.abs(found - share) <= slack + 0.01, `part ${index}: ${found} of ${share}`);
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
