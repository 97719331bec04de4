import { After, Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import {
  appendFile,
  mkdir,
  mkdtemp,
  readdir,
  readFile,
  rm,
  truncate,
  writeFile,
} from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Packr } from 'msgpackr';
import { realFileSystem, StorageError, type FileSystem } from '../../src/control/files.js';
import { getLastIndex } from '../../src/control/log.js';
import { encodeRecord, HEADER_BYTES, parseRecords } from '../../src/control/records.js';
import { Storage, type StoredState, type WriteEffect } from '../../src/control/storage.js';
import type { LogEntry } from '../../src/generated/control.js';
import { FullDisk } from './full.js';
import { Group, waitFor } from './group.js';

/** Step timeout in milliseconds, long enough for a loaded CPU. */
const SLOW = { timeout: 120_000 };

interface StorageWorld {
  folder: string | undefined;
  group: Group | undefined;
  starts: StoredState[];
}

const ADDRESS = '10.0.0.1:7400';
const CANDIDATE = '10.0.0.2:7400#00000001';

async function openFolder(folder: string, repairable = true): Promise<StoredState> {
  const { storage, stored } = await Storage.open({ folder, address: ADDRESS, repairable });
  await storage.close();
  return stored;
}

async function writeFolder(world: StorageWorld, effects: readonly WriteEffect[]): Promise<void> {
  const folder = getFolder(world);
  const { storage } = await Storage.open({ folder, address: ADDRESS, repairable: true });
  await storage.write(effects);
  await storage.close();
}

function getFolder(world: StorageWorld): string {
  assert.ok(world.folder !== undefined);
  return world.folder;
}

function createEntries(first: number, count: number, term: number): readonly LogEntry[] {
  return Array.from({ length: count }, (_, at) => ({
    kind: 'command',
    index: first + at,
    term,
    command: Buffer.from(`command ${first + at}`),
  }));
}

async function findFile(folder: string, prefix: string, largerThan = 0): Promise<string> {
  const names = (await readdir(folder)).filter((name) => name.startsWith(prefix)).sort();
  for (const name of names) {
    const file = join(folder, name);
    if ((await readFile(file)).length > largerThan) return file;
  }
  throw new Error(
    `no file in ${folder} starts with ${prefix} and has more than ${largerThan} bytes`,
  );
}

/** Returns the segment with the entries. Each start adds a new one that has only a base record. */
function findSegment(folder: string): Promise<string> {
  return findFile(folder, 'log-', 100);
}

/** Flips the bits of one payload byte of the record with the given number. */
async function writeFlippedByte(file: string, record: number): Promise<void> {
  const bytes = await readFile(file);
  const { payloads } = parseRecords(bytes);
  const sizes = payloads.slice(0, record).map((payload) => HEADER_BYTES + payload.length);
  const start = sizes.reduce((sum, size) => sum + size, 0);
  const position = start + HEADER_BYTES + 3;
  bytes[position] = (bytes[position] ?? 0) ^ 0xff;
  await writeFile(file, bytes);
}

Given(
  'a control folder with entries 1 to {int}',
  SLOW,
  async function (this: StorageWorld, last: number) {
    this.folder = await mkdtemp(join(tmpdir(), 'chivewalk-storage-'));
    const entries = createEntries(1, last, 1);
    await writeFolder(this, [{ kind: 'writeEntries', write: 1, entries }]);
  },
);

When(
  'the control folder replaces the entries from {int} on by {int} entries of term {int}',
  SLOW,
  async function (this: StorageWorld, first: number, count: number, term: number) {
    const entries = createEntries(first, count, term);
    await writeFolder(this, [{ kind: 'writeEntries', write: 1, entries }]);
  },
);

When(
  'the control folder votes in term {int}',
  SLOW,
  async function (this: StorageWorld, term: number) {
    const vote = { kind: 'writeVote', write: 1, term, votedFor: CANDIDATE } as const;
    await writeFolder(this, [{ ...vote, repairing: false }]);
  },
);

