/**
 * Slow start of cold upstreams. Invariant: while an upstream is cold, the whole fleet has at most
 * `coldConcurrency` requests in flight on it and starts at most `coldRate` requests a second. Rendezvous
 * hashing divides this budget among the entries, so they agree on it without exchanging messages.
 */
import type { Instant } from '../model/index.js';
import { computeRank } from './hash.js';
import type { RoutingState, UpstreamState } from './state.js';

const MILLISECONDS = 1000;
/** Share of a rotating slow-start slot in which its holder may start requests. */
const SLOT_USABLE_SHARE = 0.25;

/**
 * Returns whether this entry holds a slow-start slot of the upstream. All slots but one belong to the first
 * entries in the upstream's rendezvous order. The last slot rotates among all entries, so that the upstream
 * also warms up when those first entries have no calls for it. Requests start only in the first
 * {@link SLOT_USABLE_SHARE} of a rotating slot; the rest leaves time for them to end and covers clock
 * differences between entries.
 *
 * A joining member takes a slot from at most one other member and can't use it yet, so the limit also holds
 * while only some entries know of the new member.
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

/** Returns whether this entry may send one more request to a cold upstream. */
export function hasColdRoom(state: RoutingState, known: UpstreamState, now: Instant): boolean {
  if (known.sentAt.length > 0) return false;
  const holders = Math.min(state.options.coldConcurrency, state.fleetSize);
  const minInterval = (MILLISECONDS * holders) / state.options.coldRate;
  return now - known.lastSentAt >= minInterval && hasColdSlot(state, known, now);
}

/**
 * Returns the share of its normal traffic that an upstream may get after it became warm. It rises linearly
 * from 0.1 to 1 over `rampTime`.
 */
export function computeRamp(state: RoutingState, known: UpstreamState, now: Instant): number {
  return Math.min(1, Math.max(0.1, (now - known.warmSince) / state.options.rampTime));
}

/** Marks an upstream as cold from now on. */
export function markCold(known: UpstreamState, now: Instant): UpstreamState {
  return { ...known, cold: true, coldSince: now, coldReportsIgnored: false, warmAnswers: 0 };
}

/** Marks an upstream as warm from now on. */
export function markWarm(known: UpstreamState, now: Instant): UpstreamState {
  return { ...known, cold: false, warmSince: now, warmAnswers: 0 };
}
