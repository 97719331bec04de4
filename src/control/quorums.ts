/**
 * Which members decide. Invariant: any two quorums of a group have a voter in common that did not lose its disk between its
 * two answers, and until a change from voters of which half may decide is committed, quorums of both memberships decide.
 *
 * A majority is a quorum. A voter that lost its disk never answers again, as the process at its address has a new identity, so
 * that in a settled group of even size half of the voters are a quorum too, once one of the others is lost: the rest is no
 * quorum. A member that is silent is not lost.
 */
import type { Membership } from '../generated/control.js';
import { hasMajority, listVoters, toAddress } from './steps.js';
import type { ConsensusState, LeaderRole, LostVoter, MemberId } from './types.js';

/** Records that a process with an empty data folder runs at the address of a voter. */
export function recordSuccessor(state: ConsensusState, successor: MemberId): ConsensusState {
  const { members, retired } = state.membership;
  const isKnown = members.some(({ id }) => id === successor) || retired.includes(successor);
  const lost = listVoters(state.membership).find((id) => toAddress(id) === toAddress(successor));
  if (isKnown || lost === undefined || lost === state.self) return state;
  const found = state.lostVoters.get(lost);
  const since = found?.successor === successor && isFresh(state, found) ? found.since : state.now;
  const lostVoter: LostVoter = { successor, since, lastHeardAt: state.now };
  return { ...state, lostVoters: new Map(state.lostVoters).set(lost, lostVoter) };
}

/** Forgets that a voter lost its disk once it says anything itself. */
export function dropSuccessor(state: ConsensusState, voter: MemberId): ConsensusState {
  if (!state.lostVoters.has(voter)) return state;
  const others = [...state.lostVoters].filter(([id]) => id !== voter);
  return { ...state, lostVoters: new Map(others) };
}

function isFresh({ now, timings }: ConsensusState, { lastHeardAt }: LostVoter): boolean {
  return now - lastHeardAt <= timings.electionMax;
}

/**
 * Returns the voters whose successors asked to join for at least the minimum election timeout. A single request may have
 * been sent before the voter was admitted.
 */
export function listLostVoters(state: ConsensusState): readonly MemberId[] {
  return [...state.lostVoters]
    .filter(([id]) => listVoters(state.membership).includes(id))
    .filter(([, lost]) => isFresh(state, lost))
    .filter(([, { since, lastHeardAt }]) => lastHeardAt - since >= state.timings.electionMin)
    .map(([id]) => id);
}

/** Returns whether quorums of the membership in effect alone decide. */
export function isPreviousDone(state: ConsensusState): boolean {
  return state.previousMembership === undefined || state.membershipIndex <= state.commitIndex;
}

/** Returns whether the leader has to append the committed membership once more: half of an even number decide after that. */
export function isUnsettled(state: ConsensusState): boolean {
  if (state.previousMembership !== undefined) return true;
  return !state.isSettled && listVoters(state.membership).length % 2 === 0;
}

/**
 * Returns whether the members that satisfy the predicate are a majority, where one voter that is lost doesn't count. In a group
 * of even size, half of the voters then decide. The loss must be known before these members are asked.
 */
function hasQuorum(
  membership: Membership,
  lost: readonly MemberId[],
  predicate: (member: MemberId) => boolean,
): boolean {
  const voters = listVoters(membership);
  const isOneLost = voters.some((voter) => lost.includes(voter) && !predicate(voter));
  return voters.filter(predicate).length * 2 > voters.length - (isOneLost ? 1 : 0);
}

/** Returns whether the members that satisfy the predicate decide for the membership before the one in effect. */
function hasPreviousQuorum(
  state: ConsensusState,
  lost: readonly MemberId[],
  predicate: (member: MemberId) => boolean,
): boolean {
  const { membership, previousMembership: previous } = state;
  if (previous === undefined || isPreviousDone(state)) return true;
  const addresses = membership.members.map(({ id }) => toAddress(id));
  const replaced = listVoters(previous).filter(
    (voter) =>
      addresses.includes(toAddress(voter)) && !membership.members.some(({ id }) => id === voter),
  );
  return hasQuorum(previous, [...replaced, ...lost], predicate);
}

/** Returns the other members whose votes count. */
export function listElectors(state: ConsensusState): readonly MemberId[] {
  const { membership, previousMembership: previous, self } = state;
  const voters = listVoters(membership);
  const former = previous === undefined || isPreviousDone(state) ? [] : listVoters(previous);
  return [...new Set([...voters, ...former])].filter((id) => id !== self);
}

/** Returns whether the granted votes elect a leader; `lost` are the voters that were lost before the votes were requested. */
export function hasElectionQuorum(
  state: ConsensusState,
  granted: readonly MemberId[],
  lost: readonly MemberId[],
): boolean {
  const isGranted = (member: MemberId): boolean => granted.includes(member);
  const bearable = state.isSettled ? lost : [];
  return (
    hasQuorum(state.membership, bearable, isGranted) && hasPreviousQuorum(state, lost, isGranted)
  );
}

/** Returns whether the members that satisfy the predicate commit an entry of the leader's term that they hold. */
export function hasCommitQuorum(
  state: ConsensusState,
  { lost }: LeaderRole,
  predicate: (member: MemberId) => boolean,
): boolean {
  return hasMajority(state.membership, predicate) && hasPreviousQuorum(state, lost, predicate);
}

/**
 * Returns whether a change of members may wait for a voter that was lost after this leader's election: only the next leader can
 * do without that voter.
 */
export function isWaitingForLost(state: ConsensusState, { lost }: LeaderRole): boolean {
  return !isPreviousDone(state) && listLostVoters(state).some((id) => !lost.includes(id));
}
