/**
 * Connection pools for upstreams. Invariant: the entry never opens more connections to an upstream than
 * the budget allows, a connection carries one request at a time, and it is not reused after a failure.
 */
import { Client, type Dispatcher } from 'undici';
import { checkInvariant, type Address, type Upstream } from '../model/index.js';
import { CONNECT_TIMEOUT, MAX_HEAD_BYTES, STALL_TIMEOUT, UPSTREAM_IDLE_TIMEOUT } from './limits.js';

/** A request that is sent over a pool. */
export interface PooledRequest extends Dispatcher.DispatchHandlers {
  /** Builds the request; called once, when a connection is available. */
  readonly buildOptions: () => Dispatcher.DispatchOptions;
}

/** The connections to one upstream. */
export class UpstreamPool {
  readonly address: Address;
  /** Idle connections, the most recently used one last. */
  readonly #idle: Client[] = [];
  readonly #busy = new Map<PooledRequest, Client>();
  readonly #waiting = new Set<PooledRequest>();
  #budget: number;
  #closed = false;

  private constructor(address: Address, budget: number) {
    this.address = address;
    this.#budget = budget;
  }

  /** Creates a pool that opens connections on demand. */
  static create(address: Address, budget: number): UpstreamPool {
    return new UpstreamPool(address, budget);
  }

  /** Number of busy and idle connections. */
  get size(): number {
    return this.#idle.length + this.#busy.size;
  }

  /** Sets the maximum number of connections; closes surplus idle ones. */
  setBudget(budget: number): void {
    this.#budget = budget;
    this.#idle.splice(0, Math.max(0, this.size - budget)).forEach(closeClient);
    this.#startWaiting();
  }

  /** Sends a request over an idle connection or a new one, or queues it for the next free connection. */
  send(request: PooledRequest): void {
    const client = this.#idle.pop() ?? this.#openClient();
    if (client === undefined) this.#waiting.add(request);
    else this.#start(request, client);
  }

  /** Returns the connection of a request to the pool after its response was read completely. */
  release(request: PooledRequest): void {
    const client = this.#busy.get(request);
    if (client === undefined) return;
    this.#busy.delete(request);
    if (this.#closed || this.size >= this.#budget) closeClient(client);
    else this.#idle.push(client);
    this.#startWaiting();
  }

  /** Closes the connection of a request, or removes the request from the queue. */
  drop(request: PooledRequest): void {
    if (this.#waiting.delete(request)) return;
    const client = this.#busy.get(request);
    if (client === undefined) return;
    this.#busy.delete(request);
    dropClient(client);
    this.#startWaiting();
  }

  /** Closes idle connections at once and busy ones when their requests end. */
  close(): void {
    this.#closed = true;
    this.#idle.splice(0).forEach(closeClient);
  }

  #start(request: PooledRequest, client: Client): void {
    this.#busy.set(request, client);
    checkInvariant(
      this.size <= Math.max(this.#budget, this.#busy.size),
      `${this.size} connections to ${this.address} exceed the budget of ${this.#budget}`,
    );
    client.dispatch(request.buildOptions(), request);
  }

  #startWaiting(): void {
    const [next] = this.#waiting;
    if (next === undefined) return;
    const client = this.#idle.pop() ?? this.#openClient();
    if (client === undefined) return;
    this.#waiting.delete(next);
    this.#start(next, client);
  }

  #openClient(): Client | undefined {
    if (this.size >= this.#budget) return undefined;
    return new Client(`http://${this.address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: STALL_TIMEOUT,
      keepAliveTimeout: UPSTREAM_IDLE_TIMEOUT,
      keepAliveMaxTimeout: UPSTREAM_IDLE_TIMEOUT,
      maxHeaderSize: MAX_HEAD_BYTES,
      connect: { timeout: CONNECT_TIMEOUT, noDelay: true },
    });
  }
}

function closeClient(client: Client): void {
  void client.close();
}

function dropClient(client: Client): void {
  void client.destroy();
}

/** The connection pools of all known upstreams. */
export class UpstreamPools {
  readonly #pools = new Map<string, UpstreamPool>();

  private constructor() {
    // Use `create`.
  }

  /** Creates an empty set of pools. */
  static create(): UpstreamPools {
    return new UpstreamPools();
  }

  /** Number of busy and idle connections to all upstreams. */
  get size(): number {
    return [...this.#pools.values()].reduce((sum, pool) => sum + pool.size, 0);
  }

  /** Returns the pool of an upstream if the upstream is known at this address. */
  get(upstreamId: string, address: Address): UpstreamPool | undefined {
    const pool = this.#pools.get(upstreamId);
    return pool?.address === address ? pool : undefined;
  }

  /**
   * Updates the pools to the known upstreams; the connections that an upstream accepts are shared by
   * `entryCount` entries.
   */
  update(upstreams: readonly Upstream[], entryCount: number): void {
    const known = new Map(upstreams.map((upstream) => [upstream.id, upstream]));
    [...this.#pools].forEach(([id, pool]) => {
      if (known.get(id)?.address === pool.address) return;
      this.#pools.delete(id);
      pool.close();
    });
    upstreams.forEach((upstream) => {
      const budget = computeConnectionBudget(upstream.maxConnections, entryCount);
      const pool = this.#pools.get(upstream.id);
      if (pool === undefined) {
        this.#pools.set(upstream.id, UpstreamPool.create(upstream.address, budget));
      } else pool.setBudget(budget);
    });
  }

  /** Closes every pool. */
  close(): void {
    this.#pools.forEach((pool) => {
      pool.close();
    });
    this.#pools.clear();
  }
}

/**
 * Returns how many connections each of `entryCount` entries may open to an upstream; at least one.
 *
 * @example
 * computeConnectionBudget(250, 22); // 11
 */
export function computeConnectionBudget(maxConnections: number, entryCount: number): number {
  return Math.max(1, Math.floor(maxConnections / Math.max(1, entryCount)));
}
