/**
 * A small emulation of the platform. Runs the real gateways and stewards as processes on loopback addresses,
 * one for each VM, and acts as the operators, upstreams and callers that PROTOCOL describes.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { randomBytes } from 'node:crypto';
import { mkdtemp, readdir, readFile, rm, writeFile } from 'node:fs/promises';
import { createServer, request as sendRequest, type Server } from 'node:http';
import type { Socket } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { parseLogRecord } from '../../src/control/formats.js';
import { toAddress } from '../../src/control/index.js';
import { parseRecords } from '../../src/control/records.js';
import { parseAddress } from '../../src/model/index.js';

export const PORTS = {
  front: 8381,
  ready: 8388,
  directory: 8383,
  control: 8382,
  peer: 7200,
  gateway: 7215,
  gatewayMetrics: 9464,
  stewardMetrics: 9465,
};
const PROGRAM = 'dist/platform/main.js';
const GRACE_MS = 3000;
/** Bytes of a large response; more than the socket buffers of both ends hold. */
export const LARGE_BYTES = 24 * 1024 * 1024;

/** A response with its complete body. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
}

/** A request to send; the timeout is in milliseconds. */
export interface HttpRequestOptions {
  readonly method?: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly timeout?: number;
}

/** Sends one request on a new connection. */
export function sendHttpRequest(
  ip: string,
  port: number,
  options: HttpRequestOptions,
): Promise<HttpResponse> {
  const { method = 'GET', path, headers = {}, body, timeout = 2000 } = options;
  return new Promise((resolve, reject) => {
    const sent = sendRequest(
      { host: ip, port, method, path, headers, agent: false, timeout },
      (response) => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', reject);
        response.on('end', () => {
          const text = Buffer.concat(chunks).toString();
          resolve({ status: response.statusCode ?? 0, headers: response.headers, body: text });
        });
      },
    );
    sent.on('timeout', () => sent.destroy(new Error('no response in time')));
    sent.on('error', reject);
    sent.end(body);
  });
}

/** A request that reached an upstream. */
export interface ReceivedRequest {
  readonly id: string;
  readonly target: string;
  readonly method: string;
  readonly body: string;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly deadline: number;
  readonly receivedAt: number;
}

/**
 * How an emulated upstream responds to requests. A `timed` one works for the milliseconds and answers with the number
 * of bytes that the query of the request names (`work`, `bytes`). Whatever its behaviour, a request whose path has the
 * segment `crash` ends it after {@link FRAGILE_WORK} unless the connection closes before; a `fragile` one takes as long
 * for other requests.
 */
export type Behaviour =
  | 'serve'
  | 'reset'
  | 'refuse'
  | 'fail'
  | 'cut'
  | 'stray'
  | 'unframed'
  | 'largeUnframed'
  | 'resetUnframed'
  | 'repeatRefusal'
  | 'large'
  | 'leave'
  | 'turnAway'
  | 'slow'
  | 'timed'
  | 'fragile';

/** Seconds for which an upstream that turns requests away wants none. */
const RETRY_AFTER = '2.5';

/** Milliseconds that a slow upstream takes, below the timeout of its routes. */
const SLOW_WORK = 550;

/** Milliseconds that a fragile upstream takes, and after which any crashes under a request that crashes it. */
const FRAGILE_WORK = 80;

/** An emulated upstream. */
export class Upstream {
  readonly receivedRequests: ReceivedRequest[] = [];
  /** When the connections of requests closed before their responses ended, by the requests' ids. */
  readonly abandonedAt = new Map<string, number>();
  behaviour: Behaviour = 'serve';
  state: 'ready' | 'draining' = 'ready';
  /** The address that it announces if that differs from its own. */
  announcedAddress: string | undefined;
  sendsHeartbeats = true;
  /** The remaining slow start that it announces; its health responses report none. */
  coldLeft = '0ms';
  acknowledgedHeartbeats = 0;
  /** When a request or a fault ended it, by `performance.now()`. */
  crashedAt: number | undefined;
  /** The target of the request that ended it, if one did. */
  crashedBy: string | undefined;
  onCrash: () => void = () => undefined;
  readonly born = Date.now();
  #sequence = 0;
  #server: Server;
  /** The requests whose refusals are due once more, by their connections. */
  readonly #refused = new Map<Socket, string>();

