/**
 * Counts a gateway's requests by account and window. Invariant: each attempt that may have run is in one batch, a batch
 * never changes once it was sent, and each delivery holds every batch that isn't known to be committed, in order.
 */
import type { Duration, Instant } from '../model/index.js';
import { addWindowCounts } from './state.js';
import type { UsageBatch, UsageDelivery, UsageReceipt, WindowCounts } from './types.js';

/** Milliseconds between two batches: what a loss of power takes is not much more than the leader's interval. */
const BATCH_INTERVAL: Duration = 500;
/**
 * Milliseconds after which batches are sent again. A new leader seals nothing for 2.5 s, in which every gateway has
 * sent it what it doesn't know to be committed.
 */
const RESEND_INTERVAL: Duration = 900;
/** Batches that may wait for their commit; while there are as many, counts collect in the next one. */
const MAX_WAITING_BATCHES = 4;
/** Windows that are counted while nothing is committed; the oldest are dropped, as they are sealed by then. */
const MAX_WINDOWS = 24;

/** Options of {@link UsageCounter}. */
export interface UsageCounterOptions {
  /** The start of this gateway, unique among all starts. */
  readonly source: string;
  readonly windowMs: Duration;
  readonly now: () => Instant;
  /** Unix time in milliseconds. */
  readonly wallNow: () => number;
}

/** The part of an attempt's outcome that tells whether it may have run; undefined if it was cancelled. */
export type CountedOutcome =
  { readonly kind: 'answered' | 'lost' | 'notRun' | 'unreachable' } | undefined;

/** The usage counts of one gateway. */
export class UsageCounter {
  readonly #options: UsageCounterOptions;
  /** Requests by window and account that are in no batch yet. */
  readonly #open = new Map<number, Map<string, number>>();
  #waiting: readonly UsageBatch[] = [];
  #lastNumber = 0;
  #closedAt: Instant = -Infinity;
  #sentAt: Instant = -Infinity;

  constructor(options: UsageCounterOptions) {
    this.#options = options;
  }

  /**
   * Counts an attempt that ended or was cancelled `elapsed` milliseconds after it was sent, if it may have run and
   * belongs to an account.
   */
  countAttempt(account: string | undefined, elapsed: Duration, outcome: CountedOutcome): void {
    if (account === undefined) return;
    if (outcome?.kind === 'notRun' || outcome?.kind === 'unreachable') return;
    const { windowMs, wallNow } = this.#options;
    const window = Math.max(0, Math.floor((wallNow() - elapsed) / windowMs));
    const counts = this.#open.get(window) ?? new Map<string, number>();
    counts.set(account, (counts.get(account) ?? 0) + 1);
    this.#open.set(window, counts);
    if (this.#open.size > MAX_WINDOWS) this.#open.delete(Math.min(...this.#open.keys()));
  }

  /** Returns what is due to be sent with a poll. */
  collect(): UsageDelivery | undefined {
    const now = this.#options.now();
    const isClosed = this.#closeBatch(now);
    const isDue = isClosed || now - this.#sentAt >= RESEND_INTERVAL;
    if (this.#waiting.length === 0 || !isDue) return undefined;
    this.#sentAt = now;
    return { source: this.#options.source, batches: this.#waiting };
  }

  /** Makes all counts due, as the gateway stops. */
  flush(): void {
    this.#closedAt = -Infinity;
    this.#sentAt = -Infinity;
  }

  /** Drops the batches that are committed. */
  handleReceipt({ source, last }: UsageReceipt): void {
    if (source !== this.#options.source) return;
    this.#waiting = this.#waiting.filter(({ number }) => number > last);
  }

  #closeBatch(now: Instant): boolean {
    const isDue = now - this.#closedAt >= BATCH_INTERVAL;
    if (this.#open.size === 0 || !isDue || this.#waiting.length >= MAX_WAITING_BATCHES)
      return false;
    const counts: WindowCounts = [...this.#open].map(
      ([window, accounts]) => [window, [...accounts]] as const,
    );
    this.#open.clear();
    this.#closedAt = now;
    this.#lastNumber += 1;
    const batch = { number: this.#lastNumber, counts: addWindowCounts([], counts) };
    this.#waiting = [...this.#waiting, batch];
    return true;
  }
}
