import { After, Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { createMesh, type Mesh } from '../../src/wire/index.js';
import { findFreePorts } from '../support/ports.js';

interface StandstillWorld {
  endpoints: readonly Mesh[];
  meshProblems: string[];
  arrived: number;
  meshTimers: NodeJS.Timeout[];
  pauses: number;
  pauseTime: number;
}

/** The interval of the mesh's own checks; timers of one interval run one after the other. */
const CHECK_INTERVAL = 100;

function waitBusily(time: number): void {
  const until = performance.now() + time;
  while (performance.now() < until);
}

Given(
  'two mesh endpoints in one process that exchange messages all the time',
  async function (this: StandstillWorld) {
    this.meshProblems = [];
    this.arrived = 0;
    this.pauses = 0;
    const ports = await findFreePorts(2);
    this.endpoints = await Promise.all(
      ports.map((port) =>
        createMesh({
          ...{ address: `127.0.0.1:${port}`, secret: 'standstill-test' },
          onProblem: (_, problem) => this.meshProblems.push(problem),
        }),
      ),
    );
    // Runs right after a check that has sent keepalives, before their answers are read.
    const stopper = setInterval(() => {
      if (this.pauses === 0) return;
      this.pauses = 0;
      waitBusily(this.pauseTime);
    }, CHECK_INTERVAL);
    const [first, second] = this.endpoints;
    assert.ok(first && second);
    second.handle('test', () => {
      this.arrived += 1;
    });
    const sender = setInterval(() => {
      first.send(second.address, 'test', 'message');
    }, 10);
    this.meshTimers = [stopper, sender];
    await sleep(500);
  },
);

When(
  'the process stands still for {int} ms, {int} times, with {int} ms between',
  async function (this: StandstillWorld, time: number, times: number, between: number) {
    this.pauseTime = time;
    for (let count = 0; count < times; count += 1) {
      this.pauses = 1;
      await sleep(time + between);
    }
  },
);

Then(
  'no mesh endpoint reports a problem, and messages arrive',
  async function (this: StandstillWorld) {
    assert.deepEqual(this.meshProblems, []);
    const before = this.arrived;
    await sleep(200);
    assert.ok(this.arrived > before);
  },
);

After(async function (this: Partial<StandstillWorld>) {
  this.meshTimers?.forEach(clearInterval);
  await Promise.all(this.endpoints?.map((endpoint) => endpoint.close()) ?? []);
});
