/**
 * One attempt to send a request to one upstream. Invariant: the request is written to at most one
 * connection, and the owner is notified of the end at most once.
 */
import type { Dispatcher } from 'undici';
import { readUpstreamResponseHead, type UpstreamResponseHead } from './headers.js';
import { MAX_DISCARD_BYTES } from './limits.js';
import type { PooledRequest, UpstreamPool } from './upstreams.js';

/** Callbacks from an attempt to its call. */
export interface AttemptOwner {
  /** Builds the request; called once, when a connection is available. */
  readonly buildOptions: () => Dispatcher.DispatchOptions;
  /** Returns whether the request may still be sent; called right before its first byte is written. */
  readonly canWrite: () => boolean;
  /** Handles the response head; returns false to discard the rest of the response. */
  readonly handleHead: (attempt: Attempt, head: UpstreamResponseHead) => boolean;
  /** Handles a body chunk; returns false to pause the upstream until `resume` is called. */
  readonly handleChunk: (chunk: Buffer, resume: () => void) => boolean;
  /** Called after the last byte of a response that is not discarded. */
  readonly handleEnd: () => void;
  /** Called if the connection failed before the last byte arrived. */
  readonly handleFailure: (attempt: Attempt) => void;
}

type Phase = 'starting' | 'written' | 'answering' | 'discarding' | 'ended';

/** Statuses outside these bounds are none; RFC 9110, section 15. The client passes on any three digits. */
const FIRST_STATUS = 100;
const LAST_STATUS = 599;
const FIRST_FINAL_STATUS = 200;
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/** A request in flight to an upstream; implements the handler interface of the HTTP client (undici). */
export class Attempt implements PooledRequest {
  readonly upstreamId: string;
  readonly #owner: AttemptOwner;
  readonly #pool: UpstreamPool;
  readonly #method: string;
  #phase: Phase = 'starting';
  #mayHaveRun = false;
  /** Whether the response says that the request was not run. */
  #isRejected = false;
  #discardedBytes = 0;
  #resume: () => void = handleNoResume;

  private constructor(owner: AttemptOwner, pool: UpstreamPool, upstreamId: string, method: string) {
    this.#owner = owner;
    this.#pool = pool;
    this.upstreamId = upstreamId;
    this.#method = method;
  }

  /** Creates an attempt; {@link start} sends it. */
  static create(
    owner: AttemptOwner,
    pool: UpstreamPool,
    upstreamId: string,
    method: string,
  ): Attempt {
    return new Attempt(owner, pool, upstreamId, method);
  }

  /** Whether the request was written and the upstream did not mark its response as not run. */
  get mayHaveRun(): boolean {
    return this.#mayHaveRun;
  }

  /** Whether the attempt has neither failed nor received a response head. */
  get isAwaitingHead(): boolean {
    return this.#phase === 'starting' || this.#phase === 'written';
  }

  /** Sends the request as soon as a connection is available. */
  start(): void {
    this.#pool.send(this);
  }

  /** Closes the connection without notifying the owner. */
  abort(): void {
    if (this.#phase === 'ended') return;
    this.#phase = 'ended';
    this.#pool.drop(this);
  }

  buildOptions(): Dispatcher.DispatchOptions {
    return this.#owner.buildOptions();
  }

  /**
   * Called by the client right before it writes the request. A second call means that the client wants to
   * retry, which is aborted: retries are decided by routing.
   */
  onConnect(abort: () => void): void {
    if (this.#phase !== 'starting' || !this.#owner.canWrite()) {
      abort();
      return;
    }
    this.#phase = 'written';
    this.#mayHaveRun = true;
  }

  onHeaders(status: number, raw: Buffer[], resume: () => void, statusText: string): boolean {
    if (status < FIRST_STATUS || status > LAST_STATUS) {
      this.#fail();
      return true;
    }
    if (status < FIRST_FINAL_STATUS || this.#phase !== 'written') return true;
    const head = readUpstreamResponseHead(status, statusText, raw);
    const neverHasBody = status === NO_CONTENT || status === NOT_MODIFIED;
    if (!head.hasFraming && !neverHasBody && this.#method !== 'HEAD') {
      this.#fail();
      return true;
    }
    this.#resume = resume;
    this.#phase = 'answering';
    this.#isRejected = head.notRun;
    if (head.notRun) this.#mayHaveRun = false;
    const isWanted = this.#owner.handleHead(this, head);
    if (!isWanted && !this.#hasEnded()) this.#phase = 'discarding';
    if (isWanted && neverHasBody && head.hasFraming) this.#finishWithoutBody();
    return true;
  }

  onData(chunk: Buffer): boolean {
    if (this.#phase === 'answering') return this.#owner.handleChunk(chunk, this.#resume);
    this.#discardedBytes += chunk.length;
    if (this.#discardedBytes > MAX_DISCARD_BYTES) this.abort();
    return true;
  }

  onComplete(): void {
    const isWanted = this.#phase === 'answering';
    if (this.#phase === 'ended') return;
    this.#phase = 'ended';
    // A second copy of a refusal would be taken for the answer to the next request on the connection.
    if (this.#isRejected) this.#pool.drop(this);
    else this.#pool.release(this);
    if (isWanted) this.#owner.handleEnd();
  }

  onError(): void {
    this.#fail();
  }

  /**
   * Ends a 204 or 304 response that has a content-length: the client would wait for a body that such a
   * status never has.
   */
  #finishWithoutBody(): void {
    if (this.#hasEnded()) return;
    this.#phase = 'ended';
    this.#pool.drop(this);
    this.#owner.handleEnd();
  }

  /** Reads the phase again after a callback that may have changed it; avoids type narrowing. */
  #hasEnded(): boolean {
    return this.#phase === 'ended';
  }

  #fail(): void {
    if (this.#phase === 'ended') return;
    const isWanted = this.#phase !== 'discarding';
    this.#phase = 'ended';
    this.#pool.drop(this);
    if (isWanted) this.#owner.handleFailure(this);
  }
}

function handleNoResume(): void {
  // Nothing can be paused before the head has arrived.
}
