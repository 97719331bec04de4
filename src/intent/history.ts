/**
 * A bounded append-only list that shares its chunks between versions. Invariant: it holds the newest items
 * in insertion order; once full, at least `limit` of them and at most one chunk more.
 */
export interface History<Item> {
  readonly chunks: readonly (readonly Item[])[];
}

/** Items per chunk; appending copies at most one chunk and the array of chunks. */
const CHUNK_ITEMS = 256;

/** Returns an empty history. */
export function createHistory<Item>(): History<Item> {
  return { chunks: [] };
}

/**
 * Appends an item, and drops the oldest chunk once the others hold at least `limit` items.
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

/** Returns the newest item that satisfies the predicate. */
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
