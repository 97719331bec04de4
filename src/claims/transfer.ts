/**
 * State transfer on a view change, as in virtual synchrony: fetches the claims of earlier epochs from their
 * members. Invariant: an entry answers for a key only after it has reports from a majority of the key's
 * claimants in the latest earlier epoch with complete knowledge (the basis). A member that reports has left
 * all earlier epochs and never answers in them again.
 *
 * Why this is sufficient for a key: let `b` be the latest reported basis.
 *
 * - A grant in `b` was recorded by a majority of the key's claimants. A majority has reported, so at least
 *   one report contains the grant.
 * - A grant in an epoch after `b` needs members that became ready after `b`. They received reports from a
 *   majority of the key's claimants in `b`, and so did this entry. The two majorities share a member, and
 *   its report lists that epoch as open.
 * - A majority of the key's claimants in each open epoch must report as well. None of these became ready in
 *   that epoch and none will, so no claim is granted in it and no later epoch has it as its basis.
 *
 * Where such a majority is missing, a gap remains, and the key is refused until every earlier claim has
 * expired.
 */
import type { Address, Duration, Instant, Transition } from '../model/index.js';
import type { Fetch, KeyRecords, Report, View, ViewMember } from '../generated/claims.js';
import { chooseClaimants, findMember, hasMajorityForEveryKey } from './claimants.js';
import { listLiveClaims, replaceToken, toRecord } from './claimant.js';
import { getClaims, listClaims } from './table.js';
import type {
  ClaimsEffect,
  ClaimsState,
  ClaimTimes,
  TransferGap,
  MemberReport,
  StoredClaim,
  Transfer,
} from './types.js';

type Step = Transition<ClaimsState, ClaimsEffect>;

/** Maximum number of keys in one part of a report. */
const KEYS_PER_PART = 2000;
/** Delay before the first retry of a fetch, as a multiple of the retry interval of a claim. */
const FETCH_RETRY_FACTOR = 4;
/**
 * Maximum number of times the delay between fetches doubles. The backoff keeps a long report from being
 * requested again while its parts still arrive.
 */
const MAX_DOUBLINGS = 5;
/** Time for which a transfer waits for the last reports, as a multiple of the conflict timeout. */
const GAP_WAIT_FACTOR = 4;
/** Number of recent views kept, to find the members of earlier epochs. */
const MAX_RECENT_VIEWS = 8;

/** Enters the epoch of a newer view and starts the state transfer; ignores views that are not newer. */
export function enterView(state: ClaimsState, view: View, now: Instant): Step {
  if (view.epoch <= state.view.epoch) return { state, effects: [] };
  const open = state.reported && !state.ready ? [...state.open, state.view] : state.open;
  const left: ClaimsState = {
    ...state,
    basis: state.ready ? state.view : state.basis,
    open: state.ready ? [] : open,
  };
  const entered: ClaimsState = {
    ...left,
    ...{ view, ready: false, reported: false },
    recentViews: [...state.recentViews, view].slice(-MAX_RECENT_VIEWS),
    transfer: {
      startedAt: now,
      lastFetchAt: -Infinity,
      fetchRounds: 0,
      reports: new Map(),
      fetchedFrom: new Set(),
    },
  };
  const member = findMember(view, state.self, state.incarnation);
  if (member === undefined) return { state: { ...entered, transfer: undefined }, effects: [] };
  if (view.epoch <= state.genesisEpoch)
    return { state: { ...entered, ready: true, transfer: undefined }, effects: [] };
  return advanceTransfer(entered, now);
}

/**
 * Retries fetches to members that have not reported. Once every earlier claim has expired, the transfer ends
 * without their reports.
 */
export function advanceTransfer(state: ClaimsState, now: Instant): Step {
  const { transfer, times } = state;
  if (transfer === undefined) return { state, effects: [] };
  if (now - transfer.startedAt > getClaimExpiry(times))
    return {
      state: {
        ...state,
        ready: true,
        gaps: pruneGaps(state.gaps, times, now),
        transfer: undefined,
      },
      effects: [],
    };
  const finished = finishTransfer(state, transfer, now);
  return finished.transfer === undefined
    ? { state: finished, effects: [] }
    : sendFetches(finished, finished.transfer, now);
}

/**
 * Returns the time from entering an epoch until no grant of an earlier epoch matters any more. Besides the
 * lifetime of a claim it allows for claimants with a stale roster and for grants that are still valid.
 */
function getClaimExpiry({ lifetime, staleAfter, validity }: ClaimTimes): Duration {
  return lifetime + staleAfter + validity;
}

