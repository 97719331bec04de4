/**
 * Runs one gateway as a process of its own for the bench `gateway`, and reports what it spent. Invariant: it
 * does nothing besides the gateway's work but answer the parent's questions.
 */
import { Session, type Profiler } from 'node:inspector';
import { openGateway, type HeaderDialect } from '../../src/gateway/index.js';
import { applyLogLevel } from '../../src/telemetry/index.js';
import { createMesh } from '../../src/wire/index.js';

/** Addresses and sizes that the parent passes on the command line, as JSON. */
export interface VmOptions {
  readonly id: string;
  readonly zone: string;
  readonly capacity: number;
  readonly callerListen: string;
  readonly peerListen: string;
  readonly seeds: readonly string[];
  readonly secret: string;
}

/** A question of the parent: `mark` asks for what was spent since the last one. */
export interface VmQuestion {
  readonly kind: 'mark';
}

/** Time spent in one function and in what it calls, in milliseconds. */
export interface FunctionTime {
  readonly name: string;
  readonly own: number;
  readonly total: number;
}

/** What the process spent since the last question. */
export interface VmSpending {
  readonly cpuMs: number;
  readonly residentMb: number;
  readonly heapMb: number;
  readonly openedConnections: number;
  readonly functions: readonly FunctionTime[];
}

/** Names of header fields of the stand. */
export const standDialect: HeaderDialect = {
  requestId: 'stand-request',
  deadline: 'stand-deadline',
  expectInstance: 'stand-instance',
  notRun: 'stand-not-run',
  load: 'stand-load',
  coldFor: 'stand-cold',
  limit: 'stand-limit',
  leaving: 'stand-leaving',
  authorization: 'authorization',
  tenant: 'stand-tenant',
  parseLoad: (text) => {
    const [running = 0, waiting = 0, slots = 1, pace = 100] = text.split(',').map(Number);
    return { running, waiting, slots, pace: pace / 100 };
  },
};

const SAMPLING_INTERVAL = 200;

function formatNode({ callFrame }: Profiler.ProfileNode): string {
  const file = callFrame.url.split('/').slice(-2).join('/');
  return `${callFrame.functionName || 'anonymous'} ${file}:${callFrame.lineNumber + 1}`;
}

/** Sums the samples of a profile by function; a recursive function counts once for each sample. */
export function sumProfile(profile: Profiler.Profile): readonly FunctionTime[] {
  const nodes = new Map(profile.nodes.map((node) => [node.id, node]));
  const parents = new Map(
    profile.nodes.flatMap((node) =>
      (node.children ?? []).map((child) => [child, node.id] as const),
    ),
  );
  const own = new Map<number, number>();
  profile.samples?.forEach((id, index) => {
    own.set(id, (own.get(id) ?? 0) + (profile.timeDeltas?.[index] ?? 0) / 1000);
  });
  const times = new Map<string, { own: number; total: number }>();
  own.forEach((time, id) => {
    const seen = new Set<string>();
    let current: number | undefined = id;
    while (current !== undefined) {
      const node = nodes.get(current);
      const name = node === undefined ? '?' : formatNode(node);
      const known = times.get(name) ?? { own: 0, total: 0 };
      times.set(name, known);
      if (current === id) known.own += time;
      if (!seen.has(name)) known.total += time;
      seen.add(name);
      current = parents.get(current);
    }
  });
  return [...times].map(([name, time]) => ({ name, ...time }));
}

async function startVm(options: VmOptions): Promise<void> {
  applyLogLevel('warn');
  const mesh = await createMesh({ address: options.peerListen, secret: options.secret });
  const { id, zone, capacity, callerListen, seeds } = options;
  const gateway = await openGateway({
    ...{ id, zone, capacity, callerListen, mesh, seeds, dialect: standDialect },
    ...{ probeInterval: 150, probeRate: 60, stopTime: 2000, memory: 250 },
    retryBounds: { ratio: 0.2, slack: 440 },
    coldBounds: { factor: 1.5, slack: 10 },
    recordCall: () => undefined,
  });
  const session = new Session();
  const isProfiling = process.env.PROFILE === '1';
  session.connect();
  if (isProfiling) {
    session.post('Profiler.enable');
    session.post('Profiler.setSamplingInterval', { interval: SAMPLING_INTERVAL });
    session.post('Profiler.start');
  }
  let last = { user: 0, system: 0 };
  const answer = (functions: readonly FunctionTime[]): void => {
    const { user, system } = process.cpuUsage();
    const { rss, heapUsed } = process.memoryUsage();
    const spending: VmSpending = {
      cpuMs: (user + system - last.user - last.system) / 1000,
      residentMb: rss / 2 ** 20,
      heapMb: heapUsed / 2 ** 20,
      openedConnections: gateway.connections.opened,
      functions,
    };
    last = { user, system };
    process.send?.(spending);
  };
  process.on('message', () => {
    if (!isProfiling) {
      answer([]);
      return;
    }
    session.post('Profiler.stop', (_, result: Profiler.StopReturnType | undefined) => {
      answer(result === undefined ? [] : sumProfile(result.profile));
      last = process.cpuUsage();
      session.post('Profiler.start');
    });
  });
}

const [, , text] = process.argv;
if (process.send !== undefined && text !== undefined) {
  await startVm(JSON.parse(text) as VmOptions);
}
