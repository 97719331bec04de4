import { After, Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { inspect } from 'node:util';
import {
  applyCommand,
  decodeCatalog,
  emptyCatalog,
  encodeCatalog,
  type Catalog,
  type CatalogCommand,
} from '../../src/catalog/index.js';
import { decodeCommands, decodeState, encodeState } from '../../src/feed/codec.js';
import {
  createFollower,
  createPublisher,
  decodeMessage,
  type FeedMessage,
  type Follower,
  type Publisher,
} from '../../src/feed/index.js';
import type { AppliedListener, ControlNode } from '../../src/control/index.js';
import type { Address } from '../../src/model/index.js';
import {
  applyUsage,
  emptyUsage,
  UsageCounter,
  type UsageCommand,
  type UsageReport,
  type UsageState,
} from '../../src/usage/index.js';
import { addDelivery, emptyCollected, planRecord } from '../../src/usage/collect.js';
import {
  createReporting,
  decideReporting,
  type ReportingEffect,
  type ReportingEvent,
  type ReportingState,
} from '../../src/usage/reporting.js';
import { parseSettings, type Settings } from '../../src/settings/index.js';
import type { Mesh, MessageHandler } from '../../src/wire/index.js';
import { createControl } from '../support/control.js';

const GATEWAY: Address = '10.1.0.3:7200';
const MEMBER: Address = '10.1.0.4:7200';
const LEADER: Address = '10.1.0.5:7200';
const WINDOW_MS = 5000;
/** The time of day at the start of a test, in the middle of a window. */
const WALL_START = 1_000_002_500;

type Report = Extract<ReportingEffect, { kind: 'send' }>['report'];

/** Delivers messages between processes at once, and records them. */
class UsageNetwork {
  readonly messages: (readonly [to: Address, message: FeedMessage])[] = [];
  readonly #handlers = new Map<Address, MessageHandler>();

  createMesh(address: Address): Mesh {
    return {
      address,
      traffic: { messagesSent: 0, bytesSent: 0, messagesReceived: 0, bytesReceived: 0 },
      send: (to, _, message) => {
        this.messages.push([to, message as FeedMessage]);
        this.#handlers.get(to)?.(address, structuredClone(message));
      },
      handle: (_, handler) => {
        this.#handlers.set(address, handler);
      },
      close: () => Promise.resolve(),
    };
  }
}

/** A group whose commands are applied at once. */
class UsageGroup {
  catalog: Catalog = emptyCatalog;
  index = 0;
  readonly #listeners: AppliedListener<Catalog>[] = [];

  propose(command: CatalogCommand): void {
    this.catalog = applyCommand(this.catalog, command).state;
    // The state has to survive a snapshot.
    this.catalog = decodeCatalog(encodeCatalog(this.catalog));
    this.index += 1;
    this.#listeners.forEach((listener) => {
      listener(this.catalog, this.index, command, 100);
    });
  }

  createControl(role: 'leader' | 'follower'): ControlNode<Catalog> {
    const members = [MEMBER, LEADER].map((id) => ({ id: `${id}#a`, voter: true }));
    const stub = createControl(
      { role, leader: LEADER, members },
      {
        onApplied: (listener) => {
          this.#listeners.push(listener);
        },
      },
    );
    Object.defineProperties(stub, {
      applied: { get: () => this.catalog },
      appliedIndex: { get: () => this.index },
    });
    return stub;
  }
}

interface UsageWorld {
  usageNetwork: UsageNetwork;
  usageGroup: UsageGroup;
  now: number;
  counter: UsageCounter;
  follower: Follower;
  publishers: readonly Publisher[];
  reporting: ReportingState;
  reports: readonly Report[];
}

function runEffects(world: UsageWorld, effects: readonly ReportingEffect[]): void {
  effects.forEach((effect) => {
    const { now, usageGroup: group } = world;
    const { id } = effect;
    switch (effect.kind) {
      case 'commit':
        group.propose(effect.command);
        decideAll(world, {
          ...{ kind: 'committed', now, id, isApplied: true, usage: group.catalog.usage },
        });
        return;
      case 'confirm':
        decideAll(world, {
          ...{ kind: 'confirmed', now, id, isCurrent: true, usage: group.catalog.usage },
        });
        return;
      case 'send':
        world.reports = [...world.reports, effect.report];
        decideAll(world, { kind: 'answered', now, id, outcome: 'accepted' });
        return;
    }
  });
}

