import { After, Given, Then, When, type World } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { once } from 'node:events';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { promisify } from 'node:util';
import { safeRoute, serveTwoServices, unsafeRoute } from './services.js';
import {
  createId,
  LARGE_BYTES,
  PORTS,
  readMetric,
  sendHttpRequest,
  Site,
  waitUntil,
  type HttpResponse,
  type Behaviour,
  type Upstream,
} from './site.js';

interface PlatformWorld extends World {
  site: Site;
  sentRoutes: readonly Readonly<Record<string, unknown>>[];
  drainedUpstream: Upstream;
  acknowledgedAt: number;
  evacuatedZone: string;
  answers: HttpResponse[];
  failures: string[];
  receivedBytes: number;
  received: Buffer;
  elapsed: number;
  leftAt: number;
}

const runFile = promisify(execFile);
/** Time of callers for which a gateway waits as long as it may for its first routes. */
const PATIENT_CALLER_MS = 6000;

After({ tags: 'not @no-site' }, async function (this: Partial<PlatformWorld>) {
  await this.site?.stop();
});

Given(
  "the platform's site serves two services",
  { timeout: 60_000 },
  async function (this: PlatformWorld) {
    this.site = await Site.start();
    this.sentRoutes = [safeRoute, unsafeRoute];
    await serveTwoServices(this.site, this.sentRoutes);
  },
);

Then(
  "callers in every zone get complete responses with an upstream's seal",
  async function (this: PlatformWorld) {
    const { site } = this;
    await Promise.all(
      site.zones.map(async (zone) => {
        const [address = ''] = await site.resolve(zone);
        const [ip = ''] = address.split(':');
        const id = createId();
        const answer = await site.call(ip, '/records/17?full=1', {}, id);
        assert.equal(answer.status, 200);
        assert.equal(answer.headers['x-server-seal'], `seal-${id}`);
        assert.match(answer.body, /^served by records-/);
        const [arrival] = site.upstreams.flatMap(({ receivedRequests }) =>
          receivedRequests.filter((found) => found.id === id),
        );
        assert.equal(arrival?.target, '/records/17?full=1');
        assert.ok(arrival.deadline > 0 && arrival.deadline <= 800, `${arrival.deadline} ms`);
      }),
    );
  },
);

Then('a request without a route gets {int}', async function (this: PlatformWorld, status: number) {
  const answers = await Promise.all(this.site.ips.map((ip) => this.site.call(ip, '/none/')));
  assert.deepEqual(
    answers.map((answer) => answer.status),
    answers.map(() => status),
  );
});

When(
  '{int} callers of each kind of request leave after {int} of {int} ms',
  async function (this: PlatformWorld, count: number, patience: number, work: number) {
    const { site } = this;
    applyBehaviour(this, 'timed');
    const leave = async (path: string, method: string): Promise<void> => {
      const [ip = ''] = site.shuffleIps();
      const socket = connect(PORTS.front, ip);
      socket.on('error', () => undefined);
      const id = `left-${createId()}`;
      const fields = `Host: site.example\r\nX-Attempt-Id: ${id}\r\nContent-Length: 0`;
      socket.write(`${method} ${path}?work=${work} HTTP/1.1\r\n${fields}\r\n\r\n`);
      await sleep(patience);
      socket.destroy();
    };
    await Promise.all(
      Array.from({ length: count }, () => [
        leave('/records/1', 'GET'),
        leave('/orders/1', 'POST'),
      ]).flat(),
    );
    this.leftAt = performance.now();
  },
);

Then(
  'no upstream works for any of them {int} ms later',
  async function (this: PlatformWorld, limit: number) {
    await sleep(limit);
    const left = this.site.upstreams.flatMap(({ receivedRequests, abandonedAt }) =>
      receivedRequests
        .filter(({ id }) => id.startsWith('left-'))
        .map(({ id }) => (abandonedAt.get(id) ?? Infinity) - this.leftAt),
    );
    assert.ok(left.length >= 18, `${left.length} requests ran`);
    assert.ok(Math.max(...left) <= limit, `work ended up to ${Math.max(...left)} ms later`);
  },
);

/** Milliseconds within which a site must serve again after all stewards were lost; the platform's `recovery` bound. */
const RECOVERY_TIME = 15_000;

