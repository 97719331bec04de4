/**
 * Immutable hash table of records with numeric ids. Invariant: a change copies the list of buckets and one
 * bucket, so older versions of the table stay valid.
 */
const BUCKETS = 64;

/** A record with a numeric key. */
export interface Keyed {
  readonly id: number;
}

/** Records in buckets by `id`. */
export interface Table<Value extends Keyed> {
  readonly size: number;
  readonly buckets: readonly (readonly Value[])[];
}

/** Creates an empty table. */
export function createTable<Value extends Keyed>(): Table<Value> {
  return { size: 0, buckets: Array.from({ length: BUCKETS }, () => []) };
}

/** Returns the record with the id, if there is one. */
export function getRecord<Value extends Keyed>(table: Table<Value>, id: number): Value | undefined {
  return table.buckets[id % BUCKETS]?.find((value) => value.id === id);
}

/** Returns a table with the record added; it replaces a record with the same id. */
export function withRecord<Value extends Keyed>(table: Table<Value>, value: Value): Table<Value> {
  const bucketIndex = value.id % BUCKETS;
  const bucket = table.buckets[bucketIndex] ?? [];
  const index = bucket.findIndex((other) => other.id === value.id);
  const next = index < 0 ? [...bucket, value] : bucket.with(index, value);
  return { size: table.size + (index < 0 ? 1 : 0), buckets: table.buckets.with(bucketIndex, next) };
}

/** Returns a table without the record with the id. */
export function removeRecord<Value extends Keyed>(table: Table<Value>, id: number): Table<Value> {
  const bucketIndex = id % BUCKETS;
  const bucket = table.buckets[bucketIndex] ?? [];
  const next = bucket.filter((value) => value.id !== id);
  if (next.length === bucket.length) return table;
  return { size: table.size - 1, buckets: table.buckets.with(bucketIndex, next) };
}
