/**
 * Finds requests that crash each upstream that runs them. Invariant: a fingerprint is condemned only after
 * crashes of {@link MIN_VICTIMS} different upstream processes within one window with no answer in between.
 */
import type { Duration, Instant } from '../model/index.js';

/** Crashed upstream processes after which a fingerprint is refused. */
export const MIN_VICTIMS = 3;
/** Milliseconds for which a crash counts against a fingerprint. */
export const VICTIM_WINDOW: Duration = 300_000;
/** Milliseconds for which a condemned fingerprint is refused. */
export const CONDEMNED_FOR: Duration = 600_000;
/** Milliseconds before the first crash in which an answer still acquits. */
export const ACQUITTAL_WINDOW: Duration = 10_000;
/** Fingerprints that are kept under suspicion; the oldest are forgotten first. */
const MAX_SUSPECTS = 1000;

/** What is held against one fingerprint. */
export interface Suspect {
  /** When each upstream process, named `id/incarnation`, crashed. */
  readonly victims: ReadonlyMap<string, Instant>;
  /** When a request with the fingerprint was last answered. */
  readonly answeredAt: Instant;
  readonly condemnedUntil: Instant;
}

/** Suspects by fingerprint. */
export type CondemnState = ReadonlyMap<string, Suspect>;

const noSuspect: Suspect = {
  victims: new Map(),
  answeredAt: -Infinity,
  condemnedUntil: -Infinity,
};

/** Counts the crashes that stand against a suspect at an instant. */
export function countVictims(suspect: Suspect, now: Instant): number {
  const from = Math.max(now - VICTIM_WINDOW, suspect.answeredAt);
  return [...suspect.victims.values()].filter((at) => at > from).length;
}

/** Adds a crash; the suspect is condemned once enough different processes crashed. */
export function addVictim(
  state: CondemnState,
  fingerprint: string,
  victim: string,
  at: Instant,
  now: Instant,
): CondemnState {
  const known = state.get(fingerprint) ?? noSuspect;
  if (known.victims.has(victim)) return state;
  const added = { ...known, victims: new Map([...known.victims, [victim, at]]) };
  const condemned = countVictims(added, now) >= MIN_VICTIMS;
  const condemnedUntil = condemned ? now + CONDEMNED_FOR : known.condemnedUntil;
  const next = new Map(state).set(fingerprint, { ...added, condemnedUntil });
  return next.size > MAX_SUSPECTS ? new Map([...next].slice(1)) : next;
}

/** Records an answer: earlier crashes no longer count, and a condemnation is lifted. */
export function addAnswer(state: CondemnState, fingerprint: string, at: Instant): CondemnState {
  const known = state.get(fingerprint);
  if (known === undefined || known.answeredAt >= at) return state;
  const lifted = { ...known, answeredAt: at, condemnedUntil: -Infinity };
  return new Map(state).set(fingerprint, lifted);
}

/** Forgets suspects against whom nothing stands any more. */
export function pruneSuspects(state: CondemnState, now: Instant): CondemnState {
  const kept = [...state].filter(
    ([, suspect]) =>
      suspect.condemnedUntil > now ||
      [...suspect.victims.values()].some((at) => at > now - VICTIM_WINDOW),
  );
  return kept.length === state.size ? state : new Map(kept);
}
