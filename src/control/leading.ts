/**
 * Leader side of the protocol: replication, commit, read confirmation and leadership transfer. Invariant: a
 * leader advances the commit index only to an entry of its own term that is durable on a majority, and it
 * never removes an entry from its log.
 */
import { checkInvariant, type Instant } from '../model/index.js';
import type { AppendReply, LogEntry, SnapshotReply } from '../generated/control.js';
import { describeAge } from './age.js';
import { hasCommitQuorum, isPreviousDone } from './quorums.js';
import { getBatch, getEntries, getLastIndex, getTermAt } from './log.js';
import {
  hasMajority,
  listOthers,
  listVoters,
  replaceMember,
  runSteps,
  toAddress,
  writeEntries,
  toStep,
  withProgress,
} from './steps.js';
import type {
  ConsensusState,
  LeaderRole,
  MemberId,
  PendingRead,
  Progress,
  Snapshot,
  Step,
} from './types.js';

/** Heartbeat rounds whose start time is kept. Replies to older rounds don't count as contact. */
const MAX_TRACKED_ROUNDS = 128;
/** Size of a snapshot chunk in bytes. */
const CHUNK_BYTES = 256 * 1024;
/** Milliseconds after which an unacknowledged snapshot chunk is sent again. */
const CHUNK_RESEND_INTERVAL = 1000;

function createProgress(nextIndex: number, lastContactAt: Instant): Progress {
  return {
    ...{ matchIndex: 0, nextIndex, lastContactAt, round: 0 },
    ...{ echo: undefined, snapshot: undefined },
  };
}

/**
 * Returns the members that get entries: the others, and those that the membership in effect removes, until it is committed.
 */
function listReplicas(state: ConsensusState): readonly MemberId[] {
  const { membership, previousMembership, self } = state;
  if (previousMembership === undefined || isPreviousDone(state)) return listOthers(state);
  const addresses = membership.members.map(({ id }) => toAddress(id));
  const removed = listVoters(previousMembership).filter(
    (id) => id !== self && !addresses.includes(toAddress(id)),
  );
  return [...listOthers(state), ...removed];
}

/** Becomes the leader of the term and appends a no-op entry; committing it commits earlier terms' entries. */
export function startTerm(state: ConsensusState): Step {
  const lost = state.role.kind === 'candidate' ? state.role.lost : [];
  const termStart = getLastIndex(state.log) + 1;
  const progress = new Map(
    listReplicas(state).map((member) => [member, createProgress(termStart, state.now)]),
  );
  const role: LeaderRole = {
    kind: 'leader',
    lost,
    progress,
    termStart,
    round: 0,
    rounds: [],
    reads: [],
    heartbeatDue: state.now,
    transfer: undefined,
  };
  const noop: LogEntry = { kind: 'noop', index: termStart, term: state.term };
  return runSteps({ ...state, role }, (next) => writeEntries(next, [noop]), startRound);
}

/** Replaces lost voters by their successors, which have no vote at first, so that a majority of the others decides again. */
export function replaceLostVoters(state: ConsensusState, lost: readonly MemberId[]): Step {
  const membership = lost.reduce((before, id) => {
    const successor = state.lostVoters.get(id)?.successor;
    return successor === undefined ? before : replaceMember(before, successor);
  }, state.membership);
  const index = getLastIndex(state.log) + 1;
  return runSteps(
    state,
    (next) => toStep(next, { kind: 'electedByHalf', lost }),
    (next) =>
      appendAndReplicate(next, [{ kind: 'membership', index, term: next.term, membership }]),
  );
}

/** Appends entries to the leader's log and replicates them. */
export function appendAndReplicate(state: ConsensusState, entries: readonly LogEntry[]): Step {
  return runSteps(state, (next) => writeEntries(next, entries), syncProgress, sendToAll);
}

/** Makes the progress map match the current membership. */
function syncProgress(state: ConsensusState): Step {
  const { role } = state;
  if (role.kind !== 'leader') return toStep(state);
  const last = getLastIndex(state.log);
  const progress = new Map(
    listReplicas(state).map((member) => [
      member,
      role.progress.get(member) ?? createProgress(last, state.now),
    ]),
  );
  return toStep({ ...state, role: { ...role, progress } });
}

function sendToAll(state: ConsensusState): Step {
  return runSteps(
    state,
    ...listReplicas(state).map((member) => (next: ConsensusState) => sendNext(next, member)),
  );
}

/** Starts a heartbeat round. A reply to it proves that the member followed this leader after the start. */
export function startRound(state: ConsensusState): Step {
  const { role } = state;
  if (role.kind !== 'leader') return toStep(state);
  const round = role.round + 1;
  const rounds = [...role.rounds, { round, startedAt: state.now, steadyAt: state.steadyNow }].slice(
    -MAX_TRACKED_ROUNDS,
  );
  const reads = role.reads.map((read) => ({ ...read, round: read.round ?? round }));
  const { heartbeat, largeGroupHeartbeat } = state.timings;
  const interval = listVoters(state.membership).length > 3 ? largeGroupHeartbeat : heartbeat;
  const heartbeatDue = state.now + interval;
  const started = { ...state, role: { ...role, round, rounds, reads, heartbeatDue } };
  return runSteps(started, sendToAll, settleReads);
}

