/**
 * An in-memory disk for the simulation. Invariant: a crash keeps all synced writes and a prefix of the
 * others, the last of them possibly in part. With `loseSynced`, a crash violates this on purpose. A disk that
 * is full refuses writes, which has the same result for those that were not synced.
 */
import {
  appendEntries,
  createLog,
  emptyLog,
  joinLog,
  dropEntriesAfter,
  type Log,
} from '../../src/control/log.js';
import type { WriteEffect } from '../../src/control/storage.js';
import type { LogEntry, Snapshot, Vote } from '../../src/generated/control.js';

interface PendingWrite {
  readonly effect: WriteEffect;
  readonly dueAt: number;
}

export class Disk {
  vote: Vote = { term: 0, repairing: false };
  log: Log = emptyLog;
  snapshot: Snapshot | undefined;
  /** Until when the disk has no room for writes, by the time of the simulation in milliseconds. */
  fullUntil = 0;
  #pending: readonly PendingWrite[] = [];
  /** The content before the latest sync. A crash that loses synced writes restores it. */
  #beforeLastSync: Pick<Disk, 'vote' | 'log' | 'snapshot'> = this.#copy();

  #copy(): Pick<Disk, 'vote' | 'log' | 'snapshot'> {
    return { vote: this.vote, log: this.log, snapshot: this.snapshot };
  }

  add(effect: WriteEffect, dueAt: number): void {
    const last = this.#pending.at(-1)?.dueAt ?? 0;
    this.#pending = [...this.#pending, { effect, dueAt: Math.max(dueAt, last) }];
  }

  /** Makes due writes durable and returns the number of the last one. */
  sync(now: number): number | undefined {
    const due = this.#pending.filter((write) => write.dueAt <= now);
    if (due.length === 0) return undefined;
    this.#beforeLastSync = this.#copy();
    due.forEach(({ effect }) => {
      this.#apply(effect);
    });
    this.#pending = this.#pending.slice(due.length);
    return due.at(-1)?.effect.write;
  }

  /** Returns whether a write is due that the disk has no room for. */
  isRefusing(now: number): boolean {
    return now < this.fullUntil && this.#pending.some((write) => write.dueAt <= now);
  }

  /**
   * Drops the writes that were not synced, except for the first `kept` ones and, if `partial` is set, the
   * first entry of the next one. With `loseSynced`, drops these and the latest synced writes instead.
   */
  crash(kept: number, partial: boolean, loseSynced: boolean): void {
    if (loseSynced) Object.assign(this, this.#beforeLastSync);
    const survivors = this.#pending.slice(0, kept).map(({ effect }) => effect);
    const torn = this.#pending[kept]?.effect;
    this.#pending = [];
    if (loseSynced) return;
    survivors.forEach((effect) => {
      this.#apply(effect);
    });
    if (partial && torn?.kind === 'writeEntries') {
      this.#apply({ ...torn, entries: torn.entries.slice(0, 1) });
    }
  }

  /** Drops all entries after the first `keptEntries`, and marks the member as under repair. */
  damage(keptEntries: number): void {
    this.log = dropEntriesAfter(this.log, this.log.baseIndex + keptEntries);
    this.vote = { ...this.vote, repairing: true };
  }

  load(): { readonly vote: Vote; readonly log: Log; readonly snapshot: Snapshot | undefined } {
    this.log = joinLog(this.log, this.snapshot).log;
    return this.#copy();
  }

  #apply(effect: WriteEffect): void {
    switch (effect.kind) {
      case 'writeVote': {
        const { term, votedFor, repairing } = effect;
        this.vote = votedFor === undefined ? { term, repairing } : { term, votedFor, repairing };
        return;
      }
      case 'writeEntries':
        this.#append(effect.entries);
        return;
      case 'writeSnapshot':
        this.snapshot = effect.snapshot;
        if (effect.resetsLog) {
          const { index, term } = effect.snapshot;
          this.log = createLog(index, term);
        }
    }
  }

  #append(entries: readonly LogEntry[]): void {
    this.log = appendEntries(this.log, entries);
  }
}
