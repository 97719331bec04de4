/**
 * Plays orders of the events of upstreams on a leading steward whose commands are applied at once. Invariant: what a
 * start did is taken from the events alone, never from the steward or its catalog.
 */
import { Given, Then } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { applyCommand, emptyCatalog, type CatalogCommand } from '../../src/catalog/index.js';
import type { ControlNode } from '../../src/control/index.js';
import type { Catalog } from '../../src/catalog/index.js';
import { createSteward, type Steward } from '../../src/steward/index.js';
import { createControl } from '../support/control.js';

/** Milliseconds between two events; far more than clocks differ. */
const STEP_TIME = 60_000;

/** A start of an upstream. `first` is the number of the earliest event at which it runs. */
interface Start {
  readonly name: 'A' | 'B' | 'C';
  readonly id: string;
  readonly first: number;
}

/** B is a restart of A; C has another id, and gets the address once both have ended. */
const starts: readonly Start[] = [
  { name: 'A', id: 'one', first: 0 },
  { name: 'B', id: 'one', first: 1 },
  { name: 'C', id: 'two', first: 2 },
];

type OrderEvent =
  | { readonly kind: 'ready' | 'draining' | 'left' | 'leftUnnamed'; readonly start: Start }
  /** The leader removes an id from which it hears nothing. */
  | { readonly kind: 'silent'; readonly id: string }
  | { readonly kind: 'newLeader' };

const events: readonly OrderEvent[] = [
  ...starts.flatMap((start) =>
    (['ready', 'draining', 'left', 'leftUnnamed'] as const).map((kind) => ({ kind, start })),
  ),
  { kind: 'silent', id: 'one' },
  { kind: 'newLeader' },
];

function getBornAt({ first }: Start): number {
  return (first + 1) * STEP_TIME - STEP_TIME / 2;
}

function getTime(step: number): number {
  return (step + 1) * STEP_TIME;
}

/** Whether an event can arrive at this step. A message may be late, but a leave that names no start is the latest one's. */
function isPossible(event: OrderEvent, step: number): boolean {
  if (!('start' in event)) return true;
  const { start, kind } = event;
  if (kind !== 'leftUnnamed') return step >= start.first;
  const latest = starts.filter(({ id, first }) => id === start.id && first <= step).at(-1);
  return latest === start;
}

function describeOrder(order: readonly OrderEvent[]): string {
  return order
    .map((event) => ('start' in event ? `${event.start.name} ${event.kind}` : event.kind))
    .join(', ');
}

/** A leading member that applies each command when it is proposed. */
function createApplyingControl(): ControlNode<Catalog> {
  let applied = emptyCatalog;
  const stub = createControl({ role: 'leader' });
  return {
    ...stub,
    get applied() {
      return applied;
    },
    propose: (command) => {
      const { state, outcome } = applyCommand(applied, command as CatalogCommand);
      applied = state;
      return Promise.resolve({ kind: 'committed', index: 1, result: outcome });
    },
    readCurrent: () => Promise.resolve({ kind: 'current', state: applied, index: 1 }),
  };
}

function openSteward(control: ControlNode<Catalog>, getNow: () => number): Steward {
  return createSteward({
    ...{ control, findLeader: () => undefined, announceInterval: 1500 },
    ...{ now: getNow, wallNow: getNow },
  });
}

async function runEvent(
  event: OrderEvent,
  step: number,
  steward: Steward,
  { applied }: ControlNode<Catalog>,
): Promise<void> {
  switch (event.kind) {
    case 'ready':
    case 'draining': {
      const { start, kind } = event;
      const outcome = await steward.announce({
        instance: {
          ...{ id: start.id, service: 'records', address: '10.0.1.4:80', zone: 'cyberjaya' },
          ...{ version: 'v1', slots: 6, bornAt: getBornAt(start), draining: kind === 'draining' },
        },
        ...{ coldFor: 0, sequence: kind === 'ready' ? step : 1000 + step },
      });
      assert.equal(outcome.kind, 'done');
      return;
    }
    case 'left':
    case 'leftUnnamed': {
      const bornAt = event.kind === 'left' ? getBornAt(event.start) : undefined;
      assert.equal((await steward.end(event.start.id, bornAt, 'left')).kind, 'done');
      return;
    }
    case 'silent': {
      const known = applied.instances.get(event.id);
      if (known !== undefined) await steward.end(event.id, known.bornAt, 'silent');
      return;
    }
    case 'newLeader':
      return;
  }
}

