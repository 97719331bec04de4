/**
 * The replicated state machine of the catalog. Invariant: it is deterministic; the result depends on the
 * state and the command alone, also for a command that it can't interpret.
 */
import { Packr } from 'msgpackr';
import { applyAnnounce, applyEnd } from './instances.js';
import { applyStartMove, applyStepMove } from './moves.js';
import { applyRoutes, type CatalogTransition } from './routes.js';
import { applyUsage, emptyUsage } from '../usage/index.js';
import type { Catalog, CatalogCommand, Instance } from './types.js';

const packr = new Packr({ useRecords: false });

/** The catalog before the first command. */
export const emptyCatalog: Catalog = {
  table: undefined,
  accepted: [],
  instances: new Map(),
  ended: [],
  moves: {},
  versions: {},
  zonesOut: [],
};

/**
 * Applies a command and returns the new state with the command's outcome.
 *
 * @example
 * applyCommand(catalog, { kind: 'setZone', zone: 'cyberjaya', out: true });
 */
export function applyCommand(state: Catalog, command: CatalogCommand): CatalogTransition {
  const done = (next: Catalog): CatalogTransition => ({ state: next, outcome: { kind: 'done' } });
  switch (command.kind) {
    case 'replaceRoutes':
    case 'patchRoutes':
      return applyRoutes(state, command);
    case 'announce':
      return done(applyAnnounce(state, command));
    case 'end':
      return done(applyEnd(state, command));
    case 'chill':
      return done(state);
    case 'startMove':
      return done(applyStartMove(state, command));
    case 'stepMove':
      return done(applyStepMove(state, command));
    case 'setZone': {
      const others = state.zonesOut.filter((zone) => zone !== command.zone);
      return done({ ...state, zonesOut: command.out ? [...others, command.zone] : others });
    }
    case 'recordUsage':
    case 'takeUsageDuty': {
      const usage = applyUsage(state.usage ?? emptyUsage, command);
      return usage === undefined
        ? { state, outcome: { kind: 'stale', current: state.usage?.commits ?? 0 } }
        : done({ ...state, usage });
    }
  }
}

/** A catalog as it is read from a snapshot, where a map is an object. */
type EncodedCatalog = Omit<Catalog, 'instances'> & {
  readonly instances?: Readonly<Record<string, Instance>>;
};

/** Encodes the state for a snapshot. */
export function encodeCatalog(state: Catalog): Uint8Array {
  return packr.pack(state);
}

/** Decodes the state of a snapshot. */
export function decodeCatalog(bytes: Uint8Array): Catalog {
  const { table, instances, ...rest } = packr.unpack(bytes) as EncodedCatalog;
  return {
    ...{ ...emptyCatalog, ...rest, table: table ?? undefined },
    instances: new Map(Object.entries(instances ?? {})),
  };
}
