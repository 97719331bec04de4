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
import { chooseClaimants, findMember, hasEveryKey } from './claimants.js';
import { listLive, replaceToken, toRecord } from './claimant.js';
import { getClaims, listClaims } from './table.js';
import type {
  ClaimsEffect,
  ClaimsState,
  ClaimTimes,
  KnownGap,
  MemberReport,
  StoredClaim,
  Transfer,
} from './types.js';

type Step = Transition<ClaimsState, ClaimsEffect>;

/** Keys in one part of a report. */
const KEYS_PER_PART = 2000;
/** Retries of a claim in the time after which an unanswered fetch is first sent again. */
const FETCH_RETRIES = 4;
/** Times that the pause between fetches doubles; a long report must not be asked for again while it comes. */
const MAX_DOUBLINGS = 5;
/** Patience of a claim by which a transfer waits for the last reports before it leaves a gap. */
const GAP_PATIENCE = 4;
/** Views that are remembered in order to find members of earlier epochs. */
const MAX_SEEN = 8;

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
    seen: [...state.seen, view].slice(-MAX_SEEN),
    transfer: {
      startedAt: now,
      askedAt: -Infinity,
      rounds: 0,
      reports: new Map(),
      asked: new Set(),
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
  if (now - transfer.startedAt > getForgetAfter(times))
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
function getForgetAfter({ lifetime, staleAfter, validity }: ClaimTimes): Duration {
  return lifetime + staleAfter + validity;
}

function sendFetches(state: ClaimsState, transfer: Transfer, now: Instant): Step {
  const wanted = listWanted(state, transfer);
  const pause = state.times.retry * FETCH_RETRIES * 2 ** Math.min(transfer.rounds, MAX_DOUBLINGS);
  const due = now - transfer.askedAt >= pause;
  const targets = due ? wanted : wanted.filter((address) => !transfer.asked.has(address));
  if (targets.length === 0) return { state, effects: [] };
  const basis = state.basis?.epoch ?? 0;
  const message = { kind: 'fetch', view: state.view, basis } as const;
  const asked = new Set([...transfer.asked, ...targets]);
  const askedAt = due ? now : transfer.askedAt;
  const rounds = due ? transfer.rounds + 1 : transfer.rounds;
  const effects = targets.map((to) => ({ kind: 'send', to, message }) as const);
  return { state: { ...state, transfer: { ...transfer, asked, askedAt, rounds } }, effects };
}

function listWanted(state: ClaimsState, transfer: Transfer): readonly Address[] {
  const reported = [...transfer.reports.values()];
  const views = [
    ...state.seen,
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
  const chooses = (v: View, key: string): boolean =>
    chooseClaimants(v, key).some((member) => member.peerAddress === from);
  const keys = listClaims(state.table)
    .filter(([key]) => chooses(view, key))
    .filter(([key]) => shared === undefined || !chooses(shared, key))
    .map(([key]): KeyRecords => ({
      key,
      records: listLive(state, key, now).map((claim) => toRecord(claim, now)),
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

const progress = { claimed: 0, unknown: 1, answered: 2, withdrawn: 3 } as const;

function mergeKey(state: ClaimsState, { key, records }: KeyRecords, now: Instant): ClaimsState {
  return records.reduce((next, { age, ...content }) => {
    const incoming: StoredClaim = { ...content, recordedAt: now - age };
    const known = getClaims(next.table, key).find(({ token }) => token === incoming.token);
    if (known !== undefined && progress[known.status] >= progress[incoming.status]) return next;
    return replaceToken(next, key, incoming);
  }, state);
}

/** What the reports so far allow. */
interface Judgement {
  /** Whether a basis and this entry's own gaps were reported. */
  readonly sound: boolean;
  /** Whether every key can be answered for. */
  readonly whole: boolean;
  readonly gaps: readonly KnownGap[];
}

/** Marks this entry as ready if the reports leave no room for a grant that it does not know. */
function finishTransfer(state: ClaimsState, transfer: Transfer, now: Instant): ClaimsState {
  const { sound, whole, gaps } = judgeReports(state, transfer);
  const waited = now - transfer.startedAt >= state.times.patience * GAP_PATIENCE;
  if (!sound || !(whole || waited)) return state;
  const inherited = [...transfer.reports.values()].flatMap((report) => report.gaps);
  const own = whole ? [] : gaps;
  return {
    ...state,
    ready: true,
    gaps: pruneGaps([...inherited, ...own], state.times, now),
    transfer: whole ? undefined : transfer,
  };
}

function judgeReports(state: ClaimsState, transfer: Transfer): Judgement {
  const reports = new Map(
    [...transfer.reports].filter(([, { parts, partCount }]) => parts.size === partCount),
  );
  const bases = [...reports.values()].flatMap(({ basis }) => (basis === undefined ? [] : [basis]));
  const [first, ...rest] = bases;
  if (first === undefined) return { sound: false, whole: false, gaps: [] };
  const latest = rest.reduce((best, basis) => (basis.epoch > best.epoch ? basis : best), first);
  const hears = (member: ViewMember): boolean =>
    reports.get(member.peerAddress)?.incarnation === member.incarnation;
  const hasBasis = (member: ViewMember): boolean =>
    hears(member) && reports.get(member.peerAddress)?.basis?.epoch === latest.epoch;
  const open = [...reports.values()]
    .flatMap((report) => report.open)
    .filter(({ epoch }) => epoch > latest.epoch && epoch < state.view.epoch);
  const needs = [
    { view: latest, heard: hasBasis },
    ...listDistinct(open).map((view) => ({ view, heard: hears })),
  ];
  const gaps = needs
    .filter(({ view, heard }) => !hasEveryKey(view, heard))
    .map(({ view, heard }) => ({
      ...{ view, startedAt: transfer.startedAt },
      heard: view.members.filter(heard).map((member) => member.peerAddress),
    }));
  return { sound: reports.has(state.address), whole: gaps.length === 0, gaps };
}

function listDistinct(views: readonly View[]): readonly View[] {
  return [...new Map(views.map((view) => [view.epoch, view])).values()];
}

/** Drops repeated gaps and those whose claims have all expired. */
export function pruneGaps(
  gaps: readonly KnownGap[],
  times: ClaimTimes,
  now: Instant,
): readonly KnownGap[] {
  const describeGap = ({ view, heard }: KnownGap): string => `${view.epoch} ${heard.join(' ')}`;
  const live = gaps.filter(({ startedAt }) => now - startedAt <= getForgetAfter(times));
  return [...new Map(live.map((gap) => [describeGap(gap), gap])).values()];
}
