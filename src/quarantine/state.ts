/**
 * Stores the fleet's evidence of requests that may crash upstreams, and decides which fingerprints are
 * quarantined. Invariant: a crash counts once for a fingerprint, however many processes report it, and every
 * report and every verdict expires.
 */
import type { Duration, Instant } from '../model/index.js';
import { generateRandom, hashText } from '../routing/index.js';
import { defaultQuarantineLimits, findQuarantined, type Standing, type Suspicion } from './rule.js';

/**
 * Milliseconds of the first quarantine of a fingerprint. It is short, as one more request shows whether the verdict is
 * right; one that isn't costs a caller little.
 */
const FIRST_PAUSE: Duration = 1000;
/** Ratio of the next quarantine to the last one while upstreams crash for other reasons too. */
const PAUSE_GROWTH = 2;
/** Milliseconds of the next quarantine on certain evidence. */
export const FIRST_QUARANTINE: Duration = 60_000;
/** Ratio of the next quarantine on certain evidence to the last one, as each release may cost one more upstream. */
const QUARANTINE_GROWTH = 4;
/** Maximum milliseconds of a quarantine. */
const MAX_QUARANTINE: Duration = 3_600_000;
/**
 * Milliseconds over which the processes of a fleet release a fingerprint, so that few of them send a request before
 * the first one's crash is known.
 */
const RELEASE_SPREAD: Duration = 1500;
/** Milliseconds after the end of a quarantine for which one crash is enough for the next one. */
const RELEASED_TIME: Duration = 3_600_000;
/** Maximum number of crash reports that are kept; the oldest are dropped first. */
export const MAX_SUSPICIONS = 1000;
/** Maximum number of verdicts that are kept; the oldest are dropped first. */
const MAX_VERDICTS = 256;

/** A decision that requests with a fingerprint are refused until an instant. */
export interface Verdict {
  /** When the last of the crashes happened on which the decision rests; a later success lifts it. */
  readonly at: Instant;
  readonly until: Instant;
  /** The number of verdicts on the fingerprint in a row, from 1 on. */
  readonly count: number;
  /** How long the quarantine takes in milliseconds. */
  readonly duration: Duration;
}

/** Crash suspicions, clearances and verdicts that have not expired. */
export interface QuarantineState {
  readonly suspicions: readonly Suspicion[];
  /** When a request with the fingerprint last succeeded. */
  readonly clearedAt: ReadonlyMap<string, Instant>;
  /** The verdicts by fingerprint, also those whose quarantine has ended lately. */
  readonly verdicts: ReadonlyMap<string, Verdict>;
}

export const emptyQuarantineState: QuarantineState = {
  suspicions: [],
  clearedAt: new Map(),
  verdicts: new Map(),
};

/**
 * Returns the fingerprints whose next success matters: those under a verdict, and those that have not succeeded since
 * their last crash.
 */
export function listOpenFingerprints({
  suspicions,
  clearedAt,
  verdicts,
}: QuarantineState): readonly string[] {
  const open = suspicions
    .filter(({ fingerprint, at }) => at > (clearedAt.get(fingerprint) ?? -Infinity))
    .map(({ fingerprint }) => fingerprint);
  return [...new Set([...open, ...verdicts.keys()])];
}

function computeDuration(
  previous: Verdict | undefined,
  isCertain: boolean,
  firstDuration: Duration,
): Duration {
  if (previous === undefined) return firstDuration;
  const { duration } = previous;
  if (!isCertain) return Math.min(MAX_QUARANTINE, duration * PAUSE_GROWTH);
  if (duration < FIRST_QUARANTINE) return FIRST_QUARANTINE;
  return Math.min(MAX_QUARANTINE, duration * QUARANTINE_GROWTH);
}

function createVerdict(
  previous: Verdict | undefined,
  isCertain: boolean,
  firstDuration: Duration,
  at: Instant,
  now: Instant,
): Verdict {
  const duration = computeDuration(previous, isCertain, firstDuration);
  return { at, until: now + duration, count: (previous?.count ?? 0) + 1, duration };
}

/**
 * Adds the report of a crash. A crash that is already known is replaced only by a report that the upstream
 * has ended.
 */
export function addSuspicion(state: QuarantineState, added: Suspicion): QuarantineState {
  const isSame = ({ fingerprint, upstreamId, incarnation }: Suspicion): boolean =>
    fingerprint === added.fingerprint &&
    upstreamId === added.upstreamId &&
    incarnation === added.incarnation;
  const known = state.suspicions.find(isSame);
  if (known !== undefined && (known.ended === true || added.ended !== true)) return state;
  const others = state.suspicions.filter((suspicion) => !isSame(suspicion));
  return { ...state, suspicions: [...others, added].slice(-MAX_SUSPICIONS) };
}

