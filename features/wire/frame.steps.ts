import { Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { connect, createServer, type Server, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { createMesh, type Mesh } from '../../src/wire/index.js';
import { encodeFrame, FrameReader } from '../../src/wire/frame.js';
import { findFreePorts } from '../support/ports.js';

interface FrameWorld {
  sent: readonly Buffer[];
  received: readonly Buffer[];
  meshes: readonly Mesh[];
  delivered: unknown[];
  server: Server;
  problems: string[];
  blocker: ChildProcess;
  fillers: readonly Socket[];
  port: number;
  elapsed: number;
}

Given('frames of 0, 1, 5 and 70000 bytes', function (this: FrameWorld) {
  this.sent = [0, 1, 5, 70000].map((size, index) => Buffer.alloc(size, index));
});

When(
  'the byte stream arrives in chunks of {int} bytes',
  function (this: FrameWorld, chunk: number) {
    const stream = Buffer.concat(this.sent.map(encodeFrame));
    const reader = new FrameReader();
    const count = Math.ceil(stream.length / chunk);
    this.received = Array.from({ length: count }, (_, index) =>
      reader.addChunk(stream.subarray(index * chunk, (index + 1) * chunk)),
    )
      .flat()
      .map((frame) => Buffer.from(frame));
  },
);

Then('every frame is decoded completely and in order', function (this: FrameWorld) {
  assert.deepEqual(this.received, this.sent);
});

Given('a mesh and a peer with another secret', async function (this: FrameWorld) {
  const [one, two] = await findFreePorts(2);
  this.delivered = [];
  this.meshes = await Promise.all([
    createMesh({ address: `127.0.0.1:${one}`, secret: 'the secret of the site' }),
    createMesh({ address: `127.0.0.1:${two}`, secret: 'another secret than that' }),
  ]);
  this.meshes[0]?.handle('test', (_, message) => this.delivered.push(message));
  this.meshes[1]?.handle('test', (_, message) => this.delivered.push(message));
});

When('the peer sends a message', async function (this: FrameWorld) {
  const [first, second] = this.meshes;
  assert.ok(first !== undefined && second !== undefined);
  const ports = [first.address, second.address];
  second.send(ports[0] ?? '', 'test', 'intruder');
  await new Promise((resolve) => setTimeout(resolve, 200));
});

Then('the message is not delivered', async function (this: FrameWorld) {
  await Promise.all(this.meshes.map((mesh) => mesh.close()));
  assert.deepEqual(this.delivered, []);
});

function createFailingHandler(delivered: unknown[]): (from: string, message: unknown) => void {
  let hasFailed = false;
  return (_, message) => {
    if (hasFailed) delivered.push(message);
    else {
      hasFailed = true;
      throw new Error('the handler failed');
    }
  };
}

Given(
  'a mesh, a peer, and a server that answers each connection with {string}',
  async function (this: FrameWorld, answer: string) {
    const [one, two, three = 0] = await findFreePorts(3);
    this.delivered = [];
    this.problems = [];
    this.server = createServer((socket) => {
      socket.on('error', () => socket.destroy());
      socket.write(`${answer}\r\n\r\n`);
    }).listen(three, '127.0.0.1');
    this.meshes = await Promise.all(
      [one, two].map((port) =>
        createMesh({
          address: `127.0.0.1:${port}`,
          secret: 'the secret of the site',
          onProblem: (_, problem) => this.problems.push(problem),
        }),
      ),
    );
    this.meshes.forEach((mesh) => {
      mesh.handle('test', createFailingHandler(this.delivered));
    });
  },
);

When(
  'the mesh sends a message to that server, to the peer and to itself, whose handlers fail once',
  async function (this: FrameWorld) {
    const [mesh, peer] = this.meshes;
    const { port } = this.server.address() as { port: number };
    assert.ok(mesh !== undefined && peer !== undefined);
    [`127.0.0.1:${port}`, peer.address, mesh.address].forEach((address) => {
      mesh.send(address, 'test', 'first');
    });
    await sleep(300);
    [peer.address, mesh.address].forEach((address) => {
      mesh.send(address, 'test', 'second');
    });
    await sleep(300);
  },
);

Then(
  'the mesh reports {int} problems, and later messages to the peer and to itself are delivered',
  async function (this: FrameWorld, problems: number) {
    this.server.close();
    await Promise.all(this.meshes.map((mesh) => mesh.close()));
    assert.equal(this.problems.length, problems, this.problems.join('; '));
    assert.deepEqual(this.delivered, ['second', 'second']);
  },
);

/** Listens with a short queue of connections and never accepts one, so that the system drops the next ones. */
const BLOCKING_PROGRAM = `
  require('node:net').createServer().listen({ port: Number(process.argv[1]), host: '127.0.0.1', backlog: 1 }, () => {
    require('node:fs').writeSync(1, 'listening');
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0);
  });`;
const FILLING_CONNECTIONS = 4;

Given('an address that drops connection attempts', async function (this: FrameWorld) {
  const [port = 0] = await findFreePorts(1);
  this.port = port;
  this.blocker = spawn(process.execPath, ['-e', BLOCKING_PROGRAM, String(port)], {
    env: { ...process.env, NODE_OPTIONS: '' },
  });
  assert.ok(this.blocker.stdout);
  await once(this.blocker.stdout, 'data');
  this.fillers = Array.from({ length: FILLING_CONNECTIONS }, () => {
    const socket = connect({ host: '127.0.0.1', port });
    socket.on('error', () => socket.destroy());
    return socket;
  });
  await sleep(50);
});

When(
  'a mesh keeps sending to that address, where a peer listens {int} ms later',
  async function (this: FrameWorld, delay: number) {
    const [own = 0] = await findFreePorts(1);
    const secret = 'the secret of the site';
    const mesh = await createMesh({ address: `127.0.0.1:${own}`, secret });
    const since = performance.now();
    const timer = setInterval(() => {
      mesh.send(`127.0.0.1:${this.port}`, 'test', 'hello');
    }, 50);
    await sleep(delay);
    this.blocker.kill('SIGKILL');
    this.fillers.forEach((socket) => socket.destroy());
    await once(this.blocker, 'exit');
    const peer = await createMesh({ address: `127.0.0.1:${this.port}`, secret });
    await new Promise<void>((resolve) => {
      peer.handle('test', () => {
        resolve();
      });
    });
    this.elapsed = performance.now() - since;
    clearInterval(timer);
    await Promise.all([mesh.close(), peer.close()]);
  },
);

Then(
  'the peer gets a message within {int} ms of the first one',
  function (this: FrameWorld, most: number) {
    assert.ok(this.elapsed <= most, `${Math.round(this.elapsed)} ms`);
  },
);
