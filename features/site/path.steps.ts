/** Steps that start a site of separate processes, send calls through it and run the operators' tool. */
import { After, Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { request } from 'undici';
import { runCli as runSiteTool, startSite, waitUntil, type Site } from '../../bench/stand/site.js';
import type { SnapshotWorld } from '../support/snapshot.js';

/** The World of scenarios that run separate processes. */
export interface SiteWorld extends SnapshotWorld {
  site?: Site;
  zones: readonly string[];
  addresses: AddressAnswer;
  /** Answers to the calls of the last step that sent calls. */
  answers: readonly CallAnswer[];
}

interface AddressAnswer {
  readonly addresses: readonly { readonly address: string; readonly zone: string }[];
  readonly ttl_ms: number;
}

interface CallAnswer {
  readonly path: string;
  readonly status: number;
  readonly text: string;
}

const SETTLE_TIMEOUT_MS = 15_000;

/** Returns the site of the scenario; throws if none was started. */
export function getSite(world: SiteWorld): Site {
  assert.ok(world.site !== undefined, 'no site was started');
  return world.site;
}

/** Returns the address of each entry for callers. */
export function getCallerAddresses(site: Site): readonly string[] {
  return site.processes.flatMap((one) =>
    one.role === 'entry' ? [one.addresses.caller ?? ''] : [],
  );
}

/** Sends one call to the entry at `address`, with `index` as the number of the record in the path. */
export async function sendCall(
  address: string,
  service: string,
  index: number,
): Promise<CallAnswer> {
  const path = `/records/${index}`;
  const answer = await request(`http://${address}/${service}${path}`);
  return { path, status: answer.statusCode, text: await answer.body.text() };
}

/** Runs the operators' tool and returns what it printed. */
export function runTool(site: Site, words: readonly string[]): Promise<string> {
  return runSiteTool(site.cliArguments, words);
}

After(async function (this: SiteWorld) {
  await this.site?.stop();
});

Given(
  'a site of {int} control processes and entries in the zones {string}',
  { timeout: 60_000 },
  async function (this: SiteWorld, controls: number, zones: string) {
    this.zones = zones.split(', ');
    this.site = await startSite({ controls, entryZones: this.zones, upstreams: [] });
  },
);

Given(
  'an upstream of {string} in each of these zones',
  { timeout: 30_000 },
  async function (this: SiteWorld, service: string) {
    const site = getSite(this);
    const started = this.zones.map((zone) =>
      site.addUpstream({ id: `${service}-${zone}`, service, zone }),
    );
    await Promise.all(started);
    const entries = getCallerAddresses(site);
    await waitUntil(
      async () =>
        (await Promise.all(entries.map((entry) => sendCall(entry, service, 0)))).every(
          (one) => one.status === 200,
        ),
      SETTLE_TIMEOUT_MS,
      () => `${service} answers through every entry`,
    );
  },
);

When(
  'an upstream {string} of {string} announces itself to the site',
  { timeout: 30_000 },
  async function (this: SiteWorld, id: string, service: string) {
    const site = getSite(this);
    await site.addUpstream({ id, service, zone: this.zones[0] ?? '' });
    const [entry = ''] = getCallerAddresses(site);
    await waitUntil(
      async () => (await sendCall(entry, service, 0)).status === 200,
      SETTLE_TIMEOUT_MS,
      () => `${service} answers`,
    );
  },
);

When('a caller requests addresses from an entry', async function (this: SiteWorld) {
  const [entry = ''] = getCallerAddresses(getSite(this));
  const answer = await request(
    `http://${entry}/.well-known/chivewalk/addresses?zone=${this.zones[1] ?? ''}`,
  );
  this.addresses = (await answer.body.json()) as AddressAnswer;
});

Then(
  'the response lists addresses of entries with a time to live, nearest zone first',
  function (this: SiteWorld) {
    const known = getCallerAddresses(getSite(this));
    assert.ok(this.addresses.ttl_ms >= 1000);
    assert.ok(this.addresses.addresses.every(({ address }) => known.includes(address)));
    assert.equal(this.addresses.addresses[0]?.zone, this.zones[1]);
  },
);

When(
  'the caller sends {int} calls for {string}',
  { timeout: 30_000 },
  async function (this: SiteWorld, count: number, service: string) {
    const entries = getCallerAddresses(getSite(this));
    const calls = Array.from({ length: count }, (_, at) =>
      sendCall(entries[at % entries.length] ?? '', service, at + 1),
    );
    this.answers = await Promise.all(calls);
  },
);

When(
  'the caller sends {int} calls for {string} one after another',
  { timeout: 30_000 },
  async function (this: SiteWorld, count: number, service: string) {
    const entries = getCallerAddresses(getSite(this));
    const answers: CallAnswer[] = [];
    for (let at = 0; at < count; at += 1) {
      answers.push(await sendCall(entries[at % entries.length] ?? '', service, at + 1));
    }
    this.answers = answers;
  },
);

Then(
  'every call of the site is answered completely by an announced upstream',
  function (this: SiteWorld) {
    const ids = getSite(this)
      .processes.filter((one) => one.role === 'upstream')
      .map((one) => one.id);
    const whole = ids.flatMap((id) =>
      this.answers.map((answer) => `${id} v1 ran GET ${answer.path} \n`),
    );
    const bad = this.answers.filter(
      (answer) => answer.status !== 200 || !whole.includes(answer.text),
    );
    assert.deepEqual(bad, []);
  },
);

When(
  /^the operator (takes|brings) the zone "([^"]+)" (out|in) and waits until it is in force everywhere$/,
  { timeout: 30_000 },
  async function (this: SiteWorld, _: string, zone: string, direction: string) {
    await runTool(getSite(this), [
      'zone',
      direction,
      zone,
      '--wait',
      'in-force',
      '--deadline',
      '15',
    ]);
  },
);

Then('none of the last calls ran in the zone {string}', function (this: SiteWorld, zone: string) {
  assert.ok(this.answers.length > 0);
  assert.deepEqual(
    this.answers.filter((answer) => answer.text.includes(zone)),
    [],
  );
});

Then(
  'calls for {string} reach the zone {string} again',
  { timeout: 30_000 },
  async function (this: SiteWorld, service: string, zone: string) {
    const entries = getCallerAddresses(getSite(this));
    let at = 0;
    await waitUntil(
      async () => {
        at += 1;
        return (await sendCall(entries[at % entries.length] ?? '', service, at)).text.includes(
          zone,
        );
      },
      SETTLE_TIMEOUT_MS,
      () => `a call of ${service} ran in ${zone}`,
    );
  },
);

When(
  'the upstream {string} is killed while the caller sends calls for {string}',
  { timeout: 30_000 },
  async function (this: SiteWorld, id: string, service: string) {
    const site = getSite(this);
    const entries = getCallerAddresses(site);
    const calls = Array.from({ length: 60 }, (_, at) =>
      sendCall(entries[at % entries.length] ?? '', service, at + 1).catch(() => undefined),
    );
    await site.end(id, 'SIGKILL');
    await Promise.all(calls);
  },
);

Then('every entry of the site is still running', function (this: SiteWorld) {
  const ended = getSite(this).processes.filter(
    ({ role, child }) => role === 'entry' && (child.exitCode !== null || child.signalCode !== null),
  );
  assert.deepEqual(
    ended.map(({ id, output }) => ({ id, output })),
    [],
  );
});
