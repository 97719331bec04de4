/**
 * Types of the HTTP/1.1 codec. Invariant: a message is only emitted once it is complete; a truncated
 * message is never reported as complete.
 */

/** Header fields in the order and case of the wire. */
export type HeaderList = readonly (readonly [name: string, value: string])[];

/** Why the received bytes are not a valid message. */
export interface ProtocolError {
  readonly kind: 'protocolError';
  /** Status code of the response to such a request. */
  readonly status: 400 | 413 | 431 | 501 | 505;
  readonly reason: string;
}

/** The request line and the header fields of a request. */
export interface RequestHead {
  readonly method: string;
  /** Path and query, unchanged. */
  readonly target: string;
  readonly minorVersion: number;
  readonly headers: HeaderList;
}

/** The status line and the header fields of a response. */
export interface ResponseHead {
  readonly status: number;
  readonly reason: string;
  readonly minorVersion: number;
  readonly headers: HeaderList;
}

/** How a body is delimited. */
export type Framing =
  | { readonly kind: 'none' }
  | { readonly kind: 'length'; readonly bytes: number }
  | { readonly kind: 'chunked' }
  /** The body ends when the connection is closed. */
  | { readonly kind: 'untilClose' };

/** Limits in bytes on what a peer may send. */
export interface MessageLimits {
  readonly headBytes: number;
  readonly bodyBytes: number;
}

/** Events that a reader emits. */
export type ReaderEvent<Head> =
  /** The head was parsed; the body may not have arrived yet. */
  | { readonly kind: 'head'; readonly head: Head; readonly framing: Framing }
  | {
      readonly kind: 'message';
      readonly head: Head;
      readonly body: Buffer;
      readonly framing: Framing;
    }
  | ProtocolError;
