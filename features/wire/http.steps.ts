import { After, Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { request as sendRequest } from 'node:http';
import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { openHttpListener, type HttpListener } from '../../src/wire/index.js';
import { findFreePorts } from '../support/ports.js';

interface HttpWorld {
  httpPort: number;
  httpListener: HttpListener;
  httpSockets: Socket[];
  /** Statuses that callers read from replies. */
  httpStatuses: number[];
}

const MEGABYTE = 1024 * 1024;
const PIECE = 64 * 1024;

async function openListener(world: HttpWorld, readsBodies: boolean): Promise<void> {
  const [port = 0] = await findFreePorts(1);
  world.httpPort = port;
  world.httpSockets = [];
  world.httpStatuses = [];
  world.httpListener = await openHttpListener({
    listen: `127.0.0.1:${port}`,
    ...(readsBodies ? { bodyLimits: { perCall: MEGABYTE, all: 2 * MEGABYTE } } : {}),
    handle: (_, body) => ({ status: 200, body: `${body.length} bytes` }),
    onProblem: (target, error) => {
      assert.fail(`${target}: ${String(error)}`);
    },
  });
}

Given(
  'a listener that takes bodies of 1 MB, and 2 MB of all calls',
  async function (this: HttpWorld) {
    await openListener(this, true);
  },
);

Given('a listener that takes no bodies', async function (this: HttpWorld) {
  await openListener(this, false);
});

function openCaller(world: HttpWorld): Socket {
  const socket = connect(world.httpPort, '127.0.0.1');
  world.httpSockets.push(socket);
  socket.on('error', () => undefined);
  socket.on('data', (chunk) => {
    const status = /^HTTP\/1\.1 (\d+)/.exec(chunk.toString('latin1'))?.[1];
    if (status !== undefined) world.httpStatuses.push(Number(status));
  });
  return socket;
}

/** Writes pieces until the connection is closed. */
function writeWithoutEnd(socket: Socket, piece: Buffer): void {
  while (socket.writable && socket.write(piece)) continue;
  if (socket.writable)
    socket.once('drain', () => {
      writeWithoutEnd(socket, piece);
    });
}

When(/^12 callers send (.*) without end$/, function (this: HttpWorld, bytes: string) {
  const isChunked = bytes === 'a body in chunks';
  const framing = isChunked ? 'Transfer-Encoding: chunked' : 'Content-Length: 99999999999';
  const piece = isChunked ? `${PIECE.toString(16)}\r\n${'a'.repeat(PIECE)}\r\n` : 'a'.repeat(PIECE);
  Array.from({ length: 12 }, () => openCaller(this)).forEach((socket) => {
    socket.write(`POST / HTTP/1.1\r\nHost: x\r\n${framing}\r\n\r\n`);
    writeWithoutEnd(socket, Buffer.from(piece));
  });
});

Then(
  /^within (\d+) ms each of their connections is closed, and those that read got (.*)$/,
  async function (this: HttpWorld, limit: string, statuses: string) {
    const until = performance.now() + Number(limit);
    const countOpen = (): number => this.httpSockets.filter(({ destroyed }) => !destroyed).length;
    while (countOpen() > 0 && performance.now() < until) await sleep(20);
    assert.equal(countOpen(), 0);
    const allowed = statuses.split(' or ').map(Number);
    assert.ok(
      this.httpStatuses.every((status) => allowed.includes(status)),
      this.httpStatuses.join(' '),
    );
  },
);

function sendCall(
  world: HttpWorld,
  bytes: number,
): Promise<{ readonly status: number; readonly text: string }> {
  return new Promise((resolve, reject) => {
    const request = sendRequest(
      { host: '127.0.0.1', port: world.httpPort, method: 'POST', agent: false },
      (response) => {
        let text = '';
        response.on('data', (chunk: Buffer) => (text += chunk.toString()));
        response.on('end', () => {
          resolve({ status: response.statusCode ?? 0, text });
        });
      },
    );
    request.on('error', reject);
    request.end(Buffer.alloc(bytes));
  });
}

Then('a call with a body of 1 MB is answered with it', async function (this: HttpWorld) {
  const { status, text } = await sendCall(this, MEGABYTE);
  assert.equal(status, 200);
  assert.equal(text, `${MEGABYTE} bytes`);
});

Then(
  'a call with a body of {int} MB is answered with {int}',
  async function (this: HttpWorld, megabytes: number, wanted: number) {
    const { status } = await sendCall(this, megabytes * MEGABYTE);
    assert.equal(status, wanted);
  },
);

When(
  '12 callers send half a body of 1 MB and leave, one after the other',
  async function (this: HttpWorld) {
    await Array.from({ length: 12 }).reduce<Promise<void>>(async (previous) => {
      await previous;
      const socket = openCaller(this);
      socket.write(`POST / HTTP/1.1\r\nHost: x\r\nContent-Length: ${MEGABYTE}\r\n\r\n`);
      socket.write(Buffer.alloc(MEGABYTE / 2));
      await sleep(30);
      socket.destroy();
    }, Promise.resolve());
    await sleep(100);
  },
);

After(function (this: Partial<HttpWorld>) {
  this.httpSockets?.forEach((socket) => socket.destroy());
  this.httpListener?.close();
});
