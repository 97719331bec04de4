/**
 * Checks that the answers that callers got are linearizable. The machine is a list to which each command
 * appends its own id once, so the place of every operation in the one true order is known: an append that
 * took position p comes p-th, and a read of n ids comes after the n-th append. What remains to check is
 * that no operation is ordered before one that had been answered when it was first asked.
 */
import assert from 'node:assert/strict';

/** Collects operations as callers see them. */
export class History {
  /** The latest place in the order that any answered operation proved. */
  #provenLength = 0;
  readonly #minPositions = new Map<number, number>();
  readonly #positions = new Map<number, number>();
  readonly #reads: (readonly number[])[] = [];
  answered = 0;

  startAppend(id: number): void {
    if (!this.#minPositions.has(id)) this.#minPositions.set(id, this.#provenLength);
  }

  /** Returns what a read must at least see. */
  startRead(): number {
    return this.#provenLength;
  }

  finishAppend(id: number, position: number): void {
    const known = this.#positions.get(id);
    assert.ok(known === undefined || known === position, `command ${id} has two positions`);
    this.#positions.set(id, position);
    this.#recordProvenLength(position + 1);
  }

  finishRead(minLength: number, seen: readonly number[]): void {
    assert.ok(
      seen.length >= minLength,
      `a read saw ${seen.length} commands after ${minLength} were known`,
    );
    this.#reads.push(seen);
    this.#recordProvenLength(seen.length);
  }

  #recordProvenLength(length: number): void {
    this.#provenLength = Math.max(this.#provenLength, length);
    this.answered += 1;
  }

  /** Checks every operation against the list that all members agreed upon. */
  check(final: readonly number[]): void {
    assert.equal(new Set(final).size, final.length, 'a command was applied twice');
    this.#positions.forEach((position, id) => {
      assert.equal(final[position], id, `accepted command ${id} is not at position ${position}`);
    });
    this.#reads.forEach((seen) => {
      assert.deepEqual(seen, final.slice(0, seen.length), 'a read saw another order');
    });
    final.forEach((id, position) => {
      const minPosition = this.#minPositions.get(id) ?? 0;
      assert.ok(
        position >= minPosition,
        `command ${id} at ${position} overtook position ${minPosition}`,
      );
    });
  }
}
