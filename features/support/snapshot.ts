/**
 * Snapshots for cucumber steps. Invariant: snapshots are written only if `UPDATE_SNAPSHOTS=1`; otherwise a missing
 * or different snapshot fails the step.
 */
import { AfterAll, setWorldConstructor, Before, World } from '@cucumber/cucumber';
import { SnapshotState } from 'jest-snapshot';
import { basename, dirname, join } from 'node:path';

type State = SnapshotState;
const states = new Map<string, State>();

function openState(feature: string): State {
  const found = states.get(feature);
  if (found !== undefined) return found;
  const file = join(dirname(feature), '__snapshots__', `${basename(feature)}.snap`);
  const state = new SnapshotState(file, {
    updateSnapshot: process.env.UPDATE_SNAPSHOTS === '1' ? 'all' : 'none',
    expand: false,
    prettierPath: null,
    rootDir: process.cwd(),
    snapshotFormat: { escapeString: false, printBasicPrototype: false },
  });
  states.set(feature, state);
  return state;
}

/** The World of every scenario: holds the feature's path and the scenario's name, and compares snapshots. */
export class SnapshotWorld extends World {
  feature = '';
  scenario = '';

  /**
   * Throws unless the value equals the committed snapshot of this scenario.
   *
   * @param hint Tells the snapshots of one scenario apart.
   */
  matchSnapshot(value: unknown, hint = ''): void {
    const result = openState(this.feature).match({
      testName: `${this.scenario} ${hint}`.trim(),
      received: value,
      isInline: false,
    });
    if (!result.pass) {
      throw new Error(
        `snapshot differs or is missing (UPDATE_SNAPSHOTS=1 writes it)\nexpected: ${result.expected ?? 'none'}\nactual: ${result.actual}`,
      );
    }
  }
}

setWorldConstructor(SnapshotWorld);

Before(function (this: SnapshotWorld, { pickle, gherkinDocument }) {
  this.feature = gherkinDocument.uri ?? pickle.uri;
  this.scenario = pickle.name;
});

AfterAll(() => {
  states.forEach((state) => state.save());
});
