/**
 * Leads version moves along: pools evidence, asks the plan, and proposes its action. Invariant: only the
 * leader proposes, each proposal names the step that it rests on, and all that must outlive the leader
 * stands in the replicated log; a new leader goes on from the step there with fresh evidence.
 */
import { randomBytes } from 'node:crypto';
import type { ControlNode } from '../control/index.js';
import { SYSTEM_OPERATOR, type EvidenceRow } from '../distribution/index.js';
import type { IntentState, Move, SystemCommand } from '../intent/index.js';
import { matchSelector, type Duration, type Upstream } from '../model/index.js';
import {
  addEvidenceBlock,
  createJudgement,
  mergeEvidence,
  planMove,
  startStep,
  type Judgement,
  type MoveAction,
} from '../rollout/index.js';

/** Milliseconds of evidence that make one block. */
const EVIDENCE_BLOCK_INTERVAL: Duration = 1000;
/** Milliseconds that one proposal may take. */
const PROPOSAL_DEADLINE: Duration = 3000;
/** Share of an upstream's slots that a move may plan with. */
const MAX_PLANNED_UTILIZATION = 0.8;

/** What {@link createMoveController} needs. */
export interface MoveControllerOptions {
  readonly control: ControlNode<IntentState>;
  /** The upstreams that are announced, as far as this member knows. */
  readonly listUpstreams: () => readonly Upstream[];
  /** Wall clock in milliseconds; deadlines of moves are wall-clock times. */
  readonly wallNow: () => number;
}

/** The leader's hand on the version moves. */
export interface MoveController {
  /** Adds evidence that an entry sent. */
  addEvidence(rows: readonly EvidenceRow[]): void;
  close(): void;
}

/** What the leader remembers of one move besides the log. */
interface TrackedMove {
  readonly term: number;
  readonly step: number;
  readonly share: number;
  readonly stepAt: number;
  readonly judgement: Judgement;
}

/**
 * Returns the share that the version's upstreams bear: their part of the slots of the service that are
 * neither in a zone taken out nor leaving, with some room. Knowing no upstreams, it does not bound.
 *
 * @example
 * computeMaxShare(state, move, upstreams) // 0.27 for one upstream of v2 beside two of v1
 */
export function computeMaxShare(
  state: IntentState,
  move: Move,
  upstreams: readonly Upstream[],
): number {
  const usable = upstreams.filter(
    (upstream) =>
      !upstream.leaving &&
      !state.zonesOut.includes(upstream.zone) &&
      !state.leaving.some((selector) => matchSelector(selector, upstream)),
  );
  const sumSlots = (list: readonly Upstream[]): number =>
    list.reduce((sum, { slots }) => sum + slots, 0);
  const shares = move.services.map((service) => {
    const serviceUpstreams = usable.filter((upstream) => upstream.service === service);
    const totalSlots = sumSlots(serviceUpstreams);
    const versionSlots = sumSlots(
      serviceUpstreams.filter(({ version }) => version === move.version),
    );
    if (totalSlots === 0) return upstreams.length === 0 ? 1 : 0;
    // Once the version has as many slots as the others, it can take their work over.
    return versionSlots * 2 >= totalSlots
      ? 1
      : (versionSlots / totalSlots) * MAX_PLANNED_UTILIZATION;
  });
  return Math.min(1, ...shares);
}

class LeaderMoveController implements MoveController {
  readonly #options: MoveControllerOptions;
  readonly #timer: NodeJS.Timeout;
  readonly #nonce = randomBytes(6).toString('hex');
  readonly #trackedMoves = new Map<string, TrackedMove>();
  readonly #pendingProposals = new Set<string>();
  #pendingEvidence: readonly EvidenceRow[] = [];
  #proposalCount = 0;

  constructor(options: MoveControllerOptions) {
    this.#options = options;
    this.#timer = setInterval(() => {
      this.#advance();
    }, EVIDENCE_BLOCK_INTERVAL);
  }

  addEvidence(rows: readonly EvidenceRow[]): void {
    this.#pendingEvidence = mergeEvidence(this.#pendingEvidence, rows);
  }

  close(): void {
    clearInterval(this.#timer);
  }

  #advance(): void {
    const { control } = this.#options;
    const rows = this.#pendingEvidence;
    this.#pendingEvidence = [];
    if (control.status.role !== 'leader') {
      this.#trackedMoves.clear();
      return;
    }
    const { moves } = control.applied;
    [...this.#trackedMoves.keys()]
      .filter((id) => moves.every((move) => move.id !== id))
      .forEach((id) => this.#trackedMoves.delete(id));
    moves.forEach((move) => {
      this.#advanceMove(control.applied, move, rows);
    });
  }

  #advanceMove(state: IntentState, move: Move, rows: readonly EvidenceRow[]): void {
    const { listUpstreams, wallNow } = this.#options;
    const known = this.#trackMove(move);
    const own = rows.filter(({ service }) => move.services.includes(service));
    const judgement = addEvidenceBlock(known.judgement, own);
    this.#trackedMoves.set(move.id, { ...known, judgement });
    const maxShare = computeMaxShare(state, move, listUpstreams());
    const planned = { ...move, stepAt: known.stepAt };
    const action = planMove(planned, judgement, maxShare, wallNow());
    if (action.kind === 'wait' || this.#pendingProposals.has(move.id)) return;
    this.#pendingProposals.add(move.id);
    void this.#propose(move, action).finally(() => this.#pendingProposals.delete(move.id));
  }

  /** Returns what is known of the move, fresh in a new term, and counted anew at a new share. */
  #trackMove(move: Move): TrackedMove {
    const { term } = this.#options.control.status;
    const known = this.#trackedMoves.get(move.id);
    const { step, share } = move;
    const stepAt = this.#options.wallNow();
    if (known?.term !== term) {
      return { term, step, share, stepAt, judgement: createJudgement(move.version) };
    }
    if (known.share !== share) {
      return { term, step, share, stepAt, judgement: startStep(known.judgement) };
    }
    return { ...known, step };
  }

  async #propose(move: Move, action: Exclude<MoveAction, { kind: 'wait' }>): Promise<void> {
    this.#proposalCount += 1;
    const common = {
      id: `${SYSTEM_OPERATOR}/${this.#nonce}/move/${this.#proposalCount}`,
      operator: SYSTEM_OPERATOR,
      issuedAt: Math.round(this.#options.wallNow()),
      moveId: move.id,
      evidence: action.evidence,
    };
    try {
      await this.#options.control.propose(buildCommand(common, move, action), PROPOSAL_DEADLINE);
    } catch {
      // The next block plans anew from the agreed state, whatever became of the proposal.
    }
  }
}

function buildCommand(
  common: Readonly<Record<'id' | 'operator' | 'moveId' | 'evidence', string>> & {
    readonly issuedAt: number;
  },
  move: Move,
  action: Exclude<MoveAction, { kind: 'wait' }>,
): SystemCommand {
  switch (action.kind) {
    case 'step': {
      const { share, late } = action;
      return { ...common, kind: 'stepMove', step: move.step + 1, share, late };
    }
    case 'finish':
      return { ...common, kind: 'finishMove', step: move.step };
    case 'takeBack':
      return { ...common, kind: 'takeBackMove', step: move.step };
  }
}

/**
 * Starts to lead version moves along while this member leads.
 *
 * @example
 * const steering = createMoveSteering({ control, listUpstreams, wallNow: Date.now });
 * const server = createConfigServer({ ..., onEvidence: (_, rows) => steering.addEvidence(rows) });
 */
export function createMoveController(options: MoveControllerOptions): MoveController {
  return new LeaderMoveController(options);
}
