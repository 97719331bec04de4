import { After, Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { isIdempotentKind, isLargeKind, type RouteKind } from '../../src/catalog/index.js';
import { BufferBudget } from '../../src/gateway/buffers.js';
import {
  CallerConnection,
  type CallerAnswer,
  type CallerHost,
  type CallerRequest,
} from '../../src/gateway/caller.js';

const MB = 1024 * 1024;
/** Milliseconds. */
const HEAD_TIMEOUT = 3000;
const IDLE_TIMEOUT = 15_000;
const TIME_LIMIT = 3000;
/** Milliseconds that the kernel may take to pass on what was written. */
const DELIVERY_TIME = 50;

interface UploadWorld {
  uploadServer: Server;
  uploadClient: Socket;
  connection: CallerConnection;
  /** Milliseconds by which the clock of the gateway is ahead. */
  ahead: number;
  uploads: CallerRequest[];
  received: string;
  hasClosed: boolean;
}

function buildAnswer(status: number): CallerAnswer {
  return { status, reason: 'X', headers: [], body: Buffer.from('text') };
}

function createHost(world: UploadWorld): CallerHost {
  return {
    now: () => performance.now() + world.ahead,
    getTimeLimit: ({ target }) => (target === '/limited' ? TIME_LIMIT : undefined),
    isIdempotent: () => false,
    serve: (request, onAnswer) => {
      world.uploads.push(request);
      onAnswer(buildAnswer(200));
      return undefined;
    },
    isStopping: () => false,
    renderFault: ({ status }) => buildAnswer(status),
    renderNoRoom: () => buildAnswer(503),
    onClose: () => undefined,
  };
}

Given(
  "a caller's connection to a gateway that takes bodies of {int} MB",
  async function (this: UploadWorld, size: number) {
    Object.assign(this, { ahead: 0, uploads: [], received: '', hasClosed: false });
    const limits = { headBytes: 16_384, bodyBytes: size * MB };
    this.uploadServer = createServer({ allowHalfOpen: true }, (socket) => {
      this.connection = new CallerConnection(
        createHost(this),
        socket,
        limits,
        new BufferBudget(64 * MB),
      );
    });
    await new Promise<void>((resolve) => this.uploadServer.listen(0, '127.0.0.1', resolve));
    const { port } = this.uploadServer.address() as AddressInfo;
    this.uploadClient = connect({ port, host: '127.0.0.1', allowHalfOpen: true });
    this.uploadClient.on('data', (chunk) => {
      this.received += chunk.toString('latin1');
    });
    this.uploadClient.on('end', () => {
      this.hasClosed = true;
    });
    await once(this.uploadClient, 'connect');
  },
);

function renderHead(target: string, field: string): string {
  return `POST ${target} HTTP/1.1\r\nHost: a\r\n${field}\r\n\r\n`;
}

/** Sends a part of a request and lets the gateway's clock go on by `time` milliseconds. */
async function sendBefore(world: UploadWorld, text: string, time: number): Promise<void> {
  world.uploadClient.write(text);
  await sleep(DELIVERY_TIME);
  world.ahead += time;
  const now = performance.now() + world.ahead;
  world.connection.checkTimeouts(now, HEAD_TIMEOUT, IDLE_TIMEOUT);
}

const faults: Readonly<Record<string, (world: UploadWorld) => Promise<void> | void>> = {
  'is announced as larger than the limit': ({ uploadClient }) => {
    uploadClient.write(renderHead('/', `Content-Length: ${MB + 1}`));
  },
  'grows larger than the limit': ({ uploadClient }) => {
    const chunk = `80000\r\n${'a'.repeat(0x80000)}\r\n`;
    uploadClient.write(`${renderHead('/', 'Transfer-Encoding: chunked')}${chunk}${chunk}1\r\n`);
  },
  'ends before its announced length': ({ uploadClient }) => {
    uploadClient.end(`${renderHead('/', 'Content-Length: 3')}ab`);
  },
  'ends between two chunks': ({ uploadClient }) => {
    uploadClient.end(`${renderHead('/', 'Transfer-Encoding: chunked')}1\r\na\r\n`);
  },
  'stops until its caller gives up': (world) =>
    sendBefore(world, `${renderHead('/limited', 'Content-Length: 3')}ab`, TIME_LIMIT + 1),
  'stops for the idle timeout': (world) =>
    sendBefore(world, `${renderHead('/', 'Content-Length: 3')}ab`, IDLE_TIMEOUT + 1),
};

When(
  /^the caller sends a request whose body (is announced as larger than the limit|grows larger than the limit|ends before its announced length|ends between two chunks|stops until its caller gives up|stops for the idle timeout)$/,
  async function (this: UploadWorld, fault: string) {
    await faults[fault]?.(this);
  },
);

When(
  'the caller sends a request whose body pauses for less than the idle timeout',
  async function (this: UploadWorld) {
    await sendBefore(this, `${renderHead('/', 'Content-Length: 3')}a`, IDLE_TIMEOUT - 1000);
    await sendBefore(this, 'b', IDLE_TIMEOUT - 1000);
    await sendBefore(this, 'c', 0);
  },
);

Then(
  'its answer is {int}, no request was served, and the gateway closes the connection',
  async function (this: UploadWorld, status: number) {
    while (!this.hasClosed) await sleep(1);
    assert.match(this.received, new RegExp(`^HTTP/1.1 ${status} `));
    assert.deepEqual(this.uploads, []);
  },
);

Then(
  'its answer is {int} and its whole body was served',
  function (this: UploadWorld, status: number) {
    assert.match(this.received, new RegExp(`^HTTP/1.1 ${status} `));
    assert.deepEqual(
      this.uploads.map(({ body }) => body.toString()),
      ['abc'],
    );
  },
);

Then(
  'a request of the kind {string} {string} and {string}',
  function (kind: RouteKind, repeat: string, place: string) {
    assert.equal(isIdempotentKind(kind) ? 'may run again' : 'runs at most once', repeat);
    assert.equal(isLargeKind(kind) ? 'stays in its zone' : 'goes to any zone', place);
  },
);

After(function (this: Partial<UploadWorld>) {
  this.uploadClient?.destroy();
  this.uploadServer?.close();
  this.connection?.close();
});
