/**
 * Manages the data folder of one control member. Invariant: a write survives a crash once the promise of
 * `write` has resolved, and data is loaded only if its checksum matches. The log is truncated without
 * reporting damage only after a torn write that was not synced.
 */
import { randomBytes } from 'node:crypto';
import { constants } from 'node:fs';
import { readFile, type FileHandle } from 'node:fs/promises';
import { basename, dirname, join } from 'node:path';
import { isDeepStrictEqual } from 'node:util';
import type { Address } from '../model/index.js';
import type { Identity, LogRecord, MemberId, Snapshot, Vote } from '../generated/control.js';
import {
  encodePayload,
  parseIdentity,
  parseSnapshot,
  parseVote,
  renderDocument,
} from './formats.js';
import { realFileSystem, replaceFile, StorageError, syncFolder, type FileSystem } from './files.js';
import { getLastIndex, getLastTerm, joinLog, toLogBase, type Log } from './log.js';
import { encodeRecord } from './records.js';
import { loadSegments, toSegmentName, type LoadedSegment } from './segments.js';
import { toAddress } from './steps.js';
import type { ConsensusEffect } from './types.js';

/** Size of a segment in bytes. A write that would exceed it goes to a new segment, also if it is larger. */
const MAX_SEGMENT_BYTES = 4 * 1024 * 1024;
/**
 * Size in bytes of the file that records how far the log is synced. It fits in one sector, so that a write
 * replaces it whole.
 */
const SYNCED_FILE_BYTES = 128;

/** The effects of the consensus core that the storage performs. */
export type WriteEffect = Extract<
  ConsensusEffect,
  { kind: 'writeVote' | 'writeEntries' | 'writeSnapshot' }
>;

/** The state loaded from the data folder. */
export interface StoredState {
  readonly identity: Identity;
  readonly vote: Vote;
  readonly log: Log;
  readonly snapshot: Snapshot | undefined;
  /** The damage that was found, if any. The log ends before it and the member is under repair. */
  readonly damage: StorageError | undefined;
  /** Bytes of a torn write that were removed from the end of the log. */
  readonly tornBytes: number;
}

/** Options of {@link Storage.open}. */
export interface StorageOptions {
  readonly folder: string;
  readonly address: Address;
  /** Whether other members can send the damaged data again. If not, opening a damaged folder fails. */
  readonly repairable: boolean;
  readonly files?: FileSystem;
}

const IDENTITY_FILE = 'identity.json';
const VOTE_FILE = 'vote.json';
const SYNCED_FILE = 'synced.json';
const INITIAL_VOTE: Vote = { term: 0, repairing: false };
/** Names of files that are written only once the identity is durable. */
const MEMBER_STATE_PATTERN = /^(?:damaged-|log-|snapshot-|synced\.json)/;
const SNAPSHOT_PATTERN = /^snapshot-(\d+)\.bin$/;

function toSnapshotName(index: number): string {
  return `snapshot-${String(index).padStart(12, '0')}.bin`;
}

/** An open data folder. */
export class Storage {
  readonly #folder: string;
  readonly #files: FileSystem;
  #segments: readonly LoadedSegment[] = [];
  #segmentHandle: FileHandle | undefined;
  #syncedHandle: FileHandle | undefined;
  #segmentBytes = 0;
  #lastPosition = { index: 0, term: 0 };

  private constructor(folder: string, files: FileSystem) {
    this.#folder = folder;
    this.#files = files;
  }

  /**
   * Opens the data folder and loads its state. An empty folder gets a new identity.
   *
   * @example
   * const { storage, stored } = await Storage.open({ folder: '/var/lib/chivewalk', address });
   */
  static async open(
    options: StorageOptions,
  ): Promise<{ readonly storage: Storage; readonly stored: StoredState }> {
    const storage = new Storage(options.folder, options.files ?? realFileSystem);
    try {
      const stored = await storage.#load(options);
      return { storage, stored };
    } catch (error) {
      await storage.close();
      throw error;
    }
  }

