import { After, Given, Then, type DataTable, type World } from '@cucumber/cucumber';
import fc from 'fast-check';
import assert from 'node:assert/strict';
import type { Listeners } from '../../src/daemon/adapter.js';
import type { OrderOutcome, Steward } from '../../src/steward/index.js';
import { openOrderListener } from '../../platform/orders.js';
import { findFreePorts } from '../support/ports.js';
import { sendHttpRequest, type HttpResponse } from './site.js';

interface OrdersWorld extends World {
  port: number;
  listeners: Listeners | undefined;
  /** Calls that reached the steward. */
  handed: number;
}

/** The seed of a run; set SEED to any number to try others. */
const SEED = Number(process.env.SEED ?? 20261205);

type Json = Readonly<Record<string, unknown>>;

/** A call of an operator or an upstream. */
interface Message {
  readonly path: string;
  readonly body: unknown;
  /** Bytes that are sent in place of the body. */
  readonly text?: Buffer | string;
  /** The header with the base version. */
  readonly base?: string;
  /** Paths of the keys that may be left out. */
  readonly optional?: readonly string[];
}

function buildRoute(index: number, extra: Json = { service: 'records' }): Json {
  return {
    ...{ name: `r-${index}`, path_prefix: `/records/${index}/`, kind: 'safe', timeout: '800ms' },
    ...{ target_latency: '0.2s', priority: 2, max_attempts: 2 },
    ...extra,
  };
}

function buildService(name: string, extra: Json = {}): Json {
  return {
    ...{ name, health_path: '/health', max_conns: 200, protocol: 'h1', tls: false },
    ...{ cold_start: '1s', cold_per_s: 20.5 },
    ...extra,
  };
}

const split = [
  { service: 'records', weight: 90 },
  { service: 'orders', weight: 10 },
];
const limits = {
  ...{ max_header_bytes: 16384, max_body_bytes: 1048576 },
  ...{ header_timeout: '3000ms', idle_timeout: '15000ms' },
};
const hosts = [
  { host: 'a.example', paths: [buildRoute(1, { split }), buildRoute(2)] },
  { host: 'b.example', paths: [buildRoute(3, { kind: 'download', service: 'orders' })] },
];
const services = [buildService('records'), buildService('orders')];
const whole = { version: 7, services, limits, hosts };
const tenants = [
  { name: 'sese880', api_keys: ['k-1', 'k-2'], priority: 1 },
  { name: 'locu91', api_keys: ['k-3'], priority: 0 },
];
const wholeWithAccounts = {
  ...{ ...whole, tenants },
  hosts: [{ host: 'a.example', paths: [buildRoute(1, { service: 'records', public: true })] }],
};

const putOptional = [
  ...['tenants', 'tenants[0].priority', 'tenants[1].priority', 'hosts[0].paths[0].public'],
];

function buildPut(body: unknown): Message {
  return { path: '/-/Config.Put', base: '5', body, optional: putOptional };
}

const patchOptional = [
  ...['upsert', 'remove', 'upsert.hosts', 'upsert.services', 'upsert.limits'],
  ...['remove.routes', 'remove.services', 'remove.tenants', 'upsert.tenants'],
  ...['upsert.tenants[0].priority', 'upsert.tenants[1].priority'],
];

function buildPatch(body: unknown): Message {
  return { path: '/-/Config.Patch', base: '7', body, optional: patchOptional };
}

const fullPatch = {
  ...{ version: 9, upsert: { hosts, services, limits, tenants } },
  remove: { routes: ['r-4'], services: ['old'], tenants: ['idle'] },
};

const heartbeat = {
  address: '10.128.0.9:8080',
  info: { service: 'records', version: 'v1', zone: 'cyberjaya', slots: 6 },
  status: { state: 'ready', seq: 4, cold_left: '0ms' },
  born: 1_780_000_000_000,
};

function buildHeartbeat(body: unknown): Message {
  return { path: '/-/Instances.Heartbeat/up-1', body, optional: ['born'] };
}

