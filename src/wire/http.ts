/**
 * Serves small HTTP calls of operators, upstreams and monitoring. Invariant: each call gets one reply, a
 * call that can't be handled gets an error status instead of ending the process, and the bytes of the bodies that a
 * listener holds are bounded.
 */
import { createServer } from 'node:net';
import { processClients, type ClientConnections } from '../admission/index.js';
import { parseAddress, type Address, type Duration } from '../model/index.js';
import {
  HeldBodies,
  HttpConnection,
  type BodyLimits,
  type HttpCall,
  type HttpReply,
} from './httpconnection.js';

export type { BodyLimits, HttpCall, HttpReply } from './httpconnection.js';

/** Interval in milliseconds at which the timeouts of connections are checked. */
const SWEEP_INTERVAL: Duration = 500;
/** Largest head of a call, in bytes. */
const MAX_HEAD_BYTES = 16 * 1024;

/** A running listener. */
export interface HttpListener {
  /** Stops listening and closes all connections. */
  close(): void;
}

/** Options of {@link openHttpListener}. */
export interface HttpListenerOptions {
  readonly listen: Address;
  readonly handle: (call: HttpCall, body: Buffer) => HttpReply | Promise<HttpReply>;
  /** Without it, bodies are not read, and a connection on which one arrives is closed after the reply. */
  readonly bodyLimits?: BodyLimits;
  /** Called with the error of a call whose handler failed; the call gets status 500. */
  readonly onProblem: (target: string, error: unknown) => void;
  /** Limits on the connections of the process; by default those of all listeners together. */
  readonly clients?: ClientConnections;
}

/**
 * Opens a listener for HTTP calls.
 *
 * @example
 * await openHttpListener({ listen: '10.0.1.4:8383', handle: () => ({ status: 204 }), onProblem });
 */
export async function openHttpListener({
  listen,
  handle,
  bodyLimits,
  onProblem,
  clients = processClients,
}: HttpListenerOptions): Promise<HttpListener> {
  const connections = new Set<HttpConnection>();
  const host = {
    clients,
    bodies: bodyLimits === undefined ? undefined : new HeldBodies(bodyLimits.all, clients),
    limits: {
      headBytes: MAX_HEAD_BYTES,
      bodyBytes: bodyLimits?.perCall ?? Number.MAX_SAFE_INTEGER,
    },
    handle,
    onProblem,
    onClose: (connection: HttpConnection) => connections.delete(connection),
  };
  const server = createServer({ allowHalfOpen: true, noDelay: true }, (socket) => {
    connections.add(new HttpConnection(socket, host));
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(parseAddress(listen), resolve);
  });
  server.on('error', (error) => {
    onProblem('', error);
  });
  const sweep = setInterval(() => {
    const now = performance.now();
    connections.forEach((connection) => {
      connection.checkTimeouts(now);
    });
  }, SWEEP_INTERVAL).unref();
  return {
    close: () => {
      clearInterval(sweep);
      server.close();
      connections.forEach((connection) => {
        connection.close();
      });
    },
  };
}
