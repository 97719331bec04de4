/** Distributes the catalog and the list of live entries from control members to entries. */
export {
  createFollower,
  DEFAULT_FRESH_FOR,
  type FeedChange,
  type FeedView,
  type Follower,
} from './follower.js';
export { decodeMessage } from './messages.js';
export { createPublisher, type Publisher } from './publisher.js';
export { FEED_CHANNEL, type EntryRecord, type FeedMessage, type GroupStatus } from './types.js';
