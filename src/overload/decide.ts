/**
 * Decides which requests of a service wait for capacity, which is next and which are refused, for load beyond the
 * capacity of the service: bursts, upstreams that reject, upstreams that are slow for a moment. Invariant: the result
 * depends on the arguments alone; each request that waits ends in one `try` or `refuse`, unless it left; where there is
 * room, nothing waits.
 *
 * Each event takes O(log n) expected steps for n waiting requests, besides the requests that it refuses.
 */
import type { Duration, Instant, Transition } from '../model/index.js';
import {
  addEnd,
  computeExpectedWait,
  computeFreeRate,
  computeGiveUp,
  emptyRate,
  isWaitAllowed,
  type EndRate,
} from './admission.js';
import {
  addAsked,
  addRefused,
  addSent,
  claimTag,
  dropSent,
  dropTag,
  emptyShares,
  getTopRank,
  isReserved,
  type Shares,
} from './fairness.js';
import {
  addRequest,
  countAhead,
  countWaiting,
  emptyQueue,
  findExpired,
  findLeastUrgent,
  findNext,
  listRequests,
  removeRequest,
  type RequestQueue,
} from './queue.js';
import { emptyTable, recordRefusal, recordReturn, type RepeatTable } from './repeat.js';
import { computeRetryAfter } from './retryafter.js';
import type {
  Capacity,
  QueuedRequest,
  Waiter,
  WaitingEffect,
  WaitingEvent,
  WaitRefusal,
} from './types.js';

/** Milliseconds after the last lack of room for which capacity counts as short. */
const SHORT_TIME: Duration = 2000;
/** Maximum number of waiting requests of a service, which bounds their memory. */
const MAX_WAITING = 10_000;
/** Requests whose expectation is checked again after each event, and the factor by which it must have failed. */
const MAX_CHECKED = 4;
const FAILED_FACTOR = 1.5;
/** Requests that are tried for each wake-up. */
const MAX_TRIED = 2;
/** The same while no upstream is usable, so that all of them are refused soon. */
const MAX_TRIED_WITHOUT_UPSTREAM = 32;
/**
 * Milliseconds in which the load reports of all upstreams are renewed. All gateways see the same free slots for that
 * time, and each of them takes its share once.
 */
const REPORT_TIME: Duration = 200;

/** State of the requests that wait for one service. */
export interface WaitingState {
  readonly queue: RequestQueue;
  readonly shares: Shares;
  readonly repeats: RepeatTable;
  readonly ends: EndRate;
  /** Free slots a millisecond at the last event that told it. */
  readonly freeRate: number;
  readonly shortUntil: Instant;
  readonly tickedAt: Instant;
}

export const emptyWaiting: WaitingState = {
  queue: emptyQueue,
  shares: emptyShares,
  repeats: emptyTable,
  ends: emptyRate,
  freeRate: 0,
  shortUntil: -Infinity,
  tickedAt: -Infinity,
};

type Result = Transition<WaitingState, WaitingEffect>;
type EventOf<Kind extends WaitingEvent['kind']> = Extract<WaitingEvent, { kind: Kind }>;

/** Returns the number of waiting requests. */
export function countWaitingRequests({ queue }: WaitingState): number {
  return countWaiting(queue);
}

/** Whether requests wait, or the service was short of capacity a moment ago. */
export function isShort({ queue, shortUntil }: WaitingState, now: Instant): boolean {
  return now < shortUntil || countWaiting(queue) > 0;
}

/**
 * Whether a request must not be sent although there may be room: others are served first, or capacity is reserved for
 * more urgent ones while few slots are free.
 *
 * @example
 * isHeldBack(emptyWaiting, waiter, now, () => true) // false
 */
export function isHeldBack(
  state: WaitingState,
  { rank }: Waiter,
  now: Instant,
  isFull: () => boolean,
): boolean {
  if (!isShort(state, now)) return false;
  const next = findNext(state.queue);
  if (next !== undefined && next.rank <= rank) return true;
  return isReserved(state.shares, rank, now) && isFull();
}

/** Mixes a request's id into the random number of an event, so that each refusal of an event has its own jitter. */
function computeRandom(random: number, id: number): number {
  return (random + id * 0.618_033_988_75) % 1;
}

