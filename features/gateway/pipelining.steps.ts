import { After, Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { BufferBudget } from '../../src/gateway/buffers.js';
import { CallerConnection, type CallerAnswer, type CallerHost } from '../../src/gateway/caller.js';

interface PipelineWorld {
  pipelineServer: Server;
  pipelineCaller: Socket;
  mostServed: number;
  gatewayTurns: number;
  isCounting: boolean;
  answered: readonly string[];
  wanted: readonly string[];
}

const LIMITS = { headBytes: 16_384, bodyBytes: 65_536 };
const ORDER_TIME = 50;
/** Milliseconds for which the answers may take. */
const LIMIT = 4000;

function buildAnswer(text: string): CallerAnswer {
  return {
    ...{ status: 200, reason: 'OK', headers: [] },
    body: Buffer.from(`[${text}]`),
  };
}

Given(
  /^a caller's pipelined connection to a gateway where orders take 50 ms, and look-ups are answered (at once|later)$/,
  async function (this: PipelineWorld, when: string) {
    this.mostServed = 0;
    let served = 0;
    const host: CallerHost = {
      now: () => performance.now(),
      getTimeLimit: () => undefined,
      isIdempotent: ({ method }) => method === 'GET',
      serve: ({ head }, onAnswer) => {
        served += 1;
        this.mostServed = Math.max(this.mostServed, served);
        const answer = (): void => {
          served -= 1;
          onAnswer(buildAnswer(head.target));
        };
        if (head.method === 'POST') setTimeout(answer, ORDER_TIME);
        else if (when === 'later') setImmediate(answer);
        else answer();
        return { cancel: () => undefined };
      },
      isStopping: () => false,
      renderFault: ({ reason }) => buildAnswer(reason),
      renderNoRoom: () => buildAnswer('no room'),
      onClose: () => undefined,
    };
    this.pipelineServer = createServer((socket) => {
      new CallerConnection(host, socket, LIMITS, new BufferBudget(64 * 1024 * 1024));
    });
    await new Promise<void>((resolve) => {
      this.pipelineServer.listen(0, '127.0.0.1', resolve);
    });
  },
);

When(
  'an order and {int} look-ups are sent at once',
  async function (this: PipelineWorld, count: number) {
    this.wanted = ['/order', ...Array.from({ length: count }, (_, at) => `/${at}`)];
    this.gatewayTurns = 0;
    this.isCounting = true;
    const countTurn = (): void => {
      this.gatewayTurns += 1;
      if (this.isCounting) setImmediate(countTurn);
    };
    const { port } = this.pipelineServer.address() as AddressInfo;
    this.pipelineCaller = connect(port, '127.0.0.1');
    let text = '';
    this.pipelineCaller.on('data', (chunk) => {
      text += chunk.toString('latin1');
    });
    const [order, ...lookups] = this.wanted;
    const head = 'HTTP/1.1\r\nHost: a\r\n';
    const requests = [
      `POST ${order} ${head}Content-Length: 0\r\n\r\n`,
      ...lookups.map((target) => `GET ${target} ${head}\r\n`),
    ];
    this.pipelineCaller.write(requests.join(''));
    await sleep(ORDER_TIME / 2);
    setImmediate(countTurn);
    const listAnswered = (): readonly string[] =>
      [...text.matchAll(/\[([^\]]*)\]/g)].map(([, target = '']) => target);
    const until = performance.now() + LIMIT;
    while (listAnswered().length < this.wanted.length && performance.now() < until) await sleep(20);
    this.isCounting = false;
    this.answered = listAnswered();
  },
);

Then(
  "all of them are answered in order, and the gateway's other work had at least {int} turns meanwhile",
  function (this: PipelineWorld, turns: number) {
    assert.deepEqual(this.answered, this.wanted);
    assert.ok(this.gatewayTurns >= turns, `${this.gatewayTurns} turns`);
  },
);

Then(
  'at most {int} requests of the connection were served at a time',
  function (this: PipelineWorld, most: number) {
    assert.ok(this.mostServed <= most, `${this.mostServed} at a time`);
  },
);

After(function (this: Partial<PipelineWorld>) {
  this.pipelineCaller?.destroy();
  this.pipelineServer?.close();
});
