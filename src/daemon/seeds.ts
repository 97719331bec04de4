/** Addresses of the processes that are asked for the members of a group. */
import { parseAddress, type Address } from '../model/index.js';

/** Returns the peer addresses of the stewards on the hosts of the seeds. */
export function listSeeds(seeds: readonly Address[], port: number): readonly Address[] {
  return seeds.map((seed) => `${parseAddress(seed).host}:${port}`);
}
