/**
 * The state of the routing decisions. Invariant: every value is immutable; an event replaces the
 * records of one service and shares the rest with the state before.
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

/** What this entry knows of one upstream. */
export interface UpstreamState {
  readonly upstream: Upstream;
  /** Whether new work may go to it: zone in, not leaving, in the subset of this entry. */
  readonly usable: boolean;
  /** When each request of this entry that it still runs was sent. */
  readonly sentAt: readonly Instant[];
  /** Requests of other entries in it, as of the last report. */
  readonly otherRequests: number;
  readonly reportedAt: Instant;
  /** Moving average of milliseconds from sending to the answer's head. */
  readonly latency: number;
  /** When the latency was last measured. */
  readonly latencyAt: Instant;
  /** Consecutive failed attempts. */
  readonly failures: number;
  readonly ejectedUntil: Instant;
  /** Ejections since the last good answer. */
  readonly ejections: number;
  /** Consecutive refusals that ran nothing. */
  readonly rejections: number;
  /** Until when it gets no work because it refused some. */
  readonly pausedUntil: Instant;
  readonly cold: boolean;
  /** When the upstream process started; entries agree on it but for the delay of announcements. */
  readonly startedAt: Instant;
  /** When it was last found cold. */
  readonly coldSince: Instant;
  /** Whether it called itself cold for so long, at normal latency, that this is no longer believed. */
  readonly coldReportsIgnored: boolean;
  /** Consecutive answers at normal latency while cold. */
  readonly warmAnswers: number;
  /** When it became warm. */
  readonly warmSince: Instant;
  /** Place of this entry in the rendezvous order of the upstream. */
  readonly rank: number;
  readonly lastSentAt: Instant;
  readonly lastSignalAt: Instant;
  readonly lastProbedAt: Instant;
}

/** What this entry knows of one service. */
export interface ServiceState {
  readonly name: string;
  readonly upstreams: readonly UpstreamState[];
  /** The version move that is under way. */
  readonly weight: VersionWeight | undefined;
  /** Ids of waiting calls, first come first. */
  readonly interactiveQueue: readonly number[];
  readonly batchQueue: readonly number[];
  /** Moving average of milliseconds from sending to the head of a good answer. */
  readonly latency: number;
  /** Good answers that the averages are made of. */
  readonly samples: number;
  /** Moving average of requests of other entries in one upstream. */
  readonly otherRequests: number;
  /** Moving average of milliseconds between two answers' ends. */
  readonly completionInterval: number;
  readonly lastCompletionAt: Instant;
  readonly retryTokens: number;
}

/** One call under way. */
export interface CallState {
  readonly id: number;
  readonly call: Call;
  readonly phase: 'queued' | 'sent' | 'delivered';
  readonly arrivedAt: Instant;
  /** A number in [0, 1) that decides on the version. */
  readonly versionRoll: number;
  readonly attempt: number;
  /** Upstreams of the attempts so far, the current one last. */
  readonly tried: readonly string[];
  readonly incarnation: number;
  readonly sentAt: Instant;
  /** Whether an earlier attempt may have run. */
  readonly mayHaveRun: boolean;
  /** Attempts whose connection was lost; each may have crashed its upstream. */
  readonly lostConnections: number;
  /** Attempts that made no connection. */
  readonly failedConnects: number;
  readonly lastFailure: AttemptFailure;
  /** Milliseconds from sending to the head of the answer that is passed on. */
  readonly headLatency: Duration;
  /** Whether that answer is a server error. */
  readonly headFailed: boolean;
}

/** The whole state of one entry's routing. */
export interface RoutingState {
  readonly options: RoutingOptions;
  readonly self: EntryId;
  readonly zone: ZoneId;
  readonly config: Config;
  /** Hashes of the ids of the roster's members, in its order. */
  readonly memberHashes: readonly number[];
  /** Place of this entry in the roster, or -1. */
  readonly selfIndex: number;
  /** Members of the roster, those that join and leave included; at least 1. */
  readonly fleetSize: number;
  /** Whether this entry may use its shares of the fleet's allowances. */
  readonly active: boolean;
  readonly leaseHeld: boolean;
  readonly services: readonly ServiceState[];
  readonly serviceIndexByName: ReadonlyMap<string, number>;
  /** Place of the service of each upstream. */
  readonly serviceIndexByUpstream: ReadonlyMap<string, number>;
  readonly calls: Table<CallState>;
  readonly quarantined: ReadonlyMap<string, Instant>;
  readonly suspected: ReadonlySet<string>;
}

/** Milliseconds assumed for an answer before any was measured. */
export const INITIAL_LATENCY = 10;

/**
 * Returns the state before the first event.
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

/** Returns the place of an upstream within its service, or -1. */
export function findUpstream(service: ServiceState, id: string | undefined): number {
  return service.upstreams.findIndex((known) => known.upstream.id === id);
}
