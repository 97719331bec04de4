/** Callers that follow the platform's contract and keep what they saw. */
import { Agent, request as sendRequest } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { createId, PORTS, type Site } from '../platform/site.js';

/** What a caller saw of one request. */
export interface RequestResult {
  readonly id: string;
  readonly kind: 'safe' | 'unsafe';
  /** 0 if the connection ended without an answer. */
  readonly status: number;
  readonly seal: string | undefined;
  readonly body: string;
  readonly endedAt: number;
}

/** Milliseconds for which a caller keeps a list of addresses. */
const ADDRESS_CACHE_TIME = 2000;
/** Milliseconds between two requests of a caller. */
const REQUEST_PAUSE = 15;

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
        path: kind === 'safe' ? '/records/1' : '/orders/1',
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
    request.end(kind === 'safe' ? undefined : 'an order');
  });
}

/** One caller; it uses its connection until the address leaves its list or fails. */
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
      requestCount += 1;
      const result = await send(agent, ip, requestCount % 2 === 0 ? 'safe' : 'unsafe', createId());
      this.results.push(result);
      if (result.status === 0) ip = '';
      await sleep(REQUEST_PAUSE);
    }
    agent.destroy();
  }
}
