/**
 * Writes log lines to standard output. Invariant: a writer never waits for whoever reads the output, and
 * neither the lines a second nor the bytes that wait exceed their bounds; what is dropped is counted and said.
 */
import { write } from 'node:fs';

/** Bytes that may wait for the reader. */
const MAX_WAITING_BYTES = 256 * 1024;
/** Milliseconds for which lines are collected before they are written together. */
const FLUSH_DELAY = 50;
/** Lines a second, unless the settings say otherwise. */
const DEFAULT_RATE = 200;
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
  #waiting: Buffer[] = [];
  #bytes = 0;
  #dropped = 0;
  #rate = DEFAULT_RATE;
  #tokens = DEFAULT_RATE;
  #filledAt: number;
  #isWriting = false;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: SinkOptions) {
    this.#options = options;
    this.#filledAt = options.now();
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
    const filled = this.#tokens + ((now - this.#filledAt) * this.#rate) / MS_PER_SECOND;
    this.#tokens = Math.min(this.#rate, filled);
    this.#filledAt = now;
    if (this.#tokens < 1 || this.#bytes > MAX_WAITING_BYTES) {
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
    this.#waiting.push(bytes);
    this.#bytes += bytes.length;
    if (!this.#isWriting)
      this.#timer ??= setTimeout(() => {
        this.flush();
      }, FLUSH_DELAY).unref();
  }

  /** Hands what waits to the reader. */
  flush(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    if (this.#isWriting || this.#waiting.length === 0) return;
    this.#isWriting = true;
    const bytes = Buffer.concat(this.#waiting);
    this.#waiting = [];
    this.#options.write(bytes, (error, taken) => {
      this.#isWriting = false;
      const rest = error === null ? bytes.subarray(taken) : bytes;
      this.#bytes -= bytes.length - rest.length;
      if (rest.length > 0) {
        this.#waiting.unshift(rest);
        this.#timer ??= setTimeout(() => {
          this.flush();
        }, RETRY_DELAY).unref();
      } else if (this.#waiting.length > 0) this.flush();
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
