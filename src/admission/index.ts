/** Limits on the clients of a process, over all its listeners. */
export { chooseVictims, type ConnectionState } from './decide.js';
export {
  ClientConnections,
  processClients,
  type ClientLimits,
  type CloseCause,
  type CrowdListener,
  type LimitedConnection,
} from './connections.js';
