/**
 * Implements the membership protocol of one entry as a pure function. Invariant: replicas that received the
 * same records store the same records, and the listed upstreams depend only on these records and the time.
 */
import type { Address, Instant, Transition, Upstream } from '../model/index.js';
import type { MembershipMessage } from '../generated/membership.js';
import {
  computeRelease,
  emptyQuarantineState,
  FIRST_QUARANTINE,
  listSuspectedFingerprints,
  updateQuarantine,
} from '../quarantine/index.js';
import {
  advanceProbe,
  advanceSuspicions,
  finishProbe,
  forwardPing,
  handlePing,
  sendReconnect,
} from './detector.js';
import {
  createEntryState,
  createSelfRecord,
  getSelf,
  isAlive,
  listPeers,
  replaceEntry,
} from './entries.js';
import {
  recordClearance,
  buildDelta,
  mergeDelta,
  handleBuckets,
  handleDigest,
  sendRecordsByKey,
  sendFullCopy,
  sendRecords,
  sendGossip,
  startAntiEntropy,
  recordCrash,
} from './gossip.js';
import { pickRandom } from './random.js';
import type {
  MembershipEffect,
  MembershipEvent,
  MembershipIntervals,
  MembershipState,
  SelfDescription,
} from './types.js';
import {
  claimUpstream,
  expireLeases,
  findHolderLostAt,
  isLeaseHolder,
  isListed,
  isSameUpstream,
  pruneUpstreams,
  renewLease,
} from './upstreams.js';

type Step = Transition<MembershipState, MembershipEffect>;

/** Tick intervals without a tick after which the process is treated as having been frozen. */
const MAX_MISSED_TICKS = 4;
/** Entries that this one notifies directly when it leaves; gossip reaches the others. */
const LEAVE_FAN_OUT = 4;
/** Seeds that are asked for a full copy in one join attempt. */
const JOIN_FAN_OUT = 2;

/** Creates the initial state of an entry. */
export function createMembershipState(
  self: SelfDescription,
  seeds: readonly Address[],
  intervals: MembershipIntervals,
  now: Instant,
): MembershipState {
  const own = createEntryState(createSelfRecord(self), undefined, now);
  const schedule = {
    tickedAt: now,
    probedAt: now,
    gossipedAt: now,
    reconnectedAt: now,
    changedAt: now,
  };
  return {
    ...{ self: self.id, seeds, intervals, schedule, sequence: 0 },
    ...{ entries: new Map([[self.id, own]]), upstreams: new Map(), leases: new Map() },
    ...{
      forwardedRenewals: new Map(),
      pendingUpdates: new Map([[`e:${self.id}`, 4]]),
      probe: undefined,
    },
    ...{ indirectProbes: new Map(), probeQueue: [], quarantine: emptyQuarantineState, listed: [] },
    awaitedSeeds: findAwaitedSeeds(seeds.filter((seed) => seed !== self.peerAddress)),
  };
}

/** Returns undefined when no seed is left to ask: the entry has then joined, as no other one knows more. */
function findAwaitedSeeds(seeds: readonly Address[]): readonly Address[] | undefined {
  return seeds.length === 0 ? undefined : seeds;
}

/**
 * Computes the next state and the side effects of an event.
 *
 * @example
 * const { state, effects } = decideMembership(before, { kind: 'ticked', now, random });
 */
export function decideMembership(state: MembershipState, event: MembershipEvent): Step {
  const step = handleEvent(state, event);
  return finishStep(state, step, event);
}

function handleEvent(state: MembershipState, event: MembershipEvent): Step {
  switch (event.kind) {
    case 'started':
      return sendJoin(state, event.now, event.random);
    case 'ticked':
      return handleTick(state, event.now, event.random);
    case 'received':
      return handleMessage(state, event.from, event.message, event.now);
    case 'seedsReplaced':
      return { state: { ...state, seeds: event.seeds }, effects: [] };
    case 'announced':
      return handleAnnouncement(state, event.upstream, event.now);
    case 'upstreamLeft':
      return handleUpstreamLeft(state, event.id, event.incarnation, event.now);
    case 'stopping':
      return markStopping(state, event.now);
    case 'closing':
      return sendLeave(state, event.now, event.random);
    case 'suspected': {
      const { fingerprint, upstreamId, incarnation, ended, now: at } = event;
      const crash = { fingerprint, upstreamId, incarnation, ended, at };
      return { state: recordCrash(state, crash), effects: [] };
    }
    case 'cleared':
      return { state: recordClearance(state, event.fingerprint, event.now), effects: [] };
  }
}

