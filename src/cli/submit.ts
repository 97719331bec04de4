/**
 * Submits one command and waits for its outcome. Invariant: every attempt carries the same command id, so that the
 * command is run at most once.
 */
import { describeCommand, type OperatorCommand } from '../intent/index.js';
import { isReached, type CliOutcome, type Wait } from './outcome.js';
import type { Session } from './session.js';

/** Milliseconds between two queries for the status of a command that is waited for. */
const POLL_INTERVAL = 200;

/** Requests the status of the command with this id. */
export async function requestStatus(session: Session, id: string): Promise<CliOutcome> {
  const result = await session.call((client, deadlineMs, signal) =>
    client.ask.query({ id, deadlineMs }, { signal }),
  );
  if (result.kind === 'missed') return { kind: 'unavailable', remedy: result.remedy };
  const { status, awaited } = result.answer;
  return { kind: 'status', status, awaited };
}

/**
 * Requests the site's latest revision. It is sent along with the command, which is refused if its subject has changed
 * after this revision.
 */
async function requestRevision(session: Session): Promise<number | CliOutcome> {
  const result = await session.call((client, deadlineMs, signal) =>
    client.show.query({ deadlineMs }, { signal }),
  );
  if (result.kind === 'missed') return { kind: 'unavailable', remedy: result.remedy };
  return result.answer.site.revision;
}

/** Polls the status until it reaches the awaited state or the deadline passes; returns the last known outcome. */
async function watchStatus(
  session: Session,
  id: string,
  wait: Wait,
  last?: CliOutcome,
): Promise<CliOutcome> {
  const outcome = await requestStatus(session, id);
  if (outcome.kind !== 'status') return last ?? outcome;
  if (isReached(outcome.status, wait) || outcome.status.kind === 'notFound') return outcome;
  const hasTime = await session.pause(POLL_INTERVAL);
  return hasTime ? watchStatus(session, id, wait, outcome) : outcome;
}

/**
 * Submits a command, with retries until it is answered or the deadline passes, then waits for the state `wait`.
 *
 * @example
 * const outcome = await sendCommand(session, { kind: 'zoneOut', zone: 'cyberjaya', ... }, 'in-force');
 */
export async function sendCommand(
  session: Session,
  command: OperatorCommand,
  wait: Wait,
): Promise<CliOutcome> {
  const latestRevision = await requestRevision(session);
  if (typeof latestRevision !== 'number') return latestRevision;
  const revisedCommand = { ...command, expectedRevision: latestRevision };
  const result = await session.call((client, deadlineMs, signal) =>
    client.submit.mutate({ command: revisedCommand, deadlineMs }, { signal }),
  );
  const { id } = command;
  const text = describeCommand(command);
  if (result.kind === 'missed') {
    return result.sent ? { kind: 'unknown', id } : { kind: 'unavailable', remedy: result.remedy };
  }
  const { outcome } = result.answer;
  if (outcome.kind === 'refused') {
    return { kind: 'status', status: { ...outcome, text }, awaited: [] };
  }
  const { revision } = outcome;
  const accepted: CliOutcome = {
    kind: 'status',
    status: { kind: 'accepted', id, text, revision },
    awaited: [],
  };
  return watchStatus(session, id, wait, accepted);
}
