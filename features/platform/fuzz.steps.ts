import { Then } from '@cucumber/cucumber';
import fc from 'fast-check';
import assert from 'node:assert/strict';
import {
  applyCommand,
  decodeCatalog,
  emptyCatalog,
  encodeCatalog,
  findInstanceProblem,
  type Catalog,
  type CatalogCommand,
} from '../../src/catalog/index.js';
import { parseDocument, parseSnapshot, renderDocument } from '../../src/control/formats.js';
import { encodeRecord, parseRecords } from '../../src/control/records.js';
import { encodeCommands, encodeState } from '../../src/feed/codec.js';
import { createFollower, createPublisher, type FeedMessage } from '../../src/feed/index.js';
import { chooseUpstream } from '../../src/gateway/choose.js';
import { UpstreamRegistry } from '../../src/gateway/registry.js';
import { buildRouteIndex, matchRoute } from '../../src/gateway/router.js';
import type { Mesh, MessageHandler } from '../../src/wire/index.js';
import { headerDialect } from '../../platform/headers.js';
import { decodeHeartbeat } from '../../platform/heartbeats.js';
import { decodePatch, decodeTable, encodeTable } from '../../platform/routes.js';
import { createControl } from '../support/control.js';

/** The seed of a run; set SEED to any number to try others. */
const SEED = Number(process.env.SEED ?? 20261204);

/** Values of other types and sizes than messages hold. */
const oddValue = fc.oneof(
  fc.constantFrom<unknown>(
    ...[null, undefined, true, '', 'constructor', '__proto__', '\r\nX: y', '9'.repeat(400), '-1ms'],
    ...[-1, 0, 0.5, 1e308, -1e308, Infinity, NaN, 2 ** 53, [], [[]], {}, [null], { length: -1 }],
  ),
  fc.jsonValue({ maxDepth: 2 }),
);

/** Changes to make: which value of the message, in the order of a walk through it, becomes which other one. */
const changes = fc.array(fc.tuple(fc.nat(40), oddValue), { minLength: 1, maxLength: 3 });

/** Returns the message with the value at one place replaced. */
function replaceAt(message: unknown, place: number, value: unknown): unknown {
  let left = place;
  const walk = (node: unknown): unknown => {
    left -= 1;
    if (left < 0) {
      left = Infinity;
      return value;
    }
    if (Array.isArray(node)) return node.map(walk);
    if (typeof node !== 'object' || node === null || ArrayBuffer.isView(node)) return node;
    return Object.fromEntries(Object.entries(node).map(([key, item]) => [key, walk(item)]));
  };
  return walk(message);
}

function applyChanges(
  message: unknown,
  replaced: readonly (readonly [place: number, value: unknown])[],
): unknown {
  return replaced.reduce((changed, [place, value]) => replaceAt(changed, place, value), message);
}

function checkChanges(runs: number, message: unknown, check: (changed: unknown) => void): void {
  fc.assert(
    fc.property(changes, (replaced) => {
      check(applyChanges(message, replaced));
    }),
    { seed: SEED, numRuns: runs },
  );
}

const heartbeat = {
  address: '10.128.0.9:8080',
  info: { service: 'records', version: 'v1', zone: 'cyberjaya', slots: 6 },
  status: { state: 'ready', seq: 4, cold_left: '250ms' },
  born: 17,
};

const configuration = {
  version: 7,
  services: [
    {
      ...{ name: 'records', health_path: '/health', max_conns: 9, protocol: 'h1', tls: false },
      ...{ cold_start: '1s', cold_per_s: 20 },
    },
  ],
  limits: {
    ...{ max_header_bytes: 9000, max_body_bytes: 9000 },
    ...{ header_timeout: '3s', idle_timeout: '9s' },
  },
  hosts: [
    {
      host: 'site.example',
      paths: [
        {
          ...{ name: 'r', path_prefix: '/records/', kind: 'safe', timeout: '800ms' },
          ...{ target_latency: '200ms', priority: 2, max_attempts: 2 },
          split: [{ service: 'records', weight: 1 }],
        },
      ],
    },
  ],
};

const configured = applyCommand(emptyCatalog, createConfigurationCommand(configuration)).state;

