/**
 * Encodes and decodes the contents of the data folder: log records, snapshots and small JSON documents.
 * Invariant: data read from a file is used only after its checksum and its schema have been verified.
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
/** Encodes a log record or a snapshot as MessagePack. */
export function encodePayload(record: LogRecord | Snapshot): Uint8Array {
  return packr.pack(record);
}

/** Returns the decoded payload, or undefined if it is no MessagePack. */
function decodePayload(payload: Uint8Array): unknown {
  try {
    return packr.unpack(payload) as unknown;
  } catch {
    return undefined;
  }
}

/** Drops the rest of the snapshot, which earlier versions added to a base record that follows one. */
function dropSnapshotKeys(value: unknown): unknown {
  if (typeof value !== 'object' || value === null || !('data' in value)) return value;
  const { kind, index, term } = value as Readonly<Record<string, unknown>>;
  return kind === 'base' ? { kind, index, term } : value;
}

/** Decodes a log record. Returns undefined if the payload does not match the schema. */
export function parseLogRecord(payload: Uint8Array): LogRecord | undefined {
  const value = dropSnapshotKeys(decodePayload(payload));
  return validateLogRecord(value) ? value : undefined;
}

/** Decodes the snapshot in a file. Returns undefined if the checksum or the schema does not match. */
export function parseSnapshot(bytes: Buffer): Snapshot | undefined {
  const payload = readRecord(bytes, 0);
  const value = payload === undefined ? undefined : decodePayload(payload);
  return validateSnapshot(value) ? value : undefined;
}

/** Encodes a command for a log entry. */
export function encodeCommand(command: unknown): Uint8Array {
  return new Uint8Array(packr.pack(command));
}

/** Decodes the command of a log entry. */
export function decodeCommand(bytes: Uint8Array): unknown {
  return packr.unpack(bytes);
}

/** Encodes a small document as JSON together with its checksum. */
export function renderDocument(content: unknown): Buffer {
  const checksum = computeChecksum(Buffer.from(JSON.stringify(content)));
  return Buffer.from(`${JSON.stringify({ checksum, content })}\n`);
}

/** Returns the content of a document, or undefined if it is not valid JSON or its checksum is wrong. */
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

/** Decodes the identity file. Throws a {@link StorageError} if it is damaged. */
export function parseIdentity(file: string, bytes: Buffer): Identity {
  const content = parseDocument(bytes);
  if (validateIdentity(content)) return content;
  throw new StorageError('damaged', file, 0, REJOIN_REMEDY, 'the identity file is damaged');
}

/** Decodes the file with the current term and vote. Throws a {@link StorageError} if it is damaged. */
export function parseVote(file: string, bytes: Buffer): Vote {
  const content = parseDocument(bytes);
  if (validateVote(content)) return content;
  throw new StorageError(
    'damaged',
    file,
    0,
    REJOIN_REMEDY,
    'the file with term and vote is damaged',
  );
}
