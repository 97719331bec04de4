/**
 * Incremental parser for messages on a byte stream. Invariant: bytes are consumed once and in order;
 * nothing is read after an error, as the start of the next message is then unknown.
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

const NO_BYTES = Buffer.alloc(0);
const HEAD_END = Buffer.from('\r\n\r\n');
const LINE_END = Buffer.from('\r\n');
/** Maximum bytes of a chunk-size line, including its extensions. */
const MAX_CHUNK_LINE = 256;
/** Bytes of memory that each piece of a body takes besides its content. */
const PIECE_OVERHEAD = 128;
/** Bytes from which a body of known length is filled in place: joining its pieces would take its size twice. */
const MIN_WHOLE_BYTES = 256 * 1024;
/** Bytes below which a piece of a body is joined with its neighbours instead of being kept as a buffer of its own. */
const MAX_JOINED_BYTES = 4096;
/** Sizes of the blocks in which small pieces are joined; they double, so that a body takes at most twice its size. */
const MIN_BLOCK_BYTES = 1024;
const MAX_BLOCK_BYTES = 64 * 1024;
/** Small chunks that one step reads. */
const MAX_CHUNKS_PER_STEP = 64;
/** Bytes of a received buffer from which it is copied if only a small part of it is still needed. */
const MIN_RETAINED_BYTES = 4096;
/** Part of a received buffer below which what is still needed of it is copied. */
const MIN_RETAINED_SHARE = 0.25;
const CHUNK_SIZE = /^([0-9A-Fa-f]{1,8})[ \t]*(?:;.*)?$/;

interface Message<Head> {
  readonly head: Head;
  readonly framing: Framing;
}

/** The parsing rules that differ between requests and responses. */
export interface MessageGrammar<Head> {
  parseHead(text: string): Head | ProtocolError;
  findFraming(head: Head): Framing | ProtocolError;
  /** Returns whether the head has no body and another head follows, as after an interim (1xx) status. */
  isInterim(head: Head): boolean;
}

/** Parsing rules of requests. */
export const requestGrammar: MessageGrammar<RequestHead> = {
  parseHead: parseRequestHead,
  findFraming: findRequestFraming,
  isInterim: () => false,
};

/** Returns the parsing rules of responses to a request with this method. */
export function createResponseGrammar(method: string): MessageGrammar<ResponseHead> {
  return {
    parseHead: parseResponseHead,
    findFraming: (head) => findResponseFraming(head, method),
    isInterim: ({ status }) => status < 200,
  };
}

/** Result of {@link MessageReader.readNext}. */
export interface ReadResult<Head> {
  /** The event that was read, if any. */
  readonly event: ReaderEvent<Head> | undefined;
  /** Steps that it took. */
  readonly steps: number;
  /** Whether nothing can be read until more bytes arrive. */
  readonly needsInput: boolean;
}

/** Returns the value of a hexadecimal digit, or -1. */
function readHexDigit(byte: number | undefined): number {
  if (byte === undefined) return -1;
  if (byte >= 48 && byte <= 57) return byte - 48;
  const letter = byte | 32;
  return letter >= 97 && letter <= 102 ? letter - 87 : -1;
}

/** Parses messages from chunks of bytes that may be split anywhere. */
export class MessageReader<Head extends object> {
  readonly #grammar: MessageGrammar<Head>;
  readonly #limits: MessageLimits;
  #pending: Buffer = NO_BYTES;
  #message: Message<Head> | undefined;
  #bodyParts: Buffer[] = [];
  /** The body, filled as its bytes arrive, if its length is known and large. */
  #whole: Buffer | undefined;
  #bodySize = 0;
  /** Block in which small pieces of the body are joined, and the part of it that is not among the parts yet. */
  #block: Buffer = NO_BYTES;
  #blockStart = 0;
  #blockEnd = 0;
  /** Bytes of all blocks of the body. */
  #blockBytes = 0;
  /** Bytes of the current chunk that have not arrived; undefined between chunks. */
  #chunkRemaining: number | undefined;
  #inTrailer = false;
  /** Bytes of the trailer, or of the empty lines and interim heads before a head, that were read. */
  #skippedBytes = 0;
  #failed = false;

  constructor(grammar: MessageGrammar<Head>, limits: MessageLimits) {
    this.#grammar = grammar;
    this.#limits = limits;
  }

  /** Whether bytes were received that are not part of a completed message. */
  get hasPartialMessage(): boolean {
    return this.#message !== undefined || this.#pending.length > 0;
  }

