/**
 * Announces many upstreams that take no calls, to measure what announcements cost.
 * Invariant: each upstream renews at the usual interval with one entry, and moves to another when that fails.
 */
import { Pool } from 'undici';

/** What {@link startAnnouncer} needs. */
export interface AnnouncerOptions {
  readonly upstreams: number;
  readonly services: number;
  readonly zones: readonly string[];
  /** Addresses of the entries' listeners for announcements. */
  readonly entries: readonly string[];
  readonly token: string;
}

const ANNOUNCE_INTERVAL_MS = 2000;
const FIRST_PORT = 20_000;

/** Starts renewing; the returned function stops it. */
export function startAnnouncer(options: AnnouncerOptions): () => Promise<void> {
  const pools = options.entries.map((entry) => new Pool(`http://${entry}`, { connections: 2 }));
  const startedAt = Date.now();
  const entryIndexes = Array.from(
    { length: options.upstreams },
    (_, index) => index % pools.length,
  );
  const announce = async (index: number): Promise<void> => {
    const entryIndex = entryIndexes[index] ?? 0;
    try {
      const answer = await pools[entryIndex]?.request({
        path: `/v1/upstreams/upstream-${index}`,
        method: 'PUT',
        headers: { authorization: `Bearer ${options.token}`, 'content-type': 'application/json' },
        body: JSON.stringify({
          service: `service-${index % options.services}`,
          version: 'v1',
          zone: options.zones[index % options.zones.length],
          labels: { team: `team-${index % 7}` },
          address: `127.0.0.1:${FIRST_PORT + index}`,
          slots: 6,
          max_connections: 250,
          incarnation: startedAt,
          age_ms: Date.now() - startedAt,
        }),
      });
      await answer?.body.text();
    } catch {
      entryIndexes[index] = (entryIndex + 1) % pools.length;
    }
  };
  const timers = entryIndexes.map((_, index) => {
    void announce(index);
    return setInterval(() => void announce(index), ANNOUNCE_INTERVAL_MS);
  });
  return async () => {
    timers.forEach(clearInterval);
    await Promise.all(pools.map((pool) => pool.destroy()));
  };
}
