import { HedgeTracker } from '../../src/hedging/index.js';
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

/** The part of a run's host that hedges requests, with free slots at all upstreams and any amount of extra work. */
export function createHedging(): Pick<RunHost, 'hedging' | 'hasRoomForHedge'> {
  const hedging = new HedgeTracker(1);
  const ended = { kind: 'ended', now: 0, route: 'safe', expected: 1, isAnswered: true } as const;
  hedging.decide('records', { ...ended, elapsed: 1e9 });
  return { hedging, hasRoomForHedge: () => true };
}
