/**
 * Events, effects and state of the consensus core. Invariant: a `send` effect that acknowledges entries or
 * grants a vote is emitted only after every write that it depends on was reported as synced.
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
  /** Heartbeat interval of a leader in a group of up to three voters. */
  readonly heartbeat: Duration;
  /** Heartbeat interval in a larger group. */
  readonly largeGroupHeartbeat: Duration;
  /** Lower bound of the randomized election timeout. */
  readonly electionMin: Duration;
  /** Upper bound of the randomized election timeout. */
  readonly electionMax: Duration;
  /**
   * Upper bound of the first election timeout after a member starts. Members that all start at the same
   * time have no leader to wait for, so it can be short. Pre-vote keeps it from disturbing a live leader.
   */
  readonly firstElectionMax?: Duration;
}

/** Default timings, which keep the traffic and the time without a leader within their budgets. */
export const defaultTimings: Timings = {
  heartbeat: 250,
  largeGroupHeartbeat: 500,
  electionMin: 1200,
  electionMax: 2400,
};

/** A membership change requested by an operator. */
export type MembershipChange =
  | { readonly kind: 'admit'; readonly id: MemberId }
  | { readonly kind: 'remove'; readonly address: string };

/** Inputs of the consensus core, without the time. */
export type ConsensusInput =
  /** The group was founded with these members, and this member is one of them. */
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
  /** A member with a new identity asks to replace the member at its address. */
  | { readonly kind: 'joinRequested'; readonly id: MemberId }
  | { readonly kind: 'readRequested'; readonly read: number }
  | { readonly kind: 'transferRequested' }
  | { readonly kind: 'synced'; readonly write: number }
  | { readonly kind: 'storageFailed' }
  | { readonly kind: 'compacted'; readonly index: number; readonly data: Uint8Array };

/** Inputs of {@link decideConsensus}. `random` is at least 0 and less than 1. */
export type ConsensusEvent = ConsensusInput & {
  readonly now: Instant;
  readonly random: number;
  /** The time on a clock that runs on while the VM is suspended; `now` by default. */
  readonly steadyNow?: Instant;
};

/** Why a proposal was refused. A refused proposal is never applied. */
export type RefusalReason =
  | 'notLeader'
  | 'overloaded'
  | 'changePending'
  | 'notMember'
  | 'alreadyMember'
  | 'tooMany'
  | 'lastVoter'
  | 'fewAnswer';

/** Side effects that the shell (the I/O layer) performs, in the given order. */
export type ConsensusEffect =
  | { readonly kind: 'send'; readonly to: MemberId; readonly message: ControlMessage }
  | {
      readonly kind: 'writeVote';
      readonly write: number;
      readonly term: number;
      readonly votedFor: MemberId | undefined;
      readonly repairing: boolean;
    }
  /** Replaces every stored entry from the index of the first one on. */
  | { readonly kind: 'writeEntries'; readonly write: number; readonly entries: readonly LogEntry[] }
  /** `resetsLog` is set if the stored entries after the snapshot don't continue it and must be dropped. */
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
  | { readonly kind: 'repaired' }
  /** This member leads by the votes of half of the voters, and replaces the lost ones by their successors. */
  | { readonly kind: 'electedByHalf'; readonly lost: readonly MemberId[] };

/** Replication progress of another member, as tracked by the leader. */
export interface Progress {
  /** Highest index known to be durable on the member and equal to the leader's log. */
  readonly matchIndex: number;
  /** Index of the next entry to send. */
  readonly nextIndex: number;
  /** Start time of the latest heartbeat round that the member answered. */
  readonly lastContactAt: Instant;
  /** The latest heartbeat round that the member answered. */
  readonly round: number;
  /** When the member made its latest reply, on its own clock. */
  readonly echo: Instant | undefined;
  readonly snapshot: SnapshotProgress | undefined;
}

/** Progress of a snapshot transfer to a member. */
export interface SnapshotProgress {
  readonly index: number;
  readonly offset: number;
  readonly sentAt: Instant;
}

/** A linearizable read, pending until a majority answers a round that was started after the request. */
export interface PendingRead {
  readonly read: number;
  readonly index: number;
  /** The first round started after the read was requested; undefined until it starts. */
  readonly round: number | undefined;
}

