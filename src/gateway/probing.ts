/**
 * Decides how often the load of an upstream is probed periodically. Invariant: the interval depends only on the
 * arguments, and is never shorter than the base interval.
 *
 * Where hundreds of upstreams share the requests of a service, each of them gets one or two requests a second.
 * Probing all of them at the base interval is several probes for each request, most of which change no choice:
 * a request asks the upstream for its load right before it is sent. The probes, and the load gossip that spreads
 * their results, are then most of the work of the gateways.
 */
import type { Duration, Instant } from '../model/index.js';

/** Periodic probes for each request, as a limit where upstreams get few requests. */
const PROBES_PER_REQUEST = 1.33;
/** Maximum milliseconds between two probes; shorter than the time for which a failed probe keeps requests away. */
const MAX_INTERVAL: Duration = 600;
/** Half-life in milliseconds of a request in the rate of a service. */
const RATE_HALF_LIFE: Duration = 5000;
/** Milliseconds after the first request from which a rate is known well enough to be used. */
const MIN_RATE_AGE: Duration = 2000;

/** Rate of the requests for one service, with recent requests weighted most. */
interface DecayingRate {
  readonly since: Instant;
  readonly count: number;
  readonly countedAt: Instant;
}

/** Returns the weight of a request after the given time. */
function computeWeight(elapsed: Duration): number {
  return 0.5 ** (elapsed / RATE_HALF_LIFE);
}

/** The rates at which this gateway gets requests, by service. */
export class RequestRates {
  readonly #rates = new Map<string, DecayingRate>();

  addRequest(service: string, now: Instant): void {
    const known = this.#rates.get(service) ?? { since: now, count: 0, countedAt: now };
    const count = known.count * computeWeight(now - known.countedAt) + 1;
    this.#rates.set(service, { since: known.since, count, countedAt: now });
  }

  /** Returns the requests per second, or undefined while too little is known. */
  getRate(service: string, now: Instant): number | undefined {
    const known = this.#rates.get(service);
    if (known === undefined || now - known.since < MIN_RATE_AGE) return undefined;
    const seconds = (RATE_HALF_LIFE / Math.LN2 / 1000) * (1 - computeWeight(now - known.since));
    return (known.count * computeWeight(now - known.countedAt)) / seconds;
  }

  /**
   * Returns the rate of this many gateways, or undefined while too little is known. Callers spread over all gateways, so
   * that each of them gets about the same number of requests.
   */
  getFleetRate(service: string, now: Instant, gateways: number): number | undefined {
    const rate = this.getRate(service, now);
    return rate === undefined ? undefined : rate * gateways;
  }
}

/**
 * Returns the milliseconds between two probes of an upstream that gets `rate` requests per second from all
 * gateways; undefined while the rate is unknown.
 *
 * @example
 * computeProbeInterval(150, 17) // 150: the base interval
 * computeProbeInterval(150, 2) // 375
 */
export function computeProbeInterval(base: Duration, rate: number | undefined): Duration {
  if (rate === undefined) return base;
  return Math.max(base, Math.min(MAX_INTERVAL, 1000 / (rate * PROBES_PER_REQUEST)));
}
