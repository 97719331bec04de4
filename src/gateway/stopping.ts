/**
 * Decides what a stop does to callers' connections and requests. Invariant: a request is refused, which promises
 * that it will not run, rather than passed on and cut off when the process ends.
 */
import type { Duration, Instant } from '../model/index.js';

/** Share of the stop time during which new connections are accepted, as callers may hold address lists that old. */
const ACCEPTING_SHARE = 0.6;
/** Share of the stop time for which unused connections are kept, as callers may send on them until they know better. */
const UNUSED_SHARE = 0.8;
/** Share of the stop time after which unfinished requests are cut off; the rest is for ending the process. */
const DRAIN_SHARE = 0.92;
/** Multiple of a request's average work that it may take on a slow VM. */
const WORK_MARGIN = 4;

/** The instants of a stop. */
export interface StopPlan {
  readonly acceptsUntil: Instant;
  readonly keepsUnusedUntil: Instant;
  /** When unfinished requests are cut off. */
  readonly endsAt: Instant;
}

/**
 * Returns the instants of a stop that must end within `stopTime` milliseconds.
 *
 * @example
 * buildStopPlan(0, 6000).endsAt // 5520
 */
export function buildStopPlan(now: Instant, stopTime: Duration): StopPlan {
  return {
    acceptsUntil: now + stopTime * ACCEPTING_SHARE,
    keepsUnusedUntil: now + stopTime * UNUSED_SHARE,
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
 * decideConnection('sending', buildStopPlan(0, 6000), 5000) // 'keep'
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

/** Inputs of {@link isFinishedBeforeStop}, in milliseconds. */
export interface StopState {
  /** Until the gateway cuts off what is still running. */
  readonly stopTimeLeft: Duration;
  /** Until the deadline of the request. */
  readonly timeLeft: Duration;
  /** Average work of such requests at normal pace. */
  readonly work: Duration;
}

/**
 * Returns whether a request will be answered before the gateway ends.
 *
 * @example
 * isFinishedBeforeStop({ stopTimeLeft: 900, timeLeft: 2000, work: 280 }) // false
 */
export function isFinishedBeforeStop({ stopTimeLeft, timeLeft, work }: StopState): boolean {
  return Math.min(timeLeft, work * WORK_MARGIN) <= stopTimeLeft;
}
