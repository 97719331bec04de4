/**
 * Membership changes, one at a time. Invariant: a change starts only after the previous change and an entry
 * of the leader's own term are committed, and it adds or removes at most one voter.
 */
import type { LogEntry, Membership } from '../generated/control.js';
import { hasQuorumContact } from './election.js';
import { appendAndReplicate, hasCommittedOwnTerm, startTransfer } from './leading.js';
import { getLastIndex } from './log.js';
import { listVoters, runSteps, toAddress, toStep } from './steps.js';
import type { ConsensusState, MemberId, MembershipChange, RefusalReason, Step } from './types.js';

/** Maximum number of members in a group, including learners. */
export const MAX_VOTERS = 7;
/** Number of removed identities that stay recorded, so that they can't rejoin. */
const MAX_RETIRED = 32;

function hasPendingChange(state: ConsensusState): boolean {
  if (state.role.kind !== 'leader' || state.role.transfer !== undefined) return true;
  return !hasCommittedOwnTerm(state) || state.membershipIndex > state.commitIndex;
}

/** Returns whether a majority of the new voters is reachable; without one, the change might never commit. */
function hasReachableMajority(state: ConsensusState, membership: Membership): boolean {
  return hasQuorumContact({ ...state, membership });
}

function appendMembership(state: ConsensusState, membership: Membership): Step {
  const entry: LogEntry = {
    kind: 'membership',
    index: getLastIndex(state.log) + 1,
    term: state.term,
    membership,
  };
  return appendAndReplicate(state, [entry]);
}

function removeMember(membership: Membership, id: MemberId): Membership {
  return {
    members: membership.members.filter((member) => member.id !== id),
    retired: [...membership.retired, id].slice(-MAX_RETIRED),
  };
}

/** Adds a learner, replacing the identity that had its address. */
function addMember(membership: Membership, id: MemberId): Membership {
  const old = membership.members.find((member) => toAddress(member.id) === toAddress(id));
  const rest = old === undefined ? membership : removeMember(membership, old.id);
  return { ...rest, members: [...rest.members, { id, voter: false }] };
}

function isOwnAddress(state: ConsensusState, id: MemberId): boolean {
  return toAddress(id) === toAddress(state.self);
}

function findQuorumRefusal(
  state: ConsensusState,
  membership: Membership,
): RefusalReason | undefined {
  if (membership.members.length > MAX_VOTERS) return 'tooMany';
  return hasReachableMajority(state, membership) ? undefined : 'fewAnswer';
}

function findRefusal(state: ConsensusState, change: MembershipChange): RefusalReason | undefined {
  if (state.role.kind !== 'leader') return 'notLeader';
  if (hasPendingChange(state)) return 'changePending';
  const { members, retired } = state.membership;
  switch (change.kind) {
    case 'admit':
      if (retired.includes(change.id) || isOwnAddress(state, change.id)) return 'notMember';
      if (members.some((member) => member.id === change.id)) return 'alreadyMember';
      return findQuorumRefusal(state, addMember(state.membership, change.id));
    case 'remove': {
      const found = members.find((member) => toAddress(member.id) === change.address);
      if (found === undefined) return 'notMember';
      if (found.voter && listVoters(state.membership).length === 1) return 'lastVoter';
      return findQuorumRefusal(state, removeMember(state.membership, found.id));
    }
  }
}

/**
 * Proposes a change requested by an operator. A leader that is to be removed transfers its leadership first
 * and refuses the proposal with `notLeader`.
 */
export function proposeMembership(
  state: ConsensusState,
  proposal: number,
  change: MembershipChange,
): Step {
  const reason = findRefusal(state, change);
  if (reason !== undefined) return toStep(state, { kind: 'refused', proposal, reason });
  if (change.kind === 'remove' && change.address === toAddress(state.self)) {
    return runSteps(state, startTransfer, (next) =>
      toStep(next, { kind: 'refused', proposal, reason: 'notLeader' }),
    );
  }
  const found = state.membership.members.find(
    (member) => change.kind === 'remove' && toAddress(member.id) === change.address,
  );
  const membership =
    change.kind === 'admit'
      ? addMember(state.membership, change.id)
      : removeMember(state.membership, found?.id ?? '');
  const index = getLastIndex(state.log) + 1;
  return runSteps(
    state,
    (next) => toStep(next, { kind: 'accepted', proposal, index, term: next.term }),
    (next) => appendMembership(next, membership),
  );
}

/** Replaces a member that lost its disk with the new identity at the same address. */
export function handleJoinRequest(state: ConsensusState, id: MemberId): Step {
  const { members, retired } = state.membership;
  const known = members.some((member) => member.id === id) || retired.includes(id);
  const old = members.find((member) => toAddress(member.id) === toAddress(id));
  if (known || old === undefined || old.id === state.self || hasPendingChange(state)) {
    return toStep(state);
  }
  if (old.voter && listVoters(state.membership).length === 1) return toStep(state);
  const membership = addMember(state.membership, id);
  return hasReachableMajority(state, membership)
    ? appendMembership(state, membership)
    : toStep(state);
}

/** Promotes a learner to voter once it holds every committed entry. */
export function grantVoting(state: ConsensusState): Step {
  const { role } = state;
  if (role.kind !== 'leader' || hasPendingChange(state)) return toStep(state);
  const ready = state.membership.members.find(
    (member) =>
      !member.voter && (role.progress.get(member.id)?.matchIndex ?? 0) >= state.commitIndex,
  );
  if (ready === undefined) return toStep(state);
  const members = state.membership.members.map((member) =>
    member === ready ? { ...member, voter: true } : member,
  );
  const membership = { ...state.membership, members };
  return hasReachableMajority(state, membership)
    ? appendMembership(state, membership)
    : toStep(state);
}