Then(
  'the configuration reads back as it was sent',
  { timeout: RECOVERY_TIME + 5000 },
  async function (this: PlatformWorld) {
    const since = performance.now();
    const answer = await this.site.sendOrder({ path: '/-/Config.Get' });
    const read = JSON.parse(answer.body) as { version: number; hosts: unknown };
    const elapsed = Math.round(performance.now() - since);
    this.log(`read back after ${elapsed} ms`);
    assert.ok(elapsed <= RECOVERY_TIME, `read back after ${elapsed} ms`);
    assert.equal(read.version, this.site.version);
    assert.deepEqual(read.hosts, [{ host: 'site.example', paths: this.sentRoutes }]);
  },
);

When('a route moves to the other service', async function (this: PlatformWorld) {
  this.sentRoutes = [{ ...safeRoute, service: 'orders' }, unsafeRoute];
  const answer = await this.site.putRoutes(this.sentRoutes);
  assert.equal(answer.status, 200);
  this.acknowledgedAt = performance.now();
});

Then(
  'within {int} ms every gateway sends its requests there',
  async function (this: PlatformWorld, limit: number) {
    await waitUntil(
      'the change is in force',
      async () => {
        const answers = await Promise.all(
          this.site.ips.map((ip) => this.site.call(ip, '/records/1')),
        );
        return answers.every(({ body }) => body.includes('orders-'));
      },
      limit,
    );
  },
);

Then(
  'the same change sent again is acknowledged again, and a change based on an old version is rejected',
  async function (this: PlatformWorld) {
    const { site } = this;
    const { version } = site;
    site.version = version - 3;
    const again = await site.putRoutes(this.sentRoutes);
    assert.equal(again.status, 200);
    site.version = version - 3;
    const other = await site.putRoutes([unsafeRoute]);
    assert.equal(other.status, 412);
    site.version = version;
  },
);

function applyBehaviour({ site }: PlatformWorld, behaviour: Behaviour): void {
  site.upstreams.forEach((upstream) => {
    upstream.behaviour = behaviour;
  });
}

async function countExecutions(
  world: PlatformWorld,
  kind: string,
  behaviour: string,
  status: number,
): Promise<number> {
  const { site } = world;
  applyBehaviour(world, behaviour as Behaviour);
  const id = createId();
  const [ip = ''] = site.ips;
  const options = kind === 'safe' ? {} : { method: 'POST', body: 'an order' };
  const answer = await site.call(ip, kind === 'safe' ? '/records/1' : '/orders/1', options, id);
  applyBehaviour(world, 'serve');
  assert.equal(
    answer.status,
    status,
    `${kind} request to upstreams that ${behaviour}: ${answer.body}`,
  );
  await waitUntil('the upstreams get requests again', async () => {
    const after = await site.call(ip, kind === 'safe' ? '/records/2' : '/orders/2', options);
    return after.status === 200;
  });
  const arrivals = site.upstreams.flatMap((upstream) => upstream.receivedRequests);
  return arrivals.filter((arrival) => arrival.id === id).length;
}

Then(
  /^an? (safe|unsafe) request to upstreams that "(\w+)" gets (\d+) and runs (at most twice|once|never)$/,
  { timeout: 20_000 },
  async function (
    this: PlatformWorld,
    kind: string,
    behaviour: string,
    status: string,
    count: string,
  ) {
    const ran = await countExecutions(this, kind, behaviour, Number(status));
    if (count === 'at most twice') assert.ok(ran >= 1 && ran <= 2, `ran ${ran} times`);
    else assert.equal(ran, count === 'once' ? 1 : 0);
  },
);

Then(
  'a response that ends by closing its connection is forwarded with its length',
  async function (this: PlatformWorld) {
    applyBehaviour(this, 'unframed');
    const { status, headers, body } = await this.site.call(this.site.ips[0] ?? '', '/records/1');
    assert.equal(status, 200);
    assert.equal(body, 'half of an answ');
    assert.equal(headers['content-length'], String(body.length));
    assert.equal(headers['transfer-encoding'], undefined);
  },
);

