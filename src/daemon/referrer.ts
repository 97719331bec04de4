/**
 * Stands in for a steward on a VM without a disk. Invariant: it takes no order, answers no read and belongs to no
 * group, as nothing that it acknowledged would be durable; it names the leader to callers, and the members to
 * processes that look for them.
 */
import { decodeMessage, FEED_CHANNEL, type FeedMessage, type GroupStatus } from '../feed/index.js';
import type { Address, Duration, Instant } from '../model/index.js';
import type { OrderOutcome, ReadAnswer, Steward } from '../steward/index.js';
import type { Mesh } from '../wire/index.js';

/** Interval in milliseconds at which the seeds and the known members are asked for the leader. */
const QUERY_INTERVAL: Duration = 300;
/** Age in milliseconds up to which a member's word on the leader counts; a few heartbeats. */
const MAX_REPORT_AGE: Duration = 1000;
/** Milliseconds for which a reported leader is named; a few query intervals. */
const LEADER_TTL: Duration = 1500;

/** Number of processes that are asked besides while no leader is known. */
const MAX_ASKERS = 3;

/** Options of {@link createReferrer}. */
export interface ReferrerOptions {
  readonly mesh: Mesh;
  /** Returns the addresses at which members of the group may be found. */
  readonly getSeeds: () => readonly Address[];
  readonly now: () => Instant;
}

type Redirect = Extract<OrderOutcome & ReadAnswer, { kind: 'elsewhere' | 'unavailable' }>;

class Referrer implements Steward {
  readonly #options: ReferrerOptions;
  readonly #timer: NodeJS.Timeout;
  #members: readonly Address[] = [];
  #membersIndex = 0;
  /** Processes that took this one for a member; they may know the group by other ways. */
  #askers: readonly Address[] = [];
  #leader: Address | undefined;
  #reportedAt: Instant = -Infinity;

  constructor(options: ReferrerOptions) {
    this.#options = options;
    options.mesh.handle(FEED_CHANNEL, (from, message) => {
      this.#receive(from, decodeMessage(message));
    });
    this.#timer = setInterval(() => {
      this.#query();
    }, QUERY_INTERVAL);
    this.#query();
  }

  close(): void {
    clearInterval(this.#timer);
  }

  /** Whether no leader was reported lately. */
  get isLost(): boolean {
    return this.#options.now() - this.#reportedAt >= LEADER_TTL;
  }

  #query(): void {
    const { mesh, getSeeds } = this.#options;
    const askers = this.isLost ? this.#askers : [];
    [...new Set([...getSeeds(), ...this.#members, ...askers])]
      .filter((address) => address !== mesh.address)
      .forEach((address) => {
        mesh.send(address, FEED_CHANNEL, { kind: 'find' } satisfies FeedMessage);
      });
  }

  #receive(from: Address, message: FeedMessage): void {
    if (message.kind === 'found') this.#recordStatus(message);
    if (message.kind === 'follow')
      this.#askers = [...new Set([...this.#askers, from])].slice(-MAX_ASKERS);
    if (message.kind !== 'find') return;
    // Not healthy: only a member may tell another one that the group has replaced it.
    this.#options.mesh.send(from, FEED_CHANNEL, {
      ...{ kind: 'found', hasDisk: false, members: this.#members, healthy: false },
      ...{ leader: undefined, membersIndex: this.#membersIndex, echo: message.sentAt },
    } satisfies FeedMessage);
  }

  #recordStatus({ members, membersIndex = 0, healthy, leader, age = Infinity }: GroupStatus): void {
    if (members.length > 0 && (healthy || membersIndex >= this.#membersIndex)) {
      this.#members = members;
      this.#membersIndex = membersIndex;
    }
    if (!healthy || leader === undefined || age > MAX_REPORT_AGE) return;
    this.#leader = leader;
    this.#reportedAt = this.#options.now();
  }

  #redirect(): Promise<Redirect> {
    return Promise.resolve(
      this.#leader === undefined || this.isLost
        ? { kind: 'unavailable', remedy: 'no leader is known here: ask another control member' }
        : { kind: 'elsewhere', leader: this.#leader },
    );
  }

  submit(): Promise<OrderOutcome> {
    return this.#redirect();
  }

  announce(): Promise<OrderOutcome> {
    return this.#redirect();
  }

  end(): Promise<OrderOutcome> {
    return this.#redirect();
  }

  readCurrent(): Promise<ReadAnswer> {
    return this.#redirect();
  }

  addEvidence(): void {
    // Entries follow members only, so that none sends evidence here.
  }

  listCold(): Readonly<Record<string, Duration>> {
    return {};
  }
}

/**
 * Starts naming the leader to callers.
 *
 * @example
 * const referrer = createReferrer({ mesh, getSeeds: () => ['10.1.0.18:7200'], now: () => performance.now() });
 * await referrer.submit(command); // { kind: 'elsewhere', leader: '10.2.0.34:7200' }
 */
export function createReferrer(options: ReferrerOptions): Steward & { readonly isLost: boolean } {
  return new Referrer(options);
}
