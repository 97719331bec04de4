/**
 * Length-prefixed framing of a byte stream. Invariant: each frame is returned complete, in order and exactly
 * once; a frame over the size limit throws, and the connection must be closed.
 */
import { InvariantError } from '../model/index.js';

/** Size of the length prefix, an unsigned 32-bit big-endian integer. */
const HEADER_BYTES = 4;
/** Largest payload of a frame, in bytes; large enough for a snapshot chunk. */
export const MAX_FRAME_BYTES = 16 * 1024 * 1024;

/** Encodes a payload as a frame: its length followed by its bytes. */
export function encodeFrame(payload: Buffer): Buffer {
  const header = Buffer.allocUnsafe(HEADER_BYTES);
  header.writeUInt32BE(payload.length);
  return Buffer.concat([header, payload]);
}

/** Incremental decoder that buffers chunks until a frame is complete. */
export class FrameReader {
  #pending: Buffer = Buffer.alloc(0);
  /** Largest payload of the next frame. */
  #limit: number;

  /** The first frame may be limited further, as it comes from a peer that has not authenticated yet. */
  constructor(firstFrameBytes = MAX_FRAME_BYTES) {
    this.#limit = firstFrameBytes;
  }

  /** Adds a chunk and returns the payloads of the frames that it completes. */
  addChunk(chunk: Buffer): readonly Buffer[] {
    this.#pending = this.#pending.length === 0 ? chunk : Buffer.concat([this.#pending, chunk]);
    const frames: Buffer[] = [];
    while (this.#pending.length >= HEADER_BYTES) {
      const size = this.#pending.readUInt32BE(0);
      if (size > this.#limit)
        throw new InvariantError(
          `frame of ${size} bytes exceeds the limit of ${this.#limit} bytes`,
        );
      if (this.#pending.length < HEADER_BYTES + size) break;
      this.#limit = MAX_FRAME_BYTES;
      frames.push(this.#pending.subarray(HEADER_BYTES, HEADER_BYTES + size));
      this.#pending = this.#pending.subarray(HEADER_BYTES + size);
    }
    return frames;
  }
}
