/** One gateway with queues and two upstreams of one slot each in the zones "a" and "b", on simulated time. */
import { mock } from 'node:test';
import { emptyCatalog, type Catalog, type Route } from '../../src/catalog/index.js';
import { BufferBudget } from '../../src/gateway/buffers.js';
import { chooseUpstream } from '../../src/gateway/choose.js';
import { RequestQueues } from '../../src/gateway/queues.js';
import { addOutcome, UpstreamRegistry } from '../../src/gateway/registry.js';
import { RequestRun, type RunHost } from '../../src/gateway/run.js';
import type { AttemptOutcome, FinalAnswer, UpstreamRecord } from '../../src/gateway/types.js';
import { AverageWork } from '../../src/gateway/work.js';
import { createHedging } from '../gateway/runhost.js';

const SERVICE = 'records';
const WORK = 100;

const route: Route = {
  ...{ name: 'r', host: 'h', prefix: '/', kind: 'unsafe', timeout: 4000, targetLatency: 1500 },
  ...{ maxAttempts: 2, rank: 0, parts: [{ service: SERVICE, weight: 1 }], source: undefined },
};

function buildCatalog(zonesOut: readonly string[]): Catalog {
  const service = { name: SERVICE, coldTime: 0, coldRate: 0 };
  const instances = ['a', 'b'].map((zone) => ({
    ...{ id: zone, address: `${zone}:1`, zone, service: SERVICE, version: 'v1' },
    ...{ slots: 1, bornAt: 0, draining: false },
  }));
  return {
    ...emptyCatalog,
    table: { routes: [route], services: [service] } as unknown as NonNullable<Catalog['table']>,
    instances: new Map(instances.map((instance) => [instance.id, instance])),
    zonesOut,
  };
}

/** A request that was given to the gateway. */
export interface GivenRequest {
  readonly id: string;
  readonly run: RequestRun;
  answer: FinalAnswer | undefined;
  answeredAt: number;
  /** The upstreams that it was sent to. */
  readonly sentTo: string[];
  /** Ends its attempt. */
  end: (outcome: AttemptOutcome) => void;
}

/** The gateway; it replaces the timers of the process until it is closed. */
export class WaitingGateway {
  now = 0;
  /** Retries that are left in the budget. */
  retries = 0;
  isQuarantined = false;
  /** Whether the routes and keys in force still allow requests. */
  isAllowed = true;
  readonly requests = new Map<string, GivenRequest>();
  readonly registry = new UpstreamRegistry();
  readonly queues: RequestQueues;
  readonly #host: RunHost;

  constructor() {
    mock.timers.enable({ apis: ['setTimeout'] });
    this.registry.update(buildCatalog([]));
    const work = new AverageWork();
    Array.from({ length: 500 }).forEach(() => {
      work.get(SERVICE, route).addSample(WORK);
    });
    const now = (): number => this.now;
    this.queues = new RequestQueues({
      ...{ now, registry: this.registry, work, countGateways: () => 1, getTopRank: () => 0 },
    });
    this.#host = {
      ...{ now, queues: this.queues, buffers: new BufferBudget(1e6) },
      choose: (request, tried) =>
        chooseUpstream(
          this.registry.listUsable(SERVICE, undefined).filter((one) => !tried.includes(one)),
          {
            ...{ now: this.now, work: WORK, zone: 'a', isLarge: false, justProbed: [], random: 0 },
            ...{ canProbe: false, hasConnection: () => true, deadlineShare: 0.8 },
            timeLeft: request.deadline - this.now,
            // No request is queued in an upstream, so that a request without a free slot waits.
            targetTime: 0,
          },
        ),
      ...createHedging(),
      isProbeDue: () => false,
      probeOnDemand: () => undefined,
      send: (request, record, onEnd) => {
        this.#send(request.id, record, onEnd);
        return { cancel: () => undefined };
      },
      isAllowed: () => this.isAllowed,
      getQuarantineTime: () => (this.isQuarantined ? 1000 : 0),
      isSuspected: () => false,
      waitForCrashCheck: (_request, _record, onEnd) => {
        onEnd();
      },
      takeRetry: () => {
        this.retries -= 1;
        return this.retries >= 0;
      },
      recordAttempt: (request, { record }, outcome) => {
        record.inFlight -= 1;
        record.inFlightChange -= 1;
        if (outcome !== undefined) addOutcome(record, outcome, this.now);
        this.queues.recordEnd(request, outcome);
      },
      recordDecision: () => undefined,
    };
  }

  #send(id: string, record: UpstreamRecord, onEnd: (outcome: AttemptOutcome) => void): void {
    record.inFlight += 1;
    record.inFlightChange += 1;
    const request = this.requests.get(id) ?? this.#starting;
    if (request === undefined) return;
    request.sentTo.push(record.instance.id);
    request.end = onEnd;
  }

  /** The request whose run is being constructed. */
  #starting: GivenRequest | undefined;

  /** Gives the gateway a request of the rank. */
  start(id: string, rank = 0, account?: string): GivenRequest {
    const given = {
      ...{ id, answer: undefined, answeredAt: 0, sentTo: [], end: () => undefined },
    } as unknown as GivenRequest & { run: RequestRun };
    this.#starting = given;
    const run = new RequestRun(
      this.#host,
      {
        ...{ id, method: 'POST', target: '/', headers: [], callerHeaders: [] },
        ...{ body: Buffer.alloc(0), hasBody: false },
        ...{ route, service: SERVICE, version: undefined, retryVersion: undefined },
        ...{ account, rank, arrivedAt: this.now, deadline: this.now + route.timeout },
      },
      (answer) => {
        given.answer = answer;
        given.answeredAt = this.now;
      },
    );
    this.#starting = undefined;
    given.run = run;
    this.requests.set(id, given);
    return given;
  }

  getRequest(id: string): GivenRequest {
    const request = this.requests.get(id);
    if (request === undefined) throw new Error(`start the request ${id} first`);
    return request;
  }

  evacuate(zones: readonly string[]): void {
    this.registry.update(buildCatalog(zones));
  }

  /** Lets time pass. */
  advance(time: number): void {
    Array.from({ length: time }).forEach(() => {
      this.now += 1;
      mock.timers.tick(1);
    });
  }

  close(): void {
    this.requests.forEach(({ run }) => {
      run.cancel();
    });
    mock.timers.reset();
  }
}
