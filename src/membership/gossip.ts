/**
 * Gossips changed records and repairs differences by anti-entropy. Invariant: a record is sent without
 * a request only a bounded number of times after it changed, so that a fleet without changes
 * exchanges only probes.
 */
import type { Address, Instant } from '../model/index.js';
import type {
  Delta,
  Digest,
  EntryRecord,
  KeyStamp,
  UpstreamRecord,
} from '../generated/membership.js';
import {
  computeRetransmitLimit,
  formatEntryStamp,
  isAlive,
  isNewerEntry,
  listPeers,
  mergeEntry,
} from './entries.js';
import { hashText, pickRandom } from './random.js';
import type { MembershipEffect, MembershipState } from './types.js';
import {
  addClearance,
  addSuspicion,
  listSuspectedFingerprints,
  type Suspicion,
} from '../quarantine/index.js';
import {
  formatUpstreamStamp,
  findEndedAt,
  isListed,
  isNewerUpstream,
  mergeUpstream,
  toSendableUpstream,
} from './upstreams.js';

/** Entries that one gossip round sends to. */
const FAN_OUT = 2;
/** Maximum number of gossip updates in one message. */
const MAX_GOSSIP_UPDATES = 20;
/** Maximum number of records in one message of a full copy. */
const MAX_RECORDS = 100;
/** Buckets of keys that are compared by hash before the stamps of single records are compared. */
const BUCKET_COUNT = 32;
/** Milliseconds without a change before anti-entropy starts; gossip may remove the difference until then. */
const ANTI_ENTROPY_DELAY = 1500;

/** Builds an effect that sends records. */
export function sendRecords(to: Address, delta: Delta): readonly MembershipEffect[] {
  const lists = [delta.entries, delta.upstreams, delta.suspicions, delta.clearances];
  const empty = lists.every((records) => records === undefined || records.length === 0);
  return empty ? [] : [{ kind: 'send', to, message: { kind: 'records', delta } }];
}

/**
 * Collects the records of the given keys: `e:ID` for entries, `u:ID` for upstreams, `s:FINGERPRINT` for
 * suspicions and `a:FINGERPRINT` for clearances.
 */
export function buildDelta(state: MembershipState, keys: readonly string[], now: Instant): Delta {
  const select = (prefix: string): readonly string[] =>
    keys.filter((key) => key.startsWith(prefix)).map((key) => key.slice(2));
  const entries = select('e:').flatMap((id) => state.entries.get(id)?.record ?? []);
  const upstreams = select('u:').flatMap((id) => {
    const known = state.upstreams.get(id);
    return known === undefined ? [] : [toSendableUpstream(known, now)];
  });
  const suspectedFingerprints = select('s:');
  const suspicions = state.quarantine.suspicions
    .filter(({ fingerprint }) => suspectedFingerprints.includes(fingerprint))
    .map(({ at, ...suspicion }) => ({ ...suspicion, age: Math.round(now - at) }));
  const clearances = select('a:').flatMap((fingerprint) => {
    const clearedAt = state.quarantine.clearedAt.get(fingerprint);
    return clearedAt === undefined ? [] : [{ fingerprint, age: Math.round(now - clearedAt) }];
  });
  return {
    ...(entries.length > 0 ? { entries } : {}),
    ...(upstreams.length > 0 ? { upstreams } : {}),
    ...(suspicions.length > 0 ? { suspicions } : {}),
    ...(clearances.length > 0 ? { clearances } : {}),
  };
}

/** Takes the updates with the most remaining transmissions and counts them as sent `transmissions` times. */
export function drainUpdates(
  state: MembershipState,
  transmissions: number,
  now: Instant,
): { readonly state: MembershipState; readonly delta: Delta } {
  if (state.pendingUpdates.size === 0) return { state, delta: {} };
  const ordered = [...state.pendingUpdates].sort(([, a], [, b]) => b - a);
  const taken = ordered.slice(0, MAX_GOSSIP_UPDATES);
  const rest = ordered.slice(MAX_GOSSIP_UPDATES);
  const remaining = taken.map(([key, count]) => [key, count - transmissions] as const);
  const pendingUpdates = new Map([...rest, ...remaining.filter(([, count]) => count > 0)]);
  const keys = taken.map(([key]) => key);
  return {
    state: { ...state, pendingUpdates },
    delta: buildDelta(state, keys, now),
  };
}

