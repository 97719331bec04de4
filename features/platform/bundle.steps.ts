import { After, Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { copyFile, mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

interface BundleWorld {
  bundleFolder: string | undefined;
  exitCode: number;
  errorOutput: string;
}

interface ProgramResult {
  readonly exitCode: number;
  readonly errorOutput: string;
}

/** Runs a Node program until it exits. */
function runProgram(file: string, cwd: string): Promise<ProgramResult> {
  return new Promise((resolve) => {
    const env = { ...process.env, NODE_OPTIONS: '', CHIVEWALK_BOOT: '' };
    const child = execFile(process.execPath, [file], { cwd, env }, (_, __, errorOutput) => {
      resolve({ exitCode: child.exitCode ?? -1, errorOutput });
    });
  });
}

Given(
  'the bundled platform program in a folder of its own',
  { timeout: 30_000 },
  async function (this: BundleWorld) {
    const built = await runProgram('scripts/bundle.mjs', process.cwd());
    assert.equal(built.exitCode, 0, built.errorOutput);
    this.bundleFolder = await mkdtemp(join(tmpdir(), 'chivewalk-bundle-'));
    await copyFile('target/chivewalk.mjs', join(this.bundleFolder, 'chivewalk.mjs'));
  },
);

When('it is started without settings', async function (this: BundleWorld) {
  const folder = this.bundleFolder ?? '';
  Object.assign(this, await runProgram(join(folder, 'chivewalk.mjs'), folder));
});

Then(
  'it exits with code 2 and reports only the missing settings file',
  function (this: BundleWorld) {
    assert.equal(this.exitCode, 2, this.errorOutput);
    assert.match(this.errorOutput, /readable INI file/);
    assert.equal(this.errorOutput.trim().split('\n').length, 1, this.errorOutput);
  },
);

After(async function (this: Partial<BundleWorld>) {
  if (this.bundleFolder !== undefined) await rm(this.bundleFolder, { recursive: true });
});
