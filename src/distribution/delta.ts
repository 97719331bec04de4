/**
 * Computes and applies deltas between configurations. Invariant: applying the delta of two configurations
 * to the first gives the second, with equal fields in the same order.
 */
import type { ConfigDelta } from '../generated/distribution.js';
import { emptyConfig, type Config, type Selector, type VersionWeight } from '../model/index.js';

export type { ConfigDelta };

function getSelectorKey(selector: Selector): string {
  return Object.entries(selector.match)
    .map(([key, value]) => `${key}=${value}`)
    .sort()
    .join(',');
}

function getKey(item: unknown): string {
  return JSON.stringify(item);
}

/** Returns the items of `list` whose key does not occur in `other`. */
function listMissing<Item>(
  list: readonly Item[],
  other: readonly Item[],
  key: (item: Item) => string,
): Item[] {
  const keys = new Set(other.map(key));
  return list.filter((item) => !keys.has(key(item)));
}

function listServices(weights: readonly VersionWeight[]): readonly string[] {
  return [...new Set(weights.map(({ service }) => service))];
}

function listChangedWeights(before: Config, after: Config): VersionWeight[] {
  const select = (config: Config, service: string): readonly VersionWeight[] =>
    config.weights.filter((weight) => weight.service === service);
  return listServices(after.weights).flatMap((service) => {
    const weights = select(after, service);
    return getKey(weights) === getKey(select(before, service)) ? [] : weights;
  });
}

/**
 * Returns the delta that turns `before` into `after`.
 *
 * @example
 * applyDelta(before, computeDelta(before, after)) // equals after
 */
export function computeDelta(before: Config, after: Config): ConfigDelta {
  const services = listServices(after.weights);
  const ids = after.roster.members.map(({ id }) => id);
  return {
    base: before.revision,
    revision: after.revision,
    zonesOut: listMissing(after.zonesOut, before.zonesOut, String),
    zonesIn: listMissing(before.zonesOut, after.zonesOut, String),
    leaving: listMissing(after.leaving, before.leaving, getSelectorKey),
    staying: listMissing(before.leaving, after.leaving, getSelectorKey),
    weights: listChangedWeights(before, after),
    unweighted: listServices(before.weights).filter((service) => !services.includes(service)),
    epoch: after.roster.epoch,
    members: listMissing(after.roster.members, before.roster.members, getKey),
    lapsed: before.roster.members.map(({ id }) => id).filter((id) => !ids.includes(id)),
  };
}

/** Removes the given keys, inserts or replaces the added items, and sorts by key. */
function replaceItems<Item>(
  list: readonly Item[],
  removed: readonly string[],
  added: readonly Item[],
  key: (item: Item) => string,
): readonly Item[] {
  const replaced = new Set([...removed, ...added.map(key)]);
  const kept = list.filter((item) => !replaced.has(key(item)));
  return [...kept, ...added].sort((one, two) => {
    const [first, second] = [key(one), key(two)];
    return first < second ? -1 : first > second ? 1 : 0;
  });
}

/**
 * Returns the resulting configuration, or undefined if the delta's base is another revision than that of
 * `config`. A delta with base 0 applies to the empty configuration.
 */
export function applyDelta(config: Config | undefined, delta: ConfigDelta): Config | undefined {
  const before = delta.base === 0 ? emptyConfig : config;
  if (before?.revision !== delta.base) return undefined;
  const members = replaceItems(before.roster.members, delta.lapsed, delta.members, ({ id }) => id);
  return {
    revision: delta.revision,
    zonesOut: replaceItems(before.zonesOut, delta.zonesIn, delta.zonesOut, String),
    leaving: replaceItems(
      before.leaving,
      delta.staying.map(getSelectorKey),
      delta.leaving,
      getSelectorKey,
    ),
    weights: replaceItems(
      before.weights,
      delta.unweighted,
      delta.weights,
      ({ service }) => service,
    ),
    roster: { epoch: delta.epoch, members },
  };
}
