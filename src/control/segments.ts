/**
 * Reads the log segments of a data folder. Invariant: synced bytes are never dropped without reporting
 * damage. An incomplete record counts as a torn write only at the end of the last segment, if it was not
 * synced and no valid record follows it.
 */
import { join } from 'node:path';
import type { LogRecord } from '../generated/control.js';
import { StorageError, type FileSystem } from './files.js';
import { parseDocument, parseLogRecord } from './formats.js';
import {
  appendEntries,
  createLog,
  emptyLog,
  getLastIndex,
  getTermAt,
  dropEntriesAfter,
  type Log,
} from './log.js';
import { HEADER_BYTES, parseRecords } from './records.js';

/** A log segment and the highest index that it ever held, including entries that were replaced later. */
export interface LoadedSegment {
  readonly number: number;
  readonly highestIndex: number;
}

/** The log read from all segments, and what was wrong with them. */
export interface LoadedLog {
  readonly log: Log;
  readonly segments: readonly LoadedSegment[];
  readonly damage: StorageError | undefined;
  readonly tornBytes: number;
  /**
   * Truncates the log after its last valid record and syncs what it keeps, which the member may acknowledge.
   * In case of damage, it first copies the damaged segment and renames the segments after it, each to a name
   * with the prefix `damaged-`.
   */
  readonly settleTail: () => Promise<void>;
}

const SEGMENT_PATTERN = /^log-(\d+)\.seg$/;
const REPAIR_REMEDY =
  'no action is needed while the other members run: they send what is missing; if there are none, restore the folder from a copy';

/** Returns the file name of a segment. */
export function toSegmentName(number: number): string {
  return `log-${String(number).padStart(8, '0')}.seg`;
}

/** The content of the file that records how far the log is synced; `offset` is in bytes. */
interface SyncedPosition {
  readonly segment: number;
  readonly offset: number;
}

/** The state after reading some of the segments; `validEnd` is an offset in the last one read. */
interface LoadProgress {
  readonly log: Log;
  readonly segments: readonly LoadedSegment[];
  readonly damage: StorageError | undefined;
  readonly firstDamagedSegment: number | undefined;
  readonly validEnd: number | undefined;
  readonly tornBytes: number;
}

/** Returns the log with the record applied, or undefined if the record would leave a gap. */
function addRecord(log: Log, record: LogRecord): Log | undefined {
  if (record.kind === 'base') {
    const { index, term } = record;
    return getTermAt(log, index) === term ? dropEntriesAfter(log, index) : createLog(index, term);
  }
  const follows = record.index > log.baseIndex && record.index <= getLastIndex(log) + 1;
  return follows ? appendEntries(log, [record]) : undefined;
}

/** Reads the segments in order, up to the first damaged one. */
export async function loadSegments(
  files: FileSystem,
  folder: string,
  names: readonly string[],
  syncedFile: string,
): Promise<LoadedLog> {
  const numbers = names
    .flatMap((name) => SEGMENT_PATTERN.exec(name)?.[1] ?? [])
    .map(Number)
    .sort((one, other) => one - other);
  const syncedPosition = names.includes(syncedFile)
    ? (parseDocument(await files.readFile(join(folder, syncedFile))) as SyncedPosition | undefined)
    : undefined;
  const initial: LoadProgress = {
    log: emptyLog,
    segments: [],
    damage: undefined,
    firstDamagedSegment: undefined,
    validEnd: undefined,
    tornBytes: 0,
  };
  const progress = await numbers.reduce<Promise<LoadProgress>>(async (previous, number) => {
    const current = await previous;
    if (current.damage !== undefined) return current;
    const file = join(folder, toSegmentName(number));
    const isLast = number === numbers.at(-1);
    return readSegment(current, number, file, await files.readFile(file), isLast, syncedPosition);
  }, Promise.resolve(initial));
  const { log, segments, damage, tornBytes } = progress;
  const settleTail = (): Promise<void> => settleLastSegment(files, folder, numbers, progress);
  return { log, segments, damage, tornBytes, settleTail };
}

function readSegment(
  progress: LoadProgress,
  number: number,
  file: string,
  bytes: Buffer,
  isLast: boolean,
  syncedPosition: SyncedPosition | undefined,
): LoadProgress {
  const scan = parseRecords(bytes);
  let { log } = progress;
  let offset = 0;
  let highestIndex = 0;
  const rejectedAt = scan.payloads.findIndex((payload) => {
    const record = parseLogRecord(payload);
    const next = record === undefined ? undefined : addRecord(log, record);
    if (record === undefined || next === undefined) return true;
    log = next;
    highestIndex = Math.max(highestIndex, record.index);
    offset += HEADER_BYTES + payload.length;
    return false;
  });
  const syncedOffset = syncedPosition?.segment === number ? syncedPosition.offset : 0;
  const isIntact = rejectedAt === -1 && offset === bytes.length && offset >= syncedOffset;
  const segments = [...progress.segments, { number, highestIndex }];
  if (isIntact) return { ...progress, log, segments };
  const isTorn = rejectedAt === -1 && isLast && !scan.hasRecordAfterEnd && offset >= syncedOffset;
  const tornBytes = isTorn ? bytes.length - offset : 0;
  const damage = isTorn
    ? undefined
    : new StorageError('damaged', file, offset, REPAIR_REMEDY, 'a synced record is damaged');
  const firstDamagedSegment = isTorn ? undefined : number;
  return { log, segments, damage, firstDamagedSegment, validEnd: offset, tornBytes };
}

async function settleLastSegment(
  files: FileSystem,
  folder: string,
  numbers: readonly number[],
  progress: LoadProgress,
): Promise<void> {
  const { validEnd, firstDamagedSegment } = progress;
  const last = progress.segments.at(-1);
  if (last === undefined) return;
  const file = join(folder, toSegmentName(last.number));
  if (firstDamagedSegment !== undefined) {
    await files.copyFile(file, join(folder, `damaged-${toSegmentName(last.number)}`));
    const later = numbers.filter((number) => number > firstDamagedSegment).map(toSegmentName);
    await Promise.all(
      later.map((name) => files.rename(join(folder, name), join(folder, `damaged-${name}`))),
    );
  }
  if (validEnd !== undefined) await files.truncate(file, validEnd);
  const handle = await files.open(file, 'r+');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}
