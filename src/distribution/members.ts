/**
 * Determines which entries may hold leases, and plans the roster changes that follow from that.
 * Invariant: a lease is reported as expired only when no lease that any leader granted to that
 * incarnation can still be valid.
 */
import type { Duration, EntryId, Instant, Revision, RosterMember } from '../model/index.js';
import type { LeaseRecord, MemberProposal, ServerState } from './state.js';
import { EVICTION_DELAY, isCertainlyExpired, LEASE } from './timing.js';

/** Milliseconds that a join request stays valid without being sent again. */
const JOIN_REQUEST_LIFETIME: Duration = 3000;

/** An entry that has neither confirmed a revision nor certainly lost its lease. */
export interface AwaitedEntry {
  readonly id: EntryId;
  /** The last revision it confirmed; absent if this leader received no poll from it. */
  readonly revision?: Revision;
  /** Milliseconds until its lease expires, without the margin for clock drift. */
  readonly lapsesWithin: Duration;
}

/** Returns this leader's record of the member's incarnation, if it received a poll from it. */
export function findLease(state: ServerState, member: RosterMember): LeaseRecord | undefined {
  return state.leaseRecords.find(
    ({ entryId, incarnation }) => entryId === member.id && incarnation === member.incarnation,
  );
}

/**
 * Returns the latest time at which a poll may have arrived that some leader granted a lease for. Without
 * a grant of this leader, an earlier leader may have granted one up to the change of leadership.
 */
function getLastGrant(state: ServerState, member: RosterMember): Instant {
  return findLease(state, member)?.grantedAt ?? state.leaderSince;
}

/** Returns whether no lease of the member can still be valid. */
export function isLeaseExpired(state: ServerState, member: RosterMember, now: Instant): boolean {
  return isCertainlyExpired(getLastGrant(state, member), now);
}

/**
 * Lists the entries that may still act on an earlier revision; empty means that the revision is in force
 * everywhere.
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

/** Returns the join requests that have not expired. */
export function listJoinRequests(state: ServerState, now: Instant): ServerState['joinRequests'] {
  return state.joinRequests.filter(({ receivedAt }) => now - receivedAt < JOIN_REQUEST_LIFETIME);
}

/** Returns when this leader last granted the member a lease or received a join request from it. */
function getLastContact(state: ServerState, member: RosterMember): Instant {
  const joinRequest = state.joinRequests.find(
    (request) =>
      request.member.id === member.id && request.member.incarnation === member.incarnation,
  );
  return Math.max(getLastGrant(state, member), joinRequest?.receivedAt ?? -Infinity);
}

/**
 * Returns whether the member may be removed: its lease has expired, and it is leaving, was replaced by a
 * newer incarnation, or has been unreachable for {@link EVICTION_DELAY}.
 */
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

/** Plans the next change of members, only once the current epoch is in force everywhere. */
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

/** Returns the leader's next proposal, if any; confirmations precede leaves and other member changes. */
export function planProposal(state: ServerState, now: Instant): MemberProposal | undefined {
  return planConfirmation(state, now) ?? planLeave(state) ?? planMembershipChange(state, now);
}
