/**
 * Refuses input that is not a well-formed request. Invariant: a refusal is never written in the middle of
 * another response on the same connection.
 */
import type { ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';
import { NOT_RUN_HEADER, OUTCOME_HEADER } from './headers.js';

interface Rejection {
  readonly status: string;
  readonly reason: string;
  readonly message: string;
}

const rejections: ReadonlyMap<string, Rejection> = new Map([
  [
    'HPE_HEADER_OVERFLOW',
    {
      status: '431 Request Header Fields Too Large',
      reason: 'headTooLarge',
      message: 'The head is too large: keep start line and header fields under 16384 bytes.',
    },
  ],
  [
    'ERR_HTTP_REQUEST_TIMEOUT',
    {
      status: '408 Request Timeout',
      reason: 'headTooSlow',
      message: 'The head took too long: send it within 10 seconds.',
    },
  ],
  [
    'HPE_CHUNK_EXTENSIONS_OVERFLOW',
    {
      status: '413 Payload Too Large',
      reason: 'chunkExtensionsTooLarge',
      message: 'The chunk extensions are too large: send none.',
    },
  ],
  [
    'CONNECT',
    {
      status: '405 Method Not Allowed',
      reason: 'badMethod',
      message: 'CONNECT is not forwarded: call /{service}/{path}.',
    },
  ],
]);

const malformed: Rejection = {
  status: '400 Bad Request',
  reason: 'malformed',
  message: 'This is not a well-formed HTTP/1.1 request: check its framing and header fields.',
};

function renderRejection({ status, reason, message }: Rejection, fields: string[]): string {
  const body = `${JSON.stringify({ reason, message })}\n`;
  const head = [
    `HTTP/1.1 ${status}`,
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`,
    ...fields,
    'connection: close',
  ];
  return `${head.join('\r\n')}\r\n\r\n${body}`;
}

/** How to handle a connection that received malformed input. */
type RejectionAction =
  /** No response is in progress, so the refusal can be written. */
  | { readonly kind: 'refuse'; readonly fields: string[] }
  /** The response to an earlier well-formed request is finished first. */
  | { readonly kind: 'finish'; readonly response: ServerResponse }
  /** A response was partly sent, so the connection can only be closed. */
  | { readonly kind: 'cut' };

function chooseAction(socket: Duplex, latest: ServerResponse | undefined): RejectionAction {
  if (!socket.writable) return { kind: 'cut' };
  if (latest === undefined || latest.writableFinished) {
    return { kind: 'refuse', fields: [`${NOT_RUN_HEADER}: 1`] };
  }
  if (latest.writableEnded || latest.req.complete) return { kind: 'finish', response: latest };
  const isUnanswered = latest.socket === socket && !latest.headersSent;
  return isUnanswered
    ? { kind: 'refuse', fields: [`${OUTCOME_HEADER}: unknown`] }
    : { kind: 'cut' };
}

/**
 * Refuses malformed input and closes its connection. `code` is the parser's error code; `latest` is the
 * response to the last well-formed head on this connection.
 *
 * @example
 * server.on('clientError', (error, socket) => refuseMalformed(socket, error.code, latest));
 */
export function refuseMalformed(
  socket: Duplex,
  code: string | undefined,
  latest: ServerResponse | undefined,
): void {
  const action = chooseAction(socket, latest);
  switch (action.kind) {
    case 'refuse':
      socket.end(renderRejection(rejections.get(code ?? '') ?? malformed, action.fields), () => {
        socket.destroy();
      });
      break;
    case 'finish':
      action.response.shouldKeepAlive = false;
      action.response.once('finish', () => {
        socket.end(() => {
          socket.destroy();
        });
      });
      break;
    case 'cut':
      socket.destroy();
      break;
  }
}
