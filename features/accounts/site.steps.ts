import { After, Then, When, type DataTable } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { Agent, request as sendRequest } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { safeRoute, unsafeRoute } from '../platform/services.js';
import { createId, PORTS, readMetric, waitUntil, type Site } from '../platform/site.js';
import { parseAccounts } from './access.steps.js';

interface AccountSiteWorld {
  site: Site;
  tenants: readonly unknown[];
  agents: readonly Agent[];
  /** Milliseconds between the acknowledgement of the patch and each answer with 200 to the revoked key. */
  lateAnswers: readonly number[];
}

const MADE_UP = 'made-up';
/** Milliseconds for which the revoked key is used after the acknowledgement. */
const OBSERVED_TIME = 6500;
const PAUSE = 100;

When(
  "the site's accounts are {string}, and the orders route is public",
  async function (this: AccountSiteWorld, text: string) {
    this.tenants = parseAccounts(text)?.map(({ source }) => source) ?? [];
    const routes = [safeRoute, { ...unsafeRoute, public: true }];
    const answer = await this.site.putRoutes(routes, 15_000, { tenants: this.tenants });
    assert.equal(answer.status, 200, answer.body);
  },
);

async function readConfiguration({ site }: AccountSiteWorld): Promise<Record<string, unknown>> {
  const { body } = await site.readConfiguration(0);
  return JSON.parse(body) as Record<string, unknown>;
}

Then(
  "the site's configuration reads back with its accounts",
  async function (this: AccountSiteWorld) {
    const { tenants, hosts } = await readConfiguration(this);
    assert.deepEqual(tenants, this.tenants);
    const paths = [safeRoute, { ...unsafeRoute, public: true }];
    assert.deepEqual(hosts, [{ host: 'site.example', paths }]);
  },
);

function createHeaders(key: string): Record<string, string> {
  const field = key === 'none' ? {} : { Authorization: `Bearer ${key}` };
  return { ...field, 'X-Tenant': MADE_UP, Connection: 'close, X-Tenant' };
}

/** Sends each request of the table to each gateway and checks its answer and what arrived at upstreams. */
async function checkAnswers({ site }: AccountSiteWorld, table: DataTable): Promise<void> {
  await Promise.all(
    table.hashes().flatMap(({ path = '', key = '', status, tenant }) =>
      site.ips.map(async (ip) => {
        const id = createId();
        const answer = await site.call(ip, path, { headers: createHeaders(key) }, id);
        assert.equal(answer.status, Number(status), `${path} ${key}: ${answer.body}`);
        const arrivals = site.upstreams.flatMap(({ receivedRequests }) =>
          receivedRequests.filter((found) => found.id === id),
        );
        assert.equal(arrivals.length, answer.status === 200 ? 1 : 0);
        arrivals.forEach(({ headers }) => {
          assert.equal(headers['x-tenant'] ?? '', tenant);
        });
      }),
    ),
  );
}

Then(
  "within {int} ms each gateway answers its accounts' requests",
  { timeout: 30_000 },
  async function (this: AccountSiteWorld, limit: number, table: DataTable) {
    const { site } = this;
    await waitUntil(
      'the accounts are in force at each gateway',
      async () => {
        const answers = await Promise.all(site.ips.map((ip) => site.call(ip, '/records/0')));
        return answers.every(({ status }) => status === 401);
      },
      limit,
    );
    await checkAnswers(this, table);
  },
);

Then(
  "{int} ms later each gateway answers its accounts' requests",
  { timeout: 30_000 },
  async function (this: AccountSiteWorld, time: number, table: DataTable) {
    await sleep(time);
    await checkAnswers(this, table);
  },
);

function listStewards({ site }: AccountSiteWorld): readonly string[] {
  return [...site.processes.keys()].filter((name) => name.startsWith('steward'));
}

When("all stewards of the accounts' site are killed", async function (this: AccountSiteWorld) {
  await Promise.all(listStewards(this).map((name) => this.site.endProcess(name, 'SIGKILL')));
});

When(
  "the stewards of the accounts' site are started again",
  async function (this: AccountSiteWorld) {
    await Promise.all(listStewards(this).map((name) => this.site.restartProcess(name, false)));
  },
);

Then(
  "the site's upstreams got neither a key nor a name that a caller made up",
  function (this: AccountSiteWorld) {
    const received = this.site.upstreams.flatMap(({ receivedRequests }) => receivedRequests);
    assert.ok(received.length > 0);
    received.forEach(({ headers }) => {
      assert.equal(headers.authorization, undefined);
      assert.notEqual(headers['x-tenant'], MADE_UP);
    });
  },
);

