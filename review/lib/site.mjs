/**
 * A small site on loopback for the review's scripts: three VMs, each with a steward and a gateway, started with
 * the commands of the deploy file, and stand-ins for upstreams, callers and the operator.
 */
import { spawn } from 'node:child_process';
import { randomBytes } from 'node:crypto';
import {
  appendFileSync,
  existsSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { createServer as createHttpServer, request as sendRequest } from 'node:http';
import { connect, createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';

export { sleep };
export const PORTS = { front: 8381, ready: 8388, directory: 8383, control: 8382, peer: 7200 };
const LAST_INTERNAL_PORT = 7215;
/** Held on the first address of a network while a site uses it. */
const LOCK_PORT = 7999;
/** Milliseconds within which the site must serve, and an order must be acknowledged. */
const START_LIMIT = 30_000;
export const HEARTBEAT_MS = 1500;
export const GRACE_MS = 6000;
export const SLOTS = 6;
const ZONES = ['zone-a', 'zone-b', 'zone-c'];
const REGION = 'region-1';
export const HOST = 'site.example';
const PROGRAM = 'target/chivewalk.mjs';
/** Exit codes of a case. */
const HELD = 0;
const BROKEN = 1;
const COULD_NOT_RUN = 2;

const startedAt = performance.now();
let recordFile;

/** Begins the record of a case in its folder. */
export function openRecord(folder) {
  recordFile = join(folder, 'record.txt');
  writeFileSync(recordFile, '');
}

/** Adds a line with the milliseconds since the start to the record. */
export function record(text) {
  const at = String(Math.round(performance.now() - startedAt)).padStart(6);
  appendFileSync(recordFile, `${at} ms  ${text}\n`);
}

export function createId() {
  return randomBytes(8).toString('hex');
}

/** Polls until the condition holds; throws if it doesn't within the limit. */
export async function waitUntil(description, condition, limit = START_LIMIT) {
  const until = performance.now() + limit;
  while (!(await condition())) {
    if (performance.now() > until) throw new Error(`timed out waiting until ${description}`);
    await sleep(25);
  }
}

/** Sends one HTTP request on a new connection. */
export function call(ip, port, { method = 'GET', path, headers = {}, body, timeout = 1000 }) {
  return new Promise((resolve, reject) => {
    const sent = sendRequest(
      { host: ip, port, method, path, headers, agent: false, timeout },
      (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('error', reject);
        response.on('end', () => {
          resolve({
            status: response.statusCode,
            headers: response.headers,
            body: Buffer.concat(chunks).toString(),
          });
        });
      },
    );
    sent.on('timeout', () => sent.destroy(new Error('no response in time')));
    sent.on('error', reject);
    sent.end(body);
  });
}

/** Follows up to two redirects, as operators and upstreams do. */
async function callControl(ip, options, redirectsLeft = 2) {
  const answer = await call(ip, PORTS.control, options);
  if (answer.status !== 307 || redirectsLeft === 0) return answer;
  return callControl(new URL(answer.headers.location).hostname, options, redirectsLeft - 1);
}

/** Fills in the template of the settings as the platform does, for the placeholders that it uses. */
function renderTemplate(template, values) {
  return template
    .replace(/\{\{#([\w.]+)\}\}([^]*?)\{\{\/\1\}\}/g, (_, key, inner) =>
      key in values ? inner : '',
    )
    .replace(/\{\{\^([\w.]+)\}\}([^]*?)\{\{\/\1\}\}/g, (_, key, inner) =>
      key in values ? '' : inner,
    )
    .replace(/\{\{([\w.]+)\}\}/g, (_, key) => values[key] ?? '');
}

/** Returns the words of the command of a role in the deploy file. */
function readCommand(role) {
  const text = readFileSync('deploy/system.toml', 'utf8');
  const section = text.split(`[roles.${role}]`)[1].split('\n[')[0];
  return /^run = "(.*)"$/m.exec(section)[1].split(' ');
}

async function claimNetwork() {
  const net = 20 + Math.floor(Math.random() * 200);
  const lock = createServer();
  const isFree = await new Promise((resolve) => {
    lock.once('error', () => resolve(false));
    lock.listen(LOCK_PORT, `127.${net}.1.1`, () => resolve(true));
  });
  return isFree ? { net, lock } : claimNetwork();
}

/**
 * An upstream with slots. A request names in its query how long it works (`work`, ms), how long its answer is
 * (`bytes`) and whether the answer has no length (`unframed=1`). It echoes the id and seals its answers, answers
 * 421 to requests for another instance, and drops a request whose connection closes.
 */
export class Upstream {
  runs = [];
  acknowledged = 0;
  isAnnounced = true;
  state = 'ready';
  born = Date.now();
  #sequence = 0;
  #running = 0;
  /** Functions to call when a connection closes, by connection. */
  #onClose = new WeakMap();

  constructor(id, service, zone, address) {
    Object.assign(this, { id, service, zone, address });
    this.server = createHttpServer({ keepAliveTimeout: 10_000 }, (request, response) =>
      this.#handle(request, response),
    );
    this.server.on('connection', (socket) => {
      const listeners = new Set();
      this.#onClose.set(socket, listeners);
      socket.on('error', () => undefined);
      socket.on('close', () => listeners.forEach((listener) => listener()));
    });
  }

  async start() {
    const [host, port] = this.address.split(':');
    await new Promise((resolve) => this.server.listen(Number(port), host, resolve));
  }

  stop() {
    this.isAnnounced = false;
    this.server.close();
    this.server.closeAllConnections();
  }

  #load() {
    return { 'X-Server-Load': `${this.#running},0,${SLOTS},100`, 'X-Instance-Id': this.id };
  }

  #handle(request, response) {
    let received = 0;
    request.on('error', () => undefined);
    request.on('data', (chunk) => (received += chunk.length));
    request.on('end', () => {
      const id = String(request.headers['x-attempt-id'] ?? '');
      if (request.url === '/health') {
        response.writeHead(200, this.#load()).end();
        return;
      }
      if ((request.headers['x-expect-instance'] ?? this.id) !== this.id) {
        response.writeHead(421, { 'X-Attempt-Id': id, 'X-Not-Executed': '1' }).end();
        return;
      }
      this.#run(id, received, request, response);
    });
  }

  #run(id, received, request, response) {
    const query = new URL(request.url, `http://${HOST}`).searchParams;
    const run = { id, target: request.url, upstream: this.id, startedAt: performance.now() };
    run.outcome = 'working';
    this.runs.push(run);
    this.#running += 1;
    if (query.has('watch')) record(`${this.id} begins to run ${id}, body of ${received} bytes`);
    const timer = setTimeout(
      () => {
        end('answered');
        this.#answer(id, query, response);
      },
      Number(query.get('work') ?? 5),
    );
    const end = (outcome) => {
      if (run.outcome !== 'working') return;
      clearTimeout(timer);
      listeners.delete(drop);
      this.#running -= 1;
      run.outcome = outcome;
      if (query.has('watch')) {
        const time = Math.round(performance.now() - run.startedAt);
        record(`${this.id} ${outcome} ${id} after ${time} ms of work`);
      }
    };
    const drop = () => end('dropped, as its connection was closed,');
    const listeners = this.#onClose.get(request.socket);
    listeners.add(drop);
  }

  #answer(id, query, response) {
    const body = Buffer.alloc(Number(query.get('bytes') ?? 20), 'x');
    const headers = { ...this.#load(), 'X-Attempt-Id': id, 'X-Server-Seal': `seal-${id}` };
    if (query.get('unframed') !== '1') {
      response.writeHead(200, { ...headers, 'Content-Length': String(body.length) }).end(body);
      return;
    }
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
    response.socket.write(`HTTP/1.1 200 OK\r\n${lines.join('')}Connection: close\r\n\r\n`);
    response.socket.end(body);
  }

  /** Announces itself as PROTOCOL describes; returns whether it was acknowledged. */
  async announce(ips) {
    this.#sequence += 1;
    const body = JSON.stringify({
      address: this.address,
      born: this.born,
      info: { service: this.service, version: 'v1', zone: this.zone, slots: SLOTS },
      status: { state: this.state, seq: this.#sequence, cold_left: '0ms' },
    });
    const path = `/-/Instances.Heartbeat/${this.id}`;
    for (const ip of ips) {
      const answer = await callControl(ip, { method: 'POST', path, body }).catch(() => undefined);
      if (answer?.status === 200) {
        this.acknowledged += 1;
        return true;
      }
    }
    return false;
  }
}

/** A caller's connection on which several requests may be under way. Reads answers as they arrive. */
export class CallerConnection {
  answers = [];
  endedAt;
  /** How the connection ended: 'end' (in order) or an error code. */
  ending;
  #buffer = Buffer.alloc(0);

  constructor(ip) {
    this.socket = connect({ host: ip, port: PORTS.front, noDelay: true });
    this.socket.on('data', (chunk) => this.#read(chunk));
    this.socket.on('end', () => this.#end('end'));
    this.socket.on('error', (error) => this.#end(error.code));
    this.socket.on('close', () => this.#end('close'));
  }

  #end(how) {
    this.ending ??= how;
    this.endedAt ??= performance.now();
  }

  /** Sends requests one behind the other; a body may be text or bytes. */
  send(requests) {
    requests.forEach(({ method = 'GET', path, id, deadline, body = '' }) => {
      const length = method === 'GET' ? '' : `Content-Length: ${Buffer.byteLength(body)}\r\n`;
      const head = `${method} ${path} HTTP/1.1\r\nHost: ${HOST}\r\nX-Attempt-Id: ${id}\r\n`;
      this.socket.write(`${head}X-Deadline-Ms: ${deadline}\r\n${length}\r\n`);
      if (body.length > 0) this.socket.write(body);
    });
  }

  #read(chunk) {
    this.#buffer = Buffer.concat([this.#buffer, chunk]);
    for (;;) {
      const end = this.#buffer.indexOf('\r\n\r\n');
      if (end < 0) return;
      const head = this.#buffer.toString('latin1', 0, end);
      const length = Number(/\r\ncontent-length: (\d+)/i.exec(head)?.[1] ?? 0);
      if (this.#buffer.length < end + 4 + length) return;
      this.answers.push({
        status: Number(head.slice(9, 12)),
        id: /\r\nx-attempt-id: (\S+)/i.exec(head)?.[1],
        at: performance.now(),
      });
      this.#buffer = this.#buffer.subarray(end + 4 + length);
    }
  }
}

/** The site. */
export class Site {
  processes = new Map();
  upstreams = [];
  version = 0;

  /** Starts the site; `delays` are the milliseconds after which the processes of each VM start. */
  static async start(delays = [0, 0, 0]) {
    const site = new Site();
    Object.assign(site, await claimNetwork());
    site.folder = mkdtempSync(join(tmpdir(), 'chivewalk-review-'));
    site.ips = ZONES.map((_, at) => `127.${site.net}.${at + 1}.1`);
    ZONES.forEach(async (_, at) => {
      await sleep(delays[at]);
      site.startProcess('steward', at, true);
      site.startProcess('gateway', at, true);
    });
    site.beatTimer = setInterval(() => {
      site.upstreams
        .filter(({ isAnnounced }) => isAnnounced)
        .forEach((upstream) => void upstream.announce(site.ips));
    }, HEARTBEAT_MS);
    return site;
  }

  #renderSettings(role, at, isFirstStart) {
    const ip = this.ips[at];
    const listen =
      role === 'gateway'
        ? { front: PORTS.front, ready: PORTS.ready, directory: PORTS.directory }
        : { control: PORTS.control };
    return renderTemplate(readFileSync('deploy/settings.ini', 'utf8'), {
      ...Object.fromEntries(
        Object.entries(listen).map(([name, port]) => [`listen.${name}`, `${ip}:${port}`]),
      ),
      node: `vm-${at + 1}`,
      zone: ZONES[at],
      region: REGION,
      role,
      ip,
      'limits.cpu_share': '0.945',
      'internal_port_range.0': String(PORTS.peer),
      'internal_port_range.1': String(LAST_INTERNAL_PORT),
      seeds: this.ips.map((seed) => `${seed}:${PORTS.control}`).join(','),
      data_dir: join(this.folder, `vm-${at + 1}`),
      bootstrap: String(isFirstStart),
      heartbeat: `${HEARTBEAT_MS}ms`,
      'bounds.grace': `${GRACE_MS}ms`,
      'bounds.config_apply': '2000ms',
      'bounds.retry_budget_ratio': '0.2',
      'bounds.retry_slack': '64',
      'bounds.probes_per_s': '60',
      'bounds.cold_factor': '1.5',
      'bounds.cold_slack': '5',
    });
  }

  startProcess(role, at, isFirstStart) {
    const name = `${role}-${at + 1}`;
    const file = join(this.folder, `${name}.ini`);
    writeFileSync(file, this.#renderSettings(role, at, isFirstStart));
    const [program, ...words] = readCommand(role);
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(program, words, {
      env: { PATH, HOME, LANG, CHIVEWALK_BOOT: file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const running = { child, output: '' };
    const add = (chunk) => (running.output = (running.output + chunk).slice(-400_000));
    child.stdout.on('data', add);
    child.stderr.on('data', add);
    child.on('exit', (code, signal) => {
      running.exitedAt = performance.now();
      if (!this.isStopping) record(`${name} ended: ${signal ?? `exit code ${code}`}`);
    });
    this.processes.set(name, running);
  }

  signal(name, signal) {
    record(`${signal} to ${name}`);
    this.processes.get(name).child.kill(signal);
  }

  async addUpstream(service, zoneAt, number) {
    const id = `${service}-${zoneAt + 1}-${number}`;
    const address = `127.${this.net}.${zoneAt + 1}.${100 + number}:8080`;
    const upstream = new Upstream(id, service, ZONES[zoneAt], address);
    await upstream.start();
    this.upstreams.push(upstream);
    return upstream;
  }

  /** Sends an order of the operator until it is answered clearly; throws if it is not within the limit. */
  async order(options, limit = START_LIMIT) {
    const until = performance.now() + limit;
    for (let at = 0; performance.now() < until; at += 1) {
      const ip = this.ips[at % this.ips.length];
      const answer = await callControl(ip, options).catch(() => undefined);
      if (answer !== undefined && answer.status < 500 && answer.status !== 307) return answer;
      await sleep(100);
    }
    throw new Error(`no answer to ${options.path}`);
  }

  async putRoutes(services, routes, limit) {
    const base = this.version;
    this.version += 3;
    const body = JSON.stringify({
      version: this.version,
      services: services.map((name) => ({
        ...{ name, health_path: '/health', max_conns: 260, protocol: 'h1', tls: false },
        ...{ cold_start: '3s', cold_per_s: 22 },
      })),
      limits: {
        ...{ max_header_bytes: 16384, max_body_bytes: 67108864 },
        ...{ header_timeout: '3000ms', idle_timeout: '15000ms' },
      },
      hosts: [{ host: HOST, paths: routes }],
    });
    const headers = { 'X-Base-Version': String(base), 'Content-Type': 'application/json' };
    const answer = await this.order(
      { method: 'POST', path: '/-/Config.Put', headers, body },
      limit,
    );
    if (answer.status !== 200) throw new Error(`configuration refused: ${answer.body}`);
  }

  /** Waits until every gateway is ready and answers a request of each path with 200 several times in a row. */
  async waitUntilServed(paths) {
    await waitUntil('all gateways are ready', async () => {
      const ready = await Promise.all(
        this.ips.map((ip) =>
          call(ip, PORTS.ready, { path: '/-/readiness' }).catch(() => undefined),
        ),
      );
      return ready.every((answer) => answer?.status === 200);
    });
    await waitUntil('all upstreams are acknowledged', () =>
      this.upstreams.every(({ acknowledged }) => acknowledged > 0),
    );
    await waitUntil('every gateway serves', async () => {
      const answers = await Promise.all(
        this.ips.flatMap((ip) => paths.map((path) => this.request(ip, path))),
      );
      return answers.every((answer) => answer?.status === 200);
    });
  }

  /** Sends one request to a gateway on a new connection; undefined if it got no whole answer. */
  request(ip, path, { method = 'GET', id = createId(), deadline = 2000, body } = {}) {
    const headers = { Host: HOST, 'X-Attempt-Id': id, 'X-Deadline-Ms': String(deadline) };
    const options = { method, path, headers, body, timeout: deadline + 1000 };
    return call(ip, PORTS.front, options).catch(() => undefined);
  }

  findRuns(id) {
    return this.upstreams.flatMap(({ runs }) => runs.filter((run) => run.id === id));
  }

  async stop() {
    this.isStopping = true;
    clearInterval(this.beatTimer);
    this.upstreams.forEach((upstream) => upstream.stop());
    await Promise.all(
      [...this.processes.values()].map(async ({ child, exitedAt }) => {
        if (exitedAt !== undefined) return;
        const exited = new Promise((resolve) => child.once('exit', resolve));
        child.kill('SIGKILL');
        await exited;
      }),
    );
    this.lock.close();
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/**
 * Runs a case: `play` returns true if the rule held. Exits with 0 if it held, 1 if it was broken and 2 if the case
 * couldn't run.
 */
export async function runCase(folder, play, delays) {
  openRecord(folder);
  record(
    process.env.TROUBLE === '0' ? 'without the disruption (TROUBLE=0)' : 'with the disruption',
  );
  let site;
  const finish = async (code, text) => {
    record(text);
    await site?.stop();
    process.exit(code);
  };
  const abort = (reason) => void finish(COULD_NOT_RUN, `could not run: ${reason}`);
  process.on('uncaughtException', ({ message }) => abort(message));
  process.on('unhandledRejection', (reason) => abort(String(reason)));
  ['SIGTERM', 'SIGINT'].forEach((signal) => process.on(signal, () => abort(signal)));
  try {
    if (!existsSync(PROGRAM))
      throw new Error(`${PROGRAM} is missing: run the build of the deploy file`);
    site = await Site.start(delays);
    const hasHeld = await play(site);
    await finish(hasHeld ? HELD : BROKEN, hasHeld ? 'the rule held' : 'THE RULE WAS BROKEN');
  } catch ({ message }) {
    await finish(COULD_NOT_RUN, `could not run: ${message}`);
  }
}
