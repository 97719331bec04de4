/** Evaluates versions on the evidence of all entries, and plans the shares of version moves. */
export { mergeEvidence, toEvidenceRow, type EvidenceRow, type Sample } from './evidence.js';
export {
  addEvidenceBlock,
  countOldAttempts,
  createJudgement,
  judgeVersion,
  startStep,
  type Judgement,
  type Verdict,
} from './judge.js';
export { planMove, type MoveAction, type PlannedMove } from './plan.js';
