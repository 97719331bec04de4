/** Rates upstreams by their rejections and resets, for the choice of an upstream. Pure. */
export {
  COUNT_HALF_LIFE,
  computeRejectingShare,
  computeRejectionShare,
  isFullByReport,
  isRejecting,
  type RejectionCounts,
  type ServiceRates,
} from './rejections.js';
export {
  addLoss,
  computeLossLimit,
  isCrowded,
  isResetting,
  isSlotCertain,
  NO_LOSSES,
  type Crowd,
  type Loss,
  type LossState,
  type SlotKnowledge,
} from './losses.js';
