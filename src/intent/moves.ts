/**
 * Applies the commands of version moves. Invariant: a service has at most one active move, a move's step
 * increases by one at a time, and a move leaves `moves` only as done or rolled back, which the log records.
 */
import type {
  CancelMove,
  FinishMove,
  StartMove,
  StepMove,
  TakeBackMove,
} from '../generated/intent.js';
import {
  MAX_MOVES,
  refuseChange,
  type Change,
  type IntentState,
  type Move,
  type ServiceVersions,
} from './state.js';

/** Rolled-back versions that are kept for each service, the newest ones. */
const MAX_ROLLED_BACK_VERSIONS = 8;

/** Returns the settled and rolled-back versions of a service. */
export function getVersions(state: IntentState, service: string): ServiceVersions {
  const found = state.services.find((versions) => versions.service === service);
  return found ?? { service, settled: null, takenBack: [] };
}

/** Replaces the records of the changed services and keeps the list sorted by service name. */
function replaceVersions(
  state: IntentState,
  changed: readonly ServiceVersions[],
): readonly ServiceVersions[] {
  const names = new Set(changed.map(({ service }) => service));
  const kept = state.services.filter(({ service }) => !names.has(service));
  return [...kept, ...changed].sort((one, two) => (one.service < two.service ? -1 : 1));
}

function removeMove(state: IntentState, move: Move): readonly Move[] {
  return state.moves.filter(({ id }) => id !== move.id);
}

/** Starts a move at share 0; the leader's first step assigns it traffic. */
export function applyStartMove(state: IntentState, command: StartMove): Change {
  if (command.services.length === 0) {
    return refuseChange('notFound', 'select a service that upstreams announce, as service=NAME');
  }
  const overlap = state.moves.find((move) =>
    move.services.some((service) => command.services.includes(service)),
  );
  if (overlap !== undefined) {
    const remedy = `wait for move ${overlap.id} of ${overlap.services.join(', ')} to ${overlap.version}, or cancel it first`;
    return refuseChange('conflict', remedy, overlap.revision);
  }
  if (state.moves.length >= MAX_MOVES) {
    return refuseChange('tooMany', `wait for one of the ${MAX_MOVES} moves under way to end`);
  }
  const unseenRevision = findUnseenRevision(state, command);
  if (unseenRevision !== undefined) {
    return refuseChange(
      'conflict',
      'look at the move that ended since, then issue anew',
      unseenRevision,
    );
  }
  const isSettled = command.services.every(
    (service) => getVersions(state, service).settled === command.version,
  );
  if (isSettled) return { kind: 'unchanged', revision: state.revision };
  if (command.deadline <= command.issuedAt) {
    return refuseChange('invalid', 'give a deadline that lies in the future');
  }
  const move: Move = {
    id: command.id,
    operator: command.operator,
    selector: command.selector,
    services: command.services.toSorted(),
    version: command.version,
    deadline: command.deadline,
    startedAt: command.issuedAt,
    step: 0,
    share: 0,
    late: false,
    revision: state.revision + 1,
  };
  return { kind: 'changed', state: { ...state, moves: [...state.moves, move] } };
}

/** Returns the revision of a move of one of the services that ended after `expectedRevision`, if any. */
function findUnseenRevision(state: IntentState, command: StartMove): number | undefined {
  const { expectedRevision } = command;
  if (expectedRevision === undefined) return undefined;
  const subjects = new Set(command.services.map((service) => `service ${service}`));
  return state.touches.find(
    (change) => subjects.has(change.subject) && change.revision > expectedRevision,
  )?.revision;
}

/** Returns the move if it is at the given step, otherwise a refusal of the leader's command. */
function findMoveAtStep(
  state: IntentState,
  moveId: string,
  step: number,
): { readonly move: Move } | { readonly refusal: Change } {
  const move = state.moves.find(({ id }) => id === moveId);
  if (move === undefined) {
    return { refusal: refuseChange('notFound', `move ${moveId} has ended: ask for its outcome`) };
  }
  if (move.step !== step) {
    const remedy = `move ${moveId} stands at step ${move.step}: judge it again`;
    return { refusal: refuseChange('conflict', remedy, move.revision) };
  }
  return { move };
}

/** Advances a move to its next step and share. */
export function applyStepMove(state: IntentState, command: StepMove): Change {
  const found = findMoveAtStep(state, command.moveId, command.step - 1);
  if ('refusal' in found) return found.refusal;
  const { move } = found;
  const next: Move = {
    ...move,
    step: command.step,
    share: command.share,
    late: command.late,
    revision: state.revision + 1,
  };
  const moves = state.moves.map((other) => (other.id === move.id ? next : other));
  return { kind: 'changed', state: { ...state, moves } };
}

/** Ends a move as done once every entry routes all traffic to its version. */
export function applyFinishMove(state: IntentState, command: FinishMove): Change {
  const found = findMoveAtStep(state, command.moveId, command.step);
  if ('refusal' in found) return found.refusal;
  const { move } = found;
  if (move.share < 1) {
    return refuseChange('notAllowed', `move ${move.id} has not reached all traffic: step it first`);
  }
  if (state.inForce < move.revision) {
    const remedy = `wait until revision ${move.revision} is in force everywhere`;
    return refuseChange('busy', remedy, move.revision);
  }
  const services = move.services.map((service) => ({
    service,
    settled: move.version,
    takenBack: getVersions(state, service).takenBack.filter((other) => other !== move.version),
  }));
  return {
    kind: 'changed',
    state: {
      ...state,
      moves: removeMove(state, move),
      services: replaceVersions(state, services),
    },
  };
}

/** Ends a move as rolled back: its version gets no traffic and is recorded as rolled back. */
function finishRollback(state: IntentState, move: Move): Change {
  const services = move.services.map((service) => {
    const versions = getVersions(state, service);
    const others = versions.takenBack.filter((other) => other !== move.version);
    const settled = versions.settled === move.version ? null : versions.settled;
    return {
      service,
      settled,
      takenBack: [...others, move.version].slice(-MAX_ROLLED_BACK_VERSIONS),
    };
  });
  return {
    kind: 'changed',
    state: {
      ...state,
      moves: removeMove(state, move),
      services: replaceVersions(state, services),
    },
  };
}

/** Rolls a move back on the leader's decision; refused if the move has changed step since. */
export function applyTakeBackMove(state: IntentState, command: TakeBackMove): Change {
  const found = findMoveAtStep(state, command.moveId, command.step);
  return 'refusal' in found ? found.refusal : finishRollback(state, found.move);
}

/** Rolls a move back on an operator's request, at whatever step it is. */
export function applyCancelMove(state: IntentState, command: CancelMove): Change {
  const move = state.moves.find(({ id }) => id === command.moveId);
  if (move !== undefined) return finishRollback(state, move);
  const remedy = `no move ${command.moveId} is under way: list them with chivewalk show moves`;
  return refuseChange('notFound', remedy);
}
