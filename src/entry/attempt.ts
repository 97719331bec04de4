/**
 * One sending of a request to one upstream. Invariant: the request is written to at most one connection,
 * and its owner is told at most once how it ended.
 */
import type { Dispatcher } from 'undici';
import { readUpstreamResponseHead, type UpstreamResponseHead } from './headers.js';
import { MAX_DISCARD_BYTES } from './limits.js';
import type { PooledRequest, UpstreamPool } from './upstreams.js';

/** What an attempt needs from its call. */
export interface AttemptOwner {
  /** Builds the request; called once, when a connection is there to carry it. */
  readonly buildOptions: () => Dispatcher.DispatchOptions;
  /** Tells whether the request may still be written; asked right before the first byte is. */
  readonly canWrite: () => boolean;
  /** The head arrived; the answer is discarded unless the owner returns true. */
  readonly handleHead: (attempt: Attempt, head: UpstreamResponseHead) => boolean;
  /** A part of the body arrived; false pauses the upstream until `resume` is called. */
  readonly handleChunk: (chunk: Buffer, resume: () => void) => boolean;
  /** The last byte of a wanted answer arrived. */
  readonly handleEnd: () => void;
  /** The connection failed before the last byte arrived. */
  readonly handleFailure: (attempt: Attempt) => void;
}

type Phase = 'starting' | 'written' | 'answering' | 'discarding' | 'ended';

const FIRST_FINAL_STATUS = 200;
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/** A request on its way to an upstream; it is the HTTP client's handler. */
export class Attempt implements PooledRequest {
  readonly upstreamId: string;
  readonly #owner: AttemptOwner;
  readonly #pool: UpstreamPool;
  readonly #method: string;
  #phase: Phase = 'starting';
  #mayHaveRun = false;
  #discardedBytes = 0;
  #resume: () => void = handleNoResume;

  private constructor(owner: AttemptOwner, pool: UpstreamPool, upstreamId: string, method: string) {
    this.#owner = owner;
    this.#pool = pool;
    this.upstreamId = upstreamId;
    this.#method = method;
  }

  /** Creates an attempt; nothing happens before {@link start}. */
  static create(
    owner: AttemptOwner,
    pool: UpstreamPool,
    upstreamId: string,
    method: string,
  ): Attempt {
    return new Attempt(owner, pool, upstreamId, method);
  }

  /** Whether a byte was written to the upstream and it did not say that it ran nothing. */
  get mayHaveRun(): boolean {
    return this.#mayHaveRun;
  }

  /** Whether it has neither failed nor got the head of an answer. */
  get isAwaitingHead(): boolean {
    return this.#phase === 'starting' || this.#phase === 'written';
  }

  /** Sends the request as soon as there is a connection for it. */
  start(): void {
    this.#pool.send(this);
  }

  /** Closes the connection without telling the owner. */
  abort(): void {
    if (this.#phase === 'ended') return;
    this.#phase = 'ended';
    this.#pool.drop(this);
  }

  buildOptions(): Dispatcher.DispatchOptions {
    return this.#owner.buildOptions();
  }

  /** Called by the client just before it writes; a second call would be a second sending. */
  onConnect(abort: () => void): void {
    if (this.#phase !== 'starting' || !this.#owner.canWrite()) {
      abort();
      return;
    }
    this.#phase = 'written';
    this.#mayHaveRun = true;
  }

  onHeaders(status: number, raw: Buffer[], resume: () => void, statusText: string): boolean {
    if (status < FIRST_FINAL_STATUS || this.#phase !== 'written') return true;
    const head = readUpstreamResponseHead(status, statusText, raw);
    const neverHasBody = status === NO_CONTENT || status === NOT_MODIFIED;
    if (!head.hasFraming && !neverHasBody && this.#method !== 'HEAD') {
      this.#fail();
      return true;
    }
    this.#resume = resume;
    this.#phase = 'answering';
    if (head.notRun) this.#mayHaveRun = false;
    const wanted = this.#owner.handleHead(this, head);
    if (!wanted && !this.#hasEnded()) this.#phase = 'discarding';
    if (wanted && neverHasBody && head.hasFraming) this.#finishWithoutBody();
    return true;
  }

  onData(chunk: Buffer): boolean {
    if (this.#phase === 'answering') return this.#owner.handleChunk(chunk, this.#resume);
    this.#discardedBytes += chunk.length;
    if (this.#discardedBytes > MAX_DISCARD_BYTES) this.abort();
    return true;
  }

  onComplete(): void {
    const wanted = this.#phase === 'answering';
    if (this.#phase === 'ended') return;
    this.#phase = 'ended';
    this.#pool.release(this);
    if (wanted) this.#owner.handleEnd();
  }

  onError(): void {
    this.#fail();
  }

  /** The client would wait for the body that a length announces, although the status rules it out. */
  #finishWithoutBody(): void {
    if (this.#hasEnded()) return;
    this.#phase = 'ended';
    this.#pool.drop(this);
    this.#owner.handleEnd();
  }

  /** Reads the phase again where a callback may have changed it. */
  #hasEnded(): boolean {
    return this.#phase === 'ended';
  }

  #fail(): void {
    if (this.#phase === 'ended') return;
    const wanted = this.#phase !== 'discarding';
    this.#phase = 'ended';
    this.#pool.drop(this);
    if (wanted) this.#owner.handleFailure(this);
  }
}

function handleNoResume(): void {
  // Nothing is paused before the head arrived.
}
