/**
 * Responses that the entry sends itself. Invariant: `x-chivewalk-not-run: 1` is only sent for a request
 * that no upstream ran.
 */
import type { ServerResponse } from 'node:http';
import type { Duration } from '../model/index.js';
import type { AttemptFailure, RefusalReason } from '../routing/types.js';
import { NOT_RUN_HEADER, OUTCOME_HEADER } from './headers.js';

/** Why a request is invalid and was not forwarded. */
export type RequestFault =
  | 'badTarget'
  | 'targetTooLong'
  | 'tooManyHeaders'
  | 'badFraming'
  | 'badHost'
  | 'badMethod'
  | 'badVersion'
  | 'badDeadline'
  | 'badCriticality'
  | 'badHops'
  | 'tooManyHops'
  | 'badKey'
  | 'bodyTooLarge'
  | 'keyMismatch';

/** A response of the entry itself. */
export type Refusal =
  | { readonly kind: 'fault'; readonly fault: RequestFault }
  | {
      readonly kind: 'notRun';
      readonly reason: RefusalReason | 'claimUnavailable';
      readonly retryAfter: Duration;
    }
  | { readonly kind: 'unknown'; readonly failure: AttemptFailure | 'answerLost' }
  | { readonly kind: 'running' };

interface Explanation {
  readonly status: number;
  readonly message: string;
}

const faultExplanations: Readonly<Record<RequestFault, Explanation>> = {
  badTarget: { status: 404, message: 'No service is named: call /{service}/{path}.' },
  targetTooLong: { status: 414, message: 'The target is too long: keep it under 8192 characters.' },
  tooManyHeaders: { status: 431, message: 'Too many header fields: send at most 100.' },
  badFraming: {
    status: 400,
    message: 'The framing is ambiguous: send exactly one Content-Length or chunked encoding.',
  },
  badHost: { status: 400, message: 'Send exactly one Host field.' },
  badMethod: {
    status: 405,
    message: 'The method is not forwarded: use GET, HEAD, OPTIONS, PUT, DELETE, POST or PATCH.',
  },
  badVersion: { status: 505, message: 'Use HTTP/1.1.' },
  badDeadline: {
    status: 400,
    message: 'x-chivewalk-deadline-ms must be a whole number from 1 to 600000.',
  },
  badCriticality: {
    status: 400,
    message: 'x-chivewalk-criticality must be interactive or batch.',
  },
  badHops: { status: 400, message: 'x-chivewalk-hops must be a whole number.' },
  tooManyHops: { status: 508, message: 'The call passed 16 entries: look for services in a loop.' },
  badKey: {
    status: 400,
    message: 'idempotency-key must be one field of 1 to 128 visible ASCII characters.',
  },
  bodyTooLarge: {
    status: 413,
    message: 'A body with an idempotency-key is too large: keep it under 262144 bytes.',
  },
  keyMismatch: {
    status: 422,
    message: 'The idempotency-key was used for another request: choose a new key.',
  },
};

const refusalExplanations: Readonly<Record<RefusalReason | 'claimUnavailable', Explanation>> = {
  noUpstream: { status: 503, message: 'No upstream of the service is available: try again later.' },
  overloaded: { status: 503, message: 'The service is overloaded: try again later.' },
  deadlineTooShort: { status: 503, message: 'The deadline passed first: allow more time.' },
  fingerprintCondemned: {
    status: 429,
    message: 'This request crashed upstreams and is refused for a while: do not send it again.',
  },
  retriesSpent: { status: 503, message: 'No upstream accepted the request: try again later.' },
  stale: {
    status: 503,
    message: 'This entry lost touch with the site: ask for addresses and use another.',
  },
  claimUnavailable: {
    status: 503,
    message: 'The idempotency-key cannot be claimed at present: try again with the same key.',
  },
};

const MILLISECONDS_PER_SECOND = 1000;

/** Returns the status, the fields of the JSON body, and the additional header fields of a refusal. */
export function describeRefusal(refusal: Refusal): {
  readonly status: number;
  readonly headers: readonly string[];
  readonly reason: string;
  readonly message: string;
} {
  switch (refusal.kind) {
    case 'fault':
      return {
        ...faultExplanations[refusal.fault],
        headers: [NOT_RUN_HEADER, '1'],
        reason: refusal.fault,
      };
    case 'notRun': {
      const seconds = Math.ceil(refusal.retryAfter / MILLISECONDS_PER_SECOND);
      const retry = refusal.retryAfter > 0 ? ['retry-after', String(seconds)] : [];
      return {
        ...refusalExplanations[refusal.reason],
        headers: [NOT_RUN_HEADER, '1', ...retry],
        reason: refusal.reason,
      };
    }
    case 'unknown':
      return {
        status: refusal.failure === 'timedOut' ? 504 : 502,
        headers: [OUTCOME_HEADER, 'unknown'],
        reason: refusal.failure,
        message:
          'The request may have run and its answer is lost: repeat it only if it is idempotent or keyed.',
      };
    case 'running':
      return {
        status: 409,
        headers: [OUTCOME_HEADER, 'running'],
        reason: 'running',
        message: 'The first request with this idempotency-key is running: ask again later.',
      };
  }
}

/** Writes a refusal as the complete response and returns its status. */
export function writeRefusal(response: ServerResponse, refusal: Refusal): number {
  const { status, headers, reason, message } = describeRefusal(refusal);
  const body = Buffer.from(`${JSON.stringify({ reason, message })}\n`);
  const fields = ['content-type', 'application/json', 'content-length', String(body.length)];
  response.writeHead(status, [...fields, ...headers]);
  response.end(body);
  return status;
}
