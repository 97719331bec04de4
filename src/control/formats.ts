/**
 * Encodes and validates what is kept on disk. Invariant: nothing read from a file is used before it passed
 * its checksum and its schema.
 */
import { Packr } from 'msgpackr';
import type { Identity, LogRecord, Snapshot, Vote } from '../generated/control.js';
import {
  validateIdentity,
  validateLogRecord,
  validateSnapshot,
  validateVote,
} from '../generated/control.validate.js';
import { StorageError } from './files.js';
import { computeChecksum, readRecord } from './records.js';

const packr = new Packr({ useRecords: false });
/** Packs a record or a snapshot. */
export function encodePayload(record: LogRecord | Snapshot): Uint8Array {
  return packr.pack(record);
}

/** Returns the log record, or undefined if it is not one. */
export function parseLogRecord(payload: Uint8Array): LogRecord | undefined {
  const value: unknown = packr.unpack(payload);
  return validateLogRecord(value) ? value : undefined;
}

/** Returns the snapshot in a file, or undefined if it is damaged. */
export function parseSnapshot(bytes: Buffer): Snapshot | undefined {
  const payload = readRecord(bytes, 0);
  const value: unknown = payload === undefined ? undefined : packr.unpack(payload);
  return validateSnapshot(value) ? value : undefined;
}

/** Packs a command for the log. */
export function encodeCommand(command: unknown): Uint8Array {
  return new Uint8Array(packr.pack(command));
}

/** Returns the command of a log entry. */
export function decodeCommand(bytes: Uint8Array): unknown {
  return packr.unpack(bytes);
}

/** Renders a small document as JSON with a checksum. */
export function renderDocument(content: unknown): Buffer {
  const checksum = computeChecksum(Buffer.from(JSON.stringify(content)));
  return Buffer.from(`${JSON.stringify({ checksum, content })}\n`);
}

/** Returns the content of a document, or undefined if its checksum is wrong. */
export function parseDocument(bytes: Buffer): unknown {
  try {
    const { checksum, content } = JSON.parse(bytes.toString()) as {
      checksum: unknown;
      content: unknown;
    };
    const actual = computeChecksum(Buffer.from(JSON.stringify(content)));
    return actual === checksum ? content : undefined;
  } catch {
    return undefined;
  }
}

const REJOIN_REMEDY =
  'empty the data folder and start with join = true, so that the others replace this member';

/** Reads the identity file. */
export function parseIdentity(file: string, bytes: Buffer): Identity {
  const content = parseDocument(bytes);
  if (validateIdentity(content)) return content;
  throw new StorageError('damaged', file, 0, REJOIN_REMEDY, 'the identity is damaged');
}

/** Reads the vote file. */
export function parseVote(file: string, bytes: Buffer): Vote {
  const content = parseDocument(bytes);
  if (validateVote(content)) return content;
  throw new StorageError('damaged', file, 0, REJOIN_REMEDY, 'term and vote are damaged');
}
