/**
 * Writes log lines to standard output. Invariant: a writer never waits for whoever reads the output, and
 * neither the lines a second nor the bytes that wait exceed their bounds; what is dropped is counted and said.
 */
import { write } from 'node:fs';

/** Bytes that may wait for the reader. */
const MAX_PENDING_BYTES = 256 * 1024;
/** Milliseconds for which lines are collected before they are written together. */
const FLUSH_DELAY = 50;
/** Lines a second, unless the settings say otherwise. */
const DEFAULT_LINES_PER_SECOND = 200;
/** Milliseconds between two tries when the reader takes nothing. */
const RETRY_DELAY = 200;
const STANDARD_OUTPUT = 1;
const MS_PER_SECOND = 1000;

/** What the sink needs; tests replace it. */
export interface SinkOptions {
  readonly now: () => number;
  /** Writes bytes and tells how many were taken. */
  readonly write: (bytes: Buffer, done: (error: Error | null, taken: number) => void) => void;
}

/** Collects lines and writes them as the reader takes them. */
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

  /** Lines that were dropped so far and not yet told of. */
  get dropped(): number {
    return this.#dropped;
  }

  setRate(rate: number): void {
    this.#rate = rate;
    this.#tokens = Math.min(this.#tokens, rate);
  }

  /** Adds a line, or counts it as dropped. */
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

  /** Hands what waits to the reader. */
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

/** The sink of this process. */
export const standardOutput = new LineSink({
  now: () => performance.now(),
  write: (bytes, done) => {
    write(STANDARD_OUTPUT, bytes, done);
  },
});

process.on('beforeExit', () => {
  standardOutput.flush();
});
