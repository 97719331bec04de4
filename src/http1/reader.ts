/**
 * Reads messages from a byte stream. Invariant: bytes are consumed in order and once; after an error
 * nothing more is read, as the start of the next message can't be known.
 */
import {
  findRequestFraming,
  findResponseFraming,
  parseRequestHead,
  parseResponseHead,
} from './head.js';
import type {
  Framing,
  MessageLimits,
  ProtocolError,
  ReaderEvent,
  RequestHead,
  ResponseHead,
} from './types.js';

const HEAD_END = Buffer.from('\r\n\r\n');
const LINE_END = Buffer.from('\r\n');
/** Longest line with the size of a chunk, in bytes. */
const MAX_CHUNK_LINE = 256;
const CHUNK_SIZE = /^([0-9A-Fa-f]{1,8})[ \t]*(?:;.*)?$/;

interface Message<Head> {
  readonly head: Head;
  readonly framing: Framing;
}

/** How a kind of message is read. */
export interface MessageGrammar<Head> {
  parseHead(text: string): Head | ProtocolError;
  findFraming(head: Head): Framing | ProtocolError;
  /** Tells whether the head stands alone and another one follows, as after a status 1xx. */
  isInterim(head: Head): boolean;
}

/** The grammar of requests. */
export const requestGrammar: MessageGrammar<RequestHead> = {
  parseHead: parseRequestHead,
  findFraming: findRequestFraming,
  isInterim: () => false,
};

/** Returns the grammar of responses to requests of this method. */
export function createResponseGrammar(method: string): MessageGrammar<ResponseHead> {
  return {
    parseHead: parseResponseHead,
    findFraming: (head) => findResponseFraming(head, method),
    isInterim: ({ status }) => status < 200 && status !== 101,
  };
}

/** Collects chunks and returns what they complete. */
export class MessageReader<Head extends object> {
  readonly #grammar: MessageGrammar<Head>;
  readonly #limits: MessageLimits;
  #pending: Buffer = Buffer.alloc(0);
  #message: Message<Head> | undefined;
  #bodyParts: Buffer[] = [];
  #bodySize = 0;
  /** Bytes of the current chunk that are missing; undefined between chunks. */
  #chunkRemaining: number | undefined;
  #inTrailer = false;
  #failed = false;

  constructor(grammar: MessageGrammar<Head>, limits: MessageLimits) {
    this.#grammar = grammar;
    this.#limits = limits;
  }

  /** Whether bytes wait that belong to no message that was handed on. */
  get hasPartialMessage(): boolean {
    return this.#message !== undefined || this.#pending.length > 0;
  }

  /** Whether the head of a message was read and its body not yet. */
  get isInBody(): boolean {
    return this.#message !== undefined;
  }

