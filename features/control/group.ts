/**
 * A group of control members in one process that uses real sockets and folders. Its state machine is a
 * list of numbers, which shows lost, duplicated and reordered commands.
 */
import { mkdtemp, readFile, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import {
  openControl,
  type ControlNode,
  type ControlOptions,
  type ControlProblem,
  type StateMachine,
} from '../../src/control/index.js';
import type { Address } from '../../src/model/index.js';
import { createMesh, type Mesh } from '../../src/wire/index.js';
import { findFreePorts } from '../support/ports.js';

export type Numbers = readonly number[];

/** A state machine that appends each proposed number to a list. */
export const listMachine: StateMachine<Numbers> = {
  initial: [],
  apply: (state, command) => ({ state: [...state, command as number], result: state.length }),
  encode: (state) => Buffer.from(JSON.stringify(state)),
  decode: (bytes) => JSON.parse(Buffer.from(bytes).toString()) as Numbers,
};

interface RunningMember {
  readonly node: ControlNode<Numbers>;
  readonly mesh: Mesh;
}

/** Polls until the condition holds. Throws after ten seconds. */
export async function waitFor(what: string, condition: () => boolean): Promise<void> {
  const until = performance.now() + 10_000;
  while (!condition()) {
    if (performance.now() > until)
      throw new Error(`timed out after ten seconds waiting for ${what}`);
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
}

/** A group whose members are numbered from 0. */
export class Group {
  readonly problems: ControlProblem[] = [];
  readonly running = new Map<number, RunningMember>();
  readonly lostIdentities: string[] = [];
  accepted: number[] = [];

  private constructor(
    readonly folder: string,
    readonly addresses: readonly Address[],
    readonly founders: number,
    readonly defaults: Partial<ControlOptions<Numbers>>,
  ) {}

  static async create(
    size: number,
    extra: Partial<ControlOptions<Numbers>> = {},
    founders = size,
  ): Promise<Group> {
    const ports = await findFreePorts(size);
    const folder = await mkdtemp(join(tmpdir(), 'chivewalk-control-'));
    return new Group(folder, ports.map((port) => `127.0.0.1:${port}`).sort(), founders, extra);
  }

  getFolder(index: number): string {
    return join(this.folder, String(index));
  }

  getNode(index: number): ControlNode<Numbers> {
    const found = this.running.get(index);
    if (found === undefined) throw new Error(`member ${index} is not running`);
    return found.node;
  }

  async start(
    index: number,
    join = false,
    overrides: Partial<ControlOptions<Numbers>> = {},
  ): Promise<void> {
    const address = this.addresses[index] ?? '';
    const mesh = await createMesh({ address, secret: 'the secret of the site' });
    try {
      const node = await openControl({
        address,
        members: join ? this.addresses : this.addresses.slice(0, this.founders),
        join,
        dataFolder: this.getFolder(index),
        mesh,
        machine: listMachine,
        onProblem: (problem) => this.problems.push(problem),
        ...this.defaults,
        ...overrides,
      });
      this.running.set(index, { node, mesh });
    } catch (error) {
      await mesh.close();
      throw error;
    }
  }

  /** Stops a member. Unless the stop is graceful, its connections are closed first. */
  async stop(index: number, graceful = false): Promise<void> {
    const found = this.running.get(index);
    if (found === undefined) return;
    this.running.delete(index);
    if (!graceful) await found.mesh.close();
    await found.node.close();
    await found.mesh.close();
  }

  async loseDisk(index: number): Promise<void> {
    await this.stop(index);
    const identity = await readFile(join(this.getFolder(index), 'identity.json'), 'utf8');
    this.lostIdentities.push(identity);
    await rm(this.getFolder(index), { recursive: true });
  }

  findLeader(): number | undefined {
    return [...this.running].find(([, { node }]) => node.status.role === 'leader')?.[0];
  }

  /** Proposes the number to the current leader until it is committed. Throws after ten seconds. */
  async accept(value: number): Promise<void> {
    const until = performance.now() + 10_000;
    while (performance.now() < until) {
      const leader = this.findLeader();
      const outcome =
        leader === undefined ? undefined : await this.getNode(leader).propose(value, 2000);
      if (outcome?.kind === 'committed') {
        this.accepted.push(value);
        return;
      }
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
    const statuses = [...this.running].map(([at, { node }]) => ({ at, ...node.status }));
    throw new Error(`number ${value} was not accepted: ${JSON.stringify(statuses)}`);
  }

  async remove(): Promise<void> {
    await Promise.all([...this.running.keys()].map((index) => this.stop(index)));
    await rm(this.folder, { recursive: true, force: true });
  }
}
