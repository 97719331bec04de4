/**
 * Reads the log segments of a data folder. Invariant: bytes that were synced are never cut silently; a
 * record that is not whole is a torn write only if nothing synced and nothing whole follows it.
 */
import { join } from 'node:path';
import type { LogRecord } from '../generated/control.js';
import { StorageError, type FileSystem } from './files.js';
import { parseDocument, parseLogRecord } from './formats.js';
import { appendEntries, emptyLog, getLastIndex, getTermAt, type Log } from './log.js';
import { HEADER_BYTES, parseRecords } from './records.js';

/** A segment and the highest index that it ever recorded. */
export interface LoadedSegment {
  readonly number: number;
  readonly highest: number;
}

/** What the segments hold. */
export interface LoadedLog {
  readonly log: Log;
  readonly segments: readonly LoadedSegment[];
  readonly damage: StorageError | undefined;
  readonly tornBytes: number;
  /** Cuts what was found torn or damaged; damaged segments are kept under another name. */
  readonly cut: () => Promise<void>;
}

const SEGMENT_PATTERN = /^log-(\d+)\.seg$/;
const REMEDY =
  'no action is needed while the other members run: they send what is missing; if there are none, restore the folder from a copy';

/** Returns the file name of a segment. */
export function toSegmentName(number: number): string {
  return `log-${String(number).padStart(8, '0')}.seg`;
}

interface SyncedMark {
  readonly segment: number;
  readonly offset: number;
}

interface Reading {
  readonly log: Log;
  readonly segments: readonly LoadedSegment[];
  readonly damage: StorageError | undefined;
  readonly damagedFrom: number | undefined;
  readonly cutAt: number | undefined;
  readonly tornBytes: number;
}

/** Adds a record to the log, or returns undefined if it does not follow. */
function addRecord(log: Log, record: LogRecord): Log | undefined {
  if (record.kind === 'base') {
    const { index, term } = record;
    if (getTermAt(log, index) !== term) return { baseIndex: index, baseTerm: term, entries: [] };
    return { ...log, entries: log.entries.slice(0, index - log.baseIndex) };
  }
  const follows = record.index > log.baseIndex && record.index <= getLastIndex(log) + 1;
  return follows ? appendEntries(log, [record]) : undefined;
}

/** Reads every segment in order. */
export async function loadSegments(
  files: FileSystem,
  folder: string,
  names: readonly string[],
  markFile: string,
): Promise<LoadedLog> {
  const numbers = names
    .flatMap((name) => SEGMENT_PATTERN.exec(name)?.[1] ?? [])
    .map(Number)
    .sort((one, other) => one - other);
  const mark = names.includes(markFile)
    ? (parseDocument(await files.readFile(join(folder, markFile))) as SyncedMark | undefined)
    : undefined;
  const start: Reading = {
    log: emptyLog,
    segments: [],
    damage: undefined,
    damagedFrom: undefined,
    cutAt: undefined,
    tornBytes: 0,
  };
  const reading = await numbers.reduce<Promise<Reading>>(async (before, number) => {
    const found = await before;
    if (found.damage !== undefined) return found;
    const file = join(folder, toSegmentName(number));
    const isLast = number === numbers.at(-1);
    return readSegment(found, number, file, await files.readFile(file), isLast, mark);
  }, Promise.resolve(start));
  const { log, segments, damage, tornBytes } = reading;
  const cut = (): Promise<void> => pruneSegments(files, folder, numbers, reading);
  return { log, segments, damage, tornBytes, cut };
}

function readSegment(
  before: Reading,
  number: number,
  file: string,
  bytes: Buffer,
  isLast: boolean,
  mark: SyncedMark | undefined,
): Reading {
  const scan = parseRecords(bytes);
  let { log } = before;
  let offset = 0;
  let highest = 0;
  const refused = scan.payloads.findIndex((payload) => {
    const record = parseLogRecord(payload);
    const next = record === undefined ? undefined : addRecord(log, record);
    if (record === undefined || next === undefined) return true;
    log = next;
    highest = Math.max(highest, record.index);
    offset += HEADER_BYTES + payload.length;
    return false;
  });
  const synced = mark?.segment === number ? mark.offset : 0;
  const whole = refused === -1 && offset === bytes.length && offset >= synced;
  const segments = [...before.segments, { number, highest }];
  if (whole) return { ...before, log, segments };
  const torn = refused === -1 && isLast && !scan.resumes && offset >= synced;
  const tornBytes = torn ? bytes.length - offset : 0;
  const damage = torn
    ? undefined
    : new StorageError('damaged', file, offset, REMEDY, 'a synced record is damaged');
  const damagedFrom = torn ? undefined : number;
  return { log, segments, damage, damagedFrom, cutAt: offset, tornBytes };
}

async function pruneSegments(
  files: FileSystem,
  folder: string,
  numbers: readonly number[],
  reading: Reading,
): Promise<void> {
  const { cutAt, damagedFrom } = reading;
  const last = reading.segments.at(-1);
  if (cutAt === undefined || last === undefined) return;
  const file = join(folder, toSegmentName(last.number));
  if (damagedFrom !== undefined) {
    await files.copyFile(file, join(folder, `damaged-${toSegmentName(last.number)}`));
    const later = numbers.filter((number) => number > damagedFrom).map(toSegmentName);
    await Promise.all(
      later.map((name) => files.rename(join(folder, name), join(folder, `damaged-${name}`))),
    );
  }
  await files.truncate(file, cutAt);
  const handle = await files.open(file, 'r+');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}
