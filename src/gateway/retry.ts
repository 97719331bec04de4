/**
 * Decides what follows when an attempt ends. Invariant: a request that isn't idempotent is sent again only
 * if no attempt of it can have run, and `refused` is answered only in that case, whatever the request.
 */
import type { AttemptOutcome, FinalAnswer, UpstreamAnswer } from './types.js';

/** Attempts without a connection after which no further one is made. */
const MAX_UNREACHABLE_ATTEMPTS = 4;
/** Milliseconds after which a caller may come back when upstreams turned its request away. */
const REJECTED_RETRY_DELAY = 60;
/** The same when upstreams could not be reached. */
const UNREACHABLE_RETRY_DELAY = 100;

/** What is known of a request's attempts. */
export interface RetryState {
  readonly isIdempotent: boolean;
  /** Upstreams that may run the request. */
  readonly maxAttempts: number;
  /** Attempts that may have run. */
  readonly mayHaveRun: number;
  readonly rejected: number;
  readonly unreachable: number;
  /** Attempts under way. */
  readonly pending: number;
  /** An upstream's failure that is delivered if nothing better comes. */
  readonly fallback: UpstreamAnswer | undefined;
}

/** What follows. */
export type RetryDecision =
  | { readonly kind: 'answer'; readonly answer: FinalAnswer }
  /** Send again; `isCharged` if the repeat counts against the fleet's bound. */
  | { readonly kind: 'repeat'; readonly isCharged: boolean }
  | { readonly kind: 'wait' };

/** The state of a request that was not sent yet. */
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

/** Returns the state after an attempt ended. */
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

/** Returns the final answer if nothing more is sent. */
export function finishRequest(state: RetryState): FinalAnswer {
  const { fallback, mayHaveRun, pending, rejected } = state;
  if (fallback !== undefined) return { kind: 'upstream', answer: fallback };
  if (mayHaveRun + pending > 0) return { kind: 'failed', cause: 'lost' };
  return rejected > 0
    ? { kind: 'refused', cause: 'turnedAway', retryAfter: REJECTED_RETRY_DELAY }
    : { kind: 'refused', cause: 'unreachable', retryAfter: UNREACHABLE_RETRY_DELAY };
}

/** Tells whether the request may go to one more upstream. */
export function hasAttemptLeft({
  isIdempotent,
  mayHaveRun,
  pending,
  maxAttempts,
}: RetryState): boolean {
  return mayHaveRun + pending === 0 || (isIdempotent && mayHaveRun + pending < maxAttempts);
}

/**
 * Returns what follows from the end of an attempt; `state` counts it already.
 *
 * @example
 * decideAfter(addAttemptEnd(state, outcome), outcome) // { kind: 'repeat', isCharged: true }
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

/** Tells whether a second upstream may be sent the request while the first one still has it. */
export function isHedgeable(state: RetryState): boolean {
  return state.isIdempotent && state.pending === 1 && hasAttemptLeft(state);
}
