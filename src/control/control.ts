/**
 * The public types of the control members' agreement. Invariant: an outcome says `committed` only for a
 * command that is durable at a majority, and `notLeader` only for one that will never be applied.
 */
import type { Address, Duration, Instant } from '../model/index.js';
import type { Mesh } from '../wire/index.js';
import type { Member } from '../generated/control.js';
import type { FileSystem } from './files.js';
import type { Timings } from './types.js';

/** The state machine that every member runs over the same commands; it is pure and deterministic. */
export interface StateMachine<S> {
  readonly initial: S;
  apply(state: S, command: unknown, index: number): { readonly state: S; readonly result: unknown };
  encode(state: S): Uint8Array;
  decode(bytes: Uint8Array): S;
}

/** Something that an operator should know. */
export interface ControlProblem {
  readonly kind: 'damaged' | 'torn' | 'writeFailed' | 'strangeFolder' | 'halted' | 'repaired';
  /** Names the remedy where there is one. */
  readonly message: string;
}

/** What {@link openControl} needs to know. */
export interface ControlOptions<S> {
  readonly address: Address;
  /** The addresses of the group, this member's among them. */
  readonly members: readonly Address[];
  /** Whether this member, with an empty folder, joins a group that exists. */
  readonly join: boolean;
  readonly dataFolder: string;
  readonly mesh: Mesh;
  readonly machine: StateMachine<S>;
  readonly timings?: Timings;
  /** Entries after which the state is saved as a snapshot. */
  readonly compactAfter?: number;
  readonly onProblem?: (problem: ControlProblem) => void;
  /** A monotonic clock in milliseconds. */
  readonly clock?: () => Instant;
  /** Returns numbers from 0 to 1, exclusive. */
  readonly random?: () => number;
  readonly files?: FileSystem;
}

/** What became of a proposal. */
export type ProposeOutcome =
  | { readonly kind: 'committed'; readonly index: number; readonly result: unknown }
  /** The command was not accepted and never will be. */
  | { readonly kind: 'notLeader'; readonly leader: Address | undefined }
  /** The command may or may not be committed; ask again with the same command id. */
  | { readonly kind: 'unknown' }
  | { readonly kind: 'unavailable'; readonly remedy: string };

/** What became of a read. */
export type ReadOutcome<S> =
  | { readonly kind: 'current'; readonly state: S; readonly index: number }
  | { readonly kind: 'notLeader'; readonly leader: Address | undefined }
  | { readonly kind: 'unavailable'; readonly remedy: string };

/** A change of members. */
export interface MemberChange {
  readonly kind: 'add' | 'remove';
  readonly address: Address;
}

/** What became of a change of members. */
export type ChangeOutcome =
  | { readonly kind: 'committed'; readonly index: number }
  | { readonly kind: 'notLeader'; readonly leader: Address | undefined }
  | { readonly kind: 'refused'; readonly remedy: string }
  | { readonly kind: 'unknown' }
  | { readonly kind: 'unavailable'; readonly remedy: string };

/** What a member knows of itself and its group. */
export interface ControlStatus {
  readonly role: 'newborn' | 'follower' | 'candidate' | 'leader' | 'failed';
  readonly term: number;
  readonly leader: Address | undefined;
  readonly commitIndex: number;
  readonly lastIndex: number;
  readonly members: readonly Member[];
  /** On the leader: milliseconds since each other member last answered. */
  readonly silences: readonly (readonly [member: Address, silence: Duration])[];
  /** Whether it votes and acknowledges, and knows a leader. */
  readonly healthy: boolean;
  /** The latest problem, if the member is not healthy. */
  readonly problem: string | undefined;
}

/** Hears of a new state; `command` is undefined after a snapshot was restored. */
export type AppliedListener<S> = (state: S, index: number, command: unknown) => void;

/** One control member. */
export interface ControlNode<S> {
  propose(command: unknown, deadlineMs: Duration): Promise<ProposeOutcome>;
  /** Answers with a state that was current at some moment after the call. */
  readCurrent(deadlineMs: Duration): Promise<ReadOutcome<S>>;
  readonly status: ControlStatus;
  /** The state applied here, which may be stale. */
  readonly applied: S;
  /** The index of the last entry in {@link applied}. */
  readonly appliedIndex: number;
  /** Calls the listener after each applied command, and after a snapshot was restored. */
  onApplied(listener: AppliedListener<S>): void;
  /** Calls the listener at each greeting of a process that asks to be admitted to the group. */
  onJoinRequest(listener: (address: Address) => void): void;
  /** Tells whether this member led at some moment after the call; count a lease from the call. */
  confirmLeadership(): Promise<boolean>;
  changeMembers(change: MemberChange): Promise<ChangeOutcome>;
  /** Hands leadership over if it leads, and stops. */
  close(): Promise<void>;
}
