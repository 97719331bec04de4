/**
 * Hashing, derived random numbers and rendezvous ranks. Invariant: results depend on the arguments alone,
 * so all entries with the same roster compute the same ranks.
 */
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const UINT32_RANGE = 2 ** 32;

/** Mixes the bits of a 32-bit number (the 32-bit finalizer of MurmurHash3). */
function hashBits(value: number): number {
  const first = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
  const second = Math.imul(first ^ (first >>> 13), 0xc2b2ae35);
  return (second ^ (second >>> 16)) >>> 0;
}

/** Hashes a text to an unsigned 32-bit number: FNV-1a with a final mixing step. */
export function hashText(text: string): number {
  let hash = FNV_OFFSET;
  let index = 0;
  while (index < text.length) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
    index += 1;
  }
  return hashBits(hash);
}

/**
 * Derives another random number in [0, 1) from a random number; different salts give unrelated results.
 *
 * @example
 * const second = generateRandom(event.random, 2);
 */
export function generateRandom(random: number, salt: number): number {
  const seed = Math.floor(random * UINT32_RANGE) ^ Math.imul(salt + 1, 0x9e3779b1);
  return hashBits(seed) / UINT32_RANGE;
}

/**
 * Returns the rank of a member in the rendezvous order of a key, that is, how many members precede it.
 * Members are given by the hashes of their ids. Ties are broken by the order of the list, which is the same
 * on all entries.
 *
 * @example
 * computeRank('upstream-1', ids.indexOf('entry-2'), ids.map(hashText)) // 0 for exactly one member
 */
export function computeRank(key: string, selfIndex: number, hashes: readonly number[]): number {
  const keyHash = hashText(key);
  const ownHash = hashBits(keyHash ^ (hashes[selfIndex] ?? 0));
  return hashes.filter((hash, index) => {
    const otherHash = hashBits(keyHash ^ hash);
    return otherHash < ownHash || (otherHash === ownHash && index < selfIndex);
  }).length;
}

/** The hashes of a list of ids, and the place of each id in it. */
export interface HashedIds {
  readonly hashes: readonly number[];
  readonly indexes: ReadonlyMap<string, number>;
}

const hashedLists = new WeakMap<readonly string[], HashedIds>();

/**
 * Hashes the ids of a list for {@link computeRank}. A list object is hashed once, as hundreds of keys are ranked
 * over the same list; it must not be changed afterwards.
 *
 * @example
 * const { hashes, indexes } = hashIds(gateways);
 * computeRank('upstream-1', indexes.get('gateway-2') ?? -1, hashes)
 */
export function hashIds(ids: readonly string[]): HashedIds {
  const known = hashedLists.get(ids);
  if (known !== undefined) return known;
  const hashed: HashedIds = {
    hashes: ids.map(hashText),
    indexes: new Map(ids.map((id, index) => [id, index])),
  };
  hashedLists.set(ids, hashed);
  return hashed;
}
