import { Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import {
  createResponseGrammar,
  MessageReader,
  requestGrammar,
  RequestScanner,
  type ReaderEvent,
  type RequestHead,
  type ResponseHead,
} from '../../src/http1/index.js';
import { parseFieldLines } from '../../src/http1/head.js';

interface ReaderWorld {
  fieldValue: string | undefined;
  bytes: Buffer;
  closesCleanly: boolean;
}

const LIMITS = { headBytes: 1000, bodyBytes: 1000 };

function replaceEscapes(text: string): string {
  return text.replaceAll('\\r', '\r').replaceAll('\\n', '\n').replaceAll('\\v', '\v');
}

function parseBytes(text: string): Buffer {
  return Buffer.from(replaceEscapes(text), 'latin1');
}

function describeEvents<Head>(
  events: readonly ReaderEvent<Head>[],
  describe: (head: Head) => string,
): string {
  return events
    .flatMap((event) => {
      switch (event.kind) {
        case 'head':
          return [];
        case 'message':
          return [`${describe(event.head)} [${event.body.toString('latin1')}]`];
        case 'protocolError':
          return [String(event.status)];
      }
    })
    .join('; ');
}

When(
  /^a head is parsed whose field value is (\d+) blanks(.*)$/,
  function (this: ReaderWorld, count: string, rest: string) {
    const blanks = (rest === ' and tabs' ? ' \t' : '  ').repeat(Number(count) / 2);
    const before = rest === ' between two letters' ? 'a' : '';
    const after = rest.includes('letter') ? 'b' : '';
    const fields = parseFieldLines([`field:${before}${blanks}${after}`]);
    assert.ok(!('kind' in fields));
    this.fieldValue = fields[0]?.[1];
  },
);

Then(/^its field value is (\d+) characters long$/, function (this: ReaderWorld, length: string) {
  assert.equal(this.fieldValue?.length, Number(length));
});

Given('the request bytes {string}', function (this: ReaderWorld, text: string) {
  this.bytes = parseBytes(text);
});

Given('the response bytes {string}', function (this: ReaderWorld, text: string) {
  this.bytes = parseBytes(text);
});

When('the connection ends in {string}', function (this: ReaderWorld, end: string) {
  this.closesCleanly = end === 'order';
});

Then(
  'the request reader emits {string} wherever the bytes are split',
  function (this: ReaderWorld, wanted: string) {
    const { bytes } = this;
    Array.from({ length: bytes.length }, (_, index) => index).forEach((at) => {
      const reader = new MessageReader<RequestHead>(requestGrammar, LIMITS);
      const events = [
        ...reader.addChunk(bytes.subarray(0, at)),
        ...reader.addChunk(bytes.subarray(at)),
      ];
      assert.equal(
        describeEvents(events, ({ method, target }) => `${method} ${target}`),
        wanted,
        `split at ${at}`,
      );
    });
  },
);

Then('the response reader emits {string}', function (this: ReaderWorld, wanted: string) {
  const reader = new MessageReader<ResponseHead>(createResponseGrammar('GET'), LIMITS);
  const events = [...reader.addChunk(this.bytes), ...(this.closesCleanly ? reader.finish() : [])];
  assert.equal(
    describeEvents(events, ({ status }) => String(status)),
    wanted,
  );
});

Then(
  'the request scanner passes on {string} and reports {string} wherever the bytes are split',
  function (this: ReaderWorld, accepted: string, error: string) {
    const { bytes } = this;
    Array.from({ length: bytes.length }, (_, index) => index).forEach((at) => {
      const scanner = new RequestScanner({ headBytes: 1000, chunkLineBytes: 100 });
      const results = [scanner.scan(bytes.subarray(0, at)), scanner.scan(bytes.subarray(at))];
      const passed = results.map((result) => result.accepted.toString('latin1')).join('');
      assert.equal(passed, replaceEscapes(accepted), `split at ${at}`);
      const found = results.find((result) => result.error !== undefined)?.error?.status;
      assert.equal(String(found ?? ''), error, `split at ${at}`);
    });
  },
);
