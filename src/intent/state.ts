/**
 * The replicated state of operators' intent. Invariant: `inForce <= revision`, the revision and the
 * roster's epoch only rise, and each share lies within 0 and 1 (see {@link checkState}).
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

/** Outcomes of operators' commands that are remembered; about a week at 540 changes a day. */
export const RETAINED_OPERATOR_OUTCOMES = 4096;
/** Outcomes of the leader's own commands that are remembered; their contents make them idempotent too. */
export const RETAINED_SYSTEM_OUTCOMES = 512;
/** Records of the log that are kept; about two weeks at the design size. */
export const RETAINED_LOG_RECORDS = 16_384;
/** Subjects whose last change is remembered for the detection of conflicts. */
export const RETAINED_LAST_CHANGES = 1024;
/** Bounds of what operators may have standing at one time. */
export const MAX_ZONES_OUT = 64;
export const MAX_LEAVING = 256;
export const MAX_MOVES = 128;

/** How the versions of one service stand apart from a move under way. */
export interface ServiceVersions {
  readonly service: string;
  /** The version that all traffic moved to. */
  readonly settled: string | null;
  /** Versions that were taken back and get no traffic. */
  readonly takenBack: readonly string[];
}

/** A version move under way. */
export interface Move {
  /** Id of the command that started it. */
  readonly id: string;
  readonly operator: string;
  readonly selector: Selector;
  readonly services: readonly string[];
  readonly version: string;
  /** Wall-clock milliseconds. */
  readonly deadline: number;
  readonly startedAt: number;
  readonly step: number;
  /** From 0 to 1. */
  readonly share: number;
  /** Whether it is expected to miss its deadline. */
  readonly late: boolean;
  /** The revision that its last step made. */
  readonly revision: Revision;
}

/** The last change of a subject that commands may conflict over. */
export interface LastChange {
  readonly subject: string;
  readonly revision: Revision;
  readonly commandId: string;
}

/** The first outcome of a command, for those that send it again. */
export interface OutcomeRecord {
  readonly id: string;
  /** Canonical text of the command; a different command under the same id is refused. */
  readonly text: string;
  readonly subject?: string;
  readonly issuedAt: number;
  readonly outcome: Outcome;
}

/** What a log record tells of. */
export type LogRecordKind =
  'accepted' | 'refused' | 'step' | 'done' | 'takenBack' | 'roster' | 'inForce';

/** One line of the logbook. */
export interface LogRecord {
  readonly index: number;
  /** Wall-clock milliseconds of the process that issued the command. */
  readonly at: number;
  readonly kind: LogRecordKind;
  readonly operator: string;
  readonly commandId: string;
  /** The move that the record belongs to. */
  readonly moveId?: string;
  readonly text: string;
  readonly revision: Revision;
}

/** All that the control members agree upon. */
export interface IntentState {
  /** Index of the last command in the replicated log. */
  readonly index: number;
  readonly revision: Revision;
  /** The newest revision that was in force everywhere. */
  readonly inForce: Revision;
  readonly zonesOut: readonly ZoneId[];
  readonly leaving: readonly Selector[];
  readonly services: readonly ServiceVersions[];
  readonly moves: readonly Move[];
  readonly roster: Roster;
  /** The revision that made the roster's epoch. */
  readonly epochRevision: Revision;
  readonly touches: readonly LastChange[];
  /** Every subject not in `touches` was last changed at this revision or before. */
  readonly forgottenTouch: Revision;
  readonly operatorOutcomes: History<OutcomeRecord>;
  readonly systemOutcomes: History<OutcomeRecord>;
  /** Operators' commands issued at this time or before may have been forgotten. */
  readonly forgottenBefore: number;
  readonly log: History<LogRecord>;
}

/** The state before any command. */
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

/** What a command does to the state, before revisions and outcomes are counted. */
export type Change =
  /** The configuration changes, so the revision rises. */
  | { readonly kind: 'changed'; readonly state: IntentState }
  /** Only records change that entries never see. */
  | { readonly kind: 'noted'; readonly state: IntentState }
  /** The goal already stands; `revision` is the one that made it so. */
  | { readonly kind: 'unchanged'; readonly revision: Revision }
  | {
      readonly kind: 'refused';
      readonly reason: RefusedReason;
      readonly remedy: string;
      readonly beatenBy?: Revision;
    };

/** Returns a refusal that tells what to do instead. */
export function refuseChange(reason: RefusedReason, remedy: string, beatenBy?: Revision): Change {
  return { kind: 'refused', reason, remedy, ...(beatenBy === undefined ? {} : { beatenBy }) };
}

/** Throws unless the invariants of a state and of its step from the one before hold. */
export function checkState(before: IntentState, after: IntentState): void {
  checkInvariant(after.index > before.index, `index fell from ${before.index} to ${after.index}`);
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
