/**
 * Reports requests that were in flight on an upstream that crashed. Invariant: exactly one report is made for
 * each lost request.
 */
import type { RoutingSignal } from '../entry/index.js';
import type { CrashReport, Membership } from '../membership/index.js';
import type { Address } from '../model/index.js';
import { hasProcessEnded } from '../quarantine/index.js';
import type { Mesh } from '../wire/index.js';

/** The signal that the connection to an upstream was lost while a request was in flight. */
export type SuspectSignal = Extract<RoutingSignal, { readonly kind: 'suspect' }>;

const CHANNEL = 'crash';
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
  const ended = upstream !== undefined && (await hasProcessEnded(upstream.address));
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
