/**
 * Watches the age of a gateway's state. Invariant: each verdict is of the instant at which it is asked for, and each
 * change between a fresh state and a stale one is logged once.
 */
import type { Follower } from '../feed/index.js';
import type { Duration, Instant } from '../model/index.js';
import { createLogger } from '../telemetry/index.js';
import {
  isOutdated,
  judgeState,
  UNWATCHED,
  updateWatch,
  type AgeWatch,
  type StateAge,
  type StateVerdict,
} from './freshness.js';
import { describeState } from './statelines.js';

const log = createLogger('gateway');

/** Milliseconds between two looks at the age, short beside the time of a check. */
const LOOK_INTERVAL: Duration = 50;
/** Milliseconds between two polls during a check, which is too short for the follower's own interval. */
const POLL_INTERVAL: Duration = 100;
/** Maximum milliseconds that a request waits for a check: the check itself and the look after it. */
export const MAX_CHECK_WAIT: Duration = 500;

/** Options of {@link StateWatch}. */
export interface StateWatchOptions {
  readonly follower: Follower;
  readonly now: () => Instant;
  /** Age in milliseconds up to which the state counts as current. */
  readonly freshFor: Duration;
  /** Called when requests that wait for a verdict can be decided. */
  readonly onSettled: () => void;
}

/** The verdict on a gateway's state, kept up to date. */
export class StateWatch {
  readonly #options: StateWatchOptions;
  readonly #timer: NodeJS.Timeout;
  #watch: AgeWatch = UNWATCHED;
  #verdict: StateVerdict = 'fresh';
  #isRefusing = false;
  #polledAt: Instant = -Infinity;
  #staleSince: Instant | undefined;
  #refused = 0;
  #refusedBefore = 0;

  constructor(options: StateWatchOptions) {
    this.#options = options;
    this.#timer = setInterval(() => {
      this.look();
    }, LOOK_INTERVAL);
  }

  /** Number of requests that were refused for the age of the state. */
  get refused(): number {
    return this.#refused;
  }

  /** Whether everything is refused. A check that is under way changes nothing. */
  get isRefusing(): boolean {
    this.look();
    return this.#isRefusing;
  }

  /** Whether nothing may be sent by the present state. */
  get isOutdated(): boolean {
    return isOutdated(this.#readState());
  }

  recordRefusal(): void {
    this.#refused += 1;
  }

  #readState(): StateAge {
    const { follower, freshFor } = this.#options;
    const { age, isBehind, isAlone } = follower;
    return { age, freshFor, isBehind, isAlone };
  }

  /** Returns the verdict of this instant. */
  look(): StateVerdict {
    // Nothing is decided by a state that has not come.
    if (this.#options.follower.view.index === 0) return this.#verdict;
    const now = this.#options.now();
    const state = this.#readState();
    this.#watch = updateWatch(this.#watch, state, now);
    const previous = this.#verdict;
    const verdict = judgeState(state, now - (this.#watch.agingSince ?? now));
    this.#verdict = verdict;
    if (verdict === 'checking') this.#pollWhileChecking(now);
    if (verdict !== previous) this.#handleChange(previous, verdict);
    return verdict;
  }

  /** Polls more often than the follower does, as requests wait. */
  #pollWhileChecking(now: Instant): void {
    if (now - this.#polledAt < POLL_INTERVAL) return;
    this.#polledAt = now;
    this.#options.follower.pollNow();
  }

  #handleChange(previous: StateVerdict, verdict: StateVerdict): void {
    if (verdict === 'fresh') this.#recordFresh();
    else if (previous === 'fresh') this.#recordStale(verdict);
    if (verdict === 'checking') return;
    const wasRefusing = this.#isRefusing;
    this.#isRefusing = verdict === 'outdated';
    // The other gateways learn whether callers should be directed here.
    if (this.#isRefusing !== wasRefusing) this.#options.follower.pollNow();
    if (previous === 'checking') this.#options.onSettled();
  }

  #recordStale(verdict: StateVerdict): void {
    const { follower, now } = this.#options;
    this.#staleSince = now();
    this.#refusedBefore = this.#refused;
    const { isBehind, isAlone } = follower;
    log.warn('the state became stale', { ...describeState(follower), isBehind, isAlone, verdict });
  }

  #recordFresh(): void {
    const { follower, now } = this.#options;
    log.info('the state is fresh again', {
      ...describeState(follower),
      isBehind: follower.isBehind,
      staleMs: Math.round(now() - (this.#staleSince ?? now())),
      refused: this.#refused - this.#refusedBefore,
    });
  }

  close(): void {
    clearInterval(this.#timer);
  }
}
