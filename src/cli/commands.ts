/**
 * Commands that state an operator's intent, and those that report what became of it. Invariant: each run ends with
 * exactly one outcome and the exit code of that outcome.
 */
import { randomUUID } from 'node:crypto';
import { Command, Option, UsageError } from 'clipanion';
import type { OperatorCommand } from '../intent/index.js';
import type { Selector } from '../model/index.js';
import { SiteCommand } from './options.js';
import { describeOutcome, getExitCode, WAITS, type CliOutcome, type Wait } from './outcome.js';
import type { Session } from './session.js';
import { requestStatus, sendCommand } from './submit.js';

const ZONES = 'Availability zones';
const UPSTREAMS = 'Upstreams';
const MOVES = 'Version moves';
const HISTORY = 'Status and history';

/** An operators' command without the fields that every command has; distributes over the union. */
type CommandBody<Kind> = Kind extends unknown ? Omit<Kind, 'id' | 'operator' | 'issuedAt'> : never;

/** Parses `key=value,key=value` into a selector that matches all of the labels. */
function parseSelector(texts: readonly string[]): Selector {
  const pairs = texts
    .flatMap((text) => text.split(','))
    .map((pair): readonly [string, string] => {
      const separator = pair.indexOf('=');
      if (separator < 1 || separator === pair.length - 1) {
        throw new UsageError(`--select ${pair}: give a label as key=value`);
      }
      return [pair.slice(0, separator), pair.slice(separator + 1)];
    });
  if (pairs.length === 0) throw new UsageError('select upstreams: --select key=value');
  return { match: Object.fromEntries(pairs) };
}

/** An ISO 8601 date, with or without a time of day and an offset. */
const ISO_TIME = /^\d{4}-\d{2}-\d{2}(?:T\d{2}:\d{2}(?::\d{2}(?:\.\d+)?)?(?:Z|[+-]\d{2}:\d{2})?)?$/;

/** Parses an ISO 8601 time into milliseconds since the Unix epoch. */
function parseTime(text: string, option: string): number {
  const time = ISO_TIME.test(text) ? Date.parse(text) : Number.NaN;
  if (Number.isFinite(time)) return time;
  throw new UsageError(`${option} ${text}: give a time as 2026-12-04T12:00:00+08:00`);
}

/** Base of the commands that submit an operators' command and wait for its outcome. */
abstract class IntentCommand extends SiteCommand {
  id = Option.String('--id', {
    description: 'Id of the command; give the same one to send it again.',
  });
  wait = Option.String('--wait', 'accepted', {
    description: 'Wait until the command is accepted, in-force or done.',
  });

  /** Builds the command from the options; the id, operator and time are added by {@link run}. */
  protected abstract buildBody(): CommandBody<OperatorCommand>;

  protected override async run(session: Session): Promise<number> {
    const wait = this.parseWait();
    const command: OperatorCommand = {
      ...this.buildBody(),
      id: this.id ?? randomUUID(),
      operator: this.operator,
      issuedAt: Date.now(),
    };
    const outcome = await sendCommand(session, command, wait);
    return this.printOutcome(outcome, wait);
  }

  protected printOutcome(outcome: CliOutcome, wait: Wait): number {
    const exitCode = getExitCode(outcome, wait);
    this.print({ ...outcome, exitCode }, describeOutcome(outcome));
    return exitCode;
  }

  private parseWait(): Wait {
    const wait = WAITS.find((known) => known === this.wait);
    if (wait !== undefined) return wait;
    throw new UsageError(`--wait ${this.wait}: use one of ${WAITS.join(', ')}`);
  }
}

export class ZoneOutCommand extends IntentCommand {
  static override paths = [['zone', 'out']];
  static override usage = Command.Usage({
    category: ZONES,
    description: 'Takes an availability zone out: it gets no new work.',
    examples: [
      ['Take a zone out and wait until every entry obeys', '$0 zone out cyberjaya --wait in-force'],
    ],
  });
  zone = Option.String();

  protected override buildBody(): CommandBody<OperatorCommand> {
    return { kind: 'zoneOut', zone: this.zone };
  }
}

export class ZoneInCommand extends IntentCommand {
  static override paths = [['zone', 'in']];
  static override usage = Command.Usage({
    category: ZONES,
    description: 'Brings an availability zone back.',
    examples: [['Bring a zone back', '$0 zone in cyberjaya']],
  });
  zone = Option.String();

  protected override buildBody(): CommandBody<OperatorCommand> {
    return { kind: 'zoneIn', zone: this.zone };
  }
}

