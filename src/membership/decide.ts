/**
 * The membership protocol of one entry as a pure function. Invariant: replicas that received the same
 * records hold the same records, and the listed upstreams follow from them and the time alone.
 */
import type { Address, Instant, Transition, Upstream } from '../model/index.js';
import type { MembershipMessage } from '../generated/membership.js';
import { emptyCondemnState, judgeSuspects, listSuspects } from './condemn.js';
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
  sendAll,
  sendCopy,
  sendRecords,
  sendRumours,
  startRepair,
  recordCrash,
} from './gossip.js';
import { pickSome } from './random.js';
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
  findGoneSince,
  isHome,
  isListed,
  isSameUpstream,
  pruneUpstreams,
  renewLease,
} from './upstreams.js';

type Step = Transition<MembershipState, MembershipEffect>;

/** Ticks that may be missed before the process counts as having been frozen. */
const FREEZE_TICKS = 4;
/** Entries that are told directly when this one leaves. */
const FAREWELL_FAN_OUT = 4;
/** Seeds that are asked for a full copy at once. */
const JOIN_FAN_OUT = 2;

/** Builds the state of an entry that has just started. */
export function createMembershipState(
  self: SelfDescription,
  seeds: readonly Address[],
  intervals: MembershipIntervals,
  now: Instant,
): MembershipState {
  const own = createEntryState(createSelfRecord(self), undefined, now);
  const schedule = { ticked: now, probed: now, gossiped: now, reconnected: now, changed: now };
  return {
    ...{ self: self.id, seeds, intervals, schedule, sequence: 0 },
    ...{ entries: new Map([[self.id, own]]), upstreams: new Map(), leases: new Map() },
    ...{ passed: new Map(), rumours: new Map([[`e:${self.id}`, 4]]), probe: undefined },
    ...{ relays: new Map(), round: [], condemn: emptyCondemnState, listed: [] },
    awaited: findAwaited(seeds.filter((seed) => seed !== self.peerAddress)),
  };
}

/** Where nobody is left to ask, nobody knows more than this entry. */
function findAwaited(seeds: readonly Address[]): readonly Address[] | undefined {
  return seeds.length === 0 ? undefined : seeds;
}

/**
 * Decides what follows from an event.
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
      return advanceTime(state, event.now, event.random);
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
      return sendFarewell(state, event.now, event.random);
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
  const effects = pickSome(seeds, JOIN_FAN_OUT, random).map((to): MembershipEffect => ({
    kind: 'send',
    to,
    message: { kind: 'join', delta },
  }));
  return { state, effects };
}

function advanceTime(state: MembershipState, now: Instant, random: number): Step {
  const thawed = applyFreeze(state, now);
  const aged = pruneUpstreams(expireLeases(advanceSuspicions(thawed, now), now), now);
  const pruned = pruneOld(aged, now);
  const probed = advanceProbe(pruned, now, random);
  const gossiped = advanceGossip(probed.state, now, random);
  const reconnected = advanceReconnect(gossiped.state, now, random);
  const effects = [...probed.effects, ...gossiped.effects, ...reconnected.effects];
  return { state: reconnected.state, effects };
}

/** A process that was frozen heard nothing in that time, so it holds that against nobody. */
function applyFreeze(state: MembershipState, now: Instant): MembershipState {
  const gap = now - state.schedule.ticked;
  const schedule = { ...state.schedule, ticked: now };
  if (gap <= state.intervals.tick * FREEZE_TICKS) return { ...state, schedule };
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
  const passed = [...state.passed].filter(([, { sentAt }]) => now - sentAt <= lease);
  return {
    ...state,
    entries: entries.length === state.entries.size ? state.entries : new Map(entries),
    passed: passed.length === state.passed.size ? state.passed : new Map(passed),
  };
}

function advanceGossip(state: MembershipState, now: Instant, random: number): Step {
  if (now - state.schedule.gossiped < state.intervals.gossip) return { state, effects: [] };
  const scheduled = { ...state, schedule: { ...state.schedule, gossiped: now } };
  return sendRumours(scheduled, now, random);
}

