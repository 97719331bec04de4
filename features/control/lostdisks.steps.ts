import { Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { toAddress } from '../../src/control/index.js';
import { waitFor, type Group } from './group.js';

interface LostDisksWorld {
  group: Group;
}

const SLOW = { timeout: 40_000 };

/** Stops all members at once; the first ones lose their disks, and the last ones may stay down. */
async function stopAll(group: Group, lost: number, stayDown: number): Promise<void> {
  const all = [...group.running.keys()];
  const wiped = all.slice(0, lost);
  await Promise.all(
    all.map((index) => (wiped.includes(index) ? group.loseDisk(index) : group.stop(index))),
  );
  const returning = all.slice(0, all.length - stayDown);
  await Promise.all(returning.map((index) => group.start(index, wiped.includes(index))));
}

When(
  '{int} control members lose their disks while all others lose power',
  SLOW,
  async function (this: LostDisksWorld, lost: number) {
    await stopAll(this.group, lost, 0);
  },
);

When(
  '{int} control members lose their disks while all others lose power, of which one stays down',
  SLOW,
  async function (this: LostDisksWorld, lost: number) {
    await stopAll(this.group, lost, 1);
  },
);

Then(
  'within {int} s the control group accepts a number',
  SLOW,
  async function (this: LostDisksWorld, seconds: number) {
    const start = performance.now();
    await this.group.accept(this.group.accepted.length);
    assert.ok(performance.now() - start < seconds * 1000);
  },
);

Then('every control member votes', SLOW, async function (this: LostDisksWorld) {
  const { group } = this;
  await waitFor('every member to vote', () => {
    const leader = group.findLeader();
    if (leader === undefined) return false;
    const voters = group.getNode(leader).status.members.filter(({ voter }) => voter);
    return group.addresses.every((address) => voters.some(({ id }) => toAddress(id) === address));
  });
});

Then(
  'for {int} s the control group has no leader',
  SLOW,
  async function (this: LostDisksWorld, seconds: number) {
    const until = performance.now() + seconds * 1000;
    while (performance.now() < until) {
      assert.equal(this.group.findLeader(), undefined);
      await sleep(20);
    }
  },
);
