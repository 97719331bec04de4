/**
 * Finds the requests that crash each upstream that runs them. Invariant: a fingerprint is condemned only
 * if it was in flight on several crashed upstreams, never ended well since, and no other fingerprint
 * explains the same crashes; so what was in flight beside it isn't condemned with it.
 */
import type { Duration, Instant } from '../model/index.js';

/** A request was in flight on an upstream that seems to have crashed. */
export interface Suspicion {
  readonly fingerprint: string;
  readonly upstreamId: string;
  readonly incarnation: number;
  /** Whether nothing listened at the upstream right after; a lost connection alone is no crash. */
  readonly ended?: boolean;
  readonly at: Instant;
}

/** A request with a suspected fingerprint ended well. */
export interface Clearance {
  readonly fingerprint: string;
  readonly at: Instant;
}

/** Limits of the rule. */
export interface QuarantineOptions {
  /** Crashed upstreams that condemn a fingerprint. */
  readonly crashThreshold: number;
  /** Milliseconds after which a crash no longer counts. */
  readonly window: Duration;
  /** Whether that incarnation of the upstream certainly ended; a lost connection alone is no crash. */
  readonly hasCrashed: (upstreamId: string, incarnation: number) => boolean;
}

/** Crashes that count against a fingerprint. */
type CrashesByFingerprint = ReadonlyMap<string, ReadonlySet<string>>;

/** Crashed upstreams after which a request is refused, and for how long a crash counts. */
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

/** Returns the victims that the condemned fingerprint doesn't explain. */
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

/** Returns a fingerprint with enough victims that no other one explains as well. */
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
 * Returns the fingerprints that are to be refused.
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
