import { After, Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { createServer, type IncomingMessage, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { text } from 'node:stream/consumers';
import { sendUsageReport } from '../../platform/usage.js';
import type { ReportOutcome } from '../../src/usage/index.js';

interface CallWorld {
  usagePlatform: Server;
  usageAddress: string;
  usageCall: { readonly request: IncomingMessage; readonly body: string } | undefined;
  usageOutcome: ReportOutcome;
}

async function openPlatform(world: CallWorld, status: number | undefined): Promise<void> {
  world.usagePlatform = createServer((request, response) => {
    void text(request).then((body) => {
      world.usageCall = { request, body };
      if (status === undefined) return;
      response.statusCode = status;
      response.end(status === 204 ? undefined : 'an answer');
    });
  });
  await new Promise<void>((resolve) => {
    world.usagePlatform.listen(0, '127.0.0.1', resolve);
  });
  const { port } = world.usagePlatform.address() as AddressInfo;
  world.usageAddress = `127.0.0.1:${port}`;
}

async function sendReport(world: CallWorld, window: number, token: number): Promise<void> {
  const counts = [
    ['sese880', 412],
    ['__proto__', 1],
  ] as const;
  const report = { window, holder: 'st-1', token, counts };
  world.usageOutcome = await sendUsageReport(world.usageAddress, report, 200);
}

function closePlatform({ usagePlatform }: CallWorld): Promise<void> {
  usagePlatform.closeAllConnections();
  return new Promise((resolve) => {
    usagePlatform.close(() => {
      resolve();
    });
  });
}

Given(
  'a usage platform on loopback that answers {int}',
  async function (this: CallWorld, status: number) {
    await openPlatform(this, status);
  },
);

Given('a usage platform on loopback that never answers', async function (this: CallWorld) {
  await openPlatform(this, undefined);
});

When(
  'a usage report of window {int} with token {int} is sent',
  async function (this: CallWorld, window: number, token: number) {
    await sendReport(this, window, token);
  },
);

When(
  'the usage platform on loopback is down and the report is sent again',
  async function (this: CallWorld) {
    await closePlatform(this);
    await sendReport(this, 353_445_120, 7);
  },
);

Then(
  'the usage call is a POST to {string} with holder {string} and token {string}',
  function (this: CallWorld, path: string, holder: string, token: string) {
    const { method, url, headers } = this.usageCall?.request ?? assert.fail('no call came');
    assert.deepEqual([method, url], ['POST', path]);
    assert.equal(headers['x-duty-holder'], holder);
    assert.equal(headers['x-fence-token'], token);
    assert.equal(headers['content-type'], 'application/json');
  },
);

Then('the usage call has the body {string}', function (this: CallWorld, body: string) {
  assert.equal(this.usageCall?.body, body);
});

Then('the usage report counts as {string}', function (this: CallWorld, outcome: ReportOutcome) {
  assert.equal(this.usageOutcome, outcome);
});

After(async function (this: Partial<CallWorld>) {
  if (this.usagePlatform?.listening === true) await closePlatform(this as CallWorld);
});
