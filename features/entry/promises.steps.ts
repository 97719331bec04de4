import { Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { request as openRequest, type IncomingMessage, type ServerResponse } from 'node:http';
import { createUpstream } from './fakes.js';
import {
  announceUpstreams,
  sendCall,
  startEntry,
  startUpstream,
  type EntryWorld,
  type SeenAnswer,
} from './world.js';

interface PromisesWorld extends EntryWorld {
  deadlines: number[];
  /** What the upstream ran: method, path and key of each request. */
  runs: string[];
  cancelled: number;
  answers: SeenAnswer[];
  connections: Set<unknown>;
}

const WAIT_MS = 300;
const POLL_MS = 10;
const POLLS = 300;

async function waitUntil(check: () => boolean, what: string): Promise<void> {
  for (let poll = 0; poll < POLLS; poll += 1) {
    if (check()) return;
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
  assert.fail(`waited in vain until ${what}`);
}

function sendNoted(response: ServerResponse, wish: string, ran: number): void {
  const body = `run ${ran}`;
  switch (wish) {
    case 'waits':
      setTimeout(() => response.end(body), WAIT_MS);
      break;
    case 'streams':
      response.write(body);
      break;
    case 'cut':
      response.writeHead(200, { 'content-length': '100' });
      response.write(body, () => response.req.socket.destroy());
      break;
    case 'refused':
      response.writeHead(503, { 'x-chivewalk-not-run': '1', 'content-length': '0' });
      response.end();
      break;
    default:
      response.setHeader('content-length', String(body.length));
      response.end(body);
  }
}

function recordRequest(
  world: PromisesWorld,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  world.connections.add(request.socket);
  world.deadlines.push(Number(request.headers['x-chivewalk-deadline-ms']));
  const key = String(request.headers['idempotency-key'] ?? 'no key');
  const ran = world.runs.push(`${request.method ?? ''} ${request.url ?? ''} ${key}`);
  request.on('error', () => undefined);
  request.resume();
  response.on('close', () => {
    if (!response.writableFinished) world.cancelled += 1;
  });
  sendNoted(response, String(request.headers['x-wish']), ran);
}

function sendKeyed(world: PromisesWorld, wish: string, body = 'hold'): Promise<SeenAnswer> {
  const length = String(body.length);
  const headers = { 'x-wish': wish, 'idempotency-key': 'hold-7', 'content-length': length };
  const { port } = world.parts;
  return sendCall({ port, method: 'POST', path: '/seam/holds', headers, body });
}

Given('an entry with an upstream that notes each request', async function (this: PromisesWorld) {
  this.parts = await startEntry();
  Object.assign(this, {
    deadlines: [],
    answers: [],
    runs: [],
    cancelled: 0,
    connections: new Set(),
  });
  const address = await startUpstream((request, response) => {
    recordRequest(this, request, response);
  });
  announceUpstreams(this.parts, [address]);
});

Given('no majority of the claimants can be reached', function (this: PromisesWorld) {
  this.parts.claims.isAvailable = false;
});

Given('claims are valid for 0 ms only', function (this: PromisesWorld) {
  this.parts.claims.validity = 0;
});

Given("the entry's configuration is not fresh", function (this: PromisesWorld) {
  this.parts.config.fresh = false;
});

When(
  "the caller's body arrives 150 ms after a head with a deadline of 2000 ms",
  async function (this: PromisesWorld) {
    const headers = { 'x-chivewalk-deadline-ms': '2000', 'content-length': '4' };
    const { port } = this.parts;
    await new Promise<void>((resolve, reject) => {
      const options = { host: '127.0.0.1', port, method: 'PUT', path: '/seam/a', headers };
      const request = openRequest({ ...options, agent: false }, (answer) => {
        answer.resume();
        answer.on('end', resolve);
      });
      request.on('error', reject);
      request.flushHeaders();
      setTimeout(() => request.end('hold'), 150);
    });
  },
);

Then(
  'the upstream was told a deadline between {int} and {int} ms',
  function (this: PromisesWorld, low: number, high: number) {
    const [told = 0] = this.deadlines;
    assert.ok(told >= low && told <= high, `it was told ${told}`);
  },
);

When(
  'the caller goes away from a request that {string}',
  async function (this: PromisesWorld, wish: string) {
    const { port } = this.parts;
    const headers = { 'x-wish': wish };
    await sendCall({ port, path: '/seam/a', headers, abortAfter: 60 }).catch(() => undefined);
  },
);

Then('the upstream sees its request cancelled', async function (this: PromisesWorld) {
  await waitUntil(() => this.cancelled === 1, 'the upstream saw the cancellation');
});

Then('the entry has no call and no routing record left', function (this: PromisesWorld) {
  assert.equal(this.parts.entry.inFlight, 0);
  assert.equal(this.parts.routing.open(), 0);
  assert.equal(this.parts.finished[0]?.outcome, 'cancelled');
});

When(
  'the caller sends two {string} requests with one key',
  async function (this: PromisesWorld, wish: string) {
    this.answers = [await sendKeyed(this, wish), await sendKeyed(this, wish)];
  },
);

When(
  'the caller sends a request with a key while the first with it {string}',
  async function (this: PromisesWorld, wish: string) {
    const first = sendKeyed(this, wish);
    await waitUntil(() => this.runs.length === 1, 'the first request ran');
    this.answers = [await sendKeyed(this, wish), await first].reverse();
  },
);

When('the caller sends two different requests with one key', async function (this: PromisesWorld) {
  this.answers = [await sendKeyed(this, 'quick'), await sendKeyed(this, 'quick', 'other')];
});

When(
  'the caller goes away from a keyed request and sends it again',
  async function (this: PromisesWorld) {
    const headers = { 'x-wish': 'waits', 'idempotency-key': 'hold-7', 'content-length': '4' };
    const { port } = this.parts;
    const call = { port, method: 'POST', path: '/seam/holds', headers, body: 'hold' };
    await sendCall({ ...call, abortAfter: 100 }).catch(() => undefined);
    await waitUntil(() => this.parts.finished.length === 1, 'the first call ended');
    this.answers = [await sendKeyed(this, 'waits'), await sendKeyed(this, 'waits')];
  },
);

Then('the second answer is the first one replayed', function (this: PromisesWorld) {
  const [first, second] = this.answers;
  assert.equal(first?.headers['x-chivewalk-replayed'], undefined);
  assert.equal(second?.headers['x-chivewalk-replayed'], '1');
  assert.equal(second.body, first?.body);
  assert.equal(second.status, first?.status);
});

Then('the second answer is replayed', function (this: PromisesWorld) {
  const [, second] = this.answers;
  assert.equal(second?.headers['x-chivewalk-replayed'], '1');
  assert.equal(second.body, 'run 1');
});

Then('neither answer is a replay', function (this: PromisesWorld) {
  assert.deepEqual(
    this.answers.map(({ status, headers }) => [status, headers['x-chivewalk-replayed']]),
    [
      [503, undefined],
      [503, undefined],
    ],
  );
});

Then('the upstream ran {int} request(s)', function (this: PromisesWorld, count: number) {
  assert.equal(this.runs.length, count, `it ran ${this.runs.join(', ')}`);
});

Then(
  'the second answer has status {int} and outcome {string}',
  function (this: PromisesWorld, status: number, outcome: string) {
    const [, second] = this.answers;
    assert.equal(second?.status, status);
    assert.equal(second.headers['x-chivewalk-outcome'], outcome);
  },
);

Then(
  'the second answer has status {int} and not-run {string}',
  function (this: PromisesWorld, status: number, notRun: string) {
    const [, second] = this.answers;
    assert.equal(second?.status, status);
    assert.equal(second.headers['x-chivewalk-not-run'], notRun);
  },
);

Then('the entry does not list itself', async function (this: PromisesWorld) {
  const path = '/.well-known/chivewalk/addresses';
  const answer = await sendCall({ port: this.parts.port, path });
  assert.deepEqual((JSON.parse(answer.body) as { addresses: unknown }).addresses, []);
});

Given(
  'an entry with an upstream that accepts {int} connections',
  async function (this: PromisesWorld, limit: number) {
    this.parts = await startEntry();
    this.connections = new Set();
    const address = await startUpstream((request, response) => {
      this.connections.add(request.socket);
      setTimeout(() => response.end('done'), POLL_MS);
    });
    const upstream = { ...createUpstream('seam', 'seam-1', address), maxConnections: limit };
    this.parts.members.set([{ address: this.parts.entry.address, zone: 'klang' }], [upstream]);
  },
);

When('{int} calls arrive at once', async function (this: PromisesWorld, count: number) {
  const { port } = this.parts;
  const calls = Array.from({ length: count }, () => sendCall({ port, path: '/seam/a' }));
  this.answers = await Promise.all(calls);
});

Then(
  'all are answered over at most {int} connections',
  function (this: PromisesWorld, limit: number) {
    assert.deepEqual([...new Set(this.answers.map(({ body }) => body))], ['done']);
    assert.ok(this.connections.size <= limit, `${this.connections.size} connections`);
  },
);
