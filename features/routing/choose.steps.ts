import { Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import type { Config } from '../../src/model/index.js';
import {
  createRoutingState,
  decideRouting,
  type RoutingEffect,
  type RoutingEvent,
  type RoutingState,
} from '../../src/routing/index.js';
import type { SnapshotWorld } from '../support/snapshot.js';
import { buildCall, buildConfig, buildUpstream } from './builders.js';

interface RoutingWorld extends SnapshotWorld {
  state: RoutingState;
  effects: RoutingEffect[];
  config: Config;
  calls: number;
}

function applyEvent(world: RoutingWorld, event: RoutingEvent): void {
  const { state, effects } = decideRouting(world.state, event);
  world.state = state;
  world.effects.push(...effects);
}

function applyConfig(world: RoutingWorld, fields: Partial<Config>): void {
  world.config = { ...world.config, ...fields, revision: world.config.revision + 1 };
  const { config } = world;
  applyEvent(world, { kind: 'configured', config, self: 'entry-0', zone: 'a', now: 0 });
}

function countSends(world: RoutingWorld): Readonly<Record<string, number>> {
  return world.effects.reduce<Record<string, number>>((counts, effect) => {
    if (effect.kind !== 'send') return counts;
    return { ...counts, [effect.upstreamId]: (counts[effect.upstreamId] ?? 0) + 1 };
  }, {});
}

/** Applies the arrival of calls; with `answered`, each one gets its response before the next arrives. */
function runCalls(world: RoutingWorld, count: number, answered: boolean): void {
  Array.from({ length: count }, (_, index) => index).forEach((at) => {
    world.calls += 1;
    const callId = world.calls;
    const random = ((at + 1) * 0.618) % 1;
    applyEvent(world, { kind: 'arrived', call: buildCall(callId), now: at, random });
    if (!answered) return;
    const report = undefined;
    const head = { callId, status: 200, notRun: false, report, now: at, random };
    applyEvent(world, { kind: 'headArrived', ...head });
    applyEvent(world, { kind: 'finished', callId, complete: true, now: at, random });
  });
}

Given('a routing state with upstreams in zones a, b and c', function (this: RoutingWorld) {
  this.state = createRoutingState();
  this.effects = [];
  this.calls = 0;
  this.config = buildConfig(1);
  applyConfig(this, {});
  const upstreams = ['a1', 'a2', 'b1', 'b2', 'c1', 'c2'].map((id) => buildUpstream(id));
  applyEvent(this, { kind: 'discovered', upstreams, now: 0 });
});

When(
  'routing zone {string} is out and upstream {string} is leaving',
  function (this: RoutingWorld, zone: string, id: string) {
    applyConfig(this, { zonesOut: [zone], leaving: [{ match: { id } }] });
  },
);

When('routing zones {string} are out', function (this: RoutingWorld, zones: string) {
  applyConfig(this, { zonesOut: zones.split(',') });
});

When('{int} calls arrive for routing', function (this: RoutingWorld, count: number) {
  runCalls(this, count, true);
});

When(
  '{int} calls arrive for routing and none is answered',
  function (this: RoutingWorld, count: number) {
    runCalls(this, count, false);
  },
);

Then('routing sent requests only to {string}', function (this: RoutingWorld, ids: string) {
  assert.deepEqual(Object.keys(countSends(this)).sort(), ids.split(','));
});

Then(
  'routing sent at most {int} calls to any upstream',
  function (this: RoutingWorld, most: number) {
    assert.ok(Math.max(...Object.values(countSends(this))) <= most);
  },
);

Then('the last routing effect matches the snapshot', function (this: RoutingWorld) {
  this.matchSnapshot(this.effects.at(-1));
});
