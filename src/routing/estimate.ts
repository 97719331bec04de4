/**
 * Estimates the load of an upstream and the latency of one more request. Invariant: the estimate of the
 * other entries' load decays from the last load report to the service's average as the report ages.
 */
import type { Instant } from '../model/index.js';
import type { RoutingState, ServiceState, UpstreamState } from './state.js';

/** Estimates how many requests of other entries the upstream holds, running or queued. */
export function computeOtherRequests(
  state: RoutingState,
  service: ServiceState,
  known: UpstreamState,
  now: Instant,
): number {
  const age = now - known.reportedAt;
  const { reportAge, reportWeight } = state.options;
  const freshness = reportWeight * Math.exp(-age / (reportAge * service.latency));
  return service.otherRequests + (known.otherRequests - service.otherRequests) * freshness;
}

/** Estimates how many requests the upstream holds in total, running or queued. */
export function computeLoad(
  state: RoutingState,
  service: ServiceState,
  known: UpstreamState,
  now: Instant,
): number {
  return known.sentAt.length + computeOtherRequests(state, service, known, now);
}

/** Estimates the latency of the upstream; old measurements decay to the average of the service. */
export function computeLatency(
  state: RoutingState,
  service: ServiceState,
  known: UpstreamState,
  now: Instant,
): number {
  const freshness = Math.exp((known.latencyAt - now) / state.options.latencyAge);
  return service.latency + (known.latency - service.latency) * freshness;
}

/**
 * Returns how many times slower than its service's average the upstream is. Ratios below `slowFactor` count
 * as 1. A fifth of the age of the oldest request in flight counts as latency, so an upstream that hangs is
 * found slow before it responds.
 */
export function computeSlowness(
  state: RoutingState,
  service: ServiceState,
  known: UpstreamState,
  now: Instant,
): number {
  const oldest = known.sentAt[0];
  const pending = oldest === undefined ? 0 : (now - oldest) / 5;
  const ratio = Math.max(computeLatency(state, service, known, now), pending) / service.latency;
  return ratio < state.options.slowFactor ? 1 : ratio;
}

/** Estimates the time in milliseconds until the response head of one more request. */
export function computeCost(
  state: RoutingState,
  service: ServiceState,
  known: UpstreamState,
  now: Instant,
): number {
  const { slots, zone } = known.upstream;
  const load = computeLoad(state, service, known, now) + 1;
  const expected = service.latency * computeSlowness(state, service, known, now);
  const penalty = zone === state.zone ? 0 : state.options.zonePenalty;
  return expected * (1 + (load / slots) ** 2) + penalty;
}
