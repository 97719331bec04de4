import { Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { connect } from 'node:net';
import type { EntryWorld } from './world.js';

interface RawRequest {
  readonly name: string;
  /** Whether HTTP parsers are known to interpret it differently. */
  readonly ambiguous: boolean;
  readonly text: string;
}

interface RawResult {
  readonly name: string;
  /** Status lines of all responses on the connection. */
  readonly answers: readonly string[];
  /** Number of requests that reached the upstream complete. */
  readonly reached: number;
}

interface MalformedWorld extends EntryWorld {
  results: RawResult[];
}

const GET = 'GET /seam/a HTTP/1.1\r\nHost: a\r\n';
const POST = 'POST /seam/a HTTP/1.1\r\nHost: a\r\n';
const CHUNKED = 'Transfer-Encoding: chunked\r\n';
const HIDDEN = 'GET /seam/hidden HTTP/1.1\r\nHost: a\r\n\r\n';

function createCase(name: string, ambiguous: boolean, text: string): RawRequest {
  return { name, ambiguous, text };
}

const rawRequests: readonly RawRequest[] = [
  createCase('valid GET', false, `${GET}\r\n`),
  createCase('valid POST', false, `${POST}Content-Length: 4\r\n\r\nhold`),
  createCase('valid chunked POST', false, `${POST}${CHUNKED}\r\n4\r\nhold\r\n0\r\n\r\n`),
  createCase('two pipelined GETs', false, `${GET}\r\n${GET}\r\n`),
  createCase(
    'length and chunked',
    true,
    `${POST}Content-Length: 4\r\n${CHUNKED}\r\n0\r\n\r\n${HIDDEN}`,
  ),
  createCase(
    'chunked and length',
    true,
    `${POST}${CHUNKED}Content-Length: 4\r\n\r\n0\r\n\r\n${HIDDEN}`,
  ),
  createCase(
    'two equal lengths',
    true,
    `${POST}Content-Length: 4\r\nContent-Length: 4\r\n\r\nhold`,
  ),
  createCase(
    'two different lengths',
    true,
    `${POST}Content-Length: 4\r\nContent-Length: 40\r\n\r\nhold`,
  ),
  createCase('list of lengths', true, `${POST}Content-Length: 4, 4\r\n\r\nhold`),
  createCase('signed length', true, `${POST}Content-Length: +4\r\n\r\nhold`),
  createCase('negative length', true, `${POST}Content-Length: -4\r\n\r\nhold`),
  createCase('hexadecimal length', true, `${POST}Content-Length: 0x4\r\n\r\nhold`),
  createCase('empty length', true, `${POST}Content-Length: \r\n\r\n`),
  createCase(
    'length beyond 64 bits',
    true,
    `${POST}Content-Length: 18446744073709551620\r\n\r\nhold`,
  ),
  createCase('length with a space inside', true, `${POST}Content-Length: 4 4\r\n\r\nhold`),
  createCase('space before the colon', true, `${POST}Content-Length : 4\r\n\r\nhold`),
  createCase('tab before the colon', true, `${POST}Content-Length\t: 4\r\n\r\nhold`),
  createCase('chunked twice', true, `${POST}${CHUNKED}${CHUNKED}\r\n0\r\n\r\n${HIDDEN}`),
  createCase(
    'chunked not last',
    true,
    `${POST}Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n${HIDDEN}`,
  ),
  createCase('gzip and chunked', true, `${POST}Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n`),
  createCase(
    'identity encoding',
    true,
    `${POST}Transfer-Encoding: identity\r\nContent-Length: 4\r\n\r\nhold`,
  ),
  createCase('quoted chunked', true, `${POST}Transfer-Encoding: "chunked"\r\n\r\n0\r\n\r\n`),
  createCase('xchunked', true, `${POST}Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n${HIDDEN}`),
  createCase(
    'vertical tab in the encoding',
    true,
    `${POST}Transfer-Encoding: \x0bchunked\r\n\r\n0\r\n\r\n${HIDDEN}`,
  ),
  createCase(
    'folded encoding',
    true,
    `${POST}Transfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\n${HIDDEN}`,
  ),
  createCase('folded field', true, `${GET}X-A: 1\r\n more\r\n\r\n`),
  createCase('folded first field', true, `GET /seam/a HTTP/1.1\r\n X-A: 1\r\nHost: a\r\n\r\n`),
  createCase('bare CR in a field', true, `${GET}X-A: 1\rX-B: 2\r\n\r\n`),
  createCase('bare CR ends a field', true, `${GET}X-A: 1\r\r\n\r\n`),
  createCase('bare LF ends a field', true, `${GET}X-A: 1\nX-B: 2\r\n\r\n`),
  createCase('bare LF ends the head', true, `${GET}\n${HIDDEN}`),
  createCase('bare LF ends the start line', true, `GET /seam/a HTTP/1.1\nHost: a\r\n\r\n`),
  createCase('NUL in a field', true, `${GET}X-A: 1\0\r\n\r\n`),
  createCase('control in a name', true, `${GET}X\x01A: 1\r\n\r\n`),
  createCase('empty name', true, `${GET}: 1\r\n\r\n`),
  createCase('field without a colon', true, `${GET}Transfer-Encoding chunked\r\n\r\n`),
  createCase('space in a name', true, `${GET}X A: 1\r\n\r\n`),
  createCase('chunk size with a sign', true, `${POST}${CHUNKED}\r\n+4\r\nhold\r\n0\r\n\r\n`),
  createCase('chunk size with 0x', true, `${POST}${CHUNKED}\r\n0x4\r\nhold\r\n0\r\n\r\n`),
  createCase('chunk size with spaces', true, `${POST}${CHUNKED}\r\n4 \r\nhold\r\n0\r\n\r\n`),
  createCase(
    'chunk size too large',
    true,
    `${POST}${CHUNKED}\r\nfffffffffffffffff\r\nhold\r\n0\r\n\r\n`,
  ),
  createCase('chunk ended by LF', true, `${POST}${CHUNKED}\r\n4\nhold\r\n0\r\n\r\n`),
  createCase('chunk without its CRLF', true, `${POST}${CHUNKED}\r\n4\r\nholdX0\r\n\r\n`),
  createCase('chunk extension with LF', true, `${POST}${CHUNKED}\r\n4;a\nb\r\nhold\r\n0\r\n\r\n`),
  createCase(
    'chunk extension of 20 KiB',
    false,
    `${POST}${CHUNKED}\r\n4;${'a'.repeat(20_480)}\r\nhold\r\n0\r\n\r\n`,
  ),
  createCase(
    'body longer than its length',
    false,
    `${POST}Content-Length: 4\r\n\r\nholdmore\r\n\r\n`,
  ),
  createCase('GET with a body', false, `${GET}Content-Length: 4\r\n\r\nhold`),
  createCase('no host', false, 'GET /seam/a HTTP/1.1\r\n\r\n'),
  createCase('two hosts', true, 'GET /seam/a HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n'),
  createCase('HTTP/1.0', false, 'GET /seam/a HTTP/1.0\r\nHost: a\r\n\r\n'),
  createCase(
    'HTTP/1.0 chunked',
    true,
    `POST /seam/a HTTP/1.0\r\nHost: a\r\n${CHUNKED}\r\n0\r\n\r\n`,
  ),
  createCase('HTTP/0.9', false, 'GET /seam/a\r\n\r\n'),
  createCase('HTTP/2 preface', false, 'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n'),
  createCase('HTTP/1.2', false, 'GET /seam/a HTTP/1.2\r\nHost: a\r\n\r\n'),
  createCase('lower-case method', false, 'get /seam/a HTTP/1.1\r\nHost: a\r\n\r\n'),
  createCase('unknown method', false, 'SPY /seam/a HTTP/1.1\r\nHost: a\r\n\r\n'),
  createCase('absolute target', true, 'GET http://b/seam/a HTTP/1.1\r\nHost: a\r\n\r\n'),
  createCase('target of an asterisk', false, 'OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n'),
  createCase('CONNECT', false, 'CONNECT b:80 HTTP/1.1\r\nHost: a\r\n\r\n'),
  createCase('TRACE', false, 'TRACE /seam/a HTTP/1.1\r\nHost: a\r\n\r\n'),
  createCase('space in the target', true, 'GET /seam/a b HTTP/1.1\r\nHost: a\r\n\r\n'),
  createCase('two spaces in the start line', false, 'GET  /seam/a HTTP/1.1\r\nHost: a\r\n\r\n'),
  createCase('tab in the start line', true, 'GET\t/seam/a HTTP/1.1\r\nHost: a\r\n\r\n'),
  createCase('fragment in the target', true, 'GET /seam/a#b HTTP/1.1\r\nHost: a\r\n\r\n'),
  createCase('control in the target', true, 'GET /seam/a\x01 HTTP/1.1\r\nHost: a\r\n\r\n'),
  createCase('high byte in the target', false, 'GET /seam/\xe9 HTTP/1.1\r\nHost: a\r\n\r\n'),
  createCase('target of 9 KiB', false, `GET /seam/${'a'.repeat(9216)} HTTP/1.1\r\nHost: a\r\n\r\n`),
  createCase('head of 20 KiB', false, `${GET}X-A: ${'a'.repeat(20_480)}\r\n\r\n`),
  createCase('101 fields', false, `${GET}${'X-A: 1\r\n'.repeat(101)}\r\n`),
  createCase('upgrade', false, `${GET}Connection: upgrade\r\nUpgrade: websocket\r\n\r\n`),
  createCase(
    'upgrade to h2c',
    false,
    `${GET}Connection: upgrade, http2-settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQAAP__\r\n\r\n`,
  ),
  createCase(
    'connection names a framing field',
    false,
    `${POST}Connection: content-length\r\nContent-Length: 4\r\n\r\nhold`,
  ),
  createCase('unknown expectation', false, `${POST}Expect: more\r\nContent-Length: 4\r\n\r\nhold`),
  createCase('deadline not a number', false, `${GET}X-Chivewalk-Deadline-Ms: soon\r\n\r\n`),
  createCase('deadline of zero', false, `${GET}X-Chivewalk-Deadline-Ms: 0\r\n\r\n`),
  createCase(
    'two deadlines',
    false,
    `${GET}X-Chivewalk-Deadline-Ms: 5\r\nX-Chivewalk-Deadline-Ms: 9\r\n\r\n`,
  ),
  createCase('unknown criticality', false, `${GET}X-Chivewalk-Criticality: vital\r\n\r\n`),
  createCase('hops not a number', false, `${GET}X-Chivewalk-Hops: -1\r\n\r\n`),
  createCase('sixteen hops', false, `${GET}X-Chivewalk-Hops: 16\r\n\r\n`),
  createCase('key with a space', false, `${POST}Idempotency-Key: a b\r\nContent-Length: 0\r\n\r\n`),
  createCase(
    'key of 129 characters',
    false,
    `${POST}Idempotency-Key: ${'k'.repeat(129)}\r\nContent-Length: 0\r\n\r\n`,
  ),
  createCase('empty key', false, `${POST}Idempotency-Key: \r\nContent-Length: 0\r\n\r\n`),
  createCase(
    'keyed body of 300 KiB',
    false,
    `${POST}Idempotency-Key: k\r\nContent-Length: 307200\r\n\r\n`,
  ),
];

/** Milliseconds to wait for the first byte of a response. */
const FIRST_BYTE_MS = 3000;
/** Milliseconds without new bytes after which a connection is closed. */
const IDLE_MS = 300;
const STATUS_LINE = /HTTP\/1\.1 \d{3} [^\r]*/g;

/** Sends bytes on a new connection and returns everything received on it. */
function sendRaw(port: number, text: string): Promise<string> {
  return new Promise((resolve) => {
    let received = '';
    const socket = connect(port, '127.0.0.1', () => socket.write(text, 'latin1'));
    const finish = (): void => {
      socket.destroy();
      resolve(received);
    };
    let timer = setTimeout(finish, FIRST_BYTE_MS);
    socket.on('data', (chunk) => {
      received += chunk.toString('latin1');
      clearTimeout(timer);
      timer = setTimeout(finish, IDLE_MS);
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      clearTimeout(timer);
      resolve(received);
    });
  });
}

/** Sends one case under its own path, which identifies its requests at the upstream. */
async function runCase(
  world: MalformedWorld,
  { name, text }: RawRequest,
  at: number,
): Promise<RawResult> {
  const answer = await sendRaw(world.harness.port, text.replaceAll('/seam/', `/seam/case-${at}/`));
  const reached = world.receivedPaths.filter((url) => url.startsWith(`/case-${at}/`)).length;
  return { name, answers: answer.match(STATUS_LINE) ?? [], reached };
}

When('each raw request is sent on its own connection', async function (this: MalformedWorld) {
  this.results = await Promise.all(rawRequests.map((raw, at) => runCase(this, raw, at)));
});

Then(
  'the responses and the requests that reached the upstream match the snapshot',
  function (this: MalformedWorld) {
    const rows = this.results.map(({ name, answers, reached }) => {
      return `${name}: ${answers.join(' + ') || 'closed'}, ${reached} reached`;
    });
    const counts = {
      sent: this.results.length,
      refused: this.results.filter(({ reached }) => reached === 0).length,
      forwarded: this.results.filter(({ reached }) => reached > 0).length,
    };
    assert.deepEqual(this.harness.defects, []);
    this.matchSnapshot({ counts, rows });
  },
);

Then(
  'no request marked as ambiguous reached the upstream complete',
  function (this: MalformedWorld) {
    const ambiguous = new Set(rawRequests.filter((raw) => raw.ambiguous).map(({ name }) => name));
    const passed = this.results.filter(({ name, reached }) => ambiguous.has(name) && reached > 0);
    assert.deepEqual(passed, []);
  },
);

When(
  'a valid request and a malformed one are sent together',
  async function (this: MalformedWorld) {
    this.observed = await sendRaw(
      this.harness.port,
      `${GET}\r\nGET /seam/b HTTP/1.1\r\nHost : a\r\n\r\n`,
    );
  },
);

Then(
  'the caller receives one complete response and no byte of another',
  function (this: MalformedWorld) {
    const [head = '', body = ''] = String(this.observed).split('\r\n\r\n');
    const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? '0');
    assert.match(head, /^HTTP\/1\.1 200 OK/);
    assert.equal(body.length, length);
  },
);
