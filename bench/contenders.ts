/**
 * The load-balancing policies that the `policies` benchmark compares: common ones, the routing of chivewalk, and a central
 * queue with full knowledge as the reference bound.
 */
import {
  createRoutingState,
  decideRouting,
  type RoutingEffect,
  type RoutingEvent,
  type RoutingOptions,
} from '../src/routing/index.js';
import type { Config, Upstream } from '../src/model/index.js';
import { emptyConfig } from '../src/model/index.js';
import { createRandom, type Policy, type Refuse, type Scenario, type Send } from './queueing.js';

/** Builds a policy for one run of a scenario. */
export type PolicyBuilder = (scenario: Scenario, seed: number) => Policy;

type ChooseUpstream = (busy: readonly number[], entry: number) => number;

/** Milliseconds from the arrival of a call to its deadline. */
const CALL_TIMEOUT_MS = 2000;

/** Builds a policy that chooses by the number of calls which the entry itself has in flight at each upstream. */
function buildInFlightPolicy(scenario: Scenario, choose: ChooseUpstream): Policy {
  const busy = Array.from({ length: scenario.entries }, () =>
    new Array<number>(scenario.upstreams).fill(0),
  );
  const add = (entry: number, upstream: number, change: number): void => {
    const own = busy[entry] ?? [];
    own[upstream] = (own[upstream] ?? 0) + change;
  };
  return {
    handleCall: (callId, entry, _now, send) => {
      const upstream = choose(busy[entry] ?? [], entry);
      add(entry, upstream, 1);
      send(callId, upstream);
    },
    handleAnswer: ({ entry, upstream }) => {
      add(entry, upstream, -1);
      return 'deliver';
    },
  };
}

function buildRoundRobin(scenario: Scenario): Policy {
  const nextIndexes = Array.from({ length: scenario.entries }, (_, entry) => entry);
  return buildInFlightPolicy(scenario, (_, entry) => {
    const index = nextIndexes[entry] ?? 0;
    nextIndexes[entry] = index + 1;
    return index % scenario.upstreams;
  });
}

function buildRandom(scenario: Scenario, seed: number): Policy {
  const random = createRandom(seed + 1);
  return buildInFlightPolicy(scenario, () => Math.floor(random() * scenario.upstreams));
}

function buildLeastInFlight(scenario: Scenario, seed: number): Policy {
  const random = createRandom(seed + 1);
  return buildInFlightPolicy(scenario, (busy) => {
    const least = Math.min(...busy);
    const leastBusy = busy.flatMap((count, at) => (count === least ? [at] : []));
    return leastBusy[Math.floor(random() * leastBusy.length)] ?? 0;
  });
}

function buildTwoChoices(scenario: Scenario, seed: number): Policy {
  const random = createRandom(seed + 1);
  return buildInFlightPolicy(scenario, (busy) => {
    const first = Math.floor(random() * busy.length);
    const second = Math.floor(random() * busy.length);
    return (busy[second] ?? 0) < (busy[first] ?? 0) ? second : first;
  });
}

/** Builds the bound: the model itself serves all calls from one queue with full knowledge of the upstreams. */
function buildCentralQueue(): Policy {
  return {
    usesCentralQueue: true,
    handleCall: () => undefined,
    handleAnswer: () => 'deliver',
  };
}

function buildUpstreams(scenario: Scenario): readonly Upstream[] {
  return Array.from({ length: scenario.upstreams }, (_, at) => ({
    id: `upstream-${at}`,
    service: 'seams',
    version: '1',
    zone: `zone-${at % scenario.zones}`,
    labels: {},
    address: `127.0.0.1:${9000 + at}`,
    slots: scenario.slots,
    maxConnections: 250,
    incarnation: 1,
    leaving: false,
    age: 3_600_000,
  }));
}

function buildConfig(scenario: Scenario): Config {
  const members = Array.from({ length: scenario.entries }, (_, at) => ({
    id: `entry-${at}`,
    zone: `zone-${at % scenario.zones}`,
    peerAddress: `127.0.0.1:${8000 + at}`,
    callerAddress: `127.0.0.1:${8100 + at}`,
    incarnation: 1,
    phase: 'active' as const,
  }));
  return { ...emptyConfig, revision: 1, roster: { epoch: 1, members } };
}

/** Builds the policy of chivewalk: one routing state per entry, driven by the events of the model. */
export function buildChivewalk(options: Partial<RoutingOptions> = {}): PolicyBuilder {
  return (scenario, seed) => {
    const random = createRandom(seed + 1);
    const config = buildConfig(scenario);
    const upstreams = buildUpstreams(scenario);
    const states = config.roster.members.map(({ id, zone }) => {
      const empty = createRoutingState(options);
      const event: RoutingEvent = { kind: 'configured', config, self: id, zone, now: 0 };
      const configured = decideRouting(empty, event).state;
      return decideRouting(configured, { kind: 'discovered', upstreams, now: 0 }).state;
    });
    const decide = (entry: number, event: RoutingEvent): readonly RoutingEffect[] => {
      const state = states[entry];
      if (state === undefined) return [];
      const next = decideRouting(state, event);
      states[entry] = next.state;
      return next.effects;
    };
    const applyEffects = (effects: readonly RoutingEffect[], send: Send, refuse: Refuse): void => {
      effects.forEach((effect) => {
        if (effect.kind === 'send') send(effect.callId, Number(effect.upstreamId.slice(9)));
        if (effect.kind === 'refuse') refuse(effect.callId);
      });
    };
    return {
      handleCall: (id, entry, now, send, refuse) => {
        const call = {
          id,
          service: 'seams',
          route: '',
          idempotent: true,
          criticality: 'interactive' as const,
          deadline: now + CALL_TIMEOUT_MS,
          fingerprint: String(id),
          depth: 0,
        };
        applyEffects(decide(entry, { kind: 'arrived', call, now, random: random() }), send, refuse);
      },
      handleAnswer: ({ callId, entry, failed, report }, now, send, refuse) => {
        const status = failed ? 500 : 200;
        const head = { callId, status, notRun: false, report, now, random: random() };
        const effects = decide(entry, { kind: 'headArrived', ...head });
        applyEffects(effects, send, refuse);
        if (effects.some((effect) => effect.kind === 'send' && effect.callId === callId)) {
          return 'retry';
        }
        const end = { callId, complete: true, now, random: random() };
        applyEffects(decide(entry, { kind: 'finished', ...end }), send, refuse);
        return 'deliver';
      },
      handleTick: (entry, now, send, refuse) => {
        applyEffects(decide(entry, { kind: 'ticked', now, random: random() }), send, refuse);
      },
    };
  };
}

/** The policies by the name under which they are reported. `all-knowing` must be last: it is the bound. */
export const contenders: Readonly<Record<string, PolicyBuilder>> = {
  'round robin': buildRoundRobin,
  random: buildRandom,
  'least in flight': buildLeastInFlight,
  'two choices': buildTwoChoices,
  chivewalk: buildChivewalk(),
  'all-knowing': buildCentralQueue,
};
