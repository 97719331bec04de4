/**
 * Outcomes of the tool, their exit codes and their text. Invariant: each outcome has one exit code, and exit codes
 * keep their meaning between versions, so that scripts can rely on them.
 */
import type { AwaitedEntry } from '../distribution/index.js';
import type { CommandStatus } from '../intent/index.js';

/** Exit codes of the tool. */
export const EXIT_CODES = {
  /** The command reached the state that `--wait` names, or the query was answered. */
  reached: 0,
  /** The command line or the site file is wrong; nothing was sent. */
  usage: 1,
  /** The command was refused and changed nothing; a remedy is printed. */
  refused: 2,
  /** The version move was rolled back. */
  takenBack: 3,
  /** The command may have been accepted: query it by its id, or run it again with the same `--id`. */
  unknown: 4,
  /** No control member answered, and no command was run. */
  unavailable: 5,
  /** The command was accepted but didn't reach the state that `--wait` names before the deadline. */
  pending: 6,
} as const;

/** Values of `--wait`: the state of the command to wait for. */
export const WAITS = ['accepted', 'in-force', 'done'] as const;
export type Wait = (typeof WAITS)[number];

/** The outcome of one run of the tool. */
export type CliOutcome =
  | {
      readonly kind: 'status';
      readonly status: CommandStatus;
      readonly awaited: readonly AwaitedEntry[];
    }
  | { readonly kind: 'refusedInput'; readonly remedy: string }
  | { readonly kind: 'unknown'; readonly id: string }
  | { readonly kind: 'unavailable'; readonly remedy: string };

/** Returns whether a status is at or past the state that is waited for, or can't change any more. */
export function isReached(status: CommandStatus, wait: Wait): boolean {
  switch (status.kind) {
    case 'refused':
    case 'takenBack':
    case 'done':
      return true;
    case 'notFound':
      return false;
    case 'inForce':
      return wait !== 'done' || !status.text.startsWith('move start');
    case 'accepted':
      return wait === 'accepted';
  }
}

/**
 * Returns the exit code of an outcome.
 *
 * @example
 * process.exitCode = getExitCode(outcome, 'in-force');
 */
export function getExitCode(outcome: CliOutcome, wait: Wait): number {
  switch (outcome.kind) {
    case 'refusedInput':
      return EXIT_CODES.refused;
    case 'unknown':
      return EXIT_CODES.unknown;
    case 'unavailable':
      return EXIT_CODES.unavailable;
    case 'status': {
      const { status } = outcome;
      if (status.kind === 'refused') return EXIT_CODES.refused;
      if (status.kind === 'takenBack') return EXIT_CODES.takenBack;
      if (status.kind === 'notFound') return EXIT_CODES.unknown;
      return isReached(status, wait) ? EXIT_CODES.reached : EXIT_CODES.pending;
    }
  }
}

function describeAwaited(awaited: readonly AwaitedEntry[]): string {
  if (awaited.length === 0) return '';
  const list = awaited.map(
    ({ id, lapsesWithin }) => `${id} (at most ${Math.ceil(lapsesWithin / 1000)} s)`,
  );
  return `\nwaits for: ${list.join(', ')}`;
}

function describeStatus(status: CommandStatus): string {
  switch (status.kind) {
    case 'accepted':
    case 'inForce':
    case 'done':
    case 'takenBack': {
      const labels = {
        accepted: 'accepted',
        inForce: 'in force everywhere',
        done: 'done',
        takenBack: 'taken back',
      };
      const superseded =
        status.supersededBy === undefined ? '' : `\nsuperseded by revision ${status.supersededBy}`;
      const detail = status.detail === undefined ? '' : `\n${status.detail}`;
      return `${labels[status.kind]}: ${status.text} (revision ${status.revision}, id ${status.id})${detail}${superseded}`;
    }
    case 'refused': {
      const beatenBy =
        status.beatenBy === undefined ? '' : `, beaten by revision ${status.beatenBy}`;
      return `refused: ${status.text} (${status.reason}${beatenBy}, id ${status.id})\nremedy: ${status.remedy}`;
    }
    case 'notFound':
      return `unknown: no command ${status.id} is remembered\nremedy: run the command again with --id ${status.id}; a command is run once however often it is sent`;
  }
}

/** Formats an outcome as text. */
export function describeOutcome(outcome: CliOutcome): string {
  switch (outcome.kind) {
    case 'status':
      return describeStatus(outcome.status) + describeAwaited(outcome.awaited);
    case 'refusedInput':
      return `refused: nothing was changed\nremedy: ${outcome.remedy}`;
    case 'unknown':
      return `unknown: the answer was lost (id ${outcome.id})\nremedy: chivewalk ask ${outcome.id}, or run the same command again with --id ${outcome.id}`;
    case 'unavailable':
      return `unavailable: nothing was run\nremedy: ${outcome.remedy}`;
  }
}
