/**
 * Validates a stream of requests without buffering their bodies. Invariant: bytes are only passed on as part
 * of an element (a head, a piece of a body, a chunk-size line, a trailer line) that is well-formed as a
 * whole, so that any parser behind the scanner delimits the same messages.
 */
import { findRequestFraming, getHeader, parseFieldLines } from './head.js';
import type { HeaderList, ProtocolError } from './types.js';

const LF = 10;
const CR = 13;
const HEAD_END = Buffer.from('\r\n\r\n');
const LINE_END = Buffer.from('\r\n');
/** Start lines of HTTP/0.9 have no version; the parser behind the scanner answers those. */
const START_LINE = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+ +[\x21-\x7e]+(?: HTTP\/\d\.\d)?$/;
const ENDS_IN_CHUNKED = /(?:^|[ \t,])chunked$/i;
const CHUNK_LINE = /^([0-9A-Fa-f]{1,13})(?:;[\t\x20-\x7e\x80-\xff]*)?$/;

/** Limits of a {@link RequestScanner} in bytes. */
export interface ScannerLimits {
  /** Maximum length of a head, and of the trailer of a body. */
  readonly headBytes: number;
  /** Maximum length of a chunk-size line with its extensions. */
  readonly chunkLineBytes: number;
}

/** Result of {@link RequestScanner.scan}. */
export interface ScanResult {
  /** Bytes of well-formed elements, in order. */
  readonly accepted: Buffer;
  /** Why the element after {@link accepted} is malformed. Nothing is accepted after it. */
  readonly error: ProtocolError | undefined;
}

/** The element that the next bytes belong to. */
type Position =
  | { readonly kind: 'head' }
  | { readonly kind: 'body'; readonly remaining: number }
  | { readonly kind: 'chunkLine' }
  | { readonly kind: 'chunk'; readonly remaining: number }
  | { readonly kind: 'chunkEnd' }
  | { readonly kind: 'trailer'; readonly bytes: number }
  /** A body whose transfer coding is unknown, so that its end can't be found. */
  | { readonly kind: 'unframed' }
  /** An element was malformed. */
  | { readonly kind: 'failed' };

/** Number of bytes at the start of the input that form an element, and the position after it. */
interface Accepted {
  readonly kind: 'accepted';
  readonly bytes: number;
  readonly next: Position;
}

type Step = Accepted | ProtocolError | { readonly kind: 'incomplete' };

const INCOMPLETE: Step = { kind: 'incomplete' };

function buildError(status: ProtocolError['status'], reason: string): ProtocolError {
  return { kind: 'protocolError', status, reason };
}

/** Returns whether a line feed without a carriage return before it occurs in the first `end` bytes. */
function hasBareLineFeed(bytes: Buffer, end: number): boolean {
  const at = bytes.subarray(0, end).findIndex((byte, index) => {
    return byte === LF && bytes[index - 1] !== CR;
  });
  return at >= 0;
}

function findBodyPosition(headers: HeaderList): Position | ProtocolError {
  const coding = getHeader(headers, 'transfer-encoding');
  const hasLength = getHeader(headers, 'content-length') !== undefined;
  if (coding !== undefined && !ENDS_IN_CHUNKED.test(coding) && !hasLength) {
    return { kind: 'unframed' };
  }
  const framing = findRequestFraming({ method: '', target: '', minorVersion: 1, headers });
  switch (framing.kind) {
    case 'protocolError':
      return framing;
    case 'chunked':
      return { kind: 'chunkLine' };
    case 'length':
      return framing.bytes === 0 ? { kind: 'head' } : { kind: 'body', remaining: framing.bytes };
    case 'none':
    case 'untilClose':
      return { kind: 'head' };
  }
}

function checkHead(input: Buffer, { headBytes }: ScannerLimits): Step {
  if (input.subarray(0, 2).equals(LINE_END)) {
    // Empty lines before a message; RFC 9112, section 2.2.
    return { kind: 'accepted', bytes: LINE_END.length, next: { kind: 'head' } };
  }
  const end = input.indexOf(HEAD_END);
  const size = end < 0 ? input.length : end;
  if (hasBareLineFeed(input, size)) return buildError(400, 'a line ends without a carriage return');
  if (size > headBytes) return buildError(431, `the head is longer than ${headBytes} bytes`);
  if (end < 0) return INCOMPLETE;
  const [first = '', ...lines] = input.toString('latin1', 0, end).split('\r\n');
  if (!START_LINE.test(first)) return buildError(400, 'the request line is malformed');
  const fields = parseFieldLines(lines);
  if ('kind' in fields) return fields;
  const next = findBodyPosition(fields);
  if (next.kind === 'protocolError') return next;
  return { kind: 'accepted', bytes: end + HEAD_END.length, next };
}

