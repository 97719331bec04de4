import { After, Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { Packr } from 'msgpackr';
import { createLoadGossip, type LoadGossip } from '../../src/gateway/gossip.js';
import { addReport, UpstreamRegistry } from '../../src/gateway/registry.js';
import type { DatagramHandler } from '../../src/gateway/transport.js';
import type { UpstreamRecord } from '../../src/gateway/types.js';
import type { Address } from '../../src/model/index.js';
import { createCatalog } from './catalog.js';

interface SentDatagram {
  readonly at: number;
  readonly to: readonly Address[];
  readonly kind: string;
  readonly keys: readonly number[];
  readonly bytes: number;
}

interface RelayWorld {
  relayGossip: LoadGossip | undefined;
  relayDatagrams: SentDatagram[];
  relayHandlers: Map<string, DatagramHandler>;
  relayRegistry: UpstreamRegistry;
  relayFollowers: readonly Address[];
  linkRate: number;
}

const BYTES_PER_MEGABIT = 125_000;
/** Bytes of the headers of a datagram. */
const OVERHEAD = 28;
/** Milliseconds after the start that aren't judged: an unused share may be used then. */
const START_TIME = 1000;
/** Gateways of the whole fleet. */
const FLEET = 317;
const packr = new Packr({ useRecords: false });

function toRow({ key }: UpstreamRecord): readonly number[] {
  return [key, 2, 0, 100, 5, 1];
}

Given(
  'a relay with {int} followers and {int} other relays on a link of {float} Mbit a second, and {int} upstreams',
  function (this: RelayWorld, followers: number, relays: number, mbps: number, count: number) {
    const registry = new UpstreamRegistry();
    registry.update(createCatalog(Array.from({ length: count }, (_, index) => `u${index}`)));
    this.relayRegistry = registry;
    this.relayHandlers = new Map();
    this.relayDatagrams = [];
    this.linkRate = mbps * BYTES_PER_MEGABIT;
    this.relayFollowers = Array.from({ length: followers }, (_, at) => `10.1.0.${at + 10}:7215`);
    const others = Array.from({ length: relays }, (_, at) => `10.2.0.${at + 10}:7215`);
    const plan = {
      ...{ kind: 'relayed' as const, isRelay: true },
      ...{ zoneRelays: others.slice(0, 3), farRelays: others.slice(3) },
    };
    this.relayGossip = createLoadGossip({
      transport: {
        close: () => undefined,
        handle: (kind, handler) => {
          this.relayHandlers.set(kind, handler);
        },
        send: (to, datagram) => {
          const [kind, rows] = datagram as readonly [string, readonly (readonly number[])[]];
          const bytes = (packr.pack(datagram).length + OVERHEAD) * to.length;
          const keys = rows.map(([key = 0]) => key);
          this.relayDatagrams.push({ at: performance.now(), to, kind, keys, bytes });
          return bytes;
        },
      },
      now: () => performance.now(),
      listRecords: () => registry.records,
      getRecord: (key) => registry.getByKey(key),
      isProber: () => false,
      getPlan: () => plan,
      getFarInterval: () => 1500,
      onReport: ({ key, running, waiting, pace, reportedAt }) => {
        const record = registry.getByKey(key);
        if (record !== undefined)
          addReport(record, { running, waiting, pace, slots: 6 }, reportedAt);
      },
      linkRate: this.linkRate,
    });
  },
);

When(
  'each upstream is reported by a follower or a relay each {int} ms for {int} ms',
  async function (this: RelayWorld, interval: number, time: number) {
    const { records } = this.relayRegistry;
    const step = 50;
    const steps = interval / step;
    const startedAt = performance.now();
    let round = 0;
    while (performance.now() - startedAt < time) {
      const due = records.filter((_, at) => at % steps === round % steps);
      // Each gateway of the fleet observes as many upstreams; most of them have another relay.
      this.relayFollowers.forEach((from, part) => {
        const own = due.filter((_, at) => (at + round) % FLEET === part);
        this.relayHandlers.get('follower')?.(from, [own.map(toRow)]);
      });
      const others = due.filter((_, at) => (at + round) % FLEET >= this.relayFollowers.length);
      this.relayHandlers.get('relay')?.('10.2.0.10:7215', [others.map(toRow)]);
      round += 1;
      await sleep(Math.max(0, startedAt + round * step - performance.now()));
    }
  },
);

Then(
  'in any 2 s the relay sends at most half of what the link carries',
  function (this: RelayWorld) {
    const [first] = this.relayDatagrams;
    assert.ok(first);
    const judged = this.relayDatagrams.filter(({ at }) => at >= first.at + START_TIME);
    judged.forEach(({ at: from }) => {
      const window = judged.filter(({ at }) => at >= from && at < from + 2000);
      const bytes = window.reduce((sum, datagram) => sum + datagram.bytes, 0);
      assert.ok(bytes <= this.linkRate, `${bytes} bytes in 2 s`);
    });
  },
);

Then(
  'each follower is sent the reports of all upstreams, and at least a datagram each {int} ms',
  function (this: RelayWorld, interval: number) {
    const toFollowers = this.relayDatagrams.filter(({ kind }) => kind === 'own-relay');
    const keys = new Set(toFollowers.flatMap((datagram) => datagram.keys));
    assert.equal(keys.size, this.relayRegistry.records.length);
    const served = toFollowers.filter(({ to }) => to.length === this.relayFollowers.length);
    served.slice(1).forEach(({ at }, index) => {
      const pause = at - (served[index]?.at ?? at);
      assert.ok(pause <= interval, `${pause} ms`);
    });
  },
);

After(function (this: Partial<RelayWorld>) {
  this.relayGossip?.close();
});