/** State that only a leader has. */
export interface LeaderRole {
  readonly kind: 'leader';
  /** Voters that were known to be lost when the votes for this leader were requested. */
  readonly lost: readonly MemberId[];
  readonly progress: ReadonlyMap<MemberId, Progress>;
  /** Index of the first entry of the leader's term. */
  readonly termStart: number;
  /** Number of the latest heartbeat round. */
  readonly round: number;
  /** Start times of the latest rounds, oldest first. */
  readonly rounds: readonly {
    readonly round: number;
    readonly startedAt: Instant;
    /** The start on the clock that runs on while the VM is suspended. */
    readonly steadyAt: Instant;
  }[];
  readonly reads: readonly PendingRead[];
  readonly heartbeatDue: Instant;
  readonly transfer: { readonly to: MemberId; readonly until: Instant } | undefined;
}

/** The current Raft role of a member. */
export type Role =
  | { readonly kind: 'follower'; readonly leader: MemberId | undefined }
  | {
      readonly kind: 'preCandidate' | 'candidate';
      readonly granted: readonly MemberId[];
      /** Voters that were known to be lost when the votes were requested. */
      readonly lost: readonly MemberId[];
    }
  | LeaderRole;

/** A message that is held back until a write is durable. */
export interface DeferredMessage {
  readonly write: number;
  readonly to: MemberId;
  readonly message: ControlMessage;
}

/** A write that is not yet reported as synced; `lastIndex` is set if it changed the log. */
export interface PendingWrite {
  readonly write: number;
  readonly lastIndex: number | undefined;
}

/** A snapshot that is being received. */
export interface IncomingSnapshot {
  readonly index: number;
  readonly term: number;
  readonly chunks: readonly Uint8Array[];
  readonly received: number;
}

/** A member that lost log records neither votes nor stands for election until its log reaches the target. */
export interface Repair {
  /** Distinguishes replies to requests of this process start from replies to earlier ones. */
  readonly nonce: string;
  readonly target: number | undefined;
  readonly nextRequestAt: Instant;
}

/** A voter at whose address a process with an empty data folder asks to join. */
export interface LostVoter {
  readonly successor: MemberId;
  /** When the first and the latest request of the successor came. */
  readonly since: Instant;
  readonly lastHeardAt: Instant;
}

/** The complete state of the consensus core. */
export interface ConsensusState {
  readonly self: MemberId;
  readonly timings: Timings;
  readonly now: Instant;
  readonly random: number;
  /** The time, and when this process started, on the clock that runs on while the VM is suspended. */
  readonly steadyNow: Instant;
  readonly startedAt: Instant;
  /** The latest instant on that clock at which this member certainly held every committed entry. */
  readonly asOf: Instant;
  readonly term: number;
  readonly votedFor: MemberId | undefined;
  readonly role: Role;
  readonly log: Log;
  /** The membership in effect, and the index of the log entry or snapshot that set it. */
  readonly membership: Membership;
  readonly membershipIndex: number;
  /** The membership before the one in effect, if half of its voters may decide and the log doesn't show that this one is committed. */
  readonly previousMembership: Membership | undefined;
  /** Whether the voters are the founders, or an entry with the same voters follows the one that set them: half of them may decide. */
  readonly isSettled: boolean;
  readonly lostVoters: ReadonlyMap<MemberId, LostVoter>;
  readonly commitIndex: number;
  readonly snapshot: Snapshot | undefined;
  readonly incoming: IncomingSnapshot | undefined;
  /** Highest index of the log that is durable on this member. */
  readonly durableIndex: number;
  readonly nextWrite: number;
  readonly pendingWrites: readonly PendingWrite[];
  readonly deferred: readonly DeferredMessage[];
  readonly electionDue: Instant;
  /** When a message from a leader was last received. */
  readonly lastLeaderContactAt: Instant;
  readonly repair: Repair | undefined;
  /** Whether the storage failed. The member then stays passive until it is restarted. */
  readonly failed: boolean;
}

/** The result of a transition: the new state and the effects to perform. */
export type Step = Transition<ConsensusState, ConsensusEffect>;
