import { Given, Then, When, After } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { setTimeout as waitFor } from 'node:timers/promises';
import { createMembership, type Membership } from '../../src/membership/index.js';
import { toKnownEntry } from '../../src/membership/entries.js';
import { computeHash } from '../../src/membership/gossip.js';
import type { MembershipState } from '../../src/membership/types.js';
import { createMesh, type Mesh } from '../../src/wire/index.js';
import { findFreePorts } from '../support/ports.js';
import { createUpstream, Network, toAddress } from './network.js';

interface MembershipWorld {
  network: Network;
  zones: number;
  count: number;
  /** States seen at any time, such as `entry-1 dead` or `u1 missing`. */
  observations: Set<string>;
  /** Index of the entry at which each upstream renews, by upstream id. */
  renewalEntries: Map<string, number>;
  memberships: Membership[];
  meshes: Mesh[];
  peerAddress: string;
  failures: string[];
  answer: Promise<unknown>;
}

const SECRET = 'the secret of the site';

const SEED = 20261204;
/** Milliseconds of virtual time in which the entries discover each other before a scenario starts. */
const SETTLE_TIME = 10_000;

function listStates(network: Network): readonly MembershipState[] {
  return [...network.processes.values()].map(({ state }) => state);
}

function listIds(state: MembershipState): string {
  return state.listed
    .map(({ record }) => record.upstream.id)
    .sort()
    .join(' ');
}

/** Lists the entries that any entry considers suspect or dead, such as `entry-1 dead`. */
function listSuspectedOrDead(network: Network): readonly string[] {
  return listStates(network).flatMap((state) =>
    [...state.entries.values()]
      .filter(({ record }) => record.status === 'dead' || record.status === 'suspect')
      .map(({ record }) => `${record.id} ${record.status}`),
  );
}

/**
 * Creates a check that at every entry the incarnation of an upstream never decreases and a leaving
 * incarnation stays leaving.
 */
function createRecordCheck(network: Network): () => void {
  const seen = new Map<string, readonly [incarnation: number, leaving: boolean]>();
  return () => {
    [...network.processes.values()].forEach(({ state }) => {
      const own = state.entries.get(state.self)?.record.incarnation ?? 0;
      state.upstreams.forEach(({ record: { upstream } }, id) => {
        const key = `${state.self}/${own}/${id}`;
        const [incarnation, leaving] = seen.get(key) ?? [0, false];
        assert.ok(
          upstream.incarnation >= incarnation,
          `incarnation of ${key} went back to ${upstream.incarnation}`,
        );
        const sameProcess = upstream.incarnation === incarnation;
        assert.ok(
          !sameProcess || !leaving || upstream.leaving,
          `leaving incarnation ${incarnation} of ${key} came back`,
        );
        seen.set(key, [upstream.incarnation, upstream.leaving]);
      });
    });
  };
}

function checkAlive(network: Network): void {
  const running = listStates(network).map(({ self }) => self);
  listStates(network).forEach((state) => {
    const alive = [...state.entries.values()].map(toKnownEntry).filter((entry) => entry.alive);
    assert.deepEqual(
      alive.map(({ id }) => id).sort(),
      [...running].sort(),
      `entries that ${state.self} considers alive`,
    );
  });
}

Given(
  '{int} entries in {int} zones',
  function (this: MembershipWorld, count: number, zones: number) {
    this.network = new Network(SEED);
    this.observations = new Set();
    this.renewalEntries = new Map();
    Object.assign(this, { count, zones });
    Array.from({ length: count }, (_, index) => this.network.start(index, `zone-${index % zones}`));
    this.network.run(SETTLE_TIME);
    this.network.check = () => {
      listSuspectedOrDead(this.network).forEach((status) => this.observations.add(status));
    };
  },
);

When(
  'upstream {string} announces itself at entry {int}',
  function (this: MembershipWorld, id: string, index: number) {
    this.network.announce(index, createUpstream(id));
  },
);

When(
  'upstream {string} announces itself at entry {int} as incarnation {int}',
  function (this: MembershipWorld, id: string, index: number, incarnation: number) {
    this.network.announce(index, createUpstream(id, incarnation));
  },
);

When(
  'upstream {string} announces itself at entry {int} with {int} slots',
  function (this: MembershipWorld, id: string, index: number, slots: number) {
    this.network.announce(index, { ...createUpstream(id), slots });
  },
);

