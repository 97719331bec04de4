/**
 * Exchanges evidence of requests that crash upstreams between gateways: new evidence at once, and all of it with one
 * peer at a time, so that lost datagrams, new gateways and those that were cut off make no lasting difference.
 * Invariant: a datagram is forwarded by relays only, at most twice, and the bytes that a gateway sends in a round
 * are bounded.
 */
import type { Address, Duration, Instant } from '../model/index.js';
import {
  listEvidence,
  selectFirstEvidence,
  type Evidence,
  type QuarantineState,
} from '../quarantine/index.js';
import { hashText } from '../routing/index.js';
import type { GossipPlan } from './relays.js';
import type { GossipTransport } from './transport.js';

/** Milliseconds between two comparisons of all evidence with a peer. */
const SYNC_INTERVAL: Duration = 1000;
/** Number of peers that a gateway asks for their evidence when it starts, as some may not answer. */
const FIRST_SYNC_PEERS = 3;
/** Milliseconds after which a gateway that has just started asks again. */
const FIRST_SYNC_INTERVAL: Duration = 20;
/** Number of times that it asks, once it knows others and once more when it could serve. */
const FIRST_SYNC_REQUESTS = 4;
/** Milliseconds after which a gateway serves requests although no peer has answered; several round trips. */
const FIRST_SYNC_TIMEOUT: Duration = 80;
/** Milliseconds after which evidence is sent a second time, as datagrams get lost. */
const ROUND_INTERVAL: Duration = 150;
/** Number of times that new evidence is sent. */
const SENDINGS = 2;
/** Maximum number of rows that a gateway sends in one round directly to all others; a row takes about 30 bytes. */
const MAX_DIRECT_ROWS = 80;
/** Maximum number of rows in one round through relays, which send them to some 40 gateways on a small link. */
const MAX_RELAYED_ROWS = 16;
/** Maximum number of rows in one datagram, so that it fits in a typical packet. */
const MAX_ROWS_PER_DATAGRAM = 40;
/** Maximum number of rows in an answer to a comparison; those that decide most come first. */
const MAX_SYNC_ROWS = 200;
/** Maximum number of rows that wait to be sent. */
const MAX_WAITING_ROWS = 1000;
/** Maximum length in characters of a fingerprint that is accepted. */
const MAX_FINGERPRINT_LENGTH = 64;
/** Milliseconds for which a relay forwards to a gateway after its last message. */
const FOLLOWER_TTL: Duration = 2500;

/** Number of relays that a gateway uses at a time, as one of them may be down. */
const USED_RELAYS = 2;
/** The digest of a gateway that has just started. */
const UNKNOWN_DIGEST = -1;

/** Kinds of datagrams. */
const KINDS = {
  /** From a gateway to its relays, which forward it to all other relays and to the gateways that they serve. */
  report: 'crash-report',
  /** From a relay to other relays, which forward it to the gateways that they serve. */
  relay: 'crash-relay',
  /** To a gateway that forwards it to none. */
  news: 'crash-news',
  /** A digest of what the sender knows; the answer has what the receiver knows unless that is the same. */
  compare: 'crash-compare',
  /** The answer. */
  all: 'crash-all',
} as const;

/** Evidence as encoded in a datagram; ages and times left are in milliseconds. */
type Row =
  | readonly [kind: 0, fingerprint: string, upstream: string, incarnation: number, age: Duration]
  | readonly [kind: 1, fingerprint: string, age: Duration]
  | readonly [
      kind: 2,
      fingerprint: string,
      age: Duration,
      timeLeft: Duration,
      count: number,
      duration: Duration,
    ];

function encodeEvidence(evidence: Evidence, now: Instant): Row {
  const age = Math.max(0, Math.round(now - evidence.at));
  switch (evidence.kind) {
    case 'crash':
      return [0, evidence.fingerprint, evidence.upstreamId, evidence.incarnation, age];
    case 'success':
      return [1, evidence.fingerprint, age];
    case 'verdict': {
      const timeLeft = Math.max(0, Math.round(evidence.until - now));
      return [2, evidence.fingerprint, age, timeLeft, evidence.count, evidence.duration];
    }
  }
}

function isText(value: unknown): value is string {
  return typeof value === 'string' && value !== '' && value.length <= MAX_FINGERPRINT_LENGTH;
}

function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && Number(value) >= 0;
}

/** Returns the evidence of a row, or none if the row is malformed. */
function decodeRow(row: unknown, now: Instant): readonly Evidence[] {
  if (!Array.isArray(row)) return [];
  const [kind, fingerprint, ...rest] = row as readonly unknown[];
  if (!isText(fingerprint)) return [];
  const [one, two, three, four] = rest;
  if (kind === 0 && isText(one) && isCount(two) && isCount(three))
    return [{ kind: 'crash', fingerprint, upstreamId: one, incarnation: two, at: now - three }];
  if (kind === 1 && isCount(one)) return [{ kind: 'success', fingerprint, at: now - one }];
  if (kind === 2 && isCount(one) && isCount(two) && isCount(three) && isCount(four)) {
    const verdict = { at: now - one, until: now + two, count: three, duration: four };
    return [{ kind: 'verdict', fingerprint, ...verdict }];
  }
  return [];
}

