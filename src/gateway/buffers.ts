/**
 * Accounts for the bytes of all messages that a gateway holds: requests from their first byte until their answer,
 * and answers until their last byte is flushed. Load pattern: many large messages at once, and peers that send
 * bytes without end. Invariant: a request is admitted only if its whole body fits beside what is held; an answer is
 * read only if it fits, or if no other large one is held; messages of unknown length never exceed the limit. Each connection may
 * have read one piece more, as it learns only then that it has to wait.
 */

/** Share of the limit that requests may take; the rest is left to the answers of what runs. */
const REQUEST_SHARE = 0.6;
/** Share of the limit beyond which no large request is admitted, so that small ones still are. */
const LARGE_SHARE = 0.85;
/** Bytes from which a message counts as large. */
const LARGE_BYTES = 256 * 1024;
/** Share of the limit below which a gateway that refused requests counts as having room again. */
const RELIEVED_SHARE = 0.5;
/** Memory of a gateway without messages, and of buffers that were released but not collected yet. */
const PROCESS_BYTES = 180 * 1024 * 1024;
/** Smallest share of the memory that is left to messages. */
const MIN_MESSAGE_SHARE = 0.25;
const MB = 1024 * 1024;

/**
 * Returns the bytes that messages may take in a process with this memory.
 *
 * @example
 * computeBufferLimit(350) // 170 MB, in bytes
 */
export function computeBufferLimit(memoryMb: number): number {
  const memory = memoryMb * MB;
  return Math.floor(Math.max(memory - PROCESS_BYTES, memory * MIN_MESSAGE_SHARE));
}

/**
 * Returns why a process with this memory can't hold the messages that it accepts, or undefined if it can.
 *
 * @example
 * findMemoryProblem(150, 140 * 1024 * 1024, 64 * 1024 * 1024) // 'memory_mb = 150 leaves 37 MB for messages ...'
 */
export function findMemoryProblem(
  memoryMb: number,
  heapBytes: number,
  largestBytes: number,
): string | undefined {
  const limit = computeBufferLimit(memoryMb);
  const named = `memory_mb = ${memoryMb}`;
  if (heapBytes >= memoryMb * MB)
    return `${named} is less than the heap may take: lower --max-old-space-size or give the process more memory`;
  if (limit < largestBytes)
    return `${named} leaves ${Math.floor(limit / MB)} MB for messages, less than one of the largest size: give the process more memory or lower the limit of bodies`;
  return undefined;
}

/** Bytes of messages that are held. */
export interface HeldBytes {
  readonly requests: number;
  readonly answers: number;
}

/** Bytes of the messages that one connection holds. */
export interface HolderBytes extends HeldBytes {
  /** Bytes among them of a message that is incomplete and whose length is unknown. */
  readonly unbounded: number;
}

const NOTHING: HolderBytes = { requests: 0, answers: 0, unbounded: 0 };

/** Returns whether a request with a body of this size may be read. */
export function hasRoomForRequest(limit: number, held: HeldBytes, bytes: number): boolean {
  const total = held.requests + held.answers + bytes;
  if (bytes < LARGE_BYTES) return total <= limit;
  if (held.requests + held.answers < LARGE_BYTES) return true;
  const isWithinShare =
    held.requests < LARGE_BYTES || held.requests + bytes <= limit * REQUEST_SHARE;
  return isWithinShare && total <= limit * LARGE_SHARE;
}

/** Returns whether an answer with a body of this size may be read. */
export function hasRoomForAnswer(limit: number, held: HeldBytes, bytes: number): boolean {
  return held.answers < LARGE_BYTES || held.requests + held.answers + bytes <= limit;
}

/** Holds the bytes of the messages of one connection. */
export interface BufferHolder {
  /** Drops the message of unknown length, as it was the largest one when the limit was exceeded. */
  handleBufferLimit(): void;
}

/** A holder whose answer may have to wait until it is read. */
export interface AnswerHolder extends BufferHolder {
  /** Reads the answer that waited, as there is room for it now. */
  handleRoom(): void;
}

