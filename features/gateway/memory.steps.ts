import { After, Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { connect, type Server, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import {
  BufferBudget,
  computeBufferLimit,
  findMemoryProblem,
  hasRoomForAnswer,
  hasRoomForRequest,
} from '../../src/gateway/buffers.js';
import { CallerConnection, type CallerAnswer, type CallerHost } from '../../src/gateway/caller.js';
import { isCollectionDue } from '../../src/gateway/collector.js';
import { ConnectionPool } from '../../src/gateway/pool.js';
import type { AttemptOutcome } from '../../src/gateway/types.js';
import { parseAddress } from '../../src/model/index.js';
import { headerDialect } from '../../platform/headers.js';
import { startServer } from './poolworld.js';
import { waitFor } from '../control/group.js';

/** Step timeout in milliseconds, long enough for a loaded CPU. */
const SLOW = { timeout: 60_000 };
const KB = 1024;
const MB = 1024 * 1024;
const ID_HEADER = headerDialect.requestId;

interface MemoryWorld {
  budget: BufferBudget;
  changes: boolean[];
  servers: Server[];
  sockets: Socket[];
  pool: ConnectionPool | undefined;
  port: number;
  /** Bytes of the bodies that are served, now and at most. */
  servedBytes: number;
  mostServed: number;
  served: number;
  mostHeld: number;
  answer: CallerAnswer;
  serviceTime: number;
  statuses: readonly number[];
  outcomes: readonly AttemptOutcome[];
  caller: Socket;
  connection: CallerConnection | undefined;
}

function createAnswer(status: number, bytes: number): CallerAnswer {
  return { status, reason: 'X', headers: [], body: Buffer.alloc(bytes, 'a') };
}

async function startListening(
  world: MemoryWorld,
  accept: (socket: Socket) => void,
): Promise<number> {
  return parseAddress(await startServer(world, accept)).port;
}

function createHost(world: MemoryWorld): CallerHost {
  return {
    now: () => performance.now(),
    getTimeLimit: () => undefined,
    isIdempotent: () => true,
    serve: ({ body }, onAnswer) => {
      world.served += 1;
      world.servedBytes += body.length;
      world.mostServed = Math.max(world.mostServed, world.servedBytes);
      const timer = setTimeout(() => {
        world.servedBytes -= body.length;
        onAnswer(world.answer);
      }, world.serviceTime);
      return {
        cancel: () => {
          clearTimeout(timer);
        },
      };
    },
    isStopping: () => false,
    renderFault: ({ status }) => createAnswer(status, 0),
    renderNoRoom: () => createAnswer(503, 0),
    onClose: () => undefined,
  };
}

Given(
  'a gateway connection host with a budget of {int} MB',
  async function (this: MemoryWorld, limit: number) {
    this.changes = [];
    this.budget = new BufferBudget(limit * MB, (isRefusing) => {
      this.changes.push(isRefusing);
    });
    this.servers = [];
    this.sockets = [];
    this.servedBytes = 0;
    this.mostServed = 0;
    this.served = 0;
    this.mostHeld = 0;
    this.serviceTime = 0;
    this.answer = createAnswer(200, 0);
    const limits = { headBytes: 16 * KB, bodyBytes: 64 * MB };
    const host = createHost(this);
    this.port = await startListening(this, (socket) => {
      this.connection = new CallerConnection(host, socket, limits, this.budget);
    });
  },
);

/** Sends a body and returns the status of the answer. */
async function sendBody(world: MemoryWorld, bytes: number): Promise<number> {
  const socket = connect(world.port, '127.0.0.1');
  world.sockets.push(socket);
  socket.on('error', () => undefined);
  return new Promise((resolve) => {
    socket.on('data', (chunk) => {
      resolve(Number(/^HTTP\/1\.1 (\d+)/.exec(chunk.toString('latin1'))?.[1] ?? 0));
    });
    socket.on('close', () => {
      resolve(0);
    });
    socket.write(`POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: ${bytes}\r\n\r\n`);
    socket.write(Buffer.alloc(bytes, 'b'));
  });
}

When(
  '{int} callers send bodies of {int} MB at once, each of which is served for {int} ms',
  SLOW,
  async function (this: MemoryWorld, count: number, size: number, time: number) {
    this.serviceTime = time;
    const callers = Array.from({ length: count }, () => sendBody(this, size * MB));
    this.statuses = await Promise.all(callers);
  },
);

Then(
  'the bodies served at the same time took at most {int} MB',
  function (this: MemoryWorld, limit: number) {
    assert.ok(this.mostServed <= limit * MB, `they took ${this.mostServed} bytes`);
  },
);

Then(
  'each caller got 200 or 503, none that was refused was served, and some were served',
  function (this: MemoryWorld) {
    const done = this.statuses.filter((status) => status === 200).length;
    const refused = this.statuses.filter((status) => status === 503).length;
    assert.equal(done + refused, this.statuses.length, this.statuses.join());
    assert.equal(done, this.served);
    assert.equal(refused, this.budget.refused);
    assert.ok(done > 0);
  },
);

Then(
  'the budget reported that it began and at last ended to refuse requests, and holds nothing',
  SLOW,
  async function (this: MemoryWorld) {
    await waitFor('the budget is empty', () => this.budget.total === 0);
    assert.deepEqual(
      this.changes,
      this.changes.map((_, at) => at % 2 === 0),
    );
    assert.equal(this.changes.at(-1), false);
  },
);

When(
  '{int} requests to an upstream are answered with {int} MB each at once',
  SLOW,
  async function (this: MemoryWorld, count: number, size: number) {
    const body = Buffer.alloc(size * MB, 'a');
    const port = await startListening(this, (socket) => {
      socket.on('data', (chunk) => {
        const id = new RegExp(`${ID_HEADER}: (\\S+)`, 'i').exec(chunk.toString('latin1'))?.[1];
        const fields = `${ID_HEADER}: ${id ?? ''}\r\nContent-Length: ${body.length}`;
        socket.write(`HTTP/1.1 200 X\r\n${fields}\r\n\r\n`);
        socket.write(body);
      });
    });
    const pool = new ConnectionPool(headerDialect, this.budget);
    this.pool = pool;
    const watch = setInterval(() => {
      this.mostHeld = Math.max(this.mostHeld, this.budget.total);
    }, 1);
    const send = (id: string): Promise<AttemptOutcome> =>
      new Promise((resolve) => {
        const headers = [[ID_HEADER, id]] as const;
        const request = { id, method: 'GET', target: '/a', headers, body: Buffer.alloc(0) };
        pool.send(`127.0.0.1:${port}`, request, { onHead: () => undefined, onEnd: resolve });
      });
    const ids = Array.from({ length: count }, (_, at) => `large-${at}`);
    this.outcomes = await Promise.all(ids.map(send));
    clearInterval(watch);
  },
);

Then('each of them is answered in whole', function (this: MemoryWorld) {
  const kinds = this.outcomes.map(({ kind }) => kind);
  assert.deepEqual(new Set(kinds), new Set(['answered']));
});

Then(
  'the budget never counted more than {int} MB and one piece of 64 KB for each of them, and holds nothing',
  function (this: MemoryWorld, limit: number) {
    const most = limit * MB + this.outcomes.length * 64 * KB;
    assert.ok(this.mostHeld <= most, `it counted ${this.mostHeld} bytes`);
    assert.equal(this.budget.total, 0);
  },
);

When(
  'a caller asks for an answer of {int} MB and does not read it',
  SLOW,
  async function (this: MemoryWorld, size: number) {
    this.answer = createAnswer(200, size * MB);
    this.caller = connect(this.port, '127.0.0.1');
    this.sockets.push(this.caller);
    this.caller.pause();
    this.caller.write('GET /a HTTP/1.1\r\nHost: a\r\n\r\n');
    await waitFor('the request is served', () => this.served === 1);
    await sleep(300);
  },
);

Then('the budget counts at least {int} MB', function (this: MemoryWorld, least: number) {
  assert.ok(this.budget.total >= least * MB, `it counts ${this.budget.total} bytes`);
});

When(/^its timeouts are checked after ([\d, ]+) ms$/, function (this: MemoryWorld, times: string) {
  const now = performance.now();
  times.split(', ').forEach((after) => {
    this.connection?.checkTimeouts(now + Number(after), 3000, 15_000);
  });
});

When('the caller reads its answer', function (this: MemoryWorld) {
  this.caller.on('data', () => undefined);
  this.caller.resume();
});

Then('the budget holds nothing', SLOW, async function (this: MemoryWorld) {
  await waitFor('the budget is empty', () => this.budget.total === 0);
});

Then(
  'with a limit of {int} MB, {int} MB of requests and {int} MB of answers, a request of {int} KB is {string}',
  function (limit: number, requests: number, answers: number, size: number, decision: string) {
    const held = { requests: requests * MB, answers: answers * MB };
    const hasRoom = hasRoomForRequest(limit * MB, held, size * KB);
    assert.equal(hasRoom ? 'admitted' : 'refused', decision);
  },
);

Then(
  'with a limit of {int} MB, {int} MB of requests and {int} MB of answers, an answer of {int} KB is {string}',
  function (limit: number, requests: number, answers: number, size: number, decision: string) {
    const held = { requests: requests * MB, answers: answers * MB };
    const hasRoom = hasRoomForAnswer(limit * MB, held, size * KB);
    assert.equal(hasRoom ? 'admitted' : 'refused', decision);
  },
);

Then(
  'a gateway with {int} MB and a heap of {int} MB may hold {int} MB of messages, and its problem is {string}',
  function (memory: number, heap: number, limit: number, problem: string) {
    assert.equal(Math.floor(computeBufferLimit(memory) / MB), limit);
    const found = findMemoryProblem(memory, heap * MB, 64 * MB) ?? '';
    assert.ok(problem === '' ? found === '' : found.includes(problem), found);
  },
);

Then(
  'with {int} MB of buffers, of which messages hold {int} MB, a collection is {string}',
  function (external: number, held: number, decision: string) {
    assert.equal(isCollectionDue(external * MB, held * MB) ? 'due' : 'not due', decision);
  },
);

After(function (this: Partial<MemoryWorld>) {
  if (this.changes === undefined) return;
  this.pool?.close();
  this.sockets?.forEach((socket) => socket.destroy());
  this.servers?.forEach((server) => server.close());
});
