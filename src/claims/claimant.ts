/**
 * Claimant side of the claim protocol: records tokens for keys and answers holders. Invariant: a claimant
 * records a token only if it knows no other live token for the key, and only in the epoch that it entered
 * last and is ready in.
 */
import type { Address, Instant, Transition } from '../model/index.js';
import { checkInvariant } from '../model/index.js';
import type { Claim, ClaimRecord, ClaimsMessage, Settle } from '../generated/claims.js';
import { chooseClaimants, hasMajorityForKey } from './claimants.js';
import { BUCKET_COUNT, getClaims, pruneBucket, replaceClaims } from './table.js';
import type { ClaimsEffect, ClaimsState, StoredClaim } from './types.js';

type Step = Transition<ClaimsState, ClaimsEffect>;

/** Ticks over which one sweep for expired claims covers the whole table. */
const TICKS_PER_SWEEP = 1024;

/** Builds a step that leaves the state unchanged and sends one message. */
export function sendTo(state: ClaimsState, to: Address, message: ClaimsMessage): Step {
  return { state, effects: [{ kind: 'send', to, message }] };
}

/** Returns the claims of a key that have not expired. */
export function listLiveClaims(
  state: ClaimsState,
  key: string,
  now: Instant,
): readonly StoredClaim[] {
  return getClaims(state.table, key).filter(
    ({ recordedAt }) => now - recordedAt <= state.times.lifetime,
  );
}

/**
 * Handles a holder's request to record a token: replies `accepted` if no other live token exists for the
 * key, `held` with the record of the rival if one does, or `notReady` if this entry may not answer. `fresh`
 * says whether the roster of this entry is known to be current.
 */
export function handleClaim(
  state: ClaimsState,
  from: Address,
  message: Claim,
  fresh: boolean,
  now: Instant,
): Step {
  const { request, token, key } = message;
  if (!isRecordable(state, message, fresh)) return refuseClaim(state, from, message);
  const dropped = message.superseded.reduce((next, old) => cancelToken(next, key, old, now), state);
  const claims = listLiveClaims(dropped, key, now);
  const own = claims.find((claim) => claim.token === token);
  if (own !== undefined && own.status !== 'claimed') return { state: dropped, effects: [] };
  const rival = claims.find((claim) => claim.token !== token && claim.status !== 'withdrawn');
  if (rival !== undefined) {
    const holder = toRecord(rival, now);
    return sendTo(dropped, from, { kind: 'held', request, token, holder });
  }
  const recorded = own === undefined ? recordToken(dropped, message, now) : dropped;
  const { epoch } = message;
  return sendTo(recorded, from, { kind: 'accepted', request, epoch, token });
}

function isRecordable(state: ClaimsState, message: Claim, fresh: boolean): boolean {
  if (!fresh || !state.ready || message.epoch !== state.view.epoch) return false;
  if (!isOutsideGaps(state, message.key)) return false;
  return chooseClaimants(state.view, message.key).some(
    (member) => member.id === state.self && member.incarnation === state.incarnation,
  );
}

/** Returns whether no transfer gap can hide an earlier grant of the key. */
function isOutsideGaps(state: ClaimsState, key: string): boolean {
  return state.gaps.every(({ view, heard }) =>
    hasMajorityForKey(view, key, (member) => heard.includes(member.peerAddress)),
  );
}

function refuseClaim(state: ClaimsState, from: Address, message: Claim): Step {
  const { request } = message;
  const newer = state.view.epoch > message.epoch;
  const refusal = { kind: 'notReady', request } as const;
  return sendTo(state, from, newer ? { ...refusal, view: state.view } : refusal);
}

function recordToken(state: ClaimsState, message: Claim, now: Instant): ClaimsState {
  const { key, token, digest, runFor } = message;
  checkInvariant(
    listLiveClaims(state, key, now).every((claim) => claim.status === 'withdrawn'),
    `claimant ${state.self} would record a second live token for key ${key}: ${token}`,
  );
  const claim: StoredClaim = { token, digest, status: 'claimed', recordedAt: now, runFor };
  return replaceToken(state, key, claim);
}

/** Adds the claim of one token, or replaces the one recorded before. */
export function replaceToken(state: ClaimsState, key: string, claim: StoredClaim): ClaimsState {
  const others = getClaims(state.table, key).filter(({ token }) => token !== claim.token);
  return { ...state, table: replaceClaims(state.table, key, [...others, claim]) };
}

/** Marks a token as withdrawn: its holder will never use it. A settled token can't be withdrawn. */
export function cancelToken(
  state: ClaimsState,
  key: string,
  token: string,
  now: Instant,
): ClaimsState {
  const known = getClaims(state.table, key).find((claim) => claim.token === token);
  if (known?.status === 'withdrawn') return state;
  checkInvariant(
    known === undefined || known.status === 'claimed',
    `token ${token} of key ${key} was withdrawn after its request had ended`,
  );
  const blank = { token, digest: '', recordedAt: now, runFor: 0 };
  return replaceToken(state, key, { ...(known ?? blank), status: 'withdrawn' });
}

/** Records how a granted request ended; keeps the time at which its token was first recorded. */
export function recordSettlement(state: ClaimsState, message: Settle, now: Instant): ClaimsState {
  const { key, token, digest, status, runFor, answer } = message;
  if (status === 'withdrawn') return cancelToken(state, key, token, now);
  const known = getClaims(state.table, key).find((claim) => claim.token === token);
  const recordedAt = known?.recordedAt ?? now;
  const ended: StoredClaim = { token, digest, status, recordedAt, runFor };
  return replaceToken(state, key, answer === undefined ? ended : { ...ended, answer });
}

/** Converts a claim to its wire format, which has an age because clocks differ between processes. */
export function toRecord(claim: StoredClaim, now: Instant): ClaimRecord {
  const { recordedAt, ...content } = claim;
  return { ...content, age: now - recordedAt };
}

/** Removes expired claims from the next few buckets, so that a tick never scans the whole table. */
export function pruneTable(state: ClaimsState, now: Instant): ClaimsState {
  const count = Math.ceil(BUCKET_COUNT / TICKS_PER_SWEEP);
  const indexes = Array.from(
    { length: count },
    (_, index) => (state.sweepIndex + index) % BUCKET_COUNT,
  );
  const keeps = (claim: StoredClaim): boolean => now - claim.recordedAt <= state.times.lifetime;
  const table = indexes.reduce((next, index) => pruneBucket(next, index, keeps), state.table);
  return { ...state, table, sweepIndex: (state.sweepIndex + count) % BUCKET_COUNT };
}
