/**
 * Chooses the upstream for one attempt of a request. Invariant: the choice depends only on the
 * arguments, and an upstream that is expected to answer after the deadline is never chosen.
 */
import type { Duration, Instant, ZoneId } from '../model/index.js';
import {
  computeLossLimit,
  computeRejectingShare,
  isCrowded,
  isRejecting,
  isResetting,
  isSlotCertain,
  NO_LOSSES,
} from '../placement/index.js';
import { computeFreshness } from './ondemand.js';
import { computeOccupancy, isRateShared, isTurningAway } from './registry.js';
import type { UpstreamRecord } from './types.js';

/** Pace assumed for an upstream without a fresh load report. */
const DEFAULT_PACE = 1.5;
/** Milliseconds added to the cost of an upstream in another availability zone. */
const CROSS_ZONE_PENALTY: Duration = 3;
/**
 * Share of the remaining time to the target latency up to which upstreams in the own zone are
 * preferred for large responses.
 */
const LARGE_TARGET_SHARE = 0.8;
/** Cost, as a multiple of the lowest one, up to which upstreams count as equally good. */
const TIE_RATIO = 1.15;
/**
 * Like {@link TIE_RATIO}, for lightly loaded upstreams with an idle connection that can still be probed
 * before the request is sent. It covers those whose report is old, but none that is known to be slow:
 * a probe on an open connection costs less than a new connection.
 */
const CONNECTED_TIE_RATIO = 1.5;
/** Milliseconds added to the limit that {@link TIE_RATIO} gives. */
const TIE_SLACK: Duration = 2;
/** Share of its slots up to which an upstream counts as lightly loaded. */
const LIGHT_OCCUPANCY_SHARE = 0.5;
/**
 * Share of the work added to the expected time of an upstream without a free slot, on top of its
 * queueing delay.
 */
const QUEUE_PENALTY = 0.3;
/**
 * Requests that may be queued in an upstream per slot. Many upstreams hang when their queue is
 * full.
 */
const MAX_QUEUED_PER_SLOT = 2;
/** Share of bad answers above which an upstream counts as failing. */
const FAILING_ERROR_RATE = 0.2;
/** Least weight of an upstream in a random choice. */
const MIN_WEIGHT = 0.1;
/** Number of answers below which the error rate is not meaningful and counts as 0. */
const MIN_ERROR_RATE_SAMPLES = 4;
/** Factor that multiplies the error rate of a failing upstream to give the increase of its cost. */
const FAILING_PENALTY = 8;

/** Factor on the cost of an upstream that did not answer an on-demand probe in time. */
const UNRESPONSIVE_PENALTY = 8;

/** Inputs of {@link chooseUpstream}, besides the upstreams. */
export interface ChoiceContext {
  readonly now: Instant;
  /** Milliseconds that the request takes on a VM at normal pace. */
  readonly work: Duration;
  /** Milliseconds until the deadline of the request. */
  readonly timeLeft: Duration;
  /** Milliseconds until the target latency of the route is exceeded. */
  readonly targetTime: Duration;
  readonly zone: ZoneId;
  /** Whether the response is large, which makes transfer between zones expensive. */
  readonly isLarge: boolean;
  /** Upstreams that just answered an on-demand probe. */
  readonly justProbed: readonly UpstreamRecord[];
  /** Whether an idle connection to the upstream is open. A new one takes time and a slot there. */
  readonly hasConnection: (record: UpstreamRecord) => boolean;
  /** Whether the chosen upstream can be probed before the request is sent to it. */
  readonly canProbe: boolean;
  /** Share of the time until the deadline or the target latency that the expected time may take. */
  readonly deadlineShare: number;
  /** Returns the requests per second of all gateways to the service, or undefined while they are not known. */
  readonly getFleetRate?: () => number | undefined;
  /** Whether the request may run twice; true by default. Others avoid upstreams that may lose them. */
  readonly isRepeatable?: boolean;
  /** Random number from 0 (inclusive) to 1 (exclusive). */
  readonly random: number;
}

