import { Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import {
  AccountIndexCache,
  buildAccountIndex,
  computeTopRanks,
  decideAccess,
  getRank,
  parseCredential,
  replaceAccountFields,
  type Access,
} from '../../src/accounts/index.js';
import type { ClientAccount, RouteTable } from '../../src/catalog/index.js';
import type { HeaderList } from '../../src/http1/index.js';
import { headerDialect } from '../../platform/headers.js';
import { createRoutedCatalog } from '../gateway/following.js';

interface AccessWorld {
  accountTable: RouteTable;
  preparedFields: HeaderList;
}

const FRESH = { isFresh: true, age: 0 };

/** Builds the accounts of a text such as `sese880: k-1 k-2, locu91: k-3`. */
export function parseAccounts(text: string): readonly ClientAccount[] | undefined {
  if (text === 'none') return undefined;
  if (text === 'empty') return [];
  return text.split(',').map((item) => {
    const [name = '', keys = ''] = item.split(':').map((part) => part.trim());
    const list = keys.split(' ').filter((key) => key !== '');
    return { name, keys: list, rank: undefined, source: { name, api_keys: list } };
  });
}

function buildTable(accounts: readonly ClientAccount[] | undefined): RouteTable {
  const { table } = createRoutedCatalog([]);
  assert.ok(table);
  return accounts === undefined ? table : { ...table, accounts };
}

function parseFields(text: string): HeaderList {
  return text.split(';').map((field) => {
    const [name = '', ...value] = field.split(':');
    return [name.trim(), value.join(':').trim()] as const;
  });
}

function describeAccess(access: Access): string {
  switch (access.kind) {
    case 'account':
      return `account ${access.account.name}`;
    case 'denied':
      return `denied ${access.cause}`;
    case 'open':
    case 'anonymous':
    case 'unsure':
      return access.kind;
  }
}

Then("an account's credential {string} is {string}", function (fields: string, expected: string) {
  const credential = parseCredential(parseFields(fields), 'authorization');
  const shown = credential.kind === 'key' ? `key ${credential.key}` : credential.kind;
  assert.equal(shown, expected);
});

Given('the accounts {string}', function (this: AccessWorld, text: string) {
  this.accountTable = buildTable(parseAccounts(text));
});

Then(
  /^with the credential "(.*)" a (protected|public) route gives "(.*)"$/,
  function (this: AccessWorld, value: string, route: string, expected: string) {
    const fields: HeaderList = value === '' ? [] : [['Authorization', value]];
    const credential = parseCredential(fields, 'authorization');
    const index = buildAccountIndex(this.accountTable);
    const access = decideAccess(index, { isPublic: route === 'public' }, credential, FRESH);
    assert.equal(describeAccess(access), expected);
  },
);

Then(
  /^by a table that is (\d+) ms old and fresh: (yes|no), the key "(.*)" gives "(.*)" on a protected route and "(.*)" on a public one$/,
  function (
    this: AccessWorld,
    age: string,
    fresh: string,
    key: string,
    onProtected: string,
    onPublic: string,
  ) {
    const index = buildAccountIndex(this.accountTable);
    const certainty = { isFresh: fresh === 'yes', age: Number(age) };
    const accesses = [false, true].map((isPublic) =>
      decideAccess(index, { isPublic }, { kind: 'key', key }, certainty),
    );
    assert.deepEqual(accesses.map(describeAccess), [onProtected, onPublic]);
  },
);

When(
  "a caller's fields {string} are prepared with the access {string}",
  function (this: AccessWorld, fields: string, wanted: string) {
    const [kind = '', name] = wanted.split(' ');
    const account = this.accountTable.accounts?.find((found) => found.name === name);
    const access = (account === undefined ? { kind } : { kind, account }) as Access;
    this.preparedFields = replaceAccountFields(parseFields(fields), access, headerDialect);
  },
);

Then("the account's upstream gets {string}", function (this: AccessWorld, expected: string) {
  const shown = this.preparedFields.map(([name, value]) => `${name}: ${value}`).join('; ');
  assert.equal(shown, expected);
});

Then(
  /^an account's priority (none|\d+) makes a route's priority (\d+) a request's priority (\d+)$/,
  function (this: AccessWorld, own: string, route: string, effective: string) {
    const [account] = this.accountTable.accounts ?? [];
    assert.ok(account);
    const rank = own === 'none' ? undefined : Number(own);
    const access: Access = { kind: 'account', account: { ...account, rank } };
    assert.equal(getRank(access, { rank: Number(route) }), Number(effective));
    assert.equal(getRank({ kind: 'anonymous' }, { rank: Number(route) }), Number(route));
  },
);

Then(
  "with accounts' priorities {string}, a protected route of {int} and a public one of {int}, the most urgent is {int} for the protected route's service and {int} for the public one's",
  function (text: string, rank: number, publicRank: number, top: number, publicTop: number) {
    const accounts =
      text === 'none' || text === 'empty'
        ? parseAccounts(text)
        : text.split(' ').map((priority, index) => ({
            ...{ name: `a${index}`, keys: [`k-${index}`], source: {} },
            rank: priority === '-' ? undefined : Number(priority),
          }));
    const table = buildTable(accounts);
    const [route] = table.routes;
    assert.ok(route);
    const ranks = computeTopRanks({
      ...table,
      routes: [
        { ...route, rank },
        { ...route, rank: publicRank, isPublic: true, parts: [{ service: 'open', weight: 1 }] },
      ],
    });
    assert.deepEqual(Object.fromEntries(ranks), { records: top, open: publicTop });
  },
);

Then('the index of accounts is built again for another table only', () => {
  const cache = new AccountIndexCache();
  const [one, two] = ['k-1', 'k-2'].map((key) => buildTable(parseAccounts(`sese880: ${key}`)));
  const first = cache.get(one);
  assert.equal(cache.get(one), first);
  assert.ok(first?.has('k-1'));
  const second = cache.get(two);
  assert.notEqual(second, first);
  assert.deepEqual([second?.has('k-1'), second?.has('k-2')], [false, true]);
  assert.equal(cache.get(undefined), undefined);
});
