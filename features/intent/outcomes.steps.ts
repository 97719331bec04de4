import { Given, Then, When, type DataTable } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { isDeepStrictEqual } from 'node:util';
import fc from 'fast-check';
import {
  applyCommand,
  buildConfig,
  createIntentMachine,
  findOutcome,
  getStatus,
  initialIntent,
  listLog,
  type Command,
  type IntentState,
  type Outcome,
} from '../../src/intent/index.js';
import type { SnapshotWorld } from '../support/snapshot.js';

interface IntentWorld extends SnapshotWorld {
  state: IntentState;
  ids: readonly string[];
  outcomes: readonly Outcome[];
  first: Command | undefined;
  failure: string | undefined;
}

/** Builds a command from space-separated fields such as `zone=a` or `label=service=seam`. */
function parseCommand(kind: string, words: string, common: object): Command {
  const pairs = words.split(' ').map((word): readonly [string, string] => {
    const separator = word.indexOf('=');
    return [word.slice(0, separator), word.slice(separator + 1)];
  });
  const fields: Record<string, unknown> = Object.fromEntries(
    pairs.map(([key, value]) => [key, /^[\d.]+$/.test(value) ? Number(value) : value]),
  );
  const { service, label, entry } = fields as Record<string, string | undefined>;
  if (label !== undefined) {
    fields.selector = { match: Object.fromEntries([label.split('=')]) as Record<string, string> };
  }
  if (kind === 'startMove') {
    fields.selector = { match: { service: service ?? 'none' } };
    fields.services = service === undefined ? [] : [service];
  }
  if (kind === 'joinEntry') fields.entry = buildEntry(entry ?? '', Number(fields.incarnation));
  if (/^(step|finish|takeBack)Move$/.test(kind)) fields.evidence = 'none';
  if (kind === 'stepMove') fields.late = false;
  return { kind, ...common, ...fields } as Command;
}

function buildEntry(id: string, incarnation: number): object {
  const digit = Number(id.slice(1));
  return {
    id,
    zone: 'cyberjaya',
    peerAddress: `127.0.0.1:740${digit}`,
    callerAddress: `127.0.0.1:800${digit}`,
    incarnation,
  };
}

Given('an intent log', function (this: IntentWorld, table: DataTable) {
  this.state = initialIntent;
  const rows = table.hashes();
  this.ids = [...new Set(rows.map((row) => row.id ?? ''))];
  this.outcomes = rows.map((row, index) => {
    const expected = row.expects ?? '';
    const command = parseCommand(row.kind ?? '', row.with ?? '', {
      id: row.id,
      operator: row.id?.startsWith('b') === true ? 'boon' : 'amina',
      issuedAt: 1000 + index,
      ...(expected === '' ? {} : { expectedRevision: Number(expected) }),
    });
    const applied = applyCommand(this.state, command, index + 1);
    this.state = applied.state;
    return applied.outcome;
  });
});

Then(
  'the intent outcomes, statuses, log and configuration are as recorded',
  function (this: IntentWorld) {
    this.matchSnapshot(this.outcomes, 'outcomes');
    this.matchSnapshot(
      this.ids.map((id) => getStatus(this.state, id)),
      'statuses',
    );
    this.matchSnapshot(listLog(this.state, 0, 2000), 'log');
    this.matchSnapshot(buildConfig(this.state), 'configuration');
  },
);

const zoneArbitrary = fc.constantFrom('zone=a', 'zone=b');
const stepArbitrary = fc
  .tuple(fc.constantFrom('m1', 'm2', 'm3'), fc.integer({ min: 0, max: 4 }), fc.constantFrom(0.1, 1))
  .map(([moveId, at, share]) => `moveId=${moveId} step=${at} share=${share}`);
const memberArbitrary = fc
  .tuple(fc.constantFrom('e1', 'e2', 'e3'), fc.integer({ min: 1, max: 3 }))
  .map(([id, incarnation]) => `entryId=${id} entry=${id} incarnation=${incarnation}`);
