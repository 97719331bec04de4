/**
 * Pure state machine of a control member's side of the lease protocol. Invariant: a lease is granted only
 * to an entry of the committed roster, for the newest revision, after a majority has confirmed the
 * leadership since the poll arrived, and never after the entry's removal was proposed.
 */
import {
  checkInvariant,
  emptyConfig,
  type Config,
  type Instant,
  type Transition,
} from '../model/index.js';
import type { DistributionMessage, Join, Poll } from './codec.js';
import { computeDelta } from './delta.js';
import { findLease, listJoinRequests, planProposal } from './members.js';
import type {
  CommittedView,
  FencedEntry,
  JoinRequest,
  LeaseRecord,
  ServerEffect,
  ServerEvent,
  ServerState,
  WaitingPoll,
} from './state.js';
import { PROPOSAL_DEADLINE, PROPOSAL_PAUSE, ROUND_INTERVAL } from './timing.js';

type ServerTransition = Transition<ServerState, ServerEffect>;

/** Number of recent configurations kept as bases for deltas. */
const MAX_RECENT_CONFIGS = 32;
/** Maximum number of open join requests; the oldest are dropped. */
const MAX_JOIN_REQUESTS = 128;
/** Maximum number of polls that wait for the next round; the oldest are dropped. */
const MAX_WAITING_POLLS = 1024;

function buildUpdate(
  state: ServerState,
  known: number,
  seq: number,
  granted: boolean,
): DistributionMessage {
  const base = state.recentConfigs.find(({ revision }) => revision === known) ?? emptyConfig;
  return { kind: 'update', seq, granted, delta: computeDelta(base, state.view.config) };
}

/** Resets the leader's state: leases of earlier leaders may still be valid, confirmations are unknown. */
function startLeading(state: ServerState, now: Instant): ServerState {
  return {
    ...state,
    isLeader: true,
    leaderSince: now,
    leader: undefined,
    leaseRecords: [],
    joinRequests: [],
    fencedEntries: [],
    waitingPolls: [],
    roundPolls: undefined,
    lastRound: state.lastRound + 1,
    nextRoundAt: now,
    proposal: undefined,
    lastProposal: state.lastProposal + 1,
    nextProposalAt: now,
  };
}

/** Returns whether this incarnation of an entry is in the roster. */
function isMember(config: Config, { entryId, incarnation }: FencedEntry): boolean {
  return config.roster.members.some(
    (member) => member.id === entryId && member.incarnation === incarnation,
  );
}

function isSameEntry(one: FencedEntry, two: FencedEntry): boolean {
  return one.entryId === two.entryId && one.incarnation === two.incarnation;
}

/** Applies a newly committed view, and pushes it to the entries known to apply an earlier revision. */
function handleApplied(state: ServerState, view: CommittedView): ServerTransition {
  const before = state.view.config.revision;
  const { revision, roster } = view.config;
  checkInvariant(
    revision >= before,
    `the committed revision decreased from ${before} to ${revision}`,
  );
  const next: ServerState = {
    ...state,
    view,
    fencedEntries: state.fencedEntries.filter((fenced) => isMember(view.config, fenced)),
    recentConfigs:
      revision === before
        ? state.recentConfigs
        : [...state.recentConfigs, view.config].slice(-MAX_RECENT_CONFIGS),
  };
  if (!state.isLeader || revision === before) return { state: next, effects: [] };
  const effects = roster.members.flatMap((member): readonly ServerEffect[] => {
    const known = findLease(next, member)?.revision;
    if (known === undefined || known >= revision) return [];
    return [{ kind: 'send', to: member.peerAddress, message: buildUpdate(next, known, 0, false) }];
  });
  return { state: next, effects };
}

function recordLease(state: ServerState, lease: LeaseRecord): ServerState {
  const others = state.leaseRecords.filter(({ entryId }) => entryId !== lease.entryId);
  return { ...state, leaseRecords: [...others, lease] };
}

/** Records what a poll reports, and queues the poll for the next round. */
function addWaitingPoll(state: ServerState, lease: LeaseRecord, poll: WaitingPoll): ServerState {
  const waitingPolls = [...state.waitingPolls, poll].slice(-MAX_WAITING_POLLS);
  return { ...recordLease(state, lease), waitingPolls };
}

