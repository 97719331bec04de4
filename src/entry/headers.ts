/**
 * Parses and builds header fields. Invariant: hop-by-hop fields are never forwarded, and the fields that
 * chivewalk defines are set by the entry, never copied from a caller.
 */
import type { IncomingMessage } from 'node:http';
import type { Criticality, Duration, LoadReport } from '../model/index.js';
import type { HeaderList } from './ports.js';

/** Header fields of the chivewalk protocol. */
export const DEADLINE_HEADER = 'x-chivewalk-deadline-ms';
export const CRITICALITY_HEADER = 'x-chivewalk-criticality';
export const HOPS_HEADER = 'x-chivewalk-hops';
export const LOAD_HEADER = 'x-chivewalk-load';
export const NOT_RUN_HEADER = 'x-chivewalk-not-run';
export const OUTCOME_HEADER = 'x-chivewalk-outcome';
export const REPLAYED_HEADER = 'x-chivewalk-replayed';
export const KEY_HEADER = 'idempotency-key';

const HOP_BY_HOP = [
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
];
/** Request fields that the entry sets itself or consumes. */
const SET_BY_ENTRY = [
  'content-length',
  'expect',
  'traceparent',
  DEADLINE_HEADER,
  CRITICALITY_HEADER,
  HOPS_HEADER,
];
const DROPPED_FROM_REQUEST: ReadonlySet<string> = new Set([...HOP_BY_HOP, ...SET_BY_ENTRY]);
const DROPPED_FROM_RESPONSE: ReadonlySet<string> = new Set([...HOP_BY_HOP, LOAD_HEADER]);

const PERSISTENCE_OPTIONS: ReadonlySet<string> = new Set([
  'keep-alive',
  'close',
  'Keep-Alive',
  'Close',
]);

/** Returns the field names that a `Connection` field lists; undefined if it only sets persistence. */
function parseConnection(value: string): ReadonlySet<string> | undefined {
  if (PERSISTENCE_OPTIONS.has(value)) return undefined;
  return new Set(value.split(',').map((name) => name.trim().toLowerCase()));
}

/**
 * Returns the request fields that are forwarded: no hop-by-hop fields and none that the entry sets.
 *
 * @example
 * forwardRequestHeaders(['Host', 'a', 'Connection', 'x-b', 'X-B', '1'], 'x-b'); // ['Host', 'a']
 */
export function forwardRequestHeaders(raw: HeaderList, connection: string | undefined): string[] {
  const connectionFields = connection === undefined ? undefined : parseConnection(connection);
  const kept: string[] = [];
  let index = 0;
  while (index + 1 < raw.length) {
    const name = raw[index] ?? '';
    const lower = name.toLowerCase();
    if (!DROPPED_FROM_REQUEST.has(lower) && connectionFields?.has(lower) !== true) {
      kept.push(name, raw[index + 1] ?? '');
    }
    index += 2;
  }
  return kept;
}

/** The fields that the entry sets on a request to an upstream. */
export interface EntryFields {
  /** Milliseconds that remain of the caller's deadline. */
  readonly deadline: Duration;
  readonly criticality: Criticality;
  readonly hops: number;
  readonly traceparent: string | undefined;
  /** Only set for a streamed body of known length; for a buffered one the HTTP client adds it. */
  readonly contentLength: number | undefined;
}

/** Returns the header fields of the request to an upstream. */
export function buildForwardedHeaders(request: IncomingMessage, fields: EntryFields): string[] {
  const headers = forwardRequestHeaders(request.rawHeaders, request.headers.connection);
  headers.push(DEADLINE_HEADER, String(fields.deadline), CRITICALITY_HEADER, fields.criticality);
  headers.push(HOPS_HEADER, String(fields.hops));
  if (fields.traceparent !== undefined) headers.push('traceparent', fields.traceparent);
  if (fields.contentLength !== undefined)
    headers.push('content-length', String(fields.contentLength));
  return headers;
}

/** The head of an upstream's response, with the header fields that are forwarded. */
export interface UpstreamResponseHead {
  readonly status: number;
  readonly statusText: string;
  readonly headers: HeaderList;
  readonly notRun: boolean;
  readonly load: LoadReport | undefined;
  /** Whether a content-length or transfer-encoding field delimits the body. */
  readonly hasFraming: boolean;
}

/**
 * Parses the value of `x-chivewalk-load`; returns undefined if it is malformed.
 *
 * @example
 * parseLoad('in-flight=3;queued=0;cold=0'); // { inFlight: 3, queued: 0, cold: false }
 */
export function parseLoad(value: string): LoadReport | undefined {
  const fields = new Map(
    value.split(';').map((pair): [string, number] => {
      const [name = '', number = ''] = pair.split('=');
      return [name.trim(), number.trim() === '' ? Number.NaN : Number(number)];
    }),
  );
  const inFlight = fields.get('in-flight');
  const queued = fields.get('queued') ?? 0;
  const cold = fields.get('cold') ?? 0;
  const isValid = [inFlight, queued, cold].every(
    (number) => Number.isSafeInteger(number) && (number ?? -1) >= 0,
  );
  return isValid && inFlight !== undefined ? { inFlight, queued, cold: cold === 1 } : undefined;
}

/** Parses the head of an upstream's response from the raw header fields of the HTTP client. */
export function readUpstreamResponseHead(
  status: number,
  statusText: string,
  raw: readonly Buffer[],
): UpstreamResponseHead {
  const headers: string[] = [];
  let connection = '';
  let notRun = false;
  let load: LoadReport | undefined;
  let hasFraming = false;
  let index = 0;
  while (index + 1 < raw.length) {
    const name = raw[index]?.toString('latin1') ?? '';
    const value = raw[index + 1]?.toString('latin1') ?? '';
    const lower = name.toLowerCase();
    if (lower === 'connection') connection = connection === '' ? value : `${connection},${value}`;
    else if (lower === LOAD_HEADER) load = parseLoad(value);
    else if (lower === NOT_RUN_HEADER) notRun = value === '1';
    if (lower === 'content-length' || lower === 'transfer-encoding') hasFraming = true;
    if (!DROPPED_FROM_RESPONSE.has(lower)) headers.push(name, value);
    index += 2;
  }
  const connectionFields = connection === '' ? undefined : parseConnection(connection);
  const forwarded =
    connectionFields === undefined ? headers : dropConnectionFields(headers, connectionFields);
  return { status, statusText, headers: forwarded, notRun, load, hasFraming };
}

function dropConnectionFields(
  headers: HeaderList,
  connectionFields: ReadonlySet<string>,
): HeaderList {
  return headers.filter(
    (_, index) => !connectionFields.has((headers[index - (index % 2)] ?? '').toLowerCase()),
  );
}
