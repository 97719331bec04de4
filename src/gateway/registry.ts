/**
 * What the gateway knows of each upstream. Invariant: the records are exactly those of the instances in
 * the catalog; what was learned of an instance is kept while the same start of it is listed.
 */
import {
  getVersionShare,
  type Catalog,
  type Instance,
  type Service,
  type VersionShare,
} from '../catalog/index.js';
import type { Duration, Instant } from '../model/index.js';
import { hashText } from '../routing/index.js';
import { MovingAverage, computeColdInterval, type ColdBounds } from './budget.js';
import type { AttemptOutcome, LoadReport, UpstreamRecord } from './types.js';

/** Milliseconds after which a counted answer has lost half of its weight. */
const COUNT_HALF_LIFE: Duration = 2000;
/** Milliseconds without requests after a first miss; each further one doubles it. */
const INITIAL_BACKOFF: Duration = 150;
/** Milliseconds that no such time exceeds. */
const MAX_BACKOFF: Duration = 2000;
/** Misses in a row from which requests stop; one may be the request's own fault. */
const MISSES_BEFORE_BACKOFF = 2;
/** Milliseconds without requests after the upstream turned one away. */
const REJECTED_BACKOFF: Duration = 30;
/** Weight of one report in the average pace of a service; some hundred reports count. */
const PACE_WEIGHT = 0.002;
/** Excess that is assumed before reports tell: a look too many costs less than a request on a slow VM. */
const INITIAL_EXCESS_PACE = 1;
/** Reports that the assumption counts for. */
const INITIAL_SAMPLE_COUNT = 20;
/** Milliseconds without requests to an address that answered for another instance. */
const MISDIRECTED_BACKOFF: Duration = 3000;

function createRecord(instance: Instance, service: Service | undefined): UpstreamRecord {
  return {
    key: hashText(instance.id),
    instance,
    service,
    inFlight: 0,
    report: { running: 0, waiting: 0, slots: instance.slots, pace: 1 },
    reportedAt: -Infinity,
    ownReportAt: -Infinity,
    inFlightChange: 0,
    coldUntil: -Infinity,
    nextColdSlotAt: -Infinity,
    misses: 0,
    blockedUntil: -Infinity,
    unresponsiveUntil: -Infinity,
    unreachableUntil: -Infinity,
    good: 0,
    bad: 0,
    countedAt: 0,
    unsentGood: 0,
    unsentBad: 0,
    lastProbeAt: -Infinity,
    isProbing: false,
  };
}

function applyCountDecay(record: UpstreamRecord, now: Instant): void {
  const factor = 0.5 ** ((now - record.countedAt) / COUNT_HALF_LIFE);
  record.good *= factor;
  record.bad *= factor;
  record.countedAt = now;
}

/** Takes a load report, unless a later one is known. */
export function addReport(record: UpstreamRecord, report: LoadReport, reportedAt: Instant): void {
  if (reportedAt <= record.reportedAt) return;
  record.report = report;
  record.reportedAt = reportedAt;
  record.inFlightChange = 0;
}

/** Counts answers that this gateway or another one got. */
export function addCounts(record: UpstreamRecord, good: number, bad: number, now: Instant): void {
  applyCountDecay(record, now);
  record.good += good;
  record.bad += bad;
}

/** This gateway's part in the allowances of cold upstreams. */
export interface SlowStartShare {
  /** The id of this gateway and of all. */
  readonly self: string;
  readonly gateways: readonly string[];
  readonly bounds: ColdBounds;
}

/** Returns the milliseconds between two requests of this gateway to the upstream while it is cold. */
function computeSlotInterval(record: UpstreamRecord, share: SlowStartShare): Duration {
  const { self, gateways, bounds } = share;
  const rate = record.service?.coldRate ?? 0;
  return computeColdInterval(record.instance.id, self, gateways, rate, bounds) ?? Infinity;
}

/** Believes that the upstream stays cold for so long; 0 ends it. */
export function markCold(
  record: UpstreamRecord,
  coldFor: Duration,
  now: Instant,
  share: SlowStartShare,
): void {
  const wasCold = record.coldUntil > now;
  record.coldUntil = coldFor > 0 ? now + coldFor : -Infinity;
  // The gateways' first turns are spread, as they hear of the cold upstream at the same time.
  if (!wasCold) record.nextColdSlotAt = now + computeSlotInterval(record, share) * Math.random();
}

/** Takes this gateway's turn at a cold upstream. */
export function claimColdSlot(record: UpstreamRecord, now: Instant, share: SlowStartShare): void {
  record.nextColdSlotAt = now + computeSlotInterval(record, share);
}

function recordMiss(record: UpstreamRecord, isUnreachable: boolean, now: Instant): void {
  record.misses += 1;
  if (!isUnreachable && record.misses < MISSES_BEFORE_BACKOFF) return;
  const doublings = Math.min(record.misses - 1, 10);
  record.blockedUntil = now + Math.min(MAX_BACKOFF, INITIAL_BACKOFF * 2 ** doublings);
}

