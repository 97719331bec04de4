/**
 * Stores and merges records of upstreams and manages their leases. Invariants: the incarnation of an upstream
 * never decreases, a leaving incarnation never comes back, and a lease expires only after its full time.
 */
import { checkInvariant, type Instant, type Upstream } from '../model/index.js';
import type { UpstreamRecord } from '../generated/membership.js';
import { computeRetransmitLimit, getSelf, isAlive } from './entries.js';
import { hashText } from './random.js';
import type { MembershipState, UpstreamState } from './types.js';

/** Formats the version of an upstream's record, including the lease holder. */
export function formatUpstreamStamp(record: UpstreamRecord): string {
  const { incarnation, leaving } = record.upstream;
  return `${incarnation}.${Number(leaving)}.${record.version}.${Number(record.lapsed)}.${record.home}.${record.homeIncarnation}`;
}

/** Returns whether `record` replaces `known`. */
export function isNewerUpstream(record: UpstreamRecord, known: UpstreamRecord): boolean {
  const [one, two] = [record.upstream, known.upstream];
  if (one.incarnation !== two.incarnation) return one.incarnation > two.incarnation;
  if (one.leaving !== two.leaving) return one.leaving;
  if (record.version !== known.version) return record.version > known.version;
  if (record.lapsed !== known.lapsed) return known.lapsed;
  if (record.home !== known.home) return record.home > known.home;
  return record.homeIncarnation > known.homeIncarnation;
}

/** Stores a newer record and queues it for gossip. */
export function replaceUpstream(
  state: MembershipState,
  record: UpstreamRecord,
  now: Instant,
): MembershipState {
  const { id } = record.upstream;
  const known = state.upstreams.get(id);
  checkInvariant(
    known === undefined || isNewerUpstream(record, known.record),
    `record of upstream ${id} went back from ${known === undefined ? '' : formatUpstreamStamp(known.record)} to ${formatUpstreamStamp(record)}`,
  );
  const hash = hashText(`u:${id}=${formatUpstreamStamp(record)}`);
  const upstreams = new Map(state.upstreams).set(id, { record, receivedAt: now, hash });
  const pendingUpdates = new Map(state.pendingUpdates).set(
    `u:${id}`,
    computeRetransmitLimit(state.entries.size),
  );
  return {
    ...state,
    upstreams,
    pendingUpdates,
    schedule: { ...state.schedule, changedAt: now },
  };
}

/**
 * Merges a record from a peer. This entry starts a lease if the record names it as the holder, and drops its
 * lease otherwise. An unknown record that expired more than half the retention time ago is ignored,
 * because this entry may already have pruned it.
 */
export function mergeUpstream(
  state: MembershipState,
  record: UpstreamRecord,
  now: Instant,
): MembershipState {
  const { id } = record.upstream;
  const known = state.upstreams.get(id);
  if (
    known === undefined &&
    record.lapsed &&
    (record.lapsedFor ?? 0) > state.intervals.retention / 2
  )
    return state;
  if (known !== undefined && !isNewerUpstream(record, known.record)) return state;
  const merged = replaceUpstream(state, record, now);
  if (isLeaseHolder(merged, record)) return renewLease(merged, id, now);
  return removeLease(merged, id);
}

/** Returns whether this process holds the lease of a record. */
export function isLeaseHolder(state: MembershipState, record: UpstreamRecord): boolean {
  const own = getSelf(state).record;
  return record.home === own.id && record.homeIncarnation === own.incarnation && !record.lapsed;
}

/** Records that an upstream renewed its lease here. */
export function renewLease(state: MembershipState, id: string, now: Instant): MembershipState {
  return { ...state, leases: new Map(state.leases).set(id, now) };
}

function removeLease(state: MembershipState, id: string): MembershipState {
  if (!state.leases.has(id)) return state;
  return { ...state, leases: new Map([...state.leases].filter(([key]) => key !== id)) };
}

