/**
 * The values of the HTTP/1.1 codec. Invariant: a message is handed on only once it is whole; a message
 * that ended early is reported as an error and never as complete.
 */

/** Header fields in the order and spelling of the wire. */
export type HeaderList = readonly (readonly [name: string, value: string])[];

/** Why bytes are not a message that may be handed on. */
export interface ProtocolError {
  readonly kind: 'protocolError';
  /** The status that a server answers such a request with. */
  readonly status: 400 | 413 | 431 | 501 | 505;
  readonly reason: string;
}

/** The first line and the header fields of a request. */
export interface RequestHead {
  readonly method: string;
  /** Path and query as sent. */
  readonly target: string;
  readonly minorVersion: number;
  readonly headers: HeaderList;
}

/** The first line and the header fields of a response. */
export interface ResponseHead {
  readonly status: number;
  readonly reason: string;
  readonly minorVersion: number;
  readonly headers: HeaderList;
}

/** How the end of a body is found. */
export type Framing =
  | { readonly kind: 'none' }
  | { readonly kind: 'length'; readonly bytes: number }
  | { readonly kind: 'chunked' }
  /** The body ends with its connection. */
  | { readonly kind: 'untilClose' };

/** Limits in bytes on what a peer may send. */
export interface MessageLimits {
  readonly headBytes: number;
  readonly bodyBytes: number;
}

/** What a reader found in the bytes so far. */
export type ReaderEvent<Head> =
  /** The head is known; the body may still be on its way. */
  | { readonly kind: 'head'; readonly head: Head; readonly framing: Framing }
  | {
      readonly kind: 'message';
      readonly head: Head;
      readonly body: Buffer;
      readonly framing: Framing;
    }
  | ProtocolError;
