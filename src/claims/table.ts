/**
 * Persistent (immutable) hash map from keys to claims: an update copies the root, one branch and one bucket
 * and shares the rest. Invariant: a key is stored in the bucket that its hash selects.
 */
import type { StoredClaim } from './types.js';

type Bucket = ReadonlyMap<string, readonly StoredClaim[]>;
type Branch = readonly (Bucket | undefined)[];

/** Branches of the table, and buckets of each branch. */
const FAN_OUT = 128;
/** Number of buckets; {@link pruneBucket} handles one at a time. */
export const BUCKET_COUNT = FAN_OUT * FAN_OUT;

/** The claims stored by one claimant; `size` is the number of keys. */
export interface ClaimTable {
  readonly size: number;
  readonly branches: readonly (Branch | undefined)[];
}

/** A table without claims. */
export const emptyTable: ClaimTable = {
  size: 0,
  branches: new Array<undefined>(FAN_OUT).fill(undefined),
};
const emptyBranch: Branch = new Array<undefined>(FAN_OUT).fill(undefined);
const emptyBucket: Bucket = new Map();

/** Hashes a string to 32 bits with FNV-1a over its UTF-16 code units and a final mixing step. */
export function hashText(text: string): number {
  let hash = 0x811c9dc5;
  let index = 0;
  while (index < text.length) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
    index += 1;
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  return (hash ^ (hash >>> 13)) >>> 0;
}

function findBucket(table: ClaimTable, index: number): Bucket {
  return table.branches[Math.floor(index / FAN_OUT)]?.[index % FAN_OUT] ?? emptyBucket;
}

function replaceBucket(table: ClaimTable, index: number, bucket: Bucket): ClaimTable {
  const before = findBucket(table, index);
  const branchIndex = Math.floor(index / FAN_OUT);
  const branch = (table.branches[branchIndex] ?? emptyBranch).with(index % FAN_OUT, bucket);
  return {
    size: table.size + bucket.size - before.size,
    branches: table.branches.with(branchIndex, branch),
  };
}

/** Returns the claims of a key. */
export function getClaims(table: ClaimTable, key: string): readonly StoredClaim[] {
  return findBucket(table, hashText(key) % BUCKET_COUNT).get(key) ?? [];
}

/** Replaces the claims of a key; an empty list removes the key. */
export function replaceClaims(
  table: ClaimTable,
  key: string,
  claims: readonly StoredClaim[],
): ClaimTable {
  const index = hashText(key) % BUCKET_COUNT;
  const bucket = new Map(findBucket(table, index));
  if (claims.length > 0) bucket.set(key, claims);
  else bucket.delete(key);
  return replaceBucket(table, index, bucket);
}

/** Keeps only the claims of one bucket for which `keeps` returns true. */
export function pruneBucket(
  table: ClaimTable,
  index: number,
  keeps: (claim: StoredClaim) => boolean,
): ClaimTable {
  const bucket = findBucket(table, index);
  const expired = [...bucket.values()].some((claims) => !claims.every(keeps));
  if (!expired) return table;
  const kept = [...bucket]
    .map(([key, claims]) => [key, claims.filter(keeps)] as const)
    .filter(([, claims]) => claims.length > 0);
  return replaceBucket(table, index, new Map(kept));
}

/** Returns every key with its claims. */
export function listClaims(
  table: ClaimTable,
): readonly (readonly [string, readonly StoredClaim[]])[] {
  return table.branches.flatMap((branch) =>
    (branch ?? []).flatMap((bucket) => (bucket === undefined ? [] : [...bucket])),
  );
}