/** Returns whether an announcement has the same content as the record; `age` does not count. */
export function isSameUpstream(record: UpstreamRecord, upstream: Upstream): boolean {
  const describeContent = (u: UpstreamRecord['upstream']): string =>
    JSON.stringify([
      ...[u.service, u.version, u.zone, u.address, u.slots, u.maxConnections, u.leaving],
      ...Object.entries(u.labels).sort(([a], [b]) => (a < b ? -1 : 1)),
    ]);
  return describeContent(record.upstream) === describeContent(upstream);
}

/** Writes a new version of the record with this entry as the lease holder. */
export function claimUpstream(
  state: MembershipState,
  upstream: Upstream,
  now: Instant,
): MembershipState {
  const known = state.upstreams.get(upstream.id)?.record;
  const own = getSelf(state).record;
  const sameProcess = known?.upstream.incarnation === upstream.incarnation;
  const version = sameProcess ? known.version + 1 : 1;
  const home = { home: own.id, homeIncarnation: own.incarnation };
  const record: UpstreamRecord = { upstream, version, ...home, lapsed: false };
  return renewLease(replaceUpstream(state, record, now), upstream.id, now);
}

/** Expires the leases held here that were not renewed in time. */
export function expireLeases(state: MembershipState, now: Instant): MembershipState {
  const due = [...state.leases].filter(([, renewedAt]) => now - renewedAt > state.intervals.lease);
  return due.reduce((next, [id, renewedAt]) => expireLease(next, id, renewedAt, now), state);
}

function expireLease(
  state: MembershipState,
  id: string,
  renewedAt: Instant,
  now: Instant,
): MembershipState {
  const known = state.upstreams.get(id)?.record;
  checkInvariant(
    now - renewedAt > state.intervals.lease,
    `lease of upstream ${id} expired after ${now - renewedAt} ms instead of ${state.intervals.lease} ms`,
  );
  const released = removeLease(state, id);
  if (known === undefined || !isLeaseHolder(state, known)) return released;
  const expired = { ...known, version: known.version + 1, lapsed: true };
  return replaceUpstream(released, expired, now);
}

/** Returns when this entry found that the lease holder of a record was lost, or undefined if it runs. */
export function findHolderLostAt(
  state: MembershipState,
  known: UpstreamState,
): Instant | undefined {
  const home = state.entries.get(known.record.home);
  if (home === undefined) return known.receivedAt;
  if (home.record.incarnation > known.record.homeIncarnation)
    return Math.max(home.incarnationSince, known.receivedAt);
  return isAlive(home) ? undefined : Math.max(home.statusSince, known.receivedAt);
}

/** Returns whether an upstream is listed: its lease is valid or its holder lost within the grace time. */
export function isListed(state: MembershipState, known: UpstreamState, now: Instant): boolean {
  if (known.record.lapsed) return false;
  const holderLostAt = findHolderLostAt(state, known);
  return holderLostAt === undefined || now - holderLostAt <= state.intervals.grace;
}

/** Removes unlisted upstreams after the retention time. */
export function pruneUpstreams(state: MembershipState, now: Instant): MembershipState {
  const kept = [...state.upstreams].filter(([, known]) => {
    if (isListed(state, known, now)) return true;
    const since = findEndedAt(state, known);
    return now - since <= state.intervals.retention;
  });
  return kept.length === state.upstreams.size ? state : { ...state, upstreams: new Map(kept) };
}

/** Returns when an unlisted record expired or lost its lease holder. */
export function findEndedAt(state: MembershipState, known: UpstreamState): Instant {
  if (known.record.lapsed) return known.receivedAt - (known.record.lapsedFor ?? 0);
  return findHolderLostAt(state, known) ?? known.receivedAt;
}

/** Returns a copy of the record for sending, with its ages updated to `now`. */
export function toSendableUpstream(known: UpstreamState, now: Instant): UpstreamRecord {
  const { record, receivedAt } = known;
  const elapsed = Math.round(now - receivedAt);
  const upstream = { ...record.upstream, age: record.upstream.age + elapsed };
  return record.lapsed
    ? { ...record, upstream, lapsedFor: (record.lapsedFor ?? 0) + elapsed }
    : { ...record, upstream };
}
