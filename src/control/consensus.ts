/**
 * Raft consensus among the control members, with pre-vote, check-quorum, read index, learners,
 * single-server membership changes and leadership transfer. Invariants: see `invariants.ts`.
 */
import { checkInvariant } from '../model/index.js';
import type { ControlMessage, LogEntry, Vote } from '../generated/control.js';
import {
  enterFollower,
  countOwnVote,
  handleTimeoutNow,
  handleVoteReply,
  handleVoteRequest,
  hasQuorumContact,
  startPreVote,
} from './election.js';
import {
  handleAppend,
  handleRepairReply,
  handleRepairRequest,
  handleSnapshotChunk,
  requestRepair,
} from './following.js';
import { checkTransition } from './invariants.js';
import {
  advanceCommit,
  appendAndReplicate,
  settleReads,
  handleAppendReply,
  handleSnapshotReply,
  requestRead,
  startRound,
  startTransfer,
} from './leading.js';
import { hasRoomFor, findPruneIndex } from './compaction.js';
import { pruneLog, getLastIndex, getTermAt, type Log } from './log.js';
import { assignVotes, handleJoinRequest, proposeMembership } from './members.js';
import { dropSuccessor, isWaitingForLost, recordSuccessor } from './quorums.js';
import {
  renewElectionTimer,
  runSteps,
  writeEntries,
  writeSnapshot,
  toStep,
  isCompactable,
  withMembership,
} from './steps.js';
import type {
  ConsensusEffect,
  ConsensusEvent,
  ConsensusState,
  MemberId,
  Snapshot,
  Step,
  Timings,
} from './types.js';

/** The term of the first log entry of every group. */
const FOUNDING_TERM = 1;

/** Initial state of a member: its settings and the contents of its storage. */
export interface ConsensusStart {
  readonly self: MemberId;
  readonly timings: Timings;
  readonly now: number;
  /** The time on a clock that runs on while the VM is suspended; `now` by default. */
  readonly steadyNow?: number;
  readonly random: number;
  readonly vote: Vote;
  readonly log: Log;
  readonly snapshot: Snapshot | undefined;
  /** Unique for each process start of a member. */
  readonly nonce: string;
}

/**
 * Creates the state of a member that has just started.
 *
 * @example
 * const state = createConsensus({ self, timings: defaultTimings, now, random, vote, log, snapshot, nonce });
 */
export function createConsensus(start: ConsensusStart): ConsensusState {
  const { self, timings, now, random, vote, log, snapshot, nonce } = start;
  const { firstElectionMax } = timings;
  const steadyNow = start.steadyNow ?? now;
  const state = renewElectionTimer(
    withMembership({
      self,
      timings,
      now,
      random,
      steadyNow,
      startedAt: Math.floor(steadyNow),
      asOf: -Infinity,
      term: vote.term,
      votedFor: vote.votedFor,
      role: { kind: 'follower', leader: undefined },
      log,
      membership: { members: [], retired: [] },
      membershipIndex: 0,
      previousMembership: undefined,
      isSettled: false,
      lostVoters: new Map(),
      commitIndex: snapshot?.index ?? 0,
      snapshot,
      incoming: undefined,
      durableIndex: getLastIndex(log),
      nextWrite: 1,
      pendingWrites: [],
      deferred: [],
      electionDue: now,
      lastLeaderContactAt: -Infinity,
      repair: vote.repairing ? { nonce, target: undefined, nextRequestAt: now } : undefined,
      failed: false,
    }),
  );
  if (firstElectionMax === undefined) return state;
  return { ...state, electionDue: now + random * firstElectionMax };
}

/**
 * Computes the transition for an event, and checks its invariants.
 *
 * @example
 * const { state, effects } = decideConsensus(before, { kind: 'ticked', now, random });
 */
export function decideConsensus(state: ConsensusState, event: ConsensusEvent): Step {
  const { now, random, steadyNow = now } = event;
  const timed: ConsensusState = { ...state, now, random, steadyNow };
  const step = state.failed ? refuseEvent(timed, event) : handleEvent(timed, event);
  checkTransition(state, step);
  return step;
}

