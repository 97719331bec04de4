/** The API for operators: its listener, its calls, and the controller of version moves. */
export type {
  StatusAnswer,
  ChangeAnswer,
  LogAnswer,
  UnavailableAnswer,
  ShowAnswer,
  SiteReport,
  SubmitAnswer,
} from './answers.js';
export { openOperators, type OperatorsListener, type OperatorsOptions } from './listener.js';
export type { OperatorsRouter } from './router.js';
export { CommandError, parseCommand } from './validate.js';
export {
  createMoveController,
  type MoveController,
  type MoveControllerOptions,
} from './controller.js';
