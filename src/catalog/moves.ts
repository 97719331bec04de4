/**
 * Moves a service's traffic to another version. Invariant: a version that was rolled back gets no traffic
 * again without a new order, and a duplicate order changes nothing.
 */
import type { Catalog, CatalogCommand, TrafficMove } from './types.js';

/** Milliseconds within which an identical order is a duplicate; orders are retried only for seconds. */
const DUPLICATE_ORDER_WINDOW = 10_000;

type StartCommand = Extract<CatalogCommand, { kind: 'startMove' }>;
type StepCommand = Extract<CatalogCommand, { kind: 'stepMove' }>;

function isDuplicateOrder(move: TrafficMove | undefined, command: StartCommand): boolean {
  if (move?.version !== command.version) return false;
  return move.state === 'running' || command.now - move.orderedAt < DUPLICATE_ORDER_WINDOW;
}

/** Starts a move, unless the same one is running or was just ordered. */
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

/** Changes the share or the state of a running move. */
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

/** The split of a service's requests between two versions. */
export interface VersionShare {
  /** The version that serves without a move; undefined before any upstream of the service was announced. */
  readonly stable: string | undefined;
  /** The target version of a running move; undefined without one. */
  readonly next: string | undefined;
  /** Share of the requests for `next`, from 0 to 1. */
  readonly share: number;
}

/**
 * Returns which versions of a service may get requests, and in which share.
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
