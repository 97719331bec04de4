/**
 * Holds the queues of all services and their timers, and carries out the effects of {@link decideWaiting}. Invariant: a
 * service has a timer only while requests of it wait, and the listener of a request hears `onTurn` or `onRefuse` at most
 * once at a time, and nothing after `onRefuse` or after it has left.
 */
import type { Duration, Instant } from '../model/index.js';
import {
  countWaitingRequests,
  decideWaiting,
  emptyWaiting,
  isHeldBack,
  isShort,
  type WaitingState,
} from './decide.js';
import type {
  Capacity,
  QueuedRequest,
  Waiter,
  WaitingEffect,
  WaitingEvent,
  WaitRefusal,
} from './types.js';

/** Bounds in milliseconds of the time between two wake-ups; gateways that learn of a free slot together spread in it. */
const MIN_TICK: Duration = 10;
const MAX_TICK: Duration = 25;

/** What a run does when it is its turn. */
export type TurnResult =
  /** It was sent. */
  | 'sent'
  /** There is no room for it yet. */
  | 'noRoom';

/** What a waiting request is told. A request that ends in its turn without being sent leaves by its ticket. */
export interface WaitingListener {
  /** It is the request's turn; `onResult` is called with what came of it, now or later. */
  onTurn(onResult: (result: TurnResult) => void): void;
  onRefuse(cause: WaitRefusal, retryAfter: Duration): void;
}

/** A request that waits or whose turn it is. */
export interface WaitingTicket {
  /** Removes the request. */
  leave(): void;
}

/** What the queues need of the gateway. */
export interface QueueHost {
  readonly now: () => Instant;
  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  readonly random: () => number;
  readonly getCapacity: (service: string) => Capacity;
  /** Records that capacity became short. */
  readonly recordShortage: (service: string) => void;
  /** Records a request that found no room: for how long it waited, and how that ended. */
  readonly recordWait: (
    service: string,
    waited: Duration,
    end: 'sent' | 'left' | WaitRefusal,
  ) => void;
}

/** A listener and the request that it listens for, which changes when it begins to wait. */
interface Entry {
  readonly listener: WaitingListener;
  request: QueuedRequest | undefined;
}

class ServiceQueue {
  readonly #service: string;
  readonly #host: QueueHost;
  readonly #entries = new Map<number, Entry>();
  #state: WaitingState = emptyWaiting;
  #timer: NodeJS.Timeout | undefined;
  #isClosed = false;

  constructor(service: string, host: QueueHost) {
    this.#service = service;
    this.#host = host;
  }

