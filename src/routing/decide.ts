/**
 * The routing decisions: one event in, the next state and the effects out. Invariant: the result
 * depends on the state and the event alone.
 */
import { checkInvariant, type Duration, type Instant, type Transition } from '../model/index.js';
import {
  enterCall,
  closeCall,
  drainQueue,
  expireQueue,
  flushQueue,
  getService,
  refuseCall,
  startRetry,
  type Decision,
} from './calls.js';
import { markCold, markWarm } from './cold.js';
import { applyConfig, applyDiscovery } from './fleet.js';
import { planProbes } from './probes.js';
import { countQueued, removeQueued, updateFinishGap } from './queue.js';
import { addRetryTokens, isServerError } from './retries.js';
import { applySignal, releaseRequest, updateAverages, type Signal } from './signals.js';
import {
  findUpstream,
  withService,
  withUpstream,
  type CallState,
  type RoutingState,
  type ServiceState,
  type UpstreamState,
} from './state.js';
import { getRecord, removeRecord, withRecord } from './table.js';
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

/** Applies a signal to an upstream and tells the fleet if it was found warm or cold. */
function applyUpstreamSignal(
  state: RoutingState,
  at: number,
  id: string | undefined,
  signal: Signal,
  decision: Decision,
): RoutingState {
  const service = state.services[at];
  const place = service === undefined ? -1 : findUpstream(service, id);
  const known = service?.upstreams[place];
  if (service === undefined || known === undefined) return state;
  const next = applySignal(state, service, known, signal, decision.now);
  if (next.cold !== known.cold) {
    const { incarnation } = known.upstream;
    decision.effects.push({
      kind: 'warmth',
      upstreamId: known.upstream.id,
      incarnation,
      cold: next.cold,
    });
  }
  return withService(state, at, withUpstream(updateAverages(service, next, signal), place, next));
}

/** Removes the call's request from its upstream. */
function releaseCall(state: RoutingState, call: CallState, now: Instant): RoutingState {
  const [at, service] = getService(state, call);
  const place = findUpstream(service, call.tried.at(-1));
  const known = service.upstreams[place];
  if (known === undefined) return state;
  const released = withUpstream(service, place, releaseRequest(known, call.sentAt));
  return withService(state, at, updateFinishGap(released, now));
}

/** Reports how an attempt ended to those who judge versions. */
function addEvidence(
  state: RoutingState,
  call: CallState,
  failed: boolean,
  latency: number,
  decision: Decision,
): void {
  const [, service] = getService(state, call);
  const known = service.upstreams[findUpstream(service, call.tried.at(-1))];
  if (known === undefined) return;
  const { service: name, version } = known.upstream;
  const { route } = call.call;
  decision.effects.push({ kind: 'evidence', service: name, version, route, failed, latency });
}

function handleHead(
  state: RoutingState,
  event: EventOf<'headArrived'>,
  decision: Decision,
): RoutingState {
  const call = getRecord(state.calls, event.callId);
  if (call?.phase !== 'sent') return state;
  const latency = event.now - call.sentAt;
  const failed = !event.notRun && isServerError(event.status);
  const measured = event.notRun ? undefined : latency;
  const [at] = getService(state, call);
  const id = call.tried.at(-1);
  const signal: Signal = { failed, refused: event.notRun, latency: measured, report: event.report };
  const learned = applyUpstreamSignal(state, at, id, signal, decision);
  if (!failed && !event.notRun) return forwardAnswer(learned, call, latency, false, decision);
  if (failed) addEvidence(learned, call, true, latency, decision);
  const released = releaseCall(learned, call, event.now);
  const ended: CallState = failed ? { ...call, mayHaveRun: true, lastFailure: 'lost' } : call;
  const retried = startRetry(released, ended, true, decision);
  if (retried !== undefined) return drainQueue(retried, at, decision);
  if (failed) return forwardAnswer(learned, call, latency, true, decision);
  return drainQueue(closeCall(released, ended, 'retriesSpent', decision), at, decision);
}

function forwardAnswer(
  state: RoutingState,
  call: CallState,
  headLatency: number,
  headFailed: boolean,
  decision: Decision,
): RoutingState {
  decision.effects.push({ kind: 'deliver', callId: call.id });
  const delivered: CallState = { ...call, phase: 'delivered', headLatency, headFailed };
  return { ...state, calls: withRecord(state.calls, delivered) };
}