/** Sends a member its next entries, the next snapshot chunk or a heartbeat. */
function sendNext(state: ConsensusState, to: MemberId): Step {
  const { role, log, snapshot } = state;
  if (role.kind !== 'leader') return toStep(state);
  const progress = role.progress.get(to);
  if (progress === undefined) return toStep(state);
  const missing = progress.nextIndex <= log.baseIndex;
  if (missing && snapshot !== undefined) return sendSnapshot(state, to, progress, snapshot);
  return sendEntries(state, to, progress.nextIndex, role.round);
}

function sendEntries(state: ConsensusState, to: MemberId, first: number, round: number): Step {
  const prevIndex = first - 1;
  const prevTerm = getTermAt(state.log, prevIndex);
  checkInvariant(prevTerm !== undefined, `entry ${prevIndex} is not in the log`);
  const entries = getBatch(state.log, first);
  const sent = withProgress(state, to, { nextIndex: first + entries.length });
  return toStep(sent, {
    kind: 'send',
    to,
    message: {
      kind: 'append',
      term: state.term,
      prevIndex,
      prevTerm,
      entries,
      commitIndex: state.commitIndex,
      round,
      ...describeAge(state, to),
    },
  });
}

function sendSnapshot(
  state: ConsensusState,
  to: MemberId,
  progress: Progress,
  snapshot: Snapshot,
): Step {
  const found = progress.snapshot?.index === snapshot.index ? progress.snapshot : undefined;
  const offset = found?.offset ?? 0;
  const recent = found !== undefined && state.now - found.sentAt < CHUNK_RESEND_INTERVAL;
  const data = recent ? new Uint8Array(0) : snapshot.data.subarray(offset, offset + CHUNK_BYTES);
  const sentAt = recent ? found.sentAt : state.now;
  const sent = withProgress(state, to, { snapshot: { index: snapshot.index, offset, sentAt } });
  return toStep(sent, {
    kind: 'send',
    to,
    message: {
      kind: 'snapshotChunk',
      term: state.term,
      index: snapshot.index,
      indexTerm: snapshot.term,
      membership: snapshot.membership,
      offset,
      size: snapshot.data.length,
      data,
      round: state.role.kind === 'leader' ? state.role.round : 0,
    },
  });
}

function recordContact(state: ConsensusState, from: MemberId, round: number): ConsensusState {
  if (state.role.kind !== 'leader') return state;
  const found = state.role.progress.get(from);
  const started = state.role.rounds.find((known) => known.round === round);
  if (found === undefined || started === undefined) return state;
  return withProgress(state, from, {
    lastContactAt: Math.max(found.lastContactAt, started.startedAt),
    round: Math.max(found.round, round),
  });
}

/** Updates the progress of a member from its reply to `append`. */
export function handleAppendReply(state: ConsensusState, from: MemberId, reply: AppendReply): Step {
  const { role } = state;
  if (role.kind !== 'leader' || reply.term !== state.term) return toStep(state);
  const found = role.progress.get(from);
  if (found === undefined) return toStep(state);
  const echo = reply.sentAt ?? found.echo;
  const updated = withProgress(recordContact(state, from, reply.round), from, { echo });
  if (!reply.matches) return handleLogMismatch(updated, from, found, reply.index);
  checkInvariant(
    reply.index <= getLastIndex(state.log),
    `${from} acknowledged entry ${reply.index}, which was never sent`,
  );
  const matchIndex = Math.max(found.matchIndex, reply.index);
  const nextIndex = Math.max(found.nextIndex, matchIndex + 1);
  const needsSnapshot = nextIndex <= state.log.baseIndex;
  const known = withProgress(updated, from, {
    matchIndex,
    nextIndex,
    snapshot: needsSnapshot ? found.snapshot : undefined,
  });
  return runSteps(known, advanceCommit, settleReads, finishTransfer, (next) =>
    sendRemainingEntries(next, from),
  );
}

function handleLogMismatch(
  state: ConsensusState,
  to: MemberId,
  found: Progress,
  index: number,
): Step {
  if (found.snapshot !== undefined || index + 1 >= found.nextIndex) {
    return settleReads(state);
  }
  return runSteps(withProgress(state, to, { nextIndex: index + 1 }), settleReads, (next) =>
    sendNext(next, to),
  );
}

function sendRemainingEntries(state: ConsensusState, to: MemberId): Step {
  if (state.role.kind !== 'leader') return toStep(state);
  const nextIndex = state.role.progress.get(to)?.nextIndex ?? Infinity;
  return nextIndex <= getLastIndex(state.log) ? sendNext(state, to) : toStep(state);
}

