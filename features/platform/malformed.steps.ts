import { Then, When, type DataTable, type World } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { PORTS, sendHttpRequest, type Site } from './site.js';

interface MalformedWorld extends World {
  site: Site;
}

/** Messages that are no valid request, frame or datagram. */
const MALFORMED_MESSAGES: readonly Buffer[] = [
  'GET // HTTP/1.1\r\nHost: x\r\n\r\n',
  'GET http://[ HTTP/1.1\r\nHost: x\r\n\r\n',
  'GET /%E0%A4%A HTTP/1.1\r\nHost: %\r\n\r\n',
  'GET /-/resolve?zone=%E0%A4%A HTTP/1.1\r\nHost: x\r\n\r\n',
  'POST /-/Instances.Heartbeat/%E0%A4%A HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}',
  'POST /-/Config.Put HTTP/1.1\r\nHost: x\r\nX-Base-Version: x\r\nContent-Length: 4\r\n\r\nnull',
  'GET /-/Rollouts.Get/constructor HTTP/1.1\r\nHost: x\r\n\r\n',
  'HTTP/1.1 400 Bad Request\r\n\r\n',
  '\u0000\u0000\u0000\u0001\u00c0',
  '\u0000\u0000\u0000\u0000\u0000\u0000\u0000\u0000',
  '\u007f\u00ff\u00ff\u00ff',
  '{"kind":"find"}',
].map((text) => Buffer.from(text, 'latin1'));

/** Time in milliseconds in which a process would have reacted to what it was sent. */
const REACTION_TIME = 500;

async function sendBytes(host: string, port: number, bytes: Buffer): Promise<void> {
  const socket = connect({ host, port });
  socket.on('error', () => socket.destroy());
  socket.write(bytes);
  await sleep(REACTION_TIME);
  socket.destroy();
}

When(
  'malformed bytes are sent to every listener of every VM',
  { timeout: 30_000 },
  async function (this: MalformedWorld) {
    const datagrams = createSocket('udp4');
    await Promise.all(
      this.site.ips.flatMap((host) =>
        Object.values(PORTS).flatMap((port) =>
          MALFORMED_MESSAGES.map(async (bytes) => {
            await new Promise((resolve) => {
              datagrams.send(bytes, port, host, resolve);
            });
            await sendBytes(host, port, bytes);
          }),
        ),
      ),
    );
    const closed = once(datagrams, 'close');
    datagrams.close();
    await closed;
  },
);

When(
  'announcements with these faults are sent to every steward, each is rejected:',
  { timeout: 30_000 },
  async function (this: MalformedWorld, table: DataTable) {
    const answers = await Promise.all(
      table.hashes().map(async ({ id = '', address, service, zone, slots, fault = '' }) => {
        const info = { service, zone, version: 'v1', slots: Number(slots) };
        const status = { state: 'ready', seq: 1, cold_left: '0ms' };
        const answer = await this.site.sendOrder({
          method: 'POST',
          path: `/-/Instances.Heartbeat/${id}`,
          body: JSON.stringify({ address, info, status, born: 1 }),
        });
        return `${fault}: ${answer.status}`;
      }),
    );
    await sleep(REACTION_TIME);
    assert.deepEqual(
      answers,
      table.hashes().map(({ fault = '' }) => `${fault}: 400`),
    );
  },
);

function renderAnnouncement(extra: string): string {
  const info = '"info":{"service":"records","version":"v1","zone":"cyberjaya","slots":6}';
  const status = '"status":{"state":"ready","seq":1,"cold_left":"0ms"}';
  return `{"address":"127.0.0.1:8080",${info},${status},${extra}}`;
}

When(
  'a configuration and an announcement nested {int} deep, and numbers like 1e999, are sent to every steward, each is rejected',
  { timeout: 30_000 },
  async function (this: MalformedWorld, depth: number) {
    const nested = `${'['.repeat(depth)}${']'.repeat(depth)}`;
    const limits =
      '{"max_header_bytes":9999,"max_body_bytes":9999,"header_timeout":"3s","idle_timeout":"9s"}';
    const table = `{"version":99999,"services":[],"hosts":[],"limits":${limits},"note":${nested}}`;
    const base = { 'X-Base-Version': String(this.site.version) };
    const put = await this.site.sendOrder({
      ...{ method: 'POST', path: '/-/Config.Put', body: table, headers: base },
    });
    const announcements = [`"note":${nested}`, '"born":1e999', '"born":1e300', '"born":1.5'];
    const answers = await Promise.all(
      announcements.map((extra, index) =>
        this.site.sendOrder({
          ...{ method: 'POST', path: `/-/Instances.Heartbeat/odd-${index}` },
          body: renderAnnouncement(extra),
        }),
      ),
    );
    await sleep(REACTION_TIME);
    assert.deepEqual(
      [put, ...answers].map(({ status }) => status),
      [400, 400, 400, 400, 400],
    );
  },
);

Then('no process of the site has ended', function (this: MalformedWorld) {
  const ended = [...this.site.processes]
    .filter(([, { child }]) => child.exitCode !== null || child.signalCode !== null)
    .map(([name, { output }]) => `${name}: ${output.slice(-800)}`);
  assert.deepEqual(ended, []);
});

Then(
  'each gateway still serves both services, and each steward still answers reads',
  { timeout: 20_000 },
  async function (this: MalformedWorld) {
    const { site } = this;
    const answers = await Promise.all([
      ...site.ips.map((ip) => site.call(ip, '/records/1')),
      ...site.ips.map((ip) => site.call(ip, '/orders/1', { method: 'POST', body: 'x' })),
      ...site.ips.map((_, index) => site.readConfiguration(index)),
      ...site.ips.map((ip) =>
        sendHttpRequest(ip, PORTS.directory, { path: '/-/resolve?zone=cyberjaya' }),
      ),
    ]);
    assert.deepEqual(
      answers.map(({ status }) => status),
      answers.map(() => 200),
    );
  },
);