When(
  'upstream {string} announces at entry {int} that incarnation {int} is leaving',
  function (this: MembershipWorld, id: string, index: number, incarnation: number) {
    const { now } = this.network;
    this.network.apply(toAddress(index), { kind: 'upstreamLeft', id, incarnation, now });
  },
);

When('{int} ms of membership pass', function (this: MembershipWorld, milliseconds: number) {
  this.network.run(milliseconds, () => {
    if (this.network.now % 2000 !== 0) return;
    this.renewalEntries.forEach((index, id) => {
      this.network.announce(index, createUpstream(id));
    });
  });
});

When(
  'upstream {string} renews every {int} ms at a random entry for {int} ms',
  function (this: MembershipWorld, id: string, every: number, milliseconds: number) {
    this.network.run(milliseconds, () => {
      const running = [...this.network.processes.keys()];
      const address = running[Math.floor(this.network.drawRandom() * running.length)] ?? '';
      const { now } = this.network;
      if (now % every === 0)
        this.network.apply(address, { kind: 'announced', upstream: createUpstream(id), now });
      const missing = listStates(this.network).filter((state) => !listIds(state).includes(id));
      if (missing.length > 0 && now > SETTLE_TIME + 5000) this.observations.add(`${id} missing`);
    });
  },
);

When('entry {int} is killed', function (this: MembershipWorld, index: number) {
  this.network.processes.delete(toAddress(index));
});

When(
  'entry {int} is frozen for {int} ms',
  function (this: MembershipWorld, index: number, milliseconds: number) {
    const frozen = this.network.processes.get(toAddress(index));
    if (frozen !== undefined) frozen.frozenUntil = this.network.now + milliseconds;
  },
);

Given(
  'messages from entry {int} to entry {int} are cut',
  function (this: MembershipWorld, from: number, to: number) {
    this.network.cuts.add(`${toAddress(from)}>${toAddress(to)}`);
  },
);

When('the entries of zone {int} are killed', function (this: MembershipWorld, zone: number) {
  Array.from({ length: this.count }, (_, index) => index)
    .filter((at) => at % this.zones === zone)
    .forEach((at) => this.network.processes.delete(toAddress(at)));
});

When('the entries of zone {int} start again', function (this: MembershipWorld, zone: number) {
  Array.from({ length: this.count }, (_, index) => index)
    .filter((at) => at % this.zones === zone)
    .forEach((at) => this.network.start(at, `zone-${zone}`, 2));
});

When(
  'entry {int} starts again while all messages to it are lost',
  function (this: MembershipWorld, index: number) {
    const others = Array.from({ length: this.count }, (_, index) => index).filter(
      (at) => at !== index,
    );
    others.forEach((at) => this.network.cuts.add(`${toAddress(at)}>${toAddress(index)}`));
    this.network.start(index, 'zone-0', 2);
  },
);

When('messages to entry {int} arrive again', function (this: MembershipWorld, index: number) {
  Array.from({ length: this.count }, (_, index) => index).forEach((at) =>
    this.network.cuts.delete(`${toAddress(at)}>${toAddress(index)}`),
  );
});

When(
  'the entries {int} and {int} start again together',
  function (this: MembershipWorld, one: number, two: number) {
    [one, two].forEach((index) => this.network.start(index, 'zone-0', 2));
  },
);

Then('entry {int} has not joined', function (this: MembershipWorld, index: number) {
  assert.notEqual(this.network.getState(index).awaitedSeeds, undefined);
});

Then(
  'entry {int} has joined and lists the upstreams {string}',
  function (this: MembershipWorld, index: number, ids: string) {
    assert.equal(this.network.getState(index).awaitedSeeds, undefined);
    assert.equal(listIds(this.network.getState(index)), ids);
  },
);

When('zone {int} is partitioned from the others', function (this: MembershipWorld, zone: number) {
  const indexes = Array.from({ length: this.count }, (_, index) => index);
  indexes
    .flatMap((a) => indexes.map((b) => [a, b] as const))
    .filter(([a, b]) => (a % this.zones === zone) !== (b % this.zones === zone))
    .forEach(([a, b]) => this.network.cuts.add(`${toAddress(a)}>${toAddress(b)}`));
});

When('the partition ends', function (this: MembershipWorld) {
  this.network.cuts.clear();
});

Given(
  'upstream {string} renews at entry {int} from now on',
  function (this: MembershipWorld, id: string, index: number) {
    this.renewalEntries.set(id, index);
  },
);

Then(
  'entry {int} lists the upstreams {string}',
  function (this: MembershipWorld, index: number, ids: string) {
    assert.equal(listIds(this.network.getState(index)), ids);
  },
);