// Guards against requests that were passed on behind such a response and get none, as it closes their connection.
Then(
  '{int} requests that are sent ahead on one connection to such upstreams each get their response',
  async function (this: PlatformWorld, count: number) {
    const socket = connect(PORTS.front, this.site.ips[0] ?? '');
    const request = (): string =>
      ['GET /records/1 HTTP/1.1', 'Host: site.example', `X-Attempt-Id: ${createId()}`, '', ''].join(
        '\r\n',
      );
    socket.write(Array.from({ length: count }, request).join(''));
    let received = '';
    const countAnswers = (): number => received.split('half of an answ').length - 1;
    socket.on('data', (chunk: Buffer) => {
      received += chunk.toString('latin1');
    });
    const hasEnded = (): boolean => countAnswers() === count || socket.readableEnded;
    await waitUntil('the responses have come or the connection has ended', hasEnded);
    socket.destroy();
    assert.equal(countAnswers(), count);
  },
);

Then(
  'requests to upstreams that send an extra response each get their own response',
  { timeout: 20_000 },
  async function (this: PlatformWorld) {
    const { site } = this;
    applyBehaviour(this, 'stray');
    const ids = Array.from({ length: 60 }, createId);
    const answers = await ids.reduce<Promise<readonly HttpResponse[]>>(
      async (before, id, index) => {
        const done = await before;
        const ip = site.ips[index % site.ips.length] ?? '';
        return [...done, await site.call(ip, '/records/1', {}, id)];
      },
      Promise.resolve([]),
    );
    answers.forEach(({ status, headers, body }, index) => {
      assert.equal(status, 200);
      assert.equal(headers['x-server-seal'], `seal-${ids[index]}`);
      assert.match(body, /^served by/);
    });
  },
);

When(
  'a caller requests a 24 MB response on its last request and reads nothing for {int} ms',
  { timeout: 20_000 },
  async function (this: PlatformWorld, pause: number) {
    const { site } = this;
    applyBehaviour(this, 'large');
    const socket = connect(PORTS.front, site.ips[0] ?? '');
    socket.write(
      `GET /records/1 HTTP/1.1\r\nHost: site.example\r\nConnection: close\r\n` +
        `X-Attempt-Id: ${createId()}\r\nX-Deadline-Ms: 10000\r\n\r\n`,
    );
    socket.pause();
    await sleep(pause);
    this.receivedBytes = 0;
    socket.on('data', (chunk: Buffer) => {
      this.receivedBytes += chunk.length;
    });
    await once(socket.resume(), 'close');
  },
);

When(
  'a caller requests a 24 MB response that names no length, and its gateway is killed while it reads nothing',
  { timeout: 20_000 },
  async function (this: PlatformWorld) {
    const { site } = this;
    applyBehaviour(this, 'largeUnframed');
    const socket = connect(PORTS.front, site.ips[0] ?? '');
    const chunks: Buffer[] = [];
    socket.on('error', () => undefined);
    socket.write(
      `GET /records/1 HTTP/1.1\r\nHost: site.example\r\n` +
        `X-Attempt-Id: ${createId()}\r\nX-Deadline-Ms: 10000\r\n\r\n`,
    );
    socket.pause();
    await sleep(1000);
    await site.endProcess('gateway-1', 'SIGKILL');
    socket.on('data', (chunk: Buffer) => {
      chunks.push(chunk);
    });
    await once(socket.resume(), 'close');
    this.received = Buffer.concat(chunks);
  },
);

// Guards against a response whose cut by the end of its gateway looks like its proper end.
Then('it sees that the response is cut', function (this: PlatformWorld) {
  const bodyAt = this.received.indexOf('\r\n\r\n') + 4;
  const head = this.received.toString('latin1', 0, bodyAt);
  assert.match(head, /^HTTP\/1\.1 200 /);
  const length = Number(/\r\ncontent-length: (\d+)\r\n/i.exec(head)?.[1]);
  assert.equal(length, LARGE_BYTES);
  assert.ok(this.received.length - bodyAt < length);
});

Then('it receives all 24 MB', function (this: PlatformWorld) {
  assert.ok(this.receivedBytes > LARGE_BYTES, `got ${this.receivedBytes} bytes`);
});

async function countArrivals(
  { site }: PlatformWorld,
  upstreams: readonly Upstream[],
): Promise<number> {
  const since = performance.now();
  await Promise.all(
    Array.from({ length: 60 }, (_, index) =>
      site.call(site.ips[index % site.ips.length] ?? '', `/records/${index}`),
    ),
  );
  return upstreams
    .flatMap(({ receivedRequests }) => receivedRequests)
    .filter(({ receivedAt }) => receivedAt >= since).length;
}

