/** Holds the routing state. Invariant: the state only changes through events, one at a time. */
import { createRoutingState, decideRouting, type RoutingOptions } from '../routing/index.js';
import type { RoutingPort } from './ports.js';

/**
 * Creates a routing port with an empty routing state.
 *
 * @example
 * const routing = createRouter({ probeShare: 0.01 });
 * routing.decide({ kind: 'ticked', now: performance.now(), random: Math.random() });
 */
export function createRouter(options: Partial<RoutingOptions> = {}): RoutingPort {
  let state = createRoutingState(options);
  return {
    decide: (event) => {
      const next = decideRouting(state, event);
      state = next.state;
      return next.effects;
    },
  };
}