When('entry {int} announces that it is stopping', function (this: MembershipWorld, index: number) {
  this.network.apply(toAddress(index), { kind: 'stopping', now: this.network.now });
});

When(
  'the fingerprint {string} crashes upstreams {string} as reported by entry {int}',
  function (this: MembershipWorld, fingerprint: string, upstreamIds: string, index: number) {
    upstreamIds.split(' ').forEach((upstreamId) => {
      const crash = { fingerprint, upstreamId, incarnation: 1, now: this.network.now };
      this.network.apply(toAddress(index), { kind: 'suspected', ended: false, ...crash });
    });
  },
);

Given(
  'a request with the fingerprint {string} succeeds at entry {int}',
  function (this: MembershipWorld, fingerprint: string, index: number) {
    this.network.apply(toAddress(index), { kind: 'cleared', fingerprint, now: this.network.now });
  },
);

function countRefusing(network: Network, fingerprint: string): number {
  return [...network.processes.values()].filter(
    ({ quarantined }) => (quarantined.get(fingerprint) ?? 0) > network.now,
  ).length;
}

Then('every entry refuses {string}', function (this: MembershipWorld, fingerprint: string) {
  assert.equal(countRefusing(this.network, fingerprint), this.count);
});

Then('no entry refuses {string}', function (this: MembershipWorld, fingerprint: string) {
  assert.equal(countRefusing(this.network, fingerprint), 0);
});

Then('every entry lists the upstreams {string}', function (this: MembershipWorld, ids: string) {
  listStates(this.network).forEach((state) => {
    assert.equal(listIds(state), ids, `at ${state.self}`);
  });
});

Then('the record of {string} was written once', function (this: MembershipWorld, id: string) {
  assert.equal(this.network.getState(0).upstreams.get(id)?.record.version, 1);
});

Then(
  'upstream {string} was never missing at a running entry',
  function (this: MembershipWorld, id: string) {
    assert.ok(!this.observations.has(`${id} missing`));
  },
);

Then('no entry was ever marked {word}', function (this: MembershipWorld, status: string) {
  const found = [...this.observations].filter((observation) => observation.endsWith(` ${status}`));
  assert.deepEqual(found, []);
});

Then('every entry considers exactly the running ones alive', function (this: MembershipWorld) {
  checkAlive(this.network);
});

Then('all entries have the same hash', function (this: MembershipWorld) {
  const hashes = listStates(this.network).map((state) => computeHash(state, this.network.now));
  assert.equal(new Set(hashes).size, 1);
});

Then(
  'every entry knows incarnation {int} of {string}',
  function (this: MembershipWorld, incarnation: number, id: string) {
    listStates(this.network).forEach((state) => {
      assert.equal(state.upstreams.get(id)?.record.upstream.incarnation, incarnation);
    });
  },
);

Then('every entry knows that {string} is leaving', function (this: MembershipWorld, id: string) {
  listStates(this.network).forEach((state) => {
    assert.equal(state.upstreams.get(id)?.record.upstream.leaving, true);
  });
});

Then(
  'every entry knows that entry {int} is stopping',
  function (this: MembershipWorld, index: number) {
    listStates(this.network).forEach((state) => {
      assert.equal(state.entries.get(`entry-${index}`)?.record.stopping, true);
    });
  },
);

/**
 * Runs `steps` random faults and announcements with one seed, then a minute without faults, and checks that
 * all entries converge. The membership code itself checks its invariants in each step.
 */
