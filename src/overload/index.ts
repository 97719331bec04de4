/**
 * Public surface of the waiting decisions. Invariant: other packages import this module only.
 */
export {
  countWaitingRequests,
  decideWaiting,
  emptyWaiting,
  isHeldBack,
  isShort,
  type WaitingState,
} from './decide.js';
export { computeRetryAfter } from './retryafter.js';
export {
  ServiceQueues,
  type QueueHost,
  type WaitingListener,
  type WaitingTicket,
  type TurnResult,
} from './shell.js';
export type {
  Capacity,
  QueuedRequest,
  Waiter,
  WaitingEffect,
  WaitingEvent,
  WaitRefusal,
} from './types.js';
