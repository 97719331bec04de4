/**
 * Keeps what the fleet reported of requests that may crash upstreams. Invariant: a crash counts once for a
 * fingerprint, whatever number of entries report it, and nothing is kept beyond its time.
 */
import type { Duration, Instant } from '../model/index.js';
import { defaultQuarantineLimits, findQuarantined, type Suspicion } from '../routing/index.js';

/** Milliseconds for which a condemned fingerprint is refused. */
export const CONDEMNED_FOR: Duration = 600_000;
/** Reports that are kept; the oldest are forgotten first. */
const MAX_SUSPICIONS = 1000;

/** All reports that still count. */
export interface CondemnState {
  readonly suspicions: readonly Suspicion[];
  /** When a request with the fingerprint last ended well. */
  readonly clearedAt: ReadonlyMap<string, Instant>;
  readonly condemnedUntil: ReadonlyMap<string, Instant>;
}

/** No reports. */
export const emptyCondemnState: CondemnState = {
  suspicions: [],
  clearedAt: new Map(),
  condemnedUntil: new Map(),
};

/** Adds the report of a crash. */
export function addSuspicion(state: CondemnState, added: Suspicion): CondemnState {
  const isSame = ({ fingerprint, upstreamId, incarnation }: Suspicion): boolean =>
    fingerprint === added.fingerprint &&
    upstreamId === added.upstreamId &&
    incarnation === added.incarnation;
  const known = state.suspicions.find(isSame);
  if (known !== undefined && (known.ended === true || added.ended !== true)) return state;
  const others = state.suspicions.filter((suspicion) => !isSame(suspicion));
  return { ...state, suspicions: [...others, added].slice(-MAX_SUSPICIONS) };
}

/** Adds the report that a suspected request ended well; it lifts an earlier verdict. */
export function addClearance(state: CondemnState, fingerprint: string, at: Instant): CondemnState {
  const known = state.clearedAt.get(fingerprint) ?? -Infinity;
  if (!hasSuspect(state, fingerprint) || known >= at) return state;
  const clearedAt = new Map(state.clearedAt).set(fingerprint, at);
  const kept = [...state.condemnedUntil].filter(([key]) => key !== fingerprint);
  return { ...state, clearedAt, condemnedUntil: new Map(kept) };
}

/** Tells whether anything is held against a fingerprint. */
export function hasSuspect(state: CondemnState, fingerprint: string): boolean {
  return state.suspicions.some((suspicion) => suspicion.fingerprint === fingerprint);
}

/** Returns the fingerprints against which something is held. */
export function listSuspects(state: CondemnState): readonly string[] {
  return [...new Set(state.suspicions.map(({ fingerprint }) => fingerprint))];
}

/** Judges the reports by the rule of the routing decisions, and forgets those whose time is over. */
export function judgeSuspects(
  state: CondemnState,
  hasCrashed: (upstreamId: string, incarnation: number) => boolean,
  now: Instant,
): CondemnState {
  if (state.suspicions.length === 0 && state.condemnedUntil.size === 0) return state;
  const pruned = pruneReports(state, now);
  const clearances = [...pruned.clearedAt].map(([fingerprint, at]) => ({ fingerprint, at }));
  const options = { ...defaultQuarantineLimits, hasCrashed };
  const found = findQuarantined(pruned.suspicions, clearances, options, now).filter(
    (fingerprint) => !pruned.condemnedUntil.has(fingerprint),
  );
  if (found.length === 0) return pruned;
  const added = found.map((fingerprint) => [fingerprint, now + CONDEMNED_FOR] as const);
  return { ...pruned, condemnedUntil: new Map([...pruned.condemnedUntil, ...added]) };
}

function pruneReports(state: CondemnState, now: Instant): CondemnState {
  const { window } = defaultQuarantineLimits;
  const suspicions = state.suspicions.filter(({ at }) => now - at <= window);
  const condemnedUntil = [...state.condemnedUntil].filter(([, until]) => until > now);
  const clearedAt = [...state.clearedAt].filter(([, at]) => now - at <= window);
  const unchanged =
    suspicions.length === state.suspicions.length &&
    condemnedUntil.length === state.condemnedUntil.size &&
    clearedAt.length === state.clearedAt.size;
  if (unchanged) return state;
  return { suspicions, condemnedUntil: new Map(condemnedUntil), clearedAt: new Map(clearedAt) };
}
