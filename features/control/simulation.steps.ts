import { Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import fc from 'fast-check';
import { Simulation, type FullDisk, type SimulationOptions } from './simulation.js';

interface SimulationWorld {
  failures: string[];
  counts: Map<string, number>;
}

const SEEDS = Number(process.env.SEEDS ?? 12);
const STEPS = Number(process.env.STEPS ?? 20_000);
const SEED = Number(process.env.SEED ?? 33);
/** Runs of a group whose disks are full in turn. */
const FULL_DISK_RUNS = Number(process.env.RUNS ?? 6);
const FAULTS = [
  'crash',
  'disk full',
  'write refused',
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

function runAll(
  world: SimulationWorld,
  loseSyncedWrites: boolean,
  options: Partial<SimulationOptions> = {},
): void {
  world.failures = [];
  world.counts = new Map();
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const simulation = new Simulation({ seed, steps: STEPS, loseSyncedWrites, ...options });
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

When(
  'control members, {int} of which found the group, lose up to half of their disks under random faults',
  { timeout: -1 },
  function (this: SimulationWorld, founders: number) {
    runAll(this, false, { founders, losesHalf: true });
  },
);

Then(
  'the control runs had leaders that were elected by half of the voters',
  function (this: SimulationWorld) {
    assert.ok((this.counts.get('elected by half') ?? 0) > 0);
    assert.ok((this.counts.get('power lost') ?? 0) > 0);
  },
);

/** Each disk is full once in a round, in any order and for 0.2 to 5 s, with 50 ms to 3 s between two disks. */
function createFullDisks(size: number): fc.Arbitrary<readonly FullDisk[]> {
  const members = Array.from({ length: size }, (_, member) => member);
  const round = fc.shuffledSubarray(members, { minLength: size });
  const times = fc.record({
    duration: fc.integer({ min: 200, max: 5000 }),
    gap: fc.integer({ min: 50, max: 3000 }),
  });
  return fc
    .tuple(round, round, fc.array(times, { minLength: 2 * size, maxLength: 2 * size }))
    .map(([first, second, all]) =>
      all.map((time, at) => ({ member: [...first, ...second][at] ?? 0, ...time })),
    );
}

When(
  'the disks of {int} control members are full in turn, twice round',
  { timeout: -1 },
  function (this: SimulationWorld, size: number) {
    this.failures = [];
    const run = fc.record({
      seed: fc.integer({ min: 1, max: 1_000_000 }),
      proposalSteps: fc.integer({ min: 2, max: 40 }),
      disks: createFullDisks(size),
    });
    const found = fc.check(
      fc.property(run, ({ seed, proposalSteps, disks }) => {
        const options = { seed, steps: 0, loseSyncedWrites: false, founders: size, proposalSteps };
        new Simulation(options).runFullDisks(disks);
      }),
      { numRuns: FULL_DISK_RUNS, seed: SEED, endOnFailure: true, includeErrorInReport: true },
    );
    if (found.failed) this.failures.push(fc.defaultReportMessage(found) ?? 'failed');
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
