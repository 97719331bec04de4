import { Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { Packr } from 'msgpackr';
import {
  applyCommand,
  decodeCatalog,
  emptyCatalog,
  encodeCatalog,
  getVersionShare,
  type Catalog,
  type CatalogCommand,
  type CatalogOutcome,
  type Instance,
  type Route,
  type RouteTable,
} from '../../src/catalog/index.js';

interface CatalogWorld {
  catalog: Catalog;
  outcome: CatalogOutcome;
}

const service = {
  name: 'records',
  healthPath: '/health',
  maxConnections: 100,
  coldTime: 3000,
  coldRate: 20,
  source: {},
};
const route: Route = {
  name: 'r1',
  host: 'records.example',
  prefix: '/seams/',
  kind: 'safe',
  timeout: 500,
  targetLatency: 200,
  maxAttempts: 2,
  rank: 1,
  parts: [{ service: 'records', weight: 1 }],
  source: {},
};
const limits = { headBytes: 1, bodyBytes: 1, headTimeout: 1, idleTimeout: 1, source: {} };

function buildTable(version: number, routes: readonly Route[]): RouteTable {
  return { version, routes, services: [service], limits, extra: {} };
}

const routesByChange: Readonly<Record<string, readonly Route[]>> = {
  sound: [route],
  'unknown service': [{ ...route, parts: [{ service: 'other', weight: 1 }] }],
  'same place': [route, { ...route, name: 'r2' }],
  'no timeout': [{ ...route, timeout: 0 }],
  'no attempts': [{ ...route, maxAttempts: 0 }],
  'no weight': [{ ...route, parts: [{ service: 'records', weight: 0 }] }],
};

function buildChange(change: string, version: number, base: number): CatalogCommand {
  const digest = `${change} ${version} ${base}`;
  if (!change.endsWith('patch')) {
    const table = buildTable(version, routesByChange[change] ?? []);
    return { kind: 'replaceRoutes', base, digest, table };
  }
  const prefix = change === 'patch' ? '/bundles/' : route.prefix;
  const upsert = { routes: [{ ...route, name: 'r3', prefix }], services: [], limits: undefined };
  const patch = { version, upsert, remove: { routes: [], services: [] } };
  return { kind: 'patchRoutes', base, digest, patch };
}

function applyTo(world: CatalogWorld, command: CatalogCommand): void {
  const { state, outcome } = applyCommand(world.catalog, command);
  world.catalog = state;
  world.outcome = outcome;
}

function toCommand(event: string): CatalogCommand {
  const [subject = '', state = '', ...rest] = event.trim().split(' ');
  const [id = '', born] = subject.split('@');
  const bornAt = Number(born);
  if (state === 'left' || state === 'silent') return { kind: 'end', id, bornAt, cause: state };
  const host = rest.length > 0 ? rest.at(-1) : id;
  const instance: Instance = {
    id,
    service: 'records',
    address: `${host}:1`,
    zone: 'cyberjaya',
    version: 'v1',
    slots: 6,
    bornAt,
    draining: state === 'draining',
  };
  return { kind: 'announce', instance, coldFor: 0 };
}

Given('an empty catalog', function (this: CatalogWorld) {
  this.catalog = emptyCatalog;
});

Given('a catalog with route version {int}', function (this: CatalogWorld, version: number) {
  this.catalog = emptyCatalog;
  const table = buildTable(version, [route]);
  applyTo(this, { kind: 'replaceRoutes', base: 0, digest: 'first', table });
});

When(
  'the change {string} with version {int} builds on version {int}',
  function (this: CatalogWorld, change: string, version: number, base: number) {
    applyTo(this, buildChange(change, version, base));
  },
);

When('the upstream events {string} are applied', function (this: CatalogWorld, events: string) {
  events.split(',').forEach((event) => {
    applyTo(this, toCommand(event));
  });
});

When(
  'a move to {string} is ordered at {int} and again at {int}',
  function (this: CatalogWorld, version: string, first: number, second: number) {
    [first, second].forEach((now) => {
      applyTo(this, { kind: 'startMove', service: 'records', version, duration: 12_000, now });
    });
  },
);

When(
  'the move steps to share {float} and is then rolled back',
  function (this: CatalogWorld, share: number) {
    const step = { kind: 'stepMove', service: 'records', version: 'v2', orderedAt: 1000 } as const;
    applyTo(this, { ...step, share, state: 'running' });
    assert.equal(getVersionShare(this.catalog, 'records').share, share);
    applyTo(this, { ...step, share: 0, state: 'rolledBack' });
  },
);

Then(
  'the catalog answers {string} and holds version {int}',
  function (this: CatalogWorld, outcome: string, version: number) {
    assert.equal(this.outcome.kind, outcome);
    assert.equal(this.catalog.table?.version, version);
  },
);

Then('the catalog lists {string}', function (this: CatalogWorld, wanted: string) {
  const listed = [...this.catalog.instances.values()].map(
    ({ id, bornAt, draining }) => `${id}@${bornAt}${draining ? ' draining' : ''}`,
  );
  assert.equal(listed.join(', '), wanted);
});

Then(
  'the catalog sends {float} of the traffic to {string} and the rest to {string}',
  function (this: CatalogWorld, share: number, next: string, stable: string) {
    const found = getVersionShare(this.catalog, 'records');
    assert.deepEqual(found, { stable, next: next === 'none' ? undefined : next, share });
  },
);

Then('the catalog is the same after a snapshot', function (this: CatalogWorld) {
  assert.deepEqual(decodeCatalog(encodeCatalog(this.catalog)), this.catalog);
});

Then(
  'a snapshot holds the upstreams as an object, and is read from one',
  function (this: CatalogWorld) {
    const packr = new Packr({ useRecords: false });
    const instances = Object.fromEntries(this.catalog.instances);
    const encoded = packr.unpack(encodeCatalog(this.catalog)) as Record<string, unknown>;
    assert.deepEqual(encoded.instances, instances);
    assert.deepEqual(decodeCatalog(packr.pack({ ...this.catalog, instances })), this.catalog);
  },
);
