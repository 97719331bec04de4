import { Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import fc from 'fast-check';
import { decodeMessage, encodeMessage } from '../../src/distribution/codec.js';
import { applyDelta, computeDelta } from '../../src/distribution/delta.js';
import type { Config } from '../../src/model/index.js';
import { Site, type SiteCounts } from './site.js';

interface LeaseWorld {
  failures: readonly string[];
  settled: readonly { stale: readonly string[]; awaited: number }[];
  counts: readonly SiteCounts[];
  failure: string | undefined;
}

const SEEDS = Number(process.env.SEEDS ?? 20);
const RUN_MS = Number(process.env.STEPS ?? 6000) * 10;
const CALM_MS = 40_000;

When(
  'seeded sites run for 60 s each under random faults and racing commands',
  { timeout: 3_600_000 },
  function (this: LeaseWorld) {
    const runs = Array.from({ length: SEEDS }, (_, at) => {
      const seed = at + 1;
      const site = new Site(seed);
      try {
        site.run(RUN_MS + CALM_MS, RUN_MS);
        const settled = { stale: site.listStale(), awaited: site.revision - site.inForce };
        return { failure: undefined, settled, counts: site.counts };
      } catch (error) {
        return {
          failure: `seed ${seed}: ${String(error)}`,
          settled: undefined,
          counts: site.counts,
        };
      }
    });
    this.failures = runs.flatMap(({ failure }) => (failure === undefined ? [] : [failure]));
    this.settled = runs.flatMap(({ settled }) => (settled === undefined ? [] : [settled]));
    this.counts = runs.map(({ counts }) => counts);
  },
);

Then(
  'no distribution entry acted on a revision older than the one in force',
  function (this: LeaseWorld) {
    assert.deepEqual(
      this.failures.filter((failure) => !failure.includes('back to')),
      [],
    );
  },
);

Then(
  'no distribution entry went back, also after its restart from nothing',
  function (this: LeaseWorld) {
    assert.deepEqual(
      this.failures.filter((failure) => failure.includes('back to')),
      [],
    );
  },
);

Then(
  'once the faults end every distribution entry is fresh and all is in force',
  function (this: LeaseWorld) {
    assert.deepEqual(
      this.settled,
      this.settled.map(() => ({ stale: [], awaited: 0 })),
    );
  },
);

Then('the distribution runs saw faults of every kind', function (this: LeaseWorld) {
  const total = (key: keyof SiteCounts): number =>
    this.counts.reduce((sum, counts) => sum + counts[key], 0);
  const keys = Object.keys(this.counts[0] ?? {}) as (keyof SiteCounts)[];
  if (process.env.SHOW_COUNTS === '1') {
    console.log(Object.fromEntries(keys.map((key) => [key, total(key)])));
  }
  keys.forEach((key) => {
    assert.ok(total(key) >= SEEDS, `${key}: ${total(key)}`);
  });
});

const name = fc.constantFrom('a', 'b', 'c', 'd');
/** Objects as the codec makes them. */
const PLAIN = { noNullPrototype: true } as const;
const selector = fc.record(
  { match: fc.dictionary(name, name, { minKeys: 1, noNullPrototype: true }) },
  PLAIN,
);
const config: fc.Arbitrary<Config> = fc
  .record(
    {
      revision: fc.integer({ min: 1, max: 99 }),
      zonesOut: fc.uniqueArray(name),
      leaving: fc.uniqueArray(selector, { selector: getKey }),
      weights: fc.uniqueArray(
        fc.record(
          {
            service: name,
            version: name,
            share: fc.double({ min: 0, max: 1, noNaN: true }),
          },
          PLAIN,
        ),
        { selector: ({ service, version }) => service + version },
      ),
      roster: fc.record(
        {
          epoch: fc.nat(9),
          members: fc.uniqueArray(
            fc.record(
              {
                id: name,
                zone: name,
                peerAddress: name,
                callerAddress: name,
                incarnation: fc.nat(),
                phase: fc.constantFrom('joining' as const, 'active' as const, 'leaving' as const),
              },
              PLAIN,
            ),
            { selector: ({ id }) => id },
          ),
        },
        PLAIN,
      ),
    },
    PLAIN,
  )
  .map((drawn) => ({
    ...drawn,
    zonesOut: drawn.zonesOut.toSorted(),
    leaving: drawn.leaving.toSorted((one, two) => (getKey(one) < getKey(two) ? -1 : 1)),
    weights: drawn.weights.toSorted((one, two) => (one.service < two.service ? -1 : 1)),
    roster: {
      ...drawn.roster,
      members: drawn.roster.members.toSorted((one, two) => (one.id < two.id ? -1 : 1)),
    },
  }));

function getKey(value: { match: Readonly<Record<string, string>> }): string {
  const pairs = Object.entries(value.match).map(([key, text]) => `${key}=${text}`);
  return pairs.sort().join(',');
}

When(
  'random configurations are turned into each other by deltas over the wire',
  function (this: LeaseWorld) {
    const property = fc.property(config, config, (before, after) => {
      const delta = computeDelta(before, after);
      const sent = decodeMessage(encodeMessage({ kind: 'update', seq: 1, granted: true, delta }));
      assert.ok(sent?.kind === 'update');
      assert.deepEqual(applyDelta(before, sent.delta), after);
      assert.equal(applyDelta({ ...before, revision: 1000 }, sent.delta), undefined);
    });
    const run = fc.check(property, { seed: 11, numRuns: Number(process.env.SEEDS ?? 300) });
    this.failure = run.failed ? fc.defaultReportMessage(run) : undefined;
  },
);

Then('every delta gives the configuration that it was made from', function (this: LeaseWorld) {
  assert.equal(this.failure, undefined);
});
