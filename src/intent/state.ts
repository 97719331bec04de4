/**
 * The replicated state of operators' intent. Invariant: `inForce <= revision`, the revision and the
 * roster's epoch never decrease, and each share lies between 0 and 1 (see {@link checkState}).
 */
import type {
  Accepted,
  Command,
  ConfirmInForce,
  Outcome,
  Refused,
  RefusedReason,
} from '../generated/intent.js';
import {
  checkInvariant,
  type Revision,
  type Roster,
  type Selector,
  type ZoneId,
} from '../model/index.js';
import { createHistory, type History } from './history.js';

export type { Accepted, Command, ConfirmInForce, Outcome, Refused, RefusedReason };

/** A command that an operator may issue. */
export type OperatorCommand = Extract<
  Command,
  { kind: 'zoneOut' | 'zoneIn' | 'upstreamsLeave' | 'upstreamsStay' | 'startMove' | 'cancelMove' }
>;

/** A command that only the leader proposes. */
export type SystemCommand = Exclude<Command, OperatorCommand>;

/** Outcomes of operators' commands that are kept; 4096 cover about a week at 540 changes a day. */
export const RETAINED_OPERATOR_OUTCOMES = 4096;
/** Outcomes of the leader's commands that are kept; the contents of these commands also make them idempotent. */
export const RETAINED_SYSTEM_OUTCOMES = 512;
/** Log records that are kept; 16,384 cover about two weeks at the design size. */
export const RETAINED_LOG_RECORDS = 16_384;
/** Subjects whose last change is kept for conflict detection. */
export const RETAINED_LAST_CHANGES = 1024;
/** Maximum number of zones taken out, leaving selectors and active moves at the same time. */
export const MAX_ZONES_OUT = 64;
export const MAX_LEAVING = 256;
export const MAX_MOVES = 128;

/** The versions of one service, apart from an active move. */
export interface ServiceVersions {
  readonly service: string;
  /** The version that all traffic was moved to; null if there is none. */
  readonly settled: string | null;
  /** Versions that were rolled back and get no traffic, oldest first. */
  readonly takenBack: readonly string[];
}

/** An active version move. */
export interface Move {
  /** Id of the command that started it. */
  readonly id: string;
  readonly operator: string;
  readonly selector: Selector;
  readonly services: readonly string[];
  readonly version: string;
  /** Wall-clock milliseconds by which all traffic should have moved. */
  readonly deadline: number;
  /** Wall-clock milliseconds when the command was issued. */
  readonly startedAt: number;
  readonly step: number;
  /** Share of the traffic that the version gets, from 0 to 1. */
  readonly share: number;
  /** Whether it is expected to miss its deadline. */
  readonly late: boolean;
  /** The revision of its last step, or of its start before the first step. */
  readonly revision: Revision;
}

/** The last change of a subject, such as a zone, that commands may conflict over. */
export interface LastChange {
  readonly subject: string;
  readonly revision: Revision;
  readonly commandId: string;
}

/** The first outcome of a command, which a retry with the same id gets again. */
export interface OutcomeRecord {
  readonly id: string;
  /** Canonical text of the command; a different command under the same id is refused. */
  readonly text: string;
  readonly subject?: string;
  readonly issuedAt: number;
  readonly outcome: Outcome;
}

/** The event that a log record describes. */
export type LogRecordKind =
  'accepted' | 'refused' | 'step' | 'done' | 'takenBack' | 'roster' | 'inForce';

/** One record of the log that operators read. */
export interface LogRecord {
  readonly index: number;
  /** When the command was issued, in wall-clock milliseconds of the issuing process. */
  readonly at: number;
  readonly kind: LogRecordKind;
  readonly operator: string;
  readonly commandId: string;
  /** The move that the record belongs to. */
  readonly moveId?: string;
  readonly text: string;
  readonly revision: Revision;
}

/** The state that the control members replicate. */
export interface IntentState {
  /** Index of the last applied command in the replicated log. */
  readonly index: number;
  readonly revision: Revision;
  /** The newest revision that is known to be in force everywhere. */
  readonly inForce: Revision;
  readonly zonesOut: readonly ZoneId[];
  readonly leaving: readonly Selector[];
  readonly services: readonly ServiceVersions[];
  readonly moves: readonly Move[];
  readonly roster: Roster;
  /** The revision that introduced the roster's current epoch. */
  readonly epochRevision: Revision;
  readonly touches: readonly LastChange[];
  /** Subjects that are not in `touches` were last changed at this revision or earlier. */
  readonly forgottenTouch: Revision;
  readonly operatorOutcomes: History<OutcomeRecord>;
  readonly systemOutcomes: History<OutcomeRecord>;
  /** Outcomes of operators' commands issued at or before this time may have been evicted; wall-clock milliseconds. */
  readonly forgottenBefore: number;
  readonly log: History<LogRecord>;
}

/** The state before the first command. */
export const initialIntent: IntentState = {
  index: 0,
  revision: 0,
  inForce: 0,
  zonesOut: [],
  leaving: [],
  services: [],
  moves: [],
  roster: { epoch: 0, members: [] },
  epochRevision: 0,
  touches: [],
  forgottenTouch: 0,
  operatorOutcomes: createHistory(),
  systemOutcomes: createHistory(),
  forgottenBefore: 0,
  log: createHistory(),
};

/** The effect of a command on the state, before its revision and outcome are recorded. */
export type Change =
  /** The configuration changes, so the revision increases. */
  | { readonly kind: 'changed'; readonly state: IntentState }
  /** Only state that entries never receive changes, so the revision stays. */
  | { readonly kind: 'noted'; readonly state: IntentState }
  /** The requested state already holds; `revision` is the one it holds from. */
  | { readonly kind: 'unchanged'; readonly revision: Revision }
  | {
      readonly kind: 'refused';
      readonly reason: RefusedReason;
      readonly remedy: string;
      readonly beatenBy?: Revision;
    };

/** Returns a refusal; `remedy` tells the operator what to do instead. */
export function refuseChange(reason: RefusedReason, remedy: string, beatenBy?: Revision): Change {
  return { kind: 'refused', reason, remedy, ...(beatenBy === undefined ? {} : { beatenBy }) };
}

/** Throws unless the invariants of a state and of the transition from the previous one hold. */
export function checkState(before: IntentState, after: IntentState): void {
  checkInvariant(
    after.index > before.index,
    `log index must increase: it went from ${before.index} to ${after.index}`,
  );
  checkInvariant(
    after.revision >= before.revision,
    `revision fell from ${before.revision} to ${after.revision}`,
  );
  checkInvariant(
    after.inForce >= before.inForce && after.inForce <= after.revision,
    `revision ${after.inForce} can't be in force: the newest is ${after.revision}, the last was ${before.inForce}`,
  );
  checkInvariant(
    after.roster.epoch === before.roster.epoch || after.roster.epoch === before.roster.epoch + 1,
    `the roster's epoch went from ${before.roster.epoch} to ${after.roster.epoch}`,
  );
  checkInvariant(
    after.moves.every((move) => move.share >= 0 && move.share <= 1),
    'the share of a move lies outside 0 to 1',
  );
}
