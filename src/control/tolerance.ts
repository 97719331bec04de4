/**
 * What a group of control members can lose. Invariant: a voter that is silent or lacks a committed entry counts as lost,
 * so that the result is never too high.
 */
import { listVoters } from './steps.js';
import type { ConsensusState } from './types.js';

/**
 * Returns the number of voters that answer and hold every committed entry, the leader among them, or undefined on a
 * member that isn't the leader.
 */
export function countCurrentVoters(state: ConsensusState): number | undefined {
  const { role, self, now, timings, commitIndex, durableIndex } = state;
  if (role.kind !== 'leader') return undefined;
  const oldest = now - timings.electionMin;
  return listVoters(state.membership).filter((voter) => {
    if (voter === self) return durableIndex >= commitIndex;
    const progress = role.progress.get(voter);
    return (
      progress !== undefined &&
      progress.matchIndex >= commitIndex &&
      progress.lastContactAt > oldest
    );
  }).length;
}

/**
 * Returns how many more of the current voters may be lost for good while the others still form a majority of all voters;
 * 0 without a majority.
 *
 * @example
 * countBearableLosses(5, 5) // 2
 * countBearableLosses(4, 4) // 1
 * countBearableLosses(5, 4) // 1
 */
export function countBearableLosses(voters: number, currentVoters: number): number {
  return Math.max(0, currentVoters - (Math.floor(voters / 2) + 1));
}

/**
 * Returns the number of voters of which any `losses` may be lost for good.
 *
 * @example
 * countNeededVoters(2) // 5
 */
export function countNeededVoters(losses: number): number {
  return 2 * losses + 1;
}
