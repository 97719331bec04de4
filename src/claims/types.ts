/**
 * Values of the claim protocol. Invariant: of all tokens for one key, at most one is ever granted within
 * the lifetime of a claim.
 */
import type { Address, Duration, EntryId, Instant } from '../model/index.js';
import type {
  ClaimRecord,
  ClaimsMessage,
  ClaimStatus,
  KeyRecords,
  StoredAnswer,
  View,
} from '../generated/claims.js';
import type { ClaimTable } from './table.js';

/** Times and sizes of the protocol. */
export interface ClaimTimes {
  /** For which a claimant remembers a claim. */
  readonly lifetime: Duration;
  /** For which a grant may be used, counted from before it was requested. */
  readonly validity: Duration;
  /** After which unanswered messages are sent again. */
  readonly retryInterval: Duration;
  /** After which the later of two rival claims without a majority gives way. */
  readonly conflictTimeout: Duration;
  /** For which a claim waits for a majority that can answer. */
  readonly maxWait: Duration;
  /** After which an entry that hears nothing of the configuration stops recording claims. */
  readonly staleAfter: Duration;
}

/** Times for a site whose callers resend for less than nine minutes. */
export const defaultTimes: ClaimTimes = {
  lifetime: 600_000,
  validity: 5000,
  retryInterval: 60,
  conflictTimeout: 250,
  maxWait: 2000,
  staleAfter: 10_000,
};

/** A record of one token at this claimant. */
export interface StoredClaim {
  readonly token: string;
  readonly digest: string;
  readonly status: ClaimStatus;
  readonly recordedAt: Instant;
  readonly runFor: Duration;
  readonly answer?: StoredAnswer;
}

/** What the claimants said of an idempotency key. */
export type ClaimResult =
  /** The request may be sent on if the first byte is written before `validUntil`. */
  | { readonly kind: 'granted'; readonly token: string; readonly validUntil: Instant }
  /** The first request with this key has not ended. */
  | { readonly kind: 'running' }
  /** The first request with this key may have run, and its answer is not known. */
  | { readonly kind: 'unknown' }
  /** The first request with this key ended with this answer. */
  | ({ readonly kind: 'settled' } & StoredAnswer)
  /** The key was used for another request. */
  | { readonly kind: 'mismatch' }
  /** No majority of the claimants answered; nothing was granted. */
  | { readonly kind: 'unavailable'; readonly reason: string };

/** How a request that was granted its claim ended. */
export type ClaimSettlement =
  | ({ readonly kind: 'answered' } & StoredAnswer)
  /** It was certainly not run; the key may be claimed again. */
  | { readonly kind: 'notRun' }
  /** It may have run, or its answer is too large to be kept. */
  | { readonly kind: 'unknown' };

/** One claim that this entry makes for a caller. */
export interface Attempt {
  readonly request: number;
  readonly key: string;
  readonly digest: string;
  readonly deadline: Instant;
  readonly token: string;
  /** Earlier tokens of this attempt; they are never used. */
  readonly superseded: readonly string[];
  readonly requestedAt: Instant;
  /** When the first message with the current token was sent. */
  readonly startedAt: Instant;
  readonly sentAt: Instant;
  readonly claimants: readonly Address[];
  readonly accepted: ReadonlySet<Address>;
  readonly held: ReadonlyMap<Address, ClaimRecord>;
  /** Claimants of earlier epochs that may hold a superseded token. */
  readonly formerClaimants: readonly Address[];
}

/** The end of a granted request that claimants have yet to confirm. */
export interface PendingSettlement {
  readonly key: string;
  readonly token: string;
  readonly digest: string;
  readonly status: ClaimStatus;
  readonly answer: StoredAnswer | undefined;
  readonly sentAt: Instant;
  readonly sendCount: number;
  readonly confirmed: ReadonlySet<Address>;
}

/** What one member reported for the current epoch. */
export interface MemberReport {
  readonly incarnation: number;
  readonly gaps: readonly TransferGap[];
  readonly basis: View | undefined;
  readonly open: readonly View[];
  readonly parts: ReadonlyMap<number, readonly KeyRecords[]>;
  readonly partCount: number;
}

/** A gap in a transfer; keys with too few claimants heard are refused until their claims expired. */
export interface TransferGap {
  readonly view: View;
  readonly heard: readonly Address[];
  readonly startedAt: Instant;
}

/** The state transfer into the current epoch. */
export interface Transfer {
  readonly startedAt: Instant;
  readonly lastFetchAt: Instant;
  /** How often all that have not reported were asked. */
  readonly fetchRounds: number;
  readonly reports: ReadonlyMap<Address, MemberReport>;
  /** Members of earlier epochs that are to be asked, by peer address. */
  readonly fetchedFrom: ReadonlySet<Address>;
}

/** All that one entry knows of claims. */
export interface ClaimsState {
  readonly self: EntryId;
  readonly incarnation: number;
  readonly address: Address;
  readonly times: ClaimTimes;
  /** The last epoch that is known to have had no earlier grants. */
  readonly genesisEpoch: number;
  /** The view whose epoch this entry last entered; it never answers for earlier ones again. */
  readonly view: View;
  /** Whether every claim of earlier epochs that may matter here is known. */
  readonly ready: boolean;
  /** The latest earlier view in which this entry was ready. */
  readonly basis: View | undefined;
  /** Views after the basis for which this entry reported to others but never got ready itself. */
  readonly open: readonly View[];
  /** Whether this entry reported to another member for the current view. */
  readonly reported: boolean;
  /** All views seen, the latest last; members of these are asked for their claims. */
  readonly recentViews: readonly View[];
  readonly transfer: Transfer | undefined;
  /** Earlier claims that this entry may have missed. */
  readonly gaps: readonly TransferGap[];
  readonly table: ClaimTable;
  readonly attempts: ReadonlyMap<number, Attempt>;
  readonly granted: ReadonlyMap<string, Grant>;
  readonly settlements: ReadonlyMap<string, PendingSettlement>;
  readonly sweepIndex: number;
}

/** A grant whose request has not ended. */
export interface Grant {
  readonly key: string;
  readonly digest: string;
  readonly validUntil: Instant;
  readonly deadline: Instant;
}

/** What the protocol is told. */
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
      /** Whether the configuration of this entry is known to be current. */
      readonly fresh: boolean;
      readonly now: Instant;
    }
  | { readonly kind: 'ticked'; readonly now: Instant };

/** What the shell must do. */
export type ClaimsEffect =
  | { readonly kind: 'send'; readonly to: Address; readonly message: ClaimsMessage }
  | { readonly kind: 'resolve'; readonly request: number; readonly result: ClaimResult };
