/**
 * Finds requests that crash every upstream that runs them, by fingerprint. Invariant: a fingerprint is
 * quarantined only if it was in flight on several crashed upstreams, no request with it has succeeded
 * since, and other fingerprints don't explain the same crashes better. So requests that were merely in flight
 * at the same time aren't quarantined with it, and neither are those of upstreams that crash for another reason.
 */
import type { Duration, Instant } from '../model/index.js';

/** A crash suspicion: a request was in flight on an upstream that seems to have crashed. */
export interface Suspicion {
  readonly fingerprint: string;
  readonly upstreamId: string;
  readonly incarnation: number;
  /**
   * Whether the upstream refused connections right afterwards. A lost connection alone is no proof of a
   * crash.
   */
  readonly ended?: boolean;
  readonly at: Instant;
}

/** A clearance: a request with a suspected fingerprint succeeded. */
export interface Clearance {
  readonly fingerprint: string;
  readonly at: Instant;
}

/** What an earlier verdict on a fingerprint means now. */
export type Standing =
  | 'none'
  /** The fingerprint is quarantined: it explains the crashes in which it was in flight. */
  | 'quarantined'
  /** Its quarantine has ended by time, so that one more crash is enough. */
  | 'released';

/** Options of {@link findQuarantined}. */
export interface QuarantineOptions {
  /** Number of crashed upstream incarnations from which a fingerprint is quarantined. */
  readonly crashThreshold: number;
  /** Time in milliseconds after which a crash no longer counts. */
  readonly window: Duration;
  /**
   * Returns whether that incarnation of the upstream has certainly ended. A lost connection alone is no
   * proof of a crash.
   */
  readonly hasCrashed: (upstreamId: string, incarnation: number) => boolean;
  /** Returns the standing of a fingerprint; without it, none has any. */
  readonly getStanding?: (fingerprint: string) => Standing;
}

/** Default limits of {@link QuarantineOptions}; `window` is in milliseconds. */
export const defaultQuarantineLimits = { crashThreshold: 3, window: 60_000 } as const;

/**
 * Maximum number of further crashes that a fingerprint needs while upstreams crash without it, so that a request
 * that crashes upstreams can't go on beside such a failure.
 */
const MAX_EXTRA_CRASHES = 2;
/** Milliseconds before the first crash of a fingerprint from which other crashes count as coincident. */
const COINCIDENCE_TIME: Duration = 1000;

/** When each incarnation crashed, by `upstreamId#incarnation`. */
type Crashes = ReadonlyMap<string, Instant>;

interface Suspect {
  readonly fingerprint: string;
  readonly crashes: Crashes;
}

function getCrashKey({ upstreamId, incarnation }: Suspicion): string {
  return `${upstreamId}#${incarnation}`;
}

/** Returns the suspicions of upstreams that have certainly crashed within the window. */
function listConfirmed(
  suspicions: readonly Suspicion[],
  { window, hasCrashed }: QuarantineOptions,
  now: Instant,
): readonly Suspicion[] {
  return suspicions.filter(
    ({ ended, upstreamId, incarnation, at }) =>
      now - at <= window && (ended === true || hasCrashed(upstreamId, incarnation)),
  );
}

function buildSuspects(suspicions: readonly Suspicion[]): readonly Suspect[] {
  const groups = new Map<string, Map<string, Instant>>();
  suspicions.forEach((suspicion) => {
    const crashes = groups.get(suspicion.fingerprint) ?? new Map<string, Instant>();
    const key = getCrashKey(suspicion);
    crashes.set(key, Math.min(suspicion.at, crashes.get(key) ?? Infinity));
    groups.set(suspicion.fingerprint, crashes);
  });
  return [...groups].map(([fingerprint, crashes]) => ({ fingerprint, crashes }));
}

/** Returns the suspects without the crashes after which a request with the fingerprint succeeded. */
function listSuspects(
  confirmed: readonly Suspicion[],
  clearances: readonly Clearance[],
): readonly Suspect[] {
  const clearedAt = new Map<string, Instant>();
  clearances.forEach(({ fingerprint, at }) => {
    clearedAt.set(fingerprint, Math.max(at, clearedAt.get(fingerprint) ?? -Infinity));
  });
  return buildSuspects(
    confirmed.filter(({ fingerprint, at }) => at > (clearedAt.get(fingerprint) ?? -Infinity)),
  );
}

/** Counts the crashes in the time of a suspect's crashes in which no likely culprit was in flight. */
function countCoincident({ crashes }: Suspect, unexplained: Crashes): number {
  const times = [...crashes.values()];
  const from = Math.min(...times) - COINCIDENCE_TIME;
  const to = Math.max(...times);
  return [...unexplained.values()].filter((at) => at >= from && at <= to).length;
}