function createConfigurationCommand(value: unknown): CatalogCommand {
  const table = decodeTable(value);
  return { kind: 'replaceRoutes', base: 0, digest: 'd', table: table.unwrap() };
}

/** Returns the items of a configuration as those of a change; a change holds its version elsewhere. */
function pickItems(value: unknown): unknown {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) return value;
  return Object.fromEntries(Object.entries(value).filter(([key]) => key !== 'version'));
}

/** Applies a command as every process of a site does, also after a snapshot. */
function applyEverywhere(catalog: Catalog, command: CatalogCommand): Catalog {
  const { state } = applyCommand(catalog, command);
  const restored = decodeCatalog(encodeCatalog(state));
  assert.deepEqual([...restored.instances.keys()], [...state.instances.keys()]);
  return restored;
}

function checkChoice(catalog: Catalog): void {
  const registry = new UpstreamRegistry();
  registry.update(catalog);
  const records = registry.records.flatMap(({ instance }) =>
    registry.listUsable(instance.service, undefined),
  );
  const choice = chooseUpstream(records, {
    ...{ now: 5, work: 60, timeLeft: 500, targetTime: 200, zone: 'cyberjaya', isLarge: false },
    ...{ justProbed: [], canProbe: true, hasConnection: () => false, deadlineShare: 0.8 },
    random: 0.5,
  });
  assert.ok(records.length === 0 || choice.kind === 'chosen', choice.kind);
}

Then(
  '{int} changed announcements are rejected, or leave a gateway that still chooses an upstream',
  { timeout: 60_000 },
  (runs: number) => {
    checkChanges(runs, heartbeat, (changed) => {
      const decoded = decodeHeartbeat('up-1', changed);
      if (decoded.isErr() || findInstanceProblem(decoded.value.instance) !== undefined) return;
      const { instance, coldFor } = decoded.value;
      assert.ok(Number.isFinite(coldFor) && typeof instance.draining === 'boolean');
      checkChoice(applyEverywhere(configured, { kind: 'announce', instance, coldFor }));
    });
  },
);

Then(
  '{int} changed configurations are rejected, or reach a gateway that still matches routes',
  { timeout: 60_000 },
  (runs: number) => {
    checkChanges(runs, configuration, (changed) => {
      const patch = decodePatch({ version: 9, upsert: pickItems(changed) });
      if (patch.isOk())
        applyEverywhere(configured, {
          ...{ kind: 'patchRoutes', base: 7, digest: 'e', patch: patch.value },
        });
      const decoded = decodeTable(changed);
      if (decoded.isErr()) return;
      const table = decoded.value;
      const command: CatalogCommand = { kind: 'replaceRoutes', base: 0, digest: 'd', table };
      const { outcome } = applyCommand(emptyCatalog, command);
      const { table: applied } = applyEverywhere(emptyCatalog, command);
      if (outcome.kind !== 'done') return;
      assert.ok(applied);
      matchRoute(buildRouteIndex(applied), 'site.example:80', '/records/1?x');
      applied.services.forEach(({ healthPath }) => {
        assert.doesNotMatch(healthPath, /[\r\n ]/);
      });
      assert.ok(decodeTable(encodeTable(applied)).isOk());
    });
  },
);

Then('{int} changed load headers are no report, or one of numbers from 0 up', (runs: number) => {
  const part = fc.oneof(fc.integer().map(String), fc.constantFrom('', 'x', '1e999', '-0', ' 2'));
  fc.assert(
    fc.property(fc.array(part, { maxLength: 6 }), (parts) => {
      const report = headerDialect.parseLoad(parts.join(','));
      const numbers = report === undefined ? [] : Object.values(report);
      assert.ok(numbers.every((number) => Number.isFinite(number) && number >= 0));
    }),
    { seed: SEED, numRuns: runs },
  );
});

/** A mesh endpoint that records what is sent and delivers what a test passes to `receive`, as the mesh does. */
class FuzzedMesh implements Mesh {
  readonly address = '10.1.0.18:7200';
  readonly traffic = { messagesSent: 0, bytesSent: 0, messagesReceived: 0, bytesReceived: 0 };
  sent: FeedMessage[] = [];
  #handler: MessageHandler = () => undefined;