When('an upstream announces that it is draining', async function (this: PlatformWorld) {
  const found = this.site.upstreams.find(({ service }) => service === 'records');
  assert.ok(found);
  this.drainedUpstream = found;
  found.state = 'draining';
  await waitUntil('the drain is acknowledged', () => found.sendHeartbeat(this.site.shuffleIps()));
  this.acknowledgedAt = performance.now();
});

Then(
  'from {int} ms after the acknowledgement it gets no request',
  async function (this: PlatformWorld, time: number) {
    await sleep(time - (performance.now() - this.acknowledgedAt));
    assert.equal(await countArrivals(this, [this.drainedUpstream]), 0);
  },
);

/** Sends a request through the first gateway and waits a moment, so that requests come at a steady rate. */
async function sendToFirstGateway({ site }: PlatformWorld): Promise<void> {
  const [ip = ''] = site.ips;
  await site.call(ip, '/records/1');
  await sleep(5);
}

When(
  'an upstream answers one gateway that it will {string}',
  async function (this: PlatformWorld, behaviour: string) {
    const found = this.site.upstreams.find(({ service }) => service === 'records');
    assert.ok(found);
    this.drainedUpstream = found;
    found.behaviour = behaviour as Behaviour;
    const before = found.receivedRequests.length;
    await waitUntil('the upstream gets a request', async () => {
      await sendToFirstGateway(this);
      return found.receivedRequests.length > before;
    });
    this.acknowledgedAt = performance.now();
  },
);

Then(
  /^from (\d+) ms to (\d+) ms later it gets at most (\d+) requests from that gateway, and later (some again|none)$/,
  async function (this: PlatformWorld, from: string, to: string, most: string, later: string) {
    const { drainedUpstream: found, acknowledgedAt } = this;
    const end = acknowledgedAt + Number(to);
    while (performance.now() < end) await sendToFirstGateway(this);
    const arrivals = found.receivedRequests.filter(
      ({ receivedAt }) => receivedAt > acknowledgedAt + Number(from),
    );
    assert.ok(arrivals.length <= Number(most), `${arrivals.length} requests`);
    if (later === 'none') return;
    found.behaviour = 'serve';
    await waitUntil('the upstream gets requests again', async () => {
      await sendToFirstGateway(this);
      return found.receivedRequests.length > arrivals.length + 2;
    });
  },
);

function listZone({ site, evacuatedZone }: PlatformWorld): readonly Upstream[] {
  return site.upstreams.filter(({ zone }) => zone === evacuatedZone);
}

When('zone {string} is evacuated', async function (this: PlatformWorld, zone: string) {
  const answer = await this.site.sendOrder({ method: 'POST', path: `/-/Evacuation.Start/${zone}` });
  assert.equal(answer.status, 200);
  this.acknowledgedAt = performance.now();
  this.evacuatedZone = zone;
});

Then(
  'from {int} ms after the acknowledgement its upstreams get no request',
  async function (this: PlatformWorld, time: number) {
    await sleep(time - (performance.now() - this.acknowledgedAt));
    assert.equal(await countArrivals(this, listZone(this)), 0);
  },
);

When('the evacuation of zone {string} ends', async function (this: PlatformWorld, zone: string) {
  const answer = await this.site.sendOrder({ method: 'POST', path: `/-/Evacuation.End/${zone}` });
  assert.equal(answer.status, 200);
});

Then('its upstreams get requests again', { timeout: 20_000 }, async function (this: PlatformWorld) {
  await waitUntil(
    'requests reach the zone',
    async () => (await countArrivals(this, listZone(this))) > 0,
  );
});

When(
  'callers keep sending requests while every gateway is restarted in turn',
  { timeout: 90_000 },
  async function (this: PlatformWorld) {
    const { site } = this;
    this.answers = [];
    this.failures = [];
    let isOver = false;
    const call = async (zone: string): Promise<void> => {
      while (!isOver) {
        const addresses = await site.resolve(zone);
        const chosen = addresses[Math.floor(Math.random() * addresses.length)];
        if (chosen === undefined) {
          await sleep(20);
          continue;
        }
        const [ip = ''] = chosen.split(':');
        await site.call(ip, '/records/5').then(
          (answer) => this.answers.push(answer),
          (error: unknown) => this.failures.push(String(error)),
        );
        await sleep(10);
      }
    };
    const callers = site.zones.map(call);
    await site.ips.reduce(async (before, ip, index) => {
      await before;
      await site.endProcess(`gateway-${index + 1}`, 'SIGTERM');
      await site.restartProcess(`gateway-${index + 1}`, false);
      await waitUntil('the gateway is ready again', () => site.isReady(ip));
      await sleep(500);
    }, Promise.resolve());
    isOver = true;
    await Promise.all(callers);
  },
);

