/** The replicated state that entries route by: routes, upstreams, traffic moves and zones. */
export { findInstanceProblem, isInstanceUpdate } from './instances.js';
export { isIdempotentKind, isLargeKind, routeKinds } from './kinds.js';
export { applyCommand, decodeCatalog, emptyCatalog, encodeCatalog } from './machine.js';
export { getVersionShare, type VersionShare } from './moves.js';
export { applyPatch, findTableProblem, type CatalogTransition } from './routes.js';
export type {
  CallerLimits,
  Catalog,
  CatalogCommand,
  CatalogOutcome,
  ClientAccount,
  EndCause,
  Instance,
  MoveState,
  Route,
  RouteKind,
  RoutePart,
  RoutePatch,
  RouteTable,
  Service,
  TrafficMove,
} from './types.js';
