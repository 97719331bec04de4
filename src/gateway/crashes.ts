/**
 * Tells which requests were in flight on an upstream that crashed. Invariant: a crash counts only if nothing listens
 * at the upstream's address right after the connection was lost, and each upstream is checked once at a time.
 */
import type { Instant } from '../model/index.js';
import { hasProcessEnded } from '../quarantine/index.js';
import { createLogger } from '../telemetry/index.js';
import { computeFingerprint } from './fingerprint.js';
import type { GatewayRequest, UpstreamRecord } from './types.js';

const log = createLogger('quarantine');

/** Checks upstreams that lost the connection of a request. */
export class CrashChecks {
  readonly #now: () => Instant;
  readonly #checks = new Map<UpstreamRecord, string[]>();
  /** Number of upstreams that crashed while this gateway had requests in flight there. */
  crashes = 0;

  constructor(now: () => Instant) {
    this.#now = now;
  }

  /** Checks whether the upstream crashed that lost the connection of a request. */
  addLoss(request: GatewayRequest, record: UpstreamRecord): void {
    const fingerprint = computeFingerprint(request);
    const running = this.#checks.get(record);
    if (running !== undefined) {
      running.push(fingerprint);
      return;
    }
    const fingerprints = [fingerprint];
    this.#checks.set(record, fingerprints);
    const startedAt = this.#now();
    void hasProcessEnded(record.instance.address).then((hasEnded) => {
      this.#checks.delete(record);
      if (hasEnded) this.crashes += 1;
      log.info('upstream lost connections', {
        ...{ upstream: record.instance.id, hasEnded, fingerprints: [...new Set(fingerprints)] },
        elapsedMs: Math.round(this.#now() - startedAt),
      });
    });
  }
}
