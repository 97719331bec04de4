/**
 * A bounded list that shares its structure between states. Invariant: it holds at least `limit` of the
 * newest items and at most one chunk more, in the order in which they were added.
 */
export interface History<Item> {
  readonly chunks: readonly (readonly Item[])[];
}

/** Items in one chunk; adding copies at most one chunk and the list of chunks. */
const CHUNK_ITEMS = 256;

/** Returns a history without items. */
export function createHistory<Item>(): History<Item> {
  return { chunks: [] };
}

/**
 * Adds an item and drops the oldest chunk once `limit` items stand without it.
 *
 * @example
 * const next = appendHistory(history, record, 4096);
 */
export function appendHistory<Item>(
  history: History<Item>,
  item: Item,
  limit: number,
): History<Item> {
  const last = history.chunks.at(-1);
  const grown =
    last === undefined || last.length >= CHUNK_ITEMS
      ? [...history.chunks, [item]]
      : [...history.chunks.slice(0, -1), [...last, item]];
  const size = (grown.length - 1) * CHUNK_ITEMS + (grown.at(-1)?.length ?? 0);
  return { chunks: size - CHUNK_ITEMS >= limit ? grown.slice(1) : grown };
}

/** Returns the newest item that satisfies the condition. */
export function findHistory<Item>(
  history: History<Item>,
  predicate: (item: Item) => boolean,
): Item | undefined {
  const chunk = history.chunks.findLast((items) => items.some(predicate));
  return chunk?.findLast(predicate);
}

/** Returns all items, oldest first. */
export function listHistory<Item>(history: History<Item>): readonly Item[] {
  return history.chunks.flat();
}