  /** Adds a chunk and returns what it completes. */
  addChunk(chunk: Buffer): readonly ReaderEvent<Head>[] {
    if (this.#failed) return [];
    this.#pending = this.#pending.length === 0 ? chunk : Buffer.concat([this.#pending, chunk]);
    const events: ReaderEvent<Head>[] = [];
    let progressed = this.#step(events);
    while (progressed) progressed = this.#step(events);
    return events;
  }

  /** Handles the orderly end of the stream, which ends a body without a length. */
  finish(): readonly ReaderEvent<Head>[] {
    const events: ReaderEvent<Head>[] = [];
    if (this.#message?.framing.kind === 'untilClose') this.#complete(events);
    return events;
  }

  /** Returns whether something was consumed, so that more may follow. */
  #step(events: ReaderEvent<Head>[]): boolean {
    if (this.#failed) return false;
    if (this.#message === undefined) return this.#readHead(events);
    const { framing } = this.#message;
    switch (framing.kind) {
      case 'none':
        this.#complete(events);
        return true;
      case 'length':
        return this.#readLength(framing.bytes, events);
      case 'chunked':
        return this.#readChunked(events);
      case 'untilClose':
        return this.#readUntilClose(events);
    }
  }

  #fail(events: ReaderEvent<Head>[], error: ProtocolError): boolean {
    this.#failed = true;
    events.push(error);
    return false;
  }

  #readHead(events: ReaderEvent<Head>[]): boolean {
    let start = 0;
    // An empty line before a message is skipped; RFC 9112, section 2.2.
    while (this.#pending[start] === 13 && this.#pending[start + 1] === 10) start += 2;
    if (start > 0) this.#pending = this.#pending.subarray(start);
    const end = this.#pending.indexOf(HEAD_END);
    const size = end < 0 ? this.#pending.length : end;
    if (size > this.#limits.headBytes) {
      const reason = `the head is longer than ${this.#limits.headBytes} bytes`;
      return this.#fail(events, { kind: 'protocolError', status: 431, reason });
    }
    if (end < 0) return false;
    const head = this.#grammar.parseHead(this.#pending.toString('latin1', 0, end));
    this.#pending = this.#pending.subarray(end + HEAD_END.length);
    if ('kind' in head) return this.#fail(events, head);
    if (this.#grammar.isInterim(head)) return true;
    const framing = this.#grammar.findFraming(head);
    if (framing.kind === 'protocolError') return this.#fail(events, framing);
    if (framing.kind === 'length' && framing.bytes > this.#limits.bodyBytes) {
      return this.#failBodyTooLarge(events);
    }
    this.#message = { head, framing };
    events.push({ kind: 'head', head, framing });
    return true;
  }

  #failBodyTooLarge(events: ReaderEvent<Head>[]): boolean {
    const reason = `the body is longer than ${this.#limits.bodyBytes} bytes`;
    return this.#fail(events, { kind: 'protocolError', status: 413, reason });
  }

  #consume(bytes: number): void {
    if (bytes === 0) return;
    this.#bodyParts.push(this.#pending.subarray(0, bytes));
    this.#pending = this.#pending.subarray(bytes);
    this.#bodySize += bytes;
  }

  #complete(events: ReaderEvent<Head>[]): void {
    if (this.#message === undefined) return;
    const [only] = this.#bodyParts;
    const body =
      this.#bodyParts.length === 1 && only !== undefined
        ? only
        : Buffer.concat(this.#bodyParts, this.#bodySize);
    events.push({ kind: 'message', ...this.#message, body });
    this.#message = undefined;
    this.#bodyParts = [];
    this.#bodySize = 0;
    this.#chunkRemaining = undefined;
    this.#inTrailer = false;
  }

  #readLength(length: number, events: ReaderEvent<Head>[]): boolean {
    this.#consume(Math.min(this.#pending.length, length - this.#bodySize));
    if (this.#bodySize < length) return false;
    this.#complete(events);
    return true;
  }

  #readUntilClose(events: ReaderEvent<Head>[]): boolean {
    this.#consume(this.#pending.length);
    return this.#bodySize > this.#limits.bodyBytes ? this.#failBodyTooLarge(events) : false;
  }

  #readChunked(events: ReaderEvent<Head>[]): boolean {
    if (this.#inTrailer) return this.#readTrailer(events);
    if (this.#chunkRemaining === undefined) return this.#readChunkSize(events);
    const bytes = Math.min(this.#pending.length, this.#chunkRemaining);
    this.#consume(bytes);
    this.#chunkRemaining -= bytes;
    if (this.#chunkRemaining > 0 || this.#pending.length < LINE_END.length) return false;
    if (!this.#pending.subarray(0, 2).equals(LINE_END)) {
      const reason = 'a chunk does not end with a line end';
      return this.#fail(events, { kind: 'protocolError', status: 400, reason });
    }
    this.#pending = this.#pending.subarray(2);
    this.#chunkRemaining = undefined;
    return true;
  }

  #readChunkSize(events: ReaderEvent<Head>[]): boolean {
    const end = this.#pending.indexOf(LINE_END);
    const isTooLong = (end < 0 ? this.#pending.length : end) > MAX_CHUNK_LINE;
    if (end < 0 && !isTooLong) return false;
    const match = isTooLong ? null : CHUNK_SIZE.exec(this.#pending.toString('latin1', 0, end));
    if (match === null) {
      const reason = 'the size of a chunk is malformed';
      return this.#fail(events, { kind: 'protocolError', status: 400, reason });
    }
    const size = Number.parseInt(match[1] ?? '', 16);
    if (this.#bodySize + size > this.#limits.bodyBytes) return this.#failBodyTooLarge(events);
    this.#pending = this.#pending.subarray(end + 2);
    if (size === 0) this.#inTrailer = true;
    else this.#chunkRemaining = size;
    return true;
  }

  #readTrailer(events: ReaderEvent<Head>[]): boolean {
    const end = this.#pending.indexOf(LINE_END);
    if (end < 0) {
      if (this.#pending.length <= this.#limits.headBytes) return false;
      const reason = 'the trailer is too long';
      return this.#fail(events, { kind: 'protocolError', status: 431, reason });
    }
    this.#pending = this.#pending.subarray(end + 2);
    if (end === 0) this.#complete(events);
    return true;
  }
}