function advanceReconnect(state: MembershipState, now: Instant, random: number): Step {
  const isJoining = state.awaited !== undefined;
  const interval = isJoining ? state.intervals.join : state.intervals.reconnect;
  if (now - state.schedule.reconnected < interval) return { state, effects: [] };
  if (!isJoining && listPeers(state).length > 0) return sendReconnect(state, now, random);
  const scheduled = { ...state, schedule: { ...state.schedule, reconnected: now } };
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
      return { state: merged.state, effects: sendCopy(merged.state, from, now) };
    }
    case 'ping': {
      const merged = mergeDelta(state, message.delta, from, now);
      const replied = handlePing(merged.state, from, message.sequence, now);
      return { state: replied.state, effects: [...merged.effects, ...replied.effects] };
    }
    case 'ack': {
      const merged = mergeDelta(state, message.delta, from, now);
      const finished = finishProbe(merged.state, message.sequence, now);
      const repair = startRepair(finished.state, from, message.hash, now);
      return {
        state: finished.state,
        effects: [...merged.effects, ...finished.effects, ...repair],
      };
    }
    case 'pingRequest':
      return forwardPing(state, from, message.sequence, message.target, now);
    case 'records': {
      const merged = mergeDelta(state, message.delta, from, now);
      return { ...merged, state: recordCopy(merged.state, from, message.copyEnd) };
    }
    case 'buckets':
      return { state, effects: handleBuckets(state, from, message.hashes, now) };
    case 'digest':
      return { state, effects: handleDigest(state, from, message, now) };
    case 'want':
      return { state, effects: sendAll(state, from, message.keys, now) };
    case 'renew':
      return handleRenewal(state, from, message.id, message.incarnation, now);
    case 'renewed':
      return recordRenewal(state, message.id, now);
  }
}

/** A copy of an entry that is joining itself only tells that this one is no better. */
function recordCopy(
  state: MembershipState,
  from: Address,
  end: 'partial' | 'whole' | undefined,
): MembershipState {
  if (end === undefined || state.awaited === undefined) return state;
  const others = state.awaited.filter((seed) => seed !== from);
  return { ...state, awaited: end === 'whole' ? undefined : findAwaited(others) };
}

function handleRenewal(
  state: MembershipState,
  from: Address,
  id: string,
  incarnation: number,
  now: Instant,
): Step {
  const record = state.upstreams.get(id)?.record;
  const held = record?.upstream.incarnation === incarnation && isHome(state, record);
  if (!held) return { state, effects: [] };
  const message = { kind: 'renewed', id, incarnation } as const;
  return { state: renewLease(state, id, now), effects: [{ kind: 'send', to: from, message }] };
}

function recordRenewal(state: MembershipState, id: string, now: Instant): Step {
  const passed = new Map(state.passed).set(id, { sentAt: now, confirmed: true });
  return { state: { ...state, passed }, effects: [] };
}

/** Takes an announcement: starts a lease here, renews it, or passes it to the entry that holds it. */
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
  if (isHome(state, record) && isSameUpstream(record, upstream))
    return { state: renewLease(state, upstream.id, now), effects: [] };
  const moved = record.lapsed || findGoneSince(state, known) !== undefined;
  if (moved || !isSameUpstream(record, upstream))
    return { state: claimUpstream(state, upstream, now), effects: [] };
  return forwardRenewal(state, upstream, record.home, now);
}

function forwardRenewal(
  state: MembershipState,
  upstream: Upstream,
  home: string,
  now: Instant,
): Step {
  const passed = state.passed.get(upstream.id);
  const unanswered = passed !== undefined && !passed.confirmed;
  if (unanswered && now - passed.sentAt < state.intervals.probeTimeout)
    return { state, effects: [] };
  if (unanswered) return { state: claimUpstream(state, upstream, now), effects: [] };
  const to = state.entries.get(home)?.record.peerAddress ?? '';
  const { id, incarnation } = upstream;
  const sent = new Map(state.passed).set(id, { sentAt: now, confirmed: false });
  const message = { kind: 'renew', id, incarnation } as const;
  return { state: { ...state, passed: sent }, effects: [{ kind: 'send', to, message }] };
}

