/**
 * Plans the steps of a traffic move, which takes seconds. Invariant: the share stays at {@link TRIAL_SHARE}
 * until the trial ends, rises and completes only on evidence from requests at the present share, and a bad
 * version is rolled back. Time alone never raises the share.
 */
import type { Catalog, MoveState, TrafficMove } from '../catalog/index.js';
import type { Duration } from '../model/index.js';
import { countOldAttempts, judgeVersion, type Judgement } from '../rollout/index.js';

/** Share of the requests that a new version gets until the service's rate is known. */
const FIRST_SHARE = 0.03;
/** Largest share during the trial, whatever the budget. */
const MAX_TRIAL_SHARE = 0.05;
/** Part of the planned budget that the trial may take: most faults show there, and those of all traffic only later. */
const TRIAL_BUDGET_RATIO = 0.3;
/** Milliseconds for which the leader counts requests before it relies on their rate. */
const RATE_TIME: Duration = 2000;
/** Share between the trial and all traffic, which shows faults under load at a third of their cost. */
const MIDDLE_SHARE = 0.3;
/**
 * Milliseconds before the deadline from which a move may complete. A completion can't be undone, so it waits for as
 * much evidence as there is time for; the rest is for the commit, and for a second attempt at it.
 */
const COMPLETION_LEAD: Duration = 300;
/** Least milliseconds with all traffic before the completion: those of the answers and their evidence, several times. */
const MIN_FULL_TIME: Duration = 900;
/** Largest part of the move's duration that it spends with all traffic, and at the middle share. */
const MAX_STEP_FRACTION = 0.15;
/** Part of the exposure budget that the schedule plans with; the rest is for chance. */
const PLANNED_BUDGET_RATIO = 0.95;
/** Milliseconds from a request to its evidence at the leader, which the middle step takes besides its samples. */
const EVIDENCE_TIME: Duration = 500;
/** Least milliseconds at the middle share. */
const MIN_MIDDLE_TIME: Duration = 600;
/** Attempts at the new version since the last step that suffice for the next one. */
const STEP_SAMPLES = 8;
/**
 * Fraction of the move's duration for which the leader must have collected evidence before fewer than
 * {@link STEP_SAMPLES} suffice, because the service gets few requests.
 */
const MIN_WATCHED_FRACTION = 0.3;
/** Share of the attempts expected at the new version that must have been counted then. */
const MIN_COUNTED_RATIO = 0.25;
/** Attempts at the old version that a completion must have been compared with, unless the leader watched for long. */
const MIN_BASE_ATTEMPTS = 50;
/** Slots that the new version needs to take all traffic, as a share of the old version's slots. */
const REQUIRED_SLOT_RATIO = 0.6;

/** The next share and state of a traffic move. */
export interface MoveStep {
  readonly share: number;
  readonly state: MoveState;
  /** Reason of the step, for the log. */
  readonly reason: string;
}

function countSlots(
  catalog: Catalog,
  service: string,
  matches: (version: string) => boolean,
): number {
  return [...catalog.instances.values()]
    .filter((instance) => instance.service === service && !instance.draining)
    .filter(({ zone, version }) => !catalog.zonesOut.includes(zone) && matches(version))
    .reduce((sum, { slots }) => sum + slots, 0);
}

/** Returns the largest traffic share that the upstreams of the new version have the capacity for. */
export function computeCapacityShare(catalog: Catalog, move: TrafficMove): number {
  const own = countSlots(catalog, move.service, (version) => version === move.version);
  const others = countSlots(catalog, move.service, (version) => version !== move.version);
  if (own === 0) return 0;
  return others === 0 ? 1 : Math.min(1, own / (others * REQUIRED_SLOT_RATIO));
}

/** How many requests a bad version may get between the order of its move and the deadline. */
export interface ExposureBudget {
  /** Share of the requests for the service. */
  readonly share: number;
  /** Requests besides. */
  readonly slack: number;
}

/** The budget of a site whose settings name none. */
export const DEFAULT_EXPOSURE_BUDGET: ExposureBudget = { share: 0.1, slack: 50 };

/** When a move takes which share; times are milliseconds after the order. */
export interface MoveSchedule {
  readonly trialShare: number;
  readonly middleFrom: Duration;
  readonly fullFrom: Duration;
  readonly completeFrom: Duration;
}

/**
 * Returns when the share may rise. All traffic comes so late that a version whose fault shows only then stays within
 * the budget until the completion; `rate` is the service's requests in a millisecond.
 *
 * @example
 * planSchedule(16_000, 0.08, { share: 0.1, slack: 50 })
 * // { trialShare: 0.03, middleFrom: 13156, fullFrom: 13989, completeFrom: 15700 }
 */
