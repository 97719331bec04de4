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
  type ObservedResponse,
} from './world.js';

interface GuaranteesWorld extends EntryWorld {
  deadlines: number[];
  /** Method, path and idempotency key of each request that the upstream ran. */
  runs: string[];
  cancelledCount: number;
  responses: ObservedResponse[];
  connections: Set<unknown>;
}

const WAIT_MS = 300;
const POLL_MS = 10;
const POLLS = 300;

async function waitUntil(check: () => boolean, condition: string): Promise<void> {
  for (let poll = 0; poll < POLLS; poll += 1) {
    if (check()) return;
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
  assert.fail(`timed out waiting until ${condition}`);
}

function sendResponse(response: ServerResponse, behaviour: string, runCount: number): void {
  const body = `run ${runCount}`;
  switch (behaviour) {
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
  world: GuaranteesWorld,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  world.connections.add(request.socket);
  world.deadlines.push(Number(request.headers['x-chivewalk-deadline-ms']));
  const key = String(request.headers['idempotency-key'] ?? 'no key');
  const runCount = world.runs.push(`${request.method ?? ''} ${request.url ?? ''} ${key}`);
  request.on('error', () => undefined);
  request.resume();
  response.on('close', () => {
    if (!response.writableFinished) world.cancelledCount += 1;
  });
  sendResponse(response, String(request.headers['x-wish']), runCount);
}

function sendKeyed(
  world: GuaranteesWorld,
  behaviour: string,
  body = 'hold',
): Promise<ObservedResponse> {
  const length = String(body.length);
  const headers = { 'x-wish': behaviour, 'idempotency-key': 'hold-7', 'content-length': length };
  const { port } = world.harness;
  return sendCall({ port, method: 'POST', path: '/seam/holds', headers, body });
}

Given(
  'an entry with an upstream that records each request',
  async function (this: GuaranteesWorld) {
    this.harness = await startEntry();
    Object.assign(this, {
      deadlines: [],
      responses: [],
      runs: [],
      cancelledCount: 0,
      connections: new Set(),
    });
    const address = await startUpstream((request, response) => {
      recordRequest(this, request, response);
    });
    announceUpstreams(this.harness, [address]);
  },
);

Given('no majority of the claimants is reachable', function (this: GuaranteesWorld) {
  this.harness.claims.isAvailable = false;
});

Given('claims are valid for only 0 ms', function (this: GuaranteesWorld) {
  this.harness.claims.validityMs = 0;
});

Given("the entry's configuration is not fresh", function (this: GuaranteesWorld) {
  this.harness.config.fresh = false;
});

When(
  "the caller's body arrives 150 ms after a head with a deadline of 2000 ms",
  async function (this: GuaranteesWorld) {
    const headers = { 'x-chivewalk-deadline-ms': '2000', 'content-length': '4' };
    const { port } = this.harness;
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
  'the upstream received a deadline between {int} and {int} ms',
  function (this: GuaranteesWorld, low: number, high: number) {
    const [receivedMs = 0] = this.deadlines;
    assert.ok(
      receivedMs >= low && receivedMs <= high,
      `the upstream received a deadline of ${receivedMs} ms`,
    );
  },
);

When(
  'the caller disconnects from a request that {string}',
  async function (this: GuaranteesWorld, behaviour: string) {
    const { port } = this.harness;
    const headers = { 'x-wish': behaviour };
    await sendCall({ port, path: '/seam/a', headers, abortAfterMs: 60 }).catch(() => undefined);
  },
);

Then('the upstream sees its request cancelled', async function (this: GuaranteesWorld) {
  await waitUntil(() => this.cancelledCount === 1, 'the upstream saw the cancellation');
});

Then('the entry has no remaining call or routing record', function (this: GuaranteesWorld) {
  assert.equal(this.harness.entry.inFlight, 0);
  assert.equal(this.harness.routing.openCallCount(), 0);
  assert.equal(this.harness.finished[0]?.outcome, 'cancelled');
});

When(
  'the caller sends two {string} requests with one key',
  async function (this: GuaranteesWorld, behaviour: string) {
    this.responses = [await sendKeyed(this, behaviour), await sendKeyed(this, behaviour)];
  },
);

When(
  'the caller sends a request with a key while the first request with this key {string}',
  async function (this: GuaranteesWorld, behaviour: string) {
    const first = sendKeyed(this, behaviour);
    await waitUntil(() => this.runs.length === 1, 'the first request ran');
    this.responses = [await sendKeyed(this, behaviour), await first].reverse();
  },
);

When(
  'the caller sends two different requests with one key',
  async function (this: GuaranteesWorld) {
    this.responses = [await sendKeyed(this, 'quick'), await sendKeyed(this, 'quick', 'other')];
  },
);

When(
  'the caller disconnects from a keyed request and sends it again',
  async function (this: GuaranteesWorld) {
    const headers = { 'x-wish': 'waits', 'idempotency-key': 'hold-7', 'content-length': '4' };
    const { port } = this.harness;
    const call = { port, method: 'POST', path: '/seam/holds', headers, body: 'hold' };
    await sendCall({ ...call, abortAfterMs: 100 }).catch(() => undefined);
    await waitUntil(() => this.harness.finished.length === 1, 'the first call ended');
    this.responses = [await sendKeyed(this, 'waits'), await sendKeyed(this, 'waits')];
  },
);

Then('the second response is the first one replayed', function (this: GuaranteesWorld) {
  const [first, second] = this.responses;
  assert.equal(first?.headers['x-chivewalk-replayed'], undefined);
  assert.equal(second?.headers['x-chivewalk-replayed'], '1');
  assert.equal(second.body, first?.body);
  assert.equal(second.status, first?.status);
});

Then('the second response is replayed', function (this: GuaranteesWorld) {
  const [, second] = this.responses;
  assert.equal(second?.headers['x-chivewalk-replayed'], '1');
  assert.equal(second.body, 'run 1');
});

Then('neither response is a replay', function (this: GuaranteesWorld) {
  assert.deepEqual(
    this.responses.map(({ status, headers }) => [status, headers['x-chivewalk-replayed']]),
    [
      [503, undefined],
      [503, undefined],
    ],
  );
});

Then('the upstream ran {int} request(s)', function (this: GuaranteesWorld, count: number) {
  assert.equal(this.runs.length, count, `the upstream ran ${this.runs.join(', ')}`);
});

Then(
  'the second response has status {int} and outcome {string}',
  function (this: GuaranteesWorld, status: number, outcome: string) {
    const [, second] = this.responses;
    assert.equal(second?.status, status);
    assert.equal(second.headers['x-chivewalk-outcome'], outcome);
  },
);

Then(
  'the second response has status {int} and not-run {string}',
  function (this: GuaranteesWorld, status: number, notRun: string) {
    const [, second] = this.responses;
    assert.equal(second?.status, status);
    assert.equal(second.headers['x-chivewalk-not-run'], notRun);
  },
);

Then('the entry does not list itself', async function (this: GuaranteesWorld) {
  const path = '/.well-known/chivewalk/addresses';
  const answer = await sendCall({ port: this.harness.port, path });
  assert.deepEqual((JSON.parse(answer.body) as { addresses: unknown }).addresses, []);
});

Given(
  'an entry with an upstream that accepts {int} connections',
  async function (this: GuaranteesWorld, limit: number) {
    this.harness = await startEntry();
    this.connections = new Set();
    const address = await startUpstream((request, response) => {
      this.connections.add(request.socket);
      setTimeout(() => response.end('done'), POLL_MS);
    });
    const upstream = { ...createUpstream('seam', 'seam-1', address), maxConnections: limit };
    this.harness.members.set([{ address: this.harness.entry.address, zone: 'klang' }], [upstream]);
  },
);

When('{int} calls arrive at once', async function (this: GuaranteesWorld, count: number) {
  const { port } = this.harness;
  const calls = Array.from({ length: count }, () => sendCall({ port, path: '/seam/a' }));
  this.responses = await Promise.all(calls);
});

Then(
  'all calls complete over at most {int} connections',
  function (this: GuaranteesWorld, limit: number) {
    assert.deepEqual([...new Set(this.responses.map(({ body }) => body))], ['done']);
    assert.ok(this.connections.size <= limit, `${this.connections.size} connections`);
  },
);
