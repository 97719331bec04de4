/**
 * Load gossip: gateways exchange load reports of upstreams over UDP. Invariant: the latest report
 * of an upstream wins, regardless of its sender and route, a row is forwarded at most twice, and over a few seconds gossip
 * takes no more than its share of the link, on which it would delay everything else.
 */
import type { Address, Duration, Instant } from '../model/index.js';
import { FarReports, mergeCounts, NO_COUNTS, type Counts } from './farreports.js';
import type { GossipPlan } from './relays.js';
import type { GossipTransport } from './transport.js';
import type { UpstreamRecord } from './types.js';

/**
 * Minimum milliseconds between two rounds of direct gossip. The pace of a VM changes about every
 * 500 ms.
 */
const GOSSIP_INTERVAL: Duration = 100;
/**
 * Number of rounds after which reports are sent to other zones. Gateways send few requests there, and
 * probe on demand before they do; traffic between zones is expensive.
 */
const FAR_ROUNDS = 3;
/** Maximum number of datagrams per second that one gateway sends to all others. */
const MAX_DATAGRAM_RATE = 400;
/**
 * Milliseconds between two rounds of gossip through relays. Each of the two further hops adds at
 * most the same delay.
 */
const RELAYED_GOSSIP_INTERVAL: Duration = 150;
/**
 * Milliseconds without a message from the relay after which the next relay is used; spans several
 * gossip rounds of the relay.
 */
const RELAY_TIMEOUT: Duration = 500;
/** Milliseconds for which a relay serves a gateway after its last message. */
const FOLLOWER_TTL: Duration = 1000;
/**
 * Maximum number of rows in one datagram. A row takes up to 18 bytes, with rejections 23, and a typical
 * packet holds 1,200.
 */
const MAX_ROWS_PER_DATAGRAM = 64;
/** Bytes that a row takes, with its part of the datagram's head. */
const ROW_BYTES = 20;
/** Share of the link that gossip may take. */
const LINK_SHARE = 0.4;
/** Part of that share for other zones. */
const FAR_SHARE = 0.4;
/** Milliseconds for which an unused part of that share may be used later. */
const MAX_SAVED_TIME: Duration = 500;
/** Maximum of the times in a row, in milliseconds; keeps the encoded numbers short. */
const MAX_ROW_TIME: Duration = 60_000;

/** Load report of one upstream as encoded in a datagram. Trailing zeros are omitted. */
type GossipRow = readonly [
  /** Hash of the upstream's id. */
  key: number,
  running: number,
  waiting: number,
  /** Percent of the normal pace. */
  pace: number,
  /** Milliseconds since the report was made. */
  age: Duration,
  good?: number,
  bad?: number,
  /** Milliseconds for which the upstream stays cold. */
  coldFor?: Duration,
  /** Milliseconds for which the upstream counts as unreachable, as determined by its prober. */
  unreachableFor?: Duration,
  /** 0 if no limit was ever known, 1 if it ended, or 2 and the limit in tenths of a request per second. */
  limitCode?: number,
  /** Milliseconds since that answer. */
  limitAge?: Duration,
  /** Requests that the upstream rejected although it had free slots, since the last row; at most {@link MAX_REJECTED}. */
  rejected?: number,
];

/** Maximum of the rejections in a row, which takes one byte. */
const MAX_REJECTED = 127;

/** Offset of the limit in a row, which tells it from no answer and no limit. */
const LIMIT_CODE_OFFSET = 2;
/** Steps of the limit in a row for each request per second. */
const LIMIT_SCALE = 10;

function encodeLimit({ limit, limitNamedAt }: UpstreamRecord): number {
  if (limitNamedAt === -Infinity) return 0;
  return limit === undefined ? 1 : LIMIT_CODE_OFFSET + Math.round(limit * LIMIT_SCALE);
}

function decodeLimit(code: number, namedAt: Instant): ReceivedReport['limit'] {
  if (code < 1) return undefined;
  const rate = code < LIMIT_CODE_OFFSET ? undefined : (code - LIMIT_CODE_OFFSET) / LIMIT_SCALE;
  return { rate, namedAt };
}

/** Origin of the rows in a datagram, which determines where they are forwarded to. */
type GossipSource = 'gateway' | 'follower' | 'relay' | 'own-relay';

