/**
 * Describes invalid settings. Invariant: every problem names the file, the key, the found value, the allowed values
 * and the remedy.
 */
import type { ErrorObject } from 'ajv';

/** A reason why a settings file is refused. */
export interface SettingsProblem {
  readonly kind: 'unreadable' | 'unknownKey' | 'missingKey' | 'badValue' | 'inconsistent';
  readonly file: string;
  /** `section.key`, or only the section. */
  readonly key: string;
  readonly found: string;
  readonly allowed: string;
  readonly remedy: string;
}

/**
 * Formats a problem on one line.
 *
 * @example
 * formatProblem(problem) // "site.ini: process.zone: found "KL 1", allowed: text matching ^[a-z0-9-]{1,64}$; ..."
 */
export function formatProblem(problem: SettingsProblem): string {
  const { file, key, found, allowed, remedy } = problem;
  return `${file}: ${key}: found ${found}, allowed: ${allowed}; ${remedy}`;
}

/** Describes the allowed values of a setting that failed schema validation. */
function describeAllowed(error: ErrorObject): string {
  const params = error.params as Readonly<Record<string, unknown>>;
  switch (error.keyword) {
    case 'enum':
      return `one of ${(params.allowedValues as readonly string[]).join(', ')}`;
    case 'pattern':
      return `text matching ${String(params.pattern)}`;
    case 'type':
      return `a value of type ${String(params.type)}`;
    default:
      return `a value that ${error.message ?? 'fits the schema'}`;
  }
}

function findValue(settings: unknown, path: readonly string[]): unknown {
  return path.reduce<unknown>(
    (value, key) => (value as Readonly<Record<string, unknown>> | undefined)?.[key],
    settings,
  );
}

/** Keys whose values are secrets and must not appear in messages. */
const SECRET_KEYS: readonly string[] = ['secret', 'operator_token', 'upstream_token'];

function formatFound(key: string, value: unknown): string {
  if (SECRET_KEYS.some((secret) => key.endsWith(secret))) return 'a value that is not shown';
  return value === undefined ? 'nothing' : JSON.stringify(value);
}

/** Converts a schema validation error to a problem. */
export function describeSchemaError(
  file: string,
  settings: unknown,
  error: ErrorObject,
): SettingsProblem {
  const path = error.instancePath.split('/').slice(1);
  const keyPath = path.join('.');
  const prefix = keyPath === '' ? '' : `${keyPath}.`;
  if (error.keyword === 'additionalProperties') {
    const key = `${prefix}${String(error.params.additionalProperty)}`;
    const allowed = Object.keys(
      (error.parentSchema as { readonly properties?: object }).properties ?? {},
    ).join(', ');
    return {
      kind: 'unknownKey',
      file,
      key,
      found: 'an unknown key',
      allowed,
      remedy: 'correct its name or remove it',
    };
  }
  if (error.keyword === 'required') {
    const key = `${prefix}${String(error.params.missingProperty)}`;
    return {
      kind: 'missingKey',
      file,
      key,
      found: 'nothing',
      allowed: 'a value',
      remedy: `add it to the file`,
    };
  }
  return {
    kind: 'badValue',
    file,
    key: keyPath,
    found: formatFound(keyPath, findValue(settings, path)),
    allowed: describeAllowed(error),
    remedy: 'change the value',
  };
}