function sendFetches(state: ClaimsState, transfer: Transfer, now: Instant): Step {
  const missing = listFetchTargets(state, transfer);
  const retryDelay =
    state.times.retryInterval *
    FETCH_RETRY_FACTOR *
    2 ** Math.min(transfer.fetchRounds, MAX_DOUBLINGS);
  const isDue = now - transfer.lastFetchAt >= retryDelay;
  const targets = isDue ? missing : missing.filter((address) => !transfer.fetchedFrom.has(address));
  if (targets.length === 0) return { state, effects: [] };
  const basis = state.basis?.epoch ?? 0;
  const message = { kind: 'fetch', view: state.view, basis } as const;
  const fetchedFrom = new Set([...transfer.fetchedFrom, ...targets]);
  const lastFetchAt = isDue ? now : transfer.lastFetchAt;
  const fetchRounds = isDue ? transfer.fetchRounds + 1 : transfer.fetchRounds;
  const effects = targets.map((to) => ({ kind: 'send', to, message }) as const);
  return {
    state: {
      ...state,
      transfer: {
        ...transfer,
        fetchedFrom,
        lastFetchAt,
        fetchRounds,
      },
    },
    effects,
  };
}

function listFetchTargets(state: ClaimsState, transfer: Transfer): readonly Address[] {
  const reported = [...transfer.reports.values()];
  const views = [
    ...state.recentViews,
    ...(state.basis === undefined ? [] : [state.basis]),
    ...reported.flatMap(({ basis, open }) => (basis === undefined ? open : [basis, ...open])),
  ];
  const addresses = views.flatMap(({ members }) => members.map((member) => member.peerAddress));
  return [...new Set(addresses)].filter((address) => {
    const report = transfer.reports.get(address);
    return report === undefined || report.parts.size < report.partCount;
  });
}

/**
 * Handles a fetch from a member that enters an epoch. This entry enters the epoch first, so that it can't
 * record claims in an earlier one after its report.
 */
export function handleFetch(state: ClaimsState, from: Address, message: Fetch, now: Instant): Step {
  const entered = enterView(state, message.view, now);
  const current = entered.state;
  if (current.view.epoch !== message.view.epoch) {
    const refusal = { kind: 'notReady', request: 0, view: current.view } as const;
    return { state: current, effects: [{ kind: 'send', to: from, message: refusal }] };
  }
  const reporting = { ...current, reported: true };
  const parts = buildReports(reporting, from, message, now);
  const effects = parts.map((part) => ({ kind: 'send', to: from, message: part }) as const);
  return { state: reporting, effects: [...entered.effects, ...effects] };
}

function buildReports(
  state: ClaimsState,
  from: Address,
  { view, basis }: Fetch,
  now: Instant,
): readonly Report[] {
  const shared = state.basis?.epoch === basis ? state.basis : undefined;
  const isClaimant = (v: View, key: string): boolean =>
    chooseClaimants(v, key).some((member) => member.peerAddress === from);
  const keys = listClaims(state.table)
    .filter(([key]) => isClaimant(view, key))
    .filter(([key]) => shared === undefined || !isClaimant(shared, key))
    .map(([key]): KeyRecords => ({
      key,
      records: listLiveClaims(state, key, now).map((claim) => toRecord(claim, now)),
    }))
    .filter(({ records }) => records.length > 0);
  const gaps = state.gaps.map(({ startedAt, ...gap }) => ({ ...gap, age: now - startedAt }));
  const parts = Math.max(1, Math.ceil(keys.length / KEYS_PER_PART));
  return Array.from({ length: parts }, (_, part) => ({
    ...{ kind: 'report', epoch: view.epoch, part, parts, open: state.open, gaps },
    incarnation: state.incarnation,
    keys: keys.slice(part * KEYS_PER_PART, (part + 1) * KEYS_PER_PART),
    ...(state.basis === undefined ? {} : { basis: state.basis }),
  }));
}

/** Merges one part of a report and finishes the transfer once enough members have reported. */
export function handleReport(
  state: ClaimsState,
  from: Address,
  message: Report,
  now: Instant,
): Step {
  const { transfer } = state;
  if (transfer === undefined || message.epoch !== state.view.epoch) return { state, effects: [] };
  const known = transfer.reports.get(from);
  const parts = new Map(known?.parts).set(message.part, message.keys);
  const gaps = message.gaps.map(({ view, heard, age }) => ({ view, heard, startedAt: now - age }));
  const { incarnation, basis, open } = message;
  const report: MemberReport = { incarnation, basis, open, gaps, parts, partCount: message.parts };
  const merged = message.keys.reduce((next, keyRecords) => mergeKey(next, keyRecords, now), state);
  const reports = new Map(transfer.reports).set(from, report);
  return advanceTransfer({ ...merged, transfer: { ...transfer, reports } }, now);
}

