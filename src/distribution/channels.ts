/**
 * Mesh channels of the configuration protocol. Requests and responses have separate channels, so that one
 * process can be both an entry and a control member.
 */

/** Carries requests from entries to control members. */
export const REQUEST_CHANNEL = 'config?';
/** Carries responses and pushed updates from control members to entries. */
export const RESPONSE_CHANNEL = 'config';
