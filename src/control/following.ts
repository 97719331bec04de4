/**
 * Follower side of the protocol. Invariant: a reply with `matches` covers only a log prefix that is durable
 * on this member and equal to the leader's, and a committed entry is never dropped.
 */
import { checkInvariant } from '../model/index.js';
import type { Append, RepairReply, SnapshotChunk } from '../generated/control.js';
import { recordEcho } from './age.js';
import { enterFollower } from './election.js';
import { advanceCommitTo } from './leading.js';
import { createLog, pruneLog, findTermStart, getLastIndex, getTermAt } from './log.js';
import {
  listOthers,
  renewElectionTimer,
  runSteps,
  writeEntries,
  writeSnapshot,
  writeVote,
  sendAfterSync,
  toStep,
  withMembership,
} from './steps.js';
import type { ConsensusState, IncomingSnapshot, MemberId, Snapshot, Step } from './types.js';

/** Milliseconds between two repair requests of a member under repair. */
const REPAIR_REQUEST_INTERVAL = 500;

/** Records the sender as the leader of its term and restarts the election timer. */
function registerLeader(state: ConsensusState, leader: MemberId, term: number): Step {
  const { role } = state;
  const sameTerm = term === state.term;
  const known = role.kind === 'follower' ? role.leader : undefined;
  checkInvariant(
    !sameTerm || (role.kind !== 'leader' && (known === undefined || known === leader)),
    `two leaders in term ${term}: ${known ?? state.self} and ${leader}`,
  );
  return runSteps(
    state,
    (next) => enterFollower(next, term, leader),
    (next) => toStep(renewElectionTimer({ ...next, lastLeaderContactAt: next.now })),
  );
}

function sendAppendReply(
  state: ConsensusState,
  to: MemberId,
  round: number,
  matches: boolean,
  index: number,
): Step {
  const { term, steadyNow } = state;
  const sentAt = Math.floor(steadyNow);
  return sendAfterSync(state, to, { kind: 'appendReply', term, matches, index, round, sentAt });
}

/** Handles entries or a heartbeat from the leader. */
export function handleAppend(state: ConsensusState, from: MemberId, message: Append): Step {
  if (message.term < state.term) return sendAppendReply(state, from, message.round, false, 0);
  return runSteps(
    state,
    (next) => registerLeader(next, from, message.term),
    (next) => mergeEntries(next, from, message),
  );
}

function mergeEntries(state: ConsensusState, from: MemberId, message: Append): Step {
  const { log } = state;
  const { prevIndex, round } = message;
  const compacted = prevIndex < log.baseIndex;
  if (!compacted && getTermAt(log, prevIndex) !== message.prevTerm) {
    return sendAppendReply(state, from, round, false, findRetryIndex(state, prevIndex));
  }
  const fresh = message.entries.filter((entry) => entry.index > log.baseIndex);
  const conflict = fresh.findIndex((entry) => getTermAt(log, entry.index) !== entry.term);
  const added = conflict === -1 ? [] : fresh.slice(conflict);
  const matched = Math.max(prevIndex + message.entries.length, log.baseIndex);
  return runSteps(
    state,
    (next) => writeEntries(next, added),
    (next) => advanceCommitTo(next, Math.min(message.commitIndex, matched)),
    (next) => toStep(recordEcho(next, message)),
    (next) => finishRepair(next, matched),
    (next) => sendAppendReply(next, from, round, true, matched),
  );
}

/** Returns the highest index that may still match the leader's log, skipping the conflicting term. */
function findRetryIndex(state: ConsensusState, prevIndex: number): number {
  const last = getLastIndex(state.log);
  if (prevIndex > last) return last;
  return Math.max(state.commitIndex, findTermStart(state.log, prevIndex) - 1);
}

/** Handles a snapshot chunk, and installs the snapshot once it is complete. */
export function handleSnapshotChunk(
  state: ConsensusState,
  from: MemberId,
  message: SnapshotChunk,
): Step {
  if (message.term < state.term) return sendAppendReply(state, from, message.round, false, 0);
  return runSteps(
    state,
    (next) => registerLeader(next, from, message.term),
    (next) => mergeChunk(next, from, message),
  );
}

