/**
 * The I/O layer of the call path: listens for callers and performs the effects of the routing decisions.
 * Invariant: every request that reached the listener gets a response or a closed connection, also while
 * the entry stops.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';
import { setTimeout as delay } from 'node:timers/promises';
import type { Address, Duration, EntryId, Instant, ZoneId } from '../model/index.js';
import type { RoutingEffect, RoutingEvent } from '../routing/types.js';
import { parseZone, pickAddresses, writeAddresses } from './addresses.js';
import { RequestBody, type GatherResult } from './body.js';
import { CallRun, type CallContext, type CallEffect } from './call.js';
import { computeDigest, computeFingerprint } from './digest.js';
import { readHead, type CallHead } from './head.js';
import { claimCall } from './keyed.js';
import {
  CALLER_IDLE_TIMEOUT,
  HEAD_TIMEOUT,
  LISTING_LAG,
  MAX_HEAD_BYTES,
  MAX_KEYED_BODY_BYTES,
  MAX_REPLAY_BYTES,
  STOP_MARGIN,
  TICK_INTERVAL,
} from './limits.js';
import type {
  CallHooks,
  ClaimPort,
  ConfigPort,
  MembersPort,
  RoutingPort,
  RoutingSignal,
} from './ports.js';
import { sendProbe } from './probe.js';
import { refuseMalformed } from './reject.js';
import { writeRefusal } from './refusal.js';
import { decideFirstWait } from './startup.js';
import { attachStrictSockets, StrictSocket } from '../wire/index.js';
import { UpstreamPools } from './upstreams.js';

/** Options of {@link createEntry}. */
export interface EntryOptions {
  readonly id: EntryId;
  readonly zone: ZoneId;
  /** Address of the callers' listener. */
  readonly callerListen: Address;
  /** Milliseconds for which callers may keep the addresses that they were given. */
  readonly addressTtlMs: Duration;
  /** Milliseconds for which other entries may still list this one after it began to stop. */
  readonly listingLagMs?: Duration;
  readonly routing: RoutingPort;
  readonly claims: ClaimPort;
  readonly config: ConfigPort;
  readonly members: MembersPort;
  readonly hooks: CallHooks;
  /** Receives the routing effects that are addressed to other packages. */
  readonly onSignal?: (signal: RoutingSignal) => void;
  /** Random number generator; defaults to `Math.random`. */
  readonly getRandom?: () => number;
}

/** A running entry. */
export interface Entry {
  /** Address of the callers' listener. */
  readonly address: Address;
  /** Number of calls that have not ended. */
  readonly inFlight: number;
  /** Number of connections to upstreams. */
  readonly connections: number;
  /** Passes an event from another package to the routing decisions. */
  readonly dispatch: (event: RoutingEvent) => void;
  /** Stops gracefully; resolves when the last connection of a caller is closed. */
  readonly stop: () => Promise<void>;
}

/** A call that waits for the first upstream of its service. */
interface WaitingCall {
  readonly call: CallRun;
  readonly proceed: () => void;
}

class RunningEntry implements Entry {
  readonly #options: EntryOptions;
  readonly #server: Server;
  readonly #pools = UpstreamPools.create();
  readonly #calls = new Map<number, CallRun>();
  /** The latest response on each connection; needed to refuse malformed requests. */
  readonly #responses = new WeakMap<Duplex, ServerResponse>();
  readonly #context: CallContext;
  readonly #getRandom: () => number;
  readonly #startedAt = performance.now();
  /** Calls that wait for the first upstream of their service. */
  readonly #waitingCalls = new Set<WaitingCall>();
  #ticker: NodeJS.Timeout | undefined;
  #nextCallId = 1;
  #leaseHeld = true;
  #stopped: Promise<void> | undefined;

