/**
 * One connection of a caller. Invariant: each request that was read gets one answer, in the order of the
 * requests, and a request that may run once only is not begun before every answer ahead of it was given.
 */
import type { Socket } from 'node:net';
import {
  getHeader,
  MessageReader,
  renderHead,
  requestGrammar,
  type HeaderList,
  type MessageLimits,
  type ProtocolError,
  type ReaderEvent,
  type RequestHead,
} from '../http1/index.js';
import type { Duration, Instant } from '../model/index.js';

/** Requests of one connection that are read ahead of their answers. */
const MAX_READ_AHEAD = 16;
/** Milliseconds for which a closed connection is read on, so that the answer isn't lost in a reset. */
const LINGER: Duration = 500;
/** Milliseconds that a caller may take to fetch its last answer; the largest takes seconds on a slow link. */
const LONGEST_LINGER: Duration = 30_000;

/** An answer as it goes to the caller. */
export interface CallerAnswer {
  readonly status: number;
  readonly reason: string;
  readonly headers: HeaderList;
  readonly body: Buffer;
  /** Whether the end of the connection is to end the body, as it did where the answer came from. */
  readonly isUnframed: boolean;
}

/** A request that was read whole. */
export interface CallerRequest {
  readonly head: RequestHead;
  readonly body: Buffer;
  readonly hasBody: boolean;
  /** When its head was read. */
  readonly arrivedAt: Instant;
}

/** A request that is being served. */
export interface ServedRequest {
  cancel(): void;
}

/** What a connection needs of the gateway. */
export interface CallerHost {
  readonly now: () => Instant;
  /** Tells whether a request may run more than once. */
  isIdempotent(head: RequestHead): boolean;
  /** Serves a request; `onAnswer` is called once unless it is cancelled. */
  serve(
    request: CallerRequest,
    onAnswer: (answer: CallerAnswer) => void,
  ): ServedRequest | undefined;
  /** Whether connections are to be closed after the next answer. */
  isStopping(): boolean;
  renderProtocolError(error: ProtocolError): CallerAnswer;
  onClose(connection: CallerConnection): void;
}

interface Slot {
  readonly request: CallerRequest;
  readonly isIdempotent: boolean;
  /** The connection ends after this answer. */
  readonly isLast: boolean;
  served: ServedRequest | undefined;
  isBegun: boolean;
  answer: CallerAnswer | undefined;
}

function hasClose(head: RequestHead): boolean {
  const tokens = (getHeader(head.headers, 'connection') ?? '').toLowerCase();
  return tokens.includes('close') || (head.minorVersion === 0 && !tokens.includes('keep-alive'));
}

/** A caller's connection. */
export class CallerConnection {
  readonly #host: CallerHost;
  readonly #socket: Socket;
  readonly #reader: MessageReader<RequestHead>;
  #slots: readonly Slot[] = [];
  #headAt: Instant = 0;
  #isReading = true;
  #isClosed = false;
  /** When the connection was opened, or its latest answer was written. */
  #idleSince: Instant;
  /** When the first byte of an unfinished request arrived. */
  #partialSince: Instant | undefined;

