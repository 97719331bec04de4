import { Then } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { runSpin } from '../support/spin.js';

const MODEL = 'spec/claims.pml';
const MAX_DEPTH = 200_000;
const MEMORY_LIMIT_MB = 2048;

Then(
  'the full state space of the claim model with {int} epochs has no error',
  { timeout: -1 },
  async function (epochs: number) {
    const outcome = await runSpin(MODEL, { EPOCHS: epochs }, MAX_DEPTH, MEMORY_LIMIT_MB);
    assert.equal(outcome.errors, 0);
    assert.ok(outcome.complete, 'the search did not cover the full state space');
  },
);

Then(
  'the claim model with fault {int} in {int} epochs has an error',
  { timeout: -1 },
  async function (fault: number, epochs: number) {
    const macros = { FAULT: fault, EPOCHS: epochs };
    const outcome = await runSpin(MODEL, macros, MAX_DEPTH, MEMORY_LIMIT_MB);
    assert.equal(outcome.errors, 1);
  },
);
