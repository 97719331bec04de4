/**
 * Encodes and validates what is kept on disk. Invariant: nothing read from a file is used before it passed
 * its checksum and its schema.
 */
import { Ajv } from 'ajv';
import { Packr } from 'msgpackr';
import {
  controlSchema,
  type Identity,
  type LogRecord,
  type Snapshot,
  type Vote,
} from '../generated/control.js';
import { StorageError } from './files.js';
import { computeChecksum, readRecord } from './records.js';

const packr = new Packr({ useRecords: false });
const ajv = new Ajv({ strict: false });
ajv.addSchema({ ...controlSchema, $id: 'control' });

const isIdentity = ajv.compile<Identity>({ $ref: 'control#/definitions/identity' });
const isVote = ajv.compile<Vote>({ $ref: 'control#/definitions/vote' });
const isLogRecord = ajv.compile<LogRecord>({ $ref: 'control#/definitions/logRecord' });
const isSnapshot = ajv.compile<Snapshot>({ $ref: 'control#/definitions/snapshot' });

/** Packs a record or a snapshot. */
export function encodePayload(record: LogRecord | Snapshot): Uint8Array {
  return packr.pack(record);
}

/** Returns the log record, or undefined if it is not one. */
export function parseLogRecord(payload: Uint8Array): LogRecord | undefined {
  const value: unknown = packr.unpack(payload);
  return isLogRecord(value) ? value : undefined;
}

/** Returns the snapshot in a file, or undefined if it is damaged. */
export function parseSnapshot(bytes: Buffer): Snapshot | undefined {
  const payload = readRecord(bytes, 0);
  const value: unknown = payload === undefined ? undefined : packr.unpack(payload);
  return isSnapshot(value) ? value : undefined;
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
    const found = computeChecksum(Buffer.from(JSON.stringify(content)));
    return found === checksum ? content : undefined;
  } catch {
    return undefined;
  }
}

const REMEDY =
  'empty the data folder and start with join = true, so that the others replace this member';

/** Reads the identity file. */
export function parseIdentity(file: string, bytes: Buffer): Identity {
  const content = parseDocument(bytes);
  if (isIdentity(content)) return content;
  throw new StorageError('damaged', file, 0, REMEDY, 'the identity is damaged');
}

/** Reads the vote file. */
export function parseVote(file: string, bytes: Buffer): Vote {
  const content = parseDocument(bytes);
  if (isVote(content)) return content;
  throw new StorageError('damaged', file, 0, REMEDY, 'term and vote are damaged');
}
