/**
 * Decides on a further attempt. Invariant: a call that isn't idempotent gets one only if no earlier
 * attempt may have run; over any time the retries of depth d are at most `retryShare / (d + 1)` of the
 * calls, so that 11 levels together multiply the load by less than 1.4.
 */
import type { Instant } from '../model/index.js';
import type { CallState, RoutingState, ServiceState } from './state.js';

const FIRST_SERVER_ERROR = 500;
const NOT_IMPLEMENTED = 501;
const VERSION_NOT_SUPPORTED = 505;
/** Lost connections after which a call is not sent again: it may be what crashes its upstreams. */
const MAX_LOST_CONNECTIONS = 2;
/** Attempts without a connection that are not counted as attempts: upstreams that died together. */
const MAX_FAILED_CONNECTS = 8;

/** Tells whether the status says that the upstream failed. */
export function isServerError(status: number): boolean {
  if (status === NOT_IMPLEMENTED || status === VERSION_NOT_SUPPORTED) return false;
  return status >= FIRST_SERVER_ERROR;
}

/** Returns the service with the retry tokens that one new call brings. */
export function addRetryTokens(state: RoutingState, service: ServiceState): ServiceState {
  const { retryBurst, retryShare } = state.options;
  const retryTokens = Math.min(retryBurst, service.retryTokens + retryShare);
  return { ...service, retryTokens };
}

/**
 * Returns what a retry of the call takes from the tokens of its service. A connection that was never made
 * loaded no upstream, so another try at one can't start a storm and takes nothing.
 */
export function computeRetryCost(call: CallState, wasConnected: boolean): number {
  return wasConnected ? call.call.depth + 1 : 0;
}

/** Tells whether the call may be sent once more. */
export function isRetryAllowed(
  state: RoutingState,
  service: ServiceState,
  call: CallState,
  wasConnected: boolean,
  now: Instant,
): boolean {
  if (call.call.replayable === false) return false;
  if (call.mayHaveRun && !call.call.idempotent) return false;
  if (call.lostConnections >= MAX_LOST_CONNECTIONS || call.failedConnects > MAX_FAILED_CONNECTS)
    return false;
  if (call.attempt - call.failedConnects >= state.options.attempts) return false;
  if (now + service.latency >= call.call.deadline) return false;
  return service.retryTokens >= computeRetryCost(call, wasConnected);
}