function buildLeave(body: unknown): Message {
  return { path: '/-/Instances.Leave/up-1', body, optional: ['born'] };
}

const move = { service: 'records', target_version: 'v2', duration: '12s' };
const moveMessage: Message = { path: '/-/Rollouts.Start', body: move };

/** One message of each kind, with all of its keys. */
const fullMessages: readonly Message[] = [
  buildPut(whole),
  buildPut(wholeWithAccounts),
  buildPatch(fullPatch),
  buildHeartbeat(heartbeat),
  buildLeave({ born: heartbeat.born }),
  moveMessage,
];

const proper: Readonly<Record<string, Message>> = {
  'a configuration': buildPut(whole),
  'a configuration with keys that are not known': buildPut({
    ...{ ...whole, notes: [{ name: 't', priority: null }] },
    hosts: [{ host: 'a.example', paths: [buildRoute(1, { service: 'records', shared: false })] }],
  }),
  'a configuration with accounts': buildPut(wholeWithAccounts),
  'a configuration with an empty list of accounts': buildPut({ ...whole, tenants: [] }),
  'a configuration without routes, in empty lists': buildPut({
    ...{ ...whole, services: [], hosts: [] },
  }),
  'a configuration with figures of 0': buildPut({
    ...whole,
    services: [buildService('records', { max_conns: 0, cold_start: '0ms', cold_per_s: 0 })],
    hosts: [{ host: 'a.example', paths: [] }],
  }),
  'a configuration with a route of the most urgent priority': buildPut({
    ...whole,
    hosts: [{ host: 'a.example', paths: [buildRoute(1, { split, priority: 0 })] }],
  }),
  'a change that adds a route': buildPatch({ version: 9, upsert: { hosts } }),
  'a change that removes a route': buildPatch({ version: 9, remove: { routes: ['r-1'] } }),
  'a change of services and limits': buildPatch({ version: 9, upsert: { services, limits } }),
  'a change with empty lists': buildPatch({
    ...{ version: 9, upsert: { hosts: [], services: [] }, remove: { routes: [] } },
  }),
  'a change that adds an account': buildPatch({ version: 9, upsert: { tenants } }),
  'a change that removes an account': buildPatch({ version: 9, remove: { tenants: ['idle'] } }),
  'a heartbeat': buildHeartbeat(heartbeat),
  'a heartbeat without its start time': buildHeartbeat({ ...heartbeat, born: undefined }),
  'a heartbeat with keys that are not known': buildHeartbeat({ ...heartbeat, note: null }),
  'a draining heartbeat of a cold upstream': buildHeartbeat({
    ...heartbeat,
    status: { state: 'draining', seq: 0, cold_left: '2.5s' },
  }),
  'a leave message': buildLeave({ born: heartbeat.born }),
  'a leave message without a body': { ...buildLeave({}), text: '' },
  'a leave message without its start time': buildLeave({}),
  'the start of a traffic move': moveMessage,
  'the start of an evacuation': { path: '/-/Evacuation.Start/cyberjaya', body: {}, text: '' },
};

const wholeText = JSON.stringify(whole);

const improper: Readonly<Record<string, Message>> = {
  'a configuration cut in half': {
    ...{ ...buildPut(whole), text: wholeText.slice(0, wholeText.length / 2) },
  },
  'a configuration with bytes that are not UTF-8': {
    ...{ ...buildPut(whole), text: Buffer.from(wholeText.replace('a.example', 'Ã'), 'latin1') },
  },
  'a configuration without its base version': { path: '/-/Config.Put', body: whole },
  'a configuration with a word as its base version': { ...buildPut(whole), base: 'newest' },
  'a route with a service beside its split': buildPut({
    ...whole,
    hosts: [{ host: 'a.example', paths: [buildRoute(1, { split, service: 'records' })] }],
  }),
  'a change that changes nothing': buildPatch({ version: 9 }),
  'a change of items that are not known': buildPatch({ version: 9, upsert: { routes: [] } }),
  'a removal of items that are not known': buildPatch({ version: 9, remove: { hosts: [] } }),
  'an evacuation of no zone': { path: '/-/Evacuation.Start/', body: {}, text: '' },
  'a leave message of no upstream': { path: '/-/Instances.Leave/', body: {} },
};

