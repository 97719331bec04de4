/**
 * Derives the status of a command. Invariant: `inForce` and `done` are reported only for commands that were
 * accepted and whose revision is in force everywhere.
 */
import type { Revision } from '../model/index.js';
import { findOutcome } from './apply.js';
import { findHistory } from './history.js';
import { findLastChange } from './placement.js';
import type { Accepted, IntentState, RefusedReason, OutcomeRecord } from './state.js';

/** The current status of a command. */
export type CommandStatus =
  | {
      readonly kind: 'accepted' | 'inForce' | 'done' | 'takenBack';
      readonly id: string;
      readonly text: string;
      readonly revision: Revision;
      /** The revision of a later command on the same subject. */
      readonly supersededBy?: Revision;
      readonly detail?: string;
    }
  | {
      readonly kind: 'refused';
      readonly id: string;
      readonly text: string;
      readonly reason: RefusedReason;
      readonly remedy: string;
      readonly beatenBy?: Revision;
    }
  /** The id is unknown: no such command was applied, or its outcome has been evicted. */
  | { readonly kind: 'notFound'; readonly id: string };

/** Returns how the move that the command started ended, or undefined if no end is recorded. */
function findMoveResult(
  state: IntentState,
  id: string,
): { readonly kind: 'done' | 'takenBack'; readonly text: string } | undefined {
  const record = findHistory(
    state.log,
    ({ moveId, kind }) => moveId === id && (kind === 'done' || kind === 'takenBack'),
  );
  if (record === undefined) return undefined;
  return { kind: record.kind === 'done' ? 'done' : 'takenBack', text: record.text };
}

function describeMove(state: IntentState, id: string): string | undefined {
  const move = state.moves.find((other) => other.id === id);
  if (move === undefined) return undefined;
  return `step ${move.step}, share ${move.share}${move.late ? ', expected to miss its deadline' : ''}`;
}

function describeAccepted(
  state: IntentState,
  known: OutcomeRecord,
  { revision, changed }: Accepted,
): CommandStatus {
  const { id, text } = known;
  const end = findMoveResult(state, id);
  /** Whether all traffic was already on the version when the move was requested. */
  const wasAlreadyDone = text.startsWith('move start') && !changed;
  const inForce = state.inForce >= revision;
  if (end !== undefined) return { kind: end.kind, id, text, revision, detail: end.text };
  const detail = describeMove(state, id);
  const lastChange = known.subject === undefined ? undefined : findLastChange(state, known.subject);
  const laterRevision =
    lastChange !== undefined && lastChange.revision > revision ? lastChange.revision : undefined;
  const kind = inForce ? 'inForce' : 'accepted';
  return {
    kind: inForce && wasAlreadyDone ? 'done' : kind,
    id,
    text,
    revision,
    ...(laterRevision === undefined ? {} : { supersededBy: laterRevision }),
    ...(detail === undefined ? {} : { detail }),
  };
}

/**
 * Returns the status of the command with this id.
 *
 * @example
 * getStatus(state, 'amina-17').kind // 'inForce' once every entry applies it
 */
export function getStatus(state: IntentState, id: string): CommandStatus {
  const known = findOutcome(state, id);
  if (known === undefined) return { kind: 'notFound', id };
  const { outcome } = known;
  if (outcome.kind === 'accepted') return describeAccepted(state, known, outcome);
  const { reason, remedy, beatenBy } = outcome;
  return {
    kind: 'refused',
    id,
    text: known.text,
    reason,
    remedy,
    ...(beatenBy === undefined ? {} : { beatenBy }),
  };
}
