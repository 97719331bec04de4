import { After, Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { findFounders, findGroup, type StartMembers } from '../../src/daemon/founders.js';
import { watchGroup } from '../../src/daemon/groupwatch.js';
import { createReferrer } from '../../src/daemon/referrer.js';
import { CurrentSeeds } from '../../src/daemon/seeds.js';
import type { FeedMessage } from '../../src/feed/index.js';
import type { Address } from '../../src/model/index.js';
import type { Settings } from '../../src/settings/index.js';
import type { Mesh, MessageHandler } from '../../src/wire/index.js';
import { createControl } from '../support/control.js';

interface SeedsWorld {
  rereadSeeds: CurrentSeeds;
  seedsRole: 'gateway' | 'steward';
  toldSeeds: (readonly Address[])[];
  seedsMesh: RecordingMesh;
  referrer: ReturnType<typeof createReferrer> | undefined;
  founders: Promise<readonly Address[]>;
  startMembers: Promise<StartMembers>;
  leaderMesh: RecordingMesh;
  ledMembers: readonly Address[];
}

/** A mesh endpoint that records what is sent. */
class RecordingMesh implements Mesh {
  readonly traffic = { messagesSent: 0, bytesSent: 0, messagesReceived: 0, bytesReceived: 0 };
  readonly sent: (readonly [to: Address, message: FeedMessage])[] = [];
  receive: MessageHandler = () => undefined;

  constructor(readonly address: Address) {}

  send(to: Address, _: string, message: unknown): void {
    this.sent.push([to, message as FeedMessage]);
  }

  handle(_: string, handler: MessageHandler): void {
    this.receive = handler;
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}

function createSettings(role: 'gateway' | 'steward', seeds: string): Settings {
  const section = {
    seeds: seeds.split(' ').flatMap((host) => (host === '' ? [] : [`${host}:8381`])),
    steward_port: 7200,
  };
  const process = { id: 'p', zone: 'a', roles: [role] };
  return { process, [role]: section } as unknown as Settings;
}

Given(
  /^a process whose settings name the seeds "(.*)" as a (gateway|steward)$/,
  function (this: SeedsWorld, seeds: string, role: 'gateway' | 'steward') {
    this.seedsRole = role;
    this.toldSeeds = [];
    this.rereadSeeds = new CurrentSeeds(createSettings(role, seeds));
    this.rereadSeeds.onChange((changed) => {
      this.toldSeeds.push(changed);
    });
  },
);

When(
  'its settings are read again and name the seeds {string}',
  function (this: SeedsWorld, seeds: string) {
    this.rereadSeeds.apply(createSettings(this.seedsRole, seeds));
  },
);

Then(
  'the seeds in force are {string}, and {int} change of them was told',
  function (this: SeedsWorld, seeds: string, changes: number) {
    assert.equal(this.rereadSeeds.list.join(' '), seeds);
    assert.equal(this.toldSeeds.length, changes);
    assert.ok(this.toldSeeds.every((told) => told.join(' ') === seeds));
  },
);

Given(
  'a referrer whose seeds {string} are gone, and which the gateway {string} polled',
  function (this: SeedsWorld, seeds: string, gateway: string) {
    this.seedsMesh = new RecordingMesh('10.1.0.5:7200');
    this.referrer = createReferrer({
      ...{ mesh: this.seedsMesh, getSeeds: () => seeds.split(' '), now: () => performance.now() },
    });
    const entry = {
      ...{ id: 'gateway-1', zone: 'a', capacity: 1, ready: true },
      ...{ callerAddress: gateway, peerAddress: gateway },
    };
    this.seedsMesh.receive(gateway, {
      ...{ kind: 'follow', entry, index: 0, fleetRevision: '', evidence: [] },
    } satisfies FeedMessage);
  },
);

When(
  'that gateway tells the referrer the members {string}, and this member tells it of the leader {string}',
  async function (this: SeedsWorld, members: string, leader: string) {
    const status = { kind: 'found', members: members.split(' '), membersIndex: 9 };
    this.seedsMesh.receive('10.2.0.1:7215', {
      ...{ ...status, hasDisk: false, healthy: false, leader: undefined },
    });
    await sleep(700);
    this.seedsMesh.receive(leader, { ...status, hasDisk: true, healthy: true, leader, age: 200 });
  },
);

Then(
  'the referrer asked that gateway and that member, and names the leader {string}',
  async function (this: SeedsWorld, leader: string) {
    const asked = this.seedsMesh.sent.filter(([, { kind }]) => kind === 'find').map(([to]) => to);
    assert.ok(asked.includes('10.2.0.1:7215'), asked.join());
    assert.ok(asked.includes(leader), asked.join());
    assert.deepEqual(await this.referrer?.readCurrent(), { kind: 'elsewhere', leader });
  },
);

Given(
  'a steward at {string} that looks for the group at the seeds {string}',
  function (this: SeedsWorld, address: string, seeds: string) {
    this.seedsMesh = new RecordingMesh(address);
    this.startMembers = findGroup(this.seedsMesh, () => seeds.split(' '));
  },
);

When(
  "the member {string}, which isn't a seed, looks for the group there",
  function (this: SeedsWorld, member: string) {
    this.seedsMesh.receive(member, { kind: 'find' } satisfies FeedMessage);
  },
);

Then(
  'that steward asks {string}, and takes the members {string} that it names',
  async function (this: SeedsWorld, member: string, members: string) {
    await sleep(500);
    assert.ok(this.seedsMesh.sent.some(([to, { kind }]) => to === member && kind === 'find'));
    this.seedsMesh.receive(member, {
      ...{ kind: 'found', members: members.split(' '), membersIndex: 9 },
      ...{ hasDisk: true, healthy: false, leader: undefined },
    } satisfies FeedMessage);
    assert.deepEqual(await this.startMembers, { members: members.split(' '), isFounder: false });
  },
);

Given(
  'a referrer whose seeds are the diskless {string}, as after a loss of power',
  function (this: SeedsWorld, seeds: string) {
    this.seedsMesh = new RecordingMesh('10.1.0.5:7200');
    this.referrer = createReferrer({
      ...{ mesh: this.seedsMesh, getSeeds: () => seeds.split(' '), now: () => performance.now() },
    });
    this.rereadSeeds = new CurrentSeeds(createSettings('steward', seeds.replaceAll(':7200', '')));
  },
);

When(
  'a steward at {string} with those seeds leads the members {string}',
  async function (this: SeedsWorld, leader: string, members: string) {
    this.leaderMesh = new RecordingMesh(leader);
    this.ledMembers = members.split(' ');
    const group = watchGroup({
      node: createControl({
        ...{ role: 'leader', leader, membersIndex: 5 },
        members: this.ledMembers.map((address) => ({ id: `${address}#00000001`, voter: true })),
      }),
      ...{ mesh: this.leaderMesh, seeds: this.rereadSeeds, listGateways: () => [] },
      onReplaced: () => undefined,
    });
    await sleep(700);
    group.close();
  },
);

Then(
  'the leader tells only {string} who belongs to the group',
  function (this: SeedsWorld, told: string) {
    const addresses = this.leaderMesh.sent.map(([to]) => to);
    assert.equal([...new Set(addresses)].sort().join(' '), told);
  },
);

Then(
  'the referrer that it told names the leader {string} and those members',
  async function (this: SeedsWorld, leader: string) {
    const { sent } = this.leaderMesh;
    sent.forEach(([to, message]) => {
      if (to === this.seedsMesh.address) this.seedsMesh.receive(leader, message);
    });
    assert.deepEqual(await this.referrer?.readCurrent(), { kind: 'elsewhere', leader });
    this.seedsMesh.receive('10.2.0.1:7215', { kind: 'find' } satisfies FeedMessage);
    const answers = this.seedsMesh.sent.filter(([to]) => to === '10.2.0.1:7215');
    const [, answer] = answers.at(-1) ?? [];
    assert.ok(answer?.kind === 'found');
    assert.deepEqual(answer.members, this.ledMembers);
  },
);

After(function (this: Partial<SeedsWorld>) {
  this.referrer?.close();
});

Given(
  'a founder at {string} that asks the seeds {string}',
  function (this: SeedsWorld, address: string, seeds: string) {
    this.seedsMesh = new RecordingMesh(address);
    this.founders = findFounders(this.seedsMesh, seeds.split(' '));
  },
);

When(
  /^the seed "(.*)", which (?:is|isn't) among them, tells the founder that it has a disk$/,
  async function (this: SeedsWorld, seed: string) {
    this.seedsMesh.receive(seed, {
      ...{ kind: 'found', hasDisk: true, members: [], healthy: false, leader: undefined },
    } satisfies FeedMessage);
    this.seedsMesh.sent.splice(0);
    await sleep(450);
  },
);

Then('the founder still asks {string} alone', function (this: SeedsWorld, seed: string) {
  const asked = this.seedsMesh.sent.filter(([, { kind }]) => kind === 'find').map(([to]) => to);
  assert.deepEqual([...new Set(asked)], [seed]);
});

Then('the founder finds the founders {string}', async function (this: SeedsWorld, found: string) {
  assert.equal((await this.founders).join(' '), found);
});
