/**
 * Life cycle of calls: queued, sent, ended. Invariant: every call in the table is either in exactly one
 * queue or in flight on one upstream. It is removed from the table with exactly one final effect, or
 * because it was cancelled.
 */
import { checkInvariant, type Duration, type Instant } from '../model/index.js';
import { checkSend, chooseUpstream } from './choose.js';
import { generateRandom } from './hash.js';
import {
  addQueued,
  hasQueueRoom,
  computeRetryAfter,
  findNextQueued,
  isOverdue,
  removeQueued,
} from './queue.js';
import { isRetryAllowed, computeRetryCost } from './retries.js';
import {
  findUpstream,
  withService,
  withUpstream,
  type CallState,
  type RoutingState,
  type ServiceState,
} from './state.js';
import { getRecord, removeRecord, withRecord } from './table.js';
import type { RefusalReason, RoutingEffect } from './types.js';

/** Retry delay for callers when the service has no usable upstream, in milliseconds. */
const NO_UPSTREAM_RETRY_DELAY = 1000;

/** Inputs of one decision; `effects` collects the side effects that the shell performs. */
export interface DecisionContext {
  readonly now: Instant;
  readonly random: number;
  readonly effects: RoutingEffect[];
}

/** Returns the index and the state of the call's service. */
export function getService(state: RoutingState, call: CallState): readonly [number, ServiceState] {
  const serviceIndex = state.serviceIndexByName.get(call.call.service) ?? -1;
  const service = state.services[serviceIndex];
  checkInvariant(
    service !== undefined,
    `call ${call.id} belongs to the unknown service ${call.call.service}`,
  );
  return [serviceIndex, service];
}

/** Refuses a call that certainly has not run on any upstream. */
export function refuseCall(
  state: RoutingState,
  call: CallState,
  reason: RefusalReason,
  retryAfter: Duration,
  context: DecisionContext,
): RoutingState {
  checkInvariant(
    !call.mayHaveRun,
    `call ${call.id} may have run, but is refused as not run (${reason})`,
  );
  context.effects.push({ kind: 'refuse', callId: call.id, reason, retryAfter });
  return { ...state, calls: removeRecord(state.calls, call.id) };
}

/** Ends a call without a response: as not run if that is certain, otherwise with an unknown outcome. */
export function closeCall(
  state: RoutingState,
  call: CallState,
  reason: RefusalReason,
  context: DecisionContext,
): RoutingState {
  if (!call.mayHaveRun) {
    const [, service] = getService(state, call);
    const delay = reason === 'noUpstream' ? NO_UPSTREAM_RETRY_DELAY : computeRetryAfter(service);
    return refuseCall(state, call, reason, delay, context);
  }
  context.effects.push({ kind: 'fail', callId: call.id, failure: call.lastFailure });
  return { ...state, calls: removeRecord(state.calls, call.id) };
}

/** Returns whether the call's fingerprint is quarantined, so that the call must be refused. */
export function isQuarantined(state: RoutingState, call: CallState, now: Instant): boolean {
  return (state.quarantined.get(call.call.fingerprint) ?? -Infinity) > now;
}

/** Sends the call to an upstream with free capacity; returns `undefined` if there is none. */
export function startCall(
  state: RoutingState,
  call: CallState,
  context: DecisionContext,
): RoutingState | undefined {
  const { now, random, effects } = context;
  const [serviceIndex, service] = getService(state, call);
  const known = chooseUpstream(state, service, call, now, generateRandom(random, call.id));
  if (known === undefined) return undefined;
  checkSend(state, service, known, call, now);
  const { id, address, incarnation } = known.upstream;
  const attempt = call.attempt + 1;
  effects.push({ kind: 'send', callId: call.id, upstreamId: id, address, attempt });
  const sent: CallState = {
    ...call,
    phase: 'sent',
    attempt,
    tried: [...call.tried, id],
    incarnation,
    sentAt: now,
  };
  const busy = { ...known, sentAt: [...known.sentAt, now], lastSentAt: now };
  const next = withUpstream(service, findUpstream(service, id), busy);
  return withService({ ...state, calls: withRecord(state.calls, sent) }, serviceIndex, next);
}

/** Sends a new call, queues it or refuses it. */
export function startOrQueueCall(
  state: RoutingState,
  call: CallState,
  context: DecisionContext,
): RoutingState {
  const [, service] = getService(state, call);
  if (!service.upstreams.some((known) => known.usable)) {
    return closeCall(state, call, 'noUpstream', context);
  }
  const ahead =
    service.interactiveQueue.length +
    (call.call.criticality === 'batch' ? service.batchQueue.length : 0);
  const started = ahead === 0 ? startCall(state, call, context) : undefined;
  if (started !== undefined) return started;
  return addWaitingCall(state, call, context) ?? closeCall(state, call, 'overloaded', context);
}

