/**
 * Plans the membership changes that the control group makes without an operator. Invariant: at most one
 * change is proposed at a time, a member that answers is never removed, and at least three voters remain.
 */
import { MAX_VOTERS, toAddress, type ControlStatus, type MemberChange } from '../control/index.js';
import type { Address, Duration } from '../model/index.js';

/** Milliseconds of silence after which a member is removed if a replacement was already admitted. */
const REPLACED_SILENCE: Duration = 2500;
/** Milliseconds of silence after which a member is removed although no replacement was admitted. */
const REMOVAL_SILENCE: Duration = 15_000;
/** Milliseconds of silence after which a member counts as unreachable; a few heartbeats. */
const UNREACHABLE_SILENCE: Duration = 700;
/** Milliseconds of silence after which a full group removes a member to make room for a standby steward. */
const STANDBY_TAKEOVER_SILENCE: Duration = 8000;
/** Minimum number of voters: with three, two form a majority without the third. */
const MIN_VOTERS = 3;

/** The leader's record of join requests and of admissions that still await a removal. */
export interface JoinRequests {
  readonly waiting: readonly Address[];
  /** Members admitted while another member was unreachable, with no removal since. */
  readonly pendingReplacements: number;
}

/**
 * Returns the next membership change, or undefined if none is due.
 *
 * @example
 * planMembershipChange(status, { waiting: ['10.0.3.4:7200'], pendingReplacements: 0 }) // { kind: 'add', ... }
 */
export function planMembershipChange(
  status: ControlStatus,
  requests: JoinRequests,
): MemberChange | undefined {
  if (status.role !== 'leader') return undefined;
  const addresses = status.members.map(({ id }) => toAddress(id));
  const joiner = requests.waiting.find((address) => !addresses.includes(address));
  const isFull = status.members.length >= MAX_VOTERS;
  if (joiner !== undefined && !isFull) return { kind: 'add', address: joiner };
  const voters = status.members.filter(({ voter }) => voter);
  if (voters.length !== status.members.length || voters.length <= MIN_VOTERS) return undefined;
  const [longestSilent] = [...status.silences].sort(([, one], [, two]) => two - one);
  if (longestSilent === undefined) return undefined;
  const [address, silence] = longestSilent;
  const removalLimit = requests.pendingReplacements > 0 ? REPLACED_SILENCE : REMOVAL_SILENCE;
  const limit = joiner === undefined ? removalLimit : STANDBY_TAKEOVER_SILENCE;
  return silence > limit ? { kind: 'remove', address } : undefined;
}

/**
 * Returns the join requests after a committed change. A member that joins while all others answer replaces
 * none of them: it enlarges the group, as at the first start.
 *
 * @example
 * const change = { kind: 'add', address: '10.0.3.4:7200' };
 * recordMembershipChange(requests, change, [['10.0.2.9:7200', 1200]]).pendingReplacements // 1 more
 */
export function recordMembershipChange(
  { waiting, pendingReplacements }: JoinRequests,
  change: MemberChange,
  silences: ControlStatus['silences'],
): JoinRequests {
  const others = waiting.filter((address) => address !== change.address);
  const isReplacement = silences.some(([, silence]) => silence > UNREACHABLE_SILENCE);
  switch (change.kind) {
    case 'add':
      return { waiting: others, pendingReplacements: pendingReplacements + Number(isReplacement) };
    case 'remove':
      return { waiting: others, pendingReplacements: Math.max(0, pendingReplacements - 1) };
  }
}
