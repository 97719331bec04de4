/**
 * Plans the membership changes that the control group makes without an operator, from the log and from present
 * silence alone. Invariant: at most one change is proposed at a time, and only learners that don't answer are
 * removed; the consensus core decides which members vote.
 */
import {
  MAX_MEMBERS,
  MAX_VOTERS,
  toAddress,
  type ControlStatus,
  type MemberChange,
} from '../control/index.js';
import type { Address, Duration } from '../model/index.js';

/**
 * Milliseconds of silence after which a learner is removed. A removed member has to delete its data and join
 * anew, so one that only restarts must be back before.
 */
const REMOVAL_SILENCE: Duration = 15_000;
/** Milliseconds of silence after which a member doesn't count as answering, and may make room for another. */
const UNREACHABLE_SILENCE: Duration = 2500;

/**
 * Returns the next membership change, or undefined if none is due. `waiting` lists the addresses that ask to
 * join.
 *
 * @example
 * planMembershipChange(status, ['10.0.3.4:7200']) // { kind: 'add', address: '10.0.3.4:7200' }
 */
export function planMembershipChange(
  status: ControlStatus,
  waiting: readonly Address[],
): MemberChange | undefined {
  if (status.role !== 'leader') return undefined;
  const { members, silences } = status;
  const silent = silences.filter(([, silence]) => silence > UNREACHABLE_SILENCE);
  const isFull = members.length - silent.length >= MAX_VOTERS;
  const addresses = members.map(({ id }) => toAddress(id));
  const joiner = isFull ? undefined : waiting.find((address) => !addresses.includes(address));
  const isCrowded = members.length >= MAX_MEMBERS;
  if (joiner !== undefined && !isCrowded) return { kind: 'add', address: joiner };
  const limit = joiner === undefined ? REMOVAL_SILENCE : UNREACHABLE_SILENCE;
  const learners = members.filter(({ voter }) => !voter).map(({ id }) => toAddress(id));
  const [longestSilent] = silences
    .filter(([address, silence]) => learners.includes(address) && silence > limit)
    .sort(([, one], [, two]) => two - one);
  return longestSilent === undefined ? undefined : { kind: 'remove', address: longestSilent[0] };
}