Given(
  'a control folder that holds only the record of the founding',
  async function (this: StorageWorld) {
    this.folder = await mkdtemp(join(tmpdir(), 'chivewalk-storage-'));
  },
);

/** Starts on a disk that takes only the first operations, and again; returns what the second start read. */
async function startTwice(folder: string, operations: number): Promise<StoredState> {
  await rm(folder, { recursive: true });
  await mkdir(folder);
  await writeFile(join(folder, 'founding.json'), JSON.stringify({ seeds: [ADDRESS] }));
  const disk = new FullDisk();
  disk.full = { from: operations + 1, to: Infinity };
  await assert.rejects(
    Storage.open({ folder, address: ADDRESS, repairable: true, files: disk.files }),
  );
  return openFolder(folder);
}

When(
  'its first start is interrupted at each operation in turn, and made again',
  SLOW,
  async function (this: StorageWorld) {
    const folder = getFolder(this);
    const disk = new FullDisk();
    const options = { folder, address: ADDRESS, repairable: true, files: disk.files };
    const { storage } = await Storage.open(options);
    await storage.close();
    const counts = Array.from({ length: disk.operations }, (_, at) => at);
    this.starts = await counts.reduce<Promise<StoredState[]>>(
      async (earlier, operations) => [...(await earlier), await startTwice(folder, operations)],
      Promise.resolve([]),
    );
  },
);

Then(
  'each of the second starts has an identity, no entries and no damage',
  function (this: StorageWorld) {
    assert.ok(this.starts.length > 5);
    this.starts.forEach(({ identity, log, damage }) => {
      assert.ok(identity.id.startsWith(`${ADDRESS}#`));
      assert.equal(getLastIndex(log), 0);
      assert.equal(damage, undefined);
    });
  },
);

/** The files that a folder without an identity keeps, by their names in the scenarios. */
const keptFiles: Readonly<Record<string, string>> = {
  'vote.json of term 3': 'vote.json',
  'a log': 'log-',
  'the record of a sync': 'synced.json',
};

When(
  'the control folder loses all files but {string}',
  async function (this: StorageWorld, state: string) {
    const folder = getFolder(this);
    const vote = { kind: 'writeVote', write: 1, term: 3, votedFor: CANDIDATE } as const;
    await writeFolder(this, [{ ...vote, repairing: false }]);
    const names = await readdir(folder);
    const lost = names.filter((name) => !name.startsWith(keptFiles[state] ?? ''));
    assert.ok(lost.length < names.length);
    await Promise.all(lost.map((name) => rm(join(folder, name))));
  },
);

When('the last control segment grows by half a record', SLOW, async function (this: StorageWorld) {
  const file = await findSegment(getFolder(this));
  const bytes = await readFile(file);
  const { payloads } = parseRecords(bytes);
  const last = HEADER_BYTES + (payloads.at(-1)?.length ?? 0);
  await appendFile(file, bytes.subarray(bytes.length - last, bytes.length - 4));
});

When(
  'the control folder saves a snapshot at entry {int}',
  SLOW,
  async function (this: StorageWorld, index: number) {
    const membership = { members: [], retired: [] };
    const snapshot = { index, term: 1, membership, data: Buffer.from(`state ${index}`) };
    await writeFolder(this, [{ kind: 'writeSnapshot', write: 1, snapshot, resetsLog: false }]);
  },
);

/** Writes a snapshot that doesn't continue the log, and entries after it. */
async function writeTakeover(world: StorageWorld, index: number, count: number): Promise<void> {
  const membership = { members: [], retired: [] };
  const snapshot = { index, term: 2, membership, data: Buffer.from(`state ${index}`) };
  await writeFolder(world, [
    { kind: 'writeSnapshot', write: 1, snapshot, resetsLog: true },
    { kind: 'writeEntries', write: 2, entries: createEntries(index + 1, count, 2) },
  ]);
}

When(
  'the control folder takes over a snapshot at entry {int}, and {int} entries after it',
  SLOW,
  async function (this: StorageWorld, index: number, count: number) {
    await writeTakeover(this, index, count);
  },
);

