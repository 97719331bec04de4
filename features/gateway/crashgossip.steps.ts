import { After, Given, Then, When, type World } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { Packr } from 'msgpackr';
import type { EntryRecord } from '../../src/feed/index.js';
import { createCrashGossip, type CrashGossip } from '../../src/gateway/crashgossip.js';
import { computeFingerprint } from '../../src/gateway/fingerprint.js';
import { planGossip } from '../../src/gateway/relays.js';
import type { DatagramHandler, GossipTransport } from '../../src/gateway/transport.js';
import {
  decideQuarantine,
  emptyQuarantineState,
  type Evidence,
  type QuarantineEvent,
  type QuarantineState,
} from '../../src/quarantine/index.js';

interface Member {
  readonly entry: EntryRecord;
  readonly gossip: CrashGossip;
  readonly handlers: Map<string, DatagramHandler>;
  state: QuarantineState;
  sentBytes: number;
  receivedBytes: number;
}

interface CrashGossipWorld extends World {
  crashMembers: Member[];
  lossPercent: number;
}

const ZONES = 6;
const packr = new Packr({ useRecords: false });
/** Bytes of the headers of a datagram on the wire. */
const HEADER_BYTES = 28;

function createEntries(count: number): readonly EntryRecord[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `gateway-${String(index).padStart(3, '0')}`,
    zone: `zone-${index % ZONES}`,
    capacity: index < ZONES ? 0.675 : 0.27,
    callerAddress: `10.0.${index >> 8}.${index & 255}:80`,
    peerAddress: `10.0.${index >> 8}.${index & 255}:7215`,
    ready: true,
  }));
}

/** Carries datagrams within this process, through the encoding of the wire. */
function createNetworkTransport(world: CrashGossipWorld, address: string): GossipTransport {
  return {
    handle: () => undefined,
    send: (peers, datagram) => {
      const bytes = packr.pack(datagram);
      const findMember = (wanted: string): Member | undefined =>
        world.crashMembers.find(({ entry }) => entry.peerAddress === wanted);
      const sender = findMember(address);
      peers.forEach((peer) => {
        if (sender !== undefined) sender.sentBytes += bytes.length + HEADER_BYTES;
        if (Math.random() * 100 < world.lossPercent) return;
        setImmediate(() => {
          const receiver = findMember(peer);
          if (receiver === undefined) return;
          receiver.receivedBytes += bytes.length + HEADER_BYTES;
          const [kind, ...fields] = packr.unpack(bytes) as [string, ...unknown[]];
          receiver.handlers.get(kind)?.(address, fields);
        });
      });
      return (bytes.length + HEADER_BYTES) * peers.length;
    },
    close: () => undefined,
  };
}

function applyEvent(member: Member, event: QuarantineEvent): void {
  const { state, effects } = decideQuarantine(member.state, event);
  member.state = state;
  effects.forEach((effect) => {
    if (effect.kind === 'share') member.gossip.share(effect.evidence, effect.origin);
  });
}

function createMember(
  world: CrashGossipWorld,
  entry: EntryRecord,
  entries: readonly EntryRecord[],
): Member {
  const plan = planGossip(entry.peerAddress, entry.zone, entries);
  const handlers = new Map<string, DatagramHandler>();
  const transport: GossipTransport = {
    ...createNetworkTransport(world, entry.peerAddress),
    handle: (kind, handler) => {
      handlers.set(kind, handler);
    },
  };
  const now = (): number => performance.now();
  const member: Member = {
    ...{ entry, handlers, state: emptyQuarantineState, sentBytes: 0, receivedBytes: 0 },
    gossip: createCrashGossip({
      ...{ transport, now, getPlan: () => plan, getState: () => member.state },
      onEvidence: (evidence) => {
        applyEvent(member, { kind: 'received', evidence, now: now() });
      },
      onSynced: () => undefined,
    }),
  };
  return member;
}

function startMember(member: Member, entries: readonly EntryRecord[]): void {
  const addresses = entries.map(({ peerAddress }) => peerAddress);
  member.gossip.setPeers(addresses.filter((address) => address !== member.entry.peerAddress));
  member.gossip.waitForSync();
}

