import { Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import {
  decideStartupWait,
  type StartupDecision,
  type StartupState,
} from '../../src/gateway/startup.js';

interface StartupWorld {
  startup: StartupState;
  startupDecision: StartupDecision;
}

Given(
  'a gateway that started {int} ms ago, at which {int} requests wait',
  function (this: StartupWorld, age: number, waiting: number) {
    this.startup = { startedAt: 1000, now: 1000 + age, waiting };
  },
);

When(
  'a request with {int} ms until its deadline arrives before the routes',
  function (this: StartupWorld, left: number) {
    this.startupDecision = decideStartupWait(this.startup, left);
  },
);

Then('the gateway decides on the wait {string}', function (this: StartupWorld, wanted: string) {
  const decision = this.startupDecision;
  const text = decision.kind === 'wait' ? `wait ${Math.floor(decision.time)}` : 'refuse';
  assert.equal(text, wanted);
});
