/** Builds requests from admitted ones. Invariant: a request is answered by its caller's deadline and its route's timeout. */
import type { VersionShare } from '../catalog/index.js';
import type { Duration } from '../model/index.js';
import type { AdmittedRequest } from './admission.js';
import type { GatewayRequest } from './types.js';

/** Longest time in milliseconds that a request may take; longer timers would fire at once. */
const MAX_TIMEOUT: Duration = 2 ** 31 - 1;

/** Where a request goes, and for how long its caller waits. */
export interface RequestDestination {
  /** The service that the split of the route assigned the request to. */
  readonly service: string;
  readonly version: string | undefined;
  readonly share: VersionShare;
  /** Milliseconds for which the caller waits; undefined if it doesn't say. */
  readonly timeLimit: Duration | undefined;
}

/**
 * Builds a request.
 *
 * @example
 * buildRequest(admitted, { service: 'records', version: undefined, share, timeLimit: 500 }).deadline
 */
export function buildRequest(
  { request, id, route, matchedAt, access }: AdmittedRequest,
  { service, version, share, timeLimit = Infinity }: RequestDestination,
): GatewayRequest {
  const { head, body, hasBody, arrivedAt, peer } = request;
  return {
    id,
    method: head.method,
    target: head.target,
    ...access,
    body,
    hasBody,
    route,
    service,
    version,
    retryVersion: share.next !== undefined && share.share < 1 ? share.stable : version,
    peer,
    arrivedAt,
    // The route's timeout begins when the request is first matched, which may be after a wait for the routes.
    deadline: Math.min(arrivedAt + timeLimit, matchedAt + Math.min(route.timeout, MAX_TIMEOUT)),
  };
}
