/** Submits one command and follows it. Invariant: every attempt carries the same id, so it is run once. */
import { describeCommand, type OperatorCommand } from '../intent/index.js';
import { isReached, type CliOutcome, type Wait } from './outcome.js';
import type { Session } from './session.js';

/** Milliseconds between two looks at a command that is waited for. */
const POLL_INTERVAL = 200;

/** Asks how the command with this id stands. */
export async function requestStatus(session: Session, id: string): Promise<CliOutcome> {
  const result = await session.call((client, deadlineMs, signal) =>
    client.ask.query({ id, deadlineMs }, { signal }),
  );
  if (result.kind === 'missed') return { kind: 'unavailable', remedy: result.remedy };
  const { status, awaited } = result.answer;
  return { kind: 'status', status, awaited };
}

/** Returns the newest revision, which a later change of the same subject must not have passed. */
async function requestRevision(session: Session): Promise<number | CliOutcome> {
  const result = await session.call((client, deadlineMs, signal) =>
    client.show.query({ deadlineMs }, { signal }),
  );
  if (result.kind === 'missed') return { kind: 'unavailable', remedy: result.remedy };
  return result.answer.site.revision;
}

/** Looks again until the awaited outcome is reached or the deadline passes. */
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
 * Submits a command until it is answered, then waits as asked.
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
