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
import { getPollInterval, LEASE, RESPONSE_TIMEOUT, URGENT_POLL_INTERVAL } from './timing.js';

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
  readonly memberIndex: number;
  /** Whether the last poll has no answer yet. */
  readonly hasUnansweredPoll: boolean;
  /** Polls in a row that were not granted a lease. */
  readonly pollsWithoutLease: number;
  readonly seq: number;
  readonly pendingPolls: readonly PendingPoll[];
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
const MAX_PENDING_POLLS = 8;
/** Polls without a lease after which a member that calls itself leader is no longer believed. */
const MAX_POLLS_WITHOUT_LEASE = 8;

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
    memberIndex: 0,
    hasUnansweredPoll: false,
    pollsWithoutLease: 0,
    seq: 0,
    pendingPolls: [],
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
  const isLeaseValid = state.leaseEnd !== undefined && now < state.leaseEnd;
  return isLeaseValid && findSelf(state) !== undefined;
}

function getTarget(state: ClientState): Address {
  const { members, memberIndex } = state;
  return state.leader ?? members[memberIndex % members.length] ?? '';
}

function buildRequest(state: ClientState, seq: number): DistributionMessage {
  const { id, zone, callerAddress, incarnation } = state.self;
  const revision = state.config?.revision ?? 0;
  if (findSelf(state) !== undefined) {
    return { kind: 'poll', seq, incarnation, revision, leaving: state.leaving, evidence: [] };
  }
  return { kind: 'join', seq, entryId: id, zone, callerAddress, incarnation, revision };
}

/** Forgets the leader if it stayed silent, or gave no lease for long. */
function dropUnresponsiveLeader(state: ClientState): ClientState {
  const isWithoutLease = state.pollsWithoutLease >= MAX_POLLS_WITHOUT_LEASE;
  if (!state.hasUnansweredPoll && !isWithoutLease) return state;
  return {
    ...state,
    leader: undefined,
    memberIndex: state.memberIndex + 1,
    pollsWithoutLease: isWithoutLease ? 0 : state.pollsWithoutLease,
  };
}

function sendPoll(before: ClientState, now: Instant): ClientTransition {
  const state = dropUnresponsiveLeader(before);
  const seq = state.seq + 1;
  const wait = isClientFresh(state, now) ? RESPONSE_TIMEOUT : URGENT_POLL_INTERVAL;
  return {
    state: {
      ...state,
      seq,
      hasUnansweredPoll: true,
      pollsWithoutLease: state.pollsWithoutLease + 1,
      pendingPolls: [...state.pendingPolls, { seq, sentAt: now }].slice(-MAX_PENDING_POLLS),
      nextPollAt: now + wait,
    },
    effects: [{ kind: 'send', to: getTarget(state), message: buildRequest(state, seq) }],
  };
}

/** Extends the lease to what the answered poll allows; it never gets shorter. */
function renewLease(state: ClientState, seq: number, now: Instant): ClientState {
  const poll = state.pendingPolls.find((other) => other.seq === seq);
  if (poll === undefined) return state;
  checkInvariant(poll.sentAt <= now, 'a poll was answered before it was sent');
  const leaseEnd = Math.max(state.leaseEnd ?? -Infinity, poll.sentAt + LEASE);
  checkInvariant(leaseEnd <= now + LEASE, 'a lease outlasts its length');
  const pendingPolls = state.pendingPolls.filter((other) => other.seq > seq);
  const interval = getPollInterval(state.config?.roster.members.length ?? 0);
  return {
    ...state,
    leaseEnd,
    pendingPolls,
    pollsWithoutLease: 0,
    nextPollAt: poll.sentAt + interval,
  };
}

function handleGrant(state: ClientState, grant: Grant, now: Instant): ClientTransition {
  const isOwn = state.config?.revision === grant.revision;
  return { state: isOwn ? renewLease(state, grant.seq, now) : state, effects: [] };
}

/** Takes a newer configuration, and asks at once so that the answer confirms it. */
function handleUpdate(state: ClientState, update: Update, now: Instant): ClientTransition {
  const isAnswer = state.pendingPolls.some(({ seq }) => seq === update.seq);
  const isConfirmed = update.granted && isAnswer;
  if (state.config === undefined && !isConfirmed) return { state, effects: [] };
  const knownRevision = state.config?.revision ?? 0;
  if (update.delta.revision < knownRevision) return { state, effects: [] };
  const config =
    update.delta.revision === knownRevision ? state.config : applyDelta(state.config, update.delta);
  if (config === undefined) return { state: { ...state, nextPollAt: now }, effects: [] };
  checkInvariant(
    config.revision >= knownRevision,
    `revision fell from ${knownRevision} to ${config.revision}`,
  );
  const adopted = { ...state, config };
  const leased = isConfirmed ? renewLease(adopted, update.seq, now) : adopted;
  if (config.revision === knownRevision && state.config !== undefined)
    return { state: leased, effects: [] };
  const polled = sendPoll(leased, now);
  return { state: polled.state, effects: [{ kind: 'configChanged', config }, ...polled.effects] };
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
    const next = { ...state, leader: undefined, memberIndex: state.memberIndex + 1 };
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
  const answered: ClientState = { ...state, hasUnansweredPoll: false };
  switch (message.kind) {
    case 'grant':
      return handleGrant({ ...answered, leader: from }, message, now);
    case 'update':
      return handleUpdate({ ...answered, leader: from }, message, now);
    case 'redirect':
      return handleRedirect(answered, from, message, now);
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
