/**
 * Probes the load and health of upstreams. Invariant: an upstream gets at most one probe at a time,
 * and no periodic probe while a fresh load report of it is known.
 */
import { getHeader, type HeaderList } from '../http1/index.js';
import type { Duration, Instant, ZoneId } from '../model/index.js';
import { computeRank, hashIds, hashText } from '../routing/index.js';
import { addReport, isTurningAway } from './registry.js';
import { TokenBucket } from './budget.js';
import type { ConnectionPool } from './pool.js';
import { isUpkeepDue } from './upkeep.js';
import type { AttemptOutcome, HeaderDialect, UpstreamAnswer, UpstreamRecord } from './types.js';

/** Milliseconds between two checks for due probes. */
const CHECK_INTERVAL: Duration = 50;
/** Milliseconds between two checks for connections that a probe keeps open. */
const UPKEEP_INTERVAL: Duration = 500;
/** Timeout of a probe in milliseconds. The health path of a healthy upstream answers at once. */
const PROBE_TIMEOUT: Duration = 500;
/**
 * Minimum milliseconds between two probes of a cold or unreachable upstream. A cold upstream can
 * handle few requests.
 */
const COLD_PROBE_INTERVAL: Duration = 400;
/**
 * Milliseconds for which a failed probe keeps requests away from the upstream. The next probes are
 * made within this time.
 */
const UNREACHABLE_TIME: Duration = 900;
/** Share of the probe rate that on-demand probes may use; periodic probes need the rest. */
const ON_DEMAND_SHARE = 0.5;
/**
 * Timeout of an on-demand probe in milliseconds. A healthy upstream needs about 10 ms, including a
 * new connection.
 */
const ON_DEMAND_TIMEOUT: Duration = 40;
/**
 * Milliseconds for which an upstream that did not answer an on-demand probe is used last. The probe
 * itself continues until {@link PROBE_TIMEOUT}.
 */
const UNRESPONSIVE_TIME: Duration = 150;
/** Milliseconds between two probes of an upstream that does not report its load. */
const UNREPORTED_PROBE_INTERVAL: Duration = 1000;

/** Options of {@link createProber}. */
export interface ProberOptions {
  readonly pool: ConnectionPool;
  readonly dialect: HeaderDialect;
  /** Returns the milliseconds after which a load report of the service's upstreams is no longer fresh. */
  readonly getInterval: (service: string) => Duration;
  /** Average number of probes per second that all gateways together may make of one upstream. */
  readonly rate: number;
  readonly now: () => Instant;
  readonly self: string;
  readonly listGateways: () => readonly string[];
  /**
   * Returns the gateways of which one probes the upstreams of the zone. The same list object is
   * returned until the gateways change.
   */
  readonly listProbers: (zone: ZoneId) => readonly string[];
  readonly listRecords: () => readonly UpstreamRecord[];
  /**
   * Called when a probe of an upstream receives response headers, if this gateway is its prober.
   */
  readonly onLoad: (record: UpstreamRecord) => void;
  /** Called with the head of each response to a probe. */
  readonly onHead: (record: UpstreamRecord, status: number, headers: HeaderList) => void;
  readonly onCold: (record: UpstreamRecord, coldFor: Duration) => void;
  /** Called when an upstream's health response reports its load and no slow start. */
  readonly onWarm: (record: UpstreamRecord) => void;
  readonly onEnd: (record: UpstreamRecord, outcome: AttemptOutcome) => void;
}

/** Probes upstreams until it is closed. */
export interface Prober {
  /** Returns whether this gateway is the one that probes the upstream periodically. */
  isProber(record: UpstreamRecord): boolean;
  /**
   * Returns whether the upstream's service is known to report its load and the budget allows one
   * more on-demand probe.
   */
  canProbeOnDemand(record: UpstreamRecord): boolean;
  /** Like {@link canProbeOnDemand}, for any upstream of a service with a known report. */
  canProbeService(service: string): boolean;
  /** Probes an upstream immediately. `onEnd` receives whether it answered within the timeout. */
  probeOnDemand(record: UpstreamRecord, onEnd: (isAnswered: boolean) => void): void;
  close(): void;
}

/** Records the load report in the headers of a response, if there is one. */
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

