import type { RunHost } from '../../src/gateway/run.js';

/** The part of a run's host that refuses requests by the state and those that crash upstreams, with none to refuse. */
export const noQuarantine: Pick<
  RunHost,
  'isAllowed' | 'getQuarantineTime' | 'isSuspected' | 'waitForCrashCheck'
> = {
  isAllowed: () => true,
  getQuarantineTime: () => 0,
  isSuspected: () => false,
  waitForCrashCheck: (_request, _record, onEnd) => {
    onEnd();
  },
};
