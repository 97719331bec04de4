/**
 * Drives version moves on the leader: merges evidence, plans the next action and proposes it. Invariant:
 * only the leader proposes, each proposal names the step it is based on, and all state that must survive a
 * change of leader is in the replicated log. A new leader continues from the step there with new evidence.
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

/** Interval of evidence that is evaluated as one block, in milliseconds. */
const EVIDENCE_BLOCK_INTERVAL: Duration = 1000;
/** Deadline of one proposal, in milliseconds. */
const PROPOSAL_DEADLINE: Duration = 3000;
/**
 * Share of its part of the slots that a version is planned to use while it has fewer slots than the other
 * versions; the rest is headroom.
 */
const MAX_PLANNED_UTILIZATION = 0.8;

/** Options of {@link createMoveController}. */
export interface MoveControllerOptions {
  readonly control: ControlNode<IntentState>;
  /** Returns the announced upstreams that this member knows of. */
  readonly listUpstreams: () => readonly Upstream[];
  /** Returns the wall-clock time in milliseconds; deadlines of moves are wall-clock times. */
  readonly wallNow: () => number;
}

/** Drives the active version moves while this member is leader. */
export interface MoveController {
  /** Adds evidence that an entry reported. */
  addEvidence(rows: readonly EvidenceRow[]): void;
  close(): void;
}

/** The leader's local state of one move, which is not in the replicated log. */
interface TrackedMove {
  readonly term: number;
  readonly step: number;
  readonly share: number;
  readonly stepAt: number;
  readonly judgement: Judgement;
}

/**
 * Returns the maximum share of the traffic that the version's upstreams can handle: their part of the
 * service's slots, less some headroom. Upstreams that are leaving or in a zone taken out don't count. If no
 * upstreams are known at all, the share is not limited.
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
    // With at least half of the slots, the version can take over all traffic of the others.
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
    const judgement = addEvidenceBlock(known.judgement, own, move.share === 1);
    this.#trackedMoves.set(move.id, { ...known, judgement });
    const maxShare = computeMaxShare(state, move, listUpstreams());
    const planned = { ...move, stepAt: known.stepAt };
    const action = planMove(planned, judgement, maxShare, wallNow());
    if (action.kind === 'wait' || this.#pendingProposals.has(move.id)) return;
    this.#pendingProposals.add(move.id);
    void this.#propose(move, action).finally(() => this.#pendingProposals.delete(move.id));
  }

  /**
   * Returns the local state of the move. It starts empty in a new term; a new share starts a new step of the
   * evaluation.
   */
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
      // The next block plans again from the replicated state, so the result of this proposal doesn't matter.
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
 * Creates the controller that drives version moves while this member is leader.
 *
 * @example
 * const controller = createMoveController({ control, listUpstreams, wallNow: Date.now });
 * const server = createConfigServer({ ..., onEvidence: (_, rows) => controller.addEvidence(rows) });
 */
export function createMoveController(options: MoveControllerOptions): MoveController {
  return new LeaderMoveController(options);
}
