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
  createUnruly,
  ID_FIELD,
  type Behaviour,
  type UnrulyLog,
} from './unruly.js';
import {
  announceUpstreams,
  sendCall,
  startEntry,
  startUpstream,
  type EntryWorld,
  type SeenAnswer,
} from './world.js';

interface Planned {
  readonly id: string;
  readonly method: string;
  readonly behaviour: Behaviour;
  readonly bodySize: number;
  readonly chunked: boolean;
  readonly deadline: number;
  readonly abortAfter: number | undefined;
}

interface Result {
  readonly planned: Planned;
  readonly seen: SeenAnswer | undefined;
}

interface WholeWorld extends EntryWorld {
  upstreamLog: UnrulyLog;
  /** Whether the real routing decides; it refuses more, since it spares upstreams that fail. */
  isReal: boolean;
  results: Result[];
  /** Bytes that the upstream was ahead of the caller at most. */
  ahead: number;
  size: number;
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

function planRequests(count: number, seed: number): readonly Planned[] {
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
      deadline: isLate ? DEADLINE_MS : LONG_DEADLINE_MS,
      abortAfter: draw() < ABORT_SHARE ? draw() * ABORT_WITHIN_MS : undefined,
    };
  });
}

async function runPlanned(port: number, agent: Agent, planned: Planned): Promise<Result> {
  const { id, method, behaviour, bodySize, chunked, deadline, abortAfter } = planned;
  const framing = chunked
    ? { 'transfer-encoding': 'chunked' }
    : { 'content-length': String(bodySize) };
  const seen = await sendCall({
    port,
    method,
    path: `/seam/${id}`,
    agent,
    headers: {
      [ID_FIELD]: id,
      [BEHAVIOUR_FIELD]: behaviour,
      'x-chivewalk-deadline-ms': String(deadline),
      ...(bodySize > 0 ? framing : {}),
    },
    ...(bodySize > 0 ? { body: 'x'.repeat(bodySize) } : {}),
    ...(abortAfter === undefined ? {} : { abortAfter }),
  }).catch(() => undefined);
  return { planned, seen };
}

function isEntryRefusal(seen: SeenAnswer): boolean {
  return seen.headers[ID_FIELD] === undefined && seen.status >= 500;
}

function hasNoBody({ method, behaviour }: Planned): boolean {
  return method === 'HEAD' || ['empty', 'unchanged', 'unchangedWithLength'].includes(behaviour);
}

/** Returns what is wrong with what a caller saw, if anything. */
function findFault({ planned, seen }: Result): string | undefined {
  if (seen?.complete !== true || isEntryRefusal(seen)) return undefined;
  if (seen.headers[ID_FIELD] !== planned.id) {
    return `${planned.id} got the head of ${String(seen.headers[ID_FIELD])}`;
  }
  const wanted = hasNoBody(planned) ? '' : createBody(planned.id, planned.behaviour);
  if (seen.body === wanted) return undefined;
  return `${planned.id} (${planned.method}, ${planned.behaviour}) got ${seen.body.slice(0, 80)}`;
}

Given(
  /^an entry with (stand-in|real) routing and two upstreams that behave as each request asks$/,
  async function (this: WholeWorld, routing: string) {
    this.isReal = routing === 'real';
    this.parts = await startEntry(this.isReal ? { routing: createRouter() } : {});
    this.upstreamLog = { runs: new Map() };
    const listener = createUnruly(this.upstreamLog);
    announceUpstreams(this.parts, [await startUpstream(listener), await startUpstream(listener)]);
  },
);

When(
  'a seeded mix of requests is sent over kept connections',
  { timeout: BASE_TIMEOUT_MS + STEPS * STEP_TIMEOUT_MS },
  async function (this: WholeWorld) {
    const agent = new Agent({ keepAlive: true, maxSockets: CONNECTIONS });
    const waiting = [...planRequests(STEPS, SEED)];
    this.results = [];
    const runNext = async (): Promise<void> => {
      const planned = waiting.shift();
      if (planned === undefined) return;
      this.results.push(await runPlanned(this.parts.port, agent, planned));
      await runNext();
    };
    await Promise.all(Array.from({ length: CONNECTIONS }, runNext));
    agent.destroy();
  },
);

