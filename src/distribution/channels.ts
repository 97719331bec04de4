/** Channels of the mesh; two, so that one process may be entry and control member at once. */

/** From entries to control members. */
export const REQUEST_CHANNEL = 'config?';
/** From control members to entries. */
export const RESPONSE_CHANNEL = 'config';
