/** Sends crowds of clients outside the limits to processes of chivewalkd. */
import { After, Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { readdir, readFile } from 'node:fs/promises';
import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { startSite, waitUntil, type Site, type SiteProcess } from '../../bench/stand/site.js';
import { sendHttpRequest } from '../platform/site.js';

interface DaemonCrowdWorld {
  crowdedDaemons: Site;
  daemonTarget: Target;
  daemonCrowd: Socket[];
}

interface Target {
  readonly id: 'entry-1' | 'control-1';
  readonly listener: 'caller' | 'upstream' | 'platform' | 'operator';
  readonly method: string;
  /** Path of the crowd's requests, and the ordinary one with the status of its answer. */
  readonly path: string;
  readonly ordinary: string;
  readonly status: number;
}

const caller = {
  id: 'entry-1',
  listener: 'caller',
  ordinary: '/seam/records/1',
  status: 200,
} as const;
const TARGETS: Readonly<Record<string, Target>> = {
  "the callers' address": { ...caller, method: 'POST', path: '/seam/records/1' },
  'an unknown path': { ...caller, method: 'POST', path: '/.well-known/none' },
  "the upstreams' address": {
    ...{ id: 'entry-1', listener: 'upstream', method: 'PUT', path: '/v1/upstreams/odd' },
    ...{ ordinary: '/v1/none', status: 404 },
  },
  "the platform's address": {
    ...{ id: 'entry-1', listener: 'platform', method: 'POST', path: '/live' },
    ...{ ordinary: '/live', status: 200 },
  },
  "the operators' address": {
    ...{ id: 'control-1', listener: 'operator', method: 'POST', path: '/none' },
    ...{ ordinary: '/none', status: 404 },
  },
};

const SLOW = { timeout: 120_000 };
/** Milliseconds for which the crowd sends before the process is looked at. */
const CROWD_TIME = 4000;
const KB = 1024;
const ORDINARY_LIMIT = 15_000;
/** The token that the site's upstreams present. */
const TOKEN = 'upstream token for loopback';

async function startDaemons(
  world: DaemonCrowdWorld,
  heap: number,
  limits: readonly string[],
): Promise<void> {
  world.daemonCrowd = [];
  world.crowdedDaemons = await startSite({
    ...{ controls: 1, entryZones: ['zone-1'], settings: { limits } },
    nodeFlags: [`--max-old-space-size=${heap}`],
    upstreams: [{ id: 'seam-1', service: 'seam', zone: 'zone-1' }],
  });
  const entry = world.crowdedDaemons.find('entry-1').addresses.caller ?? '';
  await waitUntil(
    async () => (await sendOrdinary(entry, '/seam/records/1')) === 200,
    ORDINARY_LIMIT,
    () => 'the entry serves',
  );
}

/** Sends a request and returns the status of its answer. */
async function sendOrdinary(address: string, path: string): Promise<number | undefined> {
  const [host = '', port = ''] = address.split(':');
  const headers = { Authorization: `Bearer ${TOKEN}` };
  const answer = await sendHttpRequest(host, Number(port), { path, headers }).catch(
    () => undefined,
  );
  return answer?.status;
}

Given(
  'a site of chivewalkd under crowds, with a heap of {int} MB',
  SLOW,
  async function (this: DaemonCrowdWorld, heap: number) {
    await startDaemons(this, heap, []);
  },
);

Given(
  'a site of chivewalkd under crowds that keeps at most {int} connections',
  SLOW,
  async function (this: DaemonCrowdWorld, limit: number) {
    await startDaemons(this, 200, [`max_connections = ${limit}`]);
  },
);

function getTargetAddress({ crowdedDaemons, daemonTarget }: DaemonCrowdWorld): string {
  const { id, listener } = daemonTarget;
  return crowdedDaemons.find(id).addresses[listener] ?? '';
}

async function sendDaemonCrowd(
  world: DaemonCrowdWorld,
  listener: string,
  count: number,
  render: (target: Target) => Buffer,
): Promise<void> {
  const target = TARGETS[listener];
  assert.ok(target, `no listener is called ${listener}`);
  world.daemonTarget = target;
  const [host = '', port = ''] = getTargetAddress(world).split(':');
  const bytes = render(target);
  world.daemonCrowd = Array.from({ length: count }, () => {
    const socket = connect({ host, port: Number(port) });
    socket.on('error', () => undefined);
    socket.pause();
    socket.write(bytes);
    return socket;
  });
  await sleep(CROWD_TIME);
}

function renderFields({ method, path }: Target): string {
  return `${method} ${path} HTTP/1.1\r\nHost: site.example\r\nAuthorization: Bearer ${TOKEN}\r\n`;
}

When(
  /^a chivewalkd crowd of (\d+) clients sends (\d+) chunks of one byte without an end to chivewalkd at (.*)$/,
  SLOW,
  async function (this: DaemonCrowdWorld, count: string, chunks: string, listener: string) {
    await sendDaemonCrowd(this, listener, Number(count), (target) => {
      const body = '1\r\na\r\n'.repeat(Number(chunks));
      return Buffer.from(
        `${renderFields(target)}Idempotency-Key: key-1\r\nTransfer-Encoding: chunked\r\n\r\n${body}`,
      );
    });
  },
);

When(
  /^a chivewalkd crowd of (\d+) clients sends (\d+) pipelined requests to chivewalkd without reading answers at (.*)$/,
  SLOW,
  async function (this: DaemonCrowdWorld, count: string, requests: string, listener: string) {
    await sendDaemonCrowd(this, listener, Number(count), (target) => {
      const request = `${renderFields({ ...target, method: 'GET' })}\r\n`;
      return Buffer.from(request.repeat(Number(requests)));
    });
  },
);

When(
  /^a chivewalkd crowd of (\d+) clients connects and sends half a request to chivewalkd at (.*)$/,
  SLOW,
  async function (this: DaemonCrowdWorld, count: string, listener: string) {
    await sendDaemonCrowd(this, listener, Number(count), () => Buffer.from('GET / HT'));
  },
);

function getCrowdedDaemon({ crowdedDaemons, daemonTarget }: DaemonCrowdWorld): SiteProcess {
  const found = crowdedDaemons.find(daemonTarget.id);
  const hasEnded = found.child.exitCode !== null || found.child.signalCode !== null;
  assert.ok(!hasEnded, `${found.id} ended: ${found.output.slice(-1500)}`);
  return found;
}

Then(
  'the crowded chivewalkd lives, within {int} MB',
  async function (this: DaemonCrowdWorld, limit: number) {
    const { child } = getCrowdedDaemon(this);
    const status = await readFile(`/proc/${child.pid ?? 0}/status`, 'utf8');
    const peak = Number(/VmHWM:\s+(\d+) kB/.exec(status)?.[1]) / KB;
    assert.ok(peak <= limit, `its resident memory reached ${Math.round(peak)} MB`);
  },
);

Then(
  'the crowded chivewalkd has at most {int} open descriptors',
  async function (this: DaemonCrowdWorld, limit: number) {
    const { child } = getCrowdedDaemon(this);
    const descriptors = await readdir(`/proc/${child.pid ?? 0}/fd`);
    assert.ok(descriptors.length <= limit, `it has ${descriptors.length}`);
  },
);

Then(
  'an ordinary request to chivewalkd is answered there while the crowd stays connected',
  SLOW,
  async function (this: DaemonCrowdWorld) {
    const { ordinary, status } = this.daemonTarget;
    await waitUntil(
      async () => {
        getCrowdedDaemon(this);
        return (await sendOrdinary(getTargetAddress(this), ordinary)) === status;
      },
      ORDINARY_LIMIT,
      () => 'an ordinary request is answered',
    );
    getCrowdedDaemon(this);
  },
);

After({ timeout: 20_000 }, async function (this: Partial<DaemonCrowdWorld>) {
  this.daemonCrowd?.forEach((socket) => socket.destroy());
  await this.crowdedDaemons?.stop();
});
