/**
 * The body of a caller's request. Invariant: bytes are handed to at most one attempt unless the whole
 * body is kept, so no upstream ever receives a part of it as if it were the whole.
 */
import type { IncomingMessage } from 'node:http';
import { Readable } from 'node:stream';
import { checkInvariant } from '../model/index.js';
import type { BodyFraming } from './head.js';
import { FINGERPRINT_BODY_BYTES } from './limits.js';

/** What an attempt sends: nothing, a kept body, or a stream. */
export type BodyContent = Buffer | Readable | null;

/** How gathering the start of a body ended. */
export type GatherResult = 'ready' | 'tooLarge' | 'aborted';

/** Reads a request body and hands it to attempts. */
export class RequestBody {
  readonly #request: IncomingMessage;
  readonly #framing: BodyFraming;
  #chunks: Buffer[] = [];
  #size = 0;
  #isComplete = false;
  #isStreaming = false;
  #onGathered: ((gathered: GatherResult) => void) | undefined;
  #bufferLimit = 0;
  #mustFit = false;
  #reader: Readable | undefined;

  private constructor(request: IncomingMessage, framing: BodyFraming) {
    this.#request = request;
    this.#framing = framing;
    this.#isComplete = framing.kind === 'none';
  }

  /** Creates the body of a request; nothing is read before {@link gather}. */
  static create(request: IncomingMessage, framing: BodyFraming): RequestBody {
    return new RequestBody(request, framing);
  }

  /** The length that the caller announced; undefined without a body or with chunked encoding. */
  get length(): number | undefined {
    return this.#framing.kind === 'body' ? this.#framing.length : undefined;
  }

  /** Whether the whole body is kept. */
  get isFullyBuffered(): boolean {
    return this.#isComplete;
  }

  /** The first bytes, as far as they were gathered. */
  get prefix(): Buffer {
    return Buffer.concat(this.#chunks).subarray(0, FINGERPRINT_BODY_BYTES);
  }

  /** The kept body. */
  get content(): Buffer {
    checkInvariant(this.#isComplete, 'a body was used as whole before it had arrived');
    return this.#chunks.length === 1 && this.#chunks[0] !== undefined
      ? this.#chunks[0]
      : Buffer.concat(this.#chunks);
  }

  /**
   * Reads until the body is whole, or until enough is there to start streaming it.
   * A strict body must be whole; `done` is told when it is larger than `keepLimit`.
   */
  gather(bufferLimit: number, mustFit: boolean, done: (gathered: GatherResult) => void): void {
    if (this.#isComplete) {
      done('ready');
      return;
    }
    this.#bufferLimit = bufferLimit;
    this.#mustFit = mustFit;
    this.#onGathered = done;
    if (mustFit && (this.length ?? 0) > bufferLimit) {
      this.#finishGathering('tooLarge');
      return;
    }
    this.#request.on('data', (chunk: Buffer) => {
      this.#addChunk(chunk);
    });
    this.#request.on('end', () => {
      this.#end();
    });
    this.#request.on('error', (error) => {
      this.#finishGathering('aborted');
      this.#reader?.destroy(error);
    });
  }

  /** Returns what an attempt shall send. */
  open(): BodyContent {
    if (this.#framing.kind === 'none') return null;
    if (this.#isComplete) return this.content;
    checkInvariant(!this.#isStreaming, 'a body that was not kept was handed to a second attempt');
    this.#reader = new Readable({
      read: () => {
        this.#startStreaming();
      },
    });
    return this.#reader;
  }

  /** Discards what has not been read, so that the connection can carry the next request. */
  release(): void {
    this.#reader?.destroy();
    this.#reader = undefined;
    this.#isStreaming = true;
    this.#request.resume();
  }

  #addChunk(chunk: Buffer): void {
    if (this.#isStreaming) {
      if (this.#reader?.push(chunk) === false) this.#request.pause();
      return;
    }
    this.#chunks.push(chunk);
    this.#size += chunk.length;
    if (this.#onGathered === undefined) return;
    if (this.#mustFit) {
      if (this.#size > this.#bufferLimit) this.#finishGathering('tooLarge');
    } else if (this.#canStream()) {
      this.#request.pause();
      this.#finishGathering('ready');
    }
  }

  /** A chunked body may be a conversation and starts at once; a long one starts with a full head. */
  #canStream(): boolean {
    if (this.length === undefined) return true;
    return this.length > this.#bufferLimit && this.#size >= FINGERPRINT_BODY_BYTES;
  }

  #end(): void {
    if (this.#isStreaming) {
      this.#reader?.push(null);
      return;
    }
    this.#isComplete = true;
    this.#finishGathering('ready');
  }

  #finishGathering(gathered: GatherResult): void {
    const done = this.#onGathered;
    this.#onGathered = undefined;
    done?.(gathered);
  }

  #startStreaming(): void {
    if (this.#isStreaming) {
      this.#request.resume();
      return;
    }
    this.#isStreaming = true;
    const first = this.#chunks.splice(0);
    const hasCapacity = first.map((chunk) => this.#reader?.push(chunk) ?? false).at(-1) ?? true;
    if (hasCapacity) this.#request.resume();
  }
}