/** Result of {@link chooseUpstream}. */
export type Choice =
  | {
      readonly kind: 'chosen';
      readonly record: UpstreamRecord;
      readonly expected: Duration;
      /**
       * Ratio of {@link expected} to the work, due to the pace of the VM and the queued requests.
       */
      readonly slowdown: number;
    }
  /**
   * Eligible upstreams exist, but the first of them is expected to have capacity in `wait`
   * milliseconds.
   */
  | { readonly kind: 'noRoom'; readonly wait: Duration }
  | { readonly kind: 'noUpstream' }
  /** The upstreams are not known well enough: the state is too old. */
  | { readonly kind: 'stale' };

/** Returns the estimated pace of the upstream, moving to the default as its report ages. */
export function computePace(record: UpstreamRecord, now: Instant): number {
  const age = now - record.reportedAt;
  if (!Number.isFinite(age)) return DEFAULT_PACE;
  const freshness = computeFreshness(age);
  return record.report.pace * freshness + DEFAULT_PACE * (1 - freshness);
}

/** Returns the share of bad answers, or 0 if too few answers are known. */
export function computeErrorRate({ good, bad }: UpstreamRecord): number {
  return bad < 1 || good + bad < MIN_ERROR_RATE_SAMPLES ? 0 : bad / (good + bad);
}

/** Returns the milliseconds that the upstream is expected to take to answer a new request. */
export function computeExpectedTime(
  record: UpstreamRecord,
  work: Duration,
  now: Instant,
): Duration {
  const { slots } = record.instance;
  const ahead = Math.max(0, computeOccupancy(record) + 1 - slots);
  const queue = ahead > 0 ? QUEUE_PENALTY + ahead / slots : 0;
  return work * computePace(record, now) * (1 + queue);
}

function isEligible(record: UpstreamRecord, now: Instant): boolean {
  if (record.blockedUntil > now || record.unreachableUntil > now) return false;
  if (isTurningAway(record, now)) return false;
  return !isRateShared(record, now) || record.nextSlotAt <= now;
}

interface ScoredUpstream {
  readonly record: UpstreamRecord;
  readonly expected: Duration;
  readonly cost: Duration;
  /** Whether it rejects requests although it has free slots. */
  readonly isRejecting: boolean;
}

function computeScore(record: UpstreamRecord, context: ChoiceContext): ScoredUpstream {
  const { now, work, zone } = context;
  const expected = computeExpectedTime(record, work, now);
  const errorRate = computeErrorRate(record);
  const failingPenalty = errorRate > FAILING_ERROR_RATE ? 1 + errorRate * FAILING_PENALTY : 1;
  const unresponsivePenalty = record.unresponsiveUntil > now ? UNRESPONSIVE_PENALTY : 1;
  return {
    record,
    expected,
    isRejecting: record.rejected > 0 && isRejecting(record, now),
    cost:
      expected * failingPenalty * unresponsivePenalty +
      (record.instance.zone === zone ? 0 : CROSS_ZONE_PENALTY),
  };
}

/**
 * Returns whether the upstream can take the request. A free slot is used as long as the answer is
 * expected before the deadline. Queueing is worthwhile only if the answer is expected within the
 * target latency: in a burst, longer queues make every answer late without increasing throughput.
 */
function hasCapacity(
  { record, expected }: ScoredUpstream,
  context: ChoiceContext,
  lossLimit: number,
): boolean {
  const { slots } = record.instance;
  const { timeLeft, targetTime, deadlineShare } = context;
  const occupancy = computeOccupancy(record);
  if (occupancy >= slots + Math.min(slots * MAX_QUEUED_PER_SLOT, lossLimit)) return false;
  return (
    expected <= (occupancy < slots ? timeLeft : Math.min(timeLeft, targetTime)) * deadlineShare
  );
}

/**
 * Restricts large responses to upstreams of the own zone, as long as some of them are expected to
 * answer in time.
 */
function listPreferred(
  candidates: readonly ScoredUpstream[],
  context: ChoiceContext,
): readonly ScoredUpstream[] {
  if (!context.isLarge) return candidates;
  const limit = context.targetTime * LARGE_TARGET_SHARE;
  const sameZone = candidates.filter(
    ({ record, cost }) => record.instance.zone === context.zone && cost <= limit,
  );
  return sameZone.length > 0 ? sameZone : candidates;
}

