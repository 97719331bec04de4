/**
 * How attempts end: answers, failures, cancellations. Invariant: each removes its request from the
 * upstream that ran it, and a call leaves the table once it ended.
 */
import type { Duration, Instant } from '../model/index.js';
import { closeCall, drainQueue, getService, startRetry, type Decision } from './calls.js';
import { removeQueued, updateFinishGap } from './queue.js';
import { isServerError } from './retries.js';
import { applySignal, releaseRequest, updateAverages, type Signal } from './signals.js';
import {
  findUpstream,
  withService,
  withUpstream,
  type CallState,
  type RoutingState,
  type ServiceState,
} from './state.js';
import { getRecord, removeRecord, withRecord } from './table.js';
import type { RoutingEvent } from './types.js';

type EventOf<Kind extends RoutingEvent['kind']> = Extract<RoutingEvent, { kind: Kind }>;

/** Applies a signal to an upstream and tells the fleet if it was found warm or cold. */
export function applyUpstreamSignal(
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

/** Passes an answer on, or sends its call once more. */
export function handleHead(
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

/** Sends the call of a failed attempt once more, or ends it. */
export function handleFailed(
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
    lost: call.lost + (lost ? 1 : 0),
    unreached: call.unreached + (wasReached ? 0 : 1),
    lastFailure: wasReached ? event.failure : call.lastFailure,
  };
  const next =
    startRetry(known, ended, wasReached, decision) ??
    closeCall(known, ended, 'retriesSpent', decision);
  return drainQueue(next, at, decision);
}

/** Ends a call whose answer ended. */
export function handleFinished(
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

/** Ends a call whose caller went away. */
export function handleCancelled(
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
