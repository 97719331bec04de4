import { Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import type { Result } from 'ts-results-es';
import {
  formatProblem,
  loadSettings,
  parseSettings,
  type Settings,
  type SettingsProblem,
} from '../../src/settings/index.js';
import type { SnapshotWorld } from '../support/snapshot.js';

interface SettingsWorld extends SnapshotWorld {
  text: string;
  result: Result<Settings, readonly SettingsProblem[]>;
}

const validFile = `
[site]
name = shah-alam
secret = a secret of the site
operator_token = an operator token
upstream_token = an upstream token
[process]
id = entry-1
zone = cyberjaya
roles = entry, control
[peer]
listen = 127.0.0.1:7400
[control]
members = 127.0.0.1:7400
data_folder = data
operator_listen = 127.0.0.1:7500
[entry]
caller_listen = 127.0.0.1:8080
upstream_listen = 127.0.0.1:8081
probe_share = 0.01
stale_policy = refuse
`;

Given('a valid settings file', function (this: SettingsWorld) {
  this.text = validFile;
  this.result = parseSettings('site.ini', validFile);
});

When(
  'the settings line {string} becomes {string}',
  function (this: SettingsWorld, line: string, change: string) {
    assert.ok(this.text.includes(line));
    this.text = this.text.replace(line, change.replace('\\n', '\n'));
    this.result = parseSettings('site.ini', this.text);
  },
);

When('the settings file {string} is loaded', function (this: SettingsWorld, file: string) {
  this.result = loadSettings(file);
});

Then('the problems in the settings match the snapshot', function (this: SettingsWorld) {
  assert.ok(this.result.isErr());
  this.matchSnapshot(this.result.error.map(formatProblem));
});

Then('the accepted settings match the snapshot', function (this: SettingsWorld) {
  assert.ok(this.result.isOk());
  this.matchSnapshot(this.result.value);
});
