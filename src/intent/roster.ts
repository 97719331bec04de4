/**
 * The agreed set of entries. Invariant: the epoch rises by one with each change of members, and only
 * once the epoch before is in force everywhere, so that two neighbouring epochs differ by one member.
 */
import type { ActivateEntry, JoinEntry, LapseEntry, LeaveEntry } from '../generated/intent.js';
import type { Roster, RosterMember } from '../model/index.js';
import { refuseChange, type Change, type IntentState } from './state.js';

/** Entries that one site may have. */
const MAX_ENTRIES = 128;

/** Tells whether the epoch is in force everywhere, so that the next change may follow. */
export function isRosterSettled(state: IntentState): boolean {
  return state.inForce >= state.epochRevision;
}

function refuseUnsettled(state: IntentState): Change {
  const remedy = `wait until roster epoch ${state.roster.epoch} is in force everywhere`;
  return refuseChange('busy', remedy, state.epochRevision);
}

function withMembers(state: IntentState, members: readonly RosterMember[]): Change {
  const sorted = members.toSorted((one, two) => (one.id < two.id ? -1 : 1));
  const roster: Roster = { epoch: state.roster.epoch + 1, members: sorted };
  return { kind: 'changed', state: { ...state, roster, epochRevision: state.revision + 1 } };
}

function withPhase(state: IntentState, member: RosterMember, phase: RosterMember['phase']): Change {
  const members = state.roster.members.map((other) =>
    other.id === member.id ? { ...other, phase } : other,
  );
  return { kind: 'changed', state: { ...state, roster: { ...state.roster, members } } };
}

/** Adds an entry as joining. An earlier incarnation has to lapse first. */
export function applyJoinEntry(state: IntentState, command: JoinEntry): Change {
  const { entry } = command;
  const member = state.roster.members.find(({ id }) => id === entry.id);
  if (member?.incarnation === entry.incarnation) {
    return { kind: 'unchanged', revision: state.revision };
  }
  if (member !== undefined) {
    const remedy =
      member.incarnation > entry.incarnation
        ? `restart the entry, or give it another id: ${entry.id} has a newer incarnation`
        : `wait until the lease of the earlier incarnation of ${entry.id} has lapsed`;
    return refuseChange('conflict', remedy, state.epochRevision);
  }
  const duplicate = state.roster.members.find((other) => other.peerAddress === entry.peerAddress);
  if (duplicate !== undefined) {
    const remedy = `give the entry its own peer address: ${duplicate.id} has ${entry.peerAddress}`;
    return refuseChange('conflict', remedy, state.epochRevision);
  }
  if (state.roster.members.length >= MAX_ENTRIES) {
    return refuseChange('tooMany', `stop one of the ${MAX_ENTRIES} entries first`);
  }
  if (!isRosterSettled(state)) return refuseUnsettled(state);
  return withMembers(state, [...state.roster.members, { ...entry, phase: 'joining' }]);
}

function findMember(
  state: IntentState,
  command: { readonly entryId: string; readonly incarnation: number },
): RosterMember | undefined {
  return state.roster.members.find(
    ({ id, incarnation }) => id === command.entryId && incarnation === command.incarnation,
  );
}

function refuseUnknownEntry(command: {
  readonly entryId: string;
  readonly incarnation: number;
}): Change {
  const name = `${command.entryId} with incarnation ${command.incarnation}`;
  return refuseChange('notFound', `no entry ${name} is in the roster: let it join`);
}

/** Lets a joining entry use its share, once the epoch that holds it is in force everywhere. */
export function applyActivateEntry(state: IntentState, command: ActivateEntry): Change {
  const member = findMember(state, command);
  if (member === undefined) return refuseUnknownEntry(command);
  if (member.phase !== 'joining') return { kind: 'unchanged', revision: state.revision };
  if (!isRosterSettled(state)) return refuseUnsettled(state);
  return withPhase(state, member, 'active');
}

/** Marks an entry as leaving; it stays a member until its lease has lapsed. */
export function applyLeaveEntry(state: IntentState, command: LeaveEntry): Change {
  const member = findMember(state, command);
  if (member === undefined) return refuseUnknownEntry(command);
  if (member.phase === 'leaving') return { kind: 'unchanged', revision: state.revision };
  return withPhase(state, member, 'leaving');
}

/** Removes an entry whose lease has certainly lapsed. */
export function applyLapseEntry(state: IntentState, command: LapseEntry): Change {
  const member = findMember(state, command);
  if (member === undefined) return refuseUnknownEntry(command);
  if (!isRosterSettled(state)) return refuseUnsettled(state);
  return withMembers(
    state,
    state.roster.members.filter(({ id }) => id !== member.id),
  );
}
