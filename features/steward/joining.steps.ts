/** Requests to join, as the leader's steward handles them. */
import { After, Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import type { MemberChange } from '../../src/control/index.js';
import { createSteward, type Steward } from '../../src/steward/index.js';
import { createControl } from '../support/control.js';

interface JoiningWorld {
  joiningSteward: Steward;
  joinClock: number;
  requestJoin: (address: string) => void;
  memberChanges: MemberChange[];
}

/** Milliseconds in which the steward's periodic check runs more than once. */
const CHECK_TIME = 500;

Given(
  'a leading steward that {string} asked to join {int} ms ago',
  function (this: JoiningWorld, address: string, age: number) {
    this.joinClock = 0;
    this.memberChanges = [];
    const control = createControl(
      { role: 'leader' },
      {
        onJoinRequest: (listener) => {
          this.requestJoin = listener;
        },
        changeMembers: (change) => {
          this.memberChanges.push(change);
          return Promise.resolve({ kind: 'committed', index: 1 });
        },
      },
    );
    this.joiningSteward = createSteward({
      ...{ control, findLeader: () => undefined, announceInterval: 1500 },
      ...{ now: () => this.joinClock, wallNow: () => 0 },
    });
    this.requestJoin(address);
    this.joinClock = age;
  },
);

When(
  '{string} asks the leading steward to join',
  async function (this: JoiningWorld, address: string) {
    this.requestJoin(address);
    await sleep(CHECK_TIME);
  },
);

Then('the leading steward admits {string} alone', function (this: JoiningWorld, address: string) {
  assert.deepEqual(this.memberChanges, [{ kind: 'add', address }]);
});

After(function (this: Partial<JoiningWorld>) {
  this.joiningSteward?.close();
});
