/**
 * State transitions shared by the modules of the consensus core. Invariant: writes are numbered in the order
 * in which they are emitted, and a reply is deferred until every earlier write is durable.
 */
import { isDeepStrictEqual } from 'node:util';
import { checkInvariant } from '../model/index.js';
import { appendEntries, getLastIndex, getTermAt } from './log.js';
import type {
  ConsensusEffect,
  ConsensusState,
  ControlMessage,
  LogEntry,
  MemberId,
  Membership,
  Progress,
  Snapshot,
  Step,
} from './types.js';

/** Number of removed identities that stay recorded, so that they can't rejoin. */
const MAX_RETIRED = 32;

/** Creates a step from a state and its effects. */
export function toStep(state: ConsensusState, ...effects: readonly ConsensusEffect[]): Step {
  return { state, effects };
}

/**
 * Returns whether an entry of the current term is committed here. Until then, entries that were acknowledged in earlier
 * terms may be missing from the applied state.
 */
export function hasCommittedInTerm({ log, commitIndex, term }: ConsensusState): boolean {
  return getTermAt(log, commitIndex) === term;
}

/** Runs the functions in order, passing the state on, and concatenates their effects. */
export function runSteps(
  state: ConsensusState,
  ...functions: readonly ((state: ConsensusState) => Step)[]
): Step {
  return functions.reduce<Step>(
    (step, next) => {
      const { state: after, effects } = next(step.state);
      return { state: after, effects: [...step.effects, ...effects] };
    },
    { state, effects: [] },
  );
}

/**
 * Returns the address part of a member's identity. A member without a group knows the others by address
 * alone, so an address is returned as it is.
 *
 * @example
 * toAddress('10.1.0.18:7200#5f1e0c9a') // '10.1.0.18:7200'
 */
export function toAddress(id: MemberId): string {
  const [address = ''] = id.split('#', 1);
  return address;
}

/** Returns the identities of the members that count in majorities. */
export function listVoters(membership: Membership): readonly MemberId[] {
  return membership.members.filter((member) => member.voter).map((member) => member.id);
}

/** Returns whether this member counts in majorities. */
export function isVoter(state: ConsensusState): boolean {
  return listVoters(state.membership).includes(state.self);
}

/** Removes a member, whose identity can't join again. */
export function removeMember(membership: Membership, id: MemberId): Membership {
  return {
    members: membership.members.filter((member) => member.id !== id),
    retired: [...membership.retired, id].slice(-MAX_RETIRED),
  };
}

/** Adds a learner, which replaces the identity that had its address. */
export function replaceMember(membership: Membership, id: MemberId): Membership {
  const old = membership.members.find((member) => toAddress(member.id) === toAddress(id));
  const rest = old === undefined ? membership : removeMember(membership, old.id);
  return { ...rest, members: [...rest.members, { id, voter: false }] };
}

/** Returns whether a majority of the voters satisfies the predicate. */
export function hasMajority(
  membership: Membership,
  predicate: (member: MemberId) => boolean,
): boolean {
  const voters = listVoters(membership);
  return voters.filter(predicate).length * 2 > voters.length;
}

/** Returns the identities of the other members, including learners. */
export function listOthers(state: ConsensusState): readonly MemberId[] {
  return state.membership.members
    .map((member) => member.id)
    .filter((member) => member !== state.self);
}

function isSoleVoter(state: ConsensusState): boolean {
  return isVoter(state) && listVoters(state.membership).length === 1;
}

/** Restarts the randomized election timer; a sole voter stands for election at once. */
export function renewElectionTimer(state: ConsensusState): ConsensusState {
  if (isSoleVoter(state)) return { ...state, electionDue: state.now };
  const { electionMin, electionMax } = state.timings;
  const wait = electionMin + state.random * (electionMax - electionMin);
  return { ...state, electionDue: state.now + wait };
}

/** Sends a message at once if no write is pending, or defers it until all pending writes are durable. */
export function sendAfterSync(state: ConsensusState, to: MemberId, message: ControlMessage): Step {
  const last = state.pendingWrites.at(-1);
  if (last === undefined) return toStep(state, { kind: 'send', to, message });
  const deferred = [...state.deferred, { write: last.write, to, message }];
  return toStep({ ...state, deferred });
}

function withWrite(state: ConsensusState, lastIndex: number | undefined): ConsensusState {
  const pendingWrites = [...state.pendingWrites, { write: state.nextWrite, lastIndex }];
  return { ...state, nextWrite: state.nextWrite + 1, pendingWrites };
}

