/**
 * A caller's connection that passes on only well-formed requests. Invariant: the HTTP parser of the runtime
 * receives the same elements, or the same error, whatever that version of the runtime tolerates.
 */
import type { Server as HttpServer } from 'node:http';
import type { Socket } from 'node:net';
import { Duplex } from 'node:stream';
import { RequestScanner, type ProtocolError } from '../http1/index.js';
import type { Duration } from '../model/index.js';
import { HEAD_TIMEOUT, MAX_CHUNK_LINE_BYTES, MAX_HEAD_BYTES } from './limits.js';

/**
 * Takes the place of a malformed element; a parser accepts it in no start line, chunk size or field. Several
 * bytes, as some versions skip the two after a chunk unseen.
 */
const INVALID_BYTES = Buffer.alloc(4);

/** Maps a malformed element to the code that the runtime's parser uses for it. */
function toErrorCode({ status }: ProtocolError): string {
  switch (status) {
    case 413:
      return 'HPE_CHUNK_EXTENSIONS_OVERFLOW';
    case 431:
      return 'HPE_HEADER_OVERFLOW';
    case 400:
    case 501:
    case 505:
      return 'HPE_INVALID_CONSTANT';
  }
}

/** Stands between a socket and the HTTP server, which sees only what {@link RequestScanner} accepts. */
export class StrictSocket extends Duplex {
  readonly #raw: Socket;
  readonly #scanner = new RequestScanner({
    headBytes: MAX_HEAD_BYTES,
    chunkLineBytes: MAX_CHUNK_LINE_BYTES,
  });
  #headTimer: NodeJS.Timeout | undefined;
  #errorCode: string | undefined;

  constructor(raw: Socket) {
    super({ allowHalfOpen: true });
    this.#raw = raw;
    raw.on('data', (chunk: Buffer) => {
      this.#read(chunk);
    });
    raw.on('end', () => this.push(null));
    raw.on('timeout', () => this.emit('timeout'));
    raw.on('error', (error) => this.destroy(error));
    raw.on('close', () => this.destroy());
  }

  /** Code of the first malformed element, or undefined if there was none. */
  get errorCode(): string | undefined {
    return this.#errorCode;
  }

  setTimeout(time: Duration, onTimeout?: () => void): this {
    this.#raw.setTimeout(time);
    if (onTimeout !== undefined) this.once('timeout', onTimeout);
    return this;
  }

  /** Closes the connection once everything that was written is flushed. */
  destroySoon(): void {
    this.end(() => this.destroy());
  }

  override _read(): void {
    this.#raw.resume();
  }

  override _write(chunk: Buffer, _: BufferEncoding, onWritten: () => void): void {
    if (this.#raw.write(chunk)) onWritten();
    else this.#raw.once('drain', onWritten);
  }

  override _final(onFinished: () => void): void {
    this.#raw.end(onFinished);
  }

  override _destroy(error: Error | null, onDestroyed: (error: Error | null) => void): void {
    clearTimeout(this.#headTimer);
    this.#raw.destroy();
    onDestroyed(error);
  }

  #read(chunk: Buffer): void {
    const { accepted, error } = this.#scanner.scan(chunk);
    if (accepted.length > 0) this.#pass(accepted);
    if (error !== undefined) this.#fail(toErrorCode(error));
    if (!this.#scanner.isInHead || accepted.length > 0) {
      clearTimeout(this.#headTimer);
      this.#headTimer = undefined;
    }
    if (!this.#scanner.isInHead) return;
    // The server's own timeout doesn't see a head that is held back until it is complete.
    this.#headTimer ??= setTimeout(() => {
      this.#fail('ERR_HTTP_REQUEST_TIMEOUT');
    }, HEAD_TIMEOUT);
  }

  #pass(bytes: Buffer): void {
    if (!this.push(bytes)) this.#raw.pause();
  }

  #fail(code: string): void {
    if (this.#errorCode !== undefined) return;
    this.#errorCode = code;
    this.#pass(INVALID_BYTES);
  }
}

/**
 * Makes an HTTP server read all its connections through {@link StrictSocket}.
 *
 * @example
 * const server = createServer(handleRequest);
 * attachStrictSockets(server);
 */
export function attachStrictSockets(server: HttpServer): void {
  const listeners = server.listeners('connection');
  server.removeAllListeners('connection');
  server.on('connection', (raw: Socket) => {
    const strict = new StrictSocket(raw);
    listeners.forEach((listen) => {
      Reflect.apply(listen, server, [strict]);
    });
  });
}
