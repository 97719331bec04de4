/**
 * Public types of the control group's consensus. Invariant: an outcome is `committed` only for a command that
 * is durable on a majority, and `notLeader` only for one that will never be applied.
 */
import type { Address, Duration, Instant } from '../model/index.js';
import type { Mesh } from '../wire/index.js';
import type { Member } from '../generated/control.js';
import type { CompactionReason } from './compaction.js';
import type { FileSystem } from './files.js';
import type { Timings } from './types.js';

/** The replicated state machine. It is pure and deterministic, as every member applies the same commands. */
export interface StateMachine<S> {
  readonly initial: S;
  apply(state: S, command: unknown, index: number): { readonly state: S; readonly result: unknown };
  encode(state: S): Uint8Array;
  decode(bytes: Uint8Array): S;
}

/** A problem to report to the operator. */
export interface ControlProblem {
  readonly kind:
    'damaged' | 'torn' | 'writeFailed' | 'strangeFolder' | 'halted' | 'repaired' | 'electedByHalf';
  /** Includes the remedy if there is one. */
  readonly message: string;
}

/** A snapshot that a member saves, and why. */
export interface SnapshotReport {
  readonly reason: CompactionReason;
  /** Index of the last entry that the snapshot covers. */
  readonly index: number;
  /** Bytes of the log before the snapshot. */
  readonly logBytes: number;
  /** Bytes of the snapshot. */
  readonly stateBytes: number;
}

/** Options of {@link openControl}. */
export interface ControlOptions<S> {
  readonly address: Address;
  /** The addresses of the group, including this member's own. */
  readonly members: readonly Address[];
  /** Whether this member, whose data folder is empty, joins an existing group. */
  readonly join: boolean;
  readonly dataFolder: string;
  readonly mesh: Mesh;
  readonly machine: StateMachine<S>;
  readonly timings?: Timings;
  /** Number of applied entries after which a snapshot is saved. */
  readonly compactAfter?: number;
  readonly onProblem?: (problem: ControlProblem) => void;
  /** Called when a member begins to save a snapshot of its own state. */
  readonly onSnapshot?: (snapshot: SnapshotReport) => void;
  /** A monotonic clock in milliseconds. */
  readonly clock?: () => Instant;
  /** Returns a number that is at least 0 and less than 1. */
  readonly random?: () => number;
  readonly files?: FileSystem;
}

/** The outcome of a proposal. */
export type ProposeOutcome =
  | { readonly kind: 'committed'; readonly index: number; readonly result: unknown }
  /** The command was not accepted and will never be applied. */
  | { readonly kind: 'notLeader'; readonly leader: Address | undefined }
  /** The command may or may not be committed; retry it with the same command id. */
  | { readonly kind: 'unknown' }
  | { readonly kind: 'unavailable'; readonly remedy: string };

/** The outcome of a read. */
export type ReadOutcome<S> =
  | { readonly kind: 'current'; readonly state: S; readonly index: number }
  | { readonly kind: 'notLeader'; readonly leader: Address | undefined }
  | { readonly kind: 'unavailable'; readonly remedy: string };

/** A membership change. */
export interface MemberChange {
  readonly kind: 'add' | 'remove';
  readonly address: Address;
}

/** The outcome of a membership change. */
export type ChangeOutcome =
  | { readonly kind: 'committed'; readonly index: number }
  | { readonly kind: 'notLeader'; readonly leader: Address | undefined }
  | { readonly kind: 'refused'; readonly remedy: string }
  | { readonly kind: 'unknown' }
  | { readonly kind: 'unavailable'; readonly remedy: string };

/** Status of a member and of its group, as the member sees it. */
export interface ControlStatus {
  /** `newborn` until the member belongs to a group. */
  readonly role: 'newborn' | 'follower' | 'candidate' | 'leader' | 'failed';
  readonly term: number;
  readonly leader: Address | undefined;
  readonly commitIndex: number;
  readonly lastIndex: number;
  /** Bytes that the log takes in memory, approximately. */
  readonly logBytes: number;
  readonly members: readonly Member[];
  /** Log index at which the membership took effect; 0 before the first one. */
  readonly membersIndex: number;
  /** Milliseconds since an instant at which the applied state was certainly current; Infinity if none is known. */
  readonly age: Duration;
  /** On the leader: milliseconds since the start of the latest round that each other member answered. */
  readonly silences: readonly (readonly [member: Address, silence: Duration])[];
  /** On the leader: the voters that answer and hold every committed entry, itself among them. */
  readonly currentVoters: number | undefined;
  /** Whether the member knows a leader and is neither failed, nor halted, nor under repair. */
  readonly healthy: boolean;
  /** Whether the group has committed that this member votes. A member that replaces another does not at first. */
  readonly isVoter: boolean;
  /** The latest reported problem; cleared when the member joins a group or its log is repaired. */
  readonly problem: string | undefined;
}

/**
 * Called with each new state; `command` is undefined after a snapshot was restored, and `bytes` is the size of the
 * encoded command.
 */
export type AppliedListener<S> = (state: S, index: number, command: unknown, bytes: number) => void;

/** Handle of the local control member. */
export interface ControlNode<S> {
  propose(command: unknown, deadlineMs: Duration): Promise<ProposeOutcome>;
  /** Linearizable read: returns a state that was current at some point after the call. */
  readCurrent(deadlineMs: Duration): Promise<ReadOutcome<S>>;
  readonly status: ControlStatus;
  /** The state applied on this member, which may be stale. */
  readonly applied: S;
  /** The index of the last entry in {@link applied}. */
  readonly appliedIndex: number;
  /** Calls the listener after each applied command, and after a snapshot was restored. */
  onApplied(listener: AppliedListener<S>): void;
  /** Calls the listener at each `hello` of a process that asks to join the group. */
  onJoinRequest(listener: (address: Address) => void): void;
  /** Tells a member that waits to be admitted the present members of the group, so that it asks these too. */
  addKnownMembers(members: readonly Address[]): void;
  /** Returns whether this member was leader at some point after the call; a lease counts from the call. */
  confirmLeadership(): Promise<boolean>;
  changeMembers(change: MemberChange): Promise<ChangeOutcome>;
  /** Transfers leadership if this member is the leader, and stops. */
  close(): Promise<void>;
}
