import { After, Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import type { ControlStatus } from '../../src/control/index.js';
import { createPublisher, type FeedMessage, type Publisher } from '../../src/feed/index.js';
import type { Address } from '../../src/model/index.js';
import { createControl } from '../support/control.js';
import type { Mesh, MessageHandler } from '../../src/wire/index.js';

/** A mesh end that keeps what is sent and hands in what a test sends. */
class TestMesh implements Mesh {
  readonly address = '10.1.0.18:7200';
  readonly sent: (readonly [to: Address, message: FeedMessage])[] = [];
  readonly traffic = { messagesSent: 0, bytesSent: 0, messagesReceived: 0, bytesReceived: 0 };
  #handler: MessageHandler = () => undefined;

  send(to: Address, _: string, message: unknown): void {
    this.sent.push([to, message as FeedMessage]);
  }

  handle(_: string, handler: MessageHandler): void {
    this.#handler = handler;
  }

  receive(from: Address, message: FeedMessage): void {
    this.#handler(from, message);
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}

interface FeedWorld {
  mesh: TestMesh;
  publisher: Publisher | undefined;
}

const ASKER = '10.4.0.20:7200';

Given(
  'a feed publisher of a control member that is {string} and knows the members {string}',
  function (this: FeedWorld, role: ControlStatus['role'], members: string) {
    this.mesh = new TestMesh();
    this.publisher = createPublisher({
      mesh: this.mesh,
      control: createControl({
        role,
        members: members.split(' ').map((id) => ({ id, voter: true })),
      }),
      now: () => 0,
      listCold: () => ({}),
      onFound: () => undefined,
      onEvidence: () => undefined,
    });
  },
);

When('a process asks it for the members of the group', function (this: FeedWorld) {
  this.mesh.receive(ASKER, { kind: 'find' });
});

Then('it is told {string}', function (this: FeedWorld, members: string) {
  const [to, message] = this.mesh.sent[0] ?? [];
  assert.equal(to, ASKER);
  assert.equal(message?.kind === 'found' ? message.members.join(' ') : '', members);
});

After(function (this: Partial<FeedWorld>) {
  this.publisher?.close();
});
