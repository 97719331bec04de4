/**
 * Chooses the upstream of one attempt. Invariant: the choice depends on the arguments alone; an upstream
 * that is expected to answer after the deadline is never chosen.
 */
import type { Duration, Instant, ZoneId } from '../model/index.js';
import { computeTrust } from './looks.js';
import type { UpstreamRecord } from './types.js';

/** Pace that is assumed of an upstream without a fresh report. */
const UNKNOWN_PACE = 1.5;
/** Milliseconds that an upstream in another availability zone counts as slower. */
const ZONE_PENALTY: Duration = 3;
/** Part of the time until an answer is late that an upstream of the own zone may take for a large one. */
const LARGE_TARGET_USE = 0.8;
/** Expected time, as a multiple of the best one, up to which upstreams are as good as the best. */
const EQUAL_RATIO = 1.15;
/** Milliseconds on top of that. */
const EQUAL_SLACK: Duration = 2;
/** Part of the work by which an upstream without a free slot counts as slower than its queue suggests. */
const QUEUE_PENALTY = 0.3;
/** Requests that may wait in an upstream for each of its slots; many hang where their queue is full. */
const WAITING_PER_SLOT = 2;
/** Share of bad answers from which an upstream counts as failing. */
const FAILING_SHARE = 0.2;
/** Answers that the share needs to mean anything. */
const FAILING_COUNT = 4;
/** Times by which a failing upstream counts as slower, for each share of bad answers. */
const FAILING_PENALTY = 8;

/** Times by which an upstream that left a look unanswered counts as slower. */
const SILENCE_PENALTY = 8;

/** What the choice rests on, besides the upstreams. */
export interface ChoiceContext {
  readonly now: Instant;
  /** Milliseconds of work at the usual pace. */
  readonly work: Duration;
  /** Milliseconds that are left. */
  readonly left: Duration;
  /** Milliseconds until the answer is late in the eyes of the caller. */
  readonly target: Duration;
  readonly zone: ZoneId;
  /** Whether the answer is large, so that carrying it between zones is dear. */
  readonly isLarge: boolean;
  /** Upstreams that were just asked for their load. */
  readonly looked: readonly UpstreamRecord[];
  /** Whether a connection to the upstream is open and idle; a new one takes time and a slot there. */
  readonly hasConnection: (record: UpstreamRecord) => boolean;
  /** Share of the time left, or until the answer is late, that the expected time may take. */
  readonly patience: number;
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
  if (!Number.isFinite(age)) return UNKNOWN_PACE;
  const trust = computeTrust(age);
  return record.report.pace * trust + UNKNOWN_PACE * (1 - trust);
}

/** Returns how many requests are believed to be in the upstream. */
export function computeOccupancy(record: UpstreamRecord): number {
  const { running, waiting } = record.report;
  return Math.max(record.inFlight, running + waiting + record.sinceReport);
}

/** Returns the share of bad answers, 0 while too few are known. */
export function computeBadShare({ good, bad }: UpstreamRecord): number {
  return bad < 1 || good + bad < FAILING_COUNT ? 0 : bad / (good + bad);
}

/** Returns the milliseconds until an answer is expected. */
export function computeTime(record: UpstreamRecord, work: Duration, now: Instant): Duration {
  const { slots } = record.instance;
  const ahead = Math.max(0, computeOccupancy(record) + 1 - slots);
  const queue = ahead > 0 ? QUEUE_PENALTY + ahead / slots : 0;
  return work * computePace(record, now) * (1 + queue);
}

function isOpen(record: UpstreamRecord, now: Instant): boolean {
  if (record.blockedUntil > now || record.outOfReachUntil > now) return false;
  return record.coldUntil <= now || record.coldTurnAt <= now;
}

interface Rated {
  readonly record: UpstreamRecord;
  readonly expected: Duration;
  readonly cost: Duration;
}

function measureUpstream(record: UpstreamRecord, context: ChoiceContext): Rated {
  const { now, work, zone } = context;
  const expected = computeTime(record, work, now);
  const badShare = computeBadShare(record);
  const failing = badShare > FAILING_SHARE ? 1 + badShare * FAILING_PENALTY : 1;
  const silent = record.silentUntil > now ? SILENCE_PENALTY : 1;
  return {
    record,
    expected,
    cost: expected * failing * silent + (record.instance.zone === zone ? 0 : ZONE_PENALTY),
  };
}

/**
 * Tells whether the upstream may get the request. A free slot is used as long as the answer comes before the
 * deadline. Waiting for one is worth it only if the answer is in time: in a burst, queues that are longer make
 * every answer late, and the upstreams are as busy without them.
 */
function hasRoom({ record, expected }: Rated, context: ChoiceContext): boolean {
  const { slots } = record.instance;
  const { left, target, patience } = context;
  const occupancy = computeOccupancy(record);
  if (occupancy >= slots * (1 + WAITING_PER_SLOT)) return false;
  return expected <= (occupancy < slots ? left : Math.min(left, target)) * patience;
}

/** Large answers stay within the zone as long as its upstreams answer in time. */
function listPreferred(able: readonly Rated[], context: ChoiceContext): readonly Rated[] {
  if (!context.isLarge) return able;
  const limit = context.target * LARGE_TARGET_USE;
  const near = able.filter(
    ({ record, cost }) => record.instance.zone === context.zone && cost <= limit,
  );
  return near.length > 0 ? near : able;
}

/**
 * Returns one of those that are about as good as the best: one that was just looked at if there is any, otherwise
 * one with an idle connection, and those with more free slots more often.
 */
function pickAmongBest(rated: readonly Rated[], context: ChoiceContext): Rated | undefined {
  const { random, looked, hasConnection } = context;
  const least = Math.min(...rated.map(({ cost }) => cost));
  const equal = rated.filter(({ cost }) => cost <= least * EQUAL_RATIO + EQUAL_SLACK);
  const best =
    [
      equal.filter(({ record }) => looked.includes(record)),
      equal.filter(({ record }) => hasConnection(record)),
    ].find((some) => some.length > 0) ?? equal;
  const weights = best.map(({ record }) =>
    Math.max(0.5, record.instance.slots - computeOccupancy(record)),
  );
  const target = random * weights.reduce((sum, weight) => sum + weight, 0);
  const sums = weights.map((_, at) =>
    weights.slice(0, at + 1).reduce((sum, next) => sum + next, 0),
  );
  return best[sums.findIndex((sum) => sum > target)] ?? best.at(-1);
}

/**
 * Returns the upstream for the next attempt.
 *
 * @example
 * chooseUpstream(records, { now, work: 60, left: 480, target: 180, zone: 'cyberjaya', ... })
 */
export function chooseUpstream(records: readonly UpstreamRecord[], context: ChoiceContext): Choice {
  const open = records.filter((record) => isOpen(record, context.now));
  if (open.length === 0) return { kind: 'noUpstream' };
  const rated = open.map((record) => measureUpstream(record, context));
  const able = rated.filter((one) => hasRoom(one, context));
  const chosen = pickAmongBest(listPreferred(able, context), context);
  if (chosen !== undefined) {
    const { record, expected } = chosen;
    return { kind: 'chosen', record, expected, slowdown: expected / context.work };
  }
  const soonest = Math.min(...rated.map(({ expected }) => expected));
  return {
    kind: 'noRoom',
    wait: Math.max(context.work, soonest - context.left * context.patience),
  };
}
