import { Then } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import {
  buildStopPlan,
  decideConnection,
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
