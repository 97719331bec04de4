/**
 * Decides, for a process that exchanges evidence with others, which requests are refused and what to pass on.
 * Invariant: evidence that is already known has no effects, so that passing it on comes to an end.
 */
import type { Instant, Transition } from '../model/index.js';
import type { Suspicion } from './rule.js';
import {
  MAX_SUSPICIONS,
  addClearance,
  addSuspicion,
  addVerdict,
  updateQuarantine,
  type QuarantineState,
  type Verdict,
} from './state.js';

/** What one process tells another about a request that may crash upstreams. */
export type Evidence =
  /** An upstream crashed while a request with the fingerprint was in flight there. */
  | ({ readonly kind: 'crash' } & Omit<Suspicion, 'ended'>)
  /** A request with the fingerprint succeeded. */
  | { readonly kind: 'success'; readonly fingerprint: string; readonly at: Instant }
  | ({ readonly kind: 'verdict'; readonly fingerprint: string } & Verdict);

/** Inputs of {@link decideQuarantine}. */
export type QuarantineEvent =
  /** Evidence that this process found. */
  | { readonly kind: 'found'; readonly evidence: readonly Evidence[]; readonly now: Instant }
  /** Evidence from another process. */
  | { readonly kind: 'received'; readonly evidence: readonly Evidence[]; readonly now: Instant }
  | { readonly kind: 'ticked'; readonly now: Instant };

/** Outputs of {@link decideQuarantine}. */
export type QuarantineEffect =
  /** Requests with the fingerprint are refused from now on; `crashes` is the number of upstreams known to have crashed. */
  | {
      readonly kind: 'quarantine';
      readonly fingerprint: string;
      readonly until: Instant;
      readonly crashes: number;
    }
  /** A request with the fingerprint succeeded, so that it is no longer refused. */
  | { readonly kind: 'release'; readonly fingerprint: string }
  /** Evidence that other processes may not know. */
  | {
      readonly kind: 'share';
      readonly evidence: readonly Evidence[];
      readonly origin: 'own' | 'received';
    };

/** Returns the number of crashes that are known of a fingerprint. */
export function countCrashes({ suspicions }: QuarantineState, fingerprint: string): number {
  return suspicions.filter((suspicion) => suspicion.fingerprint === fingerprint).length;
}

function addEvidence(state: QuarantineState, evidence: Evidence): QuarantineState {
  switch (evidence.kind) {
    case 'crash': {
      const { fingerprint, upstreamId, incarnation, at } = evidence;
      return addSuspicion(state, { fingerprint, upstreamId, incarnation, ended: true, at });
    }
    case 'success':
      return addClearance(state, evidence.fingerprint, evidence.at);
    case 'verdict': {
      const { fingerprint, at, until, count, duration } = evidence;
      return addVerdict(state, fingerprint, { at, until, count, duration });
    }
  }
}

/** Returns all evidence of a state. */
export function listEvidence(state: QuarantineState): readonly Evidence[] {
  return [
    ...[...state.verdicts].map(
      ([fingerprint, verdict]) => ({ kind: 'verdict', fingerprint, ...verdict }) as const,
    ),
    ...[...state.clearedAt].map(
      ([fingerprint, at]) => ({ kind: 'success', fingerprint, at }) as const,
    ),
    ...state.suspicions.map(
      ({ fingerprint, upstreamId, incarnation, at }) =>
        ({ kind: 'crash', fingerprint, upstreamId, incarnation, at }) as const,
    ),
  ];
}

/** Returns the evidence in the order in which to pass it on: what decides most comes first. */
export function selectFirstEvidence(
  { suspicions }: QuarantineState,
  evidence: readonly Evidence[],
): readonly Evidence[] {
  const crashes = new Map<string, number>();
  suspicions.forEach(({ fingerprint }) => {
    crashes.set(fingerprint, (crashes.get(fingerprint) ?? 0) + 1);
  });
  const getRank = ({ kind, fingerprint }: Evidence): number => {
    switch (kind) {
      case 'verdict':
        return Infinity;
      case 'success':
        return MAX_SUSPICIONS + 1;
      case 'crash':
        return crashes.get(fingerprint) ?? 0;
    }
  };
  return evidence
    .map((item) => ({ item, rank: getRank(item) }))
    .sort((left, right) => (left.rank === right.rank ? 0 : right.rank - left.rank))
    .map(({ item }) => item);
}

/** Returns the verdicts that `after` has and `before` hasn't. */
function listNewVerdicts(
  before: QuarantineState,
  after: QuarantineState,
): readonly (readonly [fingerprint: string, verdict: Verdict])[] {
  return [...after.verdicts].filter(
    ([fingerprint, verdict]) => before.verdicts.get(fingerprint) !== verdict,
  );
}

function listVerdictEffects(
  before: QuarantineState,
  after: QuarantineState,
  now: Instant,
): readonly QuarantineEffect[] {
  const quarantined = listNewVerdicts(before, after)
    .filter(([, { until }]) => until > now)
    .map(([fingerprint, { until }]): QuarantineEffect => ({
      ...{ kind: 'quarantine', fingerprint, until },
      crashes: countCrashes(after, fingerprint),
    }));
  const released = [...before.verdicts]
    .filter(([fingerprint, { until }]) => until > now && !after.verdicts.has(fingerprint))
    .map(([fingerprint]): QuarantineEffect => ({ kind: 'release', fingerprint }));
  return [...quarantined, ...released];
}

/**
 * Returns the next state and what to do.
 *
 * @example
 * const { state, effects } = decideQuarantine(before, { kind: 'found', evidence: [crash], now });
 */
export function decideQuarantine(
  before: QuarantineState,
  event: QuarantineEvent,
): Transition<QuarantineState, QuarantineEffect> {
  const { now } = event;
  const evidence = event.kind === 'ticked' ? [] : event.evidence;
  const news: Evidence[] = [];
  const merged = evidence.reduce((state, item) => {
    const next = addEvidence(state, item);
    if (next !== state) news.push(item);
    return next;
  }, before);
  // The evidence says by itself which upstreams have ended.
  const state = updateQuarantine(merged, () => false, now);
  const verdicts = listNewVerdicts(merged, state).map(([fingerprint, verdict]): Evidence => ({
    kind: 'verdict',
    fingerprint,
    ...verdict,
  }));
  const origin = event.kind === 'received' ? 'received' : 'own';
  const shared: readonly QuarantineEffect[] = [
    ...(news.length > 0
      ? [{ kind: 'share', evidence: selectFirstEvidence(state, news), origin } as const]
      : []),
    // Others that receive the same evidence come to the same verdicts.
    ...(verdicts.length > 0 && origin === 'own'
      ? [{ kind: 'share', evidence: verdicts, origin } as const]
      : []),
  ];
  return { state, effects: [...listVerdictEffects(before, state, now), ...shared] };
}
