/**
 * Types of the claim protocol. Invariant: of all tokens for one key, at most one is granted within the
 * lifetime of a claim.
 */
import type { Address, Duration, EntryId, Instant } from '../model/index.js';
import type {
  ClaimRecord,
  ClaimsMessage,
  ClaimStatus,
  KeyRecords,
  StoredResponse,
  View,
} from '../generated/claims.js';
import type { ClaimTable } from './table.js';

/** Time limits of the protocol, in milliseconds. */
export interface ClaimTimes {
  /** Time for which a claimant keeps a claim. */
  readonly lifetime: Duration;
  /** Time for which a grant may be used, counted from the first message with its token. */
  readonly validity: Duration;
  /** Interval after which unanswered messages are retried. */
  readonly retryInterval: Duration;
  /** Wait after which, of two rival claims without a majority, the one with the greater token yields. */
  readonly conflictTimeout: Duration;
  /** Maximum time for which a claim waits for a majority of the claimants. */
  readonly maxWait: Duration;
  /** Time without contact to the configuration after which an entry stops recording claims. */
  readonly staleAfter: Duration;
}

/** Default time limits; the lifetime suits sites whose callers retry for less than nine minutes. */
export const defaultTimes: ClaimTimes = {
  lifetime: 600_000,
  validity: 5000,
  retryInterval: 60,
  conflictTimeout: 250,
  maxWait: 2000,
  staleAfter: 10_000,
};

/** A claimant's record of one token. */
export interface StoredClaim {
  readonly token: string;
  readonly digest: string;
  readonly status: ClaimStatus;
  readonly recordedAt: Instant;
  readonly runFor: Duration;
  readonly answer?: StoredResponse;
}

/** Result of claiming an idempotency key. */
export type ClaimResult =
  /** The request may be forwarded if its first byte is written before `validUntil`. */
  | { readonly kind: 'granted'; readonly token: string; readonly validUntil: Instant }
  /** The first request with this key has not ended. */
  | { readonly kind: 'running' }
  /** The first request with this key may have run, but its answer is not known. */
  | { readonly kind: 'unknown' }
  /** The first request with this key ended with this answer. */
  | ({ readonly kind: 'settled' } & StoredResponse)
  /** The key was used for another request. */
  | { readonly kind: 'mismatch' }
  /** No majority of the claimants answered; the key was not granted. */
  | { readonly kind: 'unavailable'; readonly reason: string };

/** How a request whose claim was granted ended. */
export type ClaimSettlement =
  | ({ readonly kind: 'answered' } & StoredResponse)
  /** The request certainly did not run; the key may be claimed again. */
  | { readonly kind: 'notRun' }
  /** The request may have run, or its answer is too large to keep. */
  | { readonly kind: 'unknown' };

/** A claim in progress that this entry makes for a caller. */
export interface Attempt {
  readonly request: number;
  readonly key: string;
  readonly digest: string;
  readonly deadline: Instant;
  readonly token: string;
  /** Earlier tokens of this attempt, which are never granted. */
  readonly superseded: readonly string[];
  readonly requestedAt: Instant;
  /** When the current token was first sent; the validity of a grant counts from here. */
  readonly startedAt: Instant;
  readonly sentAt: Instant;
  readonly claimants: readonly Address[];
  readonly accepted: ReadonlySet<Address>;
  readonly held: ReadonlyMap<Address, ClaimRecord>;
  /** Claimants of earlier epochs that may have recorded a superseded token. */
  readonly formerClaimants: readonly Address[];
}

/** The outcome of a granted request, resent until all claimants confirm it or the send limit is reached. */
export interface PendingSettlement {
  readonly key: string;
  readonly token: string;
  readonly digest: string;
  readonly status: ClaimStatus;
  readonly answer: StoredResponse | undefined;
  readonly sentAt: Instant;
  readonly sendCount: number;
  readonly confirmed: ReadonlySet<Address>;
}

/** A member's report for the current epoch, assembled from its parts. */
export interface MemberReport {
  readonly incarnation: number;
  readonly gaps: readonly TransferGap[];
  readonly basis: View | undefined;
  readonly open: readonly View[];
  readonly parts: ReadonlyMap<number, readonly KeyRecords[]>;
  readonly partCount: number;
}

/**
 * A view of which too few members reported in a transfer. Keys without a majority of their claimants in
 * `heard`, the members that did report, are refused until their claims have expired.
 */
export interface TransferGap {
  readonly view: View;
  readonly heard: readonly Address[];
  readonly startedAt: Instant;
}

/** State transfer in progress into the current epoch. */
export interface Transfer {
  readonly startedAt: Instant;
  /** When the last fetch round was sent. */
  readonly lastFetchAt: Instant;
  /** Number of fetch rounds to all members that have not reported. */
  readonly fetchRounds: number;
  readonly reports: ReadonlyMap<Address, MemberReport>;
  /** Peer addresses to which a fetch was sent. */
  readonly fetchedFrom: ReadonlySet<Address>;
}

/** Claim state of one entry, as holder and as claimant. */
export interface ClaimsState {
  readonly self: EntryId;
  readonly incarnation: number;
  readonly address: Address;
  readonly times: ClaimTimes;
  /** The last epoch before which certainly no claim was granted. */
  readonly genesisEpoch: number;
  /** The view whose epoch this entry entered last; it never answers for earlier epochs again. */
  readonly view: View;
  /** Whether this entry may answer in the current epoch: it has all earlier claims, except for `gaps`. */
  readonly ready: boolean;
  /** The latest earlier view in which this entry was ready. */
  readonly basis: View | undefined;
  /** Views after the basis for which this entry reported to others but never became ready itself. */
  readonly open: readonly View[];
  /** Whether this entry sent a report for the current view. */
  readonly reported: boolean;
  /** Most recent views, the latest last; claims are fetched from their members. */
  readonly recentViews: readonly View[];
  readonly transfer: Transfer | undefined;
  /** Gaps of transfers: this entry may not know all claims of these views. */
  readonly gaps: readonly TransferGap[];
  readonly table: ClaimTable;
  readonly attempts: ReadonlyMap<number, Attempt>;
  readonly granted: ReadonlyMap<string, Grant>;
  readonly settlements: ReadonlyMap<string, PendingSettlement>;
  /** First bucket that the next tick checks for expired claims. */
  readonly sweepIndex: number;
}

/** A grant whose request has not ended. */
export interface Grant {
  readonly key: string;
  readonly digest: string;
  readonly validUntil: Instant;
  readonly deadline: Instant;
}

/** Inputs of the state machine, `decideClaims`. */
export type ClaimsEvent =
  | { readonly kind: 'viewChanged'; readonly view: View; readonly now: Instant }
  | {
      readonly kind: 'requested';
      readonly request: number;
      readonly key: string;
      readonly digest: string;
      readonly token: string;
      readonly deadline: Instant;
      readonly now: Instant;
    }
  | {
      readonly kind: 'ended';
      readonly token: string;
      readonly settlement: ClaimSettlement;
      readonly now: Instant;
    }
  | {
      readonly kind: 'received';
      readonly from: Address;
      readonly message: ClaimsMessage;
      /** Whether the roster of this entry is known to be current. */
      readonly fresh: boolean;
      readonly now: Instant;
    }
  | { readonly kind: 'ticked'; readonly now: Instant };

/** Side effects that the shell (the I/O layer) performs. */
export type ClaimsEffect =
  | { readonly kind: 'send'; readonly to: Address; readonly message: ClaimsMessage }
  | { readonly kind: 'resolve'; readonly request: number; readonly result: ClaimResult };
