/**
 * Measures what one gateway spends on a large site: a gateway in a process of its own follows a stand-in for the
 * control members, other gateways and upstreams. Phases: the start with a whole catalog, normal operation, changes of
 * the catalog, and changes of the list of gateways.
 * Settings by environment: `UPSTREAMS`, `GATEWAYS`, `SECONDS` for each phase, `RATE` (requests a second), `CHANGES`
 * (changes a second), `RELAY` (1: the gateway relays load reports of others), `PROFILE` (1: prints functions by time).
 */
import { fork, type ChildProcess } from 'node:child_process';
import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { createServer, request } from 'node:http';
import { setTimeout as wait } from 'node:timers/promises';
import { Packr } from 'msgpackr';
import { applyCommand, emptyCatalog, type Catalog, type Instance } from '../src/catalog/index.js';
import { encodeCommands, encodeState } from '../src/feed/codec.js';
import { FleetHistory } from '../src/feed/fleet.js';
import { FEED_CHANNEL, type EntryRecord, type FeedMessage } from '../src/feed/index.js';
import { hashText } from '../src/routing/index.js';
import { createMesh, type Mesh } from '../src/wire/index.js';
import { writeReport } from './stand/report.js';
import { standDialect, type VmOptions, type VmSpending } from './stand/vm.js';

const readNumber = (name: string, initial: number): number => Number(process.env[name] ?? initial);
const UPSTREAMS = readNumber('UPSTREAMS', 718);
const GATEWAYS = readNumber('GATEWAYS', 317);
const SECONDS = readNumber('SECONDS', 8);
const RATE = readNumber('RATE', 2);
const CHANGES = readNumber('CHANGES', 10);
const IS_RELAY = process.env.RELAY === '1';

const ZONES = ['a', 'b', 'c', 'd', 'e', 'f'] as const;
/** Services with their share of the upstreams. */
const SERVICES = [
  ['records', 0.47],
  ['orders', 0.18],
  ['files', 0.35],
] as const;
const WORK = 660;
const GOSSIP_INTERVAL = 150;
const SECRET = 'bench';
const PORTS = { steward: 7411, gateway: 7412, caller: 7413, upstream: 7414 } as const;
const STEWARD = `127.0.0.1:${PORTS.steward}`;
const PEER = `127.0.0.1:${PORTS.gateway}`;

const packr = new Packr({ useRecords: false });

function pickZone(index: number): string {
  return ZONES[index % ZONES.length] ?? 'a';
}

function pickService(index: number): string {
  const position = (index * 0.618034) % 1;
  let sum = 0;
  const found = SERVICES.find(([, share]) => {
    sum += share;
    return position < sum;
  });
  return found?.[0] ?? 'records';
}

function createInstance(index: number, bornAt = 1): Instance {
  return {
    id: `upstream-${index}`,
    service: pickService(index),
    address: `127.1.${Math.floor(index / 250)}.${(index % 250) + 1}:${PORTS.upstream}`,
    zone: pickZone(index),
    ...{ version: 'v1', slots: 6, bornAt, draining: false },
  };
}

function createCatalog(): Catalog {
  const services = SERVICES.map(([name]) => ({
    ...{ name, healthPath: '/health', maxConnections: 2600, coldTime: 3000, coldRate: 2 },
    source: undefined,
  }));
  const routes = SERVICES.map(([name]) => ({
    ...{ name, host: `${name}.example`, prefix: '/', kind: 'safe' as const, timeout: 4000 },
    ...{ targetLatency: 1500, maxAttempts: 2, rank: 0, source: undefined },
    parts: [{ service: name, weight: 1 }],
  }));
  const limits = {
    headBytes: 16_384,
    bodyBytes: 1_048_576,
    headTimeout: 3000,
    idleTimeout: 15_000,
  };
  const table = {
    version: 1,
    routes,
    services,
    extra: {},
    limits: { ...limits, source: undefined },
  };
  const instances = new Map(
    Array.from({ length: UPSTREAMS }, (_, index) => {
      const instance = createInstance(index);
      return [instance.id, instance];
    }),
  );
  return {
    ...emptyCatalog,
    table,
    instances,
    versions: { records: 'v1', orders: 'v1', files: 'v1' },
  };
}

