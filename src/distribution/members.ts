/**
 * Judges which entries hold leases and what follows for the roster. Invariant: an entry is called lapsed
 * only when no leader's lease for that incarnation can still be alive.
 */
import type { Duration, EntryId, Instant, Revision, RosterMember } from '../model/index.js';
import type { LeaseRecord, MemberProposal, ServerState } from './state.js';
import { EVICTION_DELAY, isCertainlyExpired, LEASE } from './timing.js';

/** How long a request to join stands without being repeated. */
const JOIN_REQUEST_LIFETIME: Duration = 3000;

/** An entry that a revision is not in force at. */
export interface AwaitedEntry {
  readonly id: EntryId;
  /** The revision that it confirmed last; absent if this leader heard nothing. */
  readonly revision?: Revision;
  /** Milliseconds until its lease has certainly lapsed. */
  readonly lapsesWithin: Duration;
}

/** Returns what this leader saw of the member's incarnation. */
export function findLease(state: ServerState, member: RosterMember): LeaseRecord | undefined {
  return state.leaseRecords.find(
    ({ entryId, incarnation }) => entryId === member.id && incarnation === member.incarnation,
  );
}

/** Returns the latest arrival of a poll that any leader may have granted a lease for. */
function getLastGrant(state: ServerState, member: RosterMember): Instant {
  return findLease(state, member)?.grantedAt ?? state.leaderSince;
}

/** Tells whether no lease of the member can be alive. */
export function isLeaseExpired(state: ServerState, member: RosterMember, now: Instant): boolean {
  return isCertainlyExpired(getLastGrant(state, member), now);
}

/**
 * Lists the entries that a revision waits for; empty means that it is in force everywhere.
 *
 * @example
 * listAwaited(state, 12, performance.now()).map(({ id }) => id) // ['shah-alam-3']
 */
export function listAwaited(
  state: ServerState,
  revision: Revision,
  now: Instant,
): readonly AwaitedEntry[] {
  return state.view.config.roster.members.flatMap((member) => {
    const confirmed = findLease(state, member)?.revision;
    if (confirmed !== undefined && confirmed >= revision) return [];
    if (isLeaseExpired(state, member, now)) return [];
    const lapsesWithin = Math.max(0, getLastGrant(state, member) + LEASE - now);
    const known = confirmed === undefined ? {} : { revision: confirmed };
    return [{ id: member.id, ...known, lapsesWithin }];
  });
}

/** Returns the applicants that asked again lately. */
export function listJoinRequests(state: ServerState, now: Instant): ServerState['joinRequests'] {
  return state.joinRequests.filter(({ receivedAt }) => now - receivedAt < JOIN_REQUEST_LIFETIME);
}

/** Returns when this leader last had a sign of the member: a grant, or its wish to join. */
function getLastContact(state: ServerState, member: RosterMember): Instant {
  const joinRequest = state.joinRequests.find(
    (request) =>
      request.member.id === member.id && request.member.incarnation === member.incarnation,
  );
  return Math.max(getLastGrant(state, member), joinRequest?.receivedAt ?? -Infinity);
}

/** Tells whether the member may be removed: its lease has lapsed, and it left, was replaced or stays away. */
function isRemovable(state: ServerState, member: RosterMember, now: Instant): boolean {
  if (!isLeaseExpired(state, member, now)) return false;
  const isReplaced = listJoinRequests(state, now).some(
    (request) => request.member.id === member.id && request.member.incarnation > member.incarnation,
  );
  const isUnreachable = now > getLastContact(state, member) + LEASE + EVICTION_DELAY;
  return member.phase === 'leaving' || isReplaced || isUnreachable;
}

function planConfirmation(state: ServerState, now: Instant): MemberProposal | undefined {
  const { revision } = state.view.config;
  if (revision <= state.view.inForce || listAwaited(state, revision, now).length > 0) {
    return undefined;
  }
  return { kind: 'confirmInForce', revision };
}

function planLeave(state: ServerState): MemberProposal | undefined {
  const member = state.view.config.roster.members.find(
    (other) => other.phase !== 'leaving' && findLease(state, other)?.leaving === true,
  );
  if (member === undefined) return undefined;
  return { kind: 'leaveEntry', entryId: member.id, incarnation: member.incarnation };
}

/** Plans the next change of members; it needs the present epoch in force everywhere. */
function planMembershipChange(state: ServerState, now: Instant): MemberProposal | undefined {
  if (state.view.inForce < state.view.epochRevision) return undefined;
  const { members } = state.view.config.roster;
  const joining = members.find(({ phase }) => phase === 'joining');
  if (joining !== undefined) {
    return { kind: 'activateEntry', entryId: joining.id, incarnation: joining.incarnation };
  }
  const removable = members.find((member) => isRemovable(state, member, now));
  if (removable !== undefined) {
    return { kind: 'lapseEntry', entryId: removable.id, incarnation: removable.incarnation };
  }
  const joinRequest = listJoinRequests(state, now).find(({ member }) =>
    members.every(({ id, peerAddress }) => id !== member.id && peerAddress !== member.peerAddress),
  );
  if (joinRequest === undefined) return undefined;
  const { id, zone, peerAddress, callerAddress, incarnation } = joinRequest.member;
  return { kind: 'joinEntry', entry: { id, zone, peerAddress, callerAddress, incarnation } };
}

/** Returns what the leader proposes next, if anything. */
export function planProposal(state: ServerState, now: Instant): MemberProposal | undefined {
  return planConfirmation(state, now) ?? planLeave(state) ?? planMembershipChange(state, now);
}
