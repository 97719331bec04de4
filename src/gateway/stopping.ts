/**
 * Decides what a stop does to callers' connections and requests. Invariant: a request that is passed on in a stop ends
 * before the process may be killed, by its deadline or, early in the stop, by a multiple of its average work; all
 * others are refused, which promises that they will not run. The process is killed a time after the signal was sent, which
 * may be earlier than it was handled.
 */
import type { Duration, Instant } from '../model/index.js';

/** Share of the stop time during which new connections are accepted, as callers may hold address lists that old. */
const ACCEPTING_SHARE = 0.6;
/** Share of the stop time for which unused connections are kept, as callers may send on them until they know better. */
const UNUSED_SHARE = 0.8;
/** Share of the stop time after which unfinished requests are cut off; the rest is for ending the process. */
const DRAIN_SHARE = 0.92;
/** The same share where the signal may have come earlier than it was handled: the process may be killed right after. */
const LATE_DRAIN_SHARE = 0.98;
/** Share of the stop time, and milliseconds, in which requests are taken by their average work. */
const EARLY_SHARE = 0.5;
const MAX_EARLY_TIME: Duration = 3000;
/** Multiple of a request's average work that it may take on a slow VM. */
const WORK_MARGIN = 4;

/** The instants of a stop. */
export interface StopPlan {
  /** Until then, requests are taken by their average work; later ones by their deadline. */
  readonly earlyUntil: Instant;
  readonly acceptsUntil: Instant;
  readonly keepsUnusedUntil: Instant;
  /** When a request that is taken must have ended. */
  readonly answersUntil: Instant;
  /** When unfinished requests are cut off. */
  readonly endsAt: Instant;
}

/**
 * Returns the instants of a stop that must end within `stopTime` milliseconds of its signal, which was sent at `sentAt`
 * or later and is handled now. Requests are taken as if it had been sent at `sentAt`; those that run are given all the
 * time that there may be.
 *
 * @example
 * buildStopPlan(500, 6000, 0).answersUntil // 5880
 */
export function buildStopPlan(now: Instant, stopTime: Duration, sentAt: Instant): StopPlan {
  return {
    earlyUntil: sentAt + Math.min(stopTime * EARLY_SHARE, MAX_EARLY_TIME),
    acceptsUntil: now + stopTime * ACCEPTING_SHARE,
    keepsUnusedUntil: now + stopTime * UNUSED_SHARE,
    answersUntil: Math.min(now + stopTime * DRAIN_SHARE, sentAt + stopTime * LATE_DRAIN_SHARE),
    endsAt: now + stopTime * DRAIN_SHARE,
  };
}

/** What a caller's connection is doing. */
export type ConnectionPhase =
  /** Nothing is read, served or sent. */
  | 'unused'
  /** A request was read in part. */
  | 'reading'
  /** A request is being served. */
  | 'serving'
  /** All requests are answered, and bytes of the answers wait in the process. */
  | 'sending'
  /** The kernel has all bytes of the last answer, and the caller has not closed its end. */
  | 'ending';

/** What to do with a connection: `cutOff` closes it with a request that is not answered completely. */
export type ConnectionDecision = 'keep' | 'close' | 'cutOff';

/**
 * Decides what a stop does to a connection at this instant.
 *
 * @example
 * decideConnection('sending', buildStopPlan(0, 6000, 0), 5000) // 'keep'
 */
export function decideConnection(
  phase: ConnectionPhase,
  { keepsUnusedUntil, endsAt }: StopPlan,
  now: Instant,
): ConnectionDecision {
  switch (phase) {
    case 'unused':
      return now < keepsUnusedUntil ? 'keep' : 'close';
    case 'reading':
    case 'ending':
      return now < endsAt ? 'keep' : 'close';
    case 'serving':
    case 'sending':
      return now < endsAt ? 'keep' : 'cutOff';
  }
}

/** Inputs of {@link isTakenInStop}. */
export interface LateRequest {
  readonly plan: StopPlan;
  readonly now: Instant;
  /** When its answer is due, by its caller and its route. */
  readonly deadline: Instant;
  /** Milliseconds of average work of such requests at normal pace. */
  readonly work: Duration;
}

/**
 * Returns whether a request that was read in a stop is passed on; otherwise it is refused.
 *
 * @example
 * isTakenInStop({ plan: buildStopPlan(0, 6000, 0), now: 3400, deadline: 11_400, work: 400 }) // false
 */
export function isTakenInStop({ plan, now, deadline, work }: LateRequest): boolean {
  const end = now <= plan.earlyUntil ? Math.min(deadline, now + work * WORK_MARGIN) : deadline;
  return end <= plan.answersUntil;
}

/** A request on a connection, as far as {@link isStartedInStop} and {@link isLastInStop} look at it. */
export interface PipelinedState {
  readonly isStarted: boolean;
}

/**
 * Returns whether a request may be started in a stop: not behind another one, whose answer will close the connection.
 *
 * @example
 * isStartedInStop([{ isStarted: true }]) // false
 */
export function isStartedInStop(earlier: readonly PipelinedState[]): boolean {
  return earlier.length === 0;
}

/**
 * Returns whether an answer closes its connection in a stop: no request behind it was started.
 *
 * @example
 * isLastInStop([{ isStarted: true }, { isStarted: false }]) // false
 */
export function isLastInStop(later: readonly PipelinedState[]): boolean {
  return !later.some(({ isStarted }) => isStarted);
}
