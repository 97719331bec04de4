/** All processes are killed at once, and some stewards come back without their disks. */
import { Then, When, type World } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { safeRoute, unsafeRoute } from './services.js';
import { PORTS, readMetric, waitUntil, type Site } from './site.js';

/** Milliseconds for which the platform's operator asks for the configuration at the end of a day, at least. */
const CONTACT = 3000;

interface LostDisksWorld extends World {
  site: Site;
}

When(
  'a fourth steward votes and routes are acknowledged',
  { timeout: 40_000 },
  async function (this: LostDisksWorld) {
    const { site } = this;
    await site.addSteward();
    await waitUntil('four stewards vote', async () => {
      const counts = await Promise.all(
        site.ips.map((ip) => readMetric(ip, PORTS.stewardMetrics, 'chivewalk_steward_voters')),
      ).catch((): readonly number[] => []);
      return counts.length > 0 && counts.every((count) => count === 4);
    });
    const answer = await site.putRoutes([safeRoute, unsafeRoute]);
    assert.equal(answer.status, 200, answer.body);
  },
);

When(
  'two stewards lose their disks while all processes are killed',
  { timeout: 20_000 },
  async function (this: LostDisksWorld) {
    const { site } = this;
    const names = [...site.processes.keys()];
    await Promise.all(names.map((name) => site.endProcess(name, 'SIGKILL')));
    const wiped = names.filter((name) => name.startsWith('steward-')).slice(0, 2);
    await Promise.all(names.map((name) => site.restartProcess(name, wiped.includes(name))));
  },
);

Then(
  'within {int} s every gateway serves requests by the acknowledged routes',
  { timeout: 40_000 },
  async function (this: LostDisksWorld, seconds: number) {
    const { site } = this;
    await waitUntil(
      'every gateway serves requests',
      async () => {
        const answers = await Promise.all(
          site.gatewayIps.map((ip) => site.call(ip, '/records/1').catch(() => undefined)),
        );
        return answers.every((answer) => answer?.status === 200);
      },
      seconds * 1000,
    );
  },
);

Then(
  'the version that was acknowledged before the loss is read back',
  { timeout: 20_000 },
  async function (this: LostDisksWorld) {
    // A steward that doesn't know yet who leads answers 5xx; the operator asks again, and takes any other answer.
    let answer = await this.site.readConfiguration(0);
    const readAgain = async (): Promise<boolean> => {
      if (answer.status >= 500) answer = await this.site.readConfiguration(0);
      return answer.status < 500;
    };
    await waitUntil('a read is answered', readAgain, CONTACT);
    assert.equal(answer.status, 200, answer.body);
    assert.equal((JSON.parse(answer.body) as { version: number }).version, this.site.version);
  },
);
