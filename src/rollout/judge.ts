/**
 * Judges the new version of a move against the versions that it replaces, for each service and for each
 * route, on failures and on latency. Long tests run from the start of the move; short ones start anew at
 * each step and each minute, so that a fault which shows late, or only under load, has no good past to
 * outweigh. Invariant: the chances of false alarm of all tests add up to {@link FALSE_ALARM_RATE}, and a
 * latency limit is drawn only from samples before those
 * that it is applied to.
 */
import { getBucketLimit, mergeEvidence, type EvidenceRow } from './evidence.js';
import {
  addRateBlock,
  emptyRateTest,
  getLogEvidence,
  dropEvidence,
  type RateBlock,
  type RateTest,
} from './sequential.js';

/** Probability that a move of a version as good as the old one is taken back. */
export const FALSE_ALARM_RATE = 0.01;
/** Share of the old version's samples above which a sample counts as slow. */
const SLOW_QUANTILE = 0.9;
/** Samples of the old version that the latency limit needs. */
const MIN_THRESHOLD_SAMPLES = 50;
/** Subjects (service, or service and route) that are judged at most. */
const MAX_SUBJECTS = 64;
/** Route that stands for all routes of a service. */
const ALL_ROUTES = '*';

/** Blocks after which the short tests start anew; one block is about a second. */
const EPOCH_BLOCKS = 60;

/** The tests on one service, or on one route of it. */
export interface SubjectTests {
  readonly service: string;
  readonly route: string;
  readonly failures: RateTest;
  readonly slowness: RateTest;
  /** The same two, since the present epoch began. */
  readonly recentFailures: RateTest;
  readonly recentSlowness: RateTest;
  /** The old version's samples so far, by latency bucket. */
  readonly oldLatencies: readonly number[];
}

/** What the leader knows of a move's versions since it began to look. */
export interface Judgement {
  readonly version: string;
  readonly subjects: readonly SubjectTests[];
  /** Attempts on the new version since the last step. */
  readonly samples: number;
  /** Counts the starts of the short tests, from 1. */
  readonly epoch: number;
  readonly blocksInEpoch: number;
}

/** The verdict on a version. */
export type Verdict =
  | { readonly kind: 'undecided' }
  /** Halfway to bad on the logarithmic scale: too little to take back, too much to go on. */
  | { readonly kind: 'doubtful' }
  | { readonly kind: 'bad'; readonly evidence: string };

/** Returns the judgement before any evidence. */
export function createJudgement(version: string): Judgement {
  return { version, subjects: [], samples: 0, epoch: 1, blocksInEpoch: 0 };
}

function startEpoch(judgement: Judgement): Judgement {
  const subjects = judgement.subjects.map((subject) => ({
    ...subject,
    recentFailures: dropEvidence(subject.recentFailures),
    recentSlowness: dropEvidence(subject.recentSlowness),
  }));
  return { ...judgement, subjects, epoch: judgement.epoch + 1, blocksInEpoch: 0 };
}

/** Begins to count anew, as the share has changed. */
export function startStep(judgement: Judgement): Judgement {
  return { ...startEpoch(judgement), samples: 0 };
}

function sumLatencies(latencies: readonly number[], above: number): number {
  return latencies.reduce(
    (sum, count, index) =>
      index % 2 === 1 && (latencies[index - 1] ?? 0) > above ? sum + count : sum,
    0,
  );
}

/** Returns the bucket that holds the slow quantile; undefined while there are too few samples. */
function findSlowThreshold(latencies: readonly number[]): number | undefined {
  const total = sumLatencies(latencies, -1);
  if (total < MIN_THRESHOLD_SAMPLES) return undefined;
  return latencies.find(
    (bucket, index) =>
      index % 2 === 0 && sumLatencies(latencies, bucket) <= total * (1 - SLOW_QUANTILE),
  );
}

function sumRows(rows: readonly EvidenceRow[]): EvidenceRow {
  const unnamed = rows.map((row) => ({ ...row, service: '', version: '', route: '' }));
  const [sum] = mergeEvidence([], unnamed);
  return sum ?? { service: '', version: '', route: '', ok: 0, failed: 0, latencies: [] };
}

