/**
 * Tells upstreams that fail on their own account from versions that fail. Invariant: an upstream is ill only beside
 * sound ones of the same version, so that a fault that all upstreams of a version share makes none of them ill.
 */
import type { EvidenceRow } from './evidence.js';

/** Attempts of one upstream on one route. */
interface RouteTally {
  readonly route: string;
  readonly failed: number;
  readonly total: number;
}

interface UpstreamTally {
  readonly version: string;
  readonly routes: readonly RouteTally[];
  readonly isIll: boolean;
}

/** What is known of each upstream, by version and id. */
export type UpstreamTallies = ReadonlyMap<string, UpstreamTally>;

/** No upstream is known. */
export const noTallies: UpstreamTallies = new Map();

/** Failures from which an upstream may be ill. */
const MIN_FAILURES = 3;
/** Logarithm of the odds that an ill upstream's failures have against those of the others. */
const LOG_EVIDENCE_LIMIT = Math.log(1000);
/** Failure rate below which that of the others is not estimated. */
const MIN_RATE = 0.02;
/** Largest share of a version's upstreams that may be ill. Beyond, the version has the fault. */
const MAX_ILL_SHARE = 0.4;
/** Attempts that each upstream needs on average before any of its version is judged. */
const MIN_MEAN_ATTEMPTS = 3;

interface Counts {
  readonly failed: number;
  readonly total: number;
}

function sum(counts: readonly Counts[]): Counts {
  return counts.reduce(
    (all, { failed, total }) => ({ failed: all.failed + failed, total: all.total + total }),
    { failed: 0, total: 0 },
  );
}

function getKey({ version, upstream }: EvidenceRow): string {
  return `${version} ${upstream ?? ''}`;
}

function addRow(tallies: Map<string, UpstreamTally>, row: EvidenceRow): void {
  const { version, route } = row;
  const known = tallies.get(getKey(row)) ?? { version, routes: [], isIll: false };
  const before = known.routes.find((tally) => tally.route === route);
  const others = known.routes.filter((tally) => tally !== before);
  const failed = (before?.failed ?? 0) + row.failed;
  const total = (before?.total ?? 0) + row.ok + row.failed;
  tallies.set(getKey(row), { ...known, routes: [...others, { route, failed, total }] });
}

/** Returns the logarithm of the odds of these counts at their own rate to those at a lower one. */
function computeLogEvidence({ failed, total }: Counts, rate: number): number {
  const own = failed / total;
  if (own <= rate) return 0;
  const rest = own === 1 ? 0 : (1 - own) * Math.log((1 - own) / (1 - rate));
  return total * (own * Math.log(own / rate) + rest);
}

/** Returns the keys of the ill ones among the upstreams of one version. */
function findIll(upstreams: readonly (readonly [string, UpstreamTally])[]): readonly string[] {
  const counts = upstreams.map(([key, { routes }]) => ({ key, ...sum(routes) }));
  const isKnown = sum(counts).total >= counts.length * MIN_MEAN_ATTEMPTS;
  if (!isKnown) return [];
  const byRate = [...counts].sort((one, two) => two.failed / two.total - one.failed / one.total);
  const maxIll = Math.floor(counts.length * MAX_ILL_SHARE);
  const candidates = byRate.slice(0, maxIll);
  const others = sum(byRate.slice(maxIll));
  const rate = Math.max(MIN_RATE, others.failed / Math.max(1, others.total));
  return candidates
    .filter((one) => one.failed >= MIN_FAILURES)
    .filter((one) => computeLogEvidence(one, rate) >= LOG_EVIDENCE_LIMIT)
    .map(({ key }) => key);
}

/** Adds the evidence of one block, and returns which upstreams are ill by all that is known. */
export function addRows(tallies: UpstreamTallies, rows: readonly EvidenceRow[]): UpstreamTallies {
  const next = new Map(tallies);
  rows
    .filter(({ upstream }) => upstream !== undefined)
    .forEach((row) => {
      addRow(next, row);
    });
  const versions = new Set([...next.values()].map(({ version }) => version));
  [...versions].forEach((version) => {
    const own = [...next].filter(([, tally]) => tally.version === version);
    findIll(own).forEach((key) => {
      const tally = next.get(key);
      if (tally !== undefined) next.set(key, { ...tally, isIll: true });
    });
  });
  return next;
}

/** Returns the number of ill upstreams. */
export function countIll(tallies: UpstreamTallies): number {
  return [...tallies.values()].filter(({ isIll }) => isIll).length;
}

/** Returns whether the row is of an ill upstream. */
export function isFromIll(tallies: UpstreamTallies, row: EvidenceRow): boolean {
  return row.upstream !== undefined && tallies.get(getKey(row))?.isIll === true;
}

/** Returns the attempts at ill upstreams of other versions than the new one on a route, or on all (`*`). */
export function sumOfIll(
  tallies: UpstreamTallies,
  { route }: { readonly route: string },
  version: string,
): Counts {
  const ill = [...tallies.values()].filter((one) => one.isIll && one.version !== version);
  return sum(
    ill.flatMap(({ routes }) => routes.filter((one) => route === '*' || one.route === route)),
  );
}
