import { After, Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { isOrderlyEnd } from '../../src/gateway/streamend.js';
import {
  closePool,
  ID_HEADER,
  openPool,
  readRequestId,
  sendInTurn,
  startServer,
  type PoolWorld,
} from './poolworld.js';

const LIMIT_BYTES = 64 * 1024 * 1024;
const STEP = { timeout: 60_000 };
/** Milliseconds after which an upstream closes or resets a connection at the latest. */
const MAX_DELAY = 10;
const ANSWER = `${'a part of the answer '.repeat(100)}and its end`;
const PART = ANSWER.slice(0, 500);

interface UnframedWorld extends PoolWorld {
  /** Answers the request with this id and number. */
  answer: (socket: Socket, id: string, number: number) => void;
  isOrderly: boolean;
}

function renderUnframed(id: string, body: string): string {
  return `HTTP/1.1 200 OK\r\n${ID_HEADER}: ${id}\r\n\r\n${body}`;
}

Given(
  'an upstream that answers a request at once, without a length',
  async function (this: UnframedWorld) {
    openPool(this, LIMIT_BYTES);
    let number = 0;
    this.address = await startServer(this, (socket) => {
      socket.once('data', (chunk) => {
        number += 1;
        this.answer(socket, readRequestId(chunk), number);
      });
    });
  },
);

/** Returns the time before a close in milliseconds: none, or another one for each request. */
function computeDelay(when: string, number: number): number {
  return when === 'at once' ? 0 : number % (MAX_DELAY + 1);
}

/** Calls the function after the delay, or at once: together with the bytes that were written before. */
function runAfter(delay: number, act: () => void): void {
  if (delay === 0) act();
  else setTimeout(act, delay);
}

async function sendUploads(world: UnframedWorld, count: number, bytes: number): Promise<void> {
  const ids = Array.from({ length: count }, (_, at) => `upload-${at}`);
  world.outcomes = await sendInTurn(world, ids, Buffer.alloc(bytes));
}

When(
  'it sends a part and resets the connection {}, for {int} requests with {int} bytes',
  STEP,
  async function (this: UnframedWorld, when: string, count: number, bytes: number) {
    this.answer = (socket, id, number) => {
      socket.write(renderUnframed(id, PART));
      socket.pause();
      runAfter(computeDelay(when, number), () => socket.resetAndDestroy());
    };
    await sendUploads(this, count, bytes);
  },
);

When(
  'it sends the whole answer and closes the connection {}, for {int} requests with {int} bytes',
  STEP,
  async function (this: UnframedWorld, when: string, count: number, bytes: number) {
    this.answer = (socket, id, number) => {
      // It reads on until the gateway closes its side.
      socket.on('data', () => undefined);
      socket.write(renderUnframed(id, ANSWER));
      runAfter(computeDelay(when, number), () => socket.end());
    };
    await sendUploads(this, count, bytes);
  },
);

Then(
  'every attempt ends as {string}, and resets that were reported as an end were counted',
  function (this: UnframedWorld, kind: string) {
    assert.deepEqual([...new Set(this.outcomes.map((outcome) => outcome.kind))], [kind]);
    assert.ok(this.pool.counts.resetResponses > 0);
  },
);

Then(
  'every attempt ends as {string} with the whole answer',
  function (this: UnframedWorld, kind: string) {
    const bodies = this.outcomes.map((outcome) =>
      outcome.kind === 'answered' ? outcome.answer.body.toString() : outcome.kind,
    );
    assert.deepEqual([...new Set(bodies)], [ANSWER]);
    assert.equal(kind, 'answered');
  },
);

const events: Readonly<Record<string, (upstream: Socket, own: Socket) => void>> = {
  'closes its side': (upstream) => upstream.end('bytes'),
  'resets the connection behind its bytes': (upstream) => {
    upstream.write('bytes');
    upstream.resetAndDestroy();
  },
  'closes its side, and so did this process': (upstream, own) => {
    upstream.once('end', () => upstream.end('bytes'));
    own.end();
  },
};

When(
  'its peer {}, while {int} bytes wait to be sent to it',
  async function (this: UnframedWorld, event: string, bytes: number) {
    const [host = '', port] = this.address.split(':');
    const own = connect({ host, port: Number(port), allowHalfOpen: true });
    own.on('error', () => undefined);
    await once(own, 'connect');
    while (this.sockets.length === 0) await sleep(1);
    const [upstream] = this.sockets;
    assert.ok(upstream);
    if (bytes > 0) {
      upstream.pause();
      own.write(Buffer.alloc(bytes));
    }
    this.isOrderly = false;
    own.on('data', () => undefined);
    const hasEnded = new Promise<void>((resolve) => {
      own.once('end', () => {
        this.isOrderly = isOrderlyEnd(own);
        resolve();
      });
      own.once('close', () => {
        resolve();
      });
    });
    events[event]?.(upstream, own);
    await hasEnded;
    own.destroy();
  },
);

Then(
  /^the end of the input is reported as orderly: (yes|no)$/,
  function (this: UnframedWorld, wanted: string) {
    assert.equal(this.isOrderly, wanted === 'yes');
  },
);

After(function (this: Partial<UnframedWorld>) {
  closePool(this);
});
