/**
 * Compares the failures and latency of a move's new version with those of the versions it replaces, per
 * service and per route. Long tests run from the start of the move. Short tests restart at each step and
 * each minute, so that a fault that appears late, or only under load, need not outweigh earlier good
 * results. Upstreams that fail more often than others of their version are set aside: their fault is not its. Invariant:
 * the false alarm probabilities of all tests add up to {@link FALSE_ALARM_RATE}, and a
 * latency threshold is computed only from samples older than those it is applied to.
 */
import { getBucketLimit, mergeEvidence, type EvidenceRow } from './evidence.js';
import {
  addRows,
  countIll,
  isFromIll,
  noTallies,
  sumOfIll,
  type UpstreamTallies,
} from './illness.js';
import {
  addRateBlock,
  attachEarlierRate,
  emptyRateTest,
  getLogEvidence,
  dropEvidence,
  dropOldAttempts,
  type RateBlock,
  type RateTest,
} from './sequential.js';

/** Probability that a move to a version as good as the old one is rolled back. */
export const FALSE_ALARM_RATE = 0.01;
/** Quantile of the old version's latency above which a sample counts as slow. */
const SLOW_QUANTILE = 0.9;
/** Minimum number of samples of the old version for a latency threshold. */
const MIN_THRESHOLD_SAMPLES = 50;
/** Maximum number of subjects (a service, or a service and route) that are tested. */
const MAX_SUBJECTS = 64;
/** Route of the subject that covers all routes of a service. */
const ALL_ROUTES = '*';

/** Blocks after which the short tests restart; one block is about a second. */
const EPOCH_BLOCKS = 60;

/** The tests on one service, or on one route of it. */
export interface SubjectTests {
  readonly service: string;
  readonly route: string;
  readonly failures: RateTest;
  readonly slowness: RateTest;
  /** The short tests: the same two, since the current epoch began. */
  readonly recentFailures: RateTest;
  readonly recentSlowness: RateTest;
  /** The old version's samples so far, as pairs of latency bucket and count. */
  readonly oldLatencies: readonly number[];
}

/** State of the tests of a move since this leader began to collect evidence for it. */
export interface Judgement {
  readonly version: string;
  readonly subjects: readonly SubjectTests[];
  /** Attempts at the new version since the last step. */
  readonly samples: number;
  /** Attempts at any version of the service since the last step. */
  readonly attempts: number;
  /** Attempts at any version of the service since this leader began to collect evidence. */
  readonly totalAttempts: number;
  /** The outcomes of each upstream, and which of them are set aside as ill. */
  readonly upstreams: UpstreamTallies;
  /** Number of the current run of the short tests, from 1. */
  readonly epoch: number;
  readonly blocksInEpoch: number;
}

/** Result of the tests of a version. */
export type Verdict =
  | { readonly kind: 'undecided' }
  /** Log evidence at half of the limit or more: too little to roll back, too much to continue. */
  | { readonly kind: 'doubtful' }
  | { readonly kind: 'bad'; readonly evidence: string };

/** Returns the initial judgement, without evidence. */
export function createJudgement(version: string): Judgement {
  return {
    version,
    subjects: [],
    samples: 0,
    attempts: 0,
    totalAttempts: 0,
    upstreams: noTallies,
    epoch: 1,
    blocksInEpoch: 0,
  };
}

function startEpoch(judgement: Judgement): Judgement {
  const subjects = judgement.subjects.map((subject) => ({
    ...subject,
    recentFailures: dropEvidence(subject.recentFailures),
    recentSlowness: dropEvidence(subject.recentSlowness),
  }));
  return { ...judgement, subjects, epoch: judgement.epoch + 1, blocksInEpoch: 0 };
}

/**
 * Takes upstreams that were found ill out of what the tests know of the old version, and restarts the tests: until now
 * their failures stood for those of their version.
 */
function dropIll(judgement: Judgement, upstreams: UpstreamTallies): Judgement {
  if (countIll(upstreams) === countIll(judgement.upstreams)) return { ...judgement, upstreams };
  const restarted = startEpoch({ ...judgement, upstreams });
  const subjects = restarted.subjects.map((subject) => {
    const before = sumOfIll(judgement.upstreams, subject, judgement.version);
    const now = sumOfIll(upstreams, subject, judgement.version);
    const change = { hits: now.failed - before.failed, total: now.total - before.total };
    const drop = (test: RateTest): RateTest => dropEvidence(dropOldAttempts(test, change));
    return {
      ...subject,
      ...{ failures: drop(subject.failures), recentFailures: drop(subject.recentFailures) },
      slowness: dropEvidence(subject.slowness),
    };
  });
  return { ...restarted, subjects };
}

/** Restarts the short tests and the counts of attempts after a change of share. */
export function startStep(judgement: Judgement): Judgement {
  return { ...startEpoch(judgement), samples: 0, attempts: 0 };
}

function sumLatencies(latencies: readonly number[], above: number): number {
  return latencies.reduce(
    (sum, count, index) =>
      index % 2 === 1 && (latencies[index - 1] ?? 0) > above ? sum + count : sum,
    0,
  );
}