class PeriodicProber implements Prober {
  readonly #options: ProberOptions;
  readonly #timer: NodeJS.Timeout;
  readonly #upkeepTimer: NodeJS.Timeout;
  readonly #reportsLoad = new Map<string, boolean>();
  readonly #onDemandBudget = new TokenBucket();
  /** Callbacks of on-demand probes that wait for the probe in progress. */
  readonly #onDemandCallbacks = new Map<
    UpstreamRecord,
    readonly ((isAnswered: boolean) => void)[]
  >();
  #gateways: readonly string[] = [];
  #records: readonly UpstreamRecord[] = [];
  #ownRecords: readonly UpstreamRecord[] = [];
  #ownRecordSet: ReadonlySet<UpstreamRecord> = new Set();
  /**
   * Whether this gateway ranks first for an upstream, by upstream id. Valid while the list of
   * gateways is unchanged.
   */
  #isFirstRanked: ReadonlyMap<string, boolean> = new Map();

  constructor(options: ProberOptions) {
    this.#options = options;
    this.#timer = setInterval(() => {
      this.#probeDue();
    }, CHECK_INTERVAL);
    this.#upkeepTimer = setInterval(() => {
      this.#keepConnections();
    }, UPKEEP_INTERVAL);
  }

  close(): void {
    clearInterval(this.#timer);
    clearInterval(this.#upkeepTimer);
  }

  isProber(record: UpstreamRecord): boolean {
    return this.#ownRecordSet.has(record);
  }

  canProbeOnDemand(record: UpstreamRecord): boolean {
    return this.#isLoadReported(record) && this.#hasOnDemandToken();
  }

  canProbeService(service: string): boolean {
    return this.#reportsLoad.get(service) === true && this.#hasOnDemandToken();
  }

  #hasOnDemandToken(): boolean {
    const { now, rate, listGateways, listRecords } = this.#options;
    const perSecond = (listRecords().length * rate * ON_DEMAND_SHARE) / listGateways().length;
    this.#onDemandBudget.refill(perSecond, now());
    return this.#onDemandBudget.hasToken();
  }

  /** Where the load is not reported, the health check waits for a slot like any request. */
  #isLoadReported({ instance: { service }, reportedAt }: UpstreamRecord): boolean {
    const known = this.#reportsLoad.get(service);
    if (known !== undefined || Number.isFinite(reportedAt)) return known ?? true;
    // All upstreams of a service report their load, or none does.
    const isReported = this.#options
      .listRecords()
      .some((other) => other.instance.service === service && Number.isFinite(other.reportedAt));
    if (isReported) this.#reportsLoad.set(service, true);
    return isReported;
  }

  probeOnDemand(record: UpstreamRecord, onEnd: (isAnswered: boolean) => void): void {
    this.#onDemandBudget.takeToken();
    let isDone = false;
    const end = (isAnswered: boolean): void => {
      if (isDone) return;
      isDone = true;
      clearTimeout(timer);
      onEnd(isAnswered);
    };
    const timer = setTimeout(() => {
      // An answer that has already arrived is processed before the immediate runs, even if this
      // process was delayed.
      setImmediate(() => {
        if (!isDone) record.unresponsiveUntil = this.#options.now() + UNRESPONSIVE_TIME;
        end(false);
      });
    }, ON_DEMAND_TIMEOUT);
    this.#onDemandCallbacks.set(record, [...(this.#onDemandCallbacks.get(record) ?? []), end]);
    if (!record.isProbing) this.#probe(record);
  }

  #finishOnDemandProbes(record: UpstreamRecord, isAnswered: boolean): void {
    const callbacks = this.#onDemandCallbacks.get(record) ?? [];
    this.#onDemandCallbacks.delete(record);
    callbacks.forEach((end) => {
      end(isAnswered);
    });
  }

  /**
   * Updates the reachability of an upstream. If more than one and more than half of the upstreams
   * that this gateway probes are unreachable, the gateway itself is assumed to be partitioned and
   * all of them count as reachable again.
   */
  #updateReachability(record: UpstreamRecord, isReachable: boolean): void {
    const now = this.#options.now();
    record.unreachableUntil = isReachable ? -Infinity : now + UNREACHABLE_TIME;
    const own = this.#ownRecords;
    const missed = own.filter((one) => one.unreachableUntil > now);
    if (missed.length <= 1 || missed.length * 2 <= own.length) return;
    missed.forEach((one) => {
      one.unreachableUntil = -Infinity;
    });
  }

  /**
   * Returns the upstreams that this gateway probes, which are those for which it ranks first among
   * the probers of their zone.
   */
  #listOwn(): readonly UpstreamRecord[] {
    const gateways = this.#options.listGateways();
    const records = this.#options.listRecords();
    if (gateways === this.#gateways && records === this.#records) return this.#ownRecords;
    const known = gateways === this.#gateways ? this.#isFirstRanked : new Map<string, boolean>();
    this.#gateways = gateways;
    this.#records = records;
    const ranks = this.#rankZones(records);
    this.#isFirstRanked = new Map(
      records.map(({ instance: { id, zone } }) => [
        id,
        known.get(id) ?? ranks.get(zone)?.(id) === 0,
      ]),
    );
    this.#ownRecords = records.filter(
      ({ instance }) => this.#isFirstRanked.get(instance.id) === true,
    );
    this.#ownRecordSet = new Set(this.#ownRecords);
    return this.#ownRecords;
  }

  /** Returns, by zone, a function that ranks this gateway for an upstream id, if it may probe there. */
  #rankZones(records: readonly UpstreamRecord[]): ReadonlyMap<ZoneId, (id: string) => number> {
    const { listProbers, self } = this.#options;
    const zones = [...new Set(records.map(({ instance }) => instance.zone))];
    return new Map(
      zones.flatMap((zone) => {
        const { hashes, indexes } = hashIds(listProbers(zone));
        const ownIndex = indexes.get(self);
        if (ownIndex === undefined) return [];
        return [[zone, (id: string) => computeRank(id, ownIndex, hashes)] as const];
      }),
    );
  }

  #probeDue(): void {
    const now = this.#options.now();
    this.#listOwn()
      .filter((record) => this.#isDue(record, now))
      .forEach((record) => {
        this.#probe(record);
      });
  }

  #keepConnections(): void {
    const { listRecords, now, pool } = this.#options;
    listRecords()
      .filter((record) => this.#reportsLoad.get(record.instance.service) === true)
      .forEach((record) => {
        const idleTime = pool.getIdleTime(record.instance.address);
        if (idleTime > 0 && isUpkeepDue(record, idleTime, now())) this.#probe(record);
      });
  }

  #isDue(record: UpstreamRecord, now: Instant): boolean {
    if (record.isProbing || record.service === undefined || record.instance.draining) return false;
    if (isTurningAway(record, now)) return false;
    const { service } = record.instance;
    const reportsLoad = this.#reportsLoad.get(service) ?? true;
    const normalInterval = reportsLoad
      ? this.#options.getInterval(service)
      : UNREPORTED_PROBE_INTERVAL;
    const isUnhealthy = record.unreachableUntil > now || record.coldUntil > now;
    const interval = isUnhealthy ? Math.max(normalInterval, COLD_PROBE_INTERVAL) : normalInterval;
    const lastUpdateAt = reportsLoad
      ? Math.max(record.lastProbeAt, record.reportedAt)
      : record.lastProbeAt;
    return now - lastUpdateAt >= interval;
  }

  #isWarm({ status, headers }: UpstreamAnswer): boolean {
    const { dialect } = this.#options;
    const coldFor = Number(getHeader(headers, dialect.coldFor) ?? 0);
    return status === 200 && getHeader(headers, dialect.load) !== undefined && coldFor === 0;
  }

  #probe(record: UpstreamRecord): void {
    const { pool, dialect, now, onLoad, onCold, onWarm, onEnd } = this.#options;
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
      const isAnswered = outcome.kind === 'answered';
      // Other gateways accept the reachability of an upstream only from its periodic prober.
      if (this.isProber(record))
        this.#updateReachability(record, isAnswered || outcome.kind === 'notRun');
      if (outcome.kind === 'answered' && this.#isWarm(outcome.answer)) onWarm(record);
      onEnd(record, outcome);
      this.#finishOnDemandProbes(record, isAnswered);
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
        onHead: (found, status) => {
          this.#options.onHead(record, status, found);
          this.#reportsLoad.set(
            record.instance.service,
            getHeader(found, dialect.load) !== undefined,
          );
          recordLoad(record, found, dialect, now());
          if (this.isProber(record)) onLoad(record);
          const coldFor = Number(getHeader(found, dialect.coldFor) ?? 0);
          if (coldFor > 0) onCold(record, coldFor);
        },
        onEnd: end,
      },
    );
    const timer = setTimeout(() => {
      attempt.cancel();
      end({
        ...{ kind: 'lost', reason: `no answer within ${PROBE_TIMEOUT} ms` },
        isDisconnected: false,
      });
    }, PROBE_TIMEOUT);
  }
}

/** Starts to probe upstreams periodically. */
export function createProber(options: ProberOptions): Prober {
  return new PeriodicProber(options);
}
