/** Test harness that applies events to a routing state and records the effects. */
import type { Config, Upstream } from '../../src/model/index.js';
import {
  createRoutingState,
  decideRouting,
  type Call,
  type RoutingEffect,
  type RoutingEvent,
  type RoutingOptions,
  type RoutingState,
} from '../../src/routing/index.js';
import { buildCall, buildConfig } from './builders.js';

/** Effects of one kind. */
type EffectOf<Kind extends RoutingEffect['kind']> = Extract<RoutingEffect, { kind: Kind }>;

/** An entry under test with a simulated clock. */
export class RoutingHarness {
  state: RoutingState;
  readonly effects: RoutingEffect[] = [];
  now = 0;
  #calls = 0;

  constructor(
    readonly self: string,
    readonly config: Config,
    upstreams: readonly Upstream[],
    options: Partial<RoutingOptions> = {},
  ) {
    this.state = createRoutingState(options);
    this.apply({ kind: 'configured', config, self, zone: 'a', now: 0 });
    this.apply({ kind: 'discovered', upstreams, now: 0 });
  }

  /** Creates an entry in a fleet of `size` active members. */
  static create(upstreams: readonly Upstream[], size = 1, self = 'entry-0'): RoutingHarness {
    return new RoutingHarness(self, buildConfig(size), upstreams);
  }

  /** Applies an event and returns its effects. */
  apply(event: RoutingEvent): readonly RoutingEffect[] {
    const { state, effects } = decideRouting(this.state, event);
    this.state = state;
    this.effects.push(...effects);
    return effects;
  }

  /** Applies the arrival of a new call and returns its id and the effects. */
  arrive(fields: Partial<Call> = {}): { id: number; effects: readonly RoutingEffect[] } {
    this.#calls += 1;
    const id = this.#calls;
    const call = buildCall(id, { deadline: this.now + 1000, ...fields });
    const random = (id * 0.6180339887) % 1;
    return { id, effects: this.apply({ kind: 'arrived', call, now: this.now, random }) };
  }

  /** Responds to a call, by default with status 200, and finishes it if the response is delivered. */
  answer(callId: number, status = 200, cold = false): readonly RoutingEffect[] {
    const event = { callId, now: this.now, random: 0.5 };
    const report = { inFlight: 1, queued: 0, cold };
    const head = this.apply({ kind: 'headArrived', status, notRun: false, report, ...event });
    if (!head.some((effect) => effect.kind === 'deliver')) return head;
    return [...head, ...this.apply({ kind: 'finished', complete: true, ...event })];
  }

  tick(): readonly RoutingEffect[] {
    return this.apply({ kind: 'ticked', now: this.now, random: 0.5 });
  }

  list<Kind extends RoutingEffect['kind']>(kind: Kind): readonly EffectOf<Kind>[] {
    return this.effects.filter((effect): effect is EffectOf<Kind> => effect.kind === kind);
  }
}
