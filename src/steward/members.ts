/**
 * Decides which members the control group gains and loses without an operator. Invariant: at most one
 * change is proposed at a time, a member that answers is never removed, and three voters remain.
 */
import { MAX_VOTERS, toAddress, type ControlStatus, type MemberChange } from '../control/index.js';
import type { Address, Duration } from '../model/index.js';

/** Milliseconds of silence after which a member may be the one that a new member replaces. */
const REPLACED_SILENCE: Duration = 2500;
/** Milliseconds of silence after which a member counts as gone although no other one came. */
const REMOVAL_SILENCE: Duration = 15_000;
/** Milliseconds of silence from which a member is away; a few heartbeats. */
const UNREACHABLE_SILENCE: Duration = 700;
/** Milliseconds of silence after which a full group gives a member's place to one that waits for it. */
const STANDBY_TAKEOVER_SILENCE: Duration = 8000;
/** Voters that are never gone below: two of them agree without the third. */
const MIN_VOTERS = 3;

/** What the leader remembers of processes that ask to be admitted. */
export interface JoinRequests {
  readonly waiting: readonly Address[];
  /** Admissions in the place of a member that was away, which no removal has followed yet. */
  readonly pendingReplacements: number;
}

/**
 * Returns the next change of the group, or nothing.
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
 * Returns what is remembered after a change was carried out. A member that joins while all others answer replaces
 * nobody: it makes the group larger, as at the first start.
 *
 * @example
 * recordMembershipChange(requests, { kind: 'add', address: '10.0.3.4:7200' }, [['10.0.2.9:7200', 1200]]).pendingReplacements // 1 more
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