When(
  'every gateway and steward is killed at once and started again, and callers send as soon as they can connect',
  { timeout: 40_000 },
  async function (this: PlatformWorld) {
    const { site } = this;
    const names = [...site.processes.keys()];
    await Promise.all(names.map((name) => site.endProcess(name, 'SIGKILL')));
    await Promise.all(names.map((name) => site.restartProcess(name, false)));
    this.answers = [];
    const options = {
      headers: { 'X-Deadline-Ms': String(PATIENT_CALLER_MS) },
      timeout: PATIENT_CALLER_MS,
    };
    const callUntilServed = async (ip: string): Promise<void> => {
      await waitUntil('the gateway accepts connections', async () => {
        const probe = await site.call(ip, '/records/5', options).catch(() => undefined);
        if (probe !== undefined) this.answers.push(probe);
        return probe !== undefined;
      });
      const calls = Array.from({ length: 10 }, async (_, index) => {
        await sleep(index * 30);
        this.answers.push(await site.call(ip, '/records/5', options));
      });
      await Promise.all(calls);
    };
    await Promise.all(site.ips.map(callUntilServed));
  },
);

Then(
  'every request of the first 300 ms after each gateway accepted connections got status 200',
  function (this: PlatformWorld) {
    assert.equal(this.answers.length, 33);
    assert.deepEqual(
      this.answers.filter(({ status }) => status !== 200).map(({ status, body }) => [status, body]),
      [],
    );
  },
);

When(
  'the upstreams of {string} announce a slow start of {int} ms, and stop announcing one later',
  { timeout: 20_000 },
  async function (this: PlatformWorld, service: string, time: number) {
    const upstreams = this.site.upstreams.filter((upstream) => upstream.service === service);
    const setColdLeft = async (coldLeft: string): Promise<void> => {
      const acknowledged = upstreams.map(({ acknowledgedHeartbeats }) => acknowledgedHeartbeats);
      upstreams.forEach((upstream) => {
        upstream.coldLeft = coldLeft;
      });
      await waitUntil('the slow start is announced', () =>
        Promise.resolve(
          upstreams.every(
            (upstream, index) => upstream.acknowledgedHeartbeats > (acknowledged[index] ?? 0) + 1,
          ),
        ),
      );
    };
    await setColdLeft(`${time}ms`);
    await setColdLeft('0ms');
  },
);

Then(
  '{int} requests for {string} in one second are all served, {int} ms later',
  { timeout: 20_000 },
  async function (this: PlatformWorld, count: number, service: string, delay: number) {
    await sleep(delay);
    const { site } = this;
    const statuses = await Promise.all(
      Array.from({ length: count }, async (_, index) => {
        await sleep((index * 1000) / count);
        const answer = await site.call(site.ips[index % 3] ?? '', `/${service}/5`);
        return answer.status;
      }),
    );
    assert.deepEqual(
      statuses.filter((status) => status !== 200),
      [],
    );
  },
);

Then('every request of those callers got a complete response', function (this: PlatformWorld) {
  assert.deepEqual(this.failures, []);
  assert.ok(this.answers.length > 300, `${this.answers.length} answers`);
  const bad = this.answers.filter(({ status }) => status !== 200);
  assert.deepEqual(bad, []);
});

Then(
  'the gateways count the calls that they served, and one steward is leader',
  async function (this: PlatformWorld) {
    const { ips } = this.site;
    const calls = await Promise.all(
      ips.map((ip) => readMetric(ip, PORTS.gatewayMetrics, 'chivewalk_calls_total')),
    );
    assert.ok(
      calls.every((count) => count >= 2),
      calls.join(),
    );
    const leaderCounts = await Promise.all(
      ips.map((ip) => readMetric(ip, PORTS.stewardMetrics, 'chivewalk_steward_leader')),
    );
    assert.equal(
      leaderCounts.reduce((sum, count) => sum + count, 0),
      1,
    );
  },
);

