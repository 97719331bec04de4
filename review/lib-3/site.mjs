/**
 * A small deployment on loopback addresses for the cases of this review: each machine runs a steward and a gateway,
 * started with the commands of the deploy file and settings rendered from its template, as DEPLOY.md says.
 */
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, connect } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { request } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

export const PORTS = {
  front: 8381,
  ready: 8388,
  directory: 8383,
  control: 8382,
  low: 7200,
  high: 7215,
};

/** Bounds of sites/jktp-seamgate.toml. */
const BOUNDS = {
  grace: '6s',
  config_apply: '2000ms',
  max_skew: '5000ms',
  retry_budget_ratio: 0.2,
  retry_slack: 64,
  expose_share: 0.1,
  expose_slack: 50,
  cold_factor: 1.5,
  cold_slack: 5,
  probes_per_s: 60,
};

/** Lines of what was sent, answered and run; written to a file at the end. */
export class Record {
  lines = [];
  startedAt = performance.now();
  add(text) {
    this.lines.push(`${((performance.now() - this.startedAt) / 1000).toFixed(3)} ${text}`);
  }
  write(file) {
    writeFileSync(file, `${this.lines.join('\n')}\n`);
  }
}

export { sleep };

/** Sends one call to a JSON interface on a new connection. */
export function call(host, port, { method = 'GET', path, headers = {}, body, timeout = 1000 }) {
  return new Promise((resolve, reject) => {
    const sent = request(
      { host, port, method, path, headers, agent: false, timeout },
      (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('error', reject);
        response.on('end', () =>
          resolve({
            status: response.statusCode,
            headers: response.headers,
            body: Buffer.concat(chunks).toString(),
          }),
        );
      },
    );
    sent.on('timeout', () => sent.destroy(new Error('no response in time')));
    sent.on('error', reject);
    sent.end(body);
  });
}

function lookUp(fields, key) {
  return key.split('.').reduce((value, part) => value?.[part], fields);
}

