/**
 * An entry's side of the lease protocol, pure. Invariant: the revision only rises; the first one after a
 * start is taken only from a leader that confirmed its leadership after the entry asked; and a lease
 * ends {@link LEASE} after the poll that it was granted for was sent.
 */
import {
  checkInvariant,
  type Address,
  type Config,
  type EntryId,
  type Instant,
  type RosterMember,
  type Transition,
  type ZoneId,
} from '../model/index.js';
import type { DistributionMessage, Grant, Redirect, Update } from './codec.js';
import { applyDelta } from './delta.js';
import { ANSWER_TIMEOUT, getPollInterval, LEASE, URGENT_POLL_INTERVAL } from './timing.js';

/** Who the entry is. */
export interface ClientIdentity {
  readonly id: EntryId;
  readonly zone: ZoneId;
  readonly callerAddress: Address;
  /** Rises at each start of the entry process. */
  readonly incarnation: number;
}

/** A poll that was not answered yet. */
interface PendingPoll {
  readonly seq: number;
  readonly sentAt: Instant;
}

/** What the entry knows. */
export interface ClientState {
  readonly self: ClientIdentity;
  /** Control members to begin with. */
  readonly members: readonly Address[];
  readonly config: Config | undefined;
  readonly leaseEnd: Instant | undefined;
  readonly leader: Address | undefined;
  /** Counts up through `members` while no leader is known. */
  readonly turn: number;
  /** Whether the last poll has no answer yet. */
  readonly unanswered: boolean;
  /** Polls in a row that were not granted a lease. */
  readonly futile: number;
  readonly seq: number;
  readonly pending: readonly PendingPoll[];
  readonly nextPollAt: Instant;
  readonly leaving: boolean;
}

/** What the entry is told. */
export type ClientEvent =
  | { readonly kind: 'ticked'; readonly now: Instant }
  | { readonly kind: 'leaveAsked'; readonly now: Instant }
  | {
      readonly kind: 'received';
      readonly from: Address;
      readonly message: DistributionMessage;
      readonly now: Instant;
    };

/** What the entry's shell must do. */
export type ClientEffect =
  | { readonly kind: 'send'; readonly to: Address; readonly message: DistributionMessage }
  | { readonly kind: 'configChanged'; readonly config: Config };

type ClientTransition = Transition<ClientState, ClientEffect>;

/** Polls whose answers are still taken. */
const MAX_PENDING = 8;
/** Polls without a lease after which a member that calls itself leader is no longer believed. */
const MAX_FUTILE = 8;

/** Returns the state of an entry that has just started and knows nothing. */
export function createClientState(
  self: ClientIdentity,
  members: readonly Address[],
  now: Instant,
): ClientState {
  checkInvariant(members.length > 0, 'an entry needs the address of a control member');
  return {
    self,
    members,
    config: undefined,
    leaseEnd: undefined,
    leader: undefined,
    turn: 0,
    unanswered: false,
    futile: 0,
    seq: 0,
    pending: [],
    nextPollAt: now,
    leaving: false,
  };
}

/** Returns the entry's own place in its roster, if this very incarnation has one. */
export function findSelf(state: ClientState): RosterMember | undefined {
  const { id, incarnation } = state.self;
  return state.config?.roster.members.find(
    (member) => member.id === id && member.incarnation === incarnation,
  );
}

/**
 * Tells whether the entry may act on its configuration at this moment. Ask again after any pause.
 *
 * @example
 * if (!isClientFresh(state, performance.now())) refuseCall('stale');
 */
export function isClientFresh(state: ClientState, now: Instant): boolean {
  const alive = state.leaseEnd !== undefined && now < state.leaseEnd;
  return alive && findSelf(state) !== undefined;
}

function getTarget(state: ClientState): Address {
  const { members, turn } = state;
  return state.leader ?? members[turn % members.length] ?? '';
}

function buildQuestion(state: ClientState, seq: number): DistributionMessage {
  const { id, zone, callerAddress, incarnation } = state.self;
  const revision = state.config?.revision ?? 0;
  if (findSelf(state) !== undefined) {
    return { kind: 'poll', seq, incarnation, revision, leaving: state.leaving, evidence: [] };
  }
  return { kind: 'join', seq, entryId: id, zone, callerAddress, incarnation, revision };
}

/** Forgets the leader if it stayed silent, or gave no lease for long. */
function withTarget(state: ClientState): ClientState {
  const isFutile = state.futile >= MAX_FUTILE;
  if (!state.unanswered && !isFutile) return state;
  return {
    ...state,
    leader: undefined,
    turn: state.turn + 1,
    futile: isFutile ? 0 : state.futile,
  };
}