function handlePoll(state: ServerState, from: string, poll: Poll, now: Instant): ServerTransition {
  const member = state.view.config.roster.members.find(
    ({ peerAddress, incarnation }) => peerAddress === from && incarnation === poll.incarnation,
  );
  if (member === undefined) {
    const message = buildUpdate(state, poll.revision, 0, false);
    return { state, effects: [{ kind: 'send', to: from, message }] };
  }
  const known = findLease(state, member);
  const lease: LeaseRecord = {
    entryId: member.id,
    incarnation: member.incarnation,
    revision: Math.max(known?.revision ?? 0, poll.revision),
    grantedAt: known?.grantedAt,
    leaving: poll.leaving,
  };
  const { seq, revision, incarnation } = poll;
  const waitingPoll: WaitingPoll = {
    entryId: member.id,
    incarnation,
    from,
    seq,
    revision,
    arrivedAt: now,
  };
  const effects: readonly ServerEffect[] =
    poll.evidence.length === 0
      ? []
      : [{ kind: 'evidence', entryId: member.id, rows: poll.evidence }];
  return { state: addWaitingPoll(state, lease, waitingPoll), effects };
}

/**
 * Keeps the join request of an id's newest incarnation, and fences earlier incarnations in the roster so
 * that their leases expire.
 */
function recordJoinRequest(
  state: ServerState,
  joinRequest: JoinRequest,
  now: Instant,
): ServerState {
  const { id, incarnation } = joinRequest.member;
  const joinRequests = listJoinRequests(state, now);
  const known = joinRequests.find(({ member }) => member.id === id);
  if (known !== undefined && known.member.incarnation > incarnation) return state;
  const others = joinRequests.filter((other) => other !== known);
  const replaced = state.view.config.roster.members
    .filter((member) => member.id === id && member.incarnation < incarnation)
    .map((member): FencedEntry => ({ entryId: id, incarnation: member.incarnation }))
    .filter((entry) => !state.fencedEntries.some((other) => isSameEntry(other, entry)));
  const fencedEntries = [...state.fencedEntries, ...replaced];
  return {
    ...state,
    fencedEntries,
    joinRequests: [...others, joinRequest].slice(-MAX_JOIN_REQUESTS),
  };
}

/** Records a join request; if the entry is in the roster by now, handles the request as a poll. */
function handleJoin(state: ServerState, from: string, join: Join, now: Instant): ServerTransition {
  const { seq, entryId, zone, callerAddress, incarnation, revision } = join;
  const member = state.view.config.roster.members.find(
    (other) => other.id === entryId && other.incarnation === incarnation,
  );
  if (member?.peerAddress === from) {
    const poll: Poll = {
      kind: 'poll',
      seq,
      incarnation,
      revision,
      leaving: false,
      evidence: [],
    };
    return handlePoll(state, from, poll, now);
  }
  const joinRequest: JoinRequest = {
    member: {
      id: entryId,
      zone,
      peerAddress: from,
      callerAddress,
      incarnation,
      phase: 'joining',
    },
    receivedAt: now,
  };
  const message: DistributionMessage = { kind: 'redirect', seq, leader: state.self };
  const recorded = recordJoinRequest(state, joinRequest, now);
  return { state: recorded, effects: [{ kind: 'send', to: from, message }] };
}

function handleRequest(
  state: ServerState,
  from: string,
  request: Poll | Join,
  now: Instant,
): ServerTransition {
  if (!state.isLeader) {
    const { leader } = state;
    const message: DistributionMessage = {
      kind: 'redirect',
      seq: request.seq,
      ...(leader === undefined ? {} : { leader }),
    };
    return { state, effects: [{ kind: 'send', to: from, message }] };
  }
  return request.kind === 'poll'
    ? handlePoll(state, from, request, now)
    : handleJoin(state, from, request, now);
}

/**
 * Grants a lease for one poll of a confirmed round, unless the entry was removed from the roster or is
 * fenced.
 */
