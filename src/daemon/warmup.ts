/**
 * Shares what an entry finds out about cold upstreams. Invariant: a note is acted upon only for the same
 * incarnation of the upstream; one that is lost costs a few requests at the cold allowance, no promise.
 */
import type { Entry, RoutingSignal } from '../entry/index.js';
import type { Address } from '../model/index.js';
import type { Mesh } from '../wire/index.js';

const CHANNEL = 'warmth';

/** An entry found an upstream warm or cold. */
export type WarmupSignal = Extract<RoutingSignal, { readonly kind: 'warmth' }>;

/** What is sent to the other entries. */
interface WarmupNotice {
  readonly upstreamId: string;
  readonly incarnation: number;
  readonly cold: boolean;
}

/** Tells the other entries. */
export function sendWarmupNotice(
  mesh: Mesh,
  peers: readonly Address[],
  signal: WarmupSignal,
): void {
  const { upstreamId, incarnation, cold } = signal;
  const notice: WarmupNotice = { upstreamId, incarnation, cold };
  peers
    .filter((peer) => peer !== mesh.address)
    .forEach((peer) => {
      mesh.send(peer, CHANNEL, notice);
    });
}

/** Hands the notes of other entries to the routing decisions. */
export function handleWarmupNotices(mesh: Mesh, entry: Entry): void {
  mesh.handle(CHANNEL, (_, message) => {
    const { upstreamId, incarnation, cold } = message as WarmupNotice;
    entry.dispatch({ kind: 'warmthHeard', upstreamId, incarnation, cold, now: performance.now() });
  });
}