function addSubjectRows(
  subject: SubjectTests,
  version: string,
  rows: readonly EvidenceRow[],
): SubjectTests {
  const newSum = sumRows(rows.filter((row) => row.version === version));
  const oldSum = sumRows(rows.filter((row) => row.version !== version));
  const failures: RateBlock = {
    newHits: newSum.failed,
    newTotal: newSum.ok + newSum.failed,
    oldHits: oldSum.failed,
    oldTotal: oldSum.ok + oldSum.failed,
  };
  const threshold = findSlowThreshold(subject.oldLatencies);
  const slowness: RateBlock = {
    newHits: sumLatencies(newSum.latencies, threshold ?? 0),
    newTotal: newSum.ok,
    oldHits: sumLatencies(oldSum.latencies, threshold ?? 0),
    oldTotal: oldSum.ok,
  };
  const before = { ...newSum, latencies: [...subject.oldLatencies] };
  return {
    ...subject,
    failures: addRateBlock(subject.failures, failures),
    slowness: threshold === undefined ? subject.slowness : addRateBlock(subject.slowness, slowness),
    recentFailures: addRateBlock(subject.recentFailures, failures),
    recentSlowness:
      threshold === undefined
        ? subject.recentSlowness
        : addRateBlock(subject.recentSlowness, slowness),
    oldLatencies: sumRows([before, oldSum]).latencies,
  };
}

function listSubjects(judgement: Judgement, rows: readonly EvidenceRow[]): readonly SubjectTests[] {
  const wanted = rows.flatMap(({ service, route }) => [
    { service, route: ALL_ROUTES },
    { service, route },
  ]);
  return wanted.reduce<readonly SubjectTests[]>((subjects, { service, route }) => {
    const isKnown = subjects.some((known) => known.service === service && known.route === route);
    if (isKnown || subjects.length >= MAX_SUBJECTS) return subjects;
    const tests = {
      failures: emptyRateTest,
      slowness: emptyRateTest,
      recentFailures: emptyRateTest,
      recentSlowness: emptyRateTest,
    };
    return [...subjects, { service, route, ...tests, oldLatencies: [] }];
  }, judgement.subjects);
}

/**
 * Adds the evidence of all entries of about one second as one block.
 *
 * @example
 * const next = addEvidenceBlock(judgement, rows);
 * if (judgeVersion(next).kind === 'bad') takeBack();
 */
export function addEvidenceBlock(judgement: Judgement, rows: readonly EvidenceRow[]): Judgement {
  const { version } = judgement;
  const subjects = listSubjects(judgement, rows).map((subject) => {
    const own = rows.filter(
      ({ service, route }) =>
        service === subject.service && (subject.route === ALL_ROUTES || route === subject.route),
    );
    return own.length === 0 ? subject : addSubjectRows(subject, version, own);
  });
  const newSum = sumRows(rows.filter((row) => row.version === version));
  const samples = judgement.samples + newSum.ok + newSum.failed;
  const blocksInEpoch = judgement.blocksInEpoch + 1;
  const next: Judgement = { ...judgement, subjects, samples, blocksInEpoch };
  return blocksInEpoch >= EPOCH_BLOCKS ? startEpoch(next) : next;
}

function describeSubject(subject: SubjectTests, symptom: string, test: RateTest): string {
  const name =
    subject.route === ALL_ROUTES ? subject.service : `${subject.service}/${subject.route}`;
  const odds = Math.round(Math.exp(Math.min(getLogEvidence(test), 30)));
  const threshold = findSlowThreshold(subject.oldLatencies);
  const above =
    symptom === 'slower' && threshold !== undefined
      ? ` than ${Math.round(getBucketLimit(threshold))} ms (old version's p90)`
      : '';
  return `${name} is ${symptom}${above}: evidence ${odds} to 1`;
}

/** Returns what the evidence says so far. */
export function judgeVersion(judgement: Judgement): Verdict {
  const { subjects, epoch } = judgement;
  // Two kinds of fault and two lengths of test share the false alarms; epoch k takes 1 / (k (k + 1)).
  const limit = Math.log((4 * Math.max(1, subjects.length)) / FALSE_ALARM_RATE);
  const recentLimit = limit + Math.log(epoch * (epoch + 1));
  const findings = subjects.flatMap((subject) => [
    { subject, what: 'failing more often', test: subject.failures, limit },
    { subject, what: 'slower', test: subject.slowness, limit },
    { subject, what: 'failing more often', test: subject.recentFailures, limit: recentLimit },
    { subject, what: 'slower', test: subject.recentSlowness, limit: recentLimit },
  ]);
  const bad = findings.find((finding) => getLogEvidence(finding.test) >= finding.limit);
  if (bad === undefined) {
    const isDoubtful = findings.some(({ test, limit: own }) => getLogEvidence(test) >= own / 2);
    return { kind: isDoubtful ? 'doubtful' : 'undecided' };
  }
  return { kind: 'bad', evidence: describeSubject(bad.subject, bad.what, bad.test) };
}
