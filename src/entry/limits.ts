/** Limits for callers and upstreams; published in docs/CALLERS.md and docs/UPSTREAMS.md. */
import type { Duration } from '../model/index.js';

export { HEAD_TIMEOUT, MAX_HEAD_BYTES } from '../wire/index.js';

const KIBIBYTE = 1024;

/** Maximum characters of a request target. */
export const MAX_TARGET_LENGTH = 8 * KIBIBYTE;
/** Maximum number of header fields in a request. */
export const MAX_HEADER_COUNT = 100;
/** Maximum characters of an idempotency key. */
export const MAX_KEY_LENGTH = 128;
/** Maximum number of entries that a call may pass through; stops loops between services. */
export const MAX_HOPS = 16;

/** Maximum bytes of a request body that is buffered so that the request can be retried. */
export const MAX_REPLAY_BYTES = 64 * KIBIBYTE;
/** Maximum bytes of the body of a request with an idempotency key. */
export const MAX_KEYED_BODY_BYTES = 256 * KIBIBYTE;
/** Maximum bytes of a response body that is stored in order to answer retries with the same idempotency key. */
export const MAX_KEYED_RESPONSE_BYTES = 256 * KIBIBYTE;
/** Bytes at the start of a body that enter the fingerprint of the request. */
export const MAX_FINGERPRINT_BODY_BYTES = KIBIBYTE;
/** Maximum bytes of a discarded response that are read to keep its connection open. */
export const MAX_DISCARD_BYTES = 64 * KIBIBYTE;

/** Deadline in milliseconds of a call that sets none. */
export const DEFAULT_DEADLINE: Duration = 30_000;
/** Maximum deadline in milliseconds that a caller may set. */
export const MAX_DEADLINE: Duration = 600_000;
/** Milliseconds without a byte of a response body after which the upstream's connection is closed. */
export const STALL_TIMEOUT: Duration = 60_000;
/** Milliseconds after which an idle connection of a caller is closed. */
export const CALLER_IDLE_TIMEOUT: Duration = 75_000;
/** Milliseconds after which an idle connection to an upstream is closed. */
export const UPSTREAM_IDLE_TIMEOUT: Duration = 4_000;
/** Milliseconds that connecting to an upstream may take. */
export const CONNECT_TIMEOUT: Duration = 1_000;
/** Milliseconds that a probe may take. */
export const PROBE_TIMEOUT: Duration = 2_000;
/** Milliseconds between two `ticked` events to the routing decisions. */
export const TICK_INTERVAL: Duration = 20;
/** Default milliseconds for which other entries may still list an entry that began to stop. */
export const LISTING_LAG: Duration = 2_000;
/** Extra milliseconds of service for requests that were sent just before an address expired. */
export const STOP_MARGIN: Duration = 500;
/** Maximum number of addresses in a discovery response. */
export const MAX_ADDRESSES = 4;