function checkChunkLine(input: Buffer, { chunkLineBytes }: ScannerLimits): Step {
  const end = input.indexOf(LF);
  if ((end < 0 ? input.length : end) > chunkLineBytes) {
    return buildError(413, `a chunk-size line is longer than ${chunkLineBytes} bytes`);
  }
  if (end < 0) return INCOMPLETE;
  const match =
    input[end - 1] === CR ? CHUNK_LINE.exec(input.toString('latin1', 0, end - 1)) : null;
  if (match === null) return buildError(400, 'the size of a chunk is malformed');
  const size = Number.parseInt(match[1] ?? '', 16);
  const next: Position =
    size === 0 ? { kind: 'trailer', bytes: 0 } : { kind: 'chunk', remaining: size };
  return { kind: 'accepted', bytes: end + 1, next };
}

function checkChunkEnd(input: Buffer): Step {
  const received = input.subarray(0, LINE_END.length);
  if (!LINE_END.subarray(0, received.length).equals(received)) {
    return buildError(400, 'a chunk does not end with a line end');
  }
  return received.length < LINE_END.length
    ? INCOMPLETE
    : { kind: 'accepted', bytes: LINE_END.length, next: { kind: 'chunkLine' } };
}

function checkTrailer(input: Buffer, before: number, { headBytes }: ScannerLimits): Step {
  const end = input.indexOf(LF);
  if (before + (end < 0 ? input.length : end) > headBytes) {
    return buildError(431, `the trailer is longer than ${headBytes} bytes`);
  }
  if (end < 0) return INCOMPLETE;
  if (input[end - 1] !== CR) return buildError(400, 'a line ends without a carriage return');
  const bytes = end + 1;
  if (end === 1) return { kind: 'accepted', bytes, next: { kind: 'head' } };
  const field = parseFieldLines([input.toString('latin1', 0, end - 1)]);
  if ('kind' in field) return field;
  return { kind: 'accepted', bytes, next: { kind: 'trailer', bytes: before + bytes } };
}

function checkElement(position: Position, input: Buffer, limits: ScannerLimits): Step {
  switch (position.kind) {
    case 'head':
      return checkHead(input, limits);
    case 'body':
    case 'chunk': {
      const { kind, remaining } = position;
      const bytes = Math.min(input.length, remaining);
      const done: Position = kind === 'body' ? { kind: 'head' } : { kind: 'chunkEnd' };
      const next = bytes < remaining ? { kind, remaining: remaining - bytes } : done;
      return { kind: 'accepted', bytes, next };
    }
    case 'chunkLine':
      return checkChunkLine(input, limits);
    case 'chunkEnd':
      return checkChunkEnd(input);
    case 'trailer':
      return checkTrailer(input, position.bytes, limits);
    case 'unframed':
      return buildError(400, 'the transfer coding of the body is unknown');
    case 'failed':
      return INCOMPLETE;
  }
}

/** Validates the requests of one connection. */
export class RequestScanner {
  readonly #limits: ScannerLimits;
  #position: Position = { kind: 'head' };
  #pending: Buffer = Buffer.alloc(0);
  #chunks = 0;

  constructor(limits: ScannerLimits) {
    this.#limits = limits;
  }

  /** Whether part of a head has arrived. */
  get isInHead(): boolean {
    return this.#position.kind === 'head' && this.#pending.length > 0;
  }

  /** Number of chunks of the body that is incomplete. */
  get chunks(): number {
    return this.#chunks;
  }

  /** Whether the next byte that is not scanned begins a request or continues its head. */
  get isBetweenMessages(): boolean {
    return this.#position.kind === 'head';
  }

  /**
   * Adds bytes as they arrive and returns those that may be passed on.
   *
   * @example
   * scanner.scan(Buffer.from('GET /a HTTP/1.1\n')) // error: a line ends without a carriage return
   */
  scan(chunk: Buffer): ScanResult {
    const input = this.#pending.length === 0 ? chunk : Buffer.concat([this.#pending, chunk]);
    let at = 0;
    while (at < input.length && this.#position.kind !== 'failed') {
      const step = checkElement(this.#position, input.subarray(at), this.#limits);
      if (step.kind === 'incomplete') break;
      if (step.kind === 'protocolError') {
        this.#position = { kind: 'failed' };
        this.#pending = Buffer.alloc(0);
        return { accepted: input.subarray(0, at), error: step };
      }
      at += step.bytes;
      if (step.next.kind === 'head') this.#chunks = 0;
      else if (step.next.kind === 'chunkEnd') this.#chunks += 1;
      this.#position = step.next;
    }
    this.#pending = this.#position.kind === 'failed' ? Buffer.alloc(0) : input.subarray(at);
    return { accepted: input.subarray(0, at), error: undefined };
  }
}
