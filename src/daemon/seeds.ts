/**
 * Addresses of the processes that are asked for the members of a group. Invariant: settings that can't be read, or name
 * no seed, leave the former seeds in force.
 */
import { parseAddress, type Address } from '../model/index.js';
import type { Settings } from '../settings/index.js';

/** Returns the peer addresses of the stewards on the hosts of the seeds. */
export function listSeeds(seeds: readonly Address[], port: number): readonly Address[] {
  return seeds.map((seed) => `${parseAddress(seed).host}:${port}`);
}

function findSeeds({ process, gateway, steward }: Settings): readonly Address[] {
  const section = process.roles.includes('steward') ? steward : gateway;
  return section === undefined ? [] : listSeeds(section.seeds, section.steward_port);
}

/** The seeds in force. Roles read them at each use, as the settings are read again while a process runs. */
export class CurrentSeeds {
  #list: readonly Address[];
  readonly #listeners: ((seeds: readonly Address[]) => void)[] = [];

  /**
   * Takes the seeds of the process's role.
   *
   * @example
   * const seeds = new CurrentSeeds(settings);
   * seeds.apply(reloadedSettings); // true if they are others
   */
  constructor(settings: Settings) {
    this.#list = findSeeds(settings);
  }

  get list(): readonly Address[] {
    return this.#list;
  }

  /** Calls the listener with the new seeds after each change. */
  onChange(listener: (seeds: readonly Address[]) => void): void {
    this.#listeners.push(listener);
  }

  /** Takes the seeds of settings that were read again, and returns whether they changed. */
  apply(settings: Settings): boolean {
    const seeds = findSeeds(settings);
    if (seeds.length === 0 || seeds.join() === this.#list.join()) return false;
    this.#list = seeds;
    this.#listeners.forEach((listener) => {
      listener(seeds);
    });
    return true;
  }
}