async function findLeader({ site }: PlatformWorld): Promise<string> {
  let leader: string | undefined;
  await waitUntil('a steward is leader', async () => {
    const answers = await Promise.all(
      site.ips.map((ip) =>
        site.sendOrder({ path: '/-/Config.Get' }).then((answer) => [ip, answer] as const),
      ),
    );
    const lines = [...site.processes].flatMap(([name, { role, output }]) =>
      role === 'steward'
        ? [[name, output.split('\n').findLast((line) => line.includes('"role":"leader"'))] as const]
        : [],
    );
    const latest = lines
      .filter(([, line]) => line !== undefined)
      .sort(([, one = ''], [, two = '']) => (one < two ? -1 : 1))
      .at(-1);
    leader = latest?.[0];
    return answers.length > 0 && leader !== undefined;
  });
  return leader ?? '';
}

When(
  'the leading steward is killed and loses its disk',
  { timeout: 30_000 },
  async function (this: PlatformWorld & { killed: string }) {
    this.killed = await findLeader(this);
    await this.site.endProcess(this.killed, 'SIGKILL');
  },
);

Given(
  "the platform's site of which VM {int} has no disk",
  async function (this: PlatformWorld, vm: number) {
    this.site = await Site.start([vm - 1]);
  },
);

When(
  'the routes are sent to any of the stewards',
  { timeout: 30_000 },
  async function (this: PlatformWorld) {
    this.sentRoutes = [safeRoute, unsafeRoute];
    const answer = await this.site.putRoutes(this.sentRoutes);
    assert.equal(answer.status, 200, answer.body);
  },
);

Then(
  'the group has the {int} stewards with a disk, and the third one redirects each call to their leader',
  { timeout: 20_000 },
  async function (this: PlatformWorld, members: number) {
    const { ips } = this.site;
    const voters = await readMetric(ips[0] ?? '', PORTS.stewardMetrics, 'chivewalk_steward_voters');
    assert.equal(voters, members);
    const calls = [
      { path: '/-/Config.Get' },
      { path: '/-/Evacuation.Start/nowhere', method: 'POST' },
      { path: '/-/Instances.Leave/nobody', method: 'POST' },
    ];
    await waitUntil('the third steward knows the leader', async () => {
      const answers = await Promise.all(
        calls.map((call) => sendHttpRequest(ips[2] ?? '', PORTS.control, call)),
      );
      return answers.every(({ status }) => status === 307);
    });
  },
);

Then('its process never ended', function (this: PlatformWorld) {
  assert.equal(this.site.processes.get('steward-3')?.child.exitCode, null);
});

/** Sends the parts of requests at the given milliseconds after `since` and returns all that is received. */
async function sendParts(
  ip: string,
  since: number,
  parts: readonly (readonly [at: number, text: string])[],
): Promise<string> {
  const wait = (at: number): Promise<void> => sleep(Math.max(0, since + at - performance.now()));
  await wait(parts[0]?.[0] ?? 0);
  const socket = connect(PORTS.front, ip);
  let received = '';
  socket.on('data', (chunk: Buffer) => {
    received += chunk.toString();
  });
  socket.on('error', () => socket.destroy());
  const closed = once(socket, 'close');
  await parts.reduce<Promise<void>>(async (before, [at, text]) => {
    await before;
    await wait(at);
    socket.write(text);
  }, Promise.resolve());
  await closed;
  return received;
}

function renderRequest(firstLine: string, more = ''): string {
  const ids = `X-Attempt-Id: ${createId()}\r\nX-Deadline-Ms: 5000\r\n`;
  return `${firstLine} HTTP/1.1\r\nHost: site.example\r\n${ids}${more}\r\n`;
}

When(
  'a gateway gets SIGTERM while it is sent half an upload, half a pipelined request, and a late connection',
  { timeout: 20_000 },
  async function (this: PlatformWorld) {
    const { site } = this;
    const ip = site.ips[0] ?? '';
    const child = site.processes.get('gateway-1')?.child;
    assert.ok(child);
    const get = renderRequest('GET /records/1');
    const upload = renderRequest('POST /orders/1', 'Content-Length: 20\r\n');
    // The gateway takes connections until 1,800 ms after the signal, and ends requests until 2,760 ms. A request whose
    // head is complete after 1,960 ms, less than the route's timeout before that, is refused.
    const signalAt = 300;
    const since = performance.now();
    const exited = once(child, 'exit');
    const sent = [
      sendParts(ip, since, [
        [signalAt + 1650, `${upload}0123456789`],
        [signalAt + 2100, '0123456789'],
      ]),
      sendParts(ip, since, [
        [200, get + get.slice(0, 30)],
        [signalAt + 1900, get.slice(30)],
      ]),
      sendParts(ip, since, [
        [signalAt + 1700, ''],
        [signalAt + 1900, get],
      ]),
    ];
    await sleep(signalAt);
    child.kill('SIGTERM');
    const received = await Promise.all(sent);
    this.failures = received.map((text) =>
      (text.match(/HTTP\/1\.1 200 OK/g) ?? []).length.toString(),
    );
    await exited;
    this.elapsed = performance.now() - since - signalAt;
  },
);

