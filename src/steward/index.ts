/** The tasks of the control group's leader: catalog changes, traffic moves and group membership. */
export { planMembershipChange } from './members.js';
export {
  computeCapacityShare,
  DEFAULT_EXPOSURE_BUDGET,
  planMoveStep,
  type ExposureBudget,
  type MoveStep,
  type MoveTimes,
} from './moves.js';
export { createUsageReporter, type UsageReporter } from './usage.js';
export {
  createSteward,
  type Announcement,
  type OrderOutcome,
  type ReadAnswer,
  type Steward,
} from './steward.js';
