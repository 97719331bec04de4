/** What operators are answered. Invariant: `notLeader` and `unavailable` say that nothing was run. */
import type { AwaitedEntry, EntryReport } from '../distribution/index.js';
import type { CommandStatus, LogRecord, Move, Outcome } from '../intent/index.js';
import type { Address, Selector, Upstream, ZoneId } from '../model/index.js';

/** The member could not answer; another one may. */
export type UnavailableAnswer =
  | { readonly kind: 'notLeader'; readonly leader: Address | undefined }
  | { readonly kind: 'unavailable'; readonly remedy: string };

/** What became of a command that was submitted. */
export type SubmitAnswer =
  | { readonly kind: 'outcome'; readonly outcome: Outcome }
  /** It may or may not be accepted; submit it again under the same id. */
  | { readonly kind: 'unknown' }
  | UnavailableAnswer;

/** How a command stands. */
export type StatusAnswer =
  | {
      readonly kind: 'status';
      readonly status: CommandStatus;
      readonly awaited: readonly AwaitedEntry[];
    }
  | UnavailableAnswer;

/** One availability zone. */
export interface ZoneReport {
  readonly zone: ZoneId;
  readonly out: boolean;
  readonly entries: number;
}

/** One control member. */
export interface MemberReport {
  readonly address: Address;
  /** Whether it counts in majorities; a member that is still learning does not. */
  readonly voter: boolean;
  readonly leader: boolean;
}

/** All that can be shown. */
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

/** The site as it stands. */
export type ShowAnswer = { readonly kind: 'site'; readonly site: SiteReport } | UnavailableAnswer;

/** Records of the log. */
export type LogAnswer =
  { readonly kind: 'log'; readonly records: readonly LogRecord[] } | UnavailableAnswer;

/** What became of a change of the control members. */
export type ChangeAnswer =
  | { readonly kind: 'committed'; readonly index: number }
  | { readonly kind: 'refused'; readonly remedy: string }
  /** It may or may not be agreed; look at the members. */
  | { readonly kind: 'unknown' }
  | UnavailableAnswer;
