/** The duties of the leader of the control group towards the catalog. */
export { planMembers, recordChange, type JoinRequests } from './members.js';
export { computeBearableShare, planStep, type MoveStep } from './moves.js';
export {
  createSteward,
  type Announcement,
  type OrderOutcome,
  type ReadAnswer,
  type Steward,
} from './steward.js';
