/**
 * Parses and renders message heads. Invariant: a head that two parsers could interpret differently (several
 * lengths, a length with a transfer coding, folded lines, invalid characters in names) is rejected, as it
 * would allow request smuggling.
 */
import type { Framing, HeaderList, ProtocolError, RequestHead, ResponseHead } from './types.js';

const TOKEN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
const REQUEST_LINE = /^([!#$%&'*+\-.^_`|~0-9A-Za-z]+) ([^\s]+) HTTP\/(\d)\.(\d)$/;
/**
 * Only the classes 1 to 5 are statuses; RFC 9110, section 15. Read as a status, 000 would be an interim head, after which
 * the answer is waited for, and 600 would reach the caller.
 */
const STATUS_LINE = /^HTTP\/1\.(\d) ([1-5]\d{2})(?: (.*))?$/;
/** Hands the connection over to another protocol, which no request asks for: `Upgrade` is not forwarded. */
const SWITCHING_PROTOCOLS = 101;
const LENGTH = /^\d{1,15}$/;
// eslint-disable-next-line no-control-regex -- control characters are not allowed in field values
const INVALID_VALUE = /[\0-\x08\n-\x1f\x7f]/;

/**
 * Returns a field value without the whitespace around it, in time linear in its length, which a peer chooses. `trim`
 * would also remove control characters; a pattern that is tried at each blank takes the square of the length.
 */
function dropBlanks(value: string): string {
  const isBlank = (index: number): boolean => value[index] === ' ' || value[index] === '\t';
  let start = 0;
  let end = value.length;
  while (start < end && isBlank(start)) start += 1;
  while (end > start && isBlank(end - 1)) end -= 1;
  return value.slice(start, end);
}

/** Hop-by-hop header fields, which are not forwarded; RFC 9110, section 7.6.1. */
const hopByHop: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

function toError(status: ProtocolError['status'], reason: string): ProtocolError {
  return { kind: 'protocolError', status, reason };
}

/** Parses the lines of header or trailer fields, without their line ends. */
export function parseFieldLines(lines: readonly string[]): HeaderList | ProtocolError {
  const fields = lines.map((line): readonly [string, string] | undefined => {
    const colon = line.indexOf(':');
    const name = line.slice(0, Math.max(colon, 0));
    const value = dropBlanks(line.slice(colon + 1));
    return TOKEN.test(name) && !INVALID_VALUE.test(value) ? [name, value] : undefined;
  });
  const valid = fields.filter((field) => field !== undefined);
  return valid.length === fields.length ? valid : toError(400, 'a header line is malformed');
}

/**
 * Returns the value of a header field, or undefined; fields of the same name are joined with commas.
 * `name` is in lower case.
 *
 * @example
 * getHeader(head.headers, 'host') // "records.example"
 */
export function getHeader(headers: HeaderList, name: string): string | undefined {
  const values = headers
    .filter(([fieldName]) => fieldName.toLowerCase() === name)
    .map(([, value]) => value);
  return values.length === 0 ? undefined : values.join(', ');
}

/** Bytes of memory that a parsed head, and each field of it, takes besides its text. */
const HEAD_OVERHEAD = 512;
const FIELD_OVERHEAD = 160;

/**
 * Returns the bytes of memory that a parsed head takes, approximately; many short fields take a multiple of their text.
 *
 * @example
 * computeHeadCost(head) // 2500 for a head with 10 fields
 */
export function computeHeadCost({ target, headers }: RequestHead): number {
  return headers.reduce(
    (sum, [name, value]) => sum + FIELD_OVERHEAD + name.length + value.length,
    HEAD_OVERHEAD + target.length,
  );
}

/** Parses a request head, without the empty line that ends it. */
export function parseRequestHead(text: string): RequestHead | ProtocolError {
  const [first = '', ...lines] = text.split('\r\n');
  const match = REQUEST_LINE.exec(first);
  if (match === null) return toError(400, 'the request line is malformed');
  const [, method = '', target = '', major, minor] = match;
  if (major !== '1') return toError(505, 'only HTTP/1.x is spoken here');
  const headers = parseFieldLines(lines);
  if ('kind' in headers) return headers;
  return { method, target, minorVersion: Number(minor), headers };
}

/** Parses a response head, without the empty line that ends it. */
export function parseResponseHead(text: string): ResponseHead | ProtocolError {
  const [first = '', ...lines] = text.split('\r\n');
  const match = STATUS_LINE.exec(first);
  if (match === null) return toError(400, 'the status line is malformed');
  const [, minor, status, reason = ''] = match;
  if (Number(status) === SWITCHING_PROTOCOLS) return toError(400, 'the protocol is switched');
  const headers = parseFieldLines(lines);
  if ('kind' in headers) return headers;
  return { status: Number(status), reason, minorVersion: Number(minor), headers };
}

function findDeclaredFraming(headers: HeaderList): Framing | ProtocolError | undefined {
  const coding = getHeader(headers, 'transfer-encoding');
  const length = getHeader(headers, 'content-length');
  if (coding !== undefined) {
    if (length !== undefined) return toError(400, 'both a length and a transfer coding are given');
    if (coding.toLowerCase() !== 'chunked')
      return toError(501, `transfer coding ${coding} is unknown`);
    return { kind: 'chunked' };
  }
  if (length === undefined) return undefined;
  if (!LENGTH.test(length)) return toError(400, 'the content length is no single number');
  return { kind: 'length', bytes: Number(length) };
}

/** Returns how the body of a request is delimited. */
export function findRequestFraming(head: RequestHead): Framing | ProtocolError {
  return findDeclaredFraming(head.headers) ?? { kind: 'none' };
}

/** Returns how the body of a response is delimited; `method` is the method of the request. */
export function findResponseFraming(head: ResponseHead, method: string): Framing | ProtocolError {
  const { status } = head;
  if (method === 'HEAD' || status < 200 || status === 204 || status === 304)
    return { kind: 'none' };
  return findDeclaredFraming(head.headers) ?? { kind: 'untilClose' };
}

/**
 * Returns the header fields to forward: all except hop-by-hop fields, those that `Connection` lists, and
 * `dropped`, whose names are in lower case.
 */
export function listForwardableHeaders(
  headers: HeaderList,
  dropped: ReadonlySet<string>,
): HeaderList {
  const connectionFields = new Set(
    (getHeader(headers, 'connection') ?? '').split(',').map((token) => token.trim().toLowerCase()),
  );
  return headers.filter(([name]) => {
    const lower = name.toLowerCase();
    return !hopByHop.has(lower) && !dropped.has(lower) && !connectionFields.has(lower);
  });
}

/** Renders a head, including the empty line that ends it. */
export function renderHead(firstLine: string, headers: HeaderList): string {
  const lines = headers.map(([name, value]) => `${name}: ${value}\r\n`);
  return `${firstLine}\r\n${lines.join('')}\r\n`;
}
