/**
 * Handles the end of attempts: responses, failures and cancellations. Invariant: each one removes its
 * request from the upstream that ran it, and a call is removed from the table when it ends.
 */
import type { Duration, Instant } from '../model/index.js';
import { closeCall, drainQueue, getService, startRetry, type DecisionContext } from './calls.js';
import { removeQueued, updateCompletionInterval } from './queue.js';
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

/** Applies a signal to an upstream and notifies the other entries if it became warm or cold. */
export function applyUpstreamSignal(
  state: RoutingState,
  serviceIndex: number,
  id: string | undefined,
  signal: Signal,
  context: DecisionContext,
): RoutingState {
  const service = state.services[serviceIndex];
  const upstreamIndex = service === undefined ? -1 : findUpstream(service, id);
  const known = service?.upstreams[upstreamIndex];
  if (service === undefined || known === undefined) return state;
  const next = applySignal(state, service, known, signal, context.now);
  if (next.cold !== known.cold) {
    const { incarnation } = known.upstream;
    context.effects.push({
      kind: 'warmth',
      upstreamId: known.upstream.id,
      incarnation,
      cold: next.cold,
    });
  }
  return withService(
    state,
    serviceIndex,
    withUpstream(updateAverages(service, next, signal), upstreamIndex, next),
  );
}

/** Removes the call's request from the upstream that ran it. */
function releaseCall(state: RoutingState, call: CallState, now: Instant): RoutingState {
  const [serviceIndex, service] = getService(state, call);
  const upstreamIndex = findUpstream(service, call.tried.at(-1));
  const known = service.upstreams[upstreamIndex];
  if (known === undefined) return state;
  const released = withUpstream(service, upstreamIndex, releaseRequest(known, call.sentAt));
  return withService(state, serviceIndex, updateCompletionInterval(released, now));
}

/** Emits the result of an attempt as evidence for version moves. */
function addEvidence(
  state: RoutingState,
  call: CallState,
  failed: boolean,
  latency: number,
  context: DecisionContext,
): void {
  const [, service] = getService(state, call);
  const known = service.upstreams[findUpstream(service, call.tried.at(-1))];
  if (known === undefined) return;
  const { service: name, version } = known.upstream;
  const { route } = call.call;
  context.effects.push({ kind: 'evidence', service: name, version, route, failed, latency });
}

/** Handles the head of a response: forwards the response to the caller or retries the call. */
export function handleHead(
  state: RoutingState,
  event: EventOf<'headArrived'>,
  context: DecisionContext,
): RoutingState {
  const call = getRecord(state.calls, event.callId);
  if (call?.phase !== 'sent') return state;
  const latency = event.now - call.sentAt;
  const failed = !event.notRun && isServerError(event.status);
  const measured = event.notRun ? undefined : latency;
  const [serviceIndex] = getService(state, call);
  const id = call.tried.at(-1);
  const signal: Signal = {
    failed,
    rejected: event.notRun,
    latency: measured,
    report: event.report,
  };
  const updated = applyUpstreamSignal(state, serviceIndex, id, signal, context);
  if (!failed && !event.notRun) return forwardAnswer(updated, call, latency, false, context);
  if (failed) addEvidence(updated, call, true, latency, context);
  const released = releaseCall(updated, call, event.now);
  const ended: CallState = failed ? { ...call, mayHaveRun: true, lastFailure: 'lost' } : call;
  const retried = startRetry(released, ended, true, context);
  if (retried !== undefined) return drainQueue(retried, serviceIndex, context);
  if (failed) return forwardAnswer(updated, call, latency, true, context);
  return drainQueue(closeCall(released, ended, 'retriesSpent', context), serviceIndex, context);
}

function forwardAnswer(
  state: RoutingState,
  call: CallState,
  headLatency: number,
  headFailed: boolean,
  context: DecisionContext,
): RoutingState {
  context.effects.push({ kind: 'deliver', callId: call.id });
  const delivered: CallState = { ...call, phase: 'delivered', headLatency, headFailed };
  return { ...state, calls: withRecord(state.calls, delivered) };
}

