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
const RATIO_USE = 0.75;
/** Part of the slack that all gateways together may save up. */
const SLACK_USE = 0.5;
/** Gateways that the slack is divided by at least, while the list of them is incomplete. */
const MIN_GATEWAYS = 8;

/** Repeats that this gateway may send to one service; a gateway that has just started has none saved up. */
export class RetryBudget {
  readonly #bounds: RetryBounds;
  #tokens = 0;

  constructor(bounds: RetryBounds) {
    this.#bounds = bounds;
  }

  /** Counts a request of a caller. */
  addRequest(gateways: number): void {
    const cap = Math.max(1, (this.#bounds.slack * SLACK_USE) / Math.max(gateways, MIN_GATEWAYS));
    this.#tokens = Math.min(cap, this.#tokens + this.#bounds.ratio * RATIO_USE);
  }

  /** Takes a repeat if one is left. */
  takeRepeat(): boolean {
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
const COLD_RATE_USE = 0.55;
/** Requests a second that a gateway with a part in the allowance is worth having for. */
const COLD_REQUESTS_EACH = 3;

/**
 * Returns the milliseconds between two requests of this gateway to a cold upstream, or nothing if it has
 * no part in the allowance. The first requests of all parts may fall together, so parts are few.
 *
 * @example
 * computeColdPause('up-1', 'entry-1', ['entry-1', 'entry-2'], 22, { factor: 1.5, slack: 5 }) // 165
 */
export function computeColdPause(
  upstream: string,
  self: string,
  gateways: readonly string[],
  rate: number,
  { factor, slack }: ColdBounds,
): Duration | undefined {
  const bound = rate * factor + slack;
  const parts = Math.max(1, Math.min(gateways.length, Math.floor(bound / COLD_REQUESTS_EACH)));
  const at = gateways.indexOf(self);
  const hashes = gateways.map(hashText);
  if (at < 0 || computeRank(upstream, at, hashes) >= parts) return undefined;
  return (1000 * parts) / Math.max(rate * COLD_RATE_USE, 0.1);
}

/** A moving average that trusts its first samples. */
export class Average {
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
export class Allowance {
  #left = 0;
  #at: Instant | undefined;

  /** Adds what has come since the last call. */
  refill(perSecond: number, now: Instant): void {
    const since = now - (this.#at ?? now - 1000);
    this.#at = now;
    this.#left = Math.min(perSecond, this.#left + (perSecond * since) / 1000);
  }

  has(): boolean {
    return this.#left >= 1;
  }

  take(): void {
    this.#left -= 1;
  }
}
