/**
 * Shares what an entry finds out about cold upstreams. Invariant: a note is acted upon only for the same
 * incarnation of the upstream; one that is lost costs a few requests at the cold allowance, no promise.
 */
import type { Entry, RoutingSignal } from '../entry/index.js';
import type { Address } from '../model/index.js';
import type { Mesh } from '../wire/index.js';

const CHANNEL = 'warmth';

/** An entry found an upstream warm or cold. */
export type WarmthSignal = Extract<RoutingSignal, { readonly kind: 'warmth' }>;

/** What is sent to the other entries. */
interface WarmthNote {
  readonly upstreamId: string;
  readonly incarnation: number;
  readonly cold: boolean;
}

/** Tells the other entries. */
export function sendWarmth(mesh: Mesh, peers: readonly Address[], signal: WarmthSignal): void {
  const { upstreamId, incarnation, cold } = signal;
  const note: WarmthNote = { upstreamId, incarnation, cold };
  peers
    .filter((peer) => peer !== mesh.address)
    .forEach((peer) => {
      mesh.send(peer, CHANNEL, note);
    });
}

/** Hands the notes of other entries to the routing decisions. */
export function handleWarmth(mesh: Mesh, entry: Entry): void {
  mesh.handle(CHANNEL, (_, message) => {
    const { upstreamId, incarnation, cold } = message as WarmthNote;
    entry.dispatch({ kind: 'warmthHeard', upstreamId, incarnation, cold, now: performance.now() });
  });
}
