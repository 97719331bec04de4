/** The replicated state machine of operators' intent: applies commands and derives the configuration. */
export {
  applyCommand,
  findOutcome,
  isOperatorCommand,
  listLog,
  type ApplyResult,
} from './apply.js';
export { buildConfig } from './config.js';
export { createIntentMachine, type IntentMachine } from './machine.js';
export { isRosterSettled } from './roster.js';
export {
  initialIntent,
  type Command,
  type IntentState,
  type LogRecord,
  type Move,
  type OperatorCommand,
  type Outcome,
  type SystemCommand,
} from './state.js';
export { getStatus, type CommandStatus } from './status.js';
export { describeCommand, formatSelector, formatShare } from './text.js';
