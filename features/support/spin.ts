/**
 * Runs the model checker Spin on a Promela model. Invariant: a search counts as complete only if the output of the
 * generated verifier (pan) states the number of errors and doesn't report a truncated search. The exit code of pan
 * shows neither.
 */
import { execFile } from 'node:child_process';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { promisify } from 'node:util';

const execute = promisify(execFile);

/** Milliseconds after which a step (spin, gcc or pan) is killed and the run fails. */
const STEP_TIMEOUT = 600_000;
/** Maximum output of one step in bytes. */
const MAX_OUTPUT_BYTES = 16 * 1024 * 1024;

/** The result of one exhaustive search. */
export interface SpinOutcome {
  /** Number of errors, such as violated assertions and invalid end states. */
  readonly errors: number;
  /** Number of states that the search stored. */
  readonly states: number;
  /** Whether all states within the bounds of the model were searched. */
  readonly complete: boolean;
}

/** Parses the output of pan. */
export function parsePan(output: string): SpinOutcome {
  const errors = /errors: (\d+)/.exec(output)?.[1];
  const states = /([\d.e+]+) states, stored/.exec(output)?.[1];
  if (errors === undefined || states === undefined) {
    throw new Error(`no result in the output of pan:\n${output}`);
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
 * Searches all states of the model for violated assertions and other errors.
 * Stops at the first error, so `complete` is false whenever `errors` is not 0.
 *
 * @param defines Macros that are defined for the preprocessor of the model.
 * @param depth Maximum search depth in steps.
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
