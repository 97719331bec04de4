/**
 * Decides which control member a process follows and whom it asks for the members. Invariant: while the state is old,
 * every known member, every seed and a few other followers are asked, so that one answering process that knows the group
 * is enough; and no list is dropped for an older one.
 */
import { parseAddress, type Address, type Duration, type Instant } from '../model/index.js';
import { hashText } from '../routing/index.js';

/** Milliseconds without a good answer after which another control member is followed. */
const ANSWER_TIMEOUT: Duration = 700;
/**
 * Milliseconds without a good answer after which another member is polled besides, so that one that has to be connected
 * to anew is reachable when the process begins to follow it.
 */
const SECOND_POLL_TIMEOUT: Duration = 350;
/** Milliseconds for which a member that was given up isn't preferred for being in the own zone. */
const GIVEN_UP_TIME: Duration = 5000;
/** Interval in milliseconds at which other processes are asked for the members while the state is old. */
const FIND_INTERVAL: Duration = 500;
/** Number of other followers that are asked at a time, so that a large site's followers don't flood each other. */
const FIND_FOLLOWERS = 3;
/** Interval in milliseconds at which the preferred member is polled while another one is followed. */
const PREFERRED_INTERVAL: Duration = 3000;
/** Milliseconds for which a good answer makes a member the next one to follow. */
const GOOD_TIME: Duration = 1500;
/** Milliseconds for which an address that answered, or was named while the state was old, may be followed. */
const HINT_TIME: Duration = 10_000;
/** Number of such addresses that are kept, the latest ones. */
const MAX_HINTS = 16;

/** What is known about the control members. */
export interface SourcesState {
  /** Id of this process, which spreads processes over the members. */
  readonly self: string;
  readonly seeds: readonly Address[];
  /** The members of the group; none before the first answer that names them. */
  readonly members: readonly Address[];
  /** Log index of the membership in {@link members}. */
  readonly membersIndex: number;
  readonly followed: Address;
  readonly followedSince: Instant;
  /** When the followed member last answered with a fresh state. */
  readonly goodAt: Instant;
  readonly isLost: boolean;
  readonly givenUpAt: ReadonlyMap<Address, Instant>;
  /** When each control member last answered with a fresh state. */
  readonly answeredAt: ReadonlyMap<Address, Instant>;
  /** Addresses outside the list that may be control members, and when they were last named or answered. */
  readonly hints: ReadonlyMap<Address, Instant>;
  /** Hosts of the live entries in the own zone, on which members of that zone run too. */
  readonly zoneHosts: ReadonlySet<string>;
  readonly findDue: Instant;
  /** When the preferred member is polled next, if another one is followed. */
  readonly preferredDue: Instant;
}

/** An answer of another process about the group. */
export interface SourceAnswer {
  readonly from: Address;
  /** Whether the sender may be followed: it stores the catalog. */
  readonly isMember: boolean;
  /** Whether it belongs to a group with a leader, and its state is fresh. */
  readonly isGood: boolean;
  readonly members: readonly Address[];
  readonly membersIndex: number;
}

/** Events, with the time. */
export type SourcesEvent = { readonly now: Instant } & (
  | {
      readonly kind: 'polled';
      /** Whether the state is old. */
      readonly isOld: boolean;
      /** Other processes that follow the group. */
      readonly followers: readonly Address[];
      /** Returns a number that is at least 0 and less than 1. */
      readonly random: () => number;
    }
  | { readonly kind: 'answered'; readonly answer: SourceAnswer }
  | { readonly kind: 'seedsRead'; readonly seeds: readonly Address[] }
  | { readonly kind: 'zoneLearned'; readonly hosts: ReadonlySet<string> }
);

/** What the shell does, in order. */
export type SourcesEffect =
  | { readonly kind: 'poll'; readonly member: Address; readonly isFollowed: boolean }
  | { readonly kind: 'find'; readonly address: Address }
  | { readonly kind: 'report'; readonly state: 'lost' | 'regained'; readonly member: Address };

/** A new state, and what to do. */
export interface SourcesStep {
  readonly state: SourcesState;
  readonly effects: readonly SourcesEffect[];
}

/** Returns the state of a process that knows only the seeds. */
export function createSources(self: string, seeds: readonly Address[], now: Instant): SourcesState {
  const state: SourcesState = {
    ...{ self, seeds, members: [], membersIndex: -1, followed: '', followedSince: now },
    ...{ goodAt: now, isLost: true, givenUpAt: new Map(), answeredAt: new Map() },
    ...{ hints: new Map(), zoneHosts: new Set(), findDue: now },
    preferredDue: now + PREFERRED_INTERVAL,
  };
  return { ...state, followed: listCandidates(state, now)[0] ?? '' };
}

/**
 * Decides on an event.
 *
 * @example
 * const { state, effects } = decideSources(before, { kind: 'seedsRead', seeds: ['10.1.0.18:7200'], now });
 */
