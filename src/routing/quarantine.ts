/**
 * Finds requests that crash every upstream that runs them, by fingerprint. Invariant: a fingerprint is
 * quarantined only if it was in flight on several crashed upstreams, no request with it has succeeded
 * since, and no other fingerprint explains the same crashes. So requests that were merely in flight at the
 * same time aren't quarantined with it.
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
}

/** Crashes counted against each fingerprint, as `upstreamId#incarnation`. */
type CrashesByFingerprint = ReadonlyMap<string, ReadonlySet<string>>;

/** Default limits of {@link QuarantineOptions}; `window` is in milliseconds. */
export const defaultQuarantineLimits = { crashThreshold: 3, window: 60_000 } as const;

function listCrashes(
  suspicions: readonly Suspicion[],
  clearances: readonly Clearance[],
  options: QuarantineOptions,
  now: Instant,
): CrashesByFingerprint {
  const crashes = new Map<string, Set<string>>();
  suspicions.forEach(({ fingerprint, upstreamId, incarnation, ended, at }) => {
    const cleared = clearances.some(
      (clearance) => clearance.fingerprint === fingerprint && clearance.at >= at,
    );
    const crashed = ended === true || options.hasCrashed(upstreamId, incarnation);
    const counts = now - at <= options.window && crashed;
    if (cleared || !counts) return;
    const known = crashes.get(fingerprint) ?? new Set();
    crashes.set(fingerprint, known.add(`${upstreamId}#${incarnation}`));
  });
  return crashes;
}

/** Removes a quarantined fingerprint and the crashes that it explains. */
function removeExplainedCrashes(
  crashesByFingerprint: CrashesByFingerprint,
  quarantined: string,
): CrashesByFingerprint {
  const explained = crashesByFingerprint.get(quarantined) ?? new Set();
  return new Map(
    [...crashesByFingerprint]
      .filter(([fingerprint]) => fingerprint !== quarantined)
      .map(([fingerprint, crashes]) => [
        fingerprint,
        new Set([...crashes].filter((crash) => !explained.has(crash))),
      ]),
  );
}

/**
 * Returns the fingerprint with the most crashes that reaches the threshold and whose crashes aren't all
 * explained by another fingerprint too.
 */
function findMostSuspected(
  crashesByFingerprint: CrashesByFingerprint,
  threshold: number,
): string | undefined {
  const ranked = [...crashesByFingerprint].sort(([, left], [, right]) => right.size - left.size);
  return ranked.find(([fingerprint, crashes]) => {
    if (crashes.size < threshold) return false;
    return !ranked.some(
      ([other, otherCrashes]) =>
        other !== fingerprint && [...crashes].every((crash) => otherCrashes.has(crash)),
    );
  })?.[0];
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
  const quarantined: string[] = [];
  let crashes = listCrashes(suspicions, clearances, options, now);
  let mostSuspected = findMostSuspected(crashes, options.crashThreshold);
  while (mostSuspected !== undefined) {
    quarantined.push(mostSuspected);
    crashes = removeExplainedCrashes(crashes, mostSuspected);
    mostSuspected = findMostSuspected(crashes, options.crashThreshold);
  }
  return quarantined;
}
