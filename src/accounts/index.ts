/** Client accounts: who sends a request, by its key, and what that allows. Pure. */
export {
  decideAccess,
  isGranted,
  MAX_KEY_AGE,
  type Access,
  type TableCertainty,
} from './access.js';
export { replaceAccountFields, type AccountFieldNames } from './headers.js';
export {
  AccountIndexCache,
  buildAccountIndex,
  parseCredential,
  type AccountIndex,
  type Credential,
} from './keys.js';
export { computeTopRanks, getRank } from './ranks.js';