function sendPoll(before: ClientState, now: Instant): ClientTransition {
  const state = withTarget(before);
  const seq = state.seq + 1;
  const wait = isClientFresh(state, now) ? ANSWER_TIMEOUT : URGENT_POLL_INTERVAL;
  return {
    state: {
      ...state,
      seq,
      unanswered: true,
      futile: state.futile + 1,
      pending: [...state.pending, { seq, sentAt: now }].slice(-MAX_PENDING),
      nextPollAt: now + wait,
    },
    effects: [{ kind: 'send', to: getTarget(state), message: buildQuestion(state, seq) }],
  };
}

/** Extends the lease to what the answered poll allows; it never gets shorter. */
function withLease(state: ClientState, seq: number, now: Instant): ClientState {
  const poll = state.pending.find((pending) => pending.seq === seq);
  if (poll === undefined) return state;
  checkInvariant(poll.sentAt <= now, 'a poll was answered before it was sent');
  const leaseEnd = Math.max(state.leaseEnd ?? -Infinity, poll.sentAt + LEASE);
  checkInvariant(leaseEnd <= now + LEASE, 'a lease outlasts its length');
  const pending = state.pending.filter((other) => other.seq > seq);
  const interval = getPollInterval(state.config?.roster.members.length ?? 0);
  return { ...state, leaseEnd, pending, futile: 0, nextPollAt: poll.sentAt + interval };
}

function handleGrant(state: ClientState, grant: Grant, now: Instant): ClientTransition {
  const isOwn = state.config?.revision === grant.revision;
  return { state: isOwn ? withLease(state, grant.seq, now) : state, effects: [] };
}

/** Takes a newer configuration, and asks at once so that the answer confirms it. */
function handleUpdate(state: ClientState, update: Update, now: Instant): ClientTransition {
  const isAnswer = state.pending.some(({ seq }) => seq === update.seq);
  const isConfirmed = update.granted && isAnswer;
  if (state.config === undefined && !isConfirmed) return { state, effects: [] };
  const known = state.config?.revision ?? 0;
  if (update.delta.revision < known) return { state, effects: [] };
  const config =
    update.delta.revision === known ? state.config : applyDelta(state.config, update.delta);
  if (config === undefined) return { state: { ...state, nextPollAt: now }, effects: [] };
  checkInvariant(config.revision >= known, `revision fell from ${known} to ${config.revision}`);
  const held = { ...state, config };
  const leased = isConfirmed ? withLease(held, update.seq, now) : held;
  if (config.revision === known && state.config !== undefined)
    return { state: leased, effects: [] };
  const asked = sendPoll(leased, now);
  return { state: asked.state, effects: [{ kind: 'configChanged', config }, ...asked.effects] };
}

/** Turns to the leader that a member names, with the next tick if it had not known it. */
function handleRedirect(
  state: ClientState,
  from: Address,
  redirect: Redirect,
  now: Instant,
): ClientTransition {
  const { leader } = redirect;
  if (leader === undefined) {
    const next = { ...state, leader: undefined, turn: state.turn + 1 };
    return { state: next, effects: [] };
  }
  if (leader === from || leader === state.leader) {
    return { state: { ...state, leader }, effects: [] };
  }
  return { state: { ...state, leader, nextPollAt: now }, effects: [] };
}

function handleMessage(
  state: ClientState,
  from: Address,
  message: DistributionMessage,
  now: Instant,
): ClientTransition {
  const heard: ClientState = { ...state, unanswered: false };
  switch (message.kind) {
    case 'grant':
      return handleGrant({ ...heard, leader: from }, message, now);
    case 'update':
      return handleUpdate({ ...heard, leader: from }, message, now);
    case 'redirect':
      return handleRedirect(heard, from, message, now);
    case 'poll':
    case 'join':
      return { state, effects: [] };
  }
}

/**
 * Decides what an entry does about one event.
 *
 * @example
 * const { state, effects } = decideClient(before, { kind: 'ticked', now: performance.now() });
 */
export function decideClient(state: ClientState, event: ClientEvent): ClientTransition {
  switch (event.kind) {
    case 'ticked':
      return event.now < state.nextPollAt ? { state, effects: [] } : sendPoll(state, event.now);
    case 'leaveAsked':
      return sendPoll({ ...state, leaving: true }, event.now);
    case 'received':
      return handleMessage(state, event.from, event.message, event.now);
  }
}
