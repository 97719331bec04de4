/** A stub of a control member that only has a status, for tests of modules that depend on it. */
import assert from 'node:assert/strict';
import { emptyCatalog, type Catalog } from '../../src/catalog/index.js';
import type { ControlNode, ControlStatus } from '../../src/control/index.js';

/** Properties of the stub that a test may override besides the status. */
export interface ControlOverrides {
  readonly applied?: Catalog;
  readonly propose?: ControlNode<Catalog>['propose'];
  readonly onApplied?: ControlNode<Catalog>['onApplied'];
  readonly onJoinRequest?: ControlNode<Catalog>['onJoinRequest'];
  readonly changeMembers?: ControlNode<Catalog>['changeMembers'];
}

/** Creates the stub; a call of a method that the test doesn't override fails the test. */
export function createControl(
  status: Partial<ControlStatus>,
  overrides: ControlOverrides = {},
): ControlNode<Catalog> {
  const fullStatus: ControlStatus = {
    ...{ role: 'follower', term: 1, leader: undefined, commitIndex: 0, lastIndex: 0, logBytes: 0 },
    ...{
      members: [],
      membersIndex: 0,
      age: 0,
      silences: [],
      currentVoters: undefined,
      healthy: true,
      isVoter: true,
      problem: undefined,
    },
    ...status,
  };
  const unused = (): never =>
    assert.fail('the stub of the control member implements only the status');
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
      addKnownMembers: () => undefined,
      close: () => Promise.resolve(),
    },
    ...overrides,
  };
}
