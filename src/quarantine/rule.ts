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

/** What earlier verdicts on a fingerprint mean now. */
export type Standing =
  | { readonly kind: 'none' }
  /** The fingerprint is quarantined on certain evidence: it explains the crashes in which it was in flight. */
  | { readonly kind: 'quarantined' }
  /** Its last quarantine ended at an instant, so that one crash since then is enough. */
  | { readonly kind: 'released'; readonly at: Instant };

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

/** A fingerprint to quarantine. */
export interface Finding {
  readonly fingerprint: string;
  /**
   * Whether no upstream crashed at the same time without any such request. While upstreams crash for another reason,
   * a request that is sent again and again may be there by chance.
   */
  readonly isCertain: boolean;
}

/** Default limits of {@link QuarantineOptions}; `window` is in milliseconds. */
export const defaultQuarantineLimits = { crashThreshold: 3, window: 60_000 } as const;

/** Milliseconds before the first crash of a fingerprint from which other crashes count as coincident. */
const COINCIDENCE_TIME: Duration = 1000;

/** When each incarnation crashed, by `upstreamId#incarnation`. */
type Crashes = ReadonlyMap<string, Instant>;

interface Suspect {
  readonly fingerprint: string;
  readonly standing: Standing;
  /** Number of crashes from which the fingerprint may be a culprit. */
  readonly threshold: number;
  readonly crashes: Crashes;
}

const NO_STANDING: Standing = { kind: 'none' };

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

function buildSuspect(
  fingerprint: string,
  crashes: Crashes,
  { crashThreshold, getStanding }: QuarantineOptions,
): Suspect {
  const standing = getStanding?.(fingerprint) ?? NO_STANDING;
  const threshold = standing.kind === 'released' ? 1 : crashThreshold;
  return { fingerprint, standing, threshold, crashes };
}

/** Returns the suspects without the crashes after which a request with the fingerprint succeeded. */
function listSuspects(
  confirmed: readonly Suspicion[],
  clearances: readonly Clearance[],
  options: QuarantineOptions,
): readonly Suspect[] {
  const clearedAt = new Map<string, Instant>();
  clearances.forEach(({ fingerprint, at }) => {
    clearedAt.set(fingerprint, Math.max(at, clearedAt.get(fingerprint) ?? -Infinity));
  });
  const groups = new Map<string, Map<string, Instant>>();
  confirmed
    .filter(({ fingerprint, at }) => at > (clearedAt.get(fingerprint) ?? -Infinity))
    .forEach((suspicion) => {
      const crashes = groups.get(suspicion.fingerprint) ?? new Map<string, Instant>();
      const key = getCrashKey(suspicion);
      crashes.set(key, Math.min(suspicion.at, crashes.get(key) ?? Infinity));
      groups.set(suspicion.fingerprint, crashes);
    });
  return [...groups].map(([fingerprint, crashes]) => buildSuspect(fingerprint, crashes, options));
}

/** Returns when the crashes happened that count against the suspect: after a release, only those since then. */
function listTimes({ standing, crashes }: Suspect): readonly Instant[] {
  const since = standing.kind === 'released' ? standing.at : -Infinity;
  return [...crashes.values()].filter((at) => at > since);
}

function isLikely(suspect: Suspect): boolean {
  return listTimes(suspect).length >= suspect.threshold;
}

/** Returns the crashes in which no likely culprit was in flight. */
function listUnexplained(suspects: readonly Suspect[], confirmed: readonly Suspicion[]): Crashes {
  const likely = suspects.filter(
    (suspect) => suspect.standing.kind !== 'none' || isLikely(suspect),
  );
  const explained = new Set(likely.flatMap(({ crashes }) => [...crashes.keys()]));
  return new Map(
    confirmed
      .map((suspicion) => [getCrashKey(suspicion), suspicion.at] as const)
      .filter(([crash]) => !explained.has(crash)),
  );
}

/** Returns whether an unexplained crash happened in the time of the suspect's crashes. */
function hasCoincidence(suspect: Suspect, unexplained: Crashes): boolean {
  const times = listTimes(suspect);
  const from = Math.min(...times) - COINCIDENCE_TIME;
  const to = Math.max(...times);
  return [...unexplained.values()].some((at) => at >= from && at <= to);
}

/** Asks for one crash more of a suspect without a verdict while upstreams crash for another reason. */
function addCoincidence(suspect: Suspect, unexplained: Crashes): Suspect {
  const isRaised = suspect.standing.kind === 'none' && hasCoincidence(suspect, unexplained);
  return isRaised ? { ...suspect, threshold: suspect.threshold + 1 } : suspect;
}

/** Returns the suspects without the crashes that the culprits explain. */
function removeExplained(
  suspects: readonly Suspect[],
  culprits: readonly Suspect[],
): readonly Suspect[] {
  const explained = new Set(culprits.flatMap(({ crashes }) => [...crashes.keys()]));
  return suspects
    .filter((suspect) => !culprits.includes(suspect))
    .map((suspect) => ({
      ...suspect,
      crashes: new Map([...suspect.crashes].filter(([crash]) => !explained.has(crash))),
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
  hasMoreThanNeeded: (suspect: Suspect) => boolean,
): readonly Suspect[] {
  const ranked = suspects
    .filter((suspect) => listTimes(suspect).length > 0)
    .sort((left, right) => right.crashes.size - left.crashes.size);
  const culprits = ranked.map((suspect) => {
    const isOverdue = hasMoreThanNeeded(suspect);
    if (!isLikely(suspect) && !isOverdue) return [];
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
): readonly Finding[] {
  const confirmed = listConfirmed(suspicions, options, now);
  const counted = listSuspects(confirmed, clearances, options);
  const unexplained = listUnexplained(counted, confirmed);
  const all = counted.map((suspect) => addCoincidence(suspect, unexplained));
  const byFingerprint = new Map(all.map((suspect) => [suspect.fingerprint, suspect]));
  const hasMoreThanNeeded = ({ fingerprint, threshold }: Suspect): boolean => {
    const suspect = byFingerprint.get(fingerprint);
    return suspect !== undefined && listTimes(suspect).length > threshold;
  };
  const known = all.filter(({ standing }) => standing.kind === 'quarantined');
  const findings: Finding[] = [];
  let suspects = removeExplained(all, known);
  let culprits = findCulprits(suspects, hasMoreThanNeeded);
  while (culprits.length > 0) {
    culprits.forEach(({ fingerprint }) => {
      const suspect = byFingerprint.get(fingerprint);
      const isCertain = suspect !== undefined && !hasCoincidence(suspect, unexplained);
      findings.push({ fingerprint, isCertain });
    });
    suspects = removeExplained(suspects, culprits);
    culprits = findCulprits(suspects, hasMoreThanNeeded);
  }
  return findings;
}
