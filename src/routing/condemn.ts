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
export interface CondemnOptions {
  /** Crashed upstreams that condemn a fingerprint. */
  readonly victims: number;
  /** Milliseconds after which a crash no longer counts. */
  readonly window: Duration;
  /** Whether that incarnation of the upstream certainly ended; a lost connection alone is no crash. */
  readonly hasCrashed: (upstreamId: string, incarnation: number) => boolean;
}

/** Crashes that count against a fingerprint. */
type Victims = ReadonlyMap<string, ReadonlySet<string>>;

/** Crashed upstreams after which a request is refused, and for how long a crash counts. */
export const defaultCondemnLimits = { victims: 3, window: 60_000 } as const;

function listVictims(
  suspicions: readonly Suspicion[],
  clearances: readonly Clearance[],
  options: CondemnOptions,
  now: Instant,
): Victims {
  const victims = new Map<string, Set<string>>();
  suspicions.forEach(({ fingerprint, upstreamId, incarnation, ended, at }) => {
    const cleared = clearances.some(
      (clearance) => clearance.fingerprint === fingerprint && clearance.at >= at,
    );
    const crashed = ended === true || options.hasCrashed(upstreamId, incarnation);
    const counts = now - at <= options.window && crashed;
    if (cleared || !counts) return;
    const known = victims.get(fingerprint) ?? new Set();
    victims.set(fingerprint, known.add(`${upstreamId}#${incarnation}`));
  });
  return victims;
}

/** Returns the victims that the condemned fingerprint doesn't explain. */
function removeExplained(victims: Victims, condemned: string): Victims {
  const explained = victims.get(condemned) ?? new Set();
  return new Map(
    [...victims]
      .filter(([fingerprint]) => fingerprint !== condemned)
      .map(([fingerprint, known]) => [
        fingerprint,
        new Set([...known].filter((victim) => !explained.has(victim))),
      ]),
  );
}

/** Returns a fingerprint with enough victims that no other one explains as well. */
function findWorst(victims: Victims, least: number): string | undefined {
  const ranked = [...victims].sort(([, left], [, right]) => right.size - left.size);
  return ranked.find(([fingerprint, known]) => {
    if (known.size < least) return false;
    return !ranked.some(
      ([other, others]) =>
        other !== fingerprint && [...known].every((victim) => others.has(victim)),
    );
  })?.[0];
}

/**
 * Returns the fingerprints that are to be refused.
 *
 * @example
 * findCondemned(suspicions, clearances, { ...defaultCondemnLimits, hasCrashed }, now);
 */
export function findCondemned(
  suspicions: readonly Suspicion[],
  clearances: readonly Clearance[],
  options: CondemnOptions,
  now: Instant,
): readonly string[] {
  const condemned: string[] = [];
  let victims = listVictims(suspicions, clearances, options, now);
  let worst = findWorst(victims, options.victims);
  while (worst !== undefined) {
    condemned.push(worst);
    victims = removeExplained(victims, worst);
    worst = findWorst(victims, options.victims);
  }
  return condemned;
}
