/**
 * I/O layer of a control member: performs the side effects of {@link decideServer} through the mesh and
 * the replicated log. Invariant: events reach the pure core in the order in which they happened, each with
 * the time at which it was processed.
 */
import { randomBytes } from 'node:crypto';
import type { Command, Outcome } from '../generated/intent.js';
import type { Address, Config, Duration, EntryId, Instant, RosterMember } from '../model/index.js';
import type { Mesh } from '../wire/index.js';
import { decodeMessage, encodeMessage, type EvidenceRow } from './codec.js';
import { findLease, listAwaited, type AwaitedEntry } from './members.js';
import { decideServer } from './server.js';
import {
  createServerState,
  type CommittedView,
  type MemberProposal,
  type ServerEffect,
  type ServerEvent,
  type ServerState,
} from './state.js';
import { RESPONSE_CHANNEL, REQUEST_CHANNEL } from './channels.js';
import { PROPOSAL_DEADLINE } from './timing.js';

/** Interval of the periodic check of timeouts and leadership, in milliseconds. */
const TICK_INTERVAL: Duration = 50;
/** Time limit for one confirmation of leadership, in milliseconds. */
const CONFIRM_TIMEOUT: Duration = 1000;
/** Operator name on the commands that the leader proposes by itself. */
export const SYSTEM_OPERATOR = 'chivewalk';

/** The part of the replicated log that the configuration server uses. */
export interface ReplicatedLog<State> {
  readonly status: {
    readonly role: string;
    readonly term: number;
    readonly leader: Address | undefined;
  };
  /** The state after the last applied command. */
  readonly applied: State;
  /** Registers a listener that is called after each applied command. */
  onApplied(listener: () => void): void;
  /**
   * Commits the command in the current term or not at all, because a proposal relies on what this leader
   * observed in that term.
   */
  propose(
    command: Command,
    deadlineMs: Duration,
  ): Promise<{ readonly kind: string; readonly result?: unknown }>;
  /**
   * Resolves to kind `current` only if a majority confirmed the leadership since the call, and everything
   * committed before the call is applied here.
   */
  readCurrent(deadlineMs: Duration): Promise<{ readonly kind: string }>;
}

/** Options of {@link createConfigServer}. */
export interface ConfigServerOptions<State> {
  readonly mesh: Mesh;
  readonly control: ReplicatedLog<State>;
  /** Derives the protocol's view from the replicated state. */
  readonly view: (state: State) => CommittedView;
  /** Monotonic clock in milliseconds. */
  readonly now: () => Instant;
  /** Wall clock in milliseconds, used only as the time of issue of commands. */
  readonly wallNow: () => number;
  readonly onEvidence?: (entryId: EntryId, rows: readonly EvidenceRow[]) => void;
}

/** One entry in the output of `show entries`. */
export interface EntryReport extends RosterMember {
  /** The newest revision it confirmed to this leader; absent before its first poll. */
  readonly revision?: number;
}

/** Serves the committed configuration to the entries from a control member. */
export interface ConfigServer {
  readonly config: Config;
  /** Lists the entries of the roster. */
  listEntries(): readonly EntryReport[];
  /** Lists the entries that may still act on an earlier revision; meaningful only on the leader. */
  listAwaited(revision: number): readonly AwaitedEntry[];
  close(): void;
}

class MeshConfigServer<State> implements ConfigServer {
  readonly #options: ConfigServerOptions<State>;
  readonly #timer: NodeJS.Timeout;
  /** Makes command ids unique across processes and restarts. */
  readonly #nonce = randomBytes(6).toString('hex');
  #state: ServerState;
  /** The term for which the core was notified of leadership; undefined while it is not the leader. */
  #term: number | undefined;
  #closed = false;