function addChunk(
  incoming: IncomingSnapshot | undefined,
  message: SnapshotChunk,
): IncomingSnapshot {
  const { index, indexTerm: term, offset, data } = message;
  const same = incoming?.index === index && incoming.term === term;
  const current = same ? incoming : { index, term, chunks: [], received: 0 };
  if (offset !== current.received || data.length === 0) return current;
  const received = current.received + data.length;
  return { ...current, chunks: [...current.chunks, data], received };
}

function mergeChunk(state: ConsensusState, from: MemberId, message: SnapshotChunk): Step {
  const { index, round, size } = message;
  if (index <= state.commitIndex) return sendAppendReply(state, from, round, true, index);
  const incoming = addChunk(state.incoming, message);
  if (incoming.received < size) {
    const { term } = state;
    const reply = {
      kind: 'snapshotReply',
      term,
      index,
      received: incoming.received,
      round,
    } as const;
    return sendAfterSync({ ...state, incoming }, from, reply);
  }
  const data = new Uint8Array(Buffer.concat(incoming.chunks));
  const { indexTerm: term, membership } = message;
  return runSteps(
    { ...state, incoming: undefined },
    (next) => applySnapshot(next, { index, term, membership, data }),
    (next) => finishRepair(next, index),
    (next) => sendAppendReply(next, from, round, true, index),
  );
}

function applySnapshot(state: ConsensusState, snapshot: Snapshot): Step {
  const { index, term } = snapshot;
  const continues = getTermAt(state.log, index) === term;
  const log = continues ? pruneLog(state.log, index) : createLog(index, term);
  const durableIndex = continues
    ? state.durableIndex
    : Math.min(state.durableIndex, state.commitIndex);
  const pendingWrites = continues
    ? state.pendingWrites
    : state.pendingWrites.map(({ write }) => ({ write, lastIndex: undefined }));
  const installed = withMembership({
    ...state,
    log,
    snapshot,
    commitIndex: index,
    durableIndex,
    pendingWrites,
  });
  return runSteps(
    installed,
    (next) => writeSnapshot(next, snapshot, !continues),
    (next) => toStep(next, { kind: 'restore', snapshot }),
  );
}

/** Asks the other members for the index that this member must reach before it may vote again. */
export function requestRepair(state: ConsensusState): Step {
  const { repair } = state;
  if (repair === undefined || repair.target !== undefined || repair.nextRequestAt > state.now) {
    return toStep(state);
  }
  const asked = {
    ...state,
    repair: { ...repair, nextRequestAt: state.now + REPAIR_REQUEST_INTERVAL },
  };
  const message = { kind: 'repairRequest', term: state.term, nonce: repair.nonce } as const;
  return toStep(asked, ...listOthers(state).map((to) => ({ kind: 'send', to, message }) as const));
}

/** Answers a repair request if this member is the leader: its log holds every entry that may be committed. */
export function handleRepairRequest(state: ConsensusState, from: MemberId, nonce: string): Step {
  if (state.role.kind !== 'leader') return toStep(state);
  const { term } = state;
  const index = getLastIndex(state.log);
  return toStep(state, {
    kind: 'send',
    to: from,
    message: { kind: 'repairReply', term, nonce, index },
  });
}

/** Sets the repair target. A reply of an older term is ignored, as its leader may have been replaced. */
export function handleRepairReply(state: ConsensusState, reply: RepairReply): Step {
  const { repair } = state;
  if (repair?.nonce !== reply.nonce || reply.term < state.term) {
    return toStep(state);
  }
  const target = Math.max(repair.target ?? 0, reply.index);
  return toStep({ ...state, repair: { ...repair, target } });
}

function finishRepair(state: ConsensusState, matched: number): Step {
  const target = state.repair?.target;
  if (target === undefined || matched < target) return toStep(state);
  return runSteps({ ...state, repair: undefined }, writeVote, (next) =>
    toStep(next, { kind: 'repaired' }),
  );
}
