/**
 * Splits a byte stream into frames. Invariant: a frame is delivered whole, in order and once, or the
 * stream is refused.
 */
import { InvariantError } from '../model/index.js';

const HEADER_BYTES = 4;
/** The largest frame in bytes; a snapshot chunk fits in it. */
export const MAX_FRAME_BYTES = 16 * 1024 * 1024;

/** Prefixes a payload with its length. */
export function encodeFrame(payload: Buffer): Buffer {
  const header = Buffer.allocUnsafe(HEADER_BYTES);
  header.writeUInt32BE(payload.length);
  return Buffer.concat([header, payload]);
}

/** Collects chunks and returns the frames that are complete. */
export class FrameReader {
  #pending: Buffer = Buffer.alloc(0);

  /** Adds a chunk and returns the frames that it completes. */
  addChunk(chunk: Buffer): readonly Buffer[] {
    this.#pending = this.#pending.length === 0 ? chunk : Buffer.concat([this.#pending, chunk]);
    const frames: Buffer[] = [];
    while (this.#pending.length >= HEADER_BYTES) {
      const size = this.#pending.readUInt32BE(0);
      if (size > MAX_FRAME_BYTES)
        throw new InvariantError(`frame of ${size} bytes is over the limit`);
      if (this.#pending.length < HEADER_BYTES + size) break;
      frames.push(this.#pending.subarray(HEADER_BYTES, HEADER_BYTES + size));
      this.#pending = this.#pending.subarray(HEADER_BYTES + size);
    }
    return frames;
  }
}
