import { After, Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { pack } from 'msgpackr';
import { emptyCatalog, type Catalog, type CatalogCommand } from '../../src/catalog/index.js';
import type { AppliedListener, ControlStatus } from '../../src/control/index.js';
import { encodeCommands, encodeState } from '../../src/feed/codec.js';
import {
  createFollower,
  createPublisher,
  type EntryRecord,
  type FeedMessage,
  type Follower,
  type Publisher,
} from '../../src/feed/index.js';
import { createSources, decideSources, type SourcesState } from '../../src/feed/sources.js';
import type { Address } from '../../src/model/index.js';
import { createControl } from '../support/control.js';
import type { Mesh, MessageHandler } from '../../src/wire/index.js';

/** Delivers messages between processes at once, except to those that are gone and over ways that are cut. */
class FeedNetwork {
  readonly handlers = new Map<Address, MessageHandler>();
  readonly sent: (readonly [from: Address, to: Address, message: FeedMessage])[] = [];
  isLost: (from: Address, to: Address) => boolean = () => false;
  /** Milliseconds for which messages to an address wait. */
  getDelay: (to: Address) => number = () => 0;

  connect(address: Address): Mesh {
    return {
      ...{ address, close: () => Promise.resolve() },
      traffic: { messagesSent: 0, bytesSent: 0, messagesReceived: 0, bytesReceived: 0 },
      send: (to, _, message) => {
        this.sent.push([address, to, message as FeedMessage]);
        if (!this.isLost(address, to)) this.#deliver(address, to, message);
      },
      handle: (_, handler) => {
        this.handlers.set(address, handler);
      },
    };
  }

  #deliver(from: Address, to: Address, message: unknown): void {
    const deliver = (): void => {
      try {
        this.handlers.get(to)?.(from, message);
      } catch {
        // As a mesh does, which only reports it.
      }
    };
    const delay = this.getDelay(to);
    if (delay === 0) setImmediate(deliver);
    else setTimeout(deliver, delay);
  }
}

interface FakeSteward {
  readonly status: { -readonly [K in keyof ControlStatus]: ControlStatus[K] };
  readonly publisher: Publisher;
  readonly apply: (index: number) => void;
}

interface SourcesWorld {
  feedNetwork: FeedNetwork;
  feedStewards: Map<string, FakeSteward>;
  networkFollowers: Follower[];
  observed: Follower;
  wanted: number;
  waitedTime: number;
}

function toAddress(name: string): Address {
  const port = name.startsWith('s') ? 7200 : 7215;
  return `10.${name.startsWith('s') ? 1 : 2}.0.${name.slice(1)}:${port}`;
}

/** Milliseconds in which gateways on one core learn of each other, beside other tests. */
const SETUP_TIME = 20_000;

const OBSERVED = '10.3.0.1:7215';

function startSteward(
  world: SourcesWorld,
  name: string,
  names: readonly string[],
  membersIndex: number,
  index: number,
): void {
  const listeners: AppliedListener<Catalog>[] = [];
  const control = createControl(
    {
      members: names.map((member) => ({ id: toAddress(member), voter: true })),
      ...{ membersIndex, age: 100 },
    },
    {
      onApplied: (listener) => {
        listeners.push(listener);
      },
    },
  );
  Object.assign(control, { appliedIndex: index });
  const publisher = createPublisher({
    ...{ mesh: world.feedNetwork.connect(toAddress(name)), control },
    ...{ now: () => performance.now(), listCold: () => ({}) },
    ...{ onGroupFound: () => undefined, onEvidence: () => undefined },
  });
  const apply = (next: number): void => {
    const command: CatalogCommand = { kind: 'setZone', zone: 'b', out: true };
    Object.assign(control, { appliedIndex: next });
    listeners.forEach((listener) => {
      listener(emptyCatalog, next, command, pack(command).length);
    });
  };
  world.feedStewards.get(name)?.publisher.close();
  world.feedStewards.set(name, { status: control.status, publisher, apply });
}

