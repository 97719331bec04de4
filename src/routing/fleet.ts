/**
 * Applies configuration and announcements to the state: usable upstreams, ranks, subsets and shares of the
 * fleet's budgets. Invariant: budgets are divided among all members of the roster, including those that
 * join or leave, so the shares of the fleet never exceed the budget in total.
 */
import {
  matchSelector,
  type Config,
  type Instant,
  type Roster,
  type Upstream,
} from '../model/index.js';
import { computeRank, hashText } from './hash.js';
import {
  INITIAL_LATENCY,
  type RoutingState,
  type ServiceState,
  type UpstreamState,
} from './state.js';
import type { RoutingEvent } from './types.js';

/** Retries at depth 0 that a service may use before its first calls have added retry tokens. */
const INITIAL_RETRY_TOKENS = 5;

type Configured = Extract<RoutingEvent, { kind: 'configured' }>;

/** Returns whether the configuration allows new requests to the upstream. */
export function isAllowed(config: Config, upstream: Upstream): boolean {
  if (upstream.leaving) return false;
  if (config.zonesOut.includes(upstream.zone)) return false;
  return !config.leaving.some((selector) => matchSelector(selector, upstream));
}

/** Returns how many entries use one upstream of a service with `count` upstreams. */
export function computeSubsetUsers(state: RoutingState, count: number): number {
  if (count <= state.options.subsetSize) return state.fleetSize;
  return Math.ceil((state.fleetSize * state.options.subsetSize) / count);
}

function updateUpstream(state: RoutingState, known: UpstreamState, users: number): UpstreamState {
  const userCount = Math.min(users, known.upstream.maxConnections);
  const usable = isAllowed(state.config, known.upstream) && known.rank < userCount;
  return usable === known.usable ? known : { ...known, usable };
}

function updateService(state: RoutingState, service: ServiceState): ServiceState {
  const users = computeSubsetUsers(state, service.upstreams.length);
  const weight = state.config.weights.find((candidate) => candidate.service === service.name);
  const upstreams = service.upstreams.map((known) => updateUpstream(state, known, users));
  return { ...service, weight, upstreams };
}

/** Returns the rank of this entry in the rendezvous order of an upstream. */
function computeOwnRank(state: RoutingState, upstreamId: string): number {
  return computeRank(upstreamId, state.selfIndex, state.memberHashes);
}

function updateRanks(state: RoutingState, service: ServiceState): ServiceState {
  const upstreams = service.upstreams.map((known) => {
    const rank = computeOwnRank(state, known.upstream.id);
    return rank === known.rank ? known : { ...known, rank };
  });
  return { ...service, upstreams };
}

function applyRoster(state: RoutingState, event: Configured): RoutingState {
  const { members } = event.config.roster;
  const selfAt = members.findIndex((member) => member.id === event.self);
  const phase = members[selfAt]?.phase;
  const next: RoutingState = {
    ...state,
    self: event.self,
    memberHashes: members.map((member) => hashText(member.id)),
    selfIndex: selfAt,
    fleetSize: Math.max(1, members.length),
    active: phase === undefined ? members.length === 0 : phase !== 'joining',
  };
  return { ...next, services: next.services.map((service) => updateRanks(next, service)) };
}

function isSameRoster(one: Roster, other: Roster): boolean {
  if (one.members.length !== other.members.length) return false;
  return one.members.every((member, index) => {
    const counterpart = other.members[index];
    return member.id === counterpart?.id && member.phase === counterpart.phase;
  });
}

/** Applies a configuration; one of an older revision is ignored. */
export function applyConfig(state: RoutingState, event: Configured): RoutingState {
  if (event.config.revision < state.config.revision) return state;
  const sameRoster =
    event.self === state.self && isSameRoster(event.config.roster, state.config.roster);
  const ranked = sameRoster ? state : applyRoster(state, event);
  const next: RoutingState = { ...ranked, config: event.config, zone: event.zone };
  return { ...next, services: next.services.map((service) => updateService(next, service)) };
}

