/**
 * Registry of the upstreams that a gateway knows, and the state that it keeps of each. Invariant:
 * the records match the instances in the catalog exactly, and the state of an instance is kept as
 * long as the catalog lists the same start of it.
 */
import {
  emptyCatalog,
  getVersionShare,
  type Catalog,
  type CatalogCommand,
  type Instance,
  type Service,
  type VersionShare,
} from '../catalog/index.js';
import type { Address, Duration, Instant } from '../model/index.js';
import {
  addLoss,
  COUNT_HALF_LIFE,
  isFullByReport,
  NO_LOSSES,
  type LossState,
} from '../placement/index.js';
import { hashText } from '../routing/index.js';
import {
  computeColdRate,
  computeLimitRate,
  computeSharedInterval,
  MovingAverage,
  type ColdBounds,
} from './budget.js';
import type { ReceivedReport } from './gossip.js';
import type { AttemptOutcome, LoadReport, UpstreamRecord } from './types.js';

/** Milliseconds without requests after the first miss; each further miss doubles the time. */
const INITIAL_BACKOFF: Duration = 150;
/** Maximum milliseconds without requests after misses. */
const MAX_BACKOFF: Duration = 2000;
/**
 * Consecutive misses from which requests are held back. A single miss may be caused by the request
 * itself.
 */
const MISSES_BEFORE_BACKOFF = 2;
/** Milliseconds without requests after the upstream rejected one. */
const REJECTED_BACKOFF: Duration = 30;
/**
 * Weight of one report in the average pace of a service, which thus covers several hundred reports.
 */
const PACE_WEIGHT = 0.002;
/**
 * Assumed average excess pace before any reports arrive. An unnecessary on-demand probe costs less
 * than a request on a slow VM.
 */
const INITIAL_EXCESS_PACE = 1;
/** Milliseconds after which a limit that no answer confirms is forgotten; participants send requests meanwhile. */
const LIMIT_TTL: Duration = 15_000;
/** Number of reports that {@link INITIAL_EXCESS_PACE} counts for. */
const INITIAL_SAMPLE_COUNT = 20;
/** Maximum age in milliseconds of a load report that proves the upstream reachable from the reporting gateway. */
const MAX_FRESH_REPORT_AGE: Duration = 250;
/** Milliseconds without requests to an address that answered for another instance. */
const MISDIRECTED_BACKOFF: Duration = 3000;

function createRecord(
  instance: Instance,
  service: Service | undefined,
  losses: { state: LossState },
): UpstreamRecord {
  return {
    key: hashText(instance.id),
    instance,
    service,
    losses,
    inFlight: 0,
    report: { running: 0, waiting: 0, slots: instance.slots, pace: 1 },
    reportedAt: -Infinity,
    ownReportAt: -Infinity,
    inFlightChange: 0,
    lastSentAt: -Infinity,
    coldUntil: -Infinity,
    isColdOutdated: false,
    limit: undefined,
    limitNamedAt: -Infinity,
    nextSlotAt: -Infinity,
    misses: 0,
    blockedUntil: -Infinity,
    retryAfter: -Infinity,
    isLeaving: false,
    unresponsiveUntil: -Infinity,
    unreachableUntil: -Infinity,
    good: 0,
    bad: 0,
    countedAt: 0,
    rejected: 0,
    unsentGood: 0,
    unsentBad: 0,
    unsentRejected: 0,
    lastProbeAt: -Infinity,
    isProbing: false,
  };
}

function applyCountDecay(record: UpstreamRecord, now: Instant): void {
  const factor = 0.5 ** ((now - record.countedAt) / COUNT_HALF_LIFE);
  record.good *= factor;
  record.bad *= factor;
  record.rejected *= factor;
  record.countedAt = now;
}

/** Records a load report, unless a later one is known. */
export function addReport(record: UpstreamRecord, report: LoadReport, reportedAt: Instant): void {
  if (reportedAt <= record.reportedAt) return;
  record.report = report;
  record.reportedAt = reportedAt;
  record.inFlightChange = 0;
}

/** Adds good and bad answers that this or another gateway received. */
export function addCounts(record: UpstreamRecord, good: number, bad: number, now: Instant): void {
  applyCountDecay(record, now);
  record.good += good;
  record.bad += bad;
}

/** Adds requests that the upstream rejected, at this or another gateway, although it had free slots. */
export function addRejections(record: UpstreamRecord, rejected: number, now: Instant): void {
  applyCountDecay(record, now);
  record.rejected += rejected;
}

/** Inputs that determine the share of this gateway in the rate that all gateways may use of an upstream. */
export interface FleetShare {
  /** The id of this gateway. */
  readonly self: string;
  readonly gateways: readonly string[];
  readonly bounds: ColdBounds;
}

