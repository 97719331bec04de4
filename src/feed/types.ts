/**
 * The messages that bring the catalog from control members to entries. Invariant: an entry's index never
 * falls within one life of its process, so it never acts on an older state than it has acted on.
 */
import type { EvidenceRow } from '../rollout/index.js';
import type { Payload } from './codec.js';
import type { Address, Duration, ZoneId } from '../model/index.js';

/** The mesh channel of the feed. */
export const FEED_CHANNEL = 'feed';

/** What an entry tells of itself. */
export interface EntryRecord {
  readonly id: string;
  readonly zone: ZoneId;
  /** Where callers connect. */
  readonly callerAddress: Address;
  /** Where the other processes of the site send. */
  readonly peerAddress: Address;
  /** Processor share of its VM. */
  readonly capacity: number;
  /** Whether it takes callers. */
  readonly ready: boolean;
}

/** What entries and control members tell each other. */
export type FeedMessage =
  /** An entry asks for what is new after `index`. */
  | {
      readonly kind: 'follow';
      readonly entry: EntryRecord;
      readonly index: number;
      readonly fleetRevision: string;
      readonly evidence: readonly EvidenceRow[];
    }
  /** A control member's answer, sent unasked too when a command is applied. */
  | {
      readonly kind: 'news';
      /** Whether the member takes part in a group that has a leader. */
      readonly healthy: boolean;
      /** The whole state, for an entry that is too far behind. */
      readonly base: { readonly index: number; readonly state: Payload } | undefined;
      /** The index after which `commands` has every command. */
      readonly after: number;
      readonly commands: Payload | undefined;
      /** Milliseconds that each cold instance stays cold. */
      readonly cold: Readonly<Record<string, Duration>>;
      readonly fleet:
        { readonly revision: string; readonly entries: readonly EntryRecord[] } | undefined;
      readonly members: readonly Address[];
    }
  /** A control member tells the others which entries follow it. */
  | {
      readonly kind: 'followers';
      readonly entries: readonly (readonly [entry: EntryRecord, age: Duration])[];
    }
  /** A control member hands evidence of its followers to the leader. */
  | { readonly kind: 'evidence'; readonly rows: readonly EvidenceRow[] }
  /** A process without state asks which control members there are. */
  | { readonly kind: 'find' }
  | ({ readonly kind: 'found' } & GroupStatus);

/** What a control member knows of its group. */
export interface GroupStatus {
  readonly members: readonly Address[];
  /** Whether the member takes part in a group that has a leader. */
  readonly healthy: boolean;
  readonly leader: Address | undefined;
}
