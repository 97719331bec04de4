/**
 * State of the routing decisions. Invariant: every value is immutable; an event replaces only the records
 * that it changes and shares the others with the previous state.
 */
import type {
  Config,
  Duration,
  EntryId,
  Instant,
  Upstream,
  VersionWeight,
  ZoneId,
} from '../model/index.js';
import { emptyConfig } from '../model/index.js';
import { defaultOptions, type RoutingOptions } from './options.js';
import { createTable, type Table } from './table.js';
import type { AttemptFailure, Call } from './types.js';

/** State of an upstream as this entry knows it. */
export interface UpstreamState {
  readonly upstream: Upstream;
  /** Whether it may get new requests: its zone is in service, it isn't leaving and is in this entry's subset. */
  readonly usable: boolean;
  /** Send times of this entry's requests in flight, oldest first. */
  readonly sentAt: readonly Instant[];
  /** Requests of other entries that it held, running or queued, at its last load report. */
  readonly otherRequests: number;
  readonly reportedAt: Instant;
  /** Moving average of the time from sending to the response head, in milliseconds. */
  readonly latency: number;
  /** When the latency was last measured. */
  readonly latencyAt: Instant;
  /** Consecutive failed attempts. */
  readonly failures: number;
  readonly ejectedUntil: Instant;
  /** Ejections since the last successful response. */
  readonly ejections: number;
  /** Consecutive requests that it rejected without running them. */
  readonly rejections: number;
  /** Until when it gets no requests because it rejected some. */
  readonly pausedUntil: Instant;
  readonly cold: boolean;
  /** When its process started; entries differ on it only by the delay of announcements. */
  readonly startedAt: Instant;
  /** When it was last marked as cold. */
  readonly coldSince: Instant;
  /** Whether its cold reports are ignored, because it kept sending them too long at normal latency. */
  readonly coldReportsIgnored: boolean;
  /** Consecutive responses at normal latency while cold. */
  readonly warmAnswers: number;
  /** When it became warm. */
  readonly warmSince: Instant;
  /** Rank of this entry in the rendezvous order of the upstream, from 0. */
  readonly rank: number;
  readonly lastSentAt: Instant;
  readonly lastSignalAt: Instant;
  readonly lastProbedAt: Instant;
}

/** State of a service and its upstreams as this entry knows it. */
export interface ServiceState {
  readonly name: string;
  readonly upstreams: readonly UpstreamState[];
  /** The version move in progress, if any. */
  readonly weight: VersionWeight | undefined;
  /** Ids of queued calls, oldest first. */
  readonly interactiveQueue: readonly number[];
  readonly batchQueue: readonly number[];
  /** Moving average of the time from sending to the head of a successful response, in milliseconds. */
  readonly latency: number;
  /** Number of successful responses in the average latency. */
  readonly samples: number;
  /** Moving average of the requests of other entries that one upstream holds. */
  readonly otherRequests: number;
  /** Moving average of the time between the ends of two requests, in milliseconds. */
  readonly completionInterval: number;
  readonly lastCompletionAt: Instant;
  readonly retryTokens: number;
}

/** State of a call that has not ended. */
export interface CallState {
  readonly id: number;
  readonly call: Call;
  readonly phase: 'queued' | 'sent' | 'delivered';
  readonly arrivedAt: Instant;
  /** Random number in [0, 1) that assigns the call to a version during a version move. */
  readonly versionRoll: number;
  readonly attempt: number;
  /** Upstream ids of the attempts so far, the current one last. */
  readonly tried: readonly string[];
  readonly incarnation: number;
  readonly sentAt: Instant;
  /** Whether an attempt that ended may have run the request. */
  readonly mayHaveRun: boolean;
  /** Number of attempts whose connection was lost; each may have crashed its upstream. */
  readonly lostConnections: number;
  /** Number of attempts that made no connection. */
  readonly failedConnects: number;
  readonly lastFailure: AttemptFailure;
  /** Milliseconds from sending to the head of the response that is forwarded. */
  readonly headLatency: Duration;
  /** Whether that response is a server error. */
  readonly headFailed: boolean;
}

/** Routing state of one entry. */
export interface RoutingState {
  readonly options: RoutingOptions;
  readonly self: EntryId;
  readonly zone: ZoneId;
  readonly config: Config;
  /** Hashes of the member ids, in the order of the roster. */
  readonly memberHashes: readonly number[];
  /** Index of this entry in the roster, or -1. */
  readonly selfIndex: number;
  /** Number of members of the roster, including those that join or leave; at least 1. */
  readonly fleetSize: number;
  /** Whether this entry may use its shares of the fleet's budgets; false while it is joining. */
  readonly active: boolean;
  readonly leaseHeld: boolean;
  readonly services: readonly ServiceState[];
  readonly serviceIndexByName: ReadonlyMap<string, number>;
  /** Index in `services` of each upstream's service, by upstream id. */
  readonly serviceIndexByUpstream: ReadonlyMap<string, number>;
  readonly calls: Table<CallState>;
  readonly quarantined: ReadonlyMap<string, Instant>;
  readonly suspected: ReadonlySet<string>;
}

/** Latency in milliseconds that is assumed before the first measurement. */
export const INITIAL_LATENCY = 10;

/**
 * Creates the state before the first event.
 *
 * @example
 * const state = createRoutingState({ probeShare: 0.01 });
 */
export function createRoutingState(options: Partial<RoutingOptions> = {}): RoutingState {
  return {
    options: { ...defaultOptions, ...options },
    self: '',
    zone: '',
    config: emptyConfig,
    memberHashes: [],
    selfIndex: -1,
    fleetSize: 1,
    active: false,
    leaseHeld: true,
    services: [],
    serviceIndexByName: new Map(),
    serviceIndexByUpstream: new Map(),
    calls: createTable(),
    quarantined: new Map(),
    suspected: new Set(),
  };
}

/** Returns the state with one service replaced. */
export function withService(
  state: RoutingState,
  serviceIndex: number,
  service: ServiceState,
): RoutingState {
  if (state.services[serviceIndex] === service) return state;
  return { ...state, services: state.services.with(serviceIndex, service) };
}

/** Returns the service with one upstream replaced. */
export function withUpstream(
  service: ServiceState,
  upstreamIndex: number,
  upstream: UpstreamState,
): ServiceState {
  return { ...service, upstreams: service.upstreams.with(upstreamIndex, upstream) };
}

/** Returns the index of an upstream within its service, or -1. */
export function findUpstream(service: ServiceState, id: string | undefined): number {
  return service.upstreams.findIndex((known) => known.upstream.id === id);
}