function sendJoin(state: MembershipState, now: Instant, random: number): Step {
  const own = getSelf(state).record;
  const seeds = state.seeds.filter((seed) => seed !== own.peerAddress);
  const delta = buildDelta(state, [`e:${state.self}`], now);
  const effects = pickRandom(seeds, JOIN_FAN_OUT, random).map((to): MembershipEffect => ({
    kind: 'send',
    to,
    message: { kind: 'join', delta },
  }));
  return { state, effects };
}

function handleTick(state: MembershipState, now: Instant, random: number): Step {
  const resumed = applyFreeze(state, now);
  const expired = pruneUpstreams(expireLeases(advanceSuspicions(resumed, now), now), now);
  const pruned = pruneOld(expired, now);
  const probed = advanceProbe(pruned, now, random);
  const gossiped = advanceGossip(probed.state, now, random);
  const reconnected = advanceReconnect(gossiped.state, now, random);
  const effects = [...probed.effects, ...gossiped.effects, ...reconnected.effects];
  return { state: reconnected.state, effects };
}

/**
 * Extends leases and suspicions by the time for which this process was frozen, because it could not receive
 * any renewal or refutation in that time.
 */
function applyFreeze(state: MembershipState, now: Instant): MembershipState {
  const gap = now - state.schedule.tickedAt;
  const schedule = { ...state.schedule, tickedAt: now };
  if (gap <= state.intervals.tick * MAX_MISSED_TICKS) return { ...state, schedule };
  const leases = new Map([...state.leases].map(([id, at]) => [id, Math.min(now, at + gap)]));
  const entries = new Map(
    [...state.entries].map(([id, entry]) =>
      entry.record.status === 'suspect'
        ? [id, { ...entry, statusSince: Math.min(now, entry.statusSince + gap) }]
        : [id, entry],
    ),
  );
  return { ...state, leases, entries, probe: undefined, schedule };
}

function pruneOld(state: MembershipState, now: Instant): MembershipState {
  const { retention, lease } = state.intervals;
  const entries = [...state.entries].filter(
    ([, entry]) => isAlive(entry) || now - entry.statusSince <= retention,
  );
  const forwardedRenewals = [...state.forwardedRenewals].filter(
    ([, { sentAt }]) => now - sentAt <= lease,
  );
  return {
    ...state,
    entries: entries.length === state.entries.size ? state.entries : new Map(entries),
    forwardedRenewals:
      forwardedRenewals.length === state.forwardedRenewals.size
        ? state.forwardedRenewals
        : new Map(forwardedRenewals),
  };
}

function advanceGossip(state: MembershipState, now: Instant, random: number): Step {
  if (now - state.schedule.gossipedAt < state.intervals.gossip) return { state, effects: [] };
  const scheduled = { ...state, schedule: { ...state.schedule, gossipedAt: now } };
  return sendGossip(scheduled, now, random);
}

function advanceReconnect(state: MembershipState, now: Instant, random: number): Step {
  const isJoining = state.awaitedSeeds !== undefined;
  const interval = isJoining ? state.intervals.join : state.intervals.reconnect;
  if (now - state.schedule.reconnectedAt < interval) return { state, effects: [] };
  if (!isJoining && listPeers(state).length > 0) return sendReconnect(state, now, random);
  const scheduled = { ...state, schedule: { ...state.schedule, reconnectedAt: now } };
  return sendJoin(scheduled, now, random);
}

