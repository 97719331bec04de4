import { Given, Then, When, type World } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { safeRoute, serveTwoServices, unsafeRoute } from './services.js';
import { createId, LARGE_BYTES, PORTS, Site, waitUntil, type Behaviour } from './site.js';

interface StoppingWorld extends World {
  site: Site;
  callers: readonly StoppingCaller[];
  /** Milliseconds from the signal to the end of the gateway's process. */
  elapsed: number;
  resetAfter: number | undefined;
}

const GATEWAY = 'gateway-1';
/** Timeout of the routes, longer than any stop here. */
const ROUTE_TIMEOUT = '8000ms';
/** Interval at which a slow caller reads, in milliseconds. */
const READ_INTERVAL = 20;

/** A caller's connection to the first gateway. */
class StoppingCaller {
  readonly socket: Socket;
  receivedBytes = 0;
  /** The beginning of what was received. */
  text = '';
  isEnded = false;
  resetAt: number | undefined;
  ids: readonly string[] = [];
  /** Bytes that it reads before it pauses. */
  #allowedBytes = Infinity;

  constructor(site: Site) {
    this.socket = connect({ port: PORTS.front, host: site.ips[0] ?? '', allowHalfOpen: true });
    this.socket.on('data', (chunk: Buffer) => {
      this.receivedBytes += chunk.length;
      if (this.receivedBytes > this.#allowedBytes) this.socket.pause();
      if (this.text.length < 4000) this.text += chunk.toString('latin1');
    });
    this.socket.on('end', () => {
      this.isEnded = true;
    });
    this.socket.on('error', () => {
      this.resetAt = performance.now();
    });
  }

  /** Sends requests at once, one behind the other. */
  send(requests: readonly string[], deadline = 8000): void {
    const ids = requests.map(() => createId());
    this.ids = [...this.ids, ...ids];
    const texts = requests.map((firstLine, index) => {
      const fields = `X-Attempt-Id: ${ids[index] ?? ''}\r\nX-Deadline-Ms: ${deadline}\r\n`;
      return `${firstLine} HTTP/1.1\r\nHost: site.example\r\nContent-Length: 0\r\n${fields}\r\n`;
    });
    this.socket.write(texts.join(''));
  }

  /** Reads at most this many bytes a second until the gateway ends the connection. */
  async readSlowly(bytesPerSecond: number): Promise<void> {
    const since = performance.now();
    while (!this.isEnded && this.resetAt === undefined) {
      this.#allowedBytes = ((performance.now() - since) * bytesPerSecond) / 1000;
      if (this.receivedBytes < this.#allowedBytes) this.socket.resume();
      await sleep(READ_INTERVAL);
    }
  }

  get statuses(): readonly string[] {
    return [...this.text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status = '']) => status);
  }

  waitForAnswers(count: number): Promise<void> {
    return waitUntil('the answers came', () => this.statuses.length >= count);
  }

  waitForEnd(): Promise<void> {
    return waitUntil('the connection ended', () => this.isEnded || this.resetAt !== undefined);
  }
}

/** Returns the ids of the requests of a caller that upstreams ran. */
function listRuns({ site }: StoppingWorld, caller: StoppingCaller): readonly string[] {
  return site.upstreams
    .flatMap(({ receivedRequests }) => receivedRequests)
    .map(({ id }) => id)
    .filter((id) => caller.ids.includes(id));
}

/** Sends SIGTERM to the first gateway; the promise is kept with the milliseconds that it took to end. */
async function stopGateway({ site }: StoppingWorld): Promise<number> {
  const since = performance.now();
  await site.endProcess(GATEWAY, 'SIGTERM');
  return performance.now() - since;
}

/** Stops a gateway that gets no processor time for the first `late` milliseconds after SIGTERM. */
async function stopBusyGateway(world: StoppingWorld, late: number): Promise<number> {
  const { child } = world.site.getProcess(GATEWAY);
  child.kill('SIGSTOP');
  const stopped = stopGateway(world);
  await sleep(late);
  child.kill('SIGCONT');
  return stopped;
}

/** Opens a connection and uses it once, so that it is kept open. */
async function openKeptCaller(world: StoppingWorld): Promise<StoppingCaller> {
  const caller = new StoppingCaller(world.site);
  caller.send(['GET /records/first']);
  await caller.waitForAnswers(1);
  return caller;
}