/** Returns a number that is the same for the same evidence, regardless of its order and age. */
function computeDigest(state: QuarantineState): number {
  const keys = listEvidence(state).map((evidence) => {
    switch (evidence.kind) {
      case 'crash':
        return `c ${evidence.fingerprint} ${evidence.upstreamId} ${evidence.incarnation}`;
      case 'success':
        return `s ${evidence.fingerprint}`;
      case 'verdict':
        return `v ${evidence.fingerprint} ${evidence.count}`;
    }
  });
  return keys.reduce((sum, key) => (sum + hashText(key)) % 2 ** 32, 0);
}

/** Options of {@link createCrashGossip}. */
export interface CrashGossipOptions {
  readonly transport: GossipTransport;
  readonly now: () => Instant;
  readonly getPlan: () => GossipPlan;
  readonly getState: () => QuarantineState;
  readonly onEvidence: (evidence: readonly Evidence[]) => void;
  /** Called once, when the gateway knows what another one knows, or when none has answered in time. */
  readonly onSynced: () => void;
}

/** Exchanges evidence until it is closed. */
export interface CrashGossip {
  /** Whether the gateway knows what another one knows, or has waited for that long enough. */
  readonly isSynced: boolean;
  /** Passes on evidence that this gateway found, or that it received and others may need from it. */
  share(evidence: readonly Evidence[], origin: 'own' | 'received'): void;
  /** Sets the addresses of the other gateways. */
  setPeers(peers: readonly Address[]): void;
  /** Limits the time until the gateway counts as synced, from the first call on. */
  waitForSync(): void;
  close(): void;
}

interface WaitingRow {
  readonly evidence: Evidence;
  readonly targets: 'all' | 'followers';
  readonly sendingsLeft: number;
}

class RunningCrashGossip implements CrashGossip {
  readonly #options: CrashGossipOptions;
  readonly #followers = new Map<Address, Instant>();
  readonly #syncTimer: NodeJS.Timeout;
  #firstSyncTimer: NodeJS.Timeout | undefined;
  #requestTimer: NodeJS.Timeout | undefined;
  #roundTimer: NodeJS.Timeout | undefined;
  #waiting: readonly WaitingRow[] = [];
  /** Number of rows sent since the round began. */
  #sentInRound = 0;
  #peers: readonly Address[] = [];
  /** Where received evidence goes on to, while it is applied. */
  #forwardTo: WaitingRow['targets'] | 'none' = 'none';
  isSynced = false;

