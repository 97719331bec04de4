/**
 * Sequential comparison of two rates by e-values of blocks (Turner, Ly and Grünwald, "Generic
 * e-variables for exact sequential k-sample tests"). Invariant: while both versions have the same rate in
 * each block, whatever it is, the product of the factors passes `n` with probability at most `1 / n`,
 * however often it is looked at; a fault that both versions share is therefore no evidence.
 */

/** Hits and attempts of one block for both versions. */
export interface RateBlock {
  readonly newHits: number;
  readonly newTotal: number;
  readonly oldHits: number;
  readonly oldTotal: number;
}

/** Evidence so far that the new version's rate is the higher one. */
export interface RateTest {
  /** Old version's counts of the blocks before, which the next alternative is drawn from. */
  readonly oldHits: number;
  readonly oldTotal: number;
  /** Logarithm of the product of factors for each of {@link ODDS_RATIOS}. */
  readonly logFactors: readonly number[];
}

/** How much worse the odds of a hit are under each alternative. */
const ODDS_RATIOS = [1.5, 3, 10] as const;
/** Bounds of the old version's rate as the alternatives assume it. */
const MIN_RATE = 0.001;
const MAX_RATE = 0.9;

/** The test before any block. */
export const emptyRateTest: RateTest = {
  oldHits: 0,
  oldTotal: 0,
  logFactors: ODDS_RATIOS.map(() => 0),
};

function computeLogLikelihood(rate: number, hits: number, total: number): number {
  return hits * Math.log(rate) + (total - hits) * Math.log(1 - rate);
}

/** Returns the logarithm of one block's factor against equal rates. */
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

/** Forgets the evidence, but not what the old version's rate was seen to be. */
export function dropEvidence(test: RateTest): RateTest {
  return { ...test, logFactors: emptyRateTest.logFactors };
}

/** Returns the logarithm of the evidence; the mean over the alternatives keeps the invariant. */
export function getLogEvidence(test: RateTest): number {
  const highest = Math.max(...test.logFactors);
  const sum = test.logFactors.reduce((total, log) => total + Math.exp(log - highest), 0);
  return highest + Math.log(sum / test.logFactors.length);
}
