/** Stewards that are replaced by others at new addresses, beside gateways that stand still meanwhile. */
import { Given, Then, When, type World } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { safeRoute, serveTwoServices, unsafeRoute } from './services.js';
import { createId, PORTS, readMetric, Site, waitUntil, type GroupVoters } from './site.js';

interface AnsweredCall {
  /** Milliseconds from the beginning of what the scenario observes until the call was sent. */
  readonly sentAt: number;
  readonly ip: string;
  readonly path: string;
  /** 0 if the connection was lost or refused, or no answer came. */
  readonly status: number;
}

interface ReplacingWorld extends World {
  site: Site;
  /** The name of the gateway that is paused or starts late. */
  observed: string;
  /** The names of the stewards that should run now, the longest running first. */
  stewards: string[];
  /** The route prefixes of the configuration that was acknowledged last, besides those of the services. */
  prefixes: readonly string[];
  /** The prefixes that an acknowledged change removed. */
  removedPrefixes: readonly string[];
  calls: AnsweredCall[];
  since: number;
  backAt: number;
}

/** Milliseconds in which a replacement catches up; the platform's `catch_up` bound. */
const CATCH_UP_TIME = 4000;
/** Milliseconds until a change is acknowledged; the platform's `ack` bound, and time to send it again once. */
const ACK_TIME = 5000;
/** Milliseconds between the calls to each gateway. */
const CALL_INTERVAL = 50;
/** Milliseconds before the end of a pause from which on callers send requests. */
const EARLY_CALL_TIME = 200;

function createRoute(prefix: string): Readonly<Record<string, unknown>> {
  return { ...safeRoute, name: `r-${prefix.replaceAll('/', '')}`, path_prefix: prefix };
}

/** Replaces the configuration and returns the milliseconds until it was acknowledged. */
async function sendRoutes(world: ReplacingWorld, prefixes: readonly string[]): Promise<number> {
  const since = performance.now();
  const routes = [safeRoute, unsafeRoute, ...prefixes.map(createRoute)];
  const answer = await world.site.putRoutes(routes);
  assert.equal(answer.status, 200, answer.body);
  const removed = world.prefixes.filter((prefix) => !prefixes.includes(prefix));
  world.removedPrefixes = [...world.removedPrefixes, ...removed];
  world.prefixes = prefixes;
  return performance.now() - since;
}

/** Calls a gateway; 404 and 503 from it are answers like others. */
async function requestStatus(
  { site }: ReplacingWorld,
  ip: string,
  path: string,
  id?: string,
): Promise<number> {
  const answer = await site.call(ip, path, {}, id).catch(() => undefined);
  return answer?.status ?? 0;
}

/** Calls the paths at the gateways in turn until the time, by `performance.now()`, and records the answers. */
async function sendUntil(
  world: ReplacingWorld,
  ips: readonly string[],
  paths: readonly string[],
  end: () => number,
): Promise<void> {
  const sent: Promise<void>[] = [];
  const call = async (ip: string, path: string): Promise<void> => {
    const sentAt = performance.now() - world.since;
    const status = await requestStatus(world, ip, path);
    world.calls.push({ sentAt, ip, path, status });
  };
  while (performance.now() < end()) {
    sent.push(...ips.flatMap((ip) => paths.map((path) => call(ip, path))));
    await sleep(CALL_INTERVAL);
  }
  await Promise.all(sent);
}

/** Returns the newest membership that at least two of the stewards have on their disks. */
async function findVoters({ site, stewards }: ReplacingWorld): Promise<GroupVoters | undefined> {
  const found = await Promise.all(stewards.map((name) => site.readVoters(name)));
  return found
    .filter((voters) => voters !== undefined)
    .sort((one, two) => two.index - one.index)
    .find(({ index }, _, all) => all.filter((other) => other.index === index).length > 1);
}

