import { Then } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import {
  buildStopPlan,
  decideConnection,
  isLastInStop,
  isStartedInStop,
  isTakenInStop,
  type ConnectionPhase,
  type PipelinedState,
} from '../../src/gateway/stopping.js';

/** Any instant; the decisions depend on differences only. */
const STOPPED_AT = 1000;

function parsePipeline(text: string): readonly PipelinedState[] {
  return text
    .split(' ')
    .filter((word) => word !== '')
    .map((word) => ({ isStarted: word === 'started' }));
}

Then(
  '{int} ms after SIGTERM a connection that is {word} gets the decision {string}',
  function (at: number, phase: string, decision: string) {
    const plan = buildStopPlan(STOPPED_AT, 6000, STOPPED_AT);
    assert.equal(decideConnection(phase as ConnectionPhase, plan, STOPPED_AT + at), decision);
  },
);

Then(
  /^(\d+) ms after SIGTERM of (\d+) ms a request of usually (\d+) ms with (\d+) ms left is taken: (yes|no)$/,
  function (at: number, stop: number, work: number, left: number, taken: string) {
    const now = STOPPED_AT + at;
    const plan = buildStopPlan(STOPPED_AT, stop, STOPPED_AT);
    assert.equal(isTakenInStop({ plan, now, deadline: now + left, work }), taken === 'yes');
  },
);

Then(
  /^(\d+) ms after SIGTERM of 6000 ms that is handled (\d+) ms late, a request of usually (\d+) ms with (\d+) ms left is taken: (yes|no)$/,
  function (at: number, late: number, work: number, left: number, taken: string) {
    const now = STOPPED_AT + at;
    const plan = buildStopPlan(STOPPED_AT + late, 6000, STOPPED_AT);
    assert.equal(isTakenInStop({ plan, now, deadline: now + left, work }), taken === 'yes');
  },
);

Then(
  /^behind requests that are "([^"]*)" it is started in a stop: (yes|no)$/,
  function (earlier: string, started: string) {
    assert.equal(isStartedInStop(parsePipeline(earlier)), started === 'yes');
  },
);

Then(
  /^an answer before requests that are "([^"]*)" closes its connection in a stop: (yes|no)$/,
  function (later: string, closes: string) {
    assert.equal(isLastInStop(parsePipeline(later)), closes === 'yes');
  },
);
