/** A gateway on loopback that follows a fake control member, with one upstream, for tests of what its state tells. */
import { createServer, request as sendHttp, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { emptyCatalog, type Catalog } from '../../src/catalog/index.js';
import type { createFollower, FeedView, Follower } from '../../src/feed/index.js';
import { openGateway, type Gateway, type HeaderDialect } from '../../src/gateway/index.js';
import { applyLogLevel, standardOutput } from '../../src/telemetry/index.js';
import { findFreePorts } from '../support/ports.js';

/** Enough slots for each burst of a test. */
const SLOTS = 600;

const dialect: HeaderDialect = {
  ...{ requestId: 'test-request', deadline: 'test-deadline', expectInstance: 'test-instance' },
  ...{ notRun: 'test-not-run', load: 'test-load', coldFor: 'test-cold' },
  ...{ limit: 'test-limit', leaving: 'test-leaving' },
  ...{ authorization: 'authorization', tenant: 'test-tenant' },
  parseLoad: () => ({ running: 0, waiting: 0, slots: SLOTS, pace: 1 }),
};

type FollowerOptions = Parameters<typeof createFollower>[0];

/** A follower whose answers the test sets. */
export class FakeFollower implements Follower {
  readonly #options: FollowerOptions;
  view: FeedView = { catalog: emptyCatalog, index: 0, entries: [] };
  age = 0;
  followed = '10.1.0.30:7201';
  isBehind = false;
  isAlone = false;

  constructor(options: FollowerOptions) {
    this.#options = options;
  }

  /** Lets the gateway have this catalog, as whole state. */
  replaceCatalog(catalog: Catalog): void {
    this.view = { ...this.view, catalog, index: this.view.index + 1 };
    this.#options.onChange(this.view, { kind: 'replaced' });
  }

  /** Lets the gateway know the live gateways. */
  replaceFleet(entries: FeedView['entries']): void {
    this.view = { ...this.view, entries };
    this.#options.onChange(this.view, { kind: 'fleet' });
  }

  reportDependency(state: 'lost' | 'regained'): void {
    this.#options.onDependency(state, this.followed);
  }

  pollNow(): void {
    return;
  }

  setSeeds(): void {
    return;
  }

  close(): void {
    return;
  }
}

/** An answer of the gateway. */
export interface GatewayAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
  /** Milliseconds from the sending to the whole answer. */
  readonly elapsed: number;
}

/** A gateway under test, with its upstream and its log. */
export interface FollowingGateway {
  readonly gateway: Gateway;
  readonly follower: FakeFollower;
  readonly port: number;
  readonly upstreamPorts: readonly number[];
  /** Ids of the requests that were sent to the upstreams. */
  readonly sent: readonly string[];
  /** The gateway's log lines so far. */
  readonly lines: readonly Readonly<Record<string, unknown>>[];
  readonly send: (
    path: string,
    headers?: Readonly<Record<string, string>>,
  ) => Promise<GatewayAnswer>;
  readonly close: () => Promise<void>;
}

/** Returns a catalog whose only route leads to the upstreams at the ports. */
export function createRoutedCatalog(
  ports: readonly number[],
  version = 1,
  prefix = '/known/',
): Catalog {
  const service = { name: 'records', healthPath: '/health', maxConnections: SLOTS, coldTime: 0 };
  const instance = { service: 'records', zone: 'a', version: 'v1', slots: SLOTS, bornAt: 0 };
  const timing = { kind: 'safe' as const, timeout: 5000, targetLatency: 1000 };
  const limits = { headBytes: 16_384, bodyBytes: 65_536, headTimeout: 3000, idleTimeout: 15_000 };
  return {
    ...emptyCatalog,
    table: {
      version,
      routes: [
        {
          ...{ name: 'r-1', host: 'records.test', prefix, ...timing, maxAttempts: 2, rank: 0 },
          ...{ parts: [{ service: 'records', weight: 100 }], source: {} },
        },
      ],
      services: [{ ...service, coldRate: 100, source: {} }],
      limits: { ...limits, source: {} },
      extra: {},
    },
    instances: new Map(
      ports.map((port, index) => {
        const id = `up-${index + 1}`;
        return [id, { ...instance, id, address: `127.0.0.1:${port}`, draining: false }];
      }),
    ),
  };
}

