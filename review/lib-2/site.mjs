/**
 * A small site for review cases: starts the stewards and gateways with the commands of the deploy file on loopback
 * addresses, and plays the operator, the servers and the clients of the users' protocol. Nothing is imported from the
 * project; the settings are rendered from its template.
 */
import { spawn } from 'node:child_process';
import { randomBytes } from 'node:crypto';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, request as httpRequest } from 'node:http';
import { connect, createServer as createTcpServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join, resolve } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

export { sleep };

const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '..', '..');
const ZONES = ['shah-alam', 'putrajaya', 'cyberjaya'];
const LIMIT_MS = 110_000;

/** Whether the disruption of the case is left out. */
export const hasTrouble = process.env.TROUBLE !== '0';

export function createId() {
  return randomBytes(8).toString('hex');
}

/** Sends one HTTP call on a new connection and resolves to its answer; rejects without a complete one. */
export function call(ip, port, { method = 'GET', path, headers = {}, body, timeout = 2000 }) {
  return new Promise((resolvePromise, reject) => {
    const sent = httpRequest(
      { host: ip, port, method, path, headers, agent: false },
      (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('error', reject);
        response.on('end', () => {
          clearTimeout(timer);
          const { statusCode: status, headers: found, complete } = response;
          if (!complete) reject(new Error('the answer broke off'));
          else resolvePromise({ status, headers: found, body: Buffer.concat(chunks) });
        });
      },
    );
    const timer = setTimeout(() => sent.destroy(new Error('no answer in time')), timeout);
    sent.on('error', (error) => {
      clearTimeout(timer);
      reject(error);
    });
    sent.end(body);
  });
}

function readCommand(role) {
  const text = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1]?.split('\n[')[0] ?? '';
  const run = /^run = "([^"]*)"/m.exec(section)?.[1];
  if (run === undefined) throw new Error(`the deploy file has no command of the role ${role}`);
  return run.split(' ');
}

function renderTemplate(values) {
  const template = readFileSync(join(ROOT, 'deploy', 'settings.ini'), 'utf8');
  return template
    .replace(/\{\{#([\w.]+)\}\}([^]*?)\{\{\/\1\}\}/g, (_, key, inner) =>
      key in values ? inner : '',
    )
    .replace(/\{\{\^([\w.]+)\}\}([^]*?)\{\{\/\1\}\}/g, (_, key, inner) =>
      key in values ? '' : inner,
    )
    .replace(/\{\{([\w.]+)\}\}/g, (_, key) => values[key] ?? '');
}

function isFree(ip, port) {
  return new Promise((resolvePromise) => {
    const server = createTcpServer();
    server.once('error', () => resolvePromise(false));
    server.listen(port, ip, () => server.close(() => resolvePromise(true)));
  });
}

/** A server of the users' protocol on a loopback address. */
export class Backend {
  /** Requests that it began to run, as `{ id, path, at }`. */
  runs = [];
  state = 'ready';
  sequence = 0;
  born = Date.now();
  #timer;

  constructor(site, { id, service, zone = ZONES[0], ip, port = 8080, handle, slots = 6, server }) {
    Object.assign(this, { site, id, service, zone, ip, port, handle, slots });
    this.address = `${ip}:${port}`;
    this.server =
      server ??
      createServer({ keepAliveTimeout: 10_000 }, (request, response) => {
        this.#serve(request, response);
      });
  }

  #serve(request, response) {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      const load = { 'X-Server-Load': `0,0,${this.slots},100` };
      if (request.url === '/health') {
        const status = this.state === 'ready' ? 200 : 503;
        response.writeHead(status, { ...load, 'X-Instance-Id': this.id, 'Content-Length': 0 });
        response.end();
        return;
      }
      const attempt = String(request.headers['x-attempt-id'] ?? '');
      const expected = request.headers['x-expect-instance'] ?? this.id;
      const echo = { ...load, 'X-Attempt-Id': attempt };
      if (expected !== this.id) {
        response.writeHead(421, { ...echo, 'X-Instance-Id': this.id, 'Content-Length': 0 });
        response.end();
        return;
      }
      this.runs.push({ id: attempt, path: request.url, at: performance.now() });
      this.site.record(`backend ${this.id} runs ${attempt} ${request.method} ${request.url}`);
      const body = Buffer.concat(chunks);
      const headers = { ...echo, 'X-Server-Seal': `seal-${attempt}` };
      (this.handle ?? answerAtOnce)({ request, response, body, headers, attempt });
    });
  }

  async start() {
    await new Promise((done, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.port, this.ip, done);
    });
  }

  /** Sends a heartbeat; resolves to whether it was acknowledged. */
  async beat(ips = this.site.stewardIps) {
    this.sequence += 1;
    const body = JSON.stringify({
      address: this.address,
      born: this.born,
      info: { service: this.service, version: 'v1', zone: this.zone, slots: this.slots },
      status: { state: this.state, seq: this.sequence, cold_left: '0ms' },
    });
    const path = `/-/Instances.Heartbeat/${this.id}`;
    const answer = await this.site
      .control(ips, { method: 'POST', path, body })
      .catch(() => undefined);
    return answer?.status === 200;
  }

  /** Sends heartbeats until they are stopped. */
  keepBeating() {
    void this.beat();
    this.#timer = setInterval(() => void this.beat(), this.site.heartbeat);
  }

  stopBeating() {
    clearInterval(this.#timer);
  }

  close() {
    this.stopBeating();
    this.server.close();
    this.server.closeAllConnections?.();
  }
}

