/** The tasks of the control group's leader: catalog changes, traffic moves and group membership. */
export { planMembershipChange } from './members.js';
export { computeCapacityShare, planMoveStep, type MoveStep, type MoveTimes } from './moves.js';
export {
  createSteward,
  type Announcement,
  type OrderOutcome,
  type ReadAnswer,
  type Steward,
} from './steward.js';
