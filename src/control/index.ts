/** Raft consensus among the control members, and its durable storage. */
export type {
  AppliedListener,
  ChangeOutcome,
  ControlNode,
  ControlOptions,
  ControlProblem,
  ControlStatus,
  MemberChange,
  ProposeOutcome,
  ReadOutcome,
  SnapshotReport,
  StateMachine,
} from './control.js';
export { StorageError } from './files.js';
export { openControl } from './node.js';
export { MAX_MEMBERS, MAX_VOTERS } from './members.js';
export { toAddress } from './steps.js';
export { hasGroup } from './storage.js';
export { countBearableLosses, countNeededVoters } from './tolerance.js';
export { defaultTimings, type Timings } from './types.js';
