/**
 * A control member's side of the lease protocol, pure. Invariant: a lease is granted only to an entry of
 * the agreed roster, on the newest revision, after a majority confirmed the leadership since the poll
 * arrived, and never once the entry's removal was proposed.
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
import { findSighting, listApplicants, planProposal } from './members.js';
import type {
  AgreedView,
  Applicant,
  BarredEntry,
  ServerEffect,
  ServerEvent,
  ServerState,
  Sighting,
  WaitingPoll,
} from './state.js';
import { PROPOSAL_DEADLINE, PROPOSAL_PAUSE, ROUND_INTERVAL } from './timing.js';

type ServerTransition = Transition<ServerState, ServerEffect>;

/** Configurations kept for deltas. */
const RECENT_CONFIGS = 32;
/** Entries that may ask to join at one time. */
const MAX_APPLICANTS = 128;
/** Polls that may wait for one round. */
const MAX_WAITING = 1024;

function buildUpdate(
  state: ServerState,
  known: number,
  seq: number,
  granted: boolean,
): DistributionMessage {
  const base = state.recent.find(({ revision }) => revision === known) ?? emptyConfig;
  return { kind: 'update', seq, granted, delta: computeDelta(base, state.view.config) };
}

/** Starts over as leader: leases of earlier leaders may be alive, confirmations are unknown. */
function startLeading(state: ServerState, now: Instant): ServerState {
  return {
    ...state,
    leading: true,
    since: now,
    leader: undefined,
    sightings: [],
    applicants: [],
    barred: [],
    waiting: [],
    round: undefined,
    rounds: state.rounds + 1,
    nextRoundAt: now,
    proposal: undefined,
    proposals: state.proposals + 1,
    nextProposalAt: now,
  };
}

/** Tells whether this incarnation of an entry is in the roster. */
function isMember(config: Config, { entryId, incarnation }: BarredEntry): boolean {
  return config.roster.members.some(
    (member) => member.id === entryId && member.incarnation === incarnation,
  );
}

function isSameEntry(one: BarredEntry, two: BarredEntry): boolean {
  return one.entryId === two.entryId && one.incarnation === two.incarnation;
}

/** Takes the newly agreed view and pushes it to the entries that are known to lack it. */
function handleApplied(state: ServerState, view: AgreedView): ServerTransition {
  const before = state.view.config.revision;
  const { revision, roster } = view.config;
  checkInvariant(revision >= before, `the agreed revision fell from ${before} to ${revision}`);
  const next: ServerState = {
    ...state,
    view,
    barred: state.barred.filter((barred) => isMember(view.config, barred)),
    recent:
      revision === before ? state.recent : [...state.recent, view.config].slice(-RECENT_CONFIGS),
  };
  if (!state.leading || revision === before) return { state: next, effects: [] };
  const effects = roster.members.flatMap((member): readonly ServerEffect[] => {
    const known = findSighting(next, member)?.revision;
    if (known === undefined || known >= revision) return [];
    return [{ kind: 'send', to: member.peerAddress, message: buildUpdate(next, known, 0, false) }];
  });
  return { state: next, effects };
}

function recordSighting(state: ServerState, sighting: Sighting): ServerState {
  const others = state.sightings.filter(({ entryId }) => entryId !== sighting.entryId);
  return { ...state, sightings: [...others, sighting] };
}

/** Notes what a member of the roster said and lets its poll wait for the next round. */
function addWaiting(state: ServerState, sighting: Sighting, poll: WaitingPoll): ServerState {
  const waiting = [...state.waiting, poll].slice(-MAX_WAITING);
  return { ...recordSighting(state, sighting), waiting };
}

function handlePoll(state: ServerState, from: string, poll: Poll, now: Instant): ServerTransition {
  const member = state.view.config.roster.members.find(
    ({ peerAddress, incarnation }) => peerAddress === from && incarnation === poll.incarnation,
  );
  if (member === undefined) {
    const message = buildUpdate(state, poll.revision, 0, false);
    return { state, effects: [{ kind: 'send', to: from, message }] };
  }
  const known = findSighting(state, member);
  const sighting: Sighting = {
    entryId: member.id,
    incarnation: member.incarnation,
    revision: Math.max(known?.revision ?? 0, poll.revision),
    grantedAt: known?.grantedAt,
    leaving: poll.leaving,
  };
  const { seq, revision, incarnation } = poll;
  const waiting: WaitingPoll = {
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
  return { state: addWaiting(state, sighting, waiting), effects };
}

/** Keeps the newest applicant of an id, and lets the lease of its earlier incarnation run out. */
function recordApplicant(state: ServerState, applicant: Applicant, now: Instant): ServerState {
  const { id, incarnation } = applicant.member;
  const applicants = listApplicants(state, now);
  const known = applicants.find(({ member }) => member.id === id);
  if (known !== undefined && known.member.incarnation > incarnation) return state;
  const others = applicants.filter((other) => other !== known);
  const replaced = state.view.config.roster.members
    .filter((member) => member.id === id && member.incarnation < incarnation)
    .map((member): BarredEntry => ({ entryId: id, incarnation: member.incarnation }))
    .filter((entry) => !state.barred.some((other) => isSameEntry(other, entry)));
  const barred = [...state.barred, ...replaced];
  return { ...state, barred, applicants: [...others, applicant].slice(-MAX_APPLICANTS) };
}

/** Notes that an entry wants to join; one that is in the roster by now is treated as a poll. */
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
  const applicant: Applicant = {
    member: {
      id: entryId,
      zone,
      peerAddress: from,
      callerAddress,
      incarnation,
      phase: 'joining',
    },
    askedAt: now,
  };
  const message: DistributionMessage = { kind: 'redirect', seq, leader: state.self };
  const noted = recordApplicant(state, applicant, now);
  return { state: noted, effects: [{ kind: 'send', to: from, message }] };
}

