/**
 * Runs the membership protocol over the mesh. Invariant: every event passes through
 * {@link decideMembership}, one at a time, and its effects are performed before the next event.
 */
import type { Address, Instant, Upstream } from '../model/index.js';
import type { MembershipMessage } from '../generated/membership.js';
import type { Mesh } from '../wire/index.js';
import { createMembershipState, decideMembership } from './decide.js';
import { toKnownEntry } from './entries.js';
import {
  defaultIntervals,
  type KnownEntry,
  type MembershipEffect,
  type MembershipEvent,
  type MembershipIntervals,
  type MembershipState,
  type SelfDescription,
} from './types.js';

const CHANNEL = 'membership';

/** Options of {@link createMembership}. */
export interface MembershipOptions {
  readonly mesh: Mesh;
  readonly self: SelfDescription;
  /** Peer addresses of entries that may already be running. */
  readonly seeds: readonly Address[];
  /** Returns the time of the monotonic clock in milliseconds. */
  readonly now: () => Instant;
  /** Returns a number from 0 to 1. */
  readonly random: () => number;
  /** Overrides of {@link defaultIntervals}. */
  readonly intervals?: Partial<MembershipIntervals>;
}

/** An upstream crash that one entry observed. */
export interface CrashReport {
  readonly fingerprint: string;
  readonly upstreamId: string;
  readonly incarnation: number;
  /** Whether nothing was listening at the upstream's address right after the crash. */
  readonly ended: boolean;
}

/** Receives the fingerprints to refuse and until when; a time that has passed lifts the quarantine. */
export type QuarantineListener = (fingerprints: readonly string[], until: Instant) => void;

/** The upstreams and entries of the fleet as this entry knows them. */
export interface Membership {
  /** Handles the announcement of an upstream or its renewal. */
  announce(upstream: Upstream): void;
  /** Marks an upstream as leaving; this incarnation cannot come back. Returns false if no upstream has this id here. */
  leaveUpstream(id: string, incarnation: number): boolean;
  /** Upstreams whose announcement is valid, with their current age. */
  readonly upstreams: readonly Upstream[];
  onUpstreamsChanged(listener: () => void): void;
  /** Replaces the seeds used in addition to the configured ones, such as the members of the roster. */
  updateSeeds(seeds: readonly Address[]): void;
  readonly entries: readonly KnownEntry[];
  onEntriesChanged(listener: () => void): void;
  /** Resolves once this entry has received a whole copy of the records, or no seed is left to ask. */
  readonly joined: Promise<void>;
  /** Announces to all entries that this one accepts no new callers. */
  setStopping(): void;
  /** Reports that an upstream crashed while running a request. */
  reportCrash(report: CrashReport): void;
  /** Reports that a request succeeded; ignored unless its fingerprint is suspected. */
  reportSuccess(fingerprint: string): void;
  onQuarantineChanged(listener: QuarantineListener): void;
  /** The listener receives all fingerprints whose successes must be reported with {@link reportSuccess}. */
  onSuspectsChanged(listener: (fingerprints: readonly string[]) => void): void;
  /** Notifies some entries that this one leaves, and stops. */
  close(): Promise<void>;
}

class MembershipService implements Membership {
  readonly #options: MembershipOptions;
  readonly #upstreamListeners: (() => void)[] = [];
  readonly #entryListeners: (() => void)[] = [];
  readonly #quarantineListeners: QuarantineListener[] = [];
  readonly #suspectListeners: ((fingerprints: readonly string[]) => void)[] = [];
  readonly #timer: NodeJS.Timeout;
  readonly joined: Promise<void>;
  #state: MembershipState;
  #closed = false;
  #resolveJoined: () => void = () => undefined;

