/**
 * Runs a small site on loopback for the quick start, the benchmarks and the feature tests. Every control, entry and
 * upstream is a process of its own.
 * Invariant: `stop` ends every process that the site started, each through its own handle.
 */
import { execFile, spawn, type ChildProcess } from 'node:child_process';
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, type AddressInfo, type Server } from 'node:net';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { defaultTestUpstream, type TestUpstreamOptions } from './upstream.js';

/** Options of {@link startSite}. */
export interface SiteOptions {
  /** Number of control processes. */
  readonly controls: number;
  /** The zone of each entry; one entry is started for each element. */
  readonly entryZones: readonly string[];
  readonly upstreams: readonly Partial<TestUpstreamOptions>[];
  /** Additional lines for sections of the settings files, by section name. */
  readonly settings?: Readonly<Record<string, readonly string[]>>;
  /** Flags of node for the control processes and entries. */
  readonly nodeFlags?: readonly string[];
}

/** A process of a site. */
export interface SiteProcess {
  readonly id: string;
  readonly role: 'control' | 'entry' | 'upstream';
  readonly zone: string;
  /** Listen addresses by listener: `peer`, `caller`, `upstream`, `operator` or `platform`. */
  readonly addresses: Readonly<Record<string, string>>;
  child: ChildProcess;
  /** The last 100,000 characters of standard output and standard error. */
  output: string;
}

/** A running site. */
export interface Site {
  /** Temporary folder that holds the settings files and the data folders. */
  readonly folder: string;
  readonly processes: readonly SiteProcess[];
  /** Returns the process with this id, or throws if there is none. */
  find(id: string): SiteProcess;
  /** Restarts a stopped process with the same settings and waits until it is ready. */
  restart(id: string): Promise<void>;
  /** Restarts a stopped control process with an empty data folder and `join = true`, and waits until it is ready. */
  replaceDisk(id: string): Promise<void>;
  /** Starts another upstream that announces itself to the entries, and waits until it listens. */
  addUpstream(options: Partial<TestUpstreamOptions>): Promise<SiteProcess>;
  /** Sends a signal to a process and waits until it has exited. */
  end(id: string, signal: NodeJS.Signals): Promise<void>;
  /** Arguments that connect the operator CLI to this site. */
  readonly cliArguments: readonly string[];
  /** Kills every process and removes the folder. */
  stop(): Promise<void>;
}

const SECRET = 'a secret for loopback only';
const OPERATOR_TOKEN = 'operator token for loopback';
const UPSTREAM_TOKEN = 'upstream token for loopback';
const PROCESS_TIMEOUT_MS = 20_000;
const POLL_INTERVAL_MS = 50;
const BUILD_ROOT = resolve(import.meta.dirname, '..', '..');

function isBuilt(): boolean {
  return import.meta.filename.endsWith('.js');
}

/** Returns the path of a compiled program, also when this file runs from its TypeScript source. */
function getProgramPath(path: string): string {
  return isBuilt() ? join(BUILD_ROOT, path) : join(BUILD_ROOT, 'dist', path);
}

function openServer(): Promise<Server> {
  return new Promise((done, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, '127.0.0.1', () => {
      done(server);
    });
  });
}

/**
 * Returns distinct free loopback addresses. Their ports are released before the function returns, so another process can
 * take one.
 */
export async function findFreeAddresses(count: number): Promise<readonly string[]> {
  const servers = await Promise.all(Array.from({ length: count }, openServer));
  const found = servers.map((server) => `127.0.0.1:${(server.address() as AddressInfo).port}`);
  await Promise.all(servers.map((server) => new Promise((done) => server.close(done))));
  return found;
}

/** Polls until the check returns true; throws an error with the message after the timeout. */
export async function waitUntil(
  check: () => boolean | Promise<boolean>,
  timeoutMs: number,
  message: () => string,
): Promise<void> {
  const deadline = performance.now() + timeoutMs;
  while (!(await check())) {
    if (performance.now() > deadline)
      throw new Error(`condition not met within ${timeoutMs} ms: ${message()}`);
    await new Promise((done) => setTimeout(done, POLL_INTERVAL_MS));
  }
}

async function isReady(address: string): Promise<boolean> {
  try {
    const answer = await fetch(`http://${address}/ready`);
    await answer.text();
    return answer.ok;
  } catch {
    return false;
  }
}

