/** The call path: HTTP for callers and upstreams. */
export { createEntry, type Entry, type EntryOptions } from './entry.js';
export type * from './ports.js';
export { createRouter } from './router.js';
export {
  createAnnouncements,
  type AnnouncementOptions,
  type AnnouncementPort,
  type Announcements,
} from './announce.js';
