import { Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { setImmediate as waitForTurn } from 'node:timers/promises';
import fc from 'fast-check';
import { Reopening, type ReopeningCause } from '../../src/daemon/reopening.js';

/** What happens to one opening of the component. The numbers are turns of the event loop. */
interface Fate {
  /** Turns that the opening takes. */
  readonly opening: number;
  /** Turns after its start at which the disk fails, if it does. */
  readonly failsAfter: number | undefined;
  /** Turns after its start at which the group replaces the component, if it does. */
  readonly replacedAfter: number | undefined;
  readonly throws: boolean;
  readonly throwsOnClose: boolean;
}

interface ReopeningWorld {
  failures: string[];
}

const SEED = Number(process.env.SEED ?? 33);
const RUNS = Number(process.env.RUNS ?? 300);
/** Turns in which every series of failures has ended. */
const MAX_TURNS = 400;
/** Turns that a full disk takes to have room again, and those that a closing takes. */
const FULL_TURNS = 3;
const CLOSING_TURNS = 2;

const sound: Fate = {
  ...{ opening: 2, failsAfter: undefined, replacedAfter: undefined },
  ...{ throws: false, throwsOnClose: false },
};

async function waitTurns(count: number): Promise<void> {
  for (let turn = 0; turn < count; turn += 1) await waitForTurn();
}

/** A component whose openings meet the given fates, one after another, and after these work. */
class Component {
  opened = 0;
  inUse = 0;
  mostInUse = 0;
  readonly failed = new Set<number>();
  /** Openings with data that the group gave up, and how often data was deleted. */
  readonly isVoid = new Set<number>();
  emptied = 0;
  readonly reopening = new Reopening({
    open: (onEnded) => this.#open(onEnded),
    empty: async () => {
      assert.equal(this.inUse, 0, 'the folder of an opening in use is emptied');
      await waitTurns(1);
      this.emptied += 1;
      if (this.emptied === this.failsToEmpty) throw new Error('EBUSY: resource busy');
      this.isVoid.clear();
    },
    waitForDisk: () => waitTurns(FULL_TURNS),
    waitToRetry: () => waitTurns(1),
    onReopened: () => undefined,
    onProblem: () => undefined,
  });

  constructor(
    readonly fates: readonly Fate[],
    readonly failsToEmpty = 0,
  ) {}

  async #open(
    onEnded: (cause: ReopeningCause) => void,
  ): Promise<{ number: number; close(): Promise<void> }> {
    const fate = this.fates[this.opened] ?? sound;
    this.opened += 1;
    const number = this.opened;
    this.inUse += 1;
    this.mostInUse = Math.max(this.mostInUse, this.inUse);
    if (fate.failsAfter !== undefined) {
      void waitTurns(fate.failsAfter).then(() => {
        this.failed.add(number);
        onEnded('diskFailed');
      });
    }
    if (fate.replacedAfter !== undefined) {
      void waitTurns(fate.replacedAfter).then(() => {
        this.isVoid.add(number);
        onEnded('replaced');
      });
    }
    await waitTurns(fate.opening);
    if (fate.throws) {
      this.inUse -= 1;
      throw new Error('listen EADDRINUSE: address already in use');
    }
    return {
      number,
      close: async () => {
        await waitTurns(CLOSING_TURNS);
        this.inUse -= 1;
        if (fate.throwsOnClose) throw new Error('EIO: i/o error, close');
      },
    };
  }

  async run(): Promise<void> {
    await this.reopening.start();
    await waitTurns(MAX_TURNS);
  }

  check(): void {
    assert.equal(this.mostInUse, 1, 'openings in use at once');
    const { current } = this.reopening;
    assert.ok(current !== undefined, 'no opening is in use');
    assert.equal(current.number, this.opened, 'the last opening is not in use');
    assert.ok(!this.failed.has(current.number), 'the opening in use has failed');
    assert.ok(!this.isVoid.has(current.number), 'the opening in use was replaced');
  }
}

const fatesByMoment: Readonly<Record<string, readonly Fate[]>> = {
  'once, while it is in use': [{ ...sound, failsAfter: 9 }],
  'while it is opened for the first time': [{ ...sound, opening: 8, failsAfter: 1 }],
  'while it is opened again': [
    { ...sound, failsAfter: 9 },
    { ...sound, opening: 3, failsAfter: 1 },
  ],
  'so that opening it again throws': [
    { ...sound, failsAfter: 9 },
    { ...sound, throws: true },
    { ...sound, throws: true },
  ],
  'so that closing it throws': [{ ...sound, failsAfter: 9, throwsOnClose: true }],
};

When(
  /^a component is opened on a disk that fails (.*)$/,
  async function (this: ReopeningWorld, moment: string) {
    const component = new Component(fatesByMoment[moment] ?? []);
    this.failures = [];
    await component.run();
    try {
      component.check();
    } catch (error) {
      this.failures.push(String(error));
    }
  },
);

When(
  'a component is opened on disks that fail at random moments',
  { timeout: 60_000 },
  async function (this: ReopeningWorld) {
    const fate = fc.record({
      opening: fc.integer({ min: 0, max: 6 }),
      failsAfter: fc.option(fc.integer({ min: 0, max: 20 }), { nil: undefined }),
      replacedAfter: fc.option(fc.integer({ min: 0, max: 20 }), { nil: undefined }),
      throws: fc.boolean(),
      throwsOnClose: fc.boolean(),
    });
    const property = fc.asyncProperty(
      fc.array(fate, { maxLength: 8 }),
      async ([first, ...rest]) => {
        // An error of the first opening ends the process.
        const fates = [{ ...(first ?? sound), throws: false }, ...rest];
        const component = new Component(fates);
        await component.run();
        component.check();
      },
    );
    const options = { numRuns: RUNS, seed: SEED, includeErrorInReport: true };
    const found = await fc.check(property, options);
    this.failures = found.failed ? [fc.defaultReportMessage(found) ?? 'failed'] : [];
  },
);

const replacementsByMoment: Readonly<Record<string, Component>> = {
  'while it is in use': new Component([{ ...sound, replacedAfter: 9 }]),
  'while it is opened': new Component([{ ...sound, opening: 8, replacedAfter: 1 }]),
  twice: new Component([
    { ...sound, replacedAfter: 9 },
    { ...sound, replacedAfter: 9 },
  ]),
  'and its data can be deleted only the second time': new Component(
    [{ ...sound, replacedAfter: 9 }],
    1,
  ),
};

When(
  /^the group replaces a component (.*), (\d) openings and (\d) deletions of its data follow$/,
  async function (this: ReopeningWorld, moment: string, openings: string, deletions: string) {
    const component = replacementsByMoment[moment];
    assert.ok(component !== undefined);
    await component.run();
    component.check();
    assert.equal(component.opened, 1 + Number(openings));
    assert.equal(component.emptied, Number(deletions));
    this.failures = [];
  },
);

When('a component is stopped while it is opened again', async function (this: ReopeningWorld) {
  const component = new Component([
    { ...sound, failsAfter: 5 },
    { ...sound, opening: 10 },
  ]);
  await component.reopening.start();
  while (component.opened < 2) await waitForTurn();
  await component.reopening.stop();
  await waitTurns(MAX_TURNS);
  this.failures =
    [component.inUse, component.opened].join() === '0,2' ? [] : ['an opening is left'];
});

Then(
  'the last opening of the component is in use, and never were two at once',
  function (this: ReopeningWorld) {
    assert.deepEqual(this.failures, []);
  },
);

Then('none of its openings is left', function (this: ReopeningWorld) {
  assert.deepEqual(this.failures, []);
});
