/**
 * Serves small HTTP calls of operators, upstreams and monitoring. Invariant: each call gets one reply, a
 * call that can't be handled gets an error status instead of ending the process, and the bytes of the bodies that a
 * listener holds are bounded.
 */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { parseAddress, type Address, type Duration } from '../model/index.js';

/** A reply with its complete body. */
export interface HttpReply {
  readonly status: number;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

/** Bounds in bytes of the bodies that a listener holds. */
export interface BodyLimits {
  /** Largest body of a call; others get 413. */
  readonly perCall: number;
  /** Bytes of all calls that are being received; a call beyond it gets 503. */
  readonly all: number;
}

/** Milliseconds for which the rest of a body that is refused is read, so that its sender reads the reply. */
const DISCARD_TIME: Duration = 1000;
/** Milliseconds within which a call must have arrived. */
const REQUEST_TIMEOUT: Duration = 30_000;
const NO_BODY = Buffer.alloc(0);

/** A running listener. */
export interface HttpListener {
  /** Stops listening and closes all connections. */
  close(): void;
}

/** Options of {@link openHttpListener}. */
export interface HttpListenerOptions {
  readonly listen: Address;
  readonly handle: (request: IncomingMessage, body: Buffer) => HttpReply | Promise<HttpReply>;
  /** Without it, bodies are not read, and a connection on which one arrives is closed after the reply. */
  readonly bodyLimits?: BodyLimits;
  /** Called with the error of a call whose handler failed; the call gets status 500. */
  readonly onProblem: (target: string, error: unknown) => void;
}

function send(
  request: IncomingMessage,
  response: ServerResponse,
  { status, headers = {}, body = '' }: HttpReply,
): void {
  response.writeHead(status, {
    'Content-Length': Buffer.byteLength(body),
    ...(request.complete ? {} : { Connection: 'close' }),
    ...headers,
  });
  response.end(body);
}

/** A body, or the status of its refusal. */
type BodyResult =
  | { readonly kind: 'read'; readonly body: Buffer }
  | { readonly kind: 'refused'; readonly status: 413 | 503 };

/** Reads the bodies of a listener's calls within the limits. */
class BodyReader {
  readonly #limits: BodyLimits;
  #held = 0;

  constructor(limits: BodyLimits) {
    this.#limits = limits;
  }

  /** Reads a body. The bytes count as held until `release` is called; a cut body is never returned. */
  read(request: IncomingMessage): Promise<BodyResult & { readonly release: () => void }> {
    const { perCall, all } = this.#limits;
    return new Promise((resolve) => {
      let chunks: Buffer[] = [];
      let size = 0;
      let refusal: 413 | 503 | undefined;
      const release = (): void => {
        this.#held -= size;
        size = 0;
      };
      const refuse = (status: 413 | 503): void => {
        refusal = status;
        chunks = [];
        release();
        setTimeout(() => {
          resolve({ kind: 'refused', status, release });
        }, DISCARD_TIME);
      };
      request.on('data', (chunk: Buffer) => {
        if (refusal !== undefined) return;
        size += chunk.length;
        this.#held += chunk.length;
        chunks.push(chunk);
        if (size > perCall) refuse(413);
        else if (this.#held > all) refuse(503);
      });
      request.on('end', () => {
        if (refusal === undefined) resolve({ kind: 'read', body: Buffer.concat(chunks), release });
        else resolve({ kind: 'refused', status: refusal, release });
      });
      request.on('close', () => {
        if (!request.complete) release();
      });
      request.on('error', release);
    });
  }
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
}: HttpListenerOptions): Promise<HttpListener> {
  const reader = bodyLimits === undefined ? undefined : new BodyReader(bodyLimits);
  const handleWithBody = async (request: IncomingMessage): Promise<HttpReply> => {
    if (reader === undefined) return handle(request, NO_BODY);
    const result = await reader.read(request);
    try {
      return result.kind === 'read'
        ? await handle(request, result.body)
        : { status: result.status, headers: { Connection: 'close' } };
    } finally {
      result.release();
    }
  };
  const answer = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    try {
      send(request, response, await handleWithBody(request));
    } catch (error) {
      onProblem(request.url ?? '', error);
      if (!response.headersSent) send(request, response, { status: 500 });
    }
  };
  const server = createServer({ requestTimeout: REQUEST_TIMEOUT }, (request, response) => {
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