async function openUpstream(handle: (id: string) => 'run' | 'turnAway'): Promise<Server> {
  const server = createServer((request, response) => {
    const id = String(request.headers[dialect.requestId] ?? '');
    const isTurnedAway = request.url !== '/health' && handle(id) === 'turnAway';
    response.setHeader(dialect.requestId, id);
    response.setHeader(dialect.load, 'any');
    if (isTurnedAway) response.writeHead(503, { [dialect.notRun]: 'yes' });
    response.end('ok');
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return server;
}

function sendRequest(
  port: number,
  path: string,
  headers: Readonly<Record<string, string>>,
): Promise<GatewayAnswer> {
  const startedAt = performance.now();
  return new Promise((resolve, reject) => {
    const host = { host: 'records.test' };
    const sent = sendHttp(
      { port, path, headers: { ...host, ...headers }, agent: false },
      (answer) => {
        const chunks: Buffer[] = [];
        answer.on('data', (chunk: Buffer) => chunks.push(chunk));
        answer.on('error', reject);
        answer.on('end', () => {
          const body = Buffer.concat(chunks).toString();
          const elapsed = performance.now() - startedAt;
          resolve({ status: answer.statusCode ?? 0, headers: answer.headers, body, elapsed });
        });
      },
    );
    sent.on('error', reject);
    sent.end();
  });
}

/** Opens a gateway that follows a {@link FakeFollower}; it has no state yet. */
export async function openFollowingGateway(
  handle: (id: string) => 'run' | 'turnAway' = () => 'run',
): Promise<FollowingGateway> {
  const sent: string[] = [];
  const record = (id: string): 'run' | 'turnAway' => {
    sent.push(id);
    return handle(id);
  };
  const lines: Readonly<Record<string, unknown>>[] = [];
  const upstreams = await Promise.all([openUpstream(record), openUpstream(record)]);
  const [port = 0, peerPort = 0] = await findFreePorts(2);
  const addLine = standardOutput.addLine.bind(standardOutput);
  standardOutput.addLine = (line) => {
    lines.push(JSON.parse(line) as Readonly<Record<string, unknown>>);
  };
  applyLogLevel('info', 'gateway');
  let follower: FakeFollower | undefined;
  const gateway = await openGateway({
    ...{ id: 'gw-1', zone: 'a', capacity: 1, memory: 250, callerListen: `127.0.0.1:${port}` },
    ...{ seeds: ['10.1.0.30:7201'], dialect, probeInterval: 150, probeRate: 60, stopTime: 600 },
    retryBounds: { ratio: 0.2, slack: 10 },
    coldBounds: { factor: 1.5, slack: 10 },
    recordCall: () => undefined,
    mesh: {
      address: `127.0.0.1:${peerPort}`,
      send: () => undefined,
      handle: () => undefined,
      traffic: { messagesSent: 0, bytesSent: 0, messagesReceived: 0, bytesReceived: 0 },
      close: () => Promise.resolve(),
    },
    follow: (followerOptions) => {
      follower = new FakeFollower(followerOptions);
      return follower;
    },
  });
  if (follower === undefined) throw new Error('the gateway follows nobody');
  return {
    ...{ gateway, follower, port, sent, lines },
    upstreamPorts: upstreams.map((upstream) => (upstream.address() as AddressInfo).port),
    send: (path, headers = {}) => sendRequest(port, path, headers),
    close: async () => {
      await gateway.stop(performance.now());
      upstreams.forEach((upstream) => {
        upstream.closeAllConnections();
        upstream.close();
      });
      standardOutput.addLine = addLine;
      applyLogLevel('warn', 'gateway');
    },
  };
}
