/**
 * The routing decisions: one event in, the next state and the effects out. Invariant: the result
 * depends on the state and the event alone.
 */
import { checkInvariant, type Transition } from '../model/index.js';
import {
  applyUpstreamSignal,
  handleCancelled,
  handleFailed,
  handleFinished,
  handleHead,
} from './attempts.js';
import {
  drainQueue,
  enterCall,
  expireQueue,
  flushQueue,
  refuseCall,
  type Decision,
} from './calls.js';
import { markCold, markWarm } from './cold.js';
import { applyConfig, applyDiscovery } from './fleet.js';
import { planProbes } from './probes.js';
import { countQueued } from './queue.js';
import { addRetryTokens } from './retries.js';
import type { Signal } from './signals.js';
import {
  findUpstream,
  withService,
  withUpstream,
  type CallState,
  type RoutingState,
  type UpstreamState,
} from './state.js';
import { getRecord } from './table.js';
import type { Call, RoutingEffect, RoutingEvent } from './types.js';

type EventOf<Kind extends RoutingEvent['kind']> = Extract<RoutingEvent, { kind: Kind }>;

/** Milliseconds after which a caller may ask an entry again that lost its lease. */
const STALE_DELAY = 1000;

function createCall(call: Call, decision: Decision): CallState {
  return {
    id: call.id,
    call,
    phase: 'queued',
    arrivedAt: decision.now,
    roll: decision.random,
    attempt: 0,
    tried: [],
    incarnation: 0,
    sentAt: decision.now,
    mayHaveRun: false,
    lost: 0,
    unreached: 0,
    lastFailure: 'unreachable',
    headLatency: 0,
    headFailed: false,
  };
}

function handleArrived(
  state: RoutingState,
  event: EventOf<'arrived'>,
  decision: Decision,
): RoutingState {
  const { call, now } = event;
  const record = createCall(call, decision);
  checkInvariant(getRecord(state.calls, call.id) === undefined, `call ${call.id} arrived twice`);
  if (!state.leaseHeld) return refuseCall(state, record, 'stale', STALE_DELAY, decision);
  const until = state.condemned.get(call.fingerprint) ?? 0;
  if (until > now) {
    return refuseCall(state, record, 'fingerprintCondemned', until - now, decision);
  }
  if (call.deadline <= now) return refuseCall(state, record, 'deadlineTooShort', 0, decision);
  const at = state.serviceAt.get(call.service);
  const service = state.services[at ?? -1];
  if (at === undefined || service === undefined) {
    return refuseCall(state, record, 'noUpstream', STALE_DELAY, decision);
  }
  return enterCall(withService(state, at, addRetryTokens(state, service)), record, decision);
}

function handleProbed(
  state: RoutingState,
  event: EventOf<'probed'>,
  decision: Decision,
): RoutingState {
  const at = state.placeOf.get(event.upstreamId);
  if (at === undefined) return state;
  const { healthy, report, upstreamId } = event;
  const signal: Signal = { failed: !healthy, latency: undefined, report };
  return drainQueue(applyUpstreamSignal(state, at, upstreamId, signal, decision), at, decision);
}

function handleWarmth(state: RoutingState, event: EventOf<'warmthHeard'>): RoutingState {
  const at = state.placeOf.get(event.upstreamId) ?? -1;
  const service = state.services[at];
  if (service === undefined) return state;
  const place = findUpstream(service, event.upstreamId);
  const known = service.upstreams[place];
  if (known?.upstream.incarnation !== event.incarnation || known.cold === event.cold) return state;
  if (event.cold && known.coldDisbelieved) return state;
  const coldDisbelieved = event.now - known.coldSince > state.options.coldTimeLimit;
  const next: UpstreamState = event.cold
    ? markCold(known, event.now)
    : { ...markWarm(known, event.now), coldDisbelieved };
  return withService(state, at, withUpstream(service, place, next));
}

function handleCondemned(state: RoutingState, event: EventOf<'condemned'>): RoutingState {
  const alive = [...state.condemned].filter(([, until]) => until > event.now);
  const added = event.fingerprints.map((fingerprint) => [fingerprint, event.until] as const);
  return { ...state, condemned: new Map([...alive, ...added]) };
}

/** Asserts that no call is lost: as many wait in the queues as the table of calls says. */
function checkQueues(state: RoutingState): void {
  const queued = state.services.reduce((total, service) => total + countQueued(service), 0);
  const waiting = state.calls.buckets.reduce(
    (total, bucket) => total + bucket.filter((call) => call.phase === 'queued').length,
    0,
  );
  checkInvariant(queued === waiting, `${waiting} calls wait, but ${queued} are in the queues`);
}

function handleTick(state: RoutingState, decision: Decision): RoutingState {
  checkQueues(state);
  const settled = state.services.reduce((next, service, at) => {
    if (countQueued(service) === 0) return next;
    const expired = expireQueue(next, at, decision);
    return drainQueue(expired, at, decision);
  }, state);
  return planProbes(settled, decision.now, decision.effects);
}

/** Ends the waiting calls of services that lost their last usable upstream. */
function flushUnusable(state: RoutingState, decision: Decision): RoutingState {
  return state.services.reduce((next, service, at) => {
    if (service.upstreams.some((known) => known.usable)) return next;
    return flushQueue(next, at, 'noUpstream', decision);
  }, state);
}

function handleLease(
  state: RoutingState,
  event: EventOf<'leaseChanged'>,
  decision: Decision,
): RoutingState {
  const next = { ...state, leaseHeld: event.held };
  if (event.held) return next;
  return next.services.reduce((last, _, at) => flushQueue(last, at, 'stale', decision), next);
}

function handleEvent(state: RoutingState, event: RoutingEvent, decision: Decision): RoutingState {
  switch (event.kind) {
    case 'configured':
      return flushUnusable(applyConfig(state, event), decision);
    case 'discovered':
      return flushUnusable(applyDiscovery(state, event.upstreams, event.now), decision);
    case 'arrived':
      return handleArrived(state, event, decision);
    case 'headArrived':
      return handleHead(state, event, decision);
    case 'failed':
      return handleFailed(state, event, decision);
    case 'finished':
      return handleFinished(state, event, decision);
    case 'cancelled':
      return handleCancelled(state, event, decision);
    case 'probed':
      return handleProbed(state, event, decision);
    case 'condemned':
      return handleCondemned(state, event);
    case 'suspected':
      return { ...state, suspected: new Set(event.fingerprints) };
    case 'warmthHeard':
      return handleWarmth(state, event);
    case 'leaseChanged':
      return handleLease(state, event, decision);
    case 'ticked':
      return handleTick(state, decision);
  }
}

/**
 * Decides what follows from one event.
 *
 * @example
 * const { state, effects } = decideRouting(before, { kind: 'arrived', call, now, random });
 */
export function decideRouting(
  state: RoutingState,
  event: RoutingEvent,
): Transition<RoutingState, RoutingEffect> {
  const effects: RoutingEffect[] = [];
  const random = 'random' in event ? event.random : 0;
  return { state: handleEvent(state, event, { now: event.now, random, effects }), effects };
}
