/**
 * Matches requests to routes. Invariant: among the routes of a host, the one with the longest
 * matching path prefix wins, regardless of their order in the table.
 */
import type { Route, RoutePart, RouteTable } from '../catalog/index.js';

/** Routes by host, longest prefix first. */
export type RouteIndex = ReadonlyMap<string, readonly Route[]>;

/** Builds the route index of a table. */
export function buildRouteIndex(table: RouteTable | undefined): RouteIndex {
  const byHost = new Map<string, Route[]>();
  (table?.routes ?? []).forEach((route) => {
    const host = route.host.toLowerCase();
    const known = byHost.get(host);
    if (known === undefined) byHost.set(host, [route]);
    else known.push(route);
  });
  return new Map(
    [...byHost].map(([host, routes]) => [
      host,
      routes.sort((one, two) => two.prefix.length - one.prefix.length),
    ]),
  );
}

/** Returns the host name in lower case, without the port. */
function toHostName(host: string): string {
  return host.replace(/:\d+$/, '').toLowerCase();
}

/**
 * Returns the route that matches the host and path of a request, or undefined.
 *
 * @example
 * matchRoute(index, 'records.example', '/seams/17?full=1')
 */
export function matchRoute(index: RouteIndex, host: string, target: string): Route | undefined {
  const [path = ''] = target.split('?', 1);
  return index.get(toHostName(host))?.find(({ prefix }) => path.startsWith(prefix));
}

/**
 * Splits requests between services in proportion to the weights of a route. Invariant: after any
 * number of requests, the number assigned to each part is within one request of its share, so that
 * few requests are enough to see the weights.
 */
export class WeightedSplitter {
  readonly #credits = new Map<string, number>();

  /** Returns the part of the split that the next request is assigned to. */
  pickPart(parts: readonly RoutePart[]): RoutePart | undefined {
    const [only] = parts;
    if (parts.length <= 1) return only;
    const total = parts.reduce((sum, { weight }) => sum + weight, 0);
    parts.forEach(({ service, weight }) => {
      this.#credits.set(service, (this.#credits.get(service) ?? Math.random() * weight) + weight);
    });
    const chosen = parts
      .filter(({ weight }) => weight > 0)
      .reduce<RoutePart | undefined>((best, part) => {
        const credit = this.#credits.get(part.service) ?? 0;
        return best === undefined || credit > (this.#credits.get(best.service) ?? 0) ? part : best;
      }, undefined);
    if (chosen === undefined) return undefined;
    this.#credits.set(chosen.service, (this.#credits.get(chosen.service) ?? 0) - total);
    return chosen;
  }
}
