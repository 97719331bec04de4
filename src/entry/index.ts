/** The call path: HTTP for callers and upstreams. */
export { createEntry, type Entry, type EntryOptions } from './entry.js';
export type * from './ports.js';
