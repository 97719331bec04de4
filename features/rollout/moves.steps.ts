import { Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import {
  addEvidenceBlock,
  createJudgement,
  mergeEvidence,
  planMove,
  startStep,
  toEvidenceRow,
  type EvidenceRow,
  type PlannedMove,
} from '../../src/rollout/index.js';
import type { SnapshotWorld } from '../support/snapshot.js';

interface Call {
  readonly isNew: boolean;
  readonly route: string;
  readonly share: number;
  /** Seconds since the start. */
  readonly second: number;
}

interface Scenario {
  readonly expectedEnd: 'done' | 'takenBack';
  readonly callsPerSecond: number;
  readonly failRate: (call: Call) => number;
  readonly latencyFactor: (call: Call) => number;
}

interface RolloutResult {
  readonly end: 'done' | 'takenBack' | 'deadline' | 'open';
  readonly share: number;
  readonly seconds: number;
}

interface RolloutWorld extends SnapshotWorld {
  expectedEnd: 'done' | 'takenBack';
  results: readonly RolloutResult[];
}

const BASE_FAILURE_RATE = 0.005;
const HOUR_SECONDS = 3600;
const LATE_FAULT_SECOND = 900;
const good: Scenario = {
  expectedEnd: 'done',
  callsPerSecond: 40,
  failRate: () => BASE_FAILURE_RATE,
  latencyFactor: () => 1,
};
const bad: Scenario = { ...good, expectedEnd: 'takenBack' };
const isOutage = ({ second }: Call): boolean => second > 200 && second < 400;
const SCENARIOS: Readonly<Record<string, Scenario>> = {
  good,
  'good while the whole service fails': {
    ...good,
    failRate: (call) => (isOutage(call) ? 0.4 : BASE_FAILURE_RATE),
  },
  'good while the whole service slows': {
    ...good,
    latencyFactor: (call) => (isOutage(call) ? 4 : 1),
  },
  'good with few calls': { ...good, callsPerSecond: 2 },
  'failing at once': { ...bad, failRate: ({ isNew }) => (isNew ? 0.1 : BASE_FAILURE_RATE) },
  'failing on one route': {
    ...bad,
    failRate: ({ isNew, route }) => (isNew && route === 'holds' ? 0.3 : BASE_FAILURE_RATE),
  },
  slow: { ...bad, latencyFactor: ({ isNew }) => (isNew ? 2 : 1) },
  'failing under load': {
    ...bad,
    failRate: ({ isNew, share }) => (isNew && share >= 0.5 ? 0.1 : BASE_FAILURE_RATE),
  },
  'failing with all traffic only': {
    ...bad,
    failRate: ({ isNew, share }) => (isNew && share >= 1 ? 0.1 : BASE_FAILURE_RATE),
  },
  'failing later': {
    ...bad,
    failRate: ({ isNew, second }) =>
      isNew && second > LATE_FAULT_SECOND ? 0.1 : BASE_FAILURE_RATE,
  },
};

type Draw = () => number;

/** Returns the evidence of the random calls of one second. */
function buildBlock(
  scenario: Scenario,
  share: number,
  second: number,
  draw: Draw,
): readonly EvidenceRow[] {
  const calls = Array.from({ length: scenario.callsPerSecond }, () => {
    const call = { isNew: draw() < share, route: draw() < 0.2 ? 'holds' : 'seams', share, second };
    const gauss = Math.sqrt(-2 * Math.log(1 - draw())) * Math.cos(2 * Math.PI * draw());
    return toEvidenceRow({
      service: 'seam',
      version: call.isNew ? 'v2' : 'v1',
      route: call.route,
      failed: draw() < scenario.failRate(call),
      latency: 10 * Math.exp(gauss / 2) * scenario.latencyFactor(call),
    });
  });
  return mergeEvidence([], calls);
}

function runRollout(scenario: Scenario, seed: number): RolloutResult {
  const random = xoroshiro128plus(seed);
  const draw: Draw = () => uniformFloat64(random);
  const deadline = HOUR_SECONDS * 1000;
  let move: PlannedMove = { step: 0, share: 0, late: false, startedAt: 0, deadline, stepAt: 0 };
  let judgement = createJudgement('v2');
  for (let second = 1; second <= HOUR_SECONDS + 10; second += 1) {
    const rows = buildBlock(scenario, move.share, second, draw);
    judgement = addEvidenceBlock(judgement, rows, move.share === 1);
    const action = planMove(move, judgement, 1, second * 1000);
    if (action.kind === 'finish') return { end: 'done', share: move.share, seconds: second };
    if (action.kind === 'takeBack') {
      const end = action.evidence.startsWith('the deadline') ? 'deadline' : 'takenBack';
      return { end, share: move.share, seconds: second };
    }
    if (action.kind === 'step') {
      if (action.share !== move.share) judgement = startStep(judgement);
      const stepAt = action.share === move.share ? move.stepAt : second * 1000;
      move = { ...move, step: move.step + 1, share: action.share, late: action.late, stepAt };
    }
  }
  return { end: 'open', share: move.share, seconds: HOUR_SECONDS };
}

When(
  /^seeded rollouts of a version that is (.+) are simulated$/,
  { timeout: 3_600_000 },
  function (this: RolloutWorld, name: string) {
    const scenario = SCENARIOS[name];
    assert.ok(scenario !== undefined, name);
    const runs = Number(process.env.SEEDS ?? 5);
    this.expectedEnd = scenario.expectedEnd;
    this.results = Array.from({ length: runs }, (_, index) => runRollout(scenario, index + 1));
    if (process.env.SHOW_COUNTS !== '1') return;
    const wrong = this.results.filter(({ end }) => end !== scenario.expectedEnd).length;
    const seconds = this.results.map((result) => result.seconds).sort((one, two) => one - two);
    const shares = this.results.map((result) => result.share);
    const median = seconds[Math.floor(runs / 2)] ?? 0;
    console.log(
      `${name}: ${wrong} of ${runs} wrong, median ${median} s, highest share at the end ${Math.max(...shares)}`,
    );
  },
);

Then(
  'at most {int} % of the rollouts end with the wrong outcome, and none stays open',
  function (this: RolloutWorld, percent: number) {
    const wrong = this.results.filter(({ end }) => end !== this.expectedEnd).length;
    assert.ok(wrong * 100 <= percent * this.results.length, `${wrong} of ${this.results.length}`);
    assert.ok(this.results.every(({ end }) => end !== 'open'));
  },
);

Then(
  'no bad version had more than {int} % of the traffic when it was rolled back',
  function (this: RolloutWorld, percent: number) {
    const shares = this.results.filter(({ end }) => end === 'takenBack').map(({ share }) => share);
    assert.ok(Math.max(0, ...shares) * 100 <= percent, `${Math.max(0, ...shares)}`);
  },
);

Then('the rollout plans in edge cases match the snapshot', function (this: RolloutWorld) {
  const move = { step: 3, share: 0.05, late: false, startedAt: 0, deadline: 3_600_000, stepAt: 0 };
  const judgement = { ...createJudgement('v2'), samples: 500 };
  const plans = {
    'first step': planMove({ ...move, share: 0 }, createJudgement('v2'), 1, 0),
    'enough evidence': planMove(move, judgement, 1, 60_000),
    'too early': planMove(move, judgement, 1, 1000),
    'no calls at all': planMove(move, createJudgement('v2'), 1, 60_000),
    'no calls for long': planMove(move, createJudgement('v2'), 1, 100_000),
    'upstreams can handle less than the next share': planMove(move, judgement, 0.07, 60_000),
    'upstreams can handle less than the share, as a zone went out': planMove(
      move,
      judgement,
      0.03,
      60_000,
    ),
    'deadline near': planMove(move, judgement, 1, 3_599_000),
    'deadline passed': planMove(move, judgement, 1, 3_600_000),
    'all traffic moved': planMove({ ...move, share: 1 }, judgement, 1, 60_000),
    'all traffic moved after the deadline': planMove(
      { ...move, share: 1 },
      judgement,
      1,
      3_600_001,
    ),
    'soak at 90 %': planMove({ ...move, share: 0.9 }, judgement, 1, 60_000),
    'after the soak': planMove({ ...move, share: 0.9 }, judgement, 1, 700_000),
  };
  this.matchSnapshot(plans);
});
