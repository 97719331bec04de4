import { Then } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import {
  buildStopPlan,
  decideConnection,
  isTakenInStop,
  type ConnectionPhase,
} from '../../src/gateway/stopping.js';

/** Any instant; the decisions depend on differences only. */
const STOPPED_AT = 1000;

Then(
  '{int} ms after SIGTERM a connection that is {word} gets the decision {string}',
  function (at: number, phase: string, decision: string) {
    const plan = buildStopPlan(STOPPED_AT, 6000);
    assert.equal(decideConnection(phase as ConnectionPhase, plan, STOPPED_AT + at), decision);
  },
);

Then(
  /^(\d+) ms after SIGTERM of (\d+) ms a request of usually (\d+) ms with (\d+) ms left is taken: (yes|no)$/,
  function (at: number, stop: number, work: number, left: number, taken: string) {
    const now = STOPPED_AT + at;
    const plan = buildStopPlan(STOPPED_AT, stop);
    assert.equal(isTakenInStop({ plan, now, deadline: now + left, work }), taken === 'yes');
  },
);
