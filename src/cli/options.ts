/** Options that all commands share. Invariant: options of the command line take precedence over the site file. */
import { readFileSync } from 'node:fs';
import { userInfo } from 'node:os';
import { Command, Option, UsageError } from 'clipanion';
import { parse } from 'ini';
import type { Address } from '../model/index.js';
import { EXIT_CODES } from './outcome.js';
import { createSession, RefusedError, type Session } from './session.js';

/** Default of `--deadline`, in seconds. */
const DEFAULT_DEADLINE_SECONDS = 10;

/** The settings of a site file that the tool uses. */
interface SiteFile {
  readonly control: readonly Address[];
  readonly token: string | undefined;
}

/** Loads `control[] = ADDRESS` and `token = TOKEN` from the section `[operators]` of an INI file. */
function loadSiteFile(file: string): SiteFile {
  const text = readSiteFile(file);
  const { operators } = parse(text) as { readonly operators?: Readonly<Record<string, unknown>> };
  const control = operators?.control ?? [];
  const token = operators?.token;
  const addresses: readonly unknown[] = Array.isArray(control) ? control : [control];
  return { control: addresses.map(String), token: typeof token === 'string' ? token : undefined };
}

function readSiteFile(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch {
    throw new UsageError(`can't read the site file ${file}: check its path and rights`);
  }
}

function parseSeconds(text: string): number {
  const seconds = Number(text);
  if (Number.isFinite(seconds) && seconds > 0) return seconds;
  throw new UsageError(`--deadline ${text}: give a number of seconds above 0`);
}

function checkAddress(address: string): Address {
  if (/^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/.test(address)) return address;
  throw new UsageError(`--control ${address}: give an IP number and a port, as 127.0.0.1:7500`);
}

/** Base of all commands that call control members. */
export abstract class SiteCommand extends Command {
  control = Option.Array('--control', {
    description: "Operators' address of a control member; may be repeated.",
  });
  token = Option.String('--token', { description: "The operators' token." });
  site = Option.String('--site', {
    description: 'INI file with [operators] control[] and token.',
  });
  deadline = Option.String('--deadline', String(DEFAULT_DEADLINE_SECONDS), {
    description: 'Seconds after which the command ends, whatever its outcome.',
  });
  json = Option.Boolean('--json', false, { description: 'Print one JSON object.' });

  /** Runs the command and returns its exit code. */
  protected abstract run(session: Session): Promise<number>;

  override async execute(): Promise<number> {
    try {
      return await this.run(this.openSession());
    } catch (error) {
      if (!(error instanceof RefusedError)) throw error;
      const outcome = { kind: 'refusedInput', remedy: error.message };
      this.print(outcome, `refused: nothing was changed\nremedy: ${error.message}`);
      return EXIT_CODES.refused;
    }
  }

  /** Prints the value as JSON if `--json` is set, otherwise the text. */
  protected print(value: unknown, text: string): void {
    this.context.stdout.write(`${this.json ? JSON.stringify(value) : text}\n`);
  }

  /** The user's name, which the log of commands records; limited to 64 printable ASCII characters. */
  protected get operator(): string {
    return userInfo()
      .username.replaceAll(/[^\x21-\x7e]/g, '-')
      .slice(0, 64);
  }

  private openSession(): Session {
    const file = this.site === undefined ? undefined : loadSiteFile(this.site);
    const addresses = this.control ?? file?.control ?? [];
    const token = this.token ?? file?.token;
    if (addresses.length === 0) {
      throw new UsageError('name a control member: --control ADDRESS, or --site FILE');
    }
    if (token === undefined) {
      throw new UsageError("give the operators' token: --token, or token in the site file");
    }
    const deadline = performance.now() + parseSeconds(this.deadline) * 1000;
    return createSession({
      addresses: addresses.map(checkAddress),
      token,
      deadline,
      now: () => performance.now(),
    });
  }
}
