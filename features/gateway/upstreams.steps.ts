import { After, Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { connect, type Socket } from 'node:net';
import { headerDialect } from '../../platform/headers.js';
import { CallerConnection, type CallerHost } from '../../src/gateway/caller.js';
import type { AttemptOutcome } from '../../src/gateway/types.js';
import {
  closePool,
  ID_HEADER,
  openPool,
  readRequestId,
  sendInTurn,
  sendRequest,
  startServer,
  type PoolWorld,
} from './poolworld.js';

const LIMIT_BYTES = 12 * 1024 * 1024;
/** Times in milliseconds. */
const STEP = { timeout: 30_000 };
const ANSWER_LIMIT = 8000;
/** Bytes written at once by peers that send without end. */
const PIECE_BYTES = 256 * 1024;
const NOT_RUN = `${headerDialect.notRun}: 1\r\n`;

interface UpstreamsWorld extends PoolWorld {
  healthyOutcomes: AttemptOutcome[];
  mostHeld: number;
  status: number;
  elapsed: number;
  /** What the upstream wrote as the answers to the requests, in the order of their arrival. */
  wanted: string[];
  /** Requests that came on a connection that had carried them. */
  carriedAgain: number;
  mostOpen: number;
}

/** Starts an upstream that passes each request, given by its id and number, to `answer`. */
async function startUpstream(
  world: UpstreamsWorld,
  answer: (socket: Socket, id: string, number: number) => void,
): Promise<string> {
  let number = 0;
  return startServer(world, (socket) => {
    socket.on('data', (chunk) => {
      number += 1;
      answer(socket, readRequestId(chunk), number);
    });
  });
}

function renderAnswer(status: number, id: string, fields = '', body = 'ok'): string {
  const name = id === '' ? '' : `${ID_HEADER}: ${id}\r\n`;
  return `HTTP/1.1 ${status} X\r\n${name}${fields}Content-Length: ${body.length}\r\n\r\n${body}`;
}

/** Writes pieces until the connection is closed. */
function writeWithoutEnd(socket: Socket, piece: Buffer): void {
  while (socket.writable && socket.write(piece)) continue;
  if (socket.writable)
    socket.once('drain', () => {
      writeWithoutEnd(socket, piece);
    });
}

function buildPiece(text: string): Buffer {
  return Buffer.from(text.repeat(Math.ceil(PIECE_BYTES / text.length)));
}

function createPool(world: UpstreamsWorld): void {
  openPool(world, LIMIT_BYTES);
  world.healthyOutcomes = [];
  world.mostHeld = 0;
}

const answers: Readonly<Record<string, (id: string) => string>> = {
  'its own answer': (id) => renderAnswer(200, id),
  'a refusal that names the request': (id) => renderAnswer(503, id, NOT_RUN),
  'a refusal that names no request': () => renderAnswer(503, '', NOT_RUN),
  'a 421 that names no request': () => renderAnswer(421, ''),
  'an earlier refusal, then its answer': (id) =>
    renderAnswer(503, 'earlier', NOT_RUN) + renderAnswer(200, id),
};

/** Renders what the upstream sends, which is one of {@link answers} or an answer with the status that is named. */
function renderSent(sent: string, id: string): string {
  const status = /^a status (\d{3})$/.exec(sent)?.[1];
  if (status === undefined) return answers[sent]?.(id) ?? '';
  return renderAnswer(200, id).replace('HTTP/1.1 200', `HTTP/1.1 ${status}`);
}

Given(
  'an upstream that sends {string} as its answer on a {word} connection',
  async function (this: UpstreamsWorld, sent: string, kind: string) {
    createPool(this);
    const warmUps = kind === 'kept' ? 1 : 0;
    this.address = await startUpstream(this, (socket, id, number) => {
      socket.write(number <= warmUps ? renderAnswer(200, id) : renderSent(sent, id));
    });
    if (warmUps > 0) await sendRequest(this, 'first', this.address);
  },
);

Given(
  'an upstream that closes after each part of the head of its response in turn',
  async function (this: UpstreamsWorld) {
    createPool(this);
    this.address = await startUpstream(this, (socket, id) => {
      const answer = renderAnswer(200, id);
      // The request's id is the number of bytes to send.
      socket.end(answer.slice(0, Math.min(Number(id), answer.indexOf('\r\n\r\n') + 3)));
    });
  },
);

When('a request is sent for each of the parts', STEP, async function (this: UpstreamsWorld) {
  const sizes = Array.from({ length: 70 }, (_, index) => String(index));
  this.outcomes = await Promise.all(sizes.map((id) => sendRequest(this, id, this.address)));
});

Then('every attempt ends as {string}', function (this: UpstreamsWorld, kind: string) {
  assert.deepEqual([...new Set(this.outcomes.map((outcome) => outcome.kind))], [kind]);
});

When('a request is sent to it', STEP, async function (this: UpstreamsWorld) {
  this.outcomes = [await sendRequest(this, 'second', this.address)];
});

Then(
  'the attempt ends as {string} and the connection is {word}',
  function (this: UpstreamsWorld, kind: string, after: string) {
    assert.equal(this.outcomes[0]?.kind, kind);
    assert.equal(this.pool.hasIdleConnection(this.address), after === 'kept');
  },
);

Given(
  'an upstream that writes its first refusal once more while it runs the next request',
  async function (this: UpstreamsWorld) {
    createPool(this);
    const refusal = renderAnswer(503, '', NOT_RUN);
    this.address = await startUpstream(this, (socket, id, number) => {
      if (number === 1) {
        socket.write(refusal);
        return;
      }
      this.sockets.forEach((one) => {
        if (one.writable) one.write(one === socket && this.sockets.length > 1 ? '' : refusal);
      });
      setTimeout(() => socket.write(renderAnswer(200, id)), 50);
    });
  },
);

When('two requests are sent to it, one after the other', async function (this: UpstreamsWorld) {
  this.outcomes = [await sendRequest(this, 'first', this.address)];
  this.outcomes.push(await sendRequest(this, 'second', this.address));
});

Then(
  'the first attempt ends as {string} and the second one as {string}',
  function (this: UpstreamsWorld, first: string, second: string) {
    assert.deepEqual(
      this.outcomes.map(({ kind }) => kind),
      [first, second],
    );
  },
);

/** The answer to the first sending of a request; its second sending gets status 200 and another body. */
const firstAnswers: Readonly<Record<string, (id: string) => string>> = {
  'a refusal': (id) => renderAnswer(503, id, NOT_RUN),
  'a server error': (id) => renderAnswer(500, id),
  'an earlier version': (id) => renderAnswer(200, id, '', 'earlier'),
};
/** Milliseconds from a late copy to the answer that is due. */
const COPY_LEAD = 30;

Given(
  'an upstream that writes {string} once more when the same request comes again on its connection',
  async function (this: UpstreamsWorld, answer: string) {
    createPool(this);
    this.wanted = [];
    this.carriedAgain = 0;
    this.mostOpen = 0;
    const carried = new Map<Socket, Set<string>>();
    const seen = new Set<string>();
    this.address = await startUpstream(this, (socket, id) => {
      const ids = carried.get(socket) ?? new Set();
      carried.set(socket, ids);
      const open = this.sockets.filter((one) => !one.destroyed && !one.readableEnded);
      this.mostOpen = Math.max(this.mostOpen, open.length);
      const first = firstAnswers[answer]?.(id) ?? '';
      const isFirst = !seen.has(id);
      this.wanted.push(isFirst ? first : renderAnswer(200, id));
      seen.add(id);
      if (ids.has(id)) {
        this.carriedAgain += 1;
        socket.write(first);
      }
      ids.add(id);
      if (isFirst) socket.write(first);
      else setTimeout(() => socket.write(renderAnswer(200, id)), COPY_LEAD);
    });
  },
);

When(
  'a request is sent to it, then {int} others, then the same request again',
  async function (this: UpstreamsWorld, count: number) {
    const others = Array.from({ length: count }, (_, at) => `other-${at}`);
    this.outcomes = await sendInTurn(this, ['same', ...others, 'same']);
  },
);

When(
  'the same request is sent to it {int} times, one after the other',
  async function (this: UpstreamsWorld, count: number) {
    this.outcomes = await sendInTurn(this, Array<string>(count).fill('same'));
  },
);

When(
  '{int} requests are sent to it, one after the other',
  STEP,
  async function (this: UpstreamsWorld, count: number) {
    const ids = Array.from({ length: count }, (_, at) => `request-${at}`);
    this.outcomes = await sendInTurn(this, ids);
  },
);

/** Renders an outcome as the upstream would have written the answer. */
function renderOutcome(outcome: AttemptOutcome, id: string): string {
  switch (outcome.kind) {
    case 'answered':
      return renderAnswer(outcome.answer.status, id, '', outcome.answer.body.toString());
    case 'notRun':
      return renderAnswer(503, id, NOT_RUN);
    case 'lost':
    case 'unreachable':
      return outcome.reason;
  }
}

function checkAnswers({ outcomes, wanted }: UpstreamsWorld): void {
  const ids = wanted.map((text) => new RegExp(`${ID_HEADER}: (\\S+)`).exec(text)?.[1] ?? '');
  assert.deepEqual(
    outcomes.map((outcome, at) => renderOutcome(outcome, ids[at] ?? '')),
    wanted,
  );
}

Then(
  'each attempt ended as the upstream answered it, and no request came on a connection that had carried it',
  function (this: UpstreamsWorld) {
    checkAnswers(this);
    assert.equal(this.carriedAgain, 0);
    assert.equal(this.pool.counts.opened, 2);
  },
);

Then(
  'each attempt ended as the upstream answered it, and at most {int} connections were open at once',
  function (this: UpstreamsWorld, most: number) {
    checkAnswers(this);
    assert.ok(this.mostOpen <= most, `${this.mostOpen} connections were open`);
  },
);

Then('all were answered, over {int} connections', function (this: UpstreamsWorld, count: number) {
  assert.deepEqual(new Set(this.outcomes.map(({ kind }) => kind)), new Set(['answered']));
  assert.equal(this.pool.counts.opened, count);
});

const CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n';

/** The start of an endless answer to the request with this id, and the piece that it repeats. */
const endlessAnswers: Readonly<Record<string, (id: string) => readonly [string, string]>> = {
  'a head': () => ['HTTP/1.1 200 OK\r\nA: ', 'a'],
  'interim heads': () => ['', 'HTTP/1.1 100 Continue\r\n\r\n'],
  'empty lines': () => ['', '\r\n'],
  'a body that ends by closing': (id) => [`HTTP/1.1 200 OK\r\n${ID_HEADER}: ${id}\r\n\r\n`, 'a'],
  'a body in chunks of one byte': (id) => [
    `HTTP/1.1 200 OK\r\n${ID_HEADER}: ${id}\r\n${CHUNKED}`,
    '1\r\na\r\n',
  ],
  'a trailer': (id) => [`HTTP/1.1 200 OK\r\n${ID_HEADER}: ${id}\r\n${CHUNKED}0\r\n`, 'A: a\r\n'],
  'answers to another request': () => ['', renderAnswer(200, 'another', '', 'a'.repeat(1000))],
  'no HTTP': () => ['', '\0'],
};

Given(
  'an upstream that sends {string} without end',
  async function (this: UpstreamsWorld, bytes: string) {
    createPool(this);
    this.address = await startUpstream(this, (socket, id) => {
      const [start, piece] = endlessAnswers[bytes]?.(id) ?? ['', ''];
      socket.write(start);
      writeWithoutEnd(socket, buildPiece(piece));
    });
  },
);

async function sendBesideOthers(world: UpstreamsWorld, count: number): Promise<void> {
  const healthy = await startUpstream(world, (socket, id) => {
    socket.write(renderAnswer(200, id, '', 'a'.repeat(100_000)));
  });
  let isOver = false;
  const watch = setInterval(() => {
    world.mostHeld = Math.max(world.mostHeld, world.buffers.total);
  }, 1);
  const sendOthers = async (): Promise<void> => {
    while (!isOver) world.healthyOutcomes.push(await sendRequest(world, 'other', healthy));
  };
  const others = sendOthers();
  const ids = Array.from({ length: count }, (_, at) => `endless-${at}`);
  world.outcomes = await Promise.all(ids.map((id) => sendRequest(world, id, world.address)));
  isOver = true;
  await others;
  clearInterval(watch);
}

When(
  'a request is sent to it while another upstream answers requests',
  STEP,
  async function (this: UpstreamsWorld) {
    await sendBesideOthers(this, 1);
  },
);

When('it is probed', STEP, async function (this: UpstreamsWorld) {
  const sentAt = performance.now();
  this.outcomes = [await sendRequest(this, 'probe', this.address, { isProbe: true })];
  this.elapsed = performance.now() - sentAt;
});

Then(
  'the probe ends as {string} within {int} ms, and the upstream wrote at most {int} MB',
  function (this: UpstreamsWorld, kind: string, limit: number, megabytes: number) {
    assert.deepEqual(
      this.outcomes.map((outcome) => outcome.kind),
      [kind],
    );
    const written = this.sockets.reduce((sum, { bytesWritten }) => sum + bytesWritten, 0);
    assert.ok(written <= megabytes * 1024 * 1024, `${written} bytes were written`);
    assert.ok(this.elapsed <= limit, `it ended after ${this.elapsed} ms`);
  },
);

When(
  '{int} requests are sent to it while another upstream answers requests',
  STEP,
  async function (this: UpstreamsWorld, count: number) {
    await sendBesideOthers(this, count);
  },
);

Then(
  /^the attempts? ends? as "(.*)" and at most 12 MB were held$/,
  function (this: UpstreamsWorld, kind: string) {
    assert.deepEqual(new Set(this.outcomes.map((outcome) => outcome.kind)), new Set([kind]));
    assert.ok(this.mostHeld <= LIMIT_BYTES, `${this.mostHeld} bytes were held`);
    assert.equal(this.buffers.total, 0);
  },
);

Then('every request to the other upstream was answered', function (this: UpstreamsWorld) {
  assert.ok(this.healthyOutcomes.length > 0);
  assert.ok(this.healthyOutcomes.every(({ kind }) => kind === 'answered'));
});

const host: CallerHost = {
  now: () => performance.now(),
  getTimeLimit: () => undefined,
  isIdempotent: () => true,
  serve: () => undefined,
  isStopping: () => false,
  renderFault: ({ status, reason }) => {
    return { status, reason: 'X', headers: [], body: Buffer.from(reason) };
  },
  renderNoRoom: () => ({
    ...{ status: 503, reason: 'X', headers: [], body: Buffer.from('no room') },
  }),
  onClose: () => undefined,
};

Given("a caller's connection to a gateway", async function (this: UpstreamsWorld) {
  createPool(this);
  const limits = { headBytes: 16_384, bodyBytes: 64 * 1024 * 1024 };
  this.address = await startServer(this, (socket) => {
    new CallerConnection(host, socket, limits, this.buffers);
  });
});

const POST = 'POST /a HTTP/1.1\r\nHost: a\r\n';

const endlessRequests: Readonly<Record<string, readonly [string, string]>> = {
  'a head': [`${POST}A: `, 'a'],
  'empty lines': ['', '\r\n'],
  'a body in chunks of one byte': [`${POST}${CHUNKED}`, '1\r\na\r\n'],
  'a trailer': [`${POST}${CHUNKED}0\r\n`, 'A: a\r\n'],
};

When(
  'the caller sends {string} without end',
  STEP,
  async function (this: UpstreamsWorld, bytes: string) {
    const [start, piece] = endlessRequests[bytes] ?? ['', ''];
    const watch = setInterval(() => {
      this.mostHeld = Math.max(this.mostHeld, this.buffers.total);
    }, 1);
    this.status = await new Promise<number>((resolve, reject) => {
      const socket = connect(Number(this.address.split(':')[1]), '127.0.0.1');
      this.sockets.push(socket);
      socket.on('error', () => undefined);
      socket.on('data', (chunk) => {
        resolve(Number(/^HTTP\/1\.1 (\d+)/.exec(chunk.toString('latin1'))?.[1] ?? 0));
      });
      socket.write(start);
      writeWithoutEnd(socket, buildPiece(piece));
      setTimeout(() => {
        reject(new Error(`no answer within ${ANSWER_LIMIT} ms`));
      }, ANSWER_LIMIT).unref();
    });
    clearInterval(watch);
  },
);

Then(
  'it is answered with {int} and at most 12 MB were held',
  function (this: UpstreamsWorld, status: number) {
    assert.equal(this.status, status);
    assert.ok(this.mostHeld <= LIMIT_BYTES, `${this.mostHeld} bytes were held`);
    assert.equal(this.buffers.total, 0);
  },
);

After(function (this: Partial<UpstreamsWorld>) {
  closePool(this);
});
