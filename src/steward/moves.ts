/**
 * Plans the steps of a traffic move, which takes seconds. Invariant: the share stays at {@link TRIAL_SHARE}
 * until the trial ends, never rises while the evidence is inconclusive, and a bad version is rolled back.
 */
import type { Catalog, MoveState, TrafficMove } from '../catalog/index.js';
import type { Duration } from '../model/index.js';
import { judgeVersion, type Judgement } from '../rollout/index.js';

/** Share of the requests that a new version gets during its trial; half of what a bad version may get. */
const TRIAL_SHARE = 0.05;
/**
 * Traffic share of the new version by the elapsed fraction of the move's duration. The trial takes most of the
 * time, so that faults that appear late affect few requests. The time after the last step lets requests on the
 * old version finish.
 */
const SHARE_SCHEDULE: readonly (readonly [from: number, share: number])[] = [
  [0, TRIAL_SHARE],
  [0.6, 0.25],
  [0.68, 0.5],
  [0.76, 1],
];
/** Fraction of the move's duration after which a version that has all traffic completes the move. */
const COMPLETION_FRACTION = 0.9;
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
  return Object.values(catalog.instances)
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

/**
 * Returns the next step of a running move, or undefined if nothing changes. `elapsed` is the time since the move
 * was ordered.
 *
 * @example
 * planMoveStep(move, judgement, 1, 8600) // { share: 0.25, state: 'running', reason: '61% of its time has passed' }
 */
export function planMoveStep(
  move: TrafficMove,
  judgement: Judgement,
  maxShare: number,
  elapsed: Duration,
): MoveStep | undefined {
  const verdict = judgeVersion(judgement);
  if (verdict.kind === 'bad') return { share: 0, state: 'rolledBack', reason: verdict.evidence };
  const elapsedFraction = elapsed / move.duration;
  if (move.share === 1 && elapsedFraction >= COMPLETION_FRACTION) {
    return { share: 1, state: 'completed', reason: 'no test speaks against the new version' };
  }
  if (elapsedFraction >= 1) {
    return {
      share: 0,
      state: 'rolledBack',
      reason: `its time is over at a share of ${move.share}`,
    };
  }
  const planned = SHARE_SCHEDULE.findLast(([from]) => elapsedFraction >= from)?.[1] ?? 0;
  const share = Math.min(planned, maxShare);
  if (share === move.share || (share > move.share && verdict.kind === 'doubtful')) return undefined;
  return {
    share,
    state: 'running',
    reason: `${Math.round(elapsedFraction * 100)}% of its time has passed`,
  };
}