export function planSchedule(
  duration: Duration,
  rate: number,
  budget: ExposureBudget,
): MoveSchedule {
  const maxTime = duration * MAX_STEP_FRACTION;
  const requests = rate * duration;
  const planned = (budget.share * requests + budget.slack) * PLANNED_BUDGET_RATIO;
  const affordableTrial = requests === 0 ? 0 : (planned * TRIAL_BUDGET_RATIO) / requests;
  const trialShare = Math.min(MAX_TRIAL_SHARE, Math.floor(affordableTrial * 100) / 100);
  const sampleTime = rate === 0 ? Infinity : STEP_SAMPLES / (MIDDLE_SHARE * rate);
  const middleTime = Math.min(maxTime, Math.max(MIN_MIDDLE_TIME, sampleTime + EVIDENCE_TIME));
  const left = planned - trialShare * requests - MIDDLE_SHARE * rate * middleTime;
  const affordableTime = rate === 0 ? Infinity : left / rate;
  const minFullTime = Math.min(MIN_FULL_TIME, maxTime);
  const completeFrom = duration - Math.min(COMPLETION_LEAD, maxTime / 2);
  const fullFrom = completeFrom - Math.min(maxTime, Math.max(minFullTime, affordableTime));
  return { trialShare, middleFrom: fullFrom - middleTime, fullFrom, completeFrom };
}

/** Returns the planned share, which rises by one step at a time and doesn't fall once it was reached. */
function planShare(
  share: number,
  elapsed: Duration,
  { trialShare, middleFrom, fullFrom }: MoveSchedule,
): number {
  if (share < FIRST_SHARE) return FIRST_SHARE;
  if (share < MIDDLE_SHARE)
    return elapsed >= middleFrom ? MIDDLE_SHARE : Math.max(share, trialShare);
  return elapsed >= fullFrom ? 1 : Math.max(share, MIDDLE_SHARE);
}

/** Times of a move, in milliseconds. */
export interface MoveTimes {
  /** Since the move was ordered. */
  readonly elapsed: Duration;
  /** Since this leader began to collect evidence on the move. */
  readonly watched: Duration;
}

/** Returns whether enough attempts at the present share were counted to raise it. */
function hasEvidence(move: TrafficMove, judgement: Judgement, watched: Duration): boolean {
  const { samples, attempts } = judgement;
  if (move.share === 0 || samples >= STEP_SAMPLES) return true;
  const isWatched = watched >= move.duration * MIN_WATCHED_FRACTION;
  return isWatched && samples > 0 && samples >= attempts * move.share * MIN_COUNTED_RATIO;
}

/** Returns whether the leader knows how the old version did; a new leader of a late move may not. */
function hasBase(move: TrafficMove, judgement: Judgement, watched: Duration): boolean {
  const isWatched = watched >= move.duration * MIN_WATCHED_FRACTION;
  return isWatched || countOldAttempts(judgement) >= MIN_BASE_ATTEMPTS;
}

/**
 * Returns the next step of a running move, or undefined if nothing changes.
 *
 * @example
 * planMoveStep(move, judgement, 1, { elapsed: 13_800, watched: 13_800 })
 * // { share: 0.3, state: 'running', reason: '86% of its time has passed, 37 attempts since the last step' }
 */
export function planMoveStep(
  move: TrafficMove,
  judgement: Judgement,
  maxShare: number,
  { elapsed, watched }: MoveTimes,
  budget: ExposureBudget = DEFAULT_EXPOSURE_BUDGET,
): MoveStep | undefined {
  const verdict = judgeVersion(judgement);
  if (verdict.kind === 'bad') return { share: 0, state: 'rolledBack', reason: verdict.evidence };
  const elapsedFraction = elapsed / move.duration;
  if (elapsedFraction >= 1) {
    const reason = `its time is over at a share of ${move.share}, ${judgement.samples} attempts since the last step`;
    return { share: 0, state: 'rolledBack', reason };
  }
  const rate = watched >= RATE_TIME ? judgement.totalAttempts / watched : 0;
  const schedule = planSchedule(move.duration, rate, budget);
  const share = Math.min(planShare(move.share, elapsed, schedule), maxShare);
  const isClear = verdict.kind === 'undecided' && hasEvidence(move, judgement, watched);
  const mayComplete = isClear && hasBase(move, judgement, watched);
  if (move.share === 1 && elapsed >= schedule.completeFrom && mayComplete) {
    return { share: 1, state: 'completed', reason: 'no test speaks against the new version' };
  }
  if (share === move.share || (share > move.share && !isClear)) return undefined;
  return {
    share,
    state: 'running',
    reason: `${Math.round(elapsedFraction * 100)}% of its time has passed, ${judgement.samples} attempts since the last step`,
  };
}