function handleUpstreamLeft(
  state: MembershipState,
  id: string,
  incarnation: number,
  now: Instant,
): Step {
  const record = state.upstreams.get(id)?.record;
  const same = record?.upstream.incarnation === incarnation;
  if (!same || record.upstream.leaving) return { state, effects: [] };
  return { state: claimUpstream(state, { ...record.upstream, leaving: true }, now), effects: [] };
}

function markStopping(state: MembershipState, now: Instant): Step {
  const own = getSelf(state).record;
  if (own.stopping) return { state, effects: [] };
  const record = { ...own, counter: own.counter + 1, stopping: true };
  return { state: replaceEntry(state, record, now), effects: [] };
}

function sendFarewell(state: MembershipState, now: Instant, random: number): Step {
  const own = getSelf(state).record;
  const record = { ...own, counter: own.counter + 1, stopping: true, status: 'left' as const };
  const left = replaceEntry(state, record, now);
  const delta = { entries: [record] };
  const effects = pickSome(listPeers(left), FAREWELL_FAN_OUT, random).flatMap((peer) =>
    sendRecords(peer.record.peerAddress, delta),
  );
  return { state: left, effects };
}

/** Brings the list of upstreams up to date and reports what changed. */
function finishStep(before: MembershipState, step: Step, event: MembershipEvent): Step {
  const { now } = event;
  const state = judgeReports(step.state, event.kind === 'ticked', now);
  const entriesChanged = state.entries !== before.entries;
  const due = entriesChanged || state.upstreams !== before.upstreams || event.kind === 'ticked';
  const listed = due ? listUpstreams(state, now) : state.listed;
  const listChanged =
    listed.length !== state.listed.length || listed.some((known, at) => known !== state.listed[at]);
  const changes: readonly MembershipEffect[] = [
    ...(listChanged ? [{ kind: 'upstreamsChanged' } as const] : []),
    ...(entriesChanged ? [{ kind: 'entriesChanged' } as const] : []),
    ...(before.awaited !== undefined && state.awaited === undefined
      ? [{ kind: 'joined' } as const]
      : []),
    ...listCondemned(before, state, now),
  ];
  const next = listChanged ? { ...state, listed } : state;
  return { state: next, effects: [...step.effects, ...changes] };
}

function listUpstreams(state: MembershipState, now: Instant): MembershipState['listed'] {
  return [...state.upstreams.values()].filter((known) => isListed(state, known, now));
}

/** Judges the reports of crashes when there are new ones, or an upstream may have ended since. */
function judgeReports(state: MembershipState, ticked: boolean, now: Instant): MembershipState {
  if (!ticked && state.condemn.suspicions.length === 0) return state;
  const hasCrashed = (id: string, incarnation: number): boolean => {
    const record = state.upstreams.get(id)?.record;
    return record === undefined || record.lapsed || record.upstream.incarnation > incarnation;
  };
  const condemn = judgeSuspects(state.condemn, hasCrashed, now);
  return condemn === state.condemn ? state : { ...state, condemn };
}

function listCondemned(
  { condemn: before }: MembershipState,
  { condemn: after }: MembershipState,
  now: Instant,
): readonly MembershipEffect[] {
  if (before === after) return [];
  const added = [...after.condemnedUntil].filter(([key]) => !before.condemnedUntil.has(key));
  const lifted = [...before.condemnedUntil.keys()].filter((key) => !after.condemnedUntil.has(key));
  const verdicts: readonly MembershipEffect[] = added.map(([fingerprint, until]) => ({
    ...{ kind: 'condemned', fingerprints: [fingerprint], until },
  }));
  const pardons: readonly MembershipEffect[] =
    lifted.length > 0 ? [{ kind: 'condemned', fingerprints: lifted, until: now }] : [];
  const fingerprints = listSuspects(after);
  return [...verdicts, ...pardons, { kind: 'suspectsChanged', fingerprints }];
}