  /** Whether the head of a message was read, but not yet its whole body. */
  get isInBody(): boolean {
    return this.#message !== undefined;
  }

  /** Bytes of memory that the message that is not complete yet takes, approximately. */
  get heldBytes(): number {
    const pieces = this.#bodyParts.length * PIECE_OVERHEAD + this.#block.length - this.#blockEnd;
    return this.#pending.length + this.#bodySize + pieces;
  }

  /** Drops the bytes of an incomplete message; nothing is read any more. */
  discard(): void {
    this.#failed = true;
    this.#pending = NO_BYTES;
    this.#dropBody();
  }

  #dropBody(): void {
    this.#bodyParts = [];
    this.#whole = undefined;
    this.#bodySize = 0;
    this.#block = NO_BYTES;
    this.#blockStart = 0;
    this.#blockEnd = 0;
    this.#blockBytes = 0;
  }

  /** Adds a chunk; returns the heads, messages and errors that result from it. */
  addChunk(chunk: Buffer): readonly ReaderEvent<Head>[] {
    this.push(chunk);
    if (this.#failed) return [];
    const events: ReaderEvent<Head>[] = [];
    let progressed = this.#step(events);
    while (progressed) progressed = this.#step(events);
    return events;
  }

  /** Adds a chunk that {@link readNext} reads. */
  push(chunk: Buffer): void {
    if (this.#failed) return;
    this.#pending = this.#pending.length === 0 ? chunk : Buffer.concat([this.#pending, chunk]);
  }

  /**
   * Reads up to the next event, in at most `maxSteps` steps, so that the bytes of one peer don't keep others waiting.
   *
   * @example
   * reader.push(chunk);
   * const { event, steps, needsInput } = reader.readNext(256);
   */
  readNext(maxSteps: number): ReadResult<Head> {
    const events: ReaderEvent<Head>[] = [];
    let steps = 0;
    while (steps < maxSteps) {
      steps += 1;
      const progressed = this.#step(events);
      if (events.length > 0) return { event: events[0], steps, needsInput: false };
      if (!progressed) {
        this.#releaseChunk();
        return { event: undefined, steps, needsInput: true };
      }
    }
    return { event: undefined, steps, needsInput: false };
  }

  /** Copies the rest of a received buffer that is small, as it would keep the whole buffer in memory. */
  #releaseChunk(): void {
    const whole = this.#pending.buffer.byteLength;
    const isSmall = this.#pending.length < whole * MIN_RETAINED_SHARE;
    if (whole >= MIN_RETAINED_BYTES && isSmall) this.#pending = Buffer.from(this.#pending);
  }

  /** Handles the end of the stream, which completes a body that is delimited by it. */
  finish(): readonly ReaderEvent<Head>[] {
    const events: ReaderEvent<Head>[] = [];
    if (this.#message?.framing.kind === 'untilClose') this.#complete(events);
    return events;
  }

  /** Parses the next element; returns whether it made progress and should be called again. */
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
    this.discard();
    events.push(error);
    return false;
  }

  #readHead(events: ReaderEvent<Head>[]): boolean {
    let start = 0;
    // Skip empty lines before a message; RFC 9112, section 2.2.
    while (this.#pending[start] === 13 && this.#pending[start + 1] === 10) start += 2;
    if (start > 0) this.#pending = this.#pending.subarray(start);
    this.#skippedBytes += start;
    if (this.#skippedBytes > this.#limits.headBytes) return this.#failSkipped(events);
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
    if (this.#grammar.isInterim(head)) {
      this.#skippedBytes += end;
      return true;
    }
    this.#skippedBytes = 0;
    const framing = this.#grammar.findFraming(head);
    if (framing.kind === 'protocolError') return this.#fail(events, framing);
    if (framing.kind === 'length' && framing.bytes > this.#limits.bodyBytes) {
      return this.#failBodyTooLarge(events);
    }
    this.#message = { head, framing };
    events.push({ kind: 'head', head, framing });
    return true;
  }

  #failSkipped(events: ReaderEvent<Head>[]): boolean {
    const reason = `over ${this.#limits.headBytes} bytes came that belong to no head and no body`;
    return this.#fail(events, { kind: 'protocolError', status: 431, reason });
  }

  #failBodyTooLarge(events: ReaderEvent<Head>[]): boolean {
    const reason = `the body is longer than ${this.#limits.bodyBytes} bytes`;
    return this.#fail(events, { kind: 'protocolError', status: 413, reason });
  }

  #consume(bytes: number): void {
    if (bytes === 0) return;
    const piece = this.#pending.subarray(0, bytes);
    this.#createWhole();
    if (this.#whole !== undefined) piece.copy(this.#whole, this.#bodySize);
    else if (bytes < MAX_JOINED_BYTES && !this.#isRest(bytes)) this.#join(this.#pending, 0, bytes);
    else {
      this.#flushBlock();
      this.#bodyParts.push(piece);
    }
    this.#pending = this.#pending.subarray(bytes);
    this.#bodySize += bytes;
  }

  /** Whether these are the last bytes of a body of known length, so that they are not held. */
  #isRest(bytes: number): boolean {
    const framing = this.#message?.framing;
    return framing?.kind === 'length' && this.#bodySize + bytes >= framing.bytes;
  }

  /** Copies small pieces of a body behind each other. */
  #join(source: Buffer, start: number, end: number): void {
    const bytes = end - start;
    if (this.#blockEnd + bytes > this.#block.length) {
      this.#flushBlock();
      const size = Math.max(MIN_BLOCK_BYTES, bytes, Math.min(MAX_BLOCK_BYTES, this.#blockBytes));
      this.#block = Buffer.allocUnsafeSlow(size);
      this.#blockBytes += size;
      this.#blockStart = 0;
      this.#blockEnd = 0;
    }
    if (bytes === 1) this.#block[this.#blockEnd] = source[start] ?? 0;
    else source.copy(this.#block, this.#blockEnd, start, end);
    this.#blockEnd += bytes;
  }

  /** Puts the pieces that were joined since the last time among the parts. */
  #flushBlock(): void {
    if (this.#blockEnd === this.#blockStart) return;
    this.#bodyParts.push(this.#block.subarray(this.#blockStart, this.#blockEnd));
    this.#blockStart = this.#blockEnd;
  }

  /** Allocates a large body of known length once its second piece arrives. */
  #createWhole(): void {
    if (this.#whole !== undefined || this.#bodySize === 0) return;
    const framing = this.#message?.framing;
    if (framing?.kind !== 'length' || framing.bytes < MIN_WHOLE_BYTES) return;
    this.#flushBlock();
    const whole = Buffer.allocUnsafeSlow(framing.bytes);
    this.#bodyParts.reduce((offset, part) => offset + part.copy(whole, offset), 0);
    const size = this.#bodySize;
    this.#dropBody();
    this.#bodySize = size;
    this.#whole = whole;
  }

  #complete(events: ReaderEvent<Head>[]): void {
    if (this.#message === undefined) return;
    this.#flushBlock();
    const [only] = this.#bodyParts;
    const joined =
      this.#bodyParts.length === 1 && only !== undefined
        ? only
        : Buffer.concat(this.#bodyParts, this.#bodySize);
    const body = this.#whole ?? joined;
    events.push({ kind: 'message', ...this.#message, body });
    this.#message = undefined;
    this.#dropBody();
    this.#chunkRemaining = undefined;
    this.#inTrailer = false;
    this.#skippedBytes = 0;
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
    if (this.#chunkRemaining === undefined) {
      return this.#readSmallChunks() > 0 || this.#readChunkSize(events);
    }
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

  /** Reads small chunks that arrived in full and have no extension; returns how many. */
  #readSmallChunks(): number {
    const pending = this.#pending;
    let at = 0;
    let chunks = 0;
    while (chunks < MAX_CHUNKS_PER_STEP) {
      let size = 0;
      let digits = 0;
      let digit = readHexDigit(pending[at]);
      while (digit >= 0 && digits < 4) {
        size = size * 16 + digit;
        digits += 1;
        digit = readHexDigit(pending[at + digits]);
      }
      const start = at + digits + LINE_END.length;
      const end = start + size;
      const isWhole =
        digits > 0 &&
        size > 0 &&
        size < MAX_JOINED_BYTES &&
        this.#bodySize + size <= this.#limits.bodyBytes &&
        pending[start - 2] === 13 &&
        pending[start - 1] === 10 &&
        pending[end] === 13 &&
        pending[end + 1] === 10;
      if (!isWhole) break;
      this.#join(pending, start, end);
      this.#bodySize += size;
      at = end + LINE_END.length;
      chunks += 1;
    }
    if (at > 0) this.#pending = pending.subarray(at);
    return chunks;
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
    const size = end < 0 ? this.#pending.length : end + 2;
    if (this.#skippedBytes + size > this.#limits.headBytes) return this.#failSkipped(events);
    if (end < 0) return false;
    this.#skippedBytes += size;
    this.#pending = this.#pending.subarray(end + 2);
    if (end === 0) this.#complete(events);
    return true;
  }
}