function decideAll(world: UsageWorld, event: ReportingEvent): void {
  const { state, effects } = decideReporting(world.reporting, event);
  world.reporting = state;
  runEffects(world, effects);
}

function advanceSite(world: UsageWorld, duration: number): void {
  Array.from({ length: duration / 100 }).forEach((_, at) => {
    world.now += 100;
    const { now, usageGroup: group } = world;
    if (at % 3 === 0) world.follower.pollNow();
    const wallNow = WALL_START + now;
    decideAll(world, { kind: 'ticked', now, wallNow, term: 1, usage: group.catalog.usage });
  });
}

Given(
  'a usage site of one gateway, a member that follows and a member that leads',
  function (this: UsageWorld) {
    this.usageNetwork = new UsageNetwork();
    this.usageGroup = new UsageGroup();
    this.now = 0;
    this.reports = [];
    this.reporting = createReporting({
      ...{ self: 'st-1', windowMs: WINDOW_MS, leaseMs: 3000, canReport: true },
    });
    this.usageGroup.propose({ kind: 'setZone', zone: 'a', out: true });
    const now = (): number => this.now;
    this.publishers = [MEMBER, LEADER].map((address) =>
      createPublisher({
        mesh: this.usageNetwork.createMesh(address),
        control: this.usageGroup.createControl(address === LEADER ? 'leader' : 'follower'),
        now,
        listCold: () => ({}),
        onGroupFound: () => undefined,
        onEvidence: () => undefined,
        onUsage: (delivery) => {
          const usage = this.usageGroup.catalog.usage;
          decideAll(this, { kind: 'delivered', now: this.now, delivery, usage });
        },
      }),
    );
    this.counter = new UsageCounter({
      ...{ source: 'gw-1/5f0e', windowMs: WINDOW_MS, now, wallNow: () => WALL_START + this.now },
    });
    this.follower = createFollower({
      mesh: this.usageNetwork.createMesh(GATEWAY),
      seeds: [MEMBER],
      now,
      wallNow: now,
      describeSelf: () => ({
        ...{ id: 'gw-1', zone: 'a', callerAddress: '10.1.0.3:8080', peerAddress: GATEWAY },
        ...{ capacity: 1, ready: true },
      }),
      collectEvidence: () => [],
      usage: this.counter,
      onChange: () => undefined,
      onCold: () => undefined,
      onDependency: () => undefined,
    });
  },
);

After(function (this: Partial<UsageWorld>) {
  if (this.usageNetwork instanceof UsageNetwork) {
    this.follower?.close();
    this.publishers?.forEach((publisher) => {
      publisher.close();
    });
  }
});

When(
  'the usage account {string} sends {int} requests and the usage account {string} {int}, and {int} s pass',
  function (this: UsageWorld, one: string, first: number, two: string, second: number, s: number) {
    Array.from({ length: first }).forEach(() => {
      this.counter.countAttempt(one, 20, { kind: 'answered' });
    });
    Array.from({ length: second }).forEach(() => {
      this.counter.countAttempt(two, 20, undefined);
    });
    advanceSite(this, s * 1000);
  },
);

When(
  'no usage account sends a request, and {int} s pass',
  function (this: UsageWorld, seconds: number) {
    this.counter.countAttempt(undefined, 20, { kind: 'answered' });
    advanceSite(this, seconds * 1000);
  },
);

When(
  'the usage group commits that zone {string} is out',
  function (this: UsageWorld, zone: string) {
    this.usageGroup.propose({ kind: 'setZone', zone, out: true });
    this.usageGroup.propose({ kind: 'takeUsageDuty', holder: 'st-1', step: 1 });
    advanceSite(this, 600);
  },
);

Then(
  'the usage platform has accepted {string} once',
  function (this: UsageWorld, expected: string) {
    const texts = this.reports.map(({ counts }) =>
      counts.map(([account, count]) => `${account} ${count}`).join(', '),
    );
    assert.deepEqual(texts, [expected]);
    const [report] = this.reports;
    assert.deepEqual(
      { token: report?.token, holder: report?.holder, window: report?.window },
      { token: 1, holder: 'st-1', window: Math.floor(WALL_START / WINDOW_MS) },
    );
    assert.equal(this.usageGroup.catalog.usage?.windows.length, 0);
    assert.equal(this.usageGroup.catalog.usage.reported, 1);
  },
);

