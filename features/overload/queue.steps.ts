import { Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { isWaitAllowed } from '../../src/overload/admission.js';
import {
  decideWaiting,
  emptyWaiting,
  isHeldBack,
  isShort,
  type WaitingState,
} from '../../src/overload/decide.js';
import {
  addRequest,
  countAhead,
  emptyQueue,
  findLeastUrgent,
  findNext,
  listRequests,
  removeRequest,
  type RequestQueue,
} from '../../src/overload/queue.js';
import {
  emptyTable,
  recordRefusal,
  recordReturn,
  type RepeatTable,
} from '../../src/overload/repeat.js';
import { computeRetryAfter } from '../../src/overload/retryafter.js';
import { countItems, type Tree } from '../../src/overload/tree.js';
import type { Capacity, QueuedRequest, Waiter, WaitingEffect } from '../../src/overload/types.js';
import { createRandom } from '../../bench/queueing.js';

interface QueueWorld {
  waitingQueue: RequestQueue;
  previousQueue: RequestQueue;
  previousList: readonly QueuedRequest[];
  waitingState: WaitingState;
  waitingStates: readonly WaitingState[];
  waitingEffects: readonly WaitingEffect[];
  capacity: Capacity;
  tries: number;
  repeatTable: RepeatTable;
  times: readonly { readonly rank: number; readonly time: number }[];
}

const SEED = 20261207;
const WORK = 100;

let nextId = 1;

function createWaiter(caller: string, rank: number, now: number): Waiter {
  nextId += 1;
  return {
    ...{ id: nextId, account: caller, caller, rank, work: WORK },
    ...{ arrivedAt: now, targetAt: now + 1000, deadline: now + 4000 },
  };
}

function buildQueued(id: number, random: () => number): QueuedRequest {
  const waiter = createWaiter('a', Math.floor(random() * 3), 0);
  return {
    ...{ ...waiter, id, deadline: Math.floor(random() * 50), tag: Math.floor(random() * 20) },
    ...{ queuedAt: 0, giveUpAt: Math.floor(random() * 100) },
  };
}

function listSorted(list: readonly QueuedRequest[]): readonly QueuedRequest[] {
  return [...list].sort(
    (left, right) =>
      left.rank - right.rank ||
      left.tag - right.tag ||
      left.deadline - right.deadline ||
      left.id - right.id,
  );
}

Given(
  '{int} random steps of an overload queue and of a sorted list',
  function (this: QueueWorld, steps: number) {
    const random = createRandom(SEED);
    let queue = emptyQueue;
    let list: readonly QueuedRequest[] = [];
    Array.from({ length: steps }, (_, id) => id).forEach((id) => {
      this.previousQueue = queue;
      this.previousList = list;
      const picked = list[Math.floor(random() * list.length)];
      if (picked !== undefined && random() < 0.45) {
        assert.equal(countAhead(queue, picked), list.indexOf(picked));
        queue = removeRequest(queue, picked);
        list = list.filter((one) => one !== picked);
      } else {
        const request = buildQueued(id, random);
        queue = addRequest(queue, request);
        list = listSorted([...list, request]);
      }
      assert.equal(findNext(queue), list[0]);
      assert.equal(findLeastUrgent(queue), list.at(-1));
      if (id % 50 === 0) assert.deepEqual(listRequests(queue), list);
    });
    this.waitingQueue = queue;
  },
);

Then('both hold the same requests in the same order after each step', function (this: QueueWorld) {
  const known = listRequests(this.waitingQueue);
  assert.ok(known.length > 100);
  assert.deepEqual(known, listSorted(known));
});

Then('the overload queue before the last step is unchanged', function (this: QueueWorld) {
  assert.deepEqual(listRequests(this.previousQueue), this.previousList);
});

Given('an overload queue of {int} requests', function (this: QueueWorld, count: number) {
  const random = createRandom(SEED);
  this.waitingQueue = Array.from({ length: count }, (_, id) =>
    buildQueued(id + 1, random),
  ).reduce<RequestQueue>(addRequest, emptyQueue);
});

function computeDepth<T>(tree: Tree<T>): number {
  return tree === undefined ? 0 : 1 + Math.max(computeDepth(tree.left), computeDepth(tree.right));
}

Then(
  'no request of the overload queue is more than {int} levels deep',
  function (this: QueueWorld, bound: number) {
    const { order, expiry } = this.waitingQueue;
    const depth = Math.max(computeDepth(order), computeDepth(expiry));
    assert.ok(depth <= bound, `${depth} levels`);
  },
);

Then(
  /^an overload request with (\d+) ms of work, (\d+) ms to its target and (\d+) ms left may wait for (\d+) ms: (yes|no)$/,
  function (work: string, target: string, left: string, wait: string, may: string) {
    const waiter = {
      ...{ ...createWaiter('a', 0, 0), work: Number(work) },
      ...{ targetAt: Number(target), deadline: Number(left) },
    };
    assert.equal(isWaitAllowed(waiter, Number(wait), 0), may === 'yes');
  },
);

Given(
  'an overloaded service with {int} slots a second for this gateway',
  function (this: QueueWorld, slotRate: number) {
    this.waitingState = emptyWaiting;
    // While nothing ends, half of the rate is assumed.
    this.capacity = { slotRate: slotRate * 2, freeShare: 0, isFull: true };
  },
);

function applyNoRoom(world: QueueWorld, waiter: Waiter, now: number): readonly WaitingEffect[] {
  const { capacity } = world;
  const event = { kind: 'noRoom', waiter, capacity, now, random: 0.5 } as const;
  const { state, effects } = decideWaiting(world.waitingState, event);
  world.waitingState = state;
  return effects;
}

function addUntilRefused(world: QueueWorld, rank: number): void {
  const effects = applyNoRoom(world, createWaiter('a', rank, 0), 0);
  if (effects.some(({ kind }) => kind === 'wait')) addUntilRefused(world, rank);
}

Given(
  'overload requests of rank {int} wait until the next one is refused',
  function (this: QueueWorld, rank: number) {
    addUntilRefused(this, rank);
    assert.ok(listRequests(this.waitingState.queue).length > 1);
  },
);

Given(
  'an overload request of rank 0 that is given up after {int} ms, and one of rank 1 after {int} ms',
  function (this: QueueWorld, first: number, second: number) {
    [first, second].forEach((time, rank) => {
      // The last start in target is 1.3 times the work before the target.
      const waiter = { ...createWaiter('a', rank, 0), targetAt: time + 1.3 * WORK };
      const effects = applyNoRoom(this, { ...waiter, deadline: 1e6 }, 0);
      assert.equal(effects[0]?.kind, 'wait');
    });
  },
);

When(
  'the overload timer fires after {int} ms, when no slot has come free',
  function (this: QueueWorld, now: number) {
    const { capacity } = this;
    const event = { kind: 'ticked', capacity, now, random: 0.999 } as const;
    const tickedAt = now - 10;
    this.waitingEffects = decideWaiting({ ...this.waitingState, tickedAt }, event).effects;
  },
);

When(
  '{int} overload requests of rank {int} arrive',
  function (this: QueueWorld, count: number, rank: number) {
    this.waitingEffects = Array.from({ length: count }).flatMap(() =>
      applyNoRoom(this, createWaiter('b', rank, 0), 0),
    );
    // The rate turns out to be a tenth of what it was, so that the last ones can't be served in time.
    if (rank === 0 && count < 10) {
      this.capacity = { slotRate: this.capacity.slotRate / 10, freeShare: 0, isFull: true };
      this.waitingEffects = [
        ...this.waitingEffects,
        ...applyNoRoom(this, { ...createWaiter('b', 0, 0), targetAt: 1e5, deadline: 4e5 }, 0),
      ];
    }
  },
);

Then(
  'an overload request of rank {int} is refused as {string}',
  function (this: QueueWorld, rank: number, cause: string) {
    const refusals = this.waitingEffects.filter((effect) => effect.kind === 'refuse');
    const found = refusals.map((effect) => `${effect.waiter.rank} ${effect.cause}`);
    assert.ok(found.includes(`${rank} ${cause}`), found.join(', '));
    // No request of another rank is refused for that cause.
    assert.deepEqual(
      [...new Set(found.filter((one) => one.endsWith(cause)))],
      [`${rank} ${cause}`],
    );
  },
);

Then(
  'the next overload request to be tried has rank {int}',
  function (this: QueueWorld, rank: number) {
    const { effects } = decideWaiting(this.waitingState, { kind: 'ended', now: 1 });
    const ranks = effects.map((effect) => (effect.kind === 'try' ? effect.request.rank : -1));
    assert.deepEqual(ranks, [rank]);
  },
);

Then('an overload request of rank {int} is held back', function (this: QueueWorld, rank: number) {
  const empty = listRequests(this.waitingState.queue).reduce(
    (state, request) => decideWaiting(state, { kind: 'left', request, now: 1 }).state,
    this.waitingState,
  );
  assert.ok(isHeldBack(empty, createWaiter('c', rank, 1), 1, () => true));
  assert.ok(!isHeldBack(empty, createWaiter('c', rank, 1), 1, () => false));
  assert.ok(!isHeldBack(empty, createWaiter('c', 0, 1), 1, () => true));
});

Then(
  'an overload request of rank {int} that arrives {int} ms later is not held back',
  function (this: QueueWorld, rank: number, time: number) {
    const { state } = decideWaiting(this.waitingState, {
      ...{ kind: 'ticked', capacity: this.capacity, now: time, random: 0.999 },
    });
    assert.ok(!isHeldBack(state, createWaiter('c', rank, time), time, () => true));
  },
);

Given('an overloaded service whose slots are mostly free', function (this: QueueWorld) {
  this.waitingState = emptyWaiting;
  this.capacity = { slotRate: 40, freeShare: 2.5, isFull: false };
});

When(
  'an overload request of rank {int} arrives that has no time left',
  function (this: QueueWorld, rank: number) {
    const waiter = { ...createWaiter('a', rank, 0), targetAt: WORK, deadline: WORK };
    this.waitingEffects = applyNoRoom(this, waiter, 0);
  },
);

Then('the service does not count as short of capacity', function (this: QueueWorld) {
  assert.ok(!isShort(this.waitingState, 1));
  assert.ok(!isHeldBack(this.waitingState, createWaiter('b', 3, 1), 1, () => true));
});

Given(
  '{int} gateways with one overload request each, which all see one free slot',
  function (this: QueueWorld, gateways: number) {
    this.capacity = { slotRate: 1, freeShare: 1 / gateways, isFull: true };
    this.waitingStates = Array.from({ length: gateways }, () => {
      const waiter = { ...createWaiter('a', 0, 0), targetAt: 1e5, deadline: 4e5 };
      const event = { kind: 'noRoom', waiter, capacity: this.capacity, now: 0, random: 0 } as const;
      const { state, effects } = decideWaiting(emptyWaiting, event);
      assert.equal(effects[0]?.kind, 'wait');
      return state;
    });
  },
);

When(
  'the timers of the overload queues fire for {int} ms',
  function (this: QueueWorld, time: number) {
    const random = createRandom(SEED);
    this.tries = 0;
    // Hardly any slot comes free besides the one that all of them see.
    const capacity = { ...this.capacity, slotRate: 0.02 };
    this.waitingStates.forEach((first) => {
      let state: WaitingState = { ...first, tickedAt: 0 };
      for (let now = 10 + 15 * random(); now <= time; now += 10 + 15 * random()) {
        const event = { kind: 'ticked', capacity, now, random: random() } as const;
        const next = decideWaiting(state, event);
        state = next.state;
        this.tries += next.effects.filter(({ kind }) => kind === 'try').length;
      }
    });
  },
);

Then(
  'between {int} and {int} overload requests are tried',
  function (this: QueueWorld, least: number, most: number) {
    assert.ok(this.tries >= least && this.tries <= most, `${this.tries} tried`);
  },
);

Given(
  'the overload callers {string} and {string} were refused',
  function (this: QueueWorld, first: string, second: string) {
    [first, second].forEach((caller) => {
      const waiter = { ...createWaiter(caller, 0, 0), targetAt: 1 };
      const effects = applyNoRoom(this, { ...waiter, deadline: 1000 }, 0);
      assert.equal(effects[0]?.kind, 'refuse');
    });
  },
);

When(
  '{string} returns {int} ms after its overload refusal',
  function (this: QueueWorld, caller: string, time: number) {
    const waiter = { ...createWaiter(caller, 0, time), targetAt: 1e5, deadline: 2e5 };
    assert.equal(applyNoRoom(this, waiter, time)[0]?.kind, 'wait');
  },
);

When('the overload caller {string} arrives', function (this: QueueWorld, caller: string) {
  const waiter = { ...createWaiter(caller, 0, 300), targetAt: 1e5, deadline: 3e5 };
  assert.equal(applyNoRoom(this, waiter, 300)[0]?.kind, 'wait');
});

function getPlace({ waitingState }: QueueWorld, caller: string): number {
  const place = listRequests(waitingState.queue).findIndex((one) => one.caller === caller);
  assert.ok(place >= 0);
  return place;
}

Then(
  /^the overload request of "(\w+)" comes (before|after) that of "(\w+)"$/,
  function (this: QueueWorld, one: string, side: string, other: string) {
    const isBefore = getPlace(this, one) < getPlace(this, other);
    assert.equal(isBefore, side === 'before');
  },
);

Given('{int} overload callers that were refused', function (this: QueueWorld, count: number) {
  this.repeatTable = Array.from({ length: count }, (_, index) => index).reduce(
    (table, index) => recordRefusal(table, `caller-${index}`, 100, index / 1000),
    emptyTable,
  );
});

Then('the overload table holds at most {int} callers', function (this: QueueWorld, bound: number) {
  const { recent, older } = this.repeatTable;
  const size = countItems(recent) + countItems(older);
  assert.ok(size <= bound && size > 0, `${size} callers`);
});

Then(
  'after {int} ms none of them is known to the overload table',
  function (this: QueueWorld, time: number) {
    const later = recordRefusal(this.repeatTable, 'other', 100, 50 + time);
    const turned = recordRefusal(later, 'other', 100, 50 + 2 * time);
    assert.equal(countItems(turned.recent) + countItems(turned.older), 1);
    assert.equal(recordReturn(turned, 'caller-49999', 50 + 2 * time).early, 0);
  },
);

Given('{int} overload callers refused at one instant', function (this: QueueWorld, count: number) {
  const random = createRandom(SEED);
  this.times = Array.from({ length: count }, (_, index) => {
    const rank = index % 2;
    const time = computeRetryAfter({ wait: 150, timeLeft: 900, rank, random: random() });
    return { rank, time };
  });
});

Then('each is told at most a third of its time', function (this: QueueWorld) {
  this.times.forEach(({ time }) => {
    assert.ok(time > 0 && time <= 300, `${time} ms`);
  });
  const random = createRandom(SEED);
  Array.from({ length: 2000 }).forEach(() => {
    const timeLeft = random() * 5000;
    const rank = Math.floor(random() * 9);
    const time = computeRetryAfter({ wait: random() * 9000, timeLeft, rank, random: random() });
    assert.ok(time <= timeLeft / 3, `${time} of ${timeLeft} ms`);
  });
});

Then('the urgent ones are told less than the others on average', function (this: QueueWorld) {
  const [urgent = 0, other = 0] = [0, 1].map((rank) => {
    const own = this.times.filter((one) => one.rank === rank);
    return own.reduce((sum, { time }) => sum + time, 0) / own.length;
  });
  assert.ok(urgent < other * 0.8, `${urgent} and ${other} ms`);
});

Then(
  'no overload interval of {int} ms gets more than a quarter of them',
  function (this: QueueWorld, width: number) {
    const counts = this.times.map(
      ({ time: from }) =>
        this.times.filter(({ time }) => time >= from && time < from + width).length,
    );
    assert.ok(Math.max(...counts) <= this.times.length / 4, `${Math.max(...counts)} return`);
  },
);
