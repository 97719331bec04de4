/** At-most-once requests: each idempotency key is claimed at a few entries of the committed roster. */
export {
  createClaims,
  type ClaimService,
  type ClaimsOptions,
  type RosterSource,
} from './service.js';
export type { ClaimsSelf } from './decide.js';
export { defaultTimes, type ClaimResult, type ClaimSettlement, type ClaimTimes } from './types.js';
