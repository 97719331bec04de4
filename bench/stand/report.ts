/** Summarizes benchmark figures as median and range over runs, and writes them to `bench/out`. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { cpus } from 'node:os';
import { join } from 'node:path';

/** Median, minimum and maximum over several runs. */
export interface Spread {
  readonly median: number;
  readonly min: number;
  readonly max: number;
}

/** Returns the median, minimum and maximum; all are NaN when there are no values. */
export function computeSpread(values: readonly number[]): Spread {
  const sorted = [...values].sort((one, two) => one - two);
  const middle = Math.floor(sorted.length / 2);
  const upper = sorted[middle] ?? NaN;
  const median = sorted.length % 2 === 1 ? upper : ((sorted[middle - 1] ?? NaN) + upper) / 2;
  return { median, min: sorted[0] ?? NaN, max: sorted[sorted.length - 1] ?? NaN };
}

/** Formats a spread as `median (min to max)`. */
export function formatSpread({ median, min, max }: Spread, digits = 2): string {
  return `${median.toFixed(digits)} (${min.toFixed(digits)} to ${max.toFixed(digits)})`;
}

/** Writes the figures of a benchmark, with the date, Node version and processor, to `bench/out/NAME.json`. */
export function writeReport(name: string, figures: unknown): void {
  const folder = join(process.cwd(), 'bench', 'out');
  mkdirSync(folder, { recursive: true });
  const processor = cpus()[0]?.model ?? 'unknown';
  const context = {
    name,
    date: new Date().toISOString(),
    node: process.version,
    processor,
    cores: cpus().length,
  };
  writeFileSync(
    join(folder, `${name}.json`),
    `${JSON.stringify({ ...context, figures }, null, 2)}\n`,
  );
}