/** A load report that another gateway sent. */
export interface ReceivedReport {
  /** Hash of the upstream's id. */
  readonly key: number;
  readonly running: number;
  readonly waiting: number;
  readonly pace: number;
  readonly reportedAt: Instant;
  readonly good: number;
  readonly bad: number;
  readonly rejected: number;
  readonly coldFor: Duration;
  readonly unreachableFor: Duration;
  /** The limit that an answer named at an instant, with an undefined rate if it named none. */
  readonly limit: { readonly rate: number | undefined; readonly namedAt: Instant } | undefined;
}

/** Options of {@link createLoadGossip}. */
export interface LoadGossipOptions {
  readonly transport: GossipTransport;
  readonly now: () => Instant;
  readonly listRecords: () => readonly UpstreamRecord[];
  readonly getRecord: (key: number) => UpstreamRecord | undefined;
  /** Whether this gateway is the one that probes the upstream. */
  readonly isProber: (record: UpstreamRecord) => boolean;
  readonly getPlan: () => GossipPlan;
  /** Returns the milliseconds between two reports of an upstream to other zones. */
  readonly getFarInterval: (record: UpstreamRecord) => Duration;
  readonly onReport: (report: ReceivedReport) => void;
  /** Bytes that the VM's link carries in a second; unlimited by default. */
  readonly linkRate?: number | undefined;
}

/** Sends and receives load gossip until it is closed. */
export interface LoadGossip {
  close(): void;
}

function buildRow(row: GossipRow): GossipRow {
  const last = row.findLastIndex((value) => value !== 0);
  return row.slice(0, Math.max(last + 1, 5)) as unknown as GossipRow;
}

const sources: readonly GossipSource[] = ['gateway', 'follower', 'relay', 'own-relay'];

function isRow(value: unknown): value is GossipRow {
  if (!Array.isArray(value) || value.length < 5) return false;
  const numbers = value as readonly unknown[];
  return numbers.every((number) => typeof number === 'number' && number >= 0 && number < Infinity);
}

/**
 * Checks the rows of a datagram, as datagrams are not authenticated and a wrong number would stay in an
 * upstream's record.
 */
function decodeRows(rows: unknown): readonly GossipRow[] {
  if (!Array.isArray(rows) || !rows.every(isRow))
    throw new Error('a datagram is no load gossip: check what else sends to this address');
  return rows;
}

/** The bytes that gossip may send now. What was sent beyond is made up for later. */
class ByteBudget {
  readonly #rate: number;
  #left: number;
  #refilledAt: Instant;

  /** `rate` is in bytes a second. */
  constructor(rate: number, now: Instant) {
    this.#rate = rate;
    this.#left = (rate * MAX_SAVED_TIME) / 1000;
    this.#refilledAt = now;
  }

  getLeft(now: Instant): number {
    if (this.#rate === Infinity) return Infinity;
    const most = (this.#rate * MAX_SAVED_TIME) / 1000;
    const added = (this.#rate * (now - this.#refilledAt)) / 1000;
    this.#left = Math.min(most, this.#left + added);
    this.#refilledAt = now;
    return this.#left;
  }

  /** Returns the milliseconds until something may be sent. */
  getWait(now: Instant): Duration {
    const left = this.getLeft(now);
    return left > 0 ? 0 : (-left / this.#rate) * 1000;
  }

  take(bytes: number): void {
    this.#left -= bytes;
  }
}

class RunningLoadGossip implements LoadGossip {
  readonly #options: LoadGossipOptions;
  readonly #followers = new Map<Address, Instant>();
  #timer: NodeJS.Timeout | undefined;
  #lastSentAt: Instant = -Infinity;
  /**
   * Answers that followers and other relays reported since the last round. Those of other relays
   * are forwarded to followers only.
   */
  #followerCounts: Counts = new Map();
  #relayCounts: Counts = new Map();
  readonly #farReports: FarReports;
  #round = 0;
  /** Number of relays of the zone that were given up so far; selects the current relay. */
  #relayFailovers = 0;
  #relayLastReceivedAt: Instant;
  /** Counts that followers were not sent yet, in the order in which they came; and those of them that were forwarded. */
  #pending: Counts = NO_COUNTS;
  #pendingForwarded: Counts = NO_COUNTS;
  readonly #budget: ByteBudget;
  readonly #farBudget: ByteBudget;

  constructor(options: LoadGossipOptions) {
    this.#options = options;
    this.#farReports = new FarReports({
      getRecord: options.getRecord,
      getInterval: options.getFarInterval,
    });
    this.#relayLastReceivedAt = options.now();
    const rate = (options.linkRate ?? Infinity) * LINK_SHARE;
    this.#budget = new ByteBudget(rate * (1 - FAR_SHARE), options.now());
    this.#farBudget = new ByteBudget(rate * FAR_SHARE, options.now());
    sources.forEach((source) => {
      options.transport.handle(source, (from, [rows]) => {
        this.#receive(from, source, decodeRows(rows));
      });
    });
    this.#schedule();
  }

  close(): void {
    clearTimeout(this.#timer);
  }

  #schedule(): void {
    const plan = this.#options.getPlan();
    const interval =
      plan.kind === 'direct'
        ? Math.max(
            GOSSIP_INTERVAL,
            this.#budget.getWait(this.#options.now()),
            ((plan.peers.length + plan.farPeers.length / FAR_ROUNDS) * 1000) / MAX_DATAGRAM_RATE,
          )
        : RELAYED_GOSSIP_INTERVAL;
    this.#timer = setTimeout(() => {
      this.#sendOwn(this.#options.getPlan());
      this.#schedule();
    }, interval);
  }

