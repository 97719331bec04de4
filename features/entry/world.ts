/** The parts that the scenarios of the entry share. */
import { After } from '@cucumber/cucumber';
import {
  request as openRequest,
  type Agent,
  type IncomingMessage,
  type RequestListener,
  type Server,
} from 'node:http';
import { createEntry, type Entry, type FinishedCall } from '../../src/entry/index.js';
import type { EntryOptions } from '../../src/entry/index.js';
import { findFreePorts } from '../support/ports.js';
import type { SnapshotWorld } from '../support/snapshot.js';
import {
  createFakeClaims,
  createFakeConfig,
  createFakeMembers,
  createFakeRouting,
  createUpstream,
  startServer,
} from './fakes.js';

/** One entry with its stand-ins. */
export interface EntryHarness {
  readonly entry: Entry;
  readonly port: number;
  readonly routing: ReturnType<typeof createFakeRouting>;
  readonly claims: ReturnType<typeof createFakeClaims>;
  readonly config: ReturnType<typeof createFakeConfig>;
  readonly members: ReturnType<typeof createFakeMembers>;
  readonly finished: FinishedCall[];
  readonly defects: Error[];
}

/** What a caller saw. */
export interface ObservedResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, unknown>>;
  readonly body: string;
  readonly complete: boolean;
}

/** World of the entry's scenarios. */
export interface EntryWorld extends SnapshotWorld {
  harness: EntryHarness;
  /** Requests that the stand-in upstream received. */
  receivedPaths: string[];
  observed: unknown;
}

const servers: Server[] = [];
const entries: Entry[] = [];

/** Starts an entry with fakes; `id` tells several of one scenario apart. */
export async function startEntry(overrides: Partial<EntryOptions> = {}): Promise<EntryHarness> {
  const [port = 0] = await findFreePorts(1);
  const finished: FinishedCall[] = [];
  const defects: Error[] = [];
  const parts = {
    port,
    routing: createFakeRouting(),
    claims: createFakeClaims(),
    config: createFakeConfig(),
    members: createFakeMembers(),
    finished,
    defects,
  };
  const entry = await createEntry({
    id: 'entry-1',
    zone: 'klang',
    callerListen: `127.0.0.1:${port}`,
    addressTtlMs: 100,
    listingLagMs: 0,
    hooks: {
      onCallFinished: (call) => finished.push(call),
      onDefect: (error) => defects.push(error),
    },
    ...parts,
    ...overrides,
  });
  entries.push(entry);
  return { ...parts, entry };
}

/** Starts a stand-in upstream that is stopped after the scenario, and returns its address. */
export async function startUpstream(listener: RequestListener): Promise<string> {
  const { server, address } = await startServer(listener);
  servers.push(server);
  return address;
}

/** Makes upstreams of the service `seam` known to an entry. */
export function announceUpstreams(parts: EntryHarness, addresses: readonly string[]): void {
  const upstreams = addresses.map((address, at) => createUpstream('seam', `seam-${at}`, address));
  const own = { address: parts.entry.address, zone: 'klang' };
  parts.members.set([own], upstreams);
}

/** Reads a message to its end; rejects if it is cut. */
export async function readBody(message: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of message) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString();
}

/** What a caller sends. */
export interface CallerRequest {
  readonly port: number;
  readonly method?: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly agent?: Agent;
  /** Milliseconds after which the caller goes away. */
  readonly abortAfterMs?: number;
}

/** Sends one request and reads the answer to its end or its cut; rejects if there is none. */
export function sendCall(call: CallerRequest): Promise<ObservedResponse> {
  const { port, method = 'GET', path, headers = {}, body, agent } = call;
  return new Promise((resolve, reject) => {
    const options = { host: '127.0.0.1', port, method, path, headers: { ...headers }, agent };
    const request = openRequest({ ...options, agent: agent ?? false }, (answer) => {
      const chunks: Buffer[] = [];
      const finish = (): void => {
        resolve({
          status: answer.statusCode ?? 0,
          headers: answer.headers,
          body: Buffer.concat(chunks).toString(),
          complete: answer.complete,
        });
      };
      answer.on('data', (chunk: Buffer) => chunks.push(chunk));
      answer.on('error', () => undefined);
      answer.on('close', finish);
    });
    request.on('error', reject);
    request.end(body);
    if (call.abortAfterMs !== undefined) setTimeout(() => request.destroy(), call.abortAfterMs);
  });
}

After({ tags: '@entry' }, async function () {
  servers.splice(0).forEach((server) => {
    server.closeAllConnections();
    server.close();
  });
  await Promise.all(entries.splice(0).map((entry) => entry.stop()));
});
