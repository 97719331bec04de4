/**
 * The requests that wait for one service. Invariant: both trees hold the same requests. Insert, remove, take and the
 * number of requests ahead of one take O(log n) expected steps.
 */
import type { Instant } from '../model/index.js';
import {
  addItem,
  countBefore,
  countItems,
  findFirst,
  findLast,
  listItems,
  removeItem,
  type Tree,
} from './tree.js';
import type { QueuedRequest } from './types.js';

/** A queue of requests. */
export interface RequestQueue {
  /** In the order of service. */
  readonly order: Tree<QueuedRequest>;
  /** In the order in which they are given up. */
  readonly expiry: Tree<QueuedRequest>;
}

export const emptyQueue: RequestQueue = { order: undefined, expiry: undefined };

/** Orders requests by urgency, then fair share, then deadline. */
function compareOrder(left: QueuedRequest, right: QueuedRequest): number {
  return (
    left.rank - right.rank ||
    left.tag - right.tag ||
    left.deadline - right.deadline ||
    left.id - right.id
  );
}

function compareExpiry(left: QueuedRequest, right: QueuedRequest): number {
  return left.giveUpAt - right.giveUpAt || left.id - right.id;
}

/**
 * Returns the queue with the request added.
 *
 * @example
 * addRequest(emptyQueue, request)
 */
export function addRequest({ order, expiry }: RequestQueue, request: QueuedRequest): RequestQueue {
  return {
    order: addItem(order, request, compareOrder),
    expiry: addItem(expiry, request, compareExpiry),
  };
}

/** Returns the queue without the request, or the same queue if it doesn't hold it. */
export function removeRequest(queue: RequestQueue, request: QueuedRequest): RequestQueue {
  const order = removeItem(queue.order, request, compareOrder);
  if (order === queue.order) return queue;
  return { order, expiry: removeItem(queue.expiry, request, compareExpiry) };
}

/** Returns the number of waiting requests. */
export function countWaiting({ order }: RequestQueue): number {
  return countItems(order);
}

/** Returns the request that is served next. */
export function findNext({ order }: RequestQueue): QueuedRequest | undefined {
  return findFirst(order);
}

/** Returns the request that is served last, which is refused first. */
export function findLeastUrgent({ order }: RequestQueue): QueuedRequest | undefined {
  return findLast(order);
}

/** Returns the number of requests that are served before the given one. */
export function countAhead({ order }: RequestQueue, request: QueuedRequest): number {
  return countBefore(order, request, compareOrder);
}

/** Returns a request whose time is over, if there is one. */
export function findExpired({ expiry }: RequestQueue, now: Instant): QueuedRequest | undefined {
  const first = findFirst(expiry);
  return first !== undefined && first.giveUpAt <= now ? first : undefined;
}

/** Returns all requests in the order of service. */
export function listRequests({ order }: RequestQueue): readonly QueuedRequest[] {
  return listItems(order);
}
