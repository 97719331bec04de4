/** A test caller that follows the contract for callers in docs/CALLERS.md. */
import { Agent } from 'node:http';
import { sendCall, type ObservedResponse } from './world.js';

interface AddressResponse {
  readonly addresses: readonly { readonly address: string }[];
  readonly ttl_ms: number;
}

/** Caches addresses for their TTL and spreads requests over them at random. */
export class ContractCaller {
  /** Failed and incomplete requests, in the order in which they were observed. */
  readonly faults: string[] = [];
  responseCount = 0;
  #ports: readonly number[];
  #freshUntil = -Infinity;
  #agents = new Map<number, Agent>();
  readonly #draw: () => number;

  constructor(ports: readonly number[], draw: () => number) {
    this.#ports = ports;
    this.#draw = draw;
  }

  /** Sends one request to a random address; refreshes the addresses first if their TTL has expired. */
  async sendRequest(id: string): Promise<void> {
    if (performance.now() >= this.#freshUntil) await this.#refresh();
    const port = this.#ports[Math.floor(this.#draw() * this.#ports.length)] ?? 0;
    const hasBody = this.#draw() < 0.3;
    const body = 'x'.repeat(Math.floor(this.#draw() * 100_000) + 1);
    try {
      const seen = await sendCall({
        port,
        path: `/seam/${id}`,
        method: hasBody ? 'POST' : 'GET',
        agent: this.#getAgent(port),
        ...(hasBody ? { body, headers: { 'content-length': String(body.length) } } : {}),
      });
      this.#checkResponse(id, seen);
    } catch (error) {
      this.faults.push(`${id}: ${String(error)}`);
    }
  }

  /** Closes all keep-alive connections. */
  close(): void {
    this.#agents.forEach((agent) => {
      agent.destroy();
    });
  }

  #checkResponse(id: string, seen: ObservedResponse): void {
    this.responseCount += 1;
    if (seen.status !== 200 || !seen.complete || seen.body !== `answer to /${id}`) {
      this.faults.push(
        `${id}: ${seen.status}, complete ${seen.complete}, ${seen.body.slice(0, 80)}`,
      );
    }
  }

  #getAgent(port: number): Agent {
    const agent = this.#agents.get(port) ?? new Agent({ keepAlive: true, maxSockets: 4 });
    this.#agents.set(port, agent);
    return agent;
  }

  /** Requests the addresses from a known entry and closes the connections to those no longer listed. */
  async #refresh(): Promise<void> {
    const askedAt = performance.now();
    const port = this.#ports[Math.floor(this.#draw() * this.#ports.length)] ?? 0;
    const seen = await sendCall({ port, path: '/.well-known/chivewalk/addresses' });
    const answer = JSON.parse(seen.body) as AddressResponse;
    const ports = answer.addresses.map(({ address }) => Number(address.split(':')[1]));
    this.#ports = ports;
    this.#freshUntil = askedAt + answer.ttl_ms;
    [...this.#agents].forEach(([known, agent]) => {
      if (ports.includes(known)) return;
      this.#agents.delete(known);
      agent.destroy();
    });
  }
}
