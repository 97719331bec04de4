/**
 * The waiting calls of a service. Invariant: a call waits in one queue at most, and only while it can
 * still start in time; interactive calls leave first, and batch calls are refused first.
 */
import type { Duration, Instant } from '../model/index.js';
import type { CallState, RoutingState, ServiceState } from './state.js';

/** Returns the number of waiting calls. */
export function countQueued(service: ServiceState): number {
  return service.interactiveQueue.length + service.batchQueue.length;
}

/** Returns the waiting call that leaves next. */
export function findNextQueued(service: ServiceState): number | undefined {
  return service.interactiveQueue[0] ?? service.batchQueue[0];
}

/** Estimates how long a call that is queued now waits. */
export function computeWait(service: ServiceState, call: CallState): Duration {
  const batch = call.call.criticality === 'batch';
  const ahead = batch ? countQueued(service) : service.interactiveQueue.length;
  return (ahead + 1) * service.completionInterval;
}

/** Returns how long a call that arrived at the instant may wait: shortly, but in reach of one free slot. */
function computeMaxWait(
  state: RoutingState,
  service: ServiceState,
  call: CallState,
  arrivedAt: Instant,
): Duration {
  const slack = call.call.deadline - arrivedAt - service.latency;
  return Math.min(slack, Math.max(service.latency, state.options.queueShare * slack));
}

/** Tells whether the queue has room for the call and it can start in time. */
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

/** Tells whether a waiting call has waited too long to be worth starting. */
export function isOverdue(
  state: RoutingState,
  service: ServiceState,
  call: CallState,
  now: Instant,
): boolean {
  if (now + service.latency >= call.call.deadline) return true;
  return now - call.arrivedAt > computeMaxWait(state, service, call, call.arrivedAt);
}

/** Returns the service with the call at the end of its queue. */
export function addQueued(service: ServiceState, call: CallState): ServiceState {
  return call.call.criticality === 'batch'
    ? { ...service, batchQueue: [...service.batchQueue, call.id] }
    : { ...service, interactiveQueue: [...service.interactiveQueue, call.id] };
}

/** Returns the service without the call in its queues. */
export function removeQueued(service: ServiceState, id: number): ServiceState {
  const [head, ...rest] = service.interactiveQueue;
  if (head === id) return { ...service, interactiveQueue: rest };
  return {
    ...service,
    interactiveQueue: service.interactiveQueue.filter((queued) => queued !== id),
    batchQueue: service.batchQueue.filter((queued) => queued !== id),
  };
}

/** Returns the service after one of its requests ended. */
export function updateCompletionInterval(service: ServiceState, now: Instant): ServiceState {
  const interval = Math.min(service.latency, now - service.lastCompletionAt);
  const completionInterval =
    service.completionInterval + (interval - service.completionInterval) * 0.1;
  return { ...service, completionInterval, lastCompletionAt: now };
}

/** Returns when a refused caller may find room: once the waiting calls have started. */
export function computeRetryAfter(service: ServiceState): Duration {
  return Math.ceil((countQueued(service) + 1) * service.completionInterval + service.latency);
}
