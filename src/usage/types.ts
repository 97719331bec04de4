/**
 * Types of the usage reports. Invariant: they are plain data, lists instead of objects keyed by account, so that an
 * account may have any name and every process encodes the same state to the same bytes.
 */
import type { Duration } from '../model/index.js';

/** Length of a window in milliseconds, by default. */
export const DEFAULT_WINDOW_MS: Duration = 5000;
/** Milliseconds for which a leader leads before it reports, by default. */
export const DEFAULT_LEASE_MS: Duration = 3000;

/** Requests of one window by account, sorted by account. */
export type AccountCounts = readonly (readonly [account: string, count: number])[];

/** Requests by window, in ascending order; window k begins k times the window's length after the start of 1970. */
export type WindowCounts = readonly (readonly [window: number, counts: AccountCounts])[];

/** Counts that a gateway sends. */
export interface UsageBatch {
  /** 1, 2, 3, ... within one start of the gateway. */
  readonly number: number;
  readonly counts: WindowCounts;
}

/** Every batch of a gateway that isn't known to be committed, in ascending order. */
export interface UsageDelivery {
  /** The gateway's start: its id and a random number. */
  readonly source: string;
  readonly batches: readonly UsageBatch[];
}

/** Tells a gateway that its batches up to `last` are committed. */
export interface UsageReceipt {
  readonly source: string;
  readonly last: number;
}

/** A window that is not reported. */
export interface UsageWindow {
  readonly window: number;
  /** Whether its counts are final. */
  readonly isSealed: boolean;
  readonly counts: AccountCounts;
}

/** The last committed batch of a gateway's start. */
export interface UsageSource {
  readonly source: string;
  readonly last: number;
  /** Number of the usage command that committed it. */
  readonly usedAt: number;
}

/** The replicated state of the usage reports. */
export interface UsageState {
  /** The latest fencing token; 0 before the first. */
  readonly token: number;
  /** The VM that holds the latest token. */
  readonly holder: string;
  /** The windows that are not reported, in ascending order. */
  readonly windows: readonly UsageWindow[];
  /** The latest sealed windows in ascending order, reported or not. */
  readonly sealed: readonly number[];
  readonly sources: readonly UsageSource[];
  /** Number of usage commands that took effect. */
  readonly commits: number;
  readonly reported: number;
  /** Requests that were dropped because their window was sealed. */
  readonly late: number;
  /** Windows that were dropped without a report. */
  readonly expired: number;
}

/** Batches of one gateway start that a command holds: those after `base`, up to `last`. */
export type SourceRange = readonly [source: string, base: number, last: number];

/** A command that changes the usage state. */
export type UsageCommand =
  | {
      readonly kind: 'recordUsage';
      readonly counts: WindowCounts;
      readonly sources: readonly SourceRange[];
      /** Windows to seal, after `counts` is added. */
      readonly seals: readonly number[];
      /** Windows that the platform has accepted. */
      readonly reported: readonly number[];
    }
  /** Gives `holder` the next token; `step` is above 1 after the platform refused several tokens in a row. */
  | { readonly kind: 'takeUsageDuty'; readonly holder: string; readonly step: number };

/** A report to the platform. */
export interface UsageReport {
  readonly window: number;
  readonly holder: string;
  readonly token: number;
  readonly counts: AccountCounts;
}

/** What the platform answered: `fenced` if it has seen a higher token, `failed` also if it didn't answer. */
export type ReportOutcome = 'accepted' | 'fenced' | 'failed';

/** Sends a report to the platform at an address; gives up after `timeout`, and never throws. */
export type SendReport = (
  address: string,
  report: UsageReport,
  timeout: Duration,
) => Promise<ReportOutcome>;
