/**
 * Reads what upstreams state about themselves in the heads of their responses. Invariant: a value that can't be
 * interpreted states nothing.
 */
import { getHeader, type HeaderList } from '../http1/index.js';
import type { Duration, Instant } from '../model/index.js';
import type { HeaderDialect, UpstreamRecord } from './types.js';

/** Longest time in milliseconds for which an upstream may keep requests away; a longer one is taken for a mistake. */
const MAX_RETRY_AFTER: Duration = 600_000;

/**
 * Parses the requests per second that an upstream takes from all gateways together.
 *
 * @example
 * parseLimit('6.9') // 6.9
 */
export function parseLimit(text: string | undefined): number | undefined {
  const limit = text === undefined || text === '' ? NaN : Number(text);
  return Number.isFinite(limit) && limit >= 0 ? limit : undefined;
}

/** Returns the milliseconds of a `Retry-After` header in seconds, which may have a fraction; 0 without a usable one. */
function parseRetryAfter(text: string | undefined): Duration {
  const time = Number(text ?? '') * 1000;
  return time > 0 ? Math.min(time, MAX_RETRY_AFTER) : 0;
}

/**
 * Records that the upstream is leaving, or for how long it wants no requests from this gateway, as far as the head of
 * a response says so.
 *
 * @example
 * recordTurningAway(record, { status: 503, headers: [['Retry-After', '2.5']] }, dialect, 1000); // until 3500
 */
export function recordTurningAway(
  record: UpstreamRecord,
  { status, headers }: { readonly status: number; readonly headers: HeaderList },
  dialect: HeaderDialect,
  now: Instant,
): void {
  if (getHeader(headers, dialect.leaving) === '1') record.isLeaving = true;
  if (status !== 503) return;
  const time = parseRetryAfter(getHeader(headers, 'retry-after'));
  record.retryAfter = Math.max(record.retryAfter, now + time);
}