Then('the usage gateway keeps no batch', function (this: UsageWorld) {
  this.now += 5000;
  assert.equal(this.counter.collect(), undefined);
});

Then('no feed message of the usage site names usage', function (this: UsageWorld) {
  assert.ok(this.usageNetwork.messages.length > 10);
  assert.ok(this.usageNetwork.messages.every(([, message]) => !('usage' in message)));
  assert.ok(!('usage' in this.usageGroup.catalog));
});

Then(
  'the usage gateway has that zone {string} is out, and no usage state',
  function (this: UsageWorld, zone: string) {
    const { catalog } = this.follower.view;
    assert.ok(catalog.zonesOut.includes(zone), inspect(catalog));
    assert.ok(!('usage' in catalog));
    assert.equal(this.follower.view.index, this.usageGroup.index - 1);
  },
);

Then(
  'no feed message to the usage gateway holds the text {string}',
  function (this: UsageWorld, text: string) {
    const news = this.usageNetwork.messages.flatMap(([to, message]) =>
      to === GATEWAY && message.kind === 'news' ? [message] : [],
    );
    assert.ok(news.length > 10);
    news.forEach(({ base, commands }) => {
      const state = base === undefined ? undefined : decodeState(base.state);
      const decoded = commands === undefined ? [] : decodeCommands(commands);
      assert.ok(!inspect([state, decoded], { depth: null }).includes(text));
      assert.ok(decoded.every(([, { kind }]) => kind === 'setZone'));
    });
  },
);

function applyAllUsage(commands: readonly (UsageCommand | undefined)[]): UsageState {
  return commands.reduce<UsageState>(
    (state, command) => (command === undefined ? state : (applyUsage(state, command) ?? state)),
    emptyUsage,
  );
}

function createBatch(number: number, window: number, count: number) {
  return { number, counts: [[window, [['ana', count]]]] } as const;
}

function planFor(usage: UsageState | undefined, delivered: ReturnType<typeof createBatch>[]) {
  const collected = addDelivery(
    emptyCollected,
    { source: 'gw-1/5f0e', batches: delivered },
    usage,
    0,
  );
  return planRecord(collected, {
    ...{ usage, windowMs: WINDOW_MS, now: 10, wallNow: 0, ledSince: 0, reported: [] },
  });
}

Then(
  'usage batches 1 and 2 that come twice, before and after their commit, are counted once',
  function () {
    const [one, two, three] = [createBatch(1, 7, 5), createBatch(2, 7, 3), createBatch(3, 7, 1)];
    const delivery = { source: 'gw-1/5f0e', batches: [one, two] };
    const twice = addDelivery(
      addDelivery(emptyCollected, { ...delivery, batches: [one] }, undefined, 0),
      delivery,
      undefined,
      0,
    );
    const situation = { windowMs: WINDOW_MS, now: 10, wallNow: 0, ledSince: 0, reported: [] };
    const first = planRecord(twice, { ...situation, usage: undefined });
    const usage = applyAllUsage([first]);
    assert.deepEqual(usage.windows, [{ window: 7, isSealed: false, counts: [['ana', 8]] }]);
    assert.equal(planFor(usage, [one, two]), undefined);
    assert.equal(planRecord(twice, { ...situation, usage }), undefined);
    const last = applyAllUsage([first, planFor(usage, [one, two, three])]);
    assert.deepEqual(last.windows[0]?.counts, [['ana', 9]]);
  },
);

Then('a usage command whose batches are committed is refused and changes nothing', function () {
  const first = planFor(undefined, [createBatch(1, 7, 5)]);
  const second = planFor(undefined, [createBatch(1, 7, 5), createBatch(2, 7, 5)]);
  assert.ok(first !== undefined && second !== undefined);
  const usage = applyAllUsage([first]);
  assert.equal(applyUsage(usage, second), undefined);
  const catalog = { ...emptyCatalog, usage };
  const { state, outcome } = applyCommand(catalog, second);
  assert.equal(outcome.kind, 'stale');
  assert.equal(state, catalog);
});

function createRecord(
  fields: Partial<Extract<UsageCommand, { kind: 'recordUsage' }>>,
): UsageCommand {
  return { kind: 'recordUsage', counts: [], sources: [], seals: [], reported: [], ...fields };
}

