import { After, Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { startRawUpstream, type RawBehaviour, type RawUpstream } from './raw.js';
import {
  announceUpstreams,
  sendCall,
  startEntry,
  type EntryWorld,
  type ObservedResponse,
} from './world.js';

interface FailureWorld extends EntryWorld {
  rawUpstream: RawUpstream | undefined;
  outcome: unknown;
  answers: readonly ObservedResponse[];
}

/** A loopback address that no test binds, so that no other test can take the port meanwhile. */
const REFUSING_ADDRESS = '127.0.0.77:9';

const OK = 'HTTP/1.1 200 OK\r\n';
const CONNECTION_CLOSE = `${OK}connection: close\r\n`;
const CHUNKED = 'transfer-encoding: chunked\r\n\r\n';
const CHUNK = '5\r\nwhole\r\n';

const behaviours: Readonly<Record<string, RawBehaviour>> = {
  'closes after the request': { end: 'close' },
  'resets after the request': { end: 'reset' },
  'closes in the head': { answer: `${OK}content-le`, end: 'close' },
  'cuts a body with a length': { answer: `${OK}content-length: 9\r\n\r\npart`, end: 'close' },
  'cuts a chunked body': { answer: `${OK}${CHUNKED}${CHUNK}`, end: 'close' },
  'cuts a closing chunked body': { answer: `${CONNECTION_CLOSE}${CHUNKED}${CHUNK}`, end: 'close' },
  'cuts a closing body with a length': {
    answer: `${CONNECTION_CLOSE}content-length: 9\r\n\r\npart`,
    end: 'close',
  },
  'resets in a chunked body': { answer: `${OK}${CHUNKED}${CHUNK}`, end: 'reset' },
  'sends a body without framing': { answer: `${CONNECTION_CLOSE}\r\nwhole or not?`, end: 'close' },
  'sends two lengths': { answer: `${OK}content-length: 5\r\ncontent-length: 4\r\n\r\nwhole` },
  'sends a length and chunked': { answer: `${OK}content-length: 5\r\n${CHUNKED}${CHUNK}0\r\n\r\n` },
  'sends a bad chunk': { answer: `${OK}${CHUNKED}zz\r\nwhole\r\n` },
  'sends more than its length': { answer: `${OK}content-length: 5\r\n\r\nwhole and more` },
  'sends a head of 64 KiB': { answer: `${OK}x-long: ${'x'.repeat(65_536)}\r\n\r\n` },
  'sends 103 first': {
    answer: `HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n${OK}content-length: 5\r\n\r\nwhole`,
  },
  'sends 100 first': {
    answer: `HTTP/1.1 100 Continue\r\n\r\n${OK}content-length: 5\r\n\r\nwhole`,
  },
  'switches protocols': {
    answer: 'HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n',
  },
  'is not HTTP': { answer: 'SSH-2.0-OpenSSH_9.2\r\n', end: 'close' },
  'answers HEAD with a body': { answer: `${OK}content-length: 5\r\n\r\nwhole` },
  'sends 204 with a body': { answer: 'HTTP/1.1 204 No Content\r\n\r\nstray' },
  'sends 304 with a length': {
    answer: 'HTTP/1.1 304 Not Modified\r\ncontent-length: 5\r\netag: "1"\r\n\r\n',
  },
  'says not run': {
    answer: 'HTTP/1.1 503 Busy\r\nx-chivewalk-not-run: 1\r\ncontent-length: 4\r\n\r\nshed',
  },
  'says not run, and once more for the next request': {
    answer: 'HTTP/1.1 503 Busy\r\nx-chivewalk-not-run: 1\r\ncontent-length: 4\r\n\r\nshed',
    laterAnswer: `${OK}content-length: 3\r\n\r\nran`,
  },
  'answers, and once more for the next request': {
    answer: `${OK}content-length: 7\r\n\r\nearlier`,
    laterAnswer: `${OK}content-length: 3\r\n\r\nran`,
  },
  'fails with 500': { answer: 'HTTP/1.1 500 Broken\r\ncontent-length: 6\r\n\r\nbroken' },
  ...Object.fromEntries(
    ['000', '099', '600', '999'].map((status) => [
      `sends the status ${status}`,
      { answer: `HTTP/1.1 ${status} X\r\ncontent-length: 5\r\n\r\nwhole` },
    ]),
  ),
  'never answers': {},
  'answers before the body': { answer: `${OK}content-length: 5\r\n\r\nearly` },
};

const LONG_BODY = 'x'.repeat(200_000);

Given('an entry whose only upstream {string}', async function (this: FailureWorld, name: string) {
  this.harness = await startEntry();
  const behaviour = behaviours[name];
  if (behaviour === undefined) {
    assert.equal(name, 'refuses connections');
    announceUpstreams(this.harness, [REFUSING_ADDRESS]);
    return;
  }
  this.rawUpstream = await startRawUpstream(behaviour);
  announceUpstreams(this.harness, [this.rawUpstream.address]);
});

When(
  'the caller sends {string} to the failing upstream',
  async function (this: FailureWorld, method: string) {
    const hasBody = method === 'POST' || method === 'PUT';
    const early = this.scenario.includes('before the body');
    const body = early ? LONG_BODY : 'hold';
    const seen = await sendCall({
      port: this.harness.port,
      method,
      path: '/seam/batches',
      headers: {
        'x-chivewalk-deadline-ms': this.scenario.includes('never') ? '200' : '5000',
        ...(hasBody ? { 'content-length': String(body.length) } : {}),
      },
      ...(hasBody ? { body } : {}),
    }).catch((error: unknown) => ({ error: String(error) }));
    this.outcome = seen;
  },
);

When(
  'the caller sends a {string} request, then two at once',
  async function (this: FailureWorld, method: string) {
    const { port } = this.harness;
    const headers = { 'content-length': '4' };
    const send = (): Promise<ObservedResponse> =>
      sendCall({ port, method, path: '/seam/batches', body: 'hold', headers });
    this.answers = [await send(), ...(await Promise.all([send(), send()]))];
  },
);

Then('each request got its own answer and ran once', function (this: FailureWorld) {
  assert.deepEqual(
    this.answers.map(({ status, body }) => [status, body]),
    [
      [200, 'ran'],
      [200, 'ran'],
      [200, 'ran'],
    ],
  );
  // The first one was sent twice, as the upstream refused it.
  assert.equal(this.rawUpstream?.requests.length, 4);
});

Then("no request got another one's answer", function (this: FailureWorld) {
  const [first, ...others] = this.answers.map(({ status, body }) => ({ status, body }));
  assert.deepEqual(first, { status: 200, body: 'earlier' });
  others.forEach(({ status, body }) => {
    assert.ok(body === 'ran' || status === 502, `got ${status} with the body "${body}"`);
  });
});

Then(
  'the results at the caller and at the upstream match the snapshot',
  function (this: FailureWorld) {
    const [finished, ...others] = this.harness.finished;
    assert.deepEqual(others, []);
    assert.deepEqual(this.harness.defects, []);
    assert.equal(this.harness.entry.inFlight, 0);
    assert.equal(this.harness.routing.openCallCount(), 0);
    const { outcome = '', status = 0, attempts = 0 } = finished ?? {};
    const caller = this.outcome as { headers?: Record<string, unknown> };
    const headers = Object.entries(caller.headers ?? {}).filter(([name]) => name !== 'date');
    this.matchSnapshot({
      caller: { ...caller, headers: Object.fromEntries(headers) },
      recorded: { outcome, status, attempts },
      requests: this.rawUpstream?.requests ?? [],
    });
  },
);

After({ tags: '@entry' }, function (this: FailureWorld) {
  this.rawUpstream?.stop();
});
