/**
 * Fair share of a service's capacity among accounts and ranks while it is short. Invariant: what is kept depends on the
 * accounts and ranks that asked during the shortage, not on the number of requests or gateways, and is forgotten after
 * it.
 *
 * Each account has a finish tag, which grows by one with each request sent for it. Virtual time grows by one for each
 * request sent, divided by the number of accounts whose tag is ahead of it, as in generalized processor sharing. An
 * account that asks for more than its share is ahead, and its requests come after those of the others.
 */
import type { Duration, Instant } from '../model/index.js';
import {
  addItem,
  countBefore,
  countItems,
  findItem,
  hashName,
  removeItem,
  type Tree,
} from './tree.js';

/** Half-life in milliseconds of a counted request; long enough for a gateway that gets ten requests a second. */
const COUNT_HALF_LIFE: Duration = 4000;
/** Requests by which an account may be ahead of its share; what it took before that is not held against it. */
const MAX_LEAD = 32;
/**
 * Share of the average served share below which an account comes first. No account may be served less than a quarter as
 * often as all; the rest is a margin for the spread between gateways.
 */
const FLOOR_SHARE = 0.4;
/** Requests counted from which an account's served share says something. */
const MIN_ASKED = 2;
/** Milliseconds after a more urgent request was refused in which less urgent ones are held back. */
const RESERVE_TIME: Duration = 2000;
/**
 * Difference by which a more urgent kind must be served more often before less urgent requests are no longer held back.
 * A gateway of a large deployment counts a dozen requests a second, so its shares are off by that much.
 */
const RESERVE_MARGIN = 0.1;
/** Ranks that are told apart; less urgent ones count as the last of them. */
const MAX_RANKS = 16;

/** Requests asked for and sent, with the recent ones weighted most. */
interface Served {
  readonly asked: number;
  readonly sent: number;
  readonly countedAt: Instant;
}

interface AccountShare extends Served {
  readonly id: number;
  readonly name: string;
  readonly finish: number;
}

interface RankShare extends Served {
  readonly rank: number;
  readonly refusedAt: Instant;
}

/** Shares of the accounts and ranks of one service. */
export interface Shares {
  readonly virtualTime: number;
  readonly accounts: Tree<AccountShare>;
  readonly byFinish: Tree<AccountShare>;
  readonly total: Served;
  readonly ranks: readonly RankShare[];
}

const nothingServed: Served = { asked: 0, sent: 0, countedAt: 0 };

/** The shares before a shortage. */
export const emptyShares: Shares = {
  virtualTime: 0,
  accounts: undefined,
  byFinish: undefined,
  total: nothingServed,
  ranks: [],
};

function compareNames(left: AccountShare, right: AccountShare): number {
  return left.name === right.name ? 0 : left.name < right.name ? -1 : 1;
}

function compareFinish(left: AccountShare, right: AccountShare): number {
  return left.finish - right.finish || compareNames(left, right);
}

function addServed(served: Served, asked: number, sent: number, now: Instant): Served {
  const weight = 0.5 ** (Math.max(0, now - served.countedAt) / COUNT_HALF_LIFE);
  return {
    asked: served.asked * weight + asked,
    sent: served.sent * weight + sent,
    countedAt: now,
  };
}

function computeRatio({ asked, sent }: Served): number {
  return asked === 0 ? 1 : sent / asked;
}

function getAccount({ accounts }: Shares, account: string | undefined): AccountShare {
  const name = account ?? '';
  const unknown = { ...nothingServed, id: 0, name, finish: 0 };
  return findItem(accounts, unknown, compareNames) ?? { ...unknown, id: hashName(name) };
}

function replaceAccount(shares: Shares, before: AccountShare, after: AccountShare): Shares {
  return {
    ...shares,
    accounts: addItem(removeItem(shares.accounts, before, compareNames), after, compareNames),
    byFinish: addItem(removeItem(shares.byFinish, before, compareFinish), after, compareFinish),
  };
}

/** Returns the index of the rank among those that are told apart. */
function getKnownRank(rank: number): number {
  return Math.max(0, Math.min(MAX_RANKS - 1, rank));
}

function updateRank(shares: Shares, rank: number, update: (share: RankShare) => RankShare): Shares {
  const known = getKnownRank(rank);
  const share = shares.ranks.find((one) => one.rank === known) ?? {
    ...nothingServed,
    rank: known,
    refusedAt: -Infinity,
  };
  return {
    ...shares,
    ranks: [...shares.ranks.filter((one) => one.rank !== known), update(share)],
  };
}

