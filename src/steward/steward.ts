/**
 * Maintains the catalog on the leader of the control group: accepts orders and announcements, removes
 * upstreams that stop announcing themselves, advances traffic moves, and replaces members. Invariant: only the
 * leader proposes, and an order is acknowledged only after it is committed.
 */
import {
  findInstanceProblem,
  isInstanceUpdate,
  type Catalog,
  type CatalogCommand,
  type CatalogOutcome,
  type EndCause,
  type Instance,
  type TrafficMove,
} from '../catalog/index.js';
import type { ControlNode } from '../control/index.js';
import type { Address, Duration, Instant } from '../model/index.js';
import {
  addEvidenceBlock,
  createJudgement,
  mergeEvidence,
  startStep,
  type EvidenceRow,
  type Judgement,
} from '../rollout/index.js';
import { createLogger } from '../telemetry/index.js';
import { planMembershipChange } from './members.js';
import { computeCapacityShare, planMoveStep, type ExposureBudget, type MoveStep } from './moves.js';

const log = createLogger('steward');

/** Interval of the periodic check of upstreams, moves and members, in milliseconds. */
const CHECK_INTERVAL: Duration = 200;
/** Share of a running move from which new evidence is judged without waiting for the periodic check. */
const URGENT_SHARE = 0.3;
/** Milliseconds between two such checks. */
const URGENT_CHECK_DELAY: Duration = 50;
/** Timeout of a proposal in milliseconds; callers give up on a control member after a second. */
const PROPOSAL_TIMEOUT: Duration = 900;
/** Consecutive announcements that an upstream may miss before it is removed. */
const MAX_MISSED_ANNOUNCEMENTS = 13;
/** Milliseconds for which a request to join counts; it is repeated each 500 ms. */
const JOIN_REQUEST_LIFETIME: Duration = 2000;
/** Milliseconds by which the clocks of two VMs may differ, by default. */
const DEFAULT_MAX_CLOCK_SKEW: Duration = 5000;
/** Milliseconds by which an announced cold time must exceed the known one before entries are notified. */
const COLD_UPDATE_THRESHOLD: Duration = 250;

/** Result of an order or announcement. */
export type OrderOutcome =
  | CatalogOutcome
  /** Another member is the leader and must be asked instead. */
  | { readonly kind: 'elsewhere'; readonly leader: Address }
  | { readonly kind: 'unavailable'; readonly remedy: string };

/** Result of a read. */
export type ReadAnswer =
  | { readonly kind: 'current'; readonly catalog: Catalog }
  | Extract<OrderOutcome, { kind: 'elsewhere' | 'unavailable' }>;

/** One announcement of an upstream. */
export interface Announcement {
  readonly instance: Instance;
  /** Milliseconds for which the upstream stays cold. */
  readonly coldFor: Duration;
  /** Increases with each announcement of the same start. */
  readonly sequence: number;
}

/** Options of {@link createSteward}. */
export interface StewardOptions {
  readonly control: ControlNode<Catalog>;
  /** Returns the leader as reported by another member, for a steward that is not a member itself. */
  readonly findLeader: () => Address | undefined;
  /** Announcement interval of upstreams in milliseconds. */
  readonly announceInterval: Duration;
  /** Requests that a bad version may get; {@link DEFAULT_EXPOSURE_BUDGET} by default. */
  readonly exposureBudget?: ExposureBudget | undefined;
  /** Milliseconds by which the clocks of two VMs may differ; {@link DEFAULT_MAX_CLOCK_SKEW} by default. */
  readonly maxClockSkew?: Duration | undefined;
  readonly now: () => Instant;
  readonly wallNow: () => number;
}

/** Accepts orders and announcements, and runs the leader's periodic checks. */
export interface Steward {
  submit(command: CatalogCommand): Promise<OrderOutcome>;
  announce(announcement: Announcement): Promise<OrderOutcome>;
  end(id: string, bornAt: number | undefined, cause: EndCause): Promise<OrderOutcome>;
  readCurrent(): Promise<ReadAnswer>;
  addEvidence(rows: readonly EvidenceRow[]): void;
  listCold(): Readonly<Record<string, Duration>>;
  close(): void;
}

