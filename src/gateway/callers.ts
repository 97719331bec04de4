/**
 * All connections of a gateway's callers. Invariant: a drain ends once every connection has ended, or at the end of its
 * plan; each request or answer that it cuts off is logged and counted.
 */
import type { Socket } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';
import { getHeader, type MessageLimits } from '../http1/index.js';
import type { Duration, Instant } from '../model/index.js';
import { createLogger } from '../telemetry/index.js';
import type { BufferBudget } from './buffers.js';
import { CallerConnection, type CallerHost } from './caller.js';
import { decideConnection, type StopPlan } from './stopping.js';

const log = createLogger('gateway');

/** Interval at which a drain looks at the connections, in milliseconds. */
const DRAIN_POLL_INTERVAL: Duration = 50;

/** Numbers of callers' connections and requests, for metrics. */
export interface CallerCounts {
  /** Number of connections that have not ended. */
  readonly size: number;
  /** Number of requests that are being served. */
  readonly running: number;
  /** Number of requests and answers that were cut off by the end of a stop. */
  readonly cutOff: number;
}

/** The connections of a gateway's callers. */
export class CallerConnections implements CallerCounts {
  readonly #now: () => Instant;
  /** Header field that holds the id of a request, for log lines. */
  readonly #idField: string;
  readonly #connections = new Set<CallerConnection>();
  #cutOff = 0;

  constructor(now: () => Instant, idField: string) {
    this.#now = now;
    this.#idField = idField;
  }

  get size(): number {
    return this.#connections.size;
  }

  get running(): number {
    return [...this.#connections].reduce((sum, { running }) => sum + running, 0);
  }

  get cutOff(): number {
    return this.#cutOff;
  }

  add(host: CallerHost, socket: Socket, limits: MessageLimits, buffers: BufferBudget): void {
    this.#connections.add(new CallerConnection(host, socket, limits, buffers));
  }

  remove(connection: CallerConnection): void {
    this.#connections.delete(connection);
  }

  checkTimeouts(headTimeout: Duration, idleTimeout: Duration): void {
    this.#connections.forEach((connection) => {
      connection.checkTimeouts(this.#now(), headTimeout, idleTimeout);
    });
  }

  /** Logs the number of connections and of running requests at one end of a stop. */
  logState(message: string): void {
    log.info(message, {
      connections: this.size,
      running: this.running,
      cutOff: this.#cutOff,
    });
  }

  /** Closes connections as the plan says, until all have ended or the plan ends. */
  async drain(plan: StopPlan): Promise<void> {
    const now = this.#now();
    const isOver = now >= plan.endsAt;
    if (isOver) this.#recordEnd();
    this.#connections.forEach((connection) => {
      if (decideConnection(connection.phase, plan, now) !== 'keep') connection.close();
    });
    if (this.size === 0) {
      if (!isOver) this.#recordEnd();
      return;
    }
    await wait(DRAIN_POLL_INTERVAL);
    await this.drain(plan);
  }

  #recordEnd(): void {
    const unfinished = [...this.#connections].flatMap((connection) => connection.listUnfinished());
    this.#cutOff += unfinished.length;
    this.logState('gateway drain ended');
    unfinished.forEach(({ head, cause, unsentBytes }) => {
      const id = getHeader(head.headers, this.#idField) ?? '';
      log.warn('request cut off by the stop', { id, cause, unsentBytes });
    });
  }
}
