import { Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import {
  burst,
  largeBurst,
  listServedShares,
  noShortage,
  rejections,
  runReplay,
  sumCalls,
  unequalAccounts,
  type ReplayResult,
  type ReplayScenario,
} from '../../bench/overloadreplay.js';

interface ReplayWorld {
  replayScenario: ReplayScenario;
  withQueues: ReplayResult;
  withRefusals: ReplayResult;
}

const scenarios: Readonly<Record<string, ReplayScenario>> = {
  burst,
  largeBurst,
  noShortage,
  rejections,
  unequalAccounts,
};

function getScenario(name: string): ReplayScenario {
  const scenario = scenarios[name];
  assert.ok(scenario, `no replay is called ${name}`);
  return scenario;
}

Given('the overload replay {string}', function (this: ReplayWorld, name: string) {
  this.replayScenario = getScenario(name);
});

Given(
  'the overload replay {string} with equal accounts of which {string} returns at once',
  function (this: ReplayWorld, name: string, impatientAccount: string) {
    const scenario = getScenario(name);
    const accounts = (scenario.accounts ?? []).map((account) => ({ ...account, weight: 1 }));
    this.replayScenario = { ...scenario, accounts, impatientAccount };
  },
);

When('it is replayed with and without queues', { timeout: 60_000 }, function (this: ReplayWorld) {
  this.withQueues = runReplay(this.replayScenario, 'queues');
  this.withRefusals = runReplay(this.replayScenario, 'refusals');
});

Then('no replayed request waited', function (this: ReplayWorld) {
  this.withQueues.waits.forEach(({ served, refused }) => {
    assert.equal(served, 0);
    assert.deepEqual(Object.values(refused), [0, 0, 0, 0]);
  });
});

Then('both replays ended each call in the same way', function (this: ReplayWorld) {
  assert.ok(this.withQueues.calls.length > 1000);
  assert.deepEqual(this.withQueues.calls, this.withRefusals.calls);
});

Then(
  'the queues serve at least {float} more of the replayed calls in target',
  function (this: ReplayWorld, gain: number) {
    const before = sumCalls(this.withRefusals.calls).inTarget;
    const after = sumCalls(this.withQueues.calls).inTarget;
    assert.ok(after - before >= gain, `${before} without queues, ${after} with them`);
  },
);

Then(
  'the queues refuse at least {float} fewer of the replayed calls',
  function (this: ReplayWorld, gain: number) {
    const before = sumCalls(this.withRefusals.calls).refused;
    const after = sumCalls(this.withQueues.calls).refused;
    assert.ok(before - after >= gain, `${before} without queues, ${after} with them`);
  },
);

/** Returns the served share of each kind, the most urgent first. */
function listKinds({ kinds }: ReplayScenario, { calls }: ReplayResult): readonly number[] {
  return [...kinds]
    .sort((left, right) => left.rank - right.rank)
    .map(({ name }) => {
      const { inTarget, late } = sumCalls(calls.filter(({ kind }) => kind === name));
      return inTarget + late;
    });
}

Then('each kind is served no less often than the less urgent ones', function (this: ReplayWorld) {
  const shares = listKinds(this.replayScenario, this.withQueues);
  shares.slice(1).forEach((share, index) => {
    assert.ok((shares[index] ?? 0) >= share, shares.join(', '));
  });
});

Then(
  'without queues a less urgent kind is served more often by at least {float}',
  function (this: ReplayWorld, gap: number) {
    const shares = listKinds(this.replayScenario, this.withRefusals);
    const [urgent = 1, ...others] = shares;
    assert.ok(Math.max(...others) - urgent >= gap, shares.join(', '));
  },
);

Then(
  'no replayed request was held for more than half of its time and refused',
  function (this: ReplayWorld) {
    const longest = Math.max(...this.withQueues.calls.map(({ heldShare }) => heldShare));
    assert.ok(longest <= 0.52, `${longest} of its time`);
  },
);

Then(
  'the repeated sends of all gateways stay within the retry budget',
  function (this: ReplayWorld) {
    const { repeated, requests } = this.withQueues;
    assert.ok(repeated < requests * 0.2 + 192, `${repeated} of ${requests}`);
  },
);

Then(
  'with queues no account is served less than {float} times as often as all',
  function (this: ReplayWorld, bound: number) {
    const shares = [...listServedShares(this.withQueues.calls).values()];
    assert.ok(Math.min(...shares) >= bound, shares.join(', '));
  },
);

Then(
  'the account that asks for more than its share is served less often than every other one',
  function (this: ReplayWorld) {
    const [greedy = 1, ...others] = [...listServedShares(this.withQueues.calls).values()];
    assert.ok(greedy < Math.min(...others), `${greedy}; ${others.join(', ')}`);
  },
);

Then(
  'with queues {string} is served no more often than all',
  function (this: ReplayWorld, account: string) {
    const share = listServedShares(this.withQueues.calls).get(account) ?? Infinity;
    assert.ok(share <= 1, `${share} times as often`);
  },
);
