/**
 * Estimates the work of requests: the milliseconds that they take on a VM at normal pace. Invariant: each pair
 * of route and service has one estimate, which starts from the route's target latency.
 */
import type { Route } from '../catalog/index.js';
import type { Duration } from '../model/index.js';
import { MovingAverage } from './budget.js';

/** Initial estimate of a route's work, before the first answer, as a share of its target latency. */
const INITIAL_WORK_SHARE = 0.3;
/** Weight of one answer in the moving average of a route's work. */
const WORK_WEIGHT = 0.02;

/** The average work of the requests that this gateway has served. */
export class AverageWork {
  readonly #byService = new Map<string, Map<string, MovingAverage>>();

  /** Returns the average of a route's requests to one of its services. */
  get(service: string, { name, targetLatency }: Route): MovingAverage {
    const routes = this.#byService.get(service) ?? new Map<string, MovingAverage>();
    this.#byService.set(service, routes);
    const average =
      routes.get(name) ?? new MovingAverage(targetLatency * INITIAL_WORK_SHARE, WORK_WEIGHT);
    routes.set(name, average);
    return average;
  }

  /** Returns the mean of the averages of the service's routes, or 0 if none of its routes is known. */
  getMean(service: string): Duration {
    const averages = [...(this.#byService.get(service)?.values() ?? [])];
    return averages.reduce((sum, { value }) => sum + value, 0) / Math.max(1, averages.length);
  }

  /** Returns the shortest average of the service's routes, or 0 if none of its routes is known. */
  getShortest(service: string): Duration {
    const averages = [...(this.#byService.get(service)?.values() ?? [])];
    return averages.length === 0 ? 0 : Math.min(...averages.map(({ value }) => value));
  }
}