/** Waits until the stewards that should run are the group's only voters. */
async function waitForVoters(world: ReplacingWorld, limit: number): Promise<number> {
  const since = performance.now();
  const expected = world.stewards.map((name) => world.site.getProcess(name).ip).sort();
  let seen = '';
  const waiting = waitUntil(
    'the stewards that run are the only voters',
    async () => {
      const voters = await findVoters(world);
      seen = voters?.ips.join() ?? 'unknown';
      return seen === expected.join();
    },
    limit,
  );
  await waiting.catch((error: unknown) => {
    throw new Error(`${String(error)}: ${expected.join()}, but ${seen} vote after ${limit} ms`);
  });
  return performance.now() - since;
}

async function findLeadingSteward({ site, stewards }: ReplacingWorld): Promise<string> {
  let leader: string | undefined;
  await waitUntil('a steward leads', async () => {
    const leads = await Promise.all(
      stewards.map((name) =>
        readMetric(site.getProcess(name).ip, PORTS.stewardMetrics, 'chivewalk_steward_leader'),
      ),
    );
    leader = stewards[leads.indexOf(1)];
    return leader !== undefined;
  });
  return leader ?? '';
}

/** Starts a steward with an empty folder that takes the place of another one in the operators' list. */
async function startReplacement(world: ReplacingWorld, replaced: string): Promise<string> {
  const { site } = world;
  const name = await site.addSteward();
  const { ip } = site.getProcess(replaced);
  const others = site.controlIps.filter((known) => known !== ip);
  site.controlIps = [...others, site.getProcess(name).ip];
  return name;
}

/** Kills a steward and starts its replacement after the milliseconds. */
async function replaceKilled(world: ReplacingWorld, killed: string, delay: number): Promise<void> {
  world.stewards = world.stewards.filter((name) => name !== killed);
  await world.site.endProcess(killed, 'SIGKILL');
  await sleep(delay);
  world.stewards = [...world.stewards, await startReplacement(world, killed)];
}

function applyPause({ site, observed }: ReplacingWorld): void {
  site.getProcess(observed).child.kill('SIGSTOP');
}

/** Returns which gateways lack a route of the configuration, or still have one that was removed. */
async function listGatewaysBehind(world: ReplacingWorld): Promise<readonly string[]> {
  const { site, prefixes, removedPrefixes } = world;
  const expected = [
    ...prefixes.map((prefix) => [prefix, 200] as const),
    ...removedPrefixes.map((prefix) => [prefix, 404] as const),
  ];
  const answers = await Promise.all(
    site.gatewayIps.flatMap((ip) =>
      expected.map(async ([prefix, status]) => {
        const found = await requestStatus(world, ip, `${prefix}1`);
        return found === status ? [] : [`${ip} ${prefix} ${found}`];
      }),
    ),
  );
  return answers.flat();
}

async function waitForRoutes(world: ReplacingWorld, limit: number): Promise<void> {
  const since = performance.now();
  let behind: readonly string[] = [];
  const waiting = waitUntil(
    'every gateway has the routes',
    async () => {
      behind = await listGatewaysBehind(world);
      return behind.length === 0;
    },
    limit,
  );
  await waiting.catch((error: unknown) => {
    throw new Error(`${String(error)}; after ${limit} ms: ${behind.join(', ')}`);
  });
  world.log(`in force everywhere after ${Math.round(performance.now() - since)} ms`);
}

Given(
  'a site of three stewards and four gateways',
  { timeout: 60_000 },
  async function (this: ReplacingWorld) {
    this.site = await Site.start();
    this.stewards = ['steward-1', 'steward-2', 'steward-3'];
    this.prefixes = [];
    this.removedPrefixes = [];
    this.calls = [];
    const { site } = this;
    await serveTwoServices(site, [safeRoute, unsafeRoute]);
    this.observed = await site.addGateway();
    await sendRoutes(this, ['/first/']);
    await waitForRoutes(this, 15_000);
    await waitUntil('the directory names all gateways', async () => {
      const known = await Promise.all(site.gatewayIps.map(() => site.resolve('nowhere')));
      return known.every((addresses) => addresses.length === site.gatewayIps.length);
    });
  },
);