/** Sends one request on the kept connection of the agent and returns the status; 0 without an answer. */
function sendKept(ip: string, agent: Agent, key: string): Promise<number> {
  return new Promise((resolve) => {
    const headers = { Host: 'site.example', 'X-Attempt-Id': createId(), 'X-Deadline-Ms': '1000' };
    const sent = sendRequest(
      {
        ...{ host: ip, port: PORTS.front, path: '/records/0', agent, timeout: 2000 },
        headers: { ...headers, Authorization: `Bearer ${key}` },
      },
      (response) => {
        response.resume();
        response.on('end', () => {
          resolve(response.statusCode ?? 0);
        });
      },
    );
    sent.on('timeout', () => sent.destroy());
    sent.on('error', () => {
      resolve(0);
    });
    sent.end();
  });
}

When(
  'a patch takes the key {string} from the account {string} while callers use it on kept connections',
  { timeout: 40_000 },
  async function (this: AccountSiteWorld, key: string, name: string) {
    const { site } = this;
    this.agents = site.ips.map(() => new Agent({ keepAlive: true, maxSockets: 1 }));
    let acknowledgedAt = Infinity;
    let servedAt: readonly number[] = [];
    let isOver = false;
    const users = site.ips.map(async (ip, index) => {
      const agent = this.agents[index];
      while (agent !== undefined && !isOver) {
        const startedAt = performance.now();
        if ((await sendKept(ip, agent, key)) === 200) servedAt = [...servedAt, startedAt];
        await sleep(PAUSE);
      }
    });
    await waitUntil('the callers are served', () => servedAt.length >= 2 * site.ips.length);
    const before = (await readConfiguration(this)).version;
    const upsert = { tenants: [{ name, api_keys: ['k-2'] }] };
    const answer = await site.sendOrder({
      ...{ method: 'POST', path: '/-/Config.Patch' },
      headers: { 'X-Base-Version': String(before), 'Content-Type': 'application/json' },
      body: JSON.stringify({ version: Number(before) + 1, upsert }),
    });
    acknowledgedAt = performance.now();
    assert.equal(answer.status, 200, answer.body);
    await sleep(OBSERVED_TIME);
    isOver = true;
    await Promise.all(users);
    this.lateAnswers = servedAt
      .map((startedAt) => startedAt - acknowledgedAt)
      .filter((time) => time > 0);
  },
);

Then(
  'from {int} ms after the acknowledgement no request with the key is served',
  function (this: AccountSiteWorld, limit: number) {
    assert.deepEqual(
      this.lateAnswers.filter((time) => time > limit),
      [],
    );
  },
);

Then(
  'the kept connections still serve requests with the key {string}',
  async function (this: AccountSiteWorld, key: string) {
    const statuses = await Promise.all(
      this.agents.map((agent, index) => sendKept(this.site.ips[index] ?? '', agent, key)),
    );
    assert.deepEqual(
      statuses,
      this.agents.map(() => 200),
    );
  },
);

Then(
  'accounts that share a key are refused by the site with {int}',
  async function (this: AccountSiteWorld, status: number) {
    const { version } = await readConfiguration(this);
    const tenants = ['a', 'b'].map((name) => ({ name, api_keys: ['k-9'] }));
    this.site.version = Number(version);
    const answer = await this.site.putRoutes([safeRoute], 15_000, { tenants });
    assert.equal(answer.status, status, answer.body);
    assert.doesNotMatch(answer.body, /k-9/);
  },
);

Then(
  'a configuration that is no JSON is refused by the site with {int}, without a key in the answer',
  async function (this: AccountSiteWorld, status: number) {
    const answer = await this.site.sendOrder({
      ...{ method: 'POST', path: '/-/Config.Put' },
      headers: { 'X-Base-Version': String(this.site.version) },
      body: '{"api_keys":[k-9]}',
    });
    assert.equal(answer.status, status, answer.body);
    assert.doesNotMatch(answer.body, /k-9/);
  },
);

Then(
  'no process of the site wrote a key to its log, and gateways counted refusals for keys',
  async function (this: AccountSiteWorld) {
    const output = [...this.site.processes.values()].map((running) => running.output).join('\n');
    assert.match(output, /"cause":"unknownKey"/);
    assert.doesNotMatch(output, /\bk-\d\b/);
    const name = 'chivewalk_gateway_refused_for_key_total';
    const counts = await Promise.all(
      this.site.ips.map((ip) => readMetric(ip, PORTS.gatewayMetrics, name)),
    );
    assert.ok(
      counts.every((count) => count > 0),
      counts.join(', '),
    );
  },
);

After(function (this: Partial<AccountSiteWorld>) {
  this.agents?.forEach((agent) => {
    agent.destroy();
  });
});
