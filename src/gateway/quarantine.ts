/**
 * Refuses requests that crash upstreams. Invariant: a crash counts only if nothing listens at the upstream's address
 * right after the connection was lost, and each upstream is checked once at a time.
 */
import type { Duration, Instant } from '../model/index.js';
import {
  computeRelease,
  countCrashes,
  decideQuarantine,
  emptyQuarantineState,
  listOpenFingerprints,
  type Evidence,
  type QuarantineEffect,
  type QuarantineEvent,
  type QuarantineState,
} from '../quarantine/index.js';
import { createLogger } from '../telemetry/index.js';
import { computeFingerprint } from './fingerprint.js';
import type { GatewayRequest, UpstreamRecord } from './types.js';

const log = createLogger('quarantine');

/** Range of the numbers that stand for the start of an upstream in evidence; keeps them short. */
const INCARNATION_RANGE = 2 ** 32;

/** Milliseconds until a request is served whose like is being tried. */
const TRIAL_TIME: Duration = 300;

/** Options of {@link RequestQuarantine}. */
export interface RequestQuarantineOptions {
  readonly now: () => Instant;
  /** The id of this gateway. */
  readonly self: string;
  /** Whether another request with the fingerprint is being served. */
  readonly isRunning: (request: GatewayRequest, fingerprint: string) => boolean;
  /** Resolves to whether nothing listens at an address any more. */
  readonly hasProcessEnded: (address: string) => Promise<boolean>;
  readonly onShare: (evidence: readonly Evidence[], origin: 'own' | 'received') => void;
  /** Receives a fingerprint whose requests are refused from now on. */
  readonly onQuarantine: (fingerprint: string) => void;
}

/** A request that was in flight on an upstream when the connection was lost. */
interface Loss {
  readonly fingerprint: string;
  readonly at: Instant;
}

/** A check of an upstream that may have crashed, and what waits for it. */
interface RunningCheck {
  readonly losses: Loss[];
  readonly onEnd: (() => void)[];
}

/** The requests that this gateway refuses, and the evidence for it. */
export class RequestQuarantine {
  readonly #options: RequestQuarantineOptions;
  readonly #fingerprints = new WeakMap<GatewayRequest, string>();
  readonly #checks = new Map<UpstreamRecord, RunningCheck>();
  #state: QuarantineState = emptyQuarantineState;
  #suspected: ReadonlySet<string> = new Set();
  /** Number of upstreams that crashed while this gateway had requests in flight there. */
  crashes = 0;

  constructor(options: RequestQuarantineOptions) {
    this.#options = options;
  }

  get state(): QuarantineState {
    return this.#state;
  }

  /** Number of fingerprints whose requests are refused at present. */
  get size(): number {
    const now = this.#options.now();
    return [...this.#state.verdicts.values()].filter(({ until }) => until > now).length;
  }

  getFingerprint(request: GatewayRequest): string {
    const known = this.#fingerprints.get(request);
    if (known !== undefined) return known;
    const fingerprint = computeFingerprint(request);
    this.#fingerprints.set(request, fingerprint);
    return fingerprint;
  }

  /** Returns when requests like this one will be served again; -Infinity if they are served. */
  getRefusedUntil(request: GatewayRequest): Instant {
    if (this.#state.verdicts.size === 0) return -Infinity;
    const fingerprint = this.getFingerprint(request);
    const verdict = this.#state.verdicts.get(fingerprint);
    if (verdict === undefined) return -Infinity;
    const now = this.#options.now();
    const release = computeRelease(verdict, fingerprint, this.#options.self);
    if (release > now) return release;
    // After its release, a request is tried once at a time until an upstream has answered it.
    return this.#options.isRunning(request, fingerprint) ? now + TRIAL_TIME : -Infinity;
  }

  /** Returns whether a request like this one crashed an upstream or was there by chance, and none succeeded since. */
  isSuspected(request: GatewayRequest): boolean {
    return this.#suspected.size > 0 && this.#suspected.has(this.getFingerprint(request));
  }

  /** Checks whether the upstream crashed that lost the connection of a request. */
  addLoss(request: GatewayRequest, record: UpstreamRecord): void {
    const loss = { fingerprint: this.getFingerprint(request), at: this.#options.now() };
    const running = this.#checks.get(record);
    if (running !== undefined) {
      running.losses.push(loss);
      return;
    }
    const check: RunningCheck = { losses: [loss], onEnd: [] };
    this.#checks.set(record, check);
    void this.#options
      .hasProcessEnded(record.instance.address)
      .catch((error: unknown) => {
        log.warn('check of an upstream failed', { reason: String(error) });
        return false;
      })
      .then((hasEnded) => {
        this.#checks.delete(record);
        this.#handleCheck(record, check.losses, hasEnded);
        check.onEnd.forEach((handle) => {
          handle();
        });
      });
  }

  /** Calls the function once it is known whether a suspected request crashed the upstream, or at once. */
  waitForCheck(request: GatewayRequest, record: UpstreamRecord, onEnd: () => void): void {
    const check = this.#checks.get(record);
    if (check === undefined || !this.isSuspected(request)) onEnd();
    else check.onEnd.push(onEnd);
  }

  /** Records that an upstream answered a request, and so did not crash. */
  addSuccess(request: GatewayRequest): void {
    if (!this.isSuspected(request)) return;
    const fingerprint = this.getFingerprint(request);
    const now = this.#options.now();
    this.#apply({ kind: 'found', evidence: [{ kind: 'success', fingerprint, at: now }], now });
  }

  receive(evidence: readonly Evidence[]): void {
    this.#apply({ kind: 'received', evidence, now: this.#options.now() });
  }

  /** Drops what has expired. */
  pruneExpired(): void {
    const { suspicions, verdicts, clearedAt } = this.#state;
    if (suspicions.length + verdicts.size + clearedAt.size === 0) return;
    this.#apply({ kind: 'ticked', now: this.#options.now() });
  }

  #handleCheck({ instance }: UpstreamRecord, losses: readonly Loss[], hasEnded: boolean): void {
    const fingerprints = [...new Set(losses.map(({ fingerprint }) => fingerprint))];
    log.info('upstream lost connections', { upstream: instance.id, hasEnded, fingerprints });
    if (!hasEnded) return;
    this.crashes += 1;
    const upstreamId = instance.id;
    const incarnation = instance.bornAt % INCARNATION_RANGE;
    const evidence = losses.map((loss): Evidence => ({
      kind: 'crash',
      ...loss,
      upstreamId,
      incarnation,
    }));
    this.#apply({ kind: 'found', evidence, now: this.#options.now() });
  }

  #apply(event: QuarantineEvent): void {
    const { state, effects } = decideQuarantine(this.#state, event);
    if (state === this.#state) return;
    this.#state = state;
    this.#suspected = new Set(listOpenFingerprints(state));
    effects.forEach((effect) => {
      this.#handleEffect(effect);
    });
  }

  #handleEffect(effect: QuarantineEffect): void {
    switch (effect.kind) {
      case 'quarantine': {
        const { fingerprint, until, crashes } = effect;
        const forMs = Math.round(until - this.#options.now());
        log.warn('quarantined requests that crashed several upstreams', {
          ...{ fingerprint, crashes, forMs },
        });
        this.#options.onQuarantine(fingerprint);
        return;
      }
      case 'release':
        log.warn('a quarantined request succeeded, serving it again', {
          fingerprint: effect.fingerprint,
          crashes: countCrashes(this.#state, effect.fingerprint),
        });
        return;
      case 'share':
        this.#options.onShare(effect.evidence, effect.origin);
        return;
    }
  }
}
