/**
 * Announces many upstreams that receive no calls, to measure the cost of announcements.
 * Invariant: each upstream announces itself to one entry at the default interval, and switches to the next entry when
 * an announcement fails.
 */
import { Pool } from 'undici';

/** Options of {@link startAnnouncer}. */
export interface AnnouncerOptions {
  readonly upstreams: number;
  readonly services: number;
  readonly zones: readonly string[];
  /** Addresses on which the entries accept announcements. */
  readonly entries: readonly string[];
  readonly token: string;
}

const ANNOUNCE_INTERVAL_MS = 2000;
const FIRST_PORT = 20_000;

/** Starts announcing; the returned function stops it and closes the connections. */
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
