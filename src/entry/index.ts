/** The call path: the HTTP listeners for callers and upstreams, and the requests to upstreams. */
export { createEntry, type Entry, type EntryOptions } from './entry.js';
export type * from './ports.js';
export { createRouter } from './router.js';
export {
  createAnnouncementListener,
  type AnnouncementOptions,
  type AnnouncementPort,
  type AnnouncementListener,
} from './announce.js';
