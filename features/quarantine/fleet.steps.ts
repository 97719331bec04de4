import { Then, When, type World } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { runFleet, type FleetOptions, type FleetResult } from './fleet.js';

interface FleetWorld extends World {
  results: readonly FleetResult[];
}

const CALM: Omit<FleetOptions, 'seed'> = {
  ...{ gateways: 16, upstreams: 15, duration: 15_000, killers: [] },
  ...{ otherRate: 40, pollers: 10, loss: 0.02 },
};

/** Reads faults such as `killers 4 4, together, herdCount 13, herdGap 150`. */
function parseFaults(text: string): Partial<FleetOptions> {
  const words = text.split(', ').map((fault) => fault.split(' '));
  const values = new Map(words.map(([name = '', ...rest]) => [name, rest.map(Number)]));
  const read = (name: string): number | undefined => values.get(name)?.[0];
  const numbers = ['gateways', 'upstreams', 'loss', 'flapping', 'restartGap'].flatMap((name) => {
    const value = read(name);
    return value === undefined ? [] : [[name, value] as const];
  });
  const count = read('herdCount');
  return {
    ...(Object.fromEntries(numbers) as Partial<FleetOptions>),
    killers: values.get('killers') ?? [],
    areKillersTogether: values.has('together'),
    ...(count === undefined ? {} : { herd: { count, gap: read('herdGap') ?? 0 } }),
  };
}

When(
  /^fleets with (.*) run with (\d+) seeds$/,
  { timeout: 60_000 },
  function (this: FleetWorld, faults: string, seeds: string) {
    const first = Number(process.env.SEED ?? 1);
    this.results = Array.from({ length: Number(process.env.SEEDS ?? seeds) }, (_, index) =>
      runFleet({ ...CALM, ...parseFaults(faults), seed: first + index }),
    );
  },
);

Then(
  'each request that crashes upstreams ended at most {int} of them, and at most {int} of its sendings came later than 3 s after the third',
  function (this: FleetWorld, mostEnded: number, mostLate: number) {
    this.results.forEach(({ ended, late }, index) => {
      const text = `seed ${index + 1}: ended ${ended.join(' ')}, late ${late.join(' ')}`;
      assert.ok(Math.max(0, ...ended) <= mostEnded && Math.max(0, ...late) <= mostLate, text);
    });
  },
);

Then(
  'at most {int} in 1000 requests that crash nothing were refused',
  function (this: FleetWorld, most: number) {
    const refused = this.results.reduce((sum, result) => sum + result.refused, 0);
    const sent = this.results.reduce((sum, result) => sum + result.sent, 0);
    assert.ok(refused * 1000 <= sent * most, `${refused} of ${sent}`);
  },
);