/** Returns the milliseconds between two requests of this gateway to an upstream that is cold or has a limit. */
function computeSlotInterval(record: UpstreamRecord, now: Instant, share: FleetShare): Duration {
  const { self, gateways, bounds } = share;
  const { limit, coldUntil, service, instance } = record;
  const rates = [
    ...(coldUntil > now ? [computeColdRate(service?.coldRate ?? 0, bounds)] : []),
    ...(limit === undefined ? [] : [computeLimitRate(limit)]),
  ];
  const intervals = rates.map(
    (rate) => computeSharedInterval(instance.id, self, gateways, rate) ?? Infinity,
  );
  return Math.max(0, ...intervals);
}

/** Marks the upstream as cold for `coldFor` milliseconds; 0 ends the slow start. */
export function markCold(
  record: UpstreamRecord,
  coldFor: Duration,
  now: Instant,
  share: FleetShare,
): void {
  const wasCold = record.coldUntil > now;
  record.isColdOutdated = false;
  record.coldUntil = coldFor > 0 ? now + coldFor : -Infinity;
  if (!wasCold) assignFirstSlot(record, now, share);
}

/**
 * Marks the upstream as cold by a command that a gateway applies while it catches up. The command may
 * be older than the slow start, so a load report without one ends it.
 */
export function markColdFromLog(
  record: UpstreamRecord,
  coldFor: Duration,
  now: Instant,
  share: FleetShare,
): void {
  markCold(record, coldFor, now, share);
  record.isColdOutdated = true;
}

/** Ends a slow start that was only known from the log, as the upstream reports that it is not cold. */
export function finishOutdatedCold(record: UpstreamRecord): void {
  if (!record.isColdOutdated) return;
  record.isColdOutdated = false;
  record.coldUntil = -Infinity;
}

/**
 * Records the limit that an answer to this or another gateway named at `namedAt`, or that it named none, unless a later
 * answer is known.
 */
export function addLimit(
  record: UpstreamRecord,
  limit: number | undefined,
  namedAt: Instant,
  now: Instant,
  share: FleetShare,
): void {
  const hasNews = limit !== undefined || record.limitNamedAt !== -Infinity;
  if (!hasNews || namedAt <= record.limitNamedAt) return;
  const hadLimit = record.limit !== undefined;
  record.limit = limit;
  record.limitNamedAt = namedAt;
  if (limit !== undefined && !hadLimit) assignFirstSlot(record, now, share);
}

/** Returns whether the upstream takes a limited rate of requests from all gateways together. */
export function isRateShared(
  { coldUntil, limit, limitNamedAt }: UpstreamRecord,
  now: Instant,
): boolean {
  return coldUntil > now || (limit !== undefined && now - limitNamedAt <= LIMIT_TTL);
}

/** Returns whether the upstream takes no new requests from this gateway, by its own words. */
export function isTurningAway({ isLeaving, retryAfter }: UpstreamRecord, now: Instant): boolean {
  return isLeaving || retryAfter > now;
}

/**
 * Spreads the first requests at random, as all gateways learn of the cold or limited upstream at the same time. A slot
 * that a gateway waits for is not brought forward.
 */
function assignFirstSlot(record: UpstreamRecord, now: Instant, share: FleetShare): void {
  const interval = computeSlotInterval(record, now, share);
  const slot = interval === Infinity ? Infinity : now + interval * Math.random();
  record.nextSlotAt = record.nextSlotAt === Infinity ? slot : Math.max(record.nextSlotAt, slot);
}

/** Gives a gateway that took no part in the rate of the upstream a slot if it does now, as the gateways have changed. */
export function renewSlot(record: UpstreamRecord, now: Instant, share: FleetShare): void {
  if (record.nextSlotAt === Infinity && isRateShared(record, now))
    assignFirstSlot(record, now, share);
}

/** Uses the slot of this gateway at a cold or limited upstream and schedules the next one. */
export function claimSlot(record: UpstreamRecord, now: Instant, share: FleetShare): void {
  record.nextSlotAt = now + computeSlotInterval(record, now, share);
}

function recordMiss(record: UpstreamRecord, isUnreachable: boolean, now: Instant): void {
  record.misses += 1;
  if (!isUnreachable && record.misses < MISSES_BEFORE_BACKOFF) return;
  const doublings = Math.min(record.misses - 1, 10);
  record.blockedUntil = now + Math.min(MAX_BACKOFF, INITIAL_BACKOFF * 2 ** doublings);
}

