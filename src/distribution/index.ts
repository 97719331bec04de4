/** Distributes the committed configuration to the entries, and tracks when it is in force everywhere. */
export type { ClientIdentity } from './client.js';
export type { EvidenceRow } from './codec.js';
export type { AwaitedEntry } from './members.js';
export {
  createConfigServer,
  SYSTEM_OPERATOR,
  type ConfigServer,
  type ConfigServerOptions,
  type EntryReport,
  type ReplicatedLog,
} from './publisher.js';
export type { CommittedView } from './state.js';
export { createConfigClient, type ConfigClient, type ConfigClientOptions } from './subscriber.js';
export { LEASE } from './timing.js';
