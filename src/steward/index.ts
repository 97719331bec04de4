/** The duties of the leader of the control group towards the catalog. */
export { planMembershipChange, recordMembershipChange, type JoinRequests } from './members.js';
export { computeMaxShare, planMoveStep, type MoveStep } from './moves.js';
export {
  createSteward,
  type Announcement,
  type OrderOutcome,
  type ReadAnswer,
  type Steward,
} from './steward.js';
