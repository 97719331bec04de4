import { Given, Then } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import {
  MAX_GATEWAY_SKEW,
  MAX_OFF_TIME,
  REQUEST_RATE,
  UsageSimulation,
  WALL_START,
  WINDOW_MS,
  type CarriedCall,
  type SimulationOutcome,
  type Weather,
} from './simulation.js';

/** Milliseconds of requests that a loss of power on all VMs may lose: two intervals of a second. */
const POWER_LOSS_TIME = 2000;
const LEASE_MS = 3000;

interface Run {
  readonly seed: number;
  readonly duration: number;
  readonly outcome: SimulationOutcome;
}

interface SimulationWorld {
  usageRuns: readonly Run[];
  usageWeather: Weather;
}

Given(
  'usage simulations of {int} s with weather {string} and the seeds {int} to {int}',
  { timeout: -1 },
  function (this: SimulationWorld, seconds: number, weather: Weather, from: number, to: number) {
    this.usageWeather = weather;
    this.usageRuns = Array.from({ length: to - from + 1 }, (_, at) => {
      const [seed, duration] = [from + at, seconds * 1000];
      return { seed, duration, outcome: new UsageSimulation(seed, weather).run(duration) };
    });
  },
);

function listAccepted({ outcome }: Run): readonly CarriedCall[] {
  return outcome.calls.filter(({ isAccepted }) => isAccepted);
}

Then('no two accepted usage reports of a window differ', function (this: SimulationWorld) {
  this.usageRuns.forEach((run) => {
    const contents = new Map<number, string>();
    listAccepted(run).forEach(({ report: { window, counts } }) => {
      const text = JSON.stringify(counts);
      assert.equal(contents.get(window) ?? text, text, `seed ${run.seed}, window ${window}`);
      contents.set(window, text);
    });
  });
});

Then('no usage token is used by two members', function (this: SimulationWorld) {
  this.usageRuns.forEach(({ seed, outcome }) => {
    const holders = new Map<number, string>();
    outcome.calls.forEach(({ report: { token, holder } }) => {
      assert.equal(holders.get(token) ?? holder, holder, `seed ${seed}, token ${token}`);
      holders.set(token, holder);
    });
  });
});

Then('no usage holder that got 409 calls with that token again', function (this: SimulationWorld) {
  this.usageRuns.forEach(({ seed, outcome }) => {
    assert.equal(outcome.reused, 0, `seed ${seed}`);
  });
});

Then("usage holders don't alternate within 3 s", function (this: SimulationWorld) {
  this.usageRuns.forEach(({ seed, outcome }) => {
    const sent = outcome.calls
      .filter(({ isConnected }) => isConnected)
      .toSorted((one, two) => one.sentAt - two.sentAt);
    sent.forEach((call, at) => {
      const near = sent.slice(at + 1).filter(({ sentAt }) => sentAt - call.sentAt < LEASE_MS);
      const other = near.findIndex(({ report }) => report.holder !== call.report.holder);
      const isBack =
        other >= 0 && near.slice(other).some(({ report }) => report.holder === call.report.holder);
      assert.ok(!isBack, `seed ${seed}, at ${call.sentAt}`);
    });
  });
});

Then(
  'reported usage is within 5 % of the truth, less 2 s of requests for a loss of power',
  function (this: SimulationWorld) {
    this.usageRuns.forEach((run) => {
      const { powerLosses } = run.outcome;
      assert.ok(listAccepted(run).length > 0);
      listAccepted(run).forEach(({ report: { window, counts } }) => {
        const start = window * WINDOW_MS - WALL_START;
        const isNear = (at: number): boolean =>
          at > start - MAX_GATEWAY_SKEW && at < start + WINDOW_MS + POWER_LOSS_TIME;
        const isHit = powerLosses.some(isNear);
        // Clocks that differ move as many requests out of a window as into it, unless it begins or ends without power.
        const isCut = powerLosses.some((at) => at > start - MAX_OFF_TIME && at < start + WINDOW_MS);
        const truth = isCut ? run.outcome.clockTruth : run.outcome.truth;
        const total = sumMap(truth.get(window));
        const reported = counts.reduce((sum, [, count]) => sum + count, 0);
        const loss = powerLosses.filter(isNear).length * (POWER_LOSS_TIME / 1000) * REQUEST_RATE;
        const text = `seed ${run.seed}, window ${window}: ${reported} of ${total}, losses of power: ${powerLosses.map((at) => at - start).join()}`;
        assert.ok(reported <= total * 1.05, text);
        assert.ok(reported >= total * 0.95 - loss, text);
        if (isHit) return;
        counts.forEach(([account, count]) => {
          const expected = truth.get(window)?.get(account) ?? 0;
          assert.ok(Math.abs(count - expected) <= expected * 0.05 + 5, `${text}, ${account}`);
        });
      });
    });
  },
);

function sumMap(counts: ReadonlyMap<string, number> | undefined): number {
  return [...(counts ?? new Map<string, number>()).values()].reduce((sum, count) => sum + count, 0);
}

Then(
  'all usage windows are reported in the end, except where a loss of power took all their counts',
  function (this: SimulationWorld) {
    this.usageRuns.forEach((run) => {
      const { truth, usage, powerLosses } = run.outcome;
      const reported = new Set(listAccepted(run).map(({ report }) => report.window));
      const missing = [...truth.keys()].filter((window) => !reported.has(window));
      // Windows wait for a minute, and no fault lasts as long.
      const unexplained = missing.filter((window) => {
        const start = window * WINDOW_MS - WALL_START;
        return !powerLosses.some((at) => at > start && at < start + WINDOW_MS + POWER_LOSS_TIME);
      });
      assert.deepEqual(unexplained, [], `seed ${run.seed}`);
      assert.equal(usage.expired, 0, `seed ${run.seed}`);
      assert.equal(usage.windows.length, 0, `seed ${run.seed}`);
    });
  },
);

Then(
  'usage takes at most {float} commits a second',
  function (this: SimulationWorld, limit: number) {
    this.usageRuns.forEach(({ seed, duration, outcome }) => {
      const rate = outcome.commits / (duration / 1000);
      assert.ok(rate <= limit, `seed ${seed}: ${rate}`);
    });
  },
);

Then(
  "each usage window's report arrives within {int} s of its end",
  function (this: SimulationWorld, seconds: number) {
    this.usageRuns.forEach((run) => {
      listAccepted(run).forEach(({ at, report: { window } }) => {
        const delay = WALL_START + at - (window + 1) * WINDOW_MS;
        assert.ok(delay <= seconds * 1000, `seed ${run.seed}, window ${window}: ${delay} ms`);
      });
    });
  },
);
