/**
 * Serves small HTTP calls of operators, upstreams and monitoring. Invariant: each call gets one reply, and a
 * call that can't be handled gets an error status instead of ending the process.
 */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { parseAddress, type Address } from '../model/index.js';

/** A reply with its complete body. */
export interface HttpReply {
  readonly status: number;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

/** A running listener. */
export interface HttpListener {
  /** Stops listening and closes all connections. */
  close(): void;
}

/** Options of {@link openHttpListener}. */
export interface HttpListenerOptions {
  readonly listen: Address;
  readonly handle: (request: IncomingMessage) => HttpReply | Promise<HttpReply>;
  /** Called with the error of a call whose handler failed; the call gets status 500. */
  readonly onProblem: (target: string, error: unknown) => void;
}

function send(response: ServerResponse, { status, headers = {}, body = '' }: HttpReply): void {
  response.writeHead(status, { 'Content-Length': Buffer.byteLength(body), ...headers });
  response.end(body);
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
  onProblem,
}: HttpListenerOptions): Promise<HttpListener> {
  const answer = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    try {
      send(response, await handle(request));
    } catch (error) {
      onProblem(request.url ?? '', error);
      if (!response.headersSent) send(response, { status: 500 });
    }
  };
  const server = createServer((request, response) => {
    void answer(request, response);
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(parseAddress(listen), resolve);
  });
  server.on('error', (error) => {
    onProblem('', error);
  });
  return {
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
