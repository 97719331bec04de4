/**
 * The body of a caller's request, buffered or streamed. Invariant: a body that is not fully buffered is
 * passed to at most one attempt, so no upstream receives a partial body as if it were complete.
 */
import type { IncomingMessage } from 'node:http';
import { Readable } from 'node:stream';
import { checkInvariant } from '../model/index.js';
import type { BodyFraming } from './head.js';
import { MAX_FINGERPRINT_BODY_BYTES } from './limits.js';

/** Bytes below which a piece of a body counts as small. */
const MAX_SMALL_BYTES = 1024;
/** Number of small pieces that are joined. */
const JOINED_CHUNKS = 64;

/** The body that an attempt sends: null for none, a buffered body, or a stream. */
export type BodyContent = Buffer | Readable | null;

/** Result of {@link RequestBody.gather}. */
export type GatherResult = 'ready' | 'tooLarge' | 'aborted';

/** Reads a request body and provides it to attempts. */
export class RequestBody {
  readonly #request: IncomingMessage;
  readonly #framing: BodyFraming;
  #chunks: Buffer[] = [];
  /** Number of small pieces at the end of the chunks that were not joined yet. */
  #smallChunks = 0;
  #size = 0;
  #isComplete = false;
  #isStreaming = false;
  /** Whether the body ended before it was streamed. */
  #hasEnded = false;
  #onGathered: ((gathered: GatherResult) => void) | undefined;
  #bufferLimit = 0;
  #mustFit = false;
  #reader: Readable | undefined;

  private constructor(request: IncomingMessage, framing: BodyFraming) {
    this.#request = request;
    this.#framing = framing;
    this.#isComplete = framing.kind === 'none';
  }

  /** Creates the body of a request; reading starts with {@link gather}. */
  static create(request: IncomingMessage, framing: BodyFraming): RequestBody {
    return new RequestBody(request, framing);
  }

  /** The declared length; undefined without a body or with chunked encoding. */
  get length(): number | undefined {
    return this.#framing.kind === 'body' ? this.#framing.length : undefined;
  }

  /** Whether the whole body is in memory, so that it can be sent again. */
  get isFullyBuffered(): boolean {
    return this.#isComplete;
  }

  /** The first bytes that were gathered, up to {@link MAX_FINGERPRINT_BODY_BYTES}. */
  get prefix(): Buffer {
    return Buffer.concat(this.#chunks).subarray(0, MAX_FINGERPRINT_BODY_BYTES);
  }

  /** The buffered body; only available if {@link isFullyBuffered}. */
  get content(): Buffer {
    checkInvariant(
      this.#isComplete,
      'the content of a request body was read before it was fully buffered',
    );
    return this.#chunks.length === 1 && this.#chunks[0] !== undefined
      ? this.#chunks[0]
      : Buffer.concat(this.#chunks);
  }

  /**
   * Reads until the body is complete, or until enough has arrived to start streaming it.
   * With `mustFit` the body is never streamed: `done` receives `tooLarge` if it exceeds `bufferLimit`.
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

  /** Returns the body for an attempt; a body that is not fully buffered can only be opened once. */
  open(): BodyContent {
    if (this.#framing.kind === 'none') return null;
    if (this.#isComplete) return this.content;
    checkInvariant(!this.#isStreaming, 'a streamed request body was opened for a second attempt');
    this.#reader = new Readable({
      read: () => {
        this.#startStreaming();
      },
    });
    return this.#reader;
  }

  /** Discards the unread rest, so that the connection can carry the next request. */
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
    this.#joinSmall(chunk);
    this.#size += chunk.length;
    if (this.#onGathered === undefined) return;
    if (this.#mustFit) {
      if (this.#size > this.#bufferLimit) this.#finishGathering('tooLarge');
    } else if (this.#canStream()) {
      this.#request.pause();
      this.#finishGathering('ready');
    }
  }

  /** Joins many small pieces, as each takes some hundred bytes besides its content. */
  #joinSmall(chunk: Buffer): void {
    this.#smallChunks = chunk.length < MAX_SMALL_BYTES ? this.#smallChunks + 1 : 0;
    if (this.#smallChunks < JOINED_CHUNKS) return;
    this.#chunks.push(Buffer.concat(this.#chunks.splice(-JOINED_CHUNKS)));
    this.#smallChunks = 0;
  }

  /**
   * A chunked body starts at once, as the caller may wait for a response before it sends more. A body with
   * a length over the buffer limit starts when the bytes for the fingerprint have arrived.
   */
  #canStream(): boolean {
    if (this.length === undefined) return true;
    return this.length > this.#bufferLimit && this.#size >= MAX_FINGERPRINT_BODY_BYTES;
  }

  #end(): void {
    if (this.#isStreaming) {
      this.#reader?.push(null);
      return;
    }
    // A reader that was opened before still takes the gathered chunks, so they are not the content.
    this.#hasEnded = true;
    this.#isComplete = this.#reader === undefined;
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
    if (this.#hasEnded) this.#reader?.push(null);
    else if (hasCapacity) this.#request.resume();
  }
}
