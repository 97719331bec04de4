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

const RENEW_MS = 2000;
const FIRST_PORT = 20_000;

/** Starts renewing; the returned function stops it. */
export function startAnnouncer(options: AnnouncerOptions): () => Promise<void> {
  const pools = options.entries.map((entry) => new Pool(`http://${entry}`, { connections: 2 }));
  const startedAt = Date.now();
  const homes = Array.from({ length: options.upstreams }, (_, at) => at % pools.length);
  const announce = async (at: number): Promise<void> => {
    const home = homes[at] ?? 0;
    try {
      const answer = await pools[home]?.request({
        path: `/v1/upstreams/upstream-${at}`,
        method: 'PUT',
        headers: { authorization: `Bearer ${options.token}`, 'content-type': 'application/json' },
        body: JSON.stringify({
          service: `service-${at % options.services}`,
          version: 'v1',
          zone: options.zones[at % options.zones.length],
          labels: { team: `team-${at % 7}` },
          address: `127.0.0.1:${FIRST_PORT + at}`,
          slots: 6,
          max_connections: 250,
          incarnation: startedAt,
          age_ms: Date.now() - startedAt,
        }),
      });
      await answer?.body.text();
    } catch {
      homes[at] = (home + 1) % pools.length;
    }
  };
  const timers = homes.map((_, at) => {
    void announce(at);
    return setInterval(() => void announce(at), RENEW_MS);
  });
  return async () => {
    timers.forEach(clearInterval);
    await Promise.all(pools.map((pool) => pool.destroy()));
  };
}
