import { After, Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, createServer, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Catalog, RouteTable } from '../../src/catalog/index.js';
import { RequestAdmission, type AdmittedRequest } from '../../src/gateway/admission.js';
import type { CallerAnswer, CallerRequest } from '../../src/gateway/caller.js';
import { buildRouteIndex, matchRoute } from '../../src/gateway/router.js';
import { getHeader, type HeaderList } from '../../src/http1/index.js';
import { applyLogLevel, standardOutput } from '../../src/telemetry/index.js';
import { headerDialect } from '../../platform/headers.js';
import {
  createRoutedCatalog,
  FakeFollower,
  openFollowingGateway,
  type FollowingGateway,
} from '../gateway/following.js';
import { parseAccounts } from './access.steps.js';

type FollowerOptions = ConstructorParameters<typeof FakeFollower>[0];

/** A gateway's admission with a follower and a clock that the test sets, and what became of its requests. */
class AdmissionBench {
  readonly follower = new FakeFollower({ onChange: () => undefined } as unknown as FollowerOptions);
  readonly admission: RequestAdmission;
  readonly served: AdmittedRequest[] = [];
  readonly lines: string[] = [];
  readonly #addLine = standardOutput.addLine.bind(standardOutput);
  cancelled = 0;
  time = 0;
  answer: CallerAnswer | undefined;

