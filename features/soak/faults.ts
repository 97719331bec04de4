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
export class Draw {
  readonly #random;

  constructor(seed: number) {
    this.#random = xoroshiro128plus(seed);
  }

  /** Returns a whole number from 0 up to, and without, `end`. */
  below(end: number): number {
    return (this.#random.next() >>> 0) % end;
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
const LONGEST_FAULT = 2500;

function generateFault(draw: Draw, vms: number, upstreams: number): Fault {
  const kind = KINDS[draw.below(KINDS.length)] ?? 'changeRoutes';
  const vm = draw.below(vms);
  const upstream = draw.below(upstreams);
  const ms = 200 + draw.below(LONGEST_FAULT);
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
      return { kind, upstream, ms, how: BEHAVIOURS[draw.below(BEHAVIOURS.length)] ?? 'reset' };
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
  length: number,
  vms: number,
  upstreams: number,
): readonly PlannedFault[] {
  const draw = new Draw(seed);
  const count = 4 + draw.below(Math.max(1, Math.floor(length / 500)));
  return Array.from({ length: count }, () => ({
    at: draw.below(length),
    fault: generateFault(draw, vms, upstreams),
  })).sort((one, two) => one.at - two.at);
}
