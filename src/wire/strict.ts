/**
 * A client's connection that passes on only well-formed requests, and of these only as many as it has room for.
 * Invariant: the HTTP parser of the runtime receives the same elements, or the same error, whatever that version of the
 * runtime tolerates; it gets the next request only while fewer than the limit are unanswered.
 */
import type { IncomingMessage, Server as HttpServer, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { Duplex } from 'node:stream';
import {
  processClients,
  type ClientConnections,
  type ConnectionState,
} from '../admission/index.js';
import { RequestScanner, type ProtocolError } from '../http1/index.js';
import type { Duration, Instant } from '../model/index.js';

const KIBIBYTE = 1024;
/** Maximum bytes of a message head, including the start line. */
export const MAX_HEAD_BYTES = 16 * KIBIBYTE;
/** Maximum bytes of a chunk-size line, including its extensions. */
const MAX_CHUNK_LINE_BYTES = 16 * KIBIBYTE;
/** Milliseconds that a client may take to send a request head. */
export const HEAD_TIMEOUT: Duration = 10_000;
/** Bytes that are scanned and passed on at once: the runtime's parser handles all requests in them without a pause. */
const SLICE_BYTES = KIBIBYTE;
/** The same where each request is costly, so that the parser passes on one or two at once. */
const CALL_SLICE_BYTES = 256;
/** Slices of one connection before others have their turn. */
const SLICES_PER_TURN = 8;
const NO_BYTES = Buffer.alloc(0);

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
  readonly #clients: ClientConnections;
  /** Whether calls are handled one after the other. */
  readonly #isSequential: boolean;
  /** Bytes that arrived and were not scanned yet. */
  #unscanned: Buffer = NO_BYTES;
  #hasEnded = false;
  /** Whether the runtime takes no more bytes for now. */
  #isFull = false;
  #nextTurn: NodeJS.Immediate | undefined;
  /** Requests that are not answered. */
  #unanswered = 0;
  #hasCompleted = false;
  /** Calls at whose end others waited already. */
  #pipelined = 0;
  #activeAt: Instant = performance.now();

  constructor(raw: Socket, clients: ClientConnections, isSequential: boolean) {
    super({ allowHalfOpen: true });
    this.#raw = raw;
    this.#clients = clients;
    this.#isSequential = isSequential;
    clients.add(this);
    raw.on('data', (chunk: Buffer) => {
      this.#activeAt = performance.now();
      const hasRest = this.#unscanned.length > 0;
      this.#unscanned = hasRest ? Buffer.concat([this.#unscanned, chunk]) : chunk;
      this.#scanSlices();
    });
    raw.on('end', () => {
      this.#hasEnded = true;
      this.#scanSlices();
    });
    raw.on('timeout', () => this.emit('timeout'));
    raw.on('error', (error) => this.destroy(error));
    raw.on('close', () => this.destroy());
  }

  /** What decides whether the connection is closed when the process has too many. */
  get clientState(): ConnectionState {
    return {
      isServing: this.#unanswered > 0 && this.#scanner.isBetweenMessages,
      hasCompleted: this.#hasCompleted,
      activeAt: this.#activeAt,
    };
  }

  /** Closes the connection at once. */
  close(): void {
    this.destroy();
  }

  /** Counts a request until it is answered or given up. */
  addRequest(response: ServerResponse): void {
    this.#unanswered += 1;
    response.once('close', () => {
      this.#unanswered -= 1;
      this.#hasCompleted = true;
      this.#closeIfPipelining();
      this.#scanSlices();
    });
  }

  /**
   * Closes a connection for small calls after its answers once it pipelined many, which their clients never do. The
   * calls that wait were not passed on, so they have not run.
   */
  #closeIfPipelining(): void {
    if (!this.#isSequential || !this.#isHeldBack) return;
    this.#pipelined += 1;
    if (this.#pipelined < this.#clients.limits.maxPipelinedRequests) return;
    this.#clients.recordClosed('bytes');
    this.#unscanned = NO_BYTES;
    this.destroySoon();
  }

  /** Whether further requests have arrived that wait. */
  get #isHeldBack(): boolean {
    return this.#unscanned.length > 0 && this.#scanner.isBetweenMessages;
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
    this.#isFull = false;
    this.#scanSlices();
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
    if (this.#nextTurn !== undefined) clearImmediate(this.#nextTurn);
    this.#unscanned = NO_BYTES;
    this.#clients.remove(this);
    this.#raw.destroy();
    onDestroyed(error);
  }

  /** Whether the next request waits until earlier ones are answered; the rest of a body never does. */
  get #isHeld(): boolean {
    const most = this.#isSequential ? 1 : this.#clients.limits.maxPipelinedRequests;
    return this.#unanswered >= most && this.#scanner.isBetweenMessages;
  }

  /** Scans what arrived, as far as the runtime takes it and this connection's turn allows. */
  #scanSlices(): void {
    if (this.#nextTurn !== undefined || this.destroyed) return;
    const sliceBytes = this.#isSequential ? CALL_SLICE_BYTES : SLICE_BYTES;
    let slices = 0;
    while (this.#unscanned.length > 0 && slices < SLICES_PER_TURN) {
      if (this.#isFull || this.#isHeld) break;
      const slice = this.#unscanned.subarray(0, sliceBytes);
      this.#unscanned = this.#unscanned.subarray(sliceBytes);
      slices += 1;
      this.#read(slice);
    }
    if (this.#unscanned.length === 0) {
      if (this.#hasEnded) this.push(null);
      else if (!this.#isFull) this.#raw.resume();
      return;
    }
    this.#raw.pause();
    if (slices < SLICES_PER_TURN) return;
    this.#nextTurn = setImmediate(() => {
      this.#nextTurn = undefined;
      this.#scanSlices();
    });
  }

  #read(chunk: Buffer): void {
    const { accepted, error } = this.#scanner.scan(chunk);
    this.#clients.updateChunks(this, this.#scanner.chunks);
    if (this.destroyed) return;
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
    if (this.push(bytes)) return;
    this.#isFull = true;
    this.#raw.pause();
  }

  #fail(code: string): void {
    if (this.#errorCode !== undefined) return;
    this.#errorCode = code;
    this.#pass(INVALID_BYTES);
  }
}

/** Milliseconds within which a small call must have arrived. */
const CALL_TIMEOUT: Duration = 30_000;

/**
 * Applies the limits on clients to an HTTP server for small calls, whose bodies its handlers bound.
 *
 * @example
 * attachClientLimits(server);
 */
export function attachClientLimits(server: HttpServer): void {
  attachStrictSockets(server, processClients, true);
  server.headersTimeout = HEAD_TIMEOUT;
  server.requestTimeout = CALL_TIMEOUT;
}

/**
 * Makes an HTTP server read all its connections through {@link StrictSocket}, within the limits on clients.
 *
 * @example
 * const server = createServer(handleRequest);
 * attachStrictSockets(server);
 */
export function attachStrictSockets(
  server: HttpServer,
  clients: ClientConnections = processClients,
  isSequential = false,
): void {
  server.prependListener('request', ({ socket }: IncomingMessage, response: ServerResponse) => {
    if (socket instanceof StrictSocket) socket.addRequest(response);
  });
  const listeners = server.listeners('connection');
  server.removeAllListeners('connection');
  server.on('connection', (raw: Socket) => {
    const strict = new StrictSocket(raw, clients, isSequential);
    listeners.forEach((listen) => {
      Reflect.apply(listen, server, [strict]);
    });
  });
}
