/**
 * Decides how load reports are routed between gateways. Invariant: gateways with the same member
 * list select the same relays, and the traffic that each gateway sends does not grow with the
 * fleet.
 */
import type { EntryRecord } from '../feed/index.js';
import type { Address, ZoneId } from '../model/index.js';

/**
 * Fleet size up to which every gateway sends to all others directly. In a larger fleet, sending to
 * all costs more than an extra hop.
 */
const MAX_DIRECT_FLEET = 32;
/**
 * Maximum number of gateways per relay, so that its datagrams fit the network link of a small VM.
 */
const GATEWAYS_PER_RELAY = 16;

/** How one gateway sends its load reports. */
export type GossipPlan =
  /** Directly to all other gateways; those of other zones are sent reports less often. */
  | {
      readonly kind: 'direct';
      readonly peers: readonly Address[];
      readonly farPeers: readonly Address[];
    }
  /** Through a relay of the own zone. */
  | {
      readonly kind: 'relayed';
      /** The relays of the own zone without this gateway, in the order in which to use them. */
      readonly zoneRelays: readonly Address[];
      /** The relays of the other zones, which are sent reports less often. */
      readonly farRelays: readonly Address[];
      readonly isRelay: boolean;
    };

/** Minimum number of relays per zone, so that one can take over from another. */
const MIN_RELAYS_PER_ZONE = 2;

/** Selects the gateways with the most capacity as relays, as they have the most bandwidth. */
function selectZoneRelays(members: readonly EntryRecord[]): readonly Address[] {
  return [...members]
    .sort((one, two) => two.capacity - one.capacity || (one.id < two.id ? -1 : 1))
    .slice(0, Math.max(MIN_RELAYS_PER_ZONE, Math.ceil(members.length / GATEWAYS_PER_RELAY)))
    .map(({ peerAddress }) => peerAddress);
}

/**
 * Returns the gossip plan of the gateway `self`.
 *
 * @example
 * planGossip('10.1.0.18:7215', 'cyberjaya', entries) // { kind: 'direct', peers: [...], farPeers: [...] }
 */
export function planGossip(
  self: Address,
  zone: ZoneId,
  entries: readonly EntryRecord[],
): GossipPlan {
  const others = entries.filter(({ peerAddress }) => peerAddress !== self);
  if (others.length < MAX_DIRECT_FLEET) {
    const listPeers = (isNear: boolean): readonly Address[] =>
      others
        .filter((entry) => (entry.zone === zone) === isNear)
        .map(({ peerAddress }) => peerAddress);
    return { kind: 'direct', peers: listPeers(true), farPeers: listPeers(false) };
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
    farRelays: [...relaysByZone].flatMap(([name, relays]) => (name === zone ? [] : relays)),
    isRelay: zoneRelays.includes(self),
  };
}