When(
  'a gateway is paused while each steward is replaced {int} ms after it was killed, and routes change',
  { timeout: 60_000 },
  async function (this: ReplacingWorld, delay: number) {
    applyPause(this);
    for (const name of [...this.stewards]) {
      await replaceKilled(this, name, delay);
      const time = await waitForVoters(this, CATCH_UP_TIME);
      this.log(`${name} replaced ${Math.round(time)} ms after its replacement started`);
    }
    await sendRoutes(this, ['/second/']);
  },
);

When(
  'the gateway runs on for {int} ms while callers use the changed routes',
  { timeout: 20_000 },
  async function (this: ReplacingWorld, time: number) {
    const { child, ip } = this.site.getProcess(this.observed);
    this.calls = [];
    this.since = performance.now();
    const end = this.since + EARLY_CALL_TIME + time;
    const calling = sendUntil(this, [ip], ['/first/1', '/second/1'], () => end);
    await sleep(EARLY_CALL_TIME);
    child.kill('SIGCONT');
    await calling;
    const old = listOldAnswers(this);
    const last = Math.round((old.at(-1)?.sentAt ?? 0) - EARLY_CALL_TIME);
    this.log(
      `${old.length} of ${this.calls.length} answers by old routes, the last to a call ${last} ms after the pause; ` +
        JSON.stringify(countStatuses(this.calls)),
    );
  },
);

When(
  'the gateway runs on for {int} ms',
  { timeout: 20_000 },
  async function (this: ReplacingWorld, time: number) {
    this.site.getProcess(this.observed).child.kill('SIGCONT');
    await sleep(time);
  },
);

Then(
  'within {int} ms after an acknowledged change every gateway has the new routes and none of the old ones',
  { timeout: 30_000 },
  async function (this: ReplacingWorld, limit: number) {
    await sendRoutes(this, ['/third/']);
    await waitForRoutes(this, limit);
  },
);

/** Returns the answers by a route that was removed, or without one that was added. */
function listOldAnswers({ calls }: ReplacingWorld): readonly AnsweredCall[] {
  return calls.filter(({ path, status }) => status === (path.startsWith('/first/') ? 200 : 404));
}

Then(
  'the gateway that was paused answered no caller by routes of before its pause',
  function (this: ReplacingWorld) {
    assert.deepEqual(listOldAnswers(this), []);
  },
);

Then(
  'an upstream gets no request later than {int} ms after its drain was acknowledged',
  { timeout: 30_000 },
  async function (this: ReplacingWorld, limit: number) {
    const { site } = this;
    const drained = site.upstreams.find(({ service }) => service === 'records');
    assert.ok(drained);
    drained.state = 'draining';
    await waitUntil('the drain is acknowledged', () =>
      drained.sendHeartbeat([...site.controlIps].sort(() => Math.random() - 0.5)),
    );
    const acknowledgedAt = performance.now();
    const senders = new Map<string, string>();
    const callAll = (): Promise<unknown> =>
      Promise.all(
        site.gatewayIps.map((ip) => {
          const id = createId();
          senders.set(id, ip);
          return requestStatus(this, ip, '/records/1', id);
        }),
      );
    while (performance.now() - acknowledgedAt < limit + 2000) {
      await callAll();
      await sleep(10);
    }
    const late = drained.receivedRequests
      .filter(({ receivedAt }) => receivedAt - acknowledgedAt > limit)
      .map(({ id }) => senders.get(id) ?? '');
    const counts = site.gatewayIps.map((ip) => late.filter((sender) => sender === ip).length);
    const text = `late requests by gateway: ${counts.join()}`;
    this.log(text);
    assert.equal(late.length, 0, text);
  },
);

