import { Then } from '@cucumber/cucumber';
import { TRPCError } from '@trpc/server';
import assert from 'node:assert/strict';
import { createOperatorsRouter } from '../../src/operators/router.js';
import { CommandError, parseCommand } from '../../src/operators/validate.js';

const NOW = 1_780_000_000_000;

type Json = Readonly<Record<string, unknown>>;

const common = { id: 'c-1', operator: 'aina', issuedAt: NOW };
const selector = { match: { service: 'records' } };
const commands: readonly Json[] = [
  { kind: 'zoneOut', ...common, zone: 'cyberjaya' },
  { kind: 'zoneIn', ...common, zone: 'cyberjaya' },
  { kind: 'upstreamsLeave', ...common, selector },
  { kind: 'upstreamsStay', ...common, selector },
  { kind: 'startMove', ...common, selector, services: [], version: 'v2', deadline: NOW + 1000 },
  { kind: 'cancelMove', ...common, moveId: 'm-1' },
];

/** Values of every kind; a field refuses all that aren't of its own. */
const oddValues: readonly unknown[] = [undefined, null, true, 4.5, 'Odd value', [4], { odd: 1 }];

function getKind(value: unknown): string {
  return Array.isArray(value) ? 'list' : typeof value;
}

function listChanges(message: Json): readonly (readonly [key: string, changed: Json])[] {
  return Object.entries(message).flatMap(([key, value]) =>
    oddValues
      .filter((odd) => getKind(odd) !== getKind(value))
      .map((odd) => [key, { ...message, [key]: odd }] as const),
  );
}

/** Returns the message of a refusal, or undefined if a command is accepted. */
function findRefusal(command: Json): string | undefined {
  try {
    parseCommand(JSON.parse(JSON.stringify(command)), NOW);
    return undefined;
  } catch (error) {
    assert.ok(error instanceof CommandError);
    return error.message;
  }
}

Then("each operators' command with all fields is accepted", () => {
  assert.deepEqual(
    commands.map(findRefusal),
    commands.map(() => undefined),
  );
});

Then(
  "each field of each operators' command that is dropped, null or of another kind is refused by its name",
  () => {
    const misses = commands.flatMap((command) =>
      listChanges(command).flatMap(([key, changed]) => {
        const refusal = findRefusal(changed);
        return refusal?.includes(key) === true
          ? []
          : [`${JSON.stringify(changed)}: ${refusal ?? 'accepted'}`];
      }),
    );
    assert.deepEqual(misses, []);
  },
);

Then(
  "each field of an operators' call that is dropped, null or of another kind is refused by its name",
  async () => {
    // A call that is refused asks neither of these.
    const router = createOperatorsRouter({
      ...{ control: undefined as never, distribution: undefined as never },
      ...{ operatorAddresses: {}, listUpstreams: () => [], wallNow: () => NOW },
    });
    const caller = router.createCaller({ isAuthenticated: true });
    const calls: readonly (readonly [(input: unknown) => Promise<unknown>, Json])[] = [
      [(input) => caller.ask(input as never), { id: 'c-1', deadlineMs: 5 }],
      [(input) => caller.show(input as never), { deadlineMs: 5 }],
      [(input) => caller.log(input as never), { since: 0, until: 1, deadlineMs: 5 }],
      [(input) => caller.changeMembers(input as never), { kind: 'add', address: '127.0.0.1:7400' }],
      [(input) => caller.submit(input as never), { command: commands[0], deadlineMs: 5 }],
    ];
    const misses = await Promise.all(
      calls.flatMap(([call, message]) =>
        listChanges(message).map(async ([key, changed]) => {
          const error: unknown = await call(changed).then(
            () => undefined,
            (refusal: unknown) => refusal,
          );
          const isNamed =
            error instanceof TRPCError &&
            error.code === 'BAD_REQUEST' &&
            (error.message.includes(key) || key === 'command');
          return isNamed ? [] : [`${JSON.stringify(changed)}: ${String(error)}`];
        }),
      ),
    );
    assert.deepEqual(misses.flat(), []);
  },
);