/** Order in which the status of a token advances; a merge never moves it back. */
const statusRank = { claimed: 0, unknown: 1, answered: 2, withdrawn: 3 } as const;

function mergeKey(state: ClaimsState, { key, records }: KeyRecords, now: Instant): ClaimsState {
  return records.reduce((next, { age, ...content }) => {
    const incoming: StoredClaim = { ...content, recordedAt: now - age };
    const known = getClaims(next.table, key).find(({ token }) => token === incoming.token);
    if (known !== undefined && statusRank[known.status] >= statusRank[incoming.status]) return next;
    return replaceToken(next, key, incoming);
  }, state);
}

/** Result of {@link checkReports}. */
interface ReportSummary {
  /** Whether some report names a basis, and this entry's own report, with its gaps, is complete. */
  readonly isUsable: boolean;
  /** Whether enough members have reported to answer for every key. */
  readonly complete: boolean;
  /** Views of which too few members have reported. */
  readonly gaps: readonly TransferGap[];
}

/**
 * Marks this entry as ready once the reports are usable and cover every key. After the wait limit it becomes
 * ready with gaps instead: it refuses their keys, and the transfer continues.
 */
function finishTransfer(state: ClaimsState, transfer: Transfer, now: Instant): ClaimsState {
  const { isUsable, complete, gaps } = checkReports(state, transfer);
  const timedOut = now - transfer.startedAt >= state.times.conflictTimeout * GAP_WAIT_FACTOR;
  if (!isUsable || !(complete || timedOut)) return state;
  const reportedGaps = [...transfer.reports.values()].flatMap((report) => report.gaps);
  const ownGaps = complete ? [] : gaps;
  return {
    ...state,
    ready: true,
    gaps: pruneGaps([...reportedGaps, ...ownGaps], state.times, now),
    transfer: complete ? undefined : transfer,
  };
}

function checkReports(state: ClaimsState, transfer: Transfer): ReportSummary {
  const reports = new Map(
    [...transfer.reports].filter(([, { parts, partCount }]) => parts.size === partCount),
  );
  const bases = [...reports.values()].flatMap(({ basis }) => (basis === undefined ? [] : [basis]));
  const [first, ...rest] = bases;
  if (first === undefined) return { isUsable: false, complete: false, gaps: [] };
  const latestBasis = rest.reduce(
    (best, basis) => (basis.epoch > best.epoch ? basis : best),
    first,
  );
  const hasReported = (member: ViewMember): boolean =>
    reports.get(member.peerAddress)?.incarnation === member.incarnation;
  const hasReportedBasis = (member: ViewMember): boolean =>
    hasReported(member) && reports.get(member.peerAddress)?.basis?.epoch === latestBasis.epoch;
  const open = [...reports.values()]
    .flatMap((report) => report.open)
    .filter(({ epoch }) => epoch > latestBasis.epoch && epoch < state.view.epoch);
  const requirements = [
    { view: latestBasis, hasReported: hasReportedBasis },
    ...listDistinctViews(open).map((view) => ({ view, hasReported })),
  ];
  const gaps = requirements
    .filter(({ view, hasReported }) => !hasMajorityForEveryKey(view, hasReported))
    .map(({ view, hasReported }) => ({
      ...{ view, startedAt: transfer.startedAt },
      heard: view.members.filter(hasReported).map((member) => member.peerAddress),
    }));
  return { isUsable: reports.has(state.address), complete: gaps.length === 0, gaps };
}

function listDistinctViews(views: readonly View[]): readonly View[] {
  return [...new Map(views.map((view) => [view.epoch, view])).values()];
}

/** Removes duplicate gaps and gaps whose claims have all expired. */
export function pruneGaps(
  gaps: readonly TransferGap[],
  times: ClaimTimes,
  now: Instant,
): readonly TransferGap[] {
  const describeGap = ({ view, heard }: TransferGap): string => `${view.epoch} ${heard.join(' ')}`;
  const live = gaps.filter(({ startedAt }) => now - startedAt <= getClaimExpiry(times));
  return [...new Map(live.map((gap) => [describeGap(gap), gap])).values()];
}
