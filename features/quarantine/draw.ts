import { generateRandom } from '../../src/routing/index.js';

/** Returns the next number of a seeded sequence in [0, 1). */
export type Draw = () => number;

export function createDraw(seed: number): Draw {
  let count = 0;
  return () => {
    count += 1;
    return generateRandom(generateRandom(seed / 2 ** 20, seed), count);
  };
}