export function decideSources(state: SourcesState, event: SourcesEvent): SourcesStep {
  const { now } = event;
  switch (event.kind) {
    case 'polled':
      return runAll(
        state,
        (next) => checkFollowed(next, now),
        (next) => sendPolls(next, now),
        (next) => sendToPreferred(next, now),
        (next) => (event.isOld && now >= next.findDue ? findMembers(next, event) : toStep(next)),
      );
    case 'answered':
      return handleAnswer(state, event.answer, now);
    case 'seedsRead': {
      const read = { ...state, seeds: event.seeds, findDue: now };
      return read.followed === '' ? stepToNext(read, now) : toStep(read);
    }
    case 'zoneLearned': {
      const learned = { ...state, zoneHosts: event.hosts };
      const isNearKnown = learned.members.some((member) => isNear(learned, member, now));
      return isNearKnown && !isNear(learned, learned.followed, now)
        ? stepToPreferred(learned, now)
        : toStep(learned);
    }
  }
}

function toStep(state: SourcesState, ...effects: readonly SourcesEffect[]): SourcesStep {
  return { state, effects };
}

function runAll(
  state: SourcesState,
  ...steps: readonly ((state: SourcesState) => SourcesStep)[]
): SourcesStep {
  return steps.reduce<SourcesStep>((before, step) => {
    const after = step(before.state);
    return { state: after.state, effects: [...before.effects, ...after.effects] };
  }, toStep(state));
}

function getInstant(instants: ReadonlyMap<Address, Instant>, address: Address): Instant {
  return instants.get(address) ?? -Number.MAX_VALUE;
}

function isNear(state: SourcesState, member: Address, now: Instant): boolean {
  const isGivenUp = now - getInstant(state.givenUpAt, member) <= GIVEN_UP_TIME;
  return !isGivenUp && member !== '' && state.zoneHosts.has(parseAddress(member).host);
}

/**
 * Ranks all addresses that may be followed: first those of the own zone, as polls between zones are expensive, each
 * part in an order that depends on this process's id, which spreads processes over the members.
 */
function listCandidates(state: SourcesState, now: Instant): readonly Address[] {
  const hints = [...state.hints].filter(([, at]) => now - at <= HINT_TIME);
  const all = new Set([...state.members, ...state.seeds, ...hints.map(([address]) => address)]);
  const ranked = [...all]
    .map((member) => [hashText(`${state.self} ${member}`), member] as const)
    .sort(([one], [two]) => one - two)
    .map(([, member]) => member);
  return [true, false].flatMap((near) =>
    ranked.filter((member) => isNear(state, member, now) === near),
  );
}

/**
 * Returns a member that answered well just now, or else the one that was given up the longest ago, or never, so that
 * every member is tried in turn.
 */
function findNext(state: SourcesState, now: Instant): Address | undefined {
  const others = listCandidates(state, now).filter((member) => member !== state.followed);
  const isGood = (member: Address): boolean =>
    now - getInstant(state.answeredAt, member) <= GOOD_TIME;
  const [next] = [...others].sort(
    (one, two) =>
      Number(isGood(two)) - Number(isGood(one)) ||
      getInstant(state.givenUpAt, one) - getInstant(state.givenUpAt, two),
  );
  return next;
}

function computeSilence(state: SourcesState, now: Instant): Duration {
  return now - Math.max(state.goodAt, state.followedSince);
}

function withFollowed(state: SourcesState, member: Address, now: Instant): SourcesState {
  return { ...state, followed: member, followedSince: now };
}

function stepToNext(state: SourcesState, now: Instant): SourcesStep {
  const next = findNext(state, now) ?? state.followed;
  const givenUpAt = new Map([...state.givenUpAt, [state.followed, now] as const]);
  const moved = withFollowed({ ...state, isLost: true, givenUpAt }, next, now);
  return state.isLost || state.followed === ''
    ? toStep(moved)
    : toStep(moved, { kind: 'report', state: 'lost', member: state.followed });
}

function checkFollowed(state: SourcesState, now: Instant): SourcesStep {
  return computeSilence(state, now) > ANSWER_TIMEOUT ? stepToNext(state, now) : toStep(state);
}

function sendPolls(state: SourcesState, now: Instant): SourcesStep {
  const { followed } = state;
  const first: readonly SourcesEffect[] =
    followed === '' ? [] : [{ kind: 'poll', member: followed, isFollowed: true }];
  const isSilent = computeSilence(state, now) > SECOND_POLL_TIMEOUT;
  const next = isSilent ? findNext(state, now) : undefined;
  if (next === undefined) return toStep(state, ...first);
  return toStep(state, ...first, { kind: 'poll', member: next, isFollowed: false });
}