function refuse(
  { state, effects }: Result,
  waiter: Waiter,
  cause: WaitRefusal,
  now: Instant,
  random: number,
): Result {
  const wait = computeExpectedWait(countWaiting(state.queue), state.freeRate);
  const retryAfter = computeRetryAfter({
    wait: Number.isFinite(wait) ? wait : waiter.work,
    timeLeft: waiter.deadline - now,
    rank: waiter.rank - getTopRank(state.shares, waiter.rank),
    random: computeRandom(random, waiter.id),
  });
  return {
    state: {
      ...state,
      shares: cause === 'reserved' ? state.shares : addRefused(state.shares, waiter, now),
      repeats: recordRefusal(state.repeats, waiter.caller, retryAfter, now),
    },
    effects: [...effects, { kind: 'refuse', waiter, cause, retryAfter }],
  };
}

function removeWaiting(state: WaitingState, request: QueuedRequest): WaitingState {
  const queue = removeRequest(state.queue, request);
  return queue === state.queue
    ? state
    : { ...state, queue, shares: dropTag(state.shares, request) };
}

function refuseWaiting(
  { state, effects }: Result,
  request: QueuedRequest,
  cause: WaitRefusal,
  now: Instant,
  random: number,
): Result {
  return refuse({ state: removeWaiting(state, request), effects }, request, cause, now, random);
}

/** Refuses the requests whose time is over. */
function refuseExpired(result: Result, now: Instant, random: number): Result {
  const expired = findExpired(result.state.queue, now);
  return expired === undefined
    ? result
    : refuseExpired(refuseWaiting(result, expired, 'noTime', now, random), now, random);
}

/** Refuses the requests served last, if they are no longer expected to be served in time. */
function refuseUnservable(
  result: Result,
  now: Instant,
  random: number,
  cause: WaitRefusal,
  left = MAX_CHECKED,
): Result {
  const { queue, freeRate } = result.state;
  const last = findLeastUrgent(queue);
  if (left === 0 || last === undefined) return result;
  const wait = computeExpectedWait(countWaiting(queue) - 1, freeRate);
  const isOverfull = countWaiting(queue) > MAX_WAITING;
  if (!isOverfull && wait <= (last.giveUpAt - now) * FAILED_FACTOR) return result;
  const refused = refuseWaiting(result, last, cause, now, random);
  return refuseUnservable(refused, now, random, cause, left - 1);
}

function updateCapacity(state: WaitingState, capacity: Capacity, now: Instant): WaitingState {
  return { ...state, freeRate: computeFreeRate(state.ends, capacity.slotRate, now) };
}

function handleNoRoom(state: WaitingState, event: EventOf<'noRoom'>): Result {
  const { waiter, capacity, now, random } = event;
  const returned = recordReturn(state.repeats, waiter.caller, now);
  const before = isShort(state, now) ? state.shares : emptyShares;
  const shares = capacity.isFull ? addAsked(before, waiter, now) : before;
  const claim = claimTag(shares, waiter, returned.early);
  const request: QueuedRequest = {
    ...waiter,
    queuedAt: now,
    tag: claim.tag,
    giveUpAt: computeGiveUp(waiter, now),
  };
  const known = updateCapacity(
    {
      ...{ ...state, shares, repeats: returned.table },
      shortUntil: capacity.isFull ? now + SHORT_TIME : state.shortUntil,
    },
    capacity,
    now,
  );
  const wait = computeExpectedWait(countAhead(known.queue, request), known.freeRate);
  if (!isWaitAllowed(waiter, wait, now)) {
    const cause = isReserved(shares, waiter.rank, now) ? 'reserved' : 'noTime';
    const refused = refuse({ state: known, effects: [] }, waiter, cause, now, random);
    return capacity.isFull ? refused : { ...refused, state: { ...refused.state, shares } };
  }
  const waiting = { ...known, queue: addRequest(known.queue, request), shares: claim.shares };
  return refuseUnservable(
    { state: waiting, effects: [{ kind: 'wait', request }] },
    now,
    random,
    'displaced',
  );
}

