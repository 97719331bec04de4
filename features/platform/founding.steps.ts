/** A first start in which control processes are killed. */
import { Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { safeRoute, unsafeRoute } from './services.js';
import { PORTS, readMetric, Site, waitUntil } from './site.js';

interface FoundingWorld {
  site: Site;
  killed: string;
}

const stewardsByOrdinal: Readonly<Record<string, string>> = {
  first: 'steward-1',
  second: 'steward-2',
};

function isListening(ip: string): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect(PORTS.peer, ip);
    socket.on('connect', () => {
      socket.destroy();
      resolve(true);
    });
    socket.on('error', () => {
      resolve(false);
    });
  });
}

Given(
  /^a site that starts for the first time, whose (first|second) steward is killed (\d+) ms after it listens$/,
  { timeout: 30_000 },
  async function (this: FoundingWorld, ordinal: string, delay: number) {
    this.site = await Site.start();
    this.killed = stewardsByOrdinal[ordinal] ?? '';
    const { ip } = this.site.getProcess(this.killed);
    await waitUntil('it listens', () => isListening(ip));
    await sleep(delay);
    await this.site.endProcess(this.killed, 'SIGKILL');
  },
);

When(
  /^it is back (\d+) ms later, with (its folder|an empty disk)$/,
  async function (this: FoundingWorld, pause: number, folder: string) {
    await sleep(pause);
    await this.site.restartProcess(this.killed, folder === 'an empty disk');
  },
);

When(
  /^then the (first|second) steward is killed and back (\d+) ms later$/,
  async function (this: FoundingWorld, ordinal: string, pause: number) {
    const name = stewardsByOrdinal[ordinal] ?? '';
    await this.site.endProcess(name, 'SIGKILL');
    await sleep(pause);
    await this.site.restartProcess(name, false);
  },
);

Then(
  'an order is acknowledged within {int} ms, and all {int} stewards belong to one group within {int} ms more',
  { timeout: 60_000 },
  async function (this: FoundingWorld, time: number, count: number, more: number) {
    const until = performance.now() + time;
    const sendOrder = async (): Promise<boolean> =>
      this.site.putRoutes([safeRoute, unsafeRoute]).then(
        ({ status }) => status === 200,
        () => false,
      );
    await waitUntil('the order is acknowledged', sendOrder, time);
    assert.ok(performance.now() <= until, 'the order was acknowledged too late');
    await waitUntil(
      'all of them have committed it',
      async () => {
        const reads = this.site.ips.map((ip) =>
          Promise.all([
            readMetric(ip, PORTS.stewardMetrics, 'chivewalk_steward_voters'),
            readMetric(ip, PORTS.stewardMetrics, 'chivewalk_steward_routes_version'),
          ]),
        );
        const found = await Promise.all(reads).catch((): (readonly number[])[] => []);
        return (
          found.length === count &&
          found.every(([voters = 0, version = 0]) => voters === count && version > 0)
        );
      },
      more,
    );
  },
);
