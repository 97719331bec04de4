/** Stand-in upstreams on loopback, and a pool of connections to them. */
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { headerDialect } from '../../platform/headers.js';
import { BufferBudget } from '../../src/gateway/buffers.js';
import { ConnectionPool } from '../../src/gateway/pool.js';
import type { AttemptOutcome } from '../../src/gateway/types.js';

/** Milliseconds within which an attempt must end. */
const ATTEMPT_LIMIT = 8000;
export const ID_HEADER = headerDialect.requestId;

export interface PoolWorld {
  servers: Server[];
  /** The upstreams' ends of all connections that were accepted. */
  sockets: Socket[];
  buffers: BufferBudget;
  pool: ConnectionPool;
  address: string;
  outcomes: AttemptOutcome[];
}

/** Opens a pool that may hold `limitBytes` bytes. */
export function openPool(world: PoolWorld, limitBytes: number): void {
  world.servers = [];
  world.sockets = [];
  world.buffers = new BufferBudget(limitBytes);
  world.pool = new ConnectionPool(headerDialect, world.buffers);
  world.outcomes = [];
}

export function closePool(world: Partial<PoolWorld>): void {
  world.pool?.close();
  world.sockets?.forEach((socket) => socket.destroy());
  world.servers?.forEach((server) => server.close());
}

/** Returns the id that the head of a request names. */
export function readRequestId(chunk: Buffer): string {
  return new RegExp(`${ID_HEADER}: (\\S+)`, 'i').exec(chunk.toString('latin1'))?.[1] ?? '';
}

/** Starts a server and returns its address. */
export async function startServer(
  world: Pick<PoolWorld, 'servers' | 'sockets'>,
  accept: (socket: Socket) => void,
): Promise<string> {
  const server = createServer((socket) => {
    world.sockets.push(socket);
    socket.on('error', () => undefined);
    accept(socket);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  world.servers.push(server);
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Sends a request to the address and returns the outcome of the attempt. */
export function sendRequest(
  world: PoolWorld,
  id: string,
  address: string,
  { isProbe = false, body = Buffer.alloc(0) } = {},
): Promise<AttemptOutcome> {
  return new Promise((resolve, reject) => {
    const headers = [
      [ID_HEADER, id],
      ['Content-Length', String(body.length)],
    ] as const;
    const request = { id, method: 'GET', target: '/a', headers, body };
    const timer = setTimeout(() => {
      reject(new Error(`no outcome within ${ATTEMPT_LIMIT} ms`));
    }, ATTEMPT_LIMIT);
    const listener = {
      onHead: () => undefined,
      onEnd: (outcome: AttemptOutcome) => {
        clearTimeout(timer);
        resolve(outcome);
      },
    };
    if (isProbe) world.pool.sendProbe(address, request, listener);
    else world.pool.send(address, request, listener);
  });
}

/** Sends the requests one after the other and returns the outcomes of their attempts. */
export function sendInTurn(
  world: PoolWorld,
  ids: readonly string[],
  body = Buffer.alloc(0),
): Promise<AttemptOutcome[]> {
  return ids.reduce<Promise<AttemptOutcome[]>>(
    async (earlier, id) => [
      ...(await earlier),
      await sendRequest(world, id, world.address, { body }),
    ],
    Promise.resolve([]),
  );
}