/** Takes up to `left` requests whose turn it is. */
function startNext({ state, effects }: Result, now: Instant, left: number, isFull = true): Result {
  const next = findNext(state.queue);
  const isHeld = next === undefined || (isFull && isReserved(state.shares, next.rank, now));
  if (left === 0 || isHeld) return { state, effects };
  const taken = { ...state, queue: removeRequest(state.queue, next) };
  return startNext(
    { state: taken, effects: [...effects, { kind: 'try', request: next }] },
    now,
    left - 1,
    isFull,
  );
}

/**
 * Returns whether this gateway takes a free slot that others see as well. The slots that come free between two events
 * and those that are free by the reports are divided among the gateways.
 */
function isTaking(state: WaitingState, { capacity, now, random }: EventOf<'ticked'>): boolean {
  const elapsed = Math.min(REPORT_TIME, Math.max(0, now - state.tickedAt));
  const { freeShare, slotRate } = capacity;
  if (freeShare >= 1) return true;
  return random < (slotRate / 1000) * elapsed + (freeShare * elapsed) / REPORT_TIME;
}

function handleTick(state: WaitingState, event: EventOf<'ticked'>): Result {
  const { capacity, now, random } = event;
  const known = updateCapacity(state, capacity, now);
  const unexpired = refuseExpired({ state: known, effects: [] }, now, random);
  // Without a usable upstream the requests are decided anew, which tells why they can't be served.
  if (capacity.slotRate === 0) return startNext(unexpired, now, MAX_TRIED_WITHOUT_UPSTREAM);
  const result = refuseUnservable(unexpired, now, random, 'noTime');
  const ticked = { ...result, state: { ...result.state, tickedAt: now } };
  return isTaking(state, event) ? startNext(ticked, now, MAX_TRIED, capacity.isFull) : ticked;
}

function handleReturned(state: WaitingState, { request, now }: EventOf<'returned'>): Result {
  const queued = {
    ...state,
    queue: addRequest(state.queue, request),
    shortUntil: now + SHORT_TIME,
  };
  return request.giveUpAt <= now
    ? refuseWaiting({ state: queued, effects: [] }, request, 'noTime', now, 0)
    : { state: queued, effects: [] };
}

/** A request that was charged when it began to wait isn't charged again. */
function handleSent(state: WaitingState, { waiter, now }: EventOf<'sent'>): Result {
  if (!isShort(state, now)) return { state, effects: [] };
  const isCharged = 'queuedAt' in waiter;
  const shares = isCharged
    ? state.shares
    : claimTag(addAsked(state.shares, waiter, now), waiter, 0).shares;
  return { state: { ...state, shares: addSent(shares, waiter, now) }, effects: [] };
}

/** A full upstream means that capacity is short, although this gateway may not have refused a request yet. */
function handleRejected(state: WaitingState, now: Instant): Result {
  const shares = isShort(state, now) ? state.shares : emptyShares;
  return { state: { ...state, shares, shortUntil: now + SHORT_TIME }, effects: [] };
}

function handleRefused(state: WaitingState, { waiter, now }: EventOf<'refused'>): Result {
  if (!isShort(state, now)) return { state, effects: [] };
  const shares = addRefused(dropSent(state.shares, waiter, now), waiter, now);
  return { state: { ...state, shares }, effects: [] };
}

function handleClosed(state: WaitingState, now: Instant): Result {
  return listRequests(state.queue).reduce<Result>(
    (result, request) => refuseWaiting(result, request, 'stopping', now, 0),
    { state, effects: [] },
  );
}

/**
 * Applies one event and returns the next state and the effects to perform.
 *
 * @example
 * decideWaiting(emptyWaiting, { kind: 'noRoom', waiter, capacity, now, random }) // effects: wait or refuse
 */
export function decideWaiting(state: WaitingState, event: WaitingEvent): Result {
  switch (event.kind) {
    case 'noRoom':
      return handleNoRoom(state, event);
    case 'sent':
      return handleSent(state, event);
    case 'rejected':
      return handleRejected(state, event.now);
    case 'refused':
      return handleRefused(state, event);
    case 'ended':
      return startNext(
        { state: { ...state, ends: addEnd(state.ends, event.now) }, effects: [] },
        event.now,
        1,
      );
    case 'ticked':
      return handleTick(state, event);
    case 'returned':
      return handleReturned(state, event);
    case 'left':
      return { state: removeWaiting(state, event.request), effects: [] };
    case 'closed':
      return handleClosed(state, event.now);
  }
}
