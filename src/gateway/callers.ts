/**
 * All connections of a gateway's callers. Invariant: a drain ends once every connection has ended, or at the end of its
 * plan.
 */
import type { Socket } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';
import type { MessageLimits } from '../http1/index.js';
import type { Duration, Instant } from '../model/index.js';
import type { BufferBudget } from './buffers.js';
import { CallerConnection, type CallerHost } from './caller.js';
import { decideConnection, type StopPlan } from './stopping.js';

/** Interval at which a drain looks at the connections, in milliseconds. */
const DRAIN_POLL_INTERVAL: Duration = 50;

/** The connections of a gateway's callers. */
export class CallerConnections {
  readonly #now: () => Instant;
  readonly #connections = new Set<CallerConnection>();

  constructor(now: () => Instant) {
    this.#now = now;
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

  /** Closes connections as the plan says, until all have ended or the plan ends. */
  async drain(plan: StopPlan): Promise<void> {
    const now = this.#now();
    this.#connections.forEach((connection) => {
      if (decideConnection(connection.phase, plan, now) !== 'keep') connection.close();
    });
    if (this.#connections.size === 0) return;
    await wait(DRAIN_POLL_INTERVAL);
    await this.drain(plan);
  }
}