function addSuspect(state: RoutingState, call: CallState, decision: Decision): RoutingState {
  const { fingerprint } = call.call;
  const upstreamId = call.tried.at(-1) ?? '';
  const { incarnation } = call;
  decision.effects.push({ kind: 'suspect', fingerprint, upstreamId, incarnation });
  if (state.suspected.has(fingerprint)) return state;
  return { ...state, suspected: new Set([...state.suspected, fingerprint]) };
}

/** Tells whether the time says something about the upstream; a caller's short deadline doesn't. */
function isSlow(state: RoutingState, service: ServiceState, time: Duration): boolean {
  return time > service.latency * state.options.slowFactor;
}

function handleFailed(
  state: RoutingState,
  event: EventOf<'failed'>,
  decision: Decision,
): RoutingState {
  const call = getRecord(state.calls, event.callId);
  if (call?.phase !== 'sent') return state;
  const latency = event.now - call.sentAt;
  const [at, service] = getService(state, call);
  const wasReached = event.failure !== 'unreachable';
  const signal: Signal = { failed: true, latency, report: undefined, unreachable: !wasReached };
  const released = releaseCall(state, call, event.now);
  const tells = event.failure !== 'timedOut' || isSlow(state, service, latency);
  const learned = tells
    ? applyUpstreamSignal(released, at, call.tried.at(-1), signal, decision)
    : released;
  if (tells) addEvidence(state, call, true, latency, decision);
  const lost = event.failure === 'lost';
  const known = lost ? addSuspect(learned, call, decision) : learned;
  const ended: CallState = {
    ...call,
    mayHaveRun: call.mayHaveRun || wasReached,
    lastFailure: wasReached ? event.failure : call.lastFailure,
  };
  const next =
    startRetry(known, ended, wasReached, decision) ??
    closeCall(known, ended, 'retriesSpent', decision);
  return drainQueue(next, at, decision);
}

function handleFinished(
  state: RoutingState,
  event: EventOf<'finished'>,
  decision: Decision,
): RoutingState {
  const call = getRecord(state.calls, event.callId);
  if (call?.phase !== 'delivered') return state;
  const [at] = getService(state, call);
  if (!call.headFailed) {
    addEvidence(state, call, !event.complete, call.headLatency, decision);
  }
  const { fingerprint } = call.call;
  if (event.complete && state.suspected.has(fingerprint)) {
    decision.effects.push({ kind: 'cleared', fingerprint });
  }
  const cut: Signal = { failed: true, latency: call.headLatency, report: undefined };
  const id = call.tried.at(-1);
  const released = releaseCall(state, call, event.now);
  const learned = event.complete
    ? released
    : addSuspect(applyUpstreamSignal(released, at, id, cut, decision), call, decision);
  const next = { ...learned, calls: removeRecord(learned.calls, call.id) };
  return drainQueue(next, at, decision);
}

function handleCancelled(
  state: RoutingState,
  event: EventOf<'cancelled'>,
  decision: Decision,
): RoutingState {
  const call = getRecord(state.calls, event.callId);
  if (call === undefined) return state;
  const [at, service] = getService(state, call);
  const next = { ...state, calls: removeRecord(state.calls, call.id) };
  if (call.phase === 'queued') return withService(next, at, removeQueued(service, call.id));
  const waited = event.now - call.sentAt;
  const released = releaseCall(next, call, event.now);
  if (call.phase !== 'sent' || !isSlow(state, service, waited)) {
    return drainQueue(released, at, decision);
  }
  addEvidence(state, call, false, waited, decision);
  const signal: Signal = { failed: false, latency: waited, report: undefined };
  const learned = applyUpstreamSignal(released, at, call.tried.at(-1), signal, decision);
  return drainQueue(learned, at, decision);
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
  const next: UpstreamState = event.cold ? markCold(known) : markWarm(known, event.now);
  return withService(state, at, withUpstream(service, place, next));
}

function handleCondemned(state: RoutingState, event: EventOf<'condemned'>): RoutingState {
  const alive = [...state.condemned].filter(([, until]) => until > event.now);
  const added = event.fingerprints.map((fingerprint) => [fingerprint, event.until] as const);
  return { ...state, condemned: new Map([...alive, ...added]) };
}

function handleTick(state: RoutingState, decision: Decision): RoutingState {
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
