/** Free ports for tests. */
import { createServer, type AddressInfo, type Server } from 'node:net';

function openServer(): Promise<Server> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, '127.0.0.1', () => {
      resolve(server);
    });
  });
}

/**
 * Returns distinct loopback ports that were free at the time of the call. Another process may take one before the
 * test does.
 */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  const servers = await Promise.all(Array.from({ length: count }, openServer));
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
}
