/**
 * Writes an upstream's response to the caller. Invariant: exactly one head is written, the response ends
 * only after its last byte arrived, and a truncated response closes the caller's connection.
 */
import type { ServerResponse } from 'node:http';
import { checkInvariant } from '../model/index.js';
import type { UpstreamResponseHead } from './headers.js';
import { MAX_KEYED_RESPONSE_BYTES } from './limits.js';
import type { StoredResponse } from './ports.js';

/** Copies a response for replay while it is forwarded; drops the copy if it exceeds the size limit. */
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

/** Forwards one response to one caller. */
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

  /** Creates a writer; with `keepsCopy`, {@link finish} returns a copy of the response. */
  static create(response: ServerResponse, keepsCopy: boolean): ResponseWriter {
    return new ResponseWriter(response, keepsCopy);
  }

  /** Stops writing to a caller that disconnected, but continues to copy the response. */
  detach(): void {
    this.#detached = true;
    this.#resumeUpstream();
  }

  /** Writes the status line and the header fields. */
  writeHead(head: UpstreamResponseHead): void {
    checkInvariant(this.#head === undefined, 'the response head was written twice for one call');
    this.#head = head;
    if (this.#detached) return;
    const response = this.#response;
    response.sendDate = false;
    response.writeHead(head.status, head.statusText, head.headers as string[]);
  }

  /** Writes a body chunk; returns false if the upstream must pause until `resume` is called. */
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

  /** Ends the response; returns its copy if one was kept and stayed within the size limit. */
  finish(): StoredResponse | undefined {
    checkInvariant(this.#head !== undefined, 'a response was ended before its head was written');
    if (!this.#detached) this.#response.end();
    return this.#copy?.toStoredResponse(this.#head);
  }

  /** Closes the connection, so that the caller sees a truncated response. */
  truncate(): void {
    if (!this.#detached) this.#response.destroy();
  }

  #resumeUpstream(): void {
    const resume = this.#resume;
    this.#resume = undefined;
    resume?.();
  }
}
