/**
 * Plans the steps of a traffic move, which takes seconds. Invariant: the share stays at {@link TRIAL_SHARE}
 * until the trial ends, rises and completes only on evidence from requests at the present share, and a bad
 * version is rolled back. Time alone never raises the share.
 */
import type { Catalog, MoveState, TrafficMove } from '../catalog/index.js';
import type { Duration } from '../model/index.js';
import { judgeVersion, type Judgement } from '../rollout/index.js';

/**
 * Share of the requests that a new version gets during its trial. A bad version may get three times as many of the
 * move's requests; the rest covers the seconds until a fault that appears only at the larger shares is found.
 */
const TRIAL_SHARE = 0.03;
/**
 * Largest traffic share of the new version by the elapsed fraction of the move's duration. The trial takes most of the
 * time, so that faults that appear late affect few requests. The time after the last step shows faults under full
 * load and lets requests on the old version finish.
 */
const SHARE_SCHEDULE: readonly (readonly [from: number, share: number])[] = [
  [0, TRIAL_SHARE],
  [0.8, 0.3],
  [0.85, 1],
];
/** Fraction of the move's duration after which a version that has all traffic completes the move. */
const COMPLETION_FRACTION = 0.93;
/** Attempts at the new version since the last step that suffice for the next one. */
const STEP_SAMPLES = 8;
/**
 * Fraction of the move's duration for which the leader must have collected evidence before fewer than
 * {@link STEP_SAMPLES} suffice, because the service gets few requests.
 */
const MIN_WATCHED_FRACTION = 0.3;
/** Share of the attempts expected at the new version that must have been counted then. */
const MIN_COUNTED_RATIO = 0.25;
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

/** Returns the share of the schedule's next step, so that no step is left out after a delay. */
function findNextShare(share: number): number {
  return SHARE_SCHEDULE.find(([, next]) => next > share)?.[1] ?? 1;
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

/**
 * Returns the next step of a running move, or undefined if nothing changes.
 *
 * @example
 * planMoveStep(move, judgement, 1, { elapsed: 11300, watched: 11300 })
 * // { share: 0.3, state: 'running', reason: '81% of its time has passed, 37 attempts since the last step' }
 */
export function planMoveStep(
  move: TrafficMove,
  judgement: Judgement,
  maxShare: number,
  { elapsed, watched }: MoveTimes,
): MoveStep | undefined {
  const verdict = judgeVersion(judgement);
  if (verdict.kind === 'bad') return { share: 0, state: 'rolledBack', reason: verdict.evidence };
  const elapsedFraction = elapsed / move.duration;
  if (elapsedFraction >= 1) {
    const reason = `its time is over at a share of ${move.share}, ${judgement.samples} attempts since the last step`;
    return { share: 0, state: 'rolledBack', reason };
  }
  const planned = SHARE_SCHEDULE.findLast(([from]) => elapsedFraction >= from)?.[1] ?? 0;
  const share = Math.min(planned, maxShare, findNextShare(move.share));
  const isClear = verdict.kind === 'undecided' && hasEvidence(move, judgement, watched);
  if (move.share === 1 && elapsedFraction >= COMPLETION_FRACTION && isClear) {
    return { share: 1, state: 'completed', reason: 'no test speaks against the new version' };
  }
  if (share === move.share || (share > move.share && !isClear)) return undefined;
  return {
    share,
    state: 'running',
    reason: `${Math.round(elapsedFraction * 100)}% of its time has passed, ${judgement.samples} attempts since the last step`,
  };
}
