/**
 * Runs the membership protocol over the mesh. Invariant: every event goes through
 * {@link decideMembership}, one after another, and its effects are carried out before the next.
 */
import type { Address, Instant, Upstream } from '../model/index.js';
import type { MembershipMessage } from '../generated/membership.js';
import type { Mesh } from '../wire/index.js';
import { createMembershipState, decideMembership } from './decide.js';
import { describeEntry } from './entries.js';
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

/** What {@link createMembership} needs to know. */
export interface MembershipOptions {
  readonly mesh: Mesh;
  readonly self: SelfDescription;
  /** Peer addresses of entries that may run already. */
  readonly seeds: readonly Address[];
  /** Reads the monotonic clock. */
  readonly now: () => Instant;
  /** Returns a number from 0 to 1. */
  readonly random: () => number;
  readonly intervals?: Partial<MembershipIntervals>;
}

/** A crash that one entry saw. */
export interface CrashReport {
  readonly fingerprint: string;
  readonly upstreamId: string;
  readonly incarnation: number;
  /** Whether nothing listened at the upstream right after. */
  readonly ended: boolean;
}

/** Is told which fingerprints to refuse until when; an instant that has passed lifts the refusal. */
export type QuarantineListener = (fingerprints: readonly string[], until: Instant) => void;

/** What an entry knows of upstreams and other entries. */
export interface Membership {
  /** Takes an announcement, or the renewal of one. */
  announce(upstream: Upstream): void;
  /** Marks an upstream as leaving; this process of it never comes back. */
  leaveUpstream(id: string, incarnation: number): void;
  /** Upstreams whose announcement stands, with their age as of now. */
  readonly upstreams: readonly Upstream[];
  onUpstreamsChanged(listener: () => void): void;
  /** Replaces the seeds beside those of the settings, such as the members of the agreed roster. */
  updateSeeds(seeds: readonly Address[]): void;
  readonly entries: readonly KnownEntry[];
  onEntriesChanged(listener: () => void): void;
  /** Resolves once this entry knows what the others know, or nobody is left to ask. */
  readonly joined: Promise<void>;
  /** Tells all entries that this one takes no new callers. */
  setStopping(): void;
  /** Reports that an upstream crashed while it ran a request. */
  reportCrash(report: CrashReport): void;
  /** Reports that a request ended well; only suspected fingerprints matter. */
  reportSuccess(fingerprint: string): void;
  onQuarantineChanged(listener: QuarantineListener): void;
  /** Is told of all fingerprints whose good ends are to be reported with {@link reportSuccess}. */
  onSuspectsChanged(listener: (fingerprints: readonly string[]) => void): void;
  /** Says farewell and stops. */
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
    return [...this.#state.entries.values()].map(describeEntry);
  }

  updateSeeds(added: readonly Address[]): void {
    const seeds = [...new Set([...this.#options.seeds, ...added])];
    this.#apply({ kind: 'seedsReplaced', seeds, now: this.#options.now() });
  }

  announce(upstream: Upstream): void {
    this.#apply({ kind: 'announced', upstream, now: this.#options.now() });
  }

  leaveUpstream(id: string, incarnation: number): void {
    this.#apply({ kind: 'upstreamLeft', id, incarnation, now: this.#options.now() });
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
