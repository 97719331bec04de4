import { Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { runSoak, type SoakReport } from './soak.js';

interface SoakWorld {
  report: SoakReport;
}

When(
  'the soak runs seed {int} for {int} s',
  { timeout: 180_000 },
  async function (this: SoakWorld, seed: number, seconds: number) {
    this.report = await runSoak(seed, seconds * 1000, false);
  },
);

When(
  'the soak runs seed {int} for {int} s beside a series of replaced stewards',
  { timeout: 180_000 },
  async function (this: SoakWorld, seed: number, seconds: number) {
    this.report = await runSoak(seed, seconds * 1000, true);
  },
);

Then(
  'it reports no violations, and more than half of the requests were answered',
  function (this: SoakWorld) {
    const { violations, faults, answered, requests, output } = this.report;
    assert.deepEqual(violations, [], `${JSON.stringify(faults)}\n${output}`);
    assert.ok(answered > requests / 2, `${answered} of ${requests} requests were answered`);
  },
);
