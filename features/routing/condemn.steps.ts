import { Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { defaultCondemnLimits, findCondemned } from '../../src/routing/index.js';

interface CondemnWorld {
  condemned: readonly string[];
}

const NOW = 100_000;
const LATE = NOW - 1000;

When(
  'requests crashed upstreams: {string} and ended well: {string}',
  function (this: CondemnWorld, crashes: string, cleared: string) {
    const suspicions = crashes.split(' ').flatMap((crash) => {
      const [victim = '', fingerprints = ''] = crash.split(':');
      const [upstreamId = '', incarnation = '1'] = victim.split('#');
      const at = upstreamId === 'old' ? 0 : LATE;
      return fingerprints
        .split(',')
        .map((fingerprint) => ({ fingerprint, upstreamId, incarnation: Number(incarnation), at }));
    });
    const clearances = cleared.split(',').map((fingerprint) => ({ fingerprint, at: NOW }));
    const hasCrashed = (upstreamId: string): boolean => upstreamId !== 'up';
    const options = { ...defaultCondemnLimits, hasCrashed };
    this.condemned = findCondemned(suspicions, clearances, options, NOW);
  },
);

Then('the condemned fingerprints are {string}', function (this: CondemnWorld, wanted: string) {
  assert.equal([...this.condemned].sort().join(','), wanted);
});