interface ReceivedAnnouncement {
  readonly bornAt: number;
  readonly sequence: number;
  readonly receivedAt: Instant;
  readonly coldUntil: Instant;
}

interface MoveEvaluation {
  readonly orderedAt: number;
  /** When this leader began to collect evidence on the move. */
  readonly watchedSince: Instant;
  readonly judgement: Judgement;
}

/** The start of a move: `orderedAt` by the leader's Unix time, `startedAt` by this process's monotonic clock. */
interface MoveStart {
  readonly orderedAt: number;
  readonly startedAt: Instant;
}

class LeaderSteward implements Steward {
  readonly #options: StewardOptions;
  readonly #timer: NodeJS.Timeout;
  readonly #announcements = new Map<string, ReceivedAnnouncement>();
  readonly #evaluations = new Map<string, MoveEvaluation>();
  readonly #moveStarts = new Map<string, MoveStart>();
  /** Services whose next step was proposed and is not applied yet. */
  readonly #proposedSteps = new Set<string>();
  #moveTimer: NodeJS.Timeout | undefined;
  #evidence: readonly EvidenceRow[] = [];
  /** When each address last asked to join the group. */
  readonly #joinRequests = new Map<Address, Instant>();
  #isChangingMembers = false;
  #lastLedTerm = 0;