function applyBehaviour({ site }: StoppingWorld, behaviour: Behaviour): void {
  site.upstreams.forEach((upstream) => {
    upstream.behaviour = behaviour;
  });
}

Given(
  'a site whose processes have {int} ms to stop',
  { timeout: 60_000 },
  async function (this: StoppingWorld, grace: number) {
    this.site = await Site.start([], grace);
    const timeout = grace > 3000 ? ROUTE_TIMEOUT : safeRoute.timeout;
    await serveTwoServices(this.site, [
      { ...safeRoute, timeout },
      { ...unsafeRoute, timeout },
    ]);
    applyBehaviour(this, 'timed');
  },
);

When(
  'a gateway gets SIGTERM while a caller receives {int} MB at {int} MB a second',
  { timeout: 20_000 },
  async function (this: StoppingWorld, size: number, rate: number) {
    const caller = new StoppingCaller(this.site);
    this.callers = [caller];
    const stopped = stopGateway(this);
    await sleep(200);
    caller.send([`GET /records/1?bytes=${size * 1024 * 1024}`]);
    await caller.readSlowly(rate * 1024 * 1024);
    caller.socket.destroy();
    this.elapsed = await stopped;
  },
);

When(
  'a gateway gets SIGTERM right after it began to send {int} MB on a kept connection, received at {int} MB a second',
  { timeout: 20_000 },
  async function (this: StoppingWorld, size: number, rate: number) {
    const caller = new StoppingCaller(this.site);
    this.callers = [caller];
    caller.send([`GET /records/1?bytes=${size * 1024 * 1024}`]);
    caller.socket.once('data', () => caller.socket.pause());
    await waitUntil('the answer begins', () => caller.receivedBytes > 0);
    const stopped = stopGateway(this);
    await caller.readSlowly(rate * 1024 * 1024);
    caller.socket.destroy();
    this.elapsed = await stopped;
  },
);

Then(
  'the caller gets the whole answer, and the gateway ended within {int} ms',
  function (this: StoppingWorld, limit: number) {
    const [caller] = this.callers;
    assert.ok(
      (caller?.receivedBytes ?? 0) > LARGE_BYTES,
      `got ${caller?.receivedBytes ?? 0} bytes`,
    );
    assert.ok(this.elapsed < limit, `ended after ${Math.round(this.elapsed)} ms`);
  },
);

When(
  'a caller sends its next request on a kept connection {int} ms after SIGTERM',
  { timeout: 20_000 },
  async function (this: StoppingWorld, delay: number) {
    const caller = await openKeptCaller(this);
    this.callers = [caller];
    const stopped = stopGateway(this);
    await sleep(delay);
    caller.send(['GET /records/next']);
    await caller.waitForEnd();
    caller.socket.destroy();
    this.elapsed = await stopped;
  },
);

Then(
  'it gets status {int} and "Connection: close"',
  function (this: StoppingWorld, status: number) {
    const [caller] = this.callers;
    assert.deepEqual(caller?.statuses, ['200', String(status)]);
    assert.match(caller.text, /connection: close/i);
  },
);

async function sendAfterEnd(world: StoppingWorld, caller: StoppingCaller): Promise<void> {
  await caller.waitForEnd();
  const since = performance.now();
  caller.send(['POST /orders/crossing']);
  // Only a further write shows a reset on a connection whose other end was closed.
  const isReset = (): boolean => {
    caller.socket.write('\r\n');
    return caller.resetAt !== undefined;
  };
  await waitUntil('the connection is reset', isReset, 2000).catch(() => undefined);
  world.resetAfter = caller.resetAt === undefined ? undefined : caller.resetAt - since;
  caller.socket.destroy();
}

When(
  'a caller sends a request on a connection that was closed after its idle timeout of {int} ms',
  { timeout: 20_000 },
  async function (this: StoppingWorld, idleTimeout: number) {
    const routes = [safeRoute, unsafeRoute];
    const answer = await this.site.putRoutes(routes, idleTimeout);
    assert.equal(answer.status, 200, answer.body);
    await sleep(1000);
    await sendAfterEnd(this, await openKeptCaller(this));
  },
);

When(
  'a caller sends a request on a connection that was closed in a planned stop',
  { timeout: 20_000 },
  async function (this: StoppingWorld) {
    const running = await openKeptCaller(this);
    const caller = await openKeptCaller(this);
    const stopped = stopGateway(this);
    // Keeps the process running while the other connection is closed.
    running.socket.write('GET /records/partial HTTP/1.1\r\n');
    await sendAfterEnd(this, caller);
    await stopped;
    running.socket.destroy();
  },
);

