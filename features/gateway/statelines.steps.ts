import { After, Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { createRoutedCatalog, openFollowingGateway, type FollowingGateway } from './following.js';

interface StateLinesWorld {
  following: FollowingGateway | undefined;
}

function getFollowing(world: StateLinesWorld): FollowingGateway {
  assert.ok(world.following);
  return world.following;
}

Given(
  'a gateway that follows the fake control member {string}, with routes of version {int}',
  async function (this: StateLinesWorld, member: string, version: number) {
    this.following = await openFollowingGateway();
    const { follower, upstreamPorts } = this.following;
    follower.followed = member;
    follower.replaceCatalog(createRoutedCatalog(upstreamPorts, version));
  },
);

When(
  "that member's latest healthy answer is {int} ms old, and it is reported as lost",
  function (this: StateLinesWorld, age: number) {
    const { follower } = getFollowing(this);
    follower.age = age;
    follower.reportDependency('lost');
  },
);

When(
  'a request for a path without a route is sent to the following gateway',
  async function (this: StateLinesWorld) {
    await getFollowing(this).send('/unknown/a');
  },
);

When(
  'a request for a known path that has no upstream left is sent to the following gateway',
  async function (this: StateLinesWorld) {
    const { follower, send } = getFollowing(this);
    const { catalog } = follower.view;
    follower.replaceCatalog({ ...catalog, instances: new Map() });
    await send('/known/a');
  },
);

Then(
  "the following gateway's lines {string} tell index, version {int}, age and member",
  function (this: StateLinesWorld, messages: string, version: number) {
    const { lines, follower } = getFollowing(this);
    messages.split(', ').forEach((message) => {
      const line = lines.filter((one) => one.message === message).at(-1);
      assert.ok(line, `no line "${message}"`);
      const { index, catalogIndex } = line;
      assert.equal(typeof (index ?? catalogIndex), 'number', message);
      assert.deepEqual(
        { version: line.version, stateAgeMs: line.stateAgeMs, member: line.member },
        { version, stateAgeMs: follower.age, member: follower.followed },
        message,
      );
    });
  },
);

Then(
  'the following gateway tells an age of its state of {int} ms',
  function (this: StateLinesWorld, age: number) {
    assert.equal(getFollowing(this).gateway.stateAge, age);
  },
);

After(async function (this: Partial<StateLinesWorld>) {
  await this.following?.close();
});