When(
  'a gateway gets SIGTERM, and requests that take 550 ms are complete 310 ms before it cuts requests off',
  { timeout: 20_000 },
  async function (this: PlatformWorld) {
    const { site } = this;
    const ip = site.ips[0] ?? '';
    const child = site.processes.get('gateway-1')?.child;
    assert.ok(child);
    applyBehaviour(this, 'slow');
    const warmUps = [1, 2, 3, 4, 5].flatMap((index) => [
      site.call(ip, `/records/${index}`),
      site.call(ip, `/orders/${index}`, { method: 'POST', body: 'x' }),
    ]);
    await Promise.all(warmUps);
    site.upstreams.forEach(({ receivedRequests }) => receivedRequests.splice(0));
    // The gateway takes connections until 1,800 ms after the signal, and ends requests after 2,760 ms.
    const since = performance.now();
    const exited = once(child, 'exit');
    const sent = [renderRequest('GET /records/1'), renderRequest('POST /orders/1')].map((text) =>
      sendParts(ip, since, [
        [1700, text.slice(0, 30)],
        [2450, text.slice(30)],
      ]),
    );
    child.kill('SIGTERM');
    this.failures = await Promise.all(sent);
    await exited;
  },
);

Then('each of them is answered with 503 and no upstream ran it', function (this: PlatformWorld) {
  const statuses = this.failures.map((text) => text.slice(0, 12));
  assert.deepEqual(statuses, ['HTTP/1.1 503', 'HTTP/1.1 503']);
  const ran = this.site.upstreams.flatMap(({ receivedRequests }) => receivedRequests);
  assert.deepEqual(ran, []);
});

Then(
  'each of these requests got a complete response, and the gateway ended in time',
  function (this: PlatformWorld) {
    assert.deepEqual(this.failures, ['1', '2', '1']);
    assert.ok(this.elapsed < 3000, `${Math.round(this.elapsed)} ms`);
  },
);

interface DiskWorld extends PlatformWorld {
  full: string;
}

/** Limits the size to which a running process may let files grow; it refuses writes beyond it. */
async function applyFileSizeLimit(pid: number | undefined, limit: string): Promise<void> {
  await runFile('prlimit', ['--pid', String(pid), `--fsize=${limit}:`]);
}

When(
  'the disk of the leading steward refuses writes, and the routes are changed',
  { timeout: 40_000 },
  async function (this: DiskWorld) {
    this.full = await findLeader(this);
    await applyFileSizeLimit(this.site.processes.get(this.full)?.child.pid, '64');
    this.sentRoutes = [{ ...safeRoute, timeout: '900ms' }, unsafeRoute];
    const answer = await this.site.putRoutes(this.sentRoutes);
    assert.equal(answer.status, 200, answer.body);
  },
);

Then(
  "the change is acknowledged, and the steward's process still answers calls",
  { timeout: 20_000 },
  async function (this: DiskWorld) {
    // Longer than the process needs to end itself.
    await sleep(2000);
    const running = this.site.processes.get(this.full);
    assert.ok(running);
    assert.match(running.output, /the disk of this member failed/);
    assert.equal(running.child.exitCode, null);
    const answer = await sendHttpRequest(running.ip, PORTS.control, { path: '/-/Config.Get' });
    assert.ok([307, 503].includes(answer.status), `status ${answer.status}`);
  },
);

/** Milliseconds from when a disk takes writes again until the next one refuses them, in turn. */
const DISK_GAPS = [50, 1500, 400, 2600, 50, 800];
const CHANGE_INTERVAL = 200;