/** Where a value is in a message. */
type Steps = readonly (string | number)[];

function formatPath(steps: Steps): string {
  return steps
    .map((step) => (typeof step === 'number' ? `[${step}]` : `.${step}`))
    .join('')
    .replace(/^\./, '');
}

/** Returns the places of all values inside a value. */
function listPlaces(value: unknown, at: Steps = []): readonly Steps[] {
  if (typeof value !== 'object' || value === null) return [];
  const inner: readonly (readonly [string | number, unknown])[] = Array.isArray(value)
    ? value.map((item, index) => [index, item] as const)
    : Object.entries(value);
  return inner.flatMap(([step, item]) => [[...at, step], ...listPlaces(item, [...at, step])]);
}

function getAt(value: unknown, steps: Steps): unknown {
  return steps.reduce<unknown>((inner, step) => (inner as Json)[step], value);
}

/** Returns a copy with the value at a place replaced, or dropped if it becomes undefined. */
function replaceAt(value: unknown, [step, ...rest]: Steps, next: unknown): unknown {
  if (step === undefined) return next;
  if (Array.isArray(value))
    return value.map((item: unknown, index) =>
      index === step ? replaceAt(item, rest, next) : item,
    );
  const object = value as Json;
  const entries = Object.entries(object).map(
    ([key, item]) => [key, key === step ? replaceAt(item, rest, next) : item] as const,
  );
  return Object.fromEntries(entries.filter(([, item]) => item !== undefined));
}

function getKind(value: unknown): string {
  return value === null ? 'null' : Array.isArray(value) ? 'list' : typeof value;
}

/** Values of every kind, none of which any key of a message may hold unless it is of that kind. */
const oddValues: readonly unknown[] = [null, true, 4.5, 'odd', '', [], [null], {}, { odd: 1 }];

function listOddValues(value: unknown): readonly unknown[] {
  const isDuration = typeof value === 'string' && /^[\d.]+m?s$/.test(value);
  const others = oddValues.filter((odd) => odd === '' || getKind(odd) !== getKind(value));
  return isDuration ? [...others, 'odd', '5', '-1ms', '5 ms', '1e3ms', 'ms'] : others;
}

/** Returns the key that a refusal names: a route without its split lacks a service. */
function getNamedPath(message: Message, steps: Steps, next: unknown): string {
  const isSplit = next === undefined && steps.at(-1) === 'split';
  return formatPath(isSplit ? [...steps.slice(0, -1), 'service'] : steps);
}

async function sendMessage(world: OrdersWorld, message: Message): Promise<HttpResponse> {
  const { path, base, body, text = JSON.stringify(body) } = message;
  const headers = base === undefined ? {} : { 'X-Base-Version': base };
  return sendHttpRequest('127.0.0.1', world.port, {
    ...{ method: 'POST', path, headers, timeout: 5000 },
    body: text as string,
  });
}

/** Returns what is wrong if a changed message isn't refused by the path of the changed key. */
async function findMiss(
  world: OrdersWorld,
  message: Message,
  steps: Steps,
  next: unknown,
): Promise<readonly string[]> {
  const { handed } = world;
  const changed = { ...message, body: replaceAt(message.body, steps, next) };
  const answer = await sendMessage(world, changed);
  const path = getNamedPath(message, steps, next);
  const isRefused =
    answer.status === 400 &&
    world.handed === handed &&
    answer.body.includes(`"${path}: found`) &&
    /; (add it|change the value)/.test(answer.body);
  const shown = next === undefined ? 'dropped' : JSON.stringify(next);
  return isRefused ? [] : [`${message.path} ${path} ${shown}: ${answer.status} ${answer.body}`];
}

