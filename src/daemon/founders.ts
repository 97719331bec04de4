/**
 * Finds out which of the seeds form the group at the first start of a site. Invariant: all founders find the
 * same members, as a seed with a disk is never left out, and one without a disk always is; and a seed that came back
 * without a group takes part in the founding only while every other seed with a disk is still founding, so that no group
 * can have committed anything.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { decodeMessage, FEED_CHANNEL, type FeedMessage } from '../feed/index.js';
import type { Address, Duration } from '../model/index.js';
import type { Mesh } from '../wire/index.js';

/** Interval in milliseconds at which the other seeds are asked. */
const QUERY_INTERVAL: Duration = 200;
/** Number of processes besides the seeds that are asked. */
const MAX_ASKERS = 8;

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
      isFounding: true,
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

/** The addresses of the members with which a steward starts, and whether it is one of the founders. */
export interface StartMembers {
  readonly members: readonly Address[];
  readonly isFounder: boolean;
}

/** What a seed tells of itself to one that looks for the group. */
type SeedReport = 'founding' | 'looking' | 'diskless';

/**
 * Asks the other seeds, and processes that look for members here, for the members of the group until one of them names
 * them. A seed that came back before there was a group becomes a founder: those that were there at the first start wait for it.
 *
 * @example
 * await findGroup(mesh, () => ['10.1.0.18:7200', '10.2.0.34:7200']) // { members: [...], isFounder: false }
 */
export async function findGroup(
  mesh: Mesh,
  getSeeds: () => readonly Address[],
): Promise<StartMembers> {
  const reports = new Map<Address, SeedReport>();
  // A member without a leader asks its former peers; all seeds may have lost their disks.
  let askers: readonly Address[] = [];
  let members: readonly Address[] = [];
  mesh.handle(FEED_CHANNEL, (from, message) => {
    const received = decodeMessage(message);
    if (received.kind === 'found') {
      const { hasDisk, isFounding = false } = received;
      if (!isFounding && received.members.length > 0) members = received.members;
      const report = isFounding ? 'founding' : 'looking';
      reports.set(from, hasDisk ? report : 'diskless');
    }
    if (received.kind !== 'find') return;
    askers = [...new Set([...askers, from])].slice(-MAX_ASKERS);
    mesh.send(from, FEED_CHANNEL, {
      ...{ kind: 'found', hasDisk: true, members: [], healthy: false, leader: undefined },
    } satisfies FeedMessage);
  });
  let founders: readonly Address[] = [];
  while (members.length === 0 && founders.length === 0) {
    // Reports of an earlier round may be outdated.
    reports.clear();
    const seeds = getSeeds();
    const others = seeds.filter((seed) => seed !== mesh.address);
    [...new Set([...others, ...askers])].forEach((asked) => {
      mesh.send(asked, FEED_CHANNEL, { kind: 'find' } satisfies FeedMessage);
    });
    await sleep(QUERY_INTERVAL);
    const withDisk = others.filter((seed) => reports.get(seed) !== 'diskless');
    const isFounder =
      seeds.includes(mesh.address) &&
      withDisk.length > 0 &&
      withDisk.every((seed) => reports.get(seed) === 'founding');
    if (isFounder) founders = [...withDisk, mesh.address];
  }
  return members.length > 0
    ? { members, isFounder: false }
    : { members: founders, isFounder: true };
}
