/** Computes digests that identify requests. Invariant: equal requests have equal digests. */
import { createHash } from 'node:crypto';
import type { RequestBody } from './body.js';
import type { CallHead } from './head.js';

function describeRequest({ method, target }: CallHead): string {
  return `${method} ${target.service} ${target.path}\n`;
}

/** Up to this many characters, a request without a body is its own fingerprint and is not hashed. */
const MAX_PLAIN_FINGERPRINT_LENGTH = 128;

/** Returns the fingerprint by which a retry of a request that crashes upstreams is recognized. */
export function computeFingerprint(head: CallHead, body: RequestBody): string {
  const request = describeRequest(head);
  if (head.framing.kind === 'none' && request.length <= MAX_PLAIN_FINGERPRINT_LENGTH)
    return request.trimEnd();
  return createHash('sha1').update(request).update(body.prefix).digest('base64');
}

/** Returns the digest that shows whether a reused idempotency key carries the same request. */
export function computeDigest(head: CallHead, body: RequestBody): string {
  return createHash('sha256').update(describeRequest(head)).update(body.content).digest('base64');
}