  constructor(options: StewardOptions) {
    this.#options = options;
    this.#timer = setInterval(() => {
      this.#runChecks();
    }, CHECK_INTERVAL);
    options.control.onJoinRequest((address) => {
      this.#queueJoinRequest(address);
    });
    options.control.onApplied((catalog, _, command) => {
      this.#recordColdTime(command as CatalogCommand | undefined);
      this.#recordMoveStarts(catalog);
    });
  }

  close(): void {
    clearInterval(this.#timer);
    clearTimeout(this.#moveTimer);
  }

  async submit(command: CatalogCommand): Promise<OrderOutcome> {
    const { control } = this.#options;
    const { role, leader } = control.status;
    if (role !== 'leader') return this.#redirectToLeader(leader);
    const outcome = await control.propose(command, PROPOSAL_TIMEOUT);
    switch (outcome.kind) {
      case 'committed':
        return outcome.result as CatalogOutcome;
      case 'notLeader':
        return this.#redirectToLeader(outcome.leader);
      case 'unknown':
        return { kind: 'unavailable', remedy: 'no majority answered in time: send it again' };
      case 'unavailable':
        return outcome;
    }
  }

  #redirectToLeader(known: Address | undefined): OrderOutcome & ReadAnswer {
    const leader = known ?? this.#options.findLeader();
    return leader === undefined
      ? { kind: 'unavailable', remedy: 'no leader is known here: ask another control member' }
      : { kind: 'elsewhere', leader };
  }

  async readCurrent(): Promise<ReadAnswer> {
    const read = await this.#options.control.readCurrent(PROPOSAL_TIMEOUT);
    switch (read.kind) {
      case 'current':
        return { kind: 'current', catalog: read.state };
      case 'notLeader':
        return this.#redirectToLeader(read.leader);
      case 'unavailable':
        return this.#options.control.status.role === 'newborn'
          ? this.#redirectToLeader(undefined)
          : read;
    }
  }

  async announce({ instance, coldFor, sequence }: Announcement): Promise<OrderOutcome> {
    const { control, now } = this.#options;
    const problem = findInstanceProblem(instance);
    if (problem !== undefined) return { kind: 'invalid', reason: problem };
    if (control.status.role !== 'leader') return this.#redirectToLeader(control.status.leader);
    const known = this.#announcements.get(instance.id);
    const isOutdated =
      known !== undefined &&
      (known.bornAt > instance.bornAt ||
        (known.bornAt === instance.bornAt && known.sequence > sequence));
    const isUpdate = isInstanceUpdate(control.applied, instance);
    // The later announcement may be removed first, so that draining is recorded all the same.
    if (isOutdated)
      return isUpdate && instance.draining
        ? this.submit({ kind: 'announce', instance, coldFor })
        : { kind: 'done' };
    const knownColdUntil = known?.bornAt === instance.bornAt ? known.coldUntil : 0;
    const coldUntil = now() + coldFor;
    const { id, bornAt } = instance;
    this.#announcements.set(id, {
      bornAt,
      sequence,
      receivedAt: now(),
      coldUntil: Math.max(knownColdUntil, coldUntil),
    });
    if (isUpdate) return this.submit({ kind: 'announce', instance, coldFor });
    if (coldFor > 0 && coldUntil > Math.max(knownColdUntil, now()) + COLD_UPDATE_THRESHOLD) {
      return this.submit({ kind: 'chill', id, bornAt, coldFor });
    }
    return { kind: 'done' };
  }

  async end(id: string, bornAt: number | undefined, cause: EndCause): Promise<OrderOutcome> {
    if (bornAt !== undefined) return this.submit({ kind: 'end', id, bornAt, cause });
    const read = await this.readCurrent();
    if (read.kind !== 'current') return read;
    const { wallNow, maxClockSkew = DEFAULT_MAX_CLOCK_SKEW } = this.#options;
    // Ends every start before now, as the announcement of the one that leaves may still be on its way.
    const endedAt = Math.floor(wallNow() - maxClockSkew);
    const knownAt = read.catalog.instances.get(id)?.bornAt ?? -Infinity;
    return this.submit({ kind: 'end', id, bornAt: Math.max(knownAt, endedAt), cause });
  }

  addEvidence(rows: readonly EvidenceRow[]): void {
    this.#evidence = mergeEvidence(this.#evidence, rows);
    const { control } = this.#options;
    const isUrgent = rows.some(
      ({ service }) => (control.applied.moves[service]?.share ?? 0) >= URGENT_SHARE,
    );
    if (!isUrgent || this.#moveTimer !== undefined) return;
    this.#moveTimer = setTimeout(() => {
      this.#moveTimer = undefined;
      if (control.status.role === 'leader') this.#advanceMoves();
    }, URGENT_CHECK_DELAY);
  }

  #queueJoinRequest(address: Address): void {
    this.#joinRequests.set(address, this.#options.now());
  }

  /** Returns the addresses that still ask to join; one that is gone must not take the place of one that lives. */
  #listJoinRequests(): readonly Address[] {
    const now = this.#options.now();
    [...this.#joinRequests]
      .filter(([, askedAt]) => now - askedAt > JOIN_REQUEST_LIFETIME)
      .forEach(([address]) => this.#joinRequests.delete(address));
    return [...this.#joinRequests.keys()];
  }

  listCold(): Readonly<Record<string, Duration>> {
    const now = this.#options.now();
    const cold = [...this.#announcements].filter(([, { coldUntil }]) => coldUntil > now);
    return Object.fromEntries(cold.map(([id, { coldUntil }]) => [id, coldUntil - now]));
  }

  /** Records the cold time of an upstream. Every member does so, for the entries that follow it. */
  #recordColdTime(command: CatalogCommand | undefined): void {
    if (command?.kind !== 'announce' && command?.kind !== 'chill') return;
    const { id, bornAt } = command.kind === 'announce' ? command.instance : command;
    const known = this.#announcements.get(id);
    const sequence = known?.bornAt === bornAt ? known.sequence : 0;
    const now = this.#options.now();
    const coldUntil = Math.max(known?.coldUntil ?? 0, now + command.coldFor);
    this.#announcements.set(id, { bornAt, sequence, receivedAt: now, coldUntil });
  }

  /**
   * Records the start of new moves by the monotonic clock. Unix time may jump, so it determines the age only of
   * moves that were ordered before this member took part in the group.
   */
  #recordMoveStarts({ moves }: Catalog): void {
    const { control, now, wallNow } = this.#options;
    Object.values(moves).forEach(({ service, orderedAt }) => {
      if (this.#moveStarts.get(service)?.orderedAt === orderedAt) return;
      const isRestoring = control.status.leader === undefined;
      const age = isRestoring ? Math.max(0, wallNow() - orderedAt) : 0;
      this.#moveStarts.set(service, { orderedAt, startedAt: now() - age });
    });
  }

  #runChecks(): void {
    const { control, now } = this.#options;
    const { role, term } = control.status;
    if (role !== 'leader') {
      this.#evidence = [];
      return;
    }
    if (this.#lastLedTerm !== term) {
      this.#lastLedTerm = term;
      this.#evaluations.clear();
      // Only the leader receives announcements, so the records of a former follower can't show silence.
      control.applied.instances.forEach(({ id, bornAt }) => {
        const known = this.#announcements.get(id);
        const same = known?.bornAt === bornAt ? known : undefined;
        const { sequence, coldUntil } = same ?? { sequence: 0, coldUntil: 0 };
        this.#announcements.set(id, { bornAt, sequence, receivedAt: now(), coldUntil });
      });
    }
    this.#removeSilent();
    this.#advanceMoves();
    void this.#changeMembers();
  }

  #removeSilent(): void {
    const { control, announceInterval, now } = this.#options;
    const limit = announceInterval * MAX_MISSED_ANNOUNCEMENTS;
    control.applied.instances.forEach(({ id, bornAt }) => {
      const last = this.#announcements.get(id);
      if (last === undefined || now() - last.receivedAt <= limit) return;
      this.#announcements.delete(id);
      log.info('upstream stopped announcing itself, removing it', {
        upstream: id,
        silentMs: Math.round(now() - last.receivedAt),
      });
      void this.end(id, bornAt, 'silent');
    });
  }

  #advanceMoves(): void {
    const { control } = this.#options;
    const rows = this.#evidence;
    this.#evidence = [];
    Object.values(control.applied.moves)
      .filter(({ state }) => state === 'running')
      .forEach((move) => {
        this.#advanceMove(move, rows);
      });
  }

  #advanceMove(move: TrafficMove, rows: readonly EvidenceRow[]): void {
    const { control, now } = this.#options;
    const { service, version, orderedAt } = move;
    const known = this.#evaluations.get(service);
    const { judgement: before, watchedSince } =
      known?.orderedAt === orderedAt
        ? known
        : { judgement: createJudgement(version), watchedSince: now() };
    const own = rows.filter((row) => row.service === service);
    const judgement = own.length === 0 ? before : addEvidenceBlock(before, own, move.share === 1);
    const maxShare = computeCapacityShare(control.applied, move);
    const times = { elapsed: now() - this.#findStart(move), watched: now() - watchedSince };
    const step = this.#proposedSteps.has(service)
      ? undefined
      : planMoveStep(move, judgement, maxShare, times, this.#options.exposureBudget);
    // A version that was found bad stays so until its roll-back is applied.
    const isNextStep = step?.state === 'running';
    this.#evaluations.set(service, {
      ...{ orderedAt, watchedSince },
      judgement: isNextStep ? startStep(judgement) : judgement,
    });
    if (step !== undefined) this.#proposeStep(move, step);
  }

  #findStart(move: TrafficMove): Instant {
    const known = this.#moveStarts.get(move.service);
    if (known?.orderedAt !== move.orderedAt) this.#recordMoveStarts(this.#options.control.applied);
    return this.#moveStarts.get(move.service)?.startedAt ?? this.#options.now();
  }

  #proposeStep({ service, version, orderedAt }: TrafficMove, step: MoveStep): void {
    const { share, state, reason } = step;
    log.info('traffic move step proposed', { service, version, share, state, reason });
    this.#proposedSteps.add(service);
    void this.submit({ kind: 'stepMove', service, version, orderedAt, share, state }).then(
      (outcome) => {
        this.#proposedSteps.delete(service);
        if (outcome.kind === 'done') return;
        log.warn('traffic move step was not applied', { service, outcome: outcome.kind });
      },
    );
  }

  async #changeMembers(): Promise<void> {
    const { control } = this.#options;
    const change = this.#isChangingMembers
      ? undefined
      : planMembershipChange(control.status, this.#listJoinRequests());
    if (change === undefined) return;
    this.#isChangingMembers = true;
    const outcome = await control.changeMembers(change);
    this.#isChangingMembers = false;
    log.info('control membership change finished', {
      ...change,
      change: change.kind,
      outcome: outcome.kind,
    });
    this.#joinRequests.delete(change.address);
  }
}

/** Starts a steward on a control member; its periodic checks are idle while another member is leader. */
export function createSteward(options: StewardOptions): Steward {
  return new LeaderSteward(options);
}
