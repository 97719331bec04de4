/**
 * Brings the claims of earlier epochs to this entry when the view changes, as in virtual synchrony.
 * Invariant: an entry answers for a key only after it heard enough of the key's claimants in the latest
 * earlier epoch that had complete knowledge, each of which left all earlier epochs for good.
 *
 * Why this suffices for a key. Let `b` be the latest basis that was reported. A grant in `b` was recorded
 * by a majority of the key's claimants, and a majority of them was heard, so one that was heard knows it.
 * A grant in a later epoch needs members that became ready after `b`; they heard a majority of the key's
 * claimants in `b`, and so did this entry, hence one member that both heard lists their epoch as open. Of
 * each open epoch a majority of the key's claimants must be heard too; none of them became ready in it
 * and none will, so neither a grant nor a successor can come from it. Where that majority is missing, a
 * gap remains, and the key is refused until every earlier claim has expired.
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

/** Keys in one part of a report. */
const KEYS_PER_PART = 2000;
/** Retries of a claim in the time after which an unanswered fetch is first sent again. */
const FETCH_RETRY_FACTOR = 4;
/** Times that the pause between fetches doubles; a long report must not be asked for again while it comes. */
const MAX_DOUBLINGS = 5;
/** Patience of a claim by which a transfer waits for the last reports before it leaves a gap. */
const GAP_WAIT_FACTOR = 4;
/** Views that are remembered in order to find members of earlier epochs. */
const MAX_RECENT_VIEWS = 8;

/** Enters the epoch of a newer view and starts the transfer into it. */
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

/** Asks again who has not reported, and gives up waiting once every earlier claim has expired. */
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

/** Returns after how long no grant of an earlier epoch can matter any more. */
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

/** Answers a member that enters an epoch; this entry enters it too before it reports. */
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

/** Takes one part of a report and finishes the transfer when enough members have reported. */
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

const statusRank = { claimed: 0, unknown: 1, answered: 2, withdrawn: 3 } as const;

function mergeKey(state: ClaimsState, { key, records }: KeyRecords, now: Instant): ClaimsState {
  return records.reduce((next, { age, ...content }) => {
    const incoming: StoredClaim = { ...content, recordedAt: now - age };
    const known = getClaims(next.table, key).find(({ token }) => token === incoming.token);
    if (known !== undefined && statusRank[known.status] >= statusRank[incoming.status]) return next;
    return replaceToken(next, key, incoming);
  }, state);
}

/** What the reports so far allow. */
interface ReportSummary {
  /** Whether a basis and this entry's own gaps were reported. */
  readonly isUsable: boolean;
  /** Whether every key can be answered for. */
  readonly complete: boolean;
  readonly gaps: readonly TransferGap[];
}

/** Marks this entry as ready if the reports leave no room for a grant that it does not know. */
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

/** Drops repeated gaps and those whose claims have all expired. */
export function pruneGaps(
  gaps: readonly TransferGap[],
  times: ClaimTimes,
  now: Instant,
): readonly TransferGap[] {
  const describeGap = ({ view, heard }: TransferGap): string => `${view.epoch} ${heard.join(' ')}`;
  const live = gaps.filter(({ startedAt }) => now - startedAt <= getClaimExpiry(times));
  return [...new Map(live.map((gap) => [describeGap(gap), gap])).values()];
}
