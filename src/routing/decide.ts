/**
 * Entry point of the routing decisions: maps a state and an event to the next state and its effects.
 * Invariant: the result depends on the state and the event alone.
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
  startOrQueueCall,
  expireQueue,
  flushQueue,
  refuseCall,
  type DecisionContext,
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

/** Retry delay for callers of an entry without a lease or without the service, in milliseconds. */
const STALE_RETRY_DELAY = 1000;

function createCall(call: Call, context: DecisionContext): CallState {
  return {
    id: call.id,
    call,
    phase: 'queued',
    arrivedAt: context.now,
    versionRoll: context.random,
    attempt: 0,
    tried: [],
    incarnation: 0,
    sentAt: context.now,
    mayHaveRun: false,
    lostConnections: 0,
    failedConnects: 0,
    lastFailure: 'unreachable',
    headLatency: 0,
    headFailed: false,
  };
}

function handleArrived(
  state: RoutingState,
  event: EventOf<'arrived'>,
  context: DecisionContext,
): RoutingState {
  const { call, now } = event;
  const record = createCall(call, context);
  checkInvariant(getRecord(state.calls, call.id) === undefined, `call ${call.id} arrived twice`);
  if (!state.leaseHeld) return refuseCall(state, record, 'stale', STALE_RETRY_DELAY, context);
  const until = state.quarantined.get(call.fingerprint) ?? 0;
  if (until > now) {
    return refuseCall(state, record, 'fingerprintCondemned', until - now, context);
  }
  if (call.deadline <= now) return refuseCall(state, record, 'deadlineTooShort', 0, context);
  const serviceIndex = state.serviceIndexByName.get(call.service);
  const service = state.services[serviceIndex ?? -1];
  if (serviceIndex === undefined || service === undefined) {
    return refuseCall(state, record, 'noUpstream', STALE_RETRY_DELAY, context);
  }
  return startOrQueueCall(
    withService(state, serviceIndex, addRetryTokens(state, service)),
    record,
    context,
  );
}

function handleProbed(
  state: RoutingState,
  event: EventOf<'probed'>,
  context: DecisionContext,
): RoutingState {
  const serviceIndex = state.serviceIndexByUpstream.get(event.upstreamId);
  if (serviceIndex === undefined) return state;
  const { healthy, report, upstreamId } = event;
  const signal: Signal = { failed: !healthy, latency: undefined, report };
  return drainQueue(
    applyUpstreamSignal(state, serviceIndex, upstreamId, signal, context),
    serviceIndex,
    context,
  );
}

function handleWarmupNotice(
  state: RoutingState,
  event: EventOf<'warmupNoticeReceived'>,
): RoutingState {
  const serviceIndex = state.serviceIndexByUpstream.get(event.upstreamId) ?? -1;
  const service = state.services[serviceIndex];
  if (service === undefined) return state;
  const upstreamIndex = findUpstream(service, event.upstreamId);
  const known = service.upstreams[upstreamIndex];
  if (known?.upstream.incarnation !== event.incarnation || known.cold === event.cold) return state;
  if (event.cold && known.coldReportsIgnored) return state;
  const coldReportsIgnored = event.now - known.coldSince > state.options.coldTimeLimit;
  const next: UpstreamState = event.cold
    ? markCold(known, event.now)
    : { ...markWarm(known, event.now), coldReportsIgnored };
  return withService(state, serviceIndex, withUpstream(service, upstreamIndex, next));
}

function handleQuarantined(state: RoutingState, event: EventOf<'condemned'>): RoutingState {
  const unexpired = [...state.quarantined].filter(([, until]) => until > event.now);
  const added = event.fingerprints.map((fingerprint) => [fingerprint, event.until] as const);
  return { ...state, quarantined: new Map([...unexpired, ...added]) };
}

/** Asserts that the queues hold as many calls as the table of calls has in the phase `queued`. */
function checkQueues(state: RoutingState): void {
  const queued = state.services.reduce((total, service) => total + countQueued(service), 0);
  const waiting = state.calls.buckets.reduce(
    (total, bucket) => total + bucket.filter((call) => call.phase === 'queued').length,
    0,
  );
  checkInvariant(
    queued === waiting,
    `${waiting} calls are in the phase queued, but the queues hold ${queued}`,
  );
}

function handleTick(state: RoutingState, context: DecisionContext): RoutingState {
  checkQueues(state);
  const drained = state.services.reduce((next, service, serviceIndex) => {
    if (countQueued(service) === 0) return next;
    const expired = expireQueue(next, serviceIndex, context);
    return drainQueue(expired, serviceIndex, context);
  }, state);
  return planProbes(drained, context.now, context.effects);
}

/** Ends the queued calls of services that have no usable upstream left. */
function flushUnusable(state: RoutingState, context: DecisionContext): RoutingState {
  return state.services.reduce((next, service, serviceIndex) => {
    if (service.upstreams.some((known) => known.usable)) return next;
    return flushQueue(next, serviceIndex, 'noUpstream', context);
  }, state);
}

function handleLease(
  state: RoutingState,
  event: EventOf<'leaseChanged'>,
  context: DecisionContext,
): RoutingState {
  const next = { ...state, leaseHeld: event.held };
  if (event.held) return next;
  return next.services.reduce(
    (last, _, serviceIndex) => flushQueue(last, serviceIndex, 'stale', context),
    next,
  );
}

function handleEvent(
  state: RoutingState,
  event: RoutingEvent,
  context: DecisionContext,
): RoutingState {
  switch (event.kind) {
    case 'configured':
      return flushUnusable(applyConfig(state, event), context);
    case 'discovered':
      return flushUnusable(applyDiscovery(state, event.upstreams, event.now), context);
    case 'arrived':
      return handleArrived(state, event, context);
    case 'headArrived':
      return handleHead(state, event, context);
    case 'failed':
      return handleFailed(state, event, context);
    case 'finished':
      return handleFinished(state, event, context);
    case 'cancelled':
      return handleCancelled(state, event, context);
    case 'probed':
      return handleProbed(state, event, context);
    case 'condemned':
      return handleQuarantined(state, event);
    case 'suspected':
      return { ...state, suspected: new Set(event.fingerprints) };
    case 'warmupNoticeReceived':
      return handleWarmupNotice(state, event);
    case 'leaseChanged':
      return handleLease(state, event, context);
    case 'ticked':
      return handleTick(state, context);
  }
}

/**
 * Applies one event and returns the next state and the side effects to perform.
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