  #sendOwn(plan: GossipPlan): void {
    const own = this.#collectOwnCounts();
    this.#round += 1;
    switch (plan.kind) {
      case 'direct':
        this.#send(plan.peers, 'gateway', this.#listRows(own));
        this.#sendFar(plan.farPeers, 'gateway', own, NO_COUNTS);
        return;
      case 'relayed':
        this.#sendThroughRelays(plan, own);
        return;
    }
  }

  /** Adds the counts to those for other zones, and sends what is due in every {@link FAR_ROUNDS}th round. */
  #sendFar(peers: readonly Address[], source: GossipSource, own: Counts, forwarded: Counts): void {
    this.#farReports.add(own, forwarded);
    if (this.#round % FAR_ROUNDS !== 0 || this.#farBudget.getWait(this.#options.now()) > 0) return;
    const due = this.#farReports.takeDue(this.#options.now());
    this.#send(peers, source, this.#listRows(due.all, due.forwarded), false, this.#farBudget);
  }

  #sendThroughRelays(plan: Extract<GossipPlan, { kind: 'relayed' }>, own: Counts): void {
    const now = this.#options.now();
    [...this.#followers].forEach(([address, at]) => {
      if (now - at > FOLLOWER_TTL) this.#followers.delete(address);
    });
    const fromFollowers = this.#followerCounts;
    const forwarded = mergeCounts(fromFollowers, this.#relayCounts);
    this.#followerCounts = new Map();
    this.#relayCounts = new Map();
    if (plan.isRelay || this.#followers.size > 0) {
      this.#send(
        plan.zoneRelays,
        'relay',
        this.#listRows(mergeCounts(fromFollowers, own), fromFollowers),
      );
      this.#sendFar(plan.farRelays, 'relay', own, fromFollowers);
      this.#sendToFollowers(mergeCounts(forwarded, own), forwarded);
    }
    if (plan.isRelay) return;
    if (now - this.#relayLastReceivedAt > RELAY_TIMEOUT) {
      this.#relayFailovers += 1;
      this.#relayLastReceivedAt = now;
    }
    const relay = plan.zoneRelays[this.#relayFailovers % Math.max(1, plan.zoneRelays.length)];
    if (relay !== undefined) this.#send([relay], 'follower', this.#listRows(own), true);
  }

  /** Sends the followers as many rows as the link has room for, the oldest first; the others wait. */
  #sendToFollowers(counts: Counts, forwarded: Counts): void {
    const followers = [...this.#followers.keys()];
    const pending = [...mergeCounts(this.#pending, counts)];
    const left = this.#budget.getLeft(this.#options.now());
    const room = Math.max(0, Math.floor(left / (ROW_BYTES * Math.max(1, followers.length))));
    const due = new Map(pending.slice(0, room));
    const allForwarded = mergeCounts(this.#pendingForwarded, forwarded);
    this.#pending = new Map(pending.slice(room));
    this.#pendingForwarded = new Map([...allForwarded].filter(([key]) => !due.has(key)));
    // Followers detect a failed relay by missing datagrams, so a datagram is sent even without rows.
    this.#send(followers, 'own-relay', this.#listRows(due, allForwarded), true);
  }

  /**
   * Returns, for each upstream with something to report, the answers counted here since the last
   * round, and resets the counts.
   */
  #collectOwnCounts(): Counts {
    const { now: clock, isProber, listRecords } = this.#options;
    const now = clock();
    const since = this.#lastSentAt;
    this.#lastSentAt = now;
    return new Map(
      listRecords()
        .filter(
          (record) =>
            record.ownReportAt > since ||
            record.unsentGood + record.unsentBad + record.unsentRejected > 0 ||
            (record.unreachableUntil > now && isProber(record)),
        )
        .map((record) => {
          const { unsentGood, unsentBad, unsentRejected } = record;
          record.unsentGood = 0;
          record.unsentBad = 0;
          record.unsentRejected = 0;
          return [record.key, [unsentGood, unsentBad, unsentRejected]] as const;
        }),
    );
  }

  /**
   * Builds the rows for the given counts, without upstreams whose slow start is only known from the
   * log: others would take it for a new one, or for over. Only the prober of an upstream, and gateways that forward
   * its report, may mark the upstream as unreachable.
   */
  #listRows(counts: Counts, forwarded: Counts = new Map()): readonly GossipRow[] {
    const { isProber } = this.#options;
    const now = this.#options.now();
    const clampTime = (time: Duration): Duration =>
      Math.round(Math.max(0, Math.min(time, MAX_ROW_TIME)));
    return [...counts].flatMap(([key, [good, bad, rejected = 0]]) => {
      const record = this.#options.getRecord(key);
      if (record === undefined || (record.isColdOutdated && record.coldUntil > now)) return [];
      const { running, waiting, pace } = record.report;
      const age = clampTime(now - record.reportedAt);
      return [
        buildRow([
          ...([key, running, waiting, Math.round(pace * 100), age, good, bad] as const),
          clampTime(record.coldUntil - now),
          forwarded.has(key) || isProber(record) ? clampTime(record.unreachableUntil - now) : 0,
          encodeLimit(record),
          record.limitNamedAt === -Infinity ? 0 : clampTime(now - record.limitNamedAt),
          Math.min(rejected, MAX_REJECTED),
        ]),
      ];
    });
  }

  #send(
    peers: readonly Address[],
    source: GossipSource,
    rows: readonly GossipRow[],
    sendEmpty = false,
    budget = this.#budget,
  ): void {
    if (peers.length === 0 || (rows.length === 0 && !sendEmpty)) return;
    const count = Math.max(1, Math.ceil(rows.length / MAX_ROWS_PER_DATAGRAM));
    Array.from({ length: count }, (_, index) =>
      rows.slice(index * MAX_ROWS_PER_DATAGRAM, (index + 1) * MAX_ROWS_PER_DATAGRAM),
    ).forEach((part) => {
      budget.take(this.#options.transport.send(peers, [source, part]));
    });
  }

  #receive(from: Address, source: GossipSource, rows: readonly GossipRow[]): void {
    const now = this.#options.now();
    const counts: Counts = new Map(
      rows.map(([key, , , , , good = 0, bad = 0, , , , , rejected = 0]) => [
        key,
        [good, bad, rejected] as const,
      ]),
    );
    switch (source) {
      case 'gateway':
        break;
      case 'follower':
        this.#followers.set(from, now);
        this.#followerCounts = mergeCounts(this.#followerCounts, counts);
        break;
      case 'relay':
        this.#relayCounts = mergeCounts(this.#relayCounts, counts);
        break;
      case 'own-relay':
        this.#relayLastReceivedAt = now;
        break;
    }
    rows.forEach((row) => {
      const [key, running, waiting, pace, age, good = 0, bad = 0, coldFor = 0] = row;
      const [, , , , , , , , unreachableFor = 0, limitCode = 0, limitAge = 0, rejected = 0] = row;
      this.#options.onReport({
        key,
        running,
        waiting,
        pace: pace / 100,
        reportedAt: now - age,
        good,
        bad,
        rejected: Math.min(rejected, MAX_REJECTED),
        coldFor: Math.min(coldFor, MAX_ROW_TIME),
        unreachableFor: Math.min(unreachableFor, MAX_ROW_TIME),
        limit: decodeLimit(limitCode, now - limitAge),
      });
    });
  }
}

/** Starts to send load gossip, and to receive it. The transport stays open when it is closed. */
export function createLoadGossip(options: LoadGossipOptions): LoadGossip {
  return new RunningLoadGossip(options);
}
