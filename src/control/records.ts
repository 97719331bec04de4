/**
 * Frames of durable records: length, checksum, payload. Invariant: a payload is handed out only if its
 * checksum is right.
 */

/** Bytes before each payload. */
export const HEADER_BYTES = 8;
/** The largest payload in bytes; a longer length is damage. */
const MAX_PAYLOAD_BYTES = 256 * 1024 * 1024;
const POLYNOMIAL = 0xedb88320;

const crcTable = Uint32Array.from({ length: 256 }, (_, byte) =>
  Array.from({ length: 8 }).reduce<number>(
    (value) => (value & 1 ? (value >>> 1) ^ POLYNOMIAL : value >>> 1),
    byte,
  ),
);

/**
 * Returns the CRC-32 of the bytes (the polynomial of IEEE 802.3).
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

/** Returns the payload with its header. */
export function encodeRecord(payload: Uint8Array): Buffer {
  const record = Buffer.allocUnsafe(HEADER_BYTES + payload.length);
  record.writeUInt32BE(payload.length, 0);
  record.writeUInt32BE(computeChecksum(payload), 4);
  record.set(payload, HEADER_BYTES);
  return record;
}

/** Returns the payload at the offset, or undefined if there is no whole and undamaged record. */
export function readRecord(bytes: Buffer, offset: number): Buffer | undefined {
  if (offset + HEADER_BYTES > bytes.length) return undefined;
  const length = bytes.readUInt32BE(offset);
  const start = offset + HEADER_BYTES;
  if (length === 0 || length > MAX_PAYLOAD_BYTES || start + length > bytes.length) return undefined;
  const payload = bytes.subarray(start, start + length);
  return computeChecksum(payload) === bytes.readUInt32BE(offset + 4) ? payload : undefined;
}

/** What a file of records holds up to its first record that is not whole. */
export interface RecordScan {
  readonly payloads: readonly Buffer[];
  /** Where the whole records end. */
  readonly end: number;
  /** Whether an undamaged record follows the one that is not whole. */
  readonly hasRecordAfterEnd: boolean;
}

/** Reads the records of a file. */
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

/** The largest payload that the search after damage looks for; a search for any length takes too long. */
const MAX_SCANNED_PAYLOAD_BYTES = 64 * 1024;

function hasRecordAfter(bytes: Buffer, start: number): boolean {
  let offset = start;
  while (offset + HEADER_BYTES < bytes.length) {
    const plausible = bytes.readUInt32BE(offset) <= MAX_SCANNED_PAYLOAD_BYTES;
    if (plausible && readRecord(bytes, offset) !== undefined) return true;
    offset += 1;
  }
  return false;
}
