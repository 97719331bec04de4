/**
 * Stores the fleet's reports of requests that may crash upstreams and decides which fingerprints are
 * quarantined. Invariant: a crash counts once for a fingerprint, however many entries report it, and every
 * report expires.
 */
import type { Duration, Instant } from '../model/index.js';
import { defaultQuarantineLimits, findQuarantined, type Suspicion } from '../routing/index.js';

/** Milliseconds for which requests with a quarantined fingerprint are refused. */
export const QUARANTINE_DURATION: Duration = 600_000;
/** Maximum number of crash reports that are kept; the oldest are dropped first. */
const MAX_SUSPICIONS = 1000;

/** Crash suspicions, clearances and quarantined fingerprints that have not expired. */
export interface QuarantineState {
  readonly suspicions: readonly Suspicion[];
  /** When a request with the fingerprint last succeeded. */
  readonly clearedAt: ReadonlyMap<string, Instant>;
  /** When the quarantine of each fingerprint ends. */
  readonly quarantinedUntil: ReadonlyMap<string, Instant>;
}

export const emptyQuarantineState: QuarantineState = {
  suspicions: [],
  clearedAt: new Map(),
  quarantinedUntil: new Map(),
};

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
  if (!hasSuspicion(state, fingerprint) || known >= at) return state;
  const clearedAt = new Map(state.clearedAt).set(fingerprint, at);
  const kept = [...state.quarantinedUntil].filter(([key]) => key !== fingerprint);
  return { ...state, clearedAt, quarantinedUntil: new Map(kept) };
}

/** Returns whether any crash counts against a fingerprint. */
export function hasSuspicion(state: QuarantineState, fingerprint: string): boolean {
  return state.suspicions.some((suspicion) => suspicion.fingerprint === fingerprint);
}

/** Returns the fingerprints that have at least one crash suspicion. */
export function listSuspectedFingerprints(state: QuarantineState): readonly string[] {
  return [...new Set(state.suspicions.map(({ fingerprint }) => fingerprint))];
}

/** Drops expired reports and quarantines fingerprints by the same rule as the routing decisions. */
export function updateQuarantine(
  state: QuarantineState,
  hasCrashed: (upstreamId: string, incarnation: number) => boolean,
  now: Instant,
): QuarantineState {
  if (state.suspicions.length === 0 && state.quarantinedUntil.size === 0) return state;
  const pruned = pruneExpired(state, now);
  const clearances = [...pruned.clearedAt].map(([fingerprint, at]) => ({ fingerprint, at }));
  const options = { ...defaultQuarantineLimits, hasCrashed };
  const found = findQuarantined(pruned.suspicions, clearances, options, now).filter(
    (fingerprint) => !pruned.quarantinedUntil.has(fingerprint),
  );
  if (found.length === 0) return pruned;
  const added = found.map((fingerprint) => [fingerprint, now + QUARANTINE_DURATION] as const);
  return { ...pruned, quarantinedUntil: new Map([...pruned.quarantinedUntil, ...added]) };
}

function pruneExpired(state: QuarantineState, now: Instant): QuarantineState {
  const { window } = defaultQuarantineLimits;
  const suspicions = state.suspicions.filter(({ at }) => now - at <= window);
  const quarantinedUntil = [...state.quarantinedUntil].filter(([, until]) => until > now);
  const clearedAt = [...state.clearedAt].filter(([, at]) => now - at <= window);
  const unchanged =
    suspicions.length === state.suspicions.length &&
    quarantinedUntil.length === state.quarantinedUntil.size &&
    clearedAt.length === state.clearedAt.size;
  if (unchanged) return state;
  return { suspicions, quarantinedUntil: new Map(quarantinedUntil), clearedAt: new Map(clearedAt) };
}