function grantPoll(before: ServerTransition, poll: WaitingPoll): ServerTransition {
  const { state, effects } = before;
  const { config } = state.view;
  const lease = state.leaseRecords.find((other) => isSameEntry(other, poll));
  const isFenced = state.fencedEntries.some((other) => isSameEntry(other, poll));
  if (lease === undefined || isFenced || !isMember(config, poll)) return before;
  if (poll.revision > config.revision) return before;
  checkInvariant(
    poll.arrivedAt >= state.leaderSince,
    `poll ${poll.seq} of entry ${poll.entryId} arrived before this leadership began`,
  );
  const message: DistributionMessage =
    poll.revision === config.revision
      ? { kind: 'grant', seq: poll.seq, revision: config.revision }
      : buildUpdate(state, poll.revision, poll.seq, true);
  const grantedAt = Math.max(lease.grantedAt ?? -Infinity, poll.arrivedAt);
  return {
    state: recordLease(state, { ...lease, grantedAt }),
    effects: [...effects, { kind: 'send', to: poll.from, message }],
  };
}

function handleRoundEnd(state: ServerState, round: number, led: boolean): ServerTransition {
  if (round !== state.lastRound) return { state, effects: [] };
  const polls = state.roundPolls ?? [];
  const ended: ServerState = { ...state, roundPolls: undefined };
  if (!led || !state.isLeader) return { state: ended, effects: [] };
  return polls.reduce(grantPoll, { state: ended, effects: [] });
}

function startRound(state: ServerState, now: Instant): ServerTransition {
  const isDue =
    state.roundPolls === undefined && state.waitingPolls.length > 0 && now >= state.nextRoundAt;
  if (!state.isLeader || !isDue) return { state, effects: [] };
  const round = state.lastRound + 1;
  const next: ServerState = {
    ...state,
    roundPolls: state.waitingPolls,
    lastRound: round,
    waitingPolls: [],
    nextRoundAt: now + ROUND_INTERVAL,
  };
  return { state: next, effects: [{ kind: 'confirmLeadership', round }] };
}

/** Makes the next proposal, and fences an entry before its removal is proposed. */
function startProposal(state: ServerState, now: Instant): ServerTransition {
  const isDue = state.proposal === undefined && now >= state.nextProposalAt;
  if (!state.isLeader || !isDue) return { state, effects: [] };
  const body = planProposal(state, now);
  if (body === undefined) return { state, effects: [] };
  const fencedEntries =
    body.kind === 'lapseEntry' ? [...state.fencedEntries, body] : state.fencedEntries;
  const proposal = state.lastProposal + 1;
  const next: ServerState = {
    ...state,
    fencedEntries,
    lastProposal: proposal,
    proposal: { body, proposedAt: now },
  };
  return { state: next, effects: [{ kind: 'propose', proposal, body }] };
}

function decideEvent(state: ServerState, event: ServerEvent): ServerTransition {
  switch (event.kind) {
    case 'led':
      return { state: startLeading(state, event.now), effects: [] };
    case 'followed':
      return { state: { ...state, isLeader: false, leader: event.leader }, effects: [] };
    case 'applied':
      return handleApplied(state, event.view);
    case 'asked':
      return handleRequest(state, event.from, event.request, event.now);
    case 'roundEnded':
      return handleRoundEnd(state, event.round, event.led);
    case 'proposalEnded': {
      if (event.proposal !== state.lastProposal) return { state, effects: [] };
      const nextProposalAt = event.accepted ? event.now : event.now + PROPOSAL_PAUSE;
      return { state: { ...state, proposal: undefined, nextProposalAt }, effects: [] };
    }
    case 'ticked': {
      const { proposal } = state;
      const isOverdue =
        proposal !== undefined && event.now > proposal.proposedAt + PROPOSAL_DEADLINE;
      return { state: isOverdue ? { ...state, proposal: undefined } : state, effects: [] };
    }
  }
}

/**
 * Computes the next state and the side effects for one event, including a round or proposal that is due.
 *
 * @example
 * const { state, effects } = decideServer(before, { kind: 'ticked', now: performance.now() });
 */
export function decideServer(before: ServerState, event: ServerEvent): ServerTransition {
  const decided = decideEvent(before, event);
  const round = startRound(decided.state, event.now);
  const proposal = startProposal(round.state, event.now);
  return {
    state: proposal.state,
    effects: [...decided.effects, ...round.effects, ...proposal.effects],
  };
}

/** Returns the newest configuration that this member knows to be committed. */
export function getCommittedConfig(state: ServerState): Config {
  return state.view.config;
}