/** Sends the next pending updates to {@link FAN_OUT} random entries. */
export function sendGossip(
  state: MembershipState,
  now: Instant,
  random: number,
): { readonly state: MembershipState; readonly effects: readonly MembershipEffect[] } {
  const peers = pickRandom(listPeers(state), FAN_OUT, random);
  if (state.pendingUpdates.size === 0 || peers.length === 0) return { state, effects: [] };
  const drained = drainUpdates(state, peers.length, now);
  const effects = peers.flatMap((p) => sendRecords(p.record.peerAddress, drained.delta));
  return { state: drained.state, effects };
}

/** Merges records from a peer and sends back those of which this entry has a newer version. */
export function mergeDelta(
  state: MembershipState,
  delta: Delta,
  from: Address,
  now: Instant,
): { readonly state: MembershipState; readonly effects: readonly MembershipEffect[] } {
  const entries = delta.entries ?? [];
  const upstreams = delta.upstreams ?? [];
  const stale = [
    ...entries.filter((record) => isStaleEntry(state, record)).map(({ id }) => `e:${id}`),
    ...upstreams
      .filter((record) => isStaleUpstream(state, record))
      .map(({ upstream }) => `u:${upstream.id}`),
  ];
  const corrections = sendRecords(from, buildDelta(state, stale, now));
  const withEntries = entries.reduce((next, record) => mergeEntry(next, record, now), state);
  const merged = upstreams.reduce((next, record) => mergeUpstream(next, record, now), withEntries);
  return { state: mergeSuspicions(merged, delta, now), effects: corrections };
}

function isStaleEntry(state: MembershipState, record: EntryRecord): boolean {
  const known = state.entries.get(record.id);
  return known !== undefined && isNewerEntry(known.record, record);
}

function isStaleUpstream(state: MembershipState, record: UpstreamRecord): boolean {
  const known = state.upstreams.get(record.upstream.id);
  return known !== undefined && isNewerUpstream(known.record, record);
}

function mergeSuspicions(state: MembershipState, delta: Delta, now: Instant): MembershipState {
  const suspected = (delta.suspicions ?? []).reduce(
    (next, { age, ...crash }) => recordCrash(next, { ...crash, at: now - age }),
    state,
  );
  return (delta.clearances ?? []).reduce(
    (next, { fingerprint, age }) => recordClearance(next, fingerprint, now - age),
    suspected,
  );
}

/** Adds a crash suspicion and queues it for gossip. */
export function recordCrash(state: MembershipState, crash: Suspicion): MembershipState {
  const quarantine = addSuspicion(state.quarantine, crash);
  if (quarantine === state.quarantine) return state;
  const retransmitLimit = computeRetransmitLimit(state.entries.size);
  const pendingUpdates = new Map(state.pendingUpdates).set(
    `s:${crash.fingerprint}`,
    retransmitLimit,
  );
  return { ...state, quarantine, pendingUpdates };
}

/** Adds the report that a suspected request succeeded, and queues it for gossip. */
export function recordClearance(
  state: MembershipState,
  fingerprint: string,
  clearedAt: Instant,
): MembershipState {
  const quarantine = addClearance(state.quarantine, fingerprint, clearedAt);
  if (quarantine === state.quarantine) return state;
  const pendingUpdates = new Map(state.pendingUpdates).set(
    `a:${fingerprint}`,
    computeRetransmitLimit(state.entries.size),
  );
  return { ...state, quarantine, pendingUpdates };
}

/** Identifies one version of a record in anti-entropy. */
interface StampedRecord {
  readonly key: string;
  readonly stamp: string;
  readonly hash: number;
}

/**
 * Lists the records that all entries must have in common at `now`. Expired upstreams are included for half
 * the retention time, which ends before any entry prunes them.
 */
function listReplicatedRecords(state: MembershipState, now: Instant): readonly StampedRecord[] {
  const entries = [...state.entries.values()].filter(isAlive).map(({ record, hash }) => ({
    ...{ key: `e:${record.id}`, stamp: formatEntryStamp(record), hash },
  }));
  const upstreams = [...state.upstreams.values()]
    .filter((known) => {
      if (isListed(state, known, now)) return true;
      const recent = now - findEndedAt(state, known) <= state.intervals.retention / 2;
      return known.record.lapsed && recent;
    })
    .map(({ record, hash }) => ({
      ...{ key: `u:${record.upstream.id}`, stamp: formatUpstreamStamp(record), hash },
    }));
  return [...entries, ...upstreams];
}