function startGateway(world: SourcesWorld, address: Address, seeds: readonly Address[]): Follower {
  const follower = createFollower({
    ...{ mesh: world.feedNetwork.connect(address), seeds, now: () => performance.now() },
    describeSelf: () => ({
      ...{ id: `gateway ${address}`, zone: 'a', capacity: 1, ready: true },
      ...{ callerAddress: address.replace(':7215', ':80'), peerAddress: address },
    }),
    ...{ collectEvidence: () => [], onChange: () => undefined },
    ...{ onCold: () => undefined, onDependency: () => undefined },
  });
  world.networkFollowers.push(follower);
  return follower;
}

function createNetwork(world: SourcesWorld): void {
  world.feedNetwork = new FeedNetwork();
  world.feedStewards = new Map();
  world.networkFollowers = [];
}

Given(
  'a feed network with a gateway that follows the stewards {string}, and the gateways {string}',
  async function (this: SourcesWorld, stewards: string, gateways: string) {
    createNetwork(this);
    const names = stewards.split(' ');
    names.forEach((name) => {
      startSteward(this, name, names, 5, 11);
    });
    const seeds = names.map(toAddress);
    gateways.split(' ').forEach((name) => startGateway(this, toAddress(name), seeds));
    this.observed = startGateway(this, OBSERVED, seeds);
    // The stewards tell each other their followers within 400 ms, and followers poll each 250 ms.
    await sleep(900);
    assert.equal(this.observed.view.index, 11);
    assert.equal(this.observed.view.entries.length, 3);
  },
);

When(
  /^the feed network's stewards become "(.*)" of the list (\d+), while the gateway is paused and (.*)$/,
  async function (this: SourcesWorld, stewards: string, list: number, besides: string) {
    const names = stewards.split(' ');
    const network = this.feedNetwork;
    this.wanted = 25;
    const gone = [...this.feedStewards.keys()].filter((name) => !names.includes(name));
    network.isLost = (from, to) => [from, to].includes(OBSERVED);
    // The others learn of the new stewards before the old ones are gone.
    names.forEach((name) => {
      startSteward(this, name, names, list, 25);
    });
    [...this.feedStewards].forEach(([name, { status }]) => {
      if (!gone.includes(name)) return;
      Object.assign(status, {
        ...{ members: names.map((id) => ({ id: toAddress(id), voter: true })) },
        ...{ membersIndex: list, healthy: false },
      });
    });
    await sleep(600);
    gone.forEach((name) => {
      this.feedStewards.get(name)?.publisher.close();
      network.handlers.delete(toAddress(name));
    });
    await sleep(1200);
    if (besides.startsWith('strangers')) {
      gone.map(toAddress).forEach((address, at) => {
        const mesh = network.connect(address);
        mesh.handle('feed', (from) => {
          const status = { kind: 'found', hasDisk: true, members: [], healthy: false };
          mesh.send(from, 'feed', at === 0 ? 'garbage' : { ...status, leader: undefined });
        });
      });
    }
    const lost = besides.startsWith('the answers') ? ['s4', 's5'].map(toAddress) : [];
    network.isLost = (from, to) => to === OBSERVED && lost.includes(from);
  },
);

async function waitUntil(time: number, isReached: () => boolean): Promise<void> {
  const until = performance.now() + time;
  while (!isReached() && performance.now() < until) await sleep(20);
  assert.ok(isReached(), `not within ${time} ms`);
}

Then(
  "within {int} ms of the feed network's time the gateway has the state of the new stewards",
  async function (this: SourcesWorld, time: number) {
    await waitUntil(time, () => this.observed.view.index === this.wanted);
    await waitUntil(time, () => this.observed.age < 1000);
    assert.ok(!this.observed.isBehind);
  },
);

Given(
  'a feed network with a gateway that starts with the stale seeds {string}, while the stewards are {string}',
  async function (this: SourcesWorld, seeds: string, stewards: string) {
    createNetwork(this);
    const names = stewards.split(' ');
    this.wanted = 11;
    names.forEach((name) => {
      startSteward(this, name, names, 5, 11);
    });
    this.observed = startGateway(this, OBSERVED, seeds.split(' ').map(toAddress));
    await sleep(600);
    assert.equal(this.observed.view.index, 0);
    assert.equal(this.observed.age, Infinity);
  },
);

When(
  'the gateway on the feed network reads the seeds {string}',
  function (this: SourcesWorld, seeds: string) {
    this.observed.setSeeds(seeds.split(' ').map(toAddress));
  },
);

