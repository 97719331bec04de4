/**
 * Queues writes to the storage, keeps their order and syncs them in batches. Invariant: a write is reported
 * as synced only after it and all earlier writes are durable; after a failure nothing more is written.
 */
import type { Identity } from '../generated/control.js';
import type { Storage, WriteEffect } from './storage.js';

/** Callbacks of {@link StorageWriter}. */
export interface WriterListener {
  /** Called with the number of the last write of a batch once the batch is durable. */
  readonly onSynced: (write: number) => void;
  /** Called at most once, with the error of the first failed write. */
  readonly onFailed: (error: unknown) => void;
}

/** The write queue of one control member. */
export class StorageWriter {
  readonly #storage: Storage;
  readonly #listener: WriterListener;
  #queue: readonly WriteEffect[] = [];
  #drained: Promise<void> = Promise.resolve();
  #draining = false;
  #failed = false;

  constructor(storage: Storage, listener: WriterListener) {
    this.#storage = storage;
    this.#listener = listener;
  }

  /** Queues a write. After a failure it is never performed. */
  add(effect: WriteEffect): void {
    this.#queue = [...this.#queue, effect];
    if (this.#draining || this.#failed) return;
    this.#draining = true;
    this.#drained = this.#drained.then(() => this.#drain());
  }

  /** Saves the identity. Must not be called while a write is in progress. */
  async saveIdentity(identity: Identity): Promise<void> {
    await this.#storage.saveIdentity(identity);
  }

  async #drain(): Promise<void> {
    while (this.#queue.length > 0 && !this.#failed) {
      const batch = this.#queue;
      this.#queue = [];
      try {
        await this.#storage.write(batch);
        this.#listener.onSynced(batch.at(-1)?.write ?? 0);
      } catch (error) {
        this.#failed = true;
        this.#listener.onFailed(error);
      }
    }
    this.#draining = false;
  }

  /** Waits for the queued writes, then closes the files. */
  async close(): Promise<void> {
    await this.#drained;
    await this.#storage.close();
  }
}
