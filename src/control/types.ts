/**
 * Events, effects and state of the consensus core. Invariant: an effect `send` that acknowledges or
 * votes is emitted only after every write that it depends on was reported as synced.
 */
import type { Duration, Instant, Transition } from '../model/index.js';
import type {
  ControlMessage,
  LogEntry,
  MemberId,
  Membership,
  Snapshot,
} from '../generated/control.js';
import type { Log } from './log.js';

export type { ControlMessage, LogEntry, MemberId, Membership, Snapshot };

/** Timings of the protocol in milliseconds. */
export interface Timings {
  /** Between two heartbeats of a leader in a group of up to three voters. */
  readonly heartbeat: Duration;
  /** Between two heartbeats in a larger group. */
  readonly largeGroupHeartbeat: Duration;
  /** The shortest time without a leader before a member stands for election. */
  readonly electionMin: Duration;
  /** The longest such time. */
  readonly electionMax: Duration;
  /**
   * The longest time between the start of a member and its first election. Members that all start at once
   * needn't wait for a leader that none of them has; a leader that lives is not disturbed by it.
   */
  readonly firstElectionMax?: Duration;
}

/** The timings that the budgets of traffic and of leader loss are met with. */
export const defaultTimings: Timings = {
  heartbeat: 250,
  largeGroupHeartbeat: 500,
  electionMin: 1200,
  electionMax: 2400,
};

/** A change of members that an operator asked for. */
export type MembershipChange =
  | { readonly kind: 'admit'; readonly id: MemberId }
  | { readonly kind: 'remove'; readonly address: string };

/** What happened, without its time. */
export type ConsensusInput =
  /** The group came to be with these members, and this one among them. */
  | { readonly kind: 'founded'; readonly founders: readonly MemberId[] }
  | { readonly kind: 'ticked' }
  | { readonly kind: 'woke' }
  | { readonly kind: 'messageArrived'; readonly from: MemberId; readonly message: ControlMessage }
  | { readonly kind: 'proposed'; readonly proposal: number; readonly command: Uint8Array }
  | {
      readonly kind: 'membershipProposed';
      readonly proposal: number;
      readonly change: MembershipChange;
    }
  /** A member with a new identity asked to replace the one at its address. */
  | { readonly kind: 'joinRequested'; readonly id: MemberId }
  | { readonly kind: 'readRequested'; readonly read: number }
  | { readonly kind: 'transferRequested' }
  | { readonly kind: 'synced'; readonly write: number }
  | { readonly kind: 'storageFailed' }
  | { readonly kind: 'compacted'; readonly index: number; readonly data: Uint8Array };

/** What the consensus core is told. `random` is from 0 to 1, exclusive. */
export type ConsensusEvent = ConsensusInput & { readonly now: Instant; readonly random: number };

/** Why a proposal was certainly not accepted. */
export type RefusalReason =
  | 'notLeader'
  | 'changePending'
  | 'notMember'
  | 'alreadyMember'
  | 'tooMany'
  | 'lastVoter'
  | 'fewAnswer';

/** What the shell must carry out, in the order given. */
export type ConsensusEffect =
  | { readonly kind: 'send'; readonly to: MemberId; readonly message: ControlMessage }
  | {
      readonly kind: 'writeVote';
      readonly write: number;
      readonly term: number;
      readonly votedFor: MemberId | undefined;
      readonly repairing: boolean;
    }
  /** Replaces every saved entry from the first index on. */
  | { readonly kind: 'writeEntries'; readonly write: number; readonly entries: readonly LogEntry[] }
  /** `resetsLog` says that saved entries after the snapshot do not follow from it. */
  | {
      readonly kind: 'writeSnapshot';
      readonly write: number;
      readonly snapshot: Snapshot;
      readonly resetsLog: boolean;
    }
  | { readonly kind: 'apply'; readonly entries: readonly LogEntry[] }
  | { readonly kind: 'restore'; readonly snapshot: Snapshot }
  | {
      readonly kind: 'accepted';
      readonly proposal: number;
      readonly index: number;
      readonly term: number;
    }
  | { readonly kind: 'refused'; readonly proposal: number; readonly reason: RefusalReason }
  | { readonly kind: 'readConfirmed'; readonly read: number; readonly index: number }
  | { readonly kind: 'readRefused'; readonly read: number }
  | { readonly kind: 'repaired' };