  private constructor(options: MembershipOptions) {
    this.#options = options;
    const intervals = { ...defaultIntervals, ...options.intervals };
    const { self, seeds } = options;
    this.#state = createMembershipState(self, seeds, intervals, options.now());
    this.joined = new Promise((resolve) => {
      this.#resolveJoined = resolve;
    });
    if (this.#state.awaitedSeeds === undefined) this.#resolveJoined();
    options.mesh.handle(CHANNEL, (from, message) => {
      this.#handleMessage(from, message as MembershipMessage);
    });
    this.#timer = setInterval(() => {
      this.#apply({ kind: 'ticked', ...this.#readInputs() });
    }, intervals.tick);
    this.#timer.unref();
    this.#apply({ kind: 'started', ...this.#readInputs() });
  }

  static create(options: MembershipOptions): MembershipService {
    return new MembershipService(options);
  }

  get upstreams(): readonly Upstream[] {
    const now = this.#options.now();
    return this.#state.listed.map(({ record, receivedAt }) => ({
      ...record.upstream,
      age: record.upstream.age + (now - receivedAt),
    }));
  }

  get entries(): readonly KnownEntry[] {
    return [...this.#state.entries.values()].map(toKnownEntry);
  }

  updateSeeds(added: readonly Address[]): void {
    const seeds = [...new Set([...this.#options.seeds, ...added])];
    this.#apply({ kind: 'seedsReplaced', seeds, now: this.#options.now() });
  }

  announce(upstream: Upstream): void {
    this.#apply({ kind: 'announced', upstream, now: this.#options.now() });
  }

  leaveUpstream(id: string, incarnation: number): boolean {
    if (!this.#state.upstreams.has(id)) return false;
    this.#apply({ kind: 'upstreamLeft', id, incarnation, now: this.#options.now() });
    return true;
  }

  setStopping(): void {
    this.#apply({ kind: 'stopping', now: this.#options.now() });
  }

  reportCrash(report: CrashReport): void {
    this.#apply({ ...report, kind: 'suspected', now: this.#options.now() });
  }

  reportSuccess(fingerprint: string): void {
    this.#apply({ kind: 'cleared', fingerprint, now: this.#options.now() });
  }

  onUpstreamsChanged(listener: () => void): void {
    this.#upstreamListeners.push(listener);
  }

  onEntriesChanged(listener: () => void): void {
    this.#entryListeners.push(listener);
  }

  onQuarantineChanged(listener: QuarantineListener): void {
    this.#quarantineListeners.push(listener);
  }

  onSuspectsChanged(listener: (fingerprints: readonly string[]) => void): void {
    this.#suspectListeners.push(listener);
  }

  async close(): Promise<void> {
    if (this.#closed) return;
    clearInterval(this.#timer);
    this.#apply({ kind: 'closing', ...this.#readInputs() });
    this.#closed = true;
    await new Promise((resolve) => setImmediate(resolve));
  }

  #readInputs(): { readonly now: Instant; readonly random: number } {
    return { now: this.#options.now(), random: this.#options.random() };
  }

  #handleMessage(from: Address, message: MembershipMessage): void {
    this.#apply({ kind: 'received', from, message, ...this.#readInputs() });
  }

  #apply(event: MembershipEvent): void {
    if (this.#closed) return;
    const { state, effects } = decideMembership(this.#state, event);
    this.#state = state;
    effects.forEach((effect) => {
      this.#performEffect(effect);
    });
  }

  #performEffect(effect: MembershipEffect): void {
    switch (effect.kind) {
      case 'send':
        this.#options.mesh.send(effect.to, CHANNEL, effect.message);
        break;
      case 'upstreamsChanged':
        this.#upstreamListeners.forEach((listener) => {
          listener();
        });
        break;
      case 'entriesChanged':
        this.#entryListeners.forEach((listener) => {
          listener();
        });
        break;
      case 'joined':
        this.#resolveJoined();
        break;
      case 'condemned':
        this.#quarantineListeners.forEach((listener) => {
          listener(effect.fingerprints, effect.until);
        });
        break;
      case 'suspectsChanged':
        this.#suspectListeners.forEach((listener) => {
          listener(effect.fingerprints);
        });
        break;
    }
  }
}

/**
 * Starts the membership protocol.
 *
 * @example
 * const membership = createMembership({ mesh, self, seeds, now, random: Math.random });
 * membership.onUpstreamsChanged(() => console.log(membership.upstreams.length));
 */
export function createMembership(options: MembershipOptions): Membership {
  return MembershipService.create(options);
}
