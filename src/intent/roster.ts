/**
 * Applies the commands that change the replicated roster of entries. Invariant: each change of members
 * increases the epoch by one and waits until the previous epoch is in force everywhere, so that
 * consecutive epochs differ by one member.
 */
import type { ActivateEntry, JoinEntry, LapseEntry, LeaveEntry } from '../generated/intent.js';
import type { Roster, RosterMember } from '../model/index.js';
import { refuseChange, type Change, type IntentState } from './state.js';

/** Maximum number of entries of a site. */
const MAX_ENTRIES = 128;

/** Returns whether the current epoch is in force everywhere, which the next change of members requires. */
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

/** Adds an entry as joining. The lease of an earlier incarnation must expire first. */
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

/** Lets a joining entry use its share once the epoch that added it is in force everywhere. */
export function applyActivateEntry(state: IntentState, command: ActivateEntry): Change {
  const member = findMember(state, command);
  if (member === undefined) return refuseUnknownEntry(command);
  if (member.phase !== 'joining') return { kind: 'unchanged', revision: state.revision };
  if (!isRosterSettled(state)) return refuseUnsettled(state);
  return withPhase(state, member, 'active');
}

/** Marks an entry as leaving; it stays a member until its lease has expired. */
export function applyLeaveEntry(state: IntentState, command: LeaveEntry): Change {
  const member = findMember(state, command);
  if (member === undefined) return refuseUnknownEntry(command);
  if (member.phase === 'leaving') return { kind: 'unchanged', revision: state.revision };
  return withPhase(state, member, 'leaving');
}

/** Removes an entry; the leader proposes this only once the entry's lease has certainly expired. */
export function applyLapseEntry(state: IntentState, command: LapseEntry): Change {
  const member = findMember(state, command);
  if (member === undefined) return refuseUnknownEntry(command);
  if (!isRosterSettled(state)) return refuseUnsettled(state);
  return withMembers(
    state,
    state.roster.members.filter(({ id }) => id !== member.id),
  );
}
