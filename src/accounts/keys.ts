/**
 * Parses and looks up the keys of client accounts. Invariant: a key leads to an account only if the whole header field
 * is `Bearer KEY` and the table holds the key; nothing here prints a key.
 */
import type { ClientAccount, RouteTable } from '../catalog/index.js';
import type { HeaderList } from '../http1/index.js';

/** The accounts of a table by key; undefined if the table has no list of accounts, so that requests need no key. */
export type AccountIndex = ReadonlyMap<string, ClientAccount> | undefined;

/** A bearer credential of RFC 6750; the name of the scheme is case-insensitive. */
const BEARER = /^bearer +([\x21-\x7e]+)$/i;

/** The key that a request carries, or why it carries none that could be known. */
export type Credential =
  | { readonly kind: 'missing' }
  | { readonly kind: 'malformed' }
  | { readonly kind: 'key'; readonly key: string };

/**
 * Builds the index of a table's keys.
 *
 * @example
 * buildAccountIndex(table)?.get('k-1')?.name // 'sese880'
 */
export function buildAccountIndex(table: RouteTable | undefined): AccountIndex {
  return (
    table?.accounts &&
    new Map(table.accounts.flatMap((account) => account.keys.map((key) => [key, account] as const)))
  );
}

/** The index of the latest table, which is built once for each table, not for each request. */
export class AccountIndexCache {
  #table: RouteTable | undefined;
  #index: AccountIndex;

  get(table: RouteTable | undefined): AccountIndex {
    if (table !== this.#table) {
      this.#table = table;
      this.#index = buildAccountIndex(table);
    }
    return this.#index;
  }
}

/**
 * Returns the key in the fields with this name, which is in lower case. Several fields are malformed: an upstream or
 * another gateway might read another one of them.
 *
 * @example
 * parseCredential([['Authorization', 'Bearer k-1']], 'authorization') // { kind: 'key', key: 'k-1' }
 */
export function parseCredential(headers: HeaderList, fieldName: string): Credential {
  const values = headers.filter(([name]) => name.toLowerCase() === fieldName);
  const [field] = values;
  if (field === undefined) return { kind: 'missing' };
  const key = values.length === 1 ? BEARER.exec(field[1])?.[1] : undefined;
  return key === undefined ? { kind: 'malformed' } : { kind: 'key', key };
}
