/**
 * Elections. Invariant: a member votes once a term, only for a log at least as complete as its own, and
 * only after its vote is durable; a member that hears a leader lets nobody stand for election.
 */
import { checkInvariant } from '../model/index.js';
import type { VoteReply, VoteRequest } from '../generated/control.js';
import { getLastIndex, getLastTerm } from './log.js';
import { startTerm } from './leading.js';
import {
  hasMajority,
  isVoter,
  listVoters,
  renewElectionTimer,
  runSteps,
  writeVote,
  sendAfterSync,
  toStep,
} from './steps.js';
import type { ConsensusState, MemberId, Step } from './types.js';

/** Becomes a follower in the term, and refuses the reads that waited if it was the leader. */
export function enterFollower(
  state: ConsensusState,
  term: number,
  leader: MemberId | undefined,
): Step {
  checkInvariant(term >= state.term, `term fell from ${state.term} to ${term}`);
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

/** Tells whether this member may vote and stand for election. */
function isElectable(state: ConsensusState): boolean {
  return isVoter(state) && state.repair === undefined && !state.failed;
}

/** Tells whether the majority of voters answered the leader within the election timeout. */
export function hasQuorumContact(state: ConsensusState): boolean {
  const { role } = state;
  if (role.kind !== 'leader') return false;
  const oldest = state.now - state.timings.electionMin;
  return hasMajority(
    state,
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
  const voters = listVoters(state.membership).filter((voter) => voter !== state.self);
  return runSteps(
    state,
    ...voters.map((voter) => (next: ConsensusState) => sendAfterSync(next, voter, request)),
  );
}

/** Asks whether an election would be won, without changing the term. */
export function startPreVote(state: ConsensusState): Step {
  const waiting = renewElectionTimer(state);
  if (!isElectable(state)) return toStep(waiting);
  const preCandidate: ConsensusState = {
    ...waiting,
    role: { kind: 'preCandidate', granted: [state.self] },
  };
  if (hasMajority(preCandidate, (member) => member === state.self))
    return startElection(preCandidate, false);
  return requestVotes(preCandidate, true, false);
}

/** Stands for election in the next term. */
export function startElection(state: ConsensusState, transfer: boolean): Step {
  if (!isElectable(state)) return toStep(state);
  const candidate = renewElectionTimer({
    ...state,
    term: state.term + 1,
    votedFor: state.self,
    role: { kind: 'candidate', granted: [] },
  });
  return runSteps(candidate, writeVote, (next) => requestVotes(next, false, transfer));
}

function countVote(state: ConsensusState, voter: MemberId): Step {
  const { role } = state;
  if (role.kind !== 'preCandidate' && role.kind !== 'candidate') return toStep(state);
  const granted = [...new Set([...role.granted, voter])];
  const counted: ConsensusState = { ...state, role: { ...role, granted } };
  if (!hasMajority(counted, (member) => granted.includes(member))) return toStep(counted);
  return role.kind === 'preCandidate' ? startElection(counted, false) : startTerm(counted);
}

/** Counts a candidate's own vote once it is durable. */
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

/** Answers a request for a vote. A member under repair answers none: it may have forgotten entries. */
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

/** Counts a vote. */
export function handleVoteReply(state: ConsensusState, from: MemberId, reply: VoteReply): Step {
  if (reply.term > state.term) return enterFollower(state, reply.term, undefined);
  const { kind } = state.role;
  const expected = reply.preVote
    ? kind === 'preCandidate' && reply.asked === state.term + 1
    : kind === 'candidate' && reply.asked === state.term;
  return expected && reply.granted ? countVote(state, from) : toStep(state);
}

/** Stands for election because the leader asked this member to take over. */
export function handleTimeoutNow(state: ConsensusState, term: number): Step {
  const isFollower = state.role.kind === 'follower' && term === state.term;
  return isFollower ? startElection(state, true) : toStep(state);
}
