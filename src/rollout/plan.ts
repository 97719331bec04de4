/**
 * Plans the next step of a version move. Invariant: the share stays between 0 and 1 and within the capacity
 * of the version's upstreams, rises by at most one step at a time, and never rises on a bad verdict.
 */
import { checkInvariant, type Duration } from '../model/index.js';
import { judgeVersion, type Judgement } from './judge.js';

/** The properties of a move that planning uses; times are wall-clock milliseconds. */
export interface PlannedMove {
  readonly step: number;
  readonly share: number;
  readonly late: boolean;
  readonly startedAt: number;
  readonly deadline: number;
  /** When the leader noticed that the current share is in force. */
  readonly stepAt: number;
}

/** The next action on a move. */
export type MoveAction =
  | { readonly kind: 'wait' }
  | {
      readonly kind: 'step';
      readonly share: number;
      readonly late: boolean;
      readonly evidence: string;
    }
  | { readonly kind: 'finish'; readonly evidence: string }
  | { readonly kind: 'takeBack'; readonly evidence: string };

/** Shares of a move's steps; the last but one keeps the old version for comparison. */
const SHARES = [0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 0.9, 1] as const;
/** Last share that leaves traffic on the old version. */
const SOAK_SHARE = 0.9;
/** Attempts at the new version that suffice for a step. */
const STEP_SAMPLES = 200;
/** Minimum time at one share, in milliseconds. */
const MIN_STEP_TIME: Duration = 15_000;
/** Milliseconds at one share without an attempt at the new version, after which a move counts as late. */
const STARVED_AFTER: Duration = 60_000;
/** Maximum time at the soak share, in milliseconds. */
const MAX_SOAK_TIME: Duration = 600_000;
/** Time at the soak share, as a fraction of the move's total time. */
const SOAK_TIME_FRACTION = 0.2;

function getNextShare(share: number): number {
  return SHARES.find((next) => next > share) ?? 1;
}

function countRemainingSteps(share: number): number {
  return SHARES.filter((next) => next > share).length;
}

function getSoakTime(move: PlannedMove): Duration {
  return Math.min(MAX_SOAK_TIME, (move.deadline - move.startedAt) * SOAK_TIME_FRACTION);
}

/** Returns whether there is enough evidence for the next share, or enough time passed if calls are rare. */
function isReady(move: PlannedMove, samples: number, now: number): boolean {
  if (move.share === 0) return true;
  const elapsed = now - move.stepAt;
  if (elapsed < MIN_STEP_TIME || samples === 0) return false;
  if (move.share >= SOAK_SHARE && elapsed < getSoakTime(move)) return false;
  const timePerStep = (move.deadline - move.stepAt) / (countRemainingSteps(move.share) + 1);
  return samples >= STEP_SAMPLES || elapsed >= timePerStep;
}

/** Returns whether a version with all traffic has been tested with it, as far as its time and its calls allow. */
function hasFullEvidence(move: PlannedMove, samples: number, now: number): boolean {
  const elapsed = now - move.stepAt;
  const isTimeShort = elapsed >= (move.deadline - move.stepAt) / 2;
  return samples > 0 && (isTimeShort || (elapsed >= MIN_STEP_TIME && samples >= STEP_SAMPLES));
}

/** Returns whether the move is not expected to finish before its deadline. */
function isLate(move: PlannedMove, samples: number, maxShare: number, now: number): boolean {
  const soak = move.share >= SOAK_SHARE ? 0 : getSoakTime(move);
  // The version is tested with all traffic as well, for as long as at another share.
  const requiredTime = (countRemainingSteps(move.share) + 1) * MIN_STEP_TIME + soak;
  const isStarved = move.share > 0 && samples === 0 && now - move.stepAt > STARVED_AFTER;
  return maxShare < 1 || isStarved || now + requiredTime > move.deadline;
}

function describePlan(samples: number, maxShare: number): string {
  const capacityNote = maxShare < 1 ? `, its upstreams bear ${Math.round(maxShare * 100)}%` : '';
  return `${samples} attempts on the new version since the last step, none of its tests against it${capacityNote}`;
}

/**
 * Returns the next action on a move; `maxShare` is the share that the version's upstreams can handle now.
 *
 * @example
 * planMove(move, judgement, 0.4, Date.now()) // { kind: 'step', share: 0.02, ... }
 */
export function planMove(
  move: PlannedMove,
  judgement: Judgement,
  maxShare: number,
  now: number,
): MoveAction {
  checkInvariant(move.share >= 0 && move.share <= 1, `share ${move.share} lies outside 0 to 1`);
  const verdict = judgeVersion(judgement);
  if (verdict.kind === 'bad') return { kind: 'takeBack', evidence: verdict.evidence };
  const { samples } = judgement;
  const shareLimit = Math.min(Math.max(maxShare, 0), 1);
  const evidence = describePlan(samples, shareLimit);
  const isClear = verdict.kind === 'undecided';
  const isTested = isClear && hasFullEvidence(move, samples, now);
  if (move.share === 1 && shareLimit === 1 && isTested) return { kind: 'finish', evidence };
  if (now >= move.deadline) {
    return {
      kind: 'takeBack',
      evidence: `the deadline passed at ${move.share * 100}%: ${evidence}`,
    };
  }
  const late = isLate(move, samples, shareLimit, now);
  if (move.share > shareLimit) return { kind: 'step', share: shareLimit, late, evidence };
  const share = Math.min(getNextShare(move.share), shareLimit);
  const shouldRaise = isClear && share > move.share && isReady(move, samples, now);
  if (shouldRaise) return { kind: 'step', share, late, evidence };
  if (late && !move.late) return { kind: 'step', share: move.share, late, evidence };
  return { kind: 'wait' };
}
