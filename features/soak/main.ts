/**
 * Runs the soak test for a range of seeds, one after another: `npm run soak -- --seeds 1-50 --seconds 8`.
 * Prints one line for each seed. If a seed has violations, they are written to `soak-SEED.log` in `--folder`
 * together with the injected faults and the output of the processes. `--no-replacements` leaves out the series of
 * replacements of stewards, as the oldest rows of soak.feature do.
 */
import { writeFileSync } from 'node:fs';
import { parseArgs } from 'node:util';
import { runSoak, type SoakReport } from './soak.js';

const { values } = parseArgs({
  allowNegative: true,
  options: {
    seeds: { type: 'string', default: '1-5' },
    seconds: { type: 'string', default: '8' },
    folder: { type: 'string', default: '.' },
    replacements: { type: 'boolean', default: true },
  },
});
const [first = 1, last = first] = values.seeds.split('-').map(Number);

function printReport({ seed, faults, answered, requests, violations }: SoakReport): void {
  const kinds = faults.map(({ fault }) => fault.kind);
  const counts = [...new Set(kinds)].map(
    (kind) => `${kind} ${kinds.filter((one) => one === kind).length}`,
  );
  console.log(
    `seed ${seed}: ${violations.length} violations, ${answered} of ${requests} answered; ${counts.join(', ')}`,
  );
  violations.slice(0, 5).forEach((violation) => {
    console.log(`  ${violation}`);
  });
}

async function runSeed(seed: number): Promise<boolean> {
  try {
    const report = await runSoak(seed, Number(values.seconds) * 1000, values.replacements);
    printReport(report);
    if (report.violations.length === 0) return true;
    const text = [...report.violations, JSON.stringify(report.faults), report.output].join('\n');
    writeFileSync(`${values.folder}/soak-${seed}.log`, text);
  } catch (error) {
    console.log(`seed ${seed}: ${String(error)}`);
  }
  return false;
}

const seeds = Array.from({ length: last - first + 1 }, (_, at) => first + at);
const failed = await seeds.reduce<Promise<readonly number[]>>(async (before, seed) => {
  const found = await before;
  return (await runSeed(seed)) ? found : [...found, seed];
}, Promise.resolve([]));
console.log(`${seeds.length} seeds, ${failed.length} failed: ${failed.join(' ')}`);
process.exit(failed.length === 0 ? 0 : 1);
