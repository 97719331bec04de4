/**
 * A simulated upstream process for benchmarks and feature tests. It runs requests in a fixed number of slots, has less
 * capacity while it is cold, sends load reports with a lag, sheds requests beyond its queue limit, fails on command, and
 * announces itself to the entries.
 * Invariant: at most `slots` requests run at once, and each request that runs is recorded once in the list that
 * `GET /_/runs` returns.
 *
 * `node dist/bench/stand/upstream.js '{"id":"seam-1", ...}'`, see {@link TestUpstreamOptions}.
 */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { fileURLToPath } from 'node:url';
import { request } from 'undici';
import { createRandom } from './random.js';

/** Options of {@link createTestUpstream}. */
export interface TestUpstreamOptions {
  readonly id: string;
  readonly service: string;
  readonly version: string;
  readonly zone: string;
  /** The port to listen on; 0 selects a free one. */
  readonly port: number;
  readonly slots: number;
  /** Median of the log-normal service time of a request, in milliseconds. */
  readonly medianMs: number;
  /** Sigma of the log-normal service time. */
  readonly sigma: number;
  /** Number of requests that can wait for a slot; further requests are shed. */
  readonly queueLimit: number;
  /** Milliseconds by which each new connection delays the requests that start meanwhile. */
  readonly connectionMs: number;
  /** Milliseconds until a health probe is answered; probes take no slot. */
  readonly probeMs: number;
  /** Milliseconds after the start during which the upstream is cold. */
  readonly coldMs: number;
  /** Requests that a cold upstream can run at once; with more, every call and probe fails for `coldMs`. */
  readonly coldSlots: number;
  /** Milliseconds by which the load report lags behind the actual load. */
  readonly reportLagMs: number;
  /** Addresses on which the entries accept announcements; if empty, the upstream does not announce itself. */
  readonly entries: readonly string[];
  readonly token: string;
  readonly seed: number;
}

/** Default options. */
export const defaultTestUpstream: TestUpstreamOptions = {
  id: 'upstream-1',
  service: 'seam-records',
  version: 'v1',
  zone: 'shah-alam',
  port: 0,
  slots: 6,
  medianMs: 8,
  sigma: 0.5,
  queueLimit: 12,
  connectionMs: 1,
  probeMs: 6,
  coldMs: 0,
  coldSlots: 1,
  reportLagMs: 20,
  entries: [],
  token: '',
  seed: 1,
};

/** Faults that `POST /_/fault` sets; they apply to requests that arrive or start afterwards. */
interface Faults {
  /** Factor on the service time of a request. */
  slowdown: number;
  /** Share of requests, from 0 to 1, that are answered with 500 immediately. */
  failShare: number;
  /** The route to which `slowdown` and `failShare` apply; all routes if it is undefined. */
  route: string | undefined;
  /** A request whose path contains this text makes the process exit, to simulate a crash. */
  killer: string | undefined;
}

/** A running simulated upstream. */
export interface TestUpstream {
  readonly address: string;
  readonly port: number;
  stop(): Promise<void>;
}

interface QueuedRequest {
  readonly start: () => void;
}

const HEALTH_PATH = '/.well-known/chivewalk/health';
/** Interval of announcements, and the time limit of each. */
const ANNOUNCE_INTERVAL_MS = 2000;
/** Interval at which the load is sampled for reports. */
const REPORT_INTERVAL_MS = 5;
/** Exit code after a request that matched the `killer` fault. */
const CRASH_EXIT_CODE = 70;
/** Older runs are dropped from the list, to bound its memory. */
const MAX_RECORDED_RUNS = 100_000;

function isControlPath(path: string): boolean {
  return path === HEALTH_PATH || path.startsWith('/_/');
}

