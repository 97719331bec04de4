/**
 * Counts the connections of clients over all listeners of a process. Invariant: after each addition there are at most
 * as many as the limit allows; authenticated peers are not counted.
 */
import type { Duration, Instant } from '../model/index.js';
import { chooseVictims, type ConnectionState } from './decide.js';

/** Limits that apply to all listeners of a process. */
export interface ClientLimits {
  readonly maxConnections: number;
  readonly maxPipelinedRequests: number;
  readonly maxUnsentBytes: number;
  readonly stepsPerTurn: number;
}

/** Limits of a process whose settings name none; the same as the defaults of the settings. */
const DEFAULT_LIMITS: ClientLimits = {
  maxConnections: 2500,
  maxPipelinedRequests: 16,
  maxUnsentBytes: 64 * 1024,
  stepsPerTurn: 256,
};
/** Share of the limit that is closed at once, so that a crowd that connects fast doesn't cost a search each time. */
const CLOSED_SHARE = 1 / 64;
/**
 * Chunks of incomplete bodies that the process holds where each is kept by itself, some hundred bytes of memory each;
 * beyond it, the connection with most is closed, unless it is the only one.
 */
const MAX_HELD_CHUNKS = 10_000;
/** Milliseconds without a further close after which the process counts as back within its limits. */
const CALM_TIME: Duration = 5000;

/** A connection that may be closed when the process has too many. */
export interface LimitedConnection {
  readonly clientState: ConnectionState;
  close(): void;
}

/** Why a connection of a client was closed, or its request refused. */
export type CloseCause = 'connections' | 'bytes' | 'stalled';

/** Called when the process begins to close connections for its limits, and when it has not done so for a while. */
export type CrowdListener = (isCrowded: boolean, connections: number) => void;

/** The connections of the clients of one process. */
export class ClientConnections {
  readonly #connections = new Set<LimitedConnection>();
  readonly #chunks = new Map<LimitedConnection, number>();
  #heldChunks = 0;
  readonly #closed = new Map<CloseCause, number>();
  #limits = DEFAULT_LIMITS;
  #onCrowd: CrowdListener = () => undefined;
  #crowdedSince: Instant | undefined;
  #calmTimer: NodeJS.Timeout | undefined;

  get limits(): ClientLimits {
    return this.#limits;
  }

  /** Number of connections that are open. */
  get size(): number {
    return this.#connections.size;
  }

  /**
   * Sets the limits and the listener that is called when connections begin or cease to be closed for their number.
   *
   * @example
   * processClients.configure({ maxConnections: 500 }, (isCrowded) => log.warn('...', { isCrowded }));
   */
  configure(limits: Partial<ClientLimits>, onCrowd: CrowdListener): void {
    this.#limits = { ...this.#limits, ...limits };
    this.#onCrowd = onCrowd;
  }

  /** Adds a connection, and closes others beyond the limit. */
  add(connection: LimitedConnection): void {
    if (this.#connections.size >= this.#limits.maxConnections) this.#closeSome();
    this.#connections.add(connection);
  }

  /** Sets the number of chunks of its incomplete body that a connection holds. */
  updateChunks(connection: LimitedConnection, count: number): void {
    const before = this.#chunks.get(connection) ?? 0;
    if (count === before) return;
    this.#heldChunks += count - before;
    if (count === 0) this.#chunks.delete(connection);
    else this.#chunks.set(connection, count);
    if (this.#heldChunks > MAX_HELD_CHUNKS && this.#chunks.size > 1) this.#closeLargest();
  }

  #closeLargest(): void {
    const [largest] = [...this.#chunks].reduce((most, next) => (next[1] > most[1] ? next : most));
    this.updateChunks(largest, 0);
    this.recordClosed('bytes');
    largest.close();
  }

  remove(connection: LimitedConnection): void {
    this.updateChunks(connection, 0);
    this.#connections.delete(connection);
  }

  /** Number of connections and requests that were closed or refused for this cause. */
  countClosed(cause: CloseCause): number {
    return this.#closed.get(cause) ?? 0;
  }

  /** Counts a connection that its owner closed, or whose request it refused, for a limit. */
  recordClosed(cause: CloseCause): void {
    this.#closed.set(cause, this.countClosed(cause) + 1);
    if (this.#crowdedSince === undefined) {
      this.#crowdedSince = performance.now();
      this.#onCrowd(true, this.size);
    }
    if (this.#calmTimer !== undefined) {
      this.#calmTimer.refresh();
      return;
    }
    this.#calmTimer = setTimeout(() => {
      this.#calmTimer = undefined;
      this.#crowdedSince = undefined;
      this.#onCrowd(false, this.size);
    }, CALM_TIME).unref();
  }

  #closeSome(): void {
    const all = [...this.#connections];
    const count = Math.max(1, Math.floor(this.#limits.maxConnections * CLOSED_SHARE));
    const states = all.map(({ clientState }) => clientState);
    chooseVictims(states, count).forEach((index) => {
      const victim = all[index];
      if (victim === undefined) return;
      this.#connections.delete(victim);
      this.recordClosed('connections');
      victim.close();
    });
  }
}

/** The connections of this process; one for all listeners, as they share its memory and descriptors. */
export const processClients = new ClientConnections();
