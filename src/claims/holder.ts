/**
 * Holder side of the claim protocol: claims a key on behalf of a caller and reports how the granted request
 * ended. Invariant: a token is granted only after a majority of the key's claimants recorded it in one
 * epoch, and a superseded token is never granted.
 */
import type { Address, Duration, Instant, Transition } from '../model/index.js';
import { checkInvariant } from '../model/index.js';
import type {
  Accepted,
  ClaimRecord,
  ClaimStatus,
  Held,
  Settled,
  StoredResponse,
} from '../generated/claims.js';
import { chooseClaimants, countMajority } from './claimants.js';
import type {
  Attempt,
  ClaimResult,
  ClaimsEffect,
  ClaimSettlement,
  ClaimsState,
  PendingSettlement,
} from './types.js';

type Step = Transition<ClaimsState, ClaimsEffect>;

/** Maximum number of times a settlement is sent to claimants that don't confirm it. */
const MAX_SETTLE_SENDS = 8;
/** Retry interval of an unconfirmed settlement, as a multiple of the retry interval of a claim. */
const SETTLE_RETRY_FACTOR = 4;

/** A caller's request to claim a key. */
export interface ClaimRequest {
  readonly request: number;
  readonly key: string;
  readonly digest: string;
  readonly token: string;
  readonly deadline: Instant;
}

/** Starts an attempt to claim a key and sends the token to the key's claimants. */
export function startAttempt(state: ClaimsState, claimRequest: ClaimRequest, now: Instant): Step {
  const { request, key, digest, token, deadline } = claimRequest;
  const attempt: Attempt = {
    ...{ request, key, digest, token, deadline, superseded: [], requestedAt: now },
    ...{ startedAt: now, sentAt: now, claimants: listClaimants(state, key), formerClaimants: [] },
    ...{ accepted: new Set(), held: new Map() },
  };
  return sendClaims(state, attempt, now);
}

function listClaimants(state: ClaimsState, key: string): readonly Address[] {
  return chooseClaimants(state.view, key).map((member) => member.peerAddress);
}

/** Restarts every attempt with a new token in the epoch just entered; the earlier tokens are superseded. */
export function renewAttempts(state: ClaimsState, now: Instant): Step {
  return [...state.attempts.values()].reduce<Step>(
    (step, attempt) => {
      const renewed = renewAttempt(step.state, attempt, now);
      return { state: renewed.state, effects: [...step.effects, ...renewed.effects] };
    },
    { state, effects: [] },
  );
}

function renewAttempt(state: ClaimsState, attempt: Attempt, now: Instant): Step {
  const [base = attempt.token] = attempt.token.split('/');
  const superseded = [...attempt.superseded, attempt.token];
  const renewed: Attempt = {
    ...attempt,
    ...{ token: `${base}/${superseded.length}`, superseded, startedAt: now },
    ...{ accepted: new Set(), held: new Map() },
    claimants: listClaimants(state, attempt.key),
    formerClaimants: [...new Set([...attempt.formerClaimants, ...attempt.claimants])],
  };
  return sendClaims(state, renewed, now);
}

function sendClaims(state: ClaimsState, attempt: Attempt, now: Instant): Step {
  const { request, key, digest, token, superseded, deadline } = attempt;
  const runFor = Math.max(0, deadline - now);
  const { epoch } = state.view;
  const message = {
    kind: 'claim',
    request,
    epoch,
    key,
    digest,
    token,
    runFor,
    superseded,
  } as const;
  const effects = attempt.claimants
    .filter((to) => !attempt.accepted.has(to))
    .map((to) => ({ kind: 'send', to, message }) as const);
  return { state: replaceAttempt(state, { ...attempt, sentAt: now }), effects };
}

function replaceAttempt(state: ClaimsState, attempt: Attempt): ClaimsState {
  return { ...state, attempts: new Map(state.attempts).set(attempt.request, attempt) };
}

/** Handles the confirmation of a claimant that recorded the token. */
export function handleAccepted(
  state: ClaimsState,
  from: Address,
  message: Accepted,
  now: Instant,
): Step {
  const attempt = state.attempts.get(message.request);
  const current = attempt?.token === message.token && message.epoch === state.view.epoch;
  if (!current || !attempt.claimants.includes(from)) return { state, effects: [] };
  const accepted = new Set([...attempt.accepted, from]);
  const held = new Map([...attempt.held].filter(([address]) => address !== from));
  return updateAttempt(state, { ...attempt, accepted, held }, now);
}