/** Queues the call if it can start in time; returns `undefined` otherwise. */
function addWaitingCall(
  state: RoutingState,
  call: CallState,
  context: DecisionContext,
): RoutingState | undefined {
  const [serviceIndex, service] = getService(state, call);
  if (!hasQueueRoom(state, service, call, context.now)) return undefined;
  const waiting: CallState = { ...call, phase: 'queued' };
  const queued = withService(state, serviceIndex, addQueued(service, waiting));
  return { ...queued, calls: withRecord(queued.calls, waiting) };
}

/**
 * Retries the call if that is allowed: sends it at once or queues it until an upstream has free capacity.
 * Returns `undefined` if it can't be retried. `wasConnected` is whether the last attempt connected to its
 * upstream.
 */
export function startRetry(
  state: RoutingState,
  call: CallState,
  wasConnected: boolean,
  context: DecisionContext,
): RoutingState | undefined {
  const [serviceIndex, service] = getService(state, call);
  if (!state.leaseHeld || isQuarantined(state, call, context.now)) return undefined;
  if (!isRetryAllowed(state, service, call, wasConnected, context.now)) return undefined;
  const retryTokens = service.retryTokens - computeRetryCost(call, wasConnected);
  const charged = withService(state, serviceIndex, { ...service, retryTokens });
  return startCall(charged, call, context) ?? addWaitingCall(charged, call, context);
}

/** Returns the reason to refuse a queued call instead of starting it, if there is one. */
function findQueueRefusal(
  state: RoutingState,
  service: ServiceState,
  call: CallState,
  now: Instant,
): RefusalReason | undefined {
  if (isQuarantined(state, call, now)) return 'fingerprintCondemned';
  return isOverdue(state, service, call, now) ? 'overloaded' : undefined;
}

/** Starts queued calls of a service while upstreams have free capacity, and ends overdue ones. */
export function drainQueue(
  state: RoutingState,
  serviceIndex: number,
  context: DecisionContext,
): RoutingState {
  let next = state;
  let service = next.services[serviceIndex];
  let id = service === undefined ? undefined : findNextQueued(service);
  while (service !== undefined && id !== undefined) {
    const call = getRecord(next.calls, id);
    checkInvariant(
      call?.phase === 'queued',
      `call ${id} is in a queue of ${service.name}, but not in the phase queued`,
    );
    const dequeued = withService(next, serviceIndex, removeQueued(service, id));
    const reason = findQueueRefusal(next, service, call, context.now);
    const started =
      reason === undefined
        ? startCall(dequeued, call, context)
        : closeCall(dequeued, call, reason, context);
    if (started === undefined) return next;
    next = started;
    service = next.services[serviceIndex];
    id = service === undefined ? undefined : findNextQueued(service);
  }
  return next;
}

/** Ends every queued call that is overdue, not only those at the head of the queue. */
export function expireQueue(
  state: RoutingState,
  serviceIndex: number,
  context: DecisionContext,
): RoutingState {
  const service = state.services[serviceIndex];
  if (service === undefined) return state;
  return [...service.interactiveQueue, ...service.batchQueue].reduce((next, id) => {
    const call = getRecord(next.calls, id);
    checkInvariant(
      call?.phase === 'queued',
      `call ${id} is in a queue of ${service.name}, but not in the phase queued`,
    );
    const reason = findQueueRefusal(next, service, call, context.now);
    if (reason === undefined) return next;
    const current = next.services[serviceIndex] ?? service;
    const dequeued = withService(next, serviceIndex, removeQueued(current, id));
    return closeCall(dequeued, call, reason, context);
  }, state);
}

/** Ends every queued call of a service for a reason that applies to all of them. */
export function flushQueue(
  state: RoutingState,
  serviceIndex: number,
  reason: RefusalReason,
  context: DecisionContext,
): RoutingState {
  const service = state.services[serviceIndex];
  if (service === undefined) return state;
  const empty = withService(state, serviceIndex, {
    ...service,
    interactiveQueue: [],
    batchQueue: [],
  });
  return [...service.interactiveQueue, ...service.batchQueue].reduce((next, id) => {
    const call = getRecord(next.calls, id);
    checkInvariant(
      call?.phase === 'queued',
      `call ${id} is in a queue of ${service.name}, but not in the phase queued`,
    );
    return closeCall(next, call, reason, context);
  }, empty);
}
