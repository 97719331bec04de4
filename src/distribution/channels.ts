/** Channels of the mesh; two, so that one process may be entry and control member at once. */

/** From entries to control members. */
export const QUESTION_CHANNEL = 'config?';
/** From control members to entries. */
export const ANSWER_CHANNEL = 'config';
