/** The operators' calls and their listener. */
export type {
  AskAnswer,
  ChangeAnswer,
  LogAnswer,
  NoAnswer,
  ShowAnswer,
  SiteReport,
  SubmitAnswer,
} from './answers.js';
export { openOperators, type OperatorsListener, type OperatorsOptions } from './listener.js';
export type { OperatorsRouter } from './router.js';
export { CommandError, parseCommand } from './validate.js';
export { createMoveSteering, type MoveSteering, type MoveSteeringOptions } from './steering.js';
