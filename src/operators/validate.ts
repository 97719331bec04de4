/** Validates commands from operators. Invariant: only commands with a valid shape and time reach the log. */
import { Ajv, type ValidateFunction } from 'ajv';
import { intentSchema } from '../generated/intent.js';
import type { OperatorCommand } from '../intent/index.js';

/** Maximum difference between the wall clocks of an operator and a control member, in milliseconds. */
export const MAX_CLOCK_SKEW = 60 * 60 * 1000;
/** Maximum deadline that a call may request, in milliseconds. */
export const MAX_CALL_DEADLINE = 30_000;

/** Thrown for an invalid command; the message explains to the operator how to fix it. */
export class CommandError extends Error {
  override readonly name = 'CommandError';
  readonly kind = 'invalidCommand';
}

const ajv = new Ajv({ allErrors: false, discriminator: false, strict: false });
ajv.addSchema({ ...intentSchema, $id: 'intent' });

/** Names of the schema definitions of operators' commands, by command kind. */
const DEFINITIONS: Readonly<Record<OperatorCommand['kind'], string>> = {
  zoneOut: 'ZoneOut',
  zoneIn: 'ZoneIn',
  upstreamsLeave: 'UpstreamsLeave',
  upstreamsStay: 'UpstreamsStay',
  startMove: 'StartMove',
  cancelMove: 'CancelMove',
};
const validators = new Map<string, ValidateFunction<OperatorCommand>>();

function getValidator(kind: unknown): ValidateFunction<OperatorCommand> {
  const name = Object.hasOwn(DEFINITIONS, String(kind))
    ? DEFINITIONS[kind as OperatorCommand['kind']]
    : undefined;
  if (name === undefined) {
    const kinds = Object.keys(DEFINITIONS).join(', ');
    throw new CommandError(`no command of kind ${String(kind)}: use one of ${kinds}`);
  }
  const cached = validators.get(name);
  if (cached !== undefined) return cached;
  const compiled = ajv.compile<OperatorCommand>({ $ref: `intent#/definitions/${name}` });
  validators.set(name, compiled);
  return compiled;
}

/**
 * Returns the validated command, or throws a {@link CommandError} that names the invalid field.
 *
 * @example
 * parseCommand({ kind: 'zoneOut', zone: 'cyberjaya', id, operator, issuedAt }, Date.now())
 */
export function parseCommand(value: unknown, wallNow: number): OperatorCommand {
  const kind = typeof value === 'object' && value !== null && 'kind' in value ? value.kind : value;
  const validate = getValidator(kind);
  if (!validate(value)) {
    const [error] = validate.errors ?? [];
    const field = error?.instancePath.slice(1).replaceAll('/', '.') ?? '';
    const location = field === '' ? 'the command' : field;
    throw new CommandError(`mend ${location}: it ${error?.message ?? 'has the wrong shape'}`);
  }
  if (Math.abs(value.issuedAt - wallNow) > MAX_CLOCK_SKEW) {
    throw new CommandError(
      'set the clock of this computer: it differs from the control member by over an hour',
    );
  }
  return value;
}
