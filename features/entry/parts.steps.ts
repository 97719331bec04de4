import { Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import type { ServerResponse } from 'node:http';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { pickAddresses } from '../../src/entry/addresses.js';
import { sendProbe } from '../../src/entry/probe.js';
import { parseTarget } from '../../src/entry/target.js';
import { UpstreamPool } from '../../src/entry/upstreams.js';
import type { CallerAddress } from '../../src/entry/index.js';
import type { LoadReport } from '../../src/model/index.js';
import type { SnapshotWorld } from '../support/snapshot.js';
import { startUpstream } from './world.js';

interface PartsWorld extends SnapshotWorld {
  addressLists: (readonly CallerAddress[])[];
  probe: { readonly healthy: boolean; readonly report: LoadReport | undefined };
  parsed: unknown;
}

When(
  'addresses are picked {int} times from {int} entries in each of {string}',
  function (this: PartsWorld, times: number, count: number, zones: string) {
    const generator = xoroshiro128plus(3);
    const entries = zones
      .split(', ')
      .flatMap((zone) =>
        Array.from({ length: count }, (_, at) => ({ address: `${zone}-${at}`, zone })),
      );
    this.addressLists = Array.from({ length: times }, () =>
      pickAddresses(entries, 'klang', ['cyberjaya'], () => uniformFloat64(generator)),
    );
  },
);

Then('their zones for a caller in klang match the snapshot', function (this: PartsWorld) {
  const zones = this.addressLists.map((answer) => answer.map(({ zone }) => zone).join(' '));
  this.matchSnapshot([...new Set(zones)]);
});

Then(
  'each entry of klang comes first in {int} to {int} of 100 lists',
  function (this: PartsWorld, low: number, high: number) {
    const shares = [0, 1, 2].map((at) => {
      const first = this.addressLists.filter(([one]) => one?.address === `klang-${at}`);
      return (100 * first.length) / this.addressLists.length;
    });
    assert.ok(
      shares.every((share) => share >= low && share <= high),
      `shares ${shares.join(', ')}`,
    );
  },
);

const loadHeaders: Readonly<Record<string, string>> = {
  'is healthy': 'in-flight=3;queued=1;cold=0',
  'is cold': 'in-flight=0;queued=0;cold=1',
  'reports invalid load': 'in-flight=many',
  'answers 503': 'in-flight=6;queued=9;cold=0',
};

function sendHealth(response: ServerResponse, behaviour: string): void {
  if (behaviour === 'never answers') return;
  const status = behaviour === 'answers 503' ? 503 : 200;
  response.writeHead(status, { 'x-chivewalk-load': loadHeaders[behaviour], 'content-length': '0' });
  response.end();
}

When(
  'the entry probes an upstream that {string}',
  async function (this: PartsWorld, behaviour: string) {
    const address =
      behaviour === 'refuses connections'
        ? '127.0.0.77:9'
        : await startUpstream((_, response) => {
            sendHealth(response, behaviour);
          });
    const pool = UpstreamPool.create(address, 1);
    this.probe = await new Promise((resolve) => {
      sendProbe(pool, (healthy, report) => {
        resolve({ healthy, report });
      });
    });
    pool.close();
  },
);

Then(
  /^the probe reports it as (healthy|unhealthy) with load "(.*)"$/,
  function (this: PartsWorld, health: string, load: string) {
    const { healthy, report } = this.probe;
    const found =
      report === undefined
        ? 'none'
        : `in-flight ${report.inFlight}, queued ${report.queued}${report.cold ? ' cold' : ''}`;
    assert.equal(healthy ? 'healthy' : 'unhealthy', health);
    assert.equal(found, load);
  },
);

const targets = [
  '/seam',
  '/seam/',
  '/seam?full',
  '/seam/batches',
  '/seam/batches?x=/y',
  '/seam//batches',
  '/seam/../other/a',
  '/',
  '//seam/a',
  '/se%61m/a',
  '/.hidden/a',
  'seam/a',
  'http://seam/a',
  '/seam/a#b',
  `/${'s'.repeat(65)}/a`,
];

When('a table of request targets is parsed', function (this: PartsWorld) {
  this.parsed = Object.fromEntries(targets.map((url) => [url, parseTarget(url) ?? 'no service']));
});

Then('the parsed targets match the snapshot', function (this: PartsWorld) {
  this.matchSnapshot(this.parsed);
});