/** Adds the report that a suspected request succeeded, which lifts an existing quarantine. */
export function addClearance(
  state: QuarantineState,
  fingerprint: string,
  at: Instant,
): QuarantineState {
  const known = state.clearedAt.get(fingerprint) ?? -Infinity;
  const verdict = state.verdicts.get(fingerprint);
  const isOpen = hasSuspicion(state, fingerprint) || verdict !== undefined;
  if (!isOpen || known >= at) return state;
  const clearedAt = new Map(state.clearedAt).set(fingerprint, at);
  if (verdict === undefined || verdict.at > at) return { ...state, clearedAt };
  const verdicts = [...state.verdicts].filter(([key]) => key !== fingerprint);
  return { ...state, clearedAt, verdicts: new Map(verdicts) };
}

/** Adds a verdict of another process, unless the request succeeded since or a longer one is known. */
export function addVerdict(
  state: QuarantineState,
  fingerprint: string,
  added: Verdict,
): QuarantineState {
  const known = state.verdicts.get(fingerprint);
  const isCleared = (state.clearedAt.get(fingerprint) ?? -Infinity) >= added.at;
  if (isCleared || (known !== undefined && known.count >= added.count)) return state;
  const verdicts = [...state.verdicts].filter(([key]) => key !== fingerprint);
  return {
    ...state,
    verdicts: new Map([...verdicts, [fingerprint, added] as const].slice(-MAX_VERDICTS)),
  };
}

/** Returns whether any crash counts against a fingerprint. */
export function hasSuspicion(state: QuarantineState, fingerprint: string): boolean {
  return state.suspicions.some((suspicion) => suspicion.fingerprint === fingerprint);
}

/** Returns the fingerprints that have at least one crash suspicion. */
export function listSuspectedFingerprints(state: QuarantineState): readonly string[] {
  return [...new Set(state.suspicions.map(({ fingerprint }) => fingerprint))];
}

function getStanding(verdict: Verdict | undefined, now: Instant): Standing {
  if (verdict === undefined) return { kind: 'none' };
  const { until, duration } = verdict;
  if (until <= now) return { kind: 'released', at: until };
  return duration < FIRST_QUARANTINE ? { kind: 'none' } : { kind: 'quarantined' };
}

/**
 * Drops expired evidence and quarantines fingerprints by {@link findQuarantined}. The first quarantine of a fingerprint is
 * short only for processes that try one request at a time after it.
 */
export function updateQuarantine(
  state: QuarantineState,
  hasCrashed: (upstreamId: string, incarnation: number) => boolean,
  now: Instant,
  firstDuration: Duration = FIRST_PAUSE,
): QuarantineState {
  if (state.suspicions.length === 0 && state.verdicts.size === 0) return state;
  const pruned = pruneExpired(state, now);
  const clearances = [...pruned.clearedAt].map(([fingerprint, at]) => ({ fingerprint, at }));
  const options = {
    ...defaultQuarantineLimits,
    hasCrashed,
    getStanding: (fingerprint: string) => getStanding(pruned.verdicts.get(fingerprint), now),
  };
  return findQuarantined(pruned.suspicions, clearances, options, now)
    .filter(({ fingerprint }) => (pruned.verdicts.get(fingerprint)?.until ?? -Infinity) <= now)
    .reduce((next, { fingerprint, isCertain }) => {
      const crashes = pruned.suspicions.filter((known) => known.fingerprint === fingerprint);
      const at = Math.max(...crashes.map((suspicion) => suspicion.at));
      const verdict = createVerdict(
        next.verdicts.get(fingerprint),
        isCertain,
        firstDuration,
        at,
        now,
      );
      return addVerdict(next, fingerprint, verdict);
    }, pruned);
}

/**
 * Returns when a process may serve a request with the fingerprint again. Processes with different ids differ, so that
 * few of them try at the same time.
 *
 * @example
 * computeRelease(verdict, 'q83vEjRW', 'gateway-3') // up to 1.5 s after verdict.until
 */
export function computeRelease({ until }: Verdict, fingerprint: string, self: string): Instant {
  return until + generateRandom(hashText(fingerprint) / 2 ** 32, hashText(self)) * RELEASE_SPREAD;
}

function pruneExpired(state: QuarantineState, now: Instant): QuarantineState {
  const { window } = defaultQuarantineLimits;
  const suspicions = state.suspicions.filter(({ at }) => now - at <= window);
  const verdicts = [...state.verdicts].filter(([, { until }]) => until + RELEASED_TIME > now);
  const clearedAt = [...state.clearedAt].filter(([, at]) => now - at <= window);
  const unchanged =
    suspicions.length === state.suspicions.length &&
    verdicts.length === state.verdicts.size &&
    clearedAt.length === state.clearedAt.size;
  if (unchanged) return state;
  return { suspicions, verdicts: new Map(verdicts), clearedAt: new Map(clearedAt) };
}
