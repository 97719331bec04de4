/**
 * Collects the evidence by which the leader evaluates new versions. Invariant: an attempt is
 * counted once, and only for a service with a version move in progress.
 */
import type { Duration } from '../model/index.js';
import { mergeEvidence, toEvidenceRow, type EvidenceRow } from '../rollout/index.js';

/** Evidence from the attempts since the last collection. */
export class EvidenceCollector {
  #rows: readonly EvidenceRow[] = [];

  /** Counts an attempt. `latency` is normalized to the normal pace of a VM. */
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

  /** Returns the collected rows and resets the collector. */
  collect(): readonly EvidenceRow[] {
    const rows = this.#rows;
    this.#rows = [];
    return rows;
  }
}
