/**
 * Decides by which gateways load reports travel. Invariant: gateways that agree on who is there agree on the
 * relays, and what each gateway sends doesn't grow with the fleet.
 */
import type { EntryRecord } from '../feed/index.js';
import type { Address, ZoneId } from '../model/index.js';

/** Gateways up to which each one tells all others itself; beyond, a pulse to all costs more than a hop. */
const MAX_DIRECT_FLEET = 32;
/** Gateways that one relay serves at most, so that its datagrams fit the link of a small VM. */
const GATEWAYS_PER_RELAY = 16;

/** The ways of one gateway's reports. */
export type GossipPlan =
  /** To all others. */
  | { readonly kind: 'direct'; readonly peers: readonly Address[] }
  /** Through a relay. */
  | {
      readonly kind: 'relayed';
      /** The relays of the own zone, the one to use first at the front. */
      readonly zoneRelays: readonly Address[];
      /** The relays of all zones, without this gateway. */
      readonly relays: readonly Address[];
      readonly isRelay: boolean;
    };

/** Relays of a zone, so that one can take over from another. */
const MIN_RELAYS_PER_ZONE = 2;

/** The strongest gateways relay: they have the widest links. */
function selectZoneRelays(members: readonly EntryRecord[]): readonly Address[] {
  return [...members]
    .sort((one, two) => two.capacity - one.capacity || (one.id < two.id ? -1 : 1))
    .slice(0, Math.max(MIN_RELAYS_PER_ZONE, Math.ceil(members.length / GATEWAYS_PER_RELAY)))
    .map(({ peerAddress }) => peerAddress);
}

/**
 * Returns the plan of the gateway `self`.
 *
 * @example
 * planPulse('10.1.0.18:7215', 'cyberjaya', entries) // { kind: 'direct', peers: [...] }
 */
export function planGossip(
  self: Address,
  zone: ZoneId,
  entries: readonly EntryRecord[],
): GossipPlan {
  const others = entries.filter(({ peerAddress }) => peerAddress !== self);
  if (others.length < MAX_DIRECT_FLEET) {
    return { kind: 'direct', peers: others.map(({ peerAddress }) => peerAddress) };
  }
  const zones = [...new Set(entries.map((entry) => entry.zone))];
  const relaysByZone = new Map(
    zones.map((name) => [name, selectZoneRelays(entries.filter((entry) => entry.zone === name))]),
  );
  const zoneRelays = relaysByZone.get(zone) ?? [];
  const followers = entries
    .filter((entry) => entry.zone === zone && !zoneRelays.includes(entry.peerAddress))
    .map(({ peerAddress }) => peerAddress);
  const offset = Math.max(0, followers.indexOf(self)) % Math.max(1, zoneRelays.length);
  return {
    kind: 'relayed',
    zoneRelays: [...zoneRelays.slice(offset), ...zoneRelays.slice(0, offset)].filter(
      (address) => address !== self,
    ),
    relays: [...relaysByZone.values()].flat().filter((address) => address !== self),
    isRelay: zoneRelays.includes(self),
  };
}