function answerAtOnce({ response, headers, attempt }) {
  const body = Buffer.from(`answer to ${attempt}`);
  response.writeHead(200, { ...headers, 'Content-Length': body.length });
  response.end(body);
}

/** Stewards and gateways as processes, each on a loopback address of its own. */
export class Site {
  processes = new Map();
  backends = [];
  heartbeat = 1500;
  grace = 6000;
  version = 0;
  ports = {};

  constructor(folder) {
    this.caseFolder = folder;
    this.recordFile = join(folder, 'record.txt');
    writeFileSync(this.recordFile, '');
    this.startedAt = performance.now();
    this.folder = mkdtempSync(join(tmpdir(), 'chivewalk-review-'));
  }

  record(line) {
    const at = ((performance.now() - this.startedAt) / 1000).toFixed(3).padStart(8);
    appendFileSync(this.recordFile, `${at} ${line}\n`);
  }

  /** Chooses a loopback network and ports that are free there. */
  async claimNetwork() {
    const net = 16 + Math.floor(Math.random() * 220);
    const base = 10_000 + Math.floor(Math.random() * 15_000);
    const names = ['front', 'ready', 'control', 'directory', 'peer', 'gateway'];
    const ports = Object.fromEntries(names.map((name, at) => [name, base + at]));
    const wanted = [...Object.values(ports), 9464, 9465];
    const ips = ZONES.map((_, at) => `127.${net}.${at + 1}.1`);
    const free = await Promise.all(ips.flatMap((ip) => wanted.map((port) => isFree(ip, port))));
    if (!free.every(Boolean)) {
      await this.claimNetwork();
      return;
    }
    Object.assign(this, { net, ports });
  }

  async start({ stewards = 3, gateways = 2 } = {}) {
    await this.claimNetwork();
    this.stewardIps = ZONES.slice(0, stewards).map((_, at) => `127.${this.net}.${at + 1}.1`);
    this.gatewayIps = ZONES.slice(0, gateways).map((_, at) => `127.${this.net}.${at + 1}.1`);
    this.stewardIps.forEach((ip, at) => this.startProcess('steward', ip, at, true));
    this.gatewayIps.forEach((ip, at) => this.startProcess('gateway', ip, at, true));
  }

