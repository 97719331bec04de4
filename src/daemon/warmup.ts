/**
 * Shares the warm-up state of upstreams between entries. Invariant: a notice only applies to the incarnation
 * of the upstream that it names. A lost notice breaks no guarantee; it only means that a few requests are
 * subject to the rate limit of cold upstreams.
 */
import type { Entry, RoutingSignal } from '../entry/index.js';
import type { Address } from '../model/index.js';
import type { Mesh } from '../wire/index.js';

const CHANNEL = 'warmth';

/** The signal that an entry found an upstream to be warm or cold. */
export type WarmupSignal = Extract<RoutingSignal, { readonly kind: 'warmth' }>;

/** The message that is sent to the other entries. */
interface WarmupNotice {
  readonly upstreamId: string;
  readonly incarnation: number;
  readonly cold: boolean;
}

/** Sends a warm-up notice to the other entries. */
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

/** Passes warm-up notices from other entries to the routing decisions. */
export function handleWarmupNotices(mesh: Mesh, entry: Entry): void {
  mesh.handle(CHANNEL, (_, message) => {
    const { upstreamId, incarnation, cold } = message as WarmupNotice;
    entry.dispatch({
      kind: 'warmupNoticeReceived',
      upstreamId,
      incarnation,
      cold,
      now: performance.now(),
    });
  });
}
