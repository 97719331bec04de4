/** A test upstream that responds with given bytes on a plain TCP socket. */
import { createServer, type Server, type Socket } from 'node:net';

/** Response of a raw upstream to a request head. */
export interface RawBehaviour {
  /** Bytes written as the response; nothing is written if absent. */
  readonly answer?: string;
  /**
   * Written as the response to the second and later requests; a copy of {@link answer} goes before it on the
   * connection that carried the first one.
   */
  readonly laterAnswer?: string;
  /** How the connection ends after the response; it stays open if absent. */
  readonly end?: 'close' | 'reset';
}

/** A running raw upstream. */
export interface RawUpstream {
  readonly address: string;
  /** Start lines of the received requests, in order. */
  readonly requests: string[];
  /** Returns the number of connections that have closed. */
  readonly closed: () => number;
  readonly stop: () => void;
}

const START_LINE = /^(?:GET|HEAD|OPTIONS|PUT|DELETE|POST|PATCH) \S+ HTTP\/1\.1$/gm;

function applyBehaviour(
  socket: Socket,
  { answer, laterAnswer, end }: RawBehaviour,
  isFirst: boolean,
  isFirstSocket: boolean,
): void {
  if (answer !== undefined && (isFirst || laterAnswer === undefined || isFirstSocket)) {
    socket.write(answer, 'latin1');
  }
  if (laterAnswer !== undefined && !isFirst) socket.write(laterAnswer, 'latin1');
  if (end === 'close') socket.end();
  if (end === 'reset') setTimeout(() => socket.resetAndDestroy(), 10);
}

/** Starts a raw upstream on a free loopback port. */
export async function startRawUpstream(behaviour: RawBehaviour): Promise<RawUpstream> {
  const requests: string[] = [];
  const sockets = new Set<Socket>();
  let closed = 0;
  let firstSocket: Socket | undefined;
  const server: Server = createServer((socket) => {
    sockets.add(socket);
    let text = '';
    socket.on('error', () => undefined);
    socket.on('close', () => {
      closed += 1;
    });
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
      if (!text.includes('\r\n\r\n')) return;
      requests.push(...(text.match(START_LINE) ?? []));
      text = '';
      firstSocket ??= socket;
      applyBehaviour(socket, behaviour, requests.length === 1, socket === firstSocket);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const bound = server.address();
  const port = typeof bound === 'object' && bound !== null ? bound.port : 0;
  return {
    address: `127.0.0.1:${port}`,
    requests,
    closed: () => closed,
    stop: () => {
      sockets.forEach((socket) => socket.destroy());
      server.close();
    },
  };
}