async function startMembers(world: CrashGossipWorld, count: number, loss: number): Promise<void> {
  world.lossPercent = loss;
  const entries = createEntries(count);
  world.crashMembers = [];
  world.crashMembers = entries.map((entry) => createMember(world, entry, entries));
  world.crashMembers.forEach((member) => {
    startMember(member, entries);
  });
  // A relay serves only gateways that have asked it, which each does every second.
  await sleep(1200);
}

Given(
  '{int} gateways that exchange evidence of crashes',
  async function (this: CrashGossipWorld, count: number) {
    await startMembers(this, count, 0);
  },
);

Given(
  '{int} gateways that exchange evidence of crashes, and lose {int} of 100 datagrams',
  async function (this: CrashGossipWorld, count: number, loss: number) {
    await startMembers(this, count, loss);
  },
);

function countAnew({ crashMembers }: CrashGossipWorld): void {
  crashMembers.forEach((member) => {
    member.sentBytes = 0;
    member.receivedBytes = 0;
  });
}

When(
  'one of them finds a crash under {int} requests',
  function (this: CrashGossipWorld, count: number) {
    countAnew(this);
    const finder = this.crashMembers.at(-1);
    assert.ok(finder);
    const now = performance.now();
    const evidence = Array.from({ length: count }, (_, index): Evidence => ({
      ...{ kind: 'crash', fingerprint: `finger${index}`, upstreamId: 'i-7f3a91c2' },
      ...{ incarnation: 1_234_567_890, at: now },
    }));
    applyEvent(finder, { kind: 'found', evidence, now });
  },
);

async function waitUntilAllKnow(world: CrashGossipWorld, limit: number): Promise<void> {
  const wanted = world.crashMembers.at(-1)?.state.suspicions.length ?? 0;
  const until = performance.now() + limit;
  const listIgnorant = (): readonly Member[] =>
    world.crashMembers.filter(({ state }) => state.suspicions.length < wanted);
  while (listIgnorant().length > 0 && performance.now() < until) await sleep(10);
  const ignorant = listIgnorant().map(({ entry }) => entry.id);
  assert.deepEqual(ignorant, []);
}

Then(
  'within {int} ms all of them know it',
  { timeout: 10_000 },
  async function (this: CrashGossipWorld, limit: number) {
    const startedAt = performance.now();
    await waitUntilAllKnow(this, limit);
    this.log(`known everywhere after ${Math.round(performance.now() - startedAt)} ms`);
  },
);

Then(
  'no gateway sent more than {int} KB for it, and each was sent at most {int} KB',
  async function (this: CrashGossipWorld, mostSent: number, mostReceived: number) {
    await sleep(400);
    const sent = Math.max(...this.crashMembers.map(({ sentBytes }) => sentBytes));
    const received = Math.max(...this.crashMembers.map(({ receivedBytes }) => receivedBytes));
    this.log(`sent at most ${sent} bytes, received at most ${received} bytes`);
    assert.ok(sent <= mostSent * 1000, `${sent} bytes sent`);
    assert.ok(received <= mostReceived * 1000, `${received} bytes received`);
  },
);

When('nothing happens for {int} ms', async function (this: CrashGossipWorld, time: number) {
  countAnew(this);
  await sleep(time);
});

Then('each gateway was sent at most {int} KB', function (this: CrashGossipWorld, most: number) {
  const received = Math.max(...this.crashMembers.map(({ receivedBytes }) => receivedBytes));
  this.log(`received at most ${received} bytes`);
  assert.ok(received <= most * 1000, `${received} bytes received`);
});

When('one of them starts again', function (this: CrashGossipWorld) {
  const entries = this.crashMembers.map(({ entry }) => entry);
  const [first] = this.crashMembers;
  assert.ok(first);
  first.gossip.close();
  const restarted = createMember(this, first.entry, entries);
  this.crashMembers = [restarted, ...this.crashMembers.slice(1)];
  startMember(restarted, entries);
});

Then(
  'within {int} ms it is synced, and knows what the others know',
  async function (this: CrashGossipWorld, limit: number) {
    const [first] = this.crashMembers;
    const until = performance.now() + limit;
    while (first?.gossip.isSynced !== true && performance.now() < until) await sleep(2);
    assert.equal(first?.gossip.isSynced, true);
    const known = this.crashMembers.at(-1)?.state.suspicions.length;
    assert.equal(first.state.suspicions.length, known);
  },
);

