/**
 * Runs the claim protocol over the mesh. Invariant: {@link decideClaims} handles every event, one at a time;
 * a granted claim carries the instant after which it must not be used.
 */
import { createHash } from 'node:crypto';
import type { Duration, Instant, Roster } from '../model/index.js';
import type { ClaimsMessage, View } from '../generated/claims.js';
import type { Mesh } from '../wire/index.js';
import { createClaimsState, decideClaims, type ClaimsSelf } from './decide.js';
import {
  defaultTimes,
  type ClaimResult,
  type ClaimsEffect,
  type ClaimSettlement,
  type ClaimsEvent,
  type ClaimsState,
  type ClaimTimes,
} from './types.js';

const CHANNEL = 'claims';
/** Interval of the periodic check for retries and expired claims, in milliseconds. */
const TICK_INTERVAL: Duration = 50;
/** Largest body of an answer that is kept for replay, in bytes. */
const MAX_ANSWER_BYTES = 4096;
/** Length of the hashes that replace keys and request digests, in base64url characters (132 bits). */
const HASH_LENGTH = 22;
/** Number of values of the random part of a token. */
const TOKEN_RANGE = 2 ** 48;

/** Provides the committed roster to the claim protocol. */
export interface RosterSource {
  readonly roster: Roster;
  /** Returns whether the roster is known to be current, for example because a lease is valid. */
  readonly isFresh: (now: Instant) => boolean;
  readonly onChange: (listener: () => void) => void;
  /**
   * The last epoch before which certainly no claim was granted; 1 by default. On entering a later epoch,
   * members first fetch earlier claims from each other.
   */
  readonly genesisEpoch?: number;
}

/** Options of {@link createClaims}. */
export interface ClaimsOptions {
  readonly mesh: Mesh;
  readonly self: ClaimsSelf;
  readonly source: RosterSource;
  /** Reads the monotonic clock. */
  readonly now: () => Instant;
  /** Returns a random number from 0 (inclusive) to 1 (exclusive); entries must not share a sequence. */
  readonly random: () => number;
  readonly times?: Partial<ClaimTimes>;
}

/** Grants each idempotency key at most once across the fleet within the lifetime of a claim. */
export interface ClaimService {
  /** Claims a key for a request; `digest` identifies the request, to detect a key reused for another. */
  claim(key: string, digest: string, deadline: Instant): Promise<ClaimResult>;
  /** Records how a granted request ended. An answer too large to keep counts as unknown. */
  settle(token: string, settlement: ClaimSettlement): void;
  /** Whether this entry can answer for every key of which it is a claimant in the current epoch. */
  readonly isReady: boolean;
  /** Number of keys whose claims this entry stores as a claimant. */
  readonly size: number;
  /** Resolves open claims as unavailable and stops the protocol. */
  close(): void;
}

class ClaimProtocol implements ClaimService {
  readonly #options: ClaimsOptions;
  readonly #pendingClaims = new Map<number, (result: ClaimResult) => void>();
  readonly #timer: NodeJS.Timeout;
  #state: ClaimsState;
  #requests = 0;
  #closed = false;

  private constructor(options: ClaimsOptions) {
    this.#options = options;
    const times = { ...defaultTimes, ...options.times };
    const genesisEpoch = options.source.genesisEpoch ?? 1;
    this.#state = createClaimsState(options.self, times, genesisEpoch);
    options.mesh.handle(CHANNEL, (from, message) => {
      const now = this.#options.now();
      const fresh = this.#options.source.isFresh(now);
      this.#apply({ kind: 'received', from, message: message as ClaimsMessage, fresh, now });
    });
    options.source.onChange(() => {
      this.#applyRoster();
    });
    this.#timer = setInterval(() => {
      this.#apply({ kind: 'ticked', now: this.#options.now() });
    }, TICK_INTERVAL);
    this.#timer.unref();
    this.#applyRoster();
  }

  static create(options: ClaimsOptions): ClaimProtocol {
    return new ClaimProtocol(options);
  }

  get isReady(): boolean {
    return this.#state.ready && this.#state.transfer === undefined;
  }

  get size(): number {
    return this.#state.table.size;
  }

  claim(key: string, digest: string, deadline: Instant): Promise<ClaimResult> {
    if (this.#closed) return Promise.resolve({ kind: 'unavailable', reason: 'the entry stops' });
    this.#requests += 1;
    const request = this.#requests;
    return new Promise((resolve) => {
      this.#pendingClaims.set(request, resolve);
      const hashes = { key: hashValue(key), digest: hashValue(digest) };
      const now = this.#options.now();
      const token = this.#createToken();
      this.#apply({ kind: 'requested', request, ...hashes, token, deadline, now });
    });
  }

  settle(token: string, settlement: ClaimSettlement): void {
    const tooLarge =
      settlement.kind === 'answered' && settlement.body.byteLength > MAX_ANSWER_BYTES;
    const kept: ClaimSettlement = tooLarge ? { kind: 'unknown' } : settlement;
    this.#apply({ kind: 'ended', token, settlement: kept, now: this.#options.now() });
  }

  close(): void {
    clearInterval(this.#timer);
    this.#closed = true;
    this.#pendingClaims.forEach((resolve) => {
      resolve({ kind: 'unavailable', reason: 'the entry stops' });
    });
    this.#pendingClaims.clear();
  }

  /** Tokens start with the random part, so that no entry always wins the comparison of two rivals. */
  #createToken(): string {
    const { id, incarnation } = this.#options.self;
    const random = Math.floor(this.#options.random() * TOKEN_RANGE).toString(36);
    return `${random}-${id}-${incarnation.toString(36)}-${this.#requests.toString(36)}`;
  }

  #applyRoster(): void {
    const view = toView(this.#options.source.roster);
    this.#apply({ kind: 'viewChanged', view, now: this.#options.now() });
  }

  #apply(event: ClaimsEvent): void {
    if (this.#closed) return;
    const { state, effects } = decideClaims(this.#state, event);
    this.#state = state;
    effects.forEach((effect) => {
      this.#performEffect(effect);
    });
  }

  #performEffect(effect: ClaimsEffect): void {
    switch (effect.kind) {
      case 'send':
        this.#options.mesh.send(effect.to, CHANNEL, effect.message);
        break;
      case 'resolve':
        this.#pendingClaims.get(effect.request)?.(effect.result);
        this.#pendingClaims.delete(effect.request);
        break;
    }
  }
}

function hashValue(value: string): string {
  return createHash('sha256').update(value).digest('base64url').slice(0, HASH_LENGTH);
}

/** Reduces a roster to what the claim protocol needs. */
export function toView({ epoch, members }: Roster): View {
  return {
    epoch,
    members: members.map(({ id, zone, peerAddress, incarnation, phase }) => ({
      ...{ id, zone, peerAddress, incarnation, active: phase === 'active' },
    })),
  };
}

/**
 * Starts the claim protocol.
 *
 * @example
 * const claims = createClaims({ mesh, self, source, now, random: Math.random });
 * const result = await claims.claim(key, digest, deadline);
 * if (result.kind === 'granted' && now() < result.validUntil) sendRequest();
 */
export function createClaims(options: ClaimsOptions): ClaimService {
  return ClaimProtocol.create(options);
}