/** The bytes of all messages of one process. */
export class BufferBudget {
  readonly limit: number;
  readonly #onRefusing: (isRefusing: boolean, held: HeldBytes) => void;
  readonly #holders = new Map<BufferHolder, HolderBytes>();
  /** Sizes of the answers that wait, in the order in which they are read. */
  readonly #waiting = new Map<AnswerHolder, number>();
  #held: HeldBytes = NOTHING;
  #isRefusing = false;
  #isResumeScheduled = false;
  /** Number of requests refused because there was no room for them. */
  refused = 0;

  /** `onRefusing` is called when the budget begins to refuse requests, and when it has room again. */
  constructor(
    limit: number,
    onRefusing: (isRefusing: boolean, held: HeldBytes) => void = () => undefined,
  ) {
    this.limit = limit;
    this.#onRefusing = onRefusing;
  }

  /** Sum of the bytes of all holders. */
  get total(): number {
    return this.#held.requests + this.#held.answers;
  }

  /** Number of answers that wait until there is room for them. */
  get waiting(): number {
    return this.#waiting.size;
  }

  /** Returns whether a request with a body of this size may be read; the holder then counts it as held. */
  admitRequest(bytes: number): boolean {
    if (hasRoomForRequest(this.limit, this.#held, bytes)) return true;
    this.refused += 1;
    if (!this.#isRefusing) {
      this.#isRefusing = true;
      this.#onRefusing(true, this.#held);
    }
    return false;
  }

  /** Returns whether an answer of this size may be read; if not, `handleRoom` is called once there is room. */
  admitAnswer(holder: AnswerHolder, bytes: number): boolean {
    const isFirst = this.#waiting.size === 0 || bytes < LARGE_BYTES;
    if (isFirst && hasRoomForAnswer(this.limit, this.#held, bytes)) return true;
    this.#waiting.set(holder, bytes);
    return false;
  }

  /**
   * Sets the bytes of a holder; none removes it. Beyond the limit, the largest message of unknown length is
   * dropped: messages of usual size are not affected by an endless one.
   *
   * @example
   * const budget = new BufferBudget(1000);
   * budget.update(download, { requests: 0, answers: 900, unbounded: 900 });
   * budget.update(lookup, { requests: 0, answers: 200, unbounded: 200 }); // download.handleBufferLimit() is called
   */
  update(holder: BufferHolder, held: HolderBytes): void {
    const before = this.#holders.get(holder) ?? NOTHING;
    this.#held = {
      requests: this.#held.requests - before.requests + held.requests,
      answers: this.#held.answers - before.answers + held.answers,
    };
    if (held.requests + held.answers === 0) this.#holders.delete(holder);
    else this.#holders.set(holder, held);
    if (this.total > this.limit) this.#dropLargest();
    if (this.#isRefusing && this.total <= this.limit * RELIEVED_SHARE) {
      this.#isRefusing = false;
      this.#onRefusing(false, this.#held);
    }
    this.#scheduleResume();
  }

  /** Forgets a holder whose connection is closed. */
  remove(holder: BufferHolder): void {
    this.#waiting.delete(holder as AnswerHolder);
    this.update(holder, NOTHING);
  }

  #dropLargest(): void {
    const [first, ...rest] = [...this.#holders].filter(([, { unbounded }]) => unbounded > 0);
    if (first === undefined) return;
    const [largest, held] = rest.reduce(
      (most, next) => (next[1].unbounded > most[1].unbounded ? next : most),
      first,
    );
    // Counted as bounded from now on, so that a holder is asked only once; it updates its bytes itself.
    this.#holders.set(largest, { ...held, unbounded: 0 });
    largest.handleBufferLimit();
  }

  /** Reads waiting answers later, as a message that passes from one holder to another is briefly held by none. */
  #scheduleResume(): void {
    if (this.#waiting.size === 0 || this.#isResumeScheduled) return;
    this.#isResumeScheduled = true;
    setImmediate(() => {
      this.#isResumeScheduled = false;
      this.#resumeWaiting();
    });
  }

  #resumeWaiting(): void {
    const [first] = this.#waiting;
    if (first === undefined) return;
    const [holder, bytes] = first;
    if (!hasRoomForAnswer(this.limit, this.#held, bytes)) return;
    this.#waiting.delete(holder);
    holder.handleRoom();
    this.#resumeWaiting();
  }
}
