/** A test upstream whose behaviour each request selects by a header field, for the randomised scenario. */
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http';

/** Ways in which the upstream can handle a request. */
export const behaviours = [
  'plain',
  'chunked',
  'large',
  'closing',
  'hinted',
  'empty',
  'unchanged',
  'unchangedWithLength',
  'slow',
  'late',
  'never',
  'early',
  'cutLength',
  'cutChunked',
  'cutHead',
  'reset',
  'stray',
  'refuse',
] as const;
/** One of {@link behaviours}. */
export type Behaviour = (typeof behaviours)[number];

/** Header fields that identify a request and select the behaviour of the upstream. */
export const ID_FIELD = 'x-id';
export const BEHAVIOUR_FIELD = 'x-behaviour';

const LARGE_REPEATS = 20_000;
const SLOW_MS = 15;
const LATE_MS = 120;

/** Returns the response body for a request. */
export function createBody(id: string, behaviour: Behaviour): string {
  return behaviour === 'large' ? `${id};`.repeat(LARGE_REPEATS) : `answer to ${id}.`;
}

function closeAfterWrite(response: ServerResponse, part: string, reset: boolean): void {
  response.write(part, () => {
    if (reset) response.req.socket.resetAndDestroy();
    else response.req.socket.destroy();
  });
}

function sendResponse(response: ServerResponse, id: string, behaviour: Behaviour): void {
  const body = createBody(id, behaviour);
  const half = body.slice(0, body.length / 2);
  const length = { 'content-length': String(body.length) };
  response.setHeader(ID_FIELD, id);
  switch (behaviour) {
    case 'plain':
    case 'early':
    case 'slow':
    case 'late':
      response.writeHead(200, length);
      response.end(body);
      break;
    case 'chunked':
    case 'large':
      response.write(half);
      response.end(body.slice(half.length));
      break;
    case 'closing':
      response.writeHead(200, { ...length, connection: 'close' });
      response.end(body);
      break;
    case 'hinted':
      response.writeEarlyHints({ link: '</style.css>; rel=preload' });
      response.writeHead(200, length);
      response.end(body);
      break;
    case 'empty':
      response.writeHead(204);
      response.end();
      break;
    case 'unchanged':
      response.writeHead(304);
      response.end();
      break;
    case 'unchangedWithLength':
      response.writeHead(304, length);
      response.end();
      break;
    case 'never':
      break;
    case 'cutLength':
      response.writeHead(200, length);
      closeAfterWrite(response, half, false);
      break;
    case 'cutChunked':
      closeAfterWrite(response, half, false);
      break;
    case 'cutHead':
      response.req.socket.end('HTTP/1.1 200 OK\r\ncontent-le');
      break;
    case 'reset':
      closeAfterWrite(response, half, true);
      break;
    case 'stray': {
      const { socket } = response.req;
      response.writeHead(200, length);
      response.end(body, () => socket.write('stray bytes'));
      break;
    }
    case 'refuse':
      response.setHeader('x-chivewalk-not-run', '1');
      response.writeHead(503, length);
      response.end(body);
      break;
  }
}

/** Record of the requests that the upstream ran. */
export interface RunLog {
  /** Number of runs of each request, by its id. */
  readonly runs: Map<string, number>;
}

function handleRequest(log: RunLog, request: IncomingMessage, response: ServerResponse): void {
  const id = String(request.headers[ID_FIELD]);
  const behaviour = String(request.headers[BEHAVIOUR_FIELD]) as Behaviour;
  if (behaviour !== 'refuse') log.runs.set(id, (log.runs.get(id) ?? 0) + 1);
  const respond = (): void => {
    sendResponse(response, id, behaviour);
  };
  request.on('error', () => undefined);
  response.on('error', () => undefined);
  if (behaviour === 'early') respond();
  request.resume();
  request.on('end', () => {
    if (behaviour === 'slow') setTimeout(respond, SLOW_MS);
    else if (behaviour === 'late') setTimeout(respond, LATE_MS);
    else if (behaviour !== 'early') respond();
  });
}

/** Returns the request listener of a scripted upstream. */
export function createScriptedListener(log: RunLog): RequestListener {
  return (request, response) => {
    handleRequest(log, request, response);
  };
}
