/**
 * Counts finished attempts per service, version and route; entries send the counts and the leader merges
 * them. Invariant: the counts in the latency buckets of a row add up to its successes.
 */
import type { EvidenceRow } from '../generated/distribution.js';
import type { Duration } from '../model/index.js';

export type { EvidenceRow };

/** A finished attempt at an upstream. */
export interface Sample {
  readonly service: string;
  readonly version: string;
  readonly route: string;
  /** The upstream that handled the attempt, where one upstream's fault is told from its version's. */
  readonly upstream?: string;
  readonly failed: boolean;
  /** Milliseconds; counted only for successful attempts. */
  readonly latency: Duration;
}

/** Ratio of a bucket's upper limit to that of the previous bucket. */
const BUCKET_RATIO = 1.15;
/** Upper limit of the first bucket, in milliseconds. */
const FIRST_BUCKET_LIMIT: Duration = 0.5;
/** Number of buckets; the last one has no upper limit. */
const BUCKET_COUNT = 90;

/** Returns the index of the latency bucket that holds a duration. */
export function getBucket(latency: Duration): number {
  const bucket = Math.ceil(
    Math.log(Math.max(latency, FIRST_BUCKET_LIMIT) / FIRST_BUCKET_LIMIT) / Math.log(BUCKET_RATIO),
  );
  return Math.min(bucket, BUCKET_COUNT - 1);
}

/** Returns the upper limit of a bucket in milliseconds. */
export function getBucketLimit(bucket: number): Duration {
  return FIRST_BUCKET_LIMIT * BUCKET_RATIO ** bucket;
}

/** Returns the key of a row: rows with equal keys have the same service, version, route and upstream. */
export function getRowKey(row: {
  readonly service: string;
  readonly version: string;
  readonly route: string;
  readonly upstream?: string | undefined;
}): string {
  return JSON.stringify([row.service, row.version, row.route, row.upstream ?? '']);
}

function mergeLatencies(one: readonly number[], two: readonly number[]): readonly number[] {
  const counts = new Map<number, number>();
  [one, two].forEach((pairs) => {
    pairs.forEach((bucket, index) => {
      if (index % 2 === 0) counts.set(bucket, (counts.get(bucket) ?? 0) + (pairs[index + 1] ?? 0));
    });
  });
  return [...counts].sort(([first], [second]) => first - second).flat();
}

/**
 * Merges two lists of rows, adding up the counts of rows with equal keys.
 *
 * @example
 * const pooled = mergeEvidence(pooled, rows);
 */
export function mergeEvidence(
  pooled: readonly EvidenceRow[],
  rows: readonly EvidenceRow[],
): readonly EvidenceRow[] {
  const merged = new Map(pooled.map((row) => [getRowKey(row), row]));
  rows.forEach((row) => {
    const found = merged.get(getRowKey(row));
    const sum: EvidenceRow =
      found === undefined
        ? row
        : {
            ...row,
            ok: found.ok + row.ok,
            failed: found.failed + row.failed,
            latencies: [...mergeLatencies(found.latencies, row.latencies)],
          };
    merged.set(getRowKey(row), sum);
  });
  return [...merged.values()];
}

/** Converts one attempt to an evidence row. */
export function toEvidenceRow(sample: Sample): EvidenceRow {
  const { service, version, route, upstream, failed, latency } = sample;
  return {
    service,
    version,
    route,
    ...(upstream !== undefined && { upstream }),
    ok: failed ? 0 : 1,
    failed: failed ? 1 : 0,
    latencies: failed ? [] : [getBucket(latency), 1],
  };
}
