/**
 * Checks whether an upstream's process ended after a connection to it was lost, and reports the crash.
 * Invariant: for each lost request, at most {@link MAX_CHECKS} connections are opened, nothing is written to
 * them, and exactly one report is made.
 */
import { connect } from 'node:net';
import { setTimeout as waitFor } from 'node:timers/promises';
import type { RoutingSignal } from '../entry/index.js';
import type { CrashReport, Membership } from '../membership/index.js';
import type { Address, Duration } from '../model/index.js';
import type { Mesh } from '../wire/index.js';

/** The signal that the connection to an upstream was lost while a request was in flight. */
export type SuspectSignal = Extract<RoutingSignal, { readonly kind: 'suspect' }>;

const CHANNEL = 'crash';
/** Connection attempts for each lost request. */
const MAX_CHECKS = 2;
/** Milliseconds between checks. A process that is ending may close its listener last. */
const CHECK_INTERVAL: Duration = 50;
/** Milliseconds after which a connection attempt counts as not refused. */
const CONNECT_TIMEOUT: Duration = 500;

/** Returns whether a connection is refused, which means that nothing listens at the address. */
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
 * Reports the crash to the fleet; it counts as confirmed if nothing listens at the upstream's address any
 * more. The report also goes directly to the other entries, because gossip is slower than a caller that
 * retries its request.
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

/** Passes crash reports from other entries to the membership. */
export function handleCrashReports(mesh: Mesh, membership: Membership): void {
  mesh.handle(CHANNEL, (_, message) => {
    membership.reportCrash(message as CrashReport);
  });
}
