/**
 * Callers of the soak test. They follow the platform's contract for callers and record the result of every
 * request.
 */
import { Agent, request as sendRequest } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { createId, PORTS, type Site } from '../platform/site.js';

/** The result of one request as its caller saw it. */
export interface RequestResult {
  readonly id: string;
  readonly kind: 'safe' | 'unsafe' | 'upload';
  /** HTTP status; 0 if the connection ended without a complete response. */
  readonly status: number;
  /** Value of the `X-Server-Seal` header, which names the request that the upstream answered. */
  readonly seal: string | undefined;
  readonly body: string;
  readonly endedAt: number;
}

/** Milliseconds after which a caller resolves its list of addresses again. */
const ADDRESS_CACHE_TIME = 2000;
/** Milliseconds between the end of a request and the caller's next one. */
const REQUEST_PAUSE = 15;
/** Bytes of an upload: it arrives in several pieces, and is sent whole to a second upstream after a rejection. */
const UPLOAD_BYTES = 100_000;

const paths: Readonly<Record<RequestResult['kind'], string>> = {
  safe: '/records/1',
  unsafe: '/orders/1',
  upload: '/uploads/1',
};
const bodies: Readonly<Record<RequestResult['kind'], Buffer | undefined>> = {
  safe: undefined,
  unsafe: Buffer.from('an order'),
  upload: Buffer.alloc(UPLOAD_BYTES, 'a'),
};
const turns: readonly RequestResult['kind'][] = ['unsafe', 'safe', 'upload', 'safe'];

function send(
  agent: Agent,
  ip: string,
  kind: RequestResult['kind'],
  id: string,
): Promise<RequestResult> {
  return new Promise((resolve) => {
    const finish = (status: number, seal?: string, body = ''): void => {
      resolve({ id, kind, status, seal, body, endedAt: performance.now() });
    };
    const request = sendRequest(
      {
        ...{ agent, host: ip, port: PORTS.front, timeout: 1500 },
        method: kind === 'safe' ? 'GET' : 'POST',
        path: paths[kind],
        headers: { Host: 'site.example', 'X-Attempt-Id': id, 'X-Deadline-Ms': '1000' },
      },
      (response) => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', () => {
          finish(0);
        });
        response.on('end', () => {
          const seal = response.headers['x-server-seal'];
          finish(response.statusCode ?? 0, seal?.toString(), Buffer.concat(chunks).toString());
        });
      },
    );
    request.on('timeout', () => request.destroy());
    request.on('error', () => {
      finish(0);
    });
    request.end(bodies[kind]);
  });
}

/**
 * One caller, which sends requests of all kinds in turn over a single connection. It keeps the connection
 * until the address disappears from its list or a request on it fails.
 */
export class Caller {
  readonly results: RequestResult[] = [];
  readonly #site: Site;
  readonly #zone: string;
  #isStopped = false;
  #finished: Promise<void> = Promise.resolve();

  constructor(site: Site, zone: string) {
    this.#site = site;
    this.#zone = zone;
  }

  start(): void {
    this.#finished = this.#run();
  }

  async stop(): Promise<void> {
    this.#isStopped = true;
    await this.#finished;
  }

  async #run(): Promise<void> {
    let addresses: readonly string[] = [];
    let resolvedAt = -Infinity;
    let ip = '';
    let agent = new Agent({ keepAlive: true, maxSockets: 1 });
    let requestCount = 0;
    while (!this.#isStopped) {
      if (performance.now() - resolvedAt > ADDRESS_CACHE_TIME) {
        const found = await this.#site.resolve(this.#zone);
        if (found.length > 0) {
          addresses = found;
          resolvedAt = performance.now();
        }
      }
      const ips = addresses.map((address) => address.split(':')[0] ?? '');
      if (!ips.includes(ip)) {
        agent.destroy();
        agent = new Agent({ keepAlive: true, maxSockets: 1 });
        ip = ips[Math.floor(Math.random() * ips.length)] ?? '';
      }
      if (ip === '') {
        await sleep(REQUEST_PAUSE);
        continue;
      }
      const kind = turns[requestCount % turns.length] ?? 'safe';
      requestCount += 1;
      const result = await send(agent, ip, kind, createId());
      this.results.push(result);
      if (result.status === 0) ip = '';
      await sleep(REQUEST_PAUSE);
    }
    agent.destroy();
  }
}
