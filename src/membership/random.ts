/**
 * Random selection from one random number, and string hashes. Invariant: the same number gives the same
 * selection.
 */

/** Returns up to `count` distinct items, chosen uniformly; `random` is from 0 to 1. */
export function pickRandom<T>(items: readonly T[], count: number, random: number): readonly T[] {
  const drawn = Array.from({ length: Math.min(count, items.length) }).reduce<{
    readonly remaining: readonly T[];
    readonly picked: readonly T[];
    readonly random: number;
  }>(
    ({ remaining, picked, random: rest }) => {
      const scaled = rest * remaining.length;
      const position = Math.min(Math.floor(scaled), remaining.length - 1);
      return {
        remaining: remaining.filter((_, index) => index !== position),
        picked: [...picked, ...remaining.slice(position, position + 1)],
        random: advanceRandom(scaled - position),
      };
    },
    { remaining: items, picked: [], random },
  );
  return drawn.picked;
}

/** Modulus of the linear congruential generator in {@link advanceRandom}. */
const LCG_RANGE = 2 ** 32;

function advanceRandom(random: number): number {
  const seed = Math.floor(random * LCG_RANGE);
  return ((Math.imul(seed, 1664525) + 1013904223) >>> 0) / LCG_RANGE;
}

/** Hashes a string to 31 bits (FNV-1a with a final mix). */
export function hashText(text: string): number {
  let hash = 0x811c9dc5;
  let index = 0;
  while (index < text.length) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
    index += 1;
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  return (hash ^ (hash >>> 13)) >>> 1;
}
