/**
 * Allowances of the whole fleet, as one gateway may use them. Invariant: what all gateways take together
 * stays within the fleet's bound as long as each keeps to its part, whoever joins, leaves or restarts.
 */
import type { Duration, Instant } from '../model/index.js';
import { computeRank, hashText } from '../routing/index.js';

/** Bounds on repeats of requests. */
export interface RetryBounds {
  /** Repeats for each request, over all gateways. */
  readonly ratio: number;
  /** Repeats on top of that, over all gateways. */
  readonly slack: number;
}

/** Part of the ratio that is used; the rest covers requests that are counted in another window. */
const RATIO_SAFETY_FACTOR = 0.75;
/** Part of the slack that all gateways together may save up. */
const SLACK_SAFETY_FACTOR = 0.5;
/** Gateways that the slack is divided by at least, while the list of them is incomplete. */
const MIN_ASSUMED_GATEWAYS = 8;

/** Repeats that this gateway may send to one service; a gateway that has just started has none saved up. */
export class RetryBudget {
  readonly #bounds: RetryBounds;
  #tokens = 0;

  constructor(bounds: RetryBounds) {
    this.#bounds = bounds;
  }

  /** Counts a request of a caller. */
  addRequest(gateways: number): void {
    const cap = Math.max(
      1,
      (this.#bounds.slack * SLACK_SAFETY_FACTOR) / Math.max(gateways, MIN_ASSUMED_GATEWAYS),
    );
    this.#tokens = Math.min(cap, this.#tokens + this.#bounds.ratio * RATIO_SAFETY_FACTOR);
  }

  /** Takes a repeat if one is left. */
  takeRetry(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}

/** Bounds on requests to a cold upstream in any second, over all gateways. */
export interface ColdBounds {
  /** Multiple of the rate that the upstream bears. */
  readonly factor: number;
  readonly slack: number;
}

/** Part of the rate that the gateways use together. */
const COLD_RATE_SAFETY_FACTOR = 0.55;
/** Requests a second that a gateway with a part in the allowance is worth having for. */
const MIN_COLD_RATE_PER_GATEWAY = 3;

/**
 * Returns the milliseconds between two requests of this gateway to a cold upstream, or nothing if it has
 * no part in the allowance. The first requests of all parts may fall together, so parts are few.
 *
 * @example
 * computeColdPause('up-1', 'entry-1', ['entry-1', 'entry-2'], 22, { factor: 1.5, slack: 5 }) // 165
 */
export function computeColdInterval(
  upstream: string,
  self: string,
  gateways: readonly string[],
  rate: number,
  { factor, slack }: ColdBounds,
): Duration | undefined {
  const bound = rate * factor + slack;
  const participants = Math.max(
    1,
    Math.min(gateways.length, Math.floor(bound / MIN_COLD_RATE_PER_GATEWAY)),
  );
  const ownIndex = gateways.indexOf(self);
  const hashes = gateways.map(hashText);
  if (ownIndex < 0 || computeRank(upstream, ownIndex, hashes) >= participants) return undefined;
  return (1000 * participants) / Math.max(rate * COLD_RATE_SAFETY_FACTOR, 0.1);
}

/** A moving average that trusts its first samples. */
export class MovingAverage {
  readonly #weight: number;
  #value: number;
  #count: number;

  /** `count` is how many samples the initial value stands for. */
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

/** An allowance of so many uses a second, of which one second's worth can be saved up. */
export class TokenBucket {
  #tokens = 0;
  #refilledAt: Instant | undefined;

  /** Adds what has come since the last call. */
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
