/**
 * Replaces small files durably. Invariant: after a crash, a replaced file holds either its old or its new
 * content, and the new content is durable once the promise has resolved.
 */
import * as nodeFiles from 'node:fs/promises';
import { join } from 'node:path';

/** The file system functions that the storage uses. Tests replace some of them to inject failures. */
export type FileSystem = Pick<
  typeof nodeFiles,
  'open' | 'rename' | 'unlink' | 'mkdir' | 'readdir' | 'readFile' | 'copyFile' | 'truncate'
>;

/** The file system of the VM. */
export const realFileSystem: FileSystem = nodeFiles;

/** The kind of a {@link StorageError}. */
export type StorageProblem =
  /** A file or record is missing, or its checksum or schema does not match. */
  | 'damaged'
  /** The folder belongs to a member with another address. */
  | 'foreign'
  /** A write or sync failed. */
  | 'writeFailed';

/** An error of the data folder. The message names the file, the offset in bytes and the remedy. */
export class StorageError extends Error {
  override readonly name = 'StorageError';

  constructor(
    readonly kind: StorageProblem,
    readonly file: string,
    readonly offset: number,
    readonly remedy: string,
    detail: string,
  ) {
    super(`${file} at byte ${offset}: ${detail}; ${remedy}`);
  }
}

/** Syncs a folder, which makes created, renamed and removed entries durable. */
export async function syncFolder(files: FileSystem, folder: string): Promise<void> {
  const handle = await files.open(folder, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

/** Replaces a file of the folder atomically and makes the new content durable. */
export async function replaceFile(
  files: FileSystem,
  folder: string,
  name: string,
  content: Uint8Array,
): Promise<void> {
  const temporary = join(folder, `${name}.tmp`);
  const handle = await files.open(temporary, 'w');
  try {
    await handle.writeFile(content);
    await handle.sync();
  } finally {
    await handle.close();
  }
  await files.rename(temporary, join(folder, name));
  await syncFolder(files, folder);
}
