import { Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { UpstreamRegistry } from '../../src/gateway/registry.js';
import { chooseUpstream } from '../../src/gateway/choose.js';
import type { UpstreamRecord } from '../../src/gateway/types.js';
import { createCatalog } from './catalog.js';

/** A simulated upstream that runs one request per slot and queues the others in order of arrival. */
interface SimulatedUpstream {
  readonly record: UpstreamRecord;
  readonly freeAt: number[];
  readonly endsAt: number[];
}

interface BurstWorld {
  upstreams: readonly SimulatedUpstream[];
  work: number;
  capacity: number;
  latencies: readonly number[];
  target: number;
}

const DEADLINE = 600;

Given(
  '{int} upstreams with 6 slots each, and {int} ms of work per request',
  function (this: BurstWorld, count: number, work: number) {
    const registry = new UpstreamRegistry();
    registry.update(createCatalog(Array.from({ length: count }, (_, index) => `u${index}`)));
    this.upstreams = registry.records.map((record) => ({
      record,
      freeAt: Array.from({ length: record.instance.slots }, () => 0),
      endsAt: [],
    }));
    this.work = work;
  },
);

When(
  'requests for {float} times their slots arrive for {int} ms, and answers are late after {int} ms',
  function (this: BurstWorld, load: number, length: number, target: number) {
    const random = xoroshiro128plus(20261204);
    const draw = (): number => (random.next() >>> 0) / 2 ** 32;
    const slots = this.upstreams.reduce((sum, { freeAt }) => sum + freeAt.length, 0);
    const gap = this.work / slots / load;
    this.target = target;
    this.capacity = (length / this.work) * slots;
    const arrivals = Array.from({ length: Math.floor(length / gap) }, (_, index) => index * gap);
    this.latencies = arrivals.flatMap((now) => {
      this.upstreams.forEach(({ record, endsAt }) => {
        const inFlight = endsAt.filter((at) => at > now).length;
        const running = Math.min(inFlight, record.instance.slots);
        record.report = { running, waiting: inFlight - running, slots: 6, pace: 1 };
        record.reportedAt = now;
      });
      const choice = chooseUpstream(
        this.upstreams.map(({ record }) => record),
        {
          ...{
            now,
            work: this.work,
            timeLeft: DEADLINE,
            targetTime: target,
            zone: 'a',
            isLarge: false,
          },
          ...{
            justProbed: [],
            hasConnection: () => true,
            canProbe: false,
            deadlineShare: 0.8,
            random: draw(),
          },
        },
      );
      if (choice.kind !== 'chosen') return [];
      const upstream = this.upstreams.find(({ record }) => record === choice.record);
      assert.ok(upstream);
      const soonest = upstream.freeAt.indexOf(Math.min(...upstream.freeAt));
      const endsAt =
        Math.max(now, upstream.freeAt[soonest] ?? 0) + this.work * (0.7 + 0.6 * draw());
      upstream.freeAt[soonest] = endsAt;
      upstream.endsAt.push(endsAt);
      return [endsAt - now];
    });
  },
);

Then(
  'at least {int} in 100 of the requests within their capacity are answered in time',
  function (this: BurstWorld, share: number) {
    const good = this.latencies.filter((latency) => latency <= this.target).length;
    assert.ok(good >= (share / 100) * this.capacity, `${good} of ${this.capacity}`);
  },
);

Then(
  'at most {int} in 100 of the requests that they ran were late',
  function (this: BurstWorld, share: number) {
    const late = this.latencies.filter((latency) => latency > this.target).length;
    assert.ok(late <= (share / 100) * this.latencies.length, `${late} of ${this.latencies.length}`);
  },
);