function createUpstream(
  state: RoutingState,
  upstream: Upstream,
  latency: number,
  now: Instant,
): UpstreamState {
  const cold = upstream.age < state.options.warmAge;
  return {
    upstream,
    usable: false,
    sentAt: [],
    otherRequests: 0,
    reportedAt: -Infinity,
    latency,
    latencyAt: -Infinity,
    failures: 0,
    ejectedUntil: -Infinity,
    ejections: 0,
    rejections: 0,
    pausedUntil: -Infinity,
    cold,
    startedAt: now - upstream.age,
    coldSince: now,
    coldReportsIgnored: false,
    warmAnswers: 0,
    warmSince: -Infinity,
    rank: computeOwnRank(state, upstream.id),
    lastSentAt: -Infinity,
    lastSignalAt: -Infinity,
    lastProbedAt: now,
  };
}

function mergeAnnouncement(
  state: RoutingState,
  known: UpstreamState | undefined,
  upstream: Upstream,
  latency: number,
  now: Instant,
): UpstreamState {
  if (known === undefined) return createUpstream(state, upstream, latency, now);
  if (upstream.incarnation <= known.upstream.incarnation) {
    return upstream === known.upstream ? known : { ...known, upstream };
  }
  const { sentAt, lastProbedAt } = known;
  return { ...createUpstream(state, upstream, latency, now), sentAt, lastProbedAt, cold: true };
}

function createService(name: string): ServiceState {
  return {
    name,
    upstreams: [],
    weight: undefined,
    interactiveQueue: [],
    batchQueue: [],
    latency: INITIAL_LATENCY,
    samples: 0,
    otherRequests: 0,
    completionInterval: INITIAL_LATENCY,
    lastCompletionAt: -Infinity,
    retryTokens: INITIAL_RETRY_TOKENS,
  };
}

/**
 * Replaces the upstreams with the announced ones. New upstreams start cold, unless they have been running
 * for at least `warmAge`; restarted ones always start cold.
 */
export function applyDiscovery(
  state: RoutingState,
  found: readonly Upstream[],
  now: Instant,
): RoutingState {
  const byService = new Map<string, Upstream[]>();
  found.forEach((upstream) => {
    const list = byService.get(upstream.service);
    if (list === undefined) byService.set(upstream.service, [upstream]);
    else list.push(upstream);
  });
  const added = [...byService.keys()].filter((name) => !state.serviceIndexByName.has(name));
  const services = [...state.services, ...added.map(createService)].map((service) => {
    const known = new Map(service.upstreams.map((one) => [one.upstream.id, one]));
    const upstreams = (byService.get(service.name) ?? []).map((upstream) =>
      mergeAnnouncement(state, known.get(upstream.id), upstream, service.latency, now),
    );
    return updateService(state, { ...service, upstreams });
  });
  return {
    ...state,
    services,
    serviceIndexByName: new Map(
      services.map((service, serviceIndex) => [service.name, serviceIndex]),
    ),
    serviceIndexByUpstream: new Map(
      services.flatMap((service, serviceIndex) =>
        service.upstreams.map((known) => [known.upstream.id, serviceIndex] as const),
      ),
    ),
  };
}

/**
 * Returns how many connections this entry may hold to an upstream: its share of the connections that the
 * upstream accepts.
 *
 * @example
 * getConnectionBudget(state, 'seams-3') // 11 of 250 with 22 entries
 */
export function getConnectionBudget(state: RoutingState, upstreamId: string): number {
  const service = state.services[state.serviceIndexByUpstream.get(upstreamId) ?? -1];
  const known = service?.upstreams.find((one) => one.upstream.id === upstreamId);
  if (known?.usable !== true || !state.active) return 0;
  const { maxConnections } = known.upstream;
  const minShare = Math.floor(maxConnections / state.fleetSize);
  return known.rank < maxConnections % state.fleetSize ? minShare + 1 : minShare;
}
