/** Steps that kill, suspend and restart the processes of a site and check what callers and operators get. */
import { Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { request } from 'undici';
import { waitUntil, type Site } from '../../bench/stand/site.js';
import { createContractCaller, type ContractCaller } from '../../bench/stand/caller.js';
import { getCallerAddresses, getSite, runTool, sendCall, type SiteWorld } from './path.steps.js';

interface FailureWorld extends SiteWorld {
  leaderId: string;
  keyedRequests: readonly KeyedRequest[];
  caller: ContractCaller;
}

/** A request with an idempotency key and the answers to all its attempts. */
interface KeyedRequest {
  readonly key: string;
  readonly answers: Promise<KeyedAnswer>[];
}

/** The answer to one attempt of a keyed request. */
interface KeyedAnswer {
  /** HTTP status; 0 if there was no answer. */
  readonly status: number;
  /** Whether the answer states that the request did not run. */
  readonly notRun: boolean;
  /** How often the request had run when it was answered as not run; 0 for other answers. */
  readonly runsAtAnswer: number;
}

const STEP_TIMEOUT_MS = 20_000;
const KEYED_REQUEST_COUNT = 12;
/** Milliseconds for which an entry stays suspended after the calls are sent. */
const FREEZE_MS = 6000;

function waitFor(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Reads the JSON object that a process serves at `/ready`. */
async function readState(site: Site, id: string): Promise<Readonly<Record<string, unknown>>> {
  const answer = await request(`http://${site.find(id).addresses.platform ?? ''}/ready`);
  return (await answer.body.json()) as Readonly<Record<string, unknown>>;
}

async function findLeader(site: Site): Promise<string> {
  const ids = site.processes.filter((one) => one.role === 'control').map((one) => one.id);
  const states = await Promise.all(ids.map((id) => readState(site, id)));
  const at = states.findIndex((state) => state.role === 'leader');
  assert.ok(at >= 0, 'no control process is the leader');
  return ids[at] ?? '';
}

/** Returns the requests that the upstreams still running have run, one string each that ends with the key. */
async function readRuns(site: Site): Promise<readonly string[]> {
  const upstreams = site.processes.filter(
    (one) => one.role === 'upstream' && one.child.exitCode === null,
  );
  const all = await Promise.all(
    upstreams.map(async (one) => {
      const answer = await request(`http://${one.addresses.caller ?? ''}/_/runs`);
      return (await answer.body.json()) as readonly string[];
    }),
  );
  return all.flat();
}

async function countRuns(site: Site, key: string): Promise<number> {
  return (await readRuns(site)).filter((run) => run.endsWith(` ${key}`)).length;
}

When(
  'the control leader gets the signal {string}',
  { timeout: STEP_TIMEOUT_MS },
  async function (this: FailureWorld, signal: NodeJS.Signals) {
    const site = getSite(this);
    this.leaderId = await findLeader(site);
    if (signal === 'SIGKILL') await site.end(this.leaderId, signal);
    else site.find(this.leaderId).child.kill(signal);
  },
);

When(
  'the killed control process is restarted',
  { timeout: STEP_TIMEOUT_MS },
  async function (this: FailureWorld) {
    await getSite(this).restart(this.leaderId);
  },
);

When(
  'the suspended control process resumes',
  { timeout: STEP_TIMEOUT_MS },
  async function (this: FailureWorld) {
    getSite(this).find(this.leaderId).child.kill('SIGCONT');
    await waitFor(3000);
  },
);

Then(
  'the site shows the zones {string} as out',
  { timeout: STEP_TIMEOUT_MS },
  async function (this: FailureWorld, zones: string) {
    const shown = JSON.parse(await runTool(getSite(this), ['show', '--json'])) as {
      readonly zones: readonly { readonly zone: string; readonly out: boolean }[];
    };
    const out = shown.zones.filter((one) => one.out).map((one) => one.zone);
    assert.deepEqual([...out].sort(), zones === '' ? [] : zones.split(', '));
  },
);

Then('no entry of the site ever lowered its revision', function (this: FailureWorld) {
  getSite(this)
    .processes.filter((one) => one.role === 'entry')
    .forEach(({ id, output }) => {
      const revisions = [...output.matchAll(/"revision":(\d+)/g)].map((match) => Number(match[1]));
      assert.ok(revisions.length > 0);
      assert.deepEqual(
        revisions,
        [...revisions].sort((one, two) => one - two),
        `${id} lowered its revision`,
      );
    });
});

When(
  'the entry {string} gets the signal {string}',
  async function (this: FailureWorld, id: string, signal: NodeJS.Signals) {
    getSite(this).find(id).child.kill(signal);
    await waitFor(signal === 'SIGCONT' ? 500 : 0);
  },
);

When(
  '{int} calls for {string} are sent to the suspended entry {string}, which then resumes',
  { timeout: 60_000 },
  async function (this: FailureWorld, count: number, service: string, id: string) {
    const process = getSite(this).find(id);
    const calls = Array.from({ length: count }, (_, at) =>
      sendCall(process.addresses.caller ?? '', service, at),
    );
    await waitFor(FREEZE_MS);
    process.child.kill('SIGCONT');
    this.answers = await Promise.all(calls);
  },
);

Given(
  'every entry of the site is ready for claims',
  { timeout: STEP_TIMEOUT_MS },
  async function (this: FailureWorld) {
    const site = getSite(this);
    const entries = site.processes.filter((one) => one.role === 'entry');
    const isReady = async (platform: string): Promise<boolean> =>
      /^chivewalk_claims_ready\{[^}]*\} 1$/m.test(
        await (await request(`http://${platform}/metrics`)).body.text(),
      );
    await waitUntil(
      async () =>
        (await Promise.all(entries.map((one) => isReady(one.addresses.platform ?? '')))).every(
          Boolean,
        ),
      STEP_TIMEOUT_MS,
      () => 'every entry is ready for claims',
    );
  },
);

async function sendKeyed(
  site: Site,
  entry: string,
  service: string,
  key: string,
): Promise<KeyedAnswer> {
  try {
    const answer = await request(
      `http://${site.find(entry).addresses.caller ?? ''}/${service}/holds`,
      {
        method: 'POST',
        headers: { 'idempotency-key': key },
        body: `hold ${key}`,
        headersTimeout: STEP_TIMEOUT_MS,
      },
    );
    await answer.body.text();
    const notRun = answer.headers['x-chivewalk-not-run'] === '1';
    return {
      status: answer.statusCode,
      notRun,
      runsAtAnswer: notRun ? await countRuns(site, key) : 0,
    };
  } catch {
    return { status: 0, notRun: false, runsAtAnswer: 0 };
  }
}

When(
  'keyed requests for {string} are sent through {string} while it is suspended repeatedly',
  { timeout: 60_000 },
  async function (this: FailureWorld, service: string, entry: string) {
    const site = getSite(this);
    this.keyedRequests = Array.from({ length: KEYED_REQUEST_COUNT }, (_, at) => ({
      key: `key-${at}`,
      answers: [],
    }));
    // Each request gets a millisecond more before the entry is suspended, so that the suspensions hit the entry before,
    // while and after it claims the key, sends the request and answers.
    for (const [at, { key, answers }] of this.keyedRequests.entries()) {
      answers.push(sendKeyed(site, entry, service, key));
      await waitFor(at);
      site.find(entry).child.kill('SIGSTOP');
      await waitFor(100);
      if (at < KEYED_REQUEST_COUNT - 1) site.find(entry).child.kill('SIGCONT');
    }
  },
);

When(
  'each is retried through {string} and {string}',
  { timeout: 120_000 },
  async function (this: FailureWorld, first: string, second: string) {
    const site = getSite(this);
    const again = this.keyedRequests.map(async ({ key, answers }) => {
      const both = [first, second].map((entry) => sendKeyed(site, entry, 'hold-filing', key));
      answers.push(...both);
      await Promise.all(both);
    });
    await Promise.all(again);
  },
);

Then(
  'no keyed request ran more than once',
  { timeout: STEP_TIMEOUT_MS },
  async function (this: FailureWorld) {
    const runs = await readRuns(getSite(this));
    const counts = this.keyedRequests.map(({ key }) => ({
      key,
      count: runs.filter((run) => run.endsWith(` ${key}`)).length,
    }));
    assert.deepEqual(
      counts.filter(({ count }) => count > 1),
      [],
    );
    assert.ok(
      counts.some(({ count }) => count === 1),
      'no keyed request ran',
    );
  },
);

Then(
  'no keyed request that was answered as not run had run before that answer',
  { timeout: 60_000 },
  async function (this: FailureWorld) {
    const answers = (await Promise.all(this.keyedRequests.flatMap((one) => one.answers))).filter(
      (one) => one.notRun,
    );
    assert.deepEqual(
      answers.filter(({ runsAtAnswer }) => runsAtAnswer > 0),
      [],
    );
  },
);

Given(
  '{int} upstreams of {string} that crash on requests whose path contains {string}',
  { timeout: 60_000 },
  async function (this: FailureWorld, count: number, service: string, path: string) {
    const site = getSite(this);
    const started = await Promise.all(
      Array.from({ length: count }, (_, at) =>
        site.addUpstream({
          id: `${service}-${at}`,
          service,
          zone: this.zones[at % this.zones.length] ?? '',
        }),
      ),
    );
    await Promise.all(
      started.map((one) =>
        request(`http://${one.addresses.caller ?? ''}/_/fault`, {
          method: 'POST',
          body: JSON.stringify({ killer: path }),
        }),
      ),
    );
    const answers = async (): Promise<boolean> =>
      (
        await Promise.all(getCallerAddresses(site).map((entry) => sendCall(entry, service, 0)))
      ).every((one) => one.status === 200);
    await waitUntil(answers, STEP_TIMEOUT_MS, () => `${service} answers`);
  },
);

When(
  'the caller sends the crashing request {int} times, through all entries',
  { timeout: 60_000 },
  async function (this: FailureWorld, count: number) {
    const entries = getCallerAddresses(getSite(this));
    const answers = [];
    for (let at = 0; at < count; at += 1) {
      const answer = await request(`http://${entries[at % entries.length] ?? ''}/orders/poison`);
      answers.push({ path: '/poison', status: answer.statusCode, text: await answer.body.text() });
      await waitFor(200);
    }
    this.answers = answers;
  },
);

Then('at most {int} upstreams have crashed', function (this: FailureWorld, limit: number) {
  const crashed = getSite(this).processes.filter(
    (one) => one.role === 'upstream' && one.child.exitCode !== null,
  );
  assert.ok(crashed.length > 0, 'the request crashed no upstream');
  assert.ok(crashed.length <= limit, `${crashed.length} upstreams crashed`);
});

Then('the last crashing request was refused by its fingerprint', function (this: FailureWorld) {
  assert.match(this.answers.at(-1)?.text ?? '', /fingerprintCondemned/);
});

Then(
  'other calls for {string} are answered successfully',
  async function (this: FailureWorld, service: string) {
    const entries = getCallerAddresses(getSite(this));
    const answers = await Promise.all(entries.map((entry) => sendCall(entry, service, 1)));
    assert.deepEqual(
      answers.filter((one) => one.status !== 200),
      [],
    );
  },
);

When(
  'a caller that follows the contract for callers calls {string} while each entry is restarted',
  { timeout: 180_000 },
  async function (this: FailureWorld, service: string) {
    const site = getSite(this);
    this.caller = createContractCaller({ seeds: getCallerAddresses(site), service, callers: 8 });
    const entries = site.processes.filter((one) => one.role === 'entry').map((one) => one.id);
    for (const id of entries) {
      await site.end(id, 'SIGTERM');
      await site.restart(id);
      await waitFor(500);
    }
    await this.caller.stop();
  },
);

Then('no request of that caller was cut off or refused', function (this: FailureWorld) {
  assert.ok(this.caller.answered > 100, `only ${this.caller.answered} requests were answered`);
  assert.deepEqual(this.caller.problems, []);
});

When(
  'the control process {string} loses its disk and restarts with join = true',
  { timeout: 60_000 },
  async function (this: FailureWorld, id: string) {
    const site = getSite(this);
    await site.end(id, 'SIGKILL');
    await site.replaceDisk(id);
  },
);

When(
  'the control process {string} is killed and not restarted',
  { timeout: STEP_TIMEOUT_MS },
  async function (this: FailureWorld, id: string) {
    await getSite(this).end(id, 'SIGKILL');
  },
);
