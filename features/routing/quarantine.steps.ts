import { Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { defaultQuarantineLimits, findQuarantined } from '../../src/quarantine/index.js';

interface QuarantineWorld {
  quarantined: readonly string[];
}

const NOW = 100_000;
const RECENTLY = NOW - 1000;

When(
  'requests crashed upstreams: {string} and succeeded: {string}',
  function (this: QuarantineWorld, crashes: string, cleared: string) {
    const suspicions = crashes.split(' ').flatMap((crash) => {
      const [crashedUpstream = '', fingerprints = ''] = crash.split(':');
      const [upstreamId = '', incarnation = '1'] = crashedUpstream.split('#');
      const at = upstreamId === 'old' ? 0 : RECENTLY;
      return fingerprints
        .split(',')
        .map((fingerprint) => ({ fingerprint, upstreamId, incarnation: Number(incarnation), at }));
    });
    const clearances = cleared.split(',').map((fingerprint) => ({ fingerprint, at: NOW }));
    const hasCrashed = (upstreamId: string): boolean => upstreamId !== 'up';
    const options = { ...defaultQuarantineLimits, hasCrashed };
    this.quarantined = findQuarantined(suspicions, clearances, options, NOW).map(
      ({ fingerprint, isCertain }) => (isCertain ? fingerprint : `${fingerprint}?`),
    );
  },
);

Then('the quarantined fingerprints are {string}', function (this: QuarantineWorld, wanted: string) {
  assert.equal([...this.quarantined].sort().join(','), wanted);
});
