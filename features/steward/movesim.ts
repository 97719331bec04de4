/** Simulates a traffic move to a version with a fault: its requests, their evidence, and the leader that judges it. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { TrafficMove } from '../../src/catalog/index.js';
import {
  addEvidenceBlock,
  createJudgement,
  startStep,
  toEvidenceRow,
  mergeEvidence,
  type EvidenceRow,
  type Judgement,
} from '../../src/rollout/index.js';
import { planMoveStep } from '../../src/steward/index.js';

/** The behaviour of the new version, of the upstreams and of the control group in one simulated move. */
export interface MoveScenario {
  readonly kind: 'good' | 'failing' | 'hanging' | 'slow';
  readonly duration: number;
  /** Share of the new version's requests that show its fault. */
  readonly faultShare: number;
  readonly from: number;
  readonly above: number;
  /** Whether only requests of the first route show the fault. */
  readonly isOneRoute: boolean;
  readonly leaderChangeAt: number;
  readonly evidenceStopsAt: number;
  /** When a third of the upstreams of both versions begin to fail, and until when. */
  readonly ill: readonly [from: number, until: number];
}

export interface MoveOutcome {
  readonly requests: number;
  readonly exposed: number;
  /** Requests to the new version sent later than {@link ROLLBACK_TIME} after its 50th bad answer. */
  readonly afterRollback: number;
  readonly state: TrafficMove['state'];
}

/** Milliseconds after the 50th bad answer within which a bad version must get no request any more. */
const ROLLBACK_TIME = 5000;
const TOLERATED_BAD_ANSWERS = 50;
/** Milliseconds after the deadline for which requests are sent. */
const AFTERMATH = 14_000;
const ROUTES = [
  { name: 'r1', share: 0.56, work: 280 },
  { name: 'r2', share: 0.44, work: 60 },
] as const;
const UPSTREAMS = 14;
/** Share of the upstreams that are ill while some are, and of their requests that fail then. */
const ILL_SHARE = 0.3;
const ILL_FAILURE_RATE = 0.3;
/** How fast evidence reaches the leader, and how often it is looked at; milliseconds. */
export interface EvidenceTimes {
  /** Interval of the leader's checks. */
  readonly tick: number;
  /** From a bad answer to its arrival at the leader. */
  readonly bad: number;
  /** From any other answer to its arrival. */
  readonly other: number;
  /** Multiple of a request's usual work after which one that still runs is reported as slow. */
  readonly overdue: number;
}

/** Times with all losses and delays that are usual. */
export const LATE_EVIDENCE: EvidenceTimes = { tick: 200, bad: 250, other: 250, overdue: Infinity };
/** Times of processes that have enough of the processor, on links that lose nothing. */
export const PROMPT_EVIDENCE: EvidenceTimes = { tick: 50, bad: 50, other: 250, overdue: 1.7 };

/** Milliseconds without a leader after one is lost, in which evidence is lost too. */
const ELECTION_TIME = 1600;
/** Milliseconds after which a request that hangs fails, as it may not be repeated. */
const TIMEOUT = 800;
/** Milliseconds after which an attempt that hangs is cancelled, as a hedge has answered the request. */
const HEDGED_TIME = 760;
const BASE_FAILURE_RATE = 0.01;

/** Reads a scenario from its description in a feature. */
export function parseScenario(text: string, duration: number): MoveScenario {
  const getNumber = (pattern: RegExp, otherwise: number): number =>
    Number(pattern.exec(text)?.[1] ?? otherwise);
  const [kind = 'good'] = text.split(' ') as MoveScenario['kind'][];
  return {
    kind,
    duration,
    faultShare: getNumber(/in ([\d.]+) of the requests/, 0.5),
    from: getNumber(/ from (\d+)/, 0),
    above: getNumber(/above ([\d.]+)/, 0),
    isOneRoute: text.includes('of one route'),
    leaderChangeAt: getNumber(/leader changes at (\d+)/, Infinity),
    evidenceStopsAt: getNumber(/evidence stops at (\d+)/, Infinity),
    ill: [getNumber(/ill between (\d+)/, Infinity), getNumber(/ill between \d+ and (\d+)/, 0)],
  };
}

/** What one request to a version shows. */
interface Answer {
  readonly row: EvidenceRow;
  readonly evidenceAt: number;
  readonly takes: number;
  /** Whether the version's own fault made it fail or slow. */
  readonly isFault: boolean;
}

