/**
 * Reads the settings file. Invariant: settings are returned only if the whole file is valid against the schema
 * and consistent.
 */
import { readFileSync } from 'node:fs';
import type { ErrorObject } from 'ajv';
import { parse } from 'ini';
import { Err, Ok, type Result } from 'ts-results-es';
import { settingsSchema, type Settings } from '../generated/settings.js';
import { validateSettings } from '../generated/settings.validate.js';
import { describeSchemaError, type SettingsProblem } from './problem.js';

interface PropertySchema {
  readonly type?: string;
  readonly properties?: Readonly<Record<string, PropertySchema>>;
}

/** A duration with its unit, `ms` or `s`; it is converted to milliseconds. */
const DURATION = /^\s*(\d+(?:\.\d+)?)(ms|s)\s*$/;
/** End of the names of the settings that are durations. */
const DURATION_SUFFIX = '_ms';
const DECIMAL = /^\s*-?\d+(?:\.\d+)?(?:e[+-]?\d+)?\s*$/i;
const MS_PER_SECOND = 1000;

/** A line that opens a section, with the name of the section. */
const SECTION_LINE = /^\s*\[([^\]]*)\]\s*$/;
/** A line that holds nothing, or a comment. */
const EMPTY_LINE = /^\s*(?:[;#].*)?$/;
/** A line with a key and its value, which may be empty. */
const VALUE_LINE = /^\s*([^=]*?)\s*=/;

interface LineScan {
  readonly section: string;
  readonly keys: readonly string[];
  readonly problems: readonly SettingsProblem[];
}

/** Finds lines that the INI format would read as something else: a key alone as true, the last of two values as the only one. */
function findLineProblems(file: string, text: string): readonly SettingsProblem[] {
  const scan = text.split(/\r?\n/).reduce<LineScan>(
    (before, line) => {
      if (EMPTY_LINE.test(line)) return before;
      const section = SECTION_LINE.exec(line)?.[1];
      if (section !== undefined) return { ...before, section };
      const name = VALUE_LINE.exec(line)?.[1];
      const key = `${before.section}.${name ?? line.trim()}`;
      const keys = [...before.keys, key];
      const isDoubled = before.keys.includes(key) && !key.endsWith('[]');
      if (name !== undefined && !isDoubled) return { ...before, keys };
      const problem: SettingsProblem = {
        ...{ kind: 'badValue', file, key },
        found: name === undefined ? 'no value' : 'a second value',
        allowed: 'one line KEY = VALUE',
        remedy: name === undefined ? 'add the value or remove the line' : 'keep one of the lines',
      };
      return { ...before, keys, problems: [...before.problems, problem] };
    },
    { section: '', keys: [], problems: [] },
  );
  return scan.problems;
}

/** Converts text to the type in the schema, since all INI values are text. */
function parseValue(schema: PropertySchema | undefined, value: unknown, key = ''): unknown {
  if (schema?.properties !== undefined && typeof value === 'object' && value !== null) {
    const entries = Object.entries(value).map(([name, inner]) => [
      name,
      parseValue(schema.properties?.[name], inner, name),
    ]);
    return Object.fromEntries(entries) as unknown;
  }
  if (typeof value !== 'string') return value;
  switch (schema?.type ?? 'string') {
    case 'array':
      return value
        .split(',')
        .map((item) => item.trim())
        .filter((item) => item !== '');
    case 'integer':
    case 'number': {
      const duration = key.endsWith(DURATION_SUFFIX) ? DURATION.exec(value) : null;
      if (duration !== null) return Number(duration[1]) * (duration[2] === 's' ? MS_PER_SECOND : 1);
      return DECIMAL.test(value) && Number.isFinite(Number(value)) ? Number(value) : value;
    }
    case 'boolean':
      return value === 'true' ? true : value === 'false' ? false : value;
    default:
      return value;
  }
}

/** Checks constraints between settings that the schema can't express. */
function checkConsistency(file: string, settings: Settings): readonly SettingsProblem[] {
  const { control, entry, gateway, steward } = settings;
  const { roles } = settings.process;
  const isGateway = roles.includes('gateway');
  const isSteward = roles.includes('steward');
  const isControl = settings.process.roles.includes('control');
  const isEntry = settings.process.roles.includes('entry');
  const problem = (key: string, allowed: string, remedy: string): SettingsProblem => ({
    kind: 'inconsistent',
    file,
    key,
    found: 'nothing',
    allowed,
    remedy,
  });
  return [
    ...((isGateway || isSteward) && roles.length > 1
      ? [
          problem(
            'process.roles',
            'gateway or steward alone',
            'run the roles as processes of their own',
          ),
        ]
      : []),
    ...(isGateway && gateway === undefined
      ? [problem('gateway', 'a section', 'add [gateway] with caller_listen and seeds')]
      : []),
    ...(isSteward && steward === undefined
      ? [problem('steward', 'a section', 'add [steward] with order_listen, seeds and data_folder')]
      : []),
    ...((isControl || isEntry) && control === undefined
      ? [problem('control', 'a section with members', 'add [control] members = IP:PORT, ...')]
      : []),
    ...(isControl && control !== undefined && control.data_folder === undefined
      ? [problem('control.data_folder', 'a folder', 'name a folder on the disk of this VM')]
      : []),
    ...(isControl && settings.site.operator_token === undefined
      ? [
          problem(
            'site.operator_token',
            'a token of 16 or more characters',
            'add the token that operators present',
          ),
        ]
      : []),
    ...(isControl && control !== undefined && control.operator_listen === undefined
      ? [problem('control.operator_listen', 'an address', 'add the address for operators')]
      : []),
    ...(isEntry && entry === undefined
      ? [problem('entry', 'a section', 'add [entry] with caller_listen and upstream_listen')]
      : []),
    ...(isEntry && settings.site.upstream_token === undefined
      ? [
          problem(
            'site.upstream_token',
            'a token of 16 or more characters',
            'add the token that upstreams present',
          ),
        ]
      : []),
  ];
}

/**
 * Parses and validates the text of a settings file.
 *
 * @example
 * const settings = parseSettings('site.ini', text);
 * if (settings.isErr()) settings.error.map(formatProblem).forEach((line) => console.error(line));
 */
export function parseSettings(
  file: string,
  text: string,
): Result<Settings, readonly SettingsProblem[]> {
  const lineProblems = findLineProblems(file, text);
  if (lineProblems.length > 0) return Err(lineProblems);
  const raw: unknown = parse(text);
  const converted = parseValue(settingsSchema as PropertySchema, JSON.parse(JSON.stringify(raw)));
  if (!validateSettings(converted)) {
    const errors: readonly ErrorObject[] = validateSettings.errors ?? [];
    return Err(errors.map((error) => describeSchemaError(file, converted, error)));
  }
  const problems = checkConsistency(file, converted);
  return problems.length > 0 ? Err(problems) : Ok(converted);
}

/**
 * Reads and validates a settings file.
 *
 * @example
 * const settings = loadSettings('/etc/chivewalk/site.ini');
 */
export function loadSettings(file: string): Result<Settings, readonly SettingsProblem[]> {
  try {
    return parseSettings(file, readFileSync(file, 'utf8'));
  } catch (error) {
    return Err([
      {
        kind: 'unreadable',
        file,
        key: 'the file',
        found: error instanceof Error ? error.message : String(error),
        allowed: 'a readable INI file',
        remedy: 'check the path and its permissions',
      },
    ]);
  }
}
