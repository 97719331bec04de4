/**
 * A file system whose disk is full for some of its operations. Invariant: it refuses every operation that needs
 * room while it is full, of a refused write it may take a part of the bytes, and it records what is synced
 * instead of syncing it.
 */
import { statSync } from 'node:fs';
import type { FileHandle } from 'node:fs/promises';
import { realFileSystem, type FileSystem } from '../../src/control/files.js';

/** Returns the error of a full disk. */
export function createFullError(): Error {
  return Object.assign(new Error('ENOSPC: no space left on device, write'), { code: 'ENOSPC' });
}

/** A disk of limited room; the operations that need room are numbered from 1. */
export class FullDisk {
  /** Number of operations that needed room. */
  operations = 0;
  /** Whether all operations are refused. */
  isFilled = false;
  /** The operations from `from` to before `to` are refused. */
  full = { from: Infinity, to: Infinity };
  /** The share of the bytes of a refused write that still goes in. */
  writtenShare = 0;
  /** How many bytes of each file are synced. */
  readonly synced = new Map<string, number>();
  /** Number of files that are open. */
  openFiles = 0;

  get isFull(): boolean {
    const isInRange = this.operations >= this.full.from && this.operations < this.full.to;
    return this.isFilled || isInRange;
  }

  /** Counts an operation that needs room. Throws while the disk is full. */
  requestRoom(): void {
    this.operations += 1;
    if (this.isFull) throw createFullError();
  }

  /** The file system on this disk. */
  readonly files: FileSystem = {
    ...realFileSystem,
    open: async (...args) => {
      const [file, flags] = args;
      if (flags !== 'r') this.requestRoom();
      const handle = await realFileSystem.open(...args);
      this.openFiles += 1;
      return this.#limit(String(file), handle);
    },
    rename: async (...args) => {
      this.requestRoom();
      await realFileSystem.rename(...args);
      this.synced.set(String(args[1]), this.synced.get(String(args[0])) ?? 0);
    },
    copyFile: async (...args) => {
      this.requestRoom();
      await realFileSystem.copyFile(...args);
    },
    truncate: async (...args) => {
      await realFileSystem.truncate(...args);
      const [file, length] = args;
      const synced = this.synced.get(String(file)) ?? 0;
      this.synced.set(String(file), Math.min(length ?? 0, synced));
    },
  };

  #limit(file: string, handle: FileHandle): FileHandle {
    const writeAll = async (
      data: Uint8Array,
      write: (part: Uint8Array) => Promise<unknown>,
    ): Promise<void> => {
      try {
        this.requestRoom();
      } catch (error) {
        await write(data.subarray(0, Math.floor(data.length * this.writtenShare)));
        throw error;
      }
      await write(data);
    };
    const recordSync = (): Promise<void> => {
      this.requestRoom();
      this.synced.set(file, statSync(file).size);
      return Promise.resolve();
    };
    const [write, close] = [handle.write.bind(handle), handle.close.bind(handle)];
    const append = (part: Uint8Array): Promise<unknown> => write(part, 0, part.length, null);
    const limited = {
      appendFile: (data: Uint8Array) => writeAll(data, append),
      writeFile: (data: Uint8Array) => writeAll(data, append),
      write: async (data: Uint8Array, offset: number, length: number, position: number) => {
        this.requestRoom();
        return write(data, offset, length, position);
      },
      sync: recordSync,
      datasync: recordSync,
      close: async () => {
        this.openFiles -= 1;
        await close();
      },
    };
    return Object.assign(handle, limited);
  }
}
