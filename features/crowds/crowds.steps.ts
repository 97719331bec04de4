/** Sends crowds of clients outside the limits to the system's own processes, and reads what they take from /proc. */
import { After, Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { readdir, readFile } from 'node:fs/promises';
import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { safeRoute, serveTwoServices, unsafeRoute } from '../platform/services.js';
import {
  createId,
  PORTS,
  sendHttpRequest,
  Site,
  waitUntil,
  type ProcessOptions,
} from '../platform/site.js';

interface CrowdWorld {
  crowdSite: Site;
  crowdTarget: Target;
  crowdSockets: Socket[];
}

interface Target {
  readonly role: 'gateway' | 'steward';
  readonly port: number;
  /** Path of the crowd's requests. */
  readonly path: string;
  /** Path of the ordinary request to the listener, and whether it is a call to a route. */
  readonly ordinary: string;
  readonly isRoute: boolean;
}

const TARGETS: Readonly<Record<string, Target>> = {
  'the order address': {
    ...{ role: 'steward', port: PORTS.control, path: '/-/Config.Put', isRoute: false },
    ordinary: '/-/Config.Get',
  },
  "the callers' address": {
    ...{ role: 'gateway', port: PORTS.front, path: '/records/1', isRoute: true },
    ordinary: '/records/1',
  },
  'an unrouted path': {
    ...{ role: 'gateway', port: PORTS.front, path: '/nowhere', isRoute: true },
    ordinary: '/records/1',
  },
  'the readiness address': {
    ...{ role: 'gateway', port: PORTS.ready, path: '/-/readiness', isRoute: false },
    ordinary: '/-/readiness',
  },
  'the directory address': {
    ...{ role: 'gateway', port: PORTS.directory, path: '/-/resolve', isRoute: false },
    ordinary: '/-/resolve?zone=cyberjaya',
  },
  'the metrics address': {
    ...{ role: 'gateway', port: PORTS.gatewayMetrics, path: '/none', isRoute: false },
    ordinary: '/metrics',
  },
  "the peers' address": {
    ...{ role: 'steward', port: PORTS.peer, path: '/', isRoute: false },
    ordinary: '/-/Config.Get',
  },
};

const SLOW = { timeout: 120_000 };
/** Milliseconds for which the crowd sends before the process is looked at. */
const CROWD_TIME = 4000;
const KB = 1024;

/** Returns the flags of node by which the processes are deployed. */
async function readNodeFlags(): Promise<NonNullable<ProcessOptions['nodeFlags']>> {
  const text = await readFile('deploy/system.toml', 'utf8');
  const readFlags = (role: string): readonly string[] =>
    new RegExp(`\\[roles\\.${role}\\]\\s+run = "node (.*?) target/`).exec(text)?.[1]?.split(' ') ??
    [];
  return { gateway: readFlags('gateway'), steward: readFlags('steward') };
}

async function startCrowdedSite(world: CrowdWorld, extraSettings: string): Promise<void> {
  const nodeFlags = await readNodeFlags();
  world.crowdSockets = [];
  world.crowdSite = await Site.start([], undefined, { extraSettings, nodeFlags });
  await serveTwoServices(world.crowdSite, [safeRoute, unsafeRoute]);
}

Given(
  'a site under crowds, whose processes have the memory of their VMs',
  SLOW,
  async function (this: CrowdWorld) {
    await startCrowdedSite(this, '');
  },
);

Given(
  'a site under crowds, whose processes keep at most {int} connections',
  SLOW,
  async function (this: CrowdWorld, limit: number) {
    await startCrowdedSite(this, `[limits]\nmax_connections = ${limit}\n`);
  },
);

/** Connects the crowd, each client of which sends the bytes and stays connected; none reads unless told to. */
async function sendCrowd(
  world: CrowdWorld,
  listener: string,
  count: number,
  render: (target: Target) => Buffer,
): Promise<void> {
  const target = TARGETS[listener];
  assert.ok(target, `no listener is called ${listener}`);
  world.crowdTarget = target;
  const bytes = render(target);
  const host = world.crowdSite.getIp(0);
  world.crowdSockets = Array.from({ length: count }, () => {
    const socket = connect({ host, port: target.port });
    socket.on('error', () => undefined);
    socket.pause();
    socket.write(bytes);
    return socket;
  });
  await sleep(CROWD_TIME);
}

When(
  /^a crowd of (\d+) clients sends (\d+) chunks of one byte without an end to (.*)$/,
  SLOW,
  async function (this: CrowdWorld, count: string, chunks: string, listener: string) {
    await sendCrowd(this, listener, Number(count), ({ path }) =>
      Buffer.from(
        `POST ${path} HTTP/1.1\r\nHost: site.example\r\nX-Base-Version: 1\r\nX-Attempt-Id: ${createId()}\r\n` +
          `Transfer-Encoding: chunked\r\n\r\n${'1\r\na\r\n'.repeat(Number(chunks))}`,
      ),
    );
  },
);

When(
  /^a crowd of (\d+) clients sends (\d+) pipelined requests without reading answers to (.*)$/,
  SLOW,
  async function (this: CrowdWorld, count: string, requests: string, listener: string) {
    await sendCrowd(this, listener, Number(count), ({ path }) => {
      const request = `GET ${path} HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: ${createId()}\r\n\r\n`;
      return Buffer.from(request.repeat(Number(requests)));
    });
  },
);

/** Returns half a request; at the callers' address half a body, as half a head is closed within seconds there. */
function renderHalf({ port, path }: Target): Buffer {
  if (port === PORTS.peer) return Buffer.alloc(2);
  if (port !== PORTS.front) return Buffer.from('GET / HT');
  const head = `POST ${path} HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: ${createId()}\r\n`;
  return Buffer.from(`${head}Content-Length: 10\r\n\r\nhalf`);
}

When(
  /^a crowd of (\d+) clients connects and sends half a request to (.*)$/,
  SLOW,
  async function (this: CrowdWorld, count: string, listener: string) {
    await sendCrowd(this, listener, Number(count), renderHalf);
  },
);

function getCrowdedProcess({ crowdSite, crowdTarget }: CrowdWorld): {
  readonly pid: number;
  readonly output: string;
} {
  const { child, output } = crowdSite.getProcess(`${crowdTarget.role}-1`);
  const hasEnded = child.exitCode !== null || child.signalCode !== null;
  assert.ok(!hasEnded, `the ${crowdTarget.role} ended: ${output.slice(-1500)}`);
  return { pid: child.pid ?? 0, output };
}

Then(
  'the crowded process lives, within {int} MB',
  SLOW,
  async function (this: CrowdWorld, limit: number) {
    const { pid } = getCrowdedProcess(this);
    const status = await readFile(`/proc/${pid}/status`, 'utf8');
    const peak = Number(/VmHWM:\s+(\d+) kB/.exec(status)?.[1]) / KB;
    assert.ok(peak <= limit, `its resident memory reached ${Math.round(peak)} MB`);
  },
);

Then(
  'the crowded process has at most {int} open descriptors',
  async function (this: CrowdWorld, limit: number) {
    const { pid } = getCrowdedProcess(this);
    const descriptors = await readdir(`/proc/${pid}/fd`);
    assert.ok(descriptors.length <= limit, `it has ${descriptors.length}`);
  },
);

Then(
  'an ordinary request is answered there while the crowd stays connected',
  SLOW,
  async function (this: CrowdWorld) {
    const { crowdSite, crowdTarget } = this;
    const { role, port, ordinary, isRoute } = crowdTarget;
    const ip = crowdSite.getIp(0);
    const send = isRoute
      ? () => crowdSite.call(ip, ordinary)
      : () =>
          sendHttpRequest(ip, role === 'steward' ? PORTS.control : port, {
            path: ordinary,
            timeout: 2000,
          });
    await waitUntil('an ordinary request is answered', async () => {
      getCrowdedProcess(this);
      const answer = await send().catch(() => undefined);
      // A steward that doesn't lead answers with the leader's address.
      return answer?.status === 200 || (role === 'steward' && answer?.status === 307);
    });
    getCrowdedProcess(this);
  },
);

After({ timeout: 20_000 }, async function (this: Partial<CrowdWorld>) {
  this.crowdSockets?.forEach((socket) => socket.destroy());
  await this.crowdSite?.stop();
});
