/**
 * Decides when a second attempt (a hedge) of a request is sent while the first one runs. Invariant: hedges add at most
 * `maxExtraWork` of the work of first attempts, and none is sent while the service is short of room.
 *
 * Load pattern: a few slow answers, as of VMs that run several times slower for a moment. Without room a hedge only takes
 * the place of another request.
 */
import type { Duration, Instant } from '../model/index.js';

/**
 * Work that a hedge adds at most in the usual case, as a multiple of the expected time: the first attempt up to the hedge
 * and the hedge itself.
 */
const WORK_PER_HEDGE = 2.7;
/**
 * What the retry budget of 0.2 retries a request allows, of which 0.15 are used, each of {@link WORK_PER_HEDGE}. It is the
 * default of `[hedging] max_extra_work`.
 */
export const DEFAULT_MAX_EXTRA_WORK = 0.4;
/** Multiple of the expected time after which a hedge is sent, before any answer. */
const INITIAL_RATIO = 1.7;
/** Bounds of that multiple. Below, usual answers are hedged; above, a VM that is 7 times slower is noticed too late. */
const MIN_RATIO = 1.4;
const MAX_RATIO = 2.5;
/** Bounds of the share of answers that are not hedged. */
const MIN_QUANTILE = 0.5;
const MAX_QUANTILE = 0.99;
/** Change of the multiple with each answer. */
const RATIO_STEP = 0.03;
/** Milliseconds added to the hedge delay, for the connection and the turns of both event loops. */
const DELAY_SLACK: Duration = 8;
/** Half-life of the counted work in milliseconds; the budget of retries is checked over 10 s. */
const WORK_HALF_LIFE: Duration = 10_000;
/** Milliseconds after a request was refused or waited for lack of room in which no hedge is sent. */
const SHORTAGE_TIME: Duration = 1000;

/** State of the hedges of one service at one gateway. */
export interface HedgeState {
  /** Share of the work of first attempts that hedges may add; 0 disables them. */
  readonly maxExtraWork: number;
  /** Multiple of the expected time that the quantile of answers of a kind of route take. */
  readonly ratios: Readonly<Record<string, number>>;
  /** Decayed milliseconds of first attempts, and those that hedges added. */
  readonly firstWork: Duration;
  readonly extraWork: Duration;
  readonly countedAt: Instant;
  /** When a request last was refused or waited for lack of room. */
  readonly shortAt: Instant;
}

export type HedgeEvent =
  /** An attempt was sent that may be hedged. */
  | { readonly kind: 'sent'; readonly route: string; readonly expected: Duration }
  /** The delay has passed and an upstream was chosen. */
  | {
      readonly kind: 'due';
      readonly now: Instant;
      readonly expected: Duration;
      /** Whether the chosen upstream has a free slot, and no request waits for one. */
      readonly hasRoom: boolean;
    }
  /** A first attempt ended; `isAnswered` is false if it was cancelled. */
  | {
      readonly kind: 'ended';
      readonly now: Instant;
      readonly route: string;
      readonly elapsed: Duration;
      readonly expected: Duration;
      readonly isAnswered: boolean;
    }
  /** The attempts that lost against another one were cancelled after this time in total. */
  | { readonly kind: 'lost'; readonly now: Instant; readonly elapsed: Duration }
  /** A request was refused or waits for lack of room. */
  | { readonly kind: 'short'; readonly now: Instant };

export type HedgeDecision =
  { readonly kind: 'wait'; readonly delay: Duration } | { readonly kind: 'send' | 'none' };

/** Returns the state of a service without requests so far. */
export function createHedgeState(maxExtraWork: number): HedgeState {
  const work = { firstWork: 0, extraWork: 0, countedAt: 0 };
  return { maxExtraWork, ratios: {}, ...work, shortAt: -Infinity };
}

interface HedgeTransition {
  readonly state: HedgeState;
  readonly decision: HedgeDecision;
}

const NONE: HedgeDecision = { kind: 'none' };

function addWork(state: HedgeState, first: Duration, extra: Duration, now: Instant): HedgeState {
  const factor = 0.5 ** (Math.max(0, now - state.countedAt) / WORK_HALF_LIFE);
  return {
    ...state,
    firstWork: state.firstWork * factor + first,
    extraWork: state.extraWork * factor + extra,
    countedAt: Math.max(now, state.countedAt),
  };
}

/** Moves the estimate of the quantile: up by an answer above it, down by one below, in balance at the quantile. */
function updateRatio(ratio: number, observed: number, maxExtraWork: number): number {
  const aimed = 1 - maxExtraWork / WORK_PER_HEDGE;
  const quantile = Math.min(MAX_QUANTILE, Math.max(MIN_QUANTILE, aimed));
  const moved = ratio + RATIO_STEP * (observed > ratio ? quantile : quantile - 1);
  return Math.min(MAX_RATIO, Math.max(MIN_RATIO, moved));
}

function isHedgeAllowed(state: HedgeState, event: Extract<HedgeEvent, { kind: 'due' }>): boolean {
  const { maxExtraWork, firstWork, extraWork, shortAt } = state;
  if (maxExtraWork <= 0 || !event.hasRoom) return false;
  if (event.now - shortAt < SHORTAGE_TIME) return false;
  return extraWork + event.expected <= firstWork * maxExtraWork;
}

/**
 * Returns the next state, and whether to send a hedge or when.
 *
 * @example
 * decideHedge(createHedgeState(0.4), { kind: 'sent', route: 'safe', expected: 60 }).decision // { kind: 'wait', delay: 110 }
 */
export function decideHedge(state: HedgeState, event: HedgeEvent): HedgeTransition {
  switch (event.kind) {
    case 'sent': {
      if (state.maxExtraWork <= 0) return { state, decision: NONE };
      const ratio = state.ratios[event.route] ?? INITIAL_RATIO;
      return { state, decision: { kind: 'wait', delay: event.expected * ratio + DELAY_SLACK } };
    }
    case 'due':
      return { state, decision: isHedgeAllowed(state, event) ? { kind: 'send' } : NONE };
    case 'ended': {
      const { now, route, elapsed, expected, isAnswered } = event;
      const worked = addWork(state, elapsed, 0, now);
      const known = state.ratios[route] ?? INITIAL_RATIO;
      const observed = elapsed / Math.max(1, expected);
      // A cancelled attempt would have taken longer than it did; how much longer isn't known.
      if (!isAnswered && observed <= known) return { state: worked, decision: NONE };
      const ratios = { ...state.ratios, [route]: updateRatio(known, observed, state.maxExtraWork) };
      return { state: { ...worked, ratios }, decision: NONE };
    }
    case 'lost':
      return { state: addWork(state, 0, event.elapsed, event.now), decision: NONE };
    case 'short':
      return { state: { ...state, shortAt: event.now }, decision: NONE };
  }
}
