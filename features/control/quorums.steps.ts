import { Then } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { createConsensus } from '../../src/control/consensus.js';
import { createLog } from '../../src/control/log.js';
import { hasElectionQuorum } from '../../src/control/quorums.js';
import {
  defaultTimings,
  type ConsensusState,
  type LogEntry,
  type MemberId,
} from '../../src/control/types.js';

const LETTERS = 'abcdef';

/** Names voters by letters. */
function toIds(names: string): readonly MemberId[] {
  return names
    .split(/ */)
    .filter(Boolean)
    .map((name) => `10.0.0.${LETTERS.indexOf(name)}:7400#00000001`);
}

/** Creates a member that holds the memberships, in the order of its log, each with the term of its leader. */
function createState(
  memberships: readonly { readonly ids: readonly MemberId[]; readonly term: number }[],
): ConsensusState {
  const entries = memberships.map(({ ids, term }, at): LogEntry => {
    const members = ids.map((id) => ({ id, voter: true }));
    return { kind: 'membership', index: at + 1, term, membership: { members, retired: [] } };
  });
  return createConsensus({
    ...{ self: toIds('a')[0] ?? '', timings: defaultTimings, now: 0, random: 0, nonce: '' },
    ...{ vote: { term: 2, repairing: false }, log: createLog(0, 0, entries), snapshot: undefined },
  });
}

/** Reads memberships such as "a b c, a b c d, another leader"; what follows the last part is of a later term. */
function readMemberships(text: string, voters: string): ConsensusState {
  const parts = [...text.split(', ').filter(Boolean), voters];
  const change = parts.indexOf('another leader');
  return createState(
    parts.flatMap((part, at) =>
      at === change ? [] : [{ ids: toIds(part), term: change !== -1 && at > change ? 2 : 1 }],
    ),
  );
}

Then(
  /^the control voters "(.*)" of "(.*)" (elect|do not elect) a leader, with "(.*)" lost and "(.*)" before$/,
  function (asked: string, voters: string, expected: string, lost: string, before: string) {
    const elects = hasElectionQuorum(readMemberships(before, voters), toIds(asked), toIds(lost));
    assert.equal(elects, expected === 'elect');
  },
);

/** Returns all subsets of the members. */
function listSubsets(ids: readonly MemberId[]): readonly (readonly MemberId[])[] {
  return ids.reduce<readonly (readonly MemberId[])[]>(
    (subsets, id) => [...subsets, ...subsets.map((subset) => [...subset, id])],
    [[]],
  );
}

Then(
  'any two sets of {int} control voters that elect leaders share one, if no voter that answered was lost before it was asked',
  function (size: number) {
    const ids = toIds(LETTERS.slice(0, size));
    const state = createState([{ ids, term: 1 }]);
    const subsets = listSubsets(ids);
    const elections = subsets.flatMap((granted) =>
      subsets
        .filter((lost) => lost.every((id) => !granted.includes(id)))
        .filter((lost) => hasElectionQuorum(state, granted, lost))
        .map((lost) => ({ granted, lost })),
    );
    // Two disjoint elections need a voter of each to be lost before the other one asks: one of them asked a lost voter.
    const disjoint = elections.flatMap((one) =>
      elections
        .filter((other) => one.granted.every((id) => !other.granted.includes(id)))
        .filter((other) => !one.lost.some((id) => other.granted.includes(id)))
        .map((other) => [one, other] as const),
    );
    assert.deepEqual(disjoint, []);
    assert.ok(elections.length > 0);
  },
);