When(
  /^the followed steward of the feed network (.*), and the others apply a command$/,
  async function (this: SourcesWorld, behaves: string) {
    const followed = [...this.feedStewards.keys()].find(
      (name) => toAddress(name) === this.observed.followed,
    );
    assert.ok(followed);
    const status = this.feedStewards.get(followed)?.status;
    assert.ok(status);
    switch (behaves) {
      case 'sends answers that are lost':
        this.feedNetwork.isLost = (from, to) => from === toAddress(followed) && to === OBSERVED;
        break;
      case 'has a state of unknown age':
        status.age = Infinity;
        break;
      case "was removed and doesn't know": {
        const stoppedAt = performance.now();
        Object.defineProperty(status, 'age', { get: () => performance.now() - stoppedAt });
        break;
      }
      case 'knows no leader':
        status.healthy = false;
        break;
      case 'stops with a last word':
        this.feedStewards.get(followed)?.publisher.sendLastWord();
        this.feedStewards.get(followed)?.publisher.close();
        this.feedNetwork.handlers.delete(toAddress(followed));
        break;
      default:
        assert.fail(behaves);
    }
    await sleep(50);
    [...this.feedStewards].forEach(([name, { apply }]) => {
      if (name !== followed) apply(26);
    });
    this.wanted = 26;
    Object.assign(this, { left: toAddress(followed) });
  },
);

Then(
  "within {int} ms of the feed network's time the gateway follows another steward and has the command",
  async function (this: SourcesWorld & { left: Address }, time: number) {
    await waitUntil(
      time,
      () => this.observed.view.index === this.wanted && this.observed.followed !== this.left,
    );
  },
);

Given(
  '{int} gateways on a feed network, all members and seeds of which are gone, with {int} members and {int} seeds',
  { timeout: SETUP_TIME + 5000 },
  async function (this: SourcesWorld, count: number, members: number, seeds: number) {
    createNetwork(this);
    const seedAddresses = Array.from({ length: seeds }, (_, at) => toAddress(`s${at + 1}`));
    const names = Array.from({ length: members }, (_, at) => `s${at + 11}`);
    names.forEach((name) => {
      startSteward(this, name, names, 5, 11);
    });
    Array.from({ length: count }, (_, at) =>
      startGateway(this, `10.2.${Math.floor(at / 200)}.${at % 200}:7215`, [
        ...seedAddresses,
        toAddress(names[at % names.length] ?? ''),
      ]),
    );
    const listKnown = (): readonly number[] =>
      this.networkFollowers.map(({ view }) => view.entries.length);
    // How soon all know each other is checked below, with stewards that have a leader later.
    await waitUntil(SETUP_TIME, () => listKnown().every((entries) => entries === count)).catch(
      () => {
        assert.fail(`a gateway knows ${Math.min(...listKnown())} of ${count}`);
      },
    );
    const kept = this.networkFollowers;
    kept.forEach((follower) => {
      follower.setSeeds(seedAddresses);
    });
    [...this.feedStewards].forEach(([name, { publisher }]) => {
      publisher.close();
      this.feedNetwork.handlers.delete(toAddress(name));
    });
    await sleep(1500);
    this.feedNetwork.sent.length = 0;
  },
);

/** Checks that what each steward sent takes a link of `rate` Mbit/s at most `time` milliseconds. */
function checkSentBytes(world: SourcesWorld, rate: number, time: number): void {
  const limit = (rate * 125_000 * time) / 1000;
  const sizes = [...world.feedStewards.keys()].map((name) =>
    world.feedNetwork.sent
      .filter(([from]) => from === toAddress(name))
      .reduce((sum, [, , message]) => sum + pack(message).length, 0),
  );
  assert.ok(Math.max(...sizes) <= limit, `${sizes.join(', ')} bytes, more than ${limit}`);
}

Given(
  '{int} gateways that start on a feed network whose {int} stewards know no leader for {int} ms',
  async function (this: SourcesWorld, gateways: number, stewards: number, time: number) {
    createNetwork(this);
    const names = Array.from({ length: stewards }, (_, index) => `s${index + 1}`);
    names.forEach((name) => {
      startSteward(this, name, names, 5, 11);
    });
    this.feedStewards.forEach(({ status }) => (status.healthy = false));
    const seeds = names.map(toAddress);
    Array.from({ length: gateways }, (_, index) =>
      startGateway(this, `10.2.${index >> 8}.${index & 255}:7215`, seeds),
    );
    this.waitedTime = time;
    await sleep(time);
  },
);

