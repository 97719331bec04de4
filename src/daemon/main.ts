#!/usr/bin/env node
/** The `chivewalkd` command: runs one process of a site, or checks its settings file. */
import 'reflect-metadata';
import { Builtins, Cli, Command, Option } from 'clipanion';
import { formatProblem, loadSettings } from '../settings/index.js';
import { runProcess } from './process.js';
import { describeShortGroup } from './tolerance.js';

const EXIT_BAD_SETTINGS = 2;
const EXIT_FAILED_START = 3;

class RunCommand extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description: 'Runs one process of a site.',
    details: 'Reads the settings file, opens the listeners of its roles and serves until SIGTERM.',
    examples: [
      ['Run an entry', 'chivewalkd /etc/chivewalk/entry-1.ini'],
      ['Check a settings file', 'chivewalkd --check /etc/chivewalk/entry-1.ini'],
    ],
  });

  check = Option.Boolean('--check', false, { description: 'Check the settings file and stop.' });
  file = Option.String();

  override async execute(): Promise<number> {
    const settings = loadSettings(this.file);
    if (settings.isErr()) {
      settings.error.forEach((problem) => this.context.stderr.write(`${formatProblem(problem)}\n`));
      return EXIT_BAD_SETTINGS;
    }
    if (this.check) {
      this.context.stdout.write(`${this.file}: the settings are sound\n`);
      const { control } = settings.value;
      const warning =
        control?.tolerated_losses === undefined
          ? undefined
          : describeShortGroup(control.members.length, control.tolerated_losses);
      if (warning !== undefined) this.context.stdout.write(`${this.file}: warning: ${warning}\n`);
      return 0;
    }
    try {
      await runProcess(settings.value);
      return 0;
    } catch (error) {
      const text = error instanceof Error ? error.message : String(error);
      this.context.stderr.write(`chivewalkd can't start: ${text}\n`);
      return EXIT_FAILED_START;
    }
  }
}

const cli = new Cli({
  binaryName: 'chivewalkd',
  binaryLabel: 'chivewalk daemon',
  binaryVersion: '0.1.0',
});
cli.register(RunCommand);
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
process.exitCode = await cli.run(process.argv.slice(2));