function handleQuestion(
  state: ServerState,
  from: string,
  question: Poll | Join,
  now: Instant,
): ServerTransition {
  if (!state.leading) {
    const { leader } = state;
    const message: DistributionMessage = {
      kind: 'redirect',
      seq: question.seq,
      ...(leader === undefined ? {} : { leader }),
    };
    return { state, effects: [{ kind: 'send', to: from, message }] };
  }
  return question.kind === 'poll'
    ? handlePoll(state, from, question, now)
    : handleJoin(state, from, question, now);
}

/** Grants one poll of a confirmed round a lease, unless the entry lapsed or is being removed. */
function grantPoll(before: ServerTransition, poll: WaitingPoll): ServerTransition {
  const { state, effects } = before;
  const { config } = state.view;
  const sighting = state.sightings.find((other) => isSameEntry(other, poll));
  const isBarred = state.barred.some((other) => isSameEntry(other, poll));
  if (sighting === undefined || isBarred || !isMember(config, poll)) return before;
  if (poll.revision > config.revision) return before;
  checkInvariant(poll.arrivedAt >= state.since, 'a lease was granted for another term');
  const message: DistributionMessage =
    poll.revision === config.revision
      ? { kind: 'grant', seq: poll.seq, revision: config.revision }
      : buildUpdate(state, poll.revision, poll.seq, true);
  const grantedAt = Math.max(sighting.grantedAt ?? -Infinity, poll.arrivedAt);
  return {
    state: recordSighting(state, { ...sighting, grantedAt }),
    effects: [...effects, { kind: 'send', to: poll.from, message }],
  };
}

function handleRoundEnd(state: ServerState, round: number, led: boolean): ServerTransition {
  if (round !== state.rounds) return { state, effects: [] };
  const polls = state.round ?? [];
  const ended: ServerState = { ...state, round: undefined };
  if (!led || !state.leading) return { state: ended, effects: [] };
  return polls.reduce(grantPoll, { state: ended, effects: [] });
}

function startRound(state: ServerState, now: Instant): ServerTransition {
  const isDue = state.round === undefined && state.waiting.length > 0 && now >= state.nextRoundAt;
  if (!state.leading || !isDue) return { state, effects: [] };
  const rounds = state.rounds + 1;
  const next: ServerState = {
    ...state,
    round: state.waiting,
    rounds,
    waiting: [],
    nextRoundAt: now + ROUND_INTERVAL,
  };
  return { state: next, effects: [{ kind: 'confirmLeadership', round: rounds }] };
}

/** Makes the next proposal, and bars an entry from leases before its removal is proposed. */
function startProposal(state: ServerState, now: Instant): ServerTransition {
  const isDue = state.proposal === undefined && now >= state.nextProposalAt;
  if (!state.leading || !isDue) return { state, effects: [] };
  const body = planProposal(state, now);
  if (body === undefined) return { state, effects: [] };
  const barred = body.kind === 'lapseEntry' ? [...state.barred, body] : state.barred;
  const proposals = state.proposals + 1;
  const next: ServerState = { ...state, barred, proposals, proposal: { body, madeAt: now } };
  return { state: next, effects: [{ kind: 'propose', proposal: proposals, body }] };
}

function decideEvent(state: ServerState, event: ServerEvent): ServerTransition {
  switch (event.kind) {
    case 'led':
      return { state: startLeading(state, event.now), effects: [] };
    case 'followed':
      return { state: { ...state, leading: false, leader: event.leader }, effects: [] };
    case 'applied':
      return handleApplied(state, event.view);
    case 'asked':
      return handleQuestion(state, event.from, event.question, event.now);
    case 'roundEnded':
      return handleRoundEnd(state, event.round, event.led);
    case 'proposalEnded': {
      if (event.proposal !== state.proposals) return { state, effects: [] };
      const nextProposalAt = event.accepted ? event.now : event.now + PROPOSAL_PAUSE;
      return { state: { ...state, proposal: undefined, nextProposalAt }, effects: [] };
    }
    case 'ticked': {
      const { proposal } = state;
      const isOverdue = proposal !== undefined && event.now > proposal.madeAt + PROPOSAL_DEADLINE;
      return { state: isOverdue ? { ...state, proposal: undefined } : state, effects: [] };
    }
  }
}

/**
 * Decides what a control member does about one event.
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

/** Returns the configuration that this member knows to be agreed. */
export function getAgreedConfig(state: ServerState): Config {
  return state.view.config;
}
