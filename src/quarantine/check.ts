/**
 * Checks whether an upstream's process has ended after a connection to it was lost. Invariant: at most
 * {@link MAX_CHECKS} connections are opened for a check, and nothing is written to them.
 */
import { connect } from 'node:net';
import { setTimeout as waitFor } from 'node:timers/promises';
import { parseAddress, type Address, type Duration } from '../model/index.js';

/** Connection attempts of one check. */
const MAX_CHECKS = 2;
/** Milliseconds between connection attempts. A process that is ending may close its listener last. */
const CHECK_INTERVAL: Duration = 50;
/** Milliseconds after which a connection attempt counts as not refused. */
const CONNECT_TIMEOUT: Duration = 500;

/** Returns whether a connection is refused, which means that nothing listens at the address. */
function isConnectionRefused(address: Address): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect(parseAddress(address));
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

async function checkRepeatedly(address: Address, checksLeft: number): Promise<boolean> {
  if (await isConnectionRefused(address)) return true;
  if (checksLeft <= 1) return false;
  await waitFor(CHECK_INTERVAL);
  return checkRepeatedly(address, checksLeft - 1);
}

/**
 * Resolves to whether nothing listens at the address any more. A VM that is gone or cut off doesn't refuse
 * connections, so it counts as running.
 *
 * @example
 * await hasProcessEnded('10.0.4.7:8080') // true right after the upstream there crashed
 */
export function hasProcessEnded(address: Address): Promise<boolean> {
  return checkRepeatedly(address, MAX_CHECKS);
}
