import { Then } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { runSpin } from '../support/spin.js';

const MODEL = 'spec/usage.pml';
const MAX_DEPTH = 1_000_000;
const MEMORY_LIMIT_MB = 2048;

Then('the full state space of the usage model has no error', { timeout: -1 }, async function () {
  const outcome = await runSpin(MODEL, {}, MAX_DEPTH, MEMORY_LIMIT_MB);
  assert.equal(outcome.errors, 0);
  assert.ok(outcome.complete, 'the search did not cover the full state space');
});

Then(
  'the usage model with fault {int} has an error',
  { timeout: -1 },
  async function (fault: number) {
    const outcome = await runSpin(MODEL, { FAULT: fault }, MAX_DEPTH, MEMORY_LIMIT_MB);
    assert.equal(outcome.errors, 1);
  },
);