function handleEvent(state: ConsensusState, event: ConsensusEvent): Step {
  switch (event.kind) {
    case 'founded':
      return handleFounding(state, event.founders);
    case 'ticked':
      return handleTick(state);
    case 'woke':
      return handleWake(state);
    case 'messageArrived':
      return runSteps(
        dropSuccessor(state, event.from),
        (next) => handleMessage(next, event.from, event.message),
        assignVotes,
      );
    case 'proposed':
      return handleProposal(state, event.proposal, event.command);
    case 'membershipProposed':
      return proposeMembership(state, event.proposal, event.change);
    case 'joinRequested':
      return handleJoinRequest(recordSuccessor(state, event.id), event.id);
    case 'readRequested':
      return requestRead(state, event.read);
    case 'transferRequested':
      return startTransfer(state);
    case 'synced':
      return handleSync(state, event.write);
    case 'storageFailed':
      return stopParticipating(state);
    case 'compacted':
      return handleCompaction(state, event.index, event.data);
  }
}

const messageKinds: Readonly<Record<ControlMessage['kind'], true>> = {
  voteRequest: true,
  voteReply: true,
  append: true,
  appendReply: true,
  snapshotChunk: true,
  snapshotReply: true,
  timeoutNow: true,
  repairRequest: true,
  repairReply: true,
};

/** Reports whether this version knows the kind of message; a newer peer may send unknown kinds. */
export function isKnownKind(kind: string): kind is ControlMessage['kind'] {
  return Object.hasOwn(messageKinds, kind);
}

function handleMessage(state: ConsensusState, from: MemberId, message: ControlMessage): Step {
  switch (message.kind) {
    case 'voteRequest':
      return handleVoteRequest(state, from, message);
    case 'voteReply':
      return handleVoteReply(state, from, message);
    case 'append':
      return handleAppend(state, from, message);
    case 'appendReply':
      return message.term > state.term
        ? enterFollower(state, message.term, undefined)
        : handleAppendReply(state, from, message);
    case 'snapshotChunk':
      return handleSnapshotChunk(state, from, message);
    case 'snapshotReply':
      return handleSnapshotReply(state, from, message);
    case 'timeoutNow':
      return handleTimeoutNow(state, message.term);
    case 'repairRequest':
      return handleRepairRequest(state, from, message.nonce);
    case 'repairReply':
      return handleRepairReply(state, message);
  }
}

/** Writes the first entry, which is identical on every founder, in a term that has no leader. */
function handleFounding(state: ConsensusState, founders: readonly MemberId[]): Step {
  const members = founders.map((id) => ({ id, voter: true }));
  const entry: LogEntry = {
    kind: 'membership',
    index: 1,
    term: FOUNDING_TERM,
    membership: { members, retired: [] },
  };
  return runSteps(
    state,
    (next) => enterFollower(next, FOUNDING_TERM, undefined),
    (next) => writeEntries(next, [entry]),
    (next) => toStep(renewElectionTimer(next)),
  );
}

function handleTick(state: ConsensusState): Step {
  if (state.role.kind === 'leader') return advanceLeader(state);
  return runSteps(state, requestRepair, (next) =>
    next.now >= next.electionDue ? startPreVote(next) : toStep(next),
  );
}

function advanceLeader(state: ConsensusState): Step {
  const { role } = state;
  if (role.kind !== 'leader') return toStep(state);
  if (!hasQuorumContact(state) || isWaitingForLost(state, role)) return stepDown(state);
  const expired = role.transfer !== undefined && state.now >= role.transfer.until;
  const current = expired ? { ...state, role: { ...role, transfer: undefined } } : state;
  return runSteps(
    current,
    (next) => (next.now >= role.heartbeatDue ? startRound(next) : toStep(next)),
    assignVotes,
  );
}

function stepDown(state: ConsensusState): Step {
  return runSteps(renewElectionTimer(state), (next) => enterFollower(next, next.term, undefined));
}

