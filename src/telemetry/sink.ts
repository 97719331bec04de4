/**
 * Writes log lines to standard output without blocking. Invariant: logging never waits for the reader of the
 * output, the rate of lines and the buffered bytes are bounded, and dropped lines are counted and reported.
 */
import { write } from 'node:fs';

/** Buffered bytes above which new lines are dropped. */
const MAX_PENDING_BYTES = 256 * 1024;
/** Milliseconds for which lines are batched before they are written. */
const FLUSH_DELAY = 50;
/** Default limit of lines per second; `telemetry.log_lines_per_s` overrides it. */
const DEFAULT_LINES_PER_SECOND = 200;
/** Milliseconds until the next attempt after a failed or partial write. */
const RETRY_DELAY = 200;
const STANDARD_OUTPUT = 1;
const MS_PER_SECOND = 1000;

/** Clock and output of a {@link LineSink}, which tests replace. */
export interface SinkOptions {
  readonly now: () => number;
  /** Writes bytes and calls back with the number of bytes written. */
  readonly write: (bytes: Buffer, done: (error: Error | null, written: number) => void) => void;
}

/** Buffers log lines and writes them in batches, limited in rate by a token bucket. */
export class LineSink {
  readonly #options: SinkOptions;
  #pending: Buffer[] = [];
  #pendingBytes = 0;
  #dropped = 0;
  #rate = DEFAULT_LINES_PER_SECOND;
  #tokens = DEFAULT_LINES_PER_SECOND;
  #refilledAt: number;
  #isWriting = false;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: SinkOptions) {
    this.#options = options;
    this.#refilledAt = options.now();
  }

  /** Number of dropped lines that have not been reported in the log yet. */
  get dropped(): number {
    return this.#dropped;
  }

  setRate(rate: number): void {
    this.#rate = rate;
    this.#tokens = Math.min(this.#tokens, rate);
  }

  /** Buffers a line, or counts it as dropped if the rate or the buffer is exceeded. */
  addLine(line: string): void {
    const now = this.#options.now();
    const refilled = this.#tokens + ((now - this.#refilledAt) * this.#rate) / MS_PER_SECOND;
    this.#tokens = Math.min(this.#rate, refilled);
    this.#refilledAt = now;
    if (this.#tokens < 1 || this.#pendingBytes > MAX_PENDING_BYTES) {
      this.#dropped += 1;
      return;
    }
    this.#tokens -= 1;
    if (this.#dropped > 0) {
      const count = this.#dropped;
      this.#dropped = 0;
      const record = { time: new Date().toISOString(), level: 'warn', module: 'log' };
      this.#push(JSON.stringify({ ...record, message: 'lines were dropped', count }));
    }
    this.#push(line);
  }

  #push(line: string): void {
    const bytes = Buffer.from(`${line}\n`);
    this.#pending.push(bytes);
    this.#pendingBytes += bytes.length;
    if (!this.#isWriting)
      this.#timer ??= setTimeout(() => {
        this.flush();
      }, FLUSH_DELAY).unref();
  }

  /** Writes the buffered lines, unless a write is already in progress. */
  flush(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    if (this.#isWriting || this.#pending.length === 0) return;
    this.#isWriting = true;
    const bytes = Buffer.concat(this.#pending);
    this.#pending = [];
    this.#options.write(bytes, (error, written) => {
      this.#isWriting = false;
      const unwritten = error === null ? bytes.subarray(written) : bytes;
      this.#pendingBytes -= bytes.length - unwritten.length;
      if (unwritten.length > 0) {
        this.#pending.unshift(unwritten);
        this.#timer ??= setTimeout(() => {
          this.flush();
        }, RETRY_DELAY).unref();
      } else if (this.#pending.length > 0) this.flush();
    });
  }
}

/** The sink for the standard output of this process. */
export const standardOutput = new LineSink({
  now: () => performance.now(),
  write: (bytes, done) => {
    write(STANDARD_OUTPUT, bytes, done);
  },
});

process.on('beforeExit', () => {
  standardOutput.flush();
});
