import { Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import {
  LATE_EVIDENCE,
  parseScenario,
  PROMPT_EVIDENCE,
  runMove,
  type EvidenceTimes,
  type MoveOutcome,
  type MoveScenario,
} from './movesim.js';

interface ExposureWorld {
  scenario: MoveScenario;
  outcomes: readonly MoveOutcome[];
}

const SEEDS = 20;

function runMoves(
  world: ExposureWorld,
  scenario: MoveScenario,
  rate: number,
  times: EvidenceTimes,
): void {
  world.scenario = scenario;
  world.outcomes = Array.from({ length: SEEDS }, (_, seed) =>
    runMove(scenario, rate, seed + 1, times),
  );
}

When(
  '20 seeded moves of {int} ms to a version that is {string} are simulated at {int} requests a second',
  function (this: ExposureWorld, duration: number, text: string, rate: number) {
    runMoves(this, parseScenario(text, duration), rate, LATE_EVIDENCE);
  },
);

When(
  '20 seeded moves of {int} ms to a version that is {string} are simulated with prompt evidence',
  function (this: ExposureWorld, duration: number, text: string) {
    runMoves(this, parseScenario(text, duration), 80, PROMPT_EVIDENCE);
  },
);

Then(
  'a version that is bad gets at most {float} of the requests and {int} more, and none completes',
  function (this: ExposureWorld, share: number, slack: number) {
    if (this.scenario.kind === 'good') return;
    this.outcomes.forEach(({ requests, exposed, afterRollback, state }, index) => {
      const limit = requests * share + slack;
      assert.ok(exposed <= limit, `seed ${index + 1}: ${exposed} of ${requests}, ${limit} allowed`);
      assert.equal(afterRollback, 0, `seed ${index + 1}: requests after the time to roll back`);
      assert.notEqual(state, 'completed', `seed ${index + 1}`);
    });
  },
);

Then(
  'at least {int} of 20 moves to a good version complete',
  function (this: ExposureWorld, count: number) {
    if (this.scenario.kind !== 'good') return;
    const completed = this.outcomes.filter(({ state }) => state === 'completed').length;
    assert.ok(completed >= count, `${completed} of ${SEEDS} completed`);
  },
);
