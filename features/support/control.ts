/** A control member that only has a status, for tests of what rests on it. */
import assert from 'node:assert/strict';
import { emptyCatalog, type Catalog } from '../../src/catalog/index.js';
import type { ControlNode, ControlStatus } from '../../src/control/index.js';

/** What a test may set of a control member besides its status. */
export interface ControlOverrides {
  readonly applied?: Catalog;
  readonly propose?: ControlNode<Catalog>['propose'];
  readonly onApplied?: ControlNode<Catalog>['onApplied'];
}

/** Builds the member. */
export function createControl(
  status: Partial<ControlStatus>,
  overrides: ControlOverrides = {},
): ControlNode<Catalog> {
  const fullStatus: ControlStatus = {
    ...{ role: 'follower', term: 1, leader: undefined, commitIndex: 0, lastIndex: 0 },
    ...{ members: [], silences: [], healthy: true, problem: undefined },
    ...status,
  };
  const unused = (): never => assert.fail('only the status is read');
  return {
    ...{ status: fullStatus, applied: emptyCatalog, appliedIndex: 0 },
    ...{ propose: unused, confirmLeadership: unused, changeMembers: unused },
    readCurrent: () =>
      Promise.resolve(
        fullStatus.role === 'newborn'
          ? { kind: 'unavailable', remedy: 'it has no group yet' }
          : { kind: 'notLeader', leader: fullStatus.leader },
      ),
    ...{
      onApplied: () => undefined,
      onJoinRequest: () => undefined,
      close: () => Promise.resolve(),
    },
    ...overrides,
  };
}
