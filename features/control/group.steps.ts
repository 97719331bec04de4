import { After, Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { realFileSystem, type FileSystem } from '../../src/control/files.js';
import { Group, waitFor } from './group.js';

/** Step timeout in milliseconds, long enough for a loaded CPU. */
const SLOW = { timeout: 120_000 };

interface GroupWorld {
  group: Group | undefined;
  /** The follower whose disk is replaced. */
  follower: number;
  syncAgain: () => void;
  /** Addresses that asked any member to join. */
  joinRequests: string[];
}

function getGroup(world: GroupWorld): Group {
  assert.ok(world.group !== undefined);
  return world.group;
}

async function startGroup(size: number, compactAfter = 1000): Promise<Group> {
  const group = await Group.create(size, { compactAfter });
  await Promise.all(group.addresses.map((_, index) => group.start(index)));
  return group;
}

function findVoters(group: Group): readonly string[] {
  const leader = group.findLeader();
  if (leader === undefined) return [];
  const { members, commitIndex, lastIndex } = group.getNode(leader).status;
  if (commitIndex < lastIndex) return [];
  return members.filter((member) => member.voter).map((member) => member.id);
}

/** Returns files whose log syncs, after the first one, wait until `open` is called. */
function createGatedFiles(): { readonly files: FileSystem; readonly open: () => void } {
  let open = (): void => undefined;
  const opened = new Promise<void>((resolve) => {
    open = resolve;
  });
  let syncs = 0;
  const files: FileSystem = {
    ...realFileSystem,
    open: async (...args) => {
      const handle = await realFileSystem.open(...args);
      const datasync = handle.datasync.bind(handle);
      handle.datasync = async (): Promise<void> => {
        syncs += 1;
        // The first sync belongs to the creation of the folder.
        if (syncs > 1) await opened;
        await datasync();
      };
      return handle;
    },
  };
  return {
    files,
    open: () => {
      open();
    },
  };
}

async function joinAgain(group: Group, index: number): Promise<void> {
  const prefix = `${group.addresses[index] ?? ''}#`;
  await group.start(index, true);
  await waitFor(`member ${index} to vote under its new identity`, () =>
    findVoters(group).some(
      (id) => id.startsWith(prefix) && group.lostIdentities.every((lost) => !lost.includes(id)),
    ),
  );
}

Given('a control group of {int}', SLOW, async function (this: GroupWorld, size: number) {
  this.group = await startGroup(size);
});

Given(
  'a control group of {int} that compacts after {int} entries',
  SLOW,
  async function (this: GroupWorld, size: number, entries: number) {
    this.group = await startGroup(size, entries);
  },
);

When(
  'the control group accepts {int} numbers',
  SLOW,
  async function (this: GroupWorld, count: number) {
    const group = getGroup(this);
    for (let at = 0; at < count; at += 1) await group.accept(group.accepted.length);
  },
);

Given(
  'a control group of {int} founded by the first {int}',
  SLOW,
  async function (this: GroupWorld, size: number, founders: number) {
    const group = await Group.create(size, {}, founders);
    this.group = group;
    const first = group.addresses.slice(0, founders);
    await Promise.all(first.map((_, index) => group.start(index)));
  },
);

/** Requests the membership change from the current leader until it is committed. Throws after ten seconds. */
async function applyChange(group: Group, kind: 'add' | 'remove', index: number): Promise<void> {
  const address = group.addresses[index] ?? '';
  const until = performance.now() + 10_000;
  while (performance.now() < until) {
    const leader = group.findLeader();
    const outcome =
      leader === undefined
        ? undefined
        : await group.getNode(leader).changeMembers({ kind, address });
    if (outcome?.kind === 'committed') return;
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
  throw new Error(`member ${index}: ${kind} was not committed`);
}

When('control member {int} is added', SLOW, async function (this: GroupWorld, index: number) {
  const group = getGroup(this);
  await group.start(index, true);
  await applyChange(group, 'add', index);
  await waitFor(`member ${index} to vote`, () => findVoters(group).length === 4);
});

When(
  'control member {int} starts, but knows only an address where nobody answers',
  SLOW,
  async function (this: GroupWorld, index: number) {
    const group = getGroup(this);
    this.joinRequests = [];
    group.running.forEach(({ node }) => {
      node.onJoinRequest((address) => this.joinRequests.push(address));
    });
    await group.start(index, true, { members: ['127.0.0.1:1', group.addresses[index] ?? ''] });
  },
);

Then(
  'within {int} ms the control leader gets no request to join',
  SLOW,
  async function (this: GroupWorld, time: number) {
    await new Promise((resolve) => setTimeout(resolve, time));
    assert.deepEqual(this.joinRequests, []);
  },
);

When(
  'control member {int} is told the present members',
  function (this: GroupWorld, index: number) {
    const group = getGroup(this);
    const present = group.addresses.slice(0, group.founders);
    group.getNode(index).addKnownMembers(present);
    const known = group.getNode(index).status.members.map(({ id }) => id);
    assert.deepEqual(known, [...present, '127.0.0.1:1', group.addresses[index]]);
  },
);

When(
  'control member {int} asks to join and is added',
  SLOW,
  async function (this: GroupWorld, index: number) {
    const group = getGroup(this);
    await applyChange(group, 'add', index);
    await waitFor(`member ${index} to vote`, () => findVoters(group).length === 4);
  },
);

When('control member {int} is removed', SLOW, async function (this: GroupWorld, index: number) {
  await applyChange(getGroup(this), 'remove', index);
});

When(
  'all control members stop at the same time and start again',
  SLOW,
  async function (this: GroupWorld) {
    const group = getGroup(this);
    const all = [...group.running.keys()];
    await Promise.all(all.map((index) => group.stop(index)));
    await Promise.all(all.map((index) => group.start(index)));
  },
);

Then(
  'the control voters are members {int}, {int} and {int}',
  SLOW,
  async function (this: GroupWorld, one: number, two: number, three: number) {
    const group = getGroup(this);
    const addresses = [one, two, three].map((index) => group.addresses[index] ?? '').sort();
    await waitFor('the voters', () => {
      const found = findVoters(group).map((id) => id.slice(0, id.lastIndexOf('#')));
      return JSON.stringify([...found].sort()) === JSON.stringify(addresses);
    });
  },
);

Then('the control voters apply every accepted number', SLOW, async function (this: GroupWorld) {
  const group = getGroup(this);
  const wanted = JSON.stringify(group.accepted);
  await waitFor(`the voters to apply ${wanted}`, () => {
    const voters = findVoters(group).map((id) => id.slice(0, id.lastIndexOf('#')));
    return [...group.running]
      .filter(([at]) => voters.includes(group.addresses[at] ?? ''))
      .every(([, { node }]) => JSON.stringify(node.applied) === wanted);
  });
});

When('the control leader stops gracefully', SLOW, async function (this: GroupWorld) {
  const group = getGroup(this);
  await group.stop(group.findLeader() ?? -1, true);
});

When('control member {int} loses its disk', SLOW, async function (this: GroupWorld, index: number) {
  await getGroup(this).loseDisk(index);
});

When('control member {int} joins again', SLOW, async function (this: GroupWorld, index: number) {
  await joinAgain(getGroup(this), index);
});

When(
  'control member {int} loses its disk and joins again',
  SLOW,
  async function (this: GroupWorld, index: number) {
    await getGroup(this).loseDisk(index);
    await joinAgain(getGroup(this), index);
  },
);

When(
  'control member {int} starts without joining',
  SLOW,
  async function (this: GroupWorld, index: number) {
    await getGroup(this).start(index);
  },
);

When(
  'a control follower loses its disk and joins again on a disk that does not sync',
  SLOW,
  async function (this: GroupWorld) {
    const group = getGroup(this);
    const leader = group.findLeader();
    this.follower = [...group.running.keys()].find((index) => index !== leader) ?? -1;
    await group.loseDisk(this.follower);
    const { files, open } = createGatedFiles();
    this.syncAgain = open;
    await group.start(this.follower, true, { files });
  },
);

Then(
  'that control follower follows the leader but is no voter',
  SLOW,
  async function (this: GroupWorld) {
    const node = getGroup(this).getNode(this.follower);
    await waitFor('the follower to know the leader and its log', () => {
      return node.status.leader !== undefined && node.status.lastIndex > 0;
    });
    assert.equal(node.status.healthy, true);
    assert.equal(node.status.isVoter, false);
  },
);

When('the disk of that control follower syncs again', function (this: GroupWorld) {
  this.syncAgain();
});

Then('that control follower becomes a voter', SLOW, async function (this: GroupWorld) {
  const node = getGroup(this).getNode(this.follower);
  await waitFor('the vote', () => node.status.isVoter);
});

When('both other control members stop', SLOW, async function (this: GroupWorld) {
  const group = getGroup(this);
  const leader = group.findLeader();
  const others = [...group.running.keys()].filter((index) => index !== leader);
  await Promise.all(others.map((index) => group.stop(index)));
});

Then(
  'a linearizable read at the control leader returns every accepted number',
  SLOW,
  async function (this: GroupWorld) {
    const group = getGroup(this);
    const outcome = await group.getNode(group.findLeader() ?? -1).readCurrent(2000);
    assert.deepEqual(outcome.kind === 'current' && outcome.state, group.accepted);
  },
);

Then('every control member applies every accepted number', SLOW, async function (this: GroupWorld) {
  const group = getGroup(this);
  const wanted = JSON.stringify(group.accepted);
  await waitFor(`all members to apply ${wanted}`, () =>
    [...group.running.values()].every(({ node }) => JSON.stringify(node.applied) === wanted),
  );
});

Then(
  'control member {int} reports that its folder is empty but the group exists',
  SLOW,
  async function (this: GroupWorld, index: number) {
    const group = getGroup(this);
    await waitFor('the report', () =>
      group.problems.some((problem) => problem.kind === 'strangeFolder'),
    );
    assert.match(group.getNode(index).status.problem ?? '', /is empty but the group exists/);
  },
);

Then(
  'control member {int} is not a voter under its new identity',
  SLOW,
  async function (this: GroupWorld, index: number) {
    const group = getGroup(this);
    await group.accept(group.accepted.length);
    assert.equal(group.getNode(index).status.role, 'newborn');
    assert.equal(group.getNode(index).status.healthy, false);
  },
);

Then(
  'the control leader steps down without accepting or answering',
  SLOW,
  async function (this: GroupWorld) {
    const group = getGroup(this);
    const node = group.getNode(group.findLeader() ?? -1);
    const [proposal, read] = await Promise.all([node.propose(99, 3000), node.readCurrent(3000)]);
    assert.equal(proposal.kind, 'unknown');
    assert.equal(read.kind, 'notLeader');
    assert.notEqual(node.status.role, 'leader');
  },
);

Then('no control member reports damage', function (this: GroupWorld) {
  const kinds = getGroup(this).problems.map(({ kind }) => kind);
  assert.ok(!kinds.includes('damaged'), kinds.join());
});

After(SLOW, async function (this: GroupWorld) {
  await this.group?.remove();
});
