/**
 * Collects what the leader judges new versions by. Invariant: an attempt is counted once, and only for a
 * service whose traffic is being moved.
 */
import type { Duration } from '../model/index.js';
import { mergeEvidence, toEvidenceRow, type EvidenceRow } from '../rollout/index.js';

/** What attempts showed since the last collection. */
export class EvidenceCollector {
  #rows: readonly EvidenceRow[] = [];

  /** Counts an attempt; `latency` is what it would have been at the usual pace of the VM. */
  addAttempt(
    service: string,
    version: string,
    route: string,
    failed: boolean,
    latency: Duration,
  ): void {
    this.#rows = mergeEvidence(this.#rows, [
      toEvidenceRow({ service, version, route, failed, latency }),
    ]);
  }

  /** Returns the rows and begins anew. */
  collect(): readonly EvidenceRow[] {
    const rows = this.#rows;
    this.#rows = [];
    return rows;
  }
}
