import { Given, Then } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import fc from 'fast-check';
import {
  CHECK_TIME,
  decideByAge,
  isOutdated,
  judgeState,
  UNWATCHED,
  updateWatch,
  type AgeWatch,
  type StateAge,
} from '../../src/gateway/freshness.js';
import { MAX_CHECK_WAIT } from '../../src/gateway/statewatch.js';
import { computeWait } from '../../src/gateway/waiting.js';

interface FreshnessWorld {
  stateAge: StateAge;
  watchedFor: number;
  looks: readonly { readonly age: number; readonly watchedFor: number }[];
}

const FRESH_FOR = 2000;
const MAX_AGE_ALONE = 30_000;
const LOOK_INTERVAL = 50;
const LOOKS = 300;

Given(
  /^a gateway's state that is (\d+) ms old, watched for (\d+) ms, with somebody ahead: (yes|no|unanswered)$/,
  function (this: FreshnessWorld, age: string, watchedFor: string, ahead: string) {
    const others = { isBehind: ahead === 'yes', isAlone: ahead === 'unanswered' };
    this.stateAge = { age: Number(age), freshFor: FRESH_FOR, ...others };
    this.watchedFor = Number(watchedFor);
  },
);

Then(
  /^the state's verdict is "(\w+)", and requests are sent by it: (yes|no)$/,
  function (this: FreshnessWorld, verdict: string, sent: string) {
    assert.equal(judgeState(this.stateAge, this.watchedFor), verdict);
    assert.equal(!isOutdated(this.stateAge), sent === 'yes');
  },
);

Then(
  'a request by it with a route is decided as {string}, one without as {string}',
  function (this: FreshnessWorld, known: string, unknown: string) {
    const verdict = judgeState(this.stateAge, this.watchedFor);
    assert.equal(decideByAge(verdict, { isAllowed: true, mayWait: true }), known);
    assert.equal(decideByAge(verdict, { isAllowed: false, mayWait: true }), unknown);
  },
);

Then(
  'a request by it that has waited, with a route, is decided as {string}',
  function (this: FreshnessWorld, waited: string) {
    const verdict = judgeState(this.stateAge, this.watchedFor);
    assert.equal(decideByAge(verdict, { isAllowed: true, mayWait: false }), waited);
  },
);

Given(
  'a gateway that looks at the age of its state every 50 ms, and stands still for {int} ms once it is {int} ms old',
  function (this: FreshnessWorld, pause: number, before: number) {
    let watch: AgeWatch = UNWATCHED;
    this.looks = Array.from({ length: LOOKS }, (_, index) => {
      const running = index * LOOK_INTERVAL;
      const age = running > before ? running + pause : running;
      watch = updateWatch(watch, { age, freshFor: FRESH_FOR }, age);
      return { age, watchedFor: age - (watch.agingSince ?? age) };
    });
  },
);

Then(
  /^at the first look over ([\d,]+) ms it has watched for (\d+) to (\d+) ms$/,
  function (this: FreshnessWorld, over: string, from: string, to: string) {
    const limit = Number(over.replace(',', ''));
    const look = this.looks.find(({ age }) => age > limit);
    assert.ok(look);
    const { watchedFor } = look;
    assert.ok(watchedFor >= Number(from) && watchedFor <= Number(to), `${watchedFor} ms`);
  },
);

Then(
  'by {int} random states of the seed {int} a gateway keeps the rules of age',
  (runs: number, seed: number) => {
    const duration = fc.double({ min: 0, max: 60_000, noNaN: true });
    fc.assert(
      fc.property(
        fc.record({
          age: fc.oneof(
            duration,
            fc.double({ min: 1990, max: 2010, noNaN: true }),
            fc.constant(Infinity),
          ),
          watchedFor: fc.oneof(duration, fc.double({ min: 0, max: 2 * CHECK_TIME, noNaN: true })),
          freshFor: fc.integer({ min: 1000, max: 5000 }),
          isBehind: fc.boolean(),
          isAlone: fc.boolean(),
          isAllowed: fc.boolean(),
          mayWait: fc.boolean(),
          timeLeft: duration,
          waiting: fc.integer({ min: 0, max: 600 }),
        }),
        ({
          age,
          watchedFor,
          freshFor,
          isBehind,
          isAlone,
          isAllowed,
          mayWait,
          timeLeft,
          waiting,
        }) => {
          const state = { age, freshFor, isBehind, isAlone };
          const verdict = judgeState(state, watchedFor);
          const decision = decideByAge(verdict, { isAllowed, mayWait });
          const isOver = watchedFor >= CHECK_TIME;
          if (age > freshFor) assert.notEqual(decision, 'deny');
          else assert.equal(decision, isAllowed ? 'serve' : 'deny');
          if (decision === 'wait') assert.ok(mayWait && !isOver);
          if (age > freshFor && (isBehind || isAlone) && isOver) assert.equal(decision, 'refuse');
          if (age > MAX_AGE_ALONE && isOver) assert.equal(decision, 'refuse');
          if (decision === 'serve') assert.ok(isAllowed && !isOutdated(state));
          const time = computeWait(MAX_CHECK_WAIT, { timeLeft, waiting });
          assert.ok(time >= 0 && time <= MAX_CHECK_WAIT);
          if (timeLeft > 0) assert.ok(time <= timeLeft / 2);
          if (waiting >= 256) assert.equal(time, 0);
        },
      ),
      { seed, numRuns: runs },
    );
  },
);