/** Handles the reply of a claimant that knows another token for the key. */
export function handleHeld(state: ClaimsState, from: Address, message: Held, now: Instant): Step {
  const attempt = state.attempts.get(message.request);
  const current = attempt?.token === message.token && attempt.claimants.includes(from);
  if (!current || attempt.accepted.has(from)) return { state, effects: [] };
  const held = new Map(attempt.held).set(from, message.holder);
  return updateAttempt(state, { ...attempt, held }, now);
}

/**
 * Stores an attempt and closes it if its outcome is decided. A majority grants it, unless the validity of the
 * grant has already passed; then it restarts with a new token. Between rivals without a majority, the one
 * with the greater token yields.
 */
function updateAttempt(state: ClaimsState, attempt: Attempt, now: Instant): Step {
  const { claimants, accepted, held, startedAt } = attempt;
  const majority = countMajority(claimants.length);
  const updated = replaceAttempt(state, attempt);
  if (claimants.length > 0 && accepted.size >= majority) {
    if (now - startedAt < state.times.validity) return grantAttempt(updated, attempt);
    return renewAttempt(updated, attempt, now);
  }
  const records = [...held.values()];
  const waited = now - attempt.requestedAt;
  const expired = waited >= state.times.maxWait || now >= attempt.deadline;
  const answered = records.some(({ status }) => status === 'answered' || status === 'unknown');
  const hasRivalWon = records.some(
    ({ token }) => records.filter((record) => record.token === token).length >= majority,
  );
  const blocked = held.size > claimants.length - majority;
  const outranked = records.some(({ token }) => token < attempt.token);
  const mustYield =
    outranked && (blocked || (held.size > 0 && waited >= state.times.conflictTimeout));
  if (answered || hasRivalWon || mustYield || expired)
    return closeAttempt(updated, attempt, describeConflict(attempt));
  return { state: updated, effects: [] };
}

function grantAttempt(state: ClaimsState, attempt: Attempt): Step {
  const { key, digest, token, deadline } = attempt;
  checkInvariant(
    !attempt.superseded.includes(token),
    `superseded token ${token} of key ${key} would be granted`,
  );
  const validUntil = attempt.startedAt + state.times.validity;
  const granted = new Map(state.granted).set(token, { key, digest, validUntil, deadline });
  const closed = closeAttempt(state, attempt, { kind: 'granted', token, validUntil });
  return { state: { ...closed.state, granted }, effects: closed.effects };
}

/** Closes an attempt with its result and withdraws each of its tokens that was not granted. */
function closeAttempt(state: ClaimsState, attempt: Attempt, result: ClaimResult): Step {
  const { request, key, superseded, token } = attempt;
  const attempts = new Map([...state.attempts].filter(([id]) => id !== request));
  const tokens = result.kind === 'granted' ? superseded : [...superseded, token];
  const targets = [...new Set([...attempt.claimants, ...attempt.formerClaimants])];
  const withdrawals = tokens.flatMap((old) =>
    targets.map((to): ClaimsEffect => ({
      kind: 'send',
      to,
      message: { kind: 'withdraw', key, token: old },
    })),
  );
  const effects: readonly ClaimsEffect[] = [...withdrawals, { kind: 'resolve', request, result }];
  return { state: { ...state, attempts }, effects };
}

/** Converts what the claimants replied into the result of a claim that was not granted. */
function describeConflict(attempt: Attempt): ClaimResult {
  const records = [...attempt.held.values()];
  const [first] = [...records].sort((a, b) => computeRank(b) - computeRank(a));
  if (first === undefined) return { kind: 'unavailable', reason: describeMissingMajority(attempt) };
  if (first.digest !== attempt.digest) return { kind: 'mismatch' };
  if (first.status === 'answered' && first.answer !== undefined)
    return { kind: 'settled', ...first.answer };
  const running = first.status === 'claimed' && first.age <= first.runFor;
  return running ? { kind: 'running' } : { kind: 'unknown' };
}

function computeRank({ status }: ClaimRecord): number {
  return status === 'answered' ? 2 : Number(status === 'unknown');
}

