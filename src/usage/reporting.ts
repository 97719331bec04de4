/**
 * Decides what the leader does about usage: what it commits, when it takes the duty of reporting, and what it sends to
 * the platform. Invariant: it sends only sealed counts, with a token that a quorum has just confirmed as the latest and
 * its own, and never again with a token that the platform refused.
 */
import type { Duration, Instant } from '../model/index.js';
import {
  addDelivery,
  dropCommitted,
  emptyCollected,
  planRecord,
  type Collected,
} from './collect.js';
import type {
  ReportOutcome,
  UsageCommand,
  UsageDelivery,
  UsageReport,
  UsageState,
  UsageWindow,
} from './types.js';

/** Milliseconds between two commits of counts. */
const COMMIT_INTERVAL: Duration = 1000;
/** Milliseconds between two calls; the platform takes 50 a second from all sites together. */
const CALL_INTERVAL: Duration = 250;
/** Longest milliseconds between two calls or takings of the duty that fail: several fit into the time of a report. */
const MAX_CALL_INTERVAL: Duration = 1000;
/** Milliseconds for which a confirmation counts; a process that stood still confirms again. */
const CONFIRMATION_TIME: Duration = 1000;
/** Largest increase of the token, after refused ones: a platform that knows a far higher token is reached in few calls. */
const MAX_TOKEN_STEP = 2 ** 20;

/** Options of {@link createReporting}. */
export interface ReportingOptions {
  /** Id of the process's VM. */
  readonly self: string;
  readonly windowMs: Duration;
  /** Milliseconds for which a leader leads before it takes the duty. */
  readonly leaseMs: Duration;
  /** Whether this process knows the platform's address. */
  readonly canReport: boolean;
}

/** What the duty is waiting for; each wait has a number, so that a result of an earlier one is ignored. */
type DutyStep =
  | { readonly kind: 'idle' }
  | { readonly kind: 'taking'; readonly id: number }
  | { readonly kind: 'confirming'; readonly id: number; readonly askedAt: Instant }
  | { readonly kind: 'calling'; readonly id: number; readonly window: number };

/** The state of {@link decideReporting}. */
export interface ReportingState extends ReportingOptions {
  /** The term in which this member leads; undefined while it doesn't. */
  readonly term: number | undefined;
  readonly ledSince: Instant;
  readonly collected: Collected;
  readonly commitDue: Instant;
  /** Number of the commit of counts that runs. */
  readonly commitId: number | undefined;
  /** The token taken in this term; undefined before, and once it was refused. */
  readonly token: number | undefined;
  readonly tokenStep: number;
  readonly duty: DutyStep;
  readonly dutyDue: Instant;
  readonly delay: Duration;
  /** Windows that the platform accepted and that aren't committed as reported. */
  readonly accepted: readonly number[];
  readonly nextId: number;
  /** Reports that the platform refused because it knows a higher token. */
  readonly fenced: number;
}

/** Inputs of {@link decideReporting}; `usage` is the state that is applied here. */
export type ReportingEvent = { readonly now: Instant } & (
  | { readonly kind: 'delivered'; readonly delivery: UsageDelivery; readonly usage: UsageSnapshot }
  | {
      readonly kind: 'ticked';
      /** Unix time in milliseconds. */
      readonly wallNow: number;
      readonly term: number | undefined;
      readonly usage: UsageSnapshot;
    }
  | {
      readonly kind: 'committed';
      readonly id: number;
      readonly isApplied: boolean;
      readonly usage: UsageSnapshot;
    }
  /** The result of a quorum read; `isCurrent` is false if this member doesn't lead. */
  | {
      readonly kind: 'confirmed';
      readonly id: number;
      readonly isCurrent: boolean;
      readonly usage: UsageSnapshot;
    }
  | { readonly kind: 'answered'; readonly id: number; readonly outcome: ReportOutcome }
);

type UsageSnapshot = UsageState | undefined;