  async #load({ address, repairable }: StorageOptions): Promise<StoredState> {
    const created = await this.#files.mkdir(this.#folder, { recursive: true });
    if (created !== undefined) await syncFolder(this.#files, dirname(created));
    const names = await this.#files.readdir(this.#folder);
    if (!names.includes(IDENTITY_FILE)) await this.#createIdentity(address, names);
    const identity = parseIdentity(
      join(this.#folder, IDENTITY_FILE),
      await this.#readFile(IDENTITY_FILE),
    );
    if (toAddress(identity.id) !== address) {
      throw this.#createError(
        'foreign',
        IDENTITY_FILE,
        `the folder belongs to ${identity.id}, not to ${address}`,
        FOREIGN_REMEDY,
      );
    }
    const vote = parseVote(join(this.#folder, VOTE_FILE), await this.#readFile(VOTE_FILE));
    const { snapshot, damage: snapshotDamage } = await this.#loadSnapshot(names);
    const loaded = await loadSegments(this.#files, this.#folder, names, SYNCED_FILE);
    this.#segments = loaded.segments;
    const joined = joinLog(loaded.log, snapshot);
    const gap = joined.gap ? this.#createGapError(joined.log) : undefined;
    const damage = snapshotDamage ?? loaded.damage ?? gap;
    if (damage !== undefined && !repairable) throw damage;
    const log =
      snapshotDamage === undefined && gap === undefined ? joined.log : toLogBase(snapshot);
    const repairing = vote.repairing || damage !== undefined;
    if (repairing && !vote.repairing) await this.#saveVote({ ...vote, repairing });
    this.#lastPosition = { index: getLastIndex(log), term: getLastTerm(log) };
    await loaded.settleTail();
    if (snapshotDamage !== undefined) await this.#renameDamaged(snapshotDamage.file);
    await this.#openSegment(this.#lastPosition);
    return {
      identity,
      vote: { ...vote, repairing },
      log,
      snapshot,
      damage,
      tornBytes: loaded.tornBytes,
    };
  }

  /** Keeps a damaged file for inspection, with the prefix `damaged-`. */
  async #renameDamaged(file: string): Promise<void> {
    await this.#files.rename(file, join(this.#folder, `damaged-${basename(file)}`));
  }

  /** Creates an identity, also if an earlier attempt was interrupted before the identity file existed. */
  async #createIdentity(address: Address, names: readonly string[]): Promise<void> {
    if (await this.#hasMemberState(names)) {
      throw this.#createError(
        'damaged',
        IDENTITY_FILE,
        'the identity is missing although the folder holds a vote or a log',
        REJOIN_REMEDY,
      );
    }
    const id: MemberId = `${address}#${randomBytes(4).toString('hex')}`;
    await this.#saveVote(INITIAL_VOTE);
    await this.saveIdentity({ id });
  }