/** Persists the term, the vote and whether the log is under repair. */
export function writeVote(state: ConsensusState): Step {
  return toStep(withWrite(state, undefined), {
    kind: 'writeVote',
    write: state.nextWrite,
    term: state.term,
    votedFor: state.votedFor,
    repairing: state.repair !== undefined,
  });
}

/** Returns whether both memberships have the same voters. */
function hasSameVoters(one: Membership, other: Membership): boolean {
  return isDeepStrictEqual(new Set(listVoters(one)), new Set(listVoters(other)));
}

type Memberships = Pick<
  ConsensusState,
  'membership' | 'membershipIndex' | 'previousMembership' | 'isSettled'
> & { readonly term: number };

/**
 * Returns the memberships after one more entry. The leader that appended a membership knows that half of its voters never
 * decided, unless it has settled it; any other leader assumes that they may have.
 */
function applyMembership(
  before: Memberships | undefined,
  { membership, index, term }: Extract<LogEntry, { kind: 'membership' }>,
): Memberships {
  const after = { membership, membershipIndex: index, term };
  if (before === undefined || hasSameVoters(before.membership, membership)) {
    return { ...after, previousMembership: undefined, isSettled: true };
  }
  const halfDecided =
    listVoters(before.membership).length % 2 === 0 && (before.isSettled || before.term !== term);
  const previousMembership = halfDecided ? before.membership : undefined;
  return { ...after, previousMembership, isSettled: false };
}

/** Returns the memberships after the entries of the log up to an index. */
function readMemberships({ log, snapshot }: ConsensusState, last: number): Memberships {
  const start = snapshot && {
    ...{ membership: snapshot.membership, membershipIndex: snapshot.index, term: snapshot.term },
    ...{ previousMembership: undefined, isSettled: true },
  };
  const found = log.entries.reduce<Memberships | undefined>(
    (before, entry) =>
      entry.kind === 'membership' && entry.index > (snapshot?.index ?? 0) && entry.index <= last
        ? applyMembership(before, entry)
        : before,
    start,
  );
  return (
    found ?? {
      ...{ membership: { members: [], retired: [] }, membershipIndex: 0, term: 0 },
      ...{ previousMembership: undefined, isSettled: true },
    }
  );
}

/** Sets the memberships from the entries of the log, or else from the snapshot. */
export function withMembership(state: ConsensusState): ConsensusState {
  const { membership, membershipIndex, previousMembership, isSettled } = readMemberships(
    state,
    getLastIndex(state.log),
  );
  return { ...state, membership, membershipIndex, previousMembership, isSettled };
}

/**
 * Returns whether a snapshot may cover the log up to an index: it doesn't tell whether its membership is settled, so that
 * one of an even number of voters must be.
 */
export function isCompactable(state: ConsensusState, index: number): boolean {
  const { membership, isSettled } = readMemberships(state, index);
  return isSettled || listVoters(membership).length % 2 === 1;
}

/** Appends entries to the log, replacing those from the first index on, and persists them. */
export function writeEntries(state: ConsensusState, entries: readonly LogEntry[]): Step {
  const first = entries[0];
  if (first === undefined) return toStep(state);
  checkInvariant(first.index > state.commitIndex, `entry ${first.index} is already committed`);
  const kept = first.index - 1;
  const replaces = kept < getLastIndex(state.log);
  const log = appendEntries(state.log, entries);
  const clamped: ConsensusState = {
    ...state,
    log,
    durableIndex: Math.min(state.durableIndex, kept),
    pendingWrites: state.pendingWrites.map(({ write, lastIndex }) => ({
      write,
      lastIndex: lastIndex === undefined ? undefined : Math.min(lastIndex, kept),
    })),
  };
  const changes = replaces || entries.some((entry) => entry.kind === 'membership');
  const after = withWrite(changes ? withMembership(clamped) : clamped, getLastIndex(log));
  return toStep(after, { kind: 'writeEntries', write: state.nextWrite, entries });
}

/** Persists a snapshot; `resetsLog` is set if the stored log doesn't continue it. */
export function writeSnapshot(state: ConsensusState, snapshot: Snapshot, resetsLog: boolean): Step {
  const lastIndex = resetsLog ? snapshot.index : undefined;
  return toStep(withWrite(state, lastIndex), {
    kind: 'writeSnapshot',
    write: state.nextWrite,
    snapshot,
    resetsLog,
  });
}

/** Updates the leader's replication progress of a member. */
export function withProgress(
  state: ConsensusState,
  member: MemberId,
  change: Partial<Progress>,
): ConsensusState {
  if (state.role.kind !== 'leader') return state;
  const found = state.role.progress.get(member);
  if (found === undefined) return state;
  const progress = new Map(state.role.progress).set(member, { ...found, ...change });
  return { ...state, role: { ...state.role, progress } };
}