  constructor(options: CrashGossipOptions) {
    this.#options = options;
    const { transport } = options;
    transport.handle(KINDS.report, (from, [rows]) => {
      this.#followers.set(from, options.now());
      this.#receive(rows, 'all');
    });
    transport.handle(KINDS.relay, (_, [rows]) => {
      this.#receive(rows, 'followers');
    });
    transport.handle(KINDS.news, (_, [rows]) => {
      this.#receive(rows, 'none');
    });
    transport.handle(KINDS.all, (_, [rows]) => {
      this.#receive(rows, 'none');
      this.#finishFirstSync();
    });
    transport.handle(KINDS.compare, (from, [digest]) => {
      this.#answerComparison(from, digest);
    });
    this.#syncTimer = setInterval(() => {
      this.#compare(1);
    }, SYNC_INTERVAL);
  }

  setPeers(peers: readonly Address[]): void {
    const isFirst = this.#peers.length === 0;
    this.#peers = peers;
    if (isFirst) this.#requestFirst(FIRST_SYNC_REQUESTS);
  }

  /** Asks some peers for all that they know, until one has answered or no request is left. */
  #requestFirst(requestsLeft: number): void {
    clearTimeout(this.#requestTimer);
    if (this.isSynced || requestsLeft === 0) return;
    this.#compare(FIRST_SYNC_PEERS);
    this.#requestTimer = setTimeout(() => {
      this.#requestFirst(requestsLeft - 1);
    }, FIRST_SYNC_INTERVAL);
  }

  waitForSync(): void {
    if (this.isSynced || this.#firstSyncTimer !== undefined) return;
    this.#requestFirst(FIRST_SYNC_REQUESTS);
    this.#firstSyncTimer = setTimeout(() => {
      this.#finishFirstSync();
    }, FIRST_SYNC_TIMEOUT);
  }

  share(evidence: readonly Evidence[], origin: 'own' | 'received'): void {
    const targets = origin === 'own' ? 'all' : this.#forwardTo;
    if (targets === 'none') return;
    const rows = evidence.map((item) => ({ evidence: item, targets, sendingsLeft: SENDINGS }));
    this.#waiting = [...rows, ...this.#waiting].slice(0, MAX_WAITING_ROWS);
    this.#sendWaiting(rows.length);
    this.#roundTimer ??= setTimeout(() => {
      this.#startRound();
    }, ROUND_INTERVAL);
  }

  close(): void {
    clearInterval(this.#syncTimer);
    clearTimeout(this.#firstSyncTimer);
    clearTimeout(this.#requestTimer);
    clearTimeout(this.#roundTimer);
  }

  #finishFirstSync(): void {
    if (this.isSynced) return;
    clearTimeout(this.#firstSyncTimer);
    this.isSynced = true;
    this.#options.onSynced();
  }

  /** Sends what waits, which was sent before or exceeded the limit of the last round. */
  #startRound(): void {
    this.#sentInRound = 0;
    const count = this.#waiting.length;
    this.#sendWaiting(count);
    this.#roundTimer =
      count === 0
        ? undefined
        : setTimeout(() => {
            this.#startRound();
          }, ROUND_INTERVAL);
  }

  /** Sends the first rows that wait, as many as the round has room for. */
  #sendWaiting(count: number): void {
    const plan = this.#options.getPlan();
    const limit = plan.kind === 'direct' ? MAX_DIRECT_ROWS : MAX_RELAYED_ROWS;
    const sent = this.#waiting.slice(0, Math.min(count, limit - this.#sentInRound));
    this.#sentInRound += sent.length;
    const left = sent
      .map((row) => ({ ...row, sendingsLeft: row.sendingsLeft - 1 }))
      .filter(({ sendingsLeft }) => sendingsLeft > 0);
    this.#waiting = [...this.#waiting.slice(sent.length), ...left];
    this.#sendRows(plan, sent);
  }

  #sendRows(plan: GossipPlan, rows: readonly WaitingRow[]): void {
    const all = rows.map(({ evidence }) => evidence);
    const ownAndReported = rows
      .filter(({ targets }) => targets === 'all')
      .map(({ evidence }) => evidence);
    switch (plan.kind) {
      case 'direct':
        this.#send([...plan.peers, ...plan.farPeers], KINDS.news, ownAndReported);
        return;
      case 'relayed': {
        const followers = this.#listFollowers();
        if (plan.isRelay || followers.length > 0) {
          this.#send([...plan.zoneRelays, ...plan.farRelays], KINDS.relay, ownAndReported);
          this.#send(followers, KINDS.news, all);
          return;
        }
        this.#send(plan.zoneRelays.slice(0, USED_RELAYS), KINDS.report, ownAndReported);
        return;
      }
    }
  }

  #listFollowers(): readonly Address[] {
    const now = this.#options.now();
    [...this.#followers].forEach(([address, at]) => {
      if (now - at > FOLLOWER_TTL) this.#followers.delete(address);
    });
    return [...this.#followers.keys()];
  }

  #send(peers: readonly Address[], kind: string, evidence: readonly Evidence[]): void {
    const now = this.#options.now();
    const rows = evidence.map((item) => encodeEvidence(item, now));
    const count = Math.ceil(rows.length / MAX_ROWS_PER_DATAGRAM);
    Array.from({ length: count }, (_, index) =>
      rows.slice(index * MAX_ROWS_PER_DATAGRAM, (index + 1) * MAX_ROWS_PER_DATAGRAM),
    ).forEach((part) => {
      this.#options.transport.send(peers, [kind, part]);
    });
  }

  #receive(rows: unknown, forwardTo: WaitingRow['targets'] | 'none'): void {
    if (!Array.isArray(rows)) throw new Error('a datagram has no evidence: check its sender');
    const now = this.#options.now();
    const evidence = (rows as readonly unknown[]).flatMap((row) => decodeRow(row, now));
    this.#forwardTo = forwardTo;
    this.#options.onEvidence(evidence);
    this.#forwardTo = 'none';
  }

  /**
   * Asks peers for evidence that this gateway doesn't have: its relays, which forward to the gateways that ask them,
   * or peers that are drawn by lot.
   */
  #compare(count: number): void {
    const plan = this.#options.getPlan();
    const digest = this.isSynced ? computeDigest(this.#options.getState()) : UNKNOWN_DIGEST;
    const start = Math.floor(Math.random() * this.#peers.length);
    const drawn = [...this.#peers.slice(start), ...this.#peers.slice(0, start)];
    const isServed = plan.kind === 'relayed' && !plan.isRelay && plan.zoneRelays.length > 0;
    const asked = isServed ? plan.zoneRelays.slice(0, USED_RELAYS) : drawn.slice(0, count);
    this.#options.transport.send(asked, [KINDS.compare, digest]);
  }

  /** A gateway that has not asked others itself has nothing to tell. */
  #answerComparison(from: Address, digest: unknown): void {
    const plan = this.#options.getPlan();
    if (plan.kind === 'relayed' && plan.isRelay) this.#followers.set(from, this.#options.now());
    if (!this.isSynced) return;
    const state = this.#options.getState();
    if (digest === computeDigest(state)) return;
    const evidence = selectFirstEvidence(state, listEvidence(state)).slice(0, MAX_SYNC_ROWS);
    if (evidence.length === 0) this.#options.transport.send([from], [KINDS.all, []]);
    else this.#send([from], KINDS.all, evidence);
  }
}

/** Starts to exchange evidence over the transport, which stays open when it is closed. */
export function createCrashGossip(options: CrashGossipOptions): CrashGossip {
  return new RunningCrashGossip(options);
}