Then(
  'until then each steward has sent at most {float} of what a link of {int} Mbit\\/s carries in that time',
  function (this: SourcesWorld, share: number, rate: number) {
    checkSentBytes(this, share * rate, this.waitedTime);
  },
);

Then(
  'from then on each steward has sent at most {float} of what a link of {int} Mbit\\/s carries in {int} ms',
  function (this: SourcesWorld, share: number, rate: number, time: number) {
    checkSentBytes(this, share * rate, time);
  },
);

Then(
  '{int} ms later each of the gateways has the state and the list of all gateways',
  async function (this: SourcesWorld, time: number) {
    this.feedNetwork.sent.splice(0);
    this.feedStewards.forEach(({ status }) => (status.healthy = true));
    await sleep(time);
    const { length } = this.networkFollowers;
    const without = this.networkFollowers.filter(
      ({ view }) => view.index < 11 || view.entries.length < length,
    );
    assert.equal(without.length, 0, `${without.length} of ${length} have not`);
  },
);

Then(
  'in {int} ms each of them sends at most {int} requests in 500 ms, and each of them at most {int} to gateways',
  async function (this: SourcesWorld, time: number, most: number, mostToGateways: number) {
    await sleep(time);
    const { sent, handlers } = this.feedNetwork;
    const rounds = Math.ceil(time / 500) + 1;
    const requests = sent.filter(([, , { kind }]) => kind === 'find');
    const answers = sent.filter(([, , { kind }]) => kind === 'found');
    assert.ok(requests.length > 0);
    assert.ok(answers.length <= requests.length);
    [...handlers.keys()].forEach((address) => {
      const own = requests.filter(([from]) => from === address);
      assert.ok(own.length > 0, `${address} asks`);
      const toGateways = own.filter(([, to]) => to.endsWith(':7215'));
      assert.ok(own.length <= most * rounds, `${own.length} requests`);
      assert.ok(toGateways.length <= mostToGateways * rounds, `${toGateways.length} to gateways`);
    });
    const polls = sent.filter(([, , { kind }]) => kind === 'follow');
    assert.ok(polls.length <= handlers.size * 2 * (time / 250 + 1), `${polls.length} polls`);
  },
);

When(
  'messages to the gateway on the feed network begin to take {int} ms',
  async function (this: SourcesWorld, delay: number) {
    this.feedNetwork.getDelay = (to) => (to === OBSERVED ? delay : 0);
    await sleep(delay + 500);
  },
);

When(
  'no message reaches the gateway on the feed network for {int} ms',
  async function (this: SourcesWorld, time: number) {
    this.feedNetwork.isLost = (_, to) => to === OBSERVED;
    await sleep(time);
  },
);

When(
  'the stewards of the feed network are gone for {int} ms',
  async function (this: SourcesWorld, time: number) {
    [...this.feedStewards].forEach(([name, { publisher }]) => {
      publisher.close();
      this.feedNetwork.handlers.delete(toAddress(name));
    });
    await sleep(time);
  },
);