function startChild(
  process: Omit<SiteProcess, 'child' | 'output'>,
  program: string,
  argument: string,
  nodeFlags: readonly string[] = [],
): SiteProcess {
  const words = [...nodeFlags, getProgramPath(program), argument];
  const child = spawn(globalThis.process.execPath, words, {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  const started: SiteProcess = { ...process, child, output: '' };
  const appendOutput = (chunk: Buffer): void => {
    started.output = (started.output + chunk.toString()).slice(-100_000);
  };
  child.stdout.on('data', appendOutput);
  child.stderr.on('data', appendOutput);
  return started;
}

function hasExited(child: ChildProcess): boolean {
  return child.exitCode !== null || child.signalCode !== null;
}

interface DaemonPlan {
  readonly id: string;
  readonly role: 'control' | 'entry';
  readonly zone: string;
  readonly addresses: Readonly<Record<string, string>>;
}

function renderSettings(
  plan: DaemonPlan,
  all: readonly DaemonPlan[],
  options: SiteOptions,
  folder: string,
): string {
  const extra = (section: string): readonly string[] => options.settings?.[section] ?? [];
  const peers = (role: string): string =>
    all
      .filter((one) => one.role === role)
      .map((one) => one.addresses.peer)
      .join(', ');
  const control = [
    `members = ${peers('control')}`,
    ...(plan.role === 'control'
      ? [
          `data_folder = ${join(folder, plan.id)}`,
          `operator_listen = ${plan.addresses.operator ?? ''}`,
        ]
      : []),
  ];
  const entry =
    plan.role === 'entry'
      ? [
          '[entry]',
          `caller_listen = ${plan.addresses.caller ?? ''}`,
          `upstream_listen = ${plan.addresses.upstream ?? ''}`,
          `seeds = ${peers('entry')}`,
          ...extra('entry'),
        ]
      : [];
  return [
    '[site]',
    'name = loopback',
    `secret = ${SECRET}`,
    `operator_token = ${OPERATOR_TOKEN}`,
    `upstream_token = ${UPSTREAM_TOKEN}`,
    '[process]',
    `id = ${plan.id}`,
    `zone = ${plan.zone}`,
    `roles = ${plan.role}`,
    '[peer]',
    `listen = ${plan.addresses.peer ?? ''}`,
    '[platform]',
    `listen = ${plan.addresses.platform ?? ''}`,
    '[control]',
    ...control,
    ...extra('control'),
    ...entry,
    '[telemetry]',
    ...extra('telemetry'),
    '[limits]',
    ...extra('limits'),
  ].join('\n');
}

function withControlLines(options: SiteOptions, lines: readonly string[]): SiteOptions {
  const control = [...(options.settings?.control ?? []), ...lines];
  return { ...options, settings: { ...options.settings, control } };
}

/** Runs the operator CLI and returns its standard output; rejects if it exits with an error. */
export function runCli(cliArguments: readonly string[], words: readonly string[]): Promise<string> {
  return new Promise((done, reject) => {
    const program = [getProgramPath('src/cli/main.js'), ...words, ...cliArguments];
    execFile(
      process.execPath,
      program,
      { timeout: PROCESS_TIMEOUT_MS },
      (error, stdout, stderr) => {
        if (error === null) done(stdout);
        else
          reject(new Error(`chivewalk ${words.join(' ')}: ${error.message} ${stdout} ${stderr}`));
      },
    );
  });
}

async function planDaemons(options: SiteOptions): Promise<readonly DaemonPlan[]> {
  const plan = async (id: string, role: 'control' | 'entry', zone: string): Promise<DaemonPlan> => {
    const [peer = '', platform = '', caller = '', upstream = '', operator = ''] =
      await findFreeAddresses(5);
    const addresses =
      role === 'control' ? { peer, platform, operator } : { peer, platform, caller, upstream };
    return { id, role, zone, addresses };
  };
  const controls = Array.from({ length: options.controls }, (_, at) =>
    plan(
      `control-${at + 1}`,
      'control',
      options.entryZones[at % options.entryZones.length] ?? 'zone-1',
    ),
  );
  const entries = options.entryZones.map((zone, at) => plan(`entry-${at + 1}`, 'entry', zone));
  return Promise.all([...controls, ...entries]);
}

/**
 * Starts a site and waits until every daemon reports ready and every upstream listens.
 *
 * @example
 * const site = await startSite({ controls: 3, entryZones: ['a', 'b'], upstreams: [{ id: 'u1', zone: 'a' }] });
 */
export async function startSite(options: SiteOptions): Promise<Site> {
  const folder = mkdtempSync(join(tmpdir(), 'chivewalk-site-'));
  const plans = await planDaemons(options);
  const processes = new Map<string, SiteProcess>();
  const upstreamOptions = new Map<string, TestUpstreamOptions>();
  const startDaemon = (plan: DaemonPlan, controlLines: readonly string[] = []): SiteProcess => {
    const file = join(folder, `${plan.id}.ini`);
    mkdirSync(join(folder, plan.id), { recursive: true });
    writeFileSync(
      file,
      renderSettings(plan, plans, withControlLines(options, controlLines), folder),
    );
    const started = startChild(plan, 'src/daemon/main.js', file, options.nodeFlags);
    processes.set(plan.id, started);
    return started;
  };
  const waitReady = (started: SiteProcess): Promise<void> =>
    waitUntil(
      () => isReady(started.addresses.platform ?? ''),
      PROCESS_TIMEOUT_MS,
      () => `${started.id} is ready; its output: ${started.output.slice(-2000)}`,
    );
  const announceAt = plans.flatMap((plan) => plan.addresses.upstream ?? []);
  const startUpstream = async (id: string): Promise<SiteProcess> => {
    const full = upstreamOptions.get(id) ?? defaultTestUpstream;
    const started = startChild(
      { id, role: 'upstream', zone: full.zone, addresses: { caller: `127.0.0.1:${full.port}` } },
      'bench/stand/upstream.js',
      JSON.stringify(full),
    );
    processes.set(id, started);
    await waitUntil(
      () => started.output.includes('"ready":true'),
      PROCESS_TIMEOUT_MS,
      () => `${id} is ready; its output: ${started.output}`,
    );
    return started;
  };
  const addUpstream = async (given: Partial<TestUpstreamOptions>): Promise<SiteProcess> => {
    const [address = ''] = await findFreeAddresses(1);
    const full = {
      ...defaultTestUpstream,
      port: Number(address.split(':')[1]),
      entries: announceAt,
      token: UPSTREAM_TOKEN,
      ...given,
    };
    upstreamOptions.set(full.id, full);
    return startUpstream(full.id);
  };
  const cliArguments = [
    ...plans.flatMap((plan) =>
      plan.role === 'control' ? ['--control', plan.addresses.operator ?? ''] : [],
    ),
    '--token',
    OPERATOR_TOKEN,
  ];
  const find = (id: string): SiteProcess => {
    const found = processes.get(id);
    if (found === undefined)
      throw new Error(`no process with id "${id}"; known ids: ${[...processes.keys()].join(', ')}`);
    return found;
  };
  const end = async (id: string, signal: NodeJS.Signals): Promise<void> => {
    const { child } = find(id);
    if (hasExited(child)) return;
    child.kill(signal);
    await waitUntil(
      () => hasExited(child),
      PROCESS_TIMEOUT_MS,
      () => `${id} has exited after ${signal}; its output: ${find(id).output.slice(-2000)}`,
    );
  };
  const stop = async (): Promise<void> => {
    await Promise.all([...processes.keys()].map((id) => end(id, 'SIGKILL')));
    rmSync(folder, { recursive: true, force: true });
  };
  try {
    const daemons = plans.map((plan) => startDaemon(plan));
    await Promise.all(daemons.map(waitReady));
    await Promise.all(options.upstreams.map(addUpstream));
  } catch (error) {
    await stop();
    throw error;
  }
  return {
    folder,
    get processes() {
      return [...processes.values()];
    },
    find,
    restart: async (id) => {
      const plan = plans.find((one) => one.id === id);
      if (plan === undefined) await startUpstream(id);
      else await waitReady(startDaemon(plan));
    },
    replaceDisk: async (id) => {
      const plan = plans.find((one) => one.id === id);
      if (plan === undefined) throw new Error(`no control or entry process with id "${id}"`);
      rmSync(join(folder, id), { recursive: true, force: true });
      const started = startDaemon(plan, ['join = true']);
      await waitReady(started);
    },
    addUpstream,
    end,
    cliArguments,
    stop,
  };
}
