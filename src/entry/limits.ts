/** Limits of the callers' and upstreams' listeners; docs/CALLERS.md and docs/UPSTREAMS.md publish them. */
import type { Duration } from '../model/index.js';

const KIBIBYTE = 1024;

/** Bytes of a request's head, start line included. */
export const MAX_HEAD_BYTES = 16 * KIBIBYTE;
/** Characters of a request's target. */
export const MAX_TARGET_LENGTH = 8 * KIBIBYTE;
/** Header fields of a request. */
export const MAX_HEADER_COUNT = 100;
/** Characters of an idempotency key. */
export const MAX_KEY_LENGTH = 128;
/** Entries that one call may pass. */
export const MAX_HOPS = 16;

/** Bytes of a request body that is kept so that the request can be sent again. */
export const MAX_REPLAY_BYTES = 64 * KIBIBYTE;
/** Bytes of a request body that carries an idempotency key. */
export const MAX_KEYED_BODY_BYTES = 256 * KIBIBYTE;
/** Bytes of an answer that is kept for a repeated idempotency key. */
export const MAX_KEYED_RESPONSE_BYTES = 256 * KIBIBYTE;
/** Bytes of the body that count towards a request's fingerprint. */
export const FINGERPRINT_BODY_BYTES = KIBIBYTE;
/** Bytes of an unwanted answer that are read to keep its connection. */
export const MAX_DISCARD_BYTES = 64 * KIBIBYTE;

/** Deadline of a call that names none. */
export const DEFAULT_DEADLINE: Duration = 30_000;
/** Longest deadline that a caller may name. */
export const MAX_DEADLINE: Duration = 600_000;
/** How long a body may stand still before its connection is cut. */
export const STALL_TIMEOUT: Duration = 60_000;
/** How long a caller may take to send a request's head. */
export const HEAD_TIMEOUT: Duration = 10_000;
/** How long a caller's connection is kept without a request. */
export const CALLER_IDLE_TIMEOUT: Duration = 75_000;
/** How long an upstream's connection is kept without a request. */
export const UPSTREAM_IDLE_TIMEOUT: Duration = 4_000;
/** How long a connection to an upstream may take to open. */
export const CONNECT_TIMEOUT: Duration = 1_000;
/** How long a probe may take. */
export const PROBE_TIMEOUT: Duration = 2_000;
/** Time between two `ticked` events to the routing decisions. */
export const TICK_INTERVAL: Duration = 20;
/** How long other entries may go on listing an entry that began to stop, unless settings say so. */
export const LISTING_LAG: Duration = 2_000;
/** Time on top for a request that a caller sent at the last moment. */
export const STOP_MARGIN: Duration = 500;
/** Addresses in one answer to a caller. */
export const MAX_ADDRESSES = 4;
