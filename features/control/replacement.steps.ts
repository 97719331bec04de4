import { Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { ReplacementRun } from './replacement.js';

interface ReplacementWorld {
  failures: string[];
  counts: Map<string, number>;
}

const SEEDS = Number(process.env.SEEDS ?? 50);
const EVENTS = [
  ...['killed', 'planned', 'wiped', 'restarted'],
  ...['pause', 'cut', 'election', 'add', 'remove'],
];

When(
  'the VMs of a control group are lost and replaced in series',
  { timeout: -1 },
  function (this: ReplacementWorld) {
    this.failures = [];
    this.counts = new Map();
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const run = new ReplacementRun(seed);
      try {
        run.run();
      } catch (error) {
        this.failures.push(`seed ${seed}: ${String(error)}`);
      }
      run.counts.forEach((count, event) => {
        this.counts.set(event, (this.counts.get(event) ?? 0) + count);
      });
    }
  },
);

Then(
  'after each loss the control group commits, and survives one more loss',
  function (this: ReplacementWorld) {
    assert.deepEqual(this.failures, []);
  },
);

Then('the series covered every kind of loss and trouble', function (this: ReplacementWorld) {
  assert.deepEqual(
    EVENTS.filter((event) => !this.counts.has(event)),
    [],
  );
});