/** Returns the number of crashes from which each suspect that may be a culprit is quarantined. */
function computeThresholds(
  suspects: readonly Suspect[],
  confirmed: readonly Suspicion[],
  { crashThreshold, getStanding }: QuarantineOptions,
): ReadonlyMap<string, number> {
  const isLikely = ({ fingerprint, crashes }: Suspect): boolean =>
    crashes.size >= crashThreshold || (getStanding?.(fingerprint) ?? 'none') !== 'none';
  const likely = suspects.filter(isLikely);
  const explained = new Set(likely.flatMap(({ crashes }) => [...crashes.keys()]));
  const unexplained = new Map(
    confirmed
      .filter((suspicion) => !explained.has(getCrashKey(suspicion)))
      .map((suspicion) => [getCrashKey(suspicion), suspicion.at]),
  );
  return new Map(
    likely.map((suspect) => {
      const { fingerprint } = suspect;
      const extra = Math.min(MAX_EXTRA_CRASHES, countCoincident(suspect, unexplained));
      const isReleased = getStanding?.(fingerprint) === 'released';
      return [fingerprint, isReleased ? 1 : crashThreshold + extra];
    }),
  );
}

/** Returns the suspects without the crashes that the culprits explain. */
function removeExplained(
  suspects: readonly Suspect[],
  culprits: readonly Suspect[],
): readonly Suspect[] {
  const explained = new Set(culprits.flatMap(({ crashes }) => [...crashes.keys()]));
  return suspects
    .filter((suspect) => !culprits.includes(suspect))
    .map(({ fingerprint, crashes }) => ({
      fingerprint,
      crashes: new Map([...crashes].filter(([crash]) => !explained.has(crash))),
    }));
}

function hasAllCrashes({ crashes }: Suspect, of: Suspect): boolean {
  return [...of.crashes.keys()].every((crash) => crashes.has(crash));
}

/**
 * Returns the most suspected fingerprints that are to be quarantined next: one, or all of several that were in
 * flight at the same crashes if there is one crash more than needed. Chance alone hardly keeps two requests together for
 * so long.
 */
function findCulprits(
  suspects: readonly Suspect[],
  thresholds: ReadonlyMap<string, number>,
  countAll: (fingerprint: string) => number,
): readonly Suspect[] {
  const ranked = suspects
    .filter(({ fingerprint, crashes }) => crashes.size > 0 && thresholds.has(fingerprint))
    .sort((left, right) => right.crashes.size - left.crashes.size);
  const culprits = ranked.map((suspect) => {
    const threshold = thresholds.get(suspect.fingerprint) ?? Infinity;
    const isOverdue = countAll(suspect.fingerprint) > threshold;
    if (suspect.crashes.size < threshold && !isOverdue) return [];
    const rivals = suspects.filter((other) => other !== suspect && hasAllCrashes(other, suspect));
    if (rivals.length === 0) return [suspect];
    const areEqual = rivals.every(({ crashes }) => crashes.size === suspect.crashes.size);
    return areEqual && isOverdue ? [suspect, ...rivals] : [];
  });
  return culprits.find((found) => found.length > 0) ?? [];
}

/**
 * Returns the fingerprints to quarantine, whose calls are to be refused.
 *
 * @example
 * findQuarantined(suspicions, clearances, { ...defaultQuarantineLimits, hasCrashed }, now);
 */
export function findQuarantined(
  suspicions: readonly Suspicion[],
  clearances: readonly Clearance[],
  options: QuarantineOptions,
  now: Instant,
): readonly string[] {
  const confirmed = listConfirmed(suspicions, options, now);
  const all = listSuspects(confirmed, clearances);
  const thresholds = computeThresholds(all, confirmed, options);
  const counts = new Map(all.map(({ fingerprint, crashes }) => [fingerprint, crashes.size]));
  const countAll = (fingerprint: string): number => counts.get(fingerprint) ?? 0;
  const known = all.filter(
    ({ fingerprint }) => options.getStanding?.(fingerprint) === 'quarantined',
  );
  const quarantined: string[] = [];
  let suspects = removeExplained(all, known);
  let culprits = findCulprits(suspects, thresholds, countAll);
  while (culprits.length > 0) {
    quarantined.push(...culprits.map(({ fingerprint }) => fingerprint));
    suspects = removeExplained(suspects, culprits);
    culprits = findCulprits(suspects, thresholds, countAll);
  }
  return quarantined;
}
