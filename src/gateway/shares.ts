/**
 * Chooses the version of a service that a request goes to during a version move. Invariant: after
 * any number of requests, the number assigned to the new version is within one request of its
 * share.
 */
import type { VersionShare } from '../catalog/index.js';

/** Splits the requests of one gateway between the stable and the next version of a service. */
export class VersionSplitter {
  readonly #credits = new Map<string, number>();

  /** Returns the version for the next request; undefined means any version. */
  pickVersion(service: string, { stable, next, share }: VersionShare): string | undefined {
    if (next === undefined || share <= 0) return stable;
    if (share >= 1) return next;
    const credit = (this.#credits.get(service) ?? Math.random()) + share;
    this.#credits.set(service, credit >= 1 ? credit - 1 : credit);
    return credit >= 1 ? next : stable;
  }
}

/**
 * Returns the version for an attempt of a request that was given a version earlier: the same one as long as it may get
 * requests, else the stable one, as requests wait and are repeated for seconds.
 *
 * @example
 * resolveVersion('v2', { stable: 'v1', next: undefined, share: 0 }) // 'v1', as v2 was rolled back
 */
export function resolveVersion(
  version: string | undefined,
  { stable, next }: VersionShare,
): string | undefined {
  return version === undefined || version === next ? version : stable;
}
