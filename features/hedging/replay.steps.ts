import { Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import {
  createHedgeState,
  decideHedge,
  DEFAULT_MAX_EXTRA_WORK,
  type HedgeDecision,
} from '../../src/hedging/index.js';
import {
  runReplay,
  type HedgePolicy,
  type ReplayResult,
  type ReplayScenario,
  type ReplayVariant,
} from '../placement/replay.js';

type Variant = 'no hedges' | 'constant delays' | 'hedging';
type Kind = 'safe' | 'unsafe';

interface HedgingReplayWorld {
  scenario: ReplayScenario;
  results: Readonly<Record<Variant, readonly ReplayResult[]>>;
  hedges: Record<Variant, number>;
}

/** The decision before: after 1.7 times the expected time and 8 ms, whatever room there is. */
function decideConstantly(kind: string, expected: number): HedgeDecision {
  if (kind === 'sent') return { kind: 'wait', delay: expected * 1.7 + 8 };
  return { kind: kind === 'due' ? 'send' : 'none' };
}

function createPolicy(variant: Variant, onSend: () => void): HedgePolicy {
  let state = createHedgeState(DEFAULT_MAX_EXTRA_WORK);
  return {
    decide: (event) => {
      const next = decideHedge(state, event);
      state = next.state;
      const expected = 'expected' in event ? event.expected : 0;
      const decision =
        variant === 'hedging' ? next.decision : decideConstantly(event.kind, expected);
      if (decision.kind === 'send') onSend();
      return decision;
    },
  };
}

Given(
  'a hedging replay at load {float} with upstreams {int} times slower with probability {float}, and a burst of {float}',
  function (this: HedgingReplayWorld, load: number, factor: number, share: number, burst: number) {
    this.scenario = {
      ...{ seed: 1, duration: 12_000, gateways: 12, upstreams: 54, slots: 2, queue: 8, load },
      ...{ isReset: true, work: 120, target: 600, deadline: 2000 },
      burst: { from: 3000, until: 9000, factor: burst },
      noise: { share, factor, interval: 500 },
    };
  },
);

When(
  'the hedging replay runs on the seeds {int} to {int}',
  { timeout: 60_000 },
  function (this: HedgingReplayWorld, first: number, last: number) {
    const seeds = Array.from({ length: last - first + 1 }, (_, index) => first + index);
    this.hedges = { 'no hedges': 0, 'constant delays': 0, hedging: 0 };
    const run = (variant: Variant): readonly ReplayResult[] => {
      const base: ReplayVariant = {
        prepare: () => undefined,
        extendContext: (context, isUnsafe) => ({ ...context, isRepeatable: !isUnsafe }),
      };
      const createHedging = (): HedgePolicy =>
        createPolicy(variant, () => {
          this.hedges[variant] += 1;
        });
      const full = variant === 'no hedges' ? base : { ...base, createHedging };
      return seeds.map((seed) => runReplay({ ...this.scenario, seed }, full));
    };
    this.results = {
      'no hedges': run('no hedges'),
      'constant delays': run('constant delays'),
      hedging: run('hedging'),
    };
  },
);

function sumResults(results: readonly ReplayResult[], read: (result: ReplayResult) => number) {
  return results.reduce((sum, result) => sum + read(result), 0);
}

Then(
  /^hedging serves at least (-?\d+) more of 1000 "(safe|unsafe)" requests in target than (no hedges|constant delays)$/,
  function (this: HedgingReplayWorld, more: string, kind: Kind, other: Variant) {
    const count = (variant: Variant): number =>
      sumResults(this.results[variant], (result) => result[kind].inTarget);
    const requests = sumResults(this.results.hedging, (result) => result[kind].requests);
    const gain = (1000 * (count('hedging') - count(other))) / requests;
    assert.ok(gain >= Number(more), `${gain.toFixed(1)} more of 1000`);
  },
);

Then(
  'hedging sends at most {float} times as many hedges as constant delays',
  function (this: HedgingReplayWorld, most: number) {
    const { hedging, 'constant delays': constant } = this.hedges;
    assert.ok(hedging <= constant * most, `${hedging} hedges, ${constant} before`);
  },
);

Then(
  /^hedging fails at most ([\d.]+) times as many "(safe|unsafe)" requests as constant delays$/,
  function (this: HedgingReplayWorld, most: string, kind: Kind) {
    const count = (variant: Variant): number =>
      sumResults(this.results[variant], (result) => result[kind].failed);
    const [after, before] = [count('hedging'), count('constant delays')];
    assert.ok(after <= before * Number(most), `${after} failed, ${before} before`);
  },
);
