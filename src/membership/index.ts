/**
 * Membership of the fleet: announcements of upstreams, liveness of entries and quarantined requests,
 * replicated by gossip.
 */
export {
  createMembership,
  type QuarantineListener,
  type CrashReport,
  type Membership,
  type MembershipOptions,
} from './service.js';
export {
  defaultIntervals,
  type KnownEntry,
  type MembershipIntervals,
  type SelfDescription,
} from './types.js';