/**
 * Returns one item, chosen at random in proportion to the weights. `random` is from 0 (inclusive)
 * to 1 (exclusive). The work is linear in the number of items.
 *
 * @example
 * pickWeighted(['a', 'b'], [1, 3], 0.5) // 'b'
 */
export function pickWeighted<T>(
  items: readonly T[],
  weights: readonly number[],
  random: number,
): T | undefined {
  const threshold = random * weights.reduce((sum, weight) => sum + weight, 0);
  let sum = 0;
  const index = weights.findIndex((weight) => {
    sum += weight;
    return sum > threshold;
  });
  return index >= 0 ? items[index] : items.at(-1);
}

/**
 * Returns whether the upstream is lightly loaded. Beyond that the load is spread over all zones and
 * connections, as load reports are too old to fill an upstream's last slots.
 */
function isLightlyLoaded(record: UpstreamRecord): boolean {
  return computeOccupancy(record) <= record.instance.slots * LIGHT_OCCUPANCY_SHARE;
}

/**
 * Returns the candidates whose cost is close to the lowest. Lightly loaded ones with an idle
 * connection may cost somewhat more, if they can be probed first.
 */
function listTied(
  candidates: readonly ScoredUpstream[],
  { canProbe, hasConnection }: ChoiceContext,
): readonly ScoredUpstream[] {
  const lowestCost = Math.min(...candidates.map(({ cost }) => cost));
  const isWithin = (cost: Duration, ratio: number): boolean =>
    cost <= lowestCost * ratio + TIE_SLACK;
  return candidates.filter(
    ({ record, cost }) =>
      isWithin(cost, TIE_RATIO) ||
      (canProbe &&
        isWithin(cost, CONNECTED_TIE_RATIO) &&
        isLightlyLoaded(record) &&
        hasConnection(record)),
  );
}

/**
 * Returns one of the candidates whose cost is close to the lowest. Upstreams that were just probed
 * come first, then those with an idle connection, then those of the own zone, as a new connection
 * costs more than a transfer between zones; among these, the choice is random and weighted by the
 * number of free slots.
 */
function pickAmongBest(
  candidates: readonly ScoredUpstream[],
  context: ChoiceContext,
): ScoredUpstream | undefined {
  const { random, zone, justProbed, hasConnection } = context;
  const tied = listTied(candidates, context);
  const near = tied.filter(
    ({ record }) => record.instance.zone === zone && isLightlyLoaded(record),
  );
  const preferred =
    [
      tied.filter(({ record }) => justProbed.includes(record)),
      near.filter(({ record }) => hasConnection(record)),
      tied.filter(({ record }) => hasConnection(record)),
      near,
    ].find((some) => some.length > 0) ?? tied;
  const weights = preferred.map(({ record }) =>
    Math.max(0.5, record.instance.slots - computeOccupancy(record)),
  );
  return pickWeighted(preferred, weights, random);
}

/** Returns whether the upstreams reset connections when full and other gateways have probably taken their free slots. */
function isContested(candidates: readonly ScoredUpstream[], context: ChoiceContext): boolean {
  const { now, getFleetRate } = context;
  const losses = candidates[0]?.record.losses.state;
  if (losses === undefined || !isResetting(losses, now)) return false;
  const free = candidates.reduce(
    (sum, { record }) => sum + Math.max(0, record.instance.slots - computeOccupancy(record)),
    0,
  );
  const ages = candidates.reduce((sum, { record }) => sum + now - record.reportedAt, 0);
  return isCrowded({ free, age: ages / candidates.length, rate: getFleetRate?.() ?? Infinity });
}

/**
 * Spreads requests over all candidates, by the places in them and the time that they are expected to take. One that was
 * just probed is known to be free or not, so that it needs no chance.
 */
function pickSpread(
  candidates: readonly ScoredUpstream[],
  { random, justProbed }: ChoiceContext,
): ScoredUpstream | undefined {
  const lowestCost = Math.min(...candidates.map(({ cost }) => cost));
  const probed = candidates.find(
    ({ record, cost }) =>
      justProbed.includes(record) &&
      hasFreeSlot(record) &&
      cost <= lowestCost * CONNECTED_TIE_RATIO + TIE_SLACK,
  );
  if (probed !== undefined) return probed;
  const weights = candidates.map(({ record, cost }) => {
    const places = record.instance.slots * (1 + MAX_QUEUED_PER_SLOT) - computeOccupancy(record);
    return Math.max(MIN_WEIGHT, places) / cost;
  });
  return pickWeighted(candidates, weights, random);
}

