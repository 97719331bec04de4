/**
 * Applies commands of the replicated log to the intent state. Invariant: the recorded outcome of a
 * command id never changes, and the same sequence of commands produces the same state on every member.
 */
import { checkInvariant, type Revision } from '../model/index.js';
import { appendHistory, findHistory, listHistory } from './history.js';
import {
  applyCancelMove,
  applyFinishMove,
  applyStartMove,
  applyStepMove,
  applyTakeBackMove,
} from './moves.js';
import {
  applyUpstreamsLeave,
  applyUpstreamsStay,
  applyZoneIn,
  applyZoneOut,
  findLastChange,
  getLastChangeRevision,
} from './placement.js';
import { applyActivateEntry, applyJoinEntry, applyLapseEntry, applyLeaveEntry } from './roster.js';
import {
  checkState,
  RETAINED_LOG_RECORDS,
  RETAINED_OPERATOR_OUTCOMES,
  RETAINED_LAST_CHANGES,
  RETAINED_SYSTEM_OUTCOMES,
  refuseChange,
  type Change,
  type Command,
  type ConfirmInForce,
  type IntentState,
  type LogRecord,
  type LogRecordKind,
  type OperatorCommand,
  type Outcome,
  type OutcomeRecord,
  type LastChange,
} from './state.js';
import { describeCommand, getSubject } from './text.js';

/** The state after applying a command, and the outcome of the command. */
export interface ApplyResult {
  readonly state: IntentState;
  readonly outcome: Outcome;
}

/** Returns whether operators issue commands of this kind, as opposed to the leader. */
export function isOperatorCommand(command: Command): command is OperatorCommand {
  switch (command.kind) {
    case 'zoneOut':
    case 'zoneIn':
    case 'upstreamsLeave':
    case 'upstreamsStay':
    case 'startMove':
    case 'cancelMove':
      return true;
    case 'stepMove':
    case 'finishMove':
    case 'takeBackMove':
    case 'joinEntry':
    case 'activateEntry':
    case 'leaveEntry':
    case 'lapseEntry':
    case 'confirmInForce':
      return false;
  }
}

/** Returns the first outcome recorded for a command id, or undefined once it has been evicted. */
export function findOutcome(state: IntentState, id: string): OutcomeRecord | undefined {
  const hasId = (remembered: OutcomeRecord): boolean => remembered.id === id;
  return findHistory(state.operatorOutcomes, hasId) ?? findHistory(state.systemOutcomes, hasId);
}

function applyConfirmInForce(state: IntentState, command: ConfirmInForce): Change {
  if (command.revision > state.revision) {
    return refuseChange('invalid', `confirm revision ${state.revision} or an earlier one`);
  }
  if (command.revision <= state.inForce) return { kind: 'unchanged', revision: state.inForce };
  return { kind: 'noted', state: { ...state, inForce: command.revision } };
}

function computeChange(state: IntentState, command: Command): Change {
  switch (command.kind) {
    case 'zoneOut':
      return applyZoneOut(state, command.zone);
    case 'zoneIn':
      return applyZoneIn(state, command.zone);
    case 'upstreamsLeave':
      return applyUpstreamsLeave(state, command.selector);
    case 'upstreamsStay':
      return applyUpstreamsStay(state, command.selector);
    case 'startMove':
      return applyStartMove(state, command);
    case 'cancelMove':
      return applyCancelMove(state, command);
    case 'stepMove':
      return applyStepMove(state, command);
    case 'finishMove':
      return applyFinishMove(state, command);
    case 'takeBackMove':
      return applyTakeBackMove(state, command);
    case 'joinEntry':
      return applyJoinEntry(state, command);
    case 'activateEntry':
      return applyActivateEntry(state, command);
    case 'leaveEntry':
      return applyLeaveEntry(state, command);
    case 'lapseEntry':
      return applyLapseEntry(state, command);
    case 'confirmInForce':
      return applyConfirmInForce(state, command);
  }
}