  /**
   * Returns whether the folder holds anything that only a member with an identity writes. The initial vote comes before
   * the identity, and files of other modules say nothing about it.
   */
  async #hasMemberState(names: readonly string[]): Promise<boolean> {
    if (names.some((name) => MEMBER_STATE_PATTERN.test(name))) return true;
    if (!names.includes(VOTE_FILE)) return false;
    const vote = parseVote(join(this.#folder, VOTE_FILE), await this.#readFile(VOTE_FILE));
    return !isDeepStrictEqual(vote, INITIAL_VOTE);
  }

  async #readFile(name: string): Promise<Buffer> {
    try {
      return await this.#files.readFile(join(this.#folder, name));
    } catch (error) {
      throw this.#createError(
        'damaged',
        name,
        `cannot read the file (${String(error)})`,
        REJOIN_REMEDY,
      );
    }
  }

  #createError(
    kind: StorageError['kind'],
    name: string,
    detail: string,
    remedy: string,
  ): StorageError {
    return new StorageError(kind, join(this.#folder, name), 0, remedy, detail);
  }

  #createGapError(log: Log): StorageError {
    const detail = `the log starts after entry ${log.baseIndex}, which no snapshot covers`;
    return this.#createError('damaged', toSegmentName(1), detail, REPAIR_REMEDY);
  }

  async #loadSnapshot(names: readonly string[]): Promise<{
    readonly snapshot: Snapshot | undefined;
    readonly damage: StorageError | undefined;
  }> {
    const newest = names
      .filter((name) => SNAPSHOT_PATTERN.test(name))
      .sort()
      .at(-1);
    if (newest === undefined) return { snapshot: undefined, damage: undefined };
    const snapshot = parseSnapshot(await this.#readFile(newest));
    if (snapshot !== undefined) return { snapshot, damage: undefined };
    const damage = this.#createError('damaged', newest, 'its checksum is wrong', REPAIR_REMEDY);
    return { snapshot: undefined, damage };
  }

  /** Replaces the identity file. */
  async saveIdentity(identity: Identity): Promise<void> {
    await replaceFile(this.#files, this.#folder, IDENTITY_FILE, renderDocument(identity));
  }

  async #saveVote(vote: Vote): Promise<void> {
    await replaceFile(this.#files, this.#folder, VOTE_FILE, renderDocument(vote));
  }

  /** Performs the writes in order and resolves once all of them are durable. */
  async write(effects: readonly WriteEffect[]): Promise<void> {
    const appended = await effects.reduce<Promise<boolean>>(
      async (previous, effect) => await this.#performWrite(effect, await previous),
      Promise.resolve(false),
    );
    if (appended) await this.#sync();
  }

  /** Performs one write. Returns whether appended records still have to be synced. */
  async #performWrite(effect: WriteEffect, appended: boolean): Promise<boolean> {
    switch (effect.kind) {
      case 'writeVote': {
        const { term, votedFor, repairing } = effect;
        await this.#saveVote(
          votedFor === undefined ? { term, repairing } : { term, votedFor, repairing },
        );
        return appended;
      }
      case 'writeEntries':
        await this.#append(effect.entries);
        return true;
      case 'writeSnapshot':
        await this.#saveSnapshot(effect.snapshot, effect.resetsLog);
        return false;
    }
  }

  async #append(records: readonly LogRecord[]): Promise<void> {
    const bytes = Buffer.concat(records.map((record) => encodeRecord(encodePayload(record))));
    if (this.#segmentBytes + bytes.length > MAX_SEGMENT_BYTES)
      await this.#rollSegment(this.#lastPosition);
    await this.#segmentHandle?.appendFile(bytes);
    this.#segmentBytes += bytes.length;
    const last = records.at(-1);
    if (last === undefined) return;
    this.#lastPosition = { index: last.index, term: last.term };
    this.#segments = this.#segments.map((segment, index) =>
      index === this.#segments.length - 1
        ? { ...segment, highestIndex: Math.max(segment.highestIndex, last.index) }
        : segment,
    );
  }

  /** Syncs the current segment, then records its synced length. */
  async #sync(): Promise<void> {
    await this.#segmentHandle?.datasync();
    const number = this.#segments.at(-1)?.number ?? 0;
    const content = renderDocument({ segment: number, offset: this.#segmentBytes });
    const padded = Buffer.alloc(SYNCED_FILE_BYTES, ' ');
    content.copy(padded);
    await this.#syncedHandle?.write(padded, 0, SYNCED_FILE_BYTES, 0);
  }

  /** Closes the current segment and starts a new one with the given base. */
  async #rollSegment(base: { readonly index: number; readonly term: number }): Promise<void> {
    await this.#sync();
    await this.#segmentHandle?.close();
    this.#segmentHandle = undefined;
    await this.#openSegment(base);
  }

  async #openSegment({
    index,
    term,
  }: {
    readonly index: number;
    readonly term: number;
  }): Promise<void> {
    const number = (this.#segments.at(-1)?.number ?? 0) + 1;
    this.#segmentHandle = await this.#files.open(join(this.#folder, toSegmentName(number)), 'a');
    const flags = constants.O_RDWR | constants.O_CREAT;
    this.#syncedHandle ??= await this.#files.open(join(this.#folder, SYNCED_FILE), flags);
    this.#segments = [...this.#segments, { number, highestIndex: index }];
    this.#segmentBytes = 0;
    await this.#append([{ kind: 'base', index, term }]);
    await this.#sync();
    await syncFolder(this.#files, this.#folder);
  }

  async #saveSnapshot(snapshot: Snapshot, resetsLog: boolean): Promise<void> {
    const content = encodeRecord(encodePayload(snapshot));
    await replaceFile(this.#files, this.#folder, toSnapshotName(snapshot.index), content);
    await this.#rollSegment(resetsLog ? snapshot : this.#lastPosition);
    await this.#removeObsolete(snapshot);
  }

  /** Removes the segments and snapshots that the snapshot covers. */
  async #removeObsolete(snapshot: Snapshot): Promise<void> {
    const current = this.#segments.at(-1);
    const obsoleteSegments = this.#segments.filter(
      (segment) => segment !== current && segment.highestIndex <= snapshot.index,
    );
    const names = await this.#files.readdir(this.#folder);
    const oldSnapshots = names.filter(
      (name) => SNAPSHOT_PATTERN.test(name) && name < toSnapshotName(snapshot.index),
    );
    const obsoleteFiles = [
      ...obsoleteSegments.map((segment) => toSegmentName(segment.number)),
      ...oldSnapshots,
    ];
    await Promise.all(obsoleteFiles.map((name) => this.#files.unlink(join(this.#folder, name))));
    this.#segments = this.#segments.filter((segment) => !obsoleteSegments.includes(segment));
  }

  /** Closes the files. */
  async close(): Promise<void> {
    await this.#segmentHandle?.close();
    await this.#syncedHandle?.close();
    this.#segmentHandle = undefined;
    this.#syncedHandle = undefined;
  }
}

const FOREIGN_REMEDY = 'give each control member its own data folder';
const REJOIN_REMEDY =
  'empty the data folder and start with join = true, so that the others replace this member';
const REPAIR_REMEDY =
  'no action is needed while the other members run: they send what is missing; if there are none, restore the folder from a copy';

/**
 * Returns whether the member whose data folder this is belongs to a group; true also if that can't be read, as only its
 * repair shows it.
 *
 * @example
 * await hasGroup('/data/steward') // false before the first start
 */
export async function hasGroup(folder: string): Promise<boolean> {
  const file = join(folder, IDENTITY_FILE);
  try {
    return parseIdentity(file, await readFile(file)).group !== undefined;
  } catch (error) {
    return (error as NodeJS.ErrnoException).code !== 'ENOENT';
  }
}