  constructor(host: CallerHost, socket: Socket, limits: MessageLimits) {
    this.#host = host;
    this.#socket = socket;
    this.#reader = new MessageReader(requestGrammar, limits);
    this.#idleSince = host.now();
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => {
      this.#read(chunk);
    });
    socket.on('end', () => {
      this.#handleClose();
    });
    socket.on('error', () => {
      this.#handleClose();
    });
    socket.on('close', () => {
      this.#handleClose();
    });
  }

  /** Whether no request is being served. */
  get isIdle(): boolean {
    return this.#slots.length === 0;
  }

  /** Closes the connection if it was idle, or sending a head, for too long. */
  checkTimes(now: Instant, headTimeout: Duration, idleTimeout: Duration): void {
    if (!this.isIdle || !this.#isReading) return;
    if (this.#partialSince !== undefined) {
      if (now - this.#partialSince > headTimeout && !this.#reader.isInBody) this.closeIdle();
    } else if (now - this.#idleSince > idleTimeout) this.closeIdle();
  }

  /** Closes the connection unless a request is being served. */
  closeIdle(): void {
    if (!this.isIdle) return;
    this.#socket.end();
    this.#linger();
  }

  #read(chunk: Buffer): void {
    if (!this.#isReading) return;
    const now = this.#host.now();
    this.#partialSince ??= now;
    this.#reader.addChunk(chunk).forEach((event) => {
      this.#handleEvent(event, now);
    });
    if (!this.#reader.isMidway) this.#partialSince = undefined;
  }

  #handleEvent(event: ReaderEvent<RequestHead>, now: Instant): void {
    if (!this.#isReading) return;
    switch (event.kind) {
      case 'head':
        this.#headAt = now;
        if (getHeader(event.head.headers, 'expect')?.toLowerCase() === '100-continue') {
          this.#socket.write('HTTP/1.1 100 Continue\r\n\r\n');
        }
        return;
      case 'message':
        this.#addRequest({
          head: event.head,
          body: event.body,
          hasBody: event.framing.kind !== 'none',
          arrivedAt: this.#headAt,
        });
        return;
      case 'protocolError':
        this.#isReading = false;
        this.#addSlot({
          request: { head: BROKEN_HEAD, body: NO_BODY, hasBody: false, arrivedAt: now },
          isIdempotent: true,
          isLast: true,
          served: undefined,
          isBegun: true,
          answer: this.#host.renderProtocolError(event),
        });
        return;
    }
  }

  #addRequest(request: CallerRequest): void {
    const isLast = hasClose(request.head);
    if (isLast) this.#isReading = false;
    this.#addSlot({
      request,
      isIdempotent: this.#host.isIdempotent(request.head),
      isLast,
      served: undefined,
      isBegun: false,
      answer: undefined,
    });
  }

  #addSlot(slot: Slot): void {
    this.#slots = [...this.#slots, slot];
    if (this.#slots.length >= MAX_READ_AHEAD) this.#socket.pause();
    this.#advance();
  }

  /** Begins what may begin, and writes the answers that are next in order. */
  #advance(): void {
    if (this.#isClosed) return;
    const first = this.#slots[0];
    const next = this.#slots.find(({ isBegun }) => !isBegun);
    const mayBegin =
      next !== undefined &&
      (next === first ||
        this.#slots.slice(0, this.#slots.indexOf(next) + 1).every((slot) => slot.isIdempotent));
    if (mayBegin) {
      this.#begin(next);
      return;
    }
    if (first?.answer === undefined) return;
    this.#slots = this.#slots.slice(1);
    this.#write(first, first.answer);
    this.#advance();
  }

  #begin(slot: Slot): void {
    slot.isBegun = true;
    const served = this.#host.serve(slot.request, (answer) => {
      slot.answer = answer;
      slot.served = undefined;
      this.#advance();
    });
    if (slot.answer === undefined) slot.served = served;
    this.#advance();
  }

  #write(slot: Slot, answer: CallerAnswer): void {
    const { status, reason, headers, body, isUnframed } = answer;
    const closes = slot.isLast || isUnframed || this.#host.isStopping();
    const hasLength = !isUnframed && status !== 204 && status !== 304;
    const head = renderHead(`HTTP/1.1 ${status} ${reason}`, [
      ...headers,
      ...(hasLength ? [['Content-Length', String(body.length)] as const] : []),
      ...(closes ? [['Connection', 'close'] as const] : []),
    ]);
    this.#socket.cork();
    this.#socket.write(head, 'latin1');
    if (body.length > 0 && slot.request.head.method !== 'HEAD') this.#socket.write(body);
    this.#socket.uncork();
    this.#idleSince = this.#host.now();
    if (closes) {
      this.#socket.end();
      this.#linger();
    } else if (this.#slots.length < MAX_READ_AHEAD && this.#socket.isPaused()) {
      this.#socket.resume();
    }
  }

  /** Reads and drops what is still on its way, so that closing doesn't reset what was written. */
  #linger(): void {
    this.#isReading = false;
    this.#slots.forEach(({ served }) => served?.cancel());
    this.#slots = [];
    this.#isClosed = true;
    this.#socket.resume();
    const timer = setTimeout(() => this.#socket.destroy(), LONGEST_LINGER).unref();
    // Until the last byte has left this process, closing would cut the answer off.
    this.#socket.once('finish', () => {
      clearTimeout(timer);
      setTimeout(() => this.#socket.destroy(), LINGER).unref();
    });
    this.#host.onClose(this);
  }

  #handleClose(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#isReading = false;
    this.#slots.forEach(({ served }) => served?.cancel());
    this.#slots = [];
    this.#socket.destroy();
    this.#host.onClose(this);
  }
}

const NO_BODY = Buffer.alloc(0);
const BROKEN_HEAD: RequestHead = { method: 'GET', target: '/', minorVersion: 1, headers: [] };
