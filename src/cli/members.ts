/**
 * Commands that add and remove control members. Invariant: a run has at most one change proposed at a time, and only
 * to the leader.
 */
import { Command, Option } from 'clipanion';
import type { ChangeAnswer } from '../operators/index.js';
import { SiteCommand } from './options.js';
import { EXIT_CODES } from './outcome.js';
import type { Session } from './session.js';

const CATEGORY = 'Control members';

/** The exit code and the printed text of a membership change. */
interface ChangeReport {
  readonly exitCode: number;
  readonly text: string;
}

function describeChange(
  answer: Extract<ChangeAnswer, { kind: 'committed' | 'refused' }>,
): ChangeReport {
  switch (answer.kind) {
    case 'committed':
      return {
        exitCode: EXIT_CODES.reached,
        text: `done: agreed as entry ${answer.index} of the log`,
      };
    case 'refused':
      return {
        exitCode: EXIT_CODES.refused,
        text: `refused: nothing was changed\nremedy: ${answer.remedy}`,
      };
  }
}

/** Base of the commands that add or remove one control member. */
abstract class ChangeCommand extends SiteCommand {
  abstract readonly change: 'add' | 'remove';
  address = Option.String({ required: true });

  protected override async run(session: Session): Promise<number> {
    const result = await session.call((client, _, signal) =>
      client.changeMembers.mutate({ kind: this.change, address: this.address }, { signal }),
    );
    if (result.kind === 'missed') return this.printUnanswered(result.sent, result.remedy);
    const { exitCode, text } = describeChange(result.answer);
    this.print({ ...result.answer, exitCode }, text);
    return exitCode;
  }

  /** Prints the outcome of a change that no member answered; `sent` if it may have been applied nonetheless. */
  private printUnanswered(sent: boolean, remedy: string): number {
    const exitCode = sent ? EXIT_CODES.unknown : EXIT_CODES.unavailable;
    const text = sent
      ? 'unknown: see chivewalk show members'
      : `unavailable: nothing was run\nremedy: ${remedy}`;
    this.print({ kind: sent ? 'unknown' : 'unavailable', remedy, exitCode }, text);
    return exitCode;
  }
}

export class MembersAddCommand extends ChangeCommand {
  static override paths = [['members', 'add']];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: 'Admits a control member that was started with join = true.',
    details:
      'A member that lost its disk has a new identity: admitting it replaces the old one at its address.',
    examples: [['Admit a repaired member', '$0 members add 10.0.0.7:7400']],
  });
  readonly change = 'add';
}

export class MembersRemoveCommand extends ChangeCommand {
  static override paths = [['members', 'remove']];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: 'Removes a control member from the group.',
    examples: [['Remove a member for good', '$0 members remove 10.0.0.7:7400']],
  });
  readonly change = 'remove';
}
