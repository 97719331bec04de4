/** Probes the health and load of one upstream. Invariant: `done` is called exactly once. */
import type { Dispatcher } from 'undici';
import type { LoadReport } from '../model/index.js';
import { readUpstreamResponseHead } from './headers.js';
import { PROBE_TIMEOUT } from './limits.js';
import type { PooledRequest, UpstreamPool } from './upstreams.js';

/** Path of the health endpoint that upstreams serve. */
export const PROBE_PATH = '/.well-known/chivewalk/health';

const OK = 200;
const FIRST_FINAL_STATUS = 200;

/** Receives the result of a probe; `report` is undefined if the response had no valid load report. */
export type ProbeResult = (healthy: boolean, report: LoadReport | undefined) => void;

class Probe implements PooledRequest {
  readonly #pool: UpstreamPool;
  readonly #done: ProbeResult;
  readonly #timer: NodeJS.Timeout;
  #hasEnded = false;
  #status = 0;
  #report: LoadReport | undefined;

  constructor(pool: UpstreamPool, done: ProbeResult) {
    this.#pool = pool;
    this.#done = done;
    this.#timer = setTimeout(() => {
      this.#fail();
    }, PROBE_TIMEOUT);
  }

  buildOptions(): Dispatcher.DispatchOptions {
    return { method: 'GET', path: PROBE_PATH };
  }

  onConnect(): void {
    // A probe is idempotent, so the client may retry it.
  }

  onHeaders(status: number, raw: Buffer[]): boolean {
    if (status < FIRST_FINAL_STATUS) return true;
    this.#status = status;
    this.#report = readUpstreamResponseHead(status, '', raw).load;
    return true;
  }

  onData(): boolean {
    return true;
  }

  onComplete(): void {
    this.#pool.release(this);
    this.#end(this.#status === OK, this.#report);
  }

  onError(): void {
    this.#fail();
  }

  #fail(): void {
    this.#pool.drop(this);
    this.#end(false, undefined);
  }

  #end(healthy: boolean, report: LoadReport | undefined): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    clearTimeout(this.#timer);
    this.#done(healthy, report);
  }
}

/**
 * Sends a probe over a connection of the upstream's pool.
 *
 * @example
 * sendProbe(pool, (healthy, report) => dispatch({ kind: 'probed', ... }));
 */
export function sendProbe(pool: UpstreamPool, done: ProbeResult): void {
  pool.send(new Probe(pool, done));
}
