/**
 * Chooses the upstream for one attempt. Invariant: the chosen upstream is usable and has free capacity
 * under every limit; `checkSend` asserts this whenever a request is sent.
 */
import { checkInvariant, type Instant } from '../model/index.js';
import { computeRamp, hasColdRoom } from './cold.js';
import { computeCost, computeOtherRequests } from './estimate.js';
import { isAllowed } from './fleet.js';
import { generateRandom } from './hash.js';
import type { CallState, RoutingState, ServiceState, UpstreamState } from './state.js';

/** Consecutive failures after which an upstream gets one request at a time, until one succeeds. */
const SINGLE_REQUEST_FAILURES = 2;
/**
 * Share of calls from which the new version of a version move also takes the calls of the old versions
 * if these have no usable upstream.
 */
const MAJORITY_SHARE = 0.5;

/**
 * Returns whether the call goes to the new version of a version move, or `undefined` if there is no move.
 */
export function pickNewVersion(service: ServiceState, roll: number): boolean | undefined {
  const { weight, upstreams } = service;
  if (weight === undefined) return undefined;
  if (roll < weight.share) return true;
  const hasOtherVersions = upstreams.some(
    (known) => known.usable && known.upstream.version !== weight.version,
  );
  return !hasOtherVersions && weight.share >= MAJORITY_SHARE;
}

/**
 * Returns whether the version of the upstream may serve the call. Upstreams of old versions may also serve
 * calls that were assigned to the new version.
 */
function matchVersion(
  service: ServiceState,
  known: UpstreamState,
  useNewVersion: boolean | undefined,
): boolean {
  if (useNewVersion !== false || service.weight === undefined) return true;
  return known.upstream.version !== service.weight.version;
}

/** Returns how many requests this entry may have in flight on the upstream. */
export function computeLimit(
  state: RoutingState,
  service: ServiceState,
  known: UpstreamState,
  batch: boolean,
  now: Instant,
): number {
  const { overcommit, batchShare } = state.options;
  const ramp = computeRamp(state, known, now);
  const capacity = known.upstream.slots * overcommit * ramp * (batch ? batchShare : 1);
  const minShare = Math.floor(capacity / state.fleetSize);
  const share = known.rank < capacity % state.fleetSize ? minShare + 1 : minShare;
  return Math.max(share, capacity - computeOtherRequests(state, service, known, now));
}

function hasRoom(
  state: RoutingState,
  service: ServiceState,
  known: UpstreamState,
  batch: boolean,
  now: Instant,
): boolean {
  if (known.ejectedUntil > now || known.pausedUntil > now) return false;
  if (known.cold) return hasColdRoom(state, known, now);
  if (known.failures >= SINGLE_REQUEST_FAILURES) return known.sentAt.length === 0;
  return known.sentAt.length < computeLimit(state, service, known, batch, now);
}

/**
 * Returns the upstreams that the call may not use because an earlier attempt used them. They are excluded
 * only while an untried upstream could take the call. Otherwise a call that has tried all of them would
 * block the queue until it is overdue.
 */
function listExcluded(
  service: ServiceState,
  call: CallState,
  useNewVersion: boolean | undefined,
  now: Instant,
): readonly string[] {
  if (call.tried.length === 0) return call.tried;
  const hasUntried = service.upstreams.some(
    (known) =>
      known.usable &&
      known.ejectedUntil <= now &&
      matchVersion(service, known, useNewVersion) &&
      !call.tried.includes(known.upstream.id),
  );
  return hasUntried ? call.tried : [];
}

/** Returns the upstreams to which the call may be sent now. */
function listCandidates(
  state: RoutingState,
  service: ServiceState,
  call: CallState,
  now: Instant,
): readonly UpstreamState[] {
  const useNewVersion = pickNewVersion(service, call.versionRoll);
  const batch = call.call.criticality === 'batch';
  const excluded = listExcluded(service, call, useNewVersion, now);
  const eligible = service.upstreams.filter(
    (known) =>
      known.usable &&
      matchVersion(service, known, useNewVersion) &&
      !excluded.includes(known.upstream.id) &&
      hasRoom(state, service, known, batch, now),
  );
  if (useNewVersion !== true) return eligible;
  const newVersion = eligible.filter((known) => known.upstream.version === service.weight?.version);
  return newVersion.length > 0 ? newVersion : eligible;
}

/** Samples at most `count` distinct candidates in random order, which breaks ties between equal costs. */
function pickCandidates(
  candidates: readonly UpstreamState[],
  count: number,
  random: number,
): readonly UpstreamState[] {
  if (candidates.length <= count) {
    const start = Math.floor(random * candidates.length);
    return [...candidates.slice(start), ...candidates.slice(0, start)];
  }
  const remaining = [...candidates];
  return Array.from({ length: count }, (_, salt) => {
    const index = Math.floor(generateRandom(random, salt) * remaining.length);
    return remaining.splice(index, 1);
  }).flat();
}

/**
 * Returns the upstream for the next attempt, or `undefined` if none has free capacity. Cold upstreams with
 * a free slow-start slot come first, because these slots are scarce. Of the others, a random sample is
 * compared by expected latency, so that entries that choose at the same time don't all pick the same one.
 */
export function chooseUpstream(
  state: RoutingState,
  service: ServiceState,
  call: CallState,
  now: Instant,
  random: number,
): UpstreamState | undefined {
  const candidates = listCandidates(state, service, call, now);
  const coldCandidate = call.call.idempotent ? candidates.find((known) => known.cold) : undefined;
  if (coldCandidate !== undefined) return coldCandidate;
  const ramped = candidates.filter(
    (known, index) =>
      !known.cold && computeRamp(state, known, now) >= generateRandom(random, index + 100),
  );
  const sampled = pickCandidates(ramped, state.options.choices, random);
  const costs = sampled.map((known) => computeCost(state, service, known, now));
  return sampled[costs.indexOf(Math.min(...costs))] ?? candidates[0];
}

/** Asserts the invariants of sending a request to an upstream. */
export function checkSend(
  state: RoutingState,
  service: ServiceState,
  known: UpstreamState,
  call: CallState,
  now: Instant,
): void {
  const { id } = known.upstream;
  checkInvariant(
    isAllowed(state.config, known.upstream),
    `request for upstream ${id}, which is leaving or in a zone that is out`,
  );
  checkInvariant(
    call.call.idempotent || !call.mayHaveRun,
    `call ${call.id} is sent again, but isn't idempotent and may have run`,
  );
  checkInvariant(
    !known.cold || hasColdRoom(state, known, now),
    `request for cold upstream ${id} exceeds its slow-start limit`,
  );
  const { weight } = service;
  const isNewVersion = known.upstream.version === weight?.version;
  const share = weight?.share ?? 1;
  checkInvariant(
    !isNewVersion || call.versionRoll < share || share >= MAJORITY_SHARE,
    `version ${known.upstream.version} of ${service.name} gets more than its share of calls`,
  );
}