/**
 * Returns the bucket that holds the {@link SLOW_QUANTILE}; undefined with fewer than
 * {@link MIN_THRESHOLD_SAMPLES} samples.
 */
function findSlowThreshold(latencies: readonly number[]): number | undefined {
  const total = sumLatencies(latencies, -1);
  if (total < MIN_THRESHOLD_SAMPLES) return undefined;
  return latencies.find(
    (bucket, index) =>
      index % 2 === 0 && sumLatencies(latencies, bucket) <= total * (1 - SLOW_QUANTILE),
  );
}

function sumRows(rows: readonly EvidenceRow[]): EvidenceRow {
  const unnamed = rows.map(({ ok, failed, latencies }) => ({
    ...{ service: '', version: '', route: '' },
    ...{ ok, failed, latencies },
  }));
  const [sum] = mergeEvidence([], unnamed);
  return sum ?? { service: '', version: '', route: '', ok: 0, failed: 0, latencies: [] };
}

/** The evidence of one block for one subject. */
interface EvidenceBlock {
  readonly version: string;
  readonly rows: readonly EvidenceRow[];
  /** Whether the version has all traffic, so that the old one's earlier rates stand in for it. */
  readonly hasAllTraffic: boolean;
}

function addSubjectRows(
  subject: SubjectTests,
  { version, rows, hasAllTraffic }: EvidenceBlock,
): SubjectTests {
  const addBlock = (test: RateTest, block: RateBlock): RateTest =>
    addRateBlock(test, hasAllTraffic ? attachEarlierRate(test, block) : block);
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
    failures: addBlock(subject.failures, failures),
    slowness: threshold === undefined ? subject.slowness : addBlock(subject.slowness, slowness),
    recentFailures: addBlock(subject.recentFailures, failures),
    recentSlowness:
      threshold === undefined ? subject.recentSlowness : addBlock(subject.recentSlowness, slowness),
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
 * Adds the evidence of all entries for about one second, as one block. `hasAllTraffic` says that no requests go to the
 * old version any more.
 *
 * @example
 * const next = addEvidenceBlock(judgement, rows);
 * if (judgeVersion(next).kind === 'bad') rollBack();
 */
export function addEvidenceBlock(
  judgement: Judgement,
  rows: readonly EvidenceRow[],
  hasAllTraffic = false,
): Judgement {
  const { version } = judgement;
  const known = dropIll(judgement, addRows(judgement.upstreams, rows));
  const sound = rows.filter((row) => !isFromIll(known.upstreams, row));
  const subjects = listSubjects(known, rows).map((subject) => {
    const own = sound.filter(
      ({ service, route }) =>
        service === subject.service && (subject.route === ALL_ROUTES || route === subject.route),
    );
    return own.length === 0
      ? subject
      : addSubjectRows(subject, { version, rows: own, hasAllTraffic });
  });
  const newSum = sumRows(sound.filter((row) => row.version === version));
  const samples = known.samples + newSum.ok + newSum.failed;
  const sum = sumRows(rows);
  const added = sum.ok + sum.failed;
  const next: Judgement = {
    ...known,
    subjects,
    samples,
    attempts: known.attempts + added,
    totalAttempts: known.totalAttempts + added,
    blocksInEpoch: known.blocksInEpoch + 1,
  };
  return next.blocksInEpoch >= EPOCH_BLOCKS ? startEpoch(next) : next;
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

/** Returns the attempts at the old version that the tests compare the new one with. */
export function countOldAttempts({ subjects }: Judgement): number {
  return Math.max(0, ...subjects.map(({ failures }) => failures.oldTotal));
}

/** Returns the verdict on the evidence so far. */
export function judgeVersion(judgement: Judgement): Verdict {
  const { subjects, epoch } = judgement;
  // Splits the false alarm rate over two kinds of fault, two lengths of test and all subjects. The short
  // tests of epoch k get the factor 1 / (k (k + 1)), which adds up to 1 over all epochs.
  const base = Math.log((4 * Math.max(1, subjects.length)) / FALSE_ALARM_RATE);
  const recentLimit = base + Math.log(epoch * (epoch + 1));
  // The long tests restart with each upstream that is set aside.
  const runs = countIll(judgement.upstreams) + 1;
  const limit = base + Math.log((runs * (runs + 1)) / 2);
  const findings = subjects.flatMap((subject) => [
    { subject, symptom: 'failing more often', test: subject.failures, limit },
    { subject, symptom: 'slower', test: subject.slowness, limit },
    { subject, symptom: 'failing more often', test: subject.recentFailures, limit: recentLimit },
    { subject, symptom: 'slower', test: subject.recentSlowness, limit: recentLimit },
  ]);
  const bad = findings.find((finding) => getLogEvidence(finding.test) >= finding.limit);
  if (bad === undefined) {
    const isDoubtful = findings.some(({ test, limit: own }) => getLogEvidence(test) >= own / 2);
    return { kind: isDoubtful ? 'doubtful' : 'undecided' };
  }
  return { kind: 'bad', evidence: describeSubject(bad.subject, bad.symptom, bad.test) };
}
