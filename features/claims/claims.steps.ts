import { After, Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import assert from 'node:assert/strict';
import { createClaims, type ClaimResult, type ClaimService } from '../../src/claims/index.js';
import { chooseClaimants } from '../../src/claims/claimants.js';
import { emptyTable, getClaims, listClaims, replaceClaims } from '../../src/claims/table.js';
import type { Roster, RosterMember } from '../../src/model/index.js';
import { createMesh, type Mesh } from '../../src/wire/index.js';
import { findFreePorts } from '../support/ports.js';
import { ClaimNetwork, shortTimes, toAddress } from './network.js';

interface ClaimsWorld {
  network: ClaimNetwork;
  count: number;
  meshes: Mesh[];
  services: ClaimService[];
  results: ClaimResult[];
}

const SEED = 20261204;
/** Time within which every claim of these scenarios ends, in milliseconds; longer than `maxWait`. */
const CLAIM_DURATION = 900;

function listIndexes(count: number): number[] {
  return Array.from({ length: count }, (_, index) => index);
}

function createNetwork(seed: number, count: number): ClaimNetwork {
  const network = new ClaimNetwork(seed);
  listIndexes(count).forEach((index) => {
    network.start(index);
  });
  network.commitRoster(listIndexes(count));
  network.run(500);
  return network;
}

function startWithoutState(network: ClaimNetwork, index: number): void {
  const incarnation = network.process(index).incarnation + 1;
  network.start(index, incarnation);
}

Given('{int} entries that are ready to serve claims', function (this: ClaimsWorld, count: number) {
  this.count = count;
  this.network = createNetwork(SEED, count);
});

When(
  'key {string} is claimed at entry {int}',
  function (this: ClaimsWorld, key: string, index: number) {
    const before = this.network.outcomes.length;
    this.network.claim(index, key);
    const started = this.network.now;
    while (this.network.outcomes.length === before && this.network.now < started + CLAIM_DURATION)
      this.network.run(2);
  },
);

When(
  'key {string} is claimed at entry {int} for another request',
  function (this: ClaimsWorld, key: string, index: number) {
    this.network.claim(index, key, 'another digest');
    this.network.run(CLAIM_DURATION);
  },
);

When(
  'key {string} is claimed at entry {int} which freezes for {int} ms',
  function (this: ClaimsWorld, key: string, index: number, freeze: number) {
    this.network.claim(index, key, 'digest', 5000);
    this.network.process(index).frozenUntil = this.network.now + freeze;
    this.network.run(2000);
  },
);

Then('every grant was still valid when it was returned', function (this: ClaimsWorld) {
  const grants = this.network.outcomes.flatMap(({ result, resolvedAt }) =>
    result.kind === 'granted' ? [{ validUntil: result.validUntil, resolvedAt }] : [],
  );
  assert.ok(grants.every(({ validUntil, resolvedAt }) => resolvedAt < validUntil));
  assert.equal(this.network.outcomes.length, 1);
});

When('{int} ms pass in the claim network', function (this: ClaimsWorld, milliseconds: number) {
  this.network.run(milliseconds);
});

When(
  /^the granted claim of "(.+)" is settled as (answered|not run)$/,
  function (this: ClaimsWorld, key: string, how: string) {
    const granted = this.network.outcomes.find(
      (outcome) => outcome.key === key && outcome.result.kind === 'granted',
    );
    assert.ok(granted?.result.kind === 'granted');
    const answer = { status: 201, headers: [], body: new Uint8Array([1]) };
    const settlement =
      how === 'answered' ? ({ kind: 'answered', ...answer } as const) : { kind: 'notRun' as const };
    this.network.settle(granted.holder, granted.result.token, settlement);
    this.network.run(50);
  },
);

Then('the claims ended {string}', function (this: ClaimsWorld, kinds: string) {
  assert.equal(this.network.outcomes.map(({ result }) => result.kind).join(' '), kinds);
});

Then(
  'of {int} keys claimed concurrently at {int} entries each is granted once',
  function (this: ClaimsWorld, keys: number, entries: number) {
    const names = listIndexes(keys).map((index) => `key-${index}`);
    names.forEach((key) => {
      listIndexes(entries).forEach((index) => {
        this.network.claim(index, key, 'digest', 2000);
      });
      this.network.run(5);
    });
    this.network.run(2000);
    const granted = names.map(
      (key) =>
        this.network.outcomes.filter((o) => o.key === key && o.result.kind === 'granted').length,
    );
    assert.deepEqual(
      granted,
      names.map(() => 1),
    );
  },
);

When('entry {int} loses its claims', function (this: ClaimsWorld, index: number) {
  startWithoutState(this.network, index);
});

When(
  'each entry but {int} restarts without state in turn, with a new roster each time',
  function (this: ClaimsWorld, kept: number) {
    listIndexes(this.count)
      .filter((index) => index !== kept)
      .forEach((index) => {
        startWithoutState(this.network, index);
        this.network.commitRoster(listIndexes(this.count));
        this.network.run(1500);
      });
  },
);

When('the roster drops the entries of zone {int}', function (this: ClaimsWorld, zone: number) {
  const remaining = this.network.view.members
    .map(({ id }) => Number(id.slice('entry-'.length)))
    .filter((index) => index % 3 !== zone);
  this.network.commitRoster(remaining);
  this.network.run(1500);
});

When(
  'the entries of zones {int} and {int} restart without state under a new roster',
  function (this: ClaimsWorld, one: number, two: number) {
    listIndexes(this.count)
      .filter((index) => index % 3 === one || index % 3 === two)
      .forEach((index) => {
        startWithoutState(this.network, index);
      });
    this.network.commitRoster(listIndexes(this.count));
    this.network.run(1500);
  },
);

When(
  'entries {int} and {int} restart without state under a new roster',
  function (this: ClaimsWorld, one: number, two: number) {
    [one, two].forEach((index) => {
      startWithoutState(this.network, index);
    });
    this.network.commitRoster(listIndexes(this.count));
    this.network.run(2500);
  },
);

When(
  '{int} keys are claimed at entry {int}',
  function (this: ClaimsWorld, keys: number, index: number) {
    listIndexes(keys).forEach((key) => {
      this.network.claim(index, `key-${key}`);
    });
    this.network.run(CLAIM_DURATION);
    assert.equal(countGranted(this.network), keys);
  },
);

When('the same roster is committed in a new epoch', function (this: ClaimsWorld) {
  this.network.commitRoster(listIndexes(this.count));
  this.network.run(2500);
});

function toIndex({ id }: { readonly id: string }): number {
  return Number(id.slice('entry-'.length));
}

When(
  'the roster keeps only entries that are not claimants of {string} and that do not receive it',
  function (this: ClaimsWorld, key: string) {
    const claimants = chooseClaimants(this.network.view, key).map(toIndex);
    const kept = listIndexes(this.count).filter((index) => !claimants.includes(index));
    kept.forEach((index) => {
      this.network.process(index).isControlUnreachable = true;
    });
    this.network.commitRoster(kept);
    this.network.run(300);
  },
);

When(
  'key {string} is claimed at an entry that the roster dropped',
  function (this: ClaimsWorld, key: string) {
    const kept = this.network.view.members.map(toIndex);
    const dropped = listIndexes(this.count).find((index) => !kept.includes(index)) ?? 0;
    this.network.claim(dropped, key);
    this.network.run(CLAIM_DURATION);
  },
);

function dropMessagesBetween(
  network: ClaimNetwork,
  some: readonly number[],
  others: readonly number[],
): void {
  some.forEach((a) => {
    others.forEach((b) => {
      network.blockedLinks.add(`${toAddress(a)}>${toAddress(b)}`);
      network.blockedLinks.add(`${toAddress(b)}>${toAddress(a)}`);
    });
  });
}

Given(
  'a second epoch in which a key was claimed and entry 0 reported but never became ready',
  function (this: ClaimsWorld) {
    const network = createNetwork(SEED, 3);
    this.network = network;
    network.process(2).isControlUnreachable = true;
    dropMessagesBetween(network, [2], [0, 1, 5]);
    network.blockedLinks.add(`${toAddress(1)}>${toAddress(0)} report`);
    network.start(5);
    network.commitRoster([0, 1, 5]);
    network.run(120);
    network.claim(5, 'hold-1');
    network.run(60);
    assert.deepEqual(
      [0, 1, 5].map((index) => network.process(index).state.ready),
      [false, true, true],
    );
  },
);

Given('entry 5 is partitioned', function (this: ClaimsWorld) {
  dropMessagesBetween(this.network, [5], [0, 2, 4]);
});

Given('entry 5 restarts without state', function (this: ClaimsWorld) {
  startWithoutState(this.network, 5);
});

When(
  'a third epoch gets reports only from entry 0 and from an entry that knows only the first epoch',
  function (this: ClaimsWorld) {
    const { network } = this;
    dropMessagesBetween(network, [1], [0, 2, 4, 5]);
    dropMessagesBetween(network, [2], [4]);
    network.start(4);
    network.commitRoster([0, 4, 5]);
    network.run(150);
    [0, 4, 5].forEach((index) => {
      network.blockedLinks.delete(`${toAddress(2)}>${toAddress(index)}`);
      network.blockedLinks.delete(`${toAddress(index)}>${toAddress(2)}`);
    });
    network.run(2500);
  },
);

function countGranted(network: ClaimNetwork): number {
  return network.outcomes.filter(({ result }) => result.kind === 'granted').length;
}

Then('none of the keys is granted again', function (this: ClaimsWorld) {
  const keys = [...new Set(this.network.outcomes.map(({ key }) => key))];
  const before = countGranted(this.network);
  keys.forEach((key) => {
    this.network.claim(3, key);
  });
  this.network.run(2000);
  assert.equal(countGranted(this.network), before);
});

Then(
  'some of {int} new keys are refused and most are granted',
  function (this: ClaimsWorld, keys: number) {
    const before = countGranted(this.network);
    listIndexes(keys).forEach((key) => {
      this.network.claim(4, `new-${key}`, 'digest', 2000);
    });
    this.network.run(2000);
    const granted = countGranted(this.network) - before;
    assert.ok(granted > keys / 2 && granted < keys, `${granted} of ${keys} were granted`);
  },
);

When(
  'the control group cannot reach any entry for {int} ms',
  function (this: ClaimsWorld, milliseconds: number) {
    this.network.processes.forEach((process) => {
      process.isControlUnreachable = true;
    });
    this.network.run(milliseconds);
  },
);

When(
  'the control group cannot reach entries {int} and {int}',
  function (this: ClaimsWorld, one: number, two: number) {
    [one, two].forEach((index) => {
      this.network.process(index).isControlUnreachable = true;
    });
  },
);

Then('no claim was granted', function (this: ClaimsWorld) {
  assert.equal(countGranted(this.network), 0);
});

Then('every entry is ready', function (this: ClaimsWorld) {
  [...this.network.processes.values()].forEach(({ state }) => {
    assert.ok(state.ready, `${state.self} in epoch ${state.view.epoch}`);
  });
});

/** Counts of one randomised run. */
interface RunCount {
  readonly sends: number;
  readonly epochs: number;
}

/** Checks that two sends of a key are at least the lifetime of a claim apart, less the validity of a grant. */
function createSendCheck(network: ClaimNetwork, seed: number): { readonly count: () => number } {
  const sent = new Map<string, number>();
  let sends = 0;
  network.onOutcome = ({ key, holder, result }) => {
    if (result.kind !== 'granted') return;
    const ending = network.pickIndex(4);
    if (ending === 0) {
      network.settle(holder, result.token, { kind: 'notRun' });
      return;
    }
    assert.ok(network.now < result.validUntil, 'a grant was returned after its validity');
    const before = sent.get(key) ?? -Infinity;
    const minInterval = shortTimes.lifetime - shortTimes.validity;
    assert.ok(
      network.now - before >= minInterval,
      `seed ${seed}: ${key} was sent twice within the lifetime of a claim`,
    );
    sent.set(key, network.now);
    sends += 1;
    if (ending === 1) network.settle(holder, result.token, { kind: 'unknown' });
  };
  return { count: () => sends };
}

function runSeed(seed: number, steps: number): RunCount {
  const size = 7;
  const network = createNetwork(seed, size);
  const check = createSendCheck(network, seed);
  network.duplicateShare = 0.1;
  network.lossShare = 0.02;
  network.maxDelay = 15;
  const keyCount = 40;
  const faults: readonly (() => void)[] = [
    () =>
      network.blockedLinks.add(
        `${toAddress(network.pickIndex(size))}>${toAddress(network.pickIndex(size))}`,
      ),
    () => {
      network.blockedLinks.clear();
    },
    () => {
      network.process(network.pickIndex(size)).frozenUntil = network.now + network.pickIndex(1500);
    },
    () => {
      const process = network.process(network.pickIndex(size));
      process.isControlUnreachable = !process.isControlUnreachable;
    },
    () => {
      startWithoutState(network, network.pickIndex(size));
      network.commitRoster(listIndexes(size));
    },
    () => {
      const zone = network.pickIndex(4);
      network.commitRoster(listIndexes(size).filter((index) => index % 3 !== zone));
    },
    () => {
      network.commitRoster(listIndexes(size));
    },
  ];
  listIndexes(steps).forEach(() => {
    if (network.nextRandom() < 0.3) faults[network.pickIndex(faults.length)]?.();
    listIndexes(1 + network.pickIndex(3)).forEach(() => {
      network.claim(network.pickIndex(size), `key-${network.pickIndex(keyCount)}`, 'digest', 1000);
    });
    network.run(network.pickIndex(300));
  });
  network.blockedLinks.clear();
  network.lossShare = 0;
  network.processes.forEach((process) => {
    process.isControlUnreachable = false;
  });
  network.commitRoster(listIndexes(size));
  network.run(shortTimes.lifetime + shortTimes.staleAfter + 3000);
  const before = network.outcomes.length;
  listIndexes(size).forEach((index) => {
    network.claim(index, `fresh-${index}`);
  });
  network.run(1000);
  const kinds = network.outcomes.slice(before).map(({ result }) => result.kind);
  assert.deepEqual(
    new Set(kinds),
    new Set(['granted']),
    `seed ${seed}: claims of new keys were not all granted after the faults`,
  );
  return { sends: check.count(), epochs: network.view.epoch };
}

Then(
  'seeded runs with message loss, partitions, freezes, restarts and new rosters send no key twice',
  { timeout: -1 },
  function () {
    const seeds = Number(process.env.SEEDS ?? 4);
    const steps = Number(process.env.STEPS ?? 120);
    const counts = listIndexes(seeds).map((index) => runSeed(SEED + index, steps));
    const sends = counts.reduce((sum, count) => sum + count.sends, 0);
    const epochs = counts.reduce((sum, count) => sum + count.epochs, 0);
    if (process.env.SEEDS !== undefined)
      console.log(`${seeds} seeds, ${steps} steps each: ${sends} sends, ${epochs} epochs`);
    assert.ok(sends > seeds * 10, `only ${sends} claims were granted`);
  },
);

Given('three claim services over loopback', async function (this: ClaimsWorld) {
  const ports = await findFreePorts(3);
  const members = ports.map((port, index): RosterMember => {
    const address = `127.0.0.1:${port}`;
    const addresses = { peerAddress: address, callerAddress: address };
    return {
      id: `entry-${index}`,
      zone: `z${index}`,
      ...addresses,
      incarnation: 1,
      phase: 'active',
    };
  });
  const roster: Roster = { epoch: 1, members };
  const source = { roster, isFresh: () => true, onChange: () => undefined };
  this.meshes = await Promise.all(
    members.map(({ peerAddress }) =>
      createMesh({ address: peerAddress, secret: 'the secret of the site' }),
    ),
  );
  this.services = this.meshes.map((mesh, index) => {
    const self = { id: `entry-${index}`, incarnation: 1, peerAddress: mesh.address };
    const now = (): number => performance.now();
    return createClaims({ mesh, self, source, now, random: () => 0.5 + index / 10 });
  });
});

When(
  'a key is claimed at the first, settled, and claimed at the second',
  async function (this: ClaimsWorld) {
    const [first, second] = this.services;
    assert.ok(first !== undefined && second !== undefined);
    const deadline = performance.now() + 2000;
    const granted = await first.claim('hold-1', 'digest', deadline);
    assert.ok(granted.kind === 'granted');
    const answer = { status: 201, headers: ['a', 'b'], body: new Uint8Array([1, 2]) };
    first.settle(granted.token, { kind: 'answered', ...answer });
    const again = await second.claim('hold-1', 'digest', deadline);
    const other = await second.claim('hold-1', 'other digest', deadline);
    this.results = [again, other];
  },
);

Then('the second claim replays the answer of the first', function (this: ClaimsWorld) {
  const [again, other] = this.results;
  assert.ok(again?.kind === 'settled');
  assert.deepEqual([again.status, again.headers, [...again.body]], [201, ['a', 'b'], [1, 2]]);
  assert.equal(other?.kind, 'mismatch');
});

After(async function (this: Partial<ClaimsWorld>) {
  this.services?.forEach((service) => {
    service.close();
  });
  await Promise.all((this.meshes ?? []).map((mesh) => mesh.close()));
});

Then('the claim table equals a plain map after any sequence of updates', function () {
  const update = fc.tuple(fc.integer({ min: 0, max: 300 }), fc.boolean());
  const check = (updates: readonly (readonly [number, boolean])[]): void => {
    const plain = new Map<string, string>();
    const table = updates.reduce((next, [at, present], index) => {
      const key = `key-${at}`;
      const token = `token-${index}`;
      const claim = { token, digest: '', status: 'claimed', recordedAt: 0, runFor: 0 } as const;
      if (present) plain.set(key, token);
      else plain.delete(key);
      return replaceClaims(next, key, present ? [claim] : []);
    }, emptyTable);
    assert.equal(table.size, plain.size);
    assert.equal(listClaims(table).length, plain.size);
    plain.forEach((token, key) => {
      assert.equal(getClaims(table, key)[0]?.token, token);
    });
  };
  fc.assert(fc.property(fc.array(update), check), { seed: SEED });
});