When(
  'the control folder takes over a snapshot at entry {int}, and {int} entries after it, by an earlier version',
  SLOW,
  async function (this: StorageWorld, index: number, count: number) {
    await writeTakeover(this, index, count);
    const file = await findSegment(getFolder(this));
    const [base = Buffer.alloc(0), ...entries] = parseRecords(await readFile(file)).payloads;
    const decoded = new Packr({ useRecords: false }).unpack(base) as object;
    const extra = { membership: { members: [], retired: [] }, data: Buffer.from('state') };
    const earlier = new Packr({ useRecords: false }).pack({ ...decoded, ...extra });
    await writeFile(file, Buffer.concat([earlier, ...entries].map(encodeRecord)));
  },
);

Then(
  'the control folder reads back no damage and entries {int} to {int}',
  SLOW,
  async function (this: StorageWorld, first: number, last: number) {
    const { log, damage, vote } = await openFolder(getFolder(this));
    assert.deepEqual([damage, vote.repairing], [undefined, false]);
    assert.deepEqual([log.baseIndex + 1, getLastIndex(log)], [first, last]);
  },
);

When(
  'the control folder suffers {string}',
  SLOW,
  async function (this: StorageWorld, damage: string) {
    const folder = getFolder(this);
    if (damage === 'a synced tail that is gone') {
      const file = await findSegment(folder);
      const { payloads } = parseRecords(await readFile(file));
      const kept = payloads.slice(0, -1).map((payload) => HEADER_BYTES + payload.length);
      await truncate(
        file,
        kept.reduce((sum, size) => sum + size, 0),
      );
      return;
    }
    const entry = /entry (\d+)/.exec(damage)?.[1];
    if (entry === undefined) await writeFlippedByte(await findFile(folder, 'snapshot-'), 0);
    else await writeFlippedByte(await findSegment(folder), Number(entry));
  },
);

When(
  'the control file {string} is damaged',
  SLOW,
  async function (this: StorageWorld, name: string) {
    const file = join(getFolder(this), name);
    const text = (await readFile(file)).toString();
    await writeFile(file, text.replace(/"(term|id)":./, '"$1":7'));
  },
);

Then(
  'the control folder reads back entries 1 to {int} of terms {string}',
  SLOW,
  async function (this: StorageWorld, last: number, terms: string) {
    const { log } = await openFolder(getFolder(this));
    assert.equal(log.entries.map((entry) => entry.term).join(' '), terms);
    assert.equal(getLastIndex(log), last);
    const first = log.entries[0];
    assert.ok(first?.kind === 'command');
    assert.equal(Buffer.from(first.command).toString(), 'command 1');
  },
);

Then('the control folder reads back the vote', SLOW, async function (this: StorageWorld) {
  const { vote } = await openFolder(getFolder(this));
  assert.deepEqual(vote, { term: 9, votedFor: CANDIDATE, repairing: false });
});

Then(
  'the control folder reports a torn write and no damage',
  SLOW,
  async function (this: StorageWorld) {
    const { damage, tornBytes, vote } = await openFolder(getFolder(this));
    assert.ok(tornBytes > 0);
    assert.deepEqual([damage, vote.repairing], [undefined, false]);
  },
);

Then(
  'opening it as one of several members reports damage in {string} and keeps {int} entries',
  SLOW,
  async function (this: StorageWorld, file: string, kept: number) {
    const { damage, log, vote } = await openFolder(getFolder(this));
    assert.ok(damage?.file.includes(file));
    assert.equal(getLastIndex(log), kept);
    assert.equal(vote.repairing, true);
  },
);

Then(
  'opening the control folder as the only member fails, naming {string} and the remedy',
  SLOW,
  async function (this: StorageWorld, file: string) {
    await assert.rejects(openFolder(getFolder(this), false), (error: unknown) => {
      assert.ok(error instanceof StorageError);
      assert.equal(error.kind, 'damaged');
      assert.ok(error.file.includes(file), error.message);
      assert.match(error.message, /at byte \d+: .*(join = true|others|copy)/);
      return true;
    });
  },
);

