/** Validates the head of a caller's request. Invariant: an accepted head is within all published limits. */
import type { IncomingMessage } from 'node:http';
import { Err, Ok, type Result } from 'ts-results-es';
import type { Criticality, Duration } from '../model/index.js';
import { CRITICALITY_HEADER, DEADLINE_HEADER, HOPS_HEADER, KEY_HEADER } from './headers.js';
import {
  DEFAULT_DEADLINE,
  MAX_DEADLINE,
  MAX_HEADER_COUNT,
  MAX_HOPS,
  MAX_KEY_LENGTH,
  MAX_TARGET_LENGTH,
} from './limits.js';
import type { RequestFault } from './refusal.js';
import { parseTarget, type Target } from './target.js';

/** Methods that are forwarded. */
export type Method = 'GET' | 'HEAD' | 'OPTIONS' | 'PUT' | 'DELETE' | 'POST' | 'PATCH';

/** How the body of a request is delimited; `length` is undefined for chunked encoding. */
export type BodyFraming =
  { readonly kind: 'none' } | { readonly kind: 'body'; readonly length: number | undefined };

/** The validated head of a caller's request. */
export interface CallHead {
  readonly method: Method;
  readonly target: Target;
  readonly idempotent: boolean;
  readonly deadline: Duration;
  readonly criticality: Criticality;
  readonly hops: number;
  /** The idempotency key; ignored for methods that are idempotent anyway. */
  readonly key: string | undefined;
  readonly framing: BodyFraming;
}

/** Maps each forwarded method to whether it is idempotent. */
const methods: ReadonlyMap<string, boolean> = new Map([
  ['GET', true],
  ['HEAD', true],
  ['OPTIONS', true],
  ['PUT', true],
  ['DELETE', true],
  ['POST', false],
  ['PATCH', false],
]);

const DECIMAL = /^\d{1,15}$/;
const KEY_PATTERN = /^[\x21-\x7e]+$/;

function isMethod(text: string): text is Method {
  return methods.has(text);
}

function getSingle(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value.join(',') : value;
}

function parseDeadline(value: string | undefined): Duration | undefined {
  if (value === undefined) return DEFAULT_DEADLINE;
  const deadline = DECIMAL.test(value) ? Number(value) : 0;
  return deadline >= 1 && deadline <= MAX_DEADLINE ? deadline : undefined;
}

function parseCriticality(value: string | undefined): Criticality | undefined {
  if (value === undefined) return 'interactive';
  return value === 'interactive' || value === 'batch' ? value : undefined;
}

function parseHops(value: string | undefined): number | undefined {
  if (value === undefined) return 0;
  return DECIMAL.test(value) ? Number(value) : undefined;
}

function readFraming(request: IncomingMessage): BodyFraming | undefined {
  const length = request.headers['content-length'];
  const encoding = request.headers['transfer-encoding'];
  if (encoding !== undefined) {
    const isValid = length === undefined && encoding.toLowerCase() === 'chunked';
    return isValid ? { kind: 'body', length: undefined } : undefined;
  }
  if (length === undefined || length === '0') return { kind: 'none' };
  return DECIMAL.test(length) ? { kind: 'body', length: Number(length) } : undefined;
}

function hasOneHost(raw: readonly string[]): boolean {
  const isHost = (text: string): boolean => text.length === 4 && text.toLowerCase() === 'host';
  return raw.filter((text, index) => index % 2 === 0 && isHost(text)).length === 1;
}

function hasValidKey(key: string | undefined): boolean {
  return key === undefined || (key.length <= MAX_KEY_LENGTH && KEY_PATTERN.test(key));
}

/**
 * Returns the validated head of a request, or the fault that the caller must correct.
 *
 * @example
 * const head = readHead(request);
 * if (head.isErr()) writeRefusal(response, { kind: 'fault', fault: head.error });
 */
export function readHead(request: IncomingMessage): Result<CallHead, RequestFault> {
  const url = request.url ?? '';
  const method = request.method ?? '';
  if (request.httpVersion !== '1.1') return Err('badVersion');
  if (!isMethod(method)) return Err('badMethod');
  if (url.length > MAX_TARGET_LENGTH) return Err('targetTooLong');
  if (request.rawHeaders.length > 2 * MAX_HEADER_COUNT) return Err('tooManyHeaders');
  if (!hasOneHost(request.rawHeaders)) return Err('badHost');
  const framing = readFraming(request);
  if (framing === undefined) return Err('badFraming');
  const target = parseTarget(url);
  if (target === undefined) return Err('badTarget');
  const deadline = parseDeadline(getSingle(request, DEADLINE_HEADER));
  if (deadline === undefined) return Err('badDeadline');
  const criticality = parseCriticality(getSingle(request, CRITICALITY_HEADER));
  if (criticality === undefined) return Err('badCriticality');
  const hops = parseHops(getSingle(request, HOPS_HEADER));
  if (hops === undefined) return Err('badHops');
  if (hops >= MAX_HOPS) return Err('tooManyHops');
  const key = getSingle(request, KEY_HEADER);
  if (!hasValidKey(key)) return Err('badKey');
  const idempotent = methods.get(method) === true;
  const effectiveKey = idempotent ? undefined : key;
  const head = {
    method,
    target,
    idempotent,
    deadline,
    criticality,
    hops,
    key: effectiveKey,
    framing,
  };
  return Ok(head);
}