When(/^one of them is sent evidence with (.*)$/, function (this: CrashGossipWorld, fault: string) {
  const rows: Readonly<Record<string, unknown>> = {
    'no rows': undefined,
    'a row of text': ['row'],
    'an unknown kind': [[7, 'finger', 'u1', 1, 0]],
    'a fingerprint of a number': [[0, 1, 'u1', 1, 0]],
    'a negative age': [[0, 'finger', 'u1', 1, -5]],
    'an endless fingerprint': [[0, 'a'.repeat(10_000), 'u1', 1, 0]],
  };
  assert.ok(fault in rows);
  const receive = this.crashMembers[0]?.handlers.get('crash-news');
  try {
    receive?.('10.0.0.1:7215', [rows[fault]]);
  } catch (error) {
    // The transport reports it.
    this.log(String(error));
  }
});

Then('it knows of no crash', function (this: CrashGossipWorld) {
  assert.equal(this.crashMembers[0]?.state.suspicions.length, 0);
});

After(function (this: Partial<CrashGossipWorld>) {
  this.crashMembers?.forEach(({ gossip }) => {
    gossip.close();
  });
});

type Fingerprinted = Parameters<typeof computeFingerprint>[0];

const LARGE_BODY_BYTES = 64 * 1024 * 1024;

function replacePart(request: Fingerprinted, part: string): Fingerprinted {
  const replaceHeader = (name: string, value: string): Fingerprinted => ({
    ...request,
    headers: [...request.headers.filter(([known]) => known !== name), [name, value]],
  });
  switch (part) {
    case 'the id of the attempt':
      return replaceHeader('X-Attempt-Id', 'other');
    case 'the time left':
      return replaceHeader('X-Deadline-Ms', '17');
    case 'the case of the host':
      return replaceHeader('Host', 'SITE.example');
    case 'the host':
      return replaceHeader('Host', 'other.example');
    case 'the caller':
      return replaceHeader('Authorization', 'Bearer other');
    case 'the client account':
      return { ...request, account: 'sese880' };
    case 'the method':
      return { ...request, method: 'PUT' };
    case 'the path':
      return { ...request, target: '/other?a=1' };
    case 'the query':
      return { ...request, target: '/records?a=2' };
    case 'the body':
      return { ...request, body: Buffer.from('another') };
    case 'the length of the body':
      return { ...request, body: Buffer.from('content ') };
    default:
      return request;
  }
}

const FIRST_REQUEST: Fingerprinted = {
  method: 'POST',
  target: '/records?a=1',
  account: undefined,
  headers: [
    ['Host', 'site.example'],
    ['Authorization', 'Bearer one'],
    ['X-Attempt-Id', 'one'],
    ['X-Deadline-Ms', '500'],
  ],
  body: Buffer.from('content'),
};

Then(
  'two requests that differ in {string} have {string} fingerprints',
  function (part: string, result: string) {
    const isLarge = part === 'the end of 64 MB';
    const body = Buffer.alloc(LARGE_BODY_BYTES);
    const one = isLarge ? { ...FIRST_REQUEST, body } : FIRST_REQUEST;
    const first = computeFingerprint(one);
    if (isLarge) body.write('end', LARGE_BODY_BYTES - 3);
    const second = computeFingerprint(isLarge ? one : replacePart(one, part));
    assert.equal(first === second ? 'the same' : 'different', result);
  },
);

Then(
  'the fingerprint of a request with 64 MB takes at most {int} ms',
  function (this: World, limit: number) {
    const request = { ...FIRST_REQUEST, body: Buffer.alloc(LARGE_BODY_BYTES) };
    const times = Array.from({ length: 9 }, () => {
      const startedAt = performance.now();
      computeFingerprint(request);
      return performance.now() - startedAt;
    }).sort((one, two) => one - two);
    const median = times[4] ?? Infinity;
    this.log(`${median.toFixed(3)} ms`);
    assert.ok(median <= limit, `${median} ms`);
  },
);
