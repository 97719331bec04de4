import { Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { Simulation } from './simulation.js';

interface SimulationWorld {
  failures: string[];
  counts: Map<string, number>;
}

const SEEDS = Number(process.env.SEEDS ?? 12);
const STEPS = Number(process.env.STEPS ?? 20_000);
const FAULTS = [
  'crash',
  'freeze',
  'partition',
  'disk lost',
  'disk damaged',
  'member removed',
  'transfer',
  'wake',
  'snapshot installed',
  'repaired',
];

function runAll(world: SimulationWorld, loseSyncedWrites: boolean): void {
  world.failures = [];
  world.counts = new Map();
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const simulation = new Simulation({ seed, steps: STEPS, loseSyncedWrites });
    try {
      simulation.run();
    } catch (error) {
      world.failures.push(`seed ${seed}, ${STEPS} steps: ${String(error)}`);
    }
    simulation.counts.forEach((count, what) => {
      world.counts.set(what, (world.counts.get(what) ?? 0) + count);
    });
  }
}

When('control members run under random faults', { timeout: -1 }, function (this: SimulationWorld) {
  runAll(this, false);
});

When(
  'control members run on disks that lose synced writes',
  { timeout: -1 },
  function (this: SimulationWorld) {
    runAll(this, true);
  },
);

Then('every control run was linearizable and converged', function (this: SimulationWorld) {
  assert.deepEqual(this.failures, []);
});

Then('the control runs covered every kind of fault', function (this: SimulationWorld) {
  assert.deepEqual(
    FAULTS.filter((what) => !this.counts.has(what)),
    [],
  );
  assert.ok((this.counts.get('command accepted') ?? 0) > (SEEDS * STEPS) / 200);
});

Then('a control run failed a check', function (this: SimulationWorld) {
  assert.ok(this.failures.length > 0);
});
