/**
 * Leader election. Invariant: a member votes at most once per term, only for a candidate whose log is at
 * least as up to date as its own, and sends the vote only once it is durable. A member in contact with a
 * leader ignores vote requests, except during a leadership transfer.
 */
import { checkInvariant } from '../model/index.js';
import type { VoteReply, VoteRequest } from '../generated/control.js';
import { getLastIndex, getLastTerm } from './log.js';
import { replaceLostVoters, startTerm } from './leading.js';
import { hasElectionQuorum, listElectors, listLostVoters } from './quorums.js';
import {
  hasMajority,
  isVoter,
  renewElectionTimer,
  runSteps,
  writeVote,
  sendAfterSync,
  toStep,
} from './steps.js';
import type { ConsensusState, MemberId, Step } from './types.js';

/** Becomes a follower in the term; a former leader refuses its pending reads. */
export function enterFollower(
  state: ConsensusState,
  term: number,
  leader: MemberId | undefined,
): Step {
  checkInvariant(term >= state.term, `term decreased from ${state.term} to ${term}`);
  const reads = state.role.kind === 'leader' ? state.role.reads : [];
  const refusals = reads.map(({ read }) => ({ kind: 'readRefused', read }) as const);
  const follower: ConsensusState = {
    ...state,
    role: { kind: 'follower', leader },
    incoming: term === state.term ? state.incoming : undefined,
  };
  if (term === state.term) return toStep(follower, ...refusals);
  return runSteps({ ...follower, term, votedFor: undefined }, writeVote, (next) =>
    toStep(next, ...refusals),
  );
}

/** Returns whether this member may stand for election. */
function isElectable(state: ConsensusState): boolean {
  return isVoter(state) && state.repair === undefined && !state.failed;
}

/** Returns whether a majority of the voters answered the leader within the minimum election timeout. */
export function hasQuorumContact(state: ConsensusState): boolean {
  const { role } = state;
  if (role.kind !== 'leader') return false;
  const oldest = state.now - state.timings.electionMin;
  return hasMajority(
    state.membership,
    (member) => member === state.self || (role.progress.get(member)?.lastContactAt ?? -1) > oldest,
  );
}

function hasLiveLeader(state: ConsensusState): boolean {
  if (state.role.kind === 'leader') return hasQuorumContact(state);
  return state.now - state.lastLeaderContactAt < state.timings.electionMin;
}

function requestVotes(state: ConsensusState, preVote: boolean, transfer: boolean): Step {
  const request: VoteRequest = {
    kind: 'voteRequest',
    term: preVote ? state.term + 1 : state.term,
    lastIndex: getLastIndex(state.log),
    lastTerm: getLastTerm(state.log),
    preVote,
    transfer,
  };
  return runSteps(
    state,
    ...listElectors(state).map(
      (voter) => (next: ConsensusState) => sendAfterSync(next, voter, request),
    ),
  );
}

/** Starts a pre-vote, which checks whether an election could be won without increasing the term. */
export function startPreVote(state: ConsensusState): Step {
  const waiting = renewElectionTimer(state);
  // A learner can't replace its leader, but must not report one that it no longer hears from.
  if (!isElectable(state)) return enterFollower(waiting, waiting.term, undefined);
  const preCandidate: ConsensusState = {
    ...waiting,
    role: { kind: 'preCandidate', granted: [state.self], lost: listLostVoters(state) },
  };
  if (hasElectionQuorum(preCandidate, [state.self], listLostVoters(state)))
    return startElection(preCandidate, false);
  return requestVotes(preCandidate, true, false);
}

/** Becomes a candidate in the next term and requests votes. */
export function startElection(state: ConsensusState, transfer: boolean): Step {
  if (!isElectable(state)) return toStep(state);
  const candidate = renewElectionTimer({
    ...state,
    term: state.term + 1,
    votedFor: state.self,
    role: { kind: 'candidate', granted: [], lost: listLostVoters(state) },
  });
  return runSteps(candidate, writeVote, (next) => requestVotes(next, false, transfer));
}

