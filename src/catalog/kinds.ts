/** Properties of the kinds of routes. Invariant: each kind is listed in each table, which the compiler checks. */
import type { RouteKind } from './types.js';

interface KindProperties {
  /** Whether a request may run more than once. */
  readonly isIdempotent: boolean;
  /** Whether the body of the request or of the response is large, so that transfer between zones is expensive. */
  readonly isLarge: boolean;
}

const kindProperties: Readonly<Record<RouteKind, KindProperties>> = {
  safe: { isIdempotent: true, isLarge: false },
  unsafe: { isIdempotent: false, isLarge: false },
  download: { isIdempotent: true, isLarge: true },
  upload: { isIdempotent: false, isLarge: true },
};

/** All kinds of routes. */
export const routeKinds = Object.keys(kindProperties) as readonly RouteKind[];

/**
 * Returns whether requests of the kind may run more than once.
 *
 * @example
 * isIdempotentKind('upload') // false
 */
export function isIdempotentKind(kind: RouteKind): boolean {
  return kindProperties[kind].isIdempotent;
}

/**
 * Returns whether requests of the kind carry large bodies in either direction.
 *
 * @example
 * isLargeKind('upload') // true
 */
export function isLargeKind(kind: RouteKind): boolean {
  return kindProperties[kind].isLarge;
}