Then('the connection is reset within {int} ms', function (this: StoppingWorld, limit: number) {
  assert.ok(this.resetAfter !== undefined, 'the connection was not reset');
  assert.ok(this.resetAfter < limit, `reset after ${Math.round(this.resetAfter)} ms`);
});

/** Sends requests on kept connections a time after SIGTERM, which the gateway handles `late` milliseconds late. */
async function sendInStop(
  world: StoppingWorld,
  { work, deadline, delay, late }: Readonly<Record<'work' | 'deadline' | 'delay' | 'late', number>>,
): Promise<void> {
  const usual = Array.from({ length: 20 }, () =>
    world.site.call(world.site.ips[0] ?? '', '/orders/usual?work=420', { method: 'POST' }),
  );
  await Promise.all(usual);
  world.callers = await Promise.all([1, 2, 3].map(() => openKeptCaller(world)));
  const stopped = late > 0 ? stopBusyGateway(world, late) : stopGateway(world);
  await sleep(delay);
  world.callers.forEach((caller) => {
    caller.send([`POST /orders/late?work=${work}`], deadline);
  });
  await Promise.all(world.callers.map((caller) => caller.waitForEnd()));
  world.callers.forEach(({ socket }) => socket.destroy());
  world.elapsed = await stopped;
}

When(
  'callers send requests of {int} ms with a deadline of {int} ms on kept connections {int} ms after SIGTERM',
  { timeout: 30_000 },
  async function (this: StoppingWorld, work: number, deadline: number, delay: number) {
    await sendInStop(this, { work, deadline, delay, late: 0 });
  },
);

When(
  'callers send requests of {int} ms with a deadline of {int} ms {int} ms after SIGTERM, which is handled {int} ms late',
  { timeout: 30_000 },
  async function (
    this: StoppingWorld,
    work: number,
    deadline: number,
    delay: number,
    late: number,
  ) {
    await sendInStop(this, { work, deadline, delay, late });
  },
);

Then(
  /^each of them gets status (\d+) and "Connection: close", and (no upstream ran it|an upstream ran it once)$/,
  function (this: StoppingWorld, status: number, runs: string) {
    this.callers.forEach((caller) => {
      assert.deepEqual(caller.statuses, ['200', String(status)]);
      assert.match(caller.text, /connection: close/i);
      const late = listRuns(this, caller).filter((id) => id === caller.ids.at(-1));
      assert.equal(late.length, runs === 'no upstream ran it' ? 0 : 1);
    });
  },
);

When(
  'a gateway gets SIGTERM while upstreams run {int} pipelined requests of {int} ms each',
  { timeout: 20_000 },
  async function (this: StoppingWorld, count: number, work: number) {
    const caller = new StoppingCaller(this.site);
    this.callers = [caller];
    caller.send(Array.from({ length: count }, (_, index) => `GET /records/${index}?work=${work}`));
    await waitUntil('upstreams run them', () => new Set(listRuns(this, caller)).size === count);
    const stopped = stopGateway(this);
    await caller.waitForEnd();
    caller.socket.destroy();
    this.elapsed = await stopped;
  },
);

When(
  'a gateway gets SIGTERM, and again {int} ms later, while upstreams run {int} pipelined requests of {int} ms each',
  { timeout: 20_000 },
  async function (this: StoppingWorld, pause: number, count: number, work: number) {
    const caller = new StoppingCaller(this.site);
    this.callers = [caller];
    caller.send(Array.from({ length: count }, (_, index) => `GET /records/${index}?work=${work}`));
    await waitUntil('upstreams run them', () => new Set(listRuns(this, caller)).size === count);
    const stopped = stopGateway(this);
    await sleep(pause);
    this.site.processes.get(GATEWAY)?.child.kill('SIGTERM');
    await caller.waitForEnd();
    caller.socket.destroy();
    this.elapsed = await stopped;
  },
);

Then(
  'all {int} of them are answered in order, the last one with "Connection: close"',
  function (this: StoppingWorld, count: number) {
    const [caller] = this.callers;
    const answers = (caller?.text ?? '').split('HTTP/1.1 200').slice(1);
    const found = answers.map((text) => /x-attempt-id: (\w+)/i.exec(text)?.[1]);
    assert.deepEqual(found, caller?.ids);
    const closing = answers.map((text) => /connection: close/i.test(text));
    assert.deepEqual(
      closing,
      answers.map((_, index) => index === count - 1),
    );
  },
);

