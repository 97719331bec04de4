/**
 * Rate limits of the whole fleet, divided among gateways. Invariant: the total of all gateways
 * stays within the limit of the fleet as long as each gateway keeps to its share, even when
 * gateways join, leave or restart.
 */
import type { Duration, Instant } from '../model/index.js';
import { computeRank, hashIds } from '../routing/index.js';

/** Limits on retries of requests. */
export interface RetryBounds {
  /** Retries per request, over all gateways. */
  readonly ratio: number;
  /** Additional retries, over all gateways. */
  readonly slack: number;
}

/** Share of the ratio that is used. The rest covers requests that are counted in another window. */
const RATIO_SAFETY_FACTOR = 0.75;
/** Share of the slack that all gateways together may save up. */
const SLACK_SAFETY_FACTOR = 0.5;
/**
 * Minimum number of gateways by which the slack is divided, as the list of gateways may be
 * incomplete.
 */
const MIN_ASSUMED_GATEWAYS = 8;

/**
 * Retry budget of this gateway for one service. A gateway that has just started has no saved
 * retries.
 */
export class RetryBudget {
  readonly #bounds: RetryBounds;
  #tokens = 0;

  constructor(bounds: RetryBounds) {
    this.#bounds = bounds;
  }

  /** Adds the retry credit for one request of a caller. */
  addRequest(gateways: number): void {
    const cap = Math.max(
      1,
      (this.#bounds.slack * SLACK_SAFETY_FACTOR) / Math.max(gateways, MIN_ASSUMED_GATEWAYS),
    );
    this.#tokens = Math.min(cap, this.#tokens + this.#bounds.ratio * RATIO_SAFETY_FACTOR);
  }

  /** Takes one retry from the budget and returns whether one was available. */
  takeRetry(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}

/** Limits on requests to a cold upstream in any second, over all gateways. */
export interface ColdBounds {
  /** Multiple of the request rate that the upstream can handle. */
  readonly factor: number;
  readonly slack: number;
}

/** Share of the upstream's rate that all gateways together use. */
const COLD_RATE_SAFETY_FACTOR = 0.55;
/**
 * Requests per second that the limit must allow for each participating gateway; caps the number of
 * participants.
 */
const MIN_COLD_RATE_PER_GATEWAY = 3;

/** A request rate that all gateways together may not exceed at one upstream. */
export interface SharedRate {
  /** Requests per second that all gateways together use. */
  readonly rate: number;
  /** Largest number of gateways among which the rate is divided; each of them may have one request ahead. */
  readonly maxParticipants: number;
}

/** Returns the shared rate of a cold upstream that can handle `rate` requests per second. */
export function computeColdRate(rate: number, { factor, slack }: ColdBounds): SharedRate {
  const bound = rate * factor + slack;
  return {
    rate: rate * COLD_RATE_SAFETY_FACTOR,
    maxParticipants: Math.floor(bound / MIN_COLD_RATE_PER_GATEWAY),
  };
}

/** Share of a limit named by an upstream that all gateways together use; the rest covers different lists of gateways. */
const LIMIT_SAFETY_FACTOR = 0.8;
/**
 * Seconds of requests at the limit, and requests besides, by which all gateways together may exceed it at once. Each
 * participant may send one request ahead of its turn.
 */
const LIMIT_BURST_SECONDS = 2;
const LIMIT_BURST = 3;

/** Returns the shared rate of an upstream that takes `limit` requests per second from all gateways together. */
export function computeLimitRate(limit: number): SharedRate {
  return {
    rate: limit * LIMIT_SAFETY_FACTOR,
    maxParticipants: Math.floor(limit * LIMIT_BURST_SECONDS) + LIMIT_BURST,
  };
}

/**
 * Returns the milliseconds between two requests of this gateway to an upstream with a shared rate, or undefined if
 * the gateway is not among the participants. The first requests of all participants may coincide, so their number is
 * limited. Gateways that know different lists of gateways differ in their shares; the rate leaves room for that.
 *
 * @example
 * computeSharedInterval('up-1', 'entry-1', ['entry-1', 'entry-2'], { rate: 12, maxParticipants: 12 }) // 167
 */
export function computeSharedInterval(
  upstream: string,
  self: string,
  gateways: readonly string[],
  { rate, maxParticipants }: SharedRate,
): Duration | undefined {
  const participants = Math.max(1, Math.min(gateways.length, maxParticipants));
  const { hashes, indexes } = hashIds(gateways);
  const ownIndex = indexes.get(self);
  if (ownIndex === undefined || computeRank(upstream, ownIndex, hashes) >= participants)
    return undefined;
  return (1000 * participants) / Math.max(rate, MIN_SHARED_RATE);
}

/** Lowest shared rate in requests per second, so that an upstream that names 0 is still asked now and then. */
const MIN_SHARED_RATE = 0.1;

/**
 * Exponential moving average that gives its first samples more weight, so that it converges
 * quickly.
 */
export class MovingAverage {
  readonly #weight: number;
  #value: number;
  #count: number;

  /** `count` is the number of samples that the initial value counts for. */
  constructor(initial: number, weight: number, count = 0) {
    this.#value = initial;
    this.#weight = weight;
    this.#count = count;
  }

  get value(): number {
    return this.#value;
  }

  addSample(sample: number): void {
    this.#count += 1;
    const weight = Math.max(this.#weight, 1 / (this.#count + 1));
    this.#value += (sample - this.#value) * weight;
  }
}

/** Token bucket with a capacity of one second's worth of tokens. */
export class TokenBucket {
  #tokens = 0;
  #refilledAt: Instant | undefined;

  /** Adds the tokens that accrued since the last call. */
  refill(perSecond: number, now: Instant): void {
    const elapsed = now - (this.#refilledAt ?? now - 1000);
    this.#refilledAt = now;
    this.#tokens = Math.min(perSecond, this.#tokens + (perSecond * elapsed) / 1000);
  }

  hasToken(): boolean {
    return this.#tokens >= 1;
  }

  takeToken(): void {
    this.#tokens -= 1;
  }
}
