import { Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { computeAge } from '../../src/control/age.js';
import { createConsensus, decideConsensus } from '../../src/control/consensus.js';
import { createLog } from '../../src/control/log.js';
import type {
  ConsensusInput,
  ConsensusState,
  ControlMessage,
  MemberId,
} from '../../src/control/types.js';

interface Packet {
  readonly from: MemberId;
  readonly to: MemberId;
  readonly message: ControlMessage;
  readonly dueAt: number;
}

const TIMINGS = { heartbeat: 120, largeGroupHeartbeat: 120, electionMin: 1200, electionMax: 2400 };
const IDS = ['10.1.0.1:7200#00000001', '10.1.0.2:7200#00000002', '10.1.0.3:7200#00000003'];
const STEP = 10;
const DELAY = 5;

/** Three members whose disks are fast, on a network that a test interferes with. */
class AgingGroup {
  now = 10_000;
  states = new Map<MemberId, ConsensusState>();
  packets: Packet[] = [];
  frozen: MemberId | undefined;
  /** Milliseconds by which each member's monotonic clock is behind, as it stood still. */
  lags = new Map<MemberId, number>();
  isLost: (packet: Packet) => boolean = () => false;

  constructor() {
    IDS.forEach((id) => {
      this.start(id);
      this.handle(id, { kind: 'founded', founders: IDS });
    });
    this.advance(5000);
  }

  start(id: MemberId): void {
    const before = this.states.get(id);
    this.states.set(
      id,
      createConsensus({
        ...{ self: id, timings: TIMINGS, now: this.now, steadyNow: this.now, nonce: 'n' },
        random: IDS.indexOf(id) / IDS.length,
        vote: { term: before?.term ?? 0, repairing: false },
        ...{ log: before?.log ?? createLog(0, 0), snapshot: before?.snapshot },
      }),
    );
  }

  handle(id: MemberId, input: ConsensusInput): void {
    const before = this.states.get(id);
    assert.ok(before);
    const now = this.now - (this.lags.get(id) ?? 0);
    const event = { ...input, now, steadyNow: this.now, random: IDS.indexOf(id) / IDS.length };
    const { state, effects } = decideConsensus(before, event);
    this.states.set(id, state);
    effects.forEach((effect) => {
      if (effect.kind === 'send') {
        const { to, message } = effect;
        this.packets.push({ from: id, to, message, dueAt: this.now + DELAY });
      }
      if ('write' in effect) this.handle(id, { kind: 'synced', write: effect.write });
    });
  }

  advance(time: number): void {
    const until = this.now + time;
    while (this.now < until) {
      this.now += STEP;
      this.#deliver();
      IDS.filter((id) => id !== this.frozen).forEach((id) => {
        this.handle(id, { kind: 'ticked' });
      });
    }
  }

  #deliver(): void {
    const due = this.packets.filter(({ dueAt, to }) => dueAt <= this.now && to !== this.frozen);
    this.packets = this.packets.filter((packet) => !due.includes(packet));
    due
      .filter((packet) => !this.isLost(packet))
      .forEach(({ from, to, message }) => {
        this.handle(to, { kind: 'messageArrived', from, message });
      });
  }

  getAge(id: MemberId): number {
    const state = this.states.get(id);
    assert.ok(state);
    return computeAge(state, this.now);
  }

  get leader(): MemberId {
    const leader = IDS.find((id) => this.states.get(id)?.role.kind === 'leader');
    assert.ok(leader);
    return leader;
  }
}

interface AgeWorld {
  aging: AgingGroup;
  agingFollower: MemberId;
  followerAge: number;
}

Given('three control members that know the age of their states', function (this: AgeWorld) {
  this.aging = new AgingGroup();
  const { aging } = this;
  this.agingFollower = IDS.find((id) => id !== aging.leader) ?? '';
});

When('{int} ms pass at the members that know their ages', function (this: AgeWorld, time: number) {
  this.aging.advance(time);
});

Then(
  'the age of the state is at most {int} ms at each member',
  function (this: AgeWorld, most: number) {
    IDS.forEach((id) => {
      assert.ok(this.aging.getAge(id) <= most, `${id}: ${this.aging.getAge(id)} ms`);
    });
  },
);

/** Delivers what waits for a frozen follower, and nothing that it causes. */
function sendWaiting({ aging, agingFollower }: AgeWorld): void {
  aging.frozen = undefined;
  const waiting = aging.packets.filter(({ to }) => to === agingFollower);
  aging.packets = [];
  waiting.forEach(({ from, message }) => {
    aging.handle(agingFollower, { kind: 'messageArrived', from, message });
  });
}

function stopFollower(world: AgeWorld, lag: number): void {
  const { aging, agingFollower } = world;
  aging.frozen = agingFollower;
  aging.advance(5000);
  aging.lags.set(agingFollower, lag);
  // What the leader sent in the first 200 ms is all that reached the member's buffers.
  aging.packets = aging.packets.filter(
    ({ to, dueAt }) => to !== agingFollower || dueAt < aging.now - 4800,
  );
  sendWaiting(world);
}

When(/^at a follower that knows its age (.*)$/, function (this: AgeWorld, what: string) {
  const { aging, agingFollower } = this;
  const { leader } = aging;
  switch (what.split(' ').slice(0, 2).join(' ')) {
    case 'a pause':
      stopFollower(this, 0);
      break;
    case 'a suspension':
      stopFollower(this, 5000);
      break;
    case 'a cut':
      aging.isLost = ({ from, to }) => from === leader && to === agingFollower;
      aging.advance(900);
      break;
    case 'heartbeats come':
      aging.handle(leader, { kind: 'proposed', proposal: 1, command: new Uint8Array([1]) });
      aging.isLost = ({ to, message }) =>
        to === agingFollower && message.kind === 'append' && message.entries.length > 0;
      aging.advance(900);
      break;
    case 'a restart': {
      const echoed = aging.packets.filter(({ to }) => to === agingFollower);
      aging.now += 300;
      aging.start(agingFollower);
      aging.packets = echoed;
      aging.handle(leader, { kind: 'ticked' });
      sendWaiting(this);
      break;
    }
    default:
      assert.fail(what);
  }
  this.followerAge = aging.getAge(agingFollower);
  aging.isLost = () => false;
});

Then(
  "that follower's state is at least {int} ms old, and is at most {int} ms old {int} ms later",
  function (this: AgeWorld, least: number, most: number, later: number) {
    assert.ok(this.followerAge >= least, `${this.followerAge} ms`);
    this.aging.advance(later);
    const age = this.aging.getAge(this.agingFollower);
    assert.ok(age <= most, `${age} ms later`);
  },
);

When(
  '{int} ms pass while the leader that knows its age gets no answers, but is heard by one follower',
  function (this: AgeWorld, time: number) {
    const { aging, agingFollower } = this;
    const { leader } = aging;
    aging.isLost = ({ from, to }) => to === leader || (from === leader && to !== agingFollower);
    aging.advance(time);
  },
);

Then(
  'the age of the state is at least {int} ms at the leader and at that follower',
  function (this: AgeWorld, least: number) {
    [this.aging.leader, this.agingFollower].forEach((id) => {
      assert.ok(this.aging.getAge(id) >= least, `${id}: ${this.aging.getAge(id)} ms`);
    });
  },
);