/** Sends changed messages one after the other; the counts of what reached the steward need it. */
async function listMisses(
  changes: readonly (readonly [message: Message, steps: Steps, next: unknown])[],
  world: OrdersWorld,
): Promise<readonly string[]> {
  return changes.reduce<Promise<readonly string[]>>(
    async (before, [message, steps, next]) => [
      ...(await before),
      ...(await findMiss(world, message, steps, next)),
    ],
    Promise.resolve([]),
  );
}

function listKeys(message: Message): readonly Steps[] {
  return listPlaces(message.body).filter((steps) => typeof steps.at(-1) === 'string');
}

function isOptional({ optional = [] }: Message, steps: Steps): boolean {
  return optional.includes(formatPath(steps));
}

After({ tags: '@no-site' }, function (this: Partial<OrdersWorld>) {
  this.listeners?.close();
});

Given('a control member that takes orders', async function (this: OrdersWorld) {
  this.handed = 0;
  const handle = (): Promise<OrderOutcome> => {
    this.handed += 1;
    return Promise.resolve({ kind: 'done' });
  };
  const steward: Steward = {
    ...{ submit: handle, announce: handle, end: handle },
    readCurrent: () => Promise.resolve({ kind: 'unavailable', remedy: 'ask another member' }),
    ...{ addEvidence: () => undefined, listCold: () => ({}), close: () => undefined },
  };
  [this.port = 0] = await findFreePorts(1);
  this.listeners = await openOrderListener(steward, `127.0.0.1:${this.port}`);
});

Then('each of these messages is accepted:', async function (this: OrdersWorld, table: DataTable) {
  const names = table.hashes().map(({ message = '' }) => message);
  assert.deepEqual(names, Object.keys(proper));
  const answers = await Promise.all(
    Object.entries(proper).map(async ([name, message]) => {
      const { status, body } = await sendMessage(this, message);
      return status === 200 ? [] : [`${name}: ${status} ${body}`];
    }),
  );
  assert.deepEqual(answers.flat(), []);
  assert.equal(this.handed, names.length);
});

Then(
  'each key of each message that is dropped is refused by its path, unless the message may leave it out',
  { timeout: 60_000 },
  async function (this: OrdersWorld) {
    const places = fullMessages.flatMap((message) =>
      listKeys(message).map((steps) => [message, steps, undefined] as const),
    );
    const required = places.filter(([message, steps]) => !isOptional(message, steps));
    const optional = places.filter(([message, steps]) => isOptional(message, steps));
    assert.deepEqual(await listMisses(required, this), []);
    const answers = await Promise.all(
      optional.map(([message, steps]) =>
        sendMessage(this, { ...message, body: replaceAt(message.body, steps, undefined) }),
      ),
    );
    assert.deepEqual(
      answers.map(({ status }) => status),
      optional.map(() => 200),
    );
  },
);

Then(
  'each key of each message that is null or of another kind is refused by its path',
  { timeout: 60_000 },
  async function (this: OrdersWorld) {
    const changes = fullMessages.flatMap((message) =>
      listPlaces(message.body).flatMap((steps) =>
        listOddValues(getAt(message.body, steps)).map((next) => [message, steps, next] as const),
      ),
    );
    assert.ok(changes.length > 500);
    assert.deepEqual(await listMisses(changes, this), []);
  },
);

const anyName = fc.stringMatching(/^[a-z0-9-]{1,12}$/);
const anyDuration = fc.oneof(
  fc.nat(30_000).map((milliseconds) => `${milliseconds}ms`),
  fc.nat(300).map((tenths) => `${tenths / 10}s`),
);
const anyShare = fc.double({ min: 0, max: 1000, noNaN: true });
const anyParts = fc.array(fc.record({ service: anyName, weight: anyShare }), { maxLength: 3 });
const anyTarget = fc.oneof(
  anyName.map((service): Json => ({ service })),
  anyParts.map((parts): Json => ({ split: parts })),
);
const anyRoute = fc
  .tuple(
    fc.record({
      ...{ name: anyName, path_prefix: anyName.map((name) => `/${name}/`) },
      kind: fc.constantFrom('safe', 'unsafe', 'download', 'upload'),
      ...{ timeout: anyDuration, target_latency: anyDuration },
      ...{ priority: fc.nat(5), max_attempts: fc.nat(4) },
    }),
    anyTarget,
  )
  .map(([route, target]): Json => ({ ...route, ...target }));
