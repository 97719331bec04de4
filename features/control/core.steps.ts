import { Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { createConsensus, decideConsensus } from '../../src/control/consensus.js';
import { emptyLog, getLastIndex } from '../../src/control/log.js';
import {
  defaultTimings,
  type ConsensusEffect,
  type ConsensusInput,
  type ConsensusState,
  type MemberId,
} from '../../src/control/types.js';

interface CoreWorld {
  state: ConsensusState;
  effects: readonly ConsensusEffect[];
  now: number;
}

function toMember(at: number, incarnation = 1): MemberId {
  return `10.0.0.${at}:7400#0000000${incarnation}`;
}

function decide(world: CoreWorld, input: ConsensusInput): void {
  const { state, effects } = decideConsensus(world.state, { ...input, now: world.now, random: 0 });
  world.state = state;
  world.effects = effects;
}

/** Reports every write as durable. */
function syncAll(world: CoreWorld): void {
  decide(world, { kind: 'synced', write: world.state.nextWrite - 1 });
}

/** Lets another member acknowledge the whole log. */
function sendAcknowledgement(world: CoreWorld, from: MemberId): void {
  const { term, log, role } = world.state;
  const round = role.kind === 'leader' ? role.round : 0;
  const index = getLastIndex(log);
  const message = { kind: 'appendReply', term, matches: true, index, round } as const;
  decide(world, { kind: 'messageArrived', from, message });
}

Given('a leading control core of {int} members', function (this: CoreWorld, size: number) {
  const founders = Array.from({ length: size }, (_, at) => toMember(at));
  this.now = 0;
  this.state = createConsensus({
    self: toMember(0),
    timings: defaultTimings,
    now: 0,
    random: 0,
    vote: { term: 0, repairing: false },
    log: emptyLog,
    snapshot: undefined,
    nonce: '',
  });
  decide(this, { kind: 'founded', founders });
  syncAll(this);
  this.now = defaultTimings.electionMax;
  decide(this, { kind: 'ticked' });
  const grant = { kind: 'voteReply', term: 1, asked: 2, granted: true } as const;
  const from = toMember(1);
  decide(this, { kind: 'messageArrived', from, message: { ...grant, preVote: true } });
  syncAll(this);
  const vote = { ...grant, term: 2, preVote: false };
  decide(this, { kind: 'messageArrived', from, message: vote });
  syncAll(this);
  sendAcknowledgement(this, from);
  assert.equal(this.state.role.kind, 'leader');
  assert.equal(this.state.commitIndex, 2);
});

When(
  'the control core is asked to admit member {int} again',
  function (this: CoreWorld, at: number) {
    const change = { kind: 'admit', id: toMember(at) } as const;
    decide(this, { kind: 'membershipProposed', proposal: 1, change });
  },
);

When('the control core is asked to admit a new member twice', function (this: CoreWorld) {
  const admit = (id: MemberId): void => {
    decide(this, { kind: 'membershipProposed', proposal: 1, change: { kind: 'admit', id } });
  };
  admit(toMember(7));
  admit(toMember(8));
});

When(
  'the control core is asked to remove member {int} while only that member answers',
  function (this: CoreWorld, at: number) {
    this.now += defaultTimings.electionMin - 1;
    decide(this, { kind: 'ticked' });
    sendAcknowledgement(this, toMember(at));
    this.now += 2;
    const change = { kind: 'remove', address: `10.0.0.${at}:7400` } as const;
    decide(this, { kind: 'membershipProposed', proposal: 1, change });
  },
);

Then('the control core refuses with {string}', function (this: CoreWorld, reason: string) {
  assert.deepEqual(this.effects, [{ kind: 'refused', proposal: 1, reason }]);
});

Then('member {int} of the control core still votes', function (this: CoreWorld, at: number) {
  const found = this.state.membership.members.find(({ id }) => id === toMember(at));
  assert.equal(found?.voter, true);
});