/** Learns from the end of an attempt. */
export function addOutcome(record: UpstreamRecord, outcome: AttemptOutcome, now: Instant): void {
  switch (outcome.kind) {
    case 'answered': {
      const isBad = outcome.answer.status >= 500;
      record.misses = 0;
      addCounts(record, isBad ? 0 : 1, isBad ? 1 : 0, now);
      record.unsentGood += isBad ? 0 : 1;
      record.unsentBad += isBad ? 1 : 0;
      return;
    }
    case 'notRun':
      record.blockedUntil = now + (outcome.isMisdirected ? MISDIRECTED_BACKOFF : REJECTED_BACKOFF);
      return;
    case 'unreachable':
    case 'lost':
      addCounts(record, 0, 1, now);
      record.unsentBad += 1;
      recordMiss(record, outcome.kind === 'unreachable', now);
      return;
  }
}

/** The upstreams of one gateway. */
export class UpstreamRegistry {
  #records: ReadonlyMap<string, UpstreamRecord> = new Map();
  #byKey: ReadonlyMap<number, UpstreamRecord> = new Map();
  #allRecords: readonly UpstreamRecord[] = [];
  readonly #excessPace = new Map<string, MovingAverage>();
  #usable = new Map<string, readonly UpstreamRecord[]>();
  #versions = new Map<string, VersionShare>();

  get records(): readonly UpstreamRecord[] {
    return this.#allRecords;
  }

  /** Returns the upstream whose id has this hash; two of a thousand upstreams share one at odds of 1 to 8000. */
  getByKey(key: number): UpstreamRecord | undefined {
    return this.#byKey.get(key);
  }

  getRecord(id: string): UpstreamRecord | undefined {
    return this.#records.get(id);
  }

  /** Takes a new catalog and returns the addresses that lost their instance. */
  update(catalog: Catalog): readonly string[] {
    const services = new Map(catalog.table?.services.map((service) => [service.name, service]));
    const before = this.#records;
    this.#records = new Map(
      Object.values(catalog.instances).map((instance) => {
        const known = before.get(instance.id);
        const service = services.get(instance.service);
        const record =
          known?.instance.bornAt === instance.bornAt && known.instance.address === instance.address
            ? Object.assign(known, { instance, service })
            : createRecord(instance, service);
        return [instance.id, record];
      }),
    );
    this.#allRecords = [...this.#records.values()];
    this.#byKey = new Map(this.#allRecords.map((record) => [record.key, record]));
    this.#versions = new Map(
      [...new Set([...services.keys()])].map((name) => [name, getVersionShare(catalog, name)]),
    );
    const usable = this.#allRecords.filter(
      ({ instance }) => !instance.draining && !catalog.zonesOut.includes(instance.zone),
    );
    this.#usable = new Map(
      [...services.keys()].map((name) => [
        name,
        usable.filter(({ instance }) => instance.service === name),
      ]),
    );
    const activeAddresses = new Set(this.#allRecords.map(({ instance }) => instance.address));
    return [...before.values()]
      .map(({ instance }) => instance.address)
      .filter((address) => !activeAddresses.has(address));
  }

  /** Counts a report of the pace of one of the service's VMs. */
  addPace(service: string, pace: number): void {
    const average =
      this.#excessPace.get(service) ??
      new MovingAverage(INITIAL_EXCESS_PACE, PACE_WEIGHT, INITIAL_SAMPLE_COUNT);
    this.#excessPace.set(service, average);
    average.addSample(Math.max(0, pace - 1));
  }

  /** Returns by how much the pace of the service's VMs exceeds the usual on average. */
  getExcessPace(service: string): number {
    return this.#excessPace.get(service)?.value ?? 0;
  }

  getVersionShare(service: string): VersionShare {
    return this.#versions.get(service) ?? { stable: undefined, next: undefined, share: 0 };
  }

  /**
   * Returns the upstreams of a service that may get requests, of one version if it is given. While the
   * version that traffic moves to has no upstreams, the stable one serves its requests.
   */
  listUsable(service: string, version: string | undefined): readonly UpstreamRecord[] {
    const all = this.#usable.get(service) ?? [];
    if (version === undefined) return all;
    const wanted = all.filter(({ instance }) => instance.version === version);
    const { stable, next } = this.getVersionShare(service);
    if (wanted.length > 0 || version !== next) return wanted;
    return all.filter(({ instance }) => instance.version === stable);
  }

  /** Believes every upstream of a zone to be cold, as after the zone was out. */
  markZoneCold(zone: string, now: Instant, share: SlowStartShare): void {
    this.#records.forEach((record) => {
      if (record.instance.zone !== zone) return;
      markCold(record, record.service?.coldTime ?? 0, now, share);
    });
  }
}
