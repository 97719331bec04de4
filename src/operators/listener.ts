/** The operators' listener. Invariant: a token is compared in constant time, and bodies are bounded. */
import { createHash, timingSafeEqual } from 'node:crypto';
import type { IncomingMessage, Server } from 'node:http';
import { createHTTPServer } from '@trpc/server/adapters/standalone';
import type { Address } from '../model/index.js';
import {
  createOperatorsRouter,
  type OperatorsContext,
  type OperatorsDependencies,
} from './router.js';
import { MAX_CALL_DEADLINE } from './validate.js';

/** Bytes that the body of one call may have. */
const MAX_BODY_BYTES = 64 * 1024;
/** Bytes that the head of one call may have. */
const MAX_HEAD_BYTES = 16 * 1024;
/** Milliseconds in which a call must have arrived whole. */
const REQUEST_TIMEOUT = 10_000;

/** What {@link openOperators} needs. */
export interface OperatorsOptions extends OperatorsDependencies {
  readonly listen: Address;
  /** The token that operators present. */
  readonly token: string;
}

/** A listener that is open. */
export interface OperatorsListener {
  close(): Promise<void>;
}

/** Compares two tokens without telling by its time where they differ. */
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
 * Opens the operators' listener.
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
