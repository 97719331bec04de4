/**
 * Checks that the answers to callers are linearizable. The state machine is a list to which each command
 * appends its id once, so the position of every operation in the total order is known: an append at
 * position p comes p-th, and a read of n ids comes after the n-th append. It remains to check that no
 * operation precedes one that had been answered before it was first requested.
 */
import assert from 'node:assert/strict';

/** Records the operations and answers that callers see. */
export class History {
  /** The minimum length of the list that the answered operations imply. */
  #provenLength = 0;
  /** The lowest position that each command may take, by command id. */
  readonly #minPositions = new Map<number, number>();
  readonly #positions = new Map<number, number>();
  readonly #reads: (readonly number[])[] = [];
  answered = 0;

  startAppend(id: number): void {
    if (!this.#minPositions.has(id)) this.#minPositions.set(id, this.#provenLength);
  }

  /** Returns the number of commands that the read must return at least. */
  startRead(): number {
    return this.#provenLength;
  }

  finishAppend(id: number, position: number): void {
    const known = this.#positions.get(id);
    assert.ok(
      known === undefined || known === position,
      `command ${id} has the positions ${known} and ${position}`,
    );
    this.#positions.set(id, position);
    this.#recordProvenLength(position + 1);
  }

  finishRead(minLength: number, seen: readonly number[]): void {
    assert.ok(
      seen.length >= minLength,
      `a read returned ${seen.length} commands instead of at least ${minLength}`,
    );
    this.#reads.push(seen);
    this.#recordProvenLength(seen.length);
  }

  #recordProvenLength(length: number): void {
    this.#provenLength = Math.max(this.#provenLength, length);
    this.answered += 1;
  }

  /** Checks every operation against the final list. */
  check(final: readonly number[]): void {
    assert.equal(new Set(final).size, final.length, 'a command was applied twice');
    this.#positions.forEach((position, id) => {
      assert.equal(final[position], id, `accepted command ${id} is not at position ${position}`);
    });
    this.#reads.forEach((seen) => {
      assert.deepEqual(
        seen,
        final.slice(0, seen.length),
        'a read returned commands in another order',
      );
    });
    final.forEach((id, position) => {
      const minPosition = this.#minPositions.get(id) ?? 0;
      assert.ok(
        position >= minPosition,
        `command ${id} is at position ${position}, before ${minPosition}`,
      );
    });
  }
}