/** Excludes upstreams that may lose a request that must not run twice, if those of the service reset connections. */
function listSafe(
  candidates: readonly ScoredUpstream[],
  context: ChoiceContext,
  limit: number,
): readonly ScoredUpstream[] {
  const { isRepeatable = true, work, now, getFleetRate } = context;
  const losses = candidates[0]?.record.losses.state;
  if (isRepeatable || losses === undefined || !isResetting(losses, now)) return candidates;
  const fleetRate = getFleetRate?.();
  const rate = fleetRate === undefined ? undefined : fleetRate / candidates.length;
  return candidates.filter(({ record }) =>
    isSlotCertain({
      ...{ slots: record.instance.slots, occupancy: computeOccupancy(record) },
      ...{ age: now - record.reportedAt, rate, time: work, limit },
    }),
  );
}

/** Returns whether the upstream has a free slot, by its report and the requests sent since. */
export function hasFreeSlot(record: UpstreamRecord): boolean {
  return computeOccupancy(record) < record.instance.slots;
}

/** Returns the requests per second that the upstreams can run. */
function computeServiceRate(candidates: readonly ScoredUpstream[]): number {
  return candidates.reduce(
    (sum, { record, expected }) => sum + (1000 * record.instance.slots) / expected,
    0,
  );
}

/**
 * Returns the choice among the upstreams that reject requests despite free slots, or among the others, if there are
 * both. Those that don't reject and have a free slot get as many requests as they can run.
 */
function pickByRejections(
  withCapacity: readonly ScoredUpstream[],
  context: ChoiceContext,
): ScoredUpstream | undefined {
  const { random, justProbed, getFleetRate } = context;
  const preferred = listPreferred(withCapacity, context);
  const pick = (
    candidates: readonly ScoredUpstream[],
    rescaled: number,
  ): ScoredUpstream | undefined => {
    const pickOne = isContested(candidates, context) ? pickSpread : pickAmongBest;
    return pickOne(candidates, { ...context, random: rescaled });
  };
  const rejecting = preferred.filter((one) => one.isRejecting);
  if (rejecting.length === 0) return pick(preferred, random);
  const free = preferred.filter((one) => !one.isRejecting && hasFreeSlot(one.record));
  if (free.length === 0) return pick(preferred, random);
  const isProbed = ({ record }: ScoredUpstream): boolean => justProbed.includes(record);
  if (free.some(isProbed)) return pick(free, random);
  if (rejecting.some(isProbed)) return pick(rejecting, random);
  const share = computeRejectingShare({
    requests: getFleetRate?.(),
    accepting: computeServiceRate(free),
    rejecting: computeServiceRate(rejecting),
  });
  return random < share
    ? pick(rejecting, random / share)
    : pick(free, (random - share) / (1 - share));
}

/**
 * Returns the upstream for the next attempt, or the reason why there is none.
 *
 * @example
 * chooseUpstream(records, { now, work: 60, timeLeft: 480, targetTime: 180, zone: 'cyberjaya', ... })
 */
export function chooseUpstream(records: readonly UpstreamRecord[], context: ChoiceContext): Choice {
  const eligible = records.filter((record) => isEligible(record, context.now));
  if (eligible.length === 0) return { kind: 'noUpstream' };
  const scored = eligible.map((record) => computeScore(record, context));
  const lossLimit = computeLossLimit(eligible[0]?.losses.state ?? NO_LOSSES, context.now);
  const withCapacity = listSafe(
    scored.filter((one) => hasCapacity(one, context, lossLimit)),
    context,
    lossLimit,
  );
  const chosen = pickByRejections(withCapacity, context);
  if (chosen !== undefined) {
    const { record, expected } = chosen;
    return { kind: 'chosen', record, expected, slowdown: expected / context.work };
  }
  const soonest = Math.min(...scored.map(({ expected }) => expected));
  return {
    kind: 'noRoom',
    wait: Math.max(context.work, soonest - context.timeLeft * context.deadlineShare),
  };
}
