import { After, Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import {
  emptyCatalog,
  type CatalogCommand,
  type Instance,
  type TrafficMove,
} from '../../src/catalog/index.js';
import type { ControlStatus, MemberChange } from '../../src/control/index.js';
import {
  addEvidenceBlock,
  createJudgement,
  type EvidenceRow,
  type Judgement,
} from '../../src/rollout/index.js';
import {
  computeCapacityShare,
  createSteward,
  planMembershipChange,
  planMoveStep,
  type MoveStep,
  type Steward,
} from '../../src/steward/index.js';
import { createInstance } from '../gateway/catalog.js';
import { createControl } from '../support/control.js';

interface StewardWorld {
  state: string;
  steward: Steward | undefined;
  outcomes: readonly string[];
  move: TrafficMove;
  step: MoveStep | undefined;
  status: ControlStatus;
  change: MemberChange | undefined;
  maxShare: number;
}

const GOOD_LATENCY_BUCKET = 35;
const SLOW_LATENCY_BUCKET = 50;

function buildMove(duration: number, share: number): TrafficMove {
  return { service: 'records', version: 'v2', orderedAt: 0, duration, state: 'running', share };
}

Given(
  'a move that lasts {int} ms, at share {float}',
  function (this: StewardWorld, duration: number, share: number) {
    this.move = buildMove(duration, share);
  },
);

When(
  '{int} ms have passed and the new version does as well as the old one',
  function (this: StewardWorld, elapsed: number) {
    const rows = [buildRow('v1', 100, 1, 'failed'), buildRow('v2', 20, 0, 'failed')];
    const judgement = addEvidenceBlock(createJudgement('v2'), rows);
    this.step = planMoveStep(this.move, judgement, 1, { elapsed, watched: elapsed });
  },
);

When(
  '{int} ms have passed and no evidence arrived',
  function (this: StewardWorld, elapsed: number) {
    this.step = planMoveStep(this.move, createJudgement('v2'), 1, { elapsed, watched: elapsed });
  },
);

When(
  '{int} ms have passed, and in the last {int} ms the leader has counted {int} attempts, {int} of them at the new version',
  function (this: StewardWorld, elapsed: number, watched: number, attempts: number, own: number) {
    const rows = [buildRow('v1', attempts - own, 0, 'failed'), buildRow('v2', own, 0, 'failed')];
    const judgement = addEvidenceBlock(createJudgement('v2'), rows);
    this.step = planMoveStep(this.move, judgement, 1, { elapsed, watched });
  },
);

function buildRow(version: string, total: number, bad: number, how: string): EvidenceRow {
  const failed = how === 'failed' ? bad : 0;
  const slow = how === 'slow' ? bad : 0;
  const latencies = [GOOD_LATENCY_BUCKET, total - failed - slow, SLOW_LATENCY_BUCKET, slow];
  return { service: 'records', version, route: 'r1', ok: total - failed, failed, latencies };
}

When(
  'of {int} requests on the new version {int} are {string}, and of {int} on the old one {int}',
  function (
    this: StewardWorld,
    total: number,
    bad: number,
    how: string,
    oldTotal: number,
    oldBad: number,
  ) {
    // Evidence arrives in blocks; before a trial, they cover only the old version.
    const blocks = [
      [buildRow('v1', oldTotal, oldBad, how)],
      ...[1, 2, 3, 4, 5].map(() => [
        buildRow('v2', total / 5, bad / 5, how),
        buildRow('v1', oldTotal / 5, oldBad / 5, how),
      ]),
    ];
    const judgement = blocks.reduce<Judgement>(
      (before, rows) => addEvidenceBlock(before, rows),
      createJudgement('v2'),
    );
    this.step = planMoveStep(this.move, judgement, 1, { elapsed: 3000, watched: 3000 });
  },
);

Then('the steward decides {string}', function (this: StewardWorld, wanted: string) {
  const { step } = this;
  assert.equal(step === undefined ? 'nothing' : `${step.state} ${step.share}`, wanted);
});

function buildInstance(version: string, slots: number): readonly (readonly [string, Instance])[] {
  if (slots === 0) return [];
  const id = `up-${version}`;
  const place = { address: '10.0.0.1:1', zone: 'cyberjaya', bornAt: 0, draining: false };
  return [[id, { id, service: 'records', version, slots, ...place }]];
}

Given(
  'a move beside {int} slots of the old version and {int} of the new one',
  function (this: StewardWorld, old: number, own: number) {
    const instances = new Map([...buildInstance('v1', old), ...buildInstance('v2', own)]);
    this.maxShare = computeCapacityShare({ ...emptyCatalog, instances }, buildMove(14_000, 0.05));
  },
);

Then(
  'the new version has capacity for {float} of the traffic',
  function (this: StewardWorld, share: number) {
    assert.equal(this.maxShare, share);
  },
);

Given(
  'control members {string} with silences {string}',
  function (this: StewardWorld, members: string, silences: string) {
    this.status = {
      role: 'leader',
      term: 1,
      leader: 'a',
      commitIndex: 1,
      lastIndex: 1,
      logBytes: 0,
      ...{ membersIndex: 0, age: 0 },
      members: members.split(' ').map((name) => ({
        id: `${name.replace('?', '')}#1`,
        voter: !name.endsWith('?'),
      })),
      silences: silences.split(',').map((item) => {
        const [name = '', silence = ''] = item.trim().split(' ');
        return [name, Number(silence)] as const;
      }),
      currentVoters: undefined,
      healthy: true,
      isVoter: true,
      problem: undefined,
    };
  },
);

When('{string} ask to join', function (this: StewardWorld, waiting: string) {
  this.change = planMembershipChange(this.status, waiting === '' ? [] : waiting.split(' '));
});

Then(
  'the steward plans the membership change {string}',
  function (this: StewardWorld, wanted: string) {
    const { change } = this;
    assert.equal(change === undefined ? '' : `${change.kind} ${change.address}`, wanted);
  },
);

Given(
  'a steward with role {string}, known leader {string} and reported leader {string}',
  function (this: StewardWorld, role: ControlStatus['role'], leader: string, reported: string) {
    this.steward = createSteward({
      control: createControl({ role, leader: leader === '' ? undefined : leader }),
      findLeader: () => (reported === '' ? undefined : reported),
      announceInterval: 1500,
      now: () => 0,
      wallNow: () => 0,
    });
  },
);

When('the steward receives an order and a read', async function (this: StewardWorld) {
  const order = await this.steward?.submit({ kind: 'setZone', zone: 'a', out: true });
  const read = await this.steward?.readCurrent();
  this.outcomes = [order, read].map((outcome) =>
    outcome?.kind === 'elsewhere' ? `elsewhere ${outcome.leader}` : (outcome?.kind ?? ''),
  );
});

Then('both are answered {string}', function (this: StewardWorld, answer: string) {
  assert.deepEqual(this.outcomes, [answer, answer]);
});

When(
  'the leader receives an order for a move of {int} ms, and its Unix time jumps by {int} ms',
  async function (this: StewardWorld, duration: number, jump: number) {
    const move = buildMove(duration, 0);
    const catalog = { ...emptyCatalog, moves: { [move.service]: move } };
    const instance = { ...createInstance('u1'), version: 'v2' };
    const applied = { ...catalog, instances: new Map([['u1', instance]]) };
    let wallNow = 0;
    const proposed: CatalogCommand[] = [];
    const startedAt = performance.now();
    let notifyApplied: () => void = () => undefined;
    const control = createControl(
      { role: 'leader', leader: 'a:1' },
      {
        applied,
        propose: (command) => {
          proposed.push(command as CatalogCommand);
          return Promise.resolve({ kind: 'unknown' });
        },
        onApplied: (listener) => {
          notifyApplied = () => {
            listener(applied, 1, undefined, 0);
          };
        },
      },
    );
    this.steward = createSteward({
      ...{ control, findLeader: () => undefined, announceInterval: 1500 },
      ...{ now: () => performance.now() - startedAt, wallNow: () => wallNow },
    });
    notifyApplied();
    wallNow = jump;
    await sleep(500);
    const [first] = proposed;
    this.state = first?.kind === 'stepMove' ? first.state : '';
  },
);

Then(
  'the steward proposes that the move is {string}',
  function (this: StewardWorld, state: string) {
    assert.equal(this.state, state);
  },
);

After(function (this: Partial<StewardWorld>) {
  this.steward?.close();
});