  startProcess(role, ip, at, isFirst = false) {
    const name = `${role}-${at + 1}`;
    const { ports } = this;
    const listen =
      role === 'gateway'
        ? {
            'listen.front': `${ip}:${ports.front}`,
            'listen.ready': `${ip}:${ports.ready}`,
            'listen.directory': `${ip}:${ports.directory}`,
          }
        : { 'listen.control': `${ip}:${ports.control}` };
    const settings = join(this.folder, `${name}.ini`);
    const values = {
      ...listen,
      node: `vm-${at + 1}`,
      zone: ZONES[at % ZONES.length],
      region: 'klang-valley',
      role,
      ip,
      'limits.cpu_share': '0.945',
      'limits.memory_mb': '350',
      'internal_port_range.0': String(ports.peer),
      'internal_port_range.1': String(ports.gateway),
      seeds: this.stewardIps.map((seed) => `${seed}:${ports.control}`).join(','),
      data_dir: join(this.folder, `data-${at + 1}`),
      bootstrap: String(isFirst),
      heartbeat: `${this.heartbeat}ms`,
      'bounds.grace': `${this.grace}ms`,
      'bounds.config_apply': '2000ms',
      'bounds.retry_budget_ratio': '0.2',
      'bounds.retry_slack': '64',
      'bounds.probes_per_s': '60',
      'bounds.cold_factor': '1.5',
      'bounds.cold_slack': '5',
    };
    writeFileSync(settings, renderTemplate(values));
    const [, ...words] = readCommand(role);
    const child = spawn(process.execPath, words, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, CHIVEWALK_BOOT: settings },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const running = { name, role, ip, at, child, output: '', ended: undefined };
    const keep = (chunk) => {
      running.output = (running.output + chunk.toString()).slice(-400_000);
    };
    child.stdout.on('data', keep);
    child.stderr.on('data', keep);
    child.on('exit', (code, signal) => {
      running.ended = { code, signal };
      this.record(`process ${name} ended: code ${code} signal ${signal}`);
    });
    this.processes.set(name, running);
    this.record(`process ${name} started on ${ip}`);
    return running;
  }

  signal(name, signal) {
    this.record(`signal ${signal} to ${name}`);
    this.processes.get(name)?.child.kill(signal);
  }

  async waitForEnd(name, limit = 10_000) {
    const running = this.processes.get(name);
    return waitUntil(() => running.ended !== undefined, limit);
  }

  /** Sends a call to a control address, follows two redirects, and resolves to the answer. */
  async control(ips, options, redirects = 2) {
    const ip = ips[Math.floor(Math.random() * ips.length)];
    const answer = await call(ip, this.ports.control, { timeout: 1000, ...options });
    if (answer.status !== 307 || redirects === 0) return answer;
    return this.control([new URL(answer.headers.location).hostname], options, redirects - 1);
  }

  /** Sends an order until it gets a clear answer. */
  async order(options, limit = 15_000) {
    const until = performance.now() + limit;
    while (performance.now() < until) {
      const answer = await this.control(this.stewardIps, options).catch(() => undefined);
      if (answer !== undefined && answer.status < 500 && answer.status !== 307) {
        this.record(`order ${options.path} is answered ${answer.status}`);
        return answer;
      }
      await sleep(100);
    }
    throw new Error(`no steward answered ${options.path}`);
  }

  /** Puts a whole configuration with these routes at the host `site.example`. */
  async putRoutes(routes, limit = 15_000) {
    const base = this.version;
    const version = base + 2;
    const names = [...new Set(routes.map(({ service }) => service))];
    const services = names.map((name) => ({
      ...{ name, health_path: '/health', max_conns: 260, protocol: 'h1', tls: false },
      ...{ cold_start: '3s', cold_per_s: 22 },
    }));
    const limits = {
      ...{ max_header_bytes: 16_384, max_body_bytes: 67_108_864 },
      ...{ header_timeout: '3000ms', idle_timeout: '15000ms' },
    };
    const body = JSON.stringify({
      ...{ version, services, limits, hosts: [{ host: 'site.example', paths: routes }] },
    });
    const headers = { 'X-Base-Version': String(base), 'Content-Type': 'application/json' };
    const order = { method: 'POST', path: '/-/Config.Put', headers, body };
    const answer = await this.order(order, limit);
    if (answer.status !== 200) throw new Error(`the configuration is answered ${answer.status}`);
    this.version = version;
  }