function describeMissingMajority({ claimants, accepted }: Attempt): string {
  if (claimants.length === 0) return 'no agreed roster of entries is known yet; try again soon';
  const needed = countMajority(claimants.length);
  return `${accepted.size} of the ${needed} entries needed recorded the key; try again soon`;
}

/** Retries unanswered claims and settlements, and closes attempts that have timed out. */
export function advanceHolder(state: ClaimsState, now: Instant): Step {
  const isDue = (sentAt: Instant, after: Duration): boolean => now - sentAt >= after;
  const start: Step = { state: dropExpiredGrants(state, now), effects: [] };
  const attempted = [...state.attempts.values()].reduce<Step>((step, attempt) => {
    const updated = updateAttempt(step.state, attempt, now);
    const openAttempt = updated.state.attempts.get(attempt.request);
    const sent =
      openAttempt !== undefined && isDue(openAttempt.sentAt, state.times.retryInterval)
        ? sendClaims(updated.state, openAttempt, now)
        : { state: updated.state, effects: [] };
    return { state: sent.state, effects: [...step.effects, ...updated.effects, ...sent.effects] };
  }, start);
  return [...state.settlements.values()]
    .filter(({ sentAt }) => isDue(sentAt, state.times.retryInterval * SETTLE_RETRY_FACTOR))
    .reduce<Step>((step, pending) => {
      const sent = sendSettlement(step.state, pending, now);
      return { state: sent.state, effects: [...step.effects, ...sent.effects] };
    }, attempted);
}

function dropExpiredGrants(state: ClaimsState, now: Instant): ClaimsState {
  const kept = [...state.granted].filter(
    ([, grant]) => now - Math.max(grant.deadline, grant.validUntil) <= state.times.lifetime,
  );
  return kept.length === state.granted.size ? state : { ...state, granted: new Map(kept) };
}

/** Reports to the claimants how a granted request ended; ignores unknown tokens. */
export function finishGrant(
  state: ClaimsState,
  token: string,
  settlement: ClaimSettlement,
  now: Instant,
): Step {
  const grant = state.granted.get(token);
  if (grant === undefined) return { state, effects: [] };
  const granted = new Map([...state.granted].filter(([key]) => key !== token));
  const { key, digest } = grant;
  const pending: PendingSettlement = {
    ...{ key, token, digest, sentAt: now, sendCount: 0, confirmed: new Set() },
    status: toStatus(settlement),
    answer: settlement.kind === 'answered' ? toAnswer(settlement) : undefined,
  };
  return sendSettlement({ ...state, granted }, pending, now);
}

function toAnswer({ status, headers, body }: StoredResponse): StoredResponse {
  return { status, headers, body };
}

function toStatus({ kind }: ClaimSettlement): ClaimStatus {
  return kind === 'notRun' ? 'withdrawn' : kind;
}

function sendSettlement(state: ClaimsState, pending: PendingSettlement, now: Instant): Step {
  const { key, token, digest, status, answer, confirmed } = pending;
  const targets = listClaimants(state, key).filter((to) => !confirmed.has(to));
  const isFinished = pending.sendCount >= MAX_SETTLE_SENDS || targets.length === 0;
  if (isFinished) return { state: dropSettlement(state, token), effects: [] };
  const base = { kind: 'settle', key, token, digest, status, runFor: 0 } as const;
  const message = answer === undefined ? base : { ...base, answer };
  const sent = { ...pending, sentAt: now, sendCount: pending.sendCount + 1 };
  const settlements = new Map(state.settlements).set(token, sent);
  const effects = targets.map((to) => ({ kind: 'send', to, message }) as const);
  return { state: { ...state, settlements }, effects };
}

function dropSettlement(state: ClaimsState, token: string): ClaimsState {
  const settlements = new Map([...state.settlements].filter(([key]) => key !== token));
  return { ...state, settlements };
}

/** Handles the confirmation of a settlement; stops its retries once all claimants have confirmed. */
export function handleSettled(state: ClaimsState, from: Address, message: Settled): Step {
  const pending = state.settlements.get(message.token);
  if (pending === undefined) return { state, effects: [] };
  const confirmed = new Set([...pending.confirmed, from]);
  const claimants = listClaimants(state, pending.key);
  if (claimants.every((address) => confirmed.has(address)))
    return { state: dropSettlement(state, message.token), effects: [] };
  const settlements = new Map(state.settlements).set(message.token, { ...pending, confirmed });
  return { state: { ...state, settlements }, effects: [] };
}
