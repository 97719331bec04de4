import { After, Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { pack } from 'msgpackr';
import { setTimeout as sleep } from 'node:timers/promises';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import {
  applyCommand,
  emptyCatalog,
  type Catalog,
  type CatalogCommand,
  type Route,
  type RouteTable,
} from '../../src/catalog/index.js';
import { decodeCommands, decodeState, encodeCommands, encodeState } from '../../src/feed/codec.js';
import type { ControlStatus } from '../../src/control/index.js';
import {
  createFollower,
  createPublisher,
  type FeedMessage,
  type EntryRecord,
  type Follower,
  type Publisher,
} from '../../src/feed/index.js';
import { resolveFleetUpdate } from '../../src/feed/messages.js';
import type { FleetUpdate } from '../../src/feed/types.js';
import type { Address } from '../../src/model/index.js';
import { createControl } from '../support/control.js';
import type { Mesh, MessageHandler } from '../../src/wire/index.js';

/** A mesh endpoint that records sent messages and delivers the messages that a test passes to `receive`. */
class TestMesh implements Mesh {
  readonly address: Address = '10.1.0.18:7200';
  readonly sent: (readonly [to: Address, message: FeedMessage])[] = [];
  readonly traffic = { messagesSent: 0, bytesSent: 0, messagesReceived: 0, bytesReceived: 0 };
  #handler: MessageHandler = () => undefined;

  send(to: Address, _: string, message: unknown): void {
    this.sent.push([to, message as FeedMessage]);
  }

  handle(_: string, handler: MessageHandler): void {
    this.#handler = handler;
  }

  receive(from: Address, message: FeedMessage): void {
    this.#handler(from, message);
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}

interface FeedWorld {
  meshes: readonly TestMesh[];
  followers: readonly Follower[];
  seed: string;
  groupMembers: readonly string[];
  leaderCatalog: Catalog;
  commands: CatalogCommand[];
  replicas: readonly Catalog[];
  sizes: readonly number[];
  mesh: TestMesh;
  applyCommand: (index: number, command: CatalogCommand) => void;
  seen: readonly Catalog[];
  publisher: Publisher | undefined;
  clock: { now: number };
  random: RandomGenerator;
}

const REQUESTER = '10.4.0.20:7200';

Given(
  'a feed publisher of a control member with role {string} and members {string}',
  function (this: FeedWorld, role: ControlStatus['role'], members: string) {
    this.mesh = new TestMesh();
    this.publisher = createPublisher({
      mesh: this.mesh,
      control: createControl({
        role,
        members: members.split(' ').map((id) => ({ id, voter: true })),
      }),
      now: () => 0,
      listCold: () => ({}),
      onGroupFound: () => undefined,
      onEvidence: () => undefined,
    });
  },
);

When('a process asks it for the members of the group', function (this: FeedWorld) {
  this.mesh.receive(REQUESTER, { kind: 'find' });
});

Then('it receives the members {string}', function (this: FeedWorld, members: string) {
  const [to, message] = this.mesh.sent[0] ?? [];
  assert.equal(to, REQUESTER);
  assert.equal(message?.kind === 'found' ? message.members.join(' ') : '', members);
});

function createRoute(at: number, timeout = 800): Route {
  const item = {
    name: `r-${at}`,
    path_prefix: `/fipu${at}/wu/`,
    note: 'in the words of the operator',
  };
  return {
    ...{ name: `r-${at}`, host: 'site.example', prefix: `/fipu${at}/wu/`, kind: 'safe', timeout },
    ...{ targetLatency: 200, maxAttempts: 2, rank: 1, source: item },
    parts: [{ service: 'records', weight: 1 }],
  };
}

const table: RouteTable = {
  version: 1,
  routes: [createRoute(0)],
  services: [
    {
      ...{ name: 'records', healthPath: '/health', maxConnections: 200, coldTime: 0, coldRate: 1 },
      source: { name: 'records' },
    },
  ],
  limits: { headBytes: 1, bodyBytes: 1, headTimeout: 1, idleTimeout: 1, source: {} },
  extra: { note: 'more of the operator' },
};

function createPatch(
  version: number,
  routes: readonly Route[],
  removed: readonly string[],
): CatalogCommand {
  return {
    ...{ kind: 'patchRoutes', base: version - 1, digest: `d${version}` },
    patch: {
      version,
      upsert: { routes, services: [], limits: undefined },
      remove: { routes: removed, services: [] },
    },
  };
}

function applyAll(catalog: Catalog, commands: readonly CatalogCommand[]): Catalog {
  return commands.reduce((state, command) => applyCommand(state, command).state, catalog);
}

Given(
  'a catalog with {int} routes added by one change, of which 3 are then changed and 2 removed',
  function (this: FeedWorld, count: number) {
    const routes = Array.from({ length: count }, (_, index) => createRoute(index + 1));
    this.commands = [
      { kind: 'replaceRoutes', base: 0, digest: 'd1', table },
      createPatch(2, routes, []),
      createPatch(
        3,
        [5, 6, 7].map((at) => createRoute(at, 900)),
        ['r-8', 'r-9'],
      ),
    ];
    this.leaderCatalog = applyAll(emptyCatalog, this.commands);
  },
);

function sendCommands(commands: readonly CatalogCommand[]): ReturnType<typeof encodeCommands> {
  return encodeCommands(commands.map((command, index) => [index + 1, command]));
}

When('one entry is sent the whole state, and another one every change', function (this: FeedWorld) {
  const state = encodeState(this.leaderCatalog);
  const changes = sendCommands(this.commands);
  const received = decodeCommands(changes).map(([, command]) => command);
  this.replicas = [decodeState(state), applyAll(emptyCatalog, received)];
  this.sizes = [state[1].length, changes[1].length];
});

When('a change that was accepted before is sent to both again', function (this: FeedWorld) {
  const duplicates = decodeCommands(sendCommands(this.commands.slice(1, 2))).map(
    ([, command]) => command,
  );
  this.leaderCatalog = applyAll(this.leaderCatalog, duplicates);
  this.replicas = this.replicas.map((catalog) => applyAll(catalog, duplicates));
});

function listRoutes({ table: routeTable }: Catalog): readonly unknown[] {
  return [
    routeTable?.version,
    ...(routeTable?.routes ?? []).map((route) => ({ ...route, source: undefined })),
    ...(routeTable?.services ?? []).map((service) => ({ ...service, source: undefined })),
  ];
}

Then('both hold the same routes, except for their source items', function (this: FeedWorld) {
  assert.equal(this.leaderCatalog.table?.routes.length, 1039);
  this.replicas.forEach((catalog) => {
    assert.deepEqual(listRoutes(catalog), listRoutes(this.leaderCatalog));
  });
});

Then(
  'the changes and the state take at most {int} bytes each',
  function (this: FeedWorld, maximum: number) {
    this.sizes.forEach((size) => {
      assert.ok(size <= maximum, `${size} bytes`);
    });
  },
);

Given(
  '{int} entries that follow the seed {string}',
  function (this: FeedWorld, count: number, seed: string) {
    this.seed = seed;
    this.meshes = Array.from({ length: count }, () => new TestMesh());
    this.followers = this.meshes.map((mesh, index) =>
      createFollower({
        ...{ mesh, seeds: [seed], now: () => 0 },
        describeSelf: () => ({
          ...{ id: `gateway-${index}`, zone: 'a', capacity: 1, ready: false },
          ...{ callerAddress: `10.9.0.${index}:80`, peerAddress: `10.9.0.${index}:7215` },
        }),
        collectEvidence: () => [],
        onChange: () => undefined,
        onCold: () => undefined,
        onDependency: () => undefined,
      }),
    );
  },
);

When('the seed sends them the members {string}', function (this: FeedWorld, members: string) {
  this.groupMembers = members.split(' ');
  this.meshes.forEach((mesh) => {
    mesh.receive(this.seed, {
      ...{ kind: 'news', healthy: true, base: undefined, after: 0, commands: undefined },
      ...{ cold: {}, fleet: undefined, members: this.groupMembers },
    });
  });
});

Then(
  'each member is followed by at least {int} of the entries',
  function (this: FeedWorld, minimum: number) {
    const followed = listFollowed(this);
    this.groupMembers.forEach((member) => {
      const count = followed.filter((address) => address === member).length;
      assert.ok(count >= minimum, `${member} is followed by ${count}`);
    });
  },
);

const ENTRY = {
  ...{ id: 'gateway-1', zone: 'a', capacity: 1, ready: true },
  ...{ callerAddress: '10.4.0.20:80', peerAddress: '10.4.0.20:7200' },
} as const;

Given(
  'a feed publisher that the entry {string} follows',
  function (this: FeedWorld, entry: string) {
    this.mesh = new TestMesh();
    this.publisher = createPublisher({
      mesh: this.mesh,
      control: createControl(
        {},
        {
          onApplied: (listener) => {
            this.applyCommand = (index, command) => {
              listener(emptyCatalog, index, command, pack(command).length);
            };
          },
        },
      ),
      now: () => 0,
      listCold: () => ({}),
      onGroupFound: () => undefined,
      onEvidence: () => undefined,
    });
    this.mesh.receive(entry, {
      ...{ kind: 'follow', entry: ENTRY, index: 0, fleetRevision: '', evidence: [] },
    });
    this.mesh.sent.length = 0;
  },
);

When(
  'the control member applies {int} commands at once',
  async function (this: FeedWorld, count: number) {
    Array.from({ length: count }, (_, index) => index + 1).forEach((index) => {
      this.applyCommand(index, { kind: 'setZone', zone: `z${index}`, out: true });
    });
    await new Promise((resolve) => setImmediate(resolve));
  },
);

Then(
  'the entry is sent {int} message(s) with {int} commands',
  function (this: FeedWorld, messages: number, commands: number) {
    const counts = this.mesh.sent.map(([, message]) =>
      message.kind === 'news' && message.commands !== undefined
        ? decodeCommands(message.commands).length
        : 0,
    );
    assert.deepEqual(
      counts,
      Array.from({ length: messages }, () => commands),
    );
  },
);

When(
  'the control member applies {int} configurations of {int} routes',
  function (this: FeedWorld, count: number, size: number) {
    const routes = Array.from({ length: size }, (_, index) => createRoute(index + 1));
    Array.from({ length: count }, (_, index) => index + 1).forEach((version) => {
      this.applyCommand(version, {
        ...{ kind: 'replaceRoutes', base: version - 1, digest: `d${version}` },
        table: { ...table, version, routes },
      });
    });
  },
);

Then(
  'the feed publisher keeps at most {int} MB of commands',
  function (this: FeedWorld, limit: number) {
    const kept = this.publisher?.keptBytes;
    assert.ok(kept !== undefined && kept <= limit * 1024 * 1024, `it keeps ${kept} bytes`);
  },
);

Then(
  'an entry that has the first configuration is sent the whole state',
  function (this: FeedWorld) {
    this.mesh.sent.length = 0;
    this.mesh.receive(ENTRY.peerAddress, {
      ...{ kind: 'follow', entry: ENTRY, index: 1, fleetRevision: '', evidence: [] },
    });
    const message = this.mesh.sent[0]?.[1];
    assert.ok(message?.kind === 'news');
    assert.ok(message.base !== undefined, 'the whole state is sent');
    assert.equal(message.commands, undefined);
  },
);

Given('an entry whose view is observed', function (this: FeedWorld) {
  this.seed = '10.1.0.18:7200';
  this.mesh = new TestMesh();
  this.seen = [];
  this.followers = [
    createFollower({
      ...{ mesh: this.mesh, seeds: [this.seed], now: () => 0 },
      describeSelf: () => ENTRY,
      collectEvidence: () => [],
      onChange: ({ catalog }) => {
        this.seen = [...this.seen, catalog];
      },
      onCold: () => undefined,
      onDependency: () => undefined,
    }),
  ];
});

When(
  'an update adds the routes of version 1, takes the zone {string} out, and takes it back',
  function (this: FeedWorld, zone: string) {
    const commands = sendCommands([
      { kind: 'replaceRoutes', base: 0, digest: 'd1', table },
      { kind: 'setZone', zone, out: true },
      { kind: 'setZone', zone, out: false },
    ]);
    this.mesh.receive(this.seed, {
      ...{ kind: 'news', healthy: true, base: undefined, after: 0, commands },
      ...{ cold: {}, fleet: undefined, members: [this.seed] },
    });
  },
);

/** Sends the observed entry the whole state at the index, with routes of the version. */
function sendState(world: FeedWorld, healthy: boolean, index: number, version: number): void {
  const state = encodeState({ ...emptyCatalog, table: { ...table, version } });
  world.mesh.receive(world.seed, {
    ...{ kind: 'news', healthy, base: { index, state }, after: 0, commands: undefined },
    ...{ cold: {}, fleet: undefined, members: [world.seed] },
  });
}

When(
  'a control member without a leader sends it the routes of version {int} whole, and the route commands of version {int}',
  function (this: FeedWorld, whole: number, commanded: number) {
    sendState(this, false, 5, whole);
    const commands = sendCommands([
      { kind: 'replaceRoutes', base: 0, digest: 'd1', table: { ...table, version: commanded } },
    ]);
    this.mesh.receive(this.seed, {
      ...{ kind: 'news', healthy: false, base: undefined, after: 0, commands },
      ...{ cold: {}, fleet: undefined, members: [this.seed] },
    });
  },
);

When(
  'a control member with a leader sends it the routes of version {int} whole',
  function (this: FeedWorld, version: number) {
    sendState(this, true, 7, version);
  },
);

Then('the entry saw {int} changes', function (this: FeedWorld, changes: number) {
  assert.equal(this.seen.length, changes);
});

Then(
  'the entry saw {int} change(s), to routes of version {int} and no zone out',
  function (this: FeedWorld, changes: number, version: number) {
    assert.equal(this.seen.length, changes);
    assert.equal(this.seen.at(-1)?.table?.version, version);
    assert.deepEqual(this.seen.at(-1)?.zonesOut, []);
  },
);

function createEntry(index: number, capacity: number): EntryRecord {
  return {
    ...{ id: `gateway-${index}`, zone: `z${index % 6}`, capacity, ready: true },
    callerAddress: `10.${index % 6}.${Math.floor(index / 6)}.20:8381`,
    peerAddress: `10.${index % 6}.${Math.floor(index / 6)}.20:7215`,
  };
}

function openPublisher(mesh: TestMesh, clock: { readonly now: number }): Publisher {
  return createPublisher({
    ...{ mesh, control: createControl({}), now: () => clock.now, listCold: () => ({}) },
    ...{ onGroupFound: () => undefined, onEvidence: () => undefined },
  });
}

function requestUpdate(
  mesh: TestMesh,
  entry: EntryRecord,
  fleetRevision: string,
): FeedMessage | undefined {
  mesh.sent.length = 0;
  mesh.receive(entry.peerAddress, {
    ...{ kind: 'follow', entry, index: 0, fleetRevision, evidence: [] },
  });
  return mesh.sent[0]?.[1];
}

Given('a feed publisher that knows {int} entries', function (this: FeedWorld, count: number) {
  this.mesh = new TestMesh();
  this.clock = { now: 0 };
  this.publisher = openPublisher(this.mesh, this.clock);
  Array.from({ length: count }, (_, index) => createEntry(index, 1)).forEach((entry) => {
    requestUpdate(this.mesh, entry, '');
  });
});

When(
  '{int} of the entries stop one after another, and the entry {string} polls before and after',
  function (this: FeedWorld, count: number, address: string) {
    const follower = { ...ENTRY, peerAddress: address };
    const getFleet = (message: FeedMessage | undefined): FleetUpdate | undefined =>
      message?.kind === 'news' ? message.fleet : undefined;
    const first = getFleet(requestUpdate(this.mesh, follower, ''));
    this.clock.now += 100;
    Array.from({ length: count }, (_, index) => createEntry(index, 1)).forEach((entry) => {
      requestUpdate(this.mesh, { ...entry, ready: false }, '');
    });
    const second = getFleet(requestUpdate(this.mesh, follower, first?.revision ?? ''));
    assert.ok(
      first !== undefined && second !== undefined,
      'both polls are answered with an update',
    );
    // What they say, however they are compressed.
    this.sizes = [first, second].map((fleet) => JSON.stringify(resolveFleetUpdate(fleet)).length);
  },
);

Then(
  'the second update of its list takes at most {int} bytes, the first one more than {int}',
  function (this: FeedWorld, most: number, least: number) {
    const [first = 0, second = Infinity] = this.sizes;
    assert.ok(first > least, `the first takes ${first}`);
    assert.ok(second <= most, `the second takes ${second}`);
  },
);

Given(
  'a feed publisher whose followers join, change and leave at random, with seed {int}',
  function (this: FeedWorld, seed: number) {
    this.mesh = new TestMesh();
    this.clock = { now: 0 };
    this.publisher = openPublisher(this.mesh, this.clock);
    this.random = xoroshiro128plus(seed);
  },
);

When(
  'an entry polls it {int} times, every third update of which is lost',
  function (this: FeedWorld, count: number) {
    const entryMesh = new TestMesh();
    const follower = createFollower({
      ...{ mesh: entryMesh, seeds: [this.mesh.address], now: () => this.clock.now },
      ...{ describeSelf: () => ENTRY, collectEvidence: () => [], onChange: () => undefined },
      ...{ onCold: () => undefined, onDependency: () => undefined },
    });
    this.followers = [follower];
    Array.from({ length: count }, (_, index) => index).forEach((index) => {
      // Entries that the draw passes over for two seconds of this clock expire.
      this.clock.now += 100;
      const joining = createEntry(uniformInt(this.random, 0, 30), uniformInt(this.random, 1, 2));
      requestUpdate(this.mesh, joining, '');
      follower.pollNow();
      const own = entryMesh.sent.at(-1)?.[1];
      if (own?.kind !== 'follow') return;
      const update = requestUpdate(this.mesh, ENTRY, own.fleetRevision);
      if (update === undefined || index % 3 === 2) return;
      entryMesh.receive(this.mesh.address, update);
      assert.deepEqual(follower.view.entries, this.publisher?.entries, `after poll ${index}`);
    });
  },
);

Then(
  "after each update that arrives the entry has the publisher's list",
  function (this: FeedWorld) {
    const [follower] = this.followers;
    assert.ok((follower?.view.entries.length ?? 0) > 1);
  },
);

/** Two meshes of which each delivers what the other one sends, except for the messages that a test drops. */
class LinkedMesh extends TestMesh {
  peer: LinkedMesh | undefined;
  lost = 0;

  constructor(override readonly address: Address) {
    super();
  }

  override send(to: Address, channel: string, message: unknown): void {
    super.send(to, channel, message);
    if (to !== this.peer?.address) return;
    if (this.lost > 0) this.lost -= 1;
    else this.peer.receive(this.address, message as FeedMessage);
  }
}

interface PairWorld extends FeedWorld {
  pair: readonly [LinkedMesh, LinkedMesh];
  publishers: readonly [Publisher, Publisher];
  polling: readonly EntryRecord[];
  pollTimer: NodeJS.Timeout | undefined;
}

async function waitForEntries(
  { publishers }: PairWorld,
  time: number,
  isReached: (entries: readonly EntryRecord[]) => boolean,
): Promise<void> {
  const until = performance.now() + time;
  while (!isReached(publishers[1].entries) && performance.now() < until) await sleep(20);
  assert.ok(isReached(publishers[1].entries), `it lists ${publishers[1].entries.length}`);
}

Given(
  'two feed publishers, of which the first one is followed by {int} entries',
  function (this: PairWorld, count: number) {
    this.pair = [new LinkedMesh('10.1.0.18:7200'), new LinkedMesh('10.2.0.34:7200')];
    const [first, second] = this.pair;
    Object.assign(first, { peer: second });
    Object.assign(second, { peer: first });
    const members = this.pair.map(({ address }) => ({ id: address, voter: true }));
    const open = (mesh: TestMesh): Publisher =>
      createPublisher({
        ...{ mesh, control: createControl({ members }), now: () => performance.now() },
        ...{ listCold: () => ({}), onGroupFound: () => undefined, onEvidence: () => undefined },
      });
    this.publishers = [open(first), open(second)];
    this.polling = Array.from({ length: count }, (_, index) => createEntry(index, 1));
    this.pollTimer = setInterval(() => {
      this.polling.forEach((entry) => {
        first.receive(entry.peerAddress, {
          ...{ kind: 'follow', entry, index: 0, fleetRevision: '', evidence: [] },
        });
      });
    }, 250);
  },
);

Then(
  'within {int} ms the second one lists {int} entries',
  async function (this: PairWorld, time: number, count: number) {
    await waitForEntries(this, time, (entries) => entries.length === count);
  },
);

Then(
  'while nothing changes, a message about the followers takes at most {int} bytes',
  async function (this: PairWorld, most: number) {
    const [{ sent }] = this.pair;
    sent.length = 0;
    await sleep(900);
    const shared = sent.filter(([, { kind }]) => kind === 'followers');
    assert.ok(shared.length > 0);
    shared.forEach(([, message]) => {
      assert.ok(JSON.stringify(message).length <= most, JSON.stringify(message));
    });
  },
);

When(
  'an entry stops, and the next {int} messages between the publishers are lost',
  function (this: PairWorld, lost: number) {
    this.polling = this.polling.map((entry, index) => ({ ...entry, ready: index > 0 }));
    this.pair[0].lost = lost;
  },
);

Then(
  'within {int} ms the second one lists {int} entries, of which {int} are ready',
  async function (this: PairWorld, time: number, count: number, ready: number) {
    await waitForEntries(
      this,
      time,
      (entries) =>
        entries.length === count && entries.filter((entry) => entry.ready).length === ready,
    );
  },
);

When('{int} of the entries no longer poll', function (this: PairWorld, count: number) {
  this.polling = this.polling.slice(count);
});

interface ZoneFollowerWorld extends FeedWorld {
  fleetEntries: readonly EntryRecord[];
}

Given(
  '{int} entries in zone {string} that follow the seed {string}',
  function (this: ZoneFollowerWorld, count: number, zone: string, seed: string) {
    this.seed = seed;
    this.clock = { now: 0 };
    this.meshes = Array.from({ length: count }, () => new TestMesh());
    this.followers = this.meshes.map((mesh, index) =>
      createFollower({
        ...{ mesh, seeds: [seed], now: () => this.clock.now, onChange: () => undefined },
        describeSelf: () => ({ ...createEntry(index, 1), zone }),
        ...{ collectEvidence: () => [], onCold: () => undefined, onDependency: () => undefined },
      }),
    );
  },
);

function sendList(world: ZoneFollowerWorld, from: Address, revision: string): void {
  const fleet: FleetUpdate = { kind: 'whole', revision, entries: world.fleetEntries };
  world.meshes.forEach((mesh) => {
    mesh.receive(from, {
      ...{ kind: 'news', healthy: true, base: undefined, after: 0, commands: undefined },
      ...{ cold: {}, fleet, members: world.groupMembers },
    });
  });
}

When(
  'the seed sends them 4 members, of which {string} runs beside an entry of zone {string}',
  function (this: ZoneFollowerWorld, member: string, zone: string) {
    this.groupMembers = [this.seed, member, '10.3.0.12:7200', '10.4.0.20:7200'];
    const beside = { ...createEntry(900, 1), zone, peerAddress: member.replace(':7200', ':7215') };
    this.fleetEntries = [...Array.from({ length: 6 }, (_, at) => createEntry(at, 1)), beside];
    sendList(this, this.seed, 'r1');
  },
);

function listFollowed({ followers }: FeedWorld): readonly Address[] {
  return followers.map(({ followed }) => followed);
}

Then('all entries follow {string}', function (this: ZoneFollowerWorld, member: string) {
  assert.deepEqual([...new Set(listFollowed(this))], [member]);
});

When(
  'that member is silent for {int} ms, while the list of entries changes',
  async function (this: ZoneFollowerWorld, time: number) {
    this.clock.now += time;
    // The followers' own timer polls within 250 ms and finds the member silent.
    await sleep(400);
    this.fleetEntries = this.fleetEntries.slice(1);
    sendList(this, this.seed, 'r2');
    await sleep(300);
  },
);

Then('none of the entries follows {string}', function (this: ZoneFollowerWorld, member: string) {
  assert.ok(!listFollowed(this).includes(member));
});

After(function (this: Partial<PairWorld>) {
  clearInterval(this.pollTimer);
  this.publishers?.forEach((publisher) => {
    publisher.close();
  });

  this.followers?.forEach((follower) => {
    follower.close();
  });
  this.publisher?.close();
});

async function countPolls({ mesh }: FeedWorld, time: number): Promise<number> {
  const before = mesh.sent.length;
  await sleep(time);
  return mesh.sent.slice(before).filter(([, { kind }]) => kind === 'follow').length;
}

Then(
  'it polls at least {int} times in {int} ms',
  async function (this: FeedWorld, least: number, time: number) {
    const count = await countPolls(this, time);
    assert.ok(count >= least, `${count} polls`);
  },
);

Then(
  'it polls at most {int} times in {int} ms',
  async function (this: FeedWorld, most: number, time: number) {
    const count = await countPolls(this, time);
    assert.ok(count <= most, `${count} polls`);
  },
);
