/**
 * Decides by which gateways load reports travel. Invariant: gateways that agree on who is there agree on the
 * relays, and what each gateway sends doesn't grow with the fleet.
 */
import type { EntryRecord } from '../feed/index.js';
import type { Address, ZoneId } from '../model/index.js';

/** Gateways up to which each one tells all others itself; beyond, a pulse to all costs more than a hop. */
const LARGEST_DIRECT_FLEET = 32;
/** Gateways that one relay serves at most, so that its datagrams fit the link of a small VM. */
const GATEWAYS_PER_RELAY = 16;

/** The ways of one gateway's reports. */
export type PulsePlan =
  /** To all others. */
  | { readonly kind: 'direct'; readonly peers: readonly Address[] }
  /** Through a relay. */
  | {
      readonly kind: 'relayed';
      /** The relays of the own zone, the one to use first at the front. */
      readonly near: readonly Address[];
      /** The relays of all zones, without this gateway. */
      readonly relays: readonly Address[];
      readonly isRelay: boolean;
    };

/** Relays of a zone, so that one can take over from another. */
const MIN_RELAYS = 2;

/** The strongest gateways relay: they have the widest links. */
function listZoneRelays(members: readonly EntryRecord[]): readonly Address[] {
  return [...members]
    .sort((one, two) => two.capacity - one.capacity || (one.id < two.id ? -1 : 1))
    .slice(0, Math.max(MIN_RELAYS, Math.ceil(members.length / GATEWAYS_PER_RELAY)))
    .map(({ peerAddress }) => peerAddress);
}

/**
 * Returns the plan of the gateway `self`.
 *
 * @example
 * planPulse('10.1.0.18:7215', 'cyberjaya', entries) // { kind: 'direct', peers: [...] }
 */
export function planPulse(self: Address, zone: ZoneId, entries: readonly EntryRecord[]): PulsePlan {
  const others = entries.filter(({ peerAddress }) => peerAddress !== self);
  if (others.length < LARGEST_DIRECT_FLEET) {
    return { kind: 'direct', peers: others.map(({ peerAddress }) => peerAddress) };
  }
  const zones = [...new Set(entries.map((entry) => entry.zone))];
  const byZone = new Map(
    zones.map((name) => [name, listZoneRelays(entries.filter((entry) => entry.zone === name))]),
  );
  const near = byZone.get(zone) ?? [];
  const followers = entries
    .filter((entry) => entry.zone === zone && !near.includes(entry.peerAddress))
    .map(({ peerAddress }) => peerAddress);
  const first = Math.max(0, followers.indexOf(self)) % Math.max(1, near.length);
  return {
    kind: 'relayed',
    near: [...near.slice(first), ...near.slice(0, first)].filter((address) => address !== self),
    relays: [...byZone.values()].flat().filter((address) => address !== self),
    isRelay: near.includes(self),
  };
}