Then(
  'the control folder stays under repair when it is opened again',
  SLOW,
  async function (this: StorageWorld) {
    const { damage, vote } = await openFolder(getFolder(this));
    assert.deepEqual([damage, vote.repairing], [undefined, true]);
  },
);

Then(
  'the control folder holds {int} snapshot and {int} segment',
  SLOW,
  async function (this: StorageWorld, snapshots: number, segments: number) {
    const names = await readdir(getFolder(this));
    assert.equal(names.filter((name) => name.startsWith('snapshot-')).length, snapshots);
    assert.equal(names.filter((name) => name.startsWith('log-')).length, segments);
  },
);

Then(
  'the control folder reads back the snapshot at entry {int}',
  SLOW,
  async function (this: StorageWorld, index: number) {
    const { snapshot, log } = await openFolder(getFolder(this));
    assert.equal(snapshot?.index, index);
    assert.equal(Buffer.from(snapshot.data).toString(), `state ${index}`);
    assert.deepEqual([log.baseIndex, log.entries.length], [index, 0]);
  },
);

When('the disk of the control leader fails', SLOW, async function (this: StorageWorld) {
  assert.ok(this.group !== undefined);
  const at = this.group.findLeader() ?? -1;
  await this.group.stop(at, true);
  let broken = false;
  const files: FileSystem = {
    ...realFileSystem,
    open: async (...args) => {
      const handle = await realFileSystem.open(...args);
      const datasync = handle.datasync.bind(handle);
      handle.datasync = async (): Promise<void> => {
        if (broken) throw new Error('EIO: no sync');
        await datasync();
      };
      return handle;
    },
  };
  await this.group.start(at, false, { files });
  const node = this.group.getNode(at);
  await waitFor('the member to become healthy', () => node.status.healthy);
  broken = true;
  await this.group.accept(this.group.accepted.length);
  await waitFor('the member to fail', () => node.status.role === 'failed');
});

Then(
  'the failed control member accepts nothing and names the remedy',
  SLOW,
  async function (this: StorageWorld) {
    const failed = [...(this.group?.running.values() ?? [])].filter(
      ({ node }) => node.status.role === 'failed',
    );
    assert.equal(failed.length, 1);
    const outcome = await failed[0]?.node.propose(99, 500);
    assert.ok(outcome?.kind === 'unavailable');
    assert.match(outcome.remedy, /repair it and restart/);
    assert.ok(this.group?.problems.some(({ kind }) => kind === 'writeFailed'));
  },
);

Then(
  'the other control members apply every accepted number',
  SLOW,
  async function (this: StorageWorld) {
    assert.ok(this.group !== undefined);
    const { running, accepted } = this.group;
    const healthy = [...running.values()].filter(({ node }) => node.status.role !== 'failed');
    assert.equal(healthy.length, 2);
    await waitFor('both to apply', () =>
      healthy.every(({ node }) => JSON.stringify(node.applied) === JSON.stringify(accepted)),
    );
  },
);

When(
  'control member {int} stops, has a byte of its log flipped and starts again',
  SLOW,
  async function (this: StorageWorld, index: number) {
    assert.ok(this.group !== undefined);
    const { group } = this;
    await waitFor('the member to apply', () => group.getNode(index).applied.length === 6);
    await group.stop(index, true);
    await writeFlippedByte(await findSegment(group.getFolder(index)), 4);
    await group.start(index);
  },
);

Then(
  'control member {int} reports the damage and then the repair',
  SLOW,
  async function (this: StorageWorld, index: number) {
    assert.ok(this.group !== undefined);
    const { group } = this;
    await waitFor('the repair', () => group.problems.some(({ kind }) => kind === 'repaired'));
    const kinds = group.problems.map(({ kind }) => kind);
    assert.ok(kinds.indexOf('damaged') < kinds.indexOf('repaired'));
    assert.equal(group.getNode(index).status.healthy, true);
  },
);

After(SLOW, async function (this: StorageWorld) {
  if (this.folder !== undefined) await rm(this.folder, { recursive: true, force: true });
});
