/**
 * The processes that the `cost` benchmark compares: an upstream, a minimal proxy on node:http, and the entry with its real
 * routing.
 * Invariant: each process exits when the benchmark that started it ends.
 */
import { fork, type ChildProcess } from 'node:child_process';
import { Agent, createServer, request as sendRequest } from 'node:http';
import { fileURLToPath } from 'node:url';
import { createEntry, createRouter } from '../src/entry/index.js';
import { emptyConfig, type Upstream } from '../src/model/index.js';

/** Bytes of the response body of `/big`. */
export const BODY_BYTES = 100 * 1024 * 1024;
const CHUNK_BYTES = 64 * 1024;
const SMALL_BODY = Buffer.alloc(200, 'a');

/** Role of a benchmark process; `plain` is the minimal proxy. */
export type Role = 'upstream' | 'plain' | 'entry';

/** Resource usage of a process. */
export interface Usage {
  /** CPU time since the start of the process, in microseconds. */
  readonly cpu: number;
  /** Resident memory in bytes. */
  readonly rss: number;
}

function startUpstream(address: string): void {
  const [host = '', port = ''] = address.split(':');
  const chunk = Buffer.alloc(CHUNK_BYTES, 'b');
  const server = createServer((request, response) => {
    if (request.url !== '/big') {
      response.writeHead(200, ['content-length', String(SMALL_BODY.length)]);
      response.end(SMALL_BODY);
      return;
    }
    response.writeHead(200, ['content-length', String(BODY_BYTES)]);
    let remainingBytes = BODY_BYTES;
    const writeMore = (): void => {
      while (remainingBytes > 0) {
        remainingBytes -= CHUNK_BYTES;
        if (!response.write(chunk)) {
          response.once('drain', writeMore);
          return;
        }
      }
      response.end();
    };
    writeMore();
  });
  server.keepAliveTimeout = 60_000;
  server.listen(Number(port), host, () => process.send?.('ready'));
}

function startPlainProxy(address: string, upstream: string): void {
  const [host = '', port = ''] = address.split(':');
  const [upstreamHost, upstreamPort] = upstream.split(':');
  const agent = new Agent({ keepAlive: true, maxSockets: 250 });
  createServer((request, response) => {
    const path = (request.url ?? '').replace('/seam', '');
    const { method = 'GET', headers } = request;
    const target = { host: upstreamHost, port: upstreamPort, method, path, headers, agent };
    const outgoing = sendRequest(target, (answer) => {
      response.writeHead(answer.statusCode ?? 0, answer.rawHeaders);
      answer.pipe(response);
    });
    request.pipe(outgoing);
  }).listen(Number(port), host, () => process.send?.('ready'));
}

async function startEntry(address: string, upstreamAddress: string): Promise<void> {
  const upstream: Upstream = {
    id: 'seam-1',
    service: 'seam',
    version: '1',
    zone: 'klang',
    labels: {},
    address: upstreamAddress,
    slots: 250,
    maxConnections: 250,
    incarnation: 1,
    leaving: false,
    age: 3_600_000,
  };
  await createEntry({
    id: 'entry-1',
    zone: 'klang',
    callerListen: address,
    addressTtlMs: 1000,
    routing: createRouter(),
    claims: {
      claim: () => Promise.resolve({ kind: 'unavailable', reason: 'not in this bench' }),
      settle: () => undefined,
    },
    config: { config: emptyConfig, isFresh: () => true, onChange: () => undefined },
    members: {
      entries: () => [{ address, zone: 'klang' }],
      upstreams: () => [upstream],
      onChange: () => undefined,
    },
    hooks: {},
  });
  process.send?.('ready');
}

async function runRole(role: Role, address: string, upstream: string): Promise<void> {
  process.on('message', () => {
    const { user, system } = process.cpuUsage();
    const usage: Usage = { cpu: user + system, rss: process.memoryUsage.rss() };
    process.send?.(usage);
  });
  process.once('disconnect', () => process.exit(0));
  switch (role) {
    case 'upstream':
      startUpstream(address);
      break;
    case 'plain':
      startPlainProxy(address, upstream);
      break;
    case 'entry':
      await startEntry(address, upstream);
      break;
  }
}

function waitForMessage(child: ChildProcess): Promise<unknown> {
  return new Promise((resolve) => child.once('message', resolve));
}

/** Starts a process with this role and waits until it listens. */
export async function startRole(
  role: Role,
  address: string,
  upstream: string,
): Promise<ChildProcess> {
  const child = fork(fileURLToPath(import.meta.url), [role, address, upstream]);
  await waitForMessage(child);
  return child;
}

/** Requests the resource usage of a process. */
export async function readUsage(child: ChildProcess): Promise<Usage> {
  child.send('usage');
  return (await waitForMessage(child)) as Usage;
}

const [, program = '', role = '', address = '', upstream = ''] = process.argv;
if (program === fileURLToPath(import.meta.url)) await runRole(role as Role, address, upstream);
