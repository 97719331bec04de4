/**
 * Decides which idle connections to upstreams are kept open by a probe. Invariant: the decision depends only
 * on the arguments, and at most one connection to an upstream is kept for each gateway.
 *
 * Where a gateway has a few requests a second for many upstreams, most connections reach their idle timeout
 * before the next request, and a new connection delays requests and takes a slot of the upstream for a
 * moment. A probe on an open connection costs little, and also refreshes the load report.
 */
import type { Duration, Instant } from '../model/index.js';
import type { UpstreamRecord } from './types.js';

/** Milliseconds before its expiry at which an idle connection is used for a probe. */
const UPKEEP_MARGIN: Duration = 1200;
/** Milliseconds after the last request to an upstream for which a connection to it is kept. */
const UPKEEP_TIME: Duration = 20_000;

/**
 * Returns whether a connection to the upstream that expires in `idleTime` milliseconds is kept open.
 *
 * @example
 * isUpkeepDue(record, 900, now) // true if a request was sent to the upstream a few seconds ago
 */
export function isUpkeepDue(record: UpstreamRecord, idleTime: Duration, now: Instant): boolean {
  const isUsable =
    !record.isProbing &&
    !record.instance.draining &&
    !record.isLeaving &&
    Math.max(
      ...[record.coldUntil, record.blockedUntil, record.unreachableUntil, record.retryAfter],
    ) <= now;
  return isUsable && idleTime <= UPKEEP_MARGIN && now - record.lastSentAt <= UPKEEP_TIME;
}
