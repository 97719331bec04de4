/**
 * Finds out which of the seeds form the group at the first start of a site. Invariant: all founders find the
 * same members, as a seed with a disk is never left out, and one without a disk always is.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { decodeMessage, FEED_CHANNEL, type FeedMessage } from '../feed/index.js';
import type { Address, Duration } from '../model/index.js';
import type { Mesh } from '../wire/index.js';

/** Interval in milliseconds at which the other seeds are asked. */
const QUERY_INTERVAL: Duration = 200;

/**
 * Asks the other seeds until each has told whether it has a disk, and returns those that have one. The seeds don't change
 * meanwhile: founders with different lists could found two groups.
 *
 * @example
 * await findFounders(mesh, ['10.1.0.18:7200', '10.2.0.34:7200', '10.3.0.12:7200']) // without the diskless ones
 */
export async function findFounders(
  mesh: Mesh,
  seeds: readonly Address[],
): Promise<readonly Address[]> {
  const hasDisk = new Map<Address, boolean>([[mesh.address, true]]);
  mesh.handle(FEED_CHANNEL, (from, message) => {
    const received = decodeMessage(message);
    if (received.kind === 'found') hasDisk.set(from, received.hasDisk);
    if (received.kind !== 'find') return;
    mesh.send(from, FEED_CHANNEL, {
      ...{ kind: 'found', hasDisk: true, members: [], healthy: false, leader: undefined },
    } satisfies FeedMessage);
  });
  while (seeds.some((seed) => !hasDisk.has(seed))) {
    seeds
      .filter((seed) => !hasDisk.has(seed))
      .forEach((seed) => {
        mesh.send(seed, FEED_CHANNEL, { kind: 'find' } satisfies FeedMessage);
      });
    await sleep(QUERY_INTERVAL);
  }
  return seeds.filter((seed) => hasDisk.get(seed) === true);
}
