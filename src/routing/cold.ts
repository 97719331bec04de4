/**
 * Cold start. Invariant: while an upstream is cold the whole fleet has at most `coldConcurrency`
 * requests in flight on it and starts at most `coldRate` a second: the allowance is divided over entries
 * that the rendezvous order picks, so the entries need no message to agree.
 */
import type { Instant } from '../model/index.js';
import type { RoutingState, UpstreamState } from './state.js';

const MILLISECONDS = 1000;

/**
 * Tells whether this entry holds a part of the cold allowance. All parts but one belong to the first
 * entries in the upstream's rendezvous order; the last part goes round the other entries in turns, so that
 * a dead holder doesn't keep the upstream cold for ever.
 */
export function hasColdShare(state: RoutingState, known: UpstreamState, now: Instant): boolean {
  if (!state.active || !state.leaseHeld) return false;
  const fixed = Math.max(0, state.options.coldConcurrency - 1);
  if (known.rank < fixed) return true;
  const rotating = state.fleetSize - fixed;
  if (rotating <= 1) return true;
  const turn = Math.floor((now - known.coldSince) / state.options.coldTurn);
  return known.rank - fixed === turn % rotating;
}

/** Tells whether a cold upstream may get one more request from this entry. */
export function hasColdRoom(state: RoutingState, known: UpstreamState, now: Instant): boolean {
  if (known.sentAt.length > 0) return false;
  const holders = Math.min(state.options.coldConcurrency, state.fleetSize);
  const gap = (MILLISECONDS * holders) / state.options.coldRate;
  return now - known.lastSentAt >= gap && hasColdShare(state, known, now);
}

/** Returns the share of its traffic that an upstream which became warm may draw by now, from 0 to 1. */
export function computeRamp(state: RoutingState, known: UpstreamState, now: Instant): number {
  return Math.min(1, Math.max(0.1, (now - known.warmSince) / state.options.rampTime));
}

/** Marks an upstream as cold from now on. */
export function markCold(known: UpstreamState, now: Instant): UpstreamState {
  return { ...known, cold: true, coldSince: now, warmAnswers: 0 };
}

/** Marks an upstream as warm from now on. */
export function markWarm(known: UpstreamState, now: Instant): UpstreamState {
  return { ...known, cold: false, warmSince: now, warmAnswers: 0 };
}