/**
 * Handles the end of a process pause, after which elapsed timers are meaningless: a leader checks its quorum,
 * and other members restart the election timer so that a current leader can reach them first.
 */
function handleWake(state: ConsensusState): Step {
  if (state.role.kind === 'leader') return advanceLeader(state);
  return toStep(renewElectionTimer(state));
}

function handleProposal(state: ConsensusState, proposal: number, command: Uint8Array): Step {
  const { role, term } = state;
  if (role.kind !== 'leader' || role.transfer !== undefined) {
    return toStep(state, { kind: 'refused', proposal, reason: 'notLeader' });
  }
  if (!hasRoomFor(state.log, state.commitIndex, command.length)) {
    return toStep(state, { kind: 'refused', proposal, reason: 'overloaded' });
  }
  const index = getLastIndex(state.log) + 1;
  return runSteps(
    state,
    (next) => toStep(next, { kind: 'accepted', proposal, index, term }),
    (next) => appendAndReplicate(next, [{ kind: 'command', index, term, command }]),
  );
}

function handleSync(state: ConsensusState, write: number): Step {
  const durable = state.pendingWrites.filter((pending) => pending.write <= write);
  const lastIndex = durable.findLast((pending) => pending.lastIndex !== undefined)?.lastIndex;
  const released = state.deferred.filter((waiting) => waiting.write <= write);
  const synced: ConsensusState = {
    ...state,
    durableIndex: lastIndex ?? state.durableIndex,
    pendingWrites: state.pendingWrites.filter((pending) => pending.write > write),
    deferred: state.deferred.filter((waiting) => waiting.write > write),
  };
  const effects = released
    .filter(({ message }) => isFromCurrentTerm(state, message))
    .map(({ to, message }): ConsensusEffect => ({ kind: 'send', to, message }));
  return runSteps(
    synced,
    (next) => toStep(next, ...effects),
    countOwnVote,
    advanceCommit,
    settleReads,
    assignVotes,
  );
}

/** Returns whether a deferred message is still valid; messages of an earlier term must not be sent. */
function isFromCurrentTerm(state: ConsensusState, message: ControlMessage): boolean {
  if (message.kind === 'voteRequest' && message.preVote) return message.term === state.term + 1;
  return message.term === state.term;
}

function handleCompaction(state: ConsensusState, index: number, data: Uint8Array): Step {
  const term = getTermAt(state.log, index);
  if (term === undefined || index <= (state.snapshot?.index ?? 0)) return toStep(state);
  if (!isCompactable(state, index)) return toStep(state);
  checkInvariant(index <= state.commitIndex, `entry ${index} is not committed`);
  const found = state.log.entries.findLast(
    (entry) => entry.kind === 'membership' && entry.index <= index,
  );
  const membership = found?.kind === 'membership' ? found.membership : state.snapshot?.membership;
  const snapshot: Snapshot = {
    index,
    term,
    membership: membership ?? { members: [], retired: [] },
    data,
  };
  const log = pruneLog(state.log, findPruneIndex(state.log, index));
  return writeSnapshot({ ...state, log, snapshot }, snapshot, false);
}

/** Makes the member passive after a storage failure, as it can no longer make its state durable. */
function stopParticipating(state: ConsensusState): Step {
  return runSteps({ ...state, deferred: [] }, stepDown, (next) =>
    toStep({ ...next, failed: true }),
  );
}

function refuseEvent(state: ConsensusState, event: ConsensusEvent): Step {
  switch (event.kind) {
    case 'proposed':
    case 'membershipProposed':
      return toStep(state, { kind: 'refused', proposal: event.proposal, reason: 'notLeader' });
    case 'readRequested':
      return toStep(state, { kind: 'readRefused', read: event.read });
    case 'founded':
    case 'ticked':
    case 'woke':
    case 'messageArrived':
    case 'joinRequested':
    case 'transferRequested':
    case 'synced':
    case 'storageFailed':
    case 'compacted':
      return toStep(state);
  }
}
