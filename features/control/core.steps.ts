import { Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import type { LogEntry } from '../../src/generated/control.js';
import { createConsensus, decideConsensus } from '../../src/control/consensus.js';
import { emptyLog, getLastIndex, getLastTerm } from '../../src/control/log.js';
import { hasCommittedInTerm } from '../../src/control/steps.js';
import {
  defaultTimings,
  type ConsensusEffect,
  type ConsensusInput,
  type ConsensusState,
  type ControlMessage,
  type MemberId,
} from '../../src/control/types.js';

interface CoreWorld {
  state: ConsensusState;
  effects: readonly ConsensusEffect[];
  now: number;
  sent: ConsensusEffect[];
}

function toMember(index: number, incarnation = 1): MemberId {
  return `10.0.0.${index}:7400#0000000${incarnation}`;
}

function decide(world: CoreWorld, input: ConsensusInput): void {
  const { state, effects } = decideConsensus(world.state, { ...input, now: world.now, random: 0 });
  world.state = state;
  world.effects = effects;
}

/** Reports all writes as durable to the core. */
function syncAll(world: CoreWorld): void {
  decide(world, { kind: 'synced', write: world.state.nextWrite - 1 });
}

/** Delivers an acknowledgement of the whole log from another member. */
function sendAcknowledgement(world: CoreWorld, from: MemberId): void {
  const { term, log, role } = world.state;
  const round = role.kind === 'leader' ? role.round : 0;
  const index = getLastIndex(log);
  const message = { kind: 'appendReply', term, matches: true, index, round } as const;
  decide(world, { kind: 'messageArrived', from, message });
}

function startCore(world: CoreWorld, size: number): void {
  const founders = Array.from({ length: size }, (_, index) => toMember(index));
  world.now = 0;
  world.state = createConsensus({
    self: toMember(0),
    timings: defaultTimings,
    now: 0,
    random: 0,
    vote: { term: 0, repairing: false },
    log: emptyLog,
    snapshot: undefined,
    nonce: '',
  });
  decide(world, { kind: 'founded', founders });
  syncAll(world);
}

Given(
  'a control core that is a follower among {int} members',
  function (this: CoreWorld, size: number) {
    this.sent = [];
    startCore(this, size);
  },
);

Given(
  'a control core that is the leader among {int} members',
  function (this: CoreWorld, size: number) {
    startCore(this, size);
    this.now = defaultTimings.electionMax;
    decide(this, { kind: 'ticked' });
    const grant = { kind: 'voteReply', term: 1, asked: 2, granted: true } as const;
    const needed = Array.from({ length: Math.floor(size / 2) }, (_, index) => toMember(index + 1));
    needed.forEach((from) => {
      decide(this, { kind: 'messageArrived', from, message: { ...grant, preVote: true } });
    });
    syncAll(this);
    const vote = { ...grant, term: 2, preVote: false };
    needed.forEach((from) => {
      decide(this, { kind: 'messageArrived', from, message: vote });
    });
    syncAll(this);
    needed.forEach((from) => {
      sendAcknowledgement(this, from);
    });
    assert.equal(this.state.role.kind, 'leader');
    assert.equal(this.state.commitIndex, 2);
  },
);

When(
  'the control core is asked to admit member {int} again',
  function (this: CoreWorld, index: number) {
    const change = { kind: 'admit', id: toMember(index) } as const;
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
  function (this: CoreWorld, index: number) {
    this.now += defaultTimings.electionMin - 1;
    decide(this, { kind: 'ticked' });
    sendAcknowledgement(this, toMember(index));
    this.now += 2;
    const change = { kind: 'remove', address: `10.0.0.${index}:7400` } as const;
    decide(this, { kind: 'membershipProposed', proposal: 1, change });
  },
);

Then('the control core refuses with {string}', function (this: CoreWorld, reason: string) {
  assert.deepEqual(this.effects, [{ kind: 'refused', proposal: 1, reason }]);
});

Then(
  'member {int} of the control core is still a voter',
  function (this: CoreWorld, index: number) {
    const found = this.state.membership.members.find(({ id }) => id === toMember(index));
    assert.equal(found?.voter, true);
  },
);

function waitAlone(world: CoreWorld, seconds: number): void {
  const end = world.now + seconds * 1000;
  while (world.now < end) {
    world.now += 50;
    decide(world, { kind: 'ticked' });
    world.sent.push(...world.effects);
    syncAll(world);
    world.sent.push(...world.effects);
  }
}

When(
  'the control core receives a heartbeat that makes it a learner, and then no messages for {int} seconds',
  function (this: CoreWorld, seconds: number) {
    const members = [0, 1, 2].map((index) => ({ id: toMember(index), voter: index > 0 }));
    const entry = { kind: 'membership', index: 2, term: 2, membership: { members, retired: [] } };
    const log = { prevIndex: 1, prevTerm: 1, commitIndex: 2, round: 1 };
    decide(this, {
      kind: 'messageArrived',
      from: toMember(1),
      message: { kind: 'append', term: 2, entries: [entry as LogEntry], ...log },
    });
    syncAll(this);
    assert.deepEqual(this.state.role, { kind: 'follower', leader: toMember(1) });
    waitAlone(this, seconds);
  },
);

Then('the control core knows no leader and sent no request for votes', function (this: CoreWorld) {
  assert.deepEqual(this.state.role, { kind: 'follower', leader: undefined });
  assert.deepEqual(this.sent, []);
});

When(
  'the control core receives no messages for {int} seconds',
  function (this: CoreWorld, seconds: number) {
    waitAlone(this, seconds);
  },
);

Then(
  'the term of the control core is still {int} and it sent only pre-vote requests',
  function (this: CoreWorld, term: number) {
    assert.equal(this.state.term, term);
    const messages = this.sent.flatMap((effect) => (effect.kind === 'send' ? effect.message : []));
    assert.ok(messages.length > 100);
    assert.ok(messages.every((message) => message.kind === 'voteRequest' && message.preVote));
  },
);

When(
  'the control core receives a heartbeat of term {int} and then a vote request of term {int}',
  function (this: CoreWorld, term: number, candidacy: number) {
    const entries = { prevIndex: 1, prevTerm: 1, entries: [], commitIndex: 0, round: 1 };
    const heartbeat = { kind: 'append', term, ...entries } as const;
    decide(this, { kind: 'messageArrived', from: toMember(1), message: heartbeat });
    syncAll(this);
    this.now += 500;
    const log = { lastIndex: 9, lastTerm: 2, preVote: false, transfer: false };
    const request = { kind: 'voteRequest', term: candidacy, ...log } as const;
    decide(this, { kind: 'messageArrived', from: toMember(2), message: request });
  },
);

Then(
  'the term of the control core is still {int} and it sends no answer',
  function (this: CoreWorld, term: number) {
    assert.equal(this.state.term, term);
    assert.deepEqual(this.effects, []);
  },
);

When(
  'the control core receives a read request and then no messages for {int} seconds',
  function (this: CoreWorld, seconds: number) {
    this.sent = [];
    decide(this, { kind: 'readRequested', read: 7 });
    waitAlone(this, seconds);
  },
);

Then(
  'the control core is no longer the leader and the read was refused',
  function (this: CoreWorld) {
    assert.notEqual(this.state.role.kind, 'leader');
    const answers = this.sent.filter((effect) => 'read' in effect);
    assert.deepEqual(answers, [{ kind: 'readRefused', read: 7 }]);
  },
);

When(
  'the control core wakes after a pause of {int} seconds and receives a proposal',
  function (this: CoreWorld, seconds: number) {
    this.now += seconds * 1000;
    decide(this, { kind: 'woke' });
    decide(this, { kind: 'proposed', proposal: 1, command: Buffer.from('x') });
  },
);

/** Delivers a reply of member 2 about its log up to the index. */
function sendLogReply(world: CoreWorld, matches: boolean, index: number): void {
  const { term, role } = world.state;
  const round = role.kind === 'leader' ? role.round : 0;
  const message = { kind: 'appendReply', term, matches, index, round } as const;
  decide(world, { kind: 'messageArrived', from: toMember(2), message });
}

function findMessagesTo(world: CoreWorld, to: MemberId): readonly ControlMessage[] {
  return world.effects.flatMap((effect) =>
    effect.kind === 'send' && effect.to === to ? [effect.message] : [],
  );
}

When(
  'the control core compacts its log while member 2 lacks the entries from {int} on',
  function (this: CoreWorld, first: number) {
    Array.from({ length: 400 }).forEach((_, proposal) => {
      decide(this, { kind: 'proposed', proposal, command: new Uint8Array([1]) });
    });
    syncAll(this);
    sendAcknowledgement(this, toMember(1));
    const data = new Uint8Array([1]);
    decide(this, { kind: 'compacted', index: this.state.commitIndex, data });
    assert.ok(this.state.log.baseIndex > first && this.state.log.baseIndex < 200);
    syncAll(this);
    sendLogReply(this, false, first - 1);
  },
);

Then('the control core sends member 2 a snapshot', function (this: CoreWorld) {
  const kinds = findMessagesTo(this, toMember(2)).map(({ kind }) => kind);
  assert.deepEqual(kinds, ['snapshotChunk']);
});

When(
  'the entries up to {int} after the base of its log, which were under way, reach member 2, and no later ones',
  function (this: CoreWorld, last: number) {
    const reached = this.state.log.baseIndex + last;
    sendLogReply(this, true, reached);
    assert.equal(findMessagesTo(this, toMember(2))[0]?.kind, 'append');
    sendLogReply(this, false, reached);
  },
);

Then(
  'the control core sends member 2 the entries from {int} after that base on again',
  function (this: CoreWorld, first: number) {
    const [message] = findMessagesTo(this, toMember(2));
    assert.ok(message?.kind === 'append', 'nothing was sent');
    assert.equal(message.entries[0]?.index, this.state.log.baseIndex + first);
  },
);

When(
  'the control core hears from a leader of term 2 whose log it lacks',
  function (this: CoreWorld) {
    const message: ControlMessage = {
      ...{ kind: 'append', term: 2, round: 1, entries: [], commitIndex: 900 },
      ...{ prevIndex: 900, prevTerm: 2 },
    };
    decide(this, { kind: 'messageArrived', from: toMember(1), message });
    assert.equal(this.state.role.kind === 'follower' && this.state.role.leader, toMember(1));
  },
);

When(
  'the control core gets the entry of term 2 that this leader committed',
  function (this: CoreWorld) {
    const last = getLastIndex(this.state.log);
    const message: ControlMessage = {
      ...{ kind: 'append', term: 2, round: 2, prevIndex: last },
      prevTerm: getLastTerm(this.state.log),
      entries: [{ kind: 'noop', index: last + 1, term: 2 }],
      commitIndex: last + 1,
    };
    decide(this, { kind: 'messageArrived', from: toMember(1), message });
    syncAll(this);
  },
);

Then(
  /^the control core is up to date: (true|false)$/,
  function (this: CoreWorld, expected: string) {
    assert.equal(hasCommittedInTerm(this.state), expected === 'true');
  },
);

function toMembers(indexes: string): readonly MemberId[] {
  return indexes.split(' ').map((index) => toMember(Number(index)));
}

/** Delivers a reply of each member: to the latest round, and about its log up to the index. */
function sendReplies(world: CoreWorld, from: readonly MemberId[], index?: number): void {
  from.forEach((member) => {
    const { role, term, log } = world.state;
    if (role.kind !== 'leader' || !role.progress.has(member)) return;
    const { round } = role;
    const reply = { term, matches: true, index: index ?? getLastIndex(log), round };
    const message = { kind: 'appendReply', ...reply } as const;
    decide(world, { kind: 'messageArrived', from: member, message });
    syncAll(world);
  });
}

function runFor(world: CoreWorld, ms: number, reply: () => void): void {
  const end = world.now + ms;
  while (world.now < end) {
    world.now += 50;
    decide(world, { kind: 'ticked' });
    syncAll(world);
    reply();
  }
}

When(
  'the control core is asked to admit a new member {int}',
  function (this: CoreWorld, index: number) {
    const change = { kind: 'admit', id: toMember(index) } as const;
    decide(this, { kind: 'membershipProposed', proposal: 1, change });
    const { effects } = this;
    syncAll(this);
    this.effects = effects;
  },
);

When(
  'for {int} ms only members {string} answer the control core',
  function (this: CoreWorld, ms: number, answering: string) {
    runFor(this, ms, () => {
      sendReplies(this, toMembers(answering));
    });
  },
);

When(
  'for {int} ms members {string} answer the control core, but lack its last entry',
  function (this: CoreWorld, ms: number, answering: string) {
    const last = getLastIndex(this.state.log);
    runFor(this, ms, () => {
      sendReplies(this, toMembers(answering), last - 1);
    });
  },
);

When(
  'for {int} ms all {int} members answer the control core, member {int} only each {int} ms',
  function (this: CoreWorld, ms: number, size: number, slow: number, interval: number) {
    const others = Array.from({ length: size }, (_, index) => index).filter(
      (index) => index !== 0 && index !== slow,
    );
    const end = this.now + ms;
    while (this.now < end) {
      runFor(this, interval, () => {
        sendReplies(
          this,
          others.map((index) => toMember(index)),
        );
      });
      sendReplies(this, [toMember(slow)]);
    }
  },
);

When('member {int} answers the control core', function (this: CoreWorld, index: number) {
  sendReplies(this, [toMember(index)]);
});

When(
  'the control core is paused for {int} ms and gets an answer of member {int} to its latest round',
  function (this: CoreWorld, ms: number, index: number) {
    this.now += ms;
    decide(this, { kind: 'woke' });
    sendReplies(this, [toMember(index)]);
  },
);

Then(
  'members {string} of the control core vote, and {string} do not',
  function (this: CoreWorld, voters: string, learners: string) {
    const { members } = this.state.membership;
    const listIndexes = (voter: boolean): string =>
      members
        .filter((member) => member.voter === voter)
        .map(({ id }) => /\.(\d+):/.exec(id)?.[1] ?? '')
        .sort((one, other) => Number(one) - Number(other))
        .join(' ');
    assert.deepEqual([listIndexes(true), listIndexes(false)], [voters, learners]);
  },
);

Then(
  'the control core wrote {int} changes of members since its founding',
  function (this: CoreWorld, count: number) {
    const changes = this.state.log.entries.filter(({ kind }) => kind === 'membership');
    assert.equal(changes.length - 1, count);
  },
);

Then('the control core accepts the change', function (this: CoreWorld) {
  assert.ok(this.effects.some(({ kind }) => kind === 'accepted'));
});
