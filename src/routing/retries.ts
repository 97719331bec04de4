/**
 * Retry decisions. Invariant: a call that isn't idempotent is retried only if no earlier attempt may have
 * run. In the long run the retries of calls at depth d are at most `retryShare / (d + 1)` of these calls, so
 * 11 levels together multiply the load by less than 1.4.
 */
import type { Instant } from '../model/index.js';
import type { CallState, RoutingState, ServiceState } from './state.js';

const FIRST_SERVER_ERROR = 500;
const NOT_IMPLEMENTED = 501;
const VERSION_NOT_SUPPORTED = 505;
/** Lost connections after which a call is not retried, because the call itself may crash its upstreams. */
const MAX_LOST_CONNECTIONS = 2;
/**
 * Failed connection attempts that don't count towards the limit of attempts, so that a call survives several
 * upstreams that crash at the same time.
 */
const MAX_FAILED_CONNECTS = 8;

/**
 * Returns whether the status indicates a failure of the upstream. 501 and 505 describe the request, so they
 * don't.
 */
export function isServerError(status: number): boolean {
  if (status === NOT_IMPLEMENTED || status === VERSION_NOT_SUPPORTED) return false;
  return status >= FIRST_SERVER_ERROR;
}

/** Adds the retry tokens that one new call contributes, up to `retryBurst`. */
export function addRetryTokens(state: RoutingState, service: ServiceState): ServiceState {
  const { retryBurst, retryShare } = state.options;
  const retryTokens = Math.min(retryBurst, service.retryTokens + retryShare);
  return { ...service, retryTokens };
}

/**
 * Returns the retry tokens that a retry of the call costs. An attempt that made no connection put no load on
 * an upstream, so its retry can't start a retry storm and is free.
 */
export function computeRetryCost(call: CallState, wasConnected: boolean): number {
  return wasConnected ? call.call.depth + 1 : 0;
}

/** Returns whether the call may be retried. */
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
