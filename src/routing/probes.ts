/**
 * Schedules probes. Invariant: this entry leaves at least `fleetSize * probeCost / probeShare`
 * milliseconds between two probes of the same upstream, so the probes of all members of the roster together
 * use at most `probeShare` of its time. An entry that is joining, has left the roster or has lost its lease
 * sends no probes.
 */
import { checkInvariant, type Duration, type Instant } from '../model/index.js';
import { isAllowed } from './fleet.js';
import { withService, type RoutingState, type ServiceState, type UpstreamState } from './state.js';
import type { RoutingEffect } from './types.js';

/** Returns the minimum interval between two probes of an upstream by this entry, in milliseconds. */
export function computeProbeInterval(state: RoutingState): Duration {
  return (state.fleetSize * state.options.probeCost) / state.options.probeShare;
}

function isProbeDue(state: RoutingState, known: UpstreamState, now: Instant): boolean {
  if (!known.usable || known.sentAt.length > 0) return false;
  if (now - known.lastSignalAt < state.options.probeIdleTime) return false;
  return now - known.lastProbedAt >= computeProbeInterval(state);
}

function markProbed(state: RoutingState, known: UpstreamState, now: Instant): UpstreamState {
  const sinceLastProbe = now - known.lastProbedAt;
  checkInvariant(
    state.active && state.leaseHeld && sinceLastProbe >= computeProbeInterval(state),
    `probe of upstream ${known.upstream.id} after ${sinceLastProbe} ms exceeds this entry's probe budget`,
  );
  checkInvariant(
    isAllowed(state.config, known.upstream),
    `probe of upstream ${known.upstream.id}, which is leaving or in a zone that is out`,
  );
  return { ...known, lastProbedAt: now };
}

function planServiceProbes(
  state: RoutingState,
  service: ServiceState,
  now: Instant,
  effects: RoutingEffect[],
): ServiceState {
  const upstreams = service.upstreams.map((known) => {
    if (!isProbeDue(state, known, now)) return known;
    const { id, address } = known.upstream;
    effects.push({ kind: 'probe', upstreamId: id, address });
    return markProbed(state, known, now);
  });
  return { ...service, upstreams };
}

/** Adds the probes that are due to `effects` and returns the state after them. */
export function planProbes(
  state: RoutingState,
  now: Instant,
  effects: RoutingEffect[],
): RoutingState {
  if (!state.active || !state.leaseHeld) return state;
  return state.services.reduce((next, service, serviceIndex) => {
    if (!service.upstreams.some((known) => isProbeDue(next, known, now))) return next;
    return withService(next, serviceIndex, planServiceProbes(next, service, now, effects));
  }, state);
}
