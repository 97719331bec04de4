/**
 * Validates and applies changes of the route table. Invariant: only a valid table with a higher version, based on
 * the current one, comes into force; a change that was accepted before is accepted again without effect.
 */
import type {
  Catalog,
  CatalogCommand,
  CatalogOutcome,
  ClientAccount,
  Route,
  RoutePatch,
  RouteTable,
} from './types.js';

/** Maximum number of accepted changes that are remembered; more than are made in a long day. */
const MAX_REMEMBERED_CHANGES = 2048;

type RouteCommand = Extract<CatalogCommand, { kind: 'replaceRoutes' | 'patchRoutes' }>;

/** The state after a command, with the command's outcome. */
export interface CatalogTransition {
  readonly state: Catalog;
  readonly outcome: CatalogOutcome;
}

function findRouteProblem(route: Route, services: ReadonlySet<string>): string | undefined {
  const named = `route "${route.name}"`;
  const unknown = route.parts.find(({ service }) => !services.has(service));
  const total = route.parts.reduce((sum, { weight }) => sum + weight, 0);
  if (route.parts.length === 0) return `${named} names no service`;
  if (unknown !== undefined) return `${named} names the unknown service "${unknown.service}"`;
  if (route.parts.some(({ weight }) => !(weight >= 0))) return `${named} has a weight below 0`;
  if (!(total > 0)) return `${named} has no weight above 0`;
  if (!(route.timeout > 0)) return `${named} has a timeout of 0`;
  if (!(route.maxAttempts >= 1)) return `${named} allows no attempt`;
  if (!route.prefix.startsWith('/') || !route.prefix.endsWith('/')) {
    return `${named} has a prefix that does not begin and end with a slash`;
  }
  return undefined;
}

/** Maximum characters of an account's name, which travels in a header of each request and in usage reports. */
const MAX_ACCOUNT_NAME_LENGTH = 256;
/** Printable characters without spaces at the ends, as header values are read. */
const ACCOUNT_NAME = /^(?! )[\x20-\x7e]+(?<! )$/;
/** Visible characters, as a bearer credential is one word. */
const API_KEY = /^[\x21-\x7e]+$/;

/** Returns why an account is invalid. The reason goes to logs and answers, so it holds no key. */
function findAccountProblem({ name, keys }: ClientAccount): string | undefined {
  if (name === '') return 'an account has an empty name; name it';
  // Names are keys of plain objects in reports; those of the object prototype would be found in an empty one.
  const isUsable = name.length <= MAX_ACCOUNT_NAME_LENGTH && !(name in Object.prototype);
  if (!isUsable || !ACCOUNT_NAME.test(name))
    return `account ${JSON.stringify(name.slice(0, MAX_ACCOUNT_NAME_LENGTH))} can't be named in a header; use up to ${MAX_ACCOUNT_NAME_LENGTH} printable ASCII characters`;
  if (!keys.every((key) => API_KEY.test(key)))
    return `account "${name}" has a key that no caller can send; use visible ASCII characters`;
  return undefined;
}

/** Returns the accounts that share a key; the key itself isn't told. */
function findSharedKey(accounts: readonly ClientAccount[]): string | undefined {
  const owners = new Map<string, string>();
  return accounts
    .flatMap(({ name, keys }) => keys.map((key) => [key, name] as const))
    .map(([key, name]) => {
      const owner = owners.get(key) ?? name;
      owners.set(key, owner);
      return owner === name ? undefined : `accounts "${owner}" and "${name}" share a key`;
    })
    .find((problem) => problem !== undefined);
}

function findAccountsProblem(accounts: readonly ClientAccount[]): string | undefined {
  const name = findDuplicate(accounts.map((account) => account.name));
  const problem = accounts.map(findAccountProblem).find((found) => found !== undefined);
  if (problem !== undefined) return problem;
  if (name !== undefined) return `two accounts are named "${name}"`;
  return findSharedKey(accounts);
}

/** A path of visible characters: it is sent in the request line of health checks. */
const HEALTH_PATH = /^\/[\x21-\x7e]*$/;

