/** Generates the faults of a soak run. Invariant: the same seed and arguments give the same faults. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Behaviour } from '../platform/site.js';

/** One fault; `vm` and `upstream` are indexes into the site's lists, `ms` is a duration in milliseconds. */
export type Fault =
  | { readonly kind: 'killGateway' | 'stopGateway'; readonly vm: number }
  | { readonly kind: 'pauseGateway'; readonly vm: number; readonly ms: number }
  | { readonly kind: 'killSteward' | 'wipeSteward'; readonly vm: number }
  | { readonly kind: 'pauseSteward'; readonly vm: number; readonly ms: number }
  | { readonly kind: 'killAllStewards' }
  | {
      readonly kind: 'misbehave';
      readonly upstream: number;
      readonly how: Behaviour;
      readonly ms: number;
    }
  | { readonly kind: 'resetLink'; readonly upstream: number }
  | {
      readonly kind: 'delayLink' | 'silenceLink' | 'cutOneWay';
      readonly upstream: number;
      readonly ms: number;
    }
  | { readonly kind: 'drain'; readonly upstream: number }
  /** A request that crashes each upstream that runs it, at a rate in requests a second. */
  | { readonly kind: 'crashingRequest'; readonly rate: number; readonly ms: number }
  | { readonly kind: 'changeRoutes' }
  | { readonly kind: 'zoneOut'; readonly vm: number; readonly ms: number }
  /** Stewards are replaced one after another, each once the group tolerates the loss of another VM. */
  | { readonly kind: 'replaceStewards'; readonly replacements: readonly Replacement[] };

/**
 * How a steward is replaced by one with an empty disk: `killed` and `planned` ones by a steward at a new address, a
 * `planned` one only after that has started; a `wiped` one starts again at its own address.
 */
export type ReplacementWay = 'killed' | 'planned' | 'wiped';

/** The replacement of one steward, and what begins with it. */
export interface Replacement {
  readonly way: ReplacementWay;
  readonly vm: number;
  /** Milliseconds from when the group tolerates a loss to the replacement. */
  readonly wait: number;
  /** Milliseconds between the old steward's end and the new one's start, or the reverse if it is planned. */
  readonly gap: number;
  /** The gateway that is paused, for `pause` milliseconds. */
  readonly gateway: number;
  readonly pause: number;
  /** Milliseconds from the start of the replacement to a change of the routes. */
  readonly changeAfter: number;
  /** The upstream that drains, if one does. */
  readonly drained: number | undefined;
}

/** A fault and the time of its injection. */
export interface PlannedFault {
  /** Milliseconds from the start of the run. */
  readonly at: number;
  readonly fault: Fault;
}

