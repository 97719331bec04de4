/**
 * Frames durable records as length, CRC-32 and payload. Invariant: a payload is returned only if its
 * checksum matches.
 */

/** Bytes of the header before each payload: length and checksum, four bytes each. */
export const HEADER_BYTES = 8;
/** Largest payload in bytes. A header with a greater length is treated as damage. */
const MAX_PAYLOAD_BYTES = 256 * 1024 * 1024;
/** The CRC-32 polynomial of IEEE 802.3 in reversed bit order. */
const POLYNOMIAL = 0xedb88320;

const crcTable = Uint32Array.from({ length: 256 }, (_, byte) =>
  Array.from({ length: 8 }).reduce<number>(
    (value) => (value & 1 ? (value >>> 1) ^ POLYNOMIAL : value >>> 1),
    byte,
  ),
);

/**
 * Returns the CRC-32 of the bytes, with the polynomial of IEEE 802.3.
 *
 * @example
 * computeChecksum(Buffer.from('123456789')); // 0xcbf43926
 */
export function computeChecksum(bytes: Uint8Array): number {
  const crc = bytes.reduce(
    (value, byte) => (value >>> 8) ^ (crcTable[(value ^ byte) & 0xff] ?? 0),
    0xffffffff,
  );
  return (crc ^ 0xffffffff) >>> 0;
}

/** Returns the payload, preceded by its header. */
export function encodeRecord(payload: Uint8Array): Buffer {
  const record = Buffer.allocUnsafe(HEADER_BYTES + payload.length);
  record.writeUInt32BE(payload.length, 0);
  record.writeUInt32BE(computeChecksum(payload), 4);
  record.set(payload, HEADER_BYTES);
  return record;
}

/** Returns the payload of the record at the offset, or undefined if that record is incomplete or damaged. */
export function readRecord(bytes: Buffer, offset: number): Buffer | undefined {
  if (offset + HEADER_BYTES > bytes.length) return undefined;
  const length = bytes.readUInt32BE(offset);
  const start = offset + HEADER_BYTES;
  if (length === 0 || length > MAX_PAYLOAD_BYTES || start + length > bytes.length) return undefined;
  const payload = bytes.subarray(start, start + length);
  return computeChecksum(payload) === bytes.readUInt32BE(offset + 4) ? payload : undefined;
}

/** The records of a file up to the first one that is incomplete or damaged. */
export interface RecordScan {
  readonly payloads: readonly Buffer[];
  /** Offset in bytes after the last valid record. */
  readonly end: number;
  /** Whether a valid record follows the invalid one. If so, the cause is damage and not a torn write. */
  readonly hasRecordAfterEnd: boolean;
}

/** Reads the records of a file up to the first invalid one. */
export function parseRecords(bytes: Buffer): RecordScan {
  const payloads: Buffer[] = [];
  let end = 0;
  let payload = readRecord(bytes, end);
  while (payload !== undefined) {
    payloads.push(payload);
    end += HEADER_BYTES + payload.length;
    payload = readRecord(bytes, end);
  }
  return { payloads, end, hasRecordAfterEnd: hasRecordAfter(bytes, end + 1) };
}

/**
 * Largest payload, in bytes, that the search for a valid record after damage considers. Without this limit
 * the search takes too long, because it would compute checksums of arbitrarily long payloads.
 */
const MAX_SCANNED_PAYLOAD_BYTES = 64 * 1024;

/** Returns whether a valid record starts at any offset from `start` on. */
function hasRecordAfter(bytes: Buffer, start: number): boolean {
  let offset = start;
  while (offset + HEADER_BYTES < bytes.length) {
    const plausible = bytes.readUInt32BE(offset) <= MAX_SCANNED_PAYLOAD_BYTES;
    if (plausible && readRecord(bytes, offset) !== undefined) return true;
    offset += 1;
  }
  return false;
}
