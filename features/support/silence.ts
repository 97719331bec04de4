/**
 * Makes the open connections of this process go silent, as if a device between the VMs had forgotten them: what is
 * written on them is lost without a reset, while new connections work.
 */
import { Socket } from 'node:net';

const firstWrites = new WeakMap<Socket, number>();
type Write = (this: Socket, ...args: unknown[]) => boolean;
const write = Reflect.get(Socket.prototype, 'write') as Write;

/** Silences the connections that have carried data so far; returns a function that ends the patch. */
export function startSilence(): { silence: () => void; stop: () => void } {
  let silentSince = -Infinity;
  Socket.prototype.write = function writeUnlessSilent(this: Socket, ...args: unknown[]) {
    const first = firstWrites.get(this) ?? performance.now();
    firstWrites.set(this, first);
    return first < silentSince ? true : write.apply(this, args);
  };
  return {
    silence: () => {
      silentSince = performance.now();
    },
    stop: () => {
      Socket.prototype.write = write;
    },
  };
}
