/**
 * Messages of the feed, which distributes the catalog from control members to entries. Invariant: an entry's
 * index never decreases while its process runs, so it never acts on an older state than before.
 */
import type { EvidenceRow } from '../rollout/index.js';
import type { UsageDelivery, UsageReceipt } from '../usage/index.js';
import type { Payload } from './codec.js';
import type { Address, Duration, Instant, ZoneId } from '../model/index.js';

/** The mesh channel of the feed. */
export const FEED_CHANNEL = 'feed';

/** An entry's description of itself. */
export interface EntryRecord {
  readonly id: string;
  readonly zone: ZoneId;
  /** Address that callers connect to. */
  readonly callerAddress: Address;
  /** Address that the site's other processes send to. */
  readonly peerAddress: Address;
  /** Capacity of the entry: the processor share of its VM. */
  readonly capacity: number;
  /** Whether the entry accepts callers. */
  readonly ready: boolean;
}

/** An update of a follower's list of live entries. `revision` is a digest of the resulting list. */
export type FleetUpdate =
  | {
      readonly kind: 'whole';
      readonly revision: string;
      readonly entries: readonly EntryRecord[];
    }
  /** The difference from the list with the revision `base`. */
  | {
      readonly kind: 'difference';
      readonly base: string;
      readonly revision: string;
      readonly changed: readonly EntryRecord[];
      /** Ids of the entries that are no longer listed. */
      readonly removed: readonly string[];
    }
  /** One of the others, compressed. */
  | { readonly kind: 'packed'; readonly revision: string; readonly update: Payload };

/** Messages between entries and control members. */
export type FeedMessage =
  /** A poll of an entry for the commands after `index`. */
  | {
      readonly kind: 'follow';
      readonly entry: EntryRecord;
      readonly index: number;
      readonly fleetRevision: string;
      readonly evidence: readonly EvidenceRow[];
      /** When it was sent, on the sender's clock. */
      readonly sentAt?: Instant;
      /** Usage counts that aren't known to be committed; only where usage is reported, and when some are due. */
      readonly usage?: UsageDelivery;
    }
  /** An update: the answer to a poll, also sent without a poll when a command is applied. */
  | {
      readonly kind: 'news';
      /** Whether the sender is a member of a group that has a leader. */
      readonly healthy: boolean;
      /** The whole state, for an entry that lags too far behind. */
      readonly base: { readonly index: number; readonly state: Payload } | undefined;
      /** The log index after which `commands` holds every command. */
      readonly after: number;
      readonly commands: Payload | undefined;
      /** Milliseconds for which each cold instance stays cold; filled only together with `base`. */
      readonly cold: Readonly<Record<string, Duration>>;
      readonly fleet: FleetUpdate | undefined;
      readonly members: readonly Address[];
      readonly membersIndex?: number;
      readonly age?: Duration | undefined;
      /** `sentAt` of the receiver's last poll. */
      readonly echo?: Instant | undefined;
      /** Which of the receiver's usage counts are committed, once for each delivery. */
      readonly usage?: UsageReceipt;
    }
  /** A control member's followers, sent to the other members. */
  | {
      readonly kind: 'followers';
      /** The digest of the sender's list of followers. */
      readonly revision: string;
      /** The change of the list since the last message to this member, if any. */
      readonly update: FleetUpdate | undefined;
      /** Ids of followers that did not poll just now, with the milliseconds since their last poll. */
      readonly silent: readonly (readonly [id: string, age: Duration])[];
    }
  /** A request for the whole list of the receiver's followers, as the last change is missing. */
  | { readonly kind: 'findFollowers' }
  /** Evidence from a control member's followers, sent to the leader. */
  | { readonly kind: 'evidence'; readonly rows: readonly EvidenceRow[] }
  /** Usage counts of a control member's follower, sent to the leader. */
  | { readonly kind: 'usage'; readonly delivery: UsageDelivery }
  /** A request for the members of the group, from a process without state or with an old one. */
  | { readonly kind: 'find'; readonly sentAt?: Instant }
  /** `hasDisk` tells whether the sender may be a member, `isFounding` whether it founds the group and has none yet. */
  | ({
      readonly kind: 'found';
      readonly hasDisk: boolean;
      readonly isFounding?: boolean;
    } & GroupStatus);

/** The status of the group, as known to one process. Fields that it can't tell are absent. */
export interface GroupStatus {
  readonly members: readonly Address[];
  /** Log index of the membership that `members` lists. */
  readonly membersIndex?: number;
  /** Log index of the last command in the sender's catalog. */
  readonly index?: number;
  /** Milliseconds since an instant at which the sender's catalog was certainly current. */
  readonly age?: Duration | undefined;
  /** `sentAt` of the request that this answers. */
  readonly echo?: Instant | undefined;
  /** Whether the member is part of a group that has a leader. */
  readonly healthy: boolean;
  readonly leader: Address | undefined;
}
