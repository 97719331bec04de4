/** Test harness shared by the scenarios of the entry. */
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

/** One entry with the fakes that it runs on. */
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

/** The response as a caller received it. */
export interface ObservedResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, unknown>>;
  readonly body: string;
  readonly complete: boolean;
}

/** World shared by the entry's scenarios. */
export interface EntryWorld extends SnapshotWorld {
  harness: EntryHarness;
  /** Request paths that the test upstream received. */
  receivedPaths: string[];
  observed: unknown;
}

const servers: Server[] = [];
const entries: Entry[] = [];

/** Starts an entry on fakes; it is stopped after the scenario. Overrides replace its options. */
export async function startEntry(overrides: Partial<EntryOptions> = {}): Promise<EntryHarness> {
  const [port = 0] = await findFreePorts(1);
  const finished: FinishedCall[] = [];
  const defects: Error[] = [];
  const harness = {
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
    ...harness,
    ...overrides,
  });
  entries.push(entry);
  return { ...harness, entry };
}

/** Starts a test upstream that is stopped after the scenario, and returns its address. */
export async function startUpstream(listener: RequestListener): Promise<string> {
  const { server, address } = await startServer(listener);
  servers.push(server);
  return address;
}

/** Registers upstreams of the service `seam` with an entry. */
export function announceUpstreams(harness: EntryHarness, addresses: readonly string[]): void {
  const upstreams = addresses.map((address, at) => createUpstream('seam', `seam-${at}`, address));
  const own = { address: harness.entry.address, zone: 'klang' };
  harness.members.set([own], upstreams);
}

/** Reads the body of a message; rejects if it is truncated. */
export async function readBody(message: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of message) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString();
}

/** A request of a test caller. */
export interface CallerRequest {
  readonly port: number;
  readonly method?: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly agent?: Agent;
  /** Milliseconds after which the caller disconnects. */
  readonly abortAfterMs?: number;
}

/** Sends one request and reads the response until it ends or is truncated; rejects if there is none. */
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
