/**
 * Asks upstreams for their load and health. Invariant: an upstream gets at most one probe at a time, and
 * none while something fresher is known of it.
 */
import { getHeader, type HeaderList } from '../http1/index.js';
import type { Duration, Instant } from '../model/index.js';
import { computeRank, hashText } from '../routing/index.js';
import { addReport } from './book.js';
import type { ConnectionPool } from './pool.js';
import type { AttemptOutcome, HeaderDialect, UpstreamRecord } from './types.js';

/** Milliseconds between two looks at what is due. */
const LOOK_INTERVAL: Duration = 25;
/** Milliseconds until an answer; the health path of a sound upstream answers at once. */
const PROBE_LIMIT: Duration = 500;
/** Milliseconds between two probes of a cold upstream, which bears few requests. */
const COLD_INTERVAL: Duration = 400;
/** Milliseconds for which a missed probe keeps requests away; the next probes come within this time. */
const OUT_OF_REACH_TIME: Duration = 900;
/** Milliseconds between two probes of an upstream that tells no load. */
const SILENT_INTERVAL: Duration = 1000;

/** What {@link createProber} needs. */
export interface ProberOptions {
  readonly pool: ConnectionPool;
  readonly dialect: HeaderDialect;
  /** Milliseconds after which a report is no longer fresh. */
  readonly interval: Duration;
  readonly now: () => Instant;
  readonly self: string;
  readonly listGateways: () => readonly string[];
  readonly listRecords: () => readonly UpstreamRecord[];
  readonly onCold: (record: UpstreamRecord, coldFor: Duration) => void;
  readonly onEnd: (record: UpstreamRecord, outcome: AttemptOutcome) => void;
}

/** Probes upstreams until it is closed. */
export interface Prober {
  /** Whether this gateway is the one that probes the upstream. */
  isProber(record: UpstreamRecord): boolean;
  close(): void;
}

/** Takes the load that a response tells. */
export function recordLoad(
  record: UpstreamRecord,
  headers: HeaderList,
  dialect: HeaderDialect,
  now: Instant,
): void {
  const text = getHeader(headers, dialect.load);
  const report = text === undefined ? undefined : dialect.parseLoad(text);
  if (report === undefined) return;
  addReport(record, report, now);
  record.ownReportAt = now;
}

class RoundProber implements Prober {
  readonly #options: ProberOptions;
  readonly #timer: NodeJS.Timeout;
  readonly #tellsLoad = new Map<string, boolean>();
  #gateways: readonly string[] = [];
  #own: ReadonlySet<string> = new Set();
  #known = 0;

  constructor(options: ProberOptions) {
    this.#options = options;
    this.#timer = setInterval(() => {
      this.#look();
    }, LOOK_INTERVAL);
  }

  close(): void {
    clearInterval(this.#timer);
  }

  isProber(record: UpstreamRecord): boolean {
    return this.#own.has(record.instance.id);
  }

  /**
   * Believes an upstream to be out of reach, unless most probes fail: then this gateway itself is cut off.
   */
  #markReach(record: UpstreamRecord, isReached: boolean): void {
    const now = this.#options.now();
    record.outOfReachUntil = isReached ? -Infinity : now + OUT_OF_REACH_TIME;
    const own = this.#options.listRecords().filter((one) => this.#own.has(one.instance.id));
    const missed = own.filter((one) => one.outOfReachUntil > now);
    if (missed.length <= 1 || missed.length * 2 <= own.length) return;
    missed.forEach((one) => {
      one.outOfReachUntil = -Infinity;
    });
  }

  /** Returns the upstreams that this gateway probes: it has the first rank of the list for them. */
  #listOwn(records: readonly UpstreamRecord[]): ReadonlySet<string> {
    const gateways = this.#options.listGateways();
    if (gateways === this.#gateways && records.length === this.#known) return this.#own;
    this.#gateways = gateways;
    this.#known = records.length;
    const at = gateways.indexOf(this.#options.self);
    const hashes = gateways.map(hashText);
    const own = records.filter(
      ({ instance }) => at >= 0 && computeRank(instance.id, at, hashes) === 0,
    );
    this.#own = new Set(own.map(({ instance }) => instance.id));
    return this.#own;
  }

  #look(): void {
    const { now, listRecords } = this.#options;
    const records = listRecords();
    const own = this.#listOwn(records);
    records
      .filter((record) => own.has(record.instance.id) && this.#isDue(record, now()))
      .forEach((record) => {
        this.#probe(record);
      });
  }

  #isDue(record: UpstreamRecord, now: Instant): boolean {
    if (record.isProbing || record.service === undefined || record.instance.draining) return false;
    const tellsLoad = this.#tellsLoad.get(record.instance.service) ?? true;
    const warm = tellsLoad ? this.#options.interval : SILENT_INTERVAL;
    const isUnwell = record.outOfReachUntil > now || record.coldUntil > now;
    const interval = isUnwell ? Math.max(warm, COLD_INTERVAL) : warm;
    const freshest = tellsLoad
      ? Math.max(record.lastProbeAt, record.reportedAt)
      : record.lastProbeAt;
    return now - freshest >= interval;
  }

  #probe(record: UpstreamRecord): void {
    const { pool, dialect, now, onCold, onEnd } = this.#options;
    const { address, id } = record.instance;
    record.isProbing = true;
    record.lastProbeAt = now();
    const probeId = `probe-${hashText(`${id} ${record.lastProbeAt}`).toString(16)}`;
    const headers = [
      ['Host', address],
      [dialect.requestId, probeId],
      [dialect.expectInstance, id],
    ] as const;
    const end = (outcome: AttemptOutcome): void => {
      clearTimeout(timer);
      record.isProbing = false;
      this.#markReach(record, outcome.kind === 'answered' || outcome.kind === 'notRun');
      onEnd(record, outcome);
    };
    const attempt = pool.sendProbe(
      address,
      {
        id: probeId,
        method: 'GET',
        target: record.service?.healthPath ?? '/',
        headers,
        body: Buffer.alloc(0),
      },
      {
        onHead: (found) => {
          this.#tellsLoad.set(
            record.instance.service,
            getHeader(found, dialect.load) !== undefined,
          );
          recordLoad(record, found, dialect, now());
          const coldFor = Number(getHeader(found, dialect.coldFor) ?? 0);
          if (coldFor > 0) onCold(record, coldFor);
        },
        onEnd: end,
      },
    );
    const timer = setTimeout(() => {
      attempt.cancel();
      end({ kind: 'lost', reason: `no answer within ${PROBE_LIMIT} ms` });
    }, PROBE_LIMIT);
  }
}

/** Starts probing. */
export function createProber(options: ProberOptions): Prober {
  return new RoundProber(options);
}