function handleMessage(
  state: MembershipState,
  from: Address,
  message: MembershipMessage,
  now: Instant,
): Step {
  switch (message.kind) {
    case 'join': {
      const merged = mergeDelta(state, message.delta, from, now);
      return { state: merged.state, effects: sendFullCopy(merged.state, from, now) };
    }
    case 'ping': {
      const merged = mergeDelta(state, message.delta, from, now);
      const replied = handlePing(merged.state, from, message.sequence, now);
      return { state: replied.state, effects: [...merged.effects, ...replied.effects] };
    }
    case 'ack': {
      const merged = mergeDelta(state, message.delta, from, now);
      const finished = finishProbe(merged.state, message.sequence, now);
      const repair = startAntiEntropy(finished.state, from, message.hash, now);
      return {
        state: finished.state,
        effects: [...merged.effects, ...finished.effects, ...repair],
      };
    }
    case 'pingRequest':
      return forwardPing(state, from, message.sequence, message.target, now);
    case 'records': {
      const merged = mergeDelta(state, message.delta, from, now);
      return { ...merged, state: recordCopyEnd(merged.state, from, message.copyEnd) };
    }
    case 'buckets':
      return { state, effects: handleBuckets(state, from, message.hashes, now) };
    case 'digest':
      return { state, effects: handleDigest(state, from, message, now) };
    case 'want':
      return { state, effects: sendRecordsByKey(state, from, message.keys, now) };
    case 'renew':
      return handleRenewal(state, from, message.id, message.incarnation, now);
    case 'renewed':
      return recordRenewal(state, message.id, now);
  }
}

/**
 * Ends the join when a whole copy has arrived. A partial copy comes from an entry that is still joining
 * itself, so it only removes this seed from the awaited ones.
 */
function recordCopyEnd(
  state: MembershipState,
  from: Address,
  end: 'partial' | 'whole' | undefined,
): MembershipState {
  if (end === undefined || state.awaitedSeeds === undefined) return state;
  const others = state.awaitedSeeds.filter((seed) => seed !== from);
  return { ...state, awaitedSeeds: end === 'whole' ? undefined : findAwaitedSeeds(others) };
}

function handleRenewal(
  state: MembershipState,
  from: Address,
  id: string,
  incarnation: number,
  now: Instant,
): Step {
  const record = state.upstreams.get(id)?.record;
  const holdsLease = record?.upstream.incarnation === incarnation && isLeaseHolder(state, record);
  if (!holdsLease) return { state, effects: [] };
  const message = { kind: 'renewed', id, incarnation } as const;
  return { state: renewLease(state, id, now), effects: [{ kind: 'send', to: from, message }] };
}

function recordRenewal(state: MembershipState, id: string, now: Instant): Step {
  const forwardedRenewals = new Map(state.forwardedRenewals).set(id, {
    sentAt: now,
    confirmed: true,
  });
  return { state: { ...state, forwardedRenewals }, effects: [] };
}

/** Handles an announcement: starts a lease here, renews it, or forwards it to the lease holder. */
function handleAnnouncement(state: MembershipState, announced: Upstream, now: Instant): Step {
  const known = state.upstreams.get(announced.id);
  const record = known?.record;
  if (known === undefined || record === undefined)
    return { state: claimUpstream(state, announced, now), effects: [] };
  if (record.upstream.incarnation > announced.incarnation) return { state, effects: [] };
  if (record.upstream.incarnation < announced.incarnation)
    return { state: claimUpstream(state, announced, now), effects: [] };
  const leaving = record.upstream.leaving || announced.leaving;
  const upstream = { ...announced, leaving };
  if (isLeaseHolder(state, record) && isSameUpstream(record, upstream))
    return { state: renewLease(state, upstream.id, now), effects: [] };
  const leaseEnded = record.lapsed || findHolderLostAt(state, known) !== undefined;
  if (leaseEnded || !isSameUpstream(record, upstream))
    return { state: claimUpstream(state, upstream, now), effects: [] };
  return forwardRenewal(state, upstream, record.home, now);
}

function forwardRenewal(
  state: MembershipState,
  upstream: Upstream,
  home: string,
  now: Instant,
): Step {
  const forwarded = state.forwardedRenewals.get(upstream.id);
  const unanswered = forwarded !== undefined && !forwarded.confirmed;
  if (unanswered && now - forwarded.sentAt < state.intervals.probeTimeout)
    return { state, effects: [] };
  if (unanswered) return { state: claimUpstream(state, upstream, now), effects: [] };
  const to = state.entries.get(home)?.record.peerAddress ?? '';
  const { id, incarnation } = upstream;
  const forwardedRenewals = new Map(state.forwardedRenewals).set(id, {
    sentAt: now,
    confirmed: false,
  });
  const message = { kind: 'renew', id, incarnation } as const;
  return {
    state: { ...state, forwardedRenewals },
    effects: [{ kind: 'send', to, message }],
  };
}

