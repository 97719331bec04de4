/**
 * Chooses the gateways that callers are told of. Invariant: only gateways that are ready, those of the caller's zone
 * first.
 */
import type { EntryRecord } from '../feed/index.js';
import type { Address, ZoneId } from '../model/index.js';

/** Maximum number of addresses in one response of the directory. */
const MAX_ADDRESSES = 64;
/** Number of ready gateways in a zone from which the zone's callers are sent only to those. */
const MIN_ZONE_GATEWAYS = 2;

/** Returns the ids of the gateways in each zone. */
export function listByZone(
  entries: readonly EntryRecord[],
): ReadonlyMap<ZoneId, readonly string[]> {
  const zones = [...new Set(entries.map(({ zone }) => zone))];
  return new Map(
    zones.map((name) => [name, entries.filter(({ zone }) => zone === name).map(({ id }) => id)]),
  );
}

/**
 * Returns the addresses for callers in the zone. `random` is from 0 (inclusive) to 1 (exclusive).
 *
 * @example
 * listCallerAddresses(entries, 'cyberjaya', 0.5)
 */
export function listCallerAddresses(
  entries: readonly EntryRecord[],
  zone: ZoneId,
  random: number,
): readonly Address[] {
  const ready = entries.filter((entry) => entry.ready);
  const sameZone = ready.filter((entry) => entry.zone === zone);
  const chosen = sameZone.length >= MIN_ZONE_GATEWAYS ? sameZone : ready;
  const start = chosen.length > MAX_ADDRESSES ? Math.floor(random * chosen.length) : 0;
  return [...chosen.slice(start), ...chosen.slice(0, start)]
    .slice(0, MAX_ADDRESSES)
    .map(({ callerAddress }) => callerAddress);
}