When(
  /^a gateway starts with seeds that are gone, and (\d+) ms later its settings name living ones, (with|without) SIGHUP$/,
  { timeout: 20_000 },
  async function (this: ReplacingWorld, delay: string, signal: string) {
    const { site } = this;
    const gone = [site.addVm(), site.addVm(), site.addVm()].map((index) => site.getIp(index));
    this.observed = await site.addGateway(gone);
    await sleep(Number(delay));
    await site.rewriteSettings(this.observed, site.controlIps);
    this.since = performance.now();
    if (signal === 'with') site.getProcess(this.observed).child.kill('SIGHUP');
  },
);

Then(
  'that gateway serves requests within {int} ms',
  { timeout: 20_000 },
  async function (this: ReplacingWorld, limit: number) {
    const { ip } = this.site.getProcess(this.observed);
    await waitUntil(
      'the gateway serves',
      async () => (await requestStatus(this, ip, '/records/1')) === 200,
      limit - (performance.now() - this.since),
    );
    this.log(`served after ${Math.round(performance.now() - this.since)} ms`);
  },
);

When(
  /^a steward is replaced: (a follower|the leader)( at its own address)?, (100 ms after it was killed|before it is stopped)$/,
  { timeout: 30_000 },
  async function (this: ReplacingWorld, which: string, atOwn: string | null, when: string) {
    const { site } = this;
    const leader = await findLeadingSteward(this);
    const follower = this.stewards.find((name) => name !== leader) ?? '';
    const replaced = which === 'the leader' ? leader : follower;
    if (when === 'before it is stopped') {
      const name = await startReplacement(this, replaced);
      await waitUntil('the new steward votes', async () => {
        const voters = await site.readVoters(name);
        return voters?.ips.includes(site.getProcess(name).ip) === true;
      });
      this.stewards = [...this.stewards.filter((found) => found !== replaced), name];
      this.since = performance.now();
      await site.endProcess(replaced, 'SIGTERM');
      return;
    }
    if (atOwn === null) {
      await replaceKilled(this, replaced, 100);
      this.since = performance.now();
      return;
    }
    await site.endProcess(replaced, 'SIGKILL');
    await sleep(100);
    await site.restartProcess(replaced, true);
    this.stewards = [...this.stewards.filter((name) => name !== replaced), replaced];
    this.since = performance.now();
  },
);

When(
  'another steward is killed {int} ms after the replacement',
  { timeout: 30_000 },
  async function (this: ReplacingWorld, delay: number) {
    await sleep(this.since + delay - performance.now());
    const voters = await findVoters(this);
    this.log(`voters before the loss: ${voters?.ips.join() ?? 'unknown'}`);
    const [killed = ''] = this.stewards;
    this.stewards = this.stewards.filter((name) => name !== killed);
    await this.site.endProcess(killed, 'SIGKILL');
  },
);

Then(
  'a change is acknowledged within {int} ms, and {int} ms later every gateway has the new routes and none of the old ones',
  { timeout: 40_000 },
  async function (this: ReplacingWorld, ackLimit: number, limit: number) {
    const kept = this.prefixes.filter((prefix) => prefix !== '/first/');
    const time = await sendRoutes(this, [...kept, '/last/']);
    this.log(`acknowledged after ${Math.round(time)} ms`);
    assert.ok(time <= ackLimit, `acknowledged after ${Math.round(time)} ms`);
    await waitForRoutes(this, limit);
  },
);

When(
  'a gateway is paused while each steward is replaced {int} ms after the one before, and a route is added each {int} ms',
  { timeout: 60_000 },
  async function (this: ReplacingWorld, delay: number, interval: number) {
    applyPause(this);
    let isDone = false;
    const times: number[] = [];
    const change = async (): Promise<void> => {
      while (!isDone) {
        times.push(await sendRoutes(this, [...this.prefixes, `/added-${times.length}/`]));
        await sleep(interval);
      }
    };
    const replace = async (): Promise<void> => {
      for (const [index, name] of [...this.stewards].entries()) {
        await replaceKilled(this, name, JOIN_DELAYS[index] ?? 0);
        const time = await waitForVoters(this, CATCH_UP_TIME);
        this.log(`${name} replaced ${Math.round(time)} ms after its replacement started`);
        await sleep(delay);
      }
    };
    const changing = change();
    // The failure of the replacements is told first, and the changes end in any case.
    changing.catch(() => undefined);
    await replace().finally(() => {
      isDone = true;
    });
    await changing;
    const slow = times.filter((time) => time > ACK_TIME);
    const longest = Math.round(Math.max(...times));
    this.log(`${times.length} changes, acknowledged within ${longest} ms`);
    assert.deepEqual(slow, []);
  },
);

