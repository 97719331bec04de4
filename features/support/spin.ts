/**
 * Runs the model checker spin on a Promela model. Invariant: a search counts as complete only when pan
 * said how many errors it found and did not say that the search was cut; its exit code says neither.
 */
import { execFile } from 'node:child_process';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { promisify } from 'node:util';

const execute = promisify(execFile);

/** Milliseconds after which a step of the search is ended and the run fails. */
const STEP_TIMEOUT = 600_000;
/** Bytes of output that one step may print. */
const MAX_OUTPUT_BYTES = 16 * 1024 * 1024;

/** What one exhaustive search found. */
export interface SpinOutcome {
  /** Violated assertions, invalid end states and the like. */
  readonly errors: number;
  /** States stored by the search. */
  readonly states: number;
  /** Whether every state within the bounds of the model was searched. */
  readonly complete: boolean;
}

/** Reads the verdict of pan from its output. */
export function parsePan(output: string): SpinOutcome {
  const errors = /errors: (\d+)/.exec(output)?.[1];
  const states = /([\d.e+]+) states, stored/.exec(output)?.[1];
  if (errors === undefined || states === undefined) {
    throw new Error(`pan gave no verdict; its output was:\n${output}`);
  }
  const isIncomplete = /Search not completed|max search depth too small|out of memory/.test(output);
  return { errors: Number(errors), states: Number(states), complete: !isIncomplete };
}

async function runStep(folder: string, program: string, args: readonly string[]): Promise<string> {
  const { stdout, stderr } = await execute(program, [...args], {
    cwd: folder,
    timeout: STEP_TIMEOUT,
    maxBuffer: MAX_OUTPUT_BYTES,
  });
  return `${stdout}\n${stderr}`;
}

/**
 * Searches every state of the model, with the macros defined, for a violated assertion.
 * Stops at the first error, so `complete` is false whenever `errors` is not 0.
 *
 * @example
 * const sound = await runSpin('spec/consensus.pml', {}, 1_000_000, 2_048);
 * const faulty = await runSpin('spec/consensus.pml', { FAULT: 1 }, 1_000_000, 2_048);
 */
export async function runSpin(
  model: string,
  defines: Readonly<Record<string, number>>,
  depth: number,
  memoryLimitMb: number,
): Promise<SpinOutcome> {
  const folder = await mkdtemp(join(tmpdir(), 'chivewalk-spin-'));
  try {
    const macros = Object.entries(defines).map(([name, value]) => `-D${name}=${value}`);
    await runStep(folder, 'spin', ['-a', ...macros, resolve(model)]);
    const flags = ['-O2', '-w', '-DSAFETY', '-DCOLLAPSE', '-DVECTORSZ=4096'];
    const memory = `-DMEMLIM=${memoryLimitMb}`;
    await runStep(folder, 'gcc', [...flags, memory, '-o', 'pan', 'pan.c']);
    return parsePan(await runStep(folder, './pan', [`-m${depth}`]));
  } finally {
    await rm(folder, { recursive: true, force: true });
  }
}
