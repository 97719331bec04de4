/**
 * Decides whether to retry a request when an attempt ends. Invariant: a request that is not
 * idempotent is retried only if none of its attempts can have run, and any request is answered with
 * `refused` only in that case.
 */
import type { AttemptOutcome, FinalAnswer, UpstreamAnswer } from './types.js';

/** Number of attempts that failed to connect after which no further attempt is made. */
const MAX_UNREACHABLE_ATTEMPTS = 4;
/** Milliseconds after which a caller may retry when upstreams rejected its request. */
const REJECTED_RETRY_DELAY = 60;
/** Milliseconds after which a caller may retry when upstreams were unreachable. */
const UNREACHABLE_RETRY_DELAY = 100;

/** State of a request's attempts. */
export interface RetryState {
  readonly isIdempotent: boolean;
  /** Maximum number of attempts that may run the request. */
  readonly maxAttempts: number;
  /** Number of ended attempts that may have run. */
  readonly mayHaveRun: number;
  readonly rejected: number;
  readonly unreachable: number;
  /** Number of attempts in progress. */
  readonly pending: number;
  /** Failure response of an upstream, returned to the caller if no better answer arrives. */
  readonly fallback: UpstreamAnswer | undefined;
}

/** What to do after an attempt ended. */
export type RetryDecision =
  | { readonly kind: 'answer'; readonly answer: FinalAnswer }
  /** Retry the request; `isCharged` if the retry counts against the retry budget of the fleet. */
  | { readonly kind: 'repeat'; readonly isCharged: boolean }
  | { readonly kind: 'wait' };

/** Returns the initial state of a request that has not been sent yet. */
export function createRetryState(isIdempotent: boolean, maxAttempts: number): RetryState {
  return {
    isIdempotent,
    maxAttempts,
    mayHaveRun: 0,
    rejected: 0,
    unreachable: 0,
    pending: 0,
    fallback: undefined,
  };
}

/** Returns the state after an attempt ended with `outcome`. */
export function addAttemptEnd(state: RetryState, outcome: AttemptOutcome): RetryState {
  const ended = { ...state, pending: state.pending - 1 };
  switch (outcome.kind) {
    case 'answered':
      return {
        ...ended,
        mayHaveRun: state.mayHaveRun + 1,
        fallback: state.fallback ?? outcome.answer,
      };
    case 'lost':
      return { ...ended, mayHaveRun: state.mayHaveRun + 1 };
    case 'notRun':
      return { ...ended, rejected: state.rejected + 1 };
    case 'unreachable':
      return { ...ended, unreachable: state.unreachable + 1 };
  }
}

/** Returns the final answer to the request if no further attempt is made. */
export function finishRequest(state: RetryState): FinalAnswer {
  const { fallback, mayHaveRun, pending, rejected } = state;
  if (fallback !== undefined) return { kind: 'upstream', answer: fallback };
  if (mayHaveRun + pending > 0) return { kind: 'failed', cause: 'lost' };
  return rejected > 0
    ? { kind: 'refused', cause: 'turnedAway', retryAfter: REJECTED_RETRY_DELAY }
    : { kind: 'refused', cause: 'unreachable', retryAfter: UNREACHABLE_RETRY_DELAY };
}

/** Returns whether the request may be sent to one more upstream. */
export function hasAttemptLeft({
  isIdempotent,
  mayHaveRun,
  pending,
  maxAttempts,
}: RetryState): boolean {
  return mayHaveRun + pending === 0 || (isIdempotent && mayHaveRun + pending < maxAttempts);
}

/**
 * Returns what to do after an attempt ended; `state` must already include its outcome.
 *
 * @example
 * decideRetry(addAttemptEnd(state, outcome), outcome) // { kind: 'repeat', isCharged: true }
 */
export function decideRetry(state: RetryState, outcome: AttemptOutcome): RetryDecision {
  if (outcome.kind === 'answered' && outcome.answer.status < 500) {
    return { kind: 'answer', answer: { kind: 'upstream', answer: outcome.answer } };
  }
  const finalDecision: RetryDecision =
    state.pending > 0 ? { kind: 'wait' } : { kind: 'answer', answer: finishRequest(state) };
  switch (outcome.kind) {
    case 'unreachable': {
      const isExhausted = state.unreachable >= MAX_UNREACHABLE_ATTEMPTS || state.pending > 0;
      return isExhausted || !hasAttemptLeft(state)
        ? finalDecision
        : { kind: 'repeat', isCharged: false };
    }
    case 'notRun':
      return state.rejected > state.maxAttempts || !hasAttemptLeft(state)
        ? finalDecision
        : { kind: 'repeat', isCharged: true };
    case 'answered':
    case 'lost':
      return state.isIdempotent && hasAttemptLeft(state)
        ? { kind: 'repeat', isCharged: true }
        : finalDecision;
  }
}

/**
 * Returns whether a hedge may be sent to a second upstream while the first attempt is in progress.
 */
export function isHedgeable(state: RetryState): boolean {
  return state.isIdempotent && state.pending === 1 && hasAttemptLeft(state);
}
