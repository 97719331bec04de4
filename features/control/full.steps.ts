import { Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { mkdtemp, readdir, rm, stat } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { appendEntries, emptyLog, joinLog, toLogBase, type Log } from '../../src/control/log.js';
import { Storage, type StoredState, type WriteEffect } from '../../src/control/storage.js';
import type { LogEntry, Snapshot, Vote } from '../../src/generated/control.js';
import { FullDisk } from './full.js';

interface FullDiskWorld {
  failures: string[];
  runs: number;
}

const SLOW = { timeout: 300_000 };
const ADDRESS = '10.0.0.1:7400';
/** Operations for which the disk is full; a failed opening takes at least one. */
const FULL_OPERATIONS = [1, 7];
const WRITTEN_SHARES = [0.4, 1];
/** Most segments that a run may leave behind. */
const MAX_SEGMENTS = 12;

/** What the folder has to hold: the state after the acknowledged writes, or also after the refused one. */
interface Expected {
  readonly vote: Vote;
  readonly log: Log;
  readonly snapshot: Snapshot | undefined;
}

function createEntries(first: number, count: number, term: number): readonly LogEntry[] {
  return Array.from({ length: count }, (_, at) => ({
    kind: 'command',
    index: first + at,
    term,
    command: Buffer.from(`command ${first + at} of term ${term}, some bytes longer`),
  }));
}

function createSnapshot(index: number, term: number, resetsLog: boolean): WriteEffect {
  const membership = { members: [], retired: [] };
  const snapshot = { index, term, membership, data: Buffer.from(`state ${index}`) };
  return { kind: 'writeSnapshot', write: 1, snapshot, resetsLog };
}

function createVote(term: number): WriteEffect {
  return { kind: 'writeVote', write: 1, term, votedFor: undefined, repairing: false };
}

function writeTerm(first: number, count: number, term: number): WriteEffect {
  return { kind: 'writeEntries', write: 1, entries: createEntries(first, count, term) };
}

/** The writes of a member, in the batches in which they are synced. */
const BATCHES: readonly (readonly WriteEffect[])[] = [
  [createVote(1), writeTerm(1, 4, 1)],
  [writeTerm(5, 2, 1)],
  [writeTerm(7, 2, 1), createVote(2), writeTerm(8, 3, 2)],
  [createSnapshot(6, 1, false)],
  [writeTerm(11, 2, 2)],
  [createVote(3)],
  [writeTerm(10, 5, 3), createSnapshot(9, 2, false), writeTerm(15, 1, 3)],
  [createSnapshot(40, 4, true)],
  [writeTerm(41, 3, 4)],
];

function applyEffect(state: Expected, effect: WriteEffect): Expected {
  switch (effect.kind) {
    case 'writeVote':
      return { ...state, vote: { term: effect.term, repairing: effect.repairing } };
    case 'writeEntries':
      return { ...state, log: appendEntries(state.log, effect.entries) };
    case 'writeSnapshot': {
      const { snapshot, resetsLog } = effect;
      const log = resetsLog ? toLogBase(snapshot) : state.log;
      return { ...state, snapshot, log };
    }
  }
}

function render({ vote, log, snapshot }: Expected): string {
  const { log: joined } = joinLog(log, snapshot);
  const terms = joined.entries.map(({ term }) => term).join();
  return `vote ${vote.term}, snapshot ${snapshot?.index ?? 0}, ${joined.baseIndex}: ${terms}`;
}

/** Returns the states that the folder may hold after the writes of a batch were refused at any point. */
function listPossible(before: Expected, batch: readonly WriteEffect[]): readonly string[] {
  return batch
    .reduce<readonly Expected[]>(
      (states, effect) => {
        const last = states.at(-1) ?? before;
        if (effect.kind !== 'writeEntries') return [...states, applyEffect(last, effect)];
        const parts = effect.entries.map((_, at) =>
          applyEffect(last, { ...effect, entries: effect.entries.slice(0, at + 1) }),
        );
        return [...states, ...parts];
      },
      [before],
    )
    .map(render);
}

class Run {
  readonly disk = new FullDisk();
  #state: Expected = { vote: { term: 0, repairing: false }, log: emptyLog, snapshot: undefined };
  #storage: Storage | undefined;

  constructor(readonly folder: string) {}

  async write(): Promise<void> {
    await this.#open([render(this.#state)]);
    for (const batch of BATCHES) {
      const isWritten = await this.#storage?.write(batch).then(
        () => true,
        () => false,
      );
      if (isWritten !== true) {
        await this.#storage?.close();
        await this.#open(listPossible(this.#state, batch));
        await this.#storage?.write(batch);
      }
      this.#state = batch.reduce(applyEffect, this.#state);
    }
    await this.#storage?.close();
    await this.#open([render(this.#state)]);
    await this.#storage?.close();
    const names = await readdir(this.folder);
    assert.ok(names.filter((name) => name.startsWith('log-')).length <= MAX_SEGMENTS, names.join());
    assert.deepEqual(
      names.filter((name) => name.startsWith('damaged-')),
      [],
    );
  }

  async #open(possible: readonly string[]): Promise<void> {
    const options = { folder: this.folder, address: ADDRESS, repairable: true };
    const opened = await Storage.open({ ...options, files: this.disk.files }).catch(
      () => undefined,
    );
    if (opened === undefined) {
      assert.equal(this.disk.openFiles, 0, 'an opening that failed left files open');
      return this.#open(possible);
    }
    this.#storage = opened.storage;
    await this.#check(opened.stored, possible);
  }

  async #check(stored: StoredState, possible: readonly string[]): Promise<void> {
    assert.deepEqual([stored.damage, stored.vote.repairing], [undefined, false]);
    const found = render(stored);
    assert.ok(possible.includes(found), `read ${found}, expected one of ${possible.join(' | ')}`);
    const segments = (await readdir(this.folder)).filter((name) => name.startsWith('log-'));
    for (const name of segments) {
      const file = join(this.folder, name);
      const { size } = await stat(file);
      const synced = this.disk.synced.get(file) ?? 0;
      assert.ok(synced >= size, `${name} has ${size} bytes, of which only ${synced} are synced`);
    }
  }
}

async function runOnce(from: number, length: number, writtenShare: number): Promise<number> {
  const folder = await mkdtemp(join(tmpdir(), 'chivewalk-full-'));
  try {
    const run = new Run(folder);
    run.disk.full = { from, to: from + length };
    run.disk.writtenShare = writtenShare;
    await run.write();
    return run.disk.operations;
  } finally {
    await rm(folder, { recursive: true, force: true });
  }
}

When(
  'a control folder is written while its disk is full from any operation on',
  SLOW,
  async function (this: FullDiskWorld) {
    this.failures = [];
    this.runs = 0;
    const count = await runOnce(Infinity, 0, 0);
    const cases = FULL_OPERATIONS.flatMap((length) =>
      WRITTEN_SHARES.map((share) => [length, share] as const),
    );
    for (let from = 1; from <= count; from += 1) {
      this.runs += cases.length;
      await Promise.all(
        cases.map(([length, share]) =>
          runOnce(from, length, share).catch((error: unknown) => {
            this.failures.push(`full from ${from} for ${length}, share ${share}: ${String(error)}`);
          }),
        ),
      );
    }
  },
);

Then(
  'it always opens again without damage, with each acknowledged write, all of it synced',
  function (this: FullDiskWorld) {
    assert.ok(this.runs > 100);
    assert.deepEqual(this.failures.slice(0, 5), [], `${this.failures.length} of ${this.runs}`);
  },
);
