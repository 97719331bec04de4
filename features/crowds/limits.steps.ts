/** Tests the pure parts of the limits on clients. */
import { Given, Then, When, type DataTable } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { chooseVictims, type ConnectionState } from '../../src/admission/index.js';
import {
  computeHeadCost,
  MessageReader,
  requestGrammar,
  type ReaderEvent,
  type RequestHead,
} from '../../src/http1/index.js';

interface LimitsWorld {
  clientNames: readonly string[];
  clientStates: readonly ConnectionState[];
  crowdReader: MessageReader<RequestHead>;
  crowdBody: Buffer;
}

const MANY_STEPS = 1_000_000;

Given('these connections of clients:', function (this: LimitsWorld, table: DataTable) {
  this.clientNames = table.hashes().map(({ name = '' }) => name);
  this.clientStates = table.hashes().map((row) => ({
    isServing: row['is serving'] === 'yes',
    hasCompleted: row['has completed'] === 'yes',
    activeAt: Number(row['active at']),
  }));
});

Then(
  'of the connections of clients, {int} are closed in the order {string}',
  function (this: LimitsWorld, count: number, names: string) {
    const victims = chooseVictims(this.clientStates, count).map((at) => this.clientNames[at]);
    assert.equal(victims.join(', '), names);
  },
);

Given('the head of a request with a body in chunks', function (this: LimitsWorld) {
  this.crowdReader = new MessageReader(requestGrammar, {
    headBytes: 16 * 1024,
    bodyBytes: 64 * 1024 * 1024,
  });
  this.crowdReader.push(
    Buffer.from('POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'),
  );
  assert.equal(this.crowdReader.readNext(MANY_STEPS).event?.kind, 'head');
});

function buildPieces(count: number, size: number): Buffer {
  return Buffer.from(Array.from({ length: count * size }, (_, at) => 97 + (at % 26)));
}

function renderChunks(body: Buffer, size: number): Buffer {
  const chunks = Array.from({ length: body.length / size }, (_, at) => [
    Buffer.from(`${size.toString(16)}\r\n`),
    body.subarray(at * size, (at + 1) * size),
    Buffer.from('\r\n'),
  ]);
  return Buffer.concat(chunks.flat());
}

When('{int} chunks of one byte are read', function (this: LimitsWorld, count: number) {
  this.crowdBody = buildPieces(count, 1);
  const bytes = renderChunks(this.crowdBody, 1);
  // A size that divides no chunk, so that chunks are cut everywhere.
  const piece = 4099;
  for (let at = 0; at < bytes.length; at += piece) {
    this.crowdReader.push(bytes.subarray(at, at + piece));
    assert.equal(this.crowdReader.readNext(MANY_STEPS).event, undefined);
  }
});

Then('the reader holds at most {int} bytes', function (this: LimitsWorld, most: number) {
  const { heldBytes } = this.crowdReader;
  assert.ok(heldBytes <= most, `${heldBytes} bytes`);
});

Then('the body that ends then is whole', function (this: LimitsWorld) {
  this.crowdReader.push(Buffer.from('0\r\n\r\n'));
  const { event } = this.crowdReader.readNext(MANY_STEPS);
  assert.ok(event?.kind === 'message');
  assert.ok(event.body.equals(this.crowdBody));
});

When(
  '{int} chunks of {int} bytes are pushed',
  function (this: LimitsWorld, count: number, size: number) {
    this.crowdBody = buildPieces(count, size);
    this.crowdReader.push(renderChunks(this.crowdBody, size));
    this.crowdReader.push(Buffer.from('0\r\n\r\n'));
  },
);

Then(
  'each reading of {int} steps returns within {int} steps, and in the end the body is whole',
  function (this: LimitsWorld, given: number, most: number) {
    let event: ReaderEvent<RequestHead> | undefined;
    let readings = 0;
    while (event === undefined) {
      const result = this.crowdReader.readNext(given);
      assert.ok(result.steps <= most && !result.needsInput);
      event = result.event;
      readings += 1;
    }
    assert.ok(readings > 100, `${readings} readings`);
    assert.ok(event.kind === 'message' && event.body.equals(this.crowdBody));
  },
);

When(
  'a head of {int} bytes is followed by the first bytes of another',
  function (this: LimitsWorld, size: number) {
    this.crowdReader.push(Buffer.from('0\r\n\r\n'));
    assert.equal(this.crowdReader.readNext(MANY_STEPS).event?.kind, 'message');
    const head = `GET /a HTTP/1.1\r\nHost: a\r\nX-Filler: ${'a'.repeat(size)}\r\n\r\n`;
    const bytes = Buffer.from(`${head}GET /b`);
    this.crowdReader.push(bytes);
    assert.equal(this.crowdReader.readNext(MANY_STEPS).event?.kind, 'head');
    assert.equal(this.crowdReader.readNext(MANY_STEPS).event?.kind, 'message');
    assert.ok(this.crowdReader.readNext(MANY_STEPS).needsInput);
  },
);

Then(
  'a head with {int} short fields costs over {int} bytes, one with {int} fields under {int}',
  function (many: number, least: number, few: number, most: number) {
    const build = (count: number): RequestHead => ({
      ...{ method: 'GET', target: '/', minorVersion: 1 },
      headers: Array.from({ length: count }, () => ['a', 'b'] as const),
    });
    assert.ok(computeHeadCost(build(many)) > least);
    assert.ok(computeHeadCost(build(few)) < most);
  },
);
