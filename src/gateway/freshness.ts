/**
 * Decides by the age of its state what a gateway may do. Invariant: the decision depends only on the arguments; by a
 * state that is older than the bound no route (404) and no key (401) is denied, and by one that is known to be behind nothing is sent.
 *
 * A gateway that was paused, or that lost its control members, can't tell whether routes, drains and removals have come
 * into force since. While others answer and have no newer state, as when all control members are gone, known routes are
 * the best that anybody can serve by; a caller that gets 503 instead finds no better gateway. A gateway that hears of
 * nobody is more likely cut off, or late, than the last one: others serve by what it has not heard.
 */
import type { Duration, Instant } from '../model/index.js';

/**
 * Milliseconds for which a gateway looks for a newer state before it decides by one that may be old: some round trips,
 * or a connection that is opened anew. If the process ran all the time, they end when the state becomes stale.
 */
export const CHECK_TIME: Duration = 400;
/**
 * Age in milliseconds up to which a state that nobody is known to have overtaken is served by: longer than all control
 * members take to restart together. Whoever is cut off longer may have missed anything.
 */
const MAX_UNCONFIRMED_AGE: Duration = 30_000;
/** Growth of the age in milliseconds between two looks from which the process stood still in between. */
const MAX_LOOK_GAP: Duration = 500;

/** What a gateway knows of its state's age. */
export interface StateAge {
  /** Milliseconds since the state was certainly current; Infinity if it never was. */
  readonly age: Duration;
  /** Age in milliseconds up to which the state counts as current. */
  readonly freshFor: Duration;
  /** Whether another process is known to have a newer state. */
  readonly isBehind: boolean;
  /** Whether none of the processes that were asked of late has answered in time. */
  readonly isAlone: boolean;
}

/** The looks of a running process at the age of its state. */
export interface AgeWatch {
  /** The age at the latest look. */
  readonly age: Duration;
  /** Since when the process has seen, without a gap, that the state is about to be stale, or is. */
  readonly agingSince: Instant | undefined;
}

/** The watch before the first look. */
export const UNWATCHED: AgeWatch = { age: 0, agingSince: undefined };

/** What a gateway's state is good for. */
export type StateVerdict =
  /** Current within the bound: all decisions are made by it. */
  | 'fresh'
  /** Older, and seen only just now, for example after a pause: a newer one may arrive at any instant. */
  | 'checking'
  /** Older, and all that answer have none either: known routes are served, no route is denied. */
  | 'unconfirmed'
  /** Behind, or of a process that hears of nobody, or too old: nothing is decided by it. */
  | 'outdated';

/** What happens to a request that arrives. */
export type AgeDecision = 'serve' | 'deny' | 'wait' | 'refuse';

/**
 * Returns the watch after one more look. A process that stood still begins anew, as what it knew of others is old too.
 *
 * @example
 * updateWatch({ age: 200, agingSince: undefined }, { age: 5000, freshFor: 2000 }, 80) // { age: 5000, agingSince: 80 }
 */
export function updateWatch(
  watch: AgeWatch,
  { age, freshFor }: Pick<StateAge, 'age' | 'freshFor'>,
  now: Instant,
): AgeWatch {
  if (age <= freshFor - CHECK_TIME) return { age, agingSince: undefined };
  const stoodStill = age - watch.age > MAX_LOOK_GAP;
  return { age, agingSince: stoodStill ? now : (watch.agingSince ?? now) };
}

/**
 * Returns what the state is good for. `watchedFor` is the milliseconds since {@link AgeWatch.agingSince}.
 *
 * @example
 * judgeState({ age: 5000, freshFor: 2000, isBehind: false, isAlone: false }, 120) // 'checking'
 * judgeState({ age: 5000, freshFor: 2000, isBehind: false, isAlone: false }, 400) // 'unconfirmed'
 */
export function judgeState(state: StateAge, watchedFor: Duration): StateVerdict {
  if (state.age <= state.freshFor) return 'fresh';
  if (watchedFor < CHECK_TIME) return 'checking';
  return isOutdated(state) ? 'outdated' : 'unconfirmed';
}

/** Whether a request must not be sent by this state, whatever may still arrive. */
export function isOutdated({ age, freshFor, isBehind, isAlone }: StateAge): boolean {
  return age > freshFor && (isBehind || isAlone || age > MAX_UNCONFIRMED_AGE);
}

/**
 * Returns what happens to a request. The state allows it if the request has a route and, where the route needs one, a
 * key. One that has waited, or that there is no room for, doesn't wait (`mayWait`).
 *
 * @example
 * decideByAge('unconfirmed', { isAllowed: false, mayWait: true }) // 'refuse'
 */
export function decideByAge(
  verdict: StateVerdict,
  { isAllowed, mayWait }: { readonly isAllowed: boolean; readonly mayWait: boolean },
): AgeDecision {
  switch (verdict) {
    case 'fresh':
      return isAllowed ? 'serve' : 'deny';
    case 'checking':
      return mayWait ? 'wait' : 'refuse';
    case 'unconfirmed':
      return isAllowed ? 'serve' : 'refuse';
    case 'outdated':
      return 'refuse';
  }
}
