/**
 * Routing decisions: which upstream gets a call, and when calls are queued, refused or retried and
 * upstreams probed.
 */
export { decideRouting } from './decide.js';
export { getConnectionBudget } from './fleet.js';
export { computeRank, generateRandom, hashIds, hashText } from './hash.js';
export { defaultOptions, type RoutingOptions } from './options.js';
export { createRoutingState, type RoutingState } from './state.js';
export type { AttemptFailure, Call, RefusalReason, RoutingEffect, RoutingEvent } from './types.js';