/** What the shell does; it returns the result with the same `id`. */
export type ReportingEffect =
  | { readonly kind: 'commit'; readonly id: number; readonly command: UsageCommand }
  | { readonly kind: 'confirm'; readonly id: number }
  | { readonly kind: 'send'; readonly id: number; readonly report: UsageReport };

/** The new state with the effects. */
export interface ReportingStep {
  readonly state: ReportingState;
  readonly effects: readonly ReportingEffect[];
}

/** Returns the state of a process that doesn't lead. */
export function createReporting(options: ReportingOptions): ReportingState {
  return {
    ...options,
    ...{ term: undefined, ledSince: 0, collected: emptyCollected, commitDue: 0 },
    ...{ commitId: undefined, token: undefined, tokenStep: 1, duty: { kind: 'idle' } },
    ...{ dutyDue: 0, delay: CALL_INTERVAL, accepted: [], nextId: 1, fenced: 0 },
  };
}

function toStep(state: ReportingState, ...effects: readonly ReportingEffect[]): ReportingStep {
  return { state, effects };
}

/** Forgets what an earlier term left; results that are still awaited are then ignored. */
function enterTerm(
  state: ReportingState,
  term: number | undefined,
  now: Instant,
  usage: UsageSnapshot,
): ReportingState {
  const { self, windowMs, leaseMs, canReport, nextId, fenced } = state;
  const fresh = createReporting({ self, windowMs, leaseMs, canReport });
  // What came right after the election is kept; the state tells what of it was committed.
  const collected = term === undefined ? emptyCollected : dropCommitted(state.collected, usage);
  return { ...fresh, term, nextId, fenced, collected, ledSince: now, commitDue: now };
}

function recordCounts(
  state: ReportingState,
  { now, wallNow, usage }: Extract<ReportingEvent, { kind: 'ticked' }>,
): ReportingStep {
  if (state.commitId !== undefined || now < state.commitDue) return toStep(state);
  const { windowMs, ledSince, nextId } = state;
  const reported = state.accepted.filter((window) =>
    usage?.windows.some((item) => item.window === window),
  );
  const situation = { usage, windowMs, now, wallNow, ledSince, reported };
  const command = planRecord(state.collected, situation);
  if (command === undefined) return toStep({ ...state, accepted: reported });
  return toStep(
    {
      ...{ ...state, accepted: reported, commitId: nextId, nextId: nextId + 1 },
      commitDue: now + COMMIT_INTERVAL,
    },
    { kind: 'commit', id: nextId, command },
  );
}

/** Returns the oldest window that is to be reported. */
function findReportable(
  { accepted }: ReportingState,
  usage: UsageSnapshot,
): UsageWindow | undefined {
  return usage?.windows.find(({ window, isSealed }) => isSealed && !accepted.includes(window));
}

function advanceDuty(state: ReportingState, now: Instant, usage: UsageSnapshot): ReportingStep {
  const { duty, ledSince, leaseMs, dutyDue, nextId } = state;
  const isDue = duty.kind === 'idle' && now - ledSince >= leaseMs && now >= dutyDue;
  if (!state.canReport || !isDue) return toStep(state);
  if (state.token === undefined) {
    // An open window will be reported, and the token is then ready.
    if (usage === undefined || usage.windows.length === 0) return toStep(state);
    const command = { kind: 'takeUsageDuty', holder: state.self, step: state.tokenStep } as const;
    return toStep(
      { ...state, duty: { kind: 'taking', id: nextId }, nextId: nextId + 1 },
      { kind: 'commit', id: nextId, command },
    );
  }
  if (findReportable(state, usage) === undefined) return toStep(state);
  return toStep(
    { ...state, duty: { kind: 'confirming', id: nextId, askedAt: now }, nextId: nextId + 1 },
    { kind: 'confirm', id: nextId },
  );
}

