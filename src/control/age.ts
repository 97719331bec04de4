/**
 * The age of a member's state: the time since an instant at which it certainly held every committed entry. Invariant:
 * a follower takes this instant from its own clock, echoed by the leader, and never from when a message was read, as
 * a member that was paused reads old messages when it wakes.
 */
import type { Append } from '../generated/control.js';
import type { Duration, Instant } from '../model/index.js';
import { hasCommittedInTerm, listVoters } from './steps.js';
import type { ConsensusState, MemberId } from './types.js';

/** Returns when the latest round that a majority answered began, at a leader whose commit index is up to date. */
function findConfirmedAt(state: ConsensusState): Instant | undefined {
  const { role, self } = state;
  if (role.kind !== 'leader' || !hasCommittedInTerm(state)) return undefined;
  const answered = listVoters(state.membership)
    .map((voter) => (voter === self ? role.round : (role.progress.get(voter)?.round ?? 0)))
    .sort((one, other) => other - one)[Math.floor(listVoters(state.membership).length / 2)];
  return role.rounds.find(({ round }) => round === answered)?.steadyAt;
}

/**
 * Returns what a follower needs to know the age of its state: a majority followed this leader `confirmedAge` before
 * now, and now is after `echo` on the follower's clock.
 */
export function describeAge(
  state: ConsensusState,
  to: MemberId,
): Pick<Append, 'echo' | 'confirmedAge'> {
  const confirmedAt = findConfirmedAt(state);
  const echo = state.role.kind === 'leader' ? state.role.progress.get(to)?.echo : undefined;
  if (confirmedAt === undefined || echo === undefined) return {};
  return { echo, confirmedAge: Math.ceil(state.steadyNow - confirmedAt) };
}

/** Records the instant that an append proves, if this member has applied all that the leader had committed. */
export function recordEcho(
  state: ConsensusState,
  { commitIndex, echo, confirmedAge }: Append,
): ConsensusState {
  if (echo === undefined || confirmedAge === undefined) return state;
  // An echo from outside this process's life was sent by one before it at the same address.
  const isOwn = echo >= state.startedAt && echo <= state.steadyNow;
  if (!isOwn || commitIndex > state.commitIndex) return state;
  return { ...state, asOf: Math.max(state.asOf, echo - confirmedAge) };
}

/**
 * Returns the age of the state in milliseconds; Infinity if no instant is known at which it was current.
 *
 * @example
 * computeAge(state, steadyNow) // 180
 */
export function computeAge(state: ConsensusState, steadyNow: Instant): Duration {
  return steadyNow - Math.max(state.asOf, findConfirmedAt(state) ?? -Infinity);
}
