/**
 * Writes to the storage in the order of the effects, many with one sync. Invariant: a write is reported as
 * synced only after it and every write before it are durable; after a failure nothing is written.
 */
import type { Identity } from '../generated/control.js';
import type { Storage, WriteEffect } from './storage.js';

/** Whom the writer tells. */
export interface WriterListener {
  readonly onSynced: (write: number) => void;
  readonly onFailed: (error: unknown) => void;
}

/** The queue of writes of one member. */
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

  /** Queues a write. */
  add(effect: WriteEffect): void {
    this.#queue = [...this.#queue, effect];
    if (this.#draining || this.#failed) return;
    this.#draining = true;
    this.#drained = this.#drained.then(() => this.#drain());
  }

  /** Saves the identity; no write may be under way. */
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

  /** Finishes the queued writes and closes the files. */
  async close(): Promise<void> {
    await this.#drained;
    await this.#storage.close();
  }
}