function handleUpstreamLeft(
  state: MembershipState,
  id: string,
  incarnation: number,
  now: Instant,
): Step {
  const upstream = state.upstreams.get(id)?.record.upstream;
  if (upstream === undefined || upstream.incarnation > incarnation) return { state, effects: [] };
  if (upstream.incarnation === incarnation && upstream.leaving) return { state, effects: [] };
  // The leave of a newer incarnation shows that the known one has ended, too.
  const left = { ...upstream, incarnation, leaving: true };
  return { state: claimUpstream(state, left, now), effects: [] };
}

function markStopping(state: MembershipState, now: Instant): Step {
  const own = getSelf(state).record;
  if (own.stopping) return { state, effects: [] };
  const record = { ...own, counter: own.counter + 1, stopping: true };
  return { state: replaceEntry(state, record, now), effects: [] };
}

function sendLeave(state: MembershipState, now: Instant, random: number): Step {
  const own = getSelf(state).record;
  const record = { ...own, counter: own.counter + 1, stopping: true, status: 'left' as const };
  const left = replaceEntry(state, record, now);
  const delta = { entries: [record] };
  const effects = pickRandom(listPeers(left), LEAVE_FAN_OUT, random).flatMap((peer) =>
    sendRecords(peer.record.peerAddress, delta),
  );
  return { state: left, effects };
}

/** Updates the list of upstreams and adds the effects that report changes. */
function finishStep(before: MembershipState, step: Step, event: MembershipEvent): Step {
  const { now } = event;
  const state = applyQuarantineRule(step.state, event.kind === 'ticked', now);
  const entriesChanged = state.entries !== before.entries;
  const due = entriesChanged || state.upstreams !== before.upstreams || event.kind === 'ticked';
  const listed = due ? listUpstreams(state, now) : state.listed;
  const listChanged =
    listed.length !== state.listed.length ||
    listed.some((known, index) => known !== state.listed[index]);
  const changes: readonly MembershipEffect[] = [
    ...(listChanged ? [{ kind: 'upstreamsChanged' } as const] : []),
    ...(entriesChanged ? [{ kind: 'entriesChanged' } as const] : []),
    ...(before.awaitedSeeds !== undefined && state.awaitedSeeds === undefined
      ? [{ kind: 'joined' } as const]
      : []),
    ...listQuarantineEffects(before, state, now),
  ];
  const next = listChanged ? { ...state, listed } : state;
  return { state: next, effects: [...step.effects, ...changes] };
}

function listUpstreams(state: MembershipState, now: Instant): MembershipState['listed'] {
  return [...state.upstreams.values()].filter((known) => isListed(state, known, now));
}

/**
 * Evaluates the crash reports on every tick, because an upstream may have ended meanwhile, and on each event
 * while there are suspicions.
 */
function applyQuarantineRule(
  state: MembershipState,
  ticked: boolean,
  now: Instant,
): MembershipState {
  if (!ticked && state.quarantine.suspicions.length === 0) return state;
  const hasCrashed = (id: string, incarnation: number): boolean => {
    const record = state.upstreams.get(id)?.record;
    return record === undefined || record.lapsed || record.upstream.incarnation > incarnation;
  };
  // Entries don't try one request at a time, so that each release costs upstreams.
  const quarantine = updateQuarantine(state.quarantine, hasCrashed, now, FIRST_QUARANTINE);
  return quarantine === state.quarantine ? state : { ...state, quarantine };
}

function listQuarantineEffects(
  { quarantine: before }: MembershipState,
  { quarantine: after, self }: MembershipState,
  now: Instant,
): readonly MembershipEffect[] {
  if (before === after) return [];
  const added = [...after.verdicts].filter(
    ([key, verdict]) => before.verdicts.get(key) !== verdict,
  );
  const lifted = [...before.verdicts.keys()].filter((key) => !after.verdicts.has(key));
  const quarantineEffects: readonly MembershipEffect[] = added.map(([fingerprint, verdict]) => ({
    ...{ kind: 'condemned', fingerprints: [fingerprint] },
    until: computeRelease(verdict, fingerprint, self),
  }));
  const liftEffects: readonly MembershipEffect[] =
    lifted.length > 0 ? [{ kind: 'condemned', fingerprints: lifted, until: now }] : [];
  const fingerprints = listSuspectedFingerprints(after);
  return [...quarantineEffects, ...liftEffects, { kind: 'suspectsChanged', fingerprints }];
}