/** The account and rank of a request. */
export interface Claim {
  readonly account: string | undefined;
  readonly rank: number;
}

/** Returns the most urgent rank that asked for capacity, or the given one. */
export function getTopRank({ ranks }: Shares, rank: number): number {
  return ranks.reduce((least, one) => Math.min(least, one.rank), rank);
}

/** Counts a request that asked for capacity. */
export function addAsked(shares: Shares, claim: Claim, now: Instant): Shares {
  const account = getAccount(shares, claim.account);
  const counted = replaceAccount(shares, account, { ...account, ...addServed(account, 1, 0, now) });
  return updateRank(
    { ...counted, total: addServed(shares.total, 1, 0, now) },
    claim.rank,
    (share) => ({ ...share, ...addServed(share, 1, 0, now) }),
  );
}

/** Counts a request that was sent, and advances virtual time. */
export function addSent(shares: Shares, claim: Claim, now: Instant): Shares {
  const account = getAccount(shares, claim.account);
  const probe = { ...account, name: '', finish: shares.virtualTime };
  const ahead = countItems(shares.byFinish) - countBefore(shares.byFinish, probe, compareFinish);
  const counted = replaceAccount(shares, account, { ...account, ...addServed(account, 0, 1, now) });
  return updateRank(
    {
      ...counted,
      virtualTime: shares.virtualTime + 1 / Math.max(1, ahead),
      total: addServed(shares.total, 0, 1, now),
    },
    claim.rank,
    (share) => ({ ...share, ...addServed(share, 0, 1, now) }),
  );
}

/** Counts a request that was sent and rejected as one that was not sent. */
export function dropSent(shares: Shares, claim: Claim, now: Instant): Shares {
  const account = getAccount(shares, claim.account);
  const drop = (served: Served): Served => {
    const current = addServed(served, 0, 0, now);
    return { ...current, sent: Math.max(0, current.sent - 1) };
  };
  const counted = replaceAccount(shares, account, { ...account, ...drop(account) });
  return updateRank({ ...counted, total: drop(shares.total) }, claim.rank, (share) => ({
    ...share,
    ...drop(share),
  }));
}

/** Records that a request was refused for lack of capacity. */
export function addRefused(shares: Shares, { rank }: Claim, now: Instant): Shares {
  return updateRank(shares, rank, (share) => ({ ...share, refusedAt: now }));
}

/** Whether the account is served so much less often than all that its requests come first. */
function isBelowFloor(shares: Shares, account: AccountShare): boolean {
  return (
    account.asked >= MIN_ASKED && computeRatio(account) < computeRatio(shares.total) * FLOOR_SHARE
  );
}

/**
 * Returns the place of the account's next request among those of its rank, and the shares with that request charged to
 * the account. `penalty` is the number of requests that are charged besides.
 */
export function claimTag(
  shares: Shares,
  { account }: Claim,
  penalty: number,
): { readonly tag: number; readonly shares: Shares } {
  const known = getAccount(shares, account);
  const { virtualTime } = shares;
  const start = Math.min(virtualTime + MAX_LEAD, Math.max(virtualTime, known.finish) + penalty);
  const tag = isBelowFloor(shares, known) ? virtualTime - 1 : start;
  return { tag, shares: replaceAccount(shares, known, { ...known, finish: start + 1 }) };
}

/** Returns the shares after a request that was charged is not sent. */
export function dropTag(shares: Shares, { account }: Claim): Shares {
  const known = getAccount(shares, account);
  return replaceAccount(shares, known, { ...known, finish: known.finish - 1 });
}

/**
 * Whether capacity is reserved for more urgent requests than those of the rank: one of them was refused a moment ago,
 * and they have not been served clearly more often.
 *
 * @example
 * isReserved(emptyShares, 1, now) // false
 */
export function isReserved({ ranks }: Shares, rank: number, now: Instant): boolean {
  const known = getKnownRank(rank);
  const own = ranks.find((one) => one.rank === known);
  const ratio = own === undefined ? 1 : computeRatio(own);
  return ranks.some(
    (other) =>
      other.rank < known &&
      now - other.refusedAt < RESERVE_TIME &&
      computeRatio(other) <= ratio + RESERVE_MARGIN,
  );
}