function runSeed(seed: number, steps: number): void {
  const network = new Network(seed);
  const size = 9;
  const incarnations = new Map<number, number>();
  network.duplicateShare = 0.1;
  network.maxDelay = 60;
  network.check = createRecordCheck(network);
  Array.from({ length: size }, (_, index) => network.start(index, `zone-${index % 3}`));
  const pick = (count: number): number => Math.floor(network.drawRandom() * count);
  Array.from({ length: steps }).forEach(() => {
    const [one, two] = [pick(size), pick(size)];
    const faults: readonly (() => void)[] = [
      () => network.processes.delete(toAddress(one)),
      () => network.cuts.add(`${toAddress(one)}>${toAddress(two)}`),
      () => {
        network.cuts.clear();
      },
      () => {
        const incarnation = (incarnations.get(one) ?? 1) + 1;
        incarnations.set(one, incarnation);
        network.start(one, `zone-${one % 3}`, incarnation);
      },
      () => {
        const frozen = network.processes.get(toAddress(one));
        if (frozen !== undefined) frozen.frozenUntil = network.now + pick(8000);
      },
      () => {
        network.announce(one, createUpstream(`u${pick(12)}`, 1 + pick(3)));
      },
      () => {
        const left = { id: `u${pick(12)}`, incarnation: 1 + pick(3), now: network.now };
        network.apply(toAddress(one), { kind: 'upstreamLeft', ...left });
      },
    ];
    faults[pick(faults.length)]?.();
    network.run(pick(1500));
  });
  network.cuts.clear();
  const seeds = Array.from({ length: size }, (_, index) => toAddress(index));
  [...network.processes.keys()].forEach((address) => {
    network.apply(address, { kind: 'seedsReplaced', seeds, now: network.now });
  });
  network.run(60_000);
  checkAlive(network);
  const lists = listStates(network).map(listIds);
  assert.deepEqual(new Set(lists), new Set(['']), `seed ${seed}: expired upstreams are listed`);
  const hashes = listStates(network).map((state) => computeHash(state, network.now));
  assert.equal(new Set(hashes).size, 1, `seed ${seed}: the records of the entries differ`);
}

Then(
  'seeded runs of 9 membership entries with kills, cuts, freezes and duplicated messages converge',
  { timeout: -1 },
  function () {
    const seeds = Number(process.env.SEEDS ?? 4);
    const steps = Number(process.env.STEPS ?? 60);
    Array.from({ length: seeds }, (_, index) => {
      runSeed(SEED + index, steps);
    });
  },
);

Given('two memberships over loopback', async function (this: MembershipWorld) {
  const ports = await findFreePorts(2);
  const addresses = ports.map((port) => `127.0.0.1:${port}`);
  this.meshes = await Promise.all(
    addresses.map((address) => createMesh({ address, secret: SECRET })),
  );
  this.memberships = this.meshes.map((mesh, index) =>
    createMembership({
      ...{ mesh, seeds: addresses, now: () => performance.now(), random: () => 0.5 },
      self: {
        ...{ id: `entry-${index}`, zone: 'cyberjaya', incarnation: 1 },
        ...{ peerAddress: mesh.address, callerAddress: mesh.address },
      },
    }),
  );
});

When('an upstream announces itself at the second entry', function (this: MembershipWorld) {
  this.memberships[1]?.announce(createUpstream('u1'));
});

Then('the first entry lists it and knows both entries', async function (this: MembershipWorld) {
  const [first] = this.memberships;
  assert.ok(first !== undefined);
  await new Promise<void>((resolve) => {
    const check = (): void => {
      if (first.upstreams.length === 1 && first.entries.length === 2) resolve();
    };
    first.onUpstreamsChanged(check);
    first.onEntriesChanged(check);
    check();
  });
  assert.equal(first.upstreams[0]?.id, 'u1');
});

Given('a mesh endpoint whose peer is not running yet', async function (this: MembershipWorld) {
  const [own, peer] = await findFreePorts(2);
  this.peerAddress = `127.0.0.1:${peer}`;
  this.failures = [];
  const mesh = await createMesh({
    ...{ address: `127.0.0.1:${own}`, secret: SECRET },
    onProblem: (_, problem) => this.failures.push(problem),
  });
  mesh.handle('question', (from) => {
    mesh.send(from, 'answer', 'heard');
  });
  Object.assign(this, { meshes: [mesh], memberships: [] });
});

When(
  'it sends to the peer, and the peer starts and sends a question right after the failure',
  async function (this: MembershipWorld) {
    const [mesh] = this.meshes;
    assert.ok(mesh);
    mesh.send(this.peerAddress, 'question', 'is anybody there?');
    while (this.failures.length === 0) await waitFor(1);
    const peer = await createMesh({ address: this.peerAddress, secret: SECRET });
    this.meshes.push(peer);
    this.answer = new Promise((resolve) => {
      peer.handle('answer', (_, message) => {
        resolve(message);
      });
    });
    peer.send(mesh.address, 'question', 'what is known?');
  },
);

Then('the peer gets the answer', async function (this: MembershipWorld) {
  assert.equal(await Promise.race([this.answer, waitFor(2000)]), 'heard');
});

After(async function (this: Partial<MembershipWorld>) {
  const { memberships, meshes } = this;
  if (memberships === undefined || meshes === undefined) return;
  await Promise.all(memberships.map((membership) => membership.close()));
  await Promise.all(meshes.map((mesh) => mesh.close()));
});
