/**
 * Measures how the work of one gateway grows with the site: the choice of an upstream, one catalog change, and the
 * share of a gateway in the rate of one cold upstream. Sizes are numbers of gateways, with 4 upstreams for each 3 of them.
 * Settings by environment: `SIZES`, a comma-separated list of numbers of gateways.
 */
import {
  applyCommand,
  emptyCatalog,
  type Catalog,
  type CatalogCommand,
  type Instance,
} from '../src/catalog/index.js';
import { computeColdRate, computeSharedInterval } from '../src/gateway/budget.js';
import { chooseUpstream, type ChoiceContext } from '../src/gateway/choose.js';
import { UpstreamRegistry } from '../src/gateway/registry.js';
import { writeReport } from './stand/report.js';

const DEFAULT_SIZES = '30,100,300,1000';
const ZONES = ['a', 'b', 'c', 'd', 'e', 'f'] as const;
const SERVICES = ['records', 'orders', 'files'] as const;
const ROUNDS = 200;

function createInstance(index: number): Instance {
  return {
    id: `upstream-${index}`,
    service: SERVICES[index % SERVICES.length] ?? SERVICES[0],
    address: `10.9.${Math.floor(index / 250)}.${index % 250}:8080`,
    zone: ZONES[index % ZONES.length] ?? ZONES[0],
    ...{ version: 'v1', slots: 6, bornAt: 1, draining: false },
  };
}

function createCatalog(upstreams: number): Catalog {
  const services = SERVICES.map((name) => ({
    ...{ name, healthPath: '/health', maxConnections: 100, coldTime: 0, coldRate: 1 },
    source: undefined,
  }));
  const table = {
    ...{ version: 1, routes: [], services, extra: {} },
    limits: { headBytes: 1, bodyBytes: 1, headTimeout: 1, idleTimeout: 1, source: undefined },
  };
  const instances = new Map(
    Array.from({ length: upstreams }, (_, index) => createInstance(index)).map((instance) => [
      instance.id,
      instance,
    ]),
  );
  return { ...emptyCatalog, table, instances };
}

const context: ChoiceContext = {
  ...{ now: 0, work: 600, timeLeft: 6000, targetTime: 1500, zone: 'a', isLarge: false },
  ...{
    justProbed: [],
    canProbe: true,
    hasConnection: () => false,
    deadlineShare: 0.8,
    random: 0.5,
  },
};

/** Returns the mean microseconds of a call. */
function measure(call: (round: number) => void): number {
  Array.from({ length: ROUNDS }, (_, round) => round).forEach(call);
  const startedAt = performance.now();
  Array.from({ length: ROUNDS }, (_, round) => round).forEach(call);
  return ((performance.now() - startedAt) * 1000) / ROUNDS;
}

interface Row {
  readonly gateways: number;
  readonly upstreams: number;
  readonly choiceMicros: number;
  readonly commandMicros: number;
  readonly updateMicros: number;
  readonly shareMicros: number;
}

function measureSize(gateways: number): Row {
  const upstreams = Math.round((gateways * 4) / 3);
  const catalog = createCatalog(upstreams);
  const registry = new UpstreamRegistry();
  registry.update(catalog);
  const usable = registry.listUsable('records', undefined);
  const createRestart = (round: number): CatalogCommand => ({
    kind: 'announce',
    instance: { ...createInstance(round % upstreams), bornAt: round + 2 },
    coldFor: 0,
  });
  const commands = Array.from({ length: 2 * ROUNDS }, (_, round) => createRestart(round));
  const ids = Array.from({ length: gateways }, (_, index) => `gateway-${index}`);
  const coldRate = computeColdRate(2, { factor: 1.5, slack: 10 });
  let state = catalog;
  const changed = commands.map((command) => (state = applyCommand(state, command).state));
  const steps = commands.map((command, round) => [changed[round] ?? catalog, command] as const);
  let updates = steps;
  return {
    gateways,
    upstreams,
    choiceMicros: measure(() => chooseUpstream(usable, context)),
    commandMicros: measure((round) => applyCommand(catalog, createRestart(round))),
    updateMicros: measure(() => {
      const [step] = updates;
      updates = updates.slice(1);
      if (step !== undefined) registry.update(step[0], [step[1]]);
    }),
    shareMicros: measure((round) =>
      computeSharedInterval(`upstream-${round}`, ids[0] ?? '', ids, coldRate),
    ),
  };
}

function formatRow({ gateways, upstreams, ...times }: Row): string {
  const cells = [times.choiceMicros, times.commandMicros, times.updateMicros, times.shareMicros];
  return `| ${gateways} | ${upstreams} | ${cells.map((micros) => micros.toFixed(0)).join(' | ')} |`;
}

/** Prints a table with a row a size. */
export function run(): Promise<void> {
  const sizes = (process.env.SIZES ?? DEFAULT_SIZES).split(',').map(Number);
  const rows = sizes.map(measureSize);
  const head = [
    '| gateways | upstreams | choice, us | command applied, us | registry updated, us | share of a rate, us |',
    '| --- | --- | --- | --- | --- | --- |',
  ];
  console.log([...head, ...rows.map(formatRow)].join('\n'));
  writeReport('scale', rows);
  return Promise.resolve();
}
