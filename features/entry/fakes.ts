/** In-memory fakes of the ports that the entry depends on. */
import { createServer, type RequestListener, type Server } from 'node:http';
import { emptyConfig, type Upstream } from '../../src/model/index.js';
import type {
  CallerAddress,
  ClaimPort,
  ClaimResult,
  ClaimSettlement,
  ConfigPort,
  MembersPort,
  RoutingPort,
} from '../../src/entry/index.js';
import type { Call, RoutingEffect } from '../../src/routing/types.js';

/** Attempts that the fake routing allows for each call. */
const MAX_ATTEMPTS = 3;

interface TrackedCall {
  readonly call: Call;
  attempts: number;
  mayHaveRun: boolean;
}

/**
 * Returns a fake routing that starts with the first upstream of the service and retries on the next ones in
 * turn, where a retry is allowed.
 */
export function createFakeRouting(): RoutingPort & { readonly openCallCount: () => number } {
  let upstreams: readonly Upstream[] = [];
  const calls = new Map<number, TrackedCall>();
  const sendNext = (id: number): readonly RoutingEffect[] => {
    const tracked = calls.get(id);
    if (tracked === undefined) return [];
    const candidates = upstreams.filter((one) => one.service === tracked.call.service);
    const next = candidates[tracked.attempts % Math.max(1, candidates.length)];
    const isBodyConsumed = tracked.attempts > 0 && tracked.call.replayable === false;
    if (next === undefined || isBodyConsumed || tracked.attempts >= MAX_ATTEMPTS) {
      calls.delete(id);
      if (tracked.mayHaveRun) return [{ kind: 'fail', callId: id, failure: 'lost' }];
      return [{ kind: 'refuse', callId: id, reason: 'noUpstream', retryAfter: 1000 }];
    }
    tracked.attempts += 1;
    const { id: upstreamId, address } = next;
    return [{ kind: 'send', callId: id, upstreamId, address, attempt: tracked.attempts }];
  };
  const failCall = (
    id: number,
    failure: 'unreachable' | 'lost' | 'timedOut',
  ): readonly RoutingEffect[] => {
    const tracked = calls.get(id);
    const idempotent = tracked?.call.idempotent === true;
    if (tracked !== undefined && failure !== 'unreachable') tracked.mayHaveRun = true;
    if (failure === 'unreachable' || (failure === 'lost' && idempotent)) return sendNext(id);
    calls.delete(id);
    return [{ kind: 'fail', callId: id, failure }];
  };
  return {
    openCallCount: () => calls.size,
    decide: (event) => {
      switch (event.kind) {
        case 'discovered':
          upstreams = event.upstreams;
          return [];
        case 'arrived':
          calls.set(event.call.id, { call: event.call, attempts: 0, mayHaveRun: false });
          return sendNext(event.call.id);
        case 'headArrived':
          if (event.notRun && (calls.get(event.callId)?.attempts ?? 0) < MAX_ATTEMPTS) {
            return sendNext(event.callId);
          }
          return [{ kind: 'deliver', callId: event.callId }];
        case 'failed':
          return failCall(event.callId, event.failure);
        case 'finished':
        case 'cancelled':
          calls.delete(event.callId);
          return [];
        case 'configured':
        case 'probed':
        case 'condemned':
        case 'suspected':
        case 'warmupNoticeReceived':
        case 'leaseChanged':
        case 'ticked':
          return [];
      }
    },
  };
}

/** Returns an in-memory claim table that several entries can share. */
export function createFakeClaims(): ClaimPort & { isAvailable: boolean; validityMs: number } {
  const claims = new Map<string, { digest: string; state: ClaimSettlement | undefined }>();
  const port = {
    isAvailable: true,
    /** Milliseconds for which a granted claim is valid. */
    validityMs: 30_000,
    claim: (key: string, digest: string): Promise<ClaimResult> => {
      if (!port.isAvailable) {
        return Promise.resolve({ kind: 'unavailable', reason: 'no majority' });
      }
      const found = claims.get(key);
      if (found === undefined || found.state?.kind === 'notRun') {
        claims.set(key, { digest, state: undefined });
        const validUntil = performance.now() + port.validityMs;
        return Promise.resolve({ kind: 'granted', token: key, validUntil });
      }
      if (found.digest !== digest) return Promise.resolve({ kind: 'mismatch' });
      if (found.state === undefined) return Promise.resolve({ kind: 'running' });
      if (found.state.kind === 'unknown') return Promise.resolve({ kind: 'unknown' });
      return Promise.resolve({ ...found.state, kind: 'settled' });
    },
    settle: (key: string, _: string, state: ClaimSettlement): void => {
      const found = claims.get(key);
      if (found !== undefined) found.state = state;
    },
  };
  return port;
}

/** Returns a configuration that never changes; a test sets whether it is fresh. */
export function createFakeConfig(): ConfigPort & { fresh: boolean } {
  const port = {
    fresh: true,
    config: emptyConfig,
    isFresh: () => port.fresh,
    onChange: () => undefined,
  };
  return port;
}

/** Returns a membership whose entries and upstreams a test sets. */
export function createFakeMembers(): MembersPort & {
  set: (entries: readonly CallerAddress[], upstreams: readonly Upstream[]) => void;
} {
  const listeners: (() => void)[] = [];
  let entries: readonly CallerAddress[] = [];
  let upstreams: readonly Upstream[] = [];
  return {
    entries: () => entries,
    upstreams: () => upstreams,
    onChange: (listener) => {
      listeners.push(listener);
    },
    set: (nextEntries, nextUpstreams) => {
      entries = nextEntries;
      upstreams = nextUpstreams;
      listeners.forEach((listener) => {
        listener();
      });
    },
  };
}

/** Returns the record of an upstream with the given address. */
export function createUpstream(service: string, id: string, address: string): Upstream {
  return {
    id,
    service,
    version: '1',
    zone: 'klang',
    labels: {},
    address,
    slots: 6,
    maxConnections: 250,
    incarnation: 1,
    leaving: false,
    age: 0,
  };
}

/** Starts an HTTP server on a free loopback port. */
export async function startServer(
  listener: RequestListener,
): Promise<{ readonly server: Server; readonly address: string }> {
  const server = createServer(listener);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const bound = server.address();
  const port = typeof bound === 'object' && bound !== null ? bound.port : 0;
  return { server, address: `127.0.0.1:${port}` };
}
