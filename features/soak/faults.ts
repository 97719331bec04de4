/** Draws the faults of a seeded run. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Behaviour } from '../platform/site.js';

/** One fault; `vm` and `upstream` are places in the site's lists. */
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
  | { readonly kind: 'changeRoutes' }
  | { readonly kind: 'zoneOut'; readonly vm: number; readonly ms: number };

/** A fault and when it strikes, in milliseconds from the start. */
export interface PlannedFault {
  readonly at: number;
  readonly fault: Fault;
}

/** A source of numbers that the seed decides. */
export class RandomSource {
  readonly #generator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Returns a whole number from 0 up to, and without, `end`. */
  below(end: number): number {
    return (this.#generator.next() >>> 0) % end;
  }
}

const KINDS = [
  ...(['killGateway', 'stopGateway', 'pauseGateway', 'killSteward', 'pauseSteward'] as const),
  ...(['wipeSteward', 'killAllStewards', 'misbehave', 'misbehave', 'resetLink'] as const),
  ...(['delayLink', 'silenceLink', 'cutOneWay', 'drain', 'changeRoutes', 'changeRoutes'] as const),
  'zoneOut',
] as const;
const BEHAVIOURS: readonly Behaviour[] = ['reset', 'refuse', 'fail', 'cut', 'stray'];
/** Longest time of a fault in milliseconds. */
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
    case 'killAllStewards':
    case 'changeRoutes':
      return { kind };
  }
}

/** Returns the faults of a seed in the order of their times. */
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
