import { Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { setImmediate as waitForHandlers } from 'node:timers/promises';
import { RequestQuarantine } from '../../src/gateway/quarantine.js';
import { UpstreamRegistry } from '../../src/gateway/registry.js';
import type { GatewayRequest, UpstreamRecord } from '../../src/gateway/types.js';
import type { Evidence } from '../../src/quarantine/index.js';
import { createCatalog } from './catalog.js';

interface QuarantineWorld {
  gatewayQuarantine: RequestQuarantine;
  gatewayUpstreams: readonly UpstreamRecord[];
  gatewayTime: number;
  toldEvidence: Evidence[];
  /** Requests that are being served. */
  running: GatewayRequest[];
  hasEnded: boolean;
}

function createRequest(target: string): GatewayRequest {
  return {
    ...{ method: 'GET', target, headers: [['Host', 'site.example']], body: Buffer.alloc(0) },
  } as unknown as GatewayRequest;
}

const crashing = (): GatewayRequest => createRequest('/crash');

Given('a gateway that knows {int} upstreams', function (this: QuarantineWorld, count: number) {
  const registry = new UpstreamRegistry();
  registry.update(createCatalog(Array.from({ length: count }, (_, index) => `u${index + 1}`)));
  this.gatewayUpstreams = registry.records;
  this.gatewayTime = 10_000;
  this.toldEvidence = [];
  this.running = [];
  this.hasEnded = true;
  this.gatewayQuarantine = new RequestQuarantine({
    ...{ now: () => this.gatewayTime, self: 'gateway-1' },
    hasProcessEnded: () => Promise.resolve(this.hasEnded),
    isRunning: (request, fingerprint) =>
      this.running.some(
        (other) =>
          other !== request && this.gatewayQuarantine.getFingerprint(other) === fingerprint,
      ),
    onShare: (evidence) => {
      this.toldEvidence.push(...evidence);
    },
    onQuarantine: () => undefined,
  });
});

async function dropConnections(world: QuarantineWorld, numbers: string): Promise<void> {
  numbers.split(' ').forEach((number) => {
    const record = world.gatewayUpstreams.find(({ instance }) => instance.id === `u${number}`);
    assert.ok(record);
    world.gatewayTime += 100;
    world.gatewayQuarantine.addLoss(crashing(), record);
  });
  await waitForHandlers();
}

When(
  /^a request crashes upstreams ([\d ]+)$/,
  async function (this: QuarantineWorld, numbers: string) {
    this.hasEnded = true;
    await dropConnections(this, numbers);
  },
);

When(
  /^a request loses connections to upstreams ([\d ]+), which run on$/,
  async function (this: QuarantineWorld, numbers: string) {
    this.hasEnded = false;
    await dropConnections(this, numbers);
  },
);

When('{int} ms pass in the gateway', function (this: QuarantineWorld, time: number) {
  this.gatewayTime += time;
});

When('requests like it succeed {int} times', function (this: QuarantineWorld, count: number) {
  Array.from({ length: count }, crashing).forEach((request) => {
    this.gatewayTime += 10;
    this.gatewayQuarantine.addSuccess(request);
  });
});

function measureRefusal(
  { gatewayQuarantine, gatewayTime }: QuarantineWorld,
  target: string,
): number {
  return Math.max(0, gatewayQuarantine.getRefusedUntil(createRequest(target)) - gatewayTime);
}

Then(
  'it is refused for {int} to {int} ms',
  function (this: QuarantineWorld, least: number, most: number) {
    const time = measureRefusal(this, '/crash');
    assert.ok(time >= least && time <= most, `${time} ms`);
  },
);

Then('a request with another path is not refused', function (this: QuarantineWorld) {
  assert.equal(measureRefusal(this, '/other'), 0);
});

Then('it is not refused, but for a second one beside it', function (this: QuarantineWorld) {
  assert.equal(measureRefusal(this, '/crash'), 0);
  this.running = [crashing()];
  assert.ok(measureRefusal(this, '/crash') > 0);
  this.running = [];
});

Then('it is not refused, and not suspected', function (this: QuarantineWorld) {
  assert.equal(measureRefusal(this, '/crash'), 0);
  assert.equal(this.gatewayQuarantine.isSuspected(crashing()), false);
});

Then(
  '{int} success was told, and it is not suspected',
  function (this: QuarantineWorld, count: number) {
    assert.equal(this.toldEvidence.filter(({ kind }) => kind === 'success').length, count);
    assert.equal(this.gatewayQuarantine.isSuspected(crashing()), false);
  },
);

Then(
  "its next retry waits for the check, and that of another request doesn't",
  async function (this: QuarantineWorld) {
    const [, second] = this.gatewayUpstreams;
    assert.ok(second);
    const started: string[] = [];
    const request = crashing();
    const other = createRequest('/other');
    this.gatewayQuarantine.addLoss(request, second);
    this.gatewayQuarantine.addLoss(other, second);
    this.gatewayQuarantine.waitForCheck(request, second, () => started.push('suspected'));
    this.gatewayQuarantine.waitForCheck(other, second, () => started.push('other'));
    assert.deepEqual(started, ['other']);
    await waitForHandlers();
    assert.deepEqual(started, ['other', 'suspected']);
  },
);