/** Milliseconds from a loss until the replacement starts, in turn. */
const JOIN_DELAYS = [100, 1500, 500];

Then(
  'every gateway serves each route that was acknowledged',
  async function (this: ReplacingWorld) {
    assert.deepEqual(await listGatewaysBehind(this), []);
  },
);

Then(
  'the configuration that was acknowledged last is read back',
  { timeout: 20_000 },
  async function (this: ReplacingWorld) {
    const answer = await this.site.sendOrder({ path: '/-/Config.Get' });
    const read = JSON.parse(answer.body) as { version: number; hosts: unknown };
    const paths = [safeRoute, unsafeRoute, ...this.prefixes.map(createRoute)];
    assert.equal(read.version, this.site.version);
    assert.deepEqual(read.hosts, [{ host: 'site.example', paths }]);
  },
);

const UNROUTED_PATH = '/none/1';

When(
  'all stewards are gone for {int} ms while callers use every gateway',
  { timeout: 60_000 },
  async function (this: ReplacingWorld, time: number) {
    const { site, stewards } = this;
    await Promise.all(stewards.map((name) => site.endProcess(name, 'SIGKILL')));
    this.since = performance.now();
    this.backAt = time;
    const end = this.since + time + 2000;
    const paths = ['/records/1', '/first/1', UNROUTED_PATH];
    const calling = sendUntil(this, site.gatewayIps, paths, () => end);
    await sleep(time);
    await Promise.all(stewards.map((name) => site.restartProcess(name, false)));
    await calling;
    const routed = this.calls.filter(({ path }) => path !== UNROUTED_PATH);
    const unrouted = this.calls.filter(({ path }) => path === UNROUTED_PATH);
    this.log(`with a route ${JSON.stringify(countStatuses(routed))}`);
    this.log(`without a route ${JSON.stringify(countStatuses(unrouted))}`);
  },
);

/** Returns how often each status was the answer. */
function countStatuses(calls: readonly AnsweredCall[]): Readonly<Record<string, number>> {
  return calls.reduce<Record<string, number>>(
    (counts, { status }) => ({ ...counts, [status]: (counts[status] ?? 0) + 1 }),
    {},
  );
}

Then('every request with a route was served', function (this: ReplacingWorld) {
  const failed = this.calls.filter(({ path, status }) => path !== UNROUTED_PATH && status !== 200);
  assert.deepEqual(failed, []);
});

Then(
  'no request without a route got 404 later than {int} ms after the loss, but 503 until the stewards were back',
  function (this: ReplacingWorld, limit: number) {
    const unrouted = this.calls.filter(
      ({ path, sentAt }) => path === UNROUTED_PATH && sentAt > limit && sentAt < this.backAt,
    );
    assert.deepEqual(countStatuses(unrouted), { 503: unrouted.length });
  },
);

Then(
  'within {int} ms a request without a route gets 404 again at every gateway',
  { timeout: 30_000 },
  async function (this: ReplacingWorld, limit: number) {
    const elapsed = performance.now() - this.since - this.backAt;
    await waitUntil(
      'requests without a route get 404',
      async () => {
        const answers = await Promise.all(
          this.site.gatewayIps.map((ip) => requestStatus(this, ip, UNROUTED_PATH)),
        );
        return answers.every((status) => status === 404);
      },
      limit - elapsed,
    );
  },
);