const words = fc.oneof(
  fc.tuple(fc.constantFrom('zoneOut', 'zoneIn'), zoneArbitrary),
  fc.tuple(fc.constantFrom('upstreamsLeave', 'upstreamsStay'), fc.constant('label=service=seam')),
  fc.tuple(fc.constant('startMove'), fc.constant('service=seam version=v2 deadline=9999999')),
  fc.tuple(fc.constantFrom('stepMove', 'finishMove', 'takeBackMove', 'cancelMove'), stepArbitrary),
  fc.tuple(
    fc.constantFrom('joinEntry', 'activateEntry', 'leaveEntry', 'lapseEntry'),
    memberArbitrary,
  ),
  fc.tuple(
    fc.constant('confirmInForce'),
    fc.integer({ min: 0, max: 9 }).map((revision) => `revision=${revision}`),
  ),
);
const commandsArbitrary = fc.array(
  fc.record({
    words,
    id: fc.oneof(
      fc.constantFrom('m1', 'm2', 'm3'),
      fc.integer({ max: 60, min: 0 }).map((n) => `c${n}`),
    ),
    expects: fc.option(fc.integer({ min: 0, max: 10 }), { nil: undefined }),
    restart: fc.boolean(),
  }),
  { minLength: 1, maxLength: 120 },
);

When(
  'seeded random commands are applied to two intent members, one of which restarts from snapshots',
  function (this: IntentWorld) {
    const machine = createIntentMachine();
    const property = fc.property(commandsArbitrary, (operations) => {
      const firstOutcomes = new Map<string, { readonly text: string; readonly outcome: Outcome }>();
      operations.reduce<readonly [IntentState, IntentState]>(
        ([one, two], { words: [kind, text], id, expects, restart }, at) => {
          const command = parseCommand(kind, text, {
            id,
            operator: 'amina',
            issuedAt: 1000 + at,
            ...(expects === undefined ? {} : { expectedRevision: expects }),
          });
          const left = machine.apply(one, command, at + 1);
          const right = machine.apply(two, command, at + 1);
          assert.deepEqual(left, right);
          const first = firstOutcomes.get(id);
          if (first?.text === kind + text) assert.deepEqual(left.result, first.outcome);
          if (first === undefined)
            firstOutcomes.set(id, { text: kind + text, outcome: left.result });
          if (!isDeepStrictEqual(buildConfig(one), buildConfig(left.state))) {
            assert.equal(left.state.revision, one.revision + 1);
          }
          const state = restart ? machine.decode(machine.encode(right.state)) : right.state;
          return [left.state, state] as const;
        },
        [machine.initial, machine.initial],
      );
    });
    const run = fc.check(property, { seed: 7, numRuns: Number(process.env.SEEDS ?? 200) });
    this.failure = run.failed ? fc.defaultReportMessage(run) : undefined;
  },
);

Then(
  'both intent members return equal results and states, and every retry gets its first outcome',
  function (this: IntentWorld) {
    assert.equal(this.failure, undefined);
  },
);

When('{int} zone commands are applied to intent', function (this: IntentWorld, count: number) {
  const list = Array.from({ length: count }, (_, index) =>
    parseCommand(index % 2 === 0 ? 'zoneOut' : 'zoneIn', 'zone=a', {
      id: `c${index}`,
      operator: 'amina',
      issuedAt: index + 1,
    }),
  );
  this.first = list[0];
  this.state = list.reduce(
    (state, command, at) => applyCommand(state, command, at + 1).state,
    initialIntent,
  );
});

Then('the first of them is refused as too old when it is retried', function (this: IntentWorld) {
  const { first } = this;
  assert.ok(first !== undefined);
  const { outcome } = applyCommand(this.state, first, 10_000);
  assert.equal(outcome.kind === 'refused' && outcome.reason, 'tooOld');
});

Then('the last {int} intent outcomes are retained', function (this: IntentWorld, count: number) {
  const ids = Array.from({ length: count }, (_, index) => `c${5999 - index}`);
  assert.ok(ids.every((id) => findOutcome(this.state, id) !== undefined));
  assert.equal(findOutcome(this.state, 'c0'), undefined);
});
