/**
 * I/O layer of an entry: performs the side effects of {@link decideClient} through the mesh. Invariant:
 * whether the lease is valid is computed from the clock on every call, so that a process that was paused
 * notices the expiry before it takes new work.
 */
import {
  emptyConfig,
  type Address,
  type Config,
  type Duration,
  type Instant,
} from '../model/index.js';
import { mergeEvidence, toEvidenceRow, type EvidenceRow, type Sample } from '../rollout/index.js';
import type { Mesh } from '../wire/index.js';
import { RESPONSE_CHANNEL, REQUEST_CHANNEL } from './channels.js';
import {
  createClientState,
  decideClient,
  findSelf,
  isClientFresh,
  type ClientEffect,
  type ClientEvent,
  type ClientIdentity,
  type ClientState,
} from './client.js';
import { decodeMessage, encodeMessage, type DistributionMessage } from './codec.js';

/** Interval of the periodic check of whether a poll is due, in milliseconds. */
const TICK_INTERVAL: Duration = 100;
/** Milliseconds that evidence is batched before it is sent; a failure is sent with the next poll. */
const EVIDENCE_INTERVAL: Duration = 5000;
/** Maximum number of batched evidence rows; samples that would exceed it are dropped. */
const MAX_EVIDENCE_ROWS = 64;

/** Options of {@link createConfigClient}. */
export interface ConfigClientOptions {
  readonly mesh: Mesh;
  readonly self: ClientIdentity;
  /** Peer addresses of control members. */
  readonly controlMembers: readonly Address[];
  /** Monotonic clock in milliseconds. */
  readonly now: () => Instant;
  /** Whether new work is refused or served while there is no valid lease. */
  readonly stalePolicy: 'refuse' | 'serve';
}

/** Follows the committed configuration on an entry. */
export interface ConfigClient {
  /** The newest configuration; empty before the first is received. */
  readonly config: Config;
  /** Registers a listener that is called with each newer configuration. */
  onChange(listener: (config: Config) => void): void;
  /** Returns whether the lease is valid at `now` and this entry is in the roster. */
  isFresh(now: Instant): boolean;
  /** Returns whether new work may be taken at `now` under the stale policy. */
  isServing(now: Instant): boolean;
  /** Records a finished attempt as evidence, if a version move of its service is in progress. */
  addEvidence(sample: Sample): void;
  /** Requests to leave the roster; resolves once the configuration shows the entry as leaving or gone. */
  leave(): Promise<void>;
  close(): void;
}

class MeshConfigClient implements ConfigClient {
  readonly #options: ConfigClientOptions;
  readonly #listeners: ((config: Config) => void)[] = [];
  readonly #leaveResolvers: (() => void)[] = [];
  readonly #timer: NodeJS.Timeout;
  #state: ClientState;
  #evidence: readonly EvidenceRow[] = [];
  #evidenceSince: Instant = 0;

  constructor(options: ConfigClientOptions) {
    this.#options = options;
    this.#state = createClientState(options.self, options.controlMembers, options.now());
    options.mesh.handle(RESPONSE_CHANNEL, (from, compact) => {
      const message = decodeMessage(compact);
      if (message === undefined) return;
      this.#decide({ kind: 'received', from, message, now: options.now() });
    });
    this.#timer = setInterval(() => {
      this.#decide({ kind: 'ticked', now: options.now() });
    }, TICK_INTERVAL);
    this.#decide({ kind: 'ticked', now: options.now() });
  }

  get config(): Config {
    return this.#state.config ?? emptyConfig;
  }

  onChange(listener: (config: Config) => void): void {
    this.#listeners.push(listener);
  }

  isFresh(now: Instant): boolean {
    return isClientFresh(this.#state, now);
  }

  isServing(now: Instant): boolean {
    if (this.isFresh(now)) return true;
    const wasReady = this.#state.leaseEnd !== undefined && findSelf(this.#state) !== undefined;
    return this.#options.stalePolicy === 'serve' && wasReady;
  }

  addEvidence(sample: Sample): void {
    const isMoving = this.config.weights.some(
      ({ service, share }) => service === sample.service && share > 0,
    );
    if (!isMoving) return;
    const merged = mergeEvidence(this.#evidence, [toEvidenceRow(sample)]);
    if (merged.length > MAX_EVIDENCE_ROWS) return;
    if (this.#evidence.length === 0) this.#evidenceSince = this.#options.now();
    this.#evidence = merged;
  }

  leave(): Promise<void> {
    return new Promise((resolve) => {
      this.#leaveResolvers.push(resolve);
      this.#decide({ kind: 'leaveAsked', now: this.#options.now() });
    });
  }

  close(): void {
    clearInterval(this.#timer);
  }

  #decide(event: ClientEvent): void {
    const { state, effects } = decideClient(this.#state, event);
    this.#state = state;
    effects.forEach((effect) => {
      this.#perform(effect);
    });
    const phase = findSelf(this.#state)?.phase;
    if (phase !== 'joining' && phase !== 'active') {
      this.#leaveResolvers.splice(0).forEach((resolve) => {
        resolve();
      });
    }
  }

  #perform(effect: ClientEffect): void {
    switch (effect.kind) {
      case 'send':
        this.#options.mesh.send(
          effect.to,
          REQUEST_CHANNEL,
          encodeMessage(this.#attachEvidence(effect.message)),
        );
        break;
      case 'configChanged':
        this.#listeners.forEach((listener) => {
          listener(effect.config);
        });
        break;
    }
  }

  /** Attaches the batched evidence to a poll if it holds a failure or {@link EVIDENCE_INTERVAL} passed. */
  #attachEvidence(message: DistributionMessage): DistributionMessage {
    if (message.kind !== 'poll' || this.#evidence.length === 0) return message;
    const hasFailure = this.#evidence.some(({ failed }) => failed > 0);
    const isDue = this.#options.now() - this.#evidenceSince >= EVIDENCE_INTERVAL;
    if (!hasFailure && !isDue) return message;
    const evidence = [...this.#evidence];
    this.#evidence = [];
    return { ...message, evidence };
  }
}

/**
 * Starts to follow the committed configuration.
 *
 * @example
 * const client = createConfigClient({ mesh, self, controlMembers, now: () => performance.now(), stalePolicy: 'refuse' });
 * client.onChange((config) => routing.configure(config));
 * if (!client.isServing(performance.now())) refuse('stale');
 */
export function createConfigClient(options: ConfigClientOptions): ConfigClient {
  return new MeshConfigClient(options);
}