function runRequest(
  scenario: MoveScenario,
  version: string,
  { share, now, random }: { share: number; now: number; random: RandomGenerator },
  times: EvidenceTimes,
): Answer {
  const { kind, from, above, isOneRoute, faultShare, ill } = scenario;
  const route = uniformFloat64(random) < ROUTES[0].share ? ROUTES[0] : ROUTES[1];
  const upstream = Math.floor(uniformFloat64(random) * UPSTREAMS);
  const isIll = upstream < UPSTREAMS * ILL_SHARE && now >= ill[0] && now < ill[1];
  const isFaulty =
    version === 'v2' &&
    kind !== 'good' &&
    now >= from &&
    share > above &&
    (!isOneRoute || route === ROUTES[0]);
  const isFault = uniformFloat64(random) < (isFaulty ? faultShare : 0);
  const isOtherwiseBad = uniformFloat64(random) < (isIll ? ILL_FAILURE_RATE : BASE_FAILURE_RATE);
  const failed = isOtherwiseBad || (isFault && kind !== 'slow');
  const badTime = { good: route.work, failing: route.work, hanging: TIMEOUT, slow: HEDGED_TIME };
  const takes = isFault ? badTime[kind] : route.work;
  const isOverdue = takes > route.work * times.overdue;
  const known = isOverdue ? route.work * times.overdue : takes;
  const row = toEvidenceRow({
    ...{ service: 'files', version, route: route.name, latency: known },
    ...{ failed: failed && !isOverdue, upstream: `${version}-${upstream}` },
  });
  const delay = row.failed > 0 || isOverdue ? times.bad : times.other;
  return { row, takes, isFault, evidenceAt: now + known + delay };
}

/** Runs one move at a rate in requests a second. */
export function runMove(
  scenario: MoveScenario,
  rate: number,
  seed: number,
  times: EvidenceTimes,
): MoveOutcome {
  const { tick } = times;
  const { duration } = scenario;
  const random = xoroshiro128plus(seed);
  const answers: { readonly at: number; readonly row: EvidenceRow }[] = [];
  const base = { service: 'files', version: 'v2', orderedAt: 0, duration } as const;
  let move: TrafficMove = { ...base, state: 'running', share: 0 };
  let judgement: Judgement = createJudgement('v2');
  let watchedSince = 0;
  let exposed = 0;
  let requests = 0;
  const faultsAt: number[] = [];
  const exposedAt: number[] = [];
  const length = Math.ceil((duration + AFTERMATH) / tick);
  const ticks = Array.from({ length }, (_, at) => at * tick);
  ticks.forEach((now) => {
    const isJudged = move.state === 'rolledBack' || scenario.kind === 'good';
    if (now >= duration && isJudged) return;
    const count = (rate * tick) / 1000;
    const isCounted = now < duration;
    requests += isCounted ? count : 0;
    const share = move.state === 'completed' ? 1 : move.state === 'running' ? move.share : 0;
    Array.from({ length: count }).forEach(() => {
      const version = uniformFloat64(random) < share ? 'v2' : 'v1';
      const at = { share, now, random };
      const { row, takes, isFault, evidenceAt } = runRequest(scenario, version, at, times);
      if (version === 'v2') {
        exposed += Number(isCounted);
        exposedAt.push(now);
        if (isFault) faultsAt.push(now + takes);
      }
      answers.push({ at: evidenceAt, row });
    });
    const due = answers.splice(0).filter((answer) => {
      if (answer.at > now) answers.push(answer);
      return answer.at <= now && answer.at < scenario.evidenceStopsAt;
    });
    const hasNoLeader =
      now >= scenario.leaderChangeAt && now < scenario.leaderChangeAt + ELECTION_TIME;
    if (hasNoLeader) {
      judgement = createJudgement('v2');
      watchedSince = now;
      return;
    }
    if (move.state !== 'running') return;
    const rows = mergeEvidence(
      [],
      due.map(({ row }) => row),
    );
    if (rows.length > 0) judgement = addEvidenceBlock(judgement, rows, move.share === 1);
    const step = planMoveStep(move, judgement, 1, { elapsed: now, watched: now - watchedSince });
    if (step === undefined) return;
    move = { ...move, share: step.share, state: step.state };
    judgement = startStep(judgement);
  });
  const lastTolerated = faultsAt.sort((one, two) => one - two)[TOLERATED_BAD_ANSWERS - 1];
  const rollbackDue = (lastTolerated ?? Infinity) + ROLLBACK_TIME;
  const afterRollback = exposedAt.filter((at) => at > rollbackDue).length;
  return { requests, exposed, afterRollback, state: move.state };
}
