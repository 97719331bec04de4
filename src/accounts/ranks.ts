/**
 * Effective priorities of requests. Invariant: the account's priority, if it has one, applies instead of the route's.
 */
import type { ClientAccount, Route, RouteTable } from '../catalog/index.js';
import type { Access } from './access.js';

/**
 * Returns the priority of a request; 0 is the most urgent.
 *
 * @example
 * getRank({ kind: 'account', account: { ...account, rank: 0 } }, { rank: 2 }) // 0
 */
export function getRank(access: Access, { rank }: Pick<Route, 'rank'>): number {
  return access.kind === 'account' ? (access.account.rank ?? rank) : rank;
}

/** Returns the most urgent priority of the accounts that have one; Infinity if none has. */
function findTopAccountRank(accounts: readonly ClientAccount[]): number {
  return accounts.reduce((top, { rank = Infinity }) => Math.min(top, rank), Infinity);
}

/**
 * Returns, for each service, the most urgent priority that its requests can have.
 *
 * @example
 * computeTopRanks(table).get('records') // 1
 */
export function computeTopRanks(table: RouteTable | undefined): ReadonlyMap<string, number> {
  const ranks = new Map<string, number>();
  const accounts = table?.accounts ?? [];
  const accountRank = findTopAccountRank(accounts);
  const isOverriding =
    accounts.length > 0 && accounts.every((account) => account.rank !== undefined);
  table?.routes.forEach((route) => {
    const keepsRank = !isOverriding || route.isPublic === true;
    const rank = Math.min(accountRank, keepsRank ? route.rank : Infinity);
    route.parts.forEach(({ service }) => {
      ranks.set(service, Math.min(rank, ranks.get(service) ?? rank));
    });
  });
  return ranks;
}
