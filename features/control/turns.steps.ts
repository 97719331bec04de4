import { Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import fc from 'fast-check';
import { Reopening, type Opening, type ReopeningCause } from '../../src/daemon/reopening.js';
import { FullDisk } from './full.js';
import { Group, waitFor } from './group.js';

interface TurnsWorld {
  group: Group;
}

const SLOW = { timeout: 120_000 };
const SEED = Number(process.env.SEED ?? 33);
const TIMINGS = { heartbeat: 60, largeGroupHeartbeat: 60, electionMin: 300, electionMax: 600 };
/** Entries after which a member saves a snapshot; few, so that disks are full during some of them. */
const COMPACT_AFTER = 10;
/** Milliseconds between checks of a full disk. */
const CHECK_INTERVAL = 100;

/** A disk that is full, in milliseconds. */
interface Turn {
  readonly member: number;
  readonly duration: number;
  readonly gap: number;
}

function createTurns(size: number): readonly Turn[] {
  const members = Array.from({ length: size }, (_, member) => member);
  const round = fc.shuffledSubarray(members, { minLength: size });
  const time = fc.record({
    duration: fc.integer({ min: 50, max: 600 }),
    gap: fc.integer({ min: 10, max: 300 }),
  });
  const times = fc.array(time, { minLength: 2 * size, maxLength: 2 * size });
  const [sample] = fc.sample(fc.tuple(round, round, times), { seed: SEED, numRuns: 1 });
  const [first, second, all] = sample ?? [[], [], []];
  return all.map((found, at) => ({ member: [...first, ...second][at] ?? 0, ...found }));
}

/** Starts a member that opens its folder again after its disk was full. */
function startMember(group: Group, index: number, disk: FullDisk, join: boolean): Promise<void> {
  const open = async (onEnded: (cause: ReopeningCause) => void): Promise<Opening> => {
    try {
      await group.start(index, join, {
        files: disk.files,
        onProblem: (problem) => {
          group.problems.push(problem);
          if (problem.kind === 'writeFailed') onEnded('diskFailed');
        },
      });
    } catch {
      await sleep(CHECK_INTERVAL);
      return open(onEnded);
    }
    return { close: () => group.stop(index) };
  };
  const waitForDisk = async (): Promise<void> => {
    await sleep(CHECK_INTERVAL);
    if (disk.isFilled) await waitForDisk();
  };
  return new Reopening({
    open,
    waitForDisk,
    waitToRetry: () => sleep(CHECK_INTERVAL),
    empty: () => Promise.reject(new Error('no member of this group was replaced')),
    onReopened: () => undefined,
    onProblem: (error) => {
      group.problems.push({ kind: 'halted', message: String(error) });
    },
  }).start();
}

async function addMember(group: Group, index: number): Promise<void> {
  const address = group.addresses[index] ?? '';
  const node = group.running.get(group.findLeader() ?? -1)?.node;
  const outcome = await node?.changeMembers({ kind: 'add', address });
  const isMember = node?.status.members.some(({ id }) => id.startsWith(address)) === true;
  if (outcome?.kind === 'committed' || isMember) return;
  await sleep(CHECK_INTERVAL);
  await addMember(group, index);
}

async function proposeNumbers(group: Group, isDone: () => boolean): Promise<void> {
  for (let number = 1; !isDone(); number += 1) await group.accept(number);
}

When(
  'a control group of {int} and one that joins it accept numbers while their disks are full in turn from the start',
  SLOW,
  async function (this: TurnsWorld, size: number) {
    const options = { timings: TIMINGS, compactAfter: COMPACT_AFTER };
    const group = await Group.create(size + 1, options, size);
    this.group = group;
    const disks = group.addresses.map(() => new FullDisk());
    const founders = group.addresses.slice(0, size).map((_, index) => index);
    const turns = createTurns(size + 1);
    let isDone = false;
    const members = founders.map((index) =>
      startMember(group, index, disks[index] ?? new FullDisk(), false),
    );
    const joined = startMember(group, size, disks[size] ?? new FullDisk(), true);
    const started = Promise.all([...members, joined]);
    const added = started.then(() => addMember(group, size));
    const accepted = started.then(() => proposeNumbers(group, () => isDone));
    for (const { member, duration, gap } of turns) {
      const disk = disks[member] ?? new FullDisk();
      disk.isFilled = true;
      await sleep(duration);
      disk.isFilled = false;
      await sleep(gap);
    }
    isDone = true;
    await Promise.all([added, accepted]);
  },
);

Then(
  'that control group accepts a number within {int} seconds',
  SLOW,
  async function (this: TurnsWorld, limit: number) {
    const start = performance.now();
    await this.group.accept(1_000_000);
    const elapsed = performance.now() - start;
    assert.ok(elapsed < limit * 1000, `it took ${Math.round(elapsed)} ms`);
  },
);

Then(
  'every member of that control group votes and holds each accepted number',
  SLOW,
  async function (this: TurnsWorld) {
    const { group } = this;
    const wanted = [...new Set(group.accepted)];
    await waitFor('all members to vote and to apply', () =>
      group.addresses.every((_, index) => {
        const node = group.running.get(index)?.node;
        const held = new Set(node?.applied);
        return node?.status.isVoter === true && wanted.every((number) => held.has(number));
      }),
    );
    const kinds = new Set(group.problems.map(({ kind }) => kind));
    assert.deepEqual([kinds.has('damaged'), kinds.has('halted')], [false, false]);
  },
);
