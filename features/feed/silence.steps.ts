import { After, Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { emptyCatalog, type Catalog, type CatalogCommand } from '../../src/catalog/index.js';
import type { AppliedListener } from '../../src/control/index.js';
import {
  createFollower,
  createPublisher,
  type Follower,
  type Publisher,
} from '../../src/feed/index.js';
import { createMesh, type Mesh } from '../../src/wire/index.js';
import { createControl } from '../support/control.js';
import { findFreePorts } from '../support/ports.js';
import { startSilence } from '../support/silence.js';

interface SilenceWorld {
  openMeshes: readonly Mesh[];
  publishers: readonly Publisher[];
  listeners: AppliedListener<Catalog>[];
  entry: Follower;
  silencedConnections: ReturnType<typeof startSilence> | undefined;
}

const SECRET = 'silence-test';
/** Milliseconds in which the first connections open and the entry follows a member. */
const SETTLING_TIME = 600;
/** Milliseconds for which the scenario waits for the change; longer than any recovery. */
const OBSERVATION_TIME = 6000;
const POLL_INTERVAL = 20;

Given(
  'an entry that follows one of 3 control members, and has spoken to the others before',
  async function (this: SilenceWorld) {
    this.silencedConnections = startSilence();
    this.listeners = [];
    const ports = await findFreePorts(4);
    const addresses = ports.map((port) => `127.0.0.1:${port}`);
    this.openMeshes = await Promise.all(
      addresses.map((address) => createMesh({ address, secret: SECRET })),
    );
    const [entryMesh, ...memberMeshes] = this.openMeshes;
    assert.ok(entryMesh);
    const members = memberMeshes.map(({ address }) => address);
    this.publishers = memberMeshes.map((mesh) =>
      createPublisher({
        mesh,
        control: createControl(
          { leader: members[0], members: members.map((id) => ({ id, voter: true })) },
          {
            onApplied: (listener) => {
              this.listeners.push(listener);
            },
          },
        ),
        now: () => performance.now(),
        listCold: () => ({}),
        onGroupFound: () => undefined,
        onEvidence: () => undefined,
      }),
    );
    this.entry = createFollower({
      ...{ mesh: entryMesh, seeds: members, now: () => performance.now() },
      describeSelf: () => ({
        ...{ id: 'gateway-1', zone: 'a', capacity: 1, ready: true },
        ...{ callerAddress: '127.0.0.1:80', peerAddress: entryMesh.address },
      }),
      ...{ collectEvidence: () => [], onChange: () => undefined },
      ...{ onCold: () => undefined, onDependency: () => undefined },
    });
    members.forEach((member) => {
      entryMesh.send(member, 'other', {});
    });
    memberMeshes.forEach((mesh) => {
      mesh.send(entryMesh.address, 'other', {});
    });
    await sleep(SETTLING_TIME);
  },
);

When(
  'all open connections go silent and a change is committed at every member',
  function (this: SilenceWorld) {
    this.silencedConnections?.silence();
    const command: CatalogCommand = { kind: 'setZone', zone: 'b', out: true };
    this.listeners.forEach((listener) => {
      listener({ ...emptyCatalog, zonesOut: ['b'] }, 1, command, 0);
    });
  },
);

Then(
  'the entry has applied the change within {int} ms',
  async function (this: SilenceWorld, limit: number) {
    const startedAt = performance.now();
    const waitForChange = async (): Promise<number> => {
      const elapsed = performance.now() - startedAt;
      if (this.entry.view.index >= 1 || elapsed > OBSERVATION_TIME) return elapsed;
      await sleep(POLL_INTERVAL);
      return waitForChange();
    };
    const elapsed = await waitForChange();
    assert.ok(elapsed <= limit, `the change was applied after ${Math.round(elapsed)} ms`);
  },
);

After(async function (this: Partial<SilenceWorld>) {
  if (this.silencedConnections === undefined) return;
  this.silencedConnections.stop();
  this.entry?.close();
  this.publishers?.forEach((publisher) => {
    publisher.close();
  });
  await Promise.all(this.openMeshes?.map((mesh) => mesh.close()) ?? []);
});