Then(
  /^for (\d+) ms the gateway on the feed network (knows|doesn't know) that others may be ahead$/,
  async function (this: SourcesWorld, time: string, knows: string) {
    const until = performance.now() + Number(time);
    while (performance.now() < until) {
      assert.ok(this.observed.age > 2000, `${this.observed.age} ms old`);
      const { isBehind, isAlone } = this.observed;
      assert.equal(isBehind || isAlone, knows === 'knows');
      await sleep(20);
    }
  },
);

After(function (this: Partial<SourcesWorld>) {
  this.networkFollowers?.forEach((follower) => {
    follower.close();
  });
  this.feedStewards?.forEach(({ publisher }) => {
    publisher.close();
  });
});

interface ClockWorld extends SourcesWorld {
  monotonic: number;
  wall: number;
  fakeFollower: Follower;
  fakeHandler: MessageHandler;
  fakeSent: FeedMessage[];
}

const MEMBER = toAddress('s1');
const PEER: EntryRecord = {
  ...{ id: 'gateway-2', zone: 'a', capacity: 1, ready: true },
  ...{ callerAddress: '10.2.0.2:80', peerAddress: '10.2.0.2:7215' },
};

function getLastSentAt(world: ClockWorld): number {
  const poll = world.fakeSent.findLast(({ kind }) => kind === 'follow');
  assert.ok(poll?.kind === 'follow' && poll.sentAt !== undefined);
  return poll.sentAt;
}

function sendNews(world: ClockWorld, part: Partial<Extract<FeedMessage, { kind: 'news' }>>): void {
  world.fakeHandler(MEMBER, {
    ...{ kind: 'news', healthy: true, base: undefined, after: 7, commands: undefined, cold: {} },
    ...{ fleet: undefined, members: [MEMBER], membersIndex: 3, age: 100, ...part },
  } satisfies FeedMessage);
}

function sendFound(world: ClockWorld, index: number, age: number): void {
  world.fakeFollower.pollNow();
  world.fakeHandler(PEER.peerAddress, {
    ...{ kind: 'found', hasDisk: false, healthy: false, leader: undefined, members: [MEMBER] },
    ...{ membersIndex: 3, index, age, echo: getLastSentAt(world) },
  } satisfies FeedMessage);
}

Given('a feed follower with a fresh state, on clocks of its own', function (this: ClockWorld) {
  createNetwork(this);
  this.monotonic = 50_000;
  this.wall = 1_800_000_000_000;
  this.fakeSent = [];
  this.fakeFollower = createFollower({
    mesh: {
      ...{ address: OBSERVED, close: () => Promise.resolve() },
      traffic: { messagesSent: 0, bytesSent: 0, messagesReceived: 0, bytesReceived: 0 },
      send: (_, __, message) => {
        this.fakeSent.push(message as FeedMessage);
      },
      handle: (_, handler) => {
        this.fakeHandler = handler;
      },
    },
    ...{ seeds: [MEMBER], now: () => this.monotonic, wallNow: () => this.wall, freshFor: 2000 },
    describeSelf: () => ({ ...PEER, id: 'gateway-1', peerAddress: OBSERVED }),
    ...{ collectEvidence: () => [], onChange: () => undefined },
    ...{ onCold: () => undefined, onDependency: () => undefined },
  });
  this.networkFollowers.push(this.fakeFollower);
  assert.equal(this.fakeFollower.age, Infinity);
  const base = { index: 7, state: encodeState(emptyCatalog) };
  sendNews(this, { base, after: 0, echo: getLastSentAt(this) });
  assert.ok(this.fakeFollower.age <= 101, `${this.fakeFollower.age} ms`);
});

function advance(world: ClockWorld, time: number): void {
  world.monotonic += time;
  world.wall += time;
}

const clockEvents: Readonly<Record<string, (world: ClockWorld) => void>> = {
  '400 ms pass': (world) => {
    advance(world, 400);
  },
  'the VM is suspended for 10 s': (world) => {
    world.wall += 10_000;
  },
  'the time of day jumps forward by 3600 s': (world) => {
    world.wall += 3_600_000;
  },
  'the time of day jumps back by 3600 s, and 5 s pass': (world) => {
    world.wall -= 3_600_000;
    advance(world, 5000);
  },
  'it jumps back by 3600 s, and the VM is suspended for 10 s': (world) => {
    world.wall -= 3_600_000;
    world.fakeFollower.pollNow();
    world.wall += 10_000;
  },
  '10 s pass in a pause, and news from before it arrive': (world) => {
    world.fakeFollower.pollNow();
    const echo = getLastSentAt(world);
    advance(world, 10_000);
    sendNews(world, { echo, age: 0 });
  },
  '3 s pass, and an answer to the poll of an earlier process arrives': (world) => {
    const echo = getLastSentAt(world);
    advance(world, 3000);
    sendNews(world, { echo: echo - 5000, age: 0 });
    sendNews(world, { echo: echo + 500_000, age: 0 });
  },
  '3 s pass, and an answer with a gap arrives': (world) => {
    advance(world, 3000);
    world.fakeFollower.pollNow();
    const commands = encodeCommands([[10, { kind: 'setZone', zone: 'b', out: true }]]);
    sendNews(world, { echo: getLastSentAt(world), after: 9, commands });
  },
  '3 s pass, and an answer of a member with an old state arrives': (world) => {
    advance(world, 3000);
    world.fakeFollower.pollNow();
    sendNews(world, { echo: getLastSentAt(world), age: 2000 });
  },
  '3 s pass, and a gateway with the same state answers': (world) => {
    advance(world, 3000);
    sendFound(world, 7, 100);
  },
  '3 s pass, and a gateway with an older state answers': (world) => {
    advance(world, 3000);
    sendFound(world, 6, 100);
  },
  '3 s pass, and a gateway with a newer state answers': (world) => {
    advance(world, 3000);
    sendFound(world, 8, 100);
  },
  '3 s pass, and a gateway with a newer state, also old answers': (world) => {
    advance(world, 3000);
    sendFound(world, 8, 2900);
  },
  '3 s pass, and a gateway that was asked before a pause answers': (world) => {
    world.fakeFollower.pollNow();
    const echo = getLastSentAt(world);
    advance(world, 3000);
    world.fakeHandler(PEER.peerAddress, {
      ...{ kind: 'found', hasDisk: false, healthy: false, leader: undefined, members: [MEMBER] },
      ...{ membersIndex: 3, index: 8, age: 100, echo },
    } satisfies FeedMessage);
  },
  '3 s pass, and a gateway with as old a state answers': (world) => {
    advance(world, 3000);
    sendFound(world, 7, 3000);
  },
  '3 s pass, and nobody answers': (world) => {
    advance(world, 3000);
  },
};

When(/^(.*) on the feed follower's clocks$/, function (this: ClockWorld, what: string) {
  const perform = clockEvents[what];
  assert.ok(perform, what);
  perform(this);
});