  get size(): number {
    return countWaitingRequests(this.#state);
  }

  isShort(): boolean {
    return isShort(this.#state, this.#host.now());
  }

  isHeldBack(waiter: Waiter): boolean {
    const { now, getCapacity } = this.#host;
    return isHeldBack(this.#state, waiter, now(), () => getCapacity(this.#service).isFull);
  }

  join(waiter: Waiter, listener: WaitingListener): WaitingTicket {
    const { now, random, getCapacity } = this.#host;
    if (this.#isClosed) {
      this.#host.recordWait(this.#service, 0, 'stopping');
      listener.onRefuse('stopping', 0);
      return { leave: () => undefined };
    }
    this.#entries.set(waiter.id, { listener, request: undefined });
    const capacity = getCapacity(this.#service);
    this.apply({ kind: 'noRoom', waiter, capacity, now: now(), random: random() });
    return {
      leave: () => {
        this.#leave(waiter.id);
      },
    };
  }

  #leave(id: number): void {
    const entry = this.#entries.get(id);
    if (entry === undefined) return;
    this.#entries.delete(id);
    if (entry.request === undefined) return;
    this.#recordWait(entry.request, 'left');
    this.apply({ kind: 'left', request: entry.request, now: this.#host.now() });
  }

  #recordWait({ queuedAt }: QueuedRequest, end: 'sent' | 'left' | WaitRefusal): void {
    this.#host.recordWait(this.#service, this.#host.now() - queuedAt, end);
  }

  apply(event: WaitingEvent): void {
    const wasShort = isShort(this.#state, event.now);
    const { state, effects } = decideWaiting(this.#state, event);
    this.#state = state;
    if (!wasShort && isShort(state, event.now)) this.#host.recordShortage(this.#service);
    effects.forEach((effect) => {
      this.#perform(effect);
    });
    this.#updateTimer();
  }

  #perform(effect: WaitingEffect): void {
    switch (effect.kind) {
      case 'wait': {
        const entry = this.#entries.get(effect.request.id);
        if (entry !== undefined) entry.request = effect.request;
        return;
      }
      case 'try':
        this.#giveTurn(effect.request);
        return;
      case 'refuse': {
        const entry = this.#entries.get(effect.waiter.id);
        this.#entries.delete(effect.waiter.id);
        const { queuedAt = this.#host.now() } = entry?.request ?? {};
        this.#host.recordWait(this.#service, this.#host.now() - queuedAt, effect.cause);
        entry?.listener.onRefuse(effect.cause, effect.retryAfter);
        return;
      }
    }
  }

  #giveTurn(request: QueuedRequest): void {
    const entry = this.#entries.get(request.id);
    // It left while the effects before this one were carried out.
    if (entry === undefined) return;
    entry.listener.onTurn((result) => {
      if (this.#entries.get(request.id) !== entry) return;
      const now = this.#host.now();
      if (result === 'noRoom') {
        this.apply({ kind: 'returned', request, now });
        return;
      }
      this.#entries.delete(request.id);
      this.#recordWait(request, 'sent');
      this.apply({ kind: 'sent', waiter: request, now });
    });
  }

  #updateTimer(): void {
    if (this.size === 0) {
      clearTimeout(this.#timer);
      this.#timer = undefined;
      return;
    }
    const { now, random, getCapacity } = this.#host;
    this.#timer ??= setTimeout(
      () => {
        this.#timer = undefined;
        const capacity = getCapacity(this.#service);
        this.apply({ kind: 'ticked', capacity, now: now(), random: random() });
      },
      MIN_TICK + (MAX_TICK - MIN_TICK) * random(),
    );
  }

  close(): void {
    this.#isClosed = true;
    this.apply({ kind: 'closed', now: this.#host.now() });
  }
}

/** The queues of all services of a gateway. */
export class ServiceQueues {
  readonly #host: QueueHost;
  readonly #queues = new Map<string, ServiceQueue>();
  #isClosed = false;

  constructor(host: QueueHost) {
    this.#host = host;
  }

  /** Number of requests that wait. */
  get size(): number {
    return [...this.#queues.values()].reduce((sum, queue) => sum + queue.size, 0);
  }

  #getQueue(service: string): ServiceQueue {
    const known = this.#queues.get(service);
    if (known !== undefined) return known;
    const queue = new ServiceQueue(service, this.#host);
    if (this.#isClosed) queue.close();
    this.#queues.set(service, queue);
    return queue;
  }

  /** Whether others come before the request, so that it waits although there may be room. */
  isHeldBack(service: string, waiter: Waiter): boolean {
    return this.#queues.get(service)?.isHeldBack(waiter) ?? false;
  }

  /** Whether the service was short of capacity a moment ago. */
  isShort(service: string): boolean {
    return this.#queues.get(service)?.isShort() ?? false;
  }

  /** Lets the request wait or refuses it; the listener may be called before this returns. */
  join(service: string, waiter: Waiter, listener: WaitingListener): WaitingTicket {
    return this.#getQueue(service).join(waiter, listener);
  }

  /** Records that a request was sent without a wait. */
  recordSent(service: string, waiter: Waiter): void {
    this.#queues.get(service)?.apply({ kind: 'sent', waiter, now: this.#host.now() });
  }

  /** Records that a full upstream rejected a request. */
  recordRejected(service: string): void {
    this.#getQueue(service).apply({ kind: 'rejected', now: this.#host.now() });
  }

  /** Records that a request that was sent is refused, as upstreams rejected it. */
  recordRefused(service: string, waiter: Waiter): void {
    this.#queues.get(service)?.apply({ kind: 'refused', waiter, now: this.#host.now() });
  }

  /** Records that an attempt of this gateway ended, which frees a slot. */
  recordEnd(service: string): void {
    this.#getQueue(service).apply({ kind: 'ended', now: this.#host.now() });
  }

  /** Refuses all requests that wait. */
  close(): void {
    this.#isClosed = true;
    this.#queues.forEach((queue) => {
      queue.close();
    });
  }
}