When(
  'a caller sends a request {int} ms after SIGTERM behind one that an upstream runs for {int} ms',
  { timeout: 20_000 },
  async function (this: StoppingWorld, delay: number, work: number) {
    const caller = new StoppingCaller(this.site);
    this.callers = [caller];
    caller.send([`GET /records/1?work=${work}`]);
    await waitUntil('an upstream runs it', () => listRuns(this, caller).length > 0);
    const stopped = stopGateway(this);
    await sleep(delay);
    caller.send(['GET /records/2?work=2000']);
    await caller.waitForEnd();
    caller.socket.destroy();
    this.elapsed = await stopped;
  },
);

Then(
  'the first one gets status {int} and "Connection: close", and no upstream ran the second one',
  function (this: StoppingWorld, status: number) {
    const [caller] = this.callers;
    assert.ok(caller);
    assert.deepEqual(caller.statuses, [String(status)]);
    assert.match(caller.text, /connection: close/i);
    const [first] = caller.ids;
    assert.deepEqual(new Set(listRuns(this, caller)), new Set([first]));
  },
);

When(
  'a gateway gets SIGTERM, one caller leaves its connection unused, and one never closes after its last answer',
  { timeout: 20_000 },
  async function (this: StoppingWorld) {
    const unused = await openKeptCaller(this);
    const answered = await openKeptCaller(this);
    this.callers = [unused, answered];
    const stopped = stopGateway(this);
    await sleep(1500);
    answered.send(['GET /records/last']);
    this.elapsed = await stopped;
    await Promise.all(this.callers.map((caller) => caller.waitForEnd()));
    this.callers.forEach(({ socket }) => socket.destroy());
  },
);

Then(
  'both connections were closed without a reset, and the gateway ended within {int} ms',
  function (this: StoppingWorld, limit: number) {
    assert.deepEqual(
      this.callers.map(({ statuses, resetAt }) => [statuses.length, resetAt]),
      [
        [1, undefined],
        [2, undefined],
      ],
    );
    assert.ok(this.elapsed < limit, `ended after ${Math.round(this.elapsed)} ms`);
  },
);

When(
  'a gateway gets SIGTERM while an upstream runs a request for {int} ms and a caller receives nothing of {int} MB',
  { timeout: 20_000 },
  async function (this: StoppingWorld, work: number, size: number) {
    const { site } = this;
    const answer = await site.putRoutes([
      { ...safeRoute, timeout: ROUTE_TIMEOUT },
      { ...unsafeRoute, timeout: ROUTE_TIMEOUT },
    ]);
    assert.equal(answer.status, 200, answer.body);
    await sleep(1000);
    const running = new StoppingCaller(site);
    const sending = new StoppingCaller(site);
    this.callers = [running, sending];
    running.send([`POST /orders/1?work=${work}`]);
    sending.socket.pause();
    sending.send([`GET /records/1?bytes=${size * 1024 * 1024}`]);
    await sleep(700);
    this.elapsed = await stopGateway(this);
    this.callers.forEach(({ socket }) => socket.destroy());
  },
);

Then(
  "the gateway's log names both with the bytes that it could not send, and the numbers at both ends of the stop",
  async function (this: StoppingWorld) {
    await sleep(100);
    const { output } = this.site.processes.get(GATEWAY) ?? { output: '' };
    const lines = output
      .split('\n')
      .filter((line) => line.startsWith('{'))
      .map((line) => JSON.parse(line) as Readonly<Record<string, unknown>>);
    const find = (message: string): readonly Readonly<Record<string, unknown>>[] =>
      lines.filter((line) => line.message === message);
    const [begin] = find('gateway drain started');
    assert.deepEqual([begin?.connections, begin?.running], [2, 1]);
    const [end] = find('gateway drain ended');
    assert.deepEqual([end?.connections, end?.running, end?.cutOff], [2, 1, 2]);
    const cuts = find('request cut off by the stop');
    const [running, sending] = this.callers.map(({ ids }) =>
      cuts.find(({ id }) => id === ids.at(0)),
    );
    assert.deepEqual([running?.cause, running?.unsentBytes], ['running', 0]);
    assert.equal(sending?.cause, 'sending');
    assert.ok(Number(sending.unsentBytes) > 1024 * 1024, `${String(sending.unsentBytes)} bytes`);
  },
);