const anyHosts = fc.array(
  fc.record({ host: anyName, paths: fc.array(anyRoute, { maxLength: 3 }) }),
  { maxLength: 3 },
);
const anyServices = fc.array(
  fc.record({
    ...{ name: anyName, health_path: anyName.map((name) => `/${name}`), max_conns: fc.nat() },
    ...{ protocol: anyName, tls: fc.boolean(), cold_start: anyDuration, cold_per_s: anyShare },
  }),
  { maxLength: 3 },
);
const anyLimits = fc.record({
  ...{ max_header_bytes: fc.nat(), max_body_bytes: fc.nat() },
  ...{ header_timeout: anyDuration, idle_timeout: anyDuration },
});
const anyTable = fc.record({
  ...{ version: fc.nat(), services: anyServices, limits: anyLimits, hosts: anyHosts },
});
const anyPatch = fc.record({
  version: fc.nat(),
  upsert: fc.record(
    { hosts: anyHosts, services: anyServices, limits: anyLimits },
    { requiredKeys: [] },
  ),
  remove: fc.record(
    { routes: fc.array(anyName), services: fc.array(anyName) },
    { requiredKeys: [] },
  ),
});
const anyHeartbeat = fc.record(
  {
    address: anyName,
    info: fc.record({ service: anyName, version: anyName, zone: anyName, slots: fc.nat() }),
    status: fc.record({
      state: fc.constantFrom('ready', 'draining'),
      ...{ seq: fc.nat(), cold_left: anyDuration },
    }),
    born: fc.nat(),
  },
  { requiredKeys: ['address', 'info', 'status'] },
);
const anyMove = fc.record({ service: anyName, target_version: anyName, duration: anyDuration });
const anyMessage: fc.Arbitrary<Message> = fc.oneof(
  anyTable.map(buildPut),
  anyPatch.map(buildPatch),
  anyHeartbeat.map(buildHeartbeat),
  anyMove.map((body) => ({ ...moveMessage, body })),
);

Then(
  '{int} random messages with one key dropped or of another kind are refused by its path, and none without',
  { timeout: 120_000 },
  async function (this: OrdersWorld, runs: number) {
    const property = fc.asyncProperty(
      ...[anyMessage, fc.nat(), fc.nat()],
      async (message, place, pick) => {
        assert.equal((await sendMessage(this, message)).status, 200, JSON.stringify(message));
        const places = listPlaces(message.body);
        const steps = places[place % places.length];
        assert.ok(steps);
        const canDrop = typeof steps.at(-1) === 'string' && !isOptional(message, steps);
        const odd = listOddValues(getAt(message.body, steps));
        const next = canDrop && pick % 3 === 0 ? undefined : odd[pick % odd.length];
        assert.deepEqual(await findMiss(this, message, steps, next), []);
      },
    );
    await fc.assert(property, { seed: SEED, numRuns: runs });
  },
);

Then(
  'each of these messages is refused with a remedy:',
  async function (this: OrdersWorld, table: DataTable) {
    const rows = table.hashes();
    assert.deepEqual(
      rows.map(({ message }) => message),
      Object.keys(improper),
    );
    const answers = await Promise.all(
      Object.entries(improper).map(async ([name, message], index) => {
        const { status, body } = await sendMessage(this, message);
        const { error = '' } = JSON.parse(body) as { readonly error?: string };
        const isNamed = status === 400 && error.startsWith(rows[index]?.refusal ?? '');
        const hasRemedy = /; (add it|change the value|correct its name or remove it)$/.test(error);
        return isNamed && hasRemedy ? [] : [`${name}: ${status} ${body}`];
      }),
    );
    assert.deepEqual(answers.flat(), []);
    assert.equal(this.handed, 0);
  },
);
