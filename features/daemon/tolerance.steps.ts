import { Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { execFileSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createConsensus } from '../../src/control/consensus.js';
import { createLog } from '../../src/control/log.js';
import { countCurrentVoters } from '../../src/control/tolerance.js';
import {
  defaultTimings,
  type ConsensusState,
  type LogEntry,
  type Progress,
} from '../../src/control/types.js';
import {
  measureTolerance,
  watchTolerance,
  type ToleranceReport,
} from '../../src/daemon/tolerance.js';
import type { LogFields, Logger } from '../../src/telemetry/index.js';
import { createControl } from '../support/control.js';
import type { SnapshotWorld } from '../support/snapshot.js';

interface ToleranceWorld extends SnapshotWorld {
  report: ToleranceReport | undefined;
  leader: ConsensusState;
  lines: (readonly [level: string, message: string, fields: LogFields | undefined])[];
  checkOutput: string;
}

function listMembers(count: number): { readonly id: string; readonly voter: boolean }[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `10.0.0.${index}:7400#00000001`,
    voter: true,
  }));
}

Given(
  'a control leader with {int} voters, {int} of them up to date, whose settings name {int} losses',
  function (this: ToleranceWorld, voters: number, currentVoters: number, tolerated: number) {
    this.report = measureTolerance({ members: listMembers(voters), currentVoters }, tolerated);
  },
);

Then(
  'the control group is judged to bear the loss of {int}, of {int}',
  function (this: ToleranceWorld, bearable: number, tolerated: number) {
    assert.deepEqual([this.report?.bearable, this.report?.tolerated], [bearable, tolerated]);
  },
);

Given(
  'a control leader of 5 voters of which one is silent and one lacks a committed entry',
  function (this: ToleranceWorld) {
    const members = listMembers(5);
    const entry: LogEntry = {
      ...{ kind: 'membership', index: 1, term: 1 },
      membership: { members, retired: [] },
    };
    const follower = createConsensus({
      ...{ self: members[0]?.id ?? '', timings: defaultTimings, now: 10_000, random: 0 },
      ...{ vote: { term: 1, repairing: false }, log: createLog(0, 0, [entry]) },
      ...{ snapshot: undefined, nonce: '' },
    });
    const progress: Progress = {
      ...{ matchIndex: 1, nextIndex: 2, lastContactAt: 9900, round: 1 },
      ...{ echo: undefined, snapshot: undefined },
    };
    const rows: readonly Partial<Progress>[] = [{}, {}, { lastContactAt: 1 }, { matchIndex: 0 }];
    this.leader = {
      ...follower,
      commitIndex: 1,
      role: {
        ...{ kind: 'leader', termStart: 1, round: 1, rounds: [], reads: [], heartbeatDue: 0 },
        ...{ transfer: undefined, lost: [] },
        progress: new Map(
          rows.map((row, index) => [members[index + 1]?.id ?? '', { ...progress, ...row }]),
        ),
      },
    };
  },
);

Then(
  'that control leader counts {int} voters as up to date',
  function (this: ToleranceWorld, expected: number) {
    assert.equal(countCurrentVoters(this.leader), expected);
  },
);

When(
  'the voters that a control leader counts as up to date are 5, then 4, then 4, then 5 of 5, and 2 losses are to be borne',
  async function (this: ToleranceWorld) {
    this.lines = [];
    const record =
      (level: string) =>
      (message: string, fields?: LogFields): void => {
        this.lines.push([level, message, fields]);
      };
    const logger: Logger = {
      ...{ debug: record('debug'), info: record('info') },
      ...{ warn: record('warn'), error: record('error') },
    };
    const { status } = createControl({ role: 'leader', members: listMembers(5) });
    const counts = [5, 4, 4, 5];
    await new Promise<void>((resolve) => {
      const stop = watchTolerance(
        () => {
          const currentVoters = counts.shift();
          if (currentVoters !== undefined) return { ...status, currentVoters };
          stop();
          resolve();
          return { ...status, currentVoters: 5 };
        },
        2,
        logger,
      );
    });
  },
);

Then('the logged judgements match the snapshot', function (this: ToleranceWorld) {
  this.matchSnapshot(this.lines);
});

When(
  'chivewalkd checks settings with {int} control members and {int} tolerated losses',
  function (this: ToleranceWorld, members: number, tolerated: number) {
    const folder = mkdtempSync(join(tmpdir(), 'chivewalk-check-'));
    const file = join(folder, 'control.ini');
    const addresses = Array.from({ length: members }, (_, index) => `10.0.0.${index + 1}:7400`);
    writeFileSync(
      file,
      `[site]
name = shah-alam
secret = a secret of the site
operator_token = an operator token
[process]
id = control-1
zone = cyberjaya
roles = control
[peer]
listen = 10.0.0.1:7400
[control]
members = ${addresses.join(', ')}
tolerated_losses = ${tolerated}
data_folder = data
operator_listen = 10.0.0.1:7500
`,
    );
    try {
      this.checkOutput = execFileSync(
        process.execPath,
        ['dist/src/daemon/main.js', '--check', file],
        { encoding: 'utf8', env: {} },
      );
    } finally {
      rmSync(folder, { recursive: true });
    }
  },
);

Then(
  /^the output of the check has a warning: (.*)$/,
  function (this: ToleranceWorld, warning: string) {
    const warnings = this.checkOutput.split('\n').filter((line) => line.includes('warning: '));
    assert.deepEqual(
      warnings.map((line) => line.split('warning: ')[1]),
      warning === 'none' ? [] : [warning],
    );
  },
);
