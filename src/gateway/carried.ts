/**
 * The ids of the requests that a connection carried. Invariant: an id that was added is found for as long as the
 * connection is used; a full record ends that use instead of forgetting an id.
 */
import { hashText } from '../routing/index.js';

/** Requests that a connection carries at most; their hashes take 4 KB. */
export const MAX_CARRIED_REQUESTS = 1024;
const INITIAL_CAPACITY = 16;

/** Record of the request ids of one connection, by hash: a collision costs a connection, never an answer. */
export class CarriedIds {
  #hashes = new Uint32Array(INITIAL_CAPACITY);
  #count = 0;

  /** Whether no request was carried yet. */
  get isEmpty(): boolean {
    return this.#count === 0;
  }

  /** Whether the connection may carry no further request. */
  get isFull(): boolean {
    return this.#count >= MAX_CARRIED_REQUESTS;
  }

  /**
   * Returns whether a request with this id was carried.
   *
   * @example
   * carried.add('9c41d07be2a35f68');
   * carried.has('9c41d07be2a35f68') // true
   */
  has(id: string): boolean {
    const index = this.#hashes.indexOf(hashText(id));
    return index >= 0 && index < this.#count;
  }

  add(id: string): void {
    if (this.#count === this.#hashes.length) this.#grow();
    this.#hashes[this.#count] = hashText(id);
    this.#count += 1;
  }

  #grow(): void {
    const grown = new Uint32Array(this.#hashes.length * 2);
    grown.set(this.#hashes);
    this.#hashes = grown;
  }
}
