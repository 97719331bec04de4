/**
 * Pure state machine of an entry's side of the lease protocol. Invariant: the revision never decreases;
 * the first configuration after a start is accepted only from a leader that confirmed its leadership
 * after the entry's request; and a lease ends {@link LEASE} after the poll it was granted for was sent.
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

/** Identity that an entry presents when it joins the roster. */
export interface ClientIdentity {
  readonly id: EntryId;
  readonly zone: ZoneId;
  readonly callerAddress: Address;
  /** Increases with each start of the entry process. */
  readonly incarnation: number;
}

/** A poll whose response may still renew the lease. */
interface PendingPoll {
  readonly seq: number;
  readonly sentAt: Instant;
}

/** State of {@link decideClient}. */
export interface ClientState {
  readonly self: ClientIdentity;
  /** Configured addresses of control members, used while no leader is known. */
  readonly members: readonly Address[];
  readonly config: Config | undefined;
  /** Undefined before the first lease. */
  readonly leaseEnd: Instant | undefined;
  readonly leader: Address | undefined;
  /** Round-robin position in `members`, taken modulo its length. */
  readonly memberIndex: number;
  /** Whether no response arrived since the last poll was sent. */
  readonly hasUnansweredPoll: boolean;
  /** Consecutive polls that were not granted a lease. */
  readonly pollsWithoutLease: number;
  readonly seq: number;
  readonly pendingPolls: readonly PendingPoll[];
  readonly nextPollAt: Instant;
  readonly leaving: boolean;
}

/** Inputs of {@link decideClient}. */
export type ClientEvent =
  | { readonly kind: 'ticked'; readonly now: Instant }
  | { readonly kind: 'leaveAsked'; readonly now: Instant }
  | {
      readonly kind: 'received';
      readonly from: Address;
      readonly message: DistributionMessage;
      readonly now: Instant;
    };

/** Side effects that the shell (the I/O layer) performs. */
export type ClientEffect =
  | { readonly kind: 'send'; readonly to: Address; readonly message: DistributionMessage }
  | { readonly kind: 'configChanged'; readonly config: Config };

type ClientTransition = Transition<ClientState, ClientEffect>;

/** Number of recent polls whose responses are still accepted. */
const MAX_PENDING_POLLS = 8;
/** Consecutive polls without a lease after which the next control member is polled instead of the leader. */
const MAX_POLLS_WITHOUT_LEASE = 8;

/** Returns the state of an entry that has just started and has no configuration. */
export function createClientState(
  self: ClientIdentity,
  members: readonly Address[],
  now: Instant,
): ClientState {
  checkInvariant(members.length > 0, `entry ${self.id} has no address of a control member`);
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

/** Returns the roster member of this entry's current incarnation, if there is one. */
export function findSelf(state: ClientState): RosterMember | undefined {
  const { id, incarnation } = state.self;
  return state.config?.roster.members.find(
    (member) => member.id === id && member.incarnation === incarnation,
  );
}

/**
 * Returns whether the entry holds a valid lease and is in the roster. The result holds only at `now`:
 * check again after any pause, as the lease may have expired.
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

/** Moves on to the next member if the last poll got no response, or too many polls got no lease. */
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

/** Extends the lease to {@link LEASE} after the answered poll was sent; never shortens it. */
function renewLease(state: ClientState, seq: number, now: Instant): ClientState {
  const poll = state.pendingPolls.find((other) => other.seq === seq);
  if (poll === undefined) return state;
  checkInvariant(poll.sentAt <= now, `poll ${seq} was answered before it was sent`);
  const leaseEnd = Math.max(state.leaseEnd ?? -Infinity, poll.sentAt + LEASE);
  checkInvariant(
    leaseEnd <= now + LEASE,
    `the lease of entry ${state.self.id} is longer than ${LEASE} ms`,
  );
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

/** Applies a newer configuration, and polls at once so that the leader confirms it. */
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
    `revision decreased from ${knownRevision} to ${config.revision}`,
  );
  const adopted = { ...state, config };
  const leased = isConfirmed ? renewLease(adopted, update.seq, now) : adopted;
  if (config.revision === knownRevision && state.config !== undefined)
    return { state: leased, effects: [] };
  const polled = sendPoll(leased, now);
  return { state: polled.state, effects: [{ kind: 'configChanged', config }, ...polled.effects] };
}

/** Switches to the leader that a member names, and polls it on the next tick if it is a new one. */
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
 * Computes the next state and the side effects for one event.
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