/** Returns the estimated number of requests running or queued in the upstream. */
export function computeOccupancy(record: UpstreamRecord): number {
  const { running, waiting } = record.report;
  return Math.max(record.inFlight, running + waiting + record.inFlightChange);
}

function recordLoss(record: UpstreamRecord, now: Instant): void {
  const waiting = computeOccupancy(record) - record.instance.slots;
  record.losses.state = addLoss(record.losses.state, { upstream: record.key, waiting, at: now });
}

/** Updates the record with the outcome of an attempt. */
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
      if (outcome.isMisdirected || isFullByReport(record.report, record.instance.slots)) return;
      addRejections(record, 1, now);
      record.unsentRejected += 1;
      return;
    case 'unreachable':
    case 'lost':
      if (outcome.kind === 'lost' && outcome.isDisconnected) recordLoss(record, now);
      addCounts(record, 0, 1, now);
      record.unsentBad += 1;
      recordMiss(record, outcome.kind === 'unreachable', now);
      return;
  }
}

/** The upstreams of one gateway, indexed by id, key and service. */
export class UpstreamRegistry {
  readonly #records = new Map<string, UpstreamRecord>();
  readonly #byKey = new Map<number, UpstreamRecord>();
  /** The upstreams by address, which the catalog gives to one instance at a time. */
  readonly #byAddress = new Map<Address, UpstreamRecord>();
  #catalog: Catalog = emptyCatalog;
  #services: ReadonlyMap<string, Service> = new Map();
  /** All records as a list; undefined after a change. */
  #allRecords: readonly UpstreamRecord[] | undefined;
  readonly #losses = new Map<string, { state: LossState }>();
  readonly #excessPace = new Map<string, MovingAverage>();
  /** Usable upstreams by service; those of a changed service are missing until they are needed. */
  readonly #usable = new Map<string, readonly UpstreamRecord[]>();

  /** Number of upstreams. */
  get size(): number {
    return this.#records.size;
  }

  /** All upstreams. The same list object is returned until the instances change. */
  get records(): readonly UpstreamRecord[] {
    this.#allRecords ??= [...this.#records.values()];
    return this.#allRecords;
  }

  /**
   * Returns the upstream whose id has this hash. Among a thousand upstreams, the odds of a
   * collision are 1 to 8000.
   */
  getByKey(key: number): UpstreamRecord | undefined {
    return this.#byKey.get(key);
  }

  getRecord(id: string): UpstreamRecord | undefined {
    return this.#records.get(id);
  }

  /**
   * Applies a new catalog and returns the addresses that no longer belong to an instance. Instances
   * that are the same object as before keep their record and their place in the indexes. `commands`
   * are those that led from the last catalog to this one; with them, the work depends on their
   * number only.
   */
  update(catalog: Catalog, commands?: readonly CatalogCommand[]): readonly Address[] {
    const previous = this.#catalog;
    this.#catalog = catalog;
    const areServicesChanged = catalog.table !== previous.table;
    if (areServicesChanged) this.#updateServices(catalog);
    if (areServicesChanged || catalog.zonesOut !== previous.zonesOut) this.#usable.clear();
    if (catalog.instances === previous.instances) return [];
    const ids = commands === undefined ? this.#listAllIds() : this.#listTouchedIds(commands);
    const gone = ids.flatMap((id) => this.#updateInstance(id, catalog.instances.get(id)));
    return gone.filter((address) => !this.#byAddress.has(address));
  }

  #updateServices({ table }: Catalog): void {
    this.#services = new Map(table?.services.map((service) => [service.name, service]));
    this.#records.forEach((record) => {
      Object.assign(record, { service: this.#services.get(record.instance.service) });
    });
  }

  #listAllIds(): readonly string[] {
    return [...new Set([...this.#records.keys(), ...this.#catalog.instances.keys()])];
  }

  /** Returns the ids of the instances that the commands may have added, changed or removed. */
  #listTouchedIds(commands: readonly CatalogCommand[]): readonly string[] {
    const ids = commands.flatMap((command): readonly string[] => {
      switch (command.kind) {
        case 'announce': {
          // An announcement removes the earlier instance at its address.
          const replaced = this.#byAddress.get(command.instance.address);
          return [...(replaced === undefined ? [] : [replaced.instance.id]), command.instance.id];
        }
        case 'end':
          return [command.id];
        case 'chill':
        case 'replaceRoutes':
        case 'patchRoutes':
        case 'startMove':
        case 'stepMove':
        case 'setZone':
        case 'recordUsage':
        case 'takeUsageDuty':
          return [];
      }
    });
    return [...new Set(ids)];
  }

  /** Updates the record of an instance, and returns its former address if it changed. */
  #updateInstance(id: string, instance: Instance | undefined): readonly Address[] {
    const before = this.#records.get(id)?.instance;
    if (before === instance) return [];
    if (before !== undefined) this.#removeIndexes(before);
    if (instance === undefined) this.#records.delete(id);
    else this.#setRecord(instance);
    this.#allRecords = undefined;
    return before === undefined ? [] : [before.address];
  }

  #removeIndexes({ id, address, service }: Instance): void {
    const record = this.#records.get(id);
    if (record === undefined) return;
    this.#byKey.delete(record.key);
    if (this.#byAddress.get(address) === record) this.#byAddress.delete(address);
    this.#usable.delete(service);
  }

  /** Keeps the state of an instance as long as it is the same start at the same address. */
  #setRecord(instance: Instance): void {
    const known = this.#records.get(instance.id);
    const service = this.#services.get(instance.service);
    const record =
      known?.instance.bornAt === instance.bornAt && known.instance.address === instance.address
        ? Object.assign(known, { instance, service })
        : createRecord(instance, service, this.#getLosses(instance.service));
    this.#records.set(instance.id, record);
    this.#byKey.set(record.key, record);
    this.#byAddress.set(instance.address, record);
    this.#usable.delete(instance.service);
  }

  #getLosses(service: string): { state: LossState } {
    const losses = this.#losses.get(service) ?? { state: NO_LOSSES };
    this.#losses.set(service, losses);
    return losses;
  }