/** Plays an order, and returns what was wrong after one of its events. */
async function findWrong(order: readonly OrderEvent[]): Promise<string | undefined> {
  const control = createApplyingControl();
  const gone = new Set<Start>();
  const seen = new Set<Start>();
  const state = { step: 0, wrong: undefined as string | undefined };
  let steward = openSteward(control, () => getTime(state.step));
  const play = async (event: OrderEvent): Promise<void> => {
    if (event.kind === 'newLeader') {
      steward.close();
      steward = openSteward(control, () => getTime(state.step));
    }
    await runEvent(event, state.step, steward, control);
    if ('start' in event) {
      seen.add(event.start);
      if (event.kind !== 'ready') gone.add(event.start);
    }
    const ready = [...control.applied.instances.values()].filter(({ draining }) => !draining);
    const isReady = (start: Start): boolean =>
      ready.some(({ id, bornAt }) => id === start.id && bornAt === getBornAt(start));
    const [back] = [...gone].filter(isReady);
    const newest = starts.filter((start) => seen.has(start)).at(-1);
    const isMissing =
      event.kind === 'ready' && event.start === newest && !gone.has(newest) && !isReady(newest);
    if (back !== undefined) state.wrong ??= `${back.name} is ready again`;
    if (isMissing) state.wrong ??= `${newest.name} is not ready`;
    state.step += 1;
  };
  await order.reduce((before, event) => before.then(() => play(event)), Promise.resolve());
  steward.close();
  return state.wrong === undefined ? undefined : `${describeOrder(order)}: ${state.wrong}`;
}

function listOrders(length: number): readonly (readonly OrderEvent[])[] {
  return Array.from({ length }).reduce<readonly (readonly OrderEvent[])[]>(
    (orders, _, step) =>
      orders.flatMap((order) =>
        events.filter((event) => isPossible(event, step)).map((event) => [...order, event]),
      ),
    [[]],
  );
}

function generateOrder(seed: number, length: number): readonly OrderEvent[] {
  const random = xoroshiro128plus(seed);
  return Array.from({ length }, (_, step) => {
    const possible = events.filter((event) => isPossible(event, step));
    const event = possible[uniformInt(random, 0, possible.length - 1)];
    assert.ok(event !== undefined);
    return event;
  });
}

interface DeparturesWorld {
  departureOrders: readonly (readonly OrderEvent[])[];
}

Given(
  'all orders of {int} events of three starts, two of them with the same id and all at one address',
  function (this: DeparturesWorld, length: number) {
    this.departureOrders = listOrders(length);
  },
);

Given(
  '{int} random orders of {int} events of these starts',
  function (this: DeparturesWorld, count: number, length: number) {
    this.departureOrders = Array.from({ length: count }, (_, seed) => generateOrder(seed, length));
  },
);

Then(
  'in each order no start that was acknowledged as draining or gone is ready, and the newest other one is',
  async function (this: DeparturesWorld) {
    const wrong: string[] = [];
    await this.departureOrders.reduce(
      (before, order) =>
        before.then(async () => {
          const found = await findWrong(order);
          if (found !== undefined) wrong.push(found);
        }),
      Promise.resolve(),
    );
    const shown = wrong.slice(0, 10).join('\n');
    assert.equal(wrong.length, 0, `${wrong.length} of ${this.departureOrders.length}:\n${shown}`);
  },
);
