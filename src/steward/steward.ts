/**
 * What the leader of the control group does about the catalog: takes orders and announcements, removes
 * upstreams that fell silent, leads moves along, and replaces members. Invariant: only the leader proposes,
 * and an order is acknowledged only once it is committed.
 */
import {
  isNews,
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
import { planMembers, recordChange, type JoinRequests } from './members.js';
import { computeBearableShare, planStep, type MoveStep } from './moves.js';

const log = createLogger('steward');

/** Milliseconds between two looks at what is due. */
const LOOK_INTERVAL: Duration = 200;
/** Milliseconds that a proposal may take; callers give up on a control member after a second. */
const PROPOSAL_LIMIT: Duration = 900;
/** Announcements missed in a row after which an upstream counts as ended. */
const MISSED_ANNOUNCEMENTS = 13;
/** Milliseconds by which an upstream must be colder than believed before entries are told. */
const COLD_NEWS: Duration = 250;

/** What became of an order or announcement. */
export type OrderOutcome =
  | CatalogOutcome
  /** Another member leads; ask it. */
  | { readonly kind: 'elsewhere'; readonly leader: Address }
  | { readonly kind: 'unavailable'; readonly remedy: string };

/** What became of a read. */
export type ReadAnswer =
  | { readonly kind: 'current'; readonly catalog: Catalog }
  | Extract<OrderOutcome, { kind: 'elsewhere' | 'unavailable' }>;

/** One announcement of an upstream. */
export interface Announcement {
  readonly instance: Instance;
  /** Milliseconds that it stays cold. */
  readonly coldFor: Duration;
  /** Rises with each announcement of one start. */
  readonly sequence: number;
}

/** What {@link createSteward} needs. */
export interface StewardOptions {
  readonly control: ControlNode<Catalog>;
  /** Returns the leader as another member told it, for a steward that is no member itself. */
  readonly findLeader: () => Address | undefined;
  /** Milliseconds between two announcements of an upstream. */
  readonly announceInterval: Duration;
  readonly now: () => Instant;
  readonly wallNow: () => number;
}

/** The leader's duties, and the way in for orders. */
export interface Steward {
  submit(command: CatalogCommand): Promise<OrderOutcome>;
  announce(announcement: Announcement): Promise<OrderOutcome>;
  end(id: string, bornAt: number | undefined, cause: EndCause): Promise<OrderOutcome>;
  readCurrent(): Promise<ReadAnswer>;
  addEvidence(rows: readonly EvidenceRow[]): void;
  listCold(): Readonly<Record<string, Duration>>;
  close(): void;
}

interface Heard {
  readonly bornAt: number;
  readonly sequence: number;
  readonly at: Instant;
  readonly coldUntil: Instant;
}

interface WatchedMove {
  readonly orderedAt: number;
  readonly judgement: Judgement;
}

/** When a move was ordered, by the clock of this process that never jumps. */
interface MoveStart {
  readonly orderedAt: number;
  readonly startedAt: Instant;
}

class LeaderSteward implements Steward {
  readonly #options: StewardOptions;
  readonly #timer: NodeJS.Timeout;
  readonly #heard = new Map<string, Heard>();
  readonly #moves = new Map<string, WatchedMove>();
  readonly #starts = new Map<string, MoveStart>();
  #evidence: readonly EvidenceRow[] = [];
  #joins: JoinRequests = { waiting: [], admitted: 0 };
  #isChanging = false;
  #ledTerm = 0;

  constructor(options: StewardOptions) {
    this.#options = options;
    this.#timer = setInterval(() => {
      this.#look();
    }, LOOK_INTERVAL);
    options.control.onJoinRequest((address) => {
      this.#requestJoin(address);
    });
    options.control.onApplied((catalog, _, command) => {
      this.#noteCold(command as CatalogCommand | undefined);
      this.#noteMoves(catalog);
    });
  }

  close(): void {
    clearInterval(this.#timer);
  }

  async submit(command: CatalogCommand): Promise<OrderOutcome> {
    const { control } = this.#options;
    const { role, leader } = control.status;
    if (role !== 'leader') return this.#describeElsewhere(leader);
    const outcome = await control.propose(command, PROPOSAL_LIMIT);
    switch (outcome.kind) {
      case 'committed':
        return outcome.result as CatalogOutcome;
      case 'notLeader':
        return this.#describeElsewhere(outcome.leader);
      case 'unknown':
        return { kind: 'unavailable', remedy: 'no majority answered in time: send it again' };
      case 'unavailable':
        return outcome;
    }
  }

  #describeElsewhere(known: Address | undefined): OrderOutcome & ReadAnswer {
    const leader = known ?? this.#options.findLeader();
    return leader === undefined
      ? { kind: 'unavailable', remedy: 'no leader is known here: ask another control member' }
      : { kind: 'elsewhere', leader };
  }

  async readCurrent(): Promise<ReadAnswer> {
    const read = await this.#options.control.readCurrent(PROPOSAL_LIMIT);
    switch (read.kind) {
      case 'current':
        return { kind: 'current', catalog: read.state };
      case 'notLeader':
        return this.#describeElsewhere(read.leader);
      case 'unavailable':
        return this.#options.control.status.role === 'newborn'
          ? this.#describeElsewhere(undefined)
          : read;
    }
  }

  async announce({ instance, coldFor, sequence }: Announcement): Promise<OrderOutcome> {
    const { control, now } = this.#options;
    if (control.status.role !== 'leader') return this.#describeElsewhere(control.status.leader);
    const known = this.#heard.get(instance.id);
    const isLate =
      known !== undefined &&
      (known.bornAt > instance.bornAt ||
        (known.bornAt === instance.bornAt && known.sequence > sequence));
    if (isLate) return { kind: 'done' };
    const believed = known?.bornAt === instance.bornAt ? known.coldUntil : 0;
    const coldUntil = now() + coldFor;
    const { id, bornAt } = instance;
    this.#heard.set(id, { bornAt, sequence, at: now(), coldUntil: Math.max(believed, coldUntil) });
    if (isNews(control.applied, instance))
      return this.submit({ kind: 'announce', instance, coldFor });
    if (coldFor > 0 && coldUntil > Math.max(believed, now()) + COLD_NEWS) {
      return this.submit({ kind: 'chill', id, bornAt, coldFor });
    }
    return { kind: 'done' };
  }

  async end(id: string, bornAt: number | undefined, cause: EndCause): Promise<OrderOutcome> {
    const born = bornAt ?? this.#options.control.applied.instances[id]?.bornAt;
    return born === undefined
      ? { kind: 'done' }
      : this.submit({ kind: 'end', id, bornAt: born, cause });
  }

  addEvidence(rows: readonly EvidenceRow[]): void {
    this.#evidence = mergeEvidence(this.#evidence, rows);
  }

  #requestJoin(address: Address): void {
    const others = this.#joins.waiting.filter((waiting) => waiting !== address);
    this.#joins = { ...this.#joins, waiting: [...others, address] };
  }

  listCold(): Readonly<Record<string, Duration>> {
    const now = this.#options.now();
    const cold = [...this.#heard].filter(([, { coldUntil }]) => coldUntil > now);
    return Object.fromEntries(cold.map(([id, { coldUntil }]) => [id, coldUntil - now]));
  }

  /** Every member keeps how cold upstreams are, for the entries that follow it. */
  #noteCold(command: CatalogCommand | undefined): void {
    if (command?.kind !== 'announce' && command?.kind !== 'chill') return;
    const { id, bornAt } = command.kind === 'announce' ? command.instance : command;
    const known = this.#heard.get(id);
    const sequence = known?.bornAt === bornAt ? known.sequence : 0;
    const now = this.#options.now();
    const coldUntil = Math.max(known?.coldUntil ?? 0, now + command.coldFor);
    this.#heard.set(id, { bornAt, sequence, at: now, coldUntil });
  }

  /**
   * Notes when moves began. The time of day may jump, so it tells the age only of moves that were ordered before
   * this member took part.
   */
  #noteMoves({ moves }: Catalog): void {
    const { control, now, wallNow } = this.#options;
    Object.values(moves).forEach(({ service, orderedAt }) => {
      if (this.#starts.get(service)?.orderedAt === orderedAt) return;
      const isOld = control.status.leader === undefined;
      const age = isOld ? Math.max(0, wallNow() - orderedAt) : 0;
      this.#starts.set(service, { orderedAt, startedAt: now() - age });
    });
  }

  #look(): void {
    const { control, now } = this.#options;
    const { role, term } = control.status;
    if (role !== 'leader') {
      this.#evidence = [];
      return;
    }
    if (this.#ledTerm !== term) {
      this.#ledTerm = term;
      this.#moves.clear();
      // What this member heard as a follower says nothing of who is silent.
      Object.values(control.applied.instances).forEach(({ id, bornAt }) => {
        const known = this.#heard.get(id);
        const same = known?.bornAt === bornAt ? known : undefined;
        const { sequence, coldUntil } = same ?? { sequence: 0, coldUntil: 0 };
        this.#heard.set(id, { bornAt, sequence, at: now(), coldUntil });
      });
    }
    this.#removeSilent();
    this.#steerMoves();
    void this.#changeMembers();
  }

  #removeSilent(): void {
    const { control, announceInterval, now } = this.#options;
    const limit = announceInterval * MISSED_ANNOUNCEMENTS;
    Object.values(control.applied.instances).forEach(({ id, bornAt }) => {
      const heard = this.#heard.get(id);
      if (heard === undefined || now() - heard.at <= limit) return;
      this.#heard.delete(id);
      log.info('upstream fell silent', { upstream: id, silentMs: Math.round(now() - heard.at) });
      void this.end(id, bornAt, 'silent');
    });
  }

  #steerMoves(): void {
    const { control } = this.#options;
    const rows = this.#evidence;
    this.#evidence = [];
    Object.values(control.applied.moves)
      .filter(({ state }) => state === 'running')
      .forEach((move) => {
        this.#steerMove(move, rows);
      });
  }

  #steerMove(move: TrafficMove, rows: readonly EvidenceRow[]): void {
    const { control, now } = this.#options;
    const { service, version, orderedAt } = move;
    const known = this.#moves.get(service);
    const before = known?.orderedAt === orderedAt ? known.judgement : createJudgement(version);
    const own = rows.filter((row) => row.service === service);
    const judgement = own.length === 0 ? before : addEvidenceBlock(before, own);
    const bearable = computeBearableShare(control.applied, move);
    const step = planStep(move, judgement, bearable, now() - this.#findStart(move));
    this.#moves.set(service, {
      orderedAt,
      judgement: step === undefined ? judgement : startStep(judgement),
    });
    if (step !== undefined) this.#proposeStep(move, step);
  }

  #findStart(move: TrafficMove): Instant {
    const known = this.#starts.get(move.service);
    if (known?.orderedAt !== move.orderedAt) this.#noteMoves(this.#options.control.applied);
    return this.#starts.get(move.service)?.startedAt ?? this.#options.now();
  }

  #proposeStep({ service, version, orderedAt }: TrafficMove, step: MoveStep): void {
    const { share, state, reason } = step;
    log.info('traffic move steps', { service, version, share, state, reason });
    void this.submit({ kind: 'stepMove', service, version, orderedAt, share, state }).then(
      (outcome) => {
        if (outcome.kind === 'done') return;
        log.warn('step of a traffic move was not taken', { service, outcome: outcome.kind });
      },
    );
  }

  async #changeMembers(): Promise<void> {
    const { control } = this.#options;
    const change = this.#isChanging ? undefined : planMembers(control.status, this.#joins);
    if (change === undefined) return;
    this.#isChanging = true;
    const { silences } = control.status;
    const outcome = await control.changeMembers(change);
    this.#isChanging = false;
    log.info('control members change', { ...change, change: change.kind, outcome: outcome.kind });
    this.#joins =
      outcome.kind === 'committed'
        ? recordChange(this.#joins, change, silences)
        : {
            ...this.#joins,
            waiting: this.#joins.waiting.filter((address) => address !== change.address),
          };
  }
}

/** Starts the leader's duties on a control member; they rest while another member leads. */
export function createSteward(options: StewardOptions): Steward {
  return new LeaderSteward(options);
}
