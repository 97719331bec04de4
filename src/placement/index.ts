export {
  COUNT_HALF_LIFE,
  computeRejectingShare,
  computeRejectionShare,
  isFullByReport,
  isRejecting,
  type RejectionCounts,
  type ServiceRates,
} from './rejections.js';