Then("the feed's encoding of a state with usage is that of the state without it", function () {
  const catalog: Catalog = { ...emptyCatalog, zonesOut: ['b'] };
  const usage = applyAllUsage([createRecord({ counts: [[7, [['ana', 5]]]] })]);
  assert.deepEqual(encodeState({ ...catalog, usage }), encodeState(catalog));
  assert.deepEqual(decodeCatalog(encodeCatalog({ ...catalog, usage })).usage, usage);
});

Then('a usage batch for a sealed window is dropped and counted as late', function () {
  const counts = [[7, [['ana', 5]]]] as const;
  const sealed = [createRecord({ counts }), createRecord({ seals: [7] })];
  const late = applyAllUsage([...sealed, createRecord({ counts })]);
  assert.deepEqual(late.windows, [{ window: 7, isSealed: true, counts: [['ana', 5]] }]);
  assert.equal(late.late, 5);
  const reported = applyAllUsage([
    ...sealed,
    createRecord({ reported: [7] }),
    createRecord({ counts }),
  ]);
  assert.deepEqual([reported.windows, reported.reported, reported.late], [[], 1, 5]);
  // An open window can't be marked as reported.
  const open = applyAllUsage([createRecord({ counts }), createRecord({ reported: [7] })]);
  assert.equal(open.windows.length, 1);
});

Then(
  'usage commands of {int} windows and {int} gateway starts leave {int} sealed windows and at most {int} starts',
  function (windows: number, starts: number, sealed: number, kept: number) {
    const commands = Array.from({ length: windows }, (_, at) =>
      createRecord({
        counts: [[at, [['ana', 1]]]],
        seals: [at],
        sources: Array.from({ length: Math.ceil(starts / windows) }, (_, start) => [
          ...[`gw-${at}-${start}`, 0, 1],
        ]) as never,
      }),
    );
    const usage = applyAllUsage(commands);
    assert.equal(usage.windows.length, sealed);
    assert.equal(usage.windows.at(-1)?.window, windows - 1);
    assert.equal(usage.expired, windows - sealed);
    assert.equal(usage.sealed.length, 64);
    assert.ok(usage.sources.length <= kept);
    const burst = createRecord({
      sources: Array.from({ length: starts }, (_, start) => [`gw-x-${start}`, 0, 1] as const),
    });
    assert.equal(applyAllUsage([burst]).sources.length, kept);
    // A gateway whose clock runs ahead must not displace the windows of the present.
    const ahead = Array.from({ length: 50 }, (_, at) => [1000 + at, [['bo', 1]]] as const);
    const open = applyAllUsage([createRecord({ counts: [[7, [['ana', 1]]], ...ahead] })]);
    assert.equal(open.windows.length, 12);
    assert.equal(open.windows[0]?.window, 7);
  },
);

function createCounter(clock: { now: number; wall: number }): UsageCounter {
  return new UsageCounter({
    ...{ source: 'gw-1/5f0e', windowMs: WINDOW_MS },
    ...{ now: () => clock.now, wallNow: () => clock.wall },
  });
}

Then(
  'a usage attempt that ended as {string} counts {int}',
  function (outcome: 'answered' | 'lost' | 'notRun' | 'unreachable' | 'cancelled', count: number) {
    const counter = createCounter({ now: 0, wall: 37_000 });
    counter.countAttempt('ana', 20, outcome === 'cancelled' ? undefined : { kind: outcome });
    const counts = counter.collect()?.batches.flatMap((batch) => batch.counts);
    assert.deepEqual(counts, count === 0 ? undefined : [[7, [['ana', count]]]]);
  },
);

Then(
  'a usage attempt that was sent 1 ms before the end of window 7 and ended 4 s later counts in window 7',
  function () {
    const counter = createCounter({ now: 0, wall: 39_999 + 4000 });
    counter.countAttempt('ana', 4000, { kind: 'answered' });
    assert.deepEqual(counter.collect()?.batches[0]?.counts, [[7, [['ana', 1]]]]);
  },
);

Then("a usage attempt without an account isn't counted", function () {
  const counter = createCounter({ now: 0, wall: 37_000 });
  counter.countAttempt(undefined, 20, { kind: 'answered' });
  assert.equal(counter.collect(), undefined);
});

