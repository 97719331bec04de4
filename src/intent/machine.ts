/** Adapts the intent state machine to the replicated log. Invariant: decoding an encoded state restores it. */
import { applyCommand } from './apply.js';
import { initialIntent, type Command, type IntentState, type Outcome } from './state.js';

/** Version of the snapshot format; snapshots of any other version are rejected. */
const SNAPSHOT_FORMAT = 1;

/** The operations that the replicated log calls: applying a command, and encoding and decoding snapshots. */
export interface IntentMachine {
  readonly initial: IntentState;
  apply(
    state: IntentState,
    command: unknown,
    index: number,
  ): { readonly state: IntentState; readonly result: Outcome };
  encode(state: IntentState): Buffer;
  decode(snapshot: Uint8Array): IntentState;
}

function decodeState(snapshot: Uint8Array): IntentState {
  const { format, state } = JSON.parse(Buffer.from(snapshot).toString('utf8')) as {
    readonly format: number;
    readonly state: IntentState;
  };
  if (format !== SNAPSHOT_FORMAT) {
    throw new Error(
      `snapshot has format ${format}, this program reads ${SNAPSHOT_FORMAT}: run the version that wrote it`,
    );
  }
  return state;
}

/**
 * Returns the intent state machine for the replicated log.
 *
 * @example
 * const control = await openControl({ ..., machine: createIntentMachine() });
 */
export function createIntentMachine(): IntentMachine {
  return {
    initial: initialIntent,
    apply: (state, command, index) => {
      const applied = applyCommand(state, command as Command, index);
      return { state: applied.state, result: applied.outcome };
    },
    encode: (state) => Buffer.from(JSON.stringify({ format: SNAPSHOT_FORMAT, state }), 'utf8'),
    decode: decodeState,
  };
}
