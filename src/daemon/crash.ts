/**
 * Looks whether an upstream that lost a connection has ended. Invariant: it makes at most
 * {@link MAX_CHECKS} connections a lost request, writes nothing to them, and reports exactly once.
 */
import { connect } from 'node:net';
import { setTimeout as waitFor } from 'node:timers/promises';
import type { RoutingSignal } from '../entry/index.js';
import type { CrashReport, Membership } from '../membership/index.js';
import type { Address, Duration } from '../model/index.js';
import type { Mesh } from '../wire/index.js';

/** A request was in flight when its upstream lost the connection. */
export type SuspectSignal = Extract<RoutingSignal, { readonly kind: 'suspect' }>;

const CHANNEL = 'crash';
const MAX_CHECKS = 2;
/** Milliseconds between two checks: a process that ends may close its listener last. */
const CHECK_INTERVAL: Duration = 50;
const CONNECT_TIMEOUT: Duration = 500;

/** Tells whether the connection is refused, so that nothing listens there. */
function isConnectionRefused(address: Address): Promise<boolean> {
  const separator = address.lastIndexOf(':');
  return new Promise((resolve) => {
    const socket = connect({
      host: address.slice(0, separator),
      port: Number(address.slice(separator + 1)),
    });
    const settle = (refused: boolean): void => {
      socket.destroy();
      resolve(refused);
    };
    socket.setTimeout(CONNECT_TIMEOUT, () => {
      settle(false);
    });
    socket.on('connect', () => {
      settle(false);
    });
    socket.on('error', (error: NodeJS.ErrnoException) => {
      settle(error.code === 'ECONNREFUSED');
    });
  });
}

async function hasProcessEnded(address: Address, checksLeft: number): Promise<boolean> {
  if (await isConnectionRefused(address)) return true;
  if (checksLeft <= 1) return false;
  await waitFor(CHECK_INTERVAL);
  return hasProcessEnded(address, checksLeft - 1);
}

/**
 * Reports the crash to the fleet, as certain if nothing listens at the upstream any more. The other entries
 * are told at once: gossip alone is slower than a caller that sends its request again.
 *
 * @example
 * await reportCrash(mesh, peers, membership, signal);
 */
export async function reportCrash(
  mesh: Mesh,
  peers: readonly Address[],
  membership: Membership,
  signal: SuspectSignal,
): Promise<void> {
  const { fingerprint, upstreamId, incarnation } = signal;
  const upstream = membership.upstreams.find((known) => known.id === upstreamId);
  const ended = upstream !== undefined && (await hasProcessEnded(upstream.address, MAX_CHECKS));
  const report: CrashReport = { fingerprint, upstreamId, incarnation, ended };
  membership.reportCrash(report);
  peers
    .filter((peer) => peer !== mesh.address)
    .forEach((peer) => {
      mesh.send(peer, CHANNEL, report);
    });
}

/** Takes the reports of other entries. */
export function handleCrashReports(mesh: Mesh, membership: Membership): void {
  mesh.handle(CHANNEL, (_, message) => {
    membership.reportCrash(message as CrashReport);
  });
}