/** What a leader knows of another member. */
export interface Progress {
  /** Highest index known to be durable there and equal to the leader's. */
  readonly matchIndex: number;
  /** The next index to send. */
  readonly nextIndex: number;
  /** When the latest round that it answered was started. */
  readonly lastContactAt: Instant;
  /** The latest round that it answered. */
  readonly round: number;
  readonly snapshot: SnapshotProgress | undefined;
}

/** How much of a snapshot a member has. */
export interface SnapshotProgress {
  readonly index: number;
  readonly offset: number;
  readonly sentAt: Instant;
}

/** A read that waits until a majority confirmed the leader after it was asked. */
export interface PendingRead {
  readonly read: number;
  readonly index: number;
  /** The first round started after the read; undefined until it starts. */
  readonly round: number | undefined;
}

/** What only a leader keeps. */
export interface LeaderRole {
  readonly kind: 'leader';
  readonly progress: ReadonlyMap<MemberId, Progress>;
  /** Index of the first entry of its term. */
  readonly termStart: number;
  /** Number of the latest heartbeat round. */
  readonly round: number;
  /** When the latest rounds were started, oldest first. */
  readonly rounds: readonly { readonly round: number; readonly startedAt: Instant }[];
  readonly reads: readonly PendingRead[];
  readonly heartbeatDue: Instant;
  readonly transfer: { readonly to: MemberId; readonly until: Instant } | undefined;
}

/** What a member is at the moment. */
export type Role =
  | { readonly kind: 'follower'; readonly leader: MemberId | undefined }
  | { readonly kind: 'preCandidate'; readonly granted: readonly MemberId[] }
  | { readonly kind: 'candidate'; readonly granted: readonly MemberId[] }
  | LeaderRole;

/** A message that waits until a write is durable. */
export interface DeferredMessage {
  readonly write: number;
  readonly to: MemberId;
  readonly message: ControlMessage;
}

/** A write that is not known to be durable; `lastIndex` is set if it changed the log. */
export interface PendingWrite {
  readonly write: number;
  readonly lastIndex: number | undefined;
}

/** A snapshot that is arriving. */
export interface IncomingSnapshot {
  readonly index: number;
  readonly term: number;
  readonly chunks: readonly Uint8Array[];
  readonly received: number;
}

/** A member that lost records neither votes nor stands until its log reaches the target. */
export interface Repair {
  /** Tells answers to this start's requests from older ones. */
  readonly nonce: string;
  readonly target: number | undefined;
  readonly nextRequestAt: Instant;
}

/** The whole state of the core. */
export interface ConsensusState {
  readonly self: MemberId;
  readonly timings: Timings;
  readonly now: Instant;
  readonly random: number;
  readonly term: number;
  readonly votedFor: MemberId | undefined;
  readonly role: Role;
  readonly log: Log;
  /** The members in effect and the index that set them. */
  readonly membership: Membership;
  readonly membershipIndex: number;
  readonly commitIndex: number;
  readonly snapshot: Snapshot | undefined;
  readonly incoming: IncomingSnapshot | undefined;
  /** Highest index of the log that is durable here. */
  readonly durableIndex: number;
  readonly nextWrite: number;
  readonly pendingWrites: readonly PendingWrite[];
  readonly deferred: readonly DeferredMessage[];
  readonly electionDue: Instant;
  /** When a leader was last heard. */
  readonly lastLeaderContactAt: Instant;
  readonly repair: Repair | undefined;
  /** Whether the storage failed, so that this member takes no part until it is restarted. */
  readonly failed: boolean;
}

/** A state and the effects on the way to it. */
export type Step = Transition<ConsensusState, ConsensusEffect>;
