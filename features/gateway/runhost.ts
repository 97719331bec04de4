import type { RunHost } from '../../src/gateway/run.js';

/** The part of a run's host that refuses requests which crash upstreams, with none to refuse. */
export const noQuarantine: Pick<
  RunHost,
  'getQuarantineTime' | 'isSuspected' | 'waitForCrashCheck'
> = {
  getQuarantineTime: () => 0,
  isSuspected: () => false,
  waitForCrashCheck: (_request, _record, onEnd) => {
    onEnd();
  },
};
