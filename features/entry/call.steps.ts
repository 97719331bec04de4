import { Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  announceUpstreams,
  readBody,
  sendCall,
  startEntry,
  startUpstream,
  type EntryWorld,
} from './world.js';

const bodies: Readonly<Record<string, string | undefined>> = {
  none: undefined,
  short: 'two batches',
  long: 'x'.repeat(100_000),
};

/** Header fields whose values differ between runs. */
const VOLATILE = ['date', 'x-chivewalk-deadline-ms', 'host'];

async function sendEcho(request: IncomingMessage, response: ServerResponse): Promise<void> {
  const body = await readBody(request);
  const headers = Object.entries(request.headers).filter(([name]) => !VOLATILE.includes(name));
  const text = JSON.stringify({
    method: request.method,
    url: request.url,
    headers: Object.fromEntries(headers),
    size: body.length,
  });
  response.setHeader('x-hop', '1');
  response.setHeader('connection', 'keep-alive, x-hop');
  response.setHeader('x-chivewalk-load', 'in-flight=1;queued=0;cold=0');
  response.setHeader('content-length', String(text.length));
  response.end(text);
}

Given('an entry with one upstream that echoes its requests', async function (this: EntryWorld) {
  this.harness = await startEntry();
  this.receivedPaths = [];
  const address = await startUpstream((request, response) => {
    sendEcho(request, response)
      .then(() => this.receivedPaths.push(request.url ?? ''))
      .catch(() => response.destroy());
  });
  announceUpstreams(this.harness, [address]);
});

When(
  'the caller sends {string} to {string} with body {string}',
  async function (this: EntryWorld, method: string, path: string, body: string) {
    const text = bodies[body];
    const headers = { 'x-own': 'kept', connection: 'close, x-named', 'x-named': 'dropped' };
    const length = text === undefined ? {} : { 'content-length': String(text.length) };
    this.observed = await sendCall({
      port: this.harness.port,
      method,
      path,
      headers: { ...headers, ...length },
      ...(text === undefined ? {} : { body: text }),
    });
  },
);

When('the caller requests addresses', async function (this: EntryWorld) {
  const path = '/.well-known/chivewalk/addresses?zone=klang';
  const answer = await sendCall({ port: this.harness.port, path });
  const body = answer.body.replaceAll(String(this.harness.port), 'PORT');
  this.observed = { ...answer, headers: {}, body };
});

Then("the entry's response matches the snapshot", function (this: EntryWorld) {
  const { headers, ...rest } = this.observed as { headers: Record<string, unknown> };
  const stable = Object.entries(headers).filter(([name]) => !VOLATILE.includes(name));
  assert.deepEqual(this.harness.defects, []);
  this.matchSnapshot({ ...rest, headers: Object.fromEntries(stable) });
});
