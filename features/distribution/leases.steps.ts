import { Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import fc from 'fast-check';
import {
  createClientState,
  decideClient,
  isClientFresh,
  type ClientEvent,
  type ClientState,
} from '../../src/distribution/client.js';
import { LEASE } from '../../src/distribution/timing.js';
import { decodeMessage, encodeMessage } from '../../src/distribution/codec.js';
import { applyDelta, computeDelta } from '../../src/distribution/delta.js';
import { emptyConfig, type Config } from '../../src/model/index.js';
import { Site, type SiteCounts } from './site.js';

interface LeaseWorld {
  entry: ClientState;
  failures: readonly string[];
  endStates: readonly { stale: readonly string[]; awaited: number }[];
  counts: readonly SiteCounts[];
  failure: string | undefined;
}

const SEEDS = Number(process.env.SEEDS ?? 20);
const RUN_MS = Number(process.env.STEPS ?? 6000) * 10;
const RECOVERY_MS = 40_000;

When(
  'seeded sites run for 60 s each under random faults and concurrent commands',
  { timeout: 3_600_000 },
  function (this: LeaseWorld) {
    const runs = Array.from({ length: SEEDS }, (_, index) => {
      const seed = index + 1;
      const site = new Site(seed);
      try {
        site.run(RUN_MS + RECOVERY_MS, RUN_MS);
        const endState = { stale: site.listStale(), awaited: site.revision - site.inForce };
        return { failure: undefined, endState, counts: site.counts };
      } catch (error) {
        return {
          failure: `seed ${seed}: ${String(error)}`,
          endState: undefined,
          counts: site.counts,
        };
      }
    });
    this.failures = runs.flatMap(({ failure }) => (failure === undefined ? [] : [failure]));
    this.endStates = runs.flatMap(({ endState }) => (endState === undefined ? [] : [endState]));
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
  'no distribution entry reverted to an earlier revision, even after a restart without state',
  function (this: LeaseWorld) {
    assert.deepEqual(
      this.failures.filter((failure) => failure.includes('back to')),
      [],
    );
  },
);

Then(
  'once the faults end every distribution entry has a valid lease and the newest revision is in force',
  function (this: LeaseWorld) {
    assert.deepEqual(
      this.endStates,
      this.endStates.map(() => ({ stale: [], awaited: 0 })),
    );
  },
);

Then('faults of every kind occurred in the distribution runs', function (this: LeaseWorld) {
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
/** Generates objects with the same prototype as the codec's, because deepEqual compares prototypes. */
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
  'deltas between random configurations are encoded, decoded and applied',
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

Then('every delta yields the configuration that it was computed for', function (this: LeaseWorld) {
  assert.equal(this.failure, undefined);
});

const MEMBER = '10.0.0.1:1';
const SELF = { id: 'e1', zone: 'z', callerAddress: '10.0.1.1:2', incarnation: 7 };
const FIRST: Config = {
  ...emptyConfig,
  revision: 5,
  roster: { epoch: 1, members: [{ ...SELF, peerAddress: '10.0.1.1:1', phase: 'active' }] },
};

function step(state: ClientState, event: ClientEvent): ClientState {
  return decideClient(state, event).state;
}

function sendUpdate(state: ClientState, seq: number, granted: boolean, now: number): ClientState {
  const delta = computeDelta(emptyConfig, FIRST);
  const message = { kind: 'update' as const, seq, granted, delta };
  return step(state, { kind: 'received', from: MEMBER, message, now });
}

Given(
  'a distribution entry that has just started and sent one request',
  function (this: LeaseWorld) {
    this.entry = step(createClientState(SELF, [MEMBER], 0), { kind: 'ticked', now: 0 });
  },
);

When(/^it is sent a configuration (.+)$/, function (this: LeaseWorld, how: string) {
  const isAnswer = how.startsWith('in answer to its question');
  const seq = isAnswer ? this.entry.seq : how.startsWith('unasked') ? 0 : 99;
  this.entry = sendUpdate(this.entry, seq, !/without|unasked/.test(how), 10);
});

Then(
  /^the distribution entry has accepted it: (yes|no)$/,
  function (this: LeaseWorld, accepted: string) {
    assert.equal(this.entry.config !== undefined, accepted === 'yes');
    assert.equal(isClientFresh(this.entry, 20), accepted === 'yes');
  },
);

Given('a distribution entry with a lease', function (this: LeaseWorld) {
  const asked = step(createClientState(SELF, [MEMBER], 0), { kind: 'ticked', now: 0 });
  this.entry = sendUpdate(asked, asked.seq, true, 10);
  assert.ok(isClientFresh(this.entry, LEASE - 1));
});

When('it is paused for longer than the lease', function (this: LeaseWorld) {
  // The response to a poll from before the pause is delivered only when the process resumes.
  const seq = this.entry.seq;
  const message = { kind: 'grant' as const, seq, revision: FIRST.revision };
  const now = LEASE + 500;
  this.entry = step(this.entry, { kind: 'received', from: MEMBER, message, now });
});

Then(
  'the distribution entry takes no new work until a poll sent after the pause is granted',
  function (this: LeaseWorld) {
    const now = LEASE + 500;
    assert.equal(isClientFresh(this.entry, now), false);
    const asked = step(this.entry, { kind: 'ticked', now });
    const message = { kind: 'grant' as const, seq: asked.seq, revision: FIRST.revision };
    const granted = step(asked, { kind: 'received', from: MEMBER, message, now: now + 10 });
    assert.equal(isClientFresh(granted, now + 10), true);
    assert.equal(granted.leaseEnd, now + LEASE);
  },
);
