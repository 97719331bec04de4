/**
 * Membership changes, one at a time. Invariant: a change starts only after the previous change and an entry
 * of the leader's own term are committed; from a settled membership quorums of both commit it (quorums.ts). The leader takes
 * a vote by itself only from a silent member, and only while at least three other voters remain.
 */
import type { LogEntry, Membership } from '../generated/control.js';
import { hasQuorumContact } from './election.js';
import { appendAndReplicate, hasCommittedOwnTerm, startTransfer } from './leading.js';
import { getLastIndex } from './log.js';
import { isUnsettled } from './quorums.js';
import { listVoters, removeMember, replaceMember, runSteps, toAddress, toStep } from './steps.js';
import type {
  ConsensusState,
  LeaderRole,
  MemberId,
  MembershipChange,
  RefusalReason,
  Step,
} from './types.js';

/** Maximum number of voters in a group. */
export const MAX_VOTERS = 7;
/** Maximum number of members in a group: the voters, and learners that caught up or fell silent. */
export const MAX_MEMBERS = 12;
/** Minimum number of voters that the leader leaves: with three, two form a majority without the third. */
const MIN_VOTERS = 3;

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

function isOwnAddress(state: ConsensusState, id: MemberId): boolean {
  return toAddress(id) === toAddress(state.self);
}

function findQuorumRefusal(
  state: ConsensusState,
  membership: Membership,
): RefusalReason | undefined {
  if (membership.members.length > MAX_MEMBERS) return 'tooMany';
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
      return findQuorumRefusal(state, replaceMember(state.membership, change.id));
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
      ? replaceMember(state.membership, change.id)
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
  const membership = replaceMember(state.membership, id);
  return hasReachableMajority(state, membership)
    ? appendMembership(state, membership)
    : toStep(state);
}

/** Returns a learner that answered lately and holds every committed entry, and so may vote. */
function findPromotable(state: ConsensusState, { progress }: LeaderRole): MemberId | undefined {
  if (listVoters(state.membership).length >= MAX_VOTERS) return undefined;
  const oldest = state.now - state.timings.electionMin;
  return state.membership.members.find(({ id, voter }) => {
    const { matchIndex, lastContactAt } = progress.get(id) ?? unknownProgress;
    return !voter && matchIndex >= state.commitIndex && lastContactAt > oldest;
  })?.id;
}

/** Returns the voter that has been silent for the longest time, if it is longer than an election takes. */
function findDemotable(state: ConsensusState, { progress }: LeaderRole): MemberId | undefined {
  const voters = listVoters(state.membership);
  if (voters.length <= MIN_VOTERS) return undefined;
  const oldest = state.now - state.timings.electionMax;
  return voters
    .flatMap((id) => {
      const lastContactAt = progress.get(id)?.lastContactAt ?? Infinity;
      return lastContactAt < oldest ? [{ id, lastContactAt }] : [];
    })
    .sort((one, other) => one.lastContactAt - other.lastContactAt)[0]?.id;
}

const unknownProgress = { matchIndex: 0, lastContactAt: -Infinity };

/**
 * Gives a vote to a learner that is up to date, or else takes the vote of a silent member, which stays a
 * learner: a member that is gone must not count in majorities when the next one is lost. Both are decided
 * from the log and from present silence, so that a new leader decides as the former one did.
 */
export function assignVotes(state: ConsensusState): Step {
  const { role } = state;
  if (role.kind !== 'leader' || hasPendingChange(state)) return toStep(state);
  const promoted = findPromotable(state, role);
  const changed = promoted ?? findDemotable(state, role);
  const members = state.membership.members.map((member) =>
    member.id === changed ? { ...member, voter: changed === promoted } : member,
  );
  const membership = { ...state.membership, members };
  if (changed !== undefined && hasReachableMajority(state, membership)) {
    return appendMembership(state, membership);
  }
  return isUnsettled(state) ? appendMembership(state, state.membership) : toStep(state);
}
