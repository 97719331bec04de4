import { Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { runSpin, type SpinOutcome } from '../support/spin.js';

interface ModelWorld {
  outcome: SpinOutcome;
}

const MODEL = 'spec/consensus.pml';
/** Maximum search depth in steps. */
const DEPTH = 2_000_000;
const MEMORY_MB = 2_048;

When(
  'the model checker searches the consensus model with {int} members, {int} terms, {int} entries, changes {int} and fault {int}',
  { timeout: -1 },
  async function (
    this: ModelWorld,
    members: number,
    terms: number,
    entries: number,
    changes: number,
    fault: number,
  ) {
    const defines = {
      MEMBERS: members,
      MAX_TERM: terms,
      MAX_LOG: entries,
      CHANGES: changes,
      FAULT: fault,
    };
    this.outcome = await runSpin(MODEL, defines, DEPTH, MEMORY_MB);
  },
);

When(
  'the model checker searches the consensus model with {int} members, {int} terms and {int} entries, of which {int} lose their disks, and fault {int}',
  { timeout: -1 },
  async function (
    this: ModelWorld,
    members: number,
    terms: number,
    entries: number,
    losses: number,
    fault: number,
  ) {
    const bounds = { MEMBERS: members, MAX_TERM: terms, MAX_LOG: entries, LOSSES: losses };
    this.outcome = await runSpin(MODEL, { ...bounds, CHANGES: 0, FAULT: fault }, DEPTH, MEMORY_MB);
  },
);

Then(
  'every state of the consensus model was searched without an error',
  function (this: ModelWorld) {
    assert.deepEqual([this.outcome.errors, this.outcome.complete], [0, true]);
    assert.ok(this.outcome.states > 1000, `only ${this.outcome.states} states`);
  },
);

Then('the model checker found an error in the consensus model', function (this: ModelWorld) {
  assert.ok(this.outcome.errors > 0);
});
