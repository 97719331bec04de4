/**
 * Cold start. Invariant: while an upstream is cold the whole fleet has at most `coldConcurrency`
 * requests in flight on it and starts at most `coldRate` a second: the allowance is divided over entries
 * that the rendezvous order picks, so the entries need no message to agree.
 */
import type { Instant } from '../model/index.js';
import { computeRank } from './hash.js';
import type { RoutingState, UpstreamState } from './state.js';

const MILLISECONDS = 1000;
/** Share of a turn in which its holder may start work. */
const SLOT_USABLE_SHARE = 0.25;

/**
 * Tells whether this entry holds a part of the cold allowance. All parts but one belong to the first
 * entries in the upstream's rendezvous order; the last part goes round all entries in turns, so that the
 * upstream also warms when those entries have no calls for it. New work starts only in the first
 * {@link SLOT_USABLE_SHARE} of a turn; the rest is left for it to end, and for clocks that differ.
 *
 * A member that joins takes a part from at most one other and can't use it yet, so the allowance holds
 * while some entries know it and others don't.
 */
export function hasColdSlot(state: RoutingState, known: UpstreamState, now: Instant): boolean {
  const { coldConcurrency, coldSlotTime } = state.options;
  if (!state.active || !state.leaseHeld) return false;
  if (known.rank < coldConcurrency - 1 || state.fleetSize <= coldConcurrency) return true;
  const slot = (now - known.startedAt) / coldSlotTime;
  if (slot % 1 > SLOT_USABLE_SHARE) return false;
  const key = `${known.upstream.id} ${Math.floor(slot)}`;
  return computeRank(key, state.selfIndex, state.memberHashes) === 0;
}

/** Tells whether a cold upstream may get one more request from this entry. */
export function hasColdRoom(state: RoutingState, known: UpstreamState, now: Instant): boolean {
  if (known.sentAt.length > 0) return false;
  const holders = Math.min(state.options.coldConcurrency, state.fleetSize);
  const minInterval = (MILLISECONDS * holders) / state.options.coldRate;
  return now - known.lastSentAt >= minInterval && hasColdSlot(state, known, now);
}

/** Returns the share of its traffic that an upstream which became warm may draw by now, from 0 to 1. */
export function computeRamp(state: RoutingState, known: UpstreamState, now: Instant): number {
  return Math.min(1, Math.max(0.1, (now - known.warmSince) / state.options.rampTime));
}

/** Marks an upstream as cold. */
export function markCold(known: UpstreamState, now: Instant): UpstreamState {
  return { ...known, cold: true, coldSince: now, coldReportsIgnored: false, warmAnswers: 0 };
}

/** Marks an upstream as warm from now on. */
export function markWarm(known: UpstreamState, now: Instant): UpstreamState {
  return { ...known, cold: false, warmSince: now, warmAnswers: 0 };
}
