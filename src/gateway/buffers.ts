/**
 * Bounds the bytes that the gateway holds of messages that are not complete yet. Load pattern: peers that send
 * bytes without end, several at once. Invariant: after each update, the sum is at most the limit.
 */

/** Holds the bytes of one incomplete message. */
export interface BufferHolder {
  /** Drops the message and its bytes, as this holder had the most when the limit was exceeded. */
  handleBufferLimit(): void;
}

/** The bytes of all incomplete messages of one process. */
export class BufferBudget {
  readonly #limit: number;
  readonly #held = new Map<BufferHolder, number>();
  #total = 0;

  constructor(limit: number) {
    this.#limit = limit;
  }

  /** Sum of the bytes of all holders. */
  get total(): number {
    return this.#total;
  }

  /**
   * Sets the bytes of a holder; 0 removes it. Beyond the limit, the holder with the most bytes is dropped:
   * messages of usual size are not affected by an endless one.
   *
   * @example
   * const budget = new BufferBudget(1000);
   * budget.update(download, 900);
   * budget.update(lookup, 200); // download.handleBufferLimit() is called
   */
  update(holder: BufferHolder, bytes: number): void {
    this.#total += bytes - (this.#held.get(holder) ?? 0);
    if (bytes === 0) this.#held.delete(holder);
    else this.#held.set(holder, bytes);
    if (this.#total <= this.#limit) return;
    const [first, ...rest] = [...this.#held];
    if (first === undefined) return;
    const [largest] = rest.reduce((most, next) => (next[1] > most[1] ? next : most), first);
    this.update(largest, 0);
    largest.handleBufferLimit();
  }
}