  constructor(
    readonly id: string,
    readonly address: string,
    readonly service: string,
    readonly zone: string,
    readonly version = 'v1',
  ) {
    this.#server = createServer((request, response) => {
      const chunks: Buffer[] = [];
      request.on('data', (chunk: Buffer) => chunks.push(chunk));
      request.on('end', () => {
        const load = { 'X-Server-Load': '1,0,6,100', 'X-Instance-Id': id };
        const attempt = String(request.headers['x-attempt-id'] ?? '');
        if (request.url === '/health') {
          response.writeHead(200, load);
          response.end();
          return;
        }
        if ((request.headers['x-expect-instance'] ?? id) !== id) {
          response.writeHead(421, { 'X-Attempt-Id': attempt });
          response.end();
          return;
        }
        const isRefused =
          this.behaviour === 'repeatRefusal' && !this.#repeatRefusal(request.socket, attempt);
        if (this.behaviour === 'refuse' || isRefused) {
          response.writeHead(503, { 'X-Not-Executed': '1', 'X-Attempt-Id': attempt });
          response.end();
          return;
        }
        this.receivedRequests.push({
          id: attempt,
          target: request.url ?? '',
          method: request.method ?? '',
          body: Buffer.concat(chunks).toString(),
          headers: request.headers,
          deadline: Number(request.headers['x-deadline-ms']),
          receivedAt: performance.now(),
        });
        response.once('close', () => {
          if (!response.writableEnded) this.abandonedAt.set(attempt, performance.now());
        });
        if ((request.url ?? '').includes('/crash/')) {
          const timer = setTimeout(() => {
            this.crash(request.url);
          }, FRAGILE_WORK);
          response.once('close', () => {
            clearTimeout(timer);
          });
          return;
        }
        const seal = { ...load, 'X-Attempt-Id': attempt, 'X-Server-Seal': `seal-${attempt}` };
        const socket = request.socket;
        switch (this.behaviour) {
          case 'serve':
          case 'repeatRefusal':
            response.writeHead(200, seal);
            response.end(`served by ${id}`);
            return;
          case 'large':
            response.writeHead(200, seal);
            response.end(Buffer.alloc(LARGE_BYTES));
            return;
          case 'slow':
            setTimeout(() => {
              response.writeHead(200, seal);
              response.end(`served by ${id}`);
            }, SLOW_WORK);
            return;
          case 'timed': {
            const { searchParams } = new URL(request.url ?? '/', 'http://upstream');
            setTimeout(
              () => {
                response.writeHead(200, seal);
                response.end(Buffer.alloc(Number(searchParams.get('bytes') ?? 1)));
              },
              Number(searchParams.get('work') ?? 0),
            );
            return;
          }
          case 'fragile':
            setTimeout(() => {
              response.writeHead(200, seal);
              response.end(`served by ${id}`);
            }, FRAGILE_WORK);
            return;
          case 'leave':
            response.writeHead(200, { ...seal, 'Server-Leaving': '1' });
            response.end(`served by ${id}`);
            return;
          case 'turnAway': {
            const notRun = { 'X-Attempt-Id': attempt, 'X-Not-Executed': '1' };
            response.writeHead(503, { ...notRun, 'Retry-After': RETRY_AFTER });
            response.end();
            return;
          }
          case 'fail':
            response.writeHead(500, seal);
            response.end('failed');
            return;
          case 'reset':
            socket.resetAndDestroy();
            return;
          case 'cut':
            response.writeHead(200, { ...seal, 'Content-Length': '100' });
            response.write('half');
            setTimeout(() => socket.destroy(), 10);
            return;
          case 'unframed':
            socket.end(`HTTP/1.1 200 OK\r\nX-Attempt-Id: ${attempt}\r\n\r\nhalf of an answ`);
            return;
          case 'largeUnframed':
            socket.write(`HTTP/1.1 200 OK\r\nX-Attempt-Id: ${attempt}\r\n\r\n`);
            socket.end(Buffer.alloc(LARGE_BYTES));
            return;
          case 'resetUnframed':
            socket.write(
              `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${attempt}\r\nX-Server-Seal: seal-${attempt}\r\n\r\nhalf`,
            );
            socket.resetAndDestroy();
            return;
          case 'stray':
            response.writeHead(200, seal);
            response.end(`served by ${id}`);
            socket.write(
              `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${attempt}\r\nContent-Length: 5\r\n\r\nstray`,
            );
            return;
        }
      });
    });
  }

  /** Writes the connection's last refusal once more, or returns false if there is none: the request is to be refused. */
  #repeatRefusal(socket: Socket, attempt: string): boolean {
    const refused = this.#refused.get(socket);
    if (refused === undefined) this.#refused.set(socket, attempt);
    else {
      this.#refused.delete(socket);
      const fields = `X-Attempt-Id: ${refused}\r\nX-Not-Executed: 1\r\nContent-Length: 0`;
      socket.write(`HTTP/1.1 503 Full\r\n${fields}\r\n\r\n`);
    }
    return refused !== undefined;
  }

  async start(): Promise<void> {
    const [host = '', port = ''] = this.address.split(':');
    await new Promise<void>((resolve) => this.#server.listen(Number(port), host, resolve));
  }

  stop(): void {
    this.sendsHeartbeats = false;
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Ends as a process does that crashes. */
  crash(target?: string): void {
    if (this.crashedAt !== undefined) return;
    this.crashedAt = performance.now();
    this.crashedBy = target;
    this.stop();
    this.onCrash();
  }

  /** Sends a heartbeat to a control address and follows redirects. */
  async sendHeartbeat(ips: readonly string[], redirectsLeft = 3): Promise<boolean> {
    this.#sequence += 1;
    const { service, zone, version } = this;
    const body = JSON.stringify({
      address: this.announcedAddress ?? this.address,
      born: this.born,
      info: { service, version, zone, slots: 6 },
      status: { state: this.state, seq: this.#sequence, cold_left: this.coldLeft },
    });
    const options = {
      method: 'POST',
      path: `/-/Instances.Heartbeat/${this.id}`,
      body,
      timeout: 1000,
    };
    const isAcknowledged = await sendHeartbeatRequest(ips, options, redirectsLeft);
    if (isAcknowledged) this.acknowledgedHeartbeats += 1;
    return isAcknowledged;
  }
}

async function sendHeartbeatRequest(
  ips: readonly string[],
  options: HttpRequestOptions,
  redirectsLeft: number,
): Promise<boolean> {
  const answer = await sendHttpRequest(ips[0] ?? '', PORTS.control, options).catch(() => undefined);
  if (answer?.status === 200) return true;
  if (answer?.status === 307 && redirectsLeft > 0) {
    return sendHeartbeatRequest(
      [new URL(String(answer.headers.location)).hostname],
      options,
      redirectsLeft - 1,
    );
  }
  return false;
}

interface RunningProcess {
  readonly role: 'gateway' | 'steward';
  readonly ip: string;
  readonly vmIndex: number;
  readonly zone: string;
  child: ChildProcess;
  output: string;
}

/** The voters of the group from a log index on. */
export interface GroupVoters {
  readonly index: number;
  /** Sorted. */
  readonly ips: readonly string[];
}

/** Returns the list rotated by a random number of places. */
export function pickRotation(ips: readonly string[]): readonly string[] {
  const start = Math.floor(Math.random() * ips.length);
  return [...ips.slice(start), ...ips.slice(0, start)];
}

/** Port that a running site keeps open on its network, so that no other site uses the same network. */
const NETWORK_LOCK_PORT = 7999;

/** Claims a loopback network that no other site on this computer uses. */
async function claimNetwork(): Promise<readonly [net: number, lock: Server]> {
  const net = 20 + Math.floor(Math.random() * 200);
  const lock = createServer();
  const isFree = await new Promise<boolean>((resolve) => {
    lock.once('error', () => {
      resolve(false);
    });
    lock.listen(NETWORK_LOCK_PORT, `127.${net}.1.1`, () => {
      resolve(true);
    });
  });
  return isFree ? [net, lock] : claimNetwork();
}

/** Renders the sections of a template, which may be nested: `#` where there is a value, `^` where there is none. */
function renderSections(template: string, values: Readonly<Record<string, string>>): string {
  return template.replace(
    /\{\{([#^])([\w.]+)\}\}([^]*?)\{\{\/\2\}\}/g,
    (_, sign: string, key: string, inner: string) =>
      key in values === (sign === '#') ? renderSections(inner, values) : '',
  );
}

/** How the processes of a site are started. */
export interface ProcessOptions {
  /** Sections that are added to the settings of each process. */
  readonly extraSettings?: string;
  /** Flags of node, by role. */
  readonly nodeFlags?: Readonly<Record<RunningProcess['role'], readonly string[]>>;
}

/** A site of three VMs in three zones, each with a steward and a gateway; further VMs may be added. */
export class Site {
  readonly processes = new Map<string, RunningProcess>();
  readonly upstreams: Upstream[] = [];
  readonly ips: readonly string[];
  readonly zones = ['cyberjaya', 'putrajaya', 'shah-alam'] as const;
  version = 0;
  /** The operators' list of the VMs that serve control: upstreams and operators use it, and settings name it as seeds. */
  controlIps: readonly string[];
  /** The VMs that serve the directory. */
  gatewayIps: readonly string[];
  #heartbeatTimer: NodeJS.Timeout | undefined;
  #addedVms = 0;
  #isStopped = false;

  private constructor(
    readonly folder: string,
    readonly net: number,
    readonly networkLock: Server,
    readonly disklessVms: readonly number[],
    readonly grace: number,
    readonly processOptions: ProcessOptions,
  ) {
    this.ips = this.zones.map((_, index) => `127.${net}.${index + 1}.1`);
    this.controlIps = this.ips;
    this.gatewayIps = this.ips;
  }

  /**
   * Starts the site; `disklessVms` are the indices of VMs without a disk, `grace` the milliseconds that a process
   * may take to stop.
   */
  static async start(
    disklessVms: readonly number[] = [],
    grace = GRACE_MS,
    options: ProcessOptions = {},
  ): Promise<Site> {
    const folder = await mkdtemp(join(tmpdir(), 'chivewalk-platform-'));
    const site = new Site(folder, ...(await claimNetwork()), disklessVms, grace, options);
    await Promise.all(
      site.ips.flatMap((ip, vmIndex) => [
        site.startProcess('steward', ip, vmIndex, true),
        site.startProcess('gateway', ip, vmIndex, true),
      ]),
    );
    site.#heartbeatTimer = setInterval(() => {
      site.upstreams
        .filter(({ sendsHeartbeats }) => sendsHeartbeats)
        .forEach((upstream) => {
          void upstream.sendHeartbeat(pickRotation(site.controlIps));
        });
    }, 400);
    return site;
  }

  shuffleIps(): readonly string[] {
    return pickRotation(this.ips);
  }

  /** Adds a VM at an address that the site hasn't used, without any process, and returns its index. */
  addVm(): number {
    this.#addedVms += 1;
    return this.ips.length + this.#addedVms - 1;
  }

  getIp(vmIndex: number): string {
    return `127.${this.net}.${vmIndex + 1}.1`;
  }

  #getZone(vmIndex: number): string {
    return this.zones[vmIndex % this.zones.length] ?? '';
  }

  /** Starts a gateway on a VM of its own and returns its name. */
  async addGateway(seeds = this.controlIps): Promise<string> {
    const vmIndex = this.addVm();
    const ip = this.getIp(vmIndex);
    this.gatewayIps = [...this.gatewayIps, ip];
    await this.startProcess('gateway', ip, vmIndex, false, seeds);
    return `gateway-${vmIndex + 1}`;
  }

  /** Starts a steward with an empty data folder on a VM of its own and returns its name. */
  async addSteward(seeds = this.controlIps): Promise<string> {
    const vmIndex = this.addVm();
    await this.startProcess('steward', this.getIp(vmIndex), vmIndex, false, seeds);
    return `steward-${vmIndex + 1}`;
  }

  /** Writes the settings file of a running process again with other seeds. */
  async rewriteSettings(name: string, seeds: readonly string[]): Promise<void> {
    const { role, ip, vmIndex } = this.getProcess(name);
    await this.#writeSettings(role, ip, vmIndex, false, seeds);
  }

  getProcess(name: string): RunningProcess {
    const running = this.processes.get(name);
    if (running === undefined) throw new Error(`the site has no process ${name}`);
    return running;
  }

  /**
   * Returns the voters' addresses by the newest membership on the disk of a steward, with the entry's index; undefined
   * if no log segment there holds one.
   */
  async readVoters(name: string): Promise<GroupVoters | undefined> {
    const folder = join(this.folder, `vm-${this.getProcess(name).vmIndex + 1}`);
    const files = await readdir(folder).catch(() => []);
    const segments = files.filter((file) => /^log-\d+\.seg$/.test(file)).sort();
    const contents = await Promise.all(
      segments.map((file) => readFile(join(folder, file)).catch(() => Buffer.alloc(0))),
    );
    return contents
      .flatMap((bytes) => parseRecords(bytes).payloads)
      .flatMap((payload) => {
        const record = parseLogRecord(payload);
        if (record?.kind !== 'membership') return [];
        const voters = record.membership.members.filter(({ voter }) => voter);
        const ips = voters.map(({ id }) => parseAddress(toAddress(id)).host).sort();
        return [{ index: record.index, ips }];
      })
      .at(-1);
  }

  /** Renders the settings from the template as the platform does. */
  async #renderSettings(
    role: string,
    ip: string,
    vmIndex: number,
    isFirstStart: boolean,
    seeds: readonly string[],
  ): Promise<string> {
    const template = await readFile('deploy/settings.ini', 'utf8');
    const listen: Readonly<Record<string, string>> =
      role === 'gateway'
        ? {
            front: `${ip}:${PORTS.front}`,
            ready: `${ip}:${PORTS.ready}`,
            directory: `${ip}:${PORTS.directory}`,
          }
        : { control: `${ip}:${PORTS.control}` };
    const values: Readonly<Record<string, string>> = {
      ...Object.fromEntries(Object.entries(listen).map(([key, value]) => [`listen.${key}`, value])),
      node: `vm-${vmIndex + 1}`,
      zone: this.#getZone(vmIndex),
      region: 'klang-valley',
      role,
      ip,
      'limits.cpu_share': '0.54',
      'limits.link_mbps': '1000.0',
      'internal_port_range.0': String(PORTS.peer),
      'internal_port_range.1': String(PORTS.gateway),
      seeds: seeds.map((seed) => `${seed}:${PORTS.control}`).join(','),
      data_dir: this.disklessVms.includes(vmIndex) ? '' : join(this.folder, `vm-${vmIndex + 1}`),
      bootstrap: String(isFirstStart),
      heartbeat: '400ms',
      'bounds.grace': `${this.grace}ms`,
      'bounds.config_apply': '2000ms',
      'bounds.retry_budget_ratio': '0.2',
      'bounds.retry_slack': '64',
      'bounds.probes_per_s': '60',
      'bounds.cold_factor': '1.5',
      'bounds.cold_slack': '5',
      'bounds.expose_share': '0.1',
      'bounds.expose_slack': '50',
      'fault_tolerance.machines': '1',
    };
    return renderSections(template, values).replace(
      /\{\{([\w.]+)\}\}/g,
      (_, key: string) => values[key] ?? '',
    );
  }

  async #writeSettings(
    role: 'gateway' | 'steward',
    ip: string,
    vmIndex: number,
    isFirstStart: boolean,
    seeds: readonly string[],
  ): Promise<string> {
    const file = join(this.folder, `${role}-${vmIndex + 1}.ini`);
    const rendered = await this.#renderSettings(role, ip, vmIndex, isFirstStart, seeds);
    await writeFile(file, `${rendered}\n${this.processOptions.extraSettings ?? ''}`);
    return file;
  }

  async startProcess(
    role: 'gateway' | 'steward',
    ip: string,
    vmIndex: number,
    isFirstStart: boolean,
    seeds: readonly string[] = this.controlIps,
  ): Promise<void> {
    const file = await this.#writeSettings(role, ip, vmIndex, isFirstStart, seeds);
    // A scenario that failed may still be starting processes.
    if (this.#isStopped) throw new Error('the site was stopped');
    const child = spawn(
      process.execPath,
      [...(this.processOptions.nodeFlags?.[role] ?? []), PROGRAM],
      {
        env: { ...process.env, NODE_OPTIONS: '', CHIVEWALK_BOOT: file },
        stdio: ['ignore', 'pipe', 'pipe'],
      },
    );
    const running: RunningProcess = {
      role,
      ip,
      vmIndex,
      zone: this.#getZone(vmIndex),
      child,
      output: '',
    };
    const appendOutput = (chunk: Buffer): void => {
      running.output = (running.output + chunk.toString()).slice(-200_000);
    };
    child.stdout.on('data', appendOutput);
    child.stderr.on('data', appendOutput);
    this.processes.set(`${role}-${vmIndex + 1}`, running);
  }

  /** Sends a signal to a process and waits until it exits. */
  async endProcess(name: string, signal: NodeJS.Signals): Promise<void> {
    const child = this.processes.get(name)?.child;
    if (child?.exitCode !== null || child.signalCode !== null) return;
    const exited = new Promise((resolve) => child.once('exit', resolve));
    child.kill(signal);
    await exited;
  }

  async restartProcess(name: string, wipesData: boolean): Promise<void> {
    const running = this.processes.get(name);
    if (running === undefined) return;
    const { vmIndex } = running;
    if (wipesData)
      await rm(join(this.folder, `vm-${vmIndex + 1}`), { recursive: true, force: true });
    await this.startProcess(running.role, running.ip, vmIndex, false);
  }

  async addUpstream(
    service: string,
    zoneIndex: number,
    number: number,
    version = 'v1',
  ): Promise<Upstream> {
    const zone = this.zones[zoneIndex] ?? '';
    const id = `${service}-${zone}-${number}`;
    const address = `127.${this.net}.${zoneIndex + 1}.${100 + number}:8080`;
    const upstream = new Upstream(id, address, service, zone, version);
    await upstream.start();
    this.upstreams.push(upstream);
    return upstream;
  }

  /** Starts an upstream that crashed again, under a new id at the same address. */
  async restartUpstream(crashed: Upstream): Promise<Upstream> {
    const { id, address, service, zone, version, behaviour } = crashed;
    const [base = '', starts = '0'] = id.split('+');
    const upstream = new Upstream(
      ...([`${base}+${Number(starts) + 1}`, address, service, zone, version] as const),
    );
    upstream.behaviour = behaviour;
    upstream.announcedAddress = crashed.announcedAddress;
    await upstream.start();
    this.upstreams.push(upstream);
    return upstream;
  }

  /** Sends an order to control addresses until one of them handles it. */
  async sendOrder(options: HttpRequestOptions): Promise<HttpResponse> {
    const deadline = performance.now() + 15_000;
    while (performance.now() < deadline && !this.#isStopped) {
      const [ip = ''] = pickRotation(this.controlIps);
      const answer = await this.#sendFollowingRedirects(ip, options, 2).catch(() => undefined);
      if (answer !== undefined && answer.status < 500 && answer.status !== 307) return answer;
      await sleep(50);
    }
    throw new Error(`no control address handled ${options.path}`);
  }

  async #sendFollowingRedirects(
    ip: string,
    options: HttpRequestOptions,
    redirectsLeft: number,
  ): Promise<HttpResponse> {
    const answer = await sendHttpRequest(ip, PORTS.control, { timeout: 1000, ...options });
    if (answer.status !== 307 || redirectsLeft === 0) return answer;
    return this.#sendFollowingRedirects(
      new URL(String(answer.headers.location)).hostname,
      options,
      redirectsLeft - 1,
    );
  }

  /**
   * Replaces the configuration with both services, these routes and `items`; `idleTimeout` is in milliseconds.
   */
  async putRoutes(
    routes: readonly Readonly<Record<string, unknown>>[],
    idleTimeout = 15_000,
    items: Readonly<Record<string, unknown>> = {},
  ): Promise<HttpResponse> {
    const base = this.version;
    const version = base + 3;
    const services = ['records', 'orders'].map((name) => ({
      name,
      health_path: '/health',
      max_conns: 200,
      protocol: 'h1',
      tls: false,
      cold_start: '1s',
      cold_per_s: 20,
    }));
    const body = JSON.stringify({
      ...items,
      version,
      services,
      limits: {
        max_header_bytes: 16384,
        max_body_bytes: 1048576,
        header_timeout: '3000ms',
        idle_timeout: `${idleTimeout}ms`,
      },
      hosts: [{ host: 'site.example', paths: routes }],
    });
    const headers = { 'X-Base-Version': String(base), 'Content-Type': 'application/json' };
    const answer = await this.sendOrder({ method: 'POST', path: '/-/Config.Put', headers, body });
    if (answer.status === 200) this.version = version;
    return answer;
  }

  /** Looks up gateway addresses as callers do; returns none if the lookup fails. */
  async resolve(zone: string): Promise<readonly string[]> {
    const [ip = ''] = pickRotation(this.gatewayIps);
    const path = `/-/resolve?name=site.example&region=klang-valley&zone=${zone}`;
    const answer = await sendHttpRequest(ip, PORTS.directory, { path, timeout: 1000 }).catch(
      () => undefined,
    );
    if (answer?.status !== 200) return [];
    return (JSON.parse(answer.body) as { addresses: readonly string[] }).addresses;
  }

  /** Sends one request to a gateway as a caller. */
  call(
    ip: string,
    path: string,
    options: Partial<HttpRequestOptions> = {},
    id = createId(),
  ): Promise<HttpResponse> {
    return sendHttpRequest(ip, PORTS.front, {
      ...options,
      path,
      headers: {
        Host: 'site.example',
        'X-Attempt-Id': id,
        'X-Deadline-Ms': '1000',
        ...options.headers,
      },
    });
  }

  /** Reads the configuration, starting at the control address with this index. */
  readConfiguration(index: number): Promise<HttpResponse> {
    return this.#sendFollowingRedirects(
      this.controlIps[index % this.controlIps.length] ?? '',
      { path: '/-/Config.Get' },
      2,
    );
  }

  /** Returns whether every steward is a member and counts the expected number of voters. */
  async hasVoters(expected: number): Promise<boolean> {
    const counts = await Promise.all(
      this.ips.map(async (ip) => {
        const term = await readMetric(ip, PORTS.stewardMetrics, 'chivewalk_steward_term');
        return term > 0 ? readMetric(ip, PORTS.stewardMetrics, 'chivewalk_steward_voters') : 0;
      }),
    ).catch((): readonly number[] => []);
    return counts.length > 0 && counts.every((count) => count === expected);
  }

  async isReady(ip: string): Promise<boolean> {
    const answer = await sendHttpRequest(ip, PORTS.ready, { path: '/-/readiness' }).catch(
      () => undefined,
    );
    return answer?.status === 200;
  }

  async stop(): Promise<void> {
    this.#isStopped = true;
    clearInterval(this.#heartbeatTimer);
    this.upstreams.forEach((upstream) => {
      upstream.stop();
    });
    await Promise.all([...this.processes.keys()].map((name) => this.endProcess(name, 'SIGKILL')));
    this.networkLock.close();
    await rm(this.folder, { recursive: true, force: true });
  }
}

export function createId(): string {
  return randomBytes(8).toString('hex');
}

/** Polls until the condition holds. */
export async function waitUntil(
  description: string,
  condition: () => Promise<boolean> | boolean,
  limit = 15_000,
): Promise<void> {
  const deadline = performance.now() + limit;
  while (!(await condition())) {
    if (performance.now() > deadline) throw new Error(`timed out waiting until ${description}`);
    await sleep(25);
  }
}

/** Returns the sum of a metric over its labels. */
export async function readMetric(ip: string, port: number, name: string): Promise<number> {
  const { body } = await sendHttpRequest(ip, port, { path: '/metrics' });
  return body
    .split('\n')
    .filter((line) => line.startsWith(name))
    .reduce((sum, line) => sum + Number(line.split(' ').at(-1)), 0);
}
