import { Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { RandomFleet } from './fleet.js';

interface RandomWorld {
  totals: Record<string, number>;
}

const SEEDS = Number(process.env.SEEDS ?? 10);
const STEPS = Number(process.env.STEPS ?? 3000);
const FIRST_SEED = 1;

When('randomized routing fleets run', { timeout: -1 }, function (this: RandomWorld) {
  this.totals = {};
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed += 1) {
    const fleet = RandomFleet.create(seed);
    try {
      fleet.run(STEPS);
    } catch (error) {
      throw new Error(`seed ${seed}, ${STEPS} steps`, { cause: error });
    }
    Object.entries(fleet.counts).forEach(([name, count]) => {
      this.totals[name] = (this.totals[name] ?? 0) + count;
    });
  }
  if (process.env.SEEDS !== undefined) console.log(this.totals);
});

Then('every kind of routing result occurred', function (this: RandomWorld) {
  Object.entries(this.totals).forEach(([name, count]) => {
    assert.ok(count > 0, `no event counted as ${name} in ${SEEDS} runs of ${STEPS} steps`);
  });
});