  private constructor(options: EntryOptions) {
    this.#options = options;
    this.#getRandom = options.getRandom ?? Math.random;
    this.#context = this.#createContext();
    this.#server = createServer(
      {
        maxHeaderSize: MAX_HEAD_BYTES,
        headersTimeout: HEAD_TIMEOUT,
        keepAliveTimeout: CALLER_IDLE_TIMEOUT,
        requestTimeout: 0,
        requireHostHeader: false,
        noDelay: true,
      },
      (request, response) => {
        this.#handleRequest(request, response);
      },
    );
    this.#server.maxHeadersCount = 0;
    this.#server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      const code = socket instanceof StrictSocket ? (socket.errorCode ?? error.code) : error.code;
      refuseMalformed(socket, code, this.#responses.get(socket));
    });
    attachStrictSockets(this.#server);
    this.#server.on('connect', (_: IncomingMessage, socket: Duplex) => {
      refuseMalformed(socket, 'CONNECT', this.#responses.get(socket));
    });
  }

  static async create(options: EntryOptions): Promise<RunningEntry> {
    const entry = new RunningEntry(options);
    entry.#subscribe();
    await entry.#listen();
    return entry;
  }

  get address(): Address {
    return this.#options.callerListen;
  }

  get inFlight(): number {
    return this.#calls.size;
  }

  get connections(): number {
    return this.#pools.size;
  }

  dispatch(event: RoutingEvent): void {
    this.#options.routing.decide(event).forEach((effect) => {
      this.#apply(effect);
    });
  }

  stop(): Promise<void> {
    this.#stopped ??= this.#stop();
    return this.#stopped;
  }

  #createContext(): CallContext {
    return {
      pools: this.#pools,
      dispatch: (event) => {
        this.dispatch(event);
      },
      getNow: () => performance.now(),
      getRandom: this.#getRandom,
      onEnd: (call, finished) => {
        this.#calls.delete(call.id);
        this.#options.hooks.onCallFinished?.(finished);
      },
    };
  }

  async #listen(): Promise<void> {
    const { callerListen } = this.#options;
    const colon = callerListen.lastIndexOf(':');
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      const port = Number(callerListen.slice(colon + 1));
      this.#server.listen({ host: callerListen.slice(0, colon), port }, resolve);
    });
    this.#ticker = setInterval(() => {
      this.#tick(performance.now());
    }, TICK_INTERVAL);
  }

  #tick(now: Instant): void {
    const held = this.#options.config.isFresh(now);
    if (held !== this.#leaseHeld) this.dispatch({ kind: 'leaseChanged', held, now });
    this.#leaseHeld = held;
    this.dispatch({ kind: 'ticked', now, random: this.#getRandom() });
  }

  /** Passes the configuration and the members to routing, now and after each change. */
  #subscribe(): void {
    this.#applyConfig();
    this.#applyMembers();
    this.#options.config.onChange(() => {
      this.#applyConfig();
      this.#applyMembers();
    });
    this.#options.members.onChange(() => {
      this.#applyMembers();
    });
  }

  #applyConfig(): void {
    const { config, id, zone } = this.#options;
    const now = performance.now();
    this.dispatch({ kind: 'configured', config: config.config, self: id, zone, now });
  }

  #applyMembers(): void {
    const { members, config } = this.#options;
    const upstreams = members.upstreams();
    const rosterSize = config.config.roster.members.length;
    this.#pools.update(upstreams, Math.max(rosterSize, members.entries().length));
    this.dispatch({ kind: 'discovered', upstreams, now: performance.now() });
    [...this.#waitingCalls]
      .filter(({ call }) => this.#knowsService(call.head.target.service))
      .forEach(({ proceed }) => {
        proceed();
      });
  }

  #knowsService(service: string): boolean {
    return this.#options.members.upstreams().some((upstream) => upstream.service === service);
  }

  /** Proceeds with a call once an upstream of its service is known, or the call may wait no longer. */
  #waitForService(call: CallRun, onProceed: () => void): void {
    const now = performance.now();
    const state = {
      ...{ startedAt: this.#startedAt, now, waiting: this.#waitingCalls.size },
      knowsUpstreams: this.#options.members.upstreams().length > 0,
    };
    const decision = this.#knowsService(call.head.target.service)
      ? ({ kind: 'proceed' } as const)
      : decideFirstWait(state, call.deadline - now);
    if (decision.kind === 'proceed') {
      onProceed();
      return;
    }
    const proceed = (): void => {
      clearTimeout(timer);
      this.#waitingCalls.delete(waitingCall);
      if (!call.hasEnded) onProceed();
    };
    const timer = setTimeout(proceed, decision.time);
    const waitingCall: WaitingCall = { call, proceed };
    this.#waitingCalls.add(waitingCall);
  }

  #handleRequest(request: IncomingMessage, response: ServerResponse): void {
    this.#responses.set(request.socket, response);
    if (this.#stopped !== undefined) response.shouldKeepAlive = false;
    const url = request.url ?? '';
    if (url.startsWith('/.well-known/')) this.#serveAddresses(request, response, url);
    else this.#beginCall(request, response);
  }

  #serveAddresses(request: IncomingMessage, response: ServerResponse, url: string): void {
    const { members, config, addressTtlMs, callerListen } = this.#options;
    const isListed = this.#stopped === undefined && config.isFresh(performance.now());
    const entries = members.entries().filter((entry) => isListed || entry.address !== callerListen);
    const { zonesOut } = config.config;
    const addresses = pickAddresses(entries, parseZone(url), zonesOut, this.#getRandom);
    writeAddresses(request, response, { addresses, ttl_ms: addressTtlMs });
  }

  #beginCall(request: IncomingMessage, response: ServerResponse): void {
    const head = readHead(request);
    if (head.isErr()) {
      if (head.error === 'badFraming') response.shouldKeepAlive = false;
      writeRefusal(response, { kind: 'fault', fault: head.error });
      return;
    }
    const body = RequestBody.create(request, head.value.framing);
    const call = this.#createCall(head.value, body, request, response);
    if (!this.#options.config.isFresh(performance.now())) {
      call.refuse({ kind: 'notRun', reason: 'stale', retryAfter: 0 });
      return;
    }
    const { key } = head.value;
    const bufferLimit = key === undefined ? MAX_REPLAY_BYTES : MAX_KEYED_BODY_BYTES;
    body.gather(bufferLimit, key !== undefined, (gathered) => {
      this.#continueCall(call, body, response, gathered);
    });
  }

  #createCall(
    head: CallHead,
    body: RequestBody,
    request: IncomingMessage,
    response: ServerResponse,
  ): CallRun {
    const { service, route } = head.target;
    const { startSpan } = this.#options.hooks;
    const traceparent = getTraceparent(request);
    const span = startSpan?.({ service, route, method: head.method, traceparent });
    const id = this.#nextCallId++;
    const arrivedAt = performance.now();
    const start = { id, head, body, request, response, arrivedAt, span };
    const call = CallRun.create(this.#context, start);
    this.#calls.set(id, call);
    return call;
  }

  /** Continues a call whose body was gathered; claims its idempotency key first if it has one. */
  #continueCall(
    call: CallRun,
    body: RequestBody,
    response: ServerResponse,
    gathered: GatherResult,
  ): void {
    if (call.hasEnded || gathered === 'aborted') return;
    if (gathered === 'tooLarge') {
      call.refuse({ kind: 'fault', fault: 'bodyTooLarge' });
      return;
    }
    const { head } = call;
    const proceed = (): void => {
      call.enterRouting(computeFingerprint(head, body));
    };
    this.#waitForService(call, () => {
      if (head.key === undefined) {
        proceed();
        return;
      }
      const digest = computeDigest(head, body);
      void claimCall(this.#options.claims, call, head.key, digest, response, proceed);
    });
  }

  #apply(effect: RoutingEffect): void {
    switch (effect.kind) {
      case 'send':
      case 'deliver':
      case 'refuse':
      case 'fail':
        this.#applyToCall(effect);
        break;
      case 'probe':
        this.#probe(effect.upstreamId, effect.address);
        break;
      case 'suspect':
      case 'cleared':
      case 'warmth':
      case 'evidence':
        this.#options.onSignal?.(effect);
        break;
    }
  }

  /** Performs an effect on a call; an internal error ends only this call. */
  #applyToCall(effect: CallEffect): void {
    const call = this.#calls.get(effect.callId);
    try {
      call?.apply(effect);
    } catch (error) {
      if (!(error instanceof Error)) throw error;
      this.#options.hooks.onDefect?.(error);
      call?.abandon();
    }
  }

  #probe(upstreamId: string, address: Address): void {
    const pool = this.#pools.get(upstreamId, address);
    if (pool === undefined) return;
    sendProbe(pool, (healthy, report) => {
      this.dispatch({ kind: 'probed', upstreamId, healthy, report, now: performance.now() });
    });
  }

  /** Keeps serving while callers may still use this address, then closes the listener and the pools. */
  async #stop(): Promise<void> {
    const { addressTtlMs, listingLagMs = LISTING_LAG } = this.#options;
    await delay(addressTtlMs + listingLagMs + STOP_MARGIN);
    await new Promise((resolve) => this.#server.close(resolve));
    clearInterval(this.#ticker);
    this.#pools.close();
  }
}

function getTraceparent(request: IncomingMessage): string | undefined {
  const value = request.headers.traceparent;
  return typeof value === 'string' ? value : undefined;
}

/**
 * Opens the callers' listener and returns the running entry.
 *
 * @example
 * const entry = await createEntry(options);
 * process.once('SIGTERM', () => void entry.stop());
 */
export function createEntry(options: EntryOptions): Promise<Entry> {
  return RunningEntry.create(options);
}
