export { HedgeBook, type HedgeCounts } from './book.js';
export {
  createHedgeState,
  DEFAULT_MAX_EXTRA_WORK,
  decideHedge,
  type HedgeDecision,
  type HedgeEvent,
  type HedgeState,
} from './decide.js';
