/**
 * Types of the waiting decisions. Invariant: instants are milliseconds of one monotonic clock, handed in with each
 * event.
 */
import type { Duration, Instant } from '../model/index.js';

/** A request that may wait for capacity of its service. */
export interface Waiter {
  /** Unique within the process. */
  readonly id: number;
  readonly account: string | undefined;
  /** 0 is the most urgent. */
  readonly rank: number;
  readonly arrivedAt: Instant;
  /** When an answer is no longer within the target latency. */
  readonly targetAt: Instant;
  readonly deadline: Instant;
  /** Milliseconds that upstreams are expected to take for it. */
  readonly work: Duration;
  /** Identifies its caller among others: its account, or its address and route. */
  readonly caller: string;
}

/** A waiting request with its place in the order of service. */
export interface QueuedRequest extends Waiter {
  readonly queuedAt: Instant;
  /** Place among the requests of the same rank; lower is served first. */
  readonly tag: number;
  /** When it is refused if it has not been sent. */
  readonly giveUpAt: Instant;
}

/** What the gateway knows of the capacity of a service. */
export interface Capacity {
  /** Slots a second that are expected to come free for this gateway. */
  readonly slotRate: number;
  /** Free slots of all upstreams, by the load reports at hand, divided by the number of gateways. */
  readonly freeShare: number;
  /**
   * Whether few slots are free. If many are free, a request found no room because it has too little time left, which says
   * nothing about others.
   */
  readonly isFull: boolean;
}

/** Why a request is refused by the waiting decisions. */
export type WaitRefusal =
  /** It can't be served in time. */
  | 'noTime'
  /** Its place went to a more urgent request, or to one of an account with less than its share. */
  | 'displaced'
  /** Capacity is reserved for more urgent requests. */
  | 'reserved'
  /** The gateway stops. */
  | 'stopping';

/** Events of {@link decideWaiting}. */
export type WaitingEvent =
  /** No upstream has room for the request, or others are served first. */
  | {
      readonly kind: 'noRoom';
      readonly waiter: Waiter;
      readonly capacity: Capacity;
      readonly now: Instant;
      readonly random: number;
    }
  /** The request was sent to an upstream for the first time, after a wait or without one. */
  | { readonly kind: 'sent'; readonly waiter: Waiter; readonly now: Instant }
  /** An upstream without a free slot rejected a request. */
  | { readonly kind: 'rejected'; readonly now: Instant }
  /** A request that was sent is refused, as upstreams rejected it. */
  | { readonly kind: 'refused'; readonly waiter: Waiter; readonly now: Instant }
  /** An attempt of this gateway ended, which frees a slot. */
  | { readonly kind: 'ended'; readonly now: Instant }
  /** The timer fired. */
  | {
      readonly kind: 'ticked';
      readonly capacity: Capacity;
      readonly now: Instant;
      readonly random: number;
    }
  /** A request whose turn it was found no room. */
  | { readonly kind: 'returned'; readonly request: QueuedRequest; readonly now: Instant }
  /** The request ended otherwise, for example because its caller disconnected. */
  | { readonly kind: 'left'; readonly request: QueuedRequest; readonly now: Instant }
  | { readonly kind: 'closed'; readonly now: Instant };

/** Effects of {@link decideWaiting}. */
export type WaitingEffect =
  /** The request waits. */
  | { readonly kind: 'wait'; readonly request: QueuedRequest }
  /** It is the request's turn: it has left the queue and is decided anew. */
  | { readonly kind: 'try'; readonly request: QueuedRequest }
  | {
      readonly kind: 'refuse';
      readonly waiter: Waiter;
      readonly cause: WaitRefusal;
      /** Milliseconds after which the caller is told to come back. */
      readonly retryAfter: Duration;
    };
