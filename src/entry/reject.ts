/**
 * Refuses what is not a well-formed request. Invariant: nothing is written into a connection that has an
 * answer under way.
 */
import type { Duplex } from 'node:stream';
import { NOT_RUN_HEADER } from './headers.js';

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

/**
 * Answers a malformed request and closes its connection.
 *
 * @example
 * server.on('clientError', (error, socket) => refuseSocket(socket, error.code, isIdle));
 */
export function refuseSocket(socket: Duplex, code: string | undefined, isIdle: boolean): void {
  if (!isIdle || !socket.writable || code === 'ECONNRESET') {
    socket.destroy();
    return;
  }
  const { status, reason, message } = rejections.get(code ?? '') ?? malformed;
  const body = `${JSON.stringify({ reason, message })}\n`;
  const head = [
    `HTTP/1.1 ${status}`,
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`,
    `${NOT_RUN_HEADER}: 1`,
    'connection: close',
  ];
  socket.end(`${head.join('\r\n')}\r\n\r\n${body}`);
}