/** Refuses a command if its subject has changed since `expectedRevision`, the last one its operator saw. */
function checkConflict(state: IntentState, command: Command): Change | undefined {
  const subject = getSubject(command);
  if (subject === undefined || command.expectedRevision === undefined) return undefined;
  const revision = getLastChangeRevision(state, subject);
  if (revision <= command.expectedRevision) return undefined;
  const changedBy = findLastChange(state, subject)?.commandId ?? 'an earlier command';
  const remedy = `${subject} was changed by ${changedBy}: look at it, then issue anew if still wanted`;
  return refuseChange('conflict', remedy, revision);
}

/**
 * Refuses an operator's command that is so old that its outcome may have been evicted: it can't be told
 * apart from a retry of a command that was already applied.
 */
function checkAge(state: IntentState, command: Command): Change | undefined {
  if (!isOperatorCommand(command) || command.issuedAt > state.forgottenBefore) return undefined;
  return refuseChange(
    'tooOld',
    'issue it anew under a new id: it is older than the outcomes that are remembered',
  );
}

/** Checks for conflicts only if the command changes something; requesting the current state is no conflict. */
function decideChange(state: IntentState, command: Command): Change {
  const tooOld = checkAge(state, command);
  if (tooOld !== undefined) return tooOld;
  const change = computeChange(state, command);
  return change.kind === 'changed' ? (checkConflict(state, command) ?? change) : change;
}

/** Lists the subjects that a command changes, for the detection of later conflicts. */
function listSubjects(state: IntentState, command: Command): readonly string[] {
  const subject = getSubject(command);
  if (command.kind === 'startMove') return [`move ${command.id}`];
  if (
    command.kind === 'cancelMove' ||
    command.kind === 'takeBackMove' ||
    command.kind === 'finishMove'
  ) {
    const services = state.moves.find(({ id }) => id === command.moveId)?.services ?? [];
    return [`move ${command.moveId}`, ...services.map((service) => `service ${service}`)];
  }
  return subject === undefined ? [] : [subject];
}

function recordLastChanges(
  before: IntentState,
  state: IntentState,
  command: Command,
  revision: Revision,
): IntentState {
  const subjects = listSubjects(before, command);
  if (subjects.length === 0) return state;
  const kept = state.touches.filter(({ subject }) => !subjects.includes(subject));
  const added = subjects.map((subject): LastChange => ({
    subject,
    revision,
    commandId: command.id,
  }));
  const all = [...kept, ...added];
  const excess = Math.max(0, all.length - RETAINED_LAST_CHANGES);
  const evictedRevisions = all.slice(0, excess).map((change) => change.revision);
  return {
    ...state,
    touches: all.slice(excess),
    forgottenTouch: Math.max(state.forgottenTouch, ...evictedRevisions),
  };
}

function toOutcome(command: Command, change: Change, revision: Revision): Outcome {
  switch (change.kind) {
    case 'changed':
      return { kind: 'accepted', id: command.id, revision, changed: true };
    case 'noted':
      return { kind: 'accepted', id: command.id, revision, changed: false };
    case 'unchanged':
      return { kind: 'accepted', id: command.id, revision: change.revision, changed: false };
    case 'refused':
      return { ...change, id: command.id };
  }
}

function recordOutcome(state: IntentState, command: Command, outcome: Outcome): IntentState {
  const subject = getSubject(command);
  const remembered: OutcomeRecord = {
    id: command.id,
    text: describeCommand(command),
    ...(subject === undefined ? {} : { subject }),
    issuedAt: command.issuedAt,
    outcome,
  };
  if (!isOperatorCommand(command)) {
    const { systemOutcomes } = state;
    const next = appendHistory(systemOutcomes, remembered, RETAINED_SYSTEM_OUTCOMES);
    return { ...state, systemOutcomes: next };
  }
  const { operatorOutcomes } = state;
  const next = appendHistory(operatorOutcomes, remembered, RETAINED_OPERATOR_OUTCOMES);
  const dropped =
    next.chunks[0] === operatorOutcomes.chunks[0] ? [] : (operatorOutcomes.chunks[0] ?? []);
  const forgotten = dropped.filter(
    (outcomeRecord) => findHistory(next, ({ id }) => id === outcomeRecord.id) === undefined,
  );
  return {
    ...state,
    operatorOutcomes: next,
    forgottenBefore: Math.max(state.forgottenBefore, ...forgotten.map(({ issuedAt }) => issuedAt)),
  };
}