Then(
  "the feed follower's age is at least {int} ms and at most {int} ms",
  function (this: ClockWorld, least: number, most: number) {
    const { age } = this.fakeFollower;
    assert.ok(age >= least && age <= most, `${age} ms`);
  },
);

Then(
  /^the feed follower knows that it is (behind|not behind)$/,
  function (this: ClockWorld, expected: string) {
    assert.equal(this.fakeFollower.isBehind, expected === 'behind');
  },
);

interface SpreadWorld {
  sourceStates: readonly SourcesState[];
  sourcesNow: number;
}

const MEMBERS = ['s1', 's2', 's3'].map(toAddress);

function applyAnswer(state: SourcesState, from: Address, now: number): SourcesState {
  const answer = { from, isMember: true, isGood: true, members: MEMBERS, membersIndex: 4 };
  return decideSources(state, { kind: 'answered', now, answer }).state;
}

Given(
  '40 feed sources that all follow the member that answered first after a time without a leader',
  function (this: SpreadWorld) {
    this.sourcesNow = 10_000;
    const [first = ''] = MEMBERS;
    this.sourceStates = Array.from({ length: 40 }, (_, at) => {
      const known = applyAnswer(createSources(`gateway-${at}`, MEMBERS, 0), first, 100);
      return applyAnswer({ ...known, isLost: true }, first, 10_000);
    });
    assert.ok(this.sourceStates.every(({ followed }) => followed === first));
  },
);

When(
  '{int} ms pass for the feed sources, in which all members answer',
  function (this: SpreadWorld, time: number) {
    const until = this.sourcesNow + time;
    while (this.sourcesNow < until) {
      this.sourcesNow += 250;
      const now = this.sourcesNow;
      this.sourceStates = this.sourceStates.map((before) => {
        const polled = { kind: 'polled', now, isOld: false, followers: [] } as const;
        const { state, effects } = decideSources(before, { ...polled, random: () => 0 });
        return effects.reduce(
          (next, effect) => (effect.kind === 'poll' ? applyAnswer(next, effect.member, now) : next),
          state,
        );
      });
    }
  },
);

Then(
  'each of the 3 members is followed by at least {int} of the feed sources',
  function (this: SpreadWorld, least: number) {
    MEMBERS.forEach((member) => {
      const count = this.sourceStates.filter(({ followed }) => followed === member).length;
      assert.ok(count >= least, `${member} is followed by ${count}`);
    });
  },
);
