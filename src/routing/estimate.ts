/**
 * What this entry expects of an upstream: its load and the latency of one more request. Invariant: the
 * estimate of other entries' load moves from the last report to the average as the report ages.
 */
import type { Instant } from '../model/index.js';
import type { RoutingState, ServiceState, UpstreamState } from './state.js';

/** Estimates the requests of other entries in the upstream. */
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

/** Estimates all requests in the upstream, running and waiting. */
export function computeLoad(
  state: RoutingState,
  service: ServiceState,
  known: UpstreamState,
  now: Instant,
): number {
  return known.sentAt.length + computeOtherRequests(state, service, known, now);
}

/** Estimates the latency of the upstream; an old measurement fades to the average of the service. */
export function computeLatency(
  state: RoutingState,
  service: ServiceState,
  known: UpstreamState,
  now: Instant,
): number {
  const freshness = Math.exp((known.latencyAt - now) / state.options.latencyAge);
  return service.latency + (known.latency - service.latency) * freshness;
}

/** Returns how many times slower than its service the upstream seems; at least 1. */
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

/** Estimates the milliseconds until the head of one more answer. */
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