  constructor() {
    this.admission = new RequestAdmission({
      follower: this.follower,
      now: () => this.time,
      dialect: headerDialect,
      freshFor: 2000,
      canServe: () => this.#table !== undefined,
      findRoute: ({ headers, target }) =>
        matchRoute(buildRouteIndex(this.#table), getHeader(headers, 'host') ?? '', target),
      serve: (admitted) => {
        this.served.push(admitted);
        return {
          cancel: () => {
            this.cancelled += 1;
          },
        };
      },
    });
    standardOutput.addLine = (line) => {
      this.lines.push(line);
    };
    applyLogLevel('info', 'gateway');
  }

  get #table(): RouteTable | undefined {
    return this.follower.view.catalog.table;
  }

  /** Lets the state be fresh, with these accounts, and decides on the requests that wait. */
  replaceAccounts(text: string): void {
    this.follower.replaceCatalog(createAccountCatalog(text));
    this.follower.age = 0;
    this.admission.startWaiting();
  }

  /** Lets the age grow as it does while the process runs. */
  advanceAge(age: number): void {
    while (this.follower.age < age) {
      const growth = Math.min(400, age - this.follower.age);
      this.follower.age += growth;
      this.time += growth;
      this.admission.stateWatch.look();
    }
    this.time += 400;
  }

  /** Lets the process stand still, so that the age jumps. */
  pause(time: number): void {
    this.admission.stateWatch.look();
    this.follower.age += time;
    this.time += time;
  }

  send(target: string, key: string): void {
    this.answer = undefined;
    this.admission.admit(createRequest(target, key, this.time), (answer) => {
      this.answer = answer;
    });
  }

  /** Describes what became of the latest request. */
  describeEnd(): string {
    if (this.answer !== undefined) return String(this.answer.status);
    const admitted = this.served.at(-1);
    if (admitted === undefined) return 'waiting';
    const { headers, account } = admitted.access;
    if (headers === admitted.request.head.headers) return 'served as it came';
    assert.equal(getHeader(headers, headerDialect.authorization), undefined);
    assert.equal(getHeader(headers, headerDialect.tenant), account);
    return `served for ${account ?? 'nobody'}`;
  }

  close(): void {
    this.admission.close();
    standardOutput.addLine = this.#addLine;
    applyLogLevel('warn', 'gateway');
  }
}

interface AdmissionWorld {
  accountBench: AdmissionBench | undefined;
  accountGateway: FollowingGateway | undefined;
  accountUpstream: ReturnType<typeof createServer> | undefined;
  accountClient: Socket | undefined;
  upstreamText: string;
  answerText: string;
}

function createAccountCatalog(text: string, ports: readonly number[] = []): Catalog {
  const catalog = createRoutedCatalog(ports);
  const [route] = catalog.table?.routes ?? [];
  assert.ok(catalog.table && route);
  const routes = [route, { ...route, name: 'r-public', prefix: '/public/', isPublic: true }];
  const accounts = parseAccounts(text);
  const table = { ...catalog.table, routes };
  return { ...catalog, table: accounts === undefined ? table : { ...table, accounts } };
}

/** Creates a request with `Authorization` fields with the keys, and an account's name that the caller made up. */
function createRequest(target: string, keys: string, arrivedAt: number): CallerRequest {
  const names = keys === 'none' ? [] : keys.split(' ');
  const headers: HeaderList = [
    ['Host', 'records.test'],
    [headerDialect.requestId, 'id-1'],
    [headerDialect.deadline, '3000'],
    [headerDialect.tenant, 'made-up'],
    ...names.map((key) => ['Authorization', `Bearer ${key}`] as const),
  ];
  const head = { method: 'GET', target, minorVersion: 1, headers };
  return { head, body: Buffer.alloc(0), hasBody: false, arrivedAt };
}

function getBench({ accountBench }: AdmissionWorld): AdmissionBench {
  assert.ok(accountBench);
  return accountBench;
}

Given(
  "an accounts' gateway with the accounts {string} and a {string} state",
  function (this: AdmissionWorld, accounts: string, state: string) {
    const bench = new AdmissionBench();
    this.accountBench = bench;
    if (state === 'missing') return;
    bench.replaceAccounts(accounts);
    if (state === 'fresh') return;
    const [age = '', , ...kind] = state.split(' ');
    if (kind.join(' ') === 'paused') {
      bench.pause(Number(age));
      return;
    }
    bench.advanceAge(Number(age));
    bench.follower.isBehind = kind.join(' ') === 'behind';
    bench.follower.isAlone = kind.join(' ') === 'cut off';
  },
);

Then(
  "an accounts' request to {string} with the key {string} ends as {string}",
  function (this: AdmissionWorld, target: string, key: string, end: string) {
    const bench = getBench(this);
    const served = bench.served.length;
    bench.send(target, key);
    assert.equal(bench.describeEnd(), end);
    assert.equal(bench.served.length - served, end.startsWith('served') ? 1 : 0);
  },
);

When(
  "an accounts' request to {string} with the key {string} arrives and waits",
  function (this: AdmissionWorld, target: string, key: string) {
    const bench = getBench(this);
    bench.send(target, key);
    assert.equal(bench.describeEnd(), 'waiting');
  },
);

When(
  "an accounts' request to {string} with the key {string} is served",
  function (this: AdmissionWorld, target: string, key: string) {
    const bench = getBench(this);
    bench.send(target, key);
    assert.match(bench.describeEnd(), /^served/);
  },
);

When(
  "the accounts' gateway then has a fresh state with the accounts {string}",
  function (this: AdmissionWorld, accounts: string) {
    getBench(this).replaceAccounts(accounts);
  },
);

Then(
  "the waiting accounts' request ended as {string}",
  function (this: AdmissionWorld, end: string) {
    assert.equal(getBench(this).describeEnd(), end);
  },
);

Then('the request that was served before was not cancelled', function (this: AdmissionWorld) {
  assert.equal(getBench(this).cancelled, 0);
});

Then(
  "the accounts' gateway checks the held request again as {string}",
  function (this: AdmissionWorld, decision: string) {
    const { admission, served } = getBench(this);
    const [held] = served;
    assert.ok(held);
    const head = { ...held.request.head, headers: held.access.callerHeaders };
    assert.equal(admission.check(head, false).decision, decision);
  },
);

Then(
  "the refusal names the scheme {string} and the request's id, and promises that it has not run",
  function (this: AdmissionWorld, scheme: string) {
    const { answer } = getBench(this);
    assert.ok(answer);
    assert.equal(getHeader(answer.headers, 'www-authenticate'), scheme);
    assert.equal(getHeader(answer.headers, headerDialect.requestId), 'id-1');
    assert.match(answer.body.toString(), /not run/);
    assert.doesNotMatch(answer.body.toString(), /secret/);
  },
);

Then(
  "a log line of the accounts' gateway names the cause {string} and the route, and none shows a key",
  function (this: AdmissionWorld, cause: string) {
    const { lines } = getBench(this);
    const line = lines.find((text) => text.includes(`"cause":"${cause}"`));
    assert.match(line ?? '', /"route":"r-1"/);
    assert.ok(lines.every((text) => !text.includes('secret')));
  },
);

Then(
  "the accounts' gateway counted {int} refusal(s) for a key",
  function (this: AdmissionWorld, count: number) {
    assert.equal(getBench(this).admission.refusals.forKey, count);
  },
);

Then('the refusal names a time to come back', function (this: AdmissionWorld) {
  const { answer } = getBench(this);
  assert.ok(Number(getHeader(answer?.headers ?? [], 'retry-after')) > 0);
});

Given(
  'a gateway on loopback with the accounts {string} and one upstream',
  async function (this: AdmissionWorld, accounts: string) {
    Object.assign(this, { upstreamText: '', answerText: '' });
    this.accountUpstream = createServer((socket) => {
      socket.on('data', (chunk) => {
        const text = chunk.toString('latin1');
        this.upstreamText += text;
        const id = /test-request: (\S+)/i.exec(text)?.[1] ?? '';
        socket.write(`HTTP/1.1 200 OK\r\ntest-request: ${id}\r\nContent-Length: 2\r\n\r\nok`);
      });
      socket.on('error', () => undefined);
    });
    await new Promise<void>((resolve) => this.accountUpstream?.listen(0, '127.0.0.1', resolve));
    const address = this.accountUpstream.address();
    assert.ok(typeof address === 'object' && address !== null);
    this.accountGateway = await openFollowingGateway();
    const { follower, gateway } = this.accountGateway;
    follower.replaceCatalog(createAccountCatalog(accounts, [address.port]));
    while (!gateway.isReady()) await sleep(5);
  },
);

Given(
  'the account {string} has the priority {int}, and the route 0',
  function (this: AdmissionWorld, name: string, rank: number) {
    const follower = this.accountGateway?.follower;
    const table = follower?.view.catalog.table;
    assert.ok(follower && table);
    assert.ok(table.routes.every((route) => route.rank === 0));
    const accounts = table.accounts?.map((one) => (one.name === name ? { ...one, rank } : one));
    follower.replaceCatalog({ ...follower.view.catalog, table: { ...table, accounts } });
  },
);

Then(
  'a request of {int} ms with the key {string} is refused there for lack of room, and one with the key {string} is served',
  async function (this: AdmissionWorld, time: number, patient: string, urgent: string) {
    const send = async (key: string): Promise<string> => {
      const headers = { 'test-deadline': String(time), authorization: `Bearer ${key}` };
      const { status, body } = (await this.accountGateway?.send('/known/', headers)) ?? {};
      return `${status ?? 0} ${body ?? ''}`;
    };
    assert.match(await send(patient), /^503 .*overloaded/);
    assert.match(await send(urgent), /^200 /);
  },
);

When(
  'a caller sends requests with the keys {string} ahead on one connection to it',
  async function (this: AdmissionWorld, keys: string) {
    assert.ok(this.accountGateway);
    this.accountClient = connect({ port: this.accountGateway.port, host: '127.0.0.1' });
    await once(this.accountClient, 'connect');
    this.accountClient.on('data', (chunk) => {
      this.answerText += chunk.toString('latin1');
    });
    const heads = keys.split(', ').map((key, index) => {
      const field = key === 'none' ? '' : `Authorization: Bearer ${key}\r\n`;
      return `GET /known/ HTTP/1.1\r\nHost: records.test\r\ntest-request: r${index}\r\n${field}\r\n`;
    });
    this.accountClient.write(heads.join(''));
  },
);

Then(
  "the answers on the accounts' connection are {string}",
  async function (this: AdmissionWorld, expected: string) {
    const wanted = expected.split(', ');
    const listStatuses = (): readonly string[] =>
      [...this.answerText.matchAll(/HTTP\/1\.1 (\d{3})/g)].map(([, status = '']) => status);
    while (listStatuses().length < wanted.length) await sleep(5);
    assert.deepEqual(listStatuses(), wanted);
  },
);

Then(
  "the accounts' upstream got {int} requests, none with a key",
  function (this: AdmissionWorld, count: number) {
    const requests = this.upstreamText.match(/GET \/known\//g) ?? [];
    assert.equal(requests.length, count);
    assert.doesNotMatch(this.upstreamText, /authorization|k-\d/i);
    const tenants = [...this.upstreamText.matchAll(/test-tenant: (\S+)/gi)].map(([, name]) => name);
    assert.deepEqual([...tenants].sort(), ['locu91', 'sese880', 'sese880']);
  },
);

After(async function (this: Partial<AdmissionWorld>) {
  this.accountBench?.close();
  this.accountClient?.destroy();
  await this.accountGateway?.close();
  this.accountUpstream?.close();
});