export class UpstreamsLeaveCommand extends IntentCommand {
  static override paths = [['upstreams', 'leave']];
  static override usage = Command.Usage({
    category: UPSTREAMS,
    description: 'Says that the selected upstreams are leaving: they get no new work.',
    examples: [['Drain one rack', '$0 upstreams leave --select service=seam,rack=r4']],
  });
  select = Option.Array('--select', { required: true, description: 'Labels, as key=value.' });

  protected override buildBody(): CommandBody<OperatorCommand> {
    return { kind: 'upstreamsLeave', selector: parseSelector(this.select) };
  }
}

export class UpstreamsStayCommand extends IntentCommand {
  static override paths = [['upstreams', 'stay']];
  static override usage = Command.Usage({
    category: UPSTREAMS,
    description: 'Withdraws an upstreams leave with the same selector.',
    examples: [['Let the rack serve again', '$0 upstreams stay --select service=seam,rack=r4']],
  });
  select = Option.Array('--select', { required: true, description: 'Labels, as key=value.' });

  protected override buildBody(): CommandBody<OperatorCommand> {
    return { kind: 'upstreamsStay', selector: parseSelector(this.select) };
  }
}

export class MoveStartCommand extends IntentCommand {
  static override paths = [['move', 'start']];
  static override usage = Command.Usage({
    category: MOVES,
    description: 'Moves the traffic of services to a version by a given time.',
    examples: [
      [
        'All traffic of seam to v2 by Friday noon',
        '$0 move start --select service=seam --version v2 --by 2026-12-04T12:00:00+08:00',
      ],
    ],
  });
  select = Option.Array('--select', { required: true, description: 'Labels, as key=value.' });
  version = Option.String('--version', { required: true, description: 'The new version.' });
  by = Option.String('--by', { required: true, description: 'Time by which all should move.' });

  protected override buildBody(): CommandBody<OperatorCommand> {
    const deadline = parseTime(this.by, '--by');
    const selector = parseSelector(this.select);
    // The control member resolves the selector and fills in the services.
    return { kind: 'startMove', selector, services: [], version: this.version, deadline };
  }
}

export class MoveCancelCommand extends IntentCommand {
  static override paths = [['move', 'cancel']];
  static override usage = Command.Usage({
    category: MOVES,
    description: 'Takes a version move back.',
    examples: [['Take a move back by the id that started it', '$0 move cancel ID']],
  });
  moveId = Option.String();

  protected override buildBody(): CommandBody<OperatorCommand> {
    return { kind: 'cancelMove', moveId: this.moveId };
  }
}

export class AskCommand extends SiteCommand {
  static override paths = [['ask']];
  static override usage = Command.Usage({
    category: HISTORY,
    description: 'Tells what became of a command.',
    examples: [['Ask for a command whose answer was lost', '$0 ask ID']],
  });
  id = Option.String();

  protected override async run(session: Session): Promise<number> {
    const outcome = await requestStatus(session, this.id);
    const exitCode = getExitCode(outcome, 'accepted');
    this.print({ ...outcome, exitCode }, describeOutcome(outcome));
    return exitCode;
  }
}

export class LogCommand extends SiteCommand {
  static override paths = [['log']];
  static override usage = Command.Usage({
    category: HISTORY,
    description: 'Lists what was done or taken back.',
    examples: [
      ['What happened on Tuesday?', '$0 log --since 2026-12-01T00:00 --until 2026-12-02T00:00'],
    ],
  });
  since = Option.String('--since', '1970-01-01T00:00:00Z', { description: 'From this time on.' });
  until = Option.String('--until', { description: 'Before this time.' });

  protected override async run(session: Session): Promise<number> {
    const since = parseTime(this.since, '--since');
    const until =
      this.until === undefined ? Number.MAX_SAFE_INTEGER : parseTime(this.until, '--until');
    const result = await session.call((client, deadlineMs, signal) =>
      client.log.query({ since, until, deadlineMs }, { signal }),
    );
    if (result.kind === 'missed') {
      const outcome: CliOutcome = { kind: 'unavailable', remedy: result.remedy };
      this.print(outcome, describeOutcome(outcome));
      return getExitCode(outcome, 'accepted');
    }
    const { records } = result.answer;
    const lines = records.map(
      ({ at, operator, kind, text }) =>
        `${new Date(at).toISOString()} ${operator} ${kind}: ${text}`,
    );
    this.print({ records }, lines.length === 0 ? 'nothing is recorded' : lines.join('\n'));
    return 0;
  }
}
