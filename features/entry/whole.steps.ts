import { Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { Agent, get } from 'node:http';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { createRouter } from '../../src/entry/index.js';
import {
  BEHAVIOUR_FIELD,
  behaviours,
  createBody,
  createScriptedListener,
  ID_FIELD,
  type Behaviour,
  type RunLog,
} from './scripted.js';
import {
  announceUpstreams,
  sendCall,
  startEntry,
  startUpstream,
  type EntryWorld,
  type ObservedResponse,
} from './world.js';

interface PlannedRequest {
  readonly id: string;
  readonly method: string;
  readonly behaviour: Behaviour;
  readonly bodySize: number;
  readonly chunked: boolean;
  readonly deadlineMs: number;
  readonly abortAfterMs: number | undefined;
}

interface RequestResult {
  readonly planned: PlannedRequest;
  readonly observed: ObservedResponse | undefined;
}

interface CompleteResponseWorld extends EntryWorld {
  upstreamLog: RunLog;
  /** Whether the real routing is used; it refuses more calls, since it avoids failing upstreams. */
  usesRealRouting: boolean;
  results: RequestResult[];
  /** Largest number of bytes that the upstream was ahead of the caller. */
  maxBytesAhead: number;
  bytesRead: number;
}

const STEPS = Number(process.env.STEPS ?? 600);
const SEED = Number(process.env.SEED ?? 11);
const BASE_TIMEOUT_MS = 20_000;
const STEP_TIMEOUT_MS = 20;
const CONNECTIONS = 12;
const METHODS = ['GET', 'GET', 'HEAD', 'POST', 'POST', 'PUT', 'PATCH', 'DELETE'] as const;
const BODY_SIZES = [0, 10, 3000, 100_000] as const;
const DEADLINE_MS = 60;
const LONG_DEADLINE_MS = 20_000;
const ABORT_SHARE = 0.15;
const ABORT_WITHIN_MS = 30;

function planRequests(count: number, seed: number): readonly PlannedRequest[] {
  const generator = xoroshiro128plus(seed);
  const draw = (): number => uniformFloat64(generator);
  const pick = <Item>(items: readonly Item[]): Item => {
    const item = items[Math.floor(draw() * items.length)];
    assert.ok(item !== undefined);
    return item;
  };
  return Array.from({ length: count }, (_, at) => {
    const method = pick(METHODS);
    const behaviour = pick(behaviours);
    const hasBody = method !== 'GET' && method !== 'HEAD';
    const isLate = behaviour === 'never' || behaviour === 'late';
    return {
      id: `request-${at}`,
      method,
      behaviour,
      bodySize: hasBody ? pick(BODY_SIZES) : 0,
      chunked: draw() < 0.3,
      deadlineMs: isLate ? DEADLINE_MS : LONG_DEADLINE_MS,
      abortAfterMs: draw() < ABORT_SHARE ? draw() * ABORT_WITHIN_MS : undefined,
    };
  });
}

async function runPlanned(
  port: number,
  agent: Agent,
  planned: PlannedRequest,
): Promise<RequestResult> {
  const { id, method, behaviour, bodySize, chunked, deadlineMs, abortAfterMs } = planned;
  const framing = chunked
    ? { 'transfer-encoding': 'chunked' }
    : { 'content-length': String(bodySize) };
  const observed = await sendCall({
    port,
    method,
    path: `/seam/${id}`,
    agent,
    headers: {
      [ID_FIELD]: id,
      [BEHAVIOUR_FIELD]: behaviour,
      'x-chivewalk-deadline-ms': String(deadlineMs),
      ...(bodySize > 0 ? framing : {}),
    },
    ...(bodySize > 0 ? { body: 'x'.repeat(bodySize) } : {}),
    ...(abortAfterMs === undefined ? {} : { abortAfterMs }),
  }).catch(() => undefined);
  return { planned, observed };
}

function isEntryRefusal(observed: ObservedResponse): boolean {
  return observed.headers[ID_FIELD] === undefined && observed.status >= 500;
}

function hasEmptyBody({ method, behaviour }: PlannedRequest): boolean {
  return method === 'HEAD' || ['empty', 'unchanged', 'unchangedWithLength'].includes(behaviour);
}

/** Describes the fault in a response to a caller; returns undefined if there is none. */
function findFault({ planned, observed }: RequestResult): string | undefined {
  if (observed?.complete !== true || isEntryRefusal(observed)) return undefined;
  if (observed.headers[ID_FIELD] !== planned.id) {
    return `${planned.id} got the head of ${String(observed.headers[ID_FIELD])}`;
  }
  const wanted = hasEmptyBody(planned) ? '' : createBody(planned.id, planned.behaviour);
  if (observed.body === wanted) return undefined;
  return `${planned.id} (${planned.method}, ${planned.behaviour}) got ${observed.body.slice(0, 80)}`;
}

Given(
  /^an entry with (fake|real) routing and two upstreams whose behaviour each request selects$/,
  async function (this: CompleteResponseWorld, routing: string) {
    this.usesRealRouting = routing === 'real';
    this.harness = await startEntry(this.usesRealRouting ? { routing: createRouter() } : {});
    this.upstreamLog = { runs: new Map() };
    const listener = createScriptedListener(this.upstreamLog);
    announceUpstreams(this.harness, [await startUpstream(listener), await startUpstream(listener)]);
  },
);

When(
  'a seeded mix of requests is sent over keep-alive connections',
  { timeout: BASE_TIMEOUT_MS + STEPS * STEP_TIMEOUT_MS },
  async function (this: CompleteResponseWorld) {
    const agent = new Agent({ keepAlive: true, maxSockets: CONNECTIONS });
    const pending = [...planRequests(STEPS, SEED)];
    this.results = [];
    const runNext = async (): Promise<void> => {
      const planned = pending.shift();
      if (planned === undefined) return;
      this.results.push(await runPlanned(this.harness.port, agent, planned));
      await runNext();
    };
    await Promise.all(Array.from({ length: CONNECTIONS }, runNext));
    agent.destroy();
  },
);

Then(
  'every caller got its own complete response, a refusal, or a visible truncation',
  function (this: CompleteResponseWorld) {
    const completeResponses = this.results.filter(
      ({ observed }) => observed?.complete === true && !isEntryRefusal(observed),
    );
    const refused = this.results.filter(
      ({ observed }) => observed !== undefined && isEntryRefusal(observed),
    );
    const truncatedCount = this.results.length - completeResponses.length - refused.length;
    if (process.env.STEPS !== undefined) {
      console.log(
        `complete ${completeResponses.length}, refused ${refused.length}, truncated or aborted ${truncatedCount}`,
      );
    }
    assert.equal(this.results.length, STEPS);
    assert.deepEqual(this.harness.defects, []);
    assert.deepEqual(
      this.results.map(findFault).filter((fault) => fault !== undefined),
      [],
    );
    const plainResponses = completeResponses.filter(({ planned }) => planned.behaviour === 'plain');
    const plainRequests = this.results.filter(
      ({ planned }) => planned.behaviour === 'plain' && planned.abortAfterMs === undefined,
    );
    assert.ok(
      this.usesRealRouting || plainResponses.length >= plainRequests.length,
      'a plain request that was not aborted got no complete response',
    );
  },
);

Then('no non-idempotent request ran twice', function (this: CompleteResponseWorld) {
  const repeatedRuns = this.results.filter(({ planned }) => {
    const isNonIdempotent = planned.method === 'POST' || planned.method === 'PATCH';
    return isNonIdempotent && (this.upstreamLog.runs.get(planned.id) ?? 0) > 1;
  });
  assert.deepEqual(repeatedRuns, []);
});

Then('every refusal that reports not-run is correct', function (this: CompleteResponseWorld) {
  const notRunRefusals = this.results.filter(
    ({ observed }) => observed?.headers['x-chivewalk-not-run'] === '1',
  );
  assert.ok(notRunRefusals.length > 0);
  assert.deepEqual(
    notRunRefusals.filter(({ planned }) => this.upstreamLog.runs.has(planned.id)),
    [],
  );
});

const BODY_BYTES = 100 * 1024 * 1024;
const CHUNK_BYTES = 64 * 1024;
const PAUSE_EVERY_BYTES = 1024 * 1024;
/** Bound for the socket buffers of both connections and the entry's own; far below the body size on any kernel. */
const MAX_BYTES_AHEAD = 40 * 1024 * 1024;

Given('an entry with an upstream that sends 100 MB', async function (this: CompleteResponseWorld) {
  this.harness = await startEntry();
  this.maxBytesAhead = 0;
  this.bytesRead = 0;
  const chunk = Buffer.alloc(CHUNK_BYTES, 'b');
  const address = await startUpstream((_, response) => {
    let sent = 0;
    const writeMore = (): void => {
      while (sent < BODY_BYTES) {
        sent += CHUNK_BYTES;
        this.maxBytesAhead = Math.max(this.maxBytesAhead, sent - this.bytesRead);
        if (!response.write(chunk)) {
          response.once('drain', writeMore);
          return;
        }
      }
      response.end();
    };
    response.writeHead(200, { 'content-length': String(BODY_BYTES) });
    writeMore();
  });
  announceUpstreams(this.harness, [address]);
});

When('a slow caller reads it', { timeout: 60_000 }, async function (this: CompleteResponseWorld) {
  await new Promise<void>((resolve, reject) => {
    get(
      { host: '127.0.0.1', port: this.harness.port, path: '/seam/big', agent: false },
      (answer) => {
        let pausedAt = 0;
        answer.on('data', (chunk: Buffer) => {
          this.bytesRead += chunk.length;
          if (this.bytesRead - pausedAt < PAUSE_EVERY_BYTES) return;
          pausedAt = this.bytesRead;
          answer.pause();
          setTimeout(() => answer.resume(), 2);
        });
        answer.on('end', resolve);
        answer.on('error', reject);
      },
    ).on('error', reject);
  });
});

Then(
  'the complete body arrives and the upstream never gets far ahead of the caller',
  function (this: CompleteResponseWorld) {
    assert.equal(this.bytesRead, BODY_BYTES);
    assert.ok(
      this.maxBytesAhead < MAX_BYTES_AHEAD,
      `the upstream was ${this.maxBytesAhead} bytes ahead of the caller`,
    );
  },
);
