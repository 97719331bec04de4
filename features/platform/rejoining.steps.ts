/** A steward that comes back after the group replaced it. */
import { Then, When, type World } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { safeRoute, unsafeRoute } from './services.js';
import { PORTS, readMetric, waitUntil, type Site } from './site.js';

interface RejoiningWorld extends World {
  site: Site;
  stewardIps: readonly string[];
}

const PAUSED = 'steward-3';

function readMetrics(world: RejoiningWorld, name: string): Promise<readonly number[]> {
  return Promise.all(
    world.stewardIps.map((ip) => readMetric(ip, PORTS.stewardMetrics, `chivewalk_steward_${name}`)),
  );
}

When('the third steward is paused and a fourth one starts', async function (this: RejoiningWorld) {
  const { site } = this;
  site.processes.get(PAUSED)?.child.kill('SIGSTOP');
  const ip = `127.${site.net}.1.2`;
  await site.startProcess('steward', ip, site.ips.length, false);
  this.stewardIps = [...site.ips.slice(0, 2), ip];
});

Then(
  'within {int} ms the stewards that run count {int} members, of which {int} vote',
  { timeout: 40_000 },
  async function (this: RejoiningWorld, time: number, members: number, voters: number) {
    await waitUntil(
      `${members} members, of which ${voters} vote`,
      async () => {
        const counts = await Promise.all([
          readMetrics(this, 'members'),
          readMetrics(this, 'voters'),
        ]).catch((): readonly (readonly number[])[] => [[0], [0]]);
        const [foundMembers = [], foundVoters = []] = counts;
        return (
          foundMembers.every((count) => count === members) &&
          foundVoters.every((count) => count === voters)
        );
      },
      time,
    );
  },
);

When('the third steward runs on', function (this: RejoiningWorld) {
  this.site.processes.get(PAUSED)?.child.kill('SIGCONT');
  this.stewardIps = [...this.stewardIps, this.site.ips[2] ?? ''];
});

Then(
  "the third steward's process deleted its data and runs",
  async function (this: RejoiningWorld) {
    const running = this.site.processes.get(PAUSED);
    assert.equal(running?.child.exitCode, null);
    // Log lines are written up to 50 ms late, and votes may be counted before.
    await waitUntil(
      'it logs that it was replaced and that its folder is empty',
      () =>
        /the group replaced this member[^]*the data folder is empty: asking the group/.test(
          running.output,
        ),
      1000,
    );
  },
);

When(
  'another configuration is sent to the stewards after the third one joined again',
  async function (this: RejoiningWorld) {
    const answer = await this.site.putRoutes([{ ...safeRoute, timeout: '950ms' }, unsafeRoute]);
    assert.equal(answer.status, 200, answer.body);
  },
);

Then(
  'within {int} ms all four stewards hold that configuration',
  async function (this: RejoiningWorld, time: number) {
    await waitUntil(
      'all stewards hold the configuration',
      async () => {
        const versions = await readMetrics(this, 'routes_version');
        return versions.length === 4 && versions.every((held) => held === this.site.version);
      },
      time,
    );
  },
);
