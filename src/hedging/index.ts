/** Decides when a slow request is sent a second time, and keeps the extra work of that within a limit. */
export { HedgeTracker, type HedgeCounts } from './tracker.js';
export {
  createHedgeState,
  DEFAULT_MAX_EXTRA_WORK,
  decideHedge,
  type HedgeDecision,
  type HedgeEvent,
  type HedgeState,
} from './decide.js';
