/** Requests that crash every upstream that runs them: the evidence, and the rule by which they are refused. */
export { hasProcessEnded } from './check.js';
export {
  countCrashes,
  decideQuarantine,
  listEvidence,
  selectFirstEvidence,
  type Evidence,
  type QuarantineEffect,
  type QuarantineEvent,
} from './decide.js';
export {
  defaultQuarantineLimits,
  findQuarantined,
  type Clearance,
  type Finding,
  type QuarantineOptions,
  type Standing,
  type Suspicion,
} from './rule.js';
export {
  addClearance,
  addSuspicion,
  addVerdict,
  computeRelease,
  emptyQuarantineState,
  FIRST_QUARANTINE,
  hasSuspicion,
  listOpenFingerprints,
  listSuspectedFingerprints,
  updateQuarantine,
  type QuarantineState,
  type Verdict,
} from './state.js';
