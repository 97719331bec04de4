/**
 * The recent commands that a control member keeps for followers that lag. Invariant: they are every command after
 * `completeAfter`, in log order, and neither their number nor their bytes exceed the bounds.
 */
import type { CatalogCommand } from '../catalog/index.js';
import type { IndexedCommands } from './codec.js';

/** Maximum number of commands kept. */
const MAX_KEPT_COMMANDS = 512;
/** Maximum encoded bytes of the commands kept; decoded, they take several times as much. */
const MAX_KEPT_BYTES = 2 * 1024 * 1024;

interface KeptCommand {
  readonly index: number;
  readonly command: CatalogCommand;
  /** Size of the encoded command. */
  readonly bytes: number;
}

/** The commands kept for followers. */
export interface KeptCommands {
  readonly items: readonly KeptCommand[];
  /** The log index after which every command is kept. */
  readonly completeAfter: number;
  /** Encoded bytes of the commands. */
  readonly bytes: number;
}

/** Returns no commands, complete after the index. */
export function createKeptCommands(completeAfter: number): KeptCommands {
  return { items: [], completeAfter, bytes: 0 };
}

function dropExcess(kept: KeptCommands): KeptCommands {
  const [oldest, ...items] = kept.items;
  const isWithinBounds = kept.items.length <= MAX_KEPT_COMMANDS && kept.bytes <= MAX_KEPT_BYTES;
  if (oldest === undefined || isWithinBounds) return kept;
  return dropExcess({ items, completeAfter: oldest.index, bytes: kept.bytes - oldest.bytes });
}

/**
 * Adds a command, and drops the oldest ones that exceed the bounds. A command larger than the bound isn't kept:
 * followers are then sent the whole state.
 *
 * @example
 * const kept = addCommand(createKeptCommands(16), 17, { kind: 'setZone', zone: 'cyberjaya', out: true }, 42);
 */
export function addCommand(
  kept: KeptCommands,
  index: number,
  command: CatalogCommand,
  bytes: number,
): KeptCommands {
  const items = [...kept.items, { index, command, bytes }];
  return dropExcess({ ...kept, items, bytes: kept.bytes + bytes });
}

/** Returns the commands after the index, or undefined if some of them are no longer kept. */
export function listCommandsAfter(kept: KeptCommands, index: number): IndexedCommands | undefined {
  if (index < kept.completeAfter) return undefined;
  return kept.items
    .filter((item) => item.index > index)
    .map((item) => [item.index, item.command] as const);
}
