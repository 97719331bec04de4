import { Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import {
  applyCommand,
  decodeCatalog,
  emptyCatalog,
  encodeCatalog,
  type Catalog,
  type CatalogOutcome,
} from '../../src/catalog/index.js';
import { decodeCommands, decodeState, encodeCommands, encodeState } from '../../src/feed/codec.js';
import { formatProblem } from '../../platform/decode.js';
import { decodePatch, decodeTable, encodeTable } from '../../platform/routes.js';
import { safeRoute, unsafeRoute } from '../platform/services.js';
import { parseAccounts } from './access.steps.js';

type Document = Readonly<Record<string, unknown>>;

interface ConfigurationWorld {
  accountDocument: Document;
  accountCatalog: Catalog;
  accountOutcome: CatalogOutcome;
}

const base: Document = {
  version: 3,
  services: ['records', 'orders'].map((name) => ({
    ...{ name, health_path: '/health', max_conns: 200, protocol: 'h1', tls: false },
    ...{ cold_start: '1s', cold_per_s: 20 },
  })),
  limits: {
    ...{ max_header_bytes: 16384, max_body_bytes: 1048576 },
    ...{ header_timeout: '3000ms', idle_timeout: '15000ms' },
  },
  hosts: [{ host: 'site.example', paths: [safeRoute, unsafeRoute] }],
};

function buildTenants(text: string): readonly unknown[] | undefined {
  return parseAccounts(text.replace('\\n', '\n'))?.map(({ source }) => source);
}

Given(
  "an accounts' configuration with the tenants {string} and a public route",
  function (this: ConfigurationWorld, text: string) {
    const tenants = buildTenants(text);
    const paths = [safeRoute, { ...unsafeRoute, public: true }];
    const document = { ...base, hosts: [{ host: 'site.example', paths }] };
    this.accountDocument = tenants === undefined ? document : { ...document, tenants };
  },
);

Given("an accounts' configuration without tenants", function (this: ConfigurationWorld) {
  this.accountDocument = base;
});

When("the accounts' configuration is put", function (this: ConfigurationWorld) {
  const table = decodeTable(this.accountDocument).unwrap();
  const command = { kind: 'replaceRoutes', base: 0, digest: 'first', table } as const;
  const { state, outcome } = applyCommand(emptyCatalog, command);
  this.accountCatalog = state;
  this.accountOutcome = outcome;
});

function readTable({ table }: Catalog): Document {
  assert.ok(table);
  return encodeTable(table);
}

Then(
  "the accounts' configuration reads back as it was put, also after a snapshot",
  function (this: ConfigurationWorld) {
    assert.deepEqual(this.accountOutcome, { kind: 'done' });
    assert.deepEqual(readTable(this.accountCatalog), this.accountDocument);
    const restored = decodeCatalog(encodeCatalog(this.accountCatalog));
    assert.deepEqual(readTable(restored), this.accountDocument);
  },
);

Then(
  "gateways are sent the accounts and the public route without the operators' own text",
  function (this: ConfigurationWorld) {
    const { table } = this.accountCatalog;
    assert.ok(table);
    const command = { kind: 'replaceRoutes', base: 0, digest: 'first', table } as const;
    const [[, sent] = []] = decodeCommands(encodeCommands([[1, command]]));
    const tables = [
      decodeState(encodeState(this.accountCatalog)).table,
      sent?.kind === 'replaceRoutes' ? sent.table : undefined,
    ];
    tables.forEach((received) => {
      assert.deepEqual(
        received?.accounts?.map(({ name, keys, rank, source }) => ({ name, keys, rank, source })),
        [
          { name: 'sese880', keys: ['k-1', 'k-2'], rank: undefined, source: undefined },
          { name: 'locu91', keys: ['k-3'], rank: undefined, source: undefined },
        ],
      );
      assert.deepEqual(
        received.routes.map(({ isPublic = false }) => isPublic),
        [false, true],
      );
    });
    const patch = decodePatch({ version: 4, upsert: { tenants: this.accountDocument.tenants } });
    const change = { kind: 'patchRoutes', base: 3, digest: 'p', patch: patch.unwrap() } as const;
    const [[, received] = []] = decodeCommands(encodeCommands([[2, change]]));
    assert.ok(received?.kind === 'patchRoutes');
    assert.deepEqual(
      received.patch.upsert.accounts?.map(({ keys, source }) => [...keys, source]),
      [
        ['k-1', 'k-2', undefined],
        ['k-3', undefined],
      ],
    );
  },
);

Then(
  'neither the stored form of the configuration nor that sent to gateways mentions accounts',
  function (this: ConfigurationWorld) {
    const { table } = this.accountCatalog;
    assert.ok(table && !('accounts' in table));
    assert.ok(table.routes.every((route) => !('isPublic' in route)));
    const command = { kind: 'replaceRoutes', base: 0, digest: 'first', table } as const;
    const [[, sent] = []] = decodeCommands(encodeCommands([[1, command]]));
    assert.ok(sent?.kind === 'replaceRoutes' && !('accounts' in sent.table));
    const stored = Buffer.from(encodeCatalog(this.accountCatalog)).toString('latin1');
    assert.doesNotMatch(stored, /accounts|isPublic/);
  },
);

Given(
  "an accounts' snapshot of an earlier build with an unknown item {string}",
  function (this: ConfigurationWorld, item: string) {
    const table = decodeTable(base).unwrap();
    const extra = { [item]: [{ name: 'sese880', api_keys: ['k-1'] }] };
    this.accountDocument = { ...base, ...extra };
    this.accountCatalog = { ...emptyCatalog, table: { ...table, extra } };
  },
);

Then(
  "the accounts' snapshot decodes to a table without accounts that reads back as it was put",
  function (this: ConfigurationWorld) {
    const restored = decodeCatalog(encodeCatalog(this.accountCatalog));
    assert.equal(restored.table?.accounts, undefined);
    assert.deepEqual(readTable(restored), this.accountDocument);
  },
);

When(
  "the accounts' patch upserts {string} and removes {string}",
  function (this: ConfigurationWorld, added: string, removed: string) {
    const limits = base.limits;
    const upsert = added === '' ? { limits } : { limits, tenants: buildTenants(added) };
    const remove = removed === '' ? {} : { tenants: [removed] };
    const patch = decodePatch({ version: 7, upsert, remove }).unwrap();
    const command = { kind: 'patchRoutes', base: 3, digest: 'second', patch } as const;
    const { state, outcome } = applyCommand(this.accountCatalog, command);
    this.accountCatalog = state;
    this.accountOutcome = outcome;
  },
);

Then('the tenants read {string}', function (this: ConfigurationWorld, expected: string) {
  assert.deepEqual(this.accountOutcome, { kind: 'done' });
  const document = readTable(this.accountCatalog);
  assert.deepEqual(document.tenants, buildTenants(expected));
  assert.equal('tenants' in document, expected !== 'none');
});

Then(
  /^the accounts' configuration is refused as invalid, and the reason names "(.*)" and no key$/,
  function (this: ConfigurationWorld, named: string) {
    assert.ok(this.accountOutcome.kind === 'invalid');
    const { reason } = this.accountOutcome;
    assert.ok(reason.includes(named), reason);
    assert.doesNotMatch(reason, /secret|\n/);
  },
);

Then(
  /^the tenants (.*) can't be read at "(.*)", and the problem shows no "(.*)"$/,
  (tenants: string, path: string, hidden: string) => {
    const value: unknown = JSON.parse(tenants);
    const problems = [
      decodeTable({ ...base, tenants: value }),
      decodePatch({ version: 7, upsert: { tenants: value } }),
    ].map((decoded) => decoded.unwrapErr());
    assert.deepEqual(
      problems.map((problem) => problem.path),
      [path, `upsert.${path}`],
    );
    problems.forEach((problem) => {
      assert.ok(!formatProblem(problem).includes(hidden), formatProblem(problem));
    });
  },
);