function getLogKind(command: Command, outcome: Outcome): LogRecordKind {
  if (outcome.kind === 'refused') return 'refused';
  switch (command.kind) {
    case 'zoneOut':
    case 'zoneIn':
    case 'upstreamsLeave':
    case 'upstreamsStay':
    case 'startMove':
      return 'accepted';
    case 'stepMove':
      return 'step';
    case 'finishMove':
      return 'done';
    case 'takeBackMove':
    case 'cancelMove':
      return 'takenBack';
    case 'joinEntry':
    case 'activateEntry':
    case 'leaveEntry':
    case 'lapseEntry':
      return 'roster';
    case 'confirmInForce':
      return 'inForce';
  }
}

/** Returns the log record of a command; the leader's commands that are refused or change nothing have none. */
function buildLogRecord(command: Command, outcome: Outcome, index: number): LogRecord | undefined {
  const hasNoEffect = outcome.kind === 'refused' || !outcome.changed;
  if (hasNoEffect && !isOperatorCommand(command)) return undefined;
  const text = describeCommand(command);
  const evidence = 'evidence' in command ? `: ${command.evidence}` : '';
  const remedy = outcome.kind === 'refused' ? `: ${outcome.remedy}` : '';
  const moveId = 'moveId' in command ? command.moveId : undefined;
  return {
    index,
    at: command.issuedAt,
    kind: getLogKind(command, outcome),
    operator: command.operator,
    commandId: command.id,
    ...(moveId === undefined ? {} : { moveId }),
    text: `${text}${evidence}${remedy}`,
    revision: outcome.kind === 'accepted' ? outcome.revision : (outcome.beatenBy ?? 0),
  };
}

function appendLogRecord(state: IntentState, record: LogRecord | undefined): IntentState {
  if (record === undefined) return state;
  return { ...state, log: appendHistory(state.log, record, RETAINED_LOG_RECORDS) };
}

/** Returns the recorded outcome of a retried command, or refuses a different command under the same id. */
function resolveDuplicate(known: OutcomeRecord, command: Command): Outcome {
  if (known.text === describeCommand(command)) return known.outcome;
  const remedy = `choose a new id: this one stands for "${known.text}"`;
  return { kind: 'refused', id: command.id, reason: 'idReused', remedy };
}

/**
 * Applies one command of the replicated log; `index` is its position there.
 *
 * @example
 * const { state, outcome } = applyCommand(initialIntent, { kind: 'zoneOut', zone: 'cyberjaya', ... }, 1);
 */
export function applyCommand(before: IntentState, command: Command, index: number): ApplyResult {
  const indexed = { ...before, index };
  const known = findOutcome(before, command.id);
  if (known !== undefined) return { state: indexed, outcome: resolveDuplicate(known, command) };
  const change = decideChange(indexed, command);
  const revision = before.revision + (change.kind === 'changed' ? 1 : 0);
  const outcome = toOutcome(command, change, revision);
  const changed =
    change.kind === 'changed'
      ? recordLastChanges(before, { ...change.state, revision }, command, revision)
      : change.kind === 'noted'
        ? change.state
        : indexed;
  const recorded = recordOutcome(changed, command, outcome);
  const state = appendLogRecord(recorded, buildLogRecord(command, outcome, index));
  checkState(before, state);
  checkInvariant(
    findOutcome(state, command.id)?.outcome === outcome,
    `command ${command.id} already has a different outcome`,
  );
  return { state, outcome };
}

/** Returns the log records from `since` until before `until`, in wall-clock milliseconds, oldest first. */
export function listLog(state: IntentState, since: number, until: number): readonly LogRecord[] {
  return listHistory(state.log).filter(({ at }) => at >= since && at < until);
}