  /** Adds a server, which announces itself unless `silent` is set. */
  async addBackend(options) {
    const number = this.backends.length + 1;
    const ip = `127.${this.net}.1.${100 + number}`;
    const backend = new Backend(this, { ip, ...options });
    await backend.start();
    this.backends.push(backend);
    if (!options.silent) {
      backend.keepBeating();
      await waitUntil(() => backend.beat(), 15_000);
    }
    return backend;
  }

  /** Sends a request to a gateway as a client. */
  request(ip, path, { method = 'GET', deadline = 600, headers = {}, body, id = createId() } = {}) {
    this.record(`client sends ${id} ${method} ${path}`);
    return call(ip, this.ports.front, {
      ...{ method, path, body, timeout: deadline + 400 },
      headers: {
        ...{ Host: 'site.example', 'X-Attempt-Id': id, 'X-Deadline-Ms': String(deadline) },
        ...headers,
      },
    }).then(
      (answer) => {
        this.record(`client gets ${id} ${answer.status}`);
        return { id, ...answer };
      },
      (error) => {
        this.record(`client gets ${id} no answer: ${error.message}`);
        return { id, status: 0, error };
      },
    );
  }

  /** Opens a connection to a gateway, for clients that write bytes themselves. */
  connect(ip) {
    return connect({ host: ip, port: this.ports.front });
  }

  async isReady(ip) {
    const path = '/-/readiness';
    const answer = await call(ip, this.ports.ready, { path }).catch(() => undefined);
    return answer?.status === 200;
  }

  /** Waits until each gateway is ready and has served a request. */
  async waitUntilServing(path, method = 'GET') {
    for (const ip of this.gatewayIps) {
      const serves = async () =>
        (await this.isReady(ip)) && (await this.request(ip, path, { method })).status === 200;
      if (!(await waitUntil(serves, 20_000)))
        throw new Error(`the gateway at ${ip} does not serve`);
    }
  }

  async stop() {
    this.backends.forEach((backend) => backend.close());
    for (const { child, ended } of this.processes.values())
      if (ended === undefined) child.kill('SIGKILL');
    await waitUntil(
      () => [...this.processes.values()].every(({ ended }) => ended !== undefined),
      5000,
    );
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/** Waits until the condition holds; resolves to whether it did in time. */
export async function waitUntil(condition, limit) {
  const until = performance.now() + limit;
  while (performance.now() < until) {
    if (await condition()) return true;
    await sleep(50);
  }
  return false;
}

/**
 * Runs a case: `play` gets a site and returns a list of what broke the rule. Exits with 1 if it was broken, 0 if it
 * held, and 2 if the case could not run.
 */
export async function runCase(url, play) {
  const site = new Site(dirname(fileURLToPath(url)));
  let status = 2;
  const giveUp = (reason) => {
    site.record(`the case could not run: ${reason}`);
    console.log(`could not run: ${reason}`);
    void site.stop().finally(() => process.exit(2));
  };
  const limit = setTimeout(() => giveUp('it takes too long'), LIMIT_MS);
  process.on('uncaughtException', (error) => giveUp(error.stack));
  for (const signal of ['SIGTERM', 'SIGINT']) process.on(signal, () => giveUp(signal));
  try {
    const broken = await play(site);
    broken.forEach((line) => site.record(`BROKEN ${line}`));
    site.record(broken.length > 0 ? 'the rule was broken' : 'the rule held');
    console.log(broken.length > 0 ? `broken: ${broken[0]}` : 'held');
    status = broken.length > 0 ? 1 : 0;
  } catch (error) {
    site.record(`the case could not run: ${error.stack}`);
    console.log(`could not run: ${error.message}`);
  }
  clearTimeout(limit);
  await site.stop();
  process.exit(status);
}

/** A route of a configuration. */
export function createRoute(name, prefix, kind, service, timeout = '600ms', maxAttempts = 2) {
  return {
    ...{ name, path_prefix: prefix, kind, timeout, target_latency: '250ms', priority: 1 },
    ...{ service, max_attempts: maxAttempts },
  };
}