/** Starts a simulated upstream in this process. */
export async function createTestUpstream(options: TestUpstreamOptions): Promise<TestUpstream> {
  const random = createRandom(options.seed);
  const startedAt = performance.now();
  const incarnation = Date.now();
  const faults: Faults = { slowdown: 1, failShare: 0, route: undefined, killer: undefined };
  const runs: string[] = [];
  const queue: QueuedRequest[] = [];
  const reports: { readonly takenAt: number; readonly text: string }[] = [];
  let running = 0;
  let busyUntil = 0;
  let coldUntil = startedAt + options.coldMs;
  let overloadedUntil = 0;
  let leaving = false;

  const isCold = (): boolean => performance.now() < coldUntil;
  const drawServiceMs = (): number => {
    const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
    return options.medianMs * Math.exp(options.sigma * normal);
  };
  const recordReport = (): void => {
    const text = `in-flight=${running};queued=${queue.length};cold=${isCold() ? 1 : 0}`;
    reports.push({ takenAt: performance.now(), text });
    while (
      reports.length > 1 &&
      (reports[1]?.takenAt ?? Infinity) <= performance.now() - options.reportLagMs
    )
      reports.shift();
  };
  const reportTimer = setInterval(recordReport, REPORT_INTERVAL_MS);
  recordReport();

  const startNext = (): void => {
    if (running >= options.slots) return;
    queue.shift()?.start();
  };
  const isFaulty = (path: string): boolean =>
    faults.route === undefined || path.startsWith(`/${faults.route}`);

  const runRequest = (incoming: IncomingMessage, outgoing: ServerResponse, body: string): void => {
    const path = incoming.url ?? '/';
    if (faults.killer !== undefined && path.includes(faults.killer)) process.exit(CRASH_EXIT_CODE);
    running += 1;
    runs.push(
      `${incoming.method ?? ''} ${path} ${String(incoming.headers['idempotency-key'] ?? '')}`,
    );
    if (runs.length > MAX_RECORDED_RUNS) runs.shift();
    if (isCold() && running > options.coldSlots)
      overloadedUntil = performance.now() + options.coldMs;
    const extra = Math.max(0, busyUntil - performance.now());
    const factor = isFaulty(path) ? faults.slowdown : 1;
    const timer = setTimeout(
      () => {
        running -= 1;
        sendAnswer(
          outgoing,
          200,
          `${options.id} ${options.version} ran ${incoming.method ?? ''} ${path} ${body}\n`,
          {},
        );
        startNext();
      },
      drawServiceMs() * factor + extra,
    );
    outgoing.once('close', () => {
      if (outgoing.writableFinished) return;
      clearTimeout(timer);
      if (!outgoing.writableEnded) {
        running -= 1;
        startNext();
      }
    });
  };

  const sendAnswer = (
    outgoing: ServerResponse,
    status: number,
    text: string,
    headers: Readonly<Record<string, string>>,
  ): void => {
    const load = reports[0]?.text ?? '';
    outgoing.writeHead(status, {
      'content-type': 'text/plain',
      'x-chivewalk-load': load,
      ...headers,
    });
    outgoing.end(text);
  };

  const handleControl = (
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    body: string,
  ): void => {
    switch (incoming.url ?? '') {
      case HEALTH_PATH:
        setTimeout(() => {
          sendAnswer(outgoing, performance.now() < overloadedUntil ? 500 : 200, 'probed\n', {});
        }, options.probeMs);
        return;
      case '/_/fault':
        Object.assign(faults, JSON.parse(body));
        sendAnswer(outgoing, 200, 'set\n', {});
        return;
      case '/_/cold':
        coldUntil = performance.now() + options.coldMs;
        sendAnswer(outgoing, 200, 'cold\n', {});
        return;
      case '/_/runs':
        sendAnswer(outgoing, 200, JSON.stringify(runs), {});
        return;
      case '/_/leave':
        leaving = true;
        void announceLeave().then(() => {
          sendAnswer(outgoing, 200, 'leaving\n', {});
        });
        return;
      default:
        sendAnswer(outgoing, 404, 'unknown control path\n', {});
    }
  };

  const handleCall = (incoming: IncomingMessage, outgoing: ServerResponse, body: string): void => {
    const path = incoming.url ?? '/';
    if (performance.now() < overloadedUntil || (isFaulty(path) && random() < faults.failShare)) {
      sendAnswer(outgoing, 500, 'failed\n', {});
      return;
    }
    if (running < options.slots) {
      runRequest(incoming, outgoing, body);
      return;
    }
    if (queue.length >= options.queueLimit) {
      sendAnswer(outgoing, 503, 'shed\n', { 'x-chivewalk-not-run': '1' });
      return;
    }
    const queued: QueuedRequest = {
      start: () => {
        runRequest(incoming, outgoing, body);
      },
    };
    queue.push(queued);
    outgoing.once('close', () => {
      const position = queue.indexOf(queued);
      if (position >= 0) queue.splice(position, 1);
    });
  };

  const server = createServer((incoming, outgoing) => {
    const chunks: Buffer[] = [];
    incoming.on('data', (chunk: Buffer) => chunks.push(chunk));
    incoming.on('end', () => {
      const body = Buffer.concat(chunks).toString();
      if (isControlPath(incoming.url ?? '')) handleControl(incoming, outgoing, body);
      else handleCall(incoming, outgoing, body);
    });
  });
  server.keepAliveTimeout = 60_000;
  server.on('connection', () => {
    busyUntil = Math.max(busyUntil, performance.now()) + options.connectionMs;
  });
  await new Promise<void>((resolve) => server.listen(options.port, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const address = `127.0.0.1:${port}`;

  let entryIndex = Math.floor(random() * Math.max(1, options.entries.length));
  const sendAnnouncement = async (method: 'PUT' | 'DELETE'): Promise<void> => {
    const entry = options.entries[entryIndex % options.entries.length];
    if (entry === undefined) return;
    try {
      const answer = await request(
        `http://${entry}/v1/upstreams/${options.id}?incarnation=${incarnation}`,
        {
          method,
          headers: { authorization: `Bearer ${options.token}`, 'content-type': 'application/json' },
          headersTimeout: ANNOUNCE_INTERVAL_MS,
          body:
            method === 'DELETE'
              ? null
              : JSON.stringify({
                  service: options.service,
                  version: options.version,
                  zone: options.zone,
                  labels: {},
                  address,
                  slots: options.slots,
                  max_connections: 250,
                  incarnation,
                  age_ms: Math.round(performance.now() - startedAt),
                }),
        },
      );
      const text = await answer.body.text();
      if (answer.statusCode >= 300)
        throw new Error(
          `entry ${entry} answered the announcement with ${answer.statusCode}: ${text}`,
        );
    } catch (error) {
      entryIndex += 1;
      if (process.env.STAND_VERBOSE === '1')
        console.error(`${options.id}: announcement failed: ${String(error)}`);
    }
  };
  const announceLeave = (): Promise<void> => sendAnnouncement('DELETE');
  const announceTimer = setInterval(() => {
    if (!leaving) void sendAnnouncement('PUT');
  }, ANNOUNCE_INTERVAL_MS);
  if (options.entries.length > 0) await sendAnnouncement('PUT');

  return {
    address,
    port,
    stop: async () => {
      clearInterval(announceTimer);
      clearInterval(reportTimer);
      leaving = true;
      if (options.entries.length > 0) await announceLeave();
      await new Promise<void>((resolve) => {
        server.close(() => {
          resolve();
        });
        server.closeIdleConnections();
      });
    },
  };
}

if (process.argv[1] === fileURLToPath(import.meta.url)) {
  const overrides = JSON.parse(process.argv[2] ?? '{}') as Partial<TestUpstreamOptions>;
  const stand = await createTestUpstream({ ...defaultTestUpstream, ...overrides });
  console.log(JSON.stringify({ ready: true, address: stand.address }));
  process.once('SIGTERM', () => {
    void stand.stop().then(() => process.exit(0));
  });
}