function addSuspect(state: RoutingState, call: CallState, context: DecisionContext): RoutingState {
  const { fingerprint } = call.call;
  const upstreamId = call.tried.at(-1) ?? '';
  const { incarnation } = call;
  context.effects.push({ kind: 'suspect', fingerprint, upstreamId, incarnation });
  if (state.suspected.has(fingerprint)) return state;
  return { ...state, suspected: new Set([...state.suspected, fingerprint]) };
}

/**
 * Returns whether the elapsed time indicates a slow upstream. A short deadline of the caller does not.
 */
function isSlow(state: RoutingState, service: ServiceState, time: Duration): boolean {
  return time > service.latency * state.options.slowFactor;
}

/** Handles an attempt that failed without a response: retries the call or ends it. */
export function handleFailed(
  state: RoutingState,
  event: EventOf<'failed'>,
  context: DecisionContext,
): RoutingState {
  const call = getRecord(state.calls, event.callId);
  if (call?.phase !== 'sent') return state;
  const latency = event.now - call.sentAt;
  const [serviceIndex, service] = getService(state, call);
  const wasConnected = event.failure !== 'unreachable';
  const signal: Signal = { failed: true, latency, report: undefined, unreachable: !wasConnected };
  const released = releaseCall(state, call, event.now);
  const countsAgainstUpstream = event.failure !== 'timedOut' || isSlow(state, service, latency);
  const updated = countsAgainstUpstream
    ? applyUpstreamSignal(released, serviceIndex, call.tried.at(-1), signal, context)
    : released;
  if (countsAgainstUpstream) addEvidence(state, call, true, latency, context);
  const lost = event.failure === 'lost';
  const suspected = lost ? addSuspect(updated, call, context) : updated;
  const ended: CallState = {
    ...call,
    mayHaveRun: call.mayHaveRun || wasConnected,
    lostConnections: call.lostConnections + (lost ? 1 : 0),
    failedConnects: call.failedConnects + (wasConnected ? 0 : 1),
    lastFailure: wasConnected ? event.failure : call.lastFailure,
  };
  const next =
    startRetry(suspected, ended, wasConnected, context) ??
    closeCall(suspected, ended, 'retriesSpent', context);
  return drainQueue(next, serviceIndex, context);
}

/** Ends a call whose response ended, complete or truncated. */
export function handleFinished(
  state: RoutingState,
  event: EventOf<'finished'>,
  context: DecisionContext,
): RoutingState {
  const call = getRecord(state.calls, event.callId);
  if (call?.phase !== 'delivered') return state;
  const [serviceIndex] = getService(state, call);
  if (!call.headFailed) {
    addEvidence(state, call, !event.complete, call.headLatency, context);
  }
  const { fingerprint } = call.call;
  if (event.complete && state.suspected.has(fingerprint)) {
    context.effects.push({ kind: 'cleared', fingerprint });
  }
  const truncated: Signal = { failed: true, latency: call.headLatency, report: undefined };
  const id = call.tried.at(-1);
  const released = releaseCall(state, call, event.now);
  const updated = event.complete
    ? released
    : addSuspect(
        applyUpstreamSignal(released, serviceIndex, id, truncated, context),
        call,
        context,
      );
  const next = { ...updated, calls: removeRecord(updated.calls, call.id) };
  return drainQueue(next, serviceIndex, context);
}

/** Ends a call whose caller disconnected or cancelled it. */
export function handleCancelled(
  state: RoutingState,
  event: EventOf<'cancelled'>,
  context: DecisionContext,
): RoutingState {
  const call = getRecord(state.calls, event.callId);
  if (call === undefined) return state;
  const [serviceIndex, service] = getService(state, call);
  const next = { ...state, calls: removeRecord(state.calls, call.id) };
  if (call.phase === 'queued')
    return withService(next, serviceIndex, removeQueued(service, call.id));
  const waited = event.now - call.sentAt;
  const released = releaseCall(next, call, event.now);
  if (call.phase !== 'sent' || !isSlow(state, service, waited)) {
    return drainQueue(released, serviceIndex, context);
  }
  addEvidence(state, call, false, waited, context);
  const signal: Signal = { failed: false, latency: waited, report: undefined };
  const updated = applyUpstreamSignal(released, serviceIndex, call.tried.at(-1), signal, context);
  return drainQueue(updated, serviceIndex, context);
}
