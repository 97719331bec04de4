/** Brings a site up until its gateways serve two services, `records` on a safe route and `orders` on an unsafe one. */
import assert from 'node:assert/strict';
import { Site, waitUntil } from './site.js';

export const safeRoute = {
  name: 'r-safe',
  path_prefix: '/records/',
  kind: 'safe',
  timeout: '800ms',
  target_latency: '200ms',
  priority: 2,
  service: 'records',
  max_attempts: 2,
};
export const unsafeRoute = {
  ...safeRoute,
  name: 'r-unsafe',
  path_prefix: '/orders/',
  kind: 'unsafe',
  priority: 1,
  service: 'orders',
};

/** Adds an upstream of each service in each zone, sends the routes, and waits until every gateway serves them. */
export async function serveTwoServices(
  site: Site,
  routes: readonly Readonly<Record<string, unknown>>[],
): Promise<void> {
  const placements = site.zones.flatMap((_, zoneIndex) => [
    ['records', zoneIndex, 1] as const,
    ['orders', zoneIndex, 2] as const,
  ]);
  await Promise.all(
    placements.map(([service, zoneIndex, number]) => site.addUpstream(service, zoneIndex, number)),
  );
  const answer = await site.putRoutes(routes);
  assert.equal(answer.status, 200, answer.body);
  await waitUntil('all upstreams are acknowledged', () =>
    site.upstreams.every(({ acknowledgedHeartbeats }) => acknowledgedHeartbeats > 0),
  );
  await waitUntil('all gateways are ready', async () => {
    const ready = await Promise.all(site.ips.map((ip) => site.isReady(ip)));
    return ready.every(Boolean);
  });
  await waitUntil('the directory names all gateways', async () => {
    const known = await Promise.all(site.ips.map(() => site.resolve('nowhere')));
    return known.every((addresses) => addresses.length === site.ips.length);
  });
  await waitUntil('each gateway serves both routes', async () => {
    const answers = await Promise.all(
      site.ips.flatMap((ip) => [
        site.call(ip, '/records/0'),
        site.call(ip, '/orders/0', { method: 'POST', body: 'x' }),
      ]),
    );
    return answers.every(({ status }) => status === 200);
  });
}
