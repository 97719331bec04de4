/**
 * Derives the configuration that entries apply from the intent state. Invariant: equal states produce
 * equal configurations, and the shares of a service's versions add up to at most 1.
 */
import { checkInvariant, type Config, type VersionWeight } from '../model/index.js';
import { getVersions } from './moves.js';
import type { IntentState } from './state.js';

/** Returns the weights of one service's versions: the one being moved to, the settled one, those rolled back. */
function buildWeights(state: IntentState, service: string): readonly VersionWeight[] {
  const { settled, takenBack } = getVersions(state, service);
  const move = state.moves.find(({ services }) => services.includes(service));
  const movingWeights =
    move === undefined ? [] : [{ service, version: move.version, share: move.share }];
  const remainingShare = 1 - (move?.share ?? 0);
  const settledWeights =
    settled === null || settled === move?.version
      ? []
      : [{ service, version: settled, share: remainingShare }];
  const rolledBackWeights = takenBack
    .filter((version) => version !== move?.version)
    .map((version) => ({ service, version, share: 0 }));
  const weights = [...movingWeights, ...settledWeights, ...rolledBackWeights];
  const total = weights.reduce((sum, { share }) => sum + share, 0);
  checkInvariant(
    total <= 1 + 1e-9,
    `the shares of service ${service} add up to ${total}, more than 1`,
  );
  return weights;
}

/**
 * Returns the configuration that entries apply for a state.
 *
 * @example
 * const config = buildConfig(state); // config.revision === state.revision
 */
export function buildConfig(state: IntentState): Config {
  const moving = state.moves.flatMap(({ services }) => services);
  const services = [...new Set([...state.services.map(({ service }) => service), ...moving])];
  return {
    revision: state.revision,
    zonesOut: state.zonesOut,
    leaving: state.leaving,
    weights: services.toSorted().flatMap((service) => buildWeights(state, service)),
    roster: state.roster,
  };
}
