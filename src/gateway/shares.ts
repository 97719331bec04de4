/**
 * Decides which version of a service a request goes to while its traffic is moved. Invariant: after any
 * number of requests the new version has had its share to within one request.
 */
import type { VersionShare } from '../catalog/index.js';

/** Deals the requests of one gateway out to versions. */
export class VersionSplitter {
  readonly #credits = new Map<string, number>();

  /** Returns the version of the next request; undefined stands for any. */
  pickVersion(service: string, { stable, next, share }: VersionShare): string | undefined {
    if (next === undefined || share <= 0) return stable;
    if (share >= 1) return next;
    const credit = (this.#credits.get(service) ?? Math.random()) + share;
    this.#credits.set(service, credit >= 1 ? credit - 1 : credit);
    return credit >= 1 ? next : stable;
  }
}