Then(
  'a usage counter that gets no receipt for 10 minutes keeps at most 5 batches and 24 windows in the last',
  function () {
    const clock = { now: 0, wall: 0 };
    const counter = createCounter(clock);
    const sent = Array.from({ length: 6000 }, () => {
      clock.now += 100;
      clock.wall += 100;
      counter.countAttempt('ana', 0, { kind: 'answered' });
      return counter.collect()?.batches ?? [];
    });
    assert.equal(Math.max(...sent.map((batches) => batches.length)), 4);
    counter.handleReceipt({ source: 'gw-1/another', last: 4 });
    clock.now += 1000;
    assert.equal(counter.collect()?.batches.length, 4);
    counter.handleReceipt({ source: 'gw-1/5f0e', last: 4 });
    const [last, ...others] = counter.collect()?.batches ?? [];
    assert.equal(others.length, 0);
    assert.equal(last?.number, 5);
    assert.equal(last.counts.length, 24);
  },
);

Then(
  'a usage counter that sent a batch 10 ms ago and is flushed sends the counts since then',
  function () {
    const clock = { now: 0, wall: 37_000 };
    const counter = createCounter(clock);
    counter.countAttempt('ana', 20, { kind: 'answered' });
    counter.collect();
    clock.now += 10;
    counter.countAttempt('bo', 20, { kind: 'answered' });
    assert.equal(counter.collect(), undefined);
    counter.flush();
    assert.deepEqual(
      counter.collect()?.batches.map(({ number }) => number),
      [1, 2],
    );
  },
);

Then(
  'a gateway and a steward may have usage settings, with an address by name or by number',
  function () {
    const site = '[site]\nname = s\nsecret = 0123456789abcdef\n[peer]\nlisten = 10.0.0.1:7200\n';
    const gateway = `${site}[process]\nid = g\nzone = a\nroles = gateway\n[gateway]\ncaller_listen = 10.0.0.1:8080\nseeds = 10.0.0.2:7200\nsteward_port = 7200\nready_listen = 10.0.0.1:8081\ndirectory_listen = 10.0.0.1:8082\nstop_time_ms = 3000\n`;
    const parse = (text: string): Settings['usage'] => {
      const parsed = parseSettings('site.ini', `${gateway}${text}`);
      return parsed.isOk() ? parsed.value.usage : assert.fail(inspect(parsed.error));
    };
    assert.equal(parse(''), undefined);
    assert.deepEqual(parse('[usage]\nwindow_ms = 5000\nlease_ms = 3000\n'), {
      ...{ window_ms: 5000, lease_ms: 3000 },
    });
    const addresses = ['platform.internal:80', '10.0.0.9:8080'];
    addresses.forEach((address) => {
      assert.equal(parse(`[usage]\naddress = ${address}\n`)?.address, address);
    });
  },
);

Then(
  /^a feed message with the usage (.+) is (taken|dropped)$/,
  function (text: string, verdict: 'taken' | 'dropped') {
    const usage: unknown = JSON.parse(text);
    const entry = {
      ...{ id: 'gw-1', zone: 'a', callerAddress: '10.1.0.3:8080', peerAddress: GATEWAY },
      ...{ capacity: 1, ready: true },
    };
    const follow = { kind: 'follow', entry, index: 0, fleetRevision: '', evidence: [], usage };
    [follow, { kind: 'usage', delivery: usage }].forEach((message) => {
      if (verdict === 'taken') assert.equal(decodeMessage(message), message);
      else assert.throws(() => decodeMessage(message), /malformed/);
    });
  },
);

/** Runs decisions with a state of the group that the test sets. */
class DecisionRun {
  usage: UsageState | undefined;
  now = 0;
  #state = createReporting({ self: 'st-1', windowMs: WINDOW_MS, leaseMs: 3000, canReport: true });

