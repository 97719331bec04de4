/**
 * Watches the group on behalf of a steward that knows no leader, and tells the seeds of it on behalf of the leader. Invariant: a member is reported as replaced only after
 * {@link LEADERLESS_TIMEOUT} without a leader, and only on the word of a member whose state is current.
 */
import type { Catalog } from '../catalog/index.js';
import { toAddress, type ControlNode } from '../control/index.js';
import { FEED_CHANNEL, type FeedMessage, type GroupStatus } from '../feed/index.js';
import type { Address, Duration } from '../model/index.js';
import { createLogger } from '../telemetry/index.js';
import type { Mesh } from '../wire/index.js';
import type { CurrentSeeds } from './seeds.js';

const log = createLogger('daemon');

/** Number of gateways that are asked for the members at a time. */
const ASKED_GATEWAYS = 3;
/** Milliseconds without a leader after which a member asks whether it still belongs to the group. */
const LEADERLESS_TIMEOUT: Duration = 5000;
/** Interval in milliseconds of the queries about the group. */
const GROUP_QUERY_INTERVAL: Duration = 500;
/** Age in milliseconds up to which another member's word on the leader and the members counts; a few heartbeats. */
const MAX_REPORT_AGE: Duration = 1000;
/** Milliseconds for which a leader reported by another process is used; a few query intervals. */
const REPORTED_LEADER_TTL: Duration = 2000;

/** Options of {@link watchGroup}. */
export interface GroupWatchOptions {
  readonly node: ControlNode<Catalog>;
  readonly mesh: Mesh;
  readonly seeds: CurrentSeeds;
  /** Returns the addresses of the gateways that poll this steward. */
  readonly listGateways: () => readonly Address[];
  /** Called once when the group has replaced this member. */
  readonly onReplaced: () => void;
}

/** Result of {@link watchGroup}. */
export interface GroupWatch {
  readonly handleGroupStatus: (status: GroupStatus) => void;
  /** Returns the leader that another process reported within {@link REPORTED_LEADER_TTL}. */
  readonly findLeader: () => Address | undefined;
  close(): void;
}

/**
 * At the leader, tells the seeds that are no members who belongs to the group. Queries the seeds, the known members and a few gateways about the group while this steward knows no leader. A member that
 * was replaced while it was unreachable deletes its data and rejoins; it only accepts this from a group that has
 * a leader without it. A steward that was never admitted waits to be admitted, and redirects calls to the
 * leader in the meantime.
 *
 * @example
 * const group = watchGroup({ node, mesh, seeds, listGateways: () => [], onReplaced });
 * group.findLeader(); // '10.2.0.34:7200', or undefined
 */
export function watchGroup({
  node,
  mesh,
  seeds,
  listGateways,
  onReplaced,
}: GroupWatchOptions): GroupWatch {
  let leaderLastSeenAt = performance.now();
  let isReplaced = false;
  let reported: { readonly leader: Address | undefined; readonly receivedAt: number } | undefined;
  /** The newest list that any process has told. */
  let learned: { readonly members: readonly Address[]; readonly index: number } | undefined;
  let wasForming = true;
  /** The gateways that polled this steward last; they leave a member without a leader within a second. */
  let gateways: readonly Address[] = [];
  const isForming = (): boolean => node.status.role === 'newborn';
  const hasNoLeader = (): boolean => {
    const isAdmitted = wasForming && !isForming();
    if (node.status.leader !== undefined || isAdmitted) leaderLastSeenAt = performance.now();
    wasForming = isForming();
    return performance.now() - leaderLastSeenAt > LEADERLESS_TIMEOUT;
  };
  /** Seeds that are no members, as those without a disk, know nobody after all processes have restarted. */
  const tellSeeds = (): void => {
    const { members, membersIndex, healthy, age } = node.status;
    const addresses = members.map(({ id }) => toAddress(id));
    seeds.list
      .filter((seed) => !addresses.includes(seed))
      .forEach((seed) => {
        mesh.send(seed, FEED_CHANNEL, {
          ...{ kind: 'found', hasDisk: true, members: addresses, membersIndex },
          ...{ healthy, age, leader: mesh.address },
        } satisfies FeedMessage);
      });
  };
  const timer = setInterval(() => {
    if (node.status.role === 'leader') tellSeeds();
    const polling = listGateways();
    if (polling.length > 0) gateways = polling;
    if (!hasNoLeader() && !isForming()) return;
    const known = node.status.members.map(({ id }) => toAddress(id));
    [...new Set([...seeds.list, ...known, ...(learned?.members ?? []), ...pickSome(gateways)])]
      .filter((address) => address !== mesh.address)
      .forEach((address) => {
        mesh.send(address, FEED_CHANNEL, { kind: 'find' } satisfies FeedMessage);
      });
  }, GROUP_QUERY_INTERVAL).unref();
  return {
    close: () => {
      clearInterval(timer);
    },
    findLeader: () =>
      reported !== undefined && performance.now() - reported.receivedAt < REPORTED_LEADER_TTL
        ? reported.leader
        : undefined,
    handleGroupStatus: ({ members, membersIndex: index = 0, healthy, leader, age = Infinity }) => {
      if (members.length > 0 && (healthy || index >= (learned?.index ?? 0)))
        learned = { members, index };
      node.addKnownMembers(members);
      // What a member that lags says of the leader and of the members may be long past.
      if (!healthy || age > MAX_REPORT_AGE) return;
      reported = { leader, receivedAt: performance.now() };
      const known = node.status.members.map(({ id }) => toAddress(id));
      const isWaitingForAdmission = isForming() && members.some((member) => known.includes(member));
      if (isWaitingForAdmission || !hasNoLeader() || members.includes(mesh.address)) return;
      if (isReplaced) return;
      isReplaced = true;
      log.warn('the group replaced this member: deleting its data folder to rejoin', {
        members,
      });
      onReplaced();
    },
  };
}

/** Returns a few of the gateways at random, so that a steward without a leader floods none. */
function pickSome(gateways: readonly Address[]): readonly Address[] {
  const at = Math.floor(Math.random() * gateways.length);
  return [...gateways.slice(at), ...gateways.slice(0, at)].slice(0, ASKED_GATEWAYS);
}
