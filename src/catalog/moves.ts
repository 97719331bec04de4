/**
 * Moves of a service's traffic to another version. Invariant: a version that was taken back gets no share
 * again without a new order, and a repeated order changes nothing.
 */
import type { Catalog, CatalogCommand, TrafficMove } from './types.js';

/** Milliseconds within which the same order is a repetition; orders are repeated for seconds only. */
const DUPLICATE_ORDER_WINDOW = 10_000;

type StartCommand = Extract<CatalogCommand, { kind: 'startMove' }>;
type StepCommand = Extract<CatalogCommand, { kind: 'stepMove' }>;

function isDuplicateOrder(move: TrafficMove | undefined, command: StartCommand): boolean {
  if (move?.version !== command.version) return false;
  return move.state === 'running' || command.now - move.orderedAt < DUPLICATE_ORDER_WINDOW;
}

/** Starts a move, unless it is under way or was just ordered. */
export function applyStartMove(state: Catalog, command: StartCommand): Catalog {
  const { service, version, duration, now } = command;
  if (isDuplicateOrder(state.moves[service], command)) return state;
  const move: TrafficMove = {
    service,
    version,
    duration,
    orderedAt: now,
    state: 'running',
    share: 0,
  };
  return { ...state, moves: { ...state.moves, [service]: move } };
}

/** Changes the share or the state of a move that is under way. */
export function applyStepMove(state: Catalog, command: StepCommand): Catalog {
  const { service, version, orderedAt, share, state: next } = command;
  const move = state.moves[service];
  const isSame = move?.version === version && move.orderedAt === orderedAt;
  if (!isSame || move.state !== 'running') return state;
  const moves = { ...state.moves, [service]: { ...move, share, state: next } };
  const versions =
    next === 'completed' ? { ...state.versions, [service]: version } : state.versions;
  return { ...state, moves, versions };
}

/** The version of a request, as the moves decide it. */
export interface VersionShare {
  /** The version that serves without a move; undefined before any upstream announced itself. */
  readonly stable: string | undefined;
  /** The version that is moved to, while a move is under way. */
  readonly next: string | undefined;
  /** Share of the requests for `next`. */
  readonly share: number;
}

/**
 * Returns which versions of a service may get requests, and how many.
 *
 * @example
 * getVersionShare(catalog, 'records') // { stable: 'v1', next: 'v2', share: 0.05 }
 */
export function getVersionShare(state: Catalog, service: string): VersionShare {
  const stable = state.versions[service];
  const move = state.moves[service];
  if (move?.state !== 'running') return { stable, next: undefined, share: 0 };
  return { stable, next: move.version, share: move.share };
}
