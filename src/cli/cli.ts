/** Registers the commands of `chivewalk`, the operators' command-line tool. */
import { Builtins, Cli } from 'clipanion';
import {
  AskCommand,
  LogCommand,
  MoveCancelCommand,
  MoveStartCommand,
  UpstreamsLeaveCommand,
  UpstreamsStayCommand,
  ZoneInCommand,
  ZoneOutCommand,
} from './commands.js';
import { MembersAddCommand, MembersRemoveCommand } from './members.js';
import { ShowCommand } from './show.js';

/**
 * Creates the tool with all its commands.
 *
 * @example
 * process.exitCode = await createCli().run(['zone', 'out', 'cyberjaya', '--site', 'site.ini']);
 */
export function createCli(): Cli {
  const cli = new Cli({
    binaryName: 'chivewalk',
    binaryLabel: "chivewalk operators' tool",
    binaryVersion: '0.1.0',
  });
  [
    ZoneOutCommand,
    ZoneInCommand,
    UpstreamsLeaveCommand,
    UpstreamsStayCommand,
    MoveStartCommand,
    MoveCancelCommand,
    MembersAddCommand,
    MembersRemoveCommand,
    ShowCommand,
    LogCommand,
    AskCommand,
    Builtins.HelpCommand,
    Builtins.VersionCommand,
  ].forEach((command) => {
    cli.register(command);
  });
  return cli;
}
