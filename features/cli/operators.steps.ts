/** Steps that run the operators' tool in this process against control members and entries on loopback. */
import { After, Given, Then, When, type DataTable } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { createServer, request, type Server } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { PassThrough } from 'node:stream';
import { stripVTControlCharacters } from 'node:util';
import { createCli } from '../../src/cli/cli.js';
import { openControl, type ControlNode } from '../../src/control/index.js';
import {
  createConfigClient,
  createConfigServer,
  type ConfigClient,
  type ConfigServer,
} from '../../src/distribution/index.js';
import { buildConfig, createIntentMachine, type IntentState } from '../../src/intent/index.js';
import { openOperators, type OperatorsListener } from '../../src/operators/index.js';
import { createMesh, type Mesh } from '../../src/wire/index.js';
import { findFreePorts } from '../support/ports.js';
import type { SnapshotWorld } from '../support/snapshot.js';

const SECRET = 'the secret of the operators site';
const TOKEN = 'the token of the operators';

/** One run of the tool; ports, times and generated ids in its output are replaced by fixed words. */
interface ToolRun {
  readonly command: string;
  readonly exitCode: number;
  readonly output: readonly string[];
}

interface OperatorsWorld extends SnapshotWorld {
  folder: string;
  operators: string;
  /** Address that the tool calls: the proxy's if there is one, otherwise that of the control member. */
  target: string;
  meshes: Mesh[];
  clients: ConfigClient[];
  node: ControlNode<IntentState>;
  server: ConfigServer;
  listener: OperatorsListener;
  proxy: Server | undefined;
  runs: readonly ToolRun[];
}

async function waitUntil(condition: () => boolean, what: string): Promise<void> {
  for (let attempt = 0; attempt < 400; attempt += 1) {
    if (condition()) return;
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
  throw new Error(`timed out waiting for ${what}`);
}

/** Returns whether every entry is active, fresh and has confirmed the newest revision. */
function isSettled(world: OperatorsWorld): boolean {
  return world.clients.every((client) => {
    const { members } = client.config.roster;
    const areAllActive =
      members.filter(({ phase }) => phase === 'active').length === world.clients.length;
    const isConfirmed = world.node.applied.inForce === client.config.revision;
    return areAllActive && isConfirmed && client.isFresh(performance.now());
  });
}

Given(
  "an operators' site of one control member and two entries",
  { timeout: 30_000 },
  async function (this: OperatorsWorld) {
    const ports = await findFreePorts(4);
    const [peer, operators, ...entries] = ports.map((port) => `127.0.0.1:${port}`);
    assert.ok(peer !== undefined && operators !== undefined);
    this.folder = await mkdtemp(join(tmpdir(), 'chivewalk-cli-'));
    this.operators = operators;
    this.target = operators;
    this.proxy = undefined;
    const mesh = await createMesh({ address: peer, secret: SECRET });
    this.meshes = [mesh];
    this.node = await openControl({
      address: peer,
      members: [peer],
      join: false,
      dataFolder: join(this.folder, 'data'),
      mesh,
      machine: createIntentMachine(),
    });
    this.server = createConfigServer({
      mesh,
      control: this.node,
      view: (state) => ({ ...state, config: buildConfig(state) }),
      now: () => performance.now(),
      wallNow: Date.now,
    });
    this.listener = await openOperators({
      listen: operators,
      token: TOKEN,
      control: this.node,
      distribution: this.server,
      operatorAddresses: { [peer]: operators },
      listUpstreams: () => [],
      wallNow: Date.now,
    });
    this.clients = [];
    for (const [at, address] of entries.entries()) {
      const entryMesh = await createMesh({ address, secret: SECRET });
      this.meshes.push(entryMesh);
      const client = createConfigClient({
        mesh: entryMesh,
        self: {
          id: `e${at}`,
          zone: 'cyberjaya',
          callerAddress: `127.0.0.1:${at + 1}`,
          incarnation: 1,
        },
        controlMembers: [peer],
        now: () => performance.now(),
        stalePolicy: 'refuse',
      });
      this.clients.push(client);
      await waitUntil(() => isSettled(this), `entry e${at} to be active`);
    }
  },
);

After({ tags: '@operators' }, async function (this: Partial<OperatorsWorld>) {
  if (this.listener === undefined) return;
  this.clients?.forEach((client) => {
    client.close();
  });
  this.proxy?.closeAllConnections();
  this.proxy?.close();
  await this.listener.close();
  this.server?.close();
  await this.node?.close();
  await Promise.all((this.meshes ?? []).map((mesh) => mesh.close()));
  if (this.folder !== undefined) await rm(this.folder, { recursive: true, force: true });
});

Given(
  "a proxy that drops the first {int} answers to the operators' tool",
  async function (this: OperatorsWorld, losses: number) {
    const [port = 0] = await findFreePorts(1);
    let lost = 0;
    this.proxy = createServer((incoming, outgoing) => {
      const { method, url, headers } = incoming;
      const forwarded = request(`http://${this.operators}${url ?? ''}`, { method, headers });
      forwarded.on('response', (answer) => {
        if (method === 'POST' && lost < losses) {
          lost += 1;
          outgoing.destroy();
          answer.resume();
          return;
        }
        outgoing.writeHead(answer.statusCode ?? 500, answer.headers);
        answer.pipe(outgoing);
      });
      incoming.pipe(forwarded);
    });
    await new Promise<void>((resolve) => this.proxy?.listen(port, '127.0.0.1', resolve));
    this.target = `127.0.0.1:${port}`;
  },
);

Given("an operators' entry that has become unreachable", async function (this: OperatorsWorld) {
  this.clients[1]?.close();
  await this.meshes[2]?.close();
});

/** Runs the tool in this process. Replaces ports, times and ids in its output, which differ between runs. */
async function runTool(args: readonly string[]): Promise<Omit<ToolRun, 'command'>> {
  const stdout = new PassThrough();
  const chunks: Buffer[] = [];
  stdout.on('data', (chunk: Buffer) => chunks.push(chunk));
  const exitCode = await createCli().run([...args], { stdout, stderr: stdout });
  const output = stripVTControlCharacters(Buffer.concat(chunks).toString('utf8'))
    .replaceAll(/^\d{4}-\d\d-\d\dT[\d:.]+Z \S+/gm, 'TIME OPERATOR')
    .replaceAll(/127\.0\.0\.1:\d{4,5}/g, 'ADDRESS')
    .replaceAll(/id [0-9a-f-]{36}/g, 'id ID')
    .replaceAll(/at most \d s/g, 'at most N s')
    .trimEnd();
  return { exitCode, output: output.split('\n') };
}

When(
  "the operators' tool is run",
  { timeout: 60_000 },
  async function (this: OperatorsWorld, table: DataTable) {
    const site = join(this.folder, 'site.ini');
    await writeFile(site, `[operators]\ncontrol[] = ${this.target}\ntoken = ${TOKEN}\n`);
    this.runs = [];
    for (const { command = '' } of table.hashes()) {
      const words = command.split(' ');
      const where = words.includes('--site') ? ['--control', this.target] : ['--site', site];
      const run = await runTool([...words, ...where]);
      this.runs = [...this.runs, { command, ...run }];
    }
  },
);

Then("the outcomes of the operators' tool match the snapshot", function (this: OperatorsWorld) {
  this.matchSnapshot(this.runs);
});
