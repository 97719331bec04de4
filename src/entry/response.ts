/**
 * Writes the answer of an upstream to the caller. Invariant: exactly one head is written, the answer is
 * ended only after its last byte arrived, and an answer that was cut closes the caller's connection.
 */
import type { ServerResponse } from 'node:http';
import { checkInvariant } from '../model/index.js';
import type { UpstreamResponseHead } from './headers.js';
import { MAX_KEYED_RESPONSE_BYTES } from './limits.js';
import type { StoredResponse } from './ports.js';

/** Keeps an answer for replay while it passes, unless it grows too large. */
class ResponseCopy {
  readonly #chunks: Buffer[] = [];
  #size = 0;

  addChunk(chunk: Buffer): void {
    this.#size += chunk.length;
    if (this.#size <= MAX_KEYED_RESPONSE_BYTES) this.#chunks.push(chunk);
    else this.#chunks.length = 0;
  }

  toStoredResponse(head: UpstreamResponseHead): StoredResponse | undefined {
    if (this.#size > MAX_KEYED_RESPONSE_BYTES) return undefined;
    return { status: head.status, headers: head.headers, body: Buffer.concat(this.#chunks) };
  }
}

/** The answer under way to one caller. */
export class ResponseWriter {
  readonly #response: ServerResponse;
  readonly #copy: ResponseCopy | undefined;
  #head: UpstreamResponseHead | undefined;
  #resume: (() => void) | undefined;
  #detached = false;

  private constructor(response: ServerResponse, keepsCopy: boolean) {
    this.#response = response;
    this.#copy = keepsCopy ? new ResponseCopy() : undefined;
  }

  /** Creates a writer; with `keepsCopy` the answer can be had whole at its end. */
  static create(response: ServerResponse, keepsCopy: boolean): ResponseWriter {
    return new ResponseWriter(response, keepsCopy);
  }

  /** Stops writing to the caller, who went away, and goes on keeping the copy. */
  detach(): void {
    this.#detached = true;
    this.#resumeUpstream();
  }

  /** Writes the head. */
  writeHead(head: UpstreamResponseHead): void {
    checkInvariant(this.#head === undefined, 'a second head was written for one call');
    this.#head = head;
    if (this.#detached) return;
    const response = this.#response;
    response.sendDate = false;
    response.writeHead(head.status, head.statusText, head.headers as string[]);
  }

  /** Writes a part of the body; returns false if the upstream must wait for `resume`. */
  writeChunk(chunk: Buffer, resume: () => void): boolean {
    this.#copy?.addChunk(chunk);
    if (this.#detached) return true;
    if (this.#response.write(chunk)) return true;
    this.#resume = resume;
    this.#response.once('drain', () => {
      this.#resumeUpstream();
    });
    return false;
  }

  /** Ends the answer and returns its copy if one was kept whole. */
  finish(): StoredResponse | undefined {
    checkInvariant(this.#head !== undefined, 'an answer was ended that had no head');
    if (!this.#detached) this.#response.end();
    return this.#copy?.toStoredResponse(this.#head);
  }

  /** Lets the caller see that the answer is not whole. */
  cut(): void {
    if (!this.#detached) this.#response.destroy();
  }

  #resumeUpstream(): void {
    const resume = this.#resume;
    this.#resume = undefined;
    resume?.();
  }
}