/** A pseudorandom number generator with a seed. */
export class RandomSource {
  readonly #generator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Returns an integer from 0 (inclusive) to `end` (exclusive). */
  below(end: number): number {
    return (this.#generator.next() >>> 0) % end;
  }
}

/** Milliseconds after the start of a replaced or restarted steward in which no other VM may be lost. */
export const CATCH_UP_TIME = 4000;

/** Kinds of faults; a kind that is listed twice is generated twice as often. */
const KINDS = [
  ...(['killGateway', 'stopGateway', 'pauseGateway', 'killSteward', 'pauseSteward'] as const),
  ...(['wipeSteward', 'killAllStewards', 'misbehave', 'misbehave', 'resetLink'] as const),
  ...(['delayLink', 'silenceLink', 'cutOneWay', 'drain', 'changeRoutes', 'changeRoutes'] as const),
  ...(['zoneOut', 'crashingRequest'] as const),
] as const;
const CRASHING_RATES = [1, 4, 20, 50] as const;
const BEHAVIOURS: readonly Behaviour[] = ['reset', 'refuse', 'fail', 'cut', 'stray'];
/** Range in milliseconds of the random part of a fault's duration; 200 ms are added to it. */
const FAULT_TIME_RANGE = 2500;

function generateFault(random: RandomSource, vms: number, upstreams: number): Fault {
  const kind = KINDS[random.below(KINDS.length)] ?? 'changeRoutes';
  const vm = random.below(vms);
  const upstream = random.below(upstreams);
  const ms = 200 + random.below(FAULT_TIME_RANGE);
  switch (kind) {
    case 'killGateway':
    case 'stopGateway':
    case 'killSteward':
    case 'wipeSteward':
      return { kind, vm };
    case 'pauseGateway':
    case 'pauseSteward':
    case 'zoneOut':
      return { kind, vm, ms };
    case 'misbehave':
      return { kind, upstream, ms, how: BEHAVIOURS[random.below(BEHAVIOURS.length)] ?? 'reset' };
    case 'resetLink':
    case 'drain':
      return { kind, upstream };
    case 'delayLink':
      return { kind, upstream, ms: Math.round(ms / 10) };
    case 'silenceLink':
    case 'cutOneWay':
      return { kind, upstream, ms };
    case 'crashingRequest':
      return { kind, rate: CRASHING_RATES[random.below(CRASHING_RATES.length)] ?? 4, ms: ms * 2 };
    case 'killAllStewards':
    case 'changeRoutes':
      return { kind };
  }
}

/**
 * Returns the faults of a seed, sorted by the time of their injection.
 *
 * @param duration Milliseconds within which all faults are injected.
 * @param vms Number of VMs of the site.
 * @param upstreams Number of upstreams of the site.
 */
export function planFaults(
  seed: number,
  duration: number,
  vms: number,
  upstreams: number,
): readonly PlannedFault[] {
  const random = new RandomSource(seed);
  const count = 4 + random.below(Math.max(1, Math.floor(duration / 500)));
  return Array.from({ length: count }, () => ({
    at: random.below(duration),
    fault: generateFault(random, vms, upstreams),
  })).sort((one, two) => one.at - two.at);
}

/** Bytes that are no answer, or part of one, which a connection carries before or behind an answer. */
const STRAY_BEHAVIOURS: readonly Behaviour[] = ['repeatRefusal', 'repeatRefusal', 'resetUnframed'];
/** Times for which upstreams of a run send such bytes, one after another or at once. */
const STRAY_FAULTS = 4;

/**
 * Returns the faults of a seed in which upstreams send stray or incomplete answers. They have a generator of their own, so
 * that they leave the other faults of the seed as they are.
 */
export function planStrayAnswers(
  seed: number,
  duration: number,
  upstreams: number,
): readonly PlannedFault[] {
  const random = new RandomSource(-1 - seed);
  return Array.from({ length: STRAY_FAULTS }, () => ({
    at: random.below(duration),
    fault: {
      kind: 'misbehave',
      upstream: random.below(upstreams),
      ms: 200 + random.below(FAULT_TIME_RANGE),
      how: STRAY_BEHAVIOURS[random.below(STRAY_BEHAVIOURS.length)] ?? 'repeatRefusal',
    },
  }));
}

const WAYS: readonly ReplacementWay[] = ['killed', 'killed', 'planned', 'planned', 'wiped'];
/** Ranges in milliseconds of the random part of the time between two replacements; 100 ms are added to it. */
const WAIT_RANGES = [1, 400, 1500, 7900] as const;
/** Range in milliseconds of the time between the ends and starts of replaced stewards and their successors. */
const GAP_RANGE = 1500;
/** Range in milliseconds of the random part of a gateway's pause; 200 ms are added to it. */
const PAUSE_RANGE = 5800;

function generateReplacement(
  random: RandomSource,
  vm: number,
  vms: number,
  upstreams: number,
): Replacement {
  return {
    way: WAYS[random.below(WAYS.length)] ?? 'killed',
    vm,
    wait: 100 + random.below(WAIT_RANGES[random.below(WAIT_RANGES.length)] ?? 1),
    gap: random.below(GAP_RANGE),
    gateway: random.below(vms),
    pause: 200 + random.below(PAUSE_RANGE),
    changeAfter: random.below(GAP_RANGE),
    drained: random.below(2) === 0 ? random.below(upstreams) : undefined,
  };
}

/**
 * Returns a series of two to four replacements of stewards. In every fourth series a gateway is paused from the first
 * replacement to the last. Its random numbers are its own: the faults of {@link planFaults} don't depend on it.
 *
 * @param duration Milliseconds within which the series begins.
 * @param vms Number of VMs of the site.
 * @param upstreams Number of upstreams of the site.
 */
export function planReplacements(
  seed: number,
  duration: number,
  vms: number,
  upstreams: number,
): PlannedFault {
  const random = new RandomSource(seed ^ 0x5eed);
  const first = random.below(vms);
  const replacements = Array.from({ length: 2 + random.below(3) }, (_, index) =>
    generateReplacement(random, (first + index) % vms, vms, upstreams),
  );
  const length = replacements.reduce((sum, { wait }) => sum + wait + CATCH_UP_TIME, 0);
  const isPausedThroughout = random.below(4) === 0;
  const paused = replacements[0]?.gateway ?? 0;
  const planned = replacements.map((replacement, index) =>
    isPausedThroughout
      ? { ...replacement, ...(index === 0 ? { pause: length } : { gateway: (paused + 1) % vms }) }
      : replacement,
  );
  const at = random.below(Math.max(1, Math.floor(duration / 2)));
  return { at, fault: { kind: 'replaceStewards', replacements: planned } };
}