  decide(event: ReportingEvent): readonly ReportingEffect[] {
    const { state, effects } = decideReporting(this.#state, event);
    this.#state = state;
    return effects;
  }

  /** Ticks each 100 ms until there are effects. */
  tickUntilEffects(wallNow: (now: number) => number, until: number): readonly ReportingEffect[] {
    while (this.now <= until) {
      const { now, usage } = this;
      const effects = this.decide({
        ...{ kind: 'ticked', now, wallNow: wallNow(now), term: 1, usage },
      });
      if (effects.length > 0) return effects;
      this.now += 100;
    }
    return [];
  }

  /** Answers a commit, and applies it. */
  commit(effect: ReportingEffect | undefined): UsageCommand {
    assert.ok(effect?.kind === 'commit');
    const before = this.usage ?? emptyUsage;
    this.usage = applyUsage(before, effect.command) ?? before;
    const { now, usage } = this;
    this.decide({ kind: 'committed', now, id: effect.id, isApplied: true, usage });
    return effect.command;
  }

  /** Confirms the next call, and returns its report with its number. */
  confirm(effect: ReportingEffect | undefined, delay = 0): readonly ReportingEffect[] {
    assert.ok(effect?.kind === 'confirm');
    this.now += delay;
    const { now, usage } = this;
    return this.decide({ kind: 'confirmed', now, id: effect.id, isCurrent: true, usage });
  }
}

const openWindow = createRecord({ counts: [[7, [['ana', 5]]]] });

Then(
  'a usage leader that takes over 20 s after the end of a window seals it 2.5 s later',
  function () {
    const run = new DecisionRun();
    run.usage = applyAllUsage([openWindow]);
    const [effect] = run.tickUntilEffects((now) => 60_000 + now, 5000);
    assert.equal(run.now, 2500);
    assert.deepEqual(run.commit(effect), createRecord({ seals: [7] }));
  },
);

Then(
  'a usage leader whose clock is 1 hour ahead seals a window 1.5 s after its last counts',
  function () {
    const run = new DecisionRun();
    const wallNow = (now: number): number => 35_000 + now + 3_600_000;
    const seals = Array.from({ length: 80 }).flatMap((_, at) => {
      run.now = at * 100;
      // The gateway sends counts of window 7 until the window's end, 5 s from the start.
      if (at % 5 === 0 && at <= 50)
        run.decide({
          ...{ kind: 'delivered', now: run.now, usage: run.usage },
          delivery: { source: 'gw-1/5f0e', batches: [createBatch(at / 5 + 1, 7, 1)] },
        });
      const effects = run.tickUntilEffects(wallNow, run.now);
      return effects.flatMap((effect) => {
        if (effect.kind !== 'commit' || effect.command.kind !== 'recordUsage') return [];
        run.commit(effect);
        return effect.command.seals.map((window) => [window, at * 100]);
      });
    });
    assert.deepEqual(
      seals.map(([window]) => window),
      [7],
    );
    assert.ok(seals.every(([, at = 0]) => at >= 6500));
    assert.deepEqual(run.usage?.windows[0]?.counts, [['ana', 11]]);
  },
);

Then('a usage leader takes the duty 3 s after it began to lead', function () {
  const run = new DecisionRun();
  run.usage = applyAllUsage([openWindow]);
  const [effect] = run.tickUntilEffects(() => 0, 10_000);
  assert.equal(run.now, 3000);
  assert.deepEqual(run.commit(effect), { kind: 'takeUsageDuty', holder: 'st-1', step: 1 });
});

/** Returns a run that has taken the duty and asks to confirm it. */
function startHolder(): readonly [DecisionRun, ReportingEffect | undefined] {
  const run = new DecisionRun();
  run.usage = applyAllUsage([openWindow, createRecord({ seals: [7] })]);
  run.commit(run.tickUntilEffects(() => 0, 10_000)[0]);
  return [run, run.tickUntilEffects(() => 0, 10_000)[0]];
}

Then(
  'a usage holder that got 409 for token 1 calls next with token 3, and after another 409 with token 7',
  function () {
    const [run, first] = startHolder();
    const tokens = [0, 1, 2].map((round) => {
      const confirm = round === 0 ? first : run.tickUntilEffects(() => 0, run.now + 5000)[0];
      const [call] = run.confirm(confirm);
      assert.ok(call?.kind === 'send');
      run.decide({ kind: 'answered', now: run.now, id: call.id, outcome: 'fenced' });
      run.commit(run.tickUntilEffects(() => 0, run.now + 5000)[0]);
      return (call.report satisfies UsageReport).token;
    });
    assert.deepEqual(tokens, [1, 3, 7]);
  },
);

Then('a usage holder that stood still between its read and the answer sends nothing', function () {
  const [run, confirm] = startHolder();
  assert.deepEqual(run.confirm(confirm, 1001), []);
  const [again] = run.tickUntilEffects(() => 0, run.now + 5000);
  assert.deepEqual(run.confirm(again)[0]?.kind, 'send');
});

Then("a usage holder that reads another holder's token sends nothing", function () {
  const [run, confirm] = startHolder();
  run.usage = applyUsage(run.usage ?? emptyUsage, {
    ...{ kind: 'takeUsageDuty', holder: 'st-2', step: 1 },
  });
  assert.deepEqual(run.confirm(confirm), []);
});