function findMembers(
  state: SourcesState,
  { followers, random, now }: Extract<SourcesEvent, { kind: 'polled' }>,
): SourcesStep {
  const drawn =
    followers.length <= FIND_FOLLOWERS
      ? followers
      : Array.from(
          { length: FIND_FOLLOWERS },
          () => followers[Math.floor(random() * followers.length)],
        );
  const asked = new Set([...state.members, ...state.seeds, ...drawn]);
  const effects = [...asked]
    .filter((address) => address !== undefined)
    .map((address) => ({ kind: 'find', address }) as const);
  return toStep({ ...state, findDue: now + FIND_INTERVAL }, ...effects);
}

function handleAnswer(state: SourcesState, answer: SourceAnswer, now: Instant): SourcesStep {
  return runAll(
    state,
    (next) => toStep(recordHints(next, answer, now)),
    (next) => updateMembers(next, answer, now),
    (next) => judgeSender(next, answer, now),
  );
}

/** Records the sender, and while no member answers well also the members that it names. */
function recordHints(state: SourcesState, answer: SourceAnswer, now: Instant): SourcesState {
  const { from, isMember, isGood, members } = answer;
  const named = [...(isMember ? [from] : []), ...(state.isLost ? members : [])];
  if (named.length === 0) return state;
  const kept = [...state.hints].filter(
    ([address, at]) => now - at <= HINT_TIME && !named.includes(address),
  );
  const hints = [...kept, ...named.map((address) => [address, now] as const)].slice(-MAX_HINTS);
  const isGoodMember = isMember && isGood;
  const good = [...state.answeredAt].filter(([, at]) => now - at <= GOOD_TIME);
  const answeredAt = new Map(isGoodMember ? [...good, [from, now] as const] : good);
  return { ...state, hints: new Map(hints), answeredAt };
}

/**
 * Takes a newer list from any sender, and switches to the preferred member, so that not all processes keep following
 * the seeds. A group that was founded anew has lower indexes: its list is taken from a good answer while none is good.
 */
function updateMembers(state: SourcesState, answer: SourceAnswer, now: Instant): SourcesStep {
  const { members, membersIndex, isGood } = answer;
  const isNewer = membersIndex > state.membersIndex || (isGood && state.isLost);
  if (members.length === 0 || !isNewer) return toStep(state);
  const updated = { ...state, members, membersIndex };
  if (members.join() === state.members.join()) return toStep(updated);
  const step = stepToPreferred(updated, now);
  // The preferred member may be gone and only not removed yet; the first answer makes the state current.
  const polls = state.isLost
    ? members
        .filter((member) => !state.members.includes(member) && member !== step.state.followed)
        .map((member) => ({ kind: 'poll' as const, member, isFollowed: false }))
    : [];
  return toStep(step.state, ...step.effects, ...polls);
}

/** Returns the member to follow if all answer, unless it was given up just now. */
function findPreferred(state: SourcesState, now: Instant): Address | undefined {
  return listCandidates(state, now).find(
    (member) =>
      state.members.includes(member) && now - getInstant(state.givenUpAt, member) > GIVEN_UP_TIME,
  );
}

/**
 * Polls the preferred member now and then while another one is followed: after a time without a leader, most processes
 * follow the member that answered first.
 */
function sendToPreferred(state: SourcesState, now: Instant): SourcesStep {
  if (now < state.preferredDue) return toStep(state);
  const next = { ...state, preferredDue: now + PREFERRED_INTERVAL };
  const preferred = findPreferred(state, now);
  if (preferred === undefined || preferred === state.followed || state.isLost) return toStep(next);
  return toStep(next, { kind: 'poll', member: preferred, isFollowed: false });
}

function stepToPreferred(state: SourcesState, now: Instant): SourcesStep {
  const preferred = findPreferred(state, now);
  if (preferred === undefined || preferred === state.followed) return toStep(state);
  return toStep(withFollowed(state, preferred, now), {
    ...{ kind: 'poll', member: preferred, isFollowed: true },
  });
}

function judgeSender(state: SourcesState, answer: SourceAnswer, now: Instant): SourcesStep {
  const { from, isMember, isGood } = answer;
  if (!isMember) return toStep(state);
  if (from !== state.followed) {
    const isSilent = state.isLost && computeSilence(state, now) > SECOND_POLL_TIMEOUT;
    const isPreferred = !state.isLost && from === findPreferred(state, now);
    if (!isGood || (!isSilent && !isPreferred)) return toStep(state);
    return toStep(withFollowed(state, from, now), { kind: 'poll', member: from, isFollowed: true });
  }
  if (!isGood) {
    // A member without a leader, or with an old state, may lag behind for as long as it is partitioned.
    return now - state.followedSince > ANSWER_TIMEOUT ? stepToNext(state, now) : toStep(state);
  }
  const good = { ...state, goodAt: now, isLost: false };
  return state.isLost
    ? toStep(good, { kind: 'report', state: 'regained', member: from })
    : toStep(good);
}
