/**
 * The call queues of a service. Invariant: a call is in at most one queue, and only while it can still
 * start in time. Interactive calls are started before batch calls, and batch calls are refused first.
 */
import type { Duration, Instant } from '../model/index.js';
import type { CallState, RoutingState, ServiceState } from './state.js';

/** Returns the number of queued calls. */
export function countQueued(service: ServiceState): number {
  return service.interactiveQueue.length + service.batchQueue.length;
}

/** Returns the id of the queued call that is started next. */
export function findNextQueued(service: ServiceState): number | undefined {
  return service.interactiveQueue[0] ?? service.batchQueue[0];
}

/** Estimates how long a call would wait if it were queued now, in milliseconds. */
export function computeWait(service: ServiceState, call: CallState): Duration {
  const batch = call.call.criticality === 'batch';
  const ahead = batch ? countQueued(service) : service.interactiveQueue.length;
  return (ahead + 1) * service.completionInterval;
}

/**
 * Returns how long a call that arrived at `arrivedAt` may wait, in milliseconds: `queueShare` of its remaining
 * time, but at least the average latency, in which one slot is likely to become free.
 */
function computeMaxWait(
  state: RoutingState,
  service: ServiceState,
  call: CallState,
  arrivedAt: Instant,
): Duration {
  const slack = call.call.deadline - arrivedAt - service.latency;
  return Math.min(slack, Math.max(service.latency, state.options.queueShare * slack));
}

/** Returns whether the queue has room for the call and the call can start in time. */
export function hasQueueRoom(
  state: RoutingState,
  service: ServiceState,
  call: CallState,
  now: Instant,
): boolean {
  const { queueLimit, batchShare } = state.options;
  const batch = call.call.criticality === 'batch';
  if (service.interactiveQueue.length >= (batch ? 1 : queueLimit)) return false;
  if (batch && service.batchQueue.length >= queueLimit * batchShare) return false;
  return computeWait(service, call) <= computeMaxWait(state, service, call, now);
}

/** Returns whether a queued call has waited too long or can't meet its deadline any more. */
export function isOverdue(
  state: RoutingState,
  service: ServiceState,
  call: CallState,
  now: Instant,
): boolean {
  if (now + service.latency >= call.call.deadline) return true;
  return now - call.arrivedAt > computeMaxWait(state, service, call, call.arrivedAt);
}

/** Returns the service with the call appended to the queue of its criticality. */
export function addQueued(service: ServiceState, call: CallState): ServiceState {
  return call.call.criticality === 'batch'
    ? { ...service, batchQueue: [...service.batchQueue, call.id] }
    : { ...service, interactiveQueue: [...service.interactiveQueue, call.id] };
}

/** Returns the service with the call removed from its queues. */
export function removeQueued(service: ServiceState, id: number): ServiceState {
  const [head, ...rest] = service.interactiveQueue;
  if (head === id) return { ...service, interactiveQueue: rest };
  return {
    ...service,
    interactiveQueue: service.interactiveQueue.filter((queued) => queued !== id),
    batchQueue: service.batchQueue.filter((queued) => queued !== id),
  };
}

/** Updates the average interval between completions after a request of the service ended. */
export function updateCompletionInterval(service: ServiceState, now: Instant): ServiceState {
  const interval = Math.min(service.latency, now - service.lastCompletionAt);
  const completionInterval =
    service.completionInterval + (interval - service.completionInterval) * 0.1;
  return { ...service, completionInterval, lastCompletionAt: now };
}

/**
 * Returns the delay after which a refused caller should retry, in milliseconds: the time until all queued
 * calls have probably started, plus the average latency.
 */
export function computeRetryAfter(service: ServiceState): Duration {
  return Math.ceil((countQueued(service) + 1) * service.completionInterval + service.latency);
}