  #findUsable(service: string): readonly UpstreamRecord[] {
    if (!this.#services.has(service)) return [];
    const { zonesOut } = this.#catalog;
    return this.records.filter(
      ({ instance }) =>
        instance.service === service && !instance.draining && !zonesOut.includes(instance.zone),
    );
  }

  #getUsable(service: string): readonly UpstreamRecord[] {
    const known = this.#usable.get(service);
    if (known !== undefined) return known;
    const usable = this.#findUsable(service);
    this.#usable.set(service, usable);
    return usable;
  }

  /** Adds the pace of one of the service's VMs to the average. */
  addPace(service: string, pace: number): void {
    const average =
      this.#excessPace.get(service) ??
      new MovingAverage(INITIAL_EXCESS_PACE, PACE_WEIGHT, INITIAL_SAMPLE_COUNT);
    this.#excessPace.set(service, average);
    average.addSample(Math.max(0, pace - 1));
  }

  /**
   * Returns the average amount by which the pace of the service's VMs exceeds the normal pace of 1.
   */
  getExcessPace(service: string): number {
    return this.#excessPace.get(service)?.value ?? 0;
  }

  /** Records a load report that another gateway sent, with its counts of answers. */
  applyReport(received: ReceivedReport, now: Instant, share: FleetShare): void {
    const { key, running, waiting, pace, reportedAt, coldFor, unreachableFor } = received;
    const { good, bad, rejected, limit } = received;
    const record = this.getByKey(key);
    if (record === undefined) return;
    if (unreachableFor > 0) record.unreachableUntil = now + unreachableFor;
    else if (now - reportedAt < MAX_FRESH_REPORT_AGE) record.unreachableUntil = -Infinity;
    addReport(record, { running, waiting, slots: record.instance.slots, pace }, reportedAt);
    this.addPace(record.instance.service, pace);
    if (good + bad > 0) addCounts(record, good, bad, now);
    if (rejected > 0) addRejections(record, rejected, now);
    if (limit !== undefined) addLimit(record, limit.rate, limit.namedAt, now, share);
    if (coldFor === 0) finishOutdatedCold(record);
    else if (record.coldUntil <= now) markCold(record, coldFor, now, share);
  }

  getVersionShare(service: string): VersionShare {
    return this.#services.has(service)
      ? getVersionShare(this.#catalog, service)
      : { stable: undefined, next: undefined, share: 0 };
  }

  /**
   * Returns the upstreams of a service that may receive requests, restricted to one version if it
   * is given. While the version that traffic is moved to has no upstreams, the stable version
   * serves its requests.
   */
  listUsable(service: string, version: string | undefined): readonly UpstreamRecord[] {
    const all = this.#getUsable(service);
    if (version === undefined) return all;
    const wanted = all.filter(({ instance }) => instance.version === version);
    const { stable, next } = this.getVersionShare(service);
    if (wanted.length > 0 || version !== next) return wanted;
    return all.filter(({ instance }) => instance.version === stable);
  }

  /**
   * Marks every upstream of a zone as cold, for example when the zone returns to traffic.
   */
  markZoneCold(zone: string, now: Instant, share: FleetShare): void {
    this.#records.forEach((record) => {
      if (record.instance.zone !== zone) return;
      markCold(record, record.service?.coldTime ?? 0, now, share);
    });
  }
}