/** Renders the parts of the platform's template language that deploy/settings.ini uses. */
function render(template, fields) {
  const sections = template.replace(
    /\{\{([#^])([\w.]+)\}\}([^]*?)\{\{\/\2\}\}/g,
    (_, sign, key, inner) => {
      const value = lookUp(fields, key);
      const isPresent = value !== undefined && value !== false;
      return isPresent === (sign === '#') ? render(inner, fields) : '';
    },
  );
  return sections.replace(/\{\{([\w.]+)\}\}/g, (_, key) => String(lookUp(fields, key) ?? ''));
}

/** Returns the command of a role in the deploy file. */
function readCommand(role) {
  const text = readFileSync('deploy/system.toml', 'utf8');
  const section = text.slice(text.indexOf(`[roles.${role}]`));
  const run = /^run = "(.*)"$/m.exec(section)?.[1] ?? '';
  return run.split(' ');
}

/** Port that a site keeps open, by which the project's own tests too see that a loopback network is in use. */
const LOCK_PORT = 7999;

/** Claims a loopback network that no other site uses. */
async function claimNetwork() {
  for (;;) {
    const net = 20 + Math.floor(Math.random() * 200);
    const lock = createServer();
    const isFree = await new Promise((resolve) => {
      lock.once('error', () => resolve(false));
      lock.listen(LOCK_PORT, `127.${net}.1.1`, () => resolve(true));
    });
    if (isFree) return { net, lock };
  }
}

/** Time for the acknowledgement of a configuration that only prepares a case; a slow disk can hold it up. */
const SET_UP_MS = 35_000;
/** A script takes 120 s at most. */
const LONGEST_MS = 116_000;
setTimeout(() => {
  console.error('the case did not end in time');
  process.exit(2);
}, LONGEST_MS).unref();

/** All processes and folders of the script; none of them outlives it. */
const started = new Set();
const folders = new Set();
process.once('exit', () => {
  started.forEach((child) => child.kill('SIGKILL'));
  folders.forEach((folder) => rmSync(folder, { recursive: true, force: true }));
});
// A fault of the script itself must not look like a broken rule, which exits with 1.
['uncaughtException', 'unhandledRejection'].forEach((event) =>
  process.once(event, (error) => {
    console.error(error);
    process.exit(2);
  }),
);
['SIGTERM', 'SIGINT'].forEach((signal) => process.once(signal, () => process.exit(2)));

export class Site {
  zones = ['shah-alam', 'putrajaya', 'cyberjaya'];
  version = 0;
  processes = new Map();

  static async start({ memoryMb = 350 } = {}) {
    const site = new Site();
    Object.assign(site, await claimNetwork());
    site.memoryMb = memoryMb;
    site.folder = mkdtempSync(join(tmpdir(), 'review-3-'));
    folders.add(site.folder);
    site.ips = site.zones.map((_, at) => `127.${site.net}.${at + 1}.1`);
    site.ips.forEach((_, at) => {
      site.startProcess('steward', at, true);
      site.startProcess('gateway', at, true);
    });
    return site;
  }

  startProcess(role, at, isFirst) {
    const ip = this.ips[at];
    const listen =
      role === 'gateway'
        ? {
            front: `${ip}:${PORTS.front}`,
            ready: `${ip}:${PORTS.ready}`,
            directory: `${ip}:${PORTS.directory}`,
          }
        : { control: `${ip}:${PORTS.control}` };
    const settings = render(readFileSync('deploy/settings.ini', 'utf8'), {
      ...{ node: `front-${this.zones[at]}-1`, role, ip, zone: this.zones[at] },
      ...{ region: 'klang-valley', bootstrap: isFirst, data_dir: join(this.folder, `data-${at}`) },
      limits: { cpu_share: 0.945, memory_mb: this.memoryMb, link_mbps: 1000 },
      internal_port_range: [PORTS.low, PORTS.high],
      seeds: this.ips.map((seed) => `${seed}:${PORTS.control}`).join(','),
      ...{ listen, bounds: BOUNDS, heartbeat: '1500ms', fault_tolerance: { machines: 1 } },
    });
    const file = join(this.folder, `${role}-${at}.ini`);
    writeFileSync(file, settings);
    const [program, ...words] = readCommand(role);
    const child = spawn(program === 'node' ? process.execPath : program, words, {
      env: { PATH: process.env.PATH, HOME: process.env.HOME ?? '', CHIVEWALK_BOOT: file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    started.add(child);
    const running = { child, output: '', isEnded: false };
    const keep = (chunk) => {
      running.output = (running.output + chunk).slice(-4_000_000);
    };
    child.stdout.on('data', keep);
    child.stderr.on('data', keep);
    child.once('exit', () => {
      started.delete(child);
      running.isEnded = true;
    });
    this.processes.set(`${role}-${at}`, running);
  }

  async endProcess(name, signal) {
    const running = this.processes.get(name);
    if (running === undefined || running.isEnded) return;
    const ended = new Promise((resolve) => running.child.once('exit', resolve));
    running.child.kill(signal);
    await ended;
  }

  /** Sends an order until it is answered by the leader, as an operator does; returns the final answer. */
  async order(options, limit = 15_000) {
    const until = performance.now() + limit;
    for (let attempt = 0; performance.now() < until; attempt += 1) {
      let host = this.ips[attempt % this.ips.length];
      for (let hop = 0; hop < 3; hop += 1) {
        const answer = await call(host, PORTS.control, options).catch(() => undefined);
        if (answer?.status === 307) {
          host = new URL(answer.headers.location).hostname;
          continue;
        }
        if (answer !== undefined && answer.status < 500) return answer;
        break;
      }
      await sleep(100);
    }
    throw new Error(`no answer to ${options.path}`);
  }

  async putConfig(config) {
    const version = this.version + 2;
    const answer = await this.order(
      {
        method: 'POST',
        path: '/-/Config.Put',
        headers: { 'X-Base-Version': String(this.version), 'Content-Type': 'application/json' },
        body: JSON.stringify({ version, ...config }),
      },
      SET_UP_MS,
    );
    if (answer.status !== 200) throw new Error(`configuration: ${answer.status} ${answer.body}`);
    this.version = version;
  }

  async waitUntilReady(at, limit = 20_000) {
    const until = performance.now() + limit;
    while (performance.now() < until) {
      const answer = await call(this.ips[at], PORTS.ready, { path: '/-/readiness' }).catch(
        () => undefined,
      );
      if (answer?.status === 200) return;
      await sleep(50);
    }
    throw new Error(`gateway ${at} is not ready`);
  }

  async stop() {
    await Promise.all([...this.processes.keys()].map((name) => this.endProcess(name, 'SIGKILL')));
    this.lock.close();
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/** Splits the bytes of a connection into messages with a head, and a body by length or in chunks. */
export class MessageSplitter {
  bytes = Buffer.alloc(0);
  head = undefined;

  /** Adds bytes and returns the messages that they complete. */
  add(chunk) {
    this.bytes = this.bytes.length === 0 ? chunk : Buffer.concat([this.bytes, chunk]);
    const messages = [];
    for (let message = this.take(); message !== undefined; message = this.take())
      messages.push(message);
    return messages;
  }

  take() {
    if (this.head === undefined) {
      const end = this.bytes.indexOf('\r\n\r\n');
      if (end < 0) return undefined;
      const [first, ...lines] = this.bytes.toString('latin1', 0, end).split('\r\n');
      const fields = new Map(
        lines.map((line) => {
          const colon = line.indexOf(':');
          return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
        }),
      );
      this.head = { first, fields };
      this.bytes = this.bytes.subarray(end + 4);
    }
    const length = Number(this.head.fields.get('content-length') ?? 0);
    if (this.bytes.length < length) return undefined;
    const message = { ...this.head, body: this.bytes.subarray(0, length) };
    this.bytes = this.bytes.subarray(length);
    this.head = undefined;
    return message;
  }
}

/** A server by the pages: it announces itself, runs requests in slots, queues a few, and rejects what it can't queue. */
export class Server {
  running = 0;
  queue = [];
  sequence = 0;
  runs = [];
  sockets = new Set();
  born = Date.now();

  constructor(site, record, { id, service, at, number, slots = 6, queueLimit = 4, workMs = 60 }) {
    Object.assign(this, { site, record, id, service, slots, queueLimit, workMs });
    this.zone = site.zones[at];
    this.host = `127.${site.net}.${at + 1}.${100 + number}`;
    this.address = `${this.host}:8080`;
    this.listener = createServer((socket) => this.accept(socket));
  }

  async start() {
    await new Promise((resolve) => this.listener.listen(8080, this.host, resolve));
    await this.announce();
    this.timer = setInterval(() => void this.announce().catch(() => undefined), 1500);
  }

  async announce(state = 'ready') {
    this.sequence += 1;
    await this.site.order({
      method: 'POST',
      path: `/-/Instances.Heartbeat/${this.id}`,
      headers: { 'Content-Type': 'application/json' },
      body: JSON.stringify({
        address: this.address,
        born: this.born,
        info: { service: this.service, version: 'v1', zone: this.zone, slots: this.slots },
        status: { state, seq: this.sequence, cold_left: '0ms' },
      }),
    });
  }

  accept(socket) {
    this.sockets.add(socket);
    socket.setNoDelay(true);
    const connection = { socket, splitter: new MessageSplitter(), late: undefined, isOpen: true };
    socket.on('data', (chunk) => {
      connection.splitter.add(chunk).forEach((message) => this.handle(connection, message));
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      connection.isOpen = false;
      this.sockets.delete(socket);
    });
  }

  handle(connection, { first, fields, body }) {
    const [method, target] = first.split(' ');
    const id = fields.get('x-attempt-id') ?? '';
    if (target === '/health') {
      this.answer(connection, '200 OK', [`X-Instance-Id: ${this.id}`], '');
      return;
    }
    if ((fields.get('x-expect-instance') ?? this.id) !== this.id) {
      this.answer(connection, '421 Misdirected Request', [`X-Attempt-Id: ${id}`], '');
      return;
    }
    this.onRequest?.(connection, id);
    const start = () => this.run(connection, { method, target, id, body });
    if (this.running < this.slots) start();
    else if (this.queue.length < this.queueLimit) this.queue.push({ connection, start });
    else this.reject(connection, id);
  }

  reject(connection, id) {
    this.record.add(`${this.id} rejects ${id}`);
    const fields = [`X-Attempt-Id: ${id}`, 'X-Not-Executed: 1'];
    this.answer(connection, '503 Service Unavailable', fields, 'full', id);
  }

  run(connection, { method, target, id, body }) {
    this.running += 1;
    this.runs.push(id);
    this.record.add(`${this.id} runs ${id} ${method} ${target} ${body.length} bytes`);
    setTimeout(() => {
      this.running -= 1;
      const fields = [`X-Attempt-Id: ${id}`, `X-Server-Seal: seal-${id}`];
      this.answer(connection, '200 OK', fields, `${this.id} ran ${id}`, id);
      const next = this.queue.shift();
      if (next?.connection.isOpen === true) next.start();
    }, this.workMs);
  }

  answer(connection, status, fields, text, id) {
    const head = [`HTTP/1.1 ${status}`, ...fields, `Content-Length: ${text.length}`, '', ''];
    const bytes = head.join('\r\n') + text;
    if (connection.isOpen) connection.socket.write(bytes);
    if (id !== undefined) this.onAnswered?.(connection, id, bytes);
  }

  stop() {
    clearInterval(this.timer);
    this.listener.close();
    this.sockets.forEach((socket) => socket.destroy());
  }
}

/** A client's connection that is kept open for many requests, one at a time. */
export class Client {
  constructor(host) {
    this.host = host;
  }

  /** Sends a request and resolves to its answer; `status` is 0 if the connection ended without one. */
  send({
    method,
    target,
    host,
    id,
    deadlineMs,
    body = Buffer.alloc(0),
    fields = [],
    chunked = false,
    pieceBytes = 65_536,
    pieceMs = 0,
  }) {
    const socket = this.open();
    const head = [
      `${method} ${target} HTTP/1.1`,
      `Host: ${host}`,
      `X-Attempt-Id: ${id}`,
      `X-Deadline-Ms: ${deadlineMs}`,
      chunked ? 'Transfer-Encoding: chunked' : `Content-Length: ${body.length}`,
      ...fields,
    ];
    return new Promise((resolve) => {
      const timer = setTimeout(
        () => this.settle({ status: 0, reason: 'deadline' }),
        deadlineMs + 500,
      );
      this.settle = (answer) => {
        clearTimeout(timer);
        this.settle = undefined;
        if (answer.status === 0 || answer.isClosing) this.close();
        resolve(answer);
      };
      socket.write(`${head.join('\r\n')}\r\n\r\n`, 'latin1');
      if (!chunked) socket.write(body);
      else void this.#writeChunks(socket, body, pieceBytes, pieceMs);
    });
  }

  /** Sends a body in chunks with a pause after each, until the connection is closed. */
  async #writeChunks(socket, body, pieceBytes, pieceMs) {
    for (let at = 0; at < body.length && this.socket === socket; at += pieceBytes) {
      const piece = body.subarray(at, at + pieceBytes);
      const isRoom = socket.write(
        Buffer.concat([
          Buffer.from(`${piece.length.toString(16)}\r\n`),
          piece,
          Buffer.from('\r\n'),
        ]),
      );
      if (!isRoom)
        await new Promise((resolve) => socket.once('drain', resolve).once('close', resolve));
      if (pieceMs > 0) await sleep(pieceMs);
    }
    if (this.socket === socket) socket.write('0\r\n\r\n');
  }

  open() {
    if (this.socket !== undefined) return this.socket;
    const socket = connect(PORTS.front, this.host);
    const splitter = new MessageSplitter();
    this.socket = socket;
    const end = (reason) => {
      if (this.socket !== socket) return;
      this.socket = undefined;
      this.settle?.({ status: 0, reason });
    };
    socket.setNoDelay(true);
    socket.on('data', (chunk) => {
      splitter.add(chunk).forEach(({ first, fields, body }) => {
        const status = Number(first.split(' ')[1]);
        const isClosing = fields.get('connection') === 'close';
        this.settle?.({ status, fields, body: body.toString(), isClosing });
      });
    });
    socket.on('error', (error) => end(error.message));
    socket.on('close', () => end('closed'));
    return socket;
  }

  close() {
    const { socket } = this;
    this.socket = undefined;
    socket?.destroy();
  }
}

/** A configuration with these routes; each service of a route is listed. */
export function buildConfig(routes, limits = {}) {
  const names = [...new Set(routes.map(({ service }) => service))];
  return {
    services: names.map((name) => ({
      ...{ name, health_path: '/health', max_conns: 260, protocol: 'h1', tls: false },
      ...{ cold_start: '3s', cold_per_s: 22 },
    })),
    limits: {
      max_header_bytes: 16384,
      max_body_bytes: 67108864,
      header_timeout: '3000ms',
      idle_timeout: '15000ms',
      ...limits,
    },
    hosts: [{ host: 'site.example', paths: routes }],
  };
}
