/**
 * Types of the answers to operators' calls. Invariant: `notLeader` and `unavailable` are returned only if
 * nothing was run.
 */
import type { AwaitedEntry, EntryReport } from '../distribution/index.js';
import type { CommandStatus, LogRecord, Move, Outcome } from '../intent/index.js';
import type { Address, Selector, Upstream, ZoneId } from '../model/index.js';

/** The control member could not answer; another member may be able to. */
export type UnavailableAnswer =
  | { readonly kind: 'notLeader'; readonly leader: Address | undefined }
  | { readonly kind: 'unavailable'; readonly remedy: string };

/** Answer to a submitted command. */
export type SubmitAnswer =
  | { readonly kind: 'outcome'; readonly outcome: Outcome }
  /** The command may or may not have been committed; submit it again under the same id. */
  | { readonly kind: 'unknown' }
  | UnavailableAnswer;

/** Status of a command, and the entries that don't apply its revision yet. */
export type StatusAnswer =
  | {
      readonly kind: 'status';
      readonly status: CommandStatus;
      readonly awaited: readonly AwaitedEntry[];
    }
  | UnavailableAnswer;

/** State of one availability zone. */
export interface ZoneReport {
  readonly zone: ZoneId;
  readonly out: boolean;
  readonly entries: number;
}

/** State of one control member. */
export interface MemberReport {
  readonly address: Address;
  /** Whether it counts towards majorities; a member that is still catching up does not. */
  readonly voter: boolean;
  readonly leader: boolean;
}

/** State of the site that `chivewalk show` can print. */
export interface SiteReport {
  readonly revision: number;
  readonly inForce: number;
  readonly awaited: readonly AwaitedEntry[];
  readonly zones: readonly ZoneReport[];
  readonly moves: readonly Move[];
  readonly entries: readonly EntryReport[];
  readonly members: readonly MemberReport[];
  readonly leaving: readonly Selector[];
  readonly upstreams: readonly Upstream[];
}

/** Answer to a request for the current state of the site. */
export type ShowAnswer = { readonly kind: 'site'; readonly site: SiteReport } | UnavailableAnswer;

/** Answer to a request for log records. */
export type LogAnswer =
  { readonly kind: 'log'; readonly records: readonly LogRecord[] } | UnavailableAnswer;

/** Answer to a requested change of the control members. */
export type ChangeAnswer =
  | { readonly kind: 'committed'; readonly index: number }
  | { readonly kind: 'refused'; readonly remedy: string }
  /** The change may or may not have been committed; check the list of members. */
  | { readonly kind: 'unknown' }
  | UnavailableAnswer;
