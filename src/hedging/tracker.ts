/**
 * Keeps the hedge state of each service of a gateway, and counts hedges. Invariant: the counts only rise.
 */
import type { Duration, Instant } from '../model/index.js';
import { createHedgeState, decideHedge, type HedgeDecision, type HedgeEvent } from './decide.js';

/** Hedges since the start of the process. */
export interface HedgeCounts {
  readonly sent: number;
  readonly won: number;
  /** Milliseconds of attempts that were cancelled because another one won. */
  readonly extraWork: Duration;
}

/** The hedges of one gateway. */
export class HedgeTracker {
  readonly #maxExtraWork: number;
  readonly #states = new Map<string, ReturnType<typeof createHedgeState>>();
  #counts: HedgeCounts = { sent: 0, won: 0, extraWork: 0 };

  /** `maxExtraWork` is the share of the work of first attempts that hedges may add. */
  constructor(maxExtraWork: number) {
    this.#maxExtraWork = maxExtraWork;
  }

  get counts(): HedgeCounts {
    return this.#counts;
  }

  /** Applies an event of a service and returns the decision. */
  decide(service: string, event: HedgeEvent): HedgeDecision {
    const known = this.#states.get(service) ?? createHedgeState(this.#maxExtraWork);
    const { state, decision } = decideHedge(known, event);
    this.#states.set(service, state);
    if (event.kind === 'lost') {
      this.#counts = { ...this.#counts, extraWork: this.#counts.extraWork + event.elapsed };
    }
    return decision;
  }

  /** Records that a request of the service was refused or waits for lack of room: no hedge takes room meanwhile. */
  recordShortage(service: string, now: Instant): void {
    this.decide(service, { kind: 'short', now });
  }

  /** Counts a hedge that was sent. */
  countSent(): void {
    this.#counts = { ...this.#counts, sent: this.#counts.sent + 1 };
  }

  /** Counts a hedge that was answered before the first attempt. */
  countWon(): void {
    this.#counts = { ...this.#counts, won: this.#counts.won + 1 };
  }
}
