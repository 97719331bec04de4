/**
 * Small durable files. Invariant: a replaced file holds either its old or its new content after a crash,
 * and the new one is durable when the promise resolves.
 */
import * as nodeFiles from 'node:fs/promises';
import { join } from 'node:path';

/** The calls to the file system that the storage makes; tests replace some to make them fail. */
export type FileSystem = Pick<
  typeof nodeFiles,
  'open' | 'rename' | 'unlink' | 'mkdir' | 'readdir' | 'readFile' | 'copyFile' | 'truncate'
>;

/** The file system of the machine. */
export const realFileSystem: FileSystem = nodeFiles;

/** What is wrong with the storage. */
export type StorageProblem =
  /** A file or record fails its checksum, or is missing. */
  | 'damaged'
  /** The folder belongs to another address. */
  | 'foreign'
  /** A write or sync failed. */
  | 'writeFailed';

/** A problem of the data folder; the message names file, offset and remedy. */
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

/** Makes the names in a folder durable. */
export async function syncFolder(files: FileSystem, folder: string): Promise<void> {
  const handle = await files.open(folder, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

/** Replaces a file of the folder and makes the new content durable. */
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