function countVote(state: ConsensusState, voter: MemberId): Step {
  const { role } = state;
  if (role.kind !== 'preCandidate' && role.kind !== 'candidate') return toStep(state);
  const granted = [...new Set([...role.granted, voter])];
  const counted: ConsensusState = { ...state, role: { ...role, granted } };
  if (!hasElectionQuorum(counted, granted, role.lost)) return toStep(counted);
  if (role.kind === 'preCandidate') return startElection(counted, false);
  const isMajority = hasMajority(counted.membership, (member) => granted.includes(member));
  return isMajority
    ? startTerm(counted)
    : runSteps(counted, startTerm, (next) => replaceLostVoters(next, role.lost));
}

/** Counts the candidate's own vote once it is durable. */
export function countOwnVote(state: ConsensusState): Step {
  const durable = state.pendingWrites.length === 0;
  return state.role.kind === 'candidate' && durable ? countVote(state, state.self) : toStep(state);
}

function isUpToDate(state: ConsensusState, request: VoteRequest): boolean {
  const lastTerm = getLastTerm(state.log);
  if (request.lastTerm !== lastTerm) return request.lastTerm > lastTerm;
  return request.lastIndex >= getLastIndex(state.log);
}

function sendVote(
  state: ConsensusState,
  to: MemberId,
  request: VoteRequest,
  granted: boolean,
): Step {
  const { preVote, term: asked } = request;
  return sendAfterSync(state, to, {
    kind: 'voteReply',
    term: state.term,
    asked,
    preVote,
    granted,
  });
}

function decidePreVote(state: ConsensusState, from: MemberId, request: VoteRequest): Step {
  const granted = request.term > state.term && isUpToDate(state, request);
  return sendVote(state, from, request, granted);
}

function decideVote(state: ConsensusState, from: MemberId, request: VoteRequest): Step {
  const canVote = state.votedFor === undefined || state.votedFor === from;
  const granted = canVote && state.role.kind === 'follower' && isUpToDate(state, request);
  if (!granted) return sendVote(state, from, request, false);
  if (state.votedFor === from) return sendVote(state, from, request, true);
  return runSteps(renewElectionTimer({ ...state, votedFor: from }), writeVote, (next) =>
    sendVote(next, from, request, true),
  );
}

/** Answers a vote request. A member under repair doesn't answer, as it may have lost acknowledged entries. */
export function handleVoteRequest(
  state: ConsensusState,
  from: MemberId,
  request: VoteRequest,
): Step {
  const ineligible = state.repair !== undefined || state.membership.retired.includes(from);
  if (ineligible || (!request.transfer && hasLiveLeader(state))) return toStep(state);
  if (request.term < state.term) return sendVote(state, from, request, false);
  if (request.preVote) return decidePreVote(state, from, request);
  if (request.term === state.term) return decideVote(state, from, request);
  return runSteps(
    state,
    (next) => enterFollower(next, request.term, undefined),
    (next) => decideVote(next, from, request),
  );
}

/** Counts a granted vote of the current election or pre-vote. */
export function handleVoteReply(state: ConsensusState, from: MemberId, reply: VoteReply): Step {
  if (reply.term > state.term) return enterFollower(state, reply.term, undefined);
  const { kind } = state.role;
  const expected = reply.preVote
    ? kind === 'preCandidate' && reply.asked === state.term + 1
    : kind === 'candidate' && reply.asked === state.term;
  return expected && reply.granted ? countVote(state, from) : toStep(state);
}

/** Starts an election at once, because the leader transfers its leadership to this member. */
export function handleTimeoutNow(state: ConsensusState, term: number): Step {
  const isFollower = state.role.kind === 'follower' && term === state.term;
  return isFollower ? startElection(state, true) : toStep(state);
}