function createEntry(index: number, isReady = true): EntryRecord {
  const host = `127.2.${Math.floor(index / 250)}.${(index % 250) + 1}`;
  return {
    id: `gateway-${String(index).padStart(4, '0')}`,
    zone: pickZone(index),
    // The first of each zone run on the larger VMs and are relays.
    capacity: index < ZONES.length ? 0.675 : 0.27,
    callerAddress: `${host}:8080`,
    peerAddress: `${host}:7200`,
    ready: isReady,
  };
}

/** Stands in for a control member: answers polls, and sends changes at once. */
class StandSteward {
  readonly #mesh: Mesh;
  readonly #history = new FleetHistory();
  #entries: readonly EntryRecord[];
  #catalog = createCatalog();
  #index = 1;
  #fleetRevision = '';
  polls = 0;

  constructor(mesh: Mesh) {
    this.#mesh = mesh;
    this.#entries = Array.from({ length: GATEWAYS - 1 }, (_, index) => createEntry(index + 1));
    mesh.handle(FEED_CHANNEL, (from, message) => {
      const poll = message as FeedMessage;
      if (poll.kind !== 'follow') return;
      this.polls += 1;
      this.#fleetRevision = poll.fleetRevision;
      const others = this.#entries.filter(({ id }) => id !== poll.entry.id);
      const isKnown = this.#entries.some(
        ({ id, ready }) => id === poll.entry.id && ready === poll.entry.ready,
      );
      if (!isKnown) this.#entries = [...others, poll.entry].sort((a, b) => (a.id < b.id ? -1 : 1));
      const isBehind = poll.index < 1;
      this.#send(from, {
        base: isBehind ? { index: this.#index, state: encodeState(this.#catalog) } : undefined,
        after: poll.index,
        commands: undefined,
      });
    });
  }

  #send(
    to: string,
    part: Pick<Extract<FeedMessage, { kind: 'news' }>, 'base' | 'after' | 'commands'>,
  ): void {
    this.#history.setEntries(this.#entries);
    const fleet = this.#history.createUpdate(this.#fleetRevision);
    this.#fleetRevision = this.#history.revision;
    const message: FeedMessage = {
      ...{ kind: 'news', healthy: true, cold: {}, members: [STEWARD], fleet },
      ...part,
    };
    this.#mesh.send(to, FEED_CHANNEL, message);
  }

  /** Sends one start of an upstream at a new address, in place of the one before. */
  changeCatalog(round: number): void {
    const instance = createInstance(round % UPSTREAMS, this.#index + 1);
    const command = { kind: 'announce' as const, instance, coldFor: 3000 };
    this.#catalog = applyCommand(this.#catalog, command).state;
    this.#index += 1;
    this.#send(PEER, {
      base: undefined,
      after: this.#index - 1,
      commands: encodeCommands([[this.#index, command]]),
    });
  }

  /** Sends a list in which another gateway is not ready. */
  changeFleet(round: number): void {
    const index = (round % (GATEWAYS - 1)) + 1;
    const { id } = createEntry(index);
    this.#entries = this.#entries.some((entry) => entry.id === id)
      ? this.#entries.filter((entry) => entry.id !== id)
      : [...this.#entries, createEntry(index)].sort((a, b) => (a.id < b.id ? -1 : 1));
    this.#send(PEER, { base: undefined, after: this.#index, commands: undefined });
  }
}

function startUpstreams(): () => void {
  const server = createServer((message, response) => {
    const headers = {
      [standDialect.requestId]: message.headers[standDialect.requestId] ?? '',
      [standDialect.load]: '1,0,6,100',
    };
    const end = (): void => {
      response.writeHead(200, headers);
      response.end('x'.repeat(message.url === '/health' ? 0 : 1500));
    };
    if (message.url === '/health') end();
    else setTimeout(end, WORK);
  });
  server.keepAliveTimeout = 10_000;
  server.listen(PORTS.upstream, '0.0.0.0');
  return () => {
    server.closeAllConnections();
    server.close();
  };
}

/** Sends the reports of all upstreams that got probes or answers in a round, as the relay of the zone does. */
function startGossip(): () => void {
  const socket = createSocket('udp4');
  const sources = Array.from({ length: IS_RELAY ? 16 : 0 }, () => createSocket('udp4'));
  let round = 0;
  const sendRows = (from: typeof socket, source: string, count: number, offset: number): void => {
    const rows = Array.from({ length: count }, (_, index) => [
      hashText(`upstream-${(offset + index) % UPSTREAMS}`),
      ...[1, 0, 100, 40, 1, 0],
    ]);
    Array.from({ length: Math.ceil(rows.length / 64) }, (_, index) =>
      packr.pack([source, rows.slice(index * 64, (index + 1) * 64)]),
    ).forEach((datagram) => {
      from.send(datagram, PORTS.gateway, '127.0.0.1');
    });
  };
  const timer = setInterval(() => {
    round += 1;
    // Each upstream is probed every 600 ms, so a quarter of them have news in each round.
    const fresh = Math.round(UPSTREAMS / 4);
    if (!IS_RELAY) sendRows(socket, 'own-relay', fresh, round * fresh);
    sources.forEach((source, index) => {
      sendRows(source, 'follower', 3, round * 3 + index * 50);
    });
    // The other relays: 3 of the own zone, and those of five zones every third round.
    if (IS_RELAY) {
      sendRows(socket, 'relay', Math.round(fresh / 6), round * fresh);
      if (round % 3 === 0) sendRows(socket, 'relay', fresh, round * fresh);
    }
  }, GOSSIP_INTERVAL);
  return () => {
    clearInterval(timer);
    [socket, ...sources].forEach((one) => one.close());
  };
}

function sendRequest(round: number): Promise<number> {
  const service = pickService(round);
  return new Promise((resolve) => {
    const call = request({
      ...{ host: '127.0.0.1', port: PORTS.caller, path: `/x/${round}` },
      headers: {
        Host: `${service}.example`,
        [standDialect.requestId]: `r${round}`,
        [standDialect.deadline]: '6000',
      },
    });
    call.on('response', (response) => {
      response.resume();
      response.on('end', () => {
        resolve(response.statusCode ?? 0);
      });
    });
    call.on('error', () => {
      resolve(0);
    });
    call.end();
  });
}

async function requestSpending(vm: ChildProcess): Promise<VmSpending> {
  const answer = once(vm, 'message');
  vm.send({ kind: 'mark' });
  const [spending] = (await answer) as [VmSpending];
  return spending;
}

interface Row {
  readonly phase: string;
  readonly seconds: number;
  readonly cpuMs: number;
  readonly residentMb: number;
  readonly heapMb: number;
  readonly openedConnections: number;
  readonly answers: Readonly<Record<string, number>>;
}

function printFunctions({ functions }: VmSpending): void {
  const top = (key: 'own' | 'total', count: number): string =>
    [...functions]
      .sort((one, two) => two[key] - one[key])
      .slice(0, count)
      .map(({ name, ...time }) => `${time[key].toFixed(0).padStart(7)} ms ${key} ${name}`)
      .join('\n');
  if (functions.length > 0) console.log(`${top('total', 60)}\n${top('own', 25)}`);
}

/** Sends requests and runs `change` at a rate for a phase, and returns what the gateway spent. */
async function runPhase(
  vm: ChildProcess,
  phase: string,
  rates: { readonly changes: number; readonly change: (round: number) => void },
): Promise<Row> {
  const answers: Record<string, number> = {};
  const startedAt = performance.now();
  const timers: NodeJS.Timeout[] = [];
  if (rates.changes > 0) {
    let round = 0;
    timers.push(
      setInterval(() => {
        rates.change((round += 1));
      }, 1000 / rates.changes),
    );
  }
  let sent = 0;
  timers.push(
    setInterval(() => {
      void sendRequest((sent += 1)).then((status) => {
        answers[status] = (answers[status] ?? 0) + 1;
      });
    }, 1000 / RATE),
  );
  await wait(SECONDS * 1000);
  timers.forEach((timer) => {
    clearInterval(timer);
  });
  const spending = await requestSpending(vm);
  const seconds = (performance.now() - startedAt) / 1000;
  if (process.env.PROFILE === '1') {
    console.log(`\n${phase}`);
    printFunctions(spending);
  }
  const { cpuMs, residentMb, heapMb, openedConnections } = spending;
  return { phase, seconds, cpuMs, residentMb, heapMb, openedConnections, answers };
}

async function startVm(): Promise<ChildProcess> {
  const options: VmOptions = {
    id: createEntry(IS_RELAY ? 1 : 200).id,
    zone: pickZone(IS_RELAY ? 1 : 200),
    capacity: IS_RELAY ? 0.675 : 0.27,
    callerListen: `127.0.0.1:${PORTS.caller}`,
    peerListen: PEER,
    seeds: [STEWARD],
    secret: SECRET,
  };
  const vm = fork(new URL('stand/vm.js', import.meta.url), [JSON.stringify(options)], {
    execArgv: [],
  });
  await wait(50);
  return vm;
}

/** Tries until a request is answered and returns the milliseconds that it took. */
async function waitForAnswer(startedAt: number): Promise<number> {
  const status = await sendRequest(0);
  if (status === 200) return performance.now() - startedAt - WORK;
  await wait(20);
  return waitForAnswer(startedAt);
}

function formatRow(row: Row): string {
  const { phase, seconds, cpuMs, residentMb, heapMb, openedConnections, answers } = row;
  const share = (cpuMs / seconds / 10).toFixed(2);
  const figures = [cpuMs.toFixed(0), share, residentMb.toFixed(0), heapMb.toFixed(0)];
  return `| ${phase} | ${figures.join(' | ')} | ${openedConnections} | ${JSON.stringify(answers)} |`;
}

/** Prints a table with a row a phase. */
export async function run(): Promise<void> {
  const mesh = await createMesh({ address: STEWARD, secret: SECRET });
  const steward = new StandSteward(mesh);
  const stopUpstreams = startUpstreams();
  const stopGossip = startGossip();
  const startedAt = performance.now();
  const vm = await startVm();
  const firstAnswer = await waitForAnswer(startedAt);
  const start = await requestSpending(vm);
  printFunctions(start);
  const none = (): void => undefined;
  const change = (round: number): void => {
    steward.changeCatalog(round);
  };
  const changeFleet = (round: number): void => {
    steward.changeFleet(round);
  };
  const rows = [
    {
      phase: `start to first answer, ${firstAnswer.toFixed(0)} ms`,
      seconds: firstAnswer / 1000,
      ...start,
      answers: {},
    },
    await runPhase(vm, 'calm, first', { changes: 0, change: none }),
    await runPhase(vm, 'calm', { changes: 0, change: none }),
    await runPhase(vm, `${CHANGES} starts of upstreams a second`, { changes: CHANGES, change }),
    await runPhase(vm, `${CHANGES} changes of gateways a second`, {
      changes: CHANGES,
      change: changeFleet,
    }),
  ].map(({ phase, seconds, cpuMs, residentMb, heapMb, openedConnections, answers }) => ({
    ...{ phase, seconds, cpuMs, residentMb, heapMb, openedConnections, answers },
  }));
  vm.kill();
  stopGossip();
  stopUpstreams();
  await mesh.close();
  console.log(
    [
      '| phase | CPU, ms | CPU, % | resident, MB | heap, MB | connections | answers |',
      '| --- | --- | --- | --- | --- | --- | --- |',
      ...rows.map(formatRow),
    ].join('\n'),
  );
  writeReport('gateway', rows);
}