function handleTick(
  state: ReportingState,
  event: Extract<ReportingEvent, { kind: 'ticked' }>,
): ReportingStep {
  const { now, term, usage } = event;
  const current = state.term === term ? state : enterTerm(state, term, now, usage);
  if (term === undefined) return toStep({ ...current, collected: emptyCollected });
  const committing = recordCounts(current, event);
  const reporting = advanceDuty(committing.state, now, usage);
  return { state: reporting.state, effects: [...committing.effects, ...reporting.effects] };
}

/** Ends a step that failed, and waits longer before the next one. */
function waitLonger(state: ReportingState, now: Instant): ReportingState {
  const delay = Math.min(MAX_CALL_INTERVAL, state.delay * 2);
  return { ...state, duty: { kind: 'idle' }, dutyDue: now + state.delay, delay };
}

function handleCommit(
  state: ReportingState,
  { id, isApplied, usage, now }: Extract<ReportingEvent, { kind: 'committed' }>,
): ReportingStep {
  if (state.commitId === id) {
    const collected = dropCommitted(state.collected, usage);
    return toStep({ ...state, commitId: undefined, collected });
  }
  if (state.duty.kind !== 'taking' || state.duty.id !== id) return toStep(state);
  const isOwn = isApplied && usage?.holder === state.self;
  return toStep(
    isOwn
      ? { ...state, duty: { kind: 'idle' }, token: usage.token, dutyDue: now }
      : waitLonger(state, now),
  );
}

function handleConfirmation(
  state: ReportingState,
  { id, isCurrent, usage, now }: Extract<ReportingEvent, { kind: 'confirmed' }>,
): ReportingStep {
  const { duty, token, self, nextId } = state;
  if (duty.kind !== 'confirming' || duty.id !== id) return toStep(state);
  if (!isCurrent || now - duty.askedAt > CONFIRMATION_TIME) return toStep(waitLonger(state, now));
  if (token === undefined || usage?.holder !== self || usage.token !== token)
    return toStep({ ...waitLonger(state, now), token: undefined });
  const next = findReportable(state, usage);
  if (next === undefined) return toStep({ ...state, duty: { kind: 'idle' } });
  const { window, counts } = next;
  return toStep(
    { ...state, duty: { kind: 'calling', id: nextId, window }, nextId: nextId + 1 },
    { kind: 'send', id: nextId, report: { window, counts, token, holder: self } },
  );
}

function handleAnswer(
  state: ReportingState,
  { id, outcome, now }: Extract<ReportingEvent, { kind: 'answered' }>,
): ReportingStep {
  const { duty } = state;
  if (duty.kind !== 'calling' || duty.id !== id) return toStep(state);
  switch (outcome) {
    case 'accepted':
      return toStep({
        ...{ ...state, duty: { kind: 'idle' }, dutyDue: now + CALL_INTERVAL, tokenStep: 1 },
        ...{ delay: CALL_INTERVAL, accepted: [...state.accepted, duty.window] },
      });
    case 'fenced': {
      const tokenStep = Math.min(MAX_TOKEN_STEP, state.tokenStep * 2);
      const next = { ...waitLonger(state, now), token: undefined, tokenStep };
      return toStep({ ...next, fenced: state.fenced + 1 });
    }
    case 'failed':
      return toStep(waitLonger(state, now));
  }
}

/**
 * Decides on an event. Nothing but a delivery, a tick or a result changes the state.
 *
 * @example
 * const { state, effects } = decideReporting(before, { kind: 'ticked', now, wallNow, term: 3, usage });
 */
export function decideReporting(state: ReportingState, event: ReportingEvent): ReportingStep {
  switch (event.kind) {
    case 'delivered':
      return toStep({
        ...state,
        collected: addDelivery(state.collected, event.delivery, event.usage, event.now),
      });
    case 'ticked':
      return handleTick(state, event);
    case 'committed':
      return handleCommit(state, event);
    case 'confirmed':
      return handleConfirmation(state, event);
    case 'answered':
      return handleAnswer(state, event);
  }
}
