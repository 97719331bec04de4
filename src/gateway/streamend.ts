/**
 * Judges the end of a connection's input. Invariant: an end counts as orderly only on proof; where there is none, the
 * connection counts as cut.
 */
import type { Socket } from 'node:net';

/**
 * Returns whether the peer closed its side in order. To be called while the socket's `end` event is handled: that event
 * also reports a reset which is polled together with the last bytes, or which a write has met before. A connection that
 * was reset has no peer any more. The socket keeps the first result, so nothing else may ask for the peer's address.
 *
 * @example
 * socket.on('end', () => {
 *   if (isOrderlyEnd(socket)) completeBody();
 * });
 */
export function isOrderlyEnd(socket: Socket): boolean {
  return socket.remoteAddress !== undefined;
}
