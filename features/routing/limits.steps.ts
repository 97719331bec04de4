import { Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import type { Criticality } from '../../src/model/index.js';
import { getConnectionBudget, type Call, type RoutingEffect } from '../../src/routing/index.js';
import type { SnapshotWorld } from '../support/snapshot.js';
import { buildConfig, buildUpstream } from './builders.js';
import { RoutingHarness } from './harness.js';

interface LimitsWorld extends SnapshotWorld {
  entries: readonly RoutingHarness[];
  entry: RoutingHarness;
}

const cold = buildUpstream('a1', { age: 0 });
const warm = buildUpstream('a1');

function hasSend(effects: readonly RoutingEffect[]): boolean {
  return effects.some((effect) => effect.kind === 'send');
}

/** Applies the arrival of calls, which fill first the upstream and then the queue. */
function sendCalls(
  entry: RoutingHarness,
  count: number,
  criticality: Criticality,
  fields: Partial<Call> = {},
): void {
  Array.from({ length: count }).forEach(() => entry.arrive({ criticality, ...fields }));
}

Given(
  'routing entries {int} that share a cold upstream',
  function (this: LimitsWorld, size: number) {
    this.entries = Array.from({ length: size }, (_, index) =>
      RoutingHarness.create([cold], size, `entry-${index}`),
    );
  },
);

Then(
  'routing has at most {int} requests in flight on the cold upstream and starts at most {int} a second',
  function (this: LimitsWorld, most: number, rate: number) {
    const running: { entry: RoutingHarness; id: number; until: number }[] = [];
    const sentAt: number[] = [];
    for (let now = 0; now < 60_000; now += 20) {
      running
        .filter(({ until }) => until <= now)
        .forEach((done) => {
          running.splice(running.indexOf(done), 1);
          done.entry.now = now;
          done.entry.answer(done.id, 200, true);
        });
      this.entries.forEach((entry) => {
        entry.now = now;
        const { id, effects } = entry.arrive({ deadline: now + 1 });
        if (!hasSend(effects)) return;
        running.push({ entry, id, until: now + 20 });
        sentAt.push(now);
      });
      assert.ok(running.length <= most, `${running.length} requests in flight at ${now} ms`);
      const second = sentAt.filter((at) => at > now - 1000).length;
      assert.ok(second <= rate, `${second} requests started within a second at ${now} ms`);
    }
  },
);

Then(
  'at least half of the routing entries send requests to the cold upstream',
  function (this: LimitsWorld) {
    const idle = this.entries.filter((entry) => entry.list('send').length === 0);
    assert.ok(idle.length <= this.entries.length / 2, `${idle.length} entries sent no request`);
  },
);

Then(
  'the minute from which routing ignores its cold reports matches the snapshot',
  function (this: LimitsWorld) {
    const [entry] = this.entries;
    assert.ok(entry !== undefined);
    const sends = [0, 1, 2, 3].map((minute) => {
      const before = entry.list('send').length;
      Array.from({ length: 6000 }, (_, index) => minute * 60_000 + index * 10).forEach((now) => {
        entry.now = now;
        const { id, effects } = entry.arrive({ deadline: now + 5 });
        if (!hasSend(effects)) return;
        entry.now = now + 5;
        entry.answer(id, 200, true);
      });
      return entry.list('send').length - before;
    });
    this.matchSnapshot({ sends, warmth: entry.list('warmth') });
  },
);

Given('a routing entry that is still joining', function (this: LimitsWorld) {
  const config = buildConfig(3);
  const [first, ...rest] = config.roster.members;
  assert.ok(first !== undefined);
  const members = [{ ...first, phase: 'joining' as const }, ...rest];
  const joining = { ...config, roster: { epoch: 1, members } };
  this.entry = new RoutingHarness('entry-0', joining, [cold], { probeShare: 1 });
});

Then('it sends nothing to a cold upstream and probes nothing', function (this: LimitsWorld) {
  Array.from({ length: 200 }, (_, index) => index * 100).forEach((now) => {
    this.entry.now = now;
    this.entry.arrive({ deadline: now + 50 });
    this.entry.tick();
  });
  assert.deepEqual([...this.entry.list('send'), ...this.entry.list('probe')], []);
});

Given(
  'a routing entry with a warm upstream that has {int} requests in flight',
  function (this: LimitsWorld, count: number) {
    this.entry = RoutingHarness.create([warm], 5);
    const ids = Array.from({ length: count }, () => this.entry.arrive());
    assert.ok(ids.every(({ effects }) => hasSend(effects)));
  },
);

When('the upstream reports cold on {int} answer', function (this: LimitsWorld, count: number) {
  this.entry.now = 10;
  this.entry
    .list('send')
    .slice(0, count)
    .forEach(({ callId }) => this.entry.answer(callId, 200, true));
});

Then(
  'routing notifies the fleet that it is cold and sends no further request now',
  function (this: LimitsWorld) {
    const notice = { kind: 'warmth', upstreamId: 'a1', incarnation: 1, cold: true };
    assert.deepEqual(this.entry.list('warmth'), [notice]);
    assert.ok(!hasSend(this.entry.arrive().effects));
  },
);

Given('a routing entry with one upstream of 6 slots', function (this: LimitsWorld) {
  this.entry = RoutingHarness.create([warm]);
});

Then(
  'for {int} waiting calls the table of results by criticality matches the snapshot',
  function (this: LimitsWorld, count: number) {
    const table = (['batch', 'interactive', 'batch'] as const).map((criticality) => {
      const before = this.entry.effects.length;
      sendCalls(this.entry, count, criticality, { deadline: 1_000_000 });
      const kinds = this.entry.effects.slice(before).map(({ kind }) => kind);
      const [sent, refused] = ['send', 'refuse'].map(
        (kind) => kinds.filter((one) => one === kind).length,
      );
      return { criticality, sent, refused, queued: count - (sent ?? 0) - (refused ?? 0) };
    });
    this.matchSnapshot(table);
  },
);

When('its queue makes no progress until the deadlines have passed', function (this: LimitsWorld) {
  sendCalls(this.entry, 40, 'interactive', { deadline: 100_000 });
  this.entry.now = 100_000;
  this.entry.tick();
});

When('its queue fills and its lease is lost', function (this: LimitsWorld) {
  sendCalls(this.entry, 40, 'interactive', { deadline: 100_000 });
  this.entry.apply({ kind: 'leaseChanged', held: false, now: 1 });
  this.entry.arrive();
});

When('its queue fills and its upstream is set to leave', function (this: LimitsWorld) {
  sendCalls(this.entry, 40, 'interactive', { deadline: 100_000 });
  const leaving = [{ match: { id: 'a1' } }];
  const config = { ...buildConfig(1, { leaving }), revision: 2 };
  this.entry.apply({ kind: 'configured', config, self: 'entry-0', zone: 'a', now: 1 });
});

When(
  'fingerprint {string} is quarantined for {int} ms',
  function (this: LimitsWorld, fingerprint: string, until: number) {
    this.entry.apply({ kind: 'condemned', fingerprints: [fingerprint], until, now: 0 });
  },
);

Then(
  'a call with fingerprint {string} is refused now and sent after {int} ms',
  function (this: LimitsWorld, fingerprint: string, until: number) {
    const [refusal] = this.entry.arrive({ fingerprint }).effects;
    assert.ok(refusal?.kind === 'refuse' && refusal.reason === 'fingerprintCondemned');
    this.entry.now = until;
    assert.ok(hasSend(this.entry.arrive({ fingerprint }).effects));
  },
);

Then(
  'every waiting routing call was refused as {word}',
  function (this: LimitsWorld, reason: string) {
    const sent = new Set(this.entry.list('send').map(({ callId }) => callId));
    const refused = this.entry.list('refuse').filter((refusal) => refusal.reason === reason);
    assert.equal(sent.size, 9);
    assert.ok(refused.length >= 40 - sent.size);
    assert.ok(refused.every(({ callId }) => !sent.has(callId)));
  },
);

/** Sends calls of one depth to a service whose responses all fail; returns the sends per call. */
function measureAmplification(depth: number): number {
  const upstreams = ['a1', 'a2', 'a3'].map((id) => buildUpstream(id));
  const entry = new RoutingHarness('entry-0', buildConfig(1), upstreams, {
    ejectionFailures: Infinity,
  });
  const calls = 5000;
  Array.from({ length: calls }).forEach(() => {
    entry.now += 10;
    const { id } = entry.arrive({ depth });
    const answers = [1, 2, 3].map(() => entry.answer(id, 503));
    assert.ok(answers.flat().some(({ kind }) => kind === 'deliver'));
  });
  return entry.list('send').length / calls;
}

Then('retries at depths 0, 5 and 10 match the snapshot', function (this: LimitsWorld) {
  this.matchSnapshot([0, 5, 10].map((depth) => measureAmplification(depth).toFixed(2)));
});

Then(
  'a retry storm through {int} levels multiplies the calls by less than {float}',
  function (this: LimitsWorld, levels: number, most: number) {
    const product = Array.from({ length: levels }, (_, depth) =>
      measureAmplification(depth),
    ).reduce((total, factor) => total * factor, 1);
    assert.ok(product < most, `the calls are multiplied by ${product}`);
  },
);

function createZonesEntry(): RoutingHarness {
  return RoutingHarness.create(['a1', 'a2', 'b1', 'b2', 'c1', 'c2'].map((id) => buildUpstream(id)));
}

When('every routing response is an error', function (this: LimitsWorld) {
  this.entry = createZonesEntry();
  Array.from({ length: 300 }).forEach(() => {
    this.entry.now += 1;
    const { id } = this.entry.arrive({ idempotent: false });
    this.entry.answer(id, 500);
  });
});

Then(
  'at most {int} of the {int} upstreams are ejected at once',
  function (this: LimitsWorld, most: number, count: number) {
    const upstreams = this.entry.state.services.flatMap((service) => service.upstreams);
    const ejected = upstreams.filter((known) => known.ejectedUntil > this.entry.now);
    assert.equal(upstreams.length, count);
    assert.equal(ejected.length, most);
  },
);

When(
  'routing responses of {string} are immediate errors and others take 10 ms',
  function (this: LimitsWorld, broken: string) {
    this.entry = createZonesEntry();
    Array.from({ length: 1000 }).forEach(() => {
      const { id } = this.entry.arrive({ idempotent: false });
      const failing = this.entry.list('send').at(-1)?.upstreamId === broken;
      this.entry.now += failing ? 0.1 : 10;
      this.entry.answer(id, failing ? 500 : 200);
    });
  },
);

When(
  'the routing upstream {string} rejects all requests as not run and others take 10 ms',
  function (this: LimitsWorld, draining: string) {
    this.entry = createZonesEntry();
    Array.from({ length: 1000 }).forEach(() => {
      const { id } = this.entry.arrive({ idempotent: false });
      if (this.entry.list('send').at(-1)?.upstreamId === draining) {
        const event = { callId: id, now: this.entry.now, random: 0.5 };
        const refusal = { status: 503, notRun: true, report: undefined };
        this.entry.apply({ kind: 'headArrived', ...refusal, ...event });
      }
      this.entry.now += 10;
      this.entry.answer(id);
    });
  },
);

Then('no routing call was refused', function (this: LimitsWorld) {
  assert.deepEqual(this.entry.list('refuse'), []);
});

When(
  '{int} routing calls time out after {int} ms while responses take 10 ms',
  function (this: LimitsWorld, count: number, timeout: number) {
    this.entry = createZonesEntry();
    Array.from({ length: count }).forEach(() => {
      const { id } = this.entry.arrive({ idempotent: false });
      this.entry.now += timeout;
      const event = { callId: id, now: this.entry.now, random: 0.5 };
      this.entry.apply({ kind: 'failed', failure: 'timedOut', ...event });
    });
  },
);

Then(
  '{string} got less than {int} percent of the sends',
  function (this: LimitsWorld, id: string, percent: number) {
    const sends = this.entry.list('send');
    const own = sends.filter(({ upstreamId }) => upstreamId === id).length;
    assert.ok(own < (sends.length * percent) / 100, `${id} got ${own} of ${sends.length} sends`);
  },
);

Then('the share of calls to a moving version matches the snapshot', function (this: LimitsWorld) {
  const old = ['a1', 'a2', 'a3'].map((id) => buildUpstream(id));
  const moving = ['b1', 'b2'].map((id) => buildUpstream(id, { version: '2' }));
  const cases = [
    ...[0, 0.01, 0.1, 0.5, 1].map((share) => ({ share, upstreams: [...old, ...moving] })),
    { share: 0.1, upstreams: moving },
    { share: 0.9, upstreams: moving },
    { share: 0.9, upstreams: old },
  ];
  const table = cases.map(({ share, upstreams }) => {
    const weights = [{ service: 'seams', version: '2', share }];
    const entry = new RoutingHarness('entry-0', buildConfig(1, { weights }), upstreams);
    Array.from({ length: 2000 }).forEach(() => {
      entry.now += 10;
      entry.answer(entry.arrive().id);
    });
    const sends = entry.list('send').map(({ upstreamId }) => upstreamId.startsWith('b'));
    const versions = upstreams.map(({ version }) => version).join('');
    const got = sends.filter((isMoving) => isMoving).length / 2000;
    return `${versions} share ${share}: ${got.toFixed(3)} of calls, ${2000 - sends.length} refused`;
  });
  this.matchSnapshot(table);
});

Then('connection budgets and subsets match the snapshot', function (this: LimitsWorld) {
  const table = [
    { size: 22, count: 6, maxConnections: 250 },
    { size: 22, count: 6, maxConnections: 13 },
    { size: 18, count: 64, maxConnections: 250 },
    { size: 19, count: 64, maxConnections: 250 },
    { size: 19, count: 65, maxConnections: 250 },
  ].map(({ size, count, maxConnections }) => {
    const upstreams = Array.from({ length: count }, (_, index) =>
      buildUpstream(`u${index}`, { maxConnections }),
    );
    const budgets = Array.from({ length: size }, (_, index) => {
      const { state } = RoutingHarness.create(upstreams, size, `entry-${index}`);
      return upstreams.map(({ id }) => getConnectionBudget(state, id));
    });
    const totals = upstreams.map((_, index) =>
      budgets.reduce((total, entry) => total + (entry[index] ?? 0), 0),
    );
    const users = upstreams.map((_, index) => budgets.filter((entry) => entry[index] !== 0).length);
    const used = budgets.map((entry) => entry.filter((budget) => budget > 0).length);
    return [
      `${size} entries, ${count} upstreams of ${maxConnections}:`,
      `connections ${Math.min(...totals)}-${Math.max(...totals)},`,
      `entries an upstream ${Math.min(...users)}-${Math.max(...users)},`,
      `upstreams an entry ${Math.min(...used)}-${Math.max(...used)}`,
    ].join(' ');
  });
  this.matchSnapshot(table);
});
