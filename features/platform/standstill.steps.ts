/** A gateway that stands still while its requests are at upstreams. */
import { After, Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { safeRoute, serveTwoServices, unsafeRoute } from './services.js';
import { Site } from './site.js';

interface StandstillWorld {
  standstillSite: Site;
}

const OBSERVED = 'gateway-1';
/** A path of the unsafe route at which upstreams work for 150 ms. */
const WORK_PATH = '/orders/1?work=150&bytes=10';

function sendOrder({ standstillSite: site }: StandstillWorld): Promise<number> {
  const { ip } = site.getProcess(OBSERVED);
  return site
    .call(ip, WORK_PATH, { method: 'POST' })
    .then(({ status }) => status)
    .catch(() => 0);
}

Given(
  'a site whose gateway has {int} requests at upstreams',
  { timeout: 60_000 },
  async function (this: StandstillWorld, count: number) {
    this.standstillSite = await Site.start();
    const site = this.standstillSite;
    await serveTwoServices(site, [safeRoute, unsafeRoute]);
    site.upstreams.forEach((upstream) => {
      upstream.behaviour = 'timed';
    });
    assert.equal(await sendOrder(this), 200);
    void Promise.all(Array.from({ length: count }, () => sendOrder(this)));
    await sleep(100);
  },
);

When(
  'that gateway is paused for {int} ms from then on',
  { timeout: 20_000 },
  async function (this: StandstillWorld, time: number) {
    const { child } = this.standstillSite.getProcess(OBSERVED);
    child.kill('SIGSTOP');
    await sleep(time);
    child.kill('SIGCONT');
  },
);

Then(
  'it serves requests of the same route within {int} ms after the pause',
  { timeout: 20_000 },
  async function (this: StandstillWorld, limit: number) {
    await sleep(limit);
    const statuses = await Promise.all(Array.from({ length: 5 }, () => sendOrder(this)));
    assert.deepEqual(statuses, [200, 200, 200, 200, 200]);
  },
);

After(async function (this: Partial<StandstillWorld>) {
  await this.standstillSite?.stop();
});
