/**
 * Types of the membership protocol. Invariant: every record has one stamp that only increases, so that
 * replicas that received the same records agree regardless of the order of arrival.
 */
import type { Address, Duration, EntryId, Instant, Upstream, ZoneId } from '../model/index.js';
import type { EntryRecord, MembershipMessage, UpstreamRecord } from '../generated/membership.js';
import type { QuarantineState } from '../quarantine/index.js';

/** Intervals and timeouts of the protocol in milliseconds. */
export interface MembershipIntervals {
  /** Interval of the `ticked` event. */
  readonly tick: Duration;
  /** Interval between two probes of other entries. */
  readonly probe: Duration;
  /** Timeout of a direct probe, after which indirect probes are requested, and of a forwarded renewal. */
  readonly probeTimeout: Duration;
  /** Time for which an entry stays suspect before it is marked dead. */
  readonly suspicion: Duration;
  /** Interval between two gossip rounds. */
  readonly gossip: Duration;
  /** Interval between two requests for a full copy while joining. */
  readonly join: Duration;
  /** Interval between two attempts to reach a dead entry or a seed. */
  readonly reconnect: Duration;
  /** Time after which an announcement that is not renewed expires. */
  readonly lease: Duration;
  /** Time for which upstreams of a lost lease holder stay listed, so that they can announce elsewhere. */
  readonly grace: Duration;
  /** Time for which dead entries and expired announcements are kept. */
  readonly retention: Duration;
}

/** Default intervals, for a site whose upstreams renew every 2 s. */
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

/** Identity and addresses that an entry announces when it starts. */
export interface SelfDescription {
  readonly id: EntryId;
  readonly zone: ZoneId;
  readonly peerAddress: Address;
  readonly callerAddress: Address;
  readonly incarnation: number;
}

/** An entry as known to this one. */
export interface KnownEntry extends SelfDescription {
  readonly stopping: boolean;
  /** False once it is marked dead or has left. */
  readonly alive: boolean;
}

/** A record of an entry and when its status and incarnation last changed here. */
export interface EntryState {
  readonly record: EntryRecord;
  readonly statusSince: Instant;
  readonly incarnationSince: Instant;
  readonly hash: number;
}

/** A record of an upstream and when this process received it. */
export interface UpstreamState {
  readonly record: UpstreamRecord;
  readonly receivedAt: Instant;
  readonly hash: number;
}

/** A probe in progress. */
export interface Probe {
  readonly target: EntryId;
  readonly sequence: number;
  readonly sentAt: Instant;
  /** Whether indirect probes have been requested. */
  readonly indirect: boolean;
}

/** A probe that this entry performs on behalf of another one. */
export interface IndirectProbe {
  /** The entry that requested the probe; it receives the ack. */
  readonly origin: Address;
  readonly originSequence: number;
  readonly sentAt: Instant;
}

/** A renewal that was forwarded to the lease holder. */
export interface ForwardedRenewal {
  readonly sentAt: Instant;
  readonly confirmed: boolean;
}

/** When each periodic task last ran. */
export interface Schedule {
  readonly tickedAt: Instant;
  readonly probedAt: Instant;
  readonly gossipedAt: Instant;
  readonly reconnectedAt: Instant;
  /** When a record last changed; anti-entropy waits until gossip has spread the change. */
  readonly changedAt: Instant;
}

/** Complete membership state of one entry. */
export interface MembershipState {
  readonly self: EntryId;
  readonly seeds: readonly Address[];
  readonly intervals: MembershipIntervals;
  readonly entries: ReadonlyMap<EntryId, EntryState>;
  readonly upstreams: ReadonlyMap<string, UpstreamState>;
  /** When each upstream whose lease this entry holds last renewed it. */
  readonly leases: ReadonlyMap<string, Instant>;
  /** The last renewal forwarded for each upstream, by upstream id. */
  readonly forwardedRenewals: ReadonlyMap<string, ForwardedRenewal>;
  /** Remaining number of gossip transmissions of each changed record, by key. */
  readonly pendingUpdates: ReadonlyMap<string, number>;
  readonly probe: Probe | undefined;
  /** Indirect probes in progress, by the sequence number of their ping. */
  readonly indirectProbes: ReadonlyMap<number, IndirectProbe>;
  /** Entries not yet probed in the current round. */
  readonly probeQueue: readonly EntryId[];
  /** Sequence number of the last ping. */
  readonly sequence: number;
  readonly schedule: Schedule;
  readonly quarantine: QuarantineState;
  /** Seeds that have not sent a copy yet; undefined once this entry has joined. */
  readonly awaitedSeeds: readonly Address[] | undefined;
  /** Upstreams that are currently listed. */
  readonly listed: readonly UpstreamState[];
}

/** Inputs of {@link decideMembership}. */
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
      /** Whether nothing was listening at the upstream's address right after the crash. */
      readonly ended: boolean;
      readonly now: Instant;
    }
  | { readonly kind: 'cleared'; readonly fingerprint: string; readonly now: Instant };

/** Side effects that the shell (the I/O layer) performs. */
export type MembershipEffect =
  | { readonly kind: 'send'; readonly to: Address; readonly message: MembershipMessage }
  | { readonly kind: 'upstreamsChanged' }
  | { readonly kind: 'entriesChanged' }
  /** This entry has received a whole copy of the records, or no seed is left to ask. */
  | { readonly kind: 'joined' }
  | {
      readonly kind: 'condemned';
      readonly fingerprints: readonly string[];
      readonly until: Instant;
    }
  /** Successes of requests with these fingerprints must be reported from now on. */
  | { readonly kind: 'suspectsChanged'; readonly fingerprints: readonly string[] };
