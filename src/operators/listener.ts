/** HTTP listener for operators' calls. Invariant: tokens are compared in constant time, and body size is bounded. */
import { createHash, timingSafeEqual } from 'node:crypto';
import type { IncomingMessage, Server } from 'node:http';
import { createHTTPServer } from '@trpc/server/adapters/standalone';
import { attachClientLimits } from '../wire/index.js';
import type { Address } from '../model/index.js';
import {
  createOperatorsRouter,
  type OperatorsContext,
  type OperatorsDependencies,
} from './router.js';
import { MAX_CALL_DEADLINE } from './validate.js';

/** Maximum size of a call's body, in bytes. */
const MAX_BODY_BYTES = 64 * 1024;
/** Maximum size of a call's headers, in bytes. */
const MAX_HEAD_BYTES = 16 * 1024;
/** Time limit for receiving a complete call, in milliseconds. */
const REQUEST_TIMEOUT = 10_000;

/** Options of {@link openOperators}. */
export interface OperatorsOptions extends OperatorsDependencies {
  readonly listen: Address;
  /** The bearer token that operators' calls must present. */
  readonly token: string;
}

/** An open listener; closing it also drops its connections. */
export interface OperatorsListener {
  close(): Promise<void>;
}

/** Compares the hashes of two tokens in constant time, so that timing reveals nothing about the token. */
function isSameToken(presented: string, token: string): boolean {
  const digest = (text: string): Buffer => createHash('sha256').update(text).digest();
  return timingSafeEqual(digest(presented), digest(token));
}

function createContext(request: IncomingMessage, token: string): OperatorsContext {
  const header = request.headers.authorization ?? '';
  const presented = header.startsWith('Bearer ') ? header.slice('Bearer '.length) : '';
  return { isAuthenticated: isSameToken(presented, token) };
}

function openServer(server: Server, address: Address): Promise<void> {
  const portSeparator = address.lastIndexOf(':');
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(
      { host: address.slice(0, portSeparator), port: Number(address.slice(portSeparator + 1)) },
      resolve,
    );
  });
}

/**
 * Opens the listener for operators' calls.
 *
 * @example
 * const listener = await openOperators({ listen: '127.0.0.1:7500', token, control, distribution, ... });
 */
export async function openOperators(options: OperatorsOptions): Promise<OperatorsListener> {
  const server = createHTTPServer({
    router: createOperatorsRouter(options),
    createContext: ({ req }) => createContext(req, options.token),
    maxBodySize: MAX_BODY_BYTES,
    allowBatching: false,
  });
  attachClientLimits(server);
  server.requestTimeout = REQUEST_TIMEOUT;
  server.headersTimeout = REQUEST_TIMEOUT;
  server.timeout = MAX_CALL_DEADLINE + REQUEST_TIMEOUT;
  server.maxHeadersCount = 64;
  server.prependListener('request', (request: IncomingMessage) => {
    if (request.rawHeaders.join('').length > MAX_HEAD_BYTES) request.destroy();
  });
  await openServer(server, options.listen);
  return {
    close: () =>
      new Promise((resolve) => {
        server.close(() => {
          resolve();
        });
        server.closeAllConnections();
      }),
  };
}