/** Sends the next snapshot chunk once the previous one was received. */
export function handleSnapshotReply(
  state: ConsensusState,
  from: MemberId,
  reply: SnapshotReply,
): Step {
  if (state.role.kind !== 'leader' || reply.term !== state.term) return toStep(state);
  const updated = recordContact(state, from, reply.round);
  const sending = state.role.progress.get(from)?.snapshot;
  if (sending?.index !== reply.index || sending.offset === reply.received)
    return settleReads(updated);
  const snapshot = { index: reply.index, offset: reply.received, sentAt: -Infinity };
  return runSteps(withProgress(updated, from, { snapshot }), settleReads, (next) =>
    sendNext(next, from),
  );
}

/** Advances the commit index to the highest index durable on a quorum, if that entry is of this term. */
export function advanceCommit(state: ConsensusState): Step {
  const { role } = state;
  if (role.kind !== 'leader') return toStep(state);
  const getDurable = (member: MemberId): number =>
    member === state.self ? state.durableIndex : (role.progress.get(member)?.matchIndex ?? 0);
  const index =
    [state.self, ...role.progress.keys()]
      .map(getDurable)
      .sort((one, other) => other - one)
      .find((durable) => hasCommitQuorum(state, role, (member) => getDurable(member) >= durable)) ??
    0;
  if (index <= state.commitIndex || getTermAt(state.log, index) !== state.term) {
    return toStep(state);
  }
  return runSteps(state, (next) => advanceCommitTo(next, index), sendToAll);
}

/** Advances the commit index and applies the newly committed entries. */
export function advanceCommitTo(state: ConsensusState, index: number): Step {
  if (index <= state.commitIndex) return toStep(state);
  const entries = getEntries(state.log, state.commitIndex + 1, index);
  return toStep({ ...state, commitIndex: index }, { kind: 'apply', entries });
}

/** Returns whether the leader committed an entry of its own term, so that its commit index is up to date. */
export function hasCommittedOwnTerm(state: ConsensusState): boolean {
  return state.role.kind === 'leader' && state.commitIndex >= state.role.termStart;
}

function isConfirmed(state: ConsensusState, role: LeaderRole, pending: PendingRead): boolean {
  const { round } = pending;
  if (round === undefined || !hasCommittedOwnTerm(state) || pending.index > state.commitIndex) {
    return false;
  }
  return hasMajority(
    state.membership,
    (member) => member === state.self || (role.progress.get(member)?.round ?? 0) >= round,
  );
}

/** Confirms the reads whose round a majority answered, and starts a round for reads without one. */
export function settleReads(state: ConsensusState): Step {
  const { role } = state;
  if (role.kind !== 'leader') return toStep(state);
  const confirmed = role.reads.filter((pending) => isConfirmed(state, role, pending));
  if (confirmed.length === 0) return toStep(state);
  const reads = role.reads.filter((pending) => !confirmed.includes(pending));
  const effects = confirmed.map(
    ({ read }) => ({ kind: 'readConfirmed', read, index: state.commitIndex }) as const,
  );
  const answered = toStep({ ...state, role: { ...role, reads } }, ...effects);
  if (reads.every((pending) => pending.round !== undefined)) return answered;
  return runSteps(state, () => answered, startRound);
}

/** Registers a read, which is confirmed once a majority answers a round started after it. */
export function requestRead(state: ConsensusState, read: number): Step {
  const { role } = state;
  if (role.kind !== 'leader') return toStep(state, { kind: 'readRefused', read });
  const inFlight = role.reads.some((pending) => pending.round !== undefined);
  const pending: PendingRead = { read, index: state.commitIndex, round: undefined };
  const waiting = { ...state, role: { ...role, reads: [...role.reads, pending] } };
  return inFlight ? toStep(waiting) : startRound(waiting);
}

/** Starts a leadership transfer to the reachable voter with the most complete log. */
export function startTransfer(state: ConsensusState): Step {
  const { role } = state;
  if (role.kind !== 'leader') return toStep(state);
  const oldest = state.now - state.timings.electionMin;
  const candidates = listVoters(state.membership)
    .filter((voter) => (role.progress.get(voter)?.lastContactAt ?? -Infinity) > oldest)
    .sort(
      (one, other) =>
        (role.progress.get(other)?.matchIndex ?? 0) - (role.progress.get(one)?.matchIndex ?? 0),
    );
  const to = candidates[0];
  if (to === undefined) return toStep(state);
  const transfer = { to, until: state.now + state.timings.electionMin };
  return runSteps({ ...state, role: { ...role, transfer } }, finishTransfer);
}

/** Sends `timeoutNow` to the transfer target once it holds the whole log. */
function finishTransfer(state: ConsensusState): Step {
  if (state.role.kind !== 'leader' || state.role.transfer === undefined) return toStep(state);
  const { to } = state.role.transfer;
  const matchIndex = state.role.progress.get(to)?.matchIndex ?? 0;
  if (matchIndex < getLastIndex(state.log)) return toStep(state);
  return toStep(state, { kind: 'send', to, message: { kind: 'timeoutNow', term: state.term } });
}
