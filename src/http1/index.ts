/** Codec for HTTP/1.1 messages on byte streams. */
export {
  computeHeadCost,
  findResponseFraming,
  getHeader,
  listForwardableHeaders,
  parseRequestHead,
  parseResponseHead,
  renderHead,
} from './head.js';
export { createResponseGrammar, MessageReader, requestGrammar, type ReadResult } from './reader.js';
export { RequestScanner, type ScannerLimits, type ScanResult } from './scanner.js';
export type {
  Framing,
  HeaderList,
  MessageLimits,
  ProtocolError,
  ReaderEvent,
  RequestHead,
  ResponseHead,
} from './types.js';
