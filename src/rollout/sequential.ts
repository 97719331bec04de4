/**
 * Compares two rates sequentially with e-values of blocks (Turner, Ly and Grünwald, "Generic e-variables
 * for exact sequential k-sample tests"). Invariant: while both versions have the same rate within each
 * block, whatever that rate is, the product of the factors exceeds `n` with probability at most `1 / n`,
 * however often it is checked. A fault that both versions share is therefore no evidence. Completed blocks, whose
 * old version gets no traffic any more, are excepted: a fault that both would share counts against the new one.
 */

/** Hits (failed or slow attempts) and all attempts of one block, for both versions. */
export interface RateBlock {
  readonly newHits: number;
  readonly newTotal: number;
  readonly oldHits: number;
  readonly oldTotal: number;
}

/** Accumulated evidence that the new version's rate is higher. */
export interface RateTest {
  /** The old version's counts in earlier blocks, from which the next alternative is estimated. */
  readonly oldHits: number;
  readonly oldTotal: number;
  /** Logarithm of the product of the factors, for each of {@link ODDS_RATIOS}. */
  readonly logFactors: readonly number[];
}

/** Odds ratio of a hit, new to old version, under each alternative hypothesis. */
const ODDS_RATIOS = [1.5, 3, 10] as const;
/** Bounds of the old version's rate that the alternatives assume. */
const MIN_RATE = 0.001;
const MAX_RATE = 0.9;

/** Attempts at the old version from which its earlier rate can stand in for current attempts. */
const MIN_EARLIER_ATTEMPTS = 50;
/** Attempts at the old version that its earlier rate stands for, as a multiple of those at the new version. */
const EARLIER_RATIO = 16;

/** A test without any blocks. */
export const emptyRateTest: RateTest = {
  oldHits: 0,
  oldTotal: 0,
  logFactors: ODDS_RATIOS.map(() => 0),
};

function computeLogLikelihood(rate: number, hits: number, total: number): number {
  return hits * Math.log(rate) + (total - hits) * Math.log(1 - rate);
}

/** Returns the logarithm of one block's likelihood ratio of the alternative to equal rates. */
function computeLogFactor(block: RateBlock, oldRate: number, oddsRatio: number): number {
  const { newHits, newTotal, oldHits, oldTotal } = block;
  const odds = (oldRate / (1 - oldRate)) * oddsRatio;
  const newRate = odds / (1 + odds);
  const pooledRate = (newTotal * newRate + oldTotal * oldRate) / (newTotal + oldTotal);
  return (
    computeLogLikelihood(newRate, newHits, newTotal) +
    computeLogLikelihood(oldRate, oldHits, oldTotal) -
    computeLogLikelihood(pooledRate, newHits + oldHits, newTotal + oldTotal)
  );
}

/**
 * Returns the block with the counts that the earlier rate of the old version lets expect, for a new version that has
 * all traffic. Without {@link MIN_EARLIER_ATTEMPTS} the block stays as it is, and tests nothing.
 */
export function attachEarlierRate(test: RateTest, block: RateBlock): RateBlock {
  if (block.oldTotal > 0 || test.oldTotal < MIN_EARLIER_ATTEMPTS) return block;
  const oldTotal = Math.min(test.oldTotal, block.newTotal * EARLIER_RATIO);
  return { ...block, oldTotal, oldHits: (oldTotal * test.oldHits) / test.oldTotal };
}

/**
 * Adds a block to the test.
 *
 * @example
 * const next = addRateBlock(test, { newHits: 3, newTotal: 20, oldHits: 5, oldTotal: 900 });
 */
export function addRateBlock(test: RateTest, block: RateBlock): RateTest {
  const oldHits = test.oldHits + block.oldHits;
  const oldTotal = test.oldTotal + block.oldTotal;
  if (block.newTotal === 0 || block.oldTotal === 0) return { ...test, oldHits, oldTotal };
  const estimatedRate = (test.oldHits + 0.5) / (test.oldTotal + 10);
  const oldRate = Math.min(Math.max(estimatedRate, MIN_RATE), MAX_RATE);
  const logFactors = ODDS_RATIOS.map(
    (ratio, index) => (test.logFactors[index] ?? 0) + computeLogFactor(block, oldRate, ratio),
  );
  return { oldHits, oldTotal, logFactors };
}

/** Takes attempts at the old version out of the counts that estimate its rate. */
export function dropOldAttempts(
  test: RateTest,
  { hits, total }: { readonly hits: number; readonly total: number },
): RateTest {
  return {
    ...test,
    oldHits: Math.max(0, test.oldHits - hits),
    oldTotal: Math.max(0, test.oldTotal - total),
  };
}

/** Discards the evidence, but keeps the counts that estimate the old version's rate. */
export function dropEvidence(test: RateTest): RateTest {
  return { ...test, logFactors: emptyRateTest.logFactors };
}

/** Returns the logarithm of the evidence: the mean over the alternatives, which keeps the invariant. */
export function getLogEvidence(test: RateTest): number {
  const highest = Math.max(...test.logFactors);
  const sum = test.logFactors.reduce((total, log) => total + Math.exp(log - highest), 0);
  return highest + Math.log(sum / test.logFactors.length);
}