Then(
  'every caller got its own whole answer, a refusal, or a visible cut',
  function (this: WholeWorld) {
    const whole = this.results.filter(
      ({ seen }) => seen?.complete === true && !isEntryRefusal(seen),
    );
    const refused = this.results.filter(({ seen }) => seen !== undefined && isEntryRefusal(seen));
    const cut = this.results.length - whole.length - refused.length;
    if (process.env.STEPS !== undefined) {
      console.log(`whole ${whole.length}, refused ${refused.length}, cut or aborted ${cut}`);
    }
    assert.equal(this.results.length, STEPS);
    assert.deepEqual(this.parts.defects, []);
    assert.deepEqual(
      this.results.map(findFault).filter((fault) => fault !== undefined),
      [],
    );
    const sound = whole.filter(({ planned }) => planned.behaviour === 'plain');
    const asked = this.results.filter(
      ({ planned }) => planned.behaviour === 'plain' && planned.abortAfter === undefined,
    );
    assert.ok(
      this.isReal || sound.length >= asked.length,
      'a plain request without a fault got no answer',
    );
  },
);

Then('no request that is not idempotent ran twice', function (this: WholeWorld) {
  const twice = this.results.filter(({ planned }) => {
    const once = planned.method === 'POST' || planned.method === 'PATCH';
    return once && (this.upstreamLog.runs.get(planned.id) ?? 0) > 1;
  });
  assert.deepEqual(twice, []);
});

Then('every refusal that says not run is true', function (this: WholeWorld) {
  const claimed = this.results.filter(({ seen }) => seen?.headers['x-chivewalk-not-run'] === '1');
  assert.ok(claimed.length > 0);
  assert.deepEqual(
    claimed.filter(({ planned }) => this.upstreamLog.runs.has(planned.id)),
    [],
  );
});

const BIG_BYTES = 100 * 1024 * 1024;
const CHUNK_BYTES = 64 * 1024;
const PAUSE_EVERY_BYTES = 1024 * 1024;
/** Socket buffers of both connections and the entry's own: far below the body, whatever the kernel. */
const AHEAD_LIMIT_BYTES = 40 * 1024 * 1024;

Given('an entry with an upstream that sends 100 MB', async function (this: WholeWorld) {
  this.parts = await startEntry();
  this.ahead = 0;
  this.size = 0;
  const chunk = Buffer.alloc(CHUNK_BYTES, 'b');
  const address = await startUpstream((_, response) => {
    let sent = 0;
    const writeMore = (): void => {
      while (sent < BIG_BYTES) {
        sent += CHUNK_BYTES;
        this.ahead = Math.max(this.ahead, sent - this.size);
        if (!response.write(chunk)) {
          response.once('drain', writeMore);
          return;
        }
      }
      response.end();
    };
    response.writeHead(200, { 'content-length': String(BIG_BYTES) });
    writeMore();
  });
  announceUpstreams(this.parts, [address]);
});

When('a slow caller reads it', { timeout: 60_000 }, async function (this: WholeWorld) {
  await new Promise<void>((resolve, reject) => {
    get({ host: '127.0.0.1', port: this.parts.port, path: '/seam/big', agent: false }, (answer) => {
      let pausedAt = 0;
      answer.on('data', (chunk: Buffer) => {
        this.size += chunk.length;
        if (this.size - pausedAt < PAUSE_EVERY_BYTES) return;
        pausedAt = this.size;
        answer.pause();
        setTimeout(() => answer.resume(), 2);
      });
      answer.on('end', resolve);
      answer.on('error', reject);
    }).on('error', reject);
  });
});

Then(
  'the whole body arrives and the upstream never ran far ahead of the caller',
  function (this: WholeWorld) {
    assert.equal(this.size, BIG_BYTES);
    assert.ok(this.ahead < AHEAD_LIMIT_BYTES, `the upstream was ${this.ahead} bytes ahead`);
  },
);
