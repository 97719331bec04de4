/**
 * Plans the next step of a version move. Invariant: the share stays within 0 to 1 and below what the
 * upstreams of the version can bear, rises by one step at a time, and never rises on a bad verdict.
 */
import { checkInvariant, type Duration } from '../model/index.js';
import { judgeVersion, type Judgement } from './judge.js';

/** What the plan needs of a move; times are wall-clock milliseconds. */
export interface PlannedMove {
  readonly step: number;
  readonly share: number;
  readonly late: boolean;
  readonly startedAt: number;
  readonly deadline: number;
  /** When the present share was noticed to be in force. */
  readonly stepAt: number;
}

/** What to do about a move. */
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

/** Shares that a move passes; the last but one keeps the old version for comparison. */
const SHARES = [0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 0.9, 1] as const;
/** Share at which the old version is last seen. */
const SOAK_SHARE = 0.9;
/** Attempts on the new version that a step rests on. */
const STEP_SAMPLES = 200;
/** Shortest time at one share. */
const MIN_STEP_TIME: Duration = 15_000;
/** Time without any attempt on the new version after which a move is called late. */
const STARVED_AFTER: Duration = 60_000;
/** Longest time at the soak share, and its share of the move's whole time. */
const MAX_SOAK_TIME: Duration = 600_000;
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

/** Tells whether the next share rests on evidence, or on time where calls are rare. */
function isReady(move: PlannedMove, samples: number, now: number): boolean {
  if (move.share === 0) return true;
  const elapsed = now - move.stepAt;
  if (elapsed < MIN_STEP_TIME || samples === 0) return false;
  if (move.share >= SOAK_SHARE && elapsed < getSoakTime(move)) return false;
  const timePerStep = (move.deadline - move.stepAt) / (countRemainingSteps(move.share) + 1);
  return samples >= STEP_SAMPLES || elapsed >= timePerStep;
}

/** Tells whether the move can't be expected to end in time. */
function isLate(move: PlannedMove, samples: number, maxShare: number, now: number): boolean {
  const soak = move.share >= SOAK_SHARE ? 0 : getSoakTime(move);
  const requiredTime = countRemainingSteps(move.share) * MIN_STEP_TIME + soak;
  const isStarved = move.share > 0 && samples === 0 && now - move.stepAt > STARVED_AFTER;
  return maxShare < 1 || isStarved || now + requiredTime > move.deadline;
}

function describePlan(samples: number, maxShare: number): string {
  const capacityNote = maxShare < 1 ? `, its upstreams bear ${Math.round(maxShare * 100)}%` : '';
  return `${samples} attempts on the new version since the last step, none of its tests against it${capacityNote}`;
}

/**
 * Returns what to do about a move; `maxShare` is what the upstreams of the version can bear now.
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
  if (move.share === 1 && shareLimit === 1) return { kind: 'finish', evidence };
  if (now >= move.deadline) {
    return {
      kind: 'takeBack',
      evidence: `the deadline passed at ${move.share * 100}%: ${evidence}`,
    };
  }
  const late = isLate(move, samples, shareLimit, now);
  if (move.share > shareLimit) return { kind: 'step', share: shareLimit, late, evidence };
  const share = Math.min(getNextShare(move.share), shareLimit);
  const isClear = verdict.kind === 'undecided';
  const shouldRaise = isClear && share > move.share && isReady(move, samples, now);
  if (shouldRaise) return { kind: 'step', share, late, evidence };
  if (late && !move.late) return { kind: 'step', share: move.share, late, evidence };
  return { kind: 'wait' };
}
