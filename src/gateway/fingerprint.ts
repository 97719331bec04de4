/**
 * Fingerprints of requests, by which a request that crashes upstreams is recognized when it comes again at any
 * gateway. Invariant: requests that an upstream can't tell apart have the same fingerprint, and a fingerprint takes
 * bounded time, whatever the length of the body.
 */
import { createHash, type Hash } from 'node:crypto';
import { getHeader } from '../http1/index.js';
import type { GatewayRequest } from './types.js';

/** Length of a fingerprint in bytes; among a million requests, one in 280 million is taken for another. */
const FINGERPRINT_BYTES = 6;
/** Longest body in bytes that is hashed whole; some 60 microseconds. */
const MAX_HASHED_BODY = 65_536;
/** Number of evenly spaced parts of a longer body that are hashed. */
const SAMPLE_COUNT = 16;
/** Length of each of these parts in bytes. */
const SAMPLE_BYTES = 4096;
/**
 * Headers that name the caller to the upstream. The caller's address isn't passed on, so it makes no difference
 * to the upstream.
 */
const CALLER_HEADERS = ['authorization', 'cookie'] as const;

/** Adds the body's length, and the body or evenly spaced parts of it, the first and the last among them. */
function addBody(hash: Hash, body: Buffer): void {
  hash.update(`${body.length}\n`);
  if (body.length <= MAX_HASHED_BODY) {
    hash.update(body);
    return;
  }
  const step = (body.length - SAMPLE_BYTES) / (SAMPLE_COUNT - 1);
  Array.from({ length: SAMPLE_COUNT }, (_, index) => Math.floor(index * step)).forEach((start) => {
    hash.update(body.subarray(start, start + SAMPLE_BYTES));
  });
}

/**
 * Returns the fingerprint of a request: its method, host, target, caller and body.
 *
 * @example
 * computeFingerprint(request) // 'q83vEjRW'
 */
export function computeFingerprint(
  request: Pick<GatewayRequest, 'method' | 'target' | 'headers' | 'body' | 'account'>,
): string {
  const { method, target, headers, body, account } = request;
  const hash = createHash('sha1');
  const host = (getHeader(headers, 'host') ?? '').toLowerCase();
  const caller = CALLER_HEADERS.map((name) => getHeader(headers, name) ?? '');
  // The account's name is sent instead of the key; all keys of an account look alike to the upstream.
  const owner = account === undefined ? [] : [account];
  hash.update(JSON.stringify([method, host, target, ...caller, ...owner]));
  addBody(hash, body);
  return hash.digest().subarray(0, FINGERPRINT_BYTES).toString('base64');
}
