/** Checks what operators send. Invariant: no command reaches the log whose shape or time was not checked. */
import { Ajv, type ValidateFunction } from 'ajv';
import { intentSchema } from '../generated/intent.js';
import type { OperatorCommand } from '../intent/index.js';

/** Highest difference in milliseconds between an operator's and a member's wall clock. */
export const MAX_CLOCK_SKEW = 60 * 60 * 1000;
/** Longest time in milliseconds that one call may ask for. */
export const MAX_CALL_DEADLINE = 30_000;

/** Thrown for a command that can't be taken in; the message names the remedy. */
export class CommandError extends Error {
  override readonly name = 'CommandError';
  readonly kind = 'invalidCommand';
}

const ajv = new Ajv({ allErrors: false, discriminator: false, strict: false });
ajv.addSchema({ ...intentSchema, $id: 'intent' });

/** Schema definitions of the commands that operators may issue, by kind. */
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
 * Returns the command, or throws a {@link CommandError} that says which field to mend.
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
