/**
 * Shares among gateways what each sees of the upstreams' load. Invariant: of one upstream the latest report
 * counts, whoever saw it and whichever way it came, and a row is passed on at most twice.
 */
import { createSocket, type Socket } from 'node:dgram';
import { Packr } from 'msgpackr';
import { parseAddress, type Address, type Duration, type Instant } from '../model/index.js';
import type { GossipPlan } from './relays.js';
import type { UpstreamRecord } from './types.js';

const packr = new Packr({ useRecords: false });

/** Milliseconds between two pulses of a small fleet; VMs change their pace in about 500. */
const GOSSIP_INTERVAL: Duration = 100;
/** Datagrams a second that one gateway sends to all others at most. */
const MAX_DATAGRAM_RATE = 400;
/** Milliseconds between two pulses through relays; each of the two further hops adds as much at most. */
const RELAYED_GOSSIP_INTERVAL: Duration = 150;
/** Milliseconds without a word of the relay after which the next one is used; a few of its pulses. */
const RELAY_TIMEOUT: Duration = 500;
/** Milliseconds for which a relay serves a gateway that it heard from. */
const FOLLOWER_TTL: Duration = 1000;
/** Rows in one datagram; a row takes up to 18 bytes, and the usual packet holds 1,200. */
const MAX_ROWS_PER_DATAGRAM = 64;
/** Longest time that a row tells, which keeps its numbers short. */
const MAX_ROW_TIME: Duration = 60_000;

/** What a gateway tells of one upstream; zeros at the end are left out. */
type GossipRow = readonly [
  /** Hash of the upstream's id. */
  key: number,
  running: number,
  waiting: number,
  /** Percent of the usual. */
  pace: number,
  /** Milliseconds since the report was made. */
  age: Duration,
  good?: number,
  bad?: number,
  /** Milliseconds that the upstream stays cold. */
  coldFor?: Duration,
  /** Milliseconds for which the upstream counts as out of reach; its prober says so. */
  unreachableFor?: Duration,
];

/** Where the rows of a datagram come from, which decides where they go on to. */
type GossipSource = 'gateway' | 'follower' | 'relay' | 'own-relay';

/** What was heard of one upstream. */
export interface ReceivedReport {
  /** Hash of the upstream's id. */
  readonly key: number;
  readonly running: number;
  readonly waiting: number;
  readonly pace: number;
  readonly reportedAt: Instant;
  readonly good: number;
  readonly bad: number;
  readonly coldFor: Duration;
  readonly unreachableFor: Duration;
}

/** What {@link createLoadGossip} needs. */
export interface LoadGossipOptions {
  readonly listen: Address;
  readonly now: () => Instant;
  readonly listRecords: () => readonly UpstreamRecord[];
  readonly getRecord: (key: number) => UpstreamRecord | undefined;
  /** Whether this gateway is the one that probes the upstream. */
  readonly isProber: (record: UpstreamRecord) => boolean;
  readonly getPlan: () => GossipPlan;
  readonly onReport: (report: ReceivedReport) => void;
  readonly onProblem: (message: string) => void;
}

/** The sending and receiving end of pulses. */
export interface LoadGossip {
  close(): void;
}

/** Good and bad answers by the key of their upstream. */
type Counts = ReadonlyMap<number, readonly [good: number, bad: number]>;

function mergeCounts(one: Counts, two: Counts): Counts {
  if (one.size === 0) return two;
  const sum = new Map(one);
  two.forEach(([good, bad], key) => {
    const [knownGood, knownBad] = sum.get(key) ?? [0, 0];
    sum.set(key, [knownGood + good, knownBad + bad]);
  });
  return sum;
}

function buildRow(row: GossipRow): GossipRow {
  const last = row.findLastIndex((value) => value !== 0);
  return row.slice(0, Math.max(last + 1, 5)) as unknown as GossipRow;
}

class LoadGossipSocket implements LoadGossip {
  readonly #options: LoadGossipOptions;
  readonly #socket: Socket;
  readonly #followers = new Map<Address, Instant>();
  #timer: NodeJS.Timeout | undefined;
  #lastSentAt: Instant = -Infinity;
  /** What followers, and what other relays told since the last pulse. */
  #followerCounts: Counts = new Map();
  #relayCounts: Counts = new Map();
  /** How many relays of the zone were given up one after another. */
  #relayFailovers = 0;
  #relayLastReceivedAt: Instant;

