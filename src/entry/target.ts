/** Parses the request target of a call. Invariant: the forwarded path begins with a slash. */

/** The parts of `/{service}/{path}`. */
export interface Target {
  readonly service: string;
  /** Path and query that are sent to the upstream. */
  readonly path: string;
  /** The first path segment after the service. */
  readonly route: string;
}

const SERVICE_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/;

function findSegmentEnd(text: string, from: number): number {
  const slash = text.indexOf('/', from);
  const query = text.indexOf('?', from);
  const ends = [slash, query].filter((index) => index >= 0);
  return ends.length === 0 ? text.length : Math.min(...ends);
}

/**
 * Parses an origin-form target; returns undefined if it has no valid service name.
 *
 * @example
 * parseTarget('/seam-records/batches/7?full=1');
 * // { service: 'seam-records', path: '/batches/7?full=1', route: 'batches' }
 */
export function parseTarget(url: string): Target | undefined {
  if (!url.startsWith('/') || url.includes('#')) return undefined;
  const serviceEnd = findSegmentEnd(url, 1);
  const service = url.slice(1, serviceEnd);
  if (!SERVICE_PATTERN.test(service)) return undefined;
  const rest = url.slice(serviceEnd);
  const path = rest.startsWith('/') ? rest : `/${rest}`;
  return { service, path, route: path.slice(1, findSegmentEnd(path, 1)) };
}
