/**
 * Collects the evidence by which the leader evaluates new versions. Invariant: only attempts at services with a version
 * move in progress are counted, each once: when it ends, or as slow once it takes long and as failed if it then fails.
 */
import type { Duration } from '../model/index.js';
import { mergeEvidence, toEvidenceRow, type EvidenceRow, type Sample } from '../rollout/index.js';
import type { AttemptOutcome } from './types.js';

/** Multiple of the expected time from which an attempt that runs on, or is cancelled, shows that its upstream is slow. */
export const SLOW_RATIO = 1.7;
/** Milliseconds by which a timer may fire before the deadline that it is for. */
const TIMER_SLACK: Duration = 10;

/** An attempt that ended or was cancelled. */
export interface AttemptEnd {
  /** Undefined if the attempt was cancelled. */
  readonly outcome: AttemptOutcome | undefined;
  /** Milliseconds since the attempt was sent. */
  readonly elapsed: Duration;
  /** Milliseconds that the attempt was expected to take. */
  readonly expected: Duration;
  /** Milliseconds until the deadline of the request. */
  readonly timeLeft: Duration;
}

/**
 * Returns what an attempt shows about its version, or undefined if it shows nothing. A cancelled attempt counts too:
 * at its deadline as a failure, and once it took long as a success that is at least that slow. Otherwise a version
 * that never answers would look like one without requests.
 *
 * @example
 * judgeAttempt({ outcome: undefined, elapsed: 600, expected: 60, timeLeft: 0 }) // 'failed'
 */
export function judgeAttempt(end: AttemptEnd): 'good' | 'failed' | undefined {
  const { outcome, elapsed, expected, timeLeft } = end;
  switch (outcome?.kind) {
    case 'answered':
      return outcome.answer.status < 500 ? 'good' : 'failed';
    case 'lost':
      return 'failed';
    case 'notRun':
    case 'unreachable':
      return undefined;
    case undefined:
      if (timeLeft <= TIMER_SLACK) return 'failed';
      return elapsed > expected * SLOW_RATIO ? 'good' : undefined;
  }
}

/** Evidence from the attempts since the last collection. */
export class EvidenceCollector {
  #rows: readonly EvidenceRow[] = [];

  /** Counts an attempt. Its latency is normalized to the normal pace of a VM. */
  addAttempt(sample: Sample): void {
    this.#rows = mergeEvidence(this.#rows, [toEvidenceRow(sample)]);
  }

  /** Returns the collected rows and resets the collector. */
  collect(): readonly EvidenceRow[] {
    const rows = this.#rows;
    this.#rows = [];
    return rows;
  }
}

/**
 * Reports attempts that take long while they still run: a version that turns slow late in its move would be completed
 * before the first slow answer. Each attempt is known by its request and its upstream.
 */
export class OverdueWatch<Request extends object, Upstream> {
  readonly #timers = new Map<Request, Map<Upstream, NodeJS.Timeout | 'reported'>>();

  /** Calls `onOverdue` once if the attempt has not ended after `time` milliseconds. */
  start(request: Request, upstream: Upstream, time: Duration, onOverdue: () => void): void {
    const attempts = this.#timers.get(request) ?? new Map<Upstream, NodeJS.Timeout | 'reported'>();
    this.#timers.set(request, attempts);
    const timer = setTimeout(() => {
      attempts.set(upstream, 'reported');
      onOverdue();
    }, time);
    attempts.set(upstream, timer);
  }

  /** Ends the watch of an attempt, and returns whether it was reported. */
  end(request: Request, upstream: Upstream): boolean {
    const attempts = this.#timers.get(request);
    const state = attempts?.get(upstream);
    if (attempts === undefined || state === undefined) return false;
    attempts.delete(upstream);
    if (attempts.size === 0) this.#timers.delete(request);
    if (state === 'reported') return true;
    clearTimeout(state);
    return false;
  }
}