  constructor(options: ConfigServerOptions<State>) {
    this.#options = options;
    const { mesh, control, now } = options;
    this.#state = createServerState(mesh.address, now());
    mesh.handle(REQUEST_CHANNEL, (from, compact) => {
      const request = decodeMessage(compact);
      if (request?.kind !== 'poll' && request?.kind !== 'join') return;
      this.#decide({ kind: 'asked', from, request, now: now() });
    });
    control.onApplied(() => {
      this.#decide({ kind: 'applied', view: options.view(control.applied), now: now() });
    });
    this.#timer = setInterval(() => {
      this.#decide({ kind: 'ticked', now: now() });
    }, TICK_INTERVAL);
    this.#decide({ kind: 'applied', view: options.view(control.applied), now: now() });
  }

  get config(): Config {
    return this.#state.view.config;
  }

  listEntries(): readonly EntryReport[] {
    return this.config.roster.members.map((member) => {
      const revision = findLease(this.#state, member)?.revision;
      return revision === undefined ? member : { ...member, revision };
    });
  }

  listAwaited(revision: number): readonly AwaitedEntry[] {
    return listAwaited(this.#state, revision, this.#options.now());
  }

  close(): void {
    this.#closed = true;
    clearInterval(this.#timer);
  }

  #decide(event: ServerEvent): void {
    if (this.#closed) return;
    this.#updateLeadership(event.now);
    this.#advance(event);
  }

  /** Notifies the core of a change of leadership before the event that is being processed. */
  #updateLeadership(now: Instant): void {
    const { role, term, leader } = this.#options.control.status;
    const isLeader = role === 'leader';
    if (isLeader && this.#term !== term) {
      this.#term = term;
      this.#advance({ kind: 'led', now });
      return;
    }
    if (isLeader) return;
    this.#term = undefined;
    if (this.#state.isLeader || this.#state.leader !== leader) {
      this.#advance({ kind: 'followed', leader, now });
    }
  }

  #advance(event: ServerEvent): void {
    const { state, effects } = decideServer(this.#state, event);
    this.#state = state;
    effects.forEach((effect) => {
      this.#perform(effect);
    });
  }

  #perform(effect: ServerEffect): void {
    const { mesh, now, onEvidence } = this.#options;
    switch (effect.kind) {
      case 'send':
        mesh.send(effect.to, RESPONSE_CHANNEL, encodeMessage(effect.message));
        break;
      case 'confirmLeadership':
        void this.#confirm().then((led) => {
          this.#decide({ kind: 'roundEnded', round: effect.round, led, now: now() });
        });
        break;
      case 'propose':
        void this.#propose(effect.body, effect.proposal).then((accepted) => {
          const { proposal } = effect;
          this.#decide({ kind: 'proposalEnded', proposal, accepted, now: now() });
        });
        break;
      case 'evidence':
        onEvidence?.(effect.entryId, effect.rows);
        break;
    }
  }

  async #confirm(): Promise<boolean> {
    try {
      const read = await this.#options.control.readCurrent(CONFIRM_TIMEOUT);
      return read.kind === 'current';
    } catch {
      return false;
    }
  }

  async #propose(body: MemberProposal, proposal: number): Promise<boolean> {
    const { control, wallNow } = this.#options;
    const id = `${SYSTEM_OPERATOR}/${this.#nonce}/${proposal}`;
    const issuedAt = Math.round(wallNow());
    const command: Command = { ...body, id, operator: SYSTEM_OPERATOR, issuedAt };
    try {
      const proposed = await control.propose(command, PROPOSAL_DEADLINE);
      return proposed.kind === 'committed' && (proposed.result as Outcome).kind === 'accepted';
    } catch {
      return false;
    }
  }
}

/**
 * Starts to serve the committed configuration to the entries.
 *
 * @example
 * const server = createConfigServer({ mesh, control, view, now: () => performance.now(), wallNow: Date.now });
 */
export function createConfigServer<State>(options: ConfigServerOptions<State>): ConfigServer {
  return new MeshConfigServer(options);
}
