import { Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { runSpin, type SpinOutcome } from '../support/spin.js';

/** Step timeout in milliseconds, long enough for a loaded CPU. */
const SLOW = { timeout: 120_000 };

interface SpinWorld {
  fault: number;
  outcome: SpinOutcome;
}

const COUNTER_MODEL = `
byte count; byte finished;
active [2] proctype increment() {
  byte seen;
#if FAULT == 1
  seen = count; count = seen + 1;
#else
  atomic { seen = count; count = seen + 1 }
#endif
  finished++
}
active proctype check() { (finished == 2); assert(count == 2) }
`;

Given('the counter model with fault {int}', function (this: SpinWorld, fault: number) {
  this.fault = fault;
});

When(
  'the model checker searches it to depth {int} within {int} MB',
  SLOW,
  async function (this: SpinWorld, depth: number, memory: number) {
    const folder = await mkdtemp(join(tmpdir(), 'chivewalk-model-'));
    const model = join(folder, 'counter.pml');
    await writeFile(model, COUNTER_MODEL);
    this.outcome = await runSpin(model, { FAULT: this.fault }, depth, memory);
    await rm(folder, { recursive: true });
  },
);

Then('the counter search completes without errors', function (this: SpinWorld) {
  assert.deepEqual([this.outcome.errors, this.outcome.complete], [0, true]);
});

Then('the counter search finds an error', function (this: SpinWorld) {
  assert.ok(this.outcome.errors > 0);
});

Then('the counter search ends incomplete', function (this: SpinWorld) {
  assert.deepEqual([this.outcome.errors, this.outcome.complete], [0, false]);
});
