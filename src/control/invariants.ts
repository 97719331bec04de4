/**
 * The invariants of the consensus core, checked at every transition. A violation is a bug and stops the
 * member before its messages can harm the other members.
 */
import { checkInvariant } from '../model/index.js';
import { getLastIndex, getTermAt } from './log.js';
import type { ConsensusEffect, ConsensusState, Step } from './types.js';

/**
 * Throws unless the term and the commit index never decrease, the vote of a term and the committed entries
 * stay unchanged, and only durable entries are acknowledged.
 *
 * @example
 * checkTransition(before, decideConsensus(before, event));
 */
export function checkTransition(before: ConsensusState, step: Step): void {
  const after = step.state;
  checkTerm(before, after);
  checkLog(before, after);
  step.effects.forEach((effect) => {
    checkEffect(after, effect);
  });
}

function checkTerm(before: ConsensusState, after: ConsensusState): void {
  checkInvariant(after.term >= before.term, `term decreased from ${before.term} to ${after.term}`);
  const keepsVote = before.votedFor === undefined || before.votedFor === after.votedFor;
  checkInvariant(after.term > before.term || keepsVote, `second vote in term ${after.term}`);
}

function checkLog(before: ConsensusState, after: ConsensusState): void {
  const last = getLastIndex(after.log);
  checkInvariant(
    after.commitIndex >= before.commitIndex,
    `commit index decreased from ${before.commitIndex} to ${after.commitIndex}`,
  );
  checkInvariant(after.commitIndex <= last, `commit index ${after.commitIndex} is past ${last}`);
  checkInvariant(after.durableIndex <= last, `durable index ${after.durableIndex} is past ${last}`);
  const termBefore = getTermAt(before.log, before.commitIndex);
  const termAfter = getTermAt(after.log, before.commitIndex);
  checkInvariant(
    termBefore === undefined || termAfter === undefined || termBefore === termAfter,
    `committed entry ${before.commitIndex} was replaced`,
  );
  const remainsLeader = before.role.kind === 'leader' && after.role.kind === 'leader';
  checkInvariant(
    !remainsLeader || before.term !== after.term || last >= getLastIndex(before.log),
    'a leader removed entries from the end of its log',
  );
}

function checkEffect(after: ConsensusState, effect: ConsensusEffect): void {
  if (effect.kind !== 'send') return;
  const { message } = effect;
  if (message.kind === 'appendReply' && message.matches) {
    checkInvariant(
      message.index <= Math.max(after.durableIndex, after.snapshot?.index ?? 0),
      `entry ${message.index} is acknowledged but only ${after.durableIndex} is durable`,
    );
  }
  if (message.kind === 'voteReply' && message.granted && !message.preVote) {
    checkInvariant(after.votedFor === effect.to, `vote for ${effect.to} was not recorded`);
    checkInvariant(after.repair === undefined, 'a member under repair voted');
  }
}
