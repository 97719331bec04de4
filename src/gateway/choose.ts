/**
 * Chooses the upstream of one attempt. Invariant: the choice depends on the arguments alone; an upstream
 * that is expected to answer after the deadline is never chosen.
 */
import type { Duration, Instant, ZoneId } from '../model/index.js';
import { computeFreshness } from './ondemand.js';
import type { UpstreamRecord } from './types.js';

/** Pace that is assumed of an upstream without a fresh report. */
const DEFAULT_PACE = 1.5;
/** Milliseconds that an upstream in another availability zone counts as slower. */
const CROSS_ZONE_PENALTY: Duration = 3;
/** Part of the time until an answer is late that an upstream of the own zone may take for a large one. */
const LARGE_TARGET_SHARE = 0.8;
/** Expected time, as a multiple of the best one, up to which upstreams are as good as the best. */
const TIE_RATIO = 1.15;
/** Milliseconds on top of that. */
const TIE_SLACK: Duration = 2;
/** Part of the work by which an upstream without a free slot counts as slower than its queue suggests. */
const QUEUE_PENALTY = 0.3;
/** Requests that may wait in an upstream for each of its slots; many hang where their queue is full. */
const MAX_QUEUED_PER_SLOT = 2;
/** Share of bad answers from which an upstream counts as failing. */
const FAILING_ERROR_RATE = 0.2;
/** Answers that the share needs to mean anything. */
const MIN_ERROR_RATE_SAMPLES = 4;
/** Times by which a failing upstream counts as slower, for each share of bad answers. */
const FAILING_PENALTY = 8;

/** Times by which an upstream that left a look unanswered counts as slower. */
const UNRESPONSIVE_PENALTY = 8;

/** What the choice rests on, besides the upstreams. */
export interface ChoiceContext {
  readonly now: Instant;
  /** Milliseconds of work at the usual pace. */
  readonly work: Duration;
  /** Milliseconds that are left. */
  readonly timeLeft: Duration;
  /** Milliseconds until the answer is late in the eyes of the caller. */
  readonly targetTime: Duration;
  readonly zone: ZoneId;
  /** Whether the answer is large, so that carrying it between zones is dear. */
  readonly isLarge: boolean;
  /** Upstreams that were just asked for their load. */
  readonly justProbed: readonly UpstreamRecord[];
  /** Whether a connection to the upstream is open and idle; a new one takes time and a slot there. */
  readonly hasConnection: (record: UpstreamRecord) => boolean;
  /** Share of the time left, or until the answer is late, that the expected time may take. */
  readonly deadlineShare: number;
  /** From 0 to 1, exclusive. */
  readonly random: number;
}

/** What became of a choice. */
export type Choice =
  | {
      readonly kind: 'chosen';
      readonly record: UpstreamRecord;
      readonly expected: Duration;
      /** Times by which {@link expected} exceeds the work, for the pace there and the requests ahead. */
      readonly slowdown: number;
    }
  /** Upstreams exist; the soonest of them has room in `wait` milliseconds. */
  | { readonly kind: 'noRoom'; readonly wait: Duration }
  | { readonly kind: 'noUpstream' };

/** Returns how slow the upstream is believed to be at present. */
export function computePace(record: UpstreamRecord, now: Instant): number {
  const age = now - record.reportedAt;
  if (!Number.isFinite(age)) return DEFAULT_PACE;
  const freshness = computeFreshness(age);
  return record.report.pace * freshness + DEFAULT_PACE * (1 - freshness);
}

/** Returns how many requests are believed to be in the upstream. */
export function computeOccupancy(record: UpstreamRecord): number {
  const { running, waiting } = record.report;
  return Math.max(record.inFlight, running + waiting + record.inFlightChange);
}

/** Returns the share of bad answers, 0 while too few are known. */
export function computeErrorRate({ good, bad }: UpstreamRecord): number {
  return bad < 1 || good + bad < MIN_ERROR_RATE_SAMPLES ? 0 : bad / (good + bad);
}

/** Returns the milliseconds until an answer is expected. */
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
  return record.coldUntil <= now || record.nextColdSlotAt <= now;
}

interface ScoredUpstream {
  readonly record: UpstreamRecord;
  readonly expected: Duration;
  readonly cost: Duration;
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
    cost:
      expected * failingPenalty * unresponsivePenalty +
      (record.instance.zone === zone ? 0 : CROSS_ZONE_PENALTY),
  };
}

/**
 * Tells whether the upstream may get the request. A free slot is used as long as the answer comes before the
 * deadline. Waiting for one is worth it only if the answer is in time: in a burst, queues that are longer make
 * every answer late, and the upstreams are as busy without them.
 */
function hasCapacity({ record, expected }: ScoredUpstream, context: ChoiceContext): boolean {
  const { slots } = record.instance;
  const { timeLeft, targetTime, deadlineShare } = context;
  const occupancy = computeOccupancy(record);
  if (occupancy >= slots * (1 + MAX_QUEUED_PER_SLOT)) return false;
  return (
    expected <= (occupancy < slots ? timeLeft : Math.min(timeLeft, targetTime)) * deadlineShare
  );
}

/** Large answers stay within the zone as long as its upstreams answer in time. */
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
 * Returns one of those that are about as good as the best: one that was just looked at if there is any, otherwise
 * one with an idle connection, and those with more free slots more often.
 */
function pickAmongBest(
  candidates: readonly ScoredUpstream[],
  context: ChoiceContext,
): ScoredUpstream | undefined {
  const { random, justProbed, hasConnection } = context;
  const lowestCost = Math.min(...candidates.map(({ cost }) => cost));
  const tied = candidates.filter(({ cost }) => cost <= lowestCost * TIE_RATIO + TIE_SLACK);
  const preferred =
    [
      tied.filter(({ record }) => justProbed.includes(record)),
      tied.filter(({ record }) => hasConnection(record)),
    ].find((some) => some.length > 0) ?? tied;
  const weights = preferred.map(({ record }) =>
    Math.max(0.5, record.instance.slots - computeOccupancy(record)),
  );
  const threshold = random * weights.reduce((sum, weight) => sum + weight, 0);
  const cumulativeWeights = weights.map((_, at) =>
    weights.slice(0, at + 1).reduce((sum, next) => sum + next, 0),
  );
  return preferred[cumulativeWeights.findIndex((sum) => sum > threshold)] ?? preferred.at(-1);
}

/**
 * Returns the upstream for the next attempt.
 *
 * @example
 * chooseUpstream(records, { now, work: 60, left: 480, target: 180, zone: 'cyberjaya', ... })
 */
export function chooseUpstream(records: readonly UpstreamRecord[], context: ChoiceContext): Choice {
  const eligible = records.filter((record) => isEligible(record, context.now));
  if (eligible.length === 0) return { kind: 'noUpstream' };
  const scored = eligible.map((record) => computeScore(record, context));
  const withCapacity = scored.filter((one) => hasCapacity(one, context));
  const chosen = pickAmongBest(listPreferred(withCapacity, context), context);
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