/** Computes one hash over all replicated records; it does not depend on their order. */
export function computeHash(state: MembershipState, now: Instant): number {
  return listReplicatedRecords(state, now).reduce((sum, { hash }) => sum ^ hash, 0);
}

/** Starts anti-entropy with a peer whose hash differs, once no record has changed for a while. */
export function startAntiEntropy(
  state: MembershipState,
  to: Address,
  hash: number,
  now: Instant,
): readonly MembershipEffect[] {
  if (now - state.schedule.changedAt < ANTI_ENTROPY_DELAY || hash === computeHash(state, now))
    return [];
  const hashes = computeBucketHashes(listReplicatedRecords(state, now));
  return [{ kind: 'send', to, message: { kind: 'buckets', hashes } }];
}

function computeBucketHashes(records: readonly StampedRecord[]): number[] {
  const hashes = new Array<number>(BUCKET_COUNT).fill(0);
  records.forEach(({ key, hash }) => {
    const bucket = hashText(key) % BUCKET_COUNT;
    hashes[bucket] = (hashes[bucket] ?? 0) ^ hash;
  });
  return hashes;
}

function listStamps(
  records: readonly StampedRecord[],
  buckets: readonly number[],
): readonly KeyStamp[] {
  return records
    .filter(({ key }) => buckets.includes(hashText(key) % BUCKET_COUNT))
    .map(({ key, stamp }) => ({ key, stamp }));
}

/** Replies to a peer's bucket hashes with the stamps of all records in the buckets that differ. */
export function handleBuckets(
  state: MembershipState,
  to: Address,
  hashes: readonly number[],
  now: Instant,
): readonly MembershipEffect[] {
  const records = listReplicatedRecords(state, now);
  const own = computeBucketHashes(records);
  const buckets = own.flatMap((hash, index) => (hash === hashes[index] ? [] : [index]));
  if (buckets.length === 0) return [];
  const stamps = listStamps(records, buckets);
  return [{ kind: 'send', to, message: { kind: 'digest', buckets, stamps } }];
}

/** Sends the records that differ from a peer's digest and requests those that may be newer at the peer. */
export function handleDigest(
  state: MembershipState,
  to: Address,
  digest: Digest,
  now: Instant,
): readonly MembershipEffect[] {
  const own = listStamps(listReplicatedRecords(state, now), digest.buckets);
  const ownStamps = new Map(own.map(({ key, stamp }) => [key, stamp]));
  const peerStamps = new Map(digest.stamps.map(({ key, stamp }) => [key, stamp]));
  const differing = own.filter(({ key, stamp }) => peerStamps.get(key) !== stamp);
  const wanted = digest.stamps.filter(({ key, stamp }) => ownStamps.get(key) !== stamp);
  const keys = wanted.map(({ key }) => key);
  const records = sendRecordsByKey(
    state,
    to,
    differing.map(({ key }) => key),
    now,
  );
  if (keys.length === 0) return records;
  return [...records, { kind: 'send', to, message: { kind: 'want', keys } }];
}

/** Sends the records of the given keys in batches of {@link MAX_RECORDS}. */
export function sendRecordsByKey(
  state: MembershipState,
  to: Address,
  keys: readonly string[],
  now: Instant,
): readonly MembershipEffect[] {
  const parts = Array.from({ length: Math.ceil(keys.length / MAX_RECORDS) }, (_, index) =>
    keys.slice(index * MAX_RECORDS, (index + 1) * MAX_RECORDS),
  );
  return parts.flatMap((part) => sendRecords(to, buildDelta(state, part, now)));
}

/**
 * Sends all records to a joining entry. The last message says whether the copy is whole or comes from an
 * entry that is still joining itself.
 */
export function sendFullCopy(
  state: MembershipState,
  to: Address,
  now: Instant,
): readonly MembershipEffect[] {
  const keys = [
    ...[...state.entries.keys()].map((id) => `e:${id}`),
    ...[...state.upstreams.keys()].map((id) => `u:${id}`),
    ...listSuspectedFingerprints(state.quarantine).flatMap((fingerprint) => [
      `s:${fingerprint}`,
      `a:${fingerprint}`,
    ]),
  ];
  const copyEnd = state.awaitedSeeds === undefined ? 'whole' : 'partial';
  return sendRecordsByKey(state, to, keys, now).map((effect, index, all) =>
    effect.kind === 'send' && effect.message.kind === 'records' && index === all.length - 1
      ? { ...effect, message: { ...effect.message, copyEnd } }
      : effect,
  );
}