function findDuplicate(values: readonly string[]): string | undefined {
  const seen = new Set<string>();
  return values.find((value) => {
    const isDuplicate = seen.has(value);
    seen.add(value);
    return isDuplicate;
  });
}

/**
 * Returns why a table is invalid, or undefined if it is valid.
 *
 * @example
 * findTableProblem(table) // 'route "r1" has a timeout of 0'
 */
export function findTableProblem(table: RouteTable): string | undefined {
  const services = new Set(table.services.map(({ name }) => name));
  const location = findDuplicate(table.routes.map(({ host, prefix }) => `${host}${prefix}`));
  const name = findDuplicate(table.routes.map((route) => route.name));
  const service = findDuplicate(table.services.map((item) => item.name));
  if (location !== undefined) return `two routes share the place ${location}`;
  if (name !== undefined) return `two routes are named "${name}"`;
  if (service !== undefined) return `two services are named "${service}"`;
  const probed = table.services.find(({ healthPath }) => !HEALTH_PATH.test(healthPath));
  if (probed !== undefined) return `service "${probed.name}" has a health path that is no path`;
  return (
    table.routes
      .map((route) => findRouteProblem(route, services))
      .find((problem) => problem !== undefined) ?? findAccountsProblem(table.accounts ?? [])
  );
}

function mergeNamed<T extends { readonly name: string }>(
  items: readonly T[],
  upsert: readonly T[],
  remove: readonly string[],
): readonly T[] {
  const replaced = new Map(upsert.map((item) => [item.name, item]));
  const kept = items
    .filter(({ name }) => !remove.includes(name))
    .map((item) => replaced.get(item.name) ?? item);
  const names = new Set(kept.map(({ name }) => name));
  return [...kept, ...[...replaced.values()].filter(({ name }) => !names.has(name))];
}

/** Returns the accounts after a patch. A table without a list of accounts gets one by the first account. */
function mergeAccounts(
  { accounts }: RouteTable,
  { upsert, remove }: RoutePatch,
): RouteTable['accounts'] {
  const merged = mergeNamed(accounts ?? [], upsert.accounts ?? [], remove.accounts ?? []);
  return accounts === undefined && merged.length === 0 ? undefined : merged;
}

/** Returns a table with the patch applied: its items are added or replaced, and the listed names removed. */
export function applyPatch(table: RouteTable, patch: RoutePatch): RouteTable {
  const { upsert, remove } = patch;
  const accounts = mergeAccounts(table, patch);
  return {
    ...table,
    ...(accounts === undefined ? {} : { accounts }),
    version: patch.version,
    routes: mergeNamed(table.routes, upsert.routes, remove.routes),
    services: mergeNamed(table.services, upsert.services, remove.services),
    limits: upsert.limits ?? table.limits,
  };
}

function buildTable(state: Catalog, command: RouteCommand): RouteTable | undefined {
  switch (command.kind) {
    case 'replaceRoutes':
      return command.table;
    case 'patchRoutes':
      return state.table === undefined ? undefined : applyPatch(state.table, command.patch);
  }
}

/** Applies a change of the route table, unless it is a duplicate, based on an old version, or invalid. */
export function applyRoutes(state: Catalog, command: RouteCommand): CatalogTransition {
  const current = state.table?.version ?? 0;
  const reject = (reason: string): CatalogTransition => ({
    state,
    outcome: { kind: 'invalid', reason },
  });
  if (state.accepted.some(([, digest]) => digest === command.digest)) {
    return { state, outcome: { kind: 'done' } };
  }
  if (command.base !== current) return { state, outcome: { kind: 'stale', current } };
  const table = buildTable(state, command);
  if (table === undefined) return reject('there is no configuration to change yet');
  if (!(table.version > current)) {
    return reject(`version ${table.version} is not above the current version ${current}`);
  }
  const problem = findTableProblem(table);
  if (problem !== undefined) return reject(problem);
  const accepted = [...state.accepted, [table.version, command.digest] as const];
  return {
    state: { ...state, table, accepted: accepted.slice(-MAX_REMEMBERED_CHANGES) },
    outcome: { kind: 'done' },
  };
}
