/**
 * Decides which load reports are due to be sent to other availability zones. Invariant: each counted answer
 * is sent once. Reports wait until those of some service have become old enough and are then sent together;
 * only that an upstream has become cold or unreachable is sent at once.
 *
 * Most requests stay in the zone of their caller, while the traffic of reports between zones grows with
 * both gateways and upstreams, and most of a small datagram is its header. Reports are out of date after
 * about the time that requests take, so those of a service with longer requests wait longer.
 */
import type { Duration, Instant } from '../model/index.js';
import type { UpstreamRecord } from './types.js';

/** Counts of good and bad answers and of rejections despite free slots, by the key of the upstream. */
export type Counts = ReadonlyMap<number, readonly [good: number, bad: number, rejected?: number]>;

export const NO_COUNTS: Counts = new Map();

/** Returns the sums of the counts in both maps. */
export function mergeCounts(one: Counts, two: Counts): Counts {
  if (one.size === 0) return two;
  const sum = new Map(one);
  two.forEach(([good, bad, rejected = 0], key) => {
    const [knownGood, knownBad, knownRejected = 0] = sum.get(key) ?? [0, 0];
    sum.set(key, [knownGood + good, knownBad + bad, knownRejected + rejected]);
  });
  return sum;
}

/** Options of {@link FarReports}. */
export interface FarReportOptions {
  readonly getRecord: (key: number) => UpstreamRecord | undefined;
  /** Returns the milliseconds after which a report of the upstream is sent again. */
  readonly getInterval: (record: UpstreamRecord) => Duration;
}

/** What other zones were last told of an upstream. */
interface SentReport {
  readonly isCold: boolean;
  readonly isUnreachable: boolean;
}

const NEVER_SENT = { isCold: false, isUnreachable: false };

/** Reports that are due: all counts, and those of them that other gateways counted. */
export interface DueReports {
  readonly all: Counts;
  readonly forwarded: Counts;
}

/** Collects the reports for other zones until they are due. */
export class FarReports {
  readonly #options: FarReportOptions;
  readonly #sent = new Map<number, SentReport>();
  /** When all reports were last sent together. */
  #lastSentAt: Instant = -Infinity;
  #own: Counts = NO_COUNTS;
  #forwarded: Counts = NO_COUNTS;

  constructor(options: FarReportOptions) {
    this.#options = options;
  }

  /** Adds answers that were counted here, and answers that other gateways of the zone reported. */
  add(own: Counts, forwarded: Counts): void {
    this.#own = mergeCounts(this.#own, own);
    this.#forwarded = mergeCounts(this.#forwarded, forwarded);
  }

  /** Removes and returns the reports that are due. */
  takeDue(now: Instant): DueReports {
    const keys = [...new Set([...this.#own.keys(), ...this.#forwarded.keys()])];
    const isAnyOld = keys.some((key) => this.#isOld(key, now));
    if (isAnyOld) this.#handleJointSend(now);
    const due = new Set(isAnyOld ? keys : keys.filter((key) => this.#hasWorsened(key, now)));
    const take = (counts: Counts, isTaken: boolean): Counts =>
      new Map([...counts].filter(([key]) => due.has(key) === isTaken));
    const own = take(this.#own, true);
    const forwarded = take(this.#forwarded, true);
    this.#own = take(this.#own, false);
    this.#forwarded = take(this.#forwarded, false);
    due.forEach((key) => {
      this.#markSent(key, now);
    });
    return { all: mergeCounts(forwarded, own), forwarded };
  }

  #isOld(key: number, now: Instant): boolean {
    const record = this.#options.getRecord(key);
    return record !== undefined && now - this.#lastSentAt >= this.#options.getInterval(record);
  }

  #hasWorsened(key: number, now: Instant): boolean {
    const record = this.#options.getRecord(key);
    if (record === undefined) return false;
    const { isCold, isUnreachable } = this.#sent.get(key) ?? NEVER_SENT;
    return (record.coldUntil > now && !isCold) || (record.unreachableUntil > now && !isUnreachable);
  }

  #handleJointSend(now: Instant): void {
    this.#lastSentAt = now;
    [...this.#sent.keys()]
      .filter((key) => this.#options.getRecord(key) === undefined)
      .forEach((key) => this.#sent.delete(key));
  }

  #markSent(key: number, now: Instant): void {
    const record = this.#options.getRecord(key);
    if (record === undefined) return;
    this.#sent.set(key, {
      isCold: record.coldUntil > now,
      isUnreachable: record.unreachableUntil > now,
    });
  }
}