  send(_to: string, _channel: string, message: unknown): void {
    this.sent.push(message as FeedMessage);
  }

  handle(_: string, handler: MessageHandler): void {
    this.#handler = handler;
  }

  /** The mesh reports a handler that fails and delivers the next message. */
  receive(message: unknown): void {
    try {
      this.#handler('10.2.0.34:7200', message);
    } catch (error) {
      assert.ok(error instanceof Error);
    }
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}

const entry = {
  ...{ id: 'gateway-1', zone: 'a', callerAddress: '10.1.0.2:80', peerAddress: '10.1.0.2:7215' },
  ...{ capacity: 1, ready: true },
};
const goodCommands = encodeCommands([[1, createConfigurationCommand(configuration)]]);

function createNews(): FeedMessage {
  return {
    ...{ kind: 'news', healthy: true, after: 0, commands: goodCommands, cold: { up: 5 } },
    base: { index: 0, state: encodeState(emptyCatalog) },
    fleet: { kind: 'whole', revision: 'r', entries: [entry] },
    members: ['10.2.0.34:7200'],
  };
}

function checkFollower(changed: unknown): void {
  const mesh = new FuzzedMesh();
  const follower = createFollower({
    ...{ mesh, seeds: ['10.2.0.34:7200'], now: () => 0, describeSelf: () => entry },
    ...{ collectEvidence: () => [], onChange: () => undefined },
    ...{ onCold: () => undefined, onDependency: () => undefined },
  });
  try {
    mesh.receive(changed);
    mesh.receive(createNews());
    assert.ok(follower.view.index >= 1, 'the entry has the valid commands');
    assert.equal(typeof follower.view.index, 'number');
  } finally {
    follower.close();
  }
}

function checkPublisher(changed: unknown): void {
  const mesh = new FuzzedMesh();
  const publisher = createPublisher({
    ...{ mesh, control: createControl({}), now: () => 0, listCold: () => ({}) },
    ...{ onGroupFound: () => undefined, onEvidence: () => undefined },
  });
  try {
    mesh.receive(changed);
    mesh.sent = [];
    mesh.receive({ kind: 'follow', entry, index: 0, fleetRevision: '', evidence: [] });
    const [news] = mesh.sent;
    assert.ok(news?.kind === 'news', 'a poll is answered');
    assert.ok(publisher.entries.every(({ id }) => typeof id === 'string'));
  } finally {
    publisher.close();
  }
}

Then(
  'after each of {int} changed messages an entry still applies a valid one, and a control member answers a poll',
  { timeout: 120_000 },
  (runs: number) => {
    checkChanges(runs / 2, createNews(), checkFollower);
    const poll = { kind: 'follow', entry, index: 3, fleetRevision: 'r', evidence: [] };
    const followers = {
      ...{ kind: 'followers', revision: 'r', silent: [['gateway-1', 300]] },
      update: { kind: 'whole', revision: 'r', entries: [entry] },
    };
    checkChanges(runs / 4, poll, checkPublisher);
    checkChanges(runs / 4, followers, checkPublisher);
  },
);

Then(
  '{int} changed logs and documents are decoded up to the change, or rejected',
  { timeout: 60_000 },
  (runs: number) => {
    const payloads = ['one', 'two', 'three'].map((text) => Buffer.from(text));
    const log = Buffer.concat(payloads.map(encodeRecord));
    // Without the line end, whose loss changes nothing.
    const document = renderDocument({ term: 3, votedFor: '10.1.0.18:7200#ab' }).subarray(0, -1);
    fc.assert(
      fc.property(
        fc.nat(log.length - 1),
        fc.nat(255),
        fc.nat(document.length - 1),
        (at, byte, cut) => {
          const changed = Buffer.from(log);
          changed[at] = byte;
          const read = parseRecords(changed).payloads.map((payload) => payload.toString());
          const isUnchanged = log[at] === byte;
          assert.ok(read.every((text, index) => text === payloads[index]?.toString()));
          assert.ok(isUnchanged ? read.length === 3 : read.length < 3);
          assert.equal(parseDocument(document.subarray(0, cut)), undefined);
          assert.equal(parseSnapshot(changed), undefined);
        },
      ),
      { seed: SEED, numRuns: runs },
    );
  },
);