/** Changes the routes at an interval until `isDone`; a change that isn't acknowledged in time is sent again. */
async function sendRouteChanges(world: PlatformWorld, isDone: () => boolean): Promise<void> {
  for (let number = 1; !isDone(); number += 1) {
    const routes = [{ ...safeRoute, timeout: `${800 + (number % 90)}ms` }, unsafeRoute];
    const answer = await world.site.putRoutes(routes);
    assert.equal(answer.status, 200, answer.body);
    world.sentRoutes = routes;
    await sleep(CHANGE_INTERVAL);
  }
}

When(
  'the disks of all stewards refuse writes in turn for {int} ms, twice round, while routes are changed every 200 ms',
  { timeout: 90_000 },
  async function (this: PlatformWorld, duration: number) {
    let isDone = false;
    const changing = sendRouteChanges(this, () => isDone);
    const turns = ['steward-1', 'steward-2', 'steward-3', 'steward-3', 'steward-2', 'steward-1'];
    for (const [at, name] of turns.entries()) {
      const pid = this.site.processes.get(name)?.child.pid;
      await applyFileSizeLimit(pid, '64');
      await sleep(duration);
      await applyFileSizeLimit(pid, 'unlimited');
      await sleep(DISK_GAPS[at] ?? 0);
    }
    isDone = true;
    await changing;
  },
);

Then(
  'within {int} ms a change is acknowledged, and within {int} ms every steward follows the group with it',
  { timeout: 40_000 },
  async function (this: PlatformWorld, changeTime: number, followTime: number) {
    const start = performance.now();
    this.sentRoutes = [{ ...safeRoute, timeout: '950ms' }, unsafeRoute];
    const answer = await this.site.putRoutes(this.sentRoutes);
    assert.equal(answer.status, 200, answer.body);
    const elapsed = performance.now() - start;
    assert.ok(elapsed < changeTime, `the change took ${Math.round(elapsed)} ms`);
    await waitUntil(
      'every steward holds the change and counts 3 voters',
      async () => {
        const versions = await Promise.all(
          this.site.ips.map((ip) =>
            readMetric(ip, PORTS.stewardMetrics, 'chivewalk_steward_routes_version'),
          ),
        );
        const { version } = this.site;
        return versions.every((held) => held === version) && (await this.site.hasVoters(3));
      },
      followTime,
    );
  },
);

Then("no steward's process ended, and none reported damage", function (this: PlatformWorld) {
  const stewards = [...this.site.processes.values()].filter(({ role }) => role === 'steward');
  stewards.forEach(({ child, output }) => {
    assert.equal(child.exitCode, null);
    assert.match(output, /the data folder was opened anew/);
    assert.doesNotMatch(output, /a synced record is damaged/);
  });
});

When('its disk takes writes again', async function (this: DiskWorld) {
  await applyFileSizeLimit(this.site.processes.get(this.full)?.child.pid, 'unlimited');
});

Then(
  'within {int} ms the same process follows the group with the changed routes',
  { timeout: 30_000 },
  async function (this: DiskWorld, time: number) {
    const running = this.site.processes.get(this.full);
    assert.ok(running);
    await waitUntil(
      'the steward holds the changed routes as a member that votes',
      async () => {
        const version = await readMetric(
          running.ip,
          PORTS.stewardMetrics,
          'chivewalk_steward_routes_version',
        );
        const voters = await readMetric(
          running.ip,
          PORTS.stewardMetrics,
          'chivewalk_steward_voters',
        );
        return version === this.site.version && voters === 3;
      },
      time,
    );
    assert.equal(running.child.exitCode, null);
  },
);

When('it is started again', async function (this: PlatformWorld & { killed: string }) {
  await this.site.restartProcess(this.killed, true);
});

Then(
  'the group has {int} voters again',
  { timeout: 40_000 },
  async function (this: PlatformWorld & { killed: string }, voters: number) {
    await waitUntil(
      'the steward votes again',
      () => {
        const { output } = this.site.processes.get(this.killed) ?? { output: '' };
        const line = output.split('\n').findLast((found) => found.includes('control role changed'));
        if (line === undefined) return false;
        const { members, role } = JSON.parse(line) as { members: readonly string[]; role: string };
        return role === 'follower' && members.length === voters;
      },
      20_000,
    );
  },
);

When(
  'all stewards are killed at once and started again',
  { timeout: 40_000 },
  async function (this: PlatformWorld) {
    const names = [1, 2, 3].map((number) => `steward-${number}`);
    await Promise.all(names.map((name) => this.site.endProcess(name, 'SIGKILL')));
    await Promise.all(names.map((name) => this.site.restartProcess(name, false)));
  },
);