  constructor(options: LoadGossipOptions) {
    this.#options = options;
    this.#relayLastReceivedAt = options.now();
    this.#socket = createSocket('udp4');
    this.#socket.on('message', (message, { address, port }) => {
      try {
        this.#receive(`${address}:${port}`, message);
      } catch (error) {
        options.onProblem(String(error));
      }
    });
    this.#socket.on('error', (error) => {
      options.onProblem(error.message);
    });
    const { host, port } = parseAddress(options.listen);
    this.#socket.bind(port, host);
    this.#schedule();
  }

  close(): void {
    clearTimeout(this.#timer);
    this.#socket.close();
  }

  #schedule(): void {
    const plan = this.#options.getPlan();
    const interval =
      plan.kind === 'direct'
        ? Math.max(GOSSIP_INTERVAL, (plan.peers.length * 1000) / MAX_DATAGRAM_RATE)
        : RELAYED_GOSSIP_INTERVAL;
    this.#timer = setTimeout(() => {
      this.#sendOwn(this.#options.getPlan());
      this.#schedule();
    }, interval);
  }

  #sendOwn(plan: GossipPlan): void {
    const own = this.#collectOwnCounts();
    switch (plan.kind) {
      case 'direct':
        this.#send(plan.peers, 'gateway', this.#listRows(own));
        return;
      case 'relayed':
        this.#sendThroughRelays(plan, own);
        return;
    }
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
        plan.relays,
        'relay',
        this.#listRows(mergeCounts(fromFollowers, own), fromFollowers),
      );
      // A follower learns from it that its relay lives, so it is sent also without news.
      const rows = this.#listRows(mergeCounts(forwarded, own), forwarded);
      this.#send([...this.#followers.keys()], 'own-relay', rows, true);
    }
    if (plan.isRelay) return;
    if (now - this.#relayLastReceivedAt > RELAY_TIMEOUT) {
      this.#relayFailovers += 1;
      this.#relayLastReceivedAt = now;
    }
    const relay = plan.zoneRelays[this.#relayFailovers % Math.max(1, plan.zoneRelays.length)];
    if (relay !== undefined) this.#send([relay], 'follower', this.#listRows(own), true);
  }

  /** Takes what this gateway itself learned since the last pulse. */
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
            record.unsentGood + record.unsentBad > 0 ||
            (record.unreachableUntil > now && isProber(record)),
        )
        .map((record) => {
          const counts = [record.unsentGood, record.unsentBad] as const;
          record.unsentGood = 0;
          record.unsentBad = 0;
          return [record.key, counts] as const;
        }),
    );
  }

  /** Only the prober of an upstream, and who passes its word on, says that it is out of reach. */
  #listRows(counts: Counts, forwarded: Counts = new Map()): readonly GossipRow[] {
    const { isProber } = this.#options;
    const now = this.#options.now();
    const clampTime = (time: Duration): Duration =>
      Math.round(Math.max(0, Math.min(time, MAX_ROW_TIME)));
    return [...counts].flatMap(([key, [good, bad]]) => {
      const record = this.#options.getRecord(key);
      if (record === undefined) return [];
      const { running, waiting, pace } = record.report;
      const age = clampTime(now - record.reportedAt);
      return [
        buildRow([
          ...([key, running, waiting, Math.round(pace * 100), age, good, bad] as const),
          clampTime(record.coldUntil - now),
          forwarded.has(key) || isProber(record) ? clampTime(record.unreachableUntil - now) : 0,
        ]),
      ];
    });
  }

  #send(
    peers: readonly Address[],
    source: GossipSource,
    rows: readonly GossipRow[],
    sendEmpty = false,
  ): void {
    if (peers.length === 0 || (rows.length === 0 && !sendEmpty)) return;
    const count = Math.max(1, Math.ceil(rows.length / MAX_ROWS_PER_DATAGRAM));
    const datagrams = Array.from({ length: count }, (_, at) =>
      packr.pack([
        source,
        rows.slice(at * MAX_ROWS_PER_DATAGRAM, (at + 1) * MAX_ROWS_PER_DATAGRAM),
      ]),
    );
    peers.forEach((peer) => {
      const { host, port } = parseAddress(peer);
      datagrams.forEach((datagram) => {
        this.#socket.send(datagram, port, host);
      });
    });
  }

  #receive(from: Address, message: Buffer): void {
    const now = this.#options.now();
    const [source, rows] = packr.unpack(message) as readonly [GossipSource, readonly GossipRow[]];
    const counts: Counts = new Map(
      rows.map(([key, , , , , good = 0, bad = 0]) => [key, [good, bad] as const]),
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
      const [key, running, waiting, pace, age, good = 0, bad = 0, coldFor = 0, unreachableFor = 0] =
        row;
      this.#options.onReport({
        key,
        running,
        waiting,
        pace: pace / 100,
        reportedAt: now - age,
        good,
        bad,
        coldFor,
        unreachableFor,
      });
    });
  }
}

/** Opens the socket for pulses and starts sending. */
export function createLoadGossip(options: LoadGossipOptions): LoadGossip {
  return new LoadGossipSocket(options);
}
