/**
 * Shares among gateways what each sees of the upstreams' load. Invariant: of one upstream the latest report
 * counts, whoever saw it, and each upstream is probed by one gateway in the eyes of those who agree on who
 * is there.
 */
import { createSocket, type Socket } from 'node:dgram';
import { Packr } from 'msgpackr';
import { parseAddress, type Address, type Duration, type Instant } from '../model/index.js';
import type { UpstreamRecord } from './types.js';

const packr = new Packr({ useRecords: false });

/** Milliseconds between two pulses of a small fleet; VMs change their pace in about 500. */
const PULSE_INTERVAL: Duration = 50;
/** Datagrams a second that one gateway sends at most. */
const PULSE_RATE = 400;
/** Bytes of rows in one datagram, below the usual packet size. */
const MAX_DATAGRAM = 1200;

/** What a gateway tells of one upstream; short keys, as datagrams are many. */
type PulseRow = readonly [
  id: string,
  running: number,
  waiting: number,
  slots: number,
  pace: number,
  /** Milliseconds since the report was made. */
  age: Duration,
  good: number,
  bad: number,
  /** Milliseconds that the upstream stays cold. */
  coldFor: Duration,
  /** Milliseconds for which the upstream counts as out of reach; only its prober says so. */
  outOfReachFor: Duration,
];

/** What was heard of one upstream. */
export interface HeardReport {
  readonly id: string;
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  readonly pace: number;
  readonly at: Instant;
  readonly good: number;
  readonly bad: number;
  readonly coldFor: Duration;
  readonly outOfReachFor: Duration;
}

/** What {@link createPulse} needs. */
export interface PulseOptions {
  readonly listen: Address;
  readonly now: () => Instant;
  readonly listRecords: () => readonly UpstreamRecord[];
  /** Whether this gateway is the one that probes the upstream. */
  readonly isProber: (record: UpstreamRecord) => boolean;
  /** Addresses of the other gateways. */
  readonly listPeers: () => readonly Address[];
  readonly onReport: (report: HeardReport) => void;
  readonly onProblem: (message: string) => void;
}

/** The sending and receiving end of pulses. */
export interface Pulse {
  close(): void;
}

class DatagramPulse implements Pulse {
  readonly #options: PulseOptions;
  readonly #socket: Socket;
  #timer: NodeJS.Timeout | undefined;
  #toldAt: Instant = -Infinity;

  constructor(options: PulseOptions) {
    this.#options = options;
    this.#socket = createSocket('udp4');
    this.#socket.on('message', (message) => {
      try {
        this.#receive(message);
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
    const peers = this.#options.listPeers();
    const interval = Math.max(PULSE_INTERVAL, (peers.length * 1000) / PULSE_RATE);
    this.#timer = setTimeout(() => {
      this.#send(peers);
      this.#schedule();
    }, interval);
  }

  #listRows(): readonly PulseRow[] {
    const { now: clock, isProber } = this.#options;
    const now = clock();
    const since = this.#toldAt;
    this.#toldAt = now;
    return this.#options
      .listRecords()
      .filter((record) => {
        const { ownReportAt, newGood, newBad, outOfReachUntil } = record;
        return ownReportAt > since || newGood + newBad > 0 || outOfReachUntil > now;
      })
      .map((record) => {
        const { report, newGood, newBad } = record;
        const { running, waiting, slots, pace } = report;
        record.newGood = 0;
        record.newBad = 0;
        return [
          record.instance.id,
          running,
          waiting,
          slots,
          Math.round(pace * 100),
          Math.round(Math.min(now - record.reportedAt, 60_000)),
          newGood,
          newBad,
          Math.round(Math.max(0, Math.min(record.coldUntil - now, 60_000))),
          isProber(record) ? Math.round(Math.max(0, record.outOfReachUntil - now)) : 0,
        ] as const;
      });
  }

  #send(peers: readonly Address[]): void {
    const rows = this.#listRows();
    if (rows.length === 0 || peers.length === 0) return;
    const whole = packr.pack(rows);
    const half = Math.ceil(rows.length / 2);
    const datagrams =
      whole.length <= MAX_DATAGRAM
        ? [whole]
        : [packr.pack(rows.slice(0, half)), packr.pack(rows.slice(half))];
    peers.forEach((peer) => {
      const { host, port } = parseAddress(peer);
      datagrams.forEach((datagram) => {
        this.#socket.send(datagram, port, host);
      });
    });
  }

  #receive(message: Buffer): void {
    const now = this.#options.now();
    const rows = packr.unpack(message) as readonly PulseRow[];
    rows.forEach((row) => {
      const [id, running, waiting, slots, pace, age, good, bad, coldFor, outOfReachFor] = row;
      this.#options.onReport({
        id,
        running,
        waiting,
        slots,
        pace: pace / 100,
        at: now - age,
        good,
        bad,
        coldFor,
        outOfReachFor,
      });
    });
  }
}

/** Opens the socket for pulses and starts sending. */
export function createPulse(options: PulseOptions): Pulse {
  return new DatagramPulse(options);
}
