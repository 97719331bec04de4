import { Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { isDeepStrictEqual } from 'node:util';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import {
  applyCommand,
  type Catalog,
  type CatalogCommand,
  type RouteTable,
} from '../../src/catalog/index.js';
import { pickWeighted } from '../../src/gateway/choose.js';
import { UpstreamRegistry } from '../../src/gateway/registry.js';
import type { UpstreamRecord } from '../../src/gateway/types.js';
import { createCatalog, createInstance } from './catalog.js';

interface RegistryWorld {
  catalogs: readonly Catalog[];
  /** The commands of which each led to the next catalog. */
  commands: readonly CatalogCommand[];
  /** Batches after which the two registries differed. */
  differences: readonly string[];
  countedReads: number;
  stepwise: UpstreamRegistry;
  direct: UpstreamRegistry;
  /** Upstreams whose record was replaced or kept against the rule. */
  wronglyKept: readonly string[];
  /** Steps whose unused addresses were not those that left the catalog. */
  wrongAddresses: readonly number[];
  weights: readonly number[];
  reads: number;
  counts: readonly number[];
}

const SEED = 20261204;
const ZONES = ['a', 'b', 'c'] as const;
const SERVICES = ['records', 'orders'] as const;

const table: RouteTable = {
  ...{ version: 1, routes: [], extra: {} },
  services: SERVICES.map((name) => ({
    ...{ name, healthPath: '/', maxConnections: 9, coldTime: 0, coldRate: 1, source: undefined },
  })),
  limits: { headBytes: 1, bodyBytes: 1, headTimeout: 1, idleTimeout: 1, source: undefined },
};

function createCommands(count: number): readonly CatalogCommand[] {
  const random = xoroshiro128plus(SEED);
  const draw = (limit: number): number => (random.next() >>> 0) % limit;
  return Array.from({ length: count }, (): CatalogCommand => {
    const id = `u${draw(60)}`;
    const bornAt = draw(3);
    const zone = ZONES[draw(ZONES.length)] ?? 'a';
    const service = SERVICES[draw(SERVICES.length)] ?? 'records';
    // Addresses are shared, so that an announcement may replace another upstream.
    const address = `10.0.0.${draw(50)}:80`;
    const instance = { ...createInstance(id, zone), service, address, bornAt };
    switch (draw(6)) {
      case 0:
        return { kind: 'end', id, bornAt, cause: draw(2) === 0 ? 'left' : 'silent' };
      case 1:
        return { kind: 'setZone', zone, out: draw(2) === 0 };
      case 2:
        return { kind: 'replaceRoutes', base: draw(9), digest: `d${draw(99)}`, table };
      default:
        return { kind: 'announce', instance: { ...instance, draining: draw(4) === 0 }, coldFor: 0 };
    }
  });
}

Given(
  '{int} random changes of a catalog of {int} upstreams in 3 zones',
  function (this: RegistryWorld, changes: number, upstreams: number) {
    const ids = Array.from({ length: upstreams }, (_, index) => `u${index}`);
    const first = { ...createCatalog(ids), table };
    this.commands = createCommands(changes);
    this.catalogs = this.commands.reduce<readonly Catalog[]>(
      (states, command) => [...states, applyCommand(states.at(-1) ?? first, command).state],
      [first],
    );
  },
);

function listAddresses({ instances }: Catalog): readonly string[] {
  return [...instances.values()].map(({ address }) => address);
}

function findUnused(previous: Catalog, next: Catalog): readonly string[] {
  const used = listAddresses(next);
  return [...new Set(listAddresses(previous))].filter((address) => !used.includes(address)).sort();
}

When(
  'one registry applies each of them and another one the last catalog',
  function (this: RegistryWorld) {
    const registry = new UpstreamRegistry();
    let before: ReadonlyMap<string, UpstreamRecord> = new Map();
    const wronglyKept: string[] = [];
    const wrongAddresses: number[] = [];
    this.catalogs.forEach((catalog, step) => {
      const previous = this.catalogs[step - 1];
      const unused = [...new Set(registry.update(catalog))].sort();
      if (previous !== undefined && unused.join() !== findUnused(previous, catalog).join()) {
        wrongAddresses.push(step);
      }
      registry.records.forEach((record) => {
        const { id, bornAt, address } = record.instance;
        const last = previous?.instances.get(id);
        const isSame = last?.bornAt === bornAt && last.address === address;
        if (isSame !== (before.get(id) === record)) wronglyKept.push(id);
      });
      before = new Map(registry.records.map((record) => [record.instance.id, record]));
    });
    this.stepwise = registry;
    this.direct = new UpstreamRegistry();
    const last = this.catalogs.at(-1);
    assert.ok(last);
    this.direct.update(last);
    Object.assign(this, { wronglyKept, wrongAddresses });
  },
);

function describe(registry: UpstreamRegistry): unknown {
  const listIds = (records: readonly UpstreamRecord[]): readonly string[] =>
    records.map(({ instance }) => instance.id).sort();
  return {
    records: registry.records
      .map(({ instance, service, key }) => ({
        instance,
        service: service?.name,
        isFoundByKey: registry.getByKey(key)?.instance === instance,
        isFoundById: registry.getRecord(instance.id)?.instance === instance,
      }))
      .sort((one, two) => (one.instance.id < two.instance.id ? -1 : 1)),
    usable: SERVICES.map((service) => listIds(registry.listUsable(service, undefined))),
    versions: SERVICES.map((service) => registry.getVersionShare(service)),
  };
}

Then(
  'both list the same upstreams, by id, key, service and zone in use',
  function (this: RegistryWorld) {
    assert.ok(this.stepwise.records.length > 10);
    assert.deepEqual(describe(this.stepwise), describe(this.direct));
  },
);

Then(
  'each record was kept as long as its upstream was the same start at the same address',
  function (this: RegistryWorld) {
    assert.deepEqual(this.wronglyKept, []);
  },
);

Then(
  'the addresses reported as unused are those that no upstream has any more',
  function (this: RegistryWorld) {
    assert.deepEqual(this.wrongAddresses, []);
  },
);

When(
  'one registry is told of them in batches of 1 to 4 and another one compares the catalogs',
  function (this: RegistryWorld) {
    const told = new UpstreamRegistry();
    const comparing = new UpstreamRegistry();
    const differences: string[] = [];
    const [first] = this.catalogs;
    assert.ok(first);
    [told, comparing].forEach((registry) => registry.update(first));
    let done = 0;
    while (done < this.commands.length) {
      const batch = this.commands.slice(done, done + 1 + (done % 4));
      done += batch.length;
      const catalog = this.catalogs[done];
      assert.ok(catalog);
      const unused = told.update(catalog, batch);
      assert.deepEqual([...new Set(unused)].sort(), [...new Set(comparing.update(catalog))].sort());
      if (!isDeepStrictEqual(describe(told), describe(comparing))) differences.push(`to ${done}`);
    }
    Object.assign(this, { differences, stepwise: told, direct: comparing });
  },
);

Then(
  'both list the same upstreams after each batch, and report the same addresses as unused',
  function (this: RegistryWorld) {
    assert.deepEqual(this.differences, []);
    assert.ok(this.stepwise.size > 10);
  },
);

Given(
  'a catalog of {int} upstreams that counts what is read of it',
  function (this: RegistryWorld, upstreams: number) {
    const ids = Array.from({ length: upstreams }, (_, index) => `u${index}`);
    this.catalogs = [{ ...createCatalog(ids), table }];
    this.countedReads = 0;
  },
);

When(
  '{int} of its upstreams drain one after the other',
  function (this: RegistryWorld, count: number) {
    const registry = new UpstreamRegistry();
    const [first] = this.catalogs;
    assert.ok(first);
    registry.update(first);
    const commands = Array.from({ length: count }, (_, index): CatalogCommand => {
      const instance = { ...createInstance(`u${index}`), draining: true };
      return { kind: 'announce', instance, coldFor: 0 };
    });
    commands.reduce((catalog, command) => {
      const next = applyCommand(catalog, command).state;
      const instances = new Proxy(next.instances, {
        get: (target, key): unknown => {
          // A list of the upstreams reads all of them.
          this.countedReads += key === 'get' ? 1 : target.size;
          const method: unknown = Reflect.get(target, key);
          return typeof method === 'function' ? method.bind(target) : method;
        },
      });
      registry.update({ ...next, instances }, [command]);
      return next;
    }, first);
    this.stepwise = registry;
  },
);

Then(
  'the registry reads at most 1 upstream for each, and lists {int} as usable',
  function (this: RegistryWorld, usable: number) {
    assert.equal(this.stepwise.listUsable('records', undefined).length, usable);
    assert.ok(this.countedReads <= 20, `${this.countedReads} upstreams were read`);
  },
);

Given('{int} items of equal weight', function (this: RegistryWorld, count: number) {
  this.reads = 0;
  const weights = Array.from({ length: count }, () => 1);
  this.weights = new Proxy(weights, {
    get: (target, key, receiver): unknown => {
      if (typeof key === 'string' && /^\d+$/.test(key)) this.reads += 1;
      return Reflect.get(target, key, receiver);
    },
  });
});

When('one of them is chosen', function (this: RegistryWorld) {
  const items = Array.from({ length: this.weights.length }, (_, index) => index);
  assert.equal(pickWeighted(items, this.weights, 0.9999), items.length - 1);
});

Then('at most {int} weights were read', function (this: RegistryWorld, bound: number) {
  assert.ok(this.reads <= bound, `${this.reads} weights were read`);
});

Given('items of weight {string}', function (this: RegistryWorld, weights: string) {
  this.weights = weights.split(' ').map(Number);
});

When(
  'one is chosen at each of {int} evenly spaced random numbers',
  function (this: RegistryWorld, count: number) {
    const items = this.weights.map((_, index) => index);
    const chosen = Array.from({ length: count }, (_, index) =>
      pickWeighted(items, this.weights, index / count),
    );
    this.counts = items.map((item) => chosen.filter((one) => one === item).length);
  },
);

Then(
  'they are chosen {int}, {int}, {int} and {int} times',
  function (this: RegistryWorld, one: number, two: number, three: number, four: number) {
    assert.deepEqual(this.counts, [one, two, three, four]);
  },
);
