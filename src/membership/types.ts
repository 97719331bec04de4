/**
 * Values of the membership protocol. Invariant: every record has one stamp that only rises, so that any
 * two replicas that hold the same records agree whatever the order in which they learnt them.
 */
import type { Address, Duration, EntryId, Instant, Upstream, ZoneId } from '../model/index.js';
import type { EntryRecord, MembershipMessage, UpstreamRecord } from '../generated/membership.js';
import type { QuarantineState } from './quarantine.js';

/** Times of the protocol. */
export interface MembershipIntervals {
  /** Between two ticks of the shell. */
  readonly tick: Duration;
  /** Between two probes of other entries. */
  readonly probe: Duration;
  /** After which a direct probe counts as unanswered and others are asked to probe. */
  readonly probeTimeout: Duration;
  /** Between a suspicion and the verdict that the entry is dead. */
  readonly suspicion: Duration;
  /** Between two rounds of rumours. */
  readonly gossip: Duration;
  /** Between two requests for a copy of what the others know. */
  readonly join: Duration;
  /** Between two attempts to reach a dead entry or a seed. */
  readonly reconnect: Duration;
  /** After which an announcement that is not renewed lapses. */
  readonly lease: Duration;
  /** For which the upstreams of a lost entry stay listed, so that they can announce elsewhere. */
  readonly grace: Duration;
  /** For which dead entries and lapsed announcements are remembered. */
  readonly retention: Duration;
}

/** Intervals for a site whose upstreams renew every 2 s. */
export const defaultIntervals: MembershipIntervals = {
  tick: 250,
  probe: 1000,
  probeTimeout: 400,
  suspicion: 3000,
  gossip: 250,
  join: 500,
  reconnect: 5000,
  lease: 7000,
  grace: 7000,
  retention: 600_000,
};

/** What an entry says of itself when it starts. */
export interface SelfDescription {
  readonly id: EntryId;
  readonly zone: ZoneId;
  readonly peerAddress: Address;
  readonly callerAddress: Address;
  readonly incarnation: number;
}

/** An entry as seen by this one. */
export interface KnownEntry extends SelfDescription {
  readonly stopping: boolean;
  /** False once it is held to be dead or has left. */
  readonly alive: boolean;
}

/** A record of an entry and when this process learnt what. */
export interface EntryState {
  readonly record: EntryRecord;
  readonly statusSince: Instant;
  readonly incarnationSince: Instant;
  readonly hash: number;
}

/** A record of an upstream and when this process learnt it. */
export interface UpstreamState {
  readonly record: UpstreamRecord;
  readonly receivedAt: Instant;
  readonly hash: number;
}

/** A probe under way. */
export interface Probe {
  readonly target: EntryId;
  readonly sequence: number;
  readonly sentAt: Instant;
  readonly indirect: boolean;
}

/** A probe that this entry carries out for another one. */
export interface IndirectProbe {
  readonly origin: Address;
  readonly originSequence: number;
  readonly sentAt: Instant;
}

/** A renewal that was passed on to the entry that holds the lease. */
export interface ForwardedRenewal {
  readonly sentAt: Instant;
  readonly confirmed: boolean;
}

/** When each periodic job last ran. */
export interface Schedule {
  readonly tickedAt: Instant;
  readonly probedAt: Instant;
  readonly gossipedAt: Instant;
  readonly reconnectedAt: Instant;
  /** When a record last changed; repair waits until rumours have settled. */
  readonly changedAt: Instant;
}

/** All that one entry knows. */
export interface MembershipState {
  readonly self: EntryId;
  readonly seeds: readonly Address[];
  readonly intervals: MembershipIntervals;
  readonly entries: ReadonlyMap<EntryId, EntryState>;
  readonly upstreams: ReadonlyMap<string, UpstreamState>;
  /** When each upstream whose lease is held here last renewed it. */
  readonly leases: ReadonlyMap<string, Instant>;
  readonly forwardedRenewals: ReadonlyMap<string, ForwardedRenewal>;
  /** How often each changed record is still to be spread. */
  readonly pendingUpdates: ReadonlyMap<string, number>;
  readonly probe: Probe | undefined;
  readonly indirectProbes: ReadonlyMap<number, IndirectProbe>;
  /** Entries still to be probed in this round. */
  readonly probeQueue: readonly EntryId[];
  readonly sequence: number;
  readonly schedule: Schedule;
  readonly quarantine: QuarantineState;
  /** Seeds that have not sent a copy; undefined once this entry knows what the others know. */
  readonly awaitedSeeds: readonly Address[] | undefined;
  /** Records of the upstreams that are listed now. */
  readonly listed: readonly UpstreamState[];
}

/** What the protocol is told. */
export type MembershipEvent =
  | { readonly kind: 'started'; readonly now: Instant; readonly random: number }
  | { readonly kind: 'ticked'; readonly now: Instant; readonly random: number }
  | {
      readonly kind: 'received';
      readonly from: Address;
      readonly message: MembershipMessage;
      readonly now: Instant;
      readonly random: number;
    }
  | { readonly kind: 'seedsReplaced'; readonly seeds: readonly Address[]; readonly now: Instant }
  | { readonly kind: 'announced'; readonly upstream: Upstream; readonly now: Instant }
  | {
      readonly kind: 'upstreamLeft';
      readonly id: string;
      readonly incarnation: number;
      readonly now: Instant;
    }
  | { readonly kind: 'stopping'; readonly now: Instant }
  | { readonly kind: 'closing'; readonly now: Instant; readonly random: number }
  | {
      readonly kind: 'suspected';
      readonly fingerprint: string;
      readonly upstreamId: string;
      readonly incarnation: number;
      /** Whether nothing listened at the upstream right after. */
      readonly ended: boolean;
      readonly now: Instant;
    }
  | { readonly kind: 'cleared'; readonly fingerprint: string; readonly now: Instant };

/** What the shell must do. */
export type MembershipEffect =
  | { readonly kind: 'send'; readonly to: Address; readonly message: MembershipMessage }
  | { readonly kind: 'upstreamsChanged' }
  | { readonly kind: 'entriesChanged' }
  /** This entry knows what the others know. */
  | { readonly kind: 'joined' }
  | {
      readonly kind: 'condemned';
      readonly fingerprints: readonly string[];
      readonly until: Instant;
    }
  /** Requests with these fingerprints that end well are to be reported. */
  | { readonly kind: 'suspectsChanged'; readonly fingerprints: readonly string[] };
